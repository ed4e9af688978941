//! Packet ids in use at MQTT brokers, each in the journal with its session, and the attempts that a previous
//! process left under them: such an attempt is resumed under its packet id in its session, so that the message does
//! not take effect a second time, or ends as one that may have run.

use super::Dispatcher;
use super::broker_config::is_configured;
use super::brokers::RESUMING_PREFIX;
use super::held_message::HeldMessage;
use crate::events::{AfterAttempt, CallResult};
use crate::upstream::broker_connection::{BrokerAttempt, BrokerConnection};
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::endpoint_client::BrokerTarget;
use serde::{Deserialize, Serialize};
use stairshed_decide::interface::*;
use stairshed_journal::{LiveMessage, Verdict};
use stairshed_mqtt::Qos;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Key prefix of the state records of packet ids in use: `packet-id/ID/ADDRESS/CLIENT`.
const PACKET_ID_PREFIX: &str = "packet-id/";
/// Key prefix of the records of earlier versions, `broker/ID/HOST`, which do not name the session.
const LEGACY_PACKET_ID_PREFIX: &str = "broker/";
/// A message whose result is still unknown after a restart ends this long before its deadline.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);

/// The journal's state record of a packet id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PacketIdRecord {
    message: u64,
    /// Whether PUBREC has arrived; then the PUBLISH is not needed any more.
    released: bool,
    topic: String,
    qos: u8,
}

impl PacketIdRecord {
    /// The record of a message that is about to be published.
    pub(super) fn sent(message: u64, target: &BrokerTarget) -> Self {
        PacketIdRecord { message, released: false, topic: target.topic.clone(), qos: target.qos.value() }
    }

    /// The record of a message whose PUBREC has arrived.
    pub(super) fn released(message: u64) -> Self {
        PacketIdRecord { message, released: true, topic: String::new(), qos: Qos::ExactlyOnce.value() }
    }

    fn target(&self, session: Rc<BrokerSession>, id: u16) -> BrokerTarget {
        let qos = if self.qos == Qos::AtLeastOnce.value() { Qos::AtLeastOnce } else { Qos::ExactlyOnce };
        BrokerTarget { session, id, topic: self.topic.clone(), qos }
    }
}

/// An attempt of a previous process whose result is unknown.
struct OpenAttempt {
    target: BrokerTarget,
    released: bool,
    /// Whether it was handed to the connection of its session.
    resumed: bool,
    /// When its message is ended at the latest.
    until: Instant,
}

/// What a previous process left in its sessions.
#[derive(Default)]
pub(super) struct OpenAttempts {
    /// Attempts whose result is unknown, by message. The scheduler does not know these messages.
    by_message: BTreeMap<u64, OpenAttempt>,
    /// Sessions and packet ids of ended messages: the ids may still be in use in their session.
    blocked_ids: Vec<(Rc<BrokerSession>, u16)>,
    /// Whether the messages of these attempts are held, so that they can be resumed.
    messages_loaded: bool,
}

impl OpenAttempts {
    fn is_empty(&self) -> bool {
        self.by_message.is_empty() && self.blocked_ids.is_empty()
    }

    /// Whether something waits to be resumed or blocked in this session.
    fn has_waiting_in(&self, session: &BrokerSession) -> bool {
        let mut waiting = self.by_message.values().filter(|open| !open.resumed);
        waiting.any(|open| *open.target.session == *session)
            || self.blocked_ids.iter().any(|(of, _)| **of == *session)
    }

    /// The sessions in which something waits to be resumed or blocked.
    fn sessions(&self) -> HashSet<Rc<BrokerSession>> {
        let waiting = self.by_message.values().filter(|open| !open.resumed);
        let waiting = waiting.map(|open| open.target.session.clone());
        waiting.chain(self.blocked_ids.iter().map(|(session, _)| session.clone())).collect()
    }
}

fn packet_id_key(session: &BrokerSession, id: u16) -> String {
    format!("{PACKET_ID_PREFIX}{id}/{session}")
}

/// The packet id and the session that a key without its prefix names.
fn parse_packet_id_key(key: &str) -> Option<(u16, BrokerSession)> {
    let (id, session) = key.split_once('/')?;
    Some((id.parse().ok()?, session.parse().ok()?))
}

impl Dispatcher {
    pub(super) fn record_packet_id(&mut self, session: &BrokerSession, id: u16, record: &PacketIdRecord) {
        // Written even if the journal is full: these records are few, and held messages cannot be delivered
        // without them.
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.put_state(&packet_id_key(session, id), value.into());
    }

    /// Deletes the record of a packet id that is no longer in use.
    pub(super) fn free_packet_id(&mut self, session: &BrokerSession, id: u16) {
        self.delete_state(&packet_id_key(session, id));
    }

