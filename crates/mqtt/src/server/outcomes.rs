//! Delivery of outcomes to clients: the subscription to the outcome topic and the queue of outcomes.

use super::{AfterStore, Effect, MAX_OUTCOMES_IN_FLIGHT, OUTCOME_TOPIC_PREFIX, Outcome, Server, Stage};
use crate::error::ConnectionError;
use crate::packet::{Packet, Publish, Qos, Subscribe, Version, code};
use crate::session::Session;
use bytes::Bytes;
use stairshed_config::topic;

impl Server {
    pub(super) fn subscribe(&mut self, connection: u64, subscribe: Subscribe) -> Result<(), ConnectionError> {
        let Some(c) = self.connections.get(&connection) else { return Ok(()) };
        let (owner, version) = (c.owner.clone(), c.version);
        let Some(session) = self.sessions.get_mut(&owner) else { return Ok(()) };
        let outcome_topic = format!("{OUTCOME_TOPIC_PREFIX}{}", session.client);
        let (mut codes, mut changed) = (Vec::new(), false);
        for (filter, qos) in &subscribe.filters {
            let refused = if !topic::is_topic_filter(filter) {
                code::TOPIC_FILTER_INVALID
            } else if filter.starts_with("$share/") {
                code::SHARED_NOT_SUPPORTED
            } else if filter.contains(['+', '#']) {
                code::WILDCARDS_NOT_SUPPORTED
            } else if subscribe.has_subscription_id {
                code::SUBSCRIPTION_IDS_NOT_SUPPORTED
            } else if *filter != outcome_topic {
                code::NOT_AUTHORIZED
            } else {
                // QoS 2 is downgraded to QoS 1: a duplicate outcome does no harm.
                let granted = if *qos == Qos::AtMostOnce { Qos::AtMostOnce } else { Qos::AtLeastOnce };
                session.subscribed = Some(granted);
                changed = true;
                codes.push(granted.value());
                continue;
            };
            codes.push(if version == Version::V5 { refused } else { code::SUBACK_FAILURE });
        }
        let refused = codes.iter().any(|c| *c >= 0x80);
        let reason = refused
            .then(|| format!("the courier is no broker: {outcome_topic} is all that can be read here"));
        let packet = Packet::Suback { id: subscribe.id, codes, reason };
        match changed && session.is_persistent() {
            true => self.store(&owner, AfterStore::Write { connection, packet }),
            false => self.write(connection, packet),
        }
        Ok(())
    }

    pub(super) fn unsubscribe(
        &mut self,
        connection: u64,
        id: u16,
        filters: &[String],
    ) -> Result<(), ConnectionError> {
        let Some(c) = self.connections.get(&connection) else { return Ok(()) };
        let owner = c.owner.clone();
        let Some(session) = self.sessions.get_mut(&owner) else { return Ok(()) };
        let outcome_topic = format!("{OUTCOME_TOPIC_PREFIX}{}", session.client);
        let mut codes = Vec::new();
        for filter in filters {
            let was_subscribed = *filter == outcome_topic && session.subscribed.take().is_some();
            codes.push(if was_subscribed { code::SUCCESS } else { code::NO_SUBSCRIPTION_EXISTED });
        }
        let dropped: Vec<Outcome> = match session.subscribed {
            // Outcomes already sent are completed [MQTT-3.10.4-3].
            None => session.outcomes.drain(..).collect(),
            Some(_) => Vec::new(),
        };
        self.effects.extend(dropped.into_iter().map(|o| Effect::OutcomeDropped { message: o.message }));
        let packet = Packet::Unsuback { id, codes };
        match self.sessions.get(&owner).is_some_and(Session::is_persistent) {
            true => self.store(&owner, AfterStore::Write { connection, packet }),
            false => self.write(connection, packet),
        }
        Ok(())
    }

    /// Whether the client subscribes to its outcomes, connected or not, and its queue has room for one more.
    pub fn accepts_outcomes(&self, owner: &str) -> bool {
        let session = self.sessions.get(owner).filter(|s| s.subscribed.is_some());
        session.is_some_and(|s| s.outcomes.len() + s.unacknowledged.len() < self.limits.max_outcomes)
    }

    /// Queues an outcome for a client. Check [`Server::accepts_outcomes`] first. [`Effect::OutcomeDelivered`]
    /// or [`Effect::OutcomeDropped`] follows.
    pub fn queue_outcome(&mut self, owner: &str, outcome: Outcome) {
        match self.sessions.get_mut(owner).filter(|s| s.subscribed.is_some()) {
            Some(session) => session.outcomes.push_back(outcome),
            None => self.effects.push_back(Effect::OutcomeDropped { message: outcome.message }),
        }
        self.flush(owner);
    }

    pub(super) fn flush(&mut self, owner: &str) {
        loop {
            let Some(session) = self.sessions.get_mut(owner) else { return };
            let Some((connection, qos)) = session.connection.zip(session.subscribed) else { return };
            let Some(c) = self.connections.get(&connection) else { return };
            let open = matches!(c.stage, Stage::Open);
            if !open
                || session.unacknowledged.len() >= MAX_OUTCOMES_IN_FLIGHT.min(usize::from(c.receive_maximum))
            {
                return;
            }
            let Some(outcome) = session.outcomes.pop_front() else { return };
            if qos == Qos::AtMostOnce {
                self.publish_outcome(owner, connection, 0, &outcome, false);
                self.effects.push_back(Effect::OutcomeDelivered { message: outcome.message });
            } else {
                let id = session.allocate_packet_id();
                session.unacknowledged.insert(id, outcome.clone());
                self.publish_outcome(owner, connection, id, &outcome, false);
            }
        }
    }

    pub(super) fn publish_outcome(
        &mut self,
        owner: &str,
        connection: u64,
        id: u16,
        outcome: &Outcome,
        dup: bool,
    ) {
        let Some(session) = self.sessions.get(owner) else { return };
        let topic = format!("{OUTCOME_TOPIC_PREFIX}{}", session.client);
        let (qos, id) = if id == 0 { (Qos::AtMostOnce, None) } else { (Qos::AtLeastOnce, Some(id)) };
        let payload = Bytes::from(outcome.line.clone());
        let publish = Publish { dup, utf8: true, ..Publish::new(&topic, qos, id, payload) };
        self.write(connection, Packet::Publish(Box::new(publish)));
    }

    pub(super) fn outcome_acked(&mut self, connection: u64, id: u16) -> Result<(), ConnectionError> {
        let Some(c) = self.connections.get(&connection) else { return Ok(()) };
        let owner = c.owner.clone();
        let Some(session) = self.sessions.get_mut(&owner) else { return Ok(()) };
        // An acknowledgement for an id that is not in use is a duplicate.
        if let Some(outcome) = session.unacknowledged.remove(&id) {
            self.effects.push_back(Effect::OutcomeDelivered { message: outcome.message });
            self.flush(&owner);
        }
        Ok(())
    }
}
