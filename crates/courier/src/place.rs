//! Where things are: endpoints by discovery and by name, configurations from a control service.

pub mod control;
pub mod dns;
pub mod file;
pub mod hosts;
pub mod list_age;
pub mod names;
mod outage;
pub mod watch;
pub mod watch_status;