    /// Loads the attempts of a previous process that may be resumed.
    pub(super) fn load_open_attempts(&mut self) {
        self.drop_legacy_records();
        let lost = self.take_lost_sessions();
        for (key, value) in self.states_with_prefix(PACKET_ID_PREFIX) {
            let record = serde_json::from_slice::<PacketIdRecord>(&value).ok();
            let Some(((id, session), record)) = parse_packet_id_key(&key).zip(record) else {
                log_line!("mqtt: a record of a packet id cannot be read, and is dropped: {key}");
                self.delete_state(&format!("{PACKET_ID_PREFIX}{key}"));
                continue;
            };
            match lost.contains(&session.to_string()) {
                true => self.free_packet_id(&session, id),
                false => self.load_open_attempt(Rc::new(session), id, &record),
            }
        }
    }

    fn load_open_attempt(&mut self, session: Rc<BrokerSession>, id: u16, record: &PacketIdRecord) {
        match self.journal.get(record.message) {
            Some(live) if live.verdict.is_none() => {
                let left = live.accepted.deadline.saturating_duration_since(self.clock.now());
                let until = Instant::now() + left.saturating_sub(EXPIRY_MARGIN);
                let (target, released) = (record.target(session, id), record.released);
                let open = OpenAttempt { target, released, resumed: false, until };
                self.brokers.open_attempts.by_message.insert(record.message, open);
            }
            // The message has ended: nothing more is sent for it, and its id is not reused while the session
            // lasts.
            _ => self.brokers.open_attempts.blocked_ids.push((session, id)),
        }
    }

    /// Drops the records of an earlier version: their sessions are unknown, so their attempts may have run.
    fn drop_legacy_records(&mut self) {
        for (key, _) in self.states_with_prefix(LEGACY_PACKET_ID_PREFIX) {
            self.delete_state(&format!("{LEGACY_PACKET_ID_PREFIX}{key}"));
        }
    }

    /// The sessions that were being resumed at the stop, which count as lost (see `Client::connection_opened`);
    /// deletes their records.
    fn take_lost_sessions(&mut self) -> HashSet<String> {
        let resuming = self.states_with_prefix(RESUMING_PREFIX);
        let lost: HashSet<String> = resuming.into_iter().map(|(session, _)| session).collect();
        for session in &lost {
            self.delete_state(&format!("{RESUMING_PREFIX}{session}"));
        }
        lost
    }

    /// Holds a message whose attempt by a previous process is unresolved, without passing it to the
    /// scheduler. Returns whether it is one.
    pub(super) fn hold_open_attempt(&mut self, message: u64, live: &LiveMessage, class: usize) -> bool {
        if !self.brokers.open_attempts.by_message.contains_key(&message) {
            return false;
        }
        let (accepted, attempts) = (live.accepted.clone(), live.attempts.len() as u32);
        let in_flight = Some((Instant::now(), None));
        self.attempts.held.insert(message, HeldMessage { accepted, class, attempts, in_flight });
        true
    }

    /// Resumes attempts in the sessions of brokers that were listed before the messages were loaded.
    pub(super) fn resume_open_attempts(&mut self) {
        self.brokers.open_attempts.messages_loaded = true;
        let ready = self.members.endpoints.iter().filter(|(_, e)| e.ready && e.topic.is_some());
        let ready: Vec<EndpointId> = ready.map(|(id, _)| *id).collect();
        ready.into_iter().for_each(|endpoint| self.resume_attempts_at(endpoint));
    }

    /// Connects an endpoint if attempts wait for the session that it uses, which resumes them.
    pub(super) fn resume_attempts_at(&mut self, endpoint: EndpointId) {
        let open_attempts = &self.brokers.open_attempts;
        if !open_attempts.messages_loaded || open_attempts.is_empty() {
            return;
        }
        let settings = self.broker_settings_of(endpoint);
        if settings.is_some_and(|settings| self.brokers.open_attempts.has_waiting_in(&settings.session)) {
            self.broker_for(endpoint);
        }
    }

