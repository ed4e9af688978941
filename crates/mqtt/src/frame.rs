//! Bytes to packets and back. `rmqtt-codec` reads and writes what stands in a packet; the frame around it is read
//! here, so that no more is kept than a packet may have, and with it what the codec lets pass: flags that must not
//! be set, strings with U+0000, packets with something behind their end.

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

/// Reads packets out of a stream of bytes.
#[derive(Debug)]
pub struct Reader {
    /// Known once the first packet has been read, where that tells it.
    version: Option<Version>,
    /// The longest packet, bytes with its frame.
    max_bytes: usize,
    buffer: BytesMut,
}

impl Reader {
    /// For a server: the version is the one of the CONNECT that must come first.
    pub fn server(max_bytes: usize) -> Self {
        Reader { version: None, max_bytes, buffer: BytesMut::new() }
    }

    /// For a client of this version.
    pub fn client(version: Version, max_bytes: usize) -> Self {
        Reader { version: Some(version), max_bytes, buffer: BytesMut::new() }
    }

    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// What has come. Call [`Reader::packet`] until it has nothing more before more is pushed: then no more than one
    /// packet and one read is ever kept.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that are kept.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next packet; None until all of it has come.
    ///
    /// # Errors
    /// What is wrong with it: nothing that follows can be read.
    pub fn packet(&mut self) -> Result<Option<Packet>, ConnectionError> {
        let Some((head, length)) = self.fixed_header()? else {
            if self.buffer.is_empty() {
                // Thousands of idle connections must not keep what their busy moment took.
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

    /// Bytes of the fixed header and of what follows; None until it has come.
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

/// The version that a CONNECT asks for.
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

/// What the codec lets pass.
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

/// In 3.1.1 the upper six bits of a requested QoS must be 0, section 3.8.3.
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

/// Writes a packet. Reason strings and user properties are left out where with them it would be longer than `most`
/// (sections 3.1.2.11.4 and 3.1.2.11.7).
///
/// # Errors
/// It is longer without them, too, or a string in it is: it must not be sent.
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
    // The codec's own bound on what goes out is not used: with a small one it reckons below zero.
    let done = match version {
        Version::V311 => rmqtt_codec::v3::Codec::new(0).encode(convert::to_v3(packet)?, &mut out),
        Version::V5 => rmqtt_codec::v5::Codec::new(0, 0).encode(convert::to_v5(packet)?, &mut out),
    };
    done.map_err(|_| ConnectionError {
        code: code::PACKET_TOO_LARGE,
        reason: "a field that is too long to be written",
    })?;
    Ok(out)
}

#[cfg(test)]
#[path = "frame_test.rs"]
mod tests;
