//! Failure rate of exchanges by the idle time of their connection. Some endpoints, or middleboxes on the way,
//! drop idle connections long before the keep-alive time-out, which shows only as a reset of the next
//! request, which may have run.

use std::time::Duration;
use tokio::time::Instant;

/// Weight of one exchange in the exponentially weighted moving average.
const SMOOTHING_GAIN: f64 = 0.05;
/// Half-life of a rate without new samples, in seconds, so that avoided connections are tried again.
const HALF_LIFE_SECONDS: f64 = 10.0;
/// Number of idle-time buckets; each spans twice the time of the one before.
const IDLE_BUCKETS: usize = 8;
/// Half of the idle time that the first bucket spans, in milliseconds.
const FIRST_BUCKET_MS: u64 = 25;

/// Moving average of the share of failed exchanges, as of the latest sample.
#[derive(Clone, Copy, Default)]
struct Rate {
    share: f64,
    at: Option<Instant>,
}

impl Rate {
    fn now(&self) -> f64 {
        let age = self.at.map_or(0.0, |at| at.elapsed().as_secs_f64());
        self.share * 0.5f64.powf(age / HALF_LIFE_SECONDS)
    }

    fn record(&mut self, failed: bool) {
        let share = self.now();
        let sample = if failed { 1.0 } else { 0.0 };
        *self = Rate { share: share + SMOOTHING_GAIN * (sample - share), at: Some(Instant::now()) };
    }
}

/// Failure rates of new connections, and of reused ones by idle time.
#[derive(Default)]
pub struct FailureRates {
    new_connections: Rate,
    idle: [Rate; IDLE_BUCKETS],
}

impl FailureRates {
    fn bucket(idle: Duration) -> usize {
        ((idle.as_millis() as u64 / FIRST_BUCKET_MS).max(1).ilog2() as usize).min(IDLE_BUCKETS - 1)
    }

    /// Records an exchange; `idle` is None for a new connection.
    pub fn record(&mut self, idle: Option<Duration>, failed: bool) {
        match idle {
            Some(idle) => self.idle[Self::bucket(idle)].record(failed),
            None => self.new_connections.record(failed),
        }
    }

    /// Failure rate at this idle time in excess of the rate on new connections. A connection that is dropped
    /// after some time is not there later either, so shorter idle times count, too. The exception is the
    /// first bucket: a close directly after a response says nothing about later ones.
    pub fn excess(&self, idle: Duration) -> f64 {
        let bucket = Self::bucket(idle);
        let buckets = self.idle[bucket.min(1)..=bucket].iter();
        buckets.map(Rate::now).fold(0.0, f64::max) - self.new_connections.now()
    }
}
