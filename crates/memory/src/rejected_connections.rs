//! Connections that there is no room for, until they have been told so. A client that is turned away must be able to
//! tell "come back in 2 s" from a crash, and a flood of them must take neither sockets nor time: so many at once, a
//! bounded time each, and past that a close, counted. Decisions only; the sockets are the courier's.

use crate::Time;
use crate::reason::Reason;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// How many are seen off at once: what one client of 64 connections may open in one go, twice.
pub const MAX_CONCURRENT: usize = 128;
/// For so long a client that is turned away may say nothing: as long as one that is let in.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// So long it may take to read its answer and to stop sending.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// So much of what it sends meanwhile is read, so that no reset overtakes the answer, bytes.
pub const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Log lines about them are no closer together than this.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// How it ended for one that was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionOutcome {
    /// It has its answer, with the reason and when to come back.
    Told,
    /// It had asked for nothing, so a close takes nothing from it.
    Silent,
    /// It was closed without a word, being one too many.
    Untold,
}

/// How many ended how, for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub told: u64,
    pub silent: u64,
    pub untold: u64,
}

impl Counts {
    fn add(&mut self, how: RejectionOutcome) {
        *match how {
            RejectionOutcome::Told => &mut self.told,
            RejectionOutcome::Silent => &mut self.silent,
            RejectionOutcome::Untold => &mut self.untold,
        } += 1;
    }
}

/// One that may be seen off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionSlot {
    pub id: u64,
    /// Its place is that of this one, which is to be closed at once.
    pub evicted: Option<u64>,
}

/// The book of those who are being turned away.
#[derive(Debug, Default)]
pub struct RejectedConnections {
    next: u64,
    /// Nothing has come from these yet; by age.
    listening: BTreeSet<u64>,
    client_identification: BTreeSet<u64>,
    counts: BTreeMap<Reason, Counts>,
    /// Since the last line of the log.
    fresh: BTreeMap<Reason, Counts>,
    logged: Option<Time>,
}

impl RejectedConnections {
    /// A place for one more, if there is one. Who has said nothing for longest goes first: nothing is owed to it.
    /// `heard` says whether part of a request has come already.
    pub fn admit(&mut self, request_started: bool) -> Option<RejectionSlot> {
        let full = self.listening.len() + self.client_identification.len() >= MAX_CONCURRENT;
        let evicted = if full { Some(self.listening.pop_first()?) } else { None };
        let id = self.next;
        self.next += 1;
        let stage = if request_started { &mut self.client_identification } else { &mut self.listening };
        stage.insert(id);
        Some(RejectionSlot { id, evicted })
    }

    /// It has asked for something, and is owed an answer: it gives way to nobody from now on.
    pub fn request_started(&mut self, id: u64) {
        if self.listening.remove(&id) {
            self.client_identification.insert(id);
        }
    }

    /// It is closed. None for one that never had a place.
    pub fn closed(&mut self, id: Option<u64>, reason: Reason, how: RejectionOutcome) {
        if let Some(id) = id {
            self.listening.remove(&id);
            self.client_identification.remove(&id);
        }
        self.counts.entry(reason).or_default().add(how);
        self.fresh.entry(reason).or_default().add(how);
    }

    /// How many are being seen off.
    pub fn open(&self) -> usize {
        self.listening.len() + self.client_identification.len()
    }

    /// By reason, since the start.
    pub fn counts(&self) -> BTreeMap<String, Counts> {
        self.counts.iter().map(|(reason, counts)| (reason.to_string(), *counts)).collect()
    }

    /// When there is a line for the log, if nothing more happens.
    pub fn log_due(&self) -> Option<Time> {
        (!self.fresh.is_empty()).then(|| self.logged.map_or(Time::ZERO, |at| at + LOG_PAUSE))
    }

    /// The line that is due: what ended since the last one.
    pub fn take_log_line(&mut self, now: Time) -> Option<String> {
        self.log_due().filter(|due| *due <= now)?;
        self.logged = Some(now);
        let mut text = "clients: connections turned away:".to_owned();
        for (reason, Counts { told, silent, untold }) in std::mem::take(&mut self.fresh) {
            let _ = write!(text, " {reason} ({told} told, {silent} silent, {untold} untold)");
        }
        Some(text)
    }
}

#[cfg(test)]
#[path = "rejected_connections_test.rs"]
mod tests;
