//! Incremental parser of response heads that runs beside hyper. It makes the status code and a requested wait
//! available even if the rest of the response cannot be read.

use stairshed_health::retry_after;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Length of `HTTP/1.1 200` and the byte that ends the status code.
const STATUS_END: usize = 13;
/// Maximum length of a header field that is parsed; the wait field is shorter.
const MAX_FIELD_BYTES: usize = 64;
/// Maximum size of the informational responses before the final one, in bytes.
const MAX_INFORMATIONAL_BYTES: usize = 64 * 1024;
/// The header field with the number of milliseconds for which nothing more may be sent.
const WAIT_FIELD: &str = "Wait-Ms";
/// The header field with the wait by RFC 9110, which counts where the profile of the pool heeds it.
const RETRY_AFTER_FIELD: &str = "Retry-After";
/// The status code of a response that may request a wait by [`WAIT_FIELD`].
const TOO_MANY_REQUESTS: u16 = 429;
/// A wait of this many milliseconds or more is ignored.
const WAIT_LIMIT_MS: f64 = 1e9;

/// Parses the head of a response and skips preceding 1xx responses.
#[derive(Default)]
pub struct ResponseHead {
    part: HeadPart,
    line: Vec<u8>,
    started_at: Option<Instant>,
    /// What has been received before the status of the final response, in bytes.
    informational_bytes: usize,
    status: Option<u16>,
    wait: Option<Duration>,
    retry_after: Option<Duration>,
}

/// The part of the head that the next byte belongs to.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum HeadPart {
    #[default]
    FirstLine,
    /// The header fields of a 1xx response.
    Informational,
    Fields,
    /// What follows the head, or an invalid status line.
    Rest,
}

impl ResponseHead {
    /// The status code of the final response; None until it has been received, or if the status line is
    /// invalid.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// The status code at the end of a status line that has been received only that far. It is enough to
    /// apply a restriction, but it proves nothing.
    pub fn provisional_status(&self) -> Option<u16> {
        let line = [&self.line, b" ".as_slice()].concat();
        status(&line).filter(|_| self.part == HeadPart::FirstLine && line.len() == STATUS_END)
    }

    /// When the first byte of the final response arrived, or of a preceding 1xx response that is still
    /// incomplete.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// Until when the response received so far forbids sending more. The wait counts from its first byte.
    pub fn blocked_until(&self) -> Option<Instant> {
        Some(self.started_at? + self.wait?)
    }

    /// Until when `Retry-After` in the response received so far tells to wait. The wait counts from its first
    /// byte.
    pub fn retry_after(&self) -> Option<Instant> {
        self.started_at?.checked_add(self.retry_after?)
    }

    /// Whether more than [`MAX_INFORMATIONAL_BYTES`] precede the final response.
    pub fn is_endless(&self) -> bool {
        self.informational_bytes > MAX_INFORMATIONAL_BYTES
    }

    /// Parses the next bytes received on the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.part == HeadPart::Rest {
                return;
            }
            self.push_byte(*byte);
        }
    }

    fn push_byte(&mut self, byte: u8) {
        if matches!(self.part, HeadPart::FirstLine | HeadPart::Informational) {
            self.informational_bytes += 1;
        }
        if self.part == HeadPart::FirstLine && self.is_blank() && matches!(byte, b'\r' | b'\n') {
            return;
        }
        self.started_at.get_or_insert_with(Instant::now);
        match self.part {
            HeadPart::FirstLine => self.first_line(byte),
            HeadPart::Informational if byte == b'\n' && self.is_blank() => self.start_next(),
            HeadPart::Fields if byte == b'\n' && self.is_blank() => self.part = HeadPart::Rest,
            HeadPart::Informational | HeadPart::Fields if byte == b'\n' => self.end_field(),
            HeadPart::Informational | HeadPart::Fields => {
                self.line.extend((self.line.len() < MAX_FIELD_BYTES).then_some(byte))
            }
            HeadPart::Rest => {}
        }
    }

    /// Starts on the response that follows an informational one.
    fn start_next(&mut self) {
        let informational_bytes = self.informational_bytes;
        *self = ResponseHead { informational_bytes, ..ResponseHead::default() };
    }

    fn is_blank(&self) -> bool {
        matches!(self.line.as_slice(), b"" | b"\r")
    }

    fn first_line(&mut self, byte: u8) {
        self.line.push(byte);
        if self.line.len() < STATUS_END && byte != b'\n' {
            return;
        }
        let status = status(&self.line);
        self.part = match status {
            Some(100..=199) => HeadPart::Informational,
            Some(_) => HeadPart::Fields,
            None => HeadPart::Rest,
        };
        self.status = status.filter(|_| self.part == HeadPart::Fields);
        // The rest of the status line must count neither as a blank line nor as a header field.
        self.line = if byte == b'\n' { Vec::new() } else { vec![b' '] };
    }

    fn end_field(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.part != HeadPart::Fields {
            return;
        }
        if self.status == Some(TOO_MANY_REQUESTS) {
            self.wait = self.wait.max(wait_of_field(&line));
        }
        self.retry_after = self.retry_after.max(retry_after_of_field(&line));
    }
}

/// The status code of a status line, which may be cut off after the byte behind the code.
fn status(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.strip_prefix(b"HTTP/1.")?.split_at_checked(1)?;
    let number = rest.strip_prefix(b" ")?.get(..3)?;
    let ends = rest.get(4).is_some_and(|b| matches!(b, b' ' | b'\r' | b'\n'));
    let digits = version[0].is_ascii_digit() && number.iter().all(u8::is_ascii_digit);
    (ends && digits).then(|| number.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')))
}

/// The value of a complete header field with this name.
fn value_of_field<'a>(field: &'a [u8], expected: &str) -> Option<&'a str> {
    let (name, value) = std::str::from_utf8(field).ok()?.split_once(':')?;
    (name.eq_ignore_ascii_case(expected) && field.len() < MAX_FIELD_BYTES).then_some(value.trim())
}

/// The wait told by a `Retry-After` field; None for another field or a value that tells none.
fn retry_after_of_field(field: &[u8]) -> Option<Duration> {
    retry_after::wait_of(value_of_field(field, RETRY_AFTER_FIELD)?, SystemTime::now())
}

/// The wait requested by a header field; None for another field or an invalid value.
fn wait_of_field(field: &[u8]) -> Option<Duration> {
    let ms = value_of_field(field, WAIT_FIELD)?.parse::<f64>().ok()?;
    (ms > 0.0 && ms < WAIT_LIMIT_MS).then(|| Duration::from_secs_f64(ms / 1000.0))
}

#[cfg(test)]
#[path = "response_head_test.rs"]
mod tests;
