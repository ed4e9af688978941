//! A fake endpoint that sends second copies of its responses, and a log of what it did with each call.

use crate::{HttpMessage, MS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the endpoint handles one call.
pub struct Script {
    /// The response; None closes the connection instead.
    pub answer: Option<String>,
    /// Time from the last byte of the call to the response.
    pub delay: Duration,
    /// Whether the connection is reset immediately after the response.
    pub reset_after: bool,
    /// Delay after which a second copy of the response is sent, whatever was received on the connection by
    /// then.
    pub copy_after: Option<Duration>,
}

/// A call and how the endpoint handled it.
#[derive(Clone, Debug)]
pub struct ServedCall {
    pub id: String,
    /// Name of the endpoint, as passed to `start`.
    pub endpoint: String,
    /// Its zone: endpoints of one zone recognise each other's keys.
    pub zone: String,
    /// The header field `X-Courier`, which names the courier that sent it; empty without one.
    pub courier: String,
    pub body: Vec<u8>,
    pub connection: usize,
    pub arrived: Instant,
    /// Whether another call of the same message was in flight when this one arrived.
    pub overlaps: bool,
    /// When its response was written or its connection was found closed; None while it is in flight.
    pub ended: Option<Instant>,
    /// Status of the response; None if the connection was closed before it.
    pub status: Option<u16>,
    /// The wait that its response told, in the field `Wait-Ms`.
    pub told_wait: Option<Duration>,
    /// Handle of its connection while the call is in flight.
    stream: Option<Arc<TcpStream>>,
}

impl ServedCall {
    /// A call that arrived at this time, for checks of made-up records.
    pub fn arrived_at(id: &str, endpoint: &str, zone: &str, arrived: Instant) -> Self {
        ServedCall {
            id: id.to_owned(),
            endpoint: endpoint.to_owned(),
            zone: zone.to_owned(),
            courier: String::new(),
            body: Vec::new(),
            connection: 0,
            arrived,
            overlaps: false,
            ended: None,
            status: None,
            told_wait: None,
            stream: None,
        }
    }

    /// Whether the courier still waits for the response. Asks the kernel, since the thread that serves the
    /// call may not have noticed a close yet.
    fn is_in_flight(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| !is_closed(stream))
    }
}

/// `MSG_PEEK | MSG_DONTWAIT`.
const PEEK_NONBLOCKING: i32 = 0x42;

/// Whether the kernel has seen the peer close the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let read = socket2::SockRef::from(stream).recv_with_flags(&mut byte, PEEK_NONBLOCKING);
    !matches!(read, Ok(1..)) && read.map_err(|e| e.kind()) != Err(std::io::ErrorKind::WouldBlock)
}

/// Calls at all endpoints of one test, in order of arrival.
pub type CallLog = Arc<Mutex<Vec<ServedCall>>>;

/// The fake endpoint. Each connection is served by a thread of its own until the process ends.
pub struct DuplicatingEndpoint {
    pub address: SocketAddr,
}

impl DuplicatingEndpoint {
    /// Starts an endpoint, alone in its zone, that gets a script for each call.
    pub fn start(name: &str, log: &CallLog, script: impl Fn() -> Script + Send + Sync + 'static) -> Self {
        Self::start_in_zone(name, name, log, script)
    }

    /// Like [`Self::start`], for one endpoint of a zone.
    pub fn start_in_zone(
        name: &str,
        zone: &str,
        log: &CallLog,
        script: impl Fn() -> Script + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server =
            Arc::new(Server { name: name.to_owned(), zone: zone.to_owned(), log: log.clone(), script });
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream, connection));
            }
        });
        DuplicatingEndpoint { address }
    }
}

/// Returns a unique response: 503 with the probability `refused`, else 200.
pub fn distinct_answer(rng: &mut SmallRng, refused: f64) -> String {
    let report = format!("X-Server-Load: TEXT x0={:.3}, x1=900", rng.random_range(0.5..1.0));
    if rng.random_bool(refused) {
        return format!("HTTP/1.1 503 Service Unavailable\r\n{report}\r\nContent-Length: 0\r\n\r\n");
    }
    format!("HTTP/1.1 200 OK\r\n{report}\r\nContent-Length: 16\r\n\r\n{:016x}", rng.random::<u64>())
}

/// Returns a 410 response: complete, with a truncated head or body, or malformed.
pub fn gone_answer(rng: &mut SmallRng) -> String {
    let rest = [
        "Content-Length: 0\r\n\r\n",
        "Content-Length: 9\r\n\r\n",
        "Content-Length: 9\r\n\r\nfour",
        "X-Server-Load: TEXT x0=",
        "Content-Length: 5, 7\r\n\r\nabcde",
        "no head at all\r\n\r\n",
    ];
    format!("HTTP/1.1 410 Gone\r\n{}", rest[rng.random_range(0..rest.len())])
}

