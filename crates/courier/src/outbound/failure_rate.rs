//! How often connections break under a request, by the time for which they stood idle before it: some endpoints, or what
//! lies between, drop them long before the limit and say so only to the next request, which then may have run.

use std::time::Duration;
use tokio::time::Instant;

/// Weight of one exchange in the smoothed rate.
const SMOOTHING_GAIN: f64 = 0.05;
/// An old rate loses half its weight in this time, s: what is shunned is tried again.
const HALF_LIFE_SECONDS: f64 = 10.0;
/// Rows of idle time; each spans twice the time of the one before.
const IDLE_BUCKETS: usize = 8;
/// Half of the idle time that the first row spans, ms.
const FIRST_BUCKET_MS: u64 = 25;

/// The smoothed share of exchanges that broke, as it was when last noted.
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

/// Break rates of new connections and of kept ones by idle time.
#[derive(Default)]
pub struct FailureRates {
    new_connections: Rate,
    idle: [Rate; IDLE_BUCKETS],
}

impl FailureRates {
    fn bucket(idle: Duration) -> usize {
        ((idle.as_millis() as u64 / FIRST_BUCKET_MS).max(1).ilog2() as usize).min(IDLE_BUCKETS - 1)
    }

    /// An exchange ended; `idle` is None on a new connection.
    pub fn record(&mut self, idle: Option<Duration>, failed: bool) {
        match idle {
            Some(idle) => self.idle[Self::bucket(idle)].record(failed),
            None => self.new_connections.record(failed),
        }
    }

    /// Breaks beyond those on new connections. What has been dropped after a time is not there after a longer one
    /// either; only a close right behind an answer, the first row, says nothing of later.
    pub fn excess(&self, idle: Duration) -> f64 {
        let bucket = Self::bucket(idle);
        let buckets = self.idle[bucket.min(1)..=bucket].iter();
        buckets.map(Rate::now).fold(0.0, f64::max) - self.new_connections.now()
    }
}
