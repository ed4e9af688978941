//! Stored sessions: their records, the actions that wait until a record is stored, and expiry.

use super::{AfterStore, Due, Effect, Server, Timer, wait_property};
use crate::Time;
use crate::packet::{Ack, Packet, Properties, code};
use crate::session::Session;
use std::time::Duration;

impl Server {
    /// Restores a session from the record of an earlier process, whose end also ended the connection. Returns
    /// false if the record is invalid; the session does not exist then.
    pub fn restore(&mut self, owner: &str, record: &str, now: Time) -> bool {
        let Some(mut session) = Session::restore(record) else { return false };
        session.gone.get_or_insert(self.origin + now);
        self.sessions.insert(owner.to_owned(), session);
        self.schedule_session_end(owner, now);
        true
    }

    /// Discards a session. `replaced` if its client starts a new one or it expires: a delayed will is sent
    /// then.
    pub(super) fn end_session(&mut self, owner: &str, replaced: bool) {
        if replaced {
            self.send_will(owner);
        }
        self.unschedule(owner);
        let Some(session) = self.sessions.remove(owner) else { return };
        for token in session.pending.values() {
            self.pending.remove(token);
            self.effects.push_back(Effect::AbandonOffer { token: *token });
        }
        for outcome in session.outcomes.iter().chain(session.unacknowledged.values()) {
            self.effects.push_back(Effect::OutcomeDropped { message: outcome.message });
        }
        if session.recorded && !self.pending_wills.contains(owner) {
            self.erase(owner);
        }
    }

    pub(super) fn erase(&mut self, owner: &str) {
        let token = self.token();
        self.pending_stores.insert(token, (owner.to_owned(), AfterStore::Nothing));
        self.effects.push_back(Effect::StoreSession { token, owner: owner.to_owned(), record: None });
    }

    pub(super) fn schedule(&mut self, owner: &str, at: Time, timer: Timer) {
        let number = self.token();
        self.deadlines.insert((at, Due::Session(number)));
        self.timers.insert(number, (owner.to_owned(), at, timer));
        self.session_timers.entry(owner.to_owned()).or_default().insert(timer, number);
    }

    pub(super) fn unschedule(&mut self, owner: &str) {
        for number in self.session_timers.remove(owner).unwrap_or_default().into_values() {
            if let Some((_, at, _)) = self.timers.remove(&number) {
                self.deadlines.remove(&(at, Due::Session(number)));
            }
        }
    }

    pub(super) fn store(&mut self, owner: &str, after: AfterStore) {
        let Some(session) = self.sessions.get_mut(owner) else { return };
        let record = session.is_persistent().then(|| session.record());
        if record.is_none() && !session.recorded {
            return;
        }
        session.recorded = record.is_some();
        let token = self.token();
        self.pending_stores.insert(token, (owner.to_owned(), after));
        self.effects.push_back(Effect::StoreSession { token, owner: owner.to_owned(), record });
    }

    /// Reports whether a record was stored; if not, why.
    pub fn record_stored(&mut self, token: u64, kept: Result<(), String>, now: Time) {
        let Some((owner, after)) = self.pending_stores.remove(&token) else { return };
        match kept {
            Ok(()) => self.run_after_store(after, now),
            Err(reason) => self.store_failed(&owner, after, &reason, now),
        }
    }

    pub(super) fn run_after_store(&mut self, after: AfterStore, now: Time) {
        match after {
            AfterStore::Open { connection, connack } => self.connection_opened(connection, connack, now),
            AfterStore::Write { connection, packet } => self.write(connection, packet),
            AfterStore::Release { connection, id } => {
                self.write(connection, Packet::Pubcomp(Ack::new(id, code::SUCCESS)));
            }
            AfterStore::Nothing => {}
        }
    }

    pub(super) fn store_failed(&mut self, owner: &str, after: AfterStore, reason: &str, now: Time) {
        self.effects
            .push_back(Effect::Log(format!("{owner}: its session cannot be put on record: {reason}")));
        match after {
            AfterStore::Open { connection, connack } => {
                if !connack.session_present
                    && let Some(session) = self.sessions.get_mut(owner)
                {
                    // The session was not established.
                    (session.expiry, session.will) = (0, None);
                }
                let wait = wait_property(Some(Duration::from_secs(1)));
                self.end(
                    connection,
                    code::SERVER_UNAVAILABLE,
                    "the session cannot be put on record",
                    wait,
                    now,
                );
            }
            // The message itself is stored, so a retransmission is recognised by its identity.
            AfterStore::Write { connection, packet } => self.write(connection, packet),
            AfterStore::Release { connection, id } => {
                if let Some(session) = self.sessions.get_mut(owner) {
                    session.releases.insert(id);
                }
                self.end(
                    connection,
                    code::SERVER_BUSY,
                    "the release cannot be put on record",
                    Properties::new(),
                    now,
                );
            }
            AfterStore::Nothing => {}
        }
    }
}
