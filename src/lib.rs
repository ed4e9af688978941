//! Decides, for one courier, what to do with each message it has taken: hold it, send it to an
//! endpoint of its destination, refuse it or report it failed.
//!
//! [`brain`] holds every decision, [`interface`] the vocabulary it speaks, and [`wire`] the
//! translation to the line protocol of the bench. A courier embeds [`brain::Brain`] directly and
//! never needs `wire`; `examples/embed.rs` shows how.

pub mod brain;
pub mod interface;
pub mod node;
pub mod settings;
mod state;
pub mod wire;

#[cfg(test)]
mod chart_test;
