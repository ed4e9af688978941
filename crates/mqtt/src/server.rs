//! The courier as the server of publishers: all their connections and sessions in one state machine. What comes
//! from sockets, from the courier and from the clock goes in; [`Server::poll`] gives what is to be done, and
//! [`Server::timeout`] when to call [`Server::handle_timeout`] next.
//!
//! A PUBLISH becomes an [`Effect::Offer`]; it is acknowledged once the courier has said that the message is taken
//! on and on record ([`Server::offer_answered`]), and with QoS 2 once its packet id is on record, too. What a client is
//! told of a message that it published goes to its outcome topic ([`Server::queue_outcome`]).

mod connection;
mod outcomes;
mod publish;
mod session_store;

use crate::Time;
use crate::error::ConnectionError;
use crate::frame::{Reader, encode};
use crate::packet::{Connack, Connect, Packet, Properties, Publish, Qos, Version, Will, code};
use crate::session::Session;
pub use crate::session::{Outcome, SESSION_BYTES};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The topic under which a client reads its own outcomes, without its id.
pub const OUTCOME_TOPIC_PREFIX: &str = "$stairshed/outcomes/";
/// Longest client id, bytes.
const MAX_CLIENT_ID_BYTES: usize = 128;
/// Outcomes that are on their way to one client, whatever it allows.
const MAX_OUTCOMES_IN_FLIGHT: usize = 32;
/// PUBLISHes at QoS 0 of one connection that are being judged; more are not read meanwhile.
const MAX_PENDING_QOS0: usize = 64;
/// Packet ids of a session that wait for their PUBREL: a client that never sends one must not fill the record.
const MAX_UNRELEASED_PACKET_IDS: usize = 4096;

/// What a connection takes here, and an offer that is being judged.
const CONNECTION_BYTES: u64 = 600;
const PENDING_OFFER_BYTES: u64 = 150;

/// What an operator allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Sessions, connected or not.
    pub sessions: usize,
    /// Bytes of a packet, and of a payload.
    pub max_packet_size: usize,
    pub max_payload_bytes: usize,
    /// PUBLISHes of one client that wait for their acknowledgement.
    pub receive_maximum: u16,
    pub topic_alias_max: u16,
    /// Seconds that a session may outlive its connection.
    pub max_session_expiry_seconds: u32,
    /// Longest keep alive, seconds; in 5.0 also for those that ask for none.
    pub max_keep_alive_seconds: u16,
    /// A connection without a CONNECT is closed after this time.
    pub connect_timeout: Time,
    /// Outcomes that wait for one client.
    pub max_outcomes: usize,
    /// Wills are taken; else a CONNECT with one is refused.
    pub wills: bool,
}

/// A client and its user, as the courier knows them. `user/client`, the user empty where there is none; users' names
/// have no slash.
pub type Owner = String;

/// A message that a client hands in.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Goes back with the answer.
    pub token: u64,
    pub owner: Owner,
    pub publish: Publish,
    /// It is a client's will: nobody waits for an answer, which is logged.
    pub will: bool,
    /// If it is refused, it is taken on and bounced at once, on record: 3.1.1 has no refusal, and the client
    /// reads its outcomes.
    pub bounce: bool,
    /// Its client may turn away before the answer, and counts it as not taken then. Not so at QoS 0.
    pub expects_ack: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write {
        connection: u64,
        bytes: BytesMut,
    },
    /// To be closed once all is written.
    Close {
        connection: u64,
    },
    /// More may be read from it: see [`Server::wants_input`].
    ResumeReading {
        connection: u64,
    },
    /// Whether this client may connect: [`Server::authorized`] is owed.
    Authorize {
        connection: u64,
        user: Option<String>,
        password: Option<Bytes>,
        owner: Owner,
        will: Option<Will>,
    },
    /// [`Server::offer_answered`] is owed.
    Offer(Box<Offer>),
    /// The client counts this offer as not taken, if it is not taken on yet.
    AbandonOffer {
        token: u64,
    },
    /// The session's record from now on; None if there is none. [`Server::record_stored`] is owed.
    StoreSession {
        token: u64,
        owner: Owner,
        record: Option<String>,
    },
    /// The client has the outcome of this message.
    OutcomeDelivered {
        message: u64,
    },
    /// It never will have it.
    OutcomeDropped {
        message: u64,
    },
    /// A line for the operators' log.
    Log(String),
}

