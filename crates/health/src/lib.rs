//! What responses of endpoints mean for messages and endpoints. Everything here is pure: no I/O, and the time
//! of the wall clock is an argument where it is needed.
//!
//! - [`answers`]: profiles that map the status of a response to what it says about the message.
//! - [`retry_after`]: the wait told by `Retry-After`.

pub mod answers;
pub mod retry_after;
