//! The wait told by `Retry-After` (RFC 9110, 10.2.3): a number of seconds or an HTTP date.

use std::time::{Duration, SystemTime};

/// Longest wait that is heeded. A longer one counts as this long.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 3600);

/// The wait told by the value of one `Retry-After` field that arrived at `now`. None if the value is
/// malformed, 0, or a date that has passed: such a value tells no wait.
pub fn wait_of(value: &str, now: SystemTime) -> Option<Duration> {
    let value = value.trim();
    let wait = match is_delay_seconds(value) {
        // Only a number beyond the range cannot be parsed.
        true => value.parse().map_or(MAX_RETRY_AFTER, Duration::from_secs),
        false => httpdate::parse_http_date(value).ok()?.duration_since(now).ok()?,
    };
    Some(wait.min(MAX_RETRY_AFTER)).filter(|wait| !wait.is_zero())
}

/// The wait told by the values of all `Retry-After` fields of a response that arrived at `now`: the longest.
pub fn longest_wait<'a>(values: impl IntoIterator<Item = &'a str>, now: SystemTime) -> Option<Duration> {
    values.into_iter().filter_map(|value| wait_of(value, now)).max()
}

fn is_delay_seconds(value: &str) -> bool {
    !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit())
}

#[cfg(test)]
#[path = "retry_after_test.rs"]
mod tests;
