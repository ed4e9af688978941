//! What goes out: calls to endpoints, the connections kept for them, brokers, and notices of outcomes.

pub mod attempt_outcome;
mod break_rate;
pub mod broker_connection;
mod connection_pool;
pub mod connection_status;
pub mod endpoint_client;
pub mod exchange;
mod exchange_monitor;
pub mod http_connection;
pub mod outcomes;
pub mod response_head;
pub mod response_identity;
