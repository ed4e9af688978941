//! Decides, for one courier, what to do with each message it has taken: hold it, send it to an
//! endpoint of its destination, refuse it or report it failed.
//!
//! [`scheduler`] holds the decisions, `membership_lease` until when the list of endpoints may be acted on, [`interface`] the vocabulary it speaks and [`settings`] the settings'
//! wire form. No I/O, no clock: the courier and the simulator's adapter drive it alike, and
//! `examples/embed.rs` shows how.

pub mod interface;
mod membership_lease;
pub mod memory_usage;
pub mod scheduler;
pub mod settings;
mod state;
mod time;

#[cfg(test)]
mod chart_test;
#[cfg(test)]
mod membership_lease_test;
