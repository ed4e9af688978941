//! Distinguishes an outage of discovery, in which no courier learns of a change, from an overload, in which
//! discovery announces changes to others while it refuses this courier.

use std::time::Duration;
use tokio::time::Instant;

/// A call that fails sooner counts as a refusal: in an outage most calls fail only after a wait.
const MIN_OUTAGE_WAIT: Duration = Duration::from_millis(1000);
/// Consecutive failed calls that count as an outage if they last for at least `MIN_REFUSING_TIME`.
const MIN_QUICK_REFUSALS: u32 = 5;
/// Time that consecutive refusals must last to count as an outage: an overloaded discovery has worked off its
/// queue of calls by then.
const MIN_REFUSING_TIME: Duration = Duration::from_secs(12);

/// What a failed call tells about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection: discovery is down or unreachable.
    NoConnection,
    /// Connected, but the request was refused, reset or not answered.
    NotServed,
    /// Tells nothing about discovery: a local failure, or a malformed response.
    Other,
}

/// Counts the failed calls since the last line from discovery.
#[derive(Default)]
pub struct OutageDetector {
    first_failure: Option<Instant>,
    failed_calls: u32,
}

impl OutageDetector {
    /// Resets the detector after a line from discovery.
    pub fn answered(&mut self) {
        *self = OutageDetector::default();
    }

    /// Records that a call started at `started` has just failed. Returns true if this counts as an outage.
    pub fn call_failed(&mut self, failure: CallFailure, started: Instant) -> bool {
        self.failed_calls += 1;
        let failing_for = self.first_failure.get_or_insert(started).elapsed();
        let refusals_are_outage = self.failed_calls >= MIN_QUICK_REFUSALS && failing_for >= MIN_REFUSING_TIME;
        match failure {
            CallFailure::NoConnection => true,
            CallFailure::NotServed => started.elapsed() >= MIN_OUTAGE_WAIT || refusals_are_outage,
            CallFailure::Other => refusals_are_outage,
        }
    }
}
