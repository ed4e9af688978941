//! MQTT 3.1.1 and 5.0 as sans-I/O state machines: they take received bytes and the current time, and return
//! effects and the time of the next timeout. Both ends are implemented, because the courier is a server for
//! publishing clients and a client of the brokers it delivers to.
//!
//! ```text
//!   bytes -> frame -> packet -> server: connections and sessions of publishers -> effects
//!                            -> client: one connection to a broker             -> effects
//! ```
//!
//! Start reading with [`packet`] (packet types shared by both versions), then [`frame`] (encoding and
//! decoding on top of `rmqtt-codec`, with the checks that it omits), [`server`] and [`client`].
//! `docs/mqtt.md` explains the design, and `docs/mqtt-conformance.md` lists every normative statement.

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
