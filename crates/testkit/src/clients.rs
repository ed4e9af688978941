//! The clients of a run. Each submits messages one after the other to one courier, on one connection for as long as it
//! stays open.

use crate::courier_file::ORDER_HEADER;
use crate::record::Submission;
use crate::scenario::{Scenario, StartMode};
use stairshed_rig::{HttpMessage, request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

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
}

/// One client.
struct Client {
    class: String,
    courier: usize,
    address: SocketAddr,
    /// Value of its order header.
    order_key: String,
}

/// The body of a message, of this length at least.
pub fn body_of(id: &str, length: usize) -> String {
    format!("{id:x<length$}")
}

impl ClientGroup {
    /// Starts the clients of all couriers, which take them at these addresses.
    pub fn start(scenario: &Scenario, addresses: &[SocketAddr]) -> Self {
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
        });
        let mut threads = Vec::new();
        for (courier, address) in addresses.iter().enumerate() {
            for class in &clients.classes {
                for number in 0..clients.per_class {
                    let order_key = format!("{class}-{courier}-{number}");
                    let client = Client { class: class.clone(), courier, address: *address, order_key };
                    let shared = shared.clone();
                    threads.push(thread::spawn(move || shared.run(&client)));
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
    fn run(&self, client: &Client) {
        let mut open = None;
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(self.pause);
            let Some(connection) = open.take().or_else(|| self.connect(client.address)) else { continue };
            open = self.submit(client, connection);
        }
    }

    fn connect(&self, to: SocketAddr) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(self.patience)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }

    /// Submits one message. Returns the connection if it can be used again.
    fn submit(&self, client: &Client, mut connection: BufReader<TcpStream>) -> Option<BufReader<TcpStream>> {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{}-{number}", client.class);
        let pool = number % self.pools;
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
        let written = connection.get_mut().write_all(request(&path, &id, &headers, &body).as_bytes());
        let answer = written.ok().and_then(|()| HttpMessage::read(&mut connection));
        let waited = sent.elapsed();
        let is_closed = answer.is_none() && waited < self.patience;
        self.submissions.lock().expect("the submissions").push(Submission {
            id,
            class: client.class.clone(),
            courier: client.courier,
            order_key: client.order_key.clone(),
            sent,
            answer: answer.as_ref().map(|answer| (Instant::now(), answer.status())),
            closed_after: is_closed.then_some(waited),
        });
        let closes = answer?.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        (!closes).then_some(connection)
    }
}
