//! What goes out: calls to endpoints, the connections kept for them, brokers, and notices of outcomes.

pub mod answer_head;
pub mod answer_identity;
pub mod attempt_outcome;
mod break_rate;
pub mod broker;
pub mod calls;
mod connection_pool;
pub mod connection_status;
pub mod exchange;
pub mod link;
mod listening;
pub mod outcomes;
