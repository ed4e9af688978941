//! Segment files: their names, headers and frames, and reading frames from a file that a crash or a disk
//! fault may have damaged.

use crate::record::Record;
use bytes::BufMut;
use stairshed_planted_faults::{PlantedFault, is_planted};

/// The newest format version. The journal does not open if a file has a higher one.
pub const FORMAT_VERSION: u16 = 2;
/// The format version that is written until a record needs a higher one, so that older programs can read the
/// journal.
pub(crate) const BASE_FORMAT_VERSION: u16 = 1;
const MAGIC: &[u8; 8] = b"SHEDJRNL";
pub(crate) const HEADER_BYTES: usize = 8 + 2 + 2 + 8 + 8 + 8 + 8 + 4;
/// Length, checksum and sequence number.
pub(crate) const FRAME_HEADER_BYTES: usize = 4 + 4 + 8;
/// Upper limit for any record, whatever the options: a copy also holds the attempts, and the files may come
/// from a courier with other options.
const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;
/// Payload of the frame that ends a complete segment and states that the next one exists. Its sequence number
/// is that of the next segment's first record, which uses it again.
const SEAL: &[u8] = b"sealed";
pub(crate) const SEAL_FRAME_BYTES: usize = FRAME_HEADER_BYTES + SEAL.len();
const SUFFIX: &str = ".seg";

/// Header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    /// The format version of its records.
    pub version: u16,
    /// Written with syncs: after a power failure any part that was not synced may be missing.
    pub sync_writes: bool,
    /// Written during a migration from the old format.
    pub migration: bool,
    pub number: u64,
    /// Sequence number of its first record.
    pub first_seq: u64,
    /// Segments below this number held no live records when this one was created.
    pub oldest: u64,
    /// Records up to this sequence number were on the device.
    pub synced_seq: u64,
}

impl Header {
    pub fn bytes(&self) -> Vec<u8> {
        let mut to = Vec::with_capacity(HEADER_BYTES);
        to.put_slice(MAGIC);
        to.put_u16_le(self.version);
        to.put_u16_le(u16::from(self.sync_writes) | u16::from(self.migration) << 1);
        to.put_u64_le(self.number);
        to.put_u64_le(self.first_seq);
        to.put_u64_le(self.oldest);
        to.put_u64_le(self.synced_seq);
        to.put_u32_le(crc32fast::hash(&to));
        to
    }

    pub fn read(bytes: &[u8]) -> Result<Header, HeaderError> {
        if bytes.len() < HEADER_BYTES {
            return Err(HeaderError::Truncated);
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let sum = u32::from_le_bytes([bytes[44], bytes[45], bytes[46], bytes[47]]);
        let checksum_matches = crc32fast::hash(&bytes[..HEADER_BYTES - 4]) == sum;
        if &bytes[..8] != MAGIC {
            return Err(HeaderError::Corrupt);
        }
        // All versions keep these bytes and their checksum, so that a flipped bit is not taken for a newer
        // format.
        if checksum_matches && u16_at(8) > FORMAT_VERSION {
            return Err(HeaderError::NewerVersion(u16_at(8)));
        }
        if !checksum_matches {
            return Err(HeaderError::Corrupt);
        }
        let u64_at = |at: usize| u64_le(&bytes[at..at + 8]);
        let flags = u16_at(10);
        Ok(Header {
            version: u16_at(8),
            sync_writes: flags & 1 != 0,
            migration: flags & 2 != 0,
            number: u64_at(12),
            first_seq: u64_at(20),
            oldest: u64_at(28),
            synced_seq: u64_at(36),
        })
    }
}

/// Why a header cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeaderError {
    Truncated,
    Corrupt,
    NewerVersion(u16),
}

fn u64_le(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_le_bytes)
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

/// The segment number in a file name, if it is the name of a segment.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX).filter(|d| d.len() == 16)?;
    // Only the canonical spelling counts: another spelling of the number is another file.
    let number = u64::from_str_radix(digits, 16).ok()?;
    (segment_name(number) == name).then_some(number)
}

