//! MQTT server for publishing clients: all connections and sessions in one sans-I/O state machine.
//! [`Server::poll`] returns the effects to carry out, and [`Server::timeout`] when to call
//! [`Server::handle_timeout`] next.
//!
//! A PUBLISH becomes an [`Effect::Offer`]. It is acknowledged once the courier has reported that the message
//! is accepted and stored ([`Server::offer_answered`]), and at QoS 2 once its packet id is stored as well.
//! The outcome of a message is published to the client's outcome topic ([`Server::queue_outcome`]).

mod connection;
mod outcomes;
mod publish;
mod session_store;

use crate::Time;
use crate::error::ConnectionError;
use crate::frame::{Reader, encode};
use crate::packet::{Connack, Connect, Packet, Properties, Publish, Qos, Version, Will, code};
pub use crate::session::Outcome;
use crate::session::Session;
use crate::session::new_session_bytes;
use bytes::{Bytes, BytesMut};
use stairshed_clock::StableTime;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Prefix of the topic on which a client receives its outcomes; the client id follows.
pub const OUTCOME_TOPIC_PREFIX: &str = "$stairshed/outcomes/";
/// Maximum length of a client id in bytes.
const MAX_CLIENT_ID_BYTES: usize = 128;
/// Maximum number of user properties of a message, as many as a request over HTTP may have header fields. Each is
/// kept apart, and takes far more memory than its bytes in the packet.
const MAX_USER_PROPERTIES: usize = 100;
/// Maximum number of unacknowledged outcomes for one client, even if its Receive Maximum is higher.
const MAX_OUTCOMES_IN_FLIGHT: usize = 32;
/// Maximum number of undecided QoS 0 PUBLISHes of one connection; reading pauses at this number.
const MAX_PENDING_QOS0: usize = 64;
/// Maximum number of packet ids of a session that wait for their PUBREL, so that a client that never sends
/// one cannot grow the record without bound.
const MAX_UNRELEASED_PACKET_IDS: usize = 4096;

/// Estimated memory of a connection in bytes, without its input.
pub const CONNECTION_BYTES: u64 = 600;
/// Estimated memory of a pending offer in bytes.
const PENDING_OFFER_BYTES: u64 = 150;

/// Limits set by the operator.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of sessions, connected or not.
    pub sessions: usize,
    /// Maximum length of a packet in bytes.
    pub max_packet_size: usize,
    /// Maximum length of a payload in bytes.
    pub max_payload_bytes: usize,
    /// Receive Maximum: unacknowledged PUBLISHes of one client.
    pub receive_maximum: u16,
    pub topic_alias_max: u16,
    /// Maximum Session Expiry Interval in seconds.
    pub max_session_expiry_seconds: u32,
    /// Maximum keep alive in seconds; in 5.0 it also applies to clients that ask for none.
    pub max_keep_alive_seconds: u16,
    /// A connection without a CONNECT is closed after this time.
    pub connect_timeout: Time,
    /// Maximum number of outcomes queued for one client.
    pub max_outcomes: usize,
    /// Whether wills are accepted; otherwise a CONNECT with a will is refused.
    pub wills: bool,
}

/// Key of a session: `user/client`, with an empty user if there is none. User names contain no slash.
pub type Owner = String;

/// A message published by a client, offered to the courier.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Identifies the offer in [`Server::offer_answered`].
    pub token: u64,
    pub owner: Owner,
    pub publish: Publish,
    /// The message is a client's will. No client waits for the answer; a refusal is logged.
    pub will: bool,
    /// If the message would be refused, accept it and bounce it at once, with a record: 3.1.1 cannot express
    /// a refusal, and this client subscribes to its outcomes.
    pub bounce: bool,
    /// Whether the client expects an acknowledgement. If it leaves before the answer, it treats the message
    /// as not accepted. False at QoS 0.
    pub expects_ack: bool,
}

