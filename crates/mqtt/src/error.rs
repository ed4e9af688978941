//! Errors that end a connection.

use crate::packet::code;

/// A protocol violation or refusal that ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason} (0x{code:02X})")]
pub struct ConnectionError {
    /// Reason code of MQTT 5.0.
    pub code: u8,
    pub reason: &'static str,
}

impl ConnectionError {
    pub const fn malformed(reason: &'static str) -> Self {
        ConnectionError { code: code::MALFORMED_PACKET, reason }
    }

    pub const fn protocol(reason: &'static str) -> Self {
        ConnectionError { code: code::PROTOCOL_ERROR, reason }
    }
}
