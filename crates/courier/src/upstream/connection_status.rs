//! Counters of connections to endpoints and of the reasons they were closed, for the log and the admin page
//! `/-/connections`.

use crate::upstream::http_connection::{ResponseProgress, SocketFailure};
use serde_json::{Value, json};
use stairshed_decide::interface::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval between two log lines about unsolicited bytes.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The endpoint closed or reset it, or announced that in its response.
    ClosedByPeer,
    /// The endpoint sent bytes that belong to no request.
    UnsolicitedBytes,
    /// It reached the idle time-out.
    IdleLimit,
    /// Connections with the same idle time have recently failed when they were reused.
    FailureRisk,
    /// The endpoint drains, is gone or has a new address.
    EndpointRemoved,
    /// Its memory or its socket was needed for something else.
    ResourcePressure,
    /// Its exchange ended without a complete response.
    AttemptFailed,
    /// A second copy of its last response could not be distinguished from the next response.
    IdenticalResponses,
    /// Its last response may be a second copy of an earlier one.
    RepeatedResponse,
    /// Its last response reported that the message is over (410). A second copy of it must not end another
    /// message.
    MessageGone,
    /// It reached the maximum number of exchanges.
    ExchangeLimit,
}

impl CloseReason {
    /// The name on the admin page.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClosedByPeer => "closed by the endpoint",
            CloseReason::UnsolicitedBytes => "unsolicited bytes",
            CloseReason::IdleLimit => "idle limit",
            CloseReason::FailureRisk => "risk of a break",
            CloseReason::EndpointRemoved => "endpoint left",
            CloseReason::ResourcePressure => "memory or sockets needed",
            CloseReason::AttemptFailed => "attempt failed",
            CloseReason::IdenticalResponses => "answers alike",
            CloseReason::RepeatedResponse => "answer repeated",
            CloseReason::MessageGone => "message over",
            CloseReason::ExchangeLimit => "exchange limit",
        }
    }
}

/// Counters shared by all calls.
#[derive(Default)]
pub struct ConnectionStatus {
    opened: Cell<u64>,
    reused: Cell<u64>,
    closed: RefCell<BTreeMap<CloseReason, u64>>,
    /// Rejected responses by status code; None if there was no status line.
    rejected_response: RefCell<BTreeMap<Option<u16>, u64>>,
    /// Exchanges that ended with a socket error.
    failures: RefCell<BTreeMap<SocketFailure, u64>>,
    last_report: Cell<Option<Instant>>,
}

impl ConnectionStatus {
    /// Counts a new connection.
    pub fn opened(&self) {
        self.opened.set(self.opened.get() + 1);
    }

    /// Counts the reuse of an idle connection.
    pub fn reused(&self) {
        self.reused.set(self.reused.get() + 1);
    }

    /// Counts `number` closed connections.
    pub fn closed(&self, reason: CloseReason, number: usize) {
        if number > 0 {
            *self.closed.borrow_mut().entry(reason).or_default() += number as u64;
        }
    }

    /// Counts an exchange whose response was rejected, or whose connection failed before a response.
    pub fn rejected_response(&self, progress: ResponseProgress) {
        *self.rejected_response.borrow_mut().entry(progress.status).or_default() += 1;
        if let Some(failure) = progress.failure {
            *self.failures.borrow_mut().entry(failure).or_default() += 1;
        }
    }

    /// Counts and logs unsolicited bytes, found `idle` after the last response. Logs at most once in 10 s.
    pub fn unsolicited(&self, endpoint: EndpointId, connection_number: u64, idle: Duration) {
        self.closed(CloseReason::UnsolicitedBytes, 1);
        let now = Instant::now();
        if self.last_report.get().is_some_and(|at| now - at < REPORT_INTERVAL) {
            return;
        }
        self.last_report.set(Some(now));
        let number = self.count(CloseReason::UnsolicitedBytes);
        log_line!(
            "connections: endpoint {} sent bytes that no request asked for, found {:.3} s after its last answer; \
             connection {connection_number} is closed ({number} so far)",
            endpoint.0,
            idle.as_secs_f64()
        );
    }

    fn count(&self, reason: CloseReason) -> u64 {
        self.closed.borrow().get(&reason).copied().unwrap_or(0)
    }

    /// The content of the admin page `/-/connections`.
    pub fn page(&self) -> Value {
        let closed: BTreeMap<_, _> =
            self.closed.borrow().iter().map(|(reason, number)| (reason.name(), *number)).collect();
        let name = |status: &Option<u16>| status.map_or("none".to_owned(), |status| status.to_string());
        let rejected_response: BTreeMap<_, _> =
            self.rejected_response.borrow().iter().map(|(status, number)| (name(status), *number)).collect();
        let failures: BTreeMap<_, _> =
            self.failures.borrow().iter().map(|(failure, number)| (failure.to_string(), *number)).collect();
        json!({
            "opened": self.opened.get(),
            "reused": self.reused.get(),
            "closed": closed,
            "not_believed": rejected_response,
            "errors": failures,
        })
    }
}
