//! A load of the same rate whatever the courier answers: each client submits at fixed times and gives up on an answer
//! before the next one. Half of the clients keep their connection, the others connect for each message.

use crate::record::ACCEPTED;
use crate::scenario::{CLASSES, Scenario, StartMode};
use stairshed_rig::{HttpMessage, request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of clients; with [`PERIOD`] it makes 200 messages per second.
const CLIENTS: u32 = 100;
/// Time between two messages of a client.
const PERIOD: Duration = Duration::from_millis(500);
/// How long a client waits for an answer: less than [`PERIOD`], so that it is never late for its next message.
const PATIENCE: Duration = Duration::from_millis(400);

/// What a client was answered.
#[derive(Clone, Debug)]
pub struct LoadAnswer {
    pub at: Instant,
    pub status: u16,
    /// The header field `X-Reason`.
    pub reason: Option<String>,
}

/// A message that was submitted.
#[derive(Clone, Debug)]
pub struct LoadMessage {
    pub id: String,
    pub sent: Instant,
    /// None: the connection failed, or no answer came in time.
    pub answer: Option<LoadAnswer>,
}

impl LoadMessage {
    /// When the courier accepted it, if its client heard so.
    pub fn accepted_at(&self) -> Option<Instant> {
        let answer = self.answer.as_ref()?;
        (answer.status == ACCEPTED).then_some(answer.at)
    }
}

/// The clients' threads.
pub struct SteadyLoad {
    threads: Vec<JoinHandle<Vec<LoadMessage>>>,
}

impl SteadyLoad {
    /// Starts the clients, which submit from one time to the other.
    pub fn start(
        scenario: &Scenario,
        courier: SocketAddr,
        body_bytes: usize,
        from: Instant,
        until: Instant,
    ) -> Self {
        let threads = (0..CLIENTS).map(|number| {
            let client = Client {
                number,
                class: CLASSES[number as usize % CLASSES.len()],
                keeps_connection: (number as usize / CLASSES.len()).is_multiple_of(2),
                courier,
                start: scenario.start,
                pools: scenario.endpoints.pools,
                deadline: scenario.clients.deadline.0,
                body: "x".repeat(body_bytes),
            };
            thread::spawn(move || client.run(from + PERIOD * number / CLIENTS, until))
        });
        SteadyLoad { threads: threads.collect() }
    }

    /// Waits for the clients' ends and returns what they submitted.
    pub fn join(self) -> Vec<LoadMessage> {
        self.threads.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    }
}

/// One client.
struct Client {
    number: u32,
    class: &'static str,
    keeps_connection: bool,
    courier: SocketAddr,
    start: StartMode,
    pools: usize,
    deadline: Duration,
    body: String,
}

impl Client {
    fn run(&self, first: Instant, until: Instant) -> Vec<LoadMessage> {
        let mut messages = Vec::new();
        let mut open = None;
        let mut next = first;
        while next < until {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let id = format!("{}-{}-{}", self.class, self.number, messages.len());
            let sent = Instant::now();
            let answer = self.submit(&id, messages.len() % self.pools, &mut open);
            messages.push(LoadMessage { id, sent, answer });
            next += PERIOD;
        }
        messages
    }

    /// Submits one message on the open connection, if there is one, and leaves it open if it can be used again.
    fn submit(&self, id: &str, pool: usize, open: &mut Option<BufReader<TcpStream>>) -> Option<LoadAnswer> {
        let mut connection = open.take().or_else(|| self.connect())?;
        let (path, headers) = self.address(id, pool);
        let request = request(&path, id, &headers, &self.body);
        connection.get_mut().write_all(request.as_bytes()).ok()?;
        let answer = HttpMessage::read(&mut connection)?;
        let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if self.keeps_connection && !closes {
            *open = Some(connection);
        }
        Some(LoadAnswer {
            at: Instant::now(),
            status: answer.status(),
            reason: answer.header("x-reason").map(str::to_owned),
        })
    }

    /// Path and header fields of a message: the platform's couriers go by the class and the envelope, the others by
    /// the path.
    fn address(&self, id: &str, pool: usize) -> (String, String) {
        let class = self.class;
        let common = format!("X-Timeout: {}m\r\nIdempotency-Key: key-{id}\r\n", self.deadline.as_millis());
        match self.start {
            StartMode::File => (format!("/{class}/{pool}"), common),
            StartMode::Platform => {
                let headers = format!("{common}X-Priority-Class: {class}\r\nEnvelope: dest={pool}\r\n");
                (format!("/{class}"), headers)
            }
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.courier, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.set_write_timeout(Some(PATIENCE)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }
}
