//! Encoding and decoding of packets. `rmqtt-codec` handles the contents of a packet; this module reads the
//! fixed header, so that no more than one maximum-length packet is buffered, and rejects what the codec
//! accepts: reserved flags that are set, strings with U+0000, and packets with trailing bytes.

use crate::convert;
use crate::error::ConnectionError;
use crate::packet::{Packet, Version, code};
use bytes::{Buf, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

const CONNECT: u8 = 1;
const PUBLISH: u8 = 3;
const PUBREL: u8 = 6;
const SUBSCRIBE: u8 = 8;
const UNSUBSCRIBE: u8 = 10;
const PINGREQ: u8 = 12;
const PINGRESP: u8 = 13;
const DISCONNECT: u8 = 14;
const AUTH: u8 = 15;

/// Decodes packets from a byte stream.
#[derive(Debug)]
pub struct Reader {
    /// For a server, set once the CONNECT has been read and names a supported version.
    version: Option<Version>,
    /// Maximum packet length in bytes, including the fixed header.
    max_bytes: usize,
    buffer: BytesMut,
}

impl Reader {
    /// Creates a reader for a server; the version is taken from the CONNECT, which must be the first packet.
    pub fn server(max_bytes: usize) -> Self {
        Reader { version: None, max_bytes, buffer: BytesMut::new() }
    }

    /// Creates a reader for a client that uses `version`.
    pub fn client(version: Version, max_bytes: usize) -> Self {
        Reader { version: Some(version), max_bytes, buffer: BytesMut::new() }
    }

    /// Protocol version, if it is known.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Appends received bytes. Call [`Reader::packet`] until it returns `None` before pushing more: then at
    /// most one packet and one read are buffered.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the buffered bytes: the beginning of a packet.
    pub fn take_buffered(&mut self) -> BytesMut {
        std::mem::take(&mut self.buffer)
    }

    /// Decodes the next packet; `None` until all of it has been received.
    ///
    /// # Errors
    /// The packet is malformed or not allowed. Nothing that follows it can be decoded.
    pub fn packet(&mut self) -> Result<Option<Packet>, ConnectionError> {
        let Some((head, length)) = self.fixed_header()? else {
            if self.buffer.is_empty() {
                // Frees the buffer, so that thousands of idle connections do not hold memory from an earlier
                // burst.
                self.buffer = BytesMut::new();
            }
            return Ok(None);
        };
        let kind = self.buffer[0] >> 4;
        if self.version.is_none() {
            if kind != CONNECT {
                return Err(ConnectionError::protocol("the first packet is no CONNECT"));
            }
            if self.buffer.len() < head + length {
                return Ok(None);
            }
            self.version = Some(protocol_version(&self.buffer[head..head + length])?);
        }
        if self.buffer.len() < head + length {
            return Ok(None);
        }
        let mut frame_bytes = self.buffer.split_to(head + length);
        let version = self.version.unwrap_or(Version::V5);
        check_frame(version, frame_bytes[0], &frame_bytes[head..])?;
        let packet = match version {
            Version::V311 => rmqtt_codec::v3::Codec::new(0)
                .decode(&mut frame_bytes)
                .map(|p| p.map(|(p, _)| convert::from_v3(p))),
            Version::V5 => rmqtt_codec::v5::Codec::new(0, 0)
                .decode(&mut frame_bytes)
                .map(|p| p.map(|(p, _)| convert::from_v5(p))),
        };
        match packet {
            Ok(Some(packet)) => packet.map(Some),
            Ok(None) => Err(ConnectionError::malformed("a length that does not hold")),
            Err(e) => Err(convert::decode_error(&e)),
        }
    }

    /// Lengths of the fixed header and of the rest of the packet; `None` until the header is complete.
    fn fixed_header(&self) -> Result<Option<(usize, usize)>, ConnectionError> {
        let Some(first) = self.buffer.first() else { return Ok(None) };
        let (kind, flags) = (first >> 4, first & 0x0F);
        let wanted = match kind {
            0 => return Err(ConnectionError::malformed("packet type 0")),
            PUBLISH => flags,
            PUBREL | SUBSCRIBE | UNSUBSCRIBE => 0x02,
            _ => 0,
        };
        if flags != wanted {
            return Err(ConnectionError::malformed("reserved flags of the fixed header"));
        }
        let mut length = 0usize;
        for n in 0..4 {
            let Some(byte) = self.buffer.get(1 + n) else { return Ok(None) };
            length |= usize::from(byte & 0x7F) << (7 * n);
            if byte & 0x80 == 0 {
                if 2 + n + length > self.max_bytes {
                    return Err(ConnectionError {
                        code: code::PACKET_TOO_LARGE,
                        reason: "longer than a packet may be",
                    });
                }
                return Ok(Some((2 + n, length)));
            }
        }
        Err(ConnectionError::malformed("a remaining length of more than four bytes"))
    }
}

/// Reads the protocol name and level of a CONNECT.
fn protocol_version(body: &[u8]) -> Result<Version, ConnectionError> {
    let mut body = body;
    if body.len() < 7 || body.get_u16() != 4 || &body[..4] != b"MQTT" {
        return Err(ConnectionError {
            code: code::UNSUPPORTED_VERSION,
            reason: "a protocol name that is not MQTT",
        });
    }
    match body[4] {
        4 => Ok(Version::V311),
        5 => Ok(Version::V5),
        _ => Err(ConnectionError { code: code::UNSUPPORTED_VERSION, reason: "neither MQTT 3.1.1 nor 5.0" }),
    }
}

/// Rejects malformed packets that the codec accepts.
fn check_frame(version: Version, first: u8, body: &[u8]) -> Result<(), ConnectionError> {
    match first >> 4 {
        CONNECT => {
            let flags = *body.get(7).ok_or(ConnectionError::malformed("a CONNECT that is too short"))?;
            let will = flags & 0x04 != 0;
            if flags & 0x01 != 0 {
                return Err(ConnectionError::malformed("the reserved flag of CONNECT"));
            }
            if !will && flags & 0x38 != 0 {
                return Err(ConnectionError::malformed("a will's QoS or Retain without a will"));
            }
            if version == Version::V311 && flags & 0xC0 == 0x40 {
                return Err(ConnectionError::malformed("a password without a user name"));
            }
            Ok(())
        }
        PUBLISH if first & 0x06 == 0x06 => Err(ConnectionError::malformed("QoS 3")),
        PUBLISH if first & 0x0E == 0x08 => Err(ConnectionError::malformed("DUP at QoS 0")),
        SUBSCRIBE if version == Version::V311 => check_requested_qos(body),
        PINGREQ | PINGRESP if !body.is_empty() => {
            Err(ConnectionError::malformed("a ping with something in it"))
        }
        DISCONNECT if version == Version::V311 && !body.is_empty() => {
            Err(ConnectionError::malformed("a DISCONNECT with something in it"))
        }
        AUTH if version == Version::V311 => Err(ConnectionError::malformed("packet type 15")),
        _ => Ok(()),
    }
}

/// Checks that the upper six bits of each requested QoS are 0, as 3.1.1 requires (section 3.8.3).
fn check_requested_qos(body: &[u8]) -> Result<(), ConnectionError> {
    let mut rest = body.get(2..).unwrap_or_default();
    while rest.len() > 2 {
        let filter = usize::from(rest.get_u16());
        let Some(options) = rest.get(filter) else { break };
        if options & 0xFC != 0 {
            return Err(ConnectionError::malformed("reserved bits of a requested QoS"));
        }
        rest.advance(filter + 1);
    }
    Ok(())
}

/// Encodes a packet. Reason strings and user properties are left out if the packet would be longer than
/// `most` bytes with them (sections 3.1.2.11.4 and 3.1.2.11.7).
///
/// # Errors
/// The packet is too long even without them, or a string in it exceeds the length field. It must not be sent.
pub fn encode(version: Version, packet: Packet, max_bytes: Option<u32>) -> Result<BytesMut, ConnectionError> {
    let max_bytes = max_bytes.map_or(usize::MAX, |m| m as usize);
    let frame_bytes = write(version, packet.clone())?;
    if frame_bytes.len() <= max_bytes {
        return Ok(frame_bytes);
    }
    let reduced = write(version, convert::without_optional_properties(packet))?;
    if reduced.len() <= max_bytes {
        return Ok(reduced);
    }
    Err(ConnectionError { code: code::PACKET_TOO_LARGE, reason: "longer than the other side takes" })
}

fn write(version: Version, packet: Packet) -> Result<BytesMut, ConnectionError> {
    let mut out = BytesMut::new();
    // The codec's own limit on outgoing packets is not used: a small limit makes it underflow.
    let result = match version {
        Version::V311 => rmqtt_codec::v3::Codec::new(0).encode(convert::to_v3(packet)?, &mut out),
        Version::V5 => rmqtt_codec::v5::Codec::new(0, 0).encode(convert::to_v5(packet)?, &mut out),
    };
    result.map_err(|_| ConnectionError {
        code: code::PACKET_TOO_LARGE,
        reason: "a field that is too long to be written",
    })?;
    Ok(out)
}

#[cfg(test)]
#[path = "frame_test.rs"]
mod tests;
