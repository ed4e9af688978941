//! Faults planted in a test build of the courier. Each breaks one rule on purpose, in one place, so that a run of
//! the fault scenarios shows whether they find it. `docs/planted-faults.md` lists faults and scenarios.
//!
//! Without the feature `enabled`, [`is_planted`] is always false, and the compiler removes the planted code.

use std::fmt;

/// The environment variable that names the fault of a process.
pub const VARIABLE: &str = "STAIRSHED_PLANTED";

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// An attempt is recorded when it has ended instead of before its first byte is written.
    AttemptRecordedLate,
    /// A client is told that its message is accepted before the message is recorded.
    AcceptedBeforeRecord,
    /// Waits that endpoints tell are not heeded.
    ToldWaitIgnored,
    /// A client's connection is closed when a signal interrupts a read from it.
    InterruptedReadCloses,
    /// A write to the journal that writes only a part counts as complete.
    ShortWriteTakenAsWhole,
    /// A call whose connection broke counts as one that never ran.
    ResetTakenAsNeverRan,
    /// A keyed message that may have run is repeated after its window.
    KeyedPastWindow,
    /// A keyed message that may have run is repeated in another zone.
    KeyedInOtherZone,
    /// A call that discovery refused renews the lease on the endpoint list.
    LeaseRenewedByRefusal,
    /// A failed sync of the journal counts as successful.
    SyncErrorIgnored,
    /// Deadlines follow the wall clock.
    DeadlineByWallClock,
    /// After a failed accept the next one is tried without a pause.
    AcceptWithoutBackoff,
    /// Messages with one order key are sent at the same time.
    OrderIgnored,
    /// The end of a message is not recorded in the journal.
    EndNotRecorded,
    /// A frame that a kill has cut off is read as if it were whole.
    TornFrameRead,
    /// Draining endpoints are used like ready ones.
    DrainIgnored,
    /// An endpoint that comes back from an outage is used at its full limit at once.
    SlowStartSkipped,
}

impl PlantedFault {
    /// All faults.
    pub const ALL: [PlantedFault; 17] = [
        PlantedFault::AttemptRecordedLate,
        PlantedFault::AcceptedBeforeRecord,
        PlantedFault::ToldWaitIgnored,
        PlantedFault::InterruptedReadCloses,
        PlantedFault::ShortWriteTakenAsWhole,
        PlantedFault::ResetTakenAsNeverRan,
        PlantedFault::KeyedPastWindow,
        PlantedFault::KeyedInOtherZone,
        PlantedFault::LeaseRenewedByRefusal,
        PlantedFault::SyncErrorIgnored,
        PlantedFault::DeadlineByWallClock,
        PlantedFault::AcceptWithoutBackoff,
        PlantedFault::OrderIgnored,
        PlantedFault::EndNotRecorded,
        PlantedFault::TornFrameRead,
        PlantedFault::DrainIgnored,
        PlantedFault::SlowStartSkipped,
    ];

    /// Its name in the environment variable.
    pub const fn name(self) -> &'static str {
        match self {
            PlantedFault::AttemptRecordedLate => "attempt-recorded-late",
            PlantedFault::AcceptedBeforeRecord => "accepted-before-record",
            PlantedFault::ToldWaitIgnored => "told-wait-ignored",
            PlantedFault::InterruptedReadCloses => "interrupted-read-closes",
            PlantedFault::ShortWriteTakenAsWhole => "short-write-taken-as-whole",
            PlantedFault::ResetTakenAsNeverRan => "reset-taken-as-never-ran",
            PlantedFault::KeyedPastWindow => "keyed-past-window",
            PlantedFault::KeyedInOtherZone => "keyed-in-other-zone",
            PlantedFault::LeaseRenewedByRefusal => "lease-renewed-by-refusal",
            PlantedFault::SyncErrorIgnored => "sync-error-ignored",
            PlantedFault::DeadlineByWallClock => "deadline-by-wall-clock",
            PlantedFault::AcceptWithoutBackoff => "accept-without-backoff",
            PlantedFault::OrderIgnored => "order-ignored",
            PlantedFault::EndNotRecorded => "end-not-recorded",
            PlantedFault::TornFrameRead => "torn-frame-read",
            PlantedFault::DrainIgnored => "drain-ignored",
            PlantedFault::SlowStartSkipped => "slow-start-skipped",
        }
    }

    /// The fault of this name.
    ///
    /// # Errors
    /// There is none.
    pub fn named(name: &str) -> Result<Self, UnknownFault> {
        let found = Self::ALL.into_iter().find(|fault| fault.name() == name);
        found.ok_or_else(|| UnknownFault { name: name.to_owned() })
    }
}

impl fmt::Display for PlantedFault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(self.name())
    }
}

/// No fault has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{VARIABLE}: there is no planted fault named {name:?}")]
pub struct UnknownFault {
    name: String,
}

#[cfg(feature = "enabled")]
mod enabled;
#[cfg(feature = "enabled")]
pub use enabled::{announce, is_planted};

/// Whether this process has the fault: never in a normal build.
#[cfg(not(feature = "enabled"))]
#[inline(always)]
pub const fn is_planted(_: PlantedFault) -> bool {
    false
}

/// Does nothing in a normal build.
///
/// # Errors
/// None.
#[cfg(not(feature = "enabled"))]
#[inline(always)]
pub const fn announce() -> Result<(), UnknownFault> {
    Ok(())
}

#[cfg(test)]
#[path = "lib_test.rs"]
mod tests;