/// Something that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write {
        connection: u64,
        bytes: BytesMut,
    },
    /// Close the connection once all bytes have been written.
    Close {
        connection: u64,
    },
    /// Resume reading from the connection: see [`Server::wants_input`].
    ResumeReading {
        connection: u64,
    },
    /// Decide whether the client may connect; answer with [`Server::authorized`].
    Authorize {
        connection: u64,
        user: Option<String>,
        password: Option<Bytes>,
        owner: Owner,
        will: Option<Will>,
    },
    /// Decide about a message; answer with [`Server::offer_answered`].
    Offer(Box<Offer>),
    /// The client treats this offer as not accepted, unless it has been accepted already.
    AbandonOffer {
        token: u64,
    },
    /// Store the record of a session, or delete it if `record` is `None`; answer with
    /// [`Server::record_stored`].
    StoreSession {
        token: u64,
        owner: Owner,
        record: Option<String>,
    },
    /// The client has received the outcome of this message.
    OutcomeDelivered {
        message: u64,
    },
    /// The client will not receive the outcome of this message.
    OutcomeDropped {
        message: u64,
    },
    /// Write a line to the log.
    Log(String),
}

/// Decision about an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Accepted and stored; also if it had been accepted before, or was bounced at once as [`Offer::bounce`]
    /// asks.
    Accepted,
    /// Refused, with a reason code of 5.0 and the time after which to retry.
    Refused { code: u8, reason: String, wait: Option<Duration> },
}

/// Progress of a connection.
#[derive(Debug)]
enum Stage {
    AwaitingConnect,
    /// Waits for [`Server::authorized`]; `assigned` if the server generated the client id.
    Authorizing {
        connect: Box<Connect>,
        assigned: bool,
    },
    /// Waits for the session to be stored.
    StoringSession,
    Open,
}

/// State of one connection.
#[derive(Debug)]
struct Connection {
    reader: Reader,
    stage: Stage,
    since: Time,
    last_received: Time,
    /// One and a half times the keep alive; `None` if there is none.
    keep_alive_timeout: Option<Time>,
    version: Version,
    owner: Owner,
    aliases: HashMap<u16, String>,
    receive_maximum: u16,
    max_packet_size: Option<u32>,
    request_problem_info: bool,
    /// Number of undecided QoS 0 PUBLISHes.
    pending_qos0: usize,
    /// Its entry in `Server::deadlines`.
    due: Option<Time>,
    /// Its timeout was put off for input that has arrived and was not read.
    awaits_read: bool,
    /// Reading is paused.
    paused: bool,
}

/// An offer that waits for an answer.
struct Pending {
    owner: Owner,
    connection: u64,
    id: Option<u16>,
    qos: Qos,
    will: bool,
}

/// What to do once the record of a session is stored.
enum AfterStore {
    Open {
        connection: u64,
        connack: Box<Connack>,
    },
    Write {
        connection: u64,
        packet: Packet,
    },
    /// Send PUBCOMP, which frees the packet id. The record must be stored first: otherwise, after a crash, a
    /// new message under this id would be treated as a retransmission.
    Release {
        connection: u64,
        id: u16,
    },
    Nothing,
}

/// What a timeout belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Connection(u64),
    /// Key in [`Server::timers`].
    Session(u64),
}

/// Server state machine.
pub struct Server {
    limits: Limits,
    /// Unix time at which the monotonic clock reads zero.
    origin: StableTime,
    /// Random part of the ids assigned to clients that send none.
    nonce: u64,
    connections: HashMap<u64, Connection>,
    sessions: HashMap<Owner, Session>,
    pending: HashMap<u64, Pending>,
    /// Owners of wills that wait for an answer: the record of the session is kept until the will is stored as
    /// a message.
    pending_wills: BTreeSet<Owner>,
    pending_stores: HashMap<u64, (Owner, AfterStore)>,
    /// Pending timeouts in order. The entry of a connection may be too early; it is then inserted again.
    deadlines: BTreeSet<(Time, Due)>,
    /// Timers of sessions: expiry and will delay.
    timers: HashMap<u64, (Owner, Time, Timer)>,
    session_timers: HashMap<Owner, BTreeMap<Timer, u64>>,
    next_token: u64,
    effects: VecDeque<Effect>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Will,
    Expiry,
}

