//! The real courier: the decision module on real sockets. Each room has one job; `owner` owns the module, and the
//! others tell it what happened, by `news`, which lies below them all.
//!
//! ```text
//!   start   what it is told at its start: by the platform, by an operator's file
//!   front   clients: HTTP, MQTT, and the operator's pages
//!   place   where things are: discovery, names, the control service
//!   out     calls to endpoints and brokers, notices of outcomes
//!   owner   the decision module, its turn, and what is held
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
