//! Counters of the connections to endpoints and of why they were closed, for the log and the page `/-/connections`.

use crate::outbound::http_connection::{ResponseProgress, SocketFailure};
use serde_json::{Value, json};
use stairshed_decide::interface::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Between two log lines on unsolicited bytes.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection that could have been kept was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The endpoint closed it, reset it, or its answer said that it would.
    ClosedByPeer,
    /// The endpoint sent bytes that no request asked for.
    UnsolicitedBytes,
    /// It stood idle for as long as connections are kept.
    IdleLimit,
    /// Connections that stood idle for as long broke of late when they were used.
    BreakRisk,
    /// The endpoint drains, is gone or has another address.
    EndpointLeft,
    /// Its memory or its socket was needed.
    Pressure,
    /// The exchange on it did not end with a whole answer.
    AttemptFailed,
    /// A second copy of its last answer could not be told from the next one.
    AnswersAlike,
    /// Its last answer may be a second copy of an earlier one.
    AnswerRepeated,
    /// Its last answer said that a message is over: a second copy of it must not end another one.
    MessageOver,
    /// It carried as many exchanges as a connection may.
    ExchangeLimit,
}

impl CloseReason {
    /// As the page has it.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClosedByPeer => "closed by the endpoint",
            CloseReason::UnsolicitedBytes => "unsolicited bytes",
            CloseReason::IdleLimit => "idle limit",
            CloseReason::BreakRisk => "risk of a break",
            CloseReason::EndpointLeft => "endpoint left",
            CloseReason::Pressure => "memory or sockets needed",
            CloseReason::AttemptFailed => "attempt failed",
            CloseReason::AnswersAlike => "answers alike",
            CloseReason::AnswerRepeated => "answer repeated",
            CloseReason::MessageOver => "message over",
            CloseReason::ExchangeLimit => "exchange limit",
        }
    }
}

/// Shared by all calls.
#[derive(Default)]
pub struct ConnectionStatus {
    opened: Cell<u64>,
    reused: Cell<u64>,
    closed: RefCell<BTreeMap<CloseReason, u64>>,
    /// Answers that were not believed, by the status of their first line; None where there was none.
    disbelieved: RefCell<BTreeMap<Option<u16>, u64>>,
    /// Exchanges that ended with an error of the system.
    failures: RefCell<BTreeMap<SocketFailure, u64>>,
    last_report: Cell<Option<Instant>>,
}

impl ConnectionStatus {
    /// A new connection carries its first exchange.
    pub fn opened(&self) {
        self.opened.set(self.opened.get() + 1);
    }

    /// A kept connection carries another exchange.
    pub fn reused(&self) {
        self.reused.set(self.reused.get() + 1);
    }

    /// `number` connections were closed.
    pub fn closed(&self, reason: CloseReason, number: usize) {
        if number > 0 {
            *self.closed.borrow_mut().entry(reason).or_default() += number as u64;
        }
    }

    /// An exchange ended with an answer that was not believed, or with none though its connection broke.
    pub fn disbelieved(&self, heard: ResponseProgress) {
        *self.disbelieved.borrow_mut().entry(heard.status).or_default() += 1;
        if let Some(failure) = heard.failure {
            *self.failures.borrow_mut().entry(failure).or_default() += 1;
        }
    }

    /// An endpoint sent bytes that no request asked for, found `idle` after its last answer. Written to the log, but not
    /// more often than once in 10 s.
    pub fn unsolicited(&self, endpoint: EndpointId, connection: u64, idle: Duration) {
        self.closed(CloseReason::UnsolicitedBytes, 1);
        let now = Instant::now();
        if self.last_report.get().is_some_and(|at| now - at < REPORT_INTERVAL) {
            return;
        }
        self.last_report.set(Some(now));
        let number = self.count(CloseReason::UnsolicitedBytes);
        eprintln!(
            "connections: endpoint {} sent bytes that no request asked for, found {:.3} s after its last answer; \
             connection {connection} is closed ({number} so far)",
            endpoint.0,
            idle.as_secs_f64()
        );
    }

    fn count(&self, reason: CloseReason) -> u64 {
        self.closed.borrow().get(&reason).copied().unwrap_or(0)
    }

    /// The page `/-/connections`.
    pub fn page(&self) -> Value {
        let closed: BTreeMap<_, _> =
            self.closed.borrow().iter().map(|(reason, number)| (reason.name(), *number)).collect();
        let name = |status: &Option<u16>| status.map_or("none".to_owned(), |status| status.to_string());
        let disbelieved: BTreeMap<_, _> =
            self.disbelieved.borrow().iter().map(|(status, number)| (name(status), *number)).collect();
        let failures: BTreeMap<_, _> =
            self.failures.borrow().iter().map(|(failure, number)| (failure.to_string(), *number)).collect();
        json!({
            "opened": self.opened.get(),
            "reused": self.reused.get(),
            "closed": closed,
            "not_believed": disbelieved,
            "errors": failures,
        })
    }
}