/// Starts one endpoint per destination in each of two zones and returns their entries in discovery's format.
/// Each endpoint draws its scripts from a random generator of its own.
pub fn start_in_two_zones(
    destinations: u64,
    log: &CallLog,
    seed: u64,
    script: impl Fn(&mut SmallRng) -> Script + Clone + Send + Sync + 'static,
) -> Vec<Value> {
    let zones = [("a", "zone-a"), ("b", "zone-b")];
    let all = (0..destinations).flat_map(|destination| zones.map(|zone| (destination, zone)));
    all.map(|(destination, (site, name))| {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed * 100 + destination));
        let script = script.clone();
        let draw = move || script(&mut rng.lock().expect("the generator"));
        let endpoint = DuplicatingEndpoint::start(name, log, draw);
        json!({"host": format!("s-{site}{destination}"), "dial": endpoint.address.to_string(), "site": site,
            "class": "shops", "block": destination, "health": "ready", "share": 900.0, "born_ms": 0})
    })
    .collect()
}

struct Server<F> {
    name: String,
    zone: String,
    log: CallLog,
    script: F,
}

impl<F: Fn() -> Script> Server<F> {
    fn serve(&self, stream: TcpStream, connection: usize) {
        stream.set_nodelay(true).expect("no delay");
        let out = Arc::new(Mutex::new(stream.try_clone().expect("a handle")));
        let mut from = BufReader::new(stream);
        while let Some(call) = HttpMessage::read(&mut from) {
            let script = (self.script)();
            let entry = self.record_arrival(&call, connection, from.get_ref());
            if !stays_open(from.get_ref(), script.delay) {
                return self.record_end(entry, None, None);
            }
            let Some(answer) = script.answer else {
                return self.record_end(entry, None, None);
            };
            let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
            // Recorded before the write: otherwise a courier that reacts to the response could appear to act
            // before it.
            self.record_end(entry, status, told_wait(&answer));
            if !write(&out, &answer) {
                return;
            }
            if script.reset_after {
                // Closing with a linger time of zero sends a reset.
                let _ = socket2::SockRef::from(from.get_ref()).set_linger(Some(Duration::ZERO));
                return;
            }
            if let Some(after) = script.copy_after {
                let out = out.clone();
                thread::spawn(move || {
                    thread::sleep(after);
                    write(&out, &answer);
                });
            }
        }
    }

    /// Records an arrived call and returns its index in the log.
    fn record_arrival(&self, call: &HttpMessage, connection: usize, own: &TcpStream) -> usize {
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let stream = Some(Arc::new(own.try_clone().expect("a handle")));
        let mut log = self.log.lock().expect("the log");
        // A call whose connection is already closed is not in flight; it was only read late.
        let overlaps = !is_closed(own) && log.iter().any(|other| other.id == id && other.is_in_flight());
        log.push(ServedCall {
            id,
            endpoint: self.name.clone(),
            zone: self.zone.clone(),
            courier: call.header("x-courier").unwrap_or_default().to_owned(),
            body: call.body.clone(),
            connection,
            arrived: Instant::now(),
            overlaps,
            ended: None,
            status: None,
            told_wait: None,
            stream,
        });
        log.len() - 1
    }

    fn record_end(&self, entry: usize, status: Option<u16>, told_wait: Option<Duration>) {
        let mut log = self.log.lock().expect("the log");
        let call = &mut log[entry];
        (call.ended, call.status, call.stream) = (Some(Instant::now()), status, None);
        call.told_wait = told_wait;
    }
}

/// The wait that a response tells.
fn told_wait(answer: &str) -> Option<Duration> {
    let field = answer.lines().find_map(|line| line.strip_prefix("Wait-Ms: "))?;
    field.trim().parse().ok().map(Duration::from_millis)
}

fn write(out: &Mutex<TcpStream>, text: &str) -> bool {
    out.lock().expect("the connection").write_all(text.as_bytes()).is_ok()
}

/// Waits for the delay. Returns false as soon as the peer has closed the connection.
fn stays_open(stream: &TcpStream, delay: Duration) -> bool {
    let end = Instant::now() + delay;
    let mut byte = [0];
    while Instant::now() < end {
        stream.set_read_timeout(Some(MS)).expect("a read timeout");
        match stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(MS),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    stream.set_read_timeout(None).expect("no read timeout");
    true
}
