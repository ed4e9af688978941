//! Time inside the scheduler: nanoseconds on a monotonic clock.

use std::time::Duration;

/// A time in nanoseconds since the first call, or a span in nanoseconds.
pub(crate) type Ns = i64;

/// Converts a duration, capped at 73 years.
pub(crate) fn ns(d: Duration) -> Ns {
    d.as_nanos().min(1 << 61) as Ns
}

/// Converts seconds, capped at 73 years.
pub(crate) fn from_secs(s: f64) -> Ns {
    (s * 1e9).min(2f64.powi(61)) as Ns
}

/// Converts to seconds.
pub(crate) fn to_secs(n: Ns) -> f64 {
    n as f64 / 1e9
}

/// Converts to a duration; zero if negative.
pub(crate) fn to_duration(n: Ns) -> Duration {
    Duration::from_nanos(n.max(0) as u64)
}

/// A time that is never reached.
pub(crate) const NEVER: Ns = Ns::MAX;
