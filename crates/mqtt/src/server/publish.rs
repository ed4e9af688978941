//! PUBLISH packets of clients: checks, offers to the courier, and acknowledgements.

use super::{
    AfterStore, Answer, Effect, MAX_UNRELEASED_PACKET_IDS, MAX_USER_PROPERTIES, Offer, Pending, Server,
    Stage, wait_property,
};
use crate::Time;
use crate::error::ConnectionError;
use crate::packet::{Ack, Packet, Properties, Publish, Qos, Version, code};
use stairshed_config::topic;

impl Server {
    pub(super) fn publish(
        &mut self,
        connection: u64,
        mut publish: Publish,
        now: Time,
    ) -> Result<(), ConnectionError> {
        let (limits, Some(c)) = (&self.limits, self.connections.get_mut(&connection)) else { return Ok(()) };
        if let Some(alias) = publish.alias {
            if alias > limits.topic_alias_max {
                return Err(ConnectionError {
                    code: code::TOPIC_ALIAS_INVALID,
                    reason: "a topic alias above the maximum",
                });
            }
            if publish.topic.is_empty() {
                let known = c
                    .aliases
                    .get(&alias)
                    .ok_or(ConnectionError::protocol("a topic alias that stands for nothing"))?;
                publish.topic.clone_from(known);
            } else {
                c.aliases.insert(alias, publish.topic.clone());
            }
        } else if publish.topic.is_empty() {
            return Err(ConnectionError::protocol("neither a topic nor an alias"));
        }
        if !topic::is_topic_name(&publish.topic) {
            return Err(ConnectionError {
                code: code::TOPIC_NAME_INVALID,
                reason: "a topic with wildcards, or too long",
            });
        }
        if publish.retain && c.version == Version::V5 {
            return Err(ConnectionError {
                code: code::RETAIN_NOT_SUPPORTED,
                reason: "nothing is retained here",
            });
        }
        let owner = c.owner.clone();
        let max_in_flight = usize::from(limits.receive_maximum);
        let v5 = c.version == Version::V5;
        let Some(session) = self.sessions.get_mut(&owner) else { return Ok(()) };
        if let Some(id) = publish.id {
            if session.pending.contains_key(&id) {
                // It was received on an earlier connection and waits for an answer, which is sent on this
                // connection.
                return Ok(());
            }
            if session.releases.contains(&id) {
                if publish.qos != Qos::ExactlyOnce {
                    return Err(ConnectionError::protocol("a packet id that is in use"));
                }
                // Already accepted: it is not accepted again [MQTT-4.3.3-10].
                self.write(connection, Packet::Pubrec(Ack::new(id, code::SUCCESS)));
                return Ok(());
            }
            if v5 && session.pending.len() + session.releases.len() >= max_in_flight {
                return Err(ConnectionError {
                    code: code::RECEIVE_MAXIMUM_EXCEEDED,
                    reason: "more PUBLISHes than the Receive Maximum",
                });
            }
            if session.releases.len() >= MAX_UNRELEASED_PACKET_IDS {
                return Err(ConnectionError {
                    code: code::QUOTA_EXCEEDED,
                    reason: "too many packet ids wait for their PUBREL",
                });
            }
        }
        let rejection = if publish.payload.len() > self.limits.max_payload_bytes {
            Some((code::QUOTA_EXCEEDED, "the payload is longer than is taken"))
        } else if publish.properties.len() > MAX_USER_PROPERTIES {
            Some((code::QUOTA_EXCEEDED, "more user properties than are taken"))
        } else if publish.topic.starts_with('$') {
            Some((code::TOPIC_NAME_INVALID, "topics that begin with $ are the courier's own"))
        } else if publish.utf8 && std::str::from_utf8(&publish.payload).is_err() {
            Some((code::PAYLOAD_FORMAT_INVALID, "the payload says that it is UTF-8 and is not"))
        } else {
            None
        };
        let (id, qos) = (publish.id, publish.qos);
        let Some((code, reason)) = rejection else {
            self.offer(&owner, connection, publish, id, false);
            return Ok(());
        };
        let Some(id) = id else {
            self.effects
                .push_back(Effect::Log(format!("{owner}: a message at QoS 0 is not taken: {reason}")));
            return Ok(());
        };
        let answer = Answer::Refused { code, reason: reason.to_owned(), wait: None };
        self.answer(&owner, Some(connection), id, qos, answer, now);
        Ok(())
    }

