//! Why a connection is ended.

use crate::packet::code;

/// Why a connection cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{why} (0x{code:02X})")]
pub struct Fault {
    /// As version 5 numbers it.
    pub code: u8,
    pub why: &'static str,
}

impl Fault {
    pub const fn malformed(why: &'static str) -> Self {
        Fault { code: code::MALFORMED_PACKET, why }
    }

    pub const fn protocol(why: &'static str) -> Self {
        Fault { code: code::PROTOCOL_ERROR, why }
    }
}
