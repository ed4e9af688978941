//! Decides, for one courier, what to do with each accepted message: hold it, send it to an endpoint of its
//! destination, refuse it or report it as failed.
//!
//! [`scheduler`] makes the decisions, `occupancy_chart` says which messages can meet their deadlines,
//! `membership_lease` until when the endpoint list may be used. [`interface`] has the events, actions and
//! settings, and [`settings`] the settings' wire format. There is no I/O and no clock in here: the courier and
//! the simulator's adapter drive it the same way, and `examples/embed.rs` shows how.

mod accepted_call;
pub mod interface;
mod membership_lease;
pub mod memory_usage;
mod occupancy_chart;
mod refusal;
pub mod scheduler;
pub mod settings;
mod state;
mod time;

#[cfg(test)]
mod membership_lease_test;
#[cfg(test)]
mod occupancy_chart_test;
