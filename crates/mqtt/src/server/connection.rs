//! Connections from accept to close: CONNECT and CONNACK, keep alive, wills, session takeover.

use super::{
    AfterStore, Connection, Due, Effect, MAX_CLIENT_ID_BYTES, MAX_USER_PROPERTIES, Outcome, Owner, Server,
    Stage, Timer, keep_alive_timeout, owner, refusal, wait_property, will_message,
};
use crate::Time;
use crate::error::ConnectionError;
use crate::frame::Reader;
use crate::packet::{Connack, Connect, Disconnect, Packet, Properties, Version, code};
use crate::session::Session;
use bytes::BytesMut;
use stairshed_config::topic;
use std::collections::HashMap;
use std::time::Duration;

/// Time in which input that has arrived is read.
const READ_GRACE_PERIOD: Time = Duration::from_millis(200);

impl Server {
    /// The oldest connection that has sent no CONNECT, and when it was accepted.
    pub fn oldest_without_connect(&self) -> Option<(u64, Time)> {
        let of = self.connections.iter().filter(|(_, c)| matches!(c.stage, Stage::AwaitingConnect));
        of.map(|(id, c)| (*id, c.since)).min_by_key(|(_, since)| *since)
    }

    /// Adds a connection that was accepted.
    pub fn connection_accepted(&mut self, connection: u64, now: Time) {
        let of = Connection {
            reader: Reader::server(self.limits.max_packet_size),
            stage: Stage::AwaitingConnect,
            since: now,
            last_received: now,
            keep_alive_timeout: None,
            version: Version::V5,
            owner: Owner::new(),
            aliases: HashMap::new(),
            receive_maximum: u16::MAX,
            max_packet_size: None,
            request_problem_info: true,
            pending_qos0: 0,
            due: None,
            awaits_read: false,
            paused: false,
        };
        self.connections.insert(connection, of);
        self.set_timeout(connection, now + self.limits.connect_timeout);
    }

    /// Sets the timeout of a connection, replacing an earlier one.
    pub(super) fn set_timeout(&mut self, connection: u64, at: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        if let Some(due) = c.due.replace(at) {
            self.deadlines.remove(&(due, Due::Connection(connection)));
        }
        self.deadlines.insert((at, Due::Connection(connection)));
    }

    pub(super) fn end(&mut self, connection: u64, code: u8, reason: &str, properties: Properties, now: Time) {
        let Some(c) = self.connections.get(&connection) else { return };
        let known = c.reader.version();
        match (&c.stage, c.version) {
            (Stage::Open, Version::V5) => {
                let reason = Some(reason.to_owned());
                let packet = Disconnect { reason, properties, ..Disconnect::new(code) };
                self.write(connection, Packet::Disconnect(packet));
            }
            (Stage::Open, Version::V311) => {}
            // A peer that does not speak MQTT gets no answer [MQTT-3.1.4-1].
            (_, _) if known.is_none() && code != code::UNSUPPORTED_VERSION => {}
            (_, _) if known.is_none() => {
                // A client of an unsupported version gets a CONNACK of 3.1.1, section 3.1.2.2.
                if let Some(c) = self.connections.get_mut(&connection) {
                    c.version = Version::V311;
                }
                self.write(connection, Packet::Connack(Box::new(Connack::new(1))));
            }
            (_, version) => {
                if let Some(connack) = refusal(version, code, reason, properties) {
                    self.write(connection, Packet::Connack(Box::new(connack)));
                }
            }
        }
        self.effects.push_back(Effect::Close { connection });
        self.connection_lost(connection, now);
    }

    pub(super) fn connect(&mut self, connection: u64, mut connect: Connect) -> Result<(), ConnectionError> {
        let Some(c) = self.connections.get_mut(&connection) else { return Ok(()) };
        c.version = connect.version;
        c.max_packet_size = connect.max_packet_size;
        c.request_problem_info = connect.request_problem_info;
        c.receive_maximum = connect.receive_maximum;
        if connect.auth_method.is_some() {
            return Err(ConnectionError {
                code: code::BAD_AUTHENTICATION_METHOD,
                reason: "no authentication method is supported",
            });
        }
        let assigned = connect.client.is_empty();
        if assigned {
            // The id must not be guessable, or another client could take the session over.
            connect.client = format!("auto-{:016x}{:08x}", self.nonce, self.next_token);
            self.next_token += 1;
        }
        if connect.client.len() > MAX_CLIENT_ID_BYTES || connect.client.contains(['+', '#', '/']) {
            return Err(ConnectionError {
                code: code::CLIENT_ID_NOT_VALID,
                reason: "a client id has 1 to 128 bytes without + # /",
            });
        }
        if let Some(will) = &connect.will {
            if !topic::is_topic_name(&will.topic) || will.topic.starts_with('$') {
                return Err(ConnectionError {
                    code: code::TOPIC_NAME_INVALID,
                    reason: "no topic for a will",
                });
            }
            if will.retain && connect.version == Version::V5 {
                return Err(ConnectionError {
                    code: code::RETAIN_NOT_SUPPORTED,
                    reason: "nothing is retained here",
                });
            }
            if !self.limits.wills {
                return Err(ConnectionError {
                    code: code::IMPLEMENTATION_SPECIFIC,
                    reason: "wills are not taken here",
                });
            }
            if will.properties.len() > MAX_USER_PROPERTIES {
                return Err(ConnectionError {
                    code: code::QUOTA_EXCEEDED,
                    reason: "a will with too many user properties",
                });
            }
            if will.payload.len() > self.limits.max_payload_bytes {
                return Err(ConnectionError {
                    code: code::QUOTA_EXCEEDED,
                    reason: "a will that is too long",
                });
            }
        }
        let owner = owner(connect.user.as_deref(), &connect.client);
        let (user, password, will) = (connect.user.clone(), connect.password.take(), connect.will.clone());
        c.owner = owner.clone();
        c.stage = Stage::Authorizing { connect: Box::new(connect), assigned };
        self.effects.push_back(Effect::Authorize { connection, user, password, owner, will });
        Ok(())
    }

