//! Durable record of accepted messages: a write-ahead log in numbered segments, from which the state is
//! rebuilt. It opens no sockets, reads no clock and starts no threads.
//!
//! ```text
//!   Journal  accept, record_attempt, record_verdict, record_end    flush, compact, begin_sync, finish_sync
//!      |  \                                                             |
//!      |   State: live messages, their position, reserved space         |  executes the queue in order
//!      |                                                                v
//!     Log: segment of each record, new segments, removals  -> queue of operations -> Storage
//! ```
//!
//! Reading order: [`record`] (record types), `frame` (their encoding in a file), `log` (plans segments and
//! operations without I/O), `state` (what the records add up to), [`journal`] (the engine), `recover`
//! (startup), and [`storage`] with its backends: files, memory and injected faults. `docs/journal.md`
//! explains the design, and `docs/journal-format.md` specifies the format byte by byte.

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

pub use error::{Damage, Error, FileCall, Refusal};
pub use frame::FORMAT_VERSION;
pub use journal::{Journal, RecoveryReport, Usage};
pub use options::{Durability, OnDamage, Options};
pub use record::{AcceptedMessage, Attempt, EndedMessage, LiveMessage, Note, Record, RoutedRequest, Verdict};
pub use recover::{JournalContents, read};
pub use state::STATE_ENTRY_BYTES;
pub use storage::files::FileStorage;
pub use sync::{SyncJob, SyncOutcome};
