//! The clients of a run. Each submits messages one after the other to one courier, on one connection for as long as it
//! stays open.

use crate::courier_file::ORDER_HEADER;
use crate::record::Submission;
use crate::scenario::{Scenario, StartMode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_rig::{HttpMessage, request};
use std::collections::VecDeque;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Seeds of clients' generators are this far apart for each run.
const SEED_STRIDE: u64 = 1000;
/// Longest pause between two pieces of a request.
const MAX_SPLIT_PAUSE: Duration = Duration::from_millis(600);

/// The clients' threads and what they have submitted.
pub struct ClientGroup {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    stop: AtomicBool,
    next_id: AtomicUsize,
    submissions: Mutex<Vec<Submission>>,
    start: StartMode,
    pools: usize,
    body: usize,
    pause: Duration,
    patience: Duration,
    deadline_ms: u128,
    resubmit: f64,
    remember: Duration,
    spare: usize,
    split: f64,
}

/// One client.
struct Client {
    class: String,
    courier: usize,
    address: SocketAddr,
    /// Value of its order header.
    order_key: String,
    rng: SmallRng,
    /// What it has submitted.
    messages: Vec<ClientMessage>,
}

/// A message of a client.
#[derive(Clone)]
struct ClientMessage {
    id: String,
    pool: usize,
    first_sent: Instant,
}

impl Client {
    /// Draws whether one of the messages of this span of time is submitted again, and which.
    fn draw_repeat(&mut self, probability: f64, span: Duration) -> Option<ClientMessage> {
        if !self.rng.random_bool(probability) {
            return None;
        }
        let first = self.messages.partition_point(|message| message.first_sent.elapsed() >= span);
        let recent = &self.messages[first..];
        let drawn = self.rng.random_range(0..recent.len().max(1));
        recent.get(drawn).cloned()
    }
}

/// An open connection of a client.
struct OpenConnection {
    reader: BufReader<TcpStream>,
    /// When it was opened; None once a request was sent on it.
    unused_since: Option<Instant>,
}

/// Whether the courier has not closed a connection that rests.
fn is_usable(connection: &OpenConnection) -> bool {
    let stream = connection.reader.get_ref();
    let looked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let waits = looked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    waits && stream.set_nonblocking(false).is_ok()
}

/// The body of a message, of this length at least.
pub fn body_of(id: &str, length: usize) -> String {
    format!("{id:x<length$}")
}

impl ClientGroup {
    /// Starts the clients of all couriers, which take them at these addresses.
    pub fn start(scenario: &Scenario, seed: u64, addresses: &[SocketAddr]) -> Self {
        let clients = &scenario.clients;
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            next_id: AtomicUsize::new(0),
            submissions: Mutex::default(),
            start: scenario.start,
            pools: scenario.endpoints.pools,
            body: clients.body,
            pause: Duration::from_secs_f64(1.0 / clients.rate),
            patience: clients.patience.0,
            deadline_ms: clients.deadline.0.as_millis(),
            resubmit: clients.resubmit,
            remember: clients.remember.map_or(Duration::ZERO, |span| span.0),
            spare: clients.spare,
            split: clients.split,
        });
        let mut threads = Vec::new();
        for (courier, address) in addresses.iter().enumerate() {
            for class in &clients.classes {
                for number in 0..clients.per_class {
                    let order_key = format!("{class}-{courier}-{number}");
                    let own_seed = seed.wrapping_mul(SEED_STRIDE).wrapping_add(threads.len() as u64);
                    let client = Client {
                        class: class.clone(),
                        courier,
                        address: *address,
                        order_key,
                        rng: SmallRng::seed_from_u64(own_seed),
                        messages: Vec::new(),
                    };
                    let shared = shared.clone();
                    threads.push(thread::spawn(move || shared.run(client)));
                }
            }
        }
        ClientGroup { shared, threads }
    }

    /// Lets the clients submit nothing more.
    pub fn stop(&self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }

    /// Whether all clients have ended, after [`Self::stop`].
    pub fn have_ended(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Returns what was submitted so far.
    pub fn submissions(&self) -> Vec<Submission> {
        self.shared.submissions.lock().expect("the submissions").clone()
    }

    /// Waits for the clients' ends and returns what they submitted.
    pub fn join(self) -> Vec<Submission> {
        self.stop();
        for client in self.threads {
            let _ = client.join();
        }
        self.shared.submissions.lock().expect("the submissions").clone()
    }
}

