//! Where things are: endpoints by discovery and by name, configurations from a control service.

pub mod config_file;
pub mod configured_hosts;
pub mod control;
pub mod dns;
pub mod dns_cache;
pub mod list_age;
mod outage_detector;
pub mod watch;
pub mod watch_status;
