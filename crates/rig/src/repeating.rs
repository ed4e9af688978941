//! A fake endpoint that sends second copies of its answers, and an account of what it did with each call.

use crate::{MS, Page};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the endpoint does with one call.
pub struct Script {
    /// None closes the connection in place of an answer.
    pub answer: Option<String>,
    /// From the call's last byte to the answer.
    pub delay: Duration,
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
pub struct RepeatingEndpoint {
    pub address: SocketAddr,
}

impl RepeatingEndpoint {
    /// `script` is asked for each call, with its number at this endpoint from 0.
    pub fn start(
        name: &'static str,
        log: &CallLog,
        script: impl Fn(usize, &Page) -> Script + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Server { name, log: log.clone(), calls: AtomicUsize::new(0), script });
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream, connection));
            }
        });
        RepeatingEndpoint { address }
    }
}

struct Server<F> {
    name: &'static str,
    log: CallLog,
    calls: AtomicUsize,
    script: F,
}

impl<F: Fn(usize, &Page) -> Script> Server<F> {
    fn serve(&self, stream: TcpStream, connection: usize) {
        stream.set_nodelay(true).expect("no delay");
        let out = Arc::new(Mutex::new(stream.try_clone().expect("a handle")));
        let mut from = BufReader::new(stream);
        while let Some(call) = Page::read(&mut from) {
            let script = (self.script)(self.calls.fetch_add(1, Ordering::SeqCst), &call);
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
    fn arrived(&self, call: &Page, connection: usize, stream: &TcpStream) -> usize {
        let id = call.head("x-request-id").unwrap_or_default().to_owned();
        let stream = Some(Arc::new(stream.try_clone().expect("a handle")));
        let mut log = self.log.lock().expect("the log");
        let overlaps = log.iter().any(|other| other.id == id && other.is_out());
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
