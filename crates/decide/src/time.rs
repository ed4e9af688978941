//! The module's time: a count of nanoseconds on a clock that only advances.

use std::time::Duration;

/// Nanoseconds since the first call.
pub(crate) type Ns = i64;

/// A span; 73 years at most.
pub(crate) fn ns(d: Duration) -> Ns {
    d.as_nanos().min(1 << 61) as Ns
}

/// A span of so many seconds.
pub(crate) fn from_secs(s: f64) -> Ns {
    (s * 1e9).min(2f64.powi(61)) as Ns
}

/// A span in seconds.
pub(crate) fn to_secs(n: Ns) -> f64 {
    n as f64 / 1e9
}

/// A span as a duration; none if it is negative.
pub(crate) fn to_duration(n: Ns) -> Duration {
    Duration::from_nanos(n.max(0) as u64)
}

/// A time that never comes.
pub(crate) const NEVER: Ns = Ns::MAX;
