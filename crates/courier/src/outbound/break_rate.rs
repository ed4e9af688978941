//! How often connections break under a request, by the time for which they stood idle before it: some endpoints, or what
//! lies between, drop them long before the limit and say so only to the next request, which then may have run.

use std::time::Duration;
use tokio::time::Instant;

/// Weight of one exchange in the smoothed rate.
const GAIN: f64 = 0.05;
/// An old rate loses half its weight in this time, s: what is shunned is tried again.
const HALF_LIFE_S: f64 = 10.0;
/// Rows of idle time; each spans twice the time of the one before.
const ROWS: usize = 8;
/// Half of the idle time that the first row spans, ms.
const FIRST_ROW_MS: u64 = 25;

/// The smoothed share of exchanges that broke, as it was when last noted.
#[derive(Clone, Copy, Default)]
struct Rate {
    share: f64,
    at: Option<Instant>,
}

impl Rate {
    fn now(&self) -> f64 {
        let age = self.at.map_or(0.0, |at| at.elapsed().as_secs_f64());
        self.share * 0.5f64.powf(age / HALF_LIFE_S)
    }

    fn note(&mut self, broke: bool) {
        let share = self.now();
        let seen = if broke { 1.0 } else { 0.0 };
        *self = Rate { share: share + GAIN * (seen - share), at: Some(Instant::now()) };
    }
}

/// Break rates of new connections and of kept ones by idle time.
#[derive(Default)]
pub struct BreakRates {
    fresh: Rate,
    idle: [Rate; ROWS],
}

impl BreakRates {
    fn row(idle: Duration) -> usize {
        ((idle.as_millis() as u64 / FIRST_ROW_MS).max(1).ilog2() as usize).min(ROWS - 1)
    }

    /// An exchange ended; `idle` is None on a new connection.
    pub fn note(&mut self, idle: Option<Duration>, broke: bool) {
        match idle {
            Some(idle) => self.idle[Self::row(idle)].note(broke),
            None => self.fresh.note(broke),
        }
    }

    /// Breaks beyond those on new connections. What has been dropped after a time is not there after a longer one
    /// either; only a close right behind an answer, the first row, says nothing of later.
    pub fn excess(&self, idle: Duration) -> f64 {
        let row = Self::row(idle);
        let rows = self.idle[row.min(1)..=row].iter();
        rows.map(Rate::now).fold(0.0, f64::max) - self.fresh.now()
    }
}
