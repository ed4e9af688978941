//! Points on the stable clock.

use std::ops::Add;
use std::time::Duration;

/// A point on the courier's stable clock. It is counted from an epoch near the Unix epoch, but it is no time
/// of day: it does not follow the wall clock when that is stepped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StableTime(Duration);

impl StableTime {
    /// The epoch. It stands for a time that is not known, or that does not apply.
    pub const EPOCH: StableTime = StableTime(Duration::ZERO);

    /// The point at this time after the epoch.
    pub const fn from_epoch(time: Duration) -> Self {
        StableTime(time)
    }

    /// The point at these microseconds after the epoch, which is the form in which it is stored.
    pub const fn from_micros(micros: u64) -> Self {
        StableTime(Duration::from_micros(micros))
    }

    /// Time since the epoch.
    pub const fn since_epoch(self) -> Duration {
        self.0
    }

    /// Microseconds since the epoch.
    pub fn as_micros(self) -> u64 {
        u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX)
    }

    /// Whether this is the epoch.
    pub const fn is_epoch(self) -> bool {
        self.0.is_zero()
    }

    /// Time from `earlier` to this point; zero if that is later.
    pub fn saturating_duration_since(self, earlier: StableTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for StableTime {
    type Output = StableTime;

    fn add(self, span: Duration) -> StableTime {
        StableTime(self.0.saturating_add(span))
    }
}