    /// Reports whether a client may connect; if not, with a reason code of 5.0 and a reason string.
    pub fn authorized(&mut self, connection: u64, verdict: Result<(), (u8, String)>, now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        let Stage::Authorizing { connect, assigned } = std::mem::replace(&mut c.stage, Stage::StoringSession)
        else {
            return;
        };
        if let Err((code, reason)) = verdict {
            return self.end(connection, code, &reason, Properties::new(), now);
        }
        let owner = c.owner.clone();
        // A second connection of the same client takes over the session of the first [MQTT-3.1.4-3].
        if let Some(old) = self.sessions.get(&owner).and_then(|s| s.connection) {
            self.end(old, code::SESSION_TAKEN_OVER, "the client has connected again", Properties::new(), now);
        }
        let present = !connect.clean && self.sessions.contains_key(&owner);
        if !present {
            self.end_session(&owner, true);
            if self.sessions.len() >= self.limits.sessions {
                let wait = wait_property(Some(Duration::from_secs(1)));
                return self.end(
                    connection,
                    code::QUOTA_EXCEEDED,
                    "as many sessions as there may be",
                    wait,
                    now,
                );
            }
        }
        // The client has reconnected before the will delay passed, so the will is not sent [MQTT-3.1.3-9].
        self.unschedule(&owner);
        let max_session_expiry_seconds = self.limits.max_session_expiry_seconds;
        let existing = self.sessions.remove(&owner);
        let mut session = existing.unwrap_or_else(|| Session::new(&connect.client, connect.version));
        session.version = connect.version;
        session.expiry = connect.expiry.min(max_session_expiry_seconds);
        session.connection = Some(connection);
        session.gone = None;
        session.will = connect.will.clone();
        let recorded = session.recorded;
        self.sessions.insert(owner.clone(), session);
        let keep_alive = self.keep_alive(&connect);
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.keep_alive_timeout = keep_alive_timeout(keep_alive);
        c.last_received = now;
        if let Some(keep_alive_timeout) = c.keep_alive_timeout {
            self.set_timeout(connection, now + keep_alive_timeout + Duration::from_millis(1));
        }
        // Values that differ from what the client asked for or from the defaults.
        let connack = Connack {
            session_present: present,
            client: assigned.then(|| connect.client.clone()),
            expiry: (connect.expiry > max_session_expiry_seconds).then_some(max_session_expiry_seconds),
            receive_maximum: self.limits.receive_maximum,
            max_packet_size: Some(self.limits.max_packet_size as u32),
            topic_alias_max: self.limits.topic_alias_max,
            keep_alive: (keep_alive != connect.keep_alive).then_some(keep_alive),
            optional_features: false,
            ..Connack::new(code::SUCCESS)
        };
        let is_persistent = self.sessions.get(&owner).is_some_and(Session::is_persistent);
        let after = AfterStore::Open { connection, connack: Box::new(connack) };
        match is_persistent || recorded {
            true => self.store(&owner, after),
            false => self.run_after_store(after, now),
        }
    }

    pub(super) fn keep_alive(&self, connect: &Connect) -> u16 {
        let most = self.limits.max_keep_alive_seconds;
        match (connect.version, connect.keep_alive) {
            // 3.1.1 cannot tell the client about a different keep alive.
            (Version::V311, asked) => asked,
            (Version::V5, 0) => most,
            (Version::V5, asked) => asked.min(most),
        }
    }

    pub(super) fn connection_opened(&mut self, connection: u64, connack: Box<Connack>, now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.stage = Stage::Open;
        let owner = c.owner.clone();
        self.write(connection, Packet::Connack(connack));
        // Unacknowledged outcomes are retransmitted under their packet ids [MQTT-4.4.0-1].
        let retransmissions: Vec<(u16, Outcome)> = match self.sessions.get(&owner) {
            Some(s) => s.unacknowledged.iter().map(|(id, o)| (*id, o.clone())).collect(),
            None => Vec::new(),
        };
        for (id, outcome) in retransmissions {
            self.publish_outcome(&owner, connection, id, &outcome, true);
        }
        self.flush(&owner);
        self.resume_reading(connection, now);
    }