fn owner(user: Option<&str>, client: &str) -> Owner {
    format!("{}/{client}", user.unwrap_or_default())
}

/// Estimated memory in bytes that the session of a client takes when it begins, as
/// [`Server::estimated_session_bytes`] counts it.
pub fn session_bytes(owner: &str, will: Option<&Will>) -> u64 {
    let client = owner.split_once('/').map_or(owner, |(_, client)| client);
    owner.len() as u64 + new_session_bytes(client, will)
}

/// One and a half times the keep alive [MQTT-3.1.2-22].
fn keep_alive_timeout(keep_alive: u16) -> Option<Time> {
    (keep_alive > 0).then(|| Duration::from_millis(u64::from(keep_alive) * 1500))
}

/// Converts a will to the PUBLISH that is offered.
pub fn will_message(will: &Will) -> Publish {
    Publish {
        expiry: will.expiry,
        utf8: will.utf8,
        properties: will.properties.clone(),
        ..Publish::new(&will.topic, will.qos, None, will.payload.clone())
    }
}

/// CONNACK that refuses a CONNECT; `None` where 3.1.1 has no return code and the connection is only closed.
pub fn refusal(version: Version, code: u8, reason: &str, properties: Properties) -> Option<Connack> {
    if version == Version::V5 {
        return Some(Connack { reason: Some(reason.to_owned()), properties, ..Connack::new(code) });
    }
    let return_code = match code {
        code::CLIENT_ID_NOT_VALID => 2,
        code::BAD_USER_OR_PASSWORD => 4,
        code::MALFORMED_PACKET | code::PROTOCOL_ERROR => return None,
        code::SERVER_UNAVAILABLE | code::SERVER_BUSY | code::QUOTA_EXCEEDED => 3,
        _ => 5,
    };
    Some(Connack::new(return_code))
}

/// User property that tells the client after how many seconds to retry.
pub fn wait_property(wait: Option<Duration>) -> Properties {
    let property = |wait: Duration| ("retry-after".to_owned(), format!("{:.3}", wait.as_secs_f64()));
    wait.map(property).into_iter().collect()
}

impl Server {
    /// Creates a server without sessions; `origin` is the point on the stable clock at which
    /// [`Time`] is zero.
    pub fn new(limits: Limits, origin: StableTime, nonce: u64) -> Self {
        Server {
            limits,
            origin,
            nonce,
            connections: HashMap::new(),
            sessions: HashMap::new(),
            pending: HashMap::new(),
            pending_wills: BTreeSet::new(),
            pending_stores: HashMap::new(),
            deadlines: BTreeSet::new(),
            timers: HashMap::new(),
            session_timers: HashMap::new(),
            next_token: 1,
            effects: VecDeque::new(),
        }
    }

    /// Next effect to carry out.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Whether [`Server::poll`] has an effect to return.
    pub fn has_effects(&self) -> bool {
        !self.effects.is_empty()
    }

