//! What goes out: calls to endpoints, the connections kept for them, brokers, and notices of outcomes.

pub mod broker;
pub mod calls;
pub mod link;
pub mod outcomes;
