//! The courier as a client of one broker: many messages over one connection. What comes from the socket, from the
//! courier and from the clock goes in; [`Client::poll`] gives what is to be done, [`Client::output`] what is to be
//! written, [`Client::timeout`] when to call [`Client::handle_timeout`] next.
//!
//! An attempt begins when the last byte of its PUBLISH is handed over, and its fate stays open until the broker has
//! acknowledged it, or has lost the session. Whatever happens in between is the same attempt: after a reconnect with
//! the session present the same packet goes again under its id with DUP. What has not begun can be taken back; what
//! has begun cannot, and never ends as cancelled. `docs/mqtt.md` has the table of ends.

use crate::Time;
use crate::error::ConnectionError;
use crate::frame::{Reader, encode};
use crate::packet::{Ack, Connack, Connect, Disconnect, Packet, Publish, Qos, Version, code, property};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use std::io::IoSlice;
use std::time::Duration;

/// A packet of a broker may be no longer: it sends acknowledgements only.
const MAX_PACKET_BYTES: usize = 64 * 1024;
/// Pauses between connections that fail: first, and most.
const INITIAL_BACKOFF: Time = Duration::from_millis(50);
const MAX_BACKOFF: Time = Duration::from_secs(2);
/// A broker that answers no PING within this time is gone.
const PING_TIMEOUT: Time = Duration::from_secs(5);
/// Chunks that are handed over with one call.
const MAX_OUTPUT_SLICES: usize = 64;
/// Longest wait that a broker may tell, s: a slip must not shut an endpoint for good.
const MAX_RETRY_AFTER_SECONDS: f64 = 86_400.0;

#[derive(Clone, Debug)]
pub struct Options {
    pub version: Version,
    /// The same at each start: the session on the broker has this name.
    pub client: String,
    pub user: Option<String>,
    pub password: Option<Bytes>,
    pub topic: String,
    /// Seconds.
    pub keep_alive: u16,
    /// Seconds that the broker is asked to keep the session for.
    pub expiry: u32,
    /// A connection that is not up within this time has failed.
    pub connect_timeout: Time,
    /// Messages on their way at once, whatever the broker allows.
    pub in_flight: usize,
}

/// A message on its way to the broker.
#[derive(Clone, Debug)]
pub struct Message {
    pub number: u64,
    /// At QoS 1 or 2; its topic and its id are put in here. At QoS 1 a broker may take what goes again for another
    /// message: what must not be repeated goes at QoS 2.
    pub publish: Publish,
    /// With nothing at all heard for so long the connection is given up.
    pub response_timeout: Time,
    /// When its time is up.
    pub until: Time,
    /// Until then it may go again at QoS 1.
    pub retransmit_until: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// [`Client::connection_opened`] or [`Client::connection_lost`] is owed.
    Open,
    /// The connection is of no more use: to be closed behind these bytes, if there are any. What is told of it
    /// later is not to be told here.
    Close { final_bytes: BytesMut },
    /// A session with open fates is about to be resumed, which must be on record until [`Effect::ClearResuming`]:
    /// [`Client::resuming_recorded`] is owed. A process that finds such a record must not resume: see [`Client::connection_opened`].
    RecordResuming,
    /// What became of the session is known.
    ClearResuming,
    /// The broker has this message and waits for its release, which goes out once this is on record:
    /// [`Client::pubrec_recorded`] is owed.
    RecordPubrec { id: u16, message: u64 },
    /// The packet id is free: nothing about it needs to be on record.
    FreePacketId { id: u16, message: u64 },
    /// How the attempt ended.
    Ended { id: u16, message: u64, end: AttemptResult },
    /// A line for the operators' log.
    Log(String),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Delivered,
    /// Refused in a way that may have come after it ran.
    Error,
    /// Refused before it could run.
    Rejected,
    /// Turned away for now, unseen.
    Busy {
        wait: Option<Duration>,
    },
    /// It never left.
    Unsent,
    /// The session is lost with the acknowledgement: it may have run.
    Lost,
    /// Its time is up with its fate open: it may have run.
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing of it is written.
    Queued,
    /// Some or all of it waits to be handed over.
    Writing,
    /// All of it is handed over; no acknowledgement yet.
    Sent,
    /// PUBREC has come, and is being put on record.
    Releasing,
    /// PUBREL is sent, or is to be.
    Released,
}

