//! As much of MQTT 5.0 as a small client and a small broker need.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub const CONNECT: u8 = 1;
pub const CONNACK: u8 = 2;
pub const PUBLISH: u8 = 3;
pub const PUBACK: u8 = 4;
pub const SUBSCRIBE: u8 = 8;
pub const SUBACK: u8 = 9;
pub const PINGREQ: u8 = 12;
pub const PINGRESP: u8 = 13;
pub const DISCONNECT: u8 = 14;

/// A packet: its type, its flags and what follows the length.
#[derive(Debug)]
pub struct Packet {
    pub kind: u8,
    pub flags: u8,
    pub rest: Vec<u8>,
}

pub fn read(from: &mut impl Read) -> io::Result<Packet> {
    let mut first = [0];
    from.read_exact(&mut first)?;
    let (mut length, mut shift) = (0usize, 0);
    loop {
        let mut byte = [0];
        from.read_exact(&mut byte)?;
        length |= usize::from(byte[0] & 0x7f) << shift;
        if byte[0] & 0x80 == 0 {
            break;
        }
        shift += 7;
    }
    let mut rest = vec![0; length];
    from.read_exact(&mut rest)?;
    Ok(Packet { kind: first[0] >> 4, flags: first[0] & 0x0f, rest })
}

pub fn write(to: &mut TcpStream, kind: u8, flags: u8, rest: &[u8]) -> io::Result<()> {
    let mut bytes = vec![kind << 4 | flags];
    let mut length = rest.len();
    loop {
        let more = length >= 128;
        bytes.push((length % 128) as u8 | if more { 0x80 } else { 0 });
        length /= 128;
        if !more {
            break;
        }
    }
    bytes.extend_from_slice(rest);
    to.write_all(&bytes)
}

pub fn text(into: &mut Vec<u8>, text: &str) {
    into.extend_from_slice(&(text.len() as u16).to_be_bytes());
    into.extend_from_slice(text.as_bytes());
}

/// Reads the fields of a packet one after the other.
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    pub fn take(&mut self, number: usize) -> &'a [u8] {
        let (head, tail) = self.0.split_at(number.min(self.0.len()));
        self.0 = tail;
        head
    }

    pub fn byte(&mut self) -> u8 {
        self.take(1).first().copied().unwrap_or(0)
    }

    pub fn number(&mut self) -> u16 {
        self.take(2).iter().fold(0, |n, b| n << 8 | u16::from(*b))
    }

    pub fn text(&mut self) -> String {
        let length = usize::from(self.number());
        String::from_utf8_lossy(self.take(length)).into_owned()
    }

    /// The properties, of which only the user properties are kept.
    pub fn properties(&mut self) -> Vec<(String, String)> {
        let (mut length, mut shift) = (0usize, 0);
        loop {
            let byte = self.byte();
            length |= usize::from(byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                break;
            }
        }
        let (mut all, mut user) = (Fields(self.take(length)), Vec::new());
        while !all.0.is_empty() {
            match all.byte() {
                0x26 => user.push((all.text(), all.text())),
                // One byte, two bytes, four bytes, a text.
                0x01 | 0x17 | 0x19 | 0x24 | 0x25 | 0x28 | 0x29 | 0x2a => drop(all.take(1)),
                0x13 | 0x21 | 0x22 | 0x23 => drop(all.take(2)),
                0x02 | 0x11 | 0x18 | 0x27 => drop(all.take(4)),
                _ => drop(all.text()),
            }
        }
        user
    }
}

/// A PUBLISH.
#[derive(Debug)]
pub struct Publish {
    pub topic: String,
    pub id: u16,
    pub qos: u8,
    pub dup: bool,
    pub user: Vec<(String, String)>,
    pub payload: Vec<u8>,
}

impl Publish {
    pub fn of(packet: &Packet) -> Publish {
        let (qos, dup) = (packet.flags >> 1 & 3, packet.flags & 8 != 0);
        let mut fields = Fields(&packet.rest);
        let topic = fields.text();
        let id = if qos > 0 { fields.number() } else { 0 };
        let user = fields.properties();
        Publish { topic, id, qos, dup, user, payload: fields.0.to_vec() }
    }

    pub fn user(&self, name: &str) -> &str {
        self.user.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v.as_str())
    }
}

/// Connects a client: a clean start, and a session that ends with the connection.
pub fn connect(to: &mut TcpStream, client: &str) -> io::Result<()> {
    let mut rest = Vec::new();
    text(&mut rest, "MQTT");
    rest.extend_from_slice(&[5, 2, 0, 60, 0]);
    text(&mut rest, client);
    write(to, CONNECT, 0, &rest)?;
    let answer = read(to)?;
    match (answer.kind, answer.rest.get(1)) {
        (CONNACK, Some(0)) => Ok(()),
        other => Err(io::Error::other(format!("no CONNACK: {other:?}"))),
    }
}

pub fn subscribe(to: &mut TcpStream, id: u16, filter: &str) -> io::Result<()> {
    let mut rest = id.to_be_bytes().to_vec();
    rest.push(0);
    text(&mut rest, filter);
    rest.push(1);
    write(to, SUBSCRIBE, 2, &rest)?;
    let answer = read(to)?;
    match (answer.kind, answer.rest.last()) {
        (SUBACK, Some(0..=1)) => Ok(()),
        other => Err(io::Error::other(format!("no SUBACK: {other:?}"))),
    }
}

pub fn publish(to: &mut TcpStream, id: u16, topic: &str, payload: &str) -> io::Result<()> {
    let mut rest = Vec::new();
    text(&mut rest, topic);
    rest.extend_from_slice(&id.to_be_bytes());
    rest.push(0);
    rest.extend_from_slice(payload.as_bytes());
    write(to, PUBLISH, 2, &rest)
}

/// A PUBACK with this reason code.
pub fn puback(to: &mut TcpStream, id: u16, code: u8) -> io::Result<()> {
    let [high, low] = id.to_be_bytes();
    write(to, PUBACK, 0, &[high, low, code, 0])
}
