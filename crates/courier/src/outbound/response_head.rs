//! The head of an answer, read as its bytes arrive and beside the HTTP library: its status, and what it forbids, are known
//! also where the rest cannot be read.

use std::time::Duration;
use tokio::time::Instant;

/// `HTTP/1.1 200` and what ends the number.
const STATUS_END: usize = 13;
/// Longest header field that is looked at; the one that is looked for is shorter.
const MAX_FIELD: usize = 64;
/// The field that tells for how many milliseconds nothing more may be sent.
const WAIT_FIELD: &str = "Wait-Ms";
/// The status of an answer that may tell to wait.
const TOO_MANY_REQUESTS: u16 = 429;
/// A wait of so many milliseconds or more is none.
const WAIT_LIMIT_MS: f64 = 1e9;

/// Reads the head of an answer, past 1xx answers ahead.
#[derive(Default)]
pub struct ResponseHead {
    part: Part,
    line: Vec<u8>,
    begun: Option<Instant>,
    status: Option<u16>,
    wait: Option<Duration>,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Part {
    #[default]
    FirstLine,
    /// The rest of a 1xx answer.
    Informational,
    Fields,
    /// What follows the head, or what cannot be read as one.
    Rest,
}

impl ResponseHead {
    /// The status of the answer, past 1xx ones; None until its first line is here, or if that has none.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// The status of a first line that has ended with it, so far: enough for what it forbids, not for what it proves.
    pub fn unended_status(&self) -> Option<u16> {
        let line = [&self.line, b" ".as_slice()].concat();
        status(&line).filter(|_| self.part == Part::FirstLine && line.len() == STATUS_END)
    }

    /// When the first byte of the answer came, or of a 1xx ahead that has not ended.
    pub fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Until when the answer forbids to send more, as far as it is read: counted from its first byte.
    pub fn blocked_until(&self) -> Option<Instant> {
        Some(self.begun? + self.wait?)
    }

    /// Takes the next bytes of the connection.
    pub fn hear(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.part == Part::Rest {
                return;
            }
            self.byte(*byte);
        }
    }

    fn byte(&mut self, byte: u8) {
        if self.part == Part::FirstLine && self.is_blank() && matches!(byte, b'\r' | b'\n') {
            return;
        }
        self.begun.get_or_insert_with(Instant::now);
        match self.part {
            Part::FirstLine => self.first_line(byte),
            Part::Informational if byte == b'\n' && self.is_blank() => *self = ResponseHead::default(),
            Part::Fields if byte == b'\n' && self.is_blank() => self.part = Part::Rest,
            Part::Informational | Part::Fields if byte == b'\n' => self.end_field(),
            Part::Informational | Part::Fields => {
                self.line.extend((self.line.len() < MAX_FIELD).then_some(byte))
            }
            Part::Rest => {}
        }
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
            Some(100..=199) => Part::Informational,
            Some(_) => Part::Fields,
            None => Part::Rest,
        };
        self.status = status.filter(|_| self.part == Part::Fields);
        // Not blank, and no field: what is left of the line counts as neither.
        self.line = if byte == b'\n' { Vec::new() } else { vec![b' '] };
    }

    fn end_field(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.part == Part::Fields && self.status == Some(TOO_MANY_REQUESTS) {
            self.wait = self.wait.max(told_wait(&line));
        }
    }
}

fn status(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.strip_prefix(b"HTTP/1.")?.split_at_checked(1)?;
    let number = rest.strip_prefix(b" ")?.get(..3)?;
    let ends = rest.get(4).is_some_and(|b| matches!(b, b' ' | b'\r' | b'\n'));
    let digits = version[0].is_ascii_digit() && number.iter().all(u8::is_ascii_digit);
    (ends && digits).then(|| number.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')))
}

/// The wait that a header field tells.
fn told_wait(field: &[u8]) -> Option<Duration> {
    let (name, value) = std::str::from_utf8(field).ok()?.split_once(':')?;
    let told = name.eq_ignore_ascii_case(WAIT_FIELD) && field.len() < MAX_FIELD;
    let ms = value.trim().parse::<f64>().ok().filter(|_| told)?;
    (ms > 0.0 && ms < WAIT_LIMIT_MS).then(|| Duration::from_secs_f64(ms / 1000.0))
}

#[cfg(test)]
#[path = "response_head_test.rs"]
mod tests;