#[derive(Debug)]
struct Attempt {
    message: u64,
    /// What goes again after a reconnect; None once PUBREC has come.
    publish: Option<Publish>,
    qos: Qos,
    stage: Stage,
    /// In this order they are sent, and sent again [MQTT-4.6.0-1].
    order: u64,
    queued_at: Time,
    /// Since when its acknowledgement is owed on this connection.
    awaiting_since: Time,
    response_timeout: Time,
    until: Time,
    retransmit_until: Time,
    /// Its end has been told; only its packet id is still in use.
    abandoned: bool,
}

/// What waits to be handed over.
struct Chunk {
    bytes: BytesMut,
    /// Some of it is handed over.
    started: bool,
    /// The PUBLISH that it is.
    publish: Option<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// None, and none is wanted.
    None,
    Connecting {
        since: Time,
    },
    /// There, and waits for [`Client::resuming_recorded`].
    RecordingResuming {
        since: Time,
    },
    /// CONNECT is sent.
    AwaitingConnack {
        since: Time,
        clean: bool,
    },
    Connected,
    /// After a failure, until then.
    Backoff {
        until: Time,
    },
}

pub struct Client {
    options: Options,
    state: ConnectionState,
    reader: Reader,
    attempts: BTreeMap<u16, Attempt>,
    chunks: VecDeque<Chunk>,
    next_id: u16,
    next_order: u64,
    backoff: Time,
    /// As the broker allows on this connection.
    receive_maximum: usize,
    max_packet_size: Option<u32>,
    keep_alive: u16,
    last_received: Time,
    last_write: Time,
    ping_sent_at: Option<Time>,
    /// The broker has told to wait.
    wait_until: Time,
    /// The session on the broker is one that was begun in this life.
    session_known: bool,
    /// That a session is being resumed is on record.
    resuming_on_record: bool,
    /// Nothing new goes out from then on.
    drain_at: Option<Time>,
    effects: VecDeque<Effect>,
}

impl Client {
    pub fn new(options: Options) -> Self {
        let reader = Reader::client(options.version, MAX_PACKET_BYTES);
        let keep_alive = options.keep_alive;
        Client {
            options,
            state: ConnectionState::None,
            reader,
            attempts: BTreeMap::new(),
            chunks: VecDeque::new(),
            next_id: 1,
            next_order: 0,
            backoff: INITIAL_BACKOFF,
            receive_maximum: usize::from(u16::MAX),
            max_packet_size: None,
            keep_alive,
            last_received: Time::ZERO,
            last_write: Time::ZERO,
            ping_sent_at: None,
            wait_until: Time::ZERO,
            session_known: false,
            resuming_on_record: false,
            drain_at: None,
            effects: VecDeque::new(),
        }
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Packet ids in use.
    pub fn in_use(&self) -> usize {
        self.attempts.len()
    }

    /// The id under which the next message would go; None if as many are on their way as may be. It is taken with
    /// [`Client::publish`]. Ids go round, so that one is used again as late as can be: an acknowledgement that
    /// comes twice must not be taken for that of another message.
    pub fn reserve(&mut self) -> Option<u16> {
        if self.attempts.len() >= self.options.in_flight.min(usize::from(u16::MAX)) {
            return None;
        }
        let mut id = self.next_id;
        while self.attempts.contains_key(&id) {
            id = id.checked_add(1).unwrap_or(1);
        }
        self.next_id = id.checked_add(1).unwrap_or(1);
        Some(id)
    }

    /// Sends a message under a reserved id.
    pub fn publish(&mut self, id: u16, message: Message, now: Time) {
        self.insert(id, message, Stage::Queued, now);
        self.advance(now);
    }

    /// Takes in an attempt of an earlier life whose fate is open; `released` if its PUBREC has come.
    pub fn resume(&mut self, id: u16, message: Message, released: bool, now: Time) {
        self.insert(id, message, if released { Stage::Released } else { Stage::Sent }, now);
        // What comes next must not meet late acknowledgements of those before.
        self.next_id = self.next_id.max(id).checked_add(1).unwrap_or(1);
        self.advance(now);
    }

    /// Keeps an id from being used as long as the session lasts: it is that of a message that has ended.
    pub fn block_packet_id(&mut self, id: u16, now: Time) {
        let publish = Publish::new("", Qos::ExactlyOnce, None, Bytes::new());
        let (response_timeout, until, retransmit_until) = (Time::MAX, Time::MAX, Time::ZERO);
        self.insert(
            id,
            Message { number: 0, publish, response_timeout, until, retransmit_until },
            Stage::Sent,
            now,
        );
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.abandoned = true;
        }
    }

