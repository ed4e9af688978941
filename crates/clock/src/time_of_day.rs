//! The wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point on the wall clock, for logs and pages. The wall clock may be stepped at any time, so that the
/// difference between two of its points is no time elapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeOfDay(Duration);

impl TimeOfDay {
    /// What the wall clock shows; the Unix epoch if it is set before that.
    pub fn now() -> Self {
        TimeOfDay(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
    }

    /// A point from its Unix time.
    pub const fn from_unix(time: Duration) -> Self {
        TimeOfDay(time)
    }

    /// Unix time.
    pub const fn as_unix(self) -> Duration {
        self.0
    }
}
