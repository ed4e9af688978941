//! Sources of endpoints and configuration: discovery, DNS, the control service and the operator's file.

pub mod config_file;
pub mod configured_hosts;
pub mod control;
pub mod dns;
pub mod dns_cache;
pub mod list_age;
mod outage_detector;
pub mod watch;
pub mod watch_status;
