//! Endpoints that are MQTT brokers: which session each uses, the connection of each session, and the publishing of
//! messages. A broker has one session and one connection for a client identifier, so endpoints with the same
//! address and client identifier share them; an endpoint that moves leaves its session, which lives on until
//! nothing is in flight in it.

use super::Dispatcher;
use super::broker_config::{BrokerSettings, broker_settings};
use super::held_message::DeferredAction;
use super::open_attempts::{OpenAttempts, PacketIdRecord};
use crate::upstream::broker_connection::{BrokerAttempt, BrokerConnection, ConnectionSettings};
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::endpoint_client::{BrokerTarget, Call, MAX_WRITE_AFTER_DRAIN};
use stairshed_clock::StableTime;
use stairshed_decide::interface::*;
use stairshed_mqtt::Qos;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::time::Instant;

/// Key prefix of the state records of sessions that are being resumed: `resuming/ADDRESS/CLIENT`.
pub(super) const RESUMING_PREFIX: &str = "resuming/";

/// The connection of a session, and the endpoints that use the session.
struct SharedConnection {
    connection: Rc<BrokerConnection>,
    endpoints: HashSet<EndpointId>,
}

/// The session that an endpoint uses.
struct SessionUse {
    session: Rc<BrokerSession>,
    /// QoS of messages that may run again.
    qos: Qos,
}

/// Sessions on brokers, and the attempts that a previous process left in them.
#[derive(Default)]
pub struct Brokers {
    /// Connections of the sessions that an endpoint uses or in which a message is in flight.
    connections: HashMap<Rc<BrokerSession>, SharedConnection>,
    /// The session of each endpoint that has one.
    by_endpoint: HashMap<EndpointId, SessionUse>,
    /// Endpoints whose session or settings may have changed: checked before the next message.
    stale: HashSet<EndpointId>,
    /// Sessions that no endpoint uses any more and in which a message is in flight.
    left: Vec<Rc<BrokerSession>>,
    pub(super) open_attempts: OpenAttempts,
}

impl Dispatcher {
    fn connection(&self, session: &BrokerSession) -> Option<&Rc<BrokerConnection>> {
        self.brokers.connections.get(session).map(|shared| &shared.connection)
    }

    /// The connection of the session that an endpoint uses.
    fn connection_of(&self, endpoint: EndpointId) -> Option<&Rc<BrokerConnection>> {
        self.connection(&self.brokers.by_endpoint.get(&endpoint)?.session)
    }

    /// How the configuration has an endpoint used that is a broker. None if it is none, or its pool is gone.
    pub(super) fn broker_settings_of(&self, endpoint: EndpointId) -> Option<BrokerSettings> {
        let e = self.members.endpoints.get(&endpoint).filter(|e| e.topic.is_some())?;
        let installation = self.setup.installation.as_ref()?;
        broker_settings(installation, &self.setup.config_folder, &e.host, e.address?)
    }

    /// The connection for new messages of an endpoint, with the current settings as far as messages in flight
    /// allow.
    pub(super) fn broker_for(&mut self, endpoint: EndpointId) -> Option<Rc<BrokerConnection>> {
        let known = self.connection_of(endpoint).cloned();
        if known.is_some() && !self.brokers.stale.contains(&endpoint) {
            return known;
        }
        let Some(settings) = self.broker_settings_of(endpoint) else { return known };
        self.leave_former_session(endpoint, &settings.session);
        let (session, connection) = self.connect_session(endpoint, settings.session, &settings.connection);
        self.enter_session(endpoint, session, settings.qos);
        if connection.reconfigure(&settings.connection) {
            self.brokers.stale.remove(&endpoint);
        }
        Some(connection)
    }

    /// The connection of a session, started if there is none. What a previous process left in the session is resumed
    /// through `endpoint`.
    fn connect_session(
        &mut self,
        endpoint: EndpointId,
        session: BrokerSession,
        settings: &ConnectionSettings,
    ) -> (Rc<BrokerSession>, Rc<BrokerConnection>) {
        if let Some((session, shared)) = self.brokers.connections.get_key_value(&session) {
            return (session.clone(), shared.connection.clone());
        }
        let (session, events) = (Rc::new(session), self.event_tx.clone());
        let connection = BrokerConnection::start(session.clone(), settings.clone(), self.clock, events);
        let shared = SharedConnection { connection: connection.clone(), endpoints: HashSet::new() };
        self.brokers.connections.insert(session.clone(), shared);
        self.resume_attempts_in(&session, endpoint, &connection);
        (session, connection)
    }