    fn insert(&mut self, id: u16, message: Message, stage: Stage, now: Time) {
        let Message { number, publish, response_timeout, until, retransmit_until } = message;
        let qos = publish.qos;
        let topic = self.options.topic.clone();
        let publish = Publish { topic, id: Some(id), dup: false, retain: false, alias: None, ..publish };
        let attempt = Attempt {
            message: number,
            publish: (stage != Stage::Released).then_some(publish),
            qos,
            stage,
            order: self.next_order,
            queued_at: now,
            awaiting_since: now,
            response_timeout,
            until,
            retransmit_until,
            abandoned: false,
        };
        self.next_order += 1;
        self.attempts.insert(id, attempt);
    }

    /// Calls a message off, which can be done only as long as nothing of it is written. One that is on its way goes
    /// on, and its end is told when it comes.
    pub fn cancel(&mut self, message: u64) {
        let of = self.attempts.iter().find(|(_, f)| f.message == message && !f.abandoned).map(|(id, _)| *id);
        if let Some(id) = of.filter(|id| self.is_unsent(*id)) {
            self.withdraw(id, AttemptResult::Rejected);
        }
    }

    /// Whether nothing of it is handed over.
    fn is_unsent(&self, id: u16) -> bool {
        match self.attempts.get(&id).map(|f| f.stage) {
            Some(Stage::Queued) => true,
            Some(Stage::Writing) => self.chunks.iter().any(|c| c.publish == Some(id) && !c.started),
            _ => false,
        }
    }

    fn withdraw(&mut self, id: u16, end: AttemptResult) {
        self.chunks.retain(|c| c.publish != Some(id));
        self.ended(id, end);
    }

    fn withdraw_all_unsent(&mut self, end: AttemptResult) {
        let all: Vec<u16> = self.attempts.keys().copied().filter(|id| self.is_unsent(*id)).collect();
        for id in all {
            self.withdraw(id, end);
        }
    }

