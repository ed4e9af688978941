//! Pauses between attempts: they double, with jitter, between two bounds.

use super::policy::Policy;
use std::fmt;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// The shortest and longest pause between two attempts, before jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub least: Duration,
    pub most: Duration,
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.least == self.most {
            true => write!(f, "{} ms", self.most.as_millis()),
            false => write!(f, "{} to {} ms", self.least.as_millis(), self.most.as_millis()),
        }
    }
}

/// The pauses of one loop of attempts.
#[derive(Debug, Default)]
pub struct Backoff {
    last: Option<Duration>,
}

impl Backoff {
    /// The next pause: twice the last one within the bounds, shortened by up to half at random.
    pub fn next_pause(&mut self, bounds: Bounds) -> Duration {
        let full = self.last.map_or(bounds.least, |last| (last * 2).clamp(bounds.least, bounds.most));
        self.last = Some(full);
        full.mul_f64(0.5 + rand::random::<f64>() / 2.0)
    }

    /// Starts again at the shortest pause, after a success.
    pub fn reset(&mut self) {
        self.last = None;
    }
}

/// Repeats `attempt` for as long as the policy of its error is to try again, for at most `limit`. Logs the
/// first error under the name `what`.
///
/// # Errors
/// The last error: one that is not tried again, or any once `limit` has passed.
pub async fn retry<T, E: fmt::Display>(
    what: &str,
    limit: Duration,
    policy: impl Fn(&E) -> Policy,
    mut attempt: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    let (started, mut backoff, mut logged) = (Instant::now(), Backoff::default(), false);
    loop {
        let error = match attempt().await {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let policy = policy(&error);
        let left = limit.saturating_sub(started.elapsed());
        if left.is_zero() || (policy.pauses().is_none() && policy != Policy::RetryNow) {
            return Err(error);
        }
        if !logged {
            logged = true;
            log_line!("{what}: {error}; tries again for {} s", limit.as_secs_f64());
        }
        match policy.pauses() {
            Some(bounds) => sleep(backoff.next_pause(bounds).min(left)).await,
            None => yield_now().await,
        }
    }
}
