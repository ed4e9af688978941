//! The headers that name a message, as all HTTP clients tell them, and why a request is not taken.

use hyper::{HeaderMap, StatusCode};
use std::borrow::Cow;
use std::time::Duration;

/// Longest id and key, bytes.
pub const ID_MOST: usize = 256;
/// No class has a time-out near this.
const TIMEOUT_MOST: Duration = Duration::from_secs(24 * 3600);

/// A request that is not taken.
pub struct Unfit {
    pub status: StatusCode,
    pub why: Cow<'static, str>,
}

impl From<&'static str> for Unfit {
    fn from(why: &'static str) -> Self {
        Unfit { status: StatusCode::BAD_REQUEST, why: Cow::Borrowed(why) }
    }
}

/// Headers that name a message, as a client tells them.
pub struct Named<'a> {
    pub id: Option<&'a str>,
    pub class: Option<&'a str>,
    pub time_left: Option<Duration>,
    pub key: Option<String>,
}

impl<'a> Named<'a> {
    pub fn read(headers: &'a HeaderMap) -> Result<Self, Unfit> {
        // Two that name different messages: one reader would take the first and another the last.
        for name in ["X-Request-ID", "X-Priority-Class", "X-Timeout", "Envelope", "Idempotency-Key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err("a header that may come once comes twice\n".into());
            }
        }
        let head = |name| headers.get(name).map(|v| v.to_str().map(str::trim));
        let id = head("X-Request-ID").transpose().map_err(|_| "X-Request-ID is no text\n")?;
        if id.is_some_and(|id| id.is_empty() || id.len() > ID_MOST) {
            return Err("X-Request-ID is empty or too long\n".into());
        }
        let class = head("X-Priority-Class").transpose().map_err(|_| "X-Priority-Class is no text\n")?;
        let time = head("X-Timeout").transpose().map_err(|_| "X-Timeout is no text\n")?;
        let time_left = time.map(|t| span(t).ok_or("X-Timeout cannot be read\n")).transpose()?;
        let key = match head("Idempotency-Key") {
            Some(Ok(key)) if !key.is_empty() && key.len() <= ID_MOST => Some(key.to_owned()),
            Some(_) => return Err("Idempotency-Key cannot be read\n".into()),
            None => None,
        };
        Ok(Named { id, class, time_left, key })
    }
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = number.parse().ok()?;
    let span = match unit {
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        _ => return None,
    };
    (!span.is_zero() && span <= TIMEOUT_MOST).then_some(span)
}

#[cfg(test)]
#[path = "message_headers_test.rs"]
mod tests;