/// Appends a frame whose payload `fill` writes.
pub(crate) fn put_frame(to: &mut Vec<u8>, seq: u64, fill: impl FnOnce(&mut Vec<u8>)) {
    let at = to.len();
    to.put_bytes(0, FRAME_HEADER_BYTES);
    fill(to);
    let length = (to.len() - at - FRAME_HEADER_BYTES) as u32;
    to[at..at + 4].copy_from_slice(&length.to_le_bytes());
    to[at + 8..at + FRAME_HEADER_BYTES].copy_from_slice(&seq.to_le_bytes());
    let sum = checksum(&to[at..]);
    to[at + 4..at + 8].copy_from_slice(&sum.to_le_bytes());
}

pub(crate) fn seal_frame(next: u64) -> Vec<u8> {
    let mut to = Vec::with_capacity(SEAL_FRAME_BYTES);
    put_frame(&mut to, next, |to| to.put_slice(SEAL));
    to
}

/// Covers the whole frame except the checksum itself, so that a flipped bit in the length or the sequence
/// number is detected too.
fn checksum(frame: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&frame[..4]);
    sum.update(&frame[8..]);
    sum.finalize()
}

/// Payload of a frame.
#[derive(Debug, PartialEq)]
pub(crate) enum Content {
    Record(Record),
    Seal,
}

/// A valid frame.
#[derive(Debug)]
pub(crate) struct Frame {
    pub at: usize,
    pub end: usize,
    pub seq: u64,
    pub content: Content,
}

/// Reads the frame at offset `at`, if it is valid.
pub(crate) fn frame_at(bytes: &[u8], at: usize) -> Option<Frame> {
    let rest = bytes.get(at..)?;
    if rest.len() <= FRAME_HEADER_BYTES {
        return None;
    }
    let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
    if is_planted(PlantedFault::TornFrameRead) && FRAME_HEADER_BYTES + length > rest.len() {
        return torn_frame(bytes, at, length);
    }
    // A length that no record has belongs to a torn or corrupt frame.
    if length == 0 || length > MAX_RECORD_BYTES || FRAME_HEADER_BYTES + length > rest.len() {
        return None;
    }
    let frame = &rest[..FRAME_HEADER_BYTES + length];
    let sum = u32::from_le_bytes([rest[4], rest[5], rest[6], rest[7]]);
    if checksum(frame) != sum {
        return None;
    }
    let (seq, payload) = (u64_le(&rest[8..FRAME_HEADER_BYTES]), &frame[FRAME_HEADER_BYTES..]);
    let content = match payload == SEAL {
        true => Content::Seal,
        false => Content::Record(Record::decode(payload)?),
    };
    Some(Frame { at, end: at + frame.len(), seq, content })
}

/// Sequence number of the last record that is whole in these bytes of a segment, which begin with its header or with a
/// frame; 0 if there is none.
pub(crate) fn last_whole_record(bytes: &[u8]) -> u64 {
    let mut at = if bytes.starts_with(MAGIC) { HEADER_BYTES } else { 0 };
    let mut last_seq = 0;
    while let Some(frame) = frame_at(bytes, at) {
        if matches!(frame.content, Content::Record(_)) {
            last_seq = frame.seq;
        }
        at = frame.end;
    }
    last_seq
}

/// Planted fault: reads a frame that ends with the file too early, with zeros in place of what is missing.
fn torn_frame(bytes: &[u8], at: usize, length: usize) -> Option<Frame> {
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let seq = u64_le(&bytes[at + 8..at + FRAME_HEADER_BYTES]);
    let mut payload = bytes[at + FRAME_HEADER_BYTES..].to_vec();
    payload.resize(length, 0);
    Some(Frame { at, end: bytes.len(), seq, content: Content::Record(Record::decode(&payload)?) })
}

/// Finds the first valid frame at or after `at` whose sequence number is `expected` or higher, to
/// resynchronise after corrupt bytes. The check of the sequence number comes first, so few checksums are
/// computed.
pub(crate) fn next_frame(bytes: &[u8], at: usize, expected: u64) -> Option<Frame> {
    // Each lost record took at least one byte.
    let seqs = expected..=expected.saturating_add(bytes.len() as u64);
    (at..bytes.len().saturating_sub(FRAME_HEADER_BYTES)).find_map(|at| {
        seqs.contains(&u64_le(&bytes[at + 8..at + FRAME_HEADER_BYTES])).then(|| frame_at(bytes, at)).flatten()
    })
}

#[cfg(test)]
#[path = "frame_test.rs"]
mod tests;