    /// When to call [`Server::handle_timeout`] next.
    pub fn timeout(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Whether the client has a session.
    pub fn has_session(&self, owner: &str) -> bool {
        self.sessions.contains_key(owner)
    }

    /// Estimated memory of all sessions in bytes.
    pub fn estimated_session_bytes(&self) -> u64 {
        self.sessions.iter().map(|(owner, s)| owner.len() as u64 + s.estimated_bytes()).sum()
    }

    /// Estimated memory in bytes of input that is not processed yet: buffered packets and pending offers.
    pub fn estimated_input_bytes(&self) -> u64 {
        let buffered: u64 = self.connections.values().map(|c| c.reader.buffered_bytes() as u64).sum();
        let pending_ids: u64 = self.sessions.values().map(Session::estimated_pending_bytes).sum();
        buffered + pending_ids + self.pending.len() as u64 * PENDING_OFFER_BYTES
    }

    /// Number of bytes of a connection's input that are not processed yet: the beginning of a packet, or packets
    /// that wait until the connection may be read again.
    pub fn buffered_input_bytes(&self, connection: u64) -> usize {
        self.connections.get(&connection).map_or(0, |c| c.reader.buffered_bytes())
    }

    /// Limits the input that is buffered for all connections together: while it is over `max_bytes`, ends the
    /// connection with most of it.
    pub fn limit_buffered_input(&mut self, max_bytes: u64, now: Time) {
        loop {
            let buffered = |c: &Connection| c.reader.buffered_bytes();
            let total: u64 = self.connections.values().map(|c| buffered(c) as u64).sum();
            let largest = self.connections.iter().max_by_key(|(_, c)| buffered(c)).map(|(id, _)| *id);
            let Some(connection) = largest.filter(|_| total > max_bytes) else { return };
            let error =
                ConnectionError { code: code::QUOTA_EXCEEDED, reason: "no memory for input of clients" };
            self.fail(connection, error, now);
        }
    }

    /// Ends a connection that has sent the beginning of a packet and nothing more for too long.
    pub fn input_stalled(&mut self, connection: u64, now: Time) {
        let error = ConnectionError {
            code: code::KEEP_ALIVE_TIMEOUT,
            reason: "a packet that does not come to its end",
        };
        self.fail(connection, error, now);
    }

    /// Maximum number of sessions.
    pub fn max_sessions(&self) -> usize {
        self.limits.sessions
    }

    /// Numbers of sessions and of connections.
    pub fn counts(&self) -> (usize, usize) {
        (self.sessions.len(), self.connections.len())
    }

    /// Whether to read from a connection. If not, data stays in the socket until [`Effect::ResumeReading`].
    pub fn wants_input(&mut self, connection: u64) -> bool {
        let reads = self.can_read(connection);
        if let Some(c) = self.connections.get_mut(&connection) {
            c.paused = !reads;
        }
        reads
    }

    fn can_read(&self, connection: u64) -> bool {
        let Some(c) = self.connections.get(&connection) else { return false };
        match c.stage {
            Stage::AwaitingConnect => true,
            Stage::Authorizing { .. } | Stage::StoringSession => false,
            Stage::Open => {
                let pending = self.sessions.get(&c.owner).map_or(0, |s| s.pending.len());
                let max_pending = usize::from(self.limits.receive_maximum);
                // A client of 5.0 that exceeds the Receive Maximum violates the protocol; its packets are
                // read so that the error can be reported to it.
                c.pending_qos0 < MAX_PENDING_QOS0 && (c.version == Version::V5 || pending < max_pending)
            }
        }
    }

    /// Processes bytes received on a connection.
    pub fn received(&mut self, connection: u64, bytes: &[u8], now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.reader.push(bytes);
        self.process_buffered(connection, now);
    }

    /// Processes buffered packets and resumes reading if it was paused.
    fn resume_reading(&mut self, connection: u64, now: Time) {
        self.process_buffered(connection, now);
        let may = self.can_read(connection);
        if let Some(c) = self.connections.get_mut(&connection)
            && may
            && std::mem::take(&mut c.paused)
        {
            self.effects.push_back(Effect::ResumeReading { connection });
        }
    }

    /// Processes buffered packets for as long as the connection may be read.
    fn process_buffered(&mut self, connection: u64, now: Time) {
        while self.can_read(connection) {
            let Some(c) = self.connections.get_mut(&connection) else { return };
            match c.reader.packet() {
                Ok(None) => return,
                Ok(Some(packet)) => {
                    c.last_received = now;
                    c.awaits_read = false;
                    if let Err(error) = self.handle_packet(connection, packet, now) {
                        return self.fail(connection, error, now);
                    }
                }
                Err(error) => {
                    if let Some(version) = c.reader.version() {
                        c.version = version;
                    }
                    return self.fail(connection, error, now);
                }
            }
        }
    }

    fn handle_packet(&mut self, connection: u64, packet: Packet, now: Time) -> Result<(), ConnectionError> {
        let open = self.connections.get(&connection).is_some_and(|c| matches!(c.stage, Stage::Open));
        match packet {
            Packet::Connect(_) if open => Err(ConnectionError::protocol("a second CONNECT")),
            Packet::Connect(connect) => self.connect(connection, *connect),
            _ if !open => Err(ConnectionError::protocol("no CONNECT yet")),
            Packet::Publish(publish) => self.publish(connection, *publish, now),
            Packet::Pubrel(ack) => self.pubrel(connection, ack.id),
            Packet::Puback(ack) => self.outcome_acked(connection, ack.id),
            Packet::Subscribe(subscribe) => self.subscribe(connection, subscribe),
            Packet::Unsubscribe { id, filters } => self.unsubscribe(connection, id, &filters),
            Packet::Pingreq => {
                self.write(connection, Packet::Pingresp);
                Ok(())
            }
            Packet::Disconnect(disconnect) => self.disconnect(connection, &disconnect, now),
            // Outcomes are published at QoS 1 at most.
            Packet::Pubrec(_) | Packet::Pubcomp(_) => {
                Err(ConnectionError::protocol("an acknowledgement of QoS 2, which was never sent"))
            }
            Packet::Auth => Err(ConnectionError {
                code: code::BAD_AUTHENTICATION_METHOD,
                reason: "no authentication exchange was begun",
            }),
            Packet::Connack(_) | Packet::Suback { .. } | Packet::Unsuback { .. } | Packet::Pingresp => {
                Err(ConnectionError::protocol("a packet that only servers send"))
            }
        }
    }

    fn write(&mut self, connection: u64, packet: Packet) {
        let Some(c) = self.connections.get(&connection) else { return };
        // Without Request Problem Information the client receives no optional properties [MQTT-3.1.2-29].
        let packet = match packet {
            Packet::Connack(_) | Packet::Disconnect(_) | Packet::Publish(_) => packet,
            packet if c.request_problem_info => packet,
            packet => crate::convert::without_optional_properties(packet),
        };
        match encode(c.version, packet, c.max_packet_size) {
            Ok(bytes) => self.effects.push_back(Effect::Write { connection, bytes }),
            // The packet exceeds the Maximum Packet Size of the client and is dropped [MQTT-3.1.2-24].
            Err(error) => self.effects.push_back(Effect::Log(format!("{}: not told: {error}", c.owner))),
        }
    }

    /// Ends a connection because of an error; tells the client where its version allows that.
    fn fail(&mut self, connection: u64, error: ConnectionError, now: Time) {
        self.end(connection, error.code, error.reason, Properties::new(), now);
    }

    /// Connections whose timeout is due. Before [`Server::handle_timeout`], [`Server::input_arrived`] is to be called for
    /// each of them that has unread input.
    pub fn due_connections(&self, now: Time) -> Vec<u64> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.filter_map(|(_, due)| match due {
            Due::Connection(connection) => Some(*connection),
            Due::Session(_) => None,
        })
        .collect()
    }

    /// Handles all timeouts that are due.
    pub fn handle_timeout(&mut self, now: Time) {
        while let Some((at, due)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, due));
            match due {
                Due::Connection(connection) => self.check_keep_alive(connection, now),
                Due::Session(number) => {
                    let Some((owner, _, timer)) = self.timers.remove(&number) else { continue };
                    if let Some(timers) = self.session_timers.get_mut(&owner) {
                        timers.remove(&timer);
                    }
                    match timer {
                        Timer::Will => self.send_will(&owner),
                        Timer::Expiry => self.end_session(&owner, true),
                    }
                }
            }
        }
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }
}

#[cfg(test)]
#[path = "server_test.rs"]
mod tests;
