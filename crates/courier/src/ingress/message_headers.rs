//! The header fields by which HTTP clients describe a message, and the error for a request that is rejected.

use hyper::{HeaderMap, StatusCode};
use std::borrow::Cow;
use std::time::Duration;

/// Longest id and longest key, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Longest accepted X-Timeout, far above the deadline of any class.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Answer to a request that is rejected.
pub struct RequestError {
    pub status: StatusCode,
    pub why: Cow<'static, str>,
}

impl From<&'static str> for RequestError {
    fn from(why: &'static str) -> Self {
        RequestError { status: StatusCode::BAD_REQUEST, why: Cow::Borrowed(why) }
    }
}

/// Header fields that describe a message, as sent by the client.
pub struct MessageHeaders<'a> {
    pub id: Option<&'a str>,
    pub class: Option<&'a str>,
    pub time_left: Option<Duration>,
    pub key: Option<String>,
}

impl<'a> MessageHeaders<'a> {
    /// Parses and validates the fields.
    ///
    /// # Errors
    /// A field occurs twice or has an invalid value.
    pub fn read(headers: &'a HeaderMap) -> Result<Self, RequestError> {
        // If a field occurred twice, one reader might use the first value and another the last.
        for name in ["X-Request-ID", "X-Priority-Class", "X-Timeout", "Envelope", "Idempotency-Key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err("a header that may come once comes twice\n".into());
            }
        }
        let field = |name| headers.get(name).map(|v| v.to_str().map(str::trim));
        let id = field("X-Request-ID").transpose().map_err(|_| "X-Request-ID is no text\n")?;
        if id.is_some_and(|id| id.is_empty() || id.len() > MAX_ID_BYTES) {
            return Err("X-Request-ID is empty or too long\n".into());
        }
        let class = field("X-Priority-Class").transpose().map_err(|_| "X-Priority-Class is no text\n")?;
        let timeout = field("X-Timeout").transpose().map_err(|_| "X-Timeout is no text\n")?;
        let time_left = timeout.map(|t| parse_timeout(t).ok_or("X-Timeout cannot be read\n")).transpose()?;
        let key = match field("Idempotency-Key") {
            Some(Ok(key)) if !key.is_empty() && key.len() <= MAX_ID_BYTES => Some(key.to_owned()),
            Some(_) => return Err("Idempotency-Key cannot be read\n".into()),
            None => None,
        };
        Ok(MessageHeaders { id, class, time_left, key })
    }
}

/// Parses a positive integer with a unit: `m` for milliseconds, `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = number.parse().ok()?;
    let timeout = match unit {
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        _ => return None,
    };
    (!timeout.is_zero() && timeout <= MAX_TIMEOUT).then_some(timeout)
}

#[cfg(test)]
#[path = "message_headers_test.rs"]
mod tests;
