//! A fake endpoint that sends second copies of its answers, and an account of what it did with each call.

use crate::{HttpMessage, MS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the endpoint does with one call.
pub struct Script {
    /// None closes the connection in place of an answer.
    pub answer: Option<String>,
    /// From the call's last byte to the answer.
    pub delay: Duration,
    /// The connection is reset right behind the answer.
    pub reset_after: bool,
    /// A second copy follows the answer by so much, whatever has come on the connection by then.
    pub copy_after: Option<Duration>,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct ServedCall {
    pub id: String,
    /// The endpoint's name, as given to it.
    pub endpoint: &'static str,
    pub connection: usize,
    pub arrived: Instant,
    /// Another call of the same message was out when it came.
    pub overlaps: bool,
    /// When its answer was written, or its connection was found closed; None while it is out.
    pub ended: Option<Instant>,
    /// None if its connection was closed before the answer.
    pub status: Option<u16>,
    /// A handle on its connection, as long as it is out.
    stream: Option<Arc<TcpStream>>,
}

impl ServedCall {
    /// Whether the courier still waits for its answer. Asks the kernel: the thread that serves the call may not have
    /// seen a close yet.
    fn is_out(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| !is_closed(stream))
    }
}

/// `MSG_PEEK | MSG_DONTWAIT`.
const LOOK_ONLY: i32 = 0x42;

/// Whether the peer has closed a connection, as far as the kernel knows.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let read = socket2::SockRef::from(stream).recv_with_flags(&mut byte, LOOK_ONLY);
    !matches!(read, Ok(1..)) && read.map_err(|e| e.kind()) != Err(std::io::ErrorKind::WouldBlock)
}

/// Calls of all endpoints of one test, in order of arrival.
pub type CallLog = Arc<Mutex<Vec<ServedCall>>>;

/// Its connections are served each by a thread, until the process ends.
pub struct DuplicatingEndpoint {
    pub address: SocketAddr,
}

impl DuplicatingEndpoint {
    /// `script` is asked for each call.
    pub fn start(
        name: &'static str,
        log: &CallLog,
        script: impl Fn() -> Script + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Server { name, log: log.clone(), script });
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream, connection));
            }
        });
        DuplicatingEndpoint { address }
    }
}

/// An answer that differs from all others: 503 for a share of `refused` of the calls, else 200.
pub fn distinct_answer(rng: &mut SmallRng, refused: f64) -> String {
    let report = format!("X-Server-Load: TEXT x0={:.3}, x1=900", rng.random_range(0.5..1.0));
    if rng.random_bool(refused) {
        return format!("HTTP/1.1 503 Service Unavailable\r\n{report}\r\nContent-Length: 0\r\n\r\n");
    }
    format!("HTTP/1.1 200 OK\r\n{report}\r\nContent-Length: 16\r\n\r\n{:016x}", rng.random::<u64>())
}

/// An answer that says that the message is over: whole, without an end of its head or body, or one that cannot be read.
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

/// Starts an endpoint of each destination in each of two zones; their list in discovery's form. Each draws its scripts
/// from a generator of its own.
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
    name: &'static str,
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
            let entry = self.arrived(&call, connection, from.get_ref());
            if !stays_open(from.get_ref(), script.delay) {
                return self.ended(entry, None);
            }
            let Some(answer) = script.answer else {
                return self.ended(entry, None);
            };
            let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
            // Ended first: a courier that acts on the answer must not be seen to act before it.
            self.ended(entry, status);
            if !write(&out, &answer) {
                return;
            }
            if script.reset_after {
                // A close that waits for nothing sends a reset.
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

    /// Notes a call; its place in the log.
    fn arrived(&self, call: &HttpMessage, connection: usize, own: &TcpStream) -> usize {
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let stream = Some(Arc::new(own.try_clone().expect("a handle")));
        let mut log = self.log.lock().expect("the log");
        // One whose connection is closed already is not out, and has only been read late.
        let overlaps = !is_closed(own) && log.iter().any(|other| other.id == id && other.is_out());
        log.push(ServedCall {
            id,
            endpoint: self.name,
            connection,
            arrived: Instant::now(),
            overlaps,
            ended: None,
            status: None,
            stream,
        });
        log.len() - 1
    }

    fn ended(&self, entry: usize, status: Option<u16>) {
        let mut log = self.log.lock().expect("the log");
        let call = &mut log[entry];
        (call.ended, call.status, call.stream) = (Some(Instant::now()), status, None);
    }
}

fn write(out: &Mutex<TcpStream>, text: &str) -> bool {
    out.lock().expect("the connection").write_all(text.as_bytes()).is_ok()
}

/// Waits for so long; false as soon as the peer has closed the connection.
fn stays_open(stream: &TcpStream, delay: Duration) -> bool {
    let end = Instant::now() + delay;
    let mut byte = [0];
    while Instant::now() < end {
        stream.set_read_timeout(Some(MS)).expect("a time-out");
        match stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(MS),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    stream.set_read_timeout(None).expect("no time-out");
    true
}
