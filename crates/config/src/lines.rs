//! Cuts a stream of bytes into lines: the control service's versions, discovery's lists.

/// Cuts a stream of bytes into lines, with a bound on each.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Up to here there is no end of a line.
    seen: usize,
    /// Bytes behind the last end of a line.
    open: usize,
    most: usize,
}

/// A line is longer than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

impl LineBuffer {
    pub fn new(most: usize) -> Self {
        LineBuffer { bytes: Vec::new(), seen: 0, open: 0, most }
    }

    /// # Errors
    /// [`TooLong`]; the rest of the stream means nothing then.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), LineTooLong> {
        self.bytes.extend_from_slice(piece);
        // Only what is new is looked at: a long line comes in many pieces.
        self.open = match piece.iter().rposition(|b| *b == b'\n') {
            Some(end) => piece.len() - end - 1,
            None => self.open + piece.len(),
        };
        if self.open > self.most { Err(LineTooLong) } else { Ok(()) }
    }

    /// Whether anything is here that was not taken yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Bytes that are here and were not taken yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

impl Iterator for LineBuffer {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        let Some(at) = self.bytes[self.seen..].iter().position(|b| *b == b'\n') else {
            self.seen = self.bytes.len();
            return None;
        };
        let end = self.seen + at;
        self.seen = 0;
        let rest = self.bytes.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.bytes, rest);
        line.truncate(end);
        Some(line)
    }
}

#[cfg(test)]
#[path = "lines_test.rs"]
mod tests;
