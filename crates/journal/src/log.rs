//! Plans the log: the segment for each record, when to start a new segment, and the order of disk operations.
//! It does no I/O; [`crate::journal`] executes the queued operations.

use crate::frame::{self, FRAME_HEADER_BYTES, HEADER_BYTES, Header, SEAL_FRAME_BYTES};
use crate::record::Record;
use std::collections::{BTreeMap, VecDeque};

/// A disk operation. Operations are executed in order, so a crash leaves the effects of a prefix.
#[derive(Debug)]
pub(crate) enum Op {
    Create {
        number: u64,
    },
    Write {
        number: u64,
        at: u64,
        bytes: Vec<u8>,
        /// Sequence number of the last record among the bytes; 0 if there is none.
        last_seq: u64,
    },
    /// Syncs everything queued so far before the next operation.
    Sync,
    Remove {
        number: u64,
        /// Bytes on disk.
        used: u64,
    },
}

/// A segment of the log.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Sequence number of its first record.
    pub first_seq: u64,
    /// Size in bytes, including queued writes.
    pub size: u64,
    /// Space reserved for the messages that begin in it, which limits the bytes to copy before it can be
    /// removed.
    pub reserved_bytes: u64,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogConfig {
    /// Segment size in bytes, and upper limit for the space reserved for messages that begin in a segment.
    pub segment_bytes: u64,
    pub sync_writes: bool,
    pub migration: bool,
    /// The format version of new segments. It rises with the first record that needs a higher one.
    pub format_version: u16,
}

/// Larger write buffers are freed instead of being reused: a load peak would otherwise hold its memory
/// forever.
const MAX_BUFFER_BYTES: usize = 128 * 1024;

/// The planned log and the queue of operations that carry the plan out.
pub(crate) struct Log {
    config: LogConfig,
    segments: BTreeMap<u64, Segment>,
    next_number: u64,
    next_seq: u64,
    /// Segments without live records that wait until their `Trim` record is on the device: sequence number of
    /// that record, segment number, bytes on disk.
    retiring: VecDeque<(u64, u64, u64)>,
    /// Seals that wait until all records of their segment are on the device: sequence number, segment number,
    /// offset.
    seals: VecDeque<(u64, u64, u64)>,
    pub queue: VecDeque<Op>,
    /// A buffer that was written and can be reused.
    buffer: Vec<u8>,
    /// Records up to this sequence number are known to be on the device.
    pub synced_seq: u64,
    used: u64,
    size: u64,
}

fn disk_bytes(size: u64) -> u64 {
    size.next_multiple_of(512)
}

impl Log {
    /// Continues after these segments; appends to the last one if `append_to_last` is set.
    pub fn new(
        config: LogConfig,
        segments: BTreeMap<u64, Segment>,
        next: (u64, u64),
        append_to_last: bool,
    ) -> Self {
        let (next_number, next_seq) = next;
        let (mut used, mut size) = (0, 0);
        for s in segments.values() {
            used += disk_bytes(s.size);
            size += s.size;
        }
        let mut log = Log {
            config,
            segments,
            next_number,
            next_seq,
            retiring: VecDeque::new(),
            seals: VecDeque::new(),
            queue: VecDeque::new(),
            buffer: Vec::new(),
            synced_seq: 0,
            used,
            size,
        };
        if !append_to_last || log.segments.is_empty() {
            log.begin();
        }
        log
    }

    /// Bytes on disk of all segments, each rounded up to 512, including segments that wait for removal.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Bytes of all segments that do not wait for removal.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Memory in bytes for queued writes and tables.
    pub fn memory(&self) -> u64 {
        let pending_write = |op: &Op| match op {
            Op::Write { bytes, .. } => bytes.capacity(),
            Op::Create { .. } | Op::Sync | Op::Remove { .. } => 0,
        };
        let queue: usize =
            self.queue.iter().map(pending_write).sum::<usize>() + self.queue.capacity() * size_of::<Op>();
        (queue + self.buffer.capacity() + self.segments.len() * 2 * size_of::<Segment>()) as u64
    }

