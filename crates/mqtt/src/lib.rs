//! MQTT 3.1.1 and 5.0 without sockets and without a clock: bytes and time go in, effects and the next time-out
//! come out. Both ends are here, since the courier is both: the server of those who publish to it, and a client
//! of brokers that it delivers to.
//!
//! ```text
//!   bytes -> frame -> packet -> server: connections and sessions of publishers -> effects
//!                            -> client: one connection to a broker             -> effects
//! ```
//!
//! Read in this order: [`packet`] (one vocabulary for both versions), [`frame`] (bytes to packets and back, over
//! `rmqtt-codec`, with the checks that it leaves out), [`server`], [`client`]. `docs/mqtt.md` tells why
//! it is built so, and `docs/mqtt-conformance.md` has a line for each normative statement.

pub mod client;
mod convert;
pub mod error;
pub mod frame;
pub mod packet;
pub mod server;
mod session;

pub use frame::{Reader, encode};
pub use packet::{Packet, Qos, Version};

/// A point on a monotonic clock, as the time since an arbitrary origin.
pub type Time = std::time::Duration;
