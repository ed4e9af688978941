//! Clients: what they hand in, what they are told, and the operator's pages.

pub mod active_config;
pub mod admin;
pub mod http;
pub mod listener;
pub mod message_headers;
pub mod mqtt;
pub mod rejection;
pub mod users;
