//! Memory accounting of a courier: what each purpose holds, its cap, and when a rejected client may retry.
//! The crate does not read the clock, the allocator or the operating system: time is an argument, and the
//! resident memory of the process is reported by [`Ledger::set_resident`].
//!
//! ```text
//!   Caps ---------> Ledger ---- try_charge, reserve -> Charge, Reserve   guards; dropping releases memory
//!   (caps)            |   \---- tick(now) ----------> level changes      (level)
//!                     |--- ClientAccount: what one client holds          (ledger)
//!                     \--- release rate of a purpose -> retry delay      (release_rate)
//!   Refused ---> Reason, as clients see it                               (reason)
//!   RejectedConnections: rejected connections until answered             (rejected_connections)
//!   ClientIdentification: the client whose share a request counts for    (client_identification)
//! ```
//!
//! A *charge* is memory in use. A *reserve* is memory that an accepted message may still need; it is taken
//! when the message is accepted, so that no later step on its behalf can be refused. Both count against the
//! cap. The guards release memory when dropped, so nothing is counted twice or leaked.
//!
//! Read in this order: [`caps`], [`ledger`], [`level`], [`release_rate`], [`reason`],
//! [`rejected_connections`], [`client_identification`]. `docs/memory.md` gives the reasons for the design.

pub mod caps;
pub mod client_identification;
pub mod ledger;
pub mod level;
mod purpose;
pub mod reason;
pub mod rejected_connections;
pub mod release_rate;

pub use caps::{CapError, CapSetting, Caps};
pub use client_identification::ClientIdentification;
pub use ledger::{Charge, Client, ClientAccount, Ledger, PurposeUsage, RefusalCause, Refused, Reserve};
pub use level::{CLIENT_SHARE_THRESHOLD, Level, LevelChange};
pub use purpose::{ByPurpose, Purpose};
pub use reason::Reason;
pub use rejected_connections::RejectedConnections;

/// A point on a monotonic clock, as the time since an arbitrary origin.
pub type Time = std::time::Duration;
