//! Distinguishes an outage of discovery, in which no courier learns of a change, from an overload, in which
//! discovery announces changes to others while it refuses this courier.

use stairshed_planted_faults::{PlantedFault, is_planted};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A call that fails sooner counts as a refusal: in an outage most calls fail only after a wait.
const MIN_OUTAGE_WAIT: Duration = Duration::from_millis(1000);
/// Consecutive failed calls that count as an outage if they last for at least `MIN_REFUSING_TIME`.
const MIN_QUICK_REFUSALS: u32 = 5;
/// Time that consecutive refusals must last to count as an outage: an overloaded discovery has worked off its
/// queue of calls by then.
const MIN_REFUSING_TIME: Duration = Duration::from_secs(12);

/// Interval at which a wait for discovery is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two measurements that counts as waiting. More than that passes only if the process
/// did not run, and discovery may have answered meanwhile.
const MAX_MEASURED_STEP: Duration = Duration::from_millis(200);

/// What a failed call tells about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection: discovery is down or unreachable.
    NoConnection,
    /// The connection timed out: discovery is unreachable, unless this process did not run in the meantime.
    ConnectTimedOut,
    /// Connected, but the request was refused, reset or not answered.
    NotServed,
    /// Tells nothing about discovery: a local failure, or a malformed response.
    Other,
}

/// Runs `work`, and returns its result with the time that this process spent waiting for it. Time in which the
/// process did not run, for example while it was stopped, does not count.
pub async fn measure_wait<T>(work: impl Future<Output = T>) -> (T, Duration) {
    let mut work = pin!(work);
    let mut waited = Duration::ZERO;
    let mut measured = Instant::now();
    loop {
        let result = tokio::select! {
            biased;
            result = &mut work => Some(result),
            () = sleep(MEASURE_INTERVAL) => None,
        };
        waited += measured.elapsed().min(MAX_MEASURED_STEP);
        measured = Instant::now();
        if let Some(result) = result {
            return (result, waited);
        }
    }
}

/// Counts the failed calls since the last line from discovery.
#[derive(Default)]
pub struct OutageDetector {
    failed_calls: u32,
    /// Time spent in failed calls and in the pauses between them.
    failing_for: Duration,
}

impl OutageDetector {
    /// Resets the detector after a line from discovery.
    pub fn answered(&mut self) {
        *self = OutageDetector::default();
    }

    /// Records a call that has just failed after this process had `waited` for it. Returns true if this
    /// counts as an outage.
    pub fn call_failed(&mut self, failure: CallFailure, waited: Duration) -> bool {
        self.failed_calls += 1;
        self.failing_for += waited;
        let refusals_are_outage =
            self.failed_calls >= MIN_QUICK_REFUSALS && self.failing_for >= MIN_REFUSING_TIME;
        match failure {
            CallFailure::NotServed if is_planted(PlantedFault::LeaseRenewedByRefusal) => true,
            CallFailure::NoConnection => true,
            CallFailure::ConnectTimedOut | CallFailure::NotServed => {
                waited >= MIN_OUTAGE_WAIT || refusals_are_outage
            }
            CallFailure::Other => refusals_are_outage,
        }
    }

    /// Records the pause that precedes the next call.
    pub fn paused(&mut self, pause: Duration) {
        self.failing_for += pause;
    }
}

#[cfg(test)]
#[path = "outage_detector_test.rs"]
mod tests;
