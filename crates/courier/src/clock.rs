//! The time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
