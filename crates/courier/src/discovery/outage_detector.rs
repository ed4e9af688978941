//! Tells an outage of discovery, which can tell nobody of a change, from a discovery that is up and crowded, which
//! tells others while it turns this courier away.

use std::time::Duration;
use tokio::time::Instant;

/// A call that fails sooner was turned away: an outage mostly shows by a wait.
const MIN_OUTAGE_WAIT: Duration = Duration::from_millis(1000);
/// Quick refusals are an outage once there were so many in a row,
const MIN_QUICK_REFUSALS: u32 = 5;
/// and for so long: a queue of waiting calls has been worked off by then.
const MIN_REFUSING_TIME: Duration = Duration::from_secs(12);

/// What a failed call says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection came: nothing is there, or nothing of it can be reached.
    NoConnection,
    /// Refused, reset or unanswered on a connection.
    NotServed,
    /// It says nothing of discovery: a fault of this machine, or an answer that is malformed.
    Other,
}

/// The failed calls since discovery's last word.
#[derive(Default)]
pub struct OutageDetector {
    first_failure: Option<Instant>,
    failed_calls: u32,
}

impl OutageDetector {
    /// Discovery has written a line.
    pub fn answered(&mut self) {
        *self = OutageDetector::default();
    }

    /// A call that began at `begun` has failed now. True if discovery could not be reached by it.
    pub fn call_failed(&mut self, failure: CallFailure, begun: Instant) -> bool {
        self.failed_calls += 1;
        let failing_for = self.first_failure.get_or_insert(begun).elapsed();
        let refuses_all = self.failed_calls >= MIN_QUICK_REFUSALS && failing_for >= MIN_REFUSING_TIME;
        match failure {
            CallFailure::NoConnection => true,
            CallFailure::NotServed => begun.elapsed() >= MIN_OUTAGE_WAIT || refuses_all,
            CallFailure::Other => refuses_all,
        }
    }
}
