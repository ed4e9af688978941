//! Journal options: capacity, how it is divided, and durability.

use crate::error::Error;
use crate::frame::{FRAME_HEADER_BYTES, HEADER_BYTES, SEAL_FRAME_BYTES};
use crate::record::{self, AcceptedMessage};

/// When a record counts as durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// After the write: it survives a crash of the process, including SIGKILL, but not a power failure.
    #[default]
    Process,
    /// After the sync: it survives a power failure.
    Machine,
}

/// What to do at startup if a part of the journal cannot be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OnDamage {
    /// Continue with the readable records; messages that a lost record may concern are presumed sent.
    #[default]
    Salvage,
    /// Refuse to start and leave all files unchanged.
    Stop,
}

/// Options of a journal.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum total size of all files in bytes, each rounded up to 512.
    pub capacity_bytes: u64,
    /// Segment size in bytes; `None` derives it from the capacity.
    pub segment_bytes: Option<u64>,
    /// Maximum size of a record in bytes: a body with its header fields.
    pub max_record_bytes: usize,
    pub durability: Durability,
    /// Preallocates disk space for records that accepted messages may still need, so that no other program
    /// can use it.
    pub preallocate: bool,
    /// Attempts per message for which space is reserved, and bytes reserved in each for the names of host and
    /// zone together. Attempts beyond that use free space and are refused if there is none.
    pub reserved_attempts: u64,
    pub reserved_name_bytes: u64,
    /// Maximum fraction of the capacity for live messages, including the space reserved for them.
    pub max_live_fraction: f64,
    pub on_damage: OnDamage,
}

/// A body of 64 KiB with an id, a key and headroom for names.
const DEFAULT_MAX_RECORD_BYTES: usize = 72 * 1024;
/// Lower bound of the capacity in records of maximum size: with a small capacity the maximum record size is
/// reduced, because a body that fills a segment costs as much again to copy.
const MIN_CAPACITY_IN_RECORDS: u64 = 16;
/// Removing a segment is one call on the serving thread, and takes longer for larger segments.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Number of segments that the capacity is divided into, unless the size limits of a segment give another
/// number.
const TARGET_SEGMENTS: u64 = 32;
/// After a failed sync all live records may have to be rewritten before any old segment can be removed, so
/// they may take less than half of the capacity.
const MAX_SYNCED_LIVE_FRACTION: f64 = 0.45;

impl Options {
    /// The options of the platform's courier, with this capacity in bytes.
    pub fn new(room: u64) -> Self {
        Options {
            capacity_bytes: room,
            segment_bytes: None,
            max_record_bytes: DEFAULT_MAX_RECORD_BYTES
                .min(usize::try_from(room / MIN_CAPACITY_IN_RECORDS).unwrap_or(DEFAULT_MAX_RECORD_BYTES)),
            durability: Durability::Process,
            preallocate: false,
            reserved_attempts: 6,
            reserved_name_bytes: 50,
            max_live_fraction: 0.6,
            on_damage: OnDamage::Salvage,
        }
    }

    /// Segment size in bytes. It also limits the space reserved for the messages that begin in one segment,
    /// and so the bytes that must be copied before the segment can be removed.
    pub(crate) fn effective_segment_bytes(&self) -> u64 {
        let min_segment = self.max_frame_bytes() + self.followup_bytes(self.reserved_attempts);
        self.segment_bytes
            .unwrap_or_else(|| {
                (self.capacity_bytes / TARGET_SEGMENTS).clamp(2 * min_segment, MAX_SEGMENT_BYTES)
            })
            .max(min_segment)
    }

    pub(crate) fn max_frame_bytes(&self) -> u64 {
        (FRAME_HEADER_BYTES + self.max_record_bytes + HEADER_BYTES + SEAL_FRAME_BYTES) as u64
    }

    /// Space in bytes that only compaction may use: the copies out of one segment, and the headers of the
    /// segments they are written to.
    pub(crate) fn compaction_reserve_bytes(&self) -> u64 {
        self.effective_segment_bytes() + 8 * 512
    }

    /// Maximum number of bytes that a message adds after its acceptance, including frames.
    pub(crate) fn followup_bytes(&self, attempts: u64) -> u64 {
        let frame = FRAME_HEADER_BYTES as u64;
        attempts * (2 * frame + record::attempt_bytes(self.reserved_name_bytes) + record::NEVER_RAN_BYTES)
            + (frame + record::JUDGED_BYTES)
            + (frame + record::ENDED_BYTES)
    }

    /// Maximum number of bytes that a message takes in the log.
    pub(crate) fn reserved_bytes(&self, accepted: &AcceptedMessage) -> u64 {
        FRAME_HEADER_BYTES as u64
            + record::snapshot_bytes(accepted)
            + self.followup_bytes(self.reserved_attempts)
    }

    /// Upper limit for the sum of the space reserved for all live messages.
    pub(crate) fn max_live_bytes(&self) -> u64 {
        let share = match self.durability {
            Durability::Process => self.max_live_fraction,
            Durability::Machine => self.max_live_fraction.min(MAX_SYNCED_LIVE_FRACTION),
        };
        (self.capacity_bytes.saturating_sub(self.compaction_reserve_bytes()) as f64 * share) as u64
    }

    /// Checks that the capacity is large enough.
    ///
    /// # Errors
    /// [`Error::CapacityTooSmall`] if one message, its copy and the copies out of one segment do not fit.
    pub(crate) fn check(&self) -> Result<(), Error> {
        let required = self.compaction_reserve_bytes() + 4 * self.max_frame_bytes() + 4 * 1024;
        let required = match self.durability {
            Durability::Process => required,
            Durability::Machine => required * 2,
        };
        match self.capacity_bytes >= required {
            true => Ok(()),
            false => Err(Error::CapacityTooSmall { capacity: self.capacity_bytes, required }),
        }
    }
}
