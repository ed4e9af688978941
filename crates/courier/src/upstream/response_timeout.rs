//! The time-out for the responses of one receiver, which follows the time that it takes: a receiver that is slow, but
//! answers, is waited for, and one that is quick is given up soon when it hangs.

use std::time::Duration;

/// How many times longer than the last response took the next one may take.
const TOLERANCE: u32 = 4;
/// The least share of the time-out that is left after one quick response.
const MAX_REDUCTION: u32 = 2;

/// The time-out for the responses of one receiver.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeout {
    current: Duration,
    min: Duration,
    max: Duration,
}

impl ResponseTimeout {
    /// Starts at `min`, and stays between `min` and `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        ResponseTimeout { current: min, min, max }
    }

    pub fn current(&self) -> Duration {
        self.current
    }

    /// Reports a response that took this long.
    pub fn answered(&mut self, elapsed: Duration) {
        let wanted = elapsed * TOLERANCE;
        self.current = wanted.max(self.current / MAX_REDUCTION).clamp(self.min, self.max);
    }

    /// Reports that no response came within `timeout`, the one that was current when the request was sent.
    pub fn expired(&mut self, timeout: Duration) {
        self.current = (timeout * 2).max(self.current).clamp(self.min, self.max);
    }
}

#[cfg(test)]
#[path = "response_timeout_test.rs"]
mod tests;
