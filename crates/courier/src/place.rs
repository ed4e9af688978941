//! Where things are: endpoints by discovery and by name, configurations from a control service.

pub mod control;
pub mod discovery;
pub mod dns;
pub mod file;
pub mod hosts;
pub mod names;
