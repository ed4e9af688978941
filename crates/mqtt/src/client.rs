//! MQTT client for one broker: many messages over one connection, as a sans-I/O state machine.
//! [`Client::poll`] returns the effects to carry out, [`Client::output`] the bytes to write, and
//! [`Client::timeout`] when to call [`Client::handle_timeout`] next.
//!
//! An attempt starts when the last byte of its PUBLISH has been written, and its result is unknown until the
//! broker has acknowledged it or has lost the session. Anything in between belongs to the same attempt: after
//! a reconnect with the session present, the same packet is retransmitted under its packet id with DUP. An
//! attempt that has not started can be withdrawn; one that has started cannot, and never ends as cancelled.
//! `docs/mqtt.md` has the table of results.

use crate::Time;
use crate::error::ConnectionError;
use crate::frame::{Reader, encode};
use crate::packet::{Ack, Connack, Connect, Disconnect, Packet, Publish, Qos, Version, code, property};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use std::io::IoSlice;
use std::time::Duration;

/// Maximum length in bytes of a packet from the broker, which sends only acknowledgements.
const MAX_PACKET_BYTES: usize = 64 * 1024;
/// Delay before reconnecting after the first failed connection; doubled on each further failure.
const INITIAL_BACKOFF: Time = Duration::from_millis(50);
/// Maximum delay before reconnecting.
const MAX_BACKOFF: Time = Duration::from_secs(2);
/// A broker that does not answer a PINGREQ within this time is considered gone.
const PING_TIMEOUT: Time = Duration::from_secs(5);
/// Maximum number of chunks written with one vectored write.
const MAX_OUTPUT_SLICES: usize = 64;
/// Longest `retry-after` accepted from a broker. Without a bound, a wrong value could disable an endpoint
/// indefinitely.
const MAX_RETRY_AFTER_SECONDS: f64 = 86_400.0;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Options {
    pub version: Version,
    /// Client identifier. It must be the same at each start, because it names the session on the broker.
    pub client: String,
    pub user: Option<String>,
    pub password: Option<Bytes>,
    /// Keep alive in seconds.
    pub keep_alive: u16,
    /// Requested Session Expiry Interval in seconds.
    pub expiry: u32,
    /// Time limit for establishing a connection, up to its CONNACK.
    pub connect_timeout: Time,
    /// Maximum number of messages in flight, even if the broker allows more.
    pub in_flight: usize,
}

/// A message to publish.
#[derive(Clone, Debug)]
pub struct Message {
    pub number: u64,
    /// The group that it belongs to: messages of a group are drained together ([`Client::drain_group`]).
    pub group: u64,
    /// The PUBLISH, at QoS 1 or 2, with its topic; the client fills in the packet id. At QoS 1 a broker may
    /// treat a retransmission as a new message, so messages that must not be repeated use QoS 2.
    pub publish: Publish,
    /// The connection is closed if nothing is received for this long while an acknowledgement is outstanding.
    pub response_timeout: Time,
    /// Deadline of the message.
    pub until: Time,
    /// Retransmission at QoS 1 is allowed until then.
    pub retransmit_until: Time,
}

/// Something that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection; answer with [`Client::connection_opened`] or [`Client::connection_lost`].
    Open,
    /// Close the connection after writing these bytes, if there are any. Events of this connection must not
    /// be reported any more.
    Close { final_bytes: BytesMut },
    /// Record that a session with unresolved attempts is being resumed, until [`Effect::ClearResuming`];
    /// answer with [`Client::resuming_recorded`]. A process that finds such a record must not resume the
    /// session: see [`Client::connection_opened`].
    RecordResuming,
    /// Delete the record of the resumption: the state of the session is known.
    ClearResuming,
    /// Record that the broker has received this message (PUBREC). PUBREL is sent once this is stored; answer
    /// with [`Client::pubrec_recorded`].
    RecordPubrec { id: u16, message: u64 },
    /// The packet id is free; its record can be deleted.
    FreePacketId { id: u16, message: u64 },
    /// The attempt has ended with this result.
    Ended { id: u16, message: u64, end: AttemptResult },
    /// Write a line to the log.
    Log(String),
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Delivered,
    /// Rejected with an error that may have been raised after the message was processed, or of a PUBLISH that was
    /// retransmitted: the broker may have processed it when it came first.
    Error,
    /// Rejected before the message could take effect.
    Rejected,
    /// Not accepted for now; the broker has not processed the message.
    Busy {
        wait: Option<Duration>,
    },
    /// The PUBLISH was not sent completely.
    Unsent,
    /// The session was lost before the acknowledgement: the message may have taken effect.
    Lost,
    /// The deadline passed without an acknowledgement: the message may have taken effect.
    TimedOut,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a connection or for the Receive Maximum.
    Queued,
    /// Encoded; not yet written completely.
    Writing,
    /// Written completely; no acknowledgement yet.
    Sent,
    /// PUBREC has been received and is being recorded.
    Releasing,
    /// PUBREL has been sent or is due.
    Released,
}

