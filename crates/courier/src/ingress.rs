//! Servers for clients: HTTP and MQTT, rejection of connections over a limit, and the operators' admin pages.

pub mod active_config;
pub mod admin;
pub mod client_connection;
pub mod connection_counters;
pub mod http;
pub mod listener;
pub mod message_headers;
pub mod mqtt;
pub mod rejection;
pub mod request_framing;
pub mod server_state;
pub mod session_memory;
pub mod session_shares;
pub mod unfinished_request;
pub mod users;