impl Shared {
    fn run(&self, mut client: Client) {
        // The connection in front is used next; with spare ones it has rested for some time.
        let mut open = VecDeque::new();
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(self.pause);
            open.retain(is_usable);
            while open.len() <= self.spare
                && let Some(connection) = self.connect(client.address)
            {
                open.push_back(connection);
            }
            let Some(connection) = open.pop_front() else { continue };
            open.extend(self.submit(&mut client, connection));
        }
    }

    fn new_message(&self, client: &mut Client) -> ClientMessage {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{}-{number}", client.class);
        let message = ClientMessage { id, pool: number % self.pools, first_sent: Instant::now() };
        client.messages.push(message.clone());
        message
    }

    fn connect(&self, to: SocketAddr) -> Option<OpenConnection> {
        let opened = Instant::now();
        let stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(self.patience)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(OpenConnection { reader: BufReader::new(stream), unused_since: Some(opened) })
    }

    /// Writes a request, at once or in two pieces.
    fn write(&self, client: &mut Client, stream: &mut TcpStream, text: &str) -> io::Result<()> {
        if self.split == 0.0 || !client.rng.random_bool(self.split) {
            return stream.write_all(text.as_bytes());
        }
        let (first, rest) = text.split_at(client.rng.random_range(1..text.len()));
        stream.write_all(first.as_bytes())?;
        thread::sleep(client.rng.random_range(Duration::ZERO..MAX_SPLIT_PAUSE));
        stream.write_all(rest.as_bytes())
    }

    /// Submits one message. Returns the connection if it can be used again.
    fn submit(&self, client: &mut Client, connection: OpenConnection) -> Option<OpenConnection> {
        let OpenConnection { mut reader, unused_since } = connection;
        // A repeat must arrive while the first submission's id is remembered.
        let repeat = client.draw_repeat(self.resubmit, self.remember.saturating_sub(self.patience));
        let is_repeat = repeat.is_some();
        let message = repeat.unwrap_or_else(|| self.new_message(client));
        let ClientMessage { id, pool, .. } = message;
        let path = match self.start {
            StartMode::File => format!("/{}/{pool}", client.class),
            StartMode::Platform => format!("/{}", client.class),
        };
        // The platform's couriers go by the class and the envelope, the others by the path.
        let headers = format!(
            "X-Timeout: {}m\r\nIdempotency-Key: key-{id}\r\nX-Priority-Class: {}\r\n\
             Envelope: dest={pool}\r\n{ORDER_HEADER}: {}\r\n",
            self.deadline_ms, client.class, client.order_key
        );
        let body = body_of(&id, self.body);
        let sent = Instant::now();
        let written = self.write(client, reader.get_mut(), &request(&path, &id, &headers, &body));
        let last_byte = Instant::now();
        // A courier may answer before the end of a request.
        let answer = HttpMessage::read(&mut reader);
        let is_closed = answer.is_none() && (written.is_err() || last_byte.elapsed() < self.patience);
        self.submissions.lock().expect("the submissions").push(Submission {
            id,
            class: client.class.clone(),
            courier: client.courier,
            order_key: client.order_key.clone(),
            is_repeat,
            is_mqtt: false,
            first_on_connection_of: unused_since,
            sent,
            answer: answer.as_ref().map(|answer| (Instant::now(), answer.status())),
            closed_after: is_closed.then(|| sent.elapsed()),
        });
        let closes = answer?.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        (!closes).then_some(OpenConnection { reader, unused_since: None })
    }
}