    /// Begins the use of a session by an endpoint, or goes on with it.
    fn enter_session(&mut self, endpoint: EndpointId, session: Rc<BrokerSession>, qos: Qos) {
        let Some(shared) = self.brokers.connections.get_mut(&session) else { return };
        if shared.endpoints.insert(endpoint) {
            // It may have left the session before.
            shared.connection.cancel_drain(endpoint);
            self.brokers.left.retain(|left| *left != session);
        }
        self.update_session_use(&session);
        self.brokers.by_endpoint.insert(endpoint, SessionUse { session, qos });
    }

    /// Ends the use of another session than this one by an endpoint.
    fn leave_former_session(&mut self, endpoint: EndpointId, current: &BrokerSession) {
        let former = self.brokers.by_endpoint.get(&endpoint);
        if former.is_some_and(|former| *former.session != *current) {
            self.leave_session(endpoint);
        }
    }

    /// Ends the use of a session by an endpoint: messages in flight are completed, and what has not been sent
    /// within the grace period is not sent.
    fn leave_session(&mut self, endpoint: EndpointId) {
        let Some(SessionUse { session, .. }) = self.brokers.by_endpoint.remove(&endpoint) else { return };
        let Some(shared) = self.brokers.connections.get_mut(&session) else { return };
        shared.endpoints.remove(&endpoint);
        shared.connection.drain_after(endpoint, MAX_WRITE_AFTER_DRAIN);
        if shared.endpoints.is_empty() {
            let in_flight = shared.connection.in_flight();
            log_line!(
                "mqtt: no endpoint uses the session {session} any more; {in_flight} messages in flight"
            );
            self.brokers.left.push(session.clone());
        }
        self.update_session_use(&session);
        self.drop_left_sessions();
    }

    /// Has the connection of a session closed when it is idle, unless one of its endpoints is ready.
    fn update_session_use(&self, session: &BrokerSession) {
        let Some(shared) = self.brokers.connections.get(session) else { return };
        let is_ready = |endpoint| self.members.endpoints.get(endpoint).is_some_and(|e| e.ready);
        shared.connection.set_in_use(shared.endpoints.iter().any(is_ready));
    }

    /// Drops the connections of sessions that no endpoint uses and in which nothing is in flight.
    pub(super) fn drop_left_sessions(&mut self) {
        let Brokers { left, connections, .. } = &mut self.brokers;
        left.retain(|session| {
            let Some(shared) = connections.get(session) else { return false };
            let is_busy = shared.connection.is_busy();
            if !is_busy {
                shared.connection.stop();
                connections.remove(session);
            }
            is_busy
        });
    }

    /// Reserves a packet id for a message and records it. None if the limit on messages in flight is reached.
    pub(super) fn reserve_packet_id(&mut self, endpoint: EndpointId, message: u64) -> Option<BrokerTarget> {
        let id = self.broker_for(endpoint)?.reserve_packet_id()?;
        let session_use = self.brokers.by_endpoint.get(&endpoint)?;
        // At QoS 1 a broker treats a retransmission as a new message.
        let qos = match self.effect_of(message) {
            Effect::Once => Qos::ExactlyOnce,
            Effect::Keyed { .. } | Effect::Repeatable => session_use.qos,
        };
        let topic = self.members.endpoints.get(&endpoint)?.topic.clone()?;
        let target = BrokerTarget { session: session_use.session.clone(), id, topic, qos };
        self.record_packet_id(&target.session, id, &PacketIdRecord::sent(message, &target));
        Some(target)
    }

    /// The session that a message is in flight in, if any.
    pub(super) fn publishing_to(&self, message: u64) -> Option<Rc<BrokerSession>> {
        let mut connections = self.brokers.connections.iter();
        let of = connections.find(|(_, shared)| shared.connection.has_message(message));
        of.map(|(session, _)| session.clone())
    }

    /// The effect of a held message; `once`, the strictest, if the message or its class is unknown.
    pub(super) fn effect_of(&self, message: u64) -> Effect {
        let class = self.attempts.held.get(&message).and_then(|m| self.setup.classes.get(m.class));
        class.map_or(Effect::Once, |c| c.effect)
    }

    /// When the first attempt of a message that may have run was sent; the epoch if that is unknown.
    pub(super) fn first_sent_at(&self, message: u64) -> StableTime {
        let attempts = self.journal.get(message).map(|live| live.attempts.as_slice()).unwrap_or_default();
        let first = attempts.iter().find(|attempt| attempt.may_have_run);
        first.map_or(StableTime::EPOCH, |attempt| attempt.sent_at)
    }

