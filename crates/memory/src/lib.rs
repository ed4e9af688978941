//! The ledger of a courier's memory: what each purpose holds, what it may hold at most, and when somebody who is
//! turned away may come back. Pure: no clock, no allocator and no system are asked; time is an argument, and what
//! the system says of the process is told by [`Ledger::weighed`].
//!
//! ```text
//!   Caps ----------> Ledger ---- take, reserve ---> Charge, Reserve   guards: what they hold goes back when dropped
//!   (caps)             |   \---- tick(now) -------> level changes     (level)
//!                      |--- Guest: what one client holds              (ledger)
//!                      \--- pace: how fast a purpose empties -> wait  (pace)
//!   Refused ----> Reason, as clients are told (reason); Partings: connections until they have been told (partings)
//!   Telling: whose share something counts against             (telling)
//! ```
//!
//! A *charge* is memory in use. A *reserve* is memory that an accepted message may still need; it is taken when the
//! message is accepted, so that nothing done on its behalf later can be refused. Both count against the cap.
//! Whoever holds a guard needs not give anything back by hand, so nothing is counted twice or left behind.
//!
//! Read in this order: [`caps`], [`ledger`], [`level`], [`pace`], [`reason`], [`partings`], [`telling`].
//! `docs/memory.md` tells why it is so.

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
pub use level::{Level, LevelChange};
pub use purpose::{ByPurpose, Purpose};
pub use reason::Reason;
pub use rejected_connections::RejectedConnections;

/// A point on a monotonic clock, as the time since an arbitrary origin.
pub type Time = std::time::Duration;