    /// The attempt has ended, and its packet id is free.
    fn ended(&mut self, id: u16, end: AttemptResult) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.effects.push_back(Effect::FreePacketId { id, message: attempt.message });
        if !attempt.abandoned {
            self.effects.push_back(Effect::Ended { id, message: attempt.message, end });
        }
    }

    /// Nothing new goes to the broker from `at` on: it drains, or is gone. What is on its way is let finish.
    pub fn drain_from(&mut self, at: Time, now: Time) {
        self.drain_at.get_or_insert(at);
        self.advance(now);
    }

    /// It takes messages again.
    pub fn cancel_drain(&mut self) {
        self.drain_at = None;
    }

    // ---- the connection ------------------------------------------------------------------------------------

    /// What is to be handed over next, as many chunks as fit one call.
    pub fn output<'a>(&'a self, into: &mut Vec<IoSlice<'a>>) {
        into.extend(self.chunks.iter().take(MAX_OUTPUT_SLICES).map(|c| IoSlice::new(&c.bytes)));
    }

    pub fn has_output(&self) -> bool {
        !self.chunks.is_empty()
    }

    /// So many bytes of it are handed over.
    pub fn bytes_written(&mut self, mut bytes: usize, now: Time) {
        self.last_write = now;
        while bytes > 0 {
            let Some(chunk) = self.chunks.front_mut() else { return };
            let part = bytes.min(chunk.bytes.len());
            chunk.bytes.advance(part);
            chunk.started = true;
            bytes -= part;
            if !chunk.bytes.is_empty() {
                return;
            }
            let whole = self.chunks.pop_front().and_then(|c| c.publish);
            if let Some(attempt) = whole.and_then(|id| self.attempts.get_mut(&id)) {
                attempt.stage = Stage::Sent;
                attempt.awaiting_since = now;
            }
        }
    }

    /// The connection that was asked for is there.
    ///
    /// A CONNECT that resumes makes a broker that has lost the session begin another. If its CONNACK is lost, too, the
    /// next one says that a session is present, and it is not ours: what goes again there would take effect twice. So
    /// once such a CONNECT has left, no CONNACK means that the session counts as lost, also over a restart.
    pub fn connection_opened(&mut self, now: Time) {
        let ConnectionState::Connecting { since } = self.state else { return };
        // With no fate open the session has nothing for us; whatever it may still hold from an earlier life would
        // take a new message under an old id for a repeat.
        let nothing_open = !self.attempts.values().any(|f| may_have_reached_broker(f) && !f.abandoned);
        let unknown = !self.session_known || self.attempts.values().any(|f| f.abandoned);
        let clean = match self.options.version {
            Version::V5 => nothing_open,
            // A clean session of 3.1.1 ends with its connection, and nothing could be resumed: it is only begun to
            // end the old one.
            Version::V311 => nothing_open && unknown,
        };
        if nothing_open {
            return self.send_connect(since, clean, now);
        }
        self.state = ConnectionState::RecordingResuming { since };
        self.resuming_on_record = true;
        self.effects.push_back(Effect::RecordResuming);
    }

    /// That the session is being resumed is on record.
    pub fn resuming_recorded(&mut self, now: Time) {
        if let ConnectionState::RecordingResuming { since } = self.state {
            self.send_connect(since, false, now);
        }
    }

    fn send_connect(&mut self, since: Time, clean: bool, now: Time) {
        let o = &self.options;
        let connect = Connect {
            clean,
            keep_alive: o.keep_alive,
            expiry: o.expiry,
            user: o.user.clone(),
            password: o.password.clone(),
            max_packet_size: Some(MAX_PACKET_BYTES as u32),
            ..Connect::new(o.version, &o.client)
        };
        self.reader = Reader::client(o.version, MAX_PACKET_BYTES);
        self.state = ConnectionState::AwaitingConnack { since, clean };
        (self.last_received, self.last_write, self.ping_sent_at) = (now, now, None);
        self.write(Packet::Connect(Box::new(connect)), None);
    }

    /// The connection has ended, or could not be had.
    pub fn connection_lost(&mut self, now: Time) {
        if !matches!(self.state, ConnectionState::None | ConnectionState::Backoff { .. }) {
            self.connection_ended(now);
        }
    }

    /// What became of the session is known.
    fn clear_resuming_record(&mut self) {
        if std::mem::take(&mut self.resuming_on_record) {
            self.effects.push_back(Effect::ClearResuming);
        }
    }

    /// After a connection's end: what was not handed over whole never ran.
    fn connection_ended(&mut self, now: Time) {
        let greeting = matches!(self.state, ConnectionState::AwaitingConnack { .. });
        if self.resuming_on_record && greeting && self.chunks.front().is_none_or(|c| c.started) {
            self.effects.push_back(Effect::Log(
                "no CONNACK while a session was resumed: it counts as lost".to_owned(),
            ));
            self.lose_session();
            self.session_known = false;
        }
        self.clear_resuming_record();
        self.chunks.clear();
        let partly_written: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| f.stage == Stage::Writing).map(|(id, _)| *id).collect();
        for id in partly_written {
            self.ended(id, AttemptResult::Unsent);
        }
        self.state = ConnectionState::Backoff { until: (now + self.backoff).max(self.wait_until) };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.advance(now);
    }

    fn drop_connection(&mut self, now: Time) {
        self.close(None);
        self.connection_ended(now);
    }

    /// Closes the connection, with a DISCONNECT where that makes sense and nothing is half handed over.
    fn close(&mut self, code: Option<u8>) {
        let between = self.chunks.front().is_none_or(|c| !c.started);
        let packet = code.filter(|_| between).map(|code| Packet::Disconnect(Disconnect::new(code)));
        let final_bytes = packet.and_then(|p| encode(self.options.version, p, self.max_packet_size).ok());
        self.effects.push_back(Effect::Close { final_bytes: final_bytes.unwrap_or_default() });
    }

    fn write(&mut self, packet: Packet, publish: Option<u16>) -> bool {
        match encode(self.options.version, packet, self.max_packet_size) {
            Ok(bytes) => {
                self.chunks.push_back(Chunk { bytes, started: false, publish });
                true
            }
            Err(_) => false,
        }
    }

    /// What has come from the broker.
    pub fn received(&mut self, bytes: &[u8], now: Time) {
        if !matches!(self.state, ConnectionState::AwaitingConnack { .. } | ConnectionState::Connected) {
            return;
        }
        self.reader.push(bytes);
        loop {
            let done = match self.reader.packet() {
                Ok(None) => break,
                Ok(Some(packet)) => {
                    self.last_received = now;
                    self.ping_sent_at = None;
                    self.handle_packet(packet, now)
                }
                Err(error) => Err(error),
            };
            if let Err(error) = done {
                let text = format!("the broker is at fault: {error}");
                self.effects.push_back(Effect::Log(text));
                let up = self.state == ConnectionState::Connected && self.options.version == Version::V5;
                self.close(up.then_some(error.code));
                return self.connection_ended(now);
            }
            if !matches!(self.state, ConnectionState::AwaitingConnack { .. } | ConnectionState::Connected) {
                return;
            }
        }
        self.advance(now);
    }

    fn handle_packet(&mut self, packet: Packet, now: Time) -> Result<(), ConnectionError> {
        match (self.state, packet) {
            (ConnectionState::AwaitingConnack { clean, .. }, Packet::Connack(connack)) => {
                self.handle_connack(clean, &connack, now)
            }
            (ConnectionState::AwaitingConnack { .. }, _) => {
                Err(ConnectionError::protocol("something before the CONNACK"))
            }
            (_, Packet::Puback(ack)) => self.handle_puback(&ack, now),
            (_, Packet::Pubrec(ack)) => self.handle_pubrec(&ack, now),
            (_, Packet::Pubcomp(ack)) => self.handle_pubcomp(&ack),
            (_, Packet::Pingresp) => Ok(()),
            (_, Packet::Disconnect(disconnect)) if self.options.version == Version::V5 => {
                self.handle_disconnect(&disconnect, now);
                Ok(())
            }
            // Of an earlier subscription of somebody's under this name: nothing here reads it.
            (_, Packet::Publish(publish)) if publish.qos == Qos::AtMostOnce => Ok(()),
            _ => Err(ConnectionError::protocol("a packet that no broker sends here")),
        }
    }

    fn handle_connack(&mut self, clean: bool, connack: &Connack, now: Time) -> Result<(), ConnectionError> {
        // Also a refusal says so: it begins no session.
        self.clear_resuming_record();
        if connack.code != code::SUCCESS {
            self.connection_refused(connack, now);
            return Ok(());
        }
        if clean && connack.session_present {
            return Err(ConnectionError::protocol("a session for a clean start [MQTT-3.2.2-4]"));
        }
        self.state = ConnectionState::Connected;
        self.backoff = INITIAL_BACKOFF;
        self.receive_maximum = usize::from(connack.receive_maximum);
        self.max_packet_size = connack.max_packet_size;
        self.keep_alive = connack.keep_alive.unwrap_or(self.options.keep_alive);
        let too_high = |f: &Attempt| f.stage == Stage::Queued && f.qos > connack.max_qos;
        let refused: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| too_high(f)).map(|(id, _)| *id).collect();
        for id in refused {
            let text = format!(
                "the broker takes QoS {} at most, which is less than a message needs",
                connack.max_qos.value()
            );
            self.effects.push_back(Effect::Log(text));
            self.withdraw(id, AttemptResult::Rejected);
        }
        if !connack.session_present {
            self.lose_session();
            self.session_known = true;
            if clean && self.options.version == Version::V311 {
                self.close(Some(code::SUCCESS));
                self.state = ConnectionState::Backoff { until: now };
            }
            return Ok(());
        }
        let mut retransmissions: Vec<(u64, u16)> = self
            .attempts
            .iter()
            .filter(|(_, f)| may_have_reached_broker(f))
            .map(|(id, f)| (f.order, *id))
            .collect();
        retransmissions.sort_unstable();
        for (_, id) in retransmissions {
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            attempt.awaiting_since = now;
            match (attempt.stage, &attempt.publish) {
                (Stage::Released, _) => drop(self.write(Packet::Pubrel(Ack::new(id, code::SUCCESS)), None)),
                // Its message has ended, and nothing more is sent for that. The id stays in use.
                (Stage::Sent, _) if attempt.abandoned => {}
                // The receivers behind the broker know its key no more.
                (Stage::Sent, _) if attempt.qos == Qos::AtLeastOnce && now >= attempt.retransmit_until => {
                    attempt.abandoned = true;
                    let message = attempt.message;
                    self.effects.push_back(Effect::Ended { id, message, end: AttemptResult::Lost });
                }
                (Stage::Sent, Some(publish)) => {
                    let publish = Publish { dup: true, ..publish.clone() };
                    // It went once, so it fits; and it is no new attempt, so it cannot be taken back.
                    self.write(Packet::Publish(Box::new(publish)), None);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Whatever the broker had not acknowledged may have run. Nothing is sent again from here: the class decides.
    fn lose_session(&mut self) {
        let open: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| may_have_reached_broker(f)).map(|(id, _)| *id).collect();
        for id in open {
            self.ended(id, AttemptResult::Lost);
        }
    }

    /// The broker takes no connection now, or none of ours.
    fn connection_refused(&mut self, connack: &Connack, now: Time) {
        let code = connack.code;
        let busy = match self.options.version {
            Version::V311 => code == 3,
            Version::V5 => matches!(code, code::SERVER_BUSY | code::QUOTA_EXCEEDED | 0x9F),
        };
        let reason = connack.reason.as_deref().unwrap_or("no reason told");
        let text = match &connack.reference {
            Some(other) => format!(
                "the broker sends its clients to {other:?} (0x{code:02X}), which is not followed: {reason}"
            ),
            None => format!("the broker takes no connection (0x{code:02X}): {reason}"),
        };
        self.effects.push_back(Effect::Log(text));
        let wait = retry_after(&connack.properties);
        self.delay_new_attempts(wait, now);
        self.withdraw_all_unsent(if busy { AttemptResult::Busy { wait } } else { AttemptResult::Unsent });
        self.drop_connection(now);
    }

    fn handle_disconnect(&mut self, disconnect: &Disconnect, now: Time) {
        let code = disconnect.code;
        let reason = disconnect.reason.as_deref().unwrap_or("no reason told");
        let other =
            disconnect.reference.as_ref().map(|r| format!(", and names {r:?}, which is not followed"));
        let other = other.unwrap_or_default();
        self.effects.push_back(Effect::Log(format!(
            "the broker ends the connection (0x{code:02X}){other}: {reason}"
        )));
        let wait = retry_after(&disconnect.properties);
        self.delay_new_attempts(wait, now);
        if matches!(code, code::RECEIVE_MAXIMUM_EXCEEDED | code::QUOTA_EXCEEDED | code::SERVER_BUSY | 0x96) {
            self.withdraw_all_unsent(AttemptResult::Busy { wait });
        }
        self.drop_connection(now);
    }

    fn delay_new_attempts(&mut self, wait: Option<Duration>, now: Time) {
        if let Some(wait) = wait {
            self.wait_until = self.wait_until.max(now + wait);
        }
    }

    // ---- acknowledgements ------------------------------------------------------------------------------------

    fn handle_puback(&mut self, ack: &Ack, now: Time) -> Result<(), ConnectionError> {
        let Some(attempt) = self.attempts.get(&ack.id) else {
            // Of one that has ended: a repeat, which says nothing new.
            return Ok(());
        };
        match attempt.stage {
            Stage::Sent if attempt.qos == Qos::AtLeastOnce => {
                self.publish_answered(ack, now);
                Ok(())
            }
            Stage::Queued | Stage::Writing => {
                Err(ConnectionError::protocol("an acknowledgement of what was not sent"))
            }
            _ => Err(ConnectionError::protocol("a PUBACK for a PUBLISH at QoS 2")),
        }
    }

    fn handle_pubrec(&mut self, ack: &Ack, now: Time) -> Result<(), ConnectionError> {
        let Some(attempt) = self.attempts.get_mut(&ack.id) else {
            let code =
                if self.options.version == Version::V5 { code::PACKET_ID_NOT_FOUND } else { code::SUCCESS };
            self.write(Packet::Pubrel(Ack::new(ack.id, code)), None);
            return Ok(());
        };
        match attempt.stage {
            Stage::Sent if attempt.qos == Qos::ExactlyOnce && ack.code >= 0x80 => {
                self.publish_answered(ack, now)
            }
            Stage::Sent if attempt.qos == Qos::ExactlyOnce => {
                // The PUBLISH must not go again from now on [MQTT-4.3.3-6], and PUBREL is owed: on record first.
                (attempt.stage, attempt.publish) = (Stage::Releasing, None);
                self.effects.push_back(Effect::RecordPubrec { id: ack.id, message: attempt.message });
            }
            Stage::Releasing => {}
            Stage::Released => drop(self.write(Packet::Pubrel(Ack::new(ack.id, code::SUCCESS)), None)),
            Stage::Sent => return Err(ConnectionError::protocol("a PUBREC for a PUBLISH at QoS 1")),
            Stage::Queued | Stage::Writing => {
                return Err(ConnectionError::protocol("an acknowledgement of what was not sent"));
            }
        }
        Ok(())
    }

    /// PUBREC is on record: its release goes out.
    pub fn pubrec_recorded(&mut self, id: u16, now: Time) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|f| f.stage == Stage::Releasing) else {
            return;
        };
        (attempt.stage, attempt.awaiting_since) = (Stage::Released, now);
        if self.state == ConnectionState::Connected {
            self.write(Packet::Pubrel(Ack::new(id, code::SUCCESS)), None);
        }
    }

    fn handle_pubcomp(&mut self, ack: &Ack) -> Result<(), ConnectionError> {
        match self.attempts.get(&ack.id).map(|f| f.stage) {
            // Also with "packet identifier not found": it had the release before, and its PUBCOMP was lost.
            Some(Stage::Released) => self.ended(ack.id, AttemptResult::Delivered),
            None => {}
            Some(_) => return Err(ConnectionError::protocol("a PUBCOMP without a PUBREL")),
        }
        Ok(())
    }

    /// The broker's word on a PUBLISH.
    fn publish_answered(&mut self, ack: &Ack, now: Time) {
        let wait = retry_after(&ack.properties);
        let end = match ack.code {
            0..0x80 => AttemptResult::Delivered,
            code::QUOTA_EXCEEDED => AttemptResult::Busy { wait },
            code::NOT_AUTHORIZED | code::TOPIC_NAME_INVALID | code::PAYLOAD_FORMAT_INVALID => {
                AttemptResult::Rejected
            }
            _ => AttemptResult::Error,
        };
        if ack.code >= 0x80 && ack.code != code::QUOTA_EXCEEDED {
            let reason = ack.reason.as_deref().unwrap_or("no reason told");
            self.effects.push_back(Effect::Log(format!(
                "the broker refuses a message (0x{:02X}): {reason}",
                ack.code
            )));
        }
        self.ended(ack.id, end);
        if let Some(told) = wait.filter(|_| matches!(end, AttemptResult::Busy { .. })) {
            // Those that are on their way are let go, and nothing after them.
            self.delay_new_attempts(wait, now);
            self.withdraw_all_unsent(AttemptResult::Busy { wait: Some(told) });
        }
    }

    // ---- going on --------------------------------------------------------------------------------------------

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Time) {
        self.advance(now);
    }

    fn advance(&mut self, now: Time) {
        self.expire_attempts(now);
        let draining = self.drain_at.is_some_and(|at| at <= now);
        if draining {
            self.withdraw_all_unsent(AttemptResult::Unsent);
        }
        if self.wait_until > now {
            let wait = Some(self.wait_until - now);
            self.withdraw_all_unsent(AttemptResult::Busy { wait });
        }
        let has_work = self.has_work();
        match self.state {
            ConnectionState::None if has_work => self.open(now),
            ConnectionState::Backoff { until } if until <= now => match has_work {
                true => self.open(now),
                false => self.state = ConnectionState::None,
            },
            ConnectionState::Connecting { since }
            | ConnectionState::RecordingResuming { since }
            | ConnectionState::AwaitingConnack { since, .. }
                if now >= since + self.options.connect_timeout =>
            {
                self.drop_connection(now);
            }
            ConnectionState::Connected if !has_work && draining => self.close_if_idle(),
            ConnectionState::Connected => self.service_connection(now),
            _ => {}
        }
    }

    /// Whether anything is still to be done at the broker: not for messages that have ended and whose PUBLISH has no
    /// acknowledgement, since nothing more is sent for those.
    fn has_work(&self) -> bool {
        self.attempts.values().any(|f| !f.abandoned || matches!(f.stage, Stage::Releasing | Stage::Released))
    }

    fn open(&mut self, now: Time) {
        self.state = ConnectionState::Connecting { since: now };
        self.effects.push_back(Effect::Open);
    }

    /// Ends a connection that nobody needs; the session stays with the broker as long as it was asked to keep it.
    pub fn close_if_idle(&mut self) {
        if self.state == ConnectionState::Connected && !self.has_work() {
            self.close(Some(code::SUCCESS));
            self.chunks.clear();
            self.state = ConnectionState::None;
        }
    }

    /// What has waited too long: for a connection, or for its acknowledgement.
    fn expire_attempts(&mut self, now: Time) {
        let late = |f: &Attempt| now >= f.until && !f.abandoned;
        let unsent = |f: &Attempt| now >= f.until.min(f.queued_at + self.options.connect_timeout);
        let expired: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| late(f) || unsent(f)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            match attempt.stage {
                // Up and within the broker's bounds, or not up: either way it has no place in time.
                Stage::Queued => self.withdraw(
                    id,
                    if self.state == ConnectionState::Connected {
                        AttemptResult::Busy { wait: None }
                    } else {
                        AttemptResult::Unsent
                    },
                ),
                Stage::Writing if self.is_unsent(id) && now >= attempt.until => {
                    self.withdraw(id, AttemptResult::Unsent)
                }
                _ if attempt.abandoned || now < attempt.until => {}
                _ => {
                    let message = attempt.message;
                    if let Some(attempt) = self.attempts.get_mut(&id) {
                        attempt.abandoned = true;
                    }
                    self.effects.push_back(Effect::Ended { id, message, end: AttemptResult::TimedOut });
                }
            }
        }
    }

    fn service_connection(&mut self, now: Time) {
        // A connection on which nothing comes while something is owed is given up; its session is resumed.
        let awaiting_response = self
            .attempts
            .values()
            .filter(|f| may_have_reached_broker(f) && !f.abandoned && f.stage != Stage::Releasing);
        let response_overdue = awaiting_response
            .map(|f| f.awaiting_since.max(self.last_received) + f.response_timeout)
            .min()
            .is_some_and(|at| at <= now);
        let ping_overdue = self.ping_sent_at.is_some_and(|at| now >= at + PING_TIMEOUT);
        if response_overdue || ping_overdue {
            self.effects.push_back(Effect::Log(
                "the broker has fallen silent: the connection is given up".to_owned(),
            ));
            return self.drop_connection(now);
        }
        if self.keep_alive > 0
            && self.ping_sent_at.is_none()
            && now >= self.last_write + Duration::from_secs(u64::from(self.keep_alive))
        {
            self.write(Packet::Pingreq, None);
            (self.ping_sent_at, self.last_write) = (Some(now), now);
        }
        // All that has a PUBLISH on the way or unacknowledged counts [MQTT-3.3.4-7].
        let mut in_flight = self.attempts.values().filter(|f| f.stage != Stage::Queued).count();
        let mut queued_messages: Vec<(u64, u16)> = self
            .attempts
            .iter()
            .filter(|(_, f)| f.stage == Stage::Queued)
            .map(|(id, f)| (f.order, *id))
            .collect();
        queued_messages.sort_unstable();
        for (_, id) in queued_messages {
            if in_flight >= self.receive_maximum {
                break;
            }
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            let Some(publish) = attempt.publish.clone() else { continue };
            attempt.stage = Stage::Writing;
            if self.write(Packet::Publish(Box::new(publish)), Some(id)) {
                in_flight += 1;
            } else {
                self.effects.push_back(Effect::Log("a message is longer than the broker takes".to_owned()));
                self.ended(id, AttemptResult::Rejected);
            }
        }
    }

    /// When [`Client::handle_timeout`] is to be called.
    pub fn timeout(&self) -> Option<Time> {
        let connect = self.options.connect_timeout;
        let state = match self.state {
            ConnectionState::Connecting { since }
            | ConnectionState::RecordingResuming { since }
            | ConnectionState::AwaitingConnack { since, .. } => Some(since + connect),
            ConnectionState::Backoff { until } => Some(until),
            ConnectionState::Connected => {
                let ping = self.last_write + Duration::from_secs(u64::from(self.keep_alive));
                let ping = (self.keep_alive > 0).then_some(ping);
                self.ping_sent_at.map(|at| at + PING_TIMEOUT).or(ping)
            }
            ConnectionState::None => None,
        };
        let attempt = |f: &Attempt| match f.stage {
            _ if f.abandoned => None,
            Stage::Queued => Some(f.until.min(f.queued_at + connect)),
            Stage::Sent | Stage::Released if self.state == ConnectionState::Connected => {
                Some(f.until.min(f.awaiting_since.max(self.last_received).saturating_add(f.response_timeout)))
            }
            _ => Some(f.until),
        };
        let drain_at = self.drain_at.filter(|_| self.attempts.keys().any(|id| self.is_unsent(*id)));
        let drain_at = drain_at
            .or(self.drain_at.filter(|_| self.state == ConnectionState::Connected && !self.has_work()));
        self.attempts.values().filter_map(attempt).chain(state).chain(drain_at).min()
    }
}

/// Whether the broker may have it.
fn may_have_reached_broker(f: &Attempt) -> bool {
    matches!(f.stage, Stage::Sent | Stage::Releasing | Stage::Released)
}

/// `retry-after`, in seconds, as this courier tells it, too.
fn retry_after(properties: &crate::packet::Properties) -> Option<Duration> {
    let seconds: f64 = property(properties, "retry-after")?.trim().parse().ok()?;
    (seconds > 0.0 && seconds <= MAX_RETRY_AFTER_SECONDS).then(|| Duration::from_secs_f64(seconds))
}

#[cfg(test)]
#[path = "client_test.rs"]
mod tests;