    /// Publishes a message whose attempt is in the journal. Returns whether the session was still there: the
    /// endpoint may have left it while the record was written.
    pub(super) fn publish(&self, call: &Call, target: &BrokerTarget) -> bool {
        let known = self.brokers.connections.get_key_value(&target.session);
        // The id was reserved on that connection, not on a later one of the same session.
        let Some((_, shared)) = known.filter(|(session, _)| Rc::ptr_eq(session, &target.session)) else {
            return false;
        };
        let attempt = BrokerAttempt {
            message: call.message,
            attempt: call.attempt,
            endpoint: call.endpoint,
            accepted: &call.accepted,
            target,
            effect: self.effect_of(call.message),
            first_sent_at: self.first_sent_at(call.message),
        };
        shared.connection.publish(&attempt, call.deadline.saturating_duration_since(Instant::now()));
        true
    }

    /// Records a PUBREC; the broker goes on with PUBREL once the record is durable.
    pub(super) fn pubrec_received(&mut self, session: Rc<BrokerSession>, id: u16, message: u64) {
        self.record_packet_id(&session, id, &PacketIdRecord::released(message));
        self.flush_journal();
        self.run_when_durable(self.journal.last_seq(), DeferredAction::ConfirmPubrec { session, id });
    }

    /// Records that a broker's session is about to be resumed, or deletes that record once the result is
    /// known.
    pub(super) fn session_resuming(&mut self, session: Rc<BrokerSession>, pending: bool) {
        let key = format!("{RESUMING_PREFIX}{session}");
        if !pending {
            return self.delete_state(&key);
        }
        self.put_state(&key, bytes::Bytes::new());
        self.flush_journal();
        self.run_when_durable(self.journal.last_seq(), DeferredAction::ResumeSession { session });
    }

    pub(super) fn resume_session(&self, session: &BrokerSession) {
        if let Some(connection) = self.connection(session) {
            connection.resume_recorded();
        }
    }

    pub(super) fn pubrec_recorded(&self, session: &BrokerSession, id: u16) {
        if let Some(connection) = self.connection(session) {
            connection.release_recorded(id);
        }
    }

    /// Tells the broker to give up a message.
    pub(super) fn cancel_publish(&self, session: &BrokerSession, message: u64) {
        if let Some(connection) = self.connection(session) {
            connection.cancel(message);
        }
    }

    /// Handles a changed entry of an endpoint: it leaves the session that it no longer uses, resumes attempts in
    /// its session if it is ready, and else drains.
    pub(super) fn broker_state_changed(&mut self, endpoint: EndpointId, ready: bool) {
        let Some(e) = self.members.endpoints.get(&endpoint) else { return };
        if e.topic.is_none() {
            return self.leave_session(endpoint);
        }
        self.brokers.stale.insert(endpoint);
        if self.brokers.by_endpoint.contains_key(&endpoint) {
            self.update_endpoint_in_session(endpoint, ready);
        }
        if ready {
            self.resume_attempts_at(endpoint);
        }
    }

    /// Applies a change of an endpoint to the session that it uses: a ready one may have moved to another session.
    fn update_endpoint_in_session(&mut self, endpoint: EndpointId, ready: bool) {
        if let Some(settings) = self.broker_settings_of(endpoint).filter(|_| ready) {
            self.leave_former_session(endpoint, &settings.session);
        }
        let Some(SessionUse { session, .. }) = self.brokers.by_endpoint.get(&endpoint) else { return };
        let session = session.clone();
        if let Some(connection) = self.connection(&session) {
            match ready {
                true => connection.cancel_drain(endpoint),
                false => connection.drain_after(endpoint, MAX_WRITE_AFTER_DRAIN),
            }
        }
        self.update_session_use(&session);
    }

    /// Has all sessions and their settings checked after a change of the configuration.
    pub(super) fn mark_brokers_stale(&mut self) {
        self.brokers.stale.extend(self.brokers.by_endpoint.keys());
        self.drop_lost_sessions();
        self.limit_retransmissions();
    }

    /// Has messages in flight retransmitted only as far as their classes allow now: one may have become stricter.
    fn limit_retransmissions(&self) {
        for shared in self.brokers.connections.values() {
            for message in shared.connection.messages() {
                let (effect, first_sent_at) = (self.effect_of(message), self.first_sent_at(message));
                shared.connection.limit_retransmission(message, effect, first_sent_at);
            }
        }
    }

    /// Closes the connection of an endpoint's session if nothing is in flight and no other endpoint uses it.
    pub(super) fn close_broker(&self, endpoint: EndpointId) {
        let Some(session_use) = self.brokers.by_endpoint.get(&endpoint) else { return };
        let shared = self.brokers.connections.get(&session_use.session);
        if let Some(shared) = shared.filter(|shared| shared.endpoints.len() == 1) {
            shared.connection.disconnect_if_idle();
        }
    }

    pub(super) fn forget_broker(&mut self, endpoint: EndpointId) {
        self.leave_session(endpoint);
        self.brokers.stale.remove(&endpoint);
    }
}
