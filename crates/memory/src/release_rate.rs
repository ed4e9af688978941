//! How fast a purpose empties, and with it when somebody who was turned away finds room.

use crate::Time;
use std::time::Duration;

/// The rate is smoothed: what emptied this long ago weighs half.
const RATE_HALF_LIFE_SECONDS: f64 = 3.0;
/// Shorter spans between two looks are not worth a figure.
pub const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Nobody is told to come back sooner: a turn and a round trip take as long. Nor later: by then all may be other.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The pace of one purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    /// Bytes a second.
    rate: f64,
    looked: Time,
    /// Bytes that had been given back, all in all, at that time.
    seen: u64,
    /// When it was last seen to empty.
    last: Time,
    /// Until when the room that comes free is spoken for by those who were told to come back.
    spoken: Time,
}

impl ReleaseRate {
    /// Looks at the bytes that have been given back since the beginning.
    pub fn update(&mut self, emptied: u64, now: Time) {
        let span = now.saturating_sub(self.looked);
        if span < MIN_UPDATE_INTERVAL {
            return;
        }
        let new = emptied.saturating_sub(self.seen);
        let old = 0.5f64.powf(span.as_secs_f64() / RATE_HALF_LIFE_SECONDS);
        self.rate = self.rate * old + (1.0 - old) * new as f64 / span.as_secs_f64();
        if new > 0 {
            self.last = now;
        }
        (self.looked, self.seen) = (now, emptied);
    }

    /// Bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// When somebody may come back who needs `bytes` while `over` more than the room are asked for. Each who is told
    /// is told of the room behind that of those told before: else all come back at once, and all but the first in
    /// vain.
    pub fn retry_after(&mut self, over: u64, bytes: u64, now: Time) -> Duration {
        let idle = now.saturating_sub(self.last);
        // A rate that has all but died away says less than how long nothing has come free: as long again, at least.
        let span = |bytes: u64| match self.rate > 1.0 {
            true => Duration::try_from_secs_f64(bytes as f64 / self.rate).unwrap_or(MAX_WAIT).min(MAX_WAIT),
            false => idle.min(MAX_WAIT),
        };
        let from = self.spoken.max(now + span(over.saturating_sub(bytes)));
        // Long promises would hold room back from those who come later, when it empties faster than thought.
        self.spoken = (from + span(bytes)).min(now + MAX_WAIT);
        self.spoken.saturating_sub(now).clamp(MIN_WAIT, MAX_WAIT)
    }
}

#[cfg(test)]
#[path = "release_rate_test.rs"]
mod tests;
