//! How much room the journal has, how it is divided, and what a record on disk is worth.

use crate::error::Error;
use crate::frame::{FRAME_HEADER_BYTES, HEADER_BYTES, SEAL_FRAME_BYTES};
use crate::record::{self, AcceptedMessage};

/// When a record counts as kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// Once it is written: it outlasts the process, also SIGKILL, not a power cut.
    #[default]
    Process,
    /// Once it is synced: it outlasts a power cut.
    Machine,
}

/// What a start does with a journal of which a part cannot be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OnDamage {
    /// Goes on with what can be read; whatever may have been hidden counts as sent.
    #[default]
    Salvage,
    /// Ends, with nothing changed.
    Stop,
}

/// The settings of a journal.
#[derive(Clone, Debug)]
pub struct Options {
    /// Bytes that all its files may take, each counted in whole 512.
    pub capacity_bytes: u64,
    /// Bytes of a segment; None for a share of the room.
    pub segment_bytes: Option<u64>,
    /// Bytes of the longest record: a body with its head.
    pub max_record_bytes: usize,
    pub durability: Durability,
    /// Sets room aside on the disk itself for what accepted messages may still need, so that nothing else
    /// can take it.
    pub preallocate: bool,
    /// Attempts for which room is kept, and bytes of the host's and zone's name together in each. What goes
    /// beyond takes other room, and is refused where there is none.
    pub reserved_attempts: u64,
    pub reserved_name_bytes: u64,
    /// Share of the room that live messages may take, with all that they may still need.
    pub max_live_fraction: f64,
    pub on_damage: OnDamage,
}

/// A body of 64 KiB with an id, a key and headroom for names.
const DEFAULT_MAX_RECORD_BYTES: usize = 72 * 1024;
/// Where there is little room a record is this share of it at most: one body must not fill a segment that
/// then costs as much again to copy.
const MIN_CAPACITY_IN_RECORDS: u64 = 16;
/// Larger segments take longer to remove, and removal is one call on the serving thread.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Segments that the room is divided into, where they come out between the bounds.
const TARGET_SEGMENTS: u64 = 32;
/// With syncs all that lives may have to be written anew before anything old can go (a failed sync), so it
/// takes less than half.
const MAX_SYNCED_LIVE_FRACTION: f64 = 0.45;

impl Options {
    /// The settings of the platform's courier, with this much room.
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

    /// Bytes of a segment. Also bounds the messages that begin in one, with all that they may still need: so
    /// much at most is copied before its room is free again.
    pub(crate) fn segment(&self) -> u64 {
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

    /// Room that only compaction may use: the copies out of one segment, and the heads of those they go to.
    pub(crate) fn compaction_reserve_bytes(&self) -> u64 {
        self.segment() + 8 * 512
    }

    /// What a message may add after its acceptance, frames included.
    pub(crate) fn followup_bytes(&self, attempts: u64) -> u64 {
        let frame = FRAME_HEADER_BYTES as u64;
        attempts * (2 * frame + record::attempt_bytes(self.reserved_name_bytes) + record::NEVER_RAN_BYTES)
            + (frame + record::JUDGED_BYTES)
            + (frame + record::ENDED_BYTES)
    }

    /// All that a message may take.
    pub(crate) fn reserved_bytes(&self, accepted: &AcceptedMessage) -> u64 {
        FRAME_HEADER_BYTES as u64
            + record::snapshot_bytes(accepted)
            + self.followup_bytes(self.reserved_attempts)
    }

    /// What the weights of all live messages may come to.
    pub(crate) fn max_live_bytes(&self) -> u64 {
        let share = match self.durability {
            Durability::Process => self.max_live_fraction,
            Durability::Machine => self.max_live_fraction.min(MAX_SYNCED_LIVE_FRACTION),
        };
        (self.capacity_bytes.saturating_sub(self.compaction_reserve_bytes()) as f64 * share) as u64
    }

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
