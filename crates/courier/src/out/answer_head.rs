//! The first line of an answer, read as its bytes arrive and beside the HTTP library: it is known also where the rest
//! cannot be read.

use tokio::time::Instant;

/// Finds the status in an answer's first line, past 1xx answers ahead. A head that cannot be parsed still
/// tells by it whether its message was delivered.
#[derive(Default)]
pub struct AnswerHead {
    line: Vec<u8>,
    /// In the rest of a 1xx answer.
    passing: bool,
    /// When the first byte of the answer, or of a 1xx ahead that has not ended, came.
    begun: Option<Instant>,
    status: Option<u16>,
    /// The status is known, or there is none.
    over: bool,
}

/// `HTTP/1.1 200` and what ends the number.
const STATUS_END: usize = 13;

impl AnswerHead {
    /// The status of the answer, past 1xx ones; None until its first line is here, or if that has none.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// When the first byte of the answer came.
    pub fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Takes the next bytes of the connection.
    pub fn hear(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.over {
                return;
            }
            self.byte(*byte);
        }
    }

    fn byte(&mut self, byte: u8) {
        let blank = matches!(self.line.as_slice(), b"" | b"\r");
        if blank && !self.passing && matches!(byte, b'\r' | b'\n') {
            return;
        }
        self.begun.get_or_insert_with(Instant::now);
        if self.passing {
            match byte {
                b'\n' if blank => *self = AnswerHead::default(),
                b'\n' => self.line.clear(),
                _ => self.line.extend((self.line.len() < STATUS_END).then_some(byte)),
            }
            return;
        }
        self.line.push(byte);
        if self.line.len() < STATUS_END && byte != b'\n' {
            return;
        }
        match status(&self.line) {
            Some(100..=199) => (self.passing, self.line) = (true, vec![b' ']),
            status => (self.status, self.over) = (status, true),
        }
        if byte == b'\n' {
            self.line.clear();
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

#[cfg(test)]
#[path = "answer_head_test.rs"]
mod tests;