/// What became of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// On record; also where it had been before, or was bounced at once as [`Offer::bounce`] asks.
    Accepted,
    /// Why not, as version 5 numbers it, and when to come again.
    Refused { code: u8, reason: String, wait: Option<Duration> },
}

#[derive(Debug)]
enum Stage {
    AwaitingConnect,
    /// Its CONNECT is being judged; `assigned` if its id is of the server's making.
    Authorizing {
        connect: Box<Connect>,
        assigned: bool,
    },
    /// Waits for its session to be on record.
    StoringSession,
    Open,
}

#[derive(Debug)]
struct Connection {
    reader: Reader,
    stage: Stage,
    since: Time,
    last_received: Time,
    /// One and a half times the keep alive.
    keep_alive_timeout: Option<Time>,
    version: Version,
    owner: Owner,
    aliases: HashMap<u16, String>,
    receive_maximum: u16,
    max_packet_size: Option<u32>,
    request_problem_info: bool,
    /// At QoS 0, being judged.
    pending_qos0: usize,
    /// Where it stands in the agenda.
    due: Option<Time>,
    /// Nothing is read from it.
    paused: bool,
}

/// An offer that is being judged.
struct Pending {
    owner: Owner,
    connection: u64,
    id: Option<u16>,
    qos: Qos,
    will: bool,
}

/// What is done once a session's record is kept.
enum AfterStore {
    Open {
        connection: u64,
        connack: Box<Connack>,
    },
    Write {
        connection: u64,
        packet: Packet,
    },
    /// PUBCOMP, and the id is free: not before it is on record, or a message that comes under it after a crash
    /// would be taken for a repeat.
    Release {
        connection: u64,
        id: u16,
    },
    Nothing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Connection(u64),
    /// By number, see [`Server::timers`].
    Session(u64),
}

