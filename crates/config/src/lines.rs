//! Splits byte streams into lines: versions from the control service, lists from the discovery service.

/// Splits a byte stream into lines of limited length.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Number of leading bytes already searched for a line feed.
    scanned_bytes: usize,
    /// Number of bytes after the last line feed.
    unterminated_bytes: usize,
    max_bytes: usize,
}

/// A line is longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

impl LineBuffer {
    /// `max_bytes` is the maximum length of a line.
    pub fn new(max_bytes: usize) -> Self {
        LineBuffer { bytes: Vec::new(), scanned_bytes: 0, unterminated_bytes: 0, max_bytes }
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// [`LineTooLong`] if the unfinished line exceeds the limit. The stream cannot be read any further then.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), LineTooLong> {
        self.bytes.extend_from_slice(chunk);
        // Searches only the new bytes, since a long line arrives in many chunks.
        self.unterminated_bytes = match chunk.iter().rposition(|b| *b == b'\n') {
            Some(end) => chunk.len() - end - 1,
            None => self.unterminated_bytes + chunk.len(),
        };
        if self.unterminated_bytes > self.max_bytes { Err(LineTooLong) } else { Ok(()) }
    }

    /// Whether any bytes are buffered.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Number of bytes buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

impl Iterator for LineBuffer {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        let Some(at) = self.bytes[self.scanned_bytes..].iter().position(|b| *b == b'\n') else {
            self.scanned_bytes = self.bytes.len();
            return None;
        };
        let end = self.scanned_bytes + at;
        self.scanned_bytes = 0;
        let rest = self.bytes.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.bytes, rest);
        line.truncate(end);
        Some(line)
    }
}

#[cfg(test)]
#[path = "lines_test.rs"]
mod tests;
