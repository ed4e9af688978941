//! The courier process: runs the scheduler on real sockets. `dispatcher` owns the scheduler; the other
//! modules report to it through the events in `events`, on which all of them depend.
//!
//! ```text
//!   bootstrap   configuration at startup, from the platform or from an operator's file
//!   ingress     clients over HTTP and MQTT, and the admin pages
//!   discovery   endpoints by discovery and by DNS, configuration from the control service
//!   upstream    calls to endpoints and brokers, notices of outcomes
//!   dispatcher  the scheduler, its event loop, and the messages it holds
//! ```

#![forbid(clippy::print_stderr, clippy::print_stdout)]

#[macro_use]
pub mod log;

pub mod admin_client;
mod bootstrap;
pub mod clock;
mod discovery;
mod dispatcher;
mod events;
mod ingress;
mod memory_budget;
pub mod message_trace;
mod process_memory;
mod signals;
mod socket;
mod startup_error;
mod system_errors;
mod upstream;

pub use bootstrap::{dev, run_platform, serve, settings};
pub use discovery::config_file;
pub use ingress::active_config::host_name;
pub use ingress::users;
pub use startup_error::StartupError;
