//! Framing of requests as seen in their raw bytes.

use hyper::StatusCode;

/// Framing of a request as seen in its raw bytes, to detect request smuggling: hyper silently drops a
/// Content-Length beside a Transfer-Encoding, or a second equal one, and keeps what follows a body for the
/// next request.
#[derive(Default)]
pub struct RequestFraming {
    /// Bytes to come that still belong to the body of the previous request, which was answered before its end.
    previous_body_left: u64,
    line_prefix: Vec<u8>,
    /// The request line has started; empty lines before it are ignored.
    started: bool,
    /// The empty line after the head has been read.
    head_complete: bool,
    /// Number of Content-Length fields.
    content_lengths: usize,
    /// Bytes received after the head.
    pub bytes_after_head: usize,
}

const CONTENT_LENGTH_NAME: &[u8] = b"content-length";

impl RequestFraming {
    /// Framing of the request behind this one, whose body has this length.
    pub fn next(&self, body_length: u64) -> Self {
        let previous_body_left = match self.head_complete {
            true => body_length.saturating_sub(self.bytes_after_head as u64),
            // Its head, and perhaps its body, came together with the request before it, and was not counted here.
            false => 0,
        };
        RequestFraming { previous_body_left, ..Self::default() }
    }

    /// Takes in further bytes of the connection. Returns whether any of them belong to this request.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        let previous = usize::try_from(self.previous_body_left).unwrap_or(usize::MAX).min(bytes.len());
        self.previous_body_left -= previous as u64;
        let bytes = &bytes[previous..];
        let mut rest = bytes;
        while !self.head_complete && !rest.is_empty() {
            let line_end = rest.iter().position(|byte| *byte == b'\n');
            let (line, behind) = rest.split_at(line_end.unwrap_or(rest.len()));
            self.feed_line_part(line);
            if line_end.is_some() {
                self.end_line();
            }
            rest = behind.get(1..).unwrap_or_default();
        }
        self.bytes_after_head += rest.len();
        !bytes.is_empty()
    }

    /// Takes in bytes within a line of the head.
    fn feed_line_part(&mut self, bytes: &[u8]) {
        let room = CONTENT_LENGTH_NAME.len() - self.line_prefix.len();
        self.line_prefix.extend(bytes.iter().filter(|byte| **byte != b'\r').take(room));
        self.started |= !self.line_prefix.is_empty();
    }

    fn end_line(&mut self) {
        if self.line_prefix.is_empty() {
            self.head_complete = self.started;
        }
        self.content_lengths += usize::from(self.line_prefix.eq_ignore_ascii_case(CONTENT_LENGTH_NAME));
        self.line_prefix.clear();
    }

    /// Returns the error for a request whose end is ambiguous, since another request may be hidden behind its
    /// body. `length` is the body's length by hyper. Clients send one request at a time, without pipelining.
    pub fn error(&self, length: Option<u64>) -> Option<(StatusCode, &'static str)> {
        match length {
            None => {
                Some((StatusCode::LENGTH_REQUIRED, "a Content-Length, and nothing else, tells the length\n"))
            }
            _ if self.content_lengths > 1 => Some((StatusCode::BAD_REQUEST, "more than one length\n")),
            Some(length) if self.bytes_after_head as u64 > length => {
                Some((StatusCode::BAD_REQUEST, "more than the length says\n"))
            }
            Some(_) => None,
        }
    }
}

#[cfg(test)]
#[path = "request_framing_test.rs"]
mod tests;