    pub(super) fn offer(
        &mut self,
        owner: &str,
        connection: u64,
        publish: Publish,
        id: Option<u16>,
        will: bool,
    ) {
        let token = self.token();
        let qos = publish.qos;
        let mut bounce = false;
        if let Some(session) = self.sessions.get_mut(owner) {
            bounce = session.version == Version::V311 && session.subscribed.is_some() && id.is_some();
            if let Some(id) = id {
                session.pending.insert(id, token);
            }
        }
        if id.is_none()
            && let Some(c) = self.connections.get_mut(&connection)
        {
            c.pending_qos0 += 1;
        }
        self.pending.insert(token, Pending { owner: owner.to_owned(), connection, id, qos, will });
        let expects_ack = id.is_some();
        let offer = Offer { token, owner: owner.to_owned(), publish, will, bounce, expects_ack };
        self.effects.push_back(Effect::Offer(Box::new(offer)));
    }

    /// Reports the decision about an offer.
    pub fn offer_answered(&mut self, token: u64, answer: Answer, now: Time) {
        let Some(Pending { owner, connection, id, qos, will }) = self.pending.remove(&token) else { return };
        if will {
            self.pending_wills.remove(&owner);
            match self.sessions.contains_key(&owner) {
                true => self.store(&owner, AfterStore::Nothing),
                false => self.erase(&owner),
            }
        }
        let Some(id) = id else {
            if let Answer::Refused { reason, .. } = &answer {
                self.effects.push_back(Effect::Log(format!(
                    "{owner}: a message without acknowledgement is not taken: {reason}"
                )));
            }
            if let Some(c) = self.connections.get_mut(&connection) {
                c.pending_qos0 -= 1;
                self.resume_reading(connection, now);
            }
            return;
        };
        let Some(session) = self.sessions.get_mut(&owner) else { return };
        session.pending.remove(&id);
        // The client may have reconnected in the meantime. Nothing may be sent before its CONNACK [MQTT-3.2.0-1];
        // it publishes again what is not acknowledged.
        let is_open = |id: &u64| self.connections.get(id).is_some_and(|c| matches!(c.stage, Stage::Open));
        let connection = session.connection.filter(is_open);
        self.answer(&owner, connection, id, qos, answer, now);
        if let Some(connection) = connection {
            self.resume_reading(connection, now);
        }
    }

    pub(super) fn answer(
        &mut self,
        owner: &str,
        connection: Option<u64>,
        id: u16,
        qos: Qos,
        answer: Answer,
        now: Time,
    ) {
        let Some(session) = self.sessions.get_mut(owner) else { return };
        let acknowledgement =
            |ack| if qos == Qos::ExactlyOnce { Packet::Pubrec(ack) } else { Packet::Puback(ack) };
        match answer {
            Answer::Accepted if qos == Qos::ExactlyOnce => {
                session.releases.insert(id);
                let is_persistent = session.expiry > 0;
                let packet = acknowledgement(Ack::new(id, code::SUCCESS));
                let after = connection
                    .map_or(AfterStore::Nothing, |connection| AfterStore::Write { connection, packet });
                match is_persistent {
                    true => self.store(owner, after),
                    false => self.run_after_store(after, now),
                }
            }
            Answer::Accepted => {
                if let Some(connection) = connection {
                    self.write(connection, acknowledgement(Ack::new(id, code::SUCCESS)));
                }
            }
            Answer::Refused { code, reason, wait } => {
                let Some(connection) = connection else { return };
                if session.version == Version::V5 {
                    let ack =
                        Ack { reason: Some(reason), properties: wait_property(wait), ..Ack::new(id, code) };
                    self.write(connection, acknowledgement(ack));
                } else {
                    // Without an acknowledgement the client knows that the message was not accepted; the
                    // connection is closed because the client would wait for one otherwise. See docs/mqtt.md.
                    self.effects.push_back(Effect::Log(format!(
                        "{owner}: closed, since 3.1.1 has no refusal: {reason}"
                    )));
                    self.end(connection, code, &reason, Properties::new(), now);
                }
            }
        }
    }

    pub(super) fn pubrel(&mut self, connection: u64, id: u16) -> Result<(), ConnectionError> {
        let Some(c) = self.connections.get(&connection) else { return Ok(()) };
        let owner = c.owner.clone();
        let Some(session) = self.sessions.get_mut(&owner) else { return Ok(()) };
        if !session.releases.remove(&id) {
            let code = if session.version == Version::V5 { code::PACKET_ID_NOT_FOUND } else { code::SUCCESS };
            self.write(connection, Packet::Pubcomp(Ack::new(id, code)));
            return Ok(());
        }
        match session.recorded && session.expiry > 0 {
            true => self.store(&owner, AfterStore::Release { connection, id }),
            false => self.write(connection, Packet::Pubcomp(Ack::new(id, code::SUCCESS))),
        }
        Ok(())
    }
}