    /// Passes what a previous process left in a session to its connection. Their messages go through `endpoint`.
    pub(super) fn resume_attempts_in(
        &mut self,
        session: &Rc<BrokerSession>,
        endpoint: EndpointId,
        connection: &BrokerConnection,
    ) {
        let OpenAttempts { by_message, blocked_ids, .. } = &mut self.brokers.open_attempts;
        for (_, id) in blocked_ids.extract_if(.., |(of, _)| of == session) {
            connection.block_packet_id(id);
        }
        let open = by_message.iter().filter(|(_, o)| o.target.session == *session && !o.resumed);
        let due: Vec<u64> = open.map(|(message, _)| *message).collect();
        for message in due {
            let effect = self.effect_of(message);
            let Some(live) = self.journal.get(message) else { continue };
            let attempt = live.attempts.len().saturating_sub(1) as u32;
            let accepted = live.accepted.clone();
            let first_sent_at = self.first_sent_at(message);
            let Some(open) = self.brokers.open_attempts.by_message.get_mut(&message) else { continue };
            open.resumed = true;
            let (accepted, target) = (&*accepted, &open.target);
            let resumed =
                BrokerAttempt { message, attempt, endpoint, accepted, target, effect, first_sent_at };
            connection.resume(&resumed, open.released);
        }
    }

    /// Handles the end of an attempt of a previous process, and returns whether it was one. Unless the
    /// message has ended too, it is handed over to the scheduler.
    pub(super) fn open_attempt_ended(&mut self, message: u64, end: &CallResult) -> bool {
        if self.brokers.open_attempts.by_message.remove(&message).is_none() {
            return false;
        }
        if end.after == AfterAttempt::Settled || self.journal.get(message).is_none_or(|m| m.verdict.is_some())
        {
            self.attempts.held.remove(&message);
            return true;
        }
        self.hand_over_to_module(message);
        true
    }

    /// Hands a message over to the scheduler, with its earlier attempts.
    fn hand_over_to_module(&mut self, message: u64) {
        let Some(live) = self.journal.get(message).cloned() else { return };
        let Some(held) = self.attempts.held.get_mut(&message) else { return };
        held.in_flight = None;
        let class = held.class;
        let taken = self.resumed_message(message, &live, class);
        self.events.push(Event::Accepted(taken));
    }

    /// When the next message with an unresolved attempt expires.
    pub(super) fn next_open_expiry(&self) -> Option<Instant> {
        self.brokers.open_attempts.by_message.values().map(|o| o.until).min()
    }

    /// Ends messages whose unresolved attempt has expired: it is not known whether they took effect.
    pub(super) fn end_expired_open_attempts(&mut self) {
        let now = Instant::now();
        let open = self.brokers.open_attempts.by_message.iter().filter(|(_, o)| o.until <= now);
        let due: Vec<u64> = open.map(|(m, _)| *m).collect();
        for message in due {
            let Some(open) = self.brokers.open_attempts.by_message.remove(&message) else { continue };
            let repeatable = self.effect_of(message) == Effect::Repeatable;
            if let Some(held) = self.attempts.held.get_mut(&message) {
                held.in_flight = None;
            }
            if !open.resumed {
                let BrokerTarget { session, id, .. } = open.target;
                self.brokers.open_attempts.blocked_ids.push((session, id));
            }
            let verdict = if repeatable { Verdict::Bounced { wait: None } } else { Verdict::Dead };
            self.record_verdict(message, verdict);
            self.flush_journal();
            self.post_notices();
        }
    }

    fn is_open_in(&self, message: u64, session: &Rc<BrokerSession>) -> bool {
        let open = self.brokers.open_attempts.by_message.get(&message);
        open.is_some_and(|open| open.target.session == *session)
    }

    /// Gives up unresolved attempts in sessions that no endpoint of the configuration uses any more, and hands
    /// their messages over to the scheduler as ones that may have run.
    pub(super) fn drop_lost_sessions(&mut self) {
        let Some(installation) = self.setup.installation.clone() else { return };
        let sessions = self.brokers.open_attempts.sessions().into_iter();
        let lost: HashSet<_> = sessions.filter(|session| !is_configured(&installation, session)).collect();
        if lost.is_empty() {
            return;
        }
        let open = self.brokers.open_attempts.by_message.iter();
        let open = open.filter(|(_, o)| !o.resumed && lost.contains(&o.target.session));
        let given_up: Vec<u64> = open.map(|(m, _)| *m).collect();
        for session in &lost {
            let in_flight = given_up.iter().filter(|message| self.is_open_in(**message, session)).count();
            log_line!(
                "mqtt: no endpoint uses the session {session}; {in_flight} messages in flight may have run"
            );
        }
        for message in given_up {
            if let Some(open) = self.brokers.open_attempts.by_message.remove(&message) {
                self.free_packet_id(&open.target.session, open.target.id);
                self.hand_over_to_module(message);
            }
        }
        let blocked_ids = &mut self.brokers.open_attempts.blocked_ids;
        let freed: Vec<_> = blocked_ids.extract_if(.., |(session, _)| lost.contains(session)).collect();
        freed.into_iter().for_each(|(session, id)| self.free_packet_id(&session, id));
    }
}