/// A message with a packet id.
#[derive(Debug)]
struct Attempt {
    message: u64,
    group: u64,
    /// PUBLISH to retransmit after a reconnect; `None` once PUBREC has been received.
    publish: Option<Publish>,
    qos: Qos,
    stage: Stage,
    /// Messages are sent and retransmitted in this order [MQTT-4.6.0-1].
    order: u64,
    queued_at: Time,
    /// Since when an acknowledgement is outstanding on this connection.
    awaiting_since: Time,
    response_timeout: Time,
    until: Time,
    retransmit_until: Time,
    /// The PUBLISH has been sent again on a later connection than the first.
    retransmitted: bool,
    /// The result has been reported; only the packet id is still in use.
    abandoned: bool,
}

/// Bytes that wait to be written.
struct Chunk {
    bytes: BytesMut,
    /// Whether some of the bytes have been written.
    started: bool,
    /// Packet id of the PUBLISH that these bytes encode.
    publish: Option<u16>,
}

/// State of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No connection, and none is needed.
    None,
    Connecting {
        since: Time,
    },
    /// Connected; waits for [`Client::resuming_recorded`].
    RecordingResuming {
        since: Time,
    },
    /// CONNECT has been sent.
    AwaitingConnack {
        since: Time,
        clean: bool,
    },
    Connected,
    /// Waits until then before reconnecting after a failure.
    Backoff {
        until: Time,
    },
}

/// Client state machine.
pub struct Client {
    options: Options,
    state: ConnectionState,
    reader: Reader,
    attempts: BTreeMap<u16, Attempt>,
    chunks: VecDeque<Chunk>,
    next_id: u16,
    next_order: u64,
    backoff: Time,
    /// Receive Maximum of the broker on this connection.
    receive_maximum: usize,
    max_packet_size: Option<u32>,
    keep_alive: u16,
    last_received: Time,
    last_write: Time,
    ping_sent_at: Option<Time>,
    /// No new messages are sent before this time (`retry-after` of the broker).
    wait_until: Time,
    /// Whether the session on the broker was started by this process.
    session_known: bool,
    /// Whether a record says that a session is being resumed.
    resuming_on_record: bool,
    /// Groups that drain, and from when on none of their messages is sent that has not been sent yet.
    drains: BTreeMap<u64, Time>,
    /// Whether the connection is closed as soon as nothing is in flight.
    close_when_idle: bool,
    effects: VecDeque<Effect>,
}

