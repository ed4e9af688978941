//! The rate at which a purpose releases memory, and the retry delay that follows from it.

use crate::Time;
use std::time::Duration;

/// Half-life of the moving average (EWMA) of the release rate.
const RATE_HALF_LIFE_SECONDS: f64 = 3.0;
/// Minimum interval between updates; shorter ones give no useful rate.
pub const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum retry delay: one iteration of the event loop and a round trip take as long.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Maximum retry delay: the situation may have changed completely by then.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Smoothed release rate of one purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    /// Bytes per second.
    rate: f64,
    last_update: Time,
    /// Total bytes released as of the last update.
    last_total: u64,
    /// When memory was last seen to be released.
    last_release: Time,
    /// Until when the memory to be released is promised to clients that were told to retry.
    promised_until: Time,
}

impl ReleaseRate {
    /// Updates the rate from the total bytes released since the start.
    pub fn update(&mut self, total_released: u64, now: Time) {
        let span = now.saturating_sub(self.last_update);
        if span < MIN_UPDATE_INTERVAL {
            return;
        }
        let released = total_released.saturating_sub(self.last_total);
        let decay = 0.5f64.powf(span.as_secs_f64() / RATE_HALF_LIFE_SECONDS);
        self.rate = self.rate * decay + (1.0 - decay) * released as f64 / span.as_secs_f64();
        if released > 0 {
            self.last_release = now;
        }
        (self.last_update, self.last_total) = (now, total_released);
    }

    /// Smoothed release rate in bytes per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Retry delay for a client that needs `bytes` while `over` bytes more than the cap are requested. Each
    /// client is placed behind those that were told to retry before; otherwise all would retry at once and
    /// all but the first would be rejected again.
    pub fn retry_after(&mut self, over: u64, bytes: u64, now: Time) -> Duration {
        let idle = now.saturating_sub(self.last_release);
        // When the rate has decayed to almost nothing, the time since the last release says more: the client
        // waits at least as long again.
        let release_time = |bytes: u64| match self.rate > 1.0 {
            true => Duration::try_from_secs_f64(bytes as f64 / self.rate).unwrap_or(MAX_WAIT).min(MAX_WAIT),
            false => idle.min(MAX_WAIT),
        };
        let from = self.promised_until.max(now + release_time(over.saturating_sub(bytes)));
        // Promises are limited, since long ones would delay later clients when memory is released faster than
        // estimated.
        self.promised_until = (from + release_time(bytes)).min(now + MAX_WAIT);
        self.promised_until.saturating_sub(now).clamp(MIN_WAIT, MAX_WAIT)
    }
}

#[cfg(test)]
#[path = "release_rate_test.rs"]
mod tests;