    pub(super) fn disconnect(
        &mut self,
        connection: u64,
        packet: &Disconnect,
        now: Time,
    ) -> Result<(), ConnectionError> {
        let max_session_expiry_seconds = self.limits.max_session_expiry_seconds;
        let Some(c) = self.connections.get(&connection) else { return Ok(()) };
        let owner = c.owner.clone();
        if let Some(session) = self.sessions.get_mut(&owner) {
            if let Some(expiry) = packet.expiry {
                if expiry > 0 && session.expiry == 0 {
                    return Err(ConnectionError::protocol("a session that was to end cannot be prolonged"));
                }
                session.expiry = expiry.min(max_session_expiry_seconds);
            }
            if packet.code != code::DISCONNECT_WITH_WILL {
                session.will = None;
            }
        }
        self.effects.push_back(Effect::Close { connection });
        self.connection_lost(connection, now);
        Ok(())
    }

    /// Reports that a connection has ended, whichever side closed it.
    pub fn connection_lost(&mut self, connection: u64, now: Time) {
        let Some(c) = self.connections.remove(&connection) else { return };
        if let Some(due) = c.due {
            self.deadlines.remove(&(due, Due::Connection(connection)));
        }
        let Some(session) = self.sessions.get_mut(&c.owner).filter(|s| s.connection == Some(connection))
        else {
            return;
        };
        session.connection = None;
        session.gone = Some(self.origin + now);
        self.schedule_session_end(&c.owner, now);
        // The record also says when the connection ended.
        if self.sessions.get(&c.owner).is_some_and(Session::is_persistent)
            && !self.pending_wills.contains(&c.owner)
        {
            self.store(&c.owner, AfterStore::Nothing);
        }
    }

    /// Schedules the will and the expiry of a session without a connection.
    pub(super) fn schedule_session_end(&mut self, owner: &str, now: Time) {
        let Some(session) = self.sessions.get(owner) else { return };
        let stable_now = self.origin + now;
        let disconnected_at = session.gone.unwrap_or(stable_now);
        let due_at = |seconds: u32| {
            let due = disconnected_at + Duration::from_secs(u64::from(seconds));
            now + due.saturating_duration_since(stable_now)
        };
        let (expiry, will) = (session.expiry, session.will.as_ref().map(|w| w.delay.min(session.expiry)));
        // The will is sent after its delay or at the end of the session, whichever comes first
        // [MQTT-3.1.3-9].
        if let Some(delay) = will {
            match delay {
                0 => self.send_will(owner),
                delay => self.schedule(owner, due_at(delay), Timer::Will),
            }
        }
        match expiry {
            0 => self.end_session(owner, false),
            u32::MAX => {}
            expiry => self.schedule(owner, due_at(expiry), Timer::Expiry),
        }
    }

    pub(super) fn send_will(&mut self, owner: &str) {
        let Some(will) = self.sessions.get_mut(owner).and_then(|s| s.will.take()) else { return };
        self.pending_wills.insert(owner.to_owned());
        self.offer(owner, 0, will_message(&will), None, true);
    }

    /// Puts off the timeout of a connection whose input has arrived and was not read, once until something is received:
    /// a process that was held up reads it next.
    pub fn input_arrived(&mut self, connection: u64, now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        if !std::mem::replace(&mut c.awaits_read, true) {
            self.set_timeout(connection, now + READ_GRACE_PERIOD);
        }
    }

    pub(super) fn check_keep_alive(&mut self, connection: u64, now: Time) {
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.due = None;
        match (&c.stage, c.keep_alive_timeout) {
            (Stage::AwaitingConnect, _) => {
                self.effects.push_back(Effect::Close { connection });
                self.connection_lost(connection, now);
            }
            (_, Some(keep_alive_timeout)) if now > c.last_received + keep_alive_timeout => {
                self.fail(
                    connection,
                    ConnectionError {
                        code: code::KEEP_ALIVE_TIMEOUT,
                        reason: "silent for longer than its keep alive",
                    },
                    now,
                );
            }
            // A packet received exactly at the limit is still in time.
            (_, Some(keep_alive_timeout)) => {
                let next = (c.last_received + keep_alive_timeout).max(now) + Duration::from_millis(1);
                self.set_timeout(connection, next);
            }
            (_, None) => {}
        }
    }

    /// Closes a connection to free capacity. Returns the part of a packet that it has sent.
    pub fn shed(&mut self, connection: u64, now: Time) -> BytesMut {
        let received = self.connections.get_mut(&connection).map(|c| c.reader.take_buffered());
        self.effects.push_back(Effect::Close { connection });
        self.connection_lost(connection, now);
        received.unwrap_or_default()
    }

    /// The process is shutting down: ends all connections with a DISCONNECT where the version has one, and
    /// sends the wills that are due.
    pub fn shutdown(&mut self, now: Time) {
        let all: Vec<u64> = self.connections.keys().copied().collect();
        for connection in all {
            self.end(connection, code::SERVER_SHUTTING_DOWN, "the courier stops", Properties::new(), now);
        }
    }
}
