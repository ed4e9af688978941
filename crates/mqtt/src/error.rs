//! Why a connection is ended.

use crate::packet::code;

/// Why a connection cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason} (0x{code:02X})")]
pub struct ConnectionError {
    /// As version 5 numbers it.
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
