//! Clients: what they hand in, what they are told, and the operator's pages.

pub mod admin;
pub mod effective;
pub mod farewell;
pub mod intake;
pub mod listener;
pub mod mqtt;
pub mod named;
pub mod users;