pub struct Server {
    limits: Limits,
    /// Unix time at the clock's origin.
    origin: Duration,
    /// Makes ids for clients that have none.
    nonce: u64,
    connections: HashMap<u64, Connection>,
    sessions: HashMap<Owner, Session>,
    pending: HashMap<u64, Pending>,
    /// Whose will is being judged: its record stays until that is on record as a message.
    pending_wills: BTreeSet<Owner>,
    pending_stores: HashMap<u64, (Owner, AfterStore)>,
    /// What is due when. A connection's time may be too early: then it is put in again.
    deadlines: BTreeSet<(Time, Due)>,
    /// Sessions that are due: expiry or will.
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

/// Half as long again as the keep alive [MQTT-3.1.2-22].
fn keep_alive_timeout(keep_alive: u16) -> Option<Time> {
    (keep_alive > 0).then(|| Duration::from_millis(u64::from(keep_alive) * 1500))
}

/// The message that a will is.
pub fn will_message(will: &Will) -> Publish {
    Publish {
        expiry: will.expiry,
        utf8: will.utf8,
        properties: will.properties.clone(),
        ..Publish::new(&will.topic, will.qos, None, will.payload.clone())
    }
}

/// What a client whose CONNECT is refused is told in its version; None where 3.1.1 has no code and is just closed.
pub fn refusal(version: Version, code: u8, reason: &str, properties: Properties) -> Option<Connack> {
    if version == Version::V5 {
        return Some(Connack { reason: Some(reason.to_owned()), properties, ..Connack::new(code) });
    }
    let of = match code {
        code::CLIENT_ID_NOT_VALID => 2,
        code::BAD_USER_OR_PASSWORD => 4,
        code::MALFORMED_PACKET | code::PROTOCOL_ERROR => return None,
        code::SERVER_UNAVAILABLE | code::SERVER_BUSY | code::QUOTA_EXCEEDED => 3,
        _ => 5,
    };
    Some(Connack::new(of))
}

/// When to come back, as a user property: seconds.
pub fn wait_property(wait: Option<Duration>) -> Properties {
    let of = |wait: Duration| ("retry-after".to_owned(), format!("{:.3}", wait.as_secs_f64()));
    wait.map(of).into_iter().collect()
}

impl Server {
    /// `origin` is the Unix time at which the clock reads zero.
    pub fn new(limits: Limits, origin: Duration, nonce: u64) -> Self {
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

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Server::handle_timeout`] is to be called.
    pub fn timeout(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Whether this client has a session.
    pub fn has_session(&self, owner: &str) -> bool {
        self.sessions.contains_key(owner)
    }

    /// Bytes that sessions, connections and what waits for clients take, estimated from what is in them.
    pub fn estimated_bytes(&self) -> u64 {
        let sessions: u64 =
            self.sessions.iter().map(|(owner, s)| owner.len() as u64 + s.estimated_bytes()).sum();
        let connections: u64 =
            self.connections.values().map(|c| CONNECTION_BYTES + c.reader.buffered_bytes() as u64).sum();
        sessions + connections + self.pending.len() as u64 * PENDING_OFFER_BYTES
    }

    /// Sessions, and connections.
    pub fn counts(&self) -> (usize, usize) {
        (self.sessions.len(), self.connections.len())
    }

    /// Whether more is to be read from a connection; else what comes waits in its socket until [`Effect::ResumeReading`].
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
                let judged = self.sessions.get(&c.owner).map_or(0, |s| s.pending.len());
                let most = usize::from(self.limits.receive_maximum);
                // One of 5.0 that goes beyond what it was told is at fault, and must be heard to be told.
                c.pending_qos0 < MAX_PENDING_QOS0 && (c.version == Version::V5 || judged < most)
            }
        }
    }

    /// What has come on a connection.
    pub fn received(&mut self, connection: u64, bytes: &[u8], now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.reader.push(bytes);
        self.process_buffered(connection, now);
    }

    /// Goes on with a connection that may have waited for something.
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

    /// Works off what has come and may be read.
    fn process_buffered(&mut self, connection: u64, now: Time) {
        while self.can_read(connection) {
            let Some(c) = self.connections.get_mut(&connection) else { return };
            match c.reader.packet() {
                Ok(None) => return,
                Ok(Some(packet)) => {
                    c.last_received = now;
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
            // Outcomes go out at QoS 1 at most.
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
        // What may be left out is left out for a client that wants no more than it must have [MQTT-3.1.2-29].
        let packet = match packet {
            Packet::Connack(_) | Packet::Disconnect(_) | Packet::Publish(_) => packet,
            packet if c.request_problem_info => packet,
            packet => crate::convert::without_optional_properties(packet),
        };
        match encode(c.version, packet, c.max_packet_size) {
            Ok(bytes) => self.effects.push_back(Effect::Write { connection, bytes }),
            // The client takes no packet of this length, and must do without it [MQTT-3.1.2-24].
            Err(error) => self.effects.push_back(Effect::Log(format!("{}: not told: {error}", c.owner))),
        }
    }

    /// Ends a connection for a fault, which the client is told where its version has a way.
    fn fail(&mut self, connection: u64, error: ConnectionError, now: Time) {
        self.end(connection, error.code, error.reason, Properties::new(), now);
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Time) {
        while let Some((at, due)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, due));
            match due {
                Due::Connection(connection) => self.check_keep_alive(connection, now),
                Due::Session(number) => {
                    let Some((owner, _, timer)) = self.timers.remove(&number) else { continue };
                    if let Some(of) = self.session_timers.get_mut(&owner) {
                        of.remove(&timer);
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