    pub fn count(&self) -> usize {
        self.segments.len()
    }

    /// Sequence number of the last record.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    fn oldest(&self) -> u64 {
        self.segments.keys().next().copied().unwrap_or(self.next_number)
    }

    pub fn newest(&self) -> u64 {
        self.segments.keys().next_back().copied().unwrap_or(self.next_number)
    }

    pub fn has_segment_below(&self, number: u64) -> bool {
        self.oldest() < number
    }

    /// Sequence number at which the second-oldest segment begins; `None` if there is only one segment.
    pub fn second_segment_start(&self) -> Option<u64> {
        self.segments.values().nth(1).map(|s| s.first_seq)
    }

    /// Starts a new segment; the others are then complete.
    pub fn begin(&mut self) {
        let (number, oldest) = (self.next_number, self.oldest());
        self.next_number += 1;
        let header = Header {
            version: self.config.format_version,
            sync_writes: self.config.sync_writes,
            migration: self.config.migration,
            number,
            first_seq: self.next_seq,
            oldest,
            synced_seq: self.synced_seq,
        };
        self.queue.push_back(Op::Create { number });
        self.segments.insert(number, Segment { first_seq: self.next_seq, size: 0, reserved_bytes: 0 });
        self.write(number, &header.bytes());
    }

    /// Seals the newest segment and starts a new one.
    pub fn roll(&mut self) {
        let old = self.newest();
        self.begin();
        if self.config.sync_writes {
            // A seal states that the next segment exists. It is written only after that is on the device, so
            // that a power failure cannot make it wrong.
            if let Some(s) = self.segments.get(&old) {
                self.seals.push_back((self.last_seq().max(1), old, s.size));
            }
            self.extend_segment(old, SEAL_FRAME_BYTES as u64);
        } else {
            self.write(old, &frame::seal_frame(self.next_seq));
        }
    }

    fn extend_segment(&mut self, number: u64, bytes: u64) -> u64 {
        let Some(s) = self.segments.get_mut(&number) else { return 0 };
        let at = s.size;
        s.size += bytes;
        self.used += disk_bytes(s.size) - disk_bytes(at);
        self.size += bytes;
        at
    }

    fn write(&mut self, number: u64, bytes: &[u8]) {
        let at = self.extend_segment(number, bytes.len() as u64);
        self.pending_write(number, at).extend_from_slice(bytes);
    }

    /// The buffer of the queued write for this place; contiguous writes are merged.
    fn pending_write(&mut self, number: u64, at: u64) -> &mut Vec<u8> {
        let follows = matches!(self.queue.back(),
            Some(Op::Write { number: n, at: a, bytes, .. }) if *n == number && *a + bytes.len() as u64 == at);
        if !follows {
            let bytes = std::mem::take(&mut self.buffer);
            self.queue.push_back(Op::Write { number, at, bytes, last_seq: 0 });
        }
        match self.queue.back_mut() {
            Some(Op::Write { bytes, .. }) => bytes,
            _ => unreachable!("a write was put there above"),
        }
    }

    /// Appends a record. `reserved_bytes` is the reservation of a message that begins with it, else 0.
    /// Returns the sequence number and the size in bytes.
    pub fn put(&mut self, reserved_bytes: u64, record: &Record) -> (u64, u64) {
        if record.format_version() > self.config.format_version {
            // An older program must refuse the segment, not take the record for damage.
            self.config.format_version = record.format_version();
            self.roll();
        }
        let (size, active) = (FRAME_HEADER_BYTES as u64 + record.size(), self.newest());
        let s = self.segments.get(&active);
        let exceeds_reservation = s.is_some_and(|s| {
            s.reserved_bytes > 0 && s.reserved_bytes + reserved_bytes > self.config.segment_bytes
        });
        let exceeds_length = s.is_some_and(|s| {
            s.size > HEADER_BYTES as u64
                && s.size + size + SEAL_FRAME_BYTES as u64 > self.config.segment_bytes
        });
        if (reserved_bytes > 0 && exceeds_reservation) || exceeds_length {
            self.roll();
        }
        let active = self.newest();
        if let Some(s) = self.segments.get_mut(&active) {
            s.reserved_bytes += reserved_bytes;
        }
        let (at, seq) = (self.extend_segment(active, size), self.next_seq);
        let to = self.pending_write(active, at);
        frame::put_frame(to, seq, |to| record.encode(to));
        if let Some(Op::Write { last_seq, .. }) = self.queue.back_mut() {
            *last_seq = seq;
        }
        self.next_seq += 1;
        (seq, size)
    }

    /// Removes the oldest segment, which has no live records. With `immediately`, queues the sync that this
    /// needs instead of waiting for the next one.
    pub fn retire(&mut self, immediately: bool) {
        if self.segments.len() < 2 {
            return;
        }
        let Some((number, segment)) = self.segments.pop_first() else { return };
        self.size -= segment.size;
        self.seals.retain(|(_, n, _)| *n != number);
        // After damage the next number may be missing.
        let oldest = self.segments.first_key_value().map_or(number + 1, |(next, _)| *next);
        let (seq, _) = self.put(0, &Record::Trim { oldest });
        let used = disk_bytes(segment.size);
        if self.config.sync_writes && !immediately {
            self.retiring.push_back((seq, number, used));
            return;
        }
        if self.config.sync_writes {
            self.queue.push_back(Op::Sync);
            while let Some((_, number, used)) = self.retiring.pop_front() {
                self.remove(number, used);
            }
        }
        self.remove(number, used);
    }

    fn remove(&mut self, number: u64, used: u64) {
        self.used -= used;
        self.queue.push_back(Op::Remove { number, used });
    }

    /// Takes back an executed operation to reuse its buffer.
    pub fn finish_op(&mut self, op: Op) {
        if let Op::Write { mut bytes, .. } = op
            && bytes.capacity() <= MAX_BUFFER_BYTES
        {
            bytes.clear();
            self.buffer = bytes;
        }
    }

    /// Records that all records up to `seq` are on the device, and queues the seals and removals that waited
    /// for that.
    pub fn mark_synced(&mut self, seq: u64) {
        self.synced_seq = self.synced_seq.max(seq);
        while let Some((_, number, at)) = self.seals.pop_front_if(|(need, ..)| *need <= seq) {
            let next = self.segments.range(number + 1..).next().map(|(_, s)| s.first_seq);
            if let Some(next) = next {
                self.pending_write(number, at).extend_from_slice(&frame::seal_frame(next));
            }
        }
        while let Some((_, number, used)) = self.retiring.pop_front_if(|(need, ..)| *need <= seq) {
            self.remove(number, used);
        }
    }

    /// Starts a segment that is not part of the migration.
    pub fn end_migration(&mut self) {
        self.config.migration = false;
        self.roll();
    }

    /// After a failed sync the records so far may not be on the device. Drops the pending seals, and lets
    /// queued removals wait until everything is known to be on the device again.
    pub fn sync_failed(&mut self) {
        self.seals.clear();
        let last_seq = self.last_seq();
        for op in std::mem::take(&mut self.queue) {
            match op {
                Op::Remove { number, used } => {
                    self.used += used;
                    self.retiring.push_back((last_seq, number, used));
                }
                Op::Sync => {}
                Op::Create { .. } | Op::Write { .. } => self.queue.push_back(op),
            }
        }
    }
}

/// Bytes that a frame adds to a record.
pub(crate) const FRAME_OVERHEAD_BYTES: u64 = FRAME_HEADER_BYTES as u64;
