//! Counts the HTTP connections of clients that were closed, by cause and by how far their request had come. For
//! the admin page `/-/clients` and the log.

use crate::ingress::client_connection::ConnectionState;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// The client closed it, or an answer did.
    Finished,
    /// No byte came in time.
    FirstByteTimeout,
    /// The end of a request head did not come in time.
    HeadTimeout,
    /// Its place was needed for another connection.
    Evicted,
    /// Its descriptor was needed.
    Shed,
    /// The courier stops.
    Stopping,
}

impl CloseCause {
    /// The name on the admin page.
    pub fn name(self) -> &'static str {
        match self {
            CloseCause::Finished => "finished",
            CloseCause::FirstByteTimeout => "first byte timeout",
            CloseCause::HeadTimeout => "head timeout",
            CloseCause::Evicted => "evicted",
            CloseCause::Shed => "descriptor needed",
            CloseCause::Stopping => "stopping",
        }
    }
}

/// How far the request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestProgress {
    /// No byte of the first request was read.
    NothingRead,
    /// Part of a request's head was read.
    HeadIncomplete,
    /// The head was read, and the answer is not written.
    Unanswered,
    /// The last request is answered, and nothing of another one was read.
    Answered,
}

impl RequestProgress {
    /// The name in the log and on the admin page.
    pub fn name(self) -> &'static str {
        match self {
            RequestProgress::NothingRead => "silent",
            RequestProgress::HeadIncomplete => "reading a head",
            RequestProgress::Unanswered => "unanswered",
            RequestProgress::Answered => "idle",
        }
    }
}

impl From<ConnectionState> for RequestProgress {
    fn from(state: ConnectionState) -> Self {
        match state {
            ConnectionState::AwaitingFirstByte => RequestProgress::NothingRead,
            ConnectionState::ReadingHead => RequestProgress::HeadIncomplete,
            ConnectionState::Processing | ConnectionState::WritingAnswer { .. } => {
                RequestProgress::Unanswered
            }
            ConnectionState::Idle { .. } => RequestProgress::Answered,
        }
    }
}

/// Numbers of open connections by the progress of their request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OpenConnections(BTreeMap<RequestProgress, u64>);

impl FromIterator<ConnectionState> for OpenConnections {
    fn from_iter<T: IntoIterator<Item = ConnectionState>>(states: T) -> Self {
        let mut numbers = BTreeMap::new();
        for state in states {
            *numbers.entry(state.into()).or_default() += 1;
        }
        OpenConnections(numbers)
    }
}

impl fmt::Display for OpenConnections {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} connections of clients open", self.0.values().sum::<u64>())?;
        self.0.iter().try_for_each(|(progress, number)| write!(f, ", {number} {}", progress.name()))
    }
}

/// Counters of closed connections.
#[derive(Default)]
pub struct ConnectionCounters {
    closed: RefCell<BTreeMap<(CloseCause, RequestProgress), u64>>,
    /// Those of them that were closed over input that had arrived and was not read.
    closed_unread: RefCell<BTreeMap<CloseCause, u64>>,
}

impl ConnectionCounters {
    /// Counts a connection that is closed in this state.
    pub fn closed(&self, cause: CloseCause, state: ConnectionState) {
        *self.closed.borrow_mut().entry((cause, state.into())).or_default() += 1;
    }

    /// Counts a connection that is closed over unread input.
    pub fn closed_unread(&self, cause: CloseCause) {
        *self.closed_unread.borrow_mut().entry(cause).or_default() += 1;
    }

    /// The content of the admin page `/-/clients`.
    pub fn page(&self, open: &OpenConnections) -> Value {
        let mut closed: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for ((cause, progress), number) in self.closed.borrow().iter() {
            closed.entry(cause.name()).or_default().insert(progress.name(), *number);
        }
        let open: BTreeMap<_, _> =
            open.0.iter().map(|(progress, number)| (progress.name(), number)).collect();
        let closed_unread = self.closed_unread.borrow();
        let closed_unread: BTreeMap<_, _> =
            closed_unread.iter().map(|(cause, number)| (cause.name(), number)).collect();
        json!({"open": open, "closed": closed, "closed_unread": closed_unread})
    }
}

#[cfg(test)]
#[path = "connection_counters_test.rs"]
mod tests;
