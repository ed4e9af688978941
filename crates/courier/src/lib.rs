//! The real courier: the decision module on real sockets. Each room has one job; `dispatcher` owns the module, and the
//! others tell it what happened, by `events`, which lies below them all.
//!
//! ```text
//!   start   what it is told at its start: by the platform, by an operator's file
//!   ingress clients: HTTP, MQTT, and the operator's pages
//!   place   where things are: discovery, names, the control service
//!   out     calls to endpoints and brokers, notices of outcomes
//!   dispatcher the decision module, its turn, and what is held
//! ```

pub mod admin_client;
mod clock;
mod discovery;
mod dispatcher;
mod events;
mod ingress;
mod memory_budget;
pub mod message_trace;
mod outbound;
mod process_memory;
mod socket;
mod startup;
mod startup_error;

pub use discovery::config_file;
pub use ingress::active_config::host_name;
pub use ingress::users;
pub use startup::{dev, run_platform, serve, settings};
pub use startup_error::StartupError;
