//! Rejected connections that are still open until their answer is sent. A rejected client must be able to
//! tell "retry in 2 s" from a crash, and a flood of connections must exhaust neither sockets nor time: their
//! number and duration are bounded, and connections beyond that are closed at once and counted. This module
//! only decides; the courier owns the sockets.

use crate::Time;
use crate::reason::Reason;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// Maximum number of rejected connections open at once: twice the 64 connections that one client may open in
/// one burst.
pub const MAX_CONCURRENT: usize = 128;
/// How long a rejected client may send nothing: as long as an admitted one.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a rejected client may take to read its answer and stop sending.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum input read and discarded meanwhile: unread input would cause a TCP reset that can overtake the
/// answer.
pub const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Minimum interval between log lines about rejected connections.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How a rejected connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionOutcome {
    /// The answer was sent, with the reason and the retry delay.
    Told,
    /// The client sent no request, so the connection was closed without an answer.
    Silent,
    /// Closed without an answer, because the maximum number was open or the answer could not be sent.
    Untold,
}

/// Number of rejected connections by outcome, for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub told: u64,
    pub silent: u64,
    pub untold: u64,
}

impl Counts {
    fn add(&mut self, outcome: RejectionOutcome) {
        *match outcome {
            RejectionOutcome::Told => &mut self.told,
            RejectionOutcome::Silent => &mut self.silent,
            RejectionOutcome::Untold => &mut self.untold,
        } += 1;
    }
}

/// A slot for one rejected connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionSlot {
    pub id: u64,
    /// The connection whose slot this was; the caller closes it at once.
    pub evicted: Option<u64>,
}

/// Tracks the open rejected connections and counts their outcomes.
#[derive(Debug, Default)]
pub struct RejectedConnections {
    next_id: u64,
    /// Connections that have sent nothing yet, oldest first.
    awaiting_request: BTreeSet<u64>,
    /// Connections that have sent part of a request and are owed an answer.
    answering: BTreeSet<u64>,
    counts: BTreeMap<Reason, Counts>,
    /// Outcomes since the last log line.
    unlogged: BTreeMap<Reason, Counts>,
    last_logged: Option<Time>,
}

impl RejectedConnections {
    /// Admits one more connection, if there is a free slot or a connection that has sent nothing. The oldest
    /// such connection is evicted, since it is owed no answer. `request_started` says whether part of a
    /// request has been received.
    pub fn admit(&mut self, request_started: bool) -> Option<RejectionSlot> {
        let full = self.awaiting_request.len() + self.answering.len() >= MAX_CONCURRENT;
        let evicted = if full { Some(self.awaiting_request.pop_first()?) } else { None };
        let id = self.next_id;
        self.next_id += 1;
        let stage = if request_started { &mut self.answering } else { &mut self.awaiting_request };
        stage.insert(id);
        Some(RejectionSlot { id, evicted })
    }

    /// Part of a request was received, so the connection is owed an answer and is not evicted any more.
    pub fn request_started(&mut self, id: u64) {
        if self.awaiting_request.remove(&id) {
            self.answering.insert(id);
        }
    }

    /// Records that a connection is closed. `id` is None for one that never had a slot.
    pub fn closed(&mut self, id: Option<u64>, reason: Reason, outcome: RejectionOutcome) {
        if let Some(id) = id {
            self.awaiting_request.remove(&id);
            self.answering.remove(&id);
        }
        self.counts.entry(reason).or_default().add(outcome);
        self.unlogged.entry(reason).or_default().add(outcome);
    }

    /// Number of open rejected connections.
    pub fn open(&self) -> usize {
        self.awaiting_request.len() + self.answering.len()
    }

    /// Outcomes by reason since the start.
    pub fn counts(&self) -> BTreeMap<String, Counts> {
        self.counts.iter().map(|(reason, counts)| (reason.to_string(), *counts)).collect()
    }

    /// When the next log line is due; None if nothing has been counted since the last one.
    pub fn log_due(&self) -> Option<Time> {
        (!self.unlogged.is_empty()).then(|| self.last_logged.map_or(Time::ZERO, |at| at + MIN_LOG_INTERVAL))
    }

    /// The log line, if it is due: outcomes since the last one.
    pub fn take_log_line(&mut self, now: Time) -> Option<String> {
        self.log_due().filter(|due| *due <= now)?;
        self.last_logged = Some(now);
        let mut text = "clients: connections turned away:".to_owned();
        for (reason, Counts { told, silent, untold }) in std::mem::take(&mut self.unlogged) {
            let _ = write!(text, " {reason} ({told} told, {silent} silent, {untold} untold)");
        }
        Some(text)
    }
}

#[cfg(test)]
#[path = "rejected_connections_test.rs"]
mod tests;
