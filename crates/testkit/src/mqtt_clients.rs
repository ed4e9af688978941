//! The MQTT clients of a run. Each publishes messages at QoS 1 one after the other, keeps its session over connections
//! that break or that it leaves, publishes again what was not acknowledged, and hears how its messages end.

use crate::clients::body_of;
use crate::record::{ACCEPTED, Outcome, Submission};
use crate::scenario::Scenario;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_mqtt::packet::{Ack, Connect, Packet, Publish, Qos, Subscribe, Version};
use stairshed_mqtt::{Reader, encode};
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// User property with a message's id.
pub const ID_PROPERTY: &str = "id";
/// Part of the names of MQTT clients, and of the ids of their messages.
const NAME_PART: &str = "mqtt";
/// Status under which a PUBLISH that was refused is recorded.
const REFUSED: u16 = 503;
/// Reason codes from here on say that a packet was refused.
const FIRST_ERROR: u8 = 0x80;
/// Time for which sessions outlive their connections, in seconds.
const SESSION_EXPIRY_SECONDS: u32 = 600;
/// Longest packet that a client reads, in bytes.
const MAX_PACKET_BYTES: usize = 1 << 20;
/// Time between two looks at the time while a client reads.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Packet id of the subscription; those of messages are lower.
const SUBSCRIPTION_ID: u16 = u16::MAX;

/// What the clients have submitted and heard.
#[derive(Default)]
pub struct MqttRecord {
    pub submissions: Vec<Submission>,
    pub outcomes: Vec<Outcome>,
    /// Connections on which the session was present.
    pub sessions_resumed: usize,
}

/// The clients' threads.
pub struct MqttClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<MqttRecord>>,
}

impl MqttClients {
    /// Starts the clients of all couriers, which take them at these addresses.
    pub fn start(scenario: &Scenario, seed: u64, addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (courier, address) in addresses.iter().enumerate() {
            for class in &scenario.clients.classes {
                for number in 0..scenario.clients.mqtt {
                    let name = format!("{class}-{NAME_PART}-{courier}-{number}");
                    let client = Client {
                        scenario: scenario.clone(),
                        class: class.clone(),
                        courier,
                        address: *address,
                        rng: SmallRng::seed_from_u64(seed.wrapping_add(threads.len() as u64)),
                        name,
                        next: 0,
                        unanswered: None,
                        untold: BTreeSet::new(),
                        record: MqttRecord::default(),
                    };
                    let stop = stop.clone();
                    threads.push(thread::spawn(move || client.run(&stop)));
                }
            }
        }
        MqttClients { stop, threads }
    }

    /// Lets the clients publish nothing more. They end when they have heard how all their messages ended, or should have.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Whether all clients have ended, after [`Self::stop`].
    pub fn have_ended(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits for the clients' ends and returns what they have submitted and heard.
    pub fn join(self) -> MqttRecord {
        self.stop();
        let mut all = MqttRecord::default();
        for own in self.threads.into_iter().filter_map(|client| client.join().ok()) {
            all.submissions.extend(own.submissions);
            all.outcomes.extend(own.outcomes);
            all.sessions_resumed += own.sessions_resumed;
        }
        all
    }
}

/// One client.
struct Client {
    scenario: Scenario,
    class: String,
    courier: usize,
    address: SocketAddr,
    rng: SmallRng,
    name: String,
    /// Number of the next message.
    next: u16,
    /// The message that was published and not acknowledged.
    unanswered: Option<u16>,
    /// Ids of messages that are accepted and of whose end the client has not heard.
    untold: BTreeSet<String>,
    record: MqttRecord,
}

/// A connection whose session is open.
struct Connection {
    stream: TcpStream,
    reader: Reader,
    session_present: bool,
}

/// The connection was closed, or sent what it should not.
struct Closed;

impl Client {
    fn run(mut self, stop: &AtomicBool) -> MqttRecord {
        let pause = Duration::from_secs_f64(1.0 / self.scenario.clients.rate);
        let limit = self.scenario.clients.deadline.0 + self.scenario.clients.lateness.0;
        let (mut connection, mut stopped) = (None, None);
        while !(stopped.is_some_and(|at: Instant| at.elapsed() > limit)
            || stopped.is_some() && self.untold.is_empty())
        {
            if stop.load(Ordering::SeqCst) {
                stopped.get_or_insert_with(Instant::now);
            }
            connection = connection.take().or_else(|| self.connect());
            let Some(open) = &mut connection else {
                thread::sleep(pause);
                continue;
            };
            let result = match stopped {
                None => self.submit(open).and_then(|()| self.listen(open, pause)),
                Some(_) => self.listen(open, pause),
            };
            let leaves = self.rng.random_bool(self.scenario.clients.reconnect);
            if result.is_err() || leaves {
                connection = None;
            }
        }
        self.record
    }

