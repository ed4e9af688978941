//! The record on disk of what a courier has taken on: a log in numbered segments, from which alone the state
//! is rebuilt. No sockets, no clock, no threads of its own.
//!
//! ```text
//!   Journal  accept, attempt, never_ran, judge, end      flush, compact, begin_sync, finish_sync
//!      |  \                                                  |
//!      |   State: what lives, where it begins, its weight    |  does what the queue says, in order
//!      |                                                     v
//!     Log: which segment, when a new one, what to remove -> queue of operations -> Storage
//! ```
//!
//! Read in this order: [`record`] (what is kept), `frame` (how it stands in a file), `log` (where it goes;
//! plans, does nothing), `state` (what it comes to), [`journal`] (the engine), `recover` (a start), and
//! [`storage`] with its real files, memory and faults. `docs/journal.md` tells why it is built so, and
//! `docs/journal-format.md` the format byte by byte.

pub mod error;
mod frame;
pub mod journal;
mod legacy;
mod log;
pub mod options;
pub mod record;
mod recover;
mod state;
pub mod storage;
mod sync;

pub use error::{Damage, Error, Refusal};
pub use frame::FORMAT_VERSION;
pub use journal::{Journal, RecoveryReport, Usage};
pub use options::{Durability, OnDamage, Options};
pub use record::{AcceptedMessage, Attempt, EndedMessage, LiveMessage, Note, Record, RoutedRequest, Verdict};
pub use recover::{JournalContents, read};
pub use state::STATE_ENTRY_BYTES;
pub use storage::files::FileStorage;
pub use sync::{SyncJob, SyncOutcome};
