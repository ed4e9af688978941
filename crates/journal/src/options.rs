//! How much room the journal has, how it is divided, and what a record on disk is worth.

use crate::error::Error;
use crate::frame::{FRAME, HEADER, SEAL_FRAME};
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
const RECORD_MOST: usize = 72 * 1024;
/// Where there is little room a record is this share of it at most: one body must not fill a segment that
/// then costs as much again to copy.
const RECORD_SHARE: u64 = 16;
/// Larger segments take longer to remove, and removal is one call on the serving thread.
const SEGMENT_MOST: u64 = 4 * 1024 * 1024;
/// Segments that the room is divided into, where they come out between the bounds.
const SEGMENTS: u64 = 32;
/// With syncs all that lives may have to be written anew before anything old can go (a failed sync), so it
/// takes less than half.
const MACHINE_SHARE: f64 = 0.45;

impl Options {
    /// The settings of the platform's courier, with this much room.
    pub fn new(room: u64) -> Self {
        Options {
            capacity_bytes: room,
            segment_bytes: None,
            max_record_bytes: RECORD_MOST.min(usize::try_from(room / RECORD_SHARE).unwrap_or(RECORD_MOST)),
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
        let min_segment = self.frame_most() + self.trail(self.reserved_attempts);
        self.segment_bytes
            .unwrap_or_else(|| (self.capacity_bytes / SEGMENTS).clamp(2 * min_segment, SEGMENT_MOST))
            .max(min_segment)
    }

    pub(crate) fn frame_most(&self) -> u64 {
        (FRAME + self.max_record_bytes + HEADER + SEAL_FRAME) as u64
    }

    /// Room that only compaction may use: the copies out of one segment, and the heads of those they go to.
    pub(crate) fn copy_room(&self) -> u64 {
        self.segment() + 8 * 512
    }

    /// What a message may add after its acceptance, frames included.
    pub(crate) fn trail(&self, attempts: u64) -> u64 {
        let frame = FRAME as u64;
        attempts * (2 * frame + record::attempt_bytes(self.reserved_name_bytes) + record::NEVER_RAN_BYTES)
            + (frame + record::JUDGED_BYTES)
            + (frame + record::ENDED_BYTES)
    }

    /// All that a message may take.
    pub(crate) fn weight(&self, accepted: &AcceptedMessage) -> u64 {
        FRAME as u64 + record::snapshot_bytes(accepted) + self.trail(self.reserved_attempts)
    }

    /// What the weights of all live messages may come to.
    pub(crate) fn live_most(&self) -> u64 {
        let share = match self.durability {
            Durability::Process => self.max_live_fraction,
            Durability::Machine => self.max_live_fraction.min(MACHINE_SHARE),
        };
        (self.capacity_bytes.saturating_sub(self.copy_room()) as f64 * share) as u64
    }

    /// # Errors
    /// [`Error::CapacityTooSmall`] if one message, its copy and the copies out of one segment do not fit.
    pub(crate) fn check(&self) -> Result<(), Error> {
        let required = self.copy_room() + 4 * self.frame_most() + 4 * 1024;
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