    /// Opens a connection, resumes the session and subscribes to the outcomes.
    fn connect(&mut self) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = Reader::client(Version::V5, MAX_PACKET_BYTES);
        let mut connection = Connection { stream, reader, session_present: false };
        let connect =
            Connect { clean: false, expiry: SESSION_EXPIRY_SECONDS, ..Connect::new(Version::V5, &self.name) };
        connection.send(Packet::Connect(Box::new(connect))).ok()?;
        let end = Instant::now() + self.scenario.clients.patience.0;
        let Some(Packet::Connack(connack)) = connection.receive(end).ok()? else { return None };
        if connack.code >= FIRST_ERROR {
            return None;
        }
        connection.session_present = connack.session_present;
        self.record.sessions_resumed += usize::from(connack.session_present);
        let filters = vec![(format!("$stairshed/outcomes/{}", self.name), Qos::AtLeastOnce)];
        let subscribe = Subscribe { id: SUBSCRIPTION_ID, has_subscription_id: false, filters };
        connection.send(Packet::Subscribe(subscribe)).ok()?;
        Some(connection)
    }

    /// Publishes a message, the unanswered one first, and waits for its acknowledgement.
    fn submit(&mut self, connection: &mut Connection) -> Result<(), Closed> {
        let is_repeat = self.unanswered.is_some();
        let number = self.unanswered.unwrap_or(self.next);
        if !is_repeat {
            self.next += 1;
        }
        self.unanswered = Some(number);
        let id = format!("{}-{number}", self.name);
        let topic = format!("{}/{}", self.class, usize::from(number) % self.scenario.endpoints.pools);
        let body = body_of(&id, self.scenario.clients.body);
        let packet_id = number + 1;
        let publish = Publish {
            dup: is_repeat && connection.session_present,
            properties: vec![(ID_PROPERTY.to_owned(), id.clone())],
            ..Publish::new(&topic, Qos::AtLeastOnce, Some(packet_id), Bytes::from(body))
        };
        let sent = Instant::now();
        let end = sent + self.scenario.clients.patience.0;
        let published = connection.send(Packet::Publish(Box::new(publish)));
        let answer = published.and_then(|()| self.wait_for_ack(connection, packet_id, end));
        let status = answer.as_ref().ok().map(|code| if *code < FIRST_ERROR { ACCEPTED } else { REFUSED });
        if status.is_some() {
            self.unanswered = None;
        }
        if status == Some(ACCEPTED) && !self.record.outcomes.iter().any(|outcome| outcome.id == id) {
            self.untold.insert(id.clone());
        }
        self.record.submissions.push(Submission {
            first_on_connection_of: None,
            id,
            class: self.class.clone(),
            courier: self.courier,
            order_key: self.name.clone(),
            is_repeat,
            is_mqtt: true,
            sent,
            answer: status.map(|status| (Instant::now(), status)),
            closed_after: None,
        });
        answer.map(|_| ())
    }

    fn wait_for_ack(
        &mut self,
        connection: &mut Connection,
        packet_id: u16,
        end: Instant,
    ) -> Result<u8, Closed> {
        loop {
            match connection.receive(end)? {
                Some(Packet::Puback(ack)) if ack.id == packet_id => return Ok(ack.code),
                Some(Packet::Publish(publish)) => self.hear(connection, &publish)?,
                Some(_) => {}
                None => return Err(Closed),
            }
        }
    }

    /// Reads outcomes for this long.
    fn listen(&mut self, connection: &mut Connection, time: Duration) -> Result<(), Closed> {
        let end = Instant::now() + time;
        while let Some(packet) = connection.receive(end)? {
            if let Packet::Publish(publish) = packet {
                self.hear(connection, &publish)?;
            }
        }
        Ok(())
    }

    /// Records an outcome and acknowledges it.
    fn hear(&mut self, connection: &mut Connection, publish: &Publish) -> Result<(), Closed> {
        let line: serde_json::Value = serde_json::from_slice(&publish.payload).map_err(|_| Closed)?;
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        let outcome = Outcome { at: Instant::now(), id: text("ref"), result: text("result") };
        self.untold.remove(&outcome.id);
        self.record.outcomes.push(outcome);
        publish.id.map_or(Ok(()), |id| connection.send(Packet::Puback(Ack::new(id, 0))))
    }
}

impl Connection {
    fn send(&mut self, packet: Packet) -> Result<(), Closed> {
        let bytes = encode(Version::V5, packet, None).map_err(|_| Closed)?;
        self.stream.write_all(&bytes).map_err(|_| Closed)
    }

    /// The next packet, if one comes until then.
    fn receive(&mut self, end: Instant) -> Result<Option<Packet>, Closed> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(packet) = self.reader.packet().map_err(|_| Closed)? {
                return Ok(Some(packet));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(Closed),
                Ok(number) => self.reader.push(&bytes[..number]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return Err(Closed),
            }
        }
    }
}
