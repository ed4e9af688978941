//! A fake DNS server that answers A queries over UDP and TCP from a table that a test changes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// How the server answers a query for a name.
#[derive(Clone, Debug)]
pub enum DnsAnswer {
    /// Addresses and their TTL in seconds.
    Addresses(Vec<Ipv4Addr>, u32),
    /// The same over TCP; over UDP an empty answer with the TC flag.
    Truncated(Vec<Ipv4Addr>, u32),
    /// SERVFAIL.
    ServerFailure,
    /// Sends no answer.
    NoAnswer,
    /// An answer with a wrong transaction id first, then the correct one.
    Forged(Vec<Ipv4Addr>, u32),
}

/// The fake DNS server. Clones share its table.
#[derive(Clone)]
pub struct NameServer {
    pub address: SocketAddr,
    zones: Arc<Mutex<BTreeMap<String, DnsAnswer>>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Default for NameServer {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the name in the question section and the offset of the section's end.
fn question(bytes: &[u8]) -> Option<(String, usize)> {
    let (mut at, mut labels) = (12, Vec::new());
    loop {
        let length = usize::from(*bytes.get(at)?);
        if length == 0 {
            return Some((labels.join("."), at + 5));
        }
        labels.push(String::from_utf8_lossy(bytes.get(at + 1..at + 1 + length)?).into_owned());
        at += 1 + length;
    }
}

fn answer(asked: &[u8], end: usize, addresses: &[Ipv4Addr], ttl: u32, flags: u16) -> Vec<u8> {
    let mut out = asked[..2].to_vec();
    out.extend(flags.to_be_bytes());
    out.extend([0, 1]);
    out.extend((addresses.len() as u16).to_be_bytes());
    out.extend([0, 0, 0, 0]);
    out.extend(&asked[12..end]);
    for address in addresses {
        // A pointer to the name in the question, type A, class IN.
        out.extend([0xc0, 12, 0, 1, 0, 1]);
        out.extend(ttl.to_be_bytes());
        out.extend([0, 4]);
        out.extend(address.octets());
    }
    out
}

/// Header flags of a successful answer.
const OK: u16 = 0x8180;
/// Header flags of a truncated answer (TC).
const TRUNCATED: u16 = 0x8380;
/// Header flags of SERVFAIL.
const SERVFAIL: u16 = 0x8182;

impl NameServer {
    /// Starts a server that answers SERVFAIL for all names.
    pub fn new() -> Self {
        let (udp, tcp) = Self::sockets();
        let address = udp.local_addr().expect("an address");
        let this = NameServer { address, zones: Arc::default(), asked: Arc::default() };
        let own = this.clone();
        thread::spawn(move || own.datagrams(&udp));
        let own = this.clone();
        thread::spawn(move || own.streams(&tcp));
        this
    }

    /// Binds UDP and TCP to the same port.
    fn sockets() -> (UdpSocket, TcpListener) {
        for _ in 0..100 {
            let tcp = TcpListener::bind("127.0.0.1:0").expect("a port");
            if let Ok(udp) = UdpSocket::bind(tcp.local_addr().expect("an address")) {
                return (udp, tcp);
            }
        }
        panic!("no port is free for both UDP and TCP");
    }

    /// Sets the answer for a name.
    pub fn set(&self, name: &str, zone: DnsAnswer) {
        self.zones.lock().expect("the zones").insert(name.to_owned(), zone);
    }

    /// Returns the number of queries for a name.
    pub fn asked(&self, name: &str) -> usize {
        self.asked.lock().expect("the questions").iter().filter(|n| *n == name).count()
    }

    fn zone(&self, bytes: &[u8]) -> Option<(DnsAnswer, usize)> {
        let (name, end) = question(bytes)?;
        self.asked.lock().expect("the questions").push(name.clone());
        let zone = self.zones.lock().expect("the zones").get(&name).cloned();
        Some((zone.unwrap_or(DnsAnswer::ServerFailure), end))
    }

    fn datagrams(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            let Some((zone, end)) = self.zone(&buffer[..n]) else { continue };
            let asked = &buffer[..n];
            let send = |bytes: Vec<u8>| drop(socket.send_to(&bytes, from));
            match zone {
                DnsAnswer::Addresses(all, ttl) => send(answer(asked, end, &all, ttl, OK)),
                DnsAnswer::Truncated(..) => send(answer(asked, end, &[], 0, TRUNCATED)),
                DnsAnswer::ServerFailure => send(answer(asked, end, &[], 0, SERVFAIL)),
                DnsAnswer::NoAnswer => {}
                DnsAnswer::Forged(all, ttl) => {
                    let mut forged = answer(asked, end, &[Ipv4Addr::new(127, 0, 0, 99)], 60, OK);
                    forged[0] ^= 1;
                    send(forged);
                    send(answer(asked, end, &all, ttl, OK));
                }
            }
        }
    }

    fn streams(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().flatten() {
            let mut length = [0; 2];
            if stream.read_exact(&mut length).is_err() {
                continue;
            }
            let mut asked = vec![0; usize::from(u16::from_be_bytes(length))];
            if stream.read_exact(&mut asked).is_err() {
                continue;
            }
            let Some((DnsAnswer::Truncated(all, ttl), end)) = self.zone(&asked) else { continue };
            let bytes = answer(&asked, end, &all, ttl, OK);
            let _ = stream.write_all(&[&(bytes.len() as u16).to_be_bytes()[..], &bytes].concat());
        }
    }
}