impl Client {
    /// Creates a client without a connection.
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
            drains: BTreeMap::new(),
            close_when_idle: false,
            effects: VecDeque::new(),
        }
    }

    /// Next effect to carry out.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Number of packet ids in use.
    pub fn in_use(&self) -> usize {
        self.attempts.len()
    }

    /// Reserves the packet id of the next message; `None` if as many messages are in flight as allowed. Pass
    /// it to [`Client::publish`]. Ids are reused as late as possible, because a duplicate acknowledgement
    /// must not be attributed to another message.
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

    /// Publishes a message under a reserved packet id.
    pub fn publish(&mut self, id: u16, message: Message, now: Time) {
        self.insert(id, message, Stage::Queued, now);
        self.advance(now);
    }

    /// Restores an unresolved attempt of an earlier process; `released` if its PUBREC had been received.
    pub fn resume(&mut self, id: u16, message: Message, released: bool, now: Time) {
        self.insert(id, message, if released { Stage::Released } else { Stage::Sent }, now);
        // New messages must not receive late acknowledgements for the restored ones.
        self.next_id = self.next_id.max(id).checked_add(1).unwrap_or(1);
        self.advance(now);
    }

    /// Blocks the packet id of a message that has ended for as long as the session lasts.
    pub fn block_packet_id(&mut self, id: u16, now: Time) {
        let publish = Publish::new("", Qos::ExactlyOnce, None, Bytes::new());
        let (response_timeout, until, retransmit_until) = (Time::MAX, Time::MAX, Time::ZERO);
        self.insert(
            id,
            Message { number: 0, group: 0, publish, response_timeout, until, retransmit_until },
            Stage::Sent,
            now,
        );
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.abandoned = true;
        }
    }

    fn insert(&mut self, id: u16, message: Message, stage: Stage, now: Time) {
        let Message { number, group, publish, response_timeout, until, retransmit_until } = message;
        let qos = publish.qos;
        let publish = Publish { id: Some(id), dup: false, retain: false, alias: None, ..publish };
        let attempt = Attempt {
            message: number,
            group,
            publish: (stage != Stage::Released).then_some(publish),
            qos,
            stage,
            order: self.next_order,
            queued_at: now,
            awaiting_since: now,
            response_timeout,
            until,
            retransmit_until,
            retransmitted: false,
            abandoned: false,
        };
        self.next_order += 1;
        self.attempts.insert(id, attempt);
    }

    /// Cancels a message if none of its bytes have been written. Otherwise the attempt continues and its
    /// result is reported when it is known.
    pub fn cancel(&mut self, message: u64) {
        let of = self.attempts.iter().find(|(_, f)| f.message == message && !f.abandoned).map(|(id, _)| *id);
        if let Some(id) = of.filter(|id| self.is_unsent(*id)) {
            self.withdraw(id, AttemptResult::Rejected);
        }
    }

    /// Allows the retransmission of a message at QoS 1 until this time at the latest.
    pub fn limit_retransmission(&mut self, message: u64, until: Time) {
        let mut attempts = self.attempts.values_mut();
        if let Some(attempt) = attempts.find(|f| f.message == message && !f.abandoned) {
            attempt.retransmit_until = attempt.retransmit_until.min(until);
        }
    }

    /// Whether none of its bytes have been written.
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

    /// Withdraws the unsent messages of the groups whose grace period is over.
    fn withdraw_drained(&mut self, now: Time) {
        let drained =
            self.attempts.iter().filter(|(_, attempt)| self.is_drained(attempt, now)).map(|(id, _)| *id);
        let unsent: Vec<u16> = drained.filter(|id| self.is_unsent(*id)).collect();
        for id in unsent {
            self.withdraw(id, AttemptResult::Unsent);
        }
    }

    /// Whether the group of an attempt has drained: nothing of it is sent that has not been sent yet.
    fn is_drained(&self, attempt: &Attempt, now: Time) -> bool {
        self.drains.get(&attempt.group).is_some_and(|at| *at <= now)
    }

    /// Ends an attempt and frees its packet id.
    fn ended(&mut self, id: u16, end: AttemptResult) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.effects.push_back(Effect::FreePacketId { id, message: attempt.message });
        if !attempt.abandoned {
            self.effects.push_back(Effect::Ended { id, message: attempt.message, end });
        }
    }

    /// Stops sending new messages of a group at `at`, because their endpoint drains or is gone. Messages in
    /// flight are completed.
    pub fn drain_group(&mut self, group: u64, at: Time, now: Time) {
        self.drains.entry(group).or_insert(at);
        self.advance(now);
    }

    /// Allows new messages of a group again.
    pub fn cancel_drain(&mut self, group: u64) {
        self.drains.remove(&group);
    }

    /// Sets whether the connection is closed as soon as nothing is in flight, because nobody uses it any more.
    pub fn set_close_when_idle(&mut self, close: bool, now: Time) {
        self.close_when_idle = close;
        self.advance(now);
    }

    /// Uses other options from the next connection on, and ends the current one. Returns whether that was
    /// possible: no message may be in flight.
    pub fn reconfigure(&mut self, options: Options) -> bool {
        if self.has_work() {
            return false;
        }
        match self.state {
            ConnectionState::None | ConnectionState::Backoff { .. } => {}
            ConnectionState::Connected => self.close_if_idle(),
            _ => {
                self.close(None);
                self.chunks.clear();
                self.clear_resuming_record();
                self.state = ConnectionState::None;
            }
        }
        self.options = options;
        // Under another version or user the broker may keep another session for the client identifier.
        self.session_known = false;
        true
    }

    // ---- connection
    // ------------------------------------------------------------------------------------------

    /// Bytes to write next, limited to as many chunks as one vectored write takes.
    pub fn output<'a>(&'a self, into: &mut Vec<IoSlice<'a>>) {
        into.extend(self.chunks.iter().take(MAX_OUTPUT_SLICES).map(|c| IoSlice::new(&c.bytes)));
    }

    /// Whether there are bytes to write.
    pub fn has_output(&self) -> bool {
        !self.chunks.is_empty()
    }

    /// Reports that `bytes` bytes of the output have been written.
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
            let completed = self.chunks.pop_front().and_then(|c| c.publish);
            if let Some(attempt) = completed.and_then(|id| self.attempts.get_mut(&id)) {
                attempt.stage = Stage::Sent;
                attempt.awaiting_since = now;
            }
        }
    }

    /// Reports that the requested connection is open.
    ///
    /// A CONNECT that resumes a session makes a broker that has lost the session start a new one. If that
    /// CONNACK is lost too, the next CONNACK reports a session that is present but is not the one with the
    /// unresolved attempts: retransmitting there would take effect twice. So once such a CONNECT has been
    /// sent, a missing CONNACK means that the session is treated as lost, also across a restart.
    pub fn connection_opened(&mut self, now: Time) {
        let ConnectionState::Connecting { since } = self.state else { return };
        // Without unresolved attempts the session is not needed. If it still holds packet ids from an earlier
        // process, the broker would treat a new message under such an id as a retransmission.
        let none_unresolved = !self.attempts.values().any(|f| may_have_reached_broker(f) && !f.abandoned);
        let may_hold_old_ids = !self.session_known || self.attempts.values().any(|f| f.abandoned);
        let clean = match self.options.version {
            Version::V5 => none_unresolved,
            // A clean session of 3.1.1 ends with its connection and cannot be resumed; one is started only to
            // discard the old session.
            Version::V311 => none_unresolved && may_hold_old_ids,
        };
        if none_unresolved {
            return self.send_connect(since, clean, now);
        }
        self.state = ConnectionState::RecordingResuming { since };
        self.resuming_on_record = true;
        self.effects.push_back(Effect::RecordResuming);
    }

    /// Reports that the resumption of the session has been recorded.
    pub fn resuming_recorded(&mut self, now: Time) {
        if let ConnectionState::RecordingResuming { since } = self.state {
            self.send_connect(since, false, now);
        }
    }

    fn send_connect(&mut self, since: Time, clean: bool, now: Time) {
        let options = &self.options;
        let connect = Connect {
            clean,
            keep_alive: options.keep_alive,
            expiry: options.expiry,
            user: options.user.clone(),
            password: options.password.clone(),
            max_packet_size: Some(MAX_PACKET_BYTES as u32),
            ..Connect::new(options.version, &options.client)
        };
        self.reader = Reader::client(options.version, MAX_PACKET_BYTES);
        self.state = ConnectionState::AwaitingConnack { since, clean };
        (self.last_received, self.last_write, self.ping_sent_at) = (now, now, None);
        self.write(Packet::Connect(Box::new(connect)), None);
    }

    /// Reports that the connection has ended or could not be opened.
    pub fn connection_lost(&mut self, now: Time) {
        if !matches!(self.state, ConnectionState::None | ConnectionState::Backoff { .. }) {
            self.connection_ended(now);
        }
    }

    /// Deletes the record of the resumption, if there is one.
    fn clear_resuming_record(&mut self) {
        if std::mem::take(&mut self.resuming_on_record) {
            self.effects.push_back(Effect::ClearResuming);
        }
    }

    /// Handles the end of a connection. Messages that were not written completely have not taken effect.
    fn connection_ended(&mut self, now: Time) {
        let awaiting_connack = matches!(self.state, ConnectionState::AwaitingConnack { .. });
        if self.resuming_on_record && awaiting_connack && self.chunks.front().is_none_or(|c| c.started) {
            self.effects.push_back(Effect::Log(
                "connection ended before the CONNACK of a resumed session; treating the session as lost"
                    .to_owned(),
            ));
            self.lose_session();
            self.session_known = false;
        }
        self.clear_resuming_record();
        self.chunks.clear();
        let unsent_ids: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| f.stage == Stage::Writing).map(|(id, _)| *id).collect();
        for id in unsent_ids {
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

    /// Closes the connection; sends a DISCONNECT if `code` is given and no packet is partly written.
    fn close(&mut self, code: Option<u8>) {
        let at_packet_boundary = self.chunks.front().is_none_or(|c| !c.started);
        let packet =
            code.filter(|_| at_packet_boundary).map(|code| Packet::Disconnect(Disconnect::new(code)));
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

    /// Processes bytes received from the broker.
    pub fn received(&mut self, bytes: &[u8], now: Time) {
        if !matches!(self.state, ConnectionState::AwaitingConnack { .. } | ConnectionState::Connected) {
            return;
        }
        self.reader.push(bytes);
        loop {
            let result = match self.reader.packet() {
                Ok(None) => break,
                Ok(Some(packet)) => {
                    self.last_received = now;
                    self.ping_sent_at = None;
                    self.handle_packet(packet, now)
                }
                Err(error) => Err(error),
            };
            if let Err(error) = result {
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
                Err(ConnectionError::protocol("packet received before the CONNACK"))
            }
            (_, Packet::Puback(ack)) => self.handle_puback(&ack, now),
            (_, Packet::Pubrec(ack)) => self.handle_pubrec(&ack, now),
            (_, Packet::Pubcomp(ack)) => self.handle_pubcomp(&ack),
            (_, Packet::Pingresp) => Ok(()),
            (_, Packet::Disconnect(disconnect)) if self.options.version == Version::V5 => {
                self.handle_disconnect(&disconnect, now);
                Ok(())
            }
            // Left over from a subscription made by another client under this client id; ignored.
            (_, Packet::Publish(publish)) if publish.qos == Qos::AtMostOnce => Ok(()),
            _ => Err(ConnectionError::protocol("unexpected packet type")),
        }
    }

    fn handle_connack(&mut self, clean: bool, connack: &Connack, now: Time) -> Result<(), ConnectionError> {
        if connack.code != code::SUCCESS {
            // A refusal does not start a session, so the state of the session is known as well.
            self.clear_resuming_record();
            self.connection_refused(connack, now);
            return Ok(());
        }
        if clean && connack.session_present {
            return Err(ConnectionError::protocol("session present after a clean start [MQTT-3.2.2-4]"));
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
        self.log_session_state(connack.session_present);
        if !connack.session_present {
            // In this order: a process that finds the records of packet ids without that of the resumption would
            // take the session that has begun now for the one that is lost.
            self.lose_session();
            self.clear_resuming_record();
            self.session_known = true;
            if clean && self.options.version == Version::V311 {
                self.close(Some(code::SUCCESS));
                self.state = ConnectionState::Backoff { until: now };
            }
            return Ok(());
        }
        self.clear_resuming_record();
        let mut retransmissions: Vec<(u64, u16)> = self
            .attempts
            .iter()
            .filter(|(_, f)| may_have_reached_broker(f))
            .map(|(id, f)| (f.order, *id))
            .collect();
        retransmissions.sort_unstable();
        for (_, id) in retransmissions {
            self.resume_attempt(id, now);
        }
        Ok(())
    }

    /// Goes on with an attempt in a session that was resumed.
    fn resume_attempt(&mut self, id: u16, now: Time) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let may_retransmit = self.may_retransmit(attempt, now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.awaiting_since = now;
        match (attempt.stage, &attempt.publish) {
            (Stage::Released, _) => drop(self.write(Packet::Pubrel(Ack::new(id, code::SUCCESS)), None)),
            // The message has ended and is not retransmitted. The packet id stays in use.
            (Stage::Sent, _) if attempt.abandoned => {}
            (Stage::Sent, _) if !may_retransmit => {
                attempt.abandoned = true;
                let message = attempt.message;
                self.effects.push_back(Effect::Ended { id, message, end: AttemptResult::Lost });
            }
            (Stage::Sent, Some(publish)) => {
                attempt.retransmitted = true;
                let publish = Publish { dup: true, ..publish.clone() };
                // It was sent before, so it does not exceed the maximum packet size. It belongs to the same
                // attempt and cannot be withdrawn.
                self.write(Packet::Publish(Box::new(publish)), None);
            }
            _ => {}
        }
    }

    /// Whether the PUBLISH of an attempt may be sent again.
    fn may_retransmit(&self, attempt: &Attempt, now: Time) -> bool {
        // The receivers behind the broker no longer remember the key of the message, or it must not run again.
        let has_expired = attempt.qos == Qos::AtLeastOnce && now >= attempt.retransmit_until;
        // Another partner may be at the address of a session that nobody uses any more, and the PUBLISH could be the
        // first one that arrives there.
        let is_left = self.close_when_idle && self.is_drained(attempt, now);
        !has_expired && !is_left
    }

    /// Logs what becomes of the messages in flight in an earlier session, if there are any.
    fn log_session_state(&mut self, session_present: bool) {
        let in_flight = self.attempts.values().filter(|f| may_have_reached_broker(f) && !f.abandoned).count();
        let text = match (in_flight, session_present) {
            (0, _) => return,
            (n, true) => format!("the session is resumed with {n} messages in flight"),
            (n, false) => format!("the session is lost with {n} messages in flight, which may have run"),
        };
        self.effects.push_back(Effect::Log(text));
    }

    /// Ends all attempts that may have taken effect. Nothing is retransmitted from here; the class decides
    /// about a retry.
    fn lose_session(&mut self) {
        let open: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| may_have_reached_broker(f)).map(|(id, _)| *id).collect();
        for id in open {
            self.ended(id, AttemptResult::Lost);
        }
    }

    /// Handles a CONNACK that refuses the connection.
    fn connection_refused(&mut self, connack: &Connack, now: Time) {
        let code = connack.code;
        let busy = match self.options.version {
            Version::V311 => code == 3,
            Version::V5 => matches!(code, code::SERVER_BUSY | code::QUOTA_EXCEEDED | 0x9F),
        };
        let reason = connack.reason.as_deref().unwrap_or("no reason given");
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
        let reason = disconnect.reason.as_deref().unwrap_or("no reason given");
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
        if code == code::SESSION_TAKEN_OVER {
            // The other connection may have begun the session anew, and a session that is present later may be
            // its own.
            self.lose_session();
            self.session_known = false;
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
            // Duplicate acknowledgement of an attempt that has ended.
            return Ok(());
        };
        match attempt.stage {
            Stage::Sent if attempt.qos == Qos::AtLeastOnce => {
                self.publish_answered(ack, now);
                Ok(())
            }
            Stage::Queued | Stage::Writing => {
                Err(ConnectionError::protocol("acknowledgement of a PUBLISH that was not sent"))
            }
            _ => Err(ConnectionError::protocol("PUBACK for a PUBLISH at QoS 2")),
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
                // From now on the PUBLISH must not be retransmitted [MQTT-4.3.3-6]. PUBREL is due once this
                // is recorded.
                (attempt.stage, attempt.publish) = (Stage::Releasing, None);
                self.effects.push_back(Effect::RecordPubrec { id: ack.id, message: attempt.message });
            }
            Stage::Releasing => {}
            Stage::Released => drop(self.write(Packet::Pubrel(Ack::new(ack.id, code::SUCCESS)), None)),
            Stage::Sent => return Err(ConnectionError::protocol("PUBREC for a PUBLISH at QoS 1")),
            Stage::Queued | Stage::Writing => {
                return Err(ConnectionError::protocol("acknowledgement of a PUBLISH that was not sent"));
            }
        }
        Ok(())
    }

    /// Reports that the PUBREC has been recorded; sends PUBREL.
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
            // This includes "packet identifier not found": the broker received the PUBREL earlier, and its
            // PUBCOMP was lost.
            Some(Stage::Released) => self.ended(ack.id, AttemptResult::Delivered),
            None => {}
            Some(_) => return Err(ConnectionError::protocol("PUBCOMP without a PUBREL")),
        }
        Ok(())
    }

    /// Ends an attempt according to the reason code of its PUBACK or PUBREC.
    fn publish_answered(&mut self, ack: &Ack, now: Time) {
        let wait = retry_after(&ack.properties);
        let retransmitted = self.attempts.get(&ack.id).is_some_and(|attempt| attempt.retransmitted);
        let end = match ack.code {
            0..0x80 => AttemptResult::Delivered,
            // The broker may have processed the PUBLISH of the earlier connection.
            _ if retransmitted => AttemptResult::Error,
            code::QUOTA_EXCEEDED => AttemptResult::Busy { wait },
            code::NOT_AUTHORIZED | code::TOPIC_NAME_INVALID | code::PAYLOAD_FORMAT_INVALID => {
                AttemptResult::Rejected
            }
            _ => AttemptResult::Error,
        };
        if ack.code >= 0x80 && ack.code != code::QUOTA_EXCEEDED {
            let reason = ack.reason.as_deref().unwrap_or("no reason given");
            self.effects.push_back(Effect::Log(format!(
                "the broker refuses a message (0x{:02X}): {reason}",
                ack.code
            )));
        }
        self.ended(ack.id, end);
        if let Some(delay) = wait.filter(|_| ack.code == code::QUOTA_EXCEEDED) {
            // Messages in flight continue; nothing new is sent.
            self.delay_new_attempts(wait, now);
            self.withdraw_all_unsent(AttemptResult::Busy { wait: Some(delay) });
        }
    }

    // ---- timers and sending
    // ------------------------------------------------------------------------------------

    /// Handles all timeouts that are due.
    pub fn handle_timeout(&mut self, now: Time) {
        self.advance(now);
    }

    fn advance(&mut self, now: Time) {
        self.expire_attempts(now);
        self.withdraw_drained(now);
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
            ConnectionState::Connected if !has_work && self.close_when_idle => self.close_if_idle(),
            ConnectionState::Connected => self.service_connection(now),
            _ => {}
        }
    }

    /// Whether a connection is needed. Messages that have ended and whose PUBLISH was not acknowledged do not
    /// need one, because nothing more is sent for them.
    fn has_work(&self) -> bool {
        self.attempts.values().any(|f| !f.abandoned || matches!(f.stage, Stage::Releasing | Stage::Released))
    }

    fn open(&mut self, now: Time) {
        self.state = ConnectionState::Connecting { since: now };
        self.effects.push_back(Effect::Open);
    }

    /// Closes an idle connection. The broker keeps the session for its expiry interval.
    pub fn close_if_idle(&mut self) {
        if self.state == ConnectionState::Connected && !self.has_work() {
            self.close(Some(code::SUCCESS));
            self.chunks.clear();
            self.state = ConnectionState::None;
        }
    }

    /// Ends attempts that have waited too long for a connection or for an acknowledgement.
    fn expire_attempts(&mut self, now: Time) {
        let past_deadline = |f: &Attempt| now >= f.until && !f.abandoned;
        let unsent = |f: &Attempt| now >= f.until.min(f.queued_at + self.options.connect_timeout);
        let expired: Vec<u16> =
            self.attempts.iter().filter(|(_, f)| past_deadline(f) || unsent(f)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            match attempt.stage {
                // It waited for the Receive Maximum if connected, else for a connection.
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
        // A connection on which nothing is received while an acknowledgement is outstanding is closed; the
        // session is resumed on the next one.
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
        // Every PUBLISH that is sent and not completed counts towards the Receive Maximum [MQTT-3.3.4-7].
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
                self.effects
                    .push_back(Effect::Log("message exceeds the broker's Maximum Packet Size".to_owned()));
                self.ended(id, AttemptResult::Rejected);
            }
        }
    }

    /// When to call [`Client::handle_timeout`] next.
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
        let unsent = self.attempts.iter().filter(|(id, _)| self.is_unsent(**id));
        let drain_at = unsent.filter_map(|(_, f)| self.drains.get(&f.group).copied()).min();
        self.attempts.values().filter_map(attempt).chain(state).chain(drain_at).min()
    }
}

/// Whether the broker may have received the PUBLISH.
fn may_have_reached_broker(f: &Attempt) -> bool {
    matches!(f.stage, Stage::Sent | Stage::Releasing | Stage::Released)
}

/// Value of the user property `retry-after` in seconds. This courier sends the same property.
fn retry_after(properties: &crate::packet::Properties) -> Option<Duration> {
    let seconds: f64 = property(properties, "retry-after")?.trim().parse().ok()?;
    (seconds > 0.0 && seconds <= MAX_RETRY_AFTER_SECONDS).then(|| Duration::from_secs_f64(seconds))
}

#[cfg(test)]
#[path = "client_test.rs"]
mod tests;
