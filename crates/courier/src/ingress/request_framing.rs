//! Framing of requests as seen in their raw bytes.

use hyper::StatusCode;

/// Framing of a request as seen in its raw bytes, to detect request smuggling: hyper silently drops a
/// Content-Length beside a Transfer-Encoding, or a second equal one, and keeps what follows a body for the
/// next request.
#[derive(Default)]
pub struct RequestFraming {
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
    /// Takes in further bytes of the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        for (n, byte) in bytes.iter().enumerate() {
            if self.head_complete {
                self.bytes_after_head += bytes.len() - n;
                return;
            }
            match byte {
                b'\n' if self.line_prefix.is_empty() => self.head_complete = self.started,
                b'\n' => {
                    let name = self.line_prefix.get(..CONTENT_LENGTH_NAME.len());
                    self.content_lengths +=
                        usize::from(name.is_some_and(|l| l.eq_ignore_ascii_case(CONTENT_LENGTH_NAME)));
                    self.line_prefix.clear();
                }
                b'\r' => {}
                _ => {
                    self.started = true;
                    self.line_prefix
                        .extend((self.line_prefix.len() < CONTENT_LENGTH_NAME.len()).then_some(*byte));
                }
            }
        }
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
