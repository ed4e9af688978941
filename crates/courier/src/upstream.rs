//! Traffic to upstreams: HTTP calls to endpoints and their connection pool, MQTT broker connections, and
//! outcome notices.

pub mod answer_profiles;
pub mod attempt_outcome;
pub mod broker_connection;
pub mod broker_session;
mod connection_pool;
pub mod connection_status;
pub mod endpoint_client;
pub mod exchange;
mod exchange_monitor;
mod failure_rate;
pub mod http_connection;
pub mod notice_holds;
pub mod outcomes;
pub mod response_head;
pub mod response_identity;
mod response_timeout;
