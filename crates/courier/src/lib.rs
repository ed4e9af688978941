//! The courier process: runs the decision module on real sockets. `owner` owns the module; the other modules
//! report to it through the events in `news`, on which all of them depend.
//!
//! ```text
//!   startup    configuration at startup, from the platform or from an operator's file
//!   front      clients over HTTP and MQTT, and the admin pages
//!   discovery  endpoints by discovery and by DNS, configuration from the control service
//!   out        calls to endpoints and brokers, notices of outcomes
//!   owner      the decision module, its event loop, and the messages it holds
//! ```

pub mod client;
mod clock;
mod discovery;
pub mod follow;
mod front;
mod news;
mod out;
mod owner;
mod process_memory;
mod room;
mod socket;
mod startup;
mod startup_error;

pub use discovery::config_file;
pub use front::effective::host_name;
pub use front::users;
pub use startup::{dev, run_platform, serve, settings};
pub use startup_error::StartupError;
