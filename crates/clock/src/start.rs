//! The stable clock, and how a process starts it from the record that an earlier process stored.

use crate::boot_clock::{BootId, boot_time};
use crate::record::ClockRecord;
use crate::stable_time::StableTime;
use crate::time_of_day::TimeOfDay;
use std::time::Duration;

/// What the machine's clocks show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// `None` if the kernel does not show it.
    pub boot_id: Option<BootId>,
    pub boot_time: Duration,
    pub wall: TimeOfDay,
}

impl ClockReading {
    /// Reads the machine's clocks and the id of its boot.
    pub fn now() -> Self {
        Self::within_boot(BootId::read())
    }

    /// Reads the machine's clocks, where the id of its boot is known already.
    pub fn within_boot(boot_id: Option<BootId>) -> Self {
        let (boot_time, wall) = (whole_micros(boot_time()), whole_micros(TimeOfDay::now().as_unix()));
        ClockReading { boot_id, boot_time, wall: TimeOfDay::from_unix(wall) }
    }
}

/// The record of the clocks as a process finds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredClock {
    /// There is none.
    Missing,
    /// There is one that cannot be read.
    Unreadable,
    Readable(ClockRecord),
}

impl StoredClock {
    /// The record in this stored value, if there is one.
    pub fn parse(value: Option<&[u8]>) -> Self {
        let Some(value) = value else { return StoredClock::Missing };
        let record = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        record.map_or(StoredClock::Unreadable, StoredClock::Readable)
    }
}

/// What the journal says about times when a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalTimes {
    /// The latest time on record.
    pub latest: StableTime,
    /// Whether there are records whose times matter.
    pub holds_messages: bool,
}

/// What a process starts its stable clock from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockRestart {
    /// There is nothing to continue.
    First,
    /// The boot time clock has run on since the record was written, so that the time elapsed is known.
    SameBoot,
    /// The machine was started again. The time elapsed is taken from the wall clock, which may have been
    /// stepped meanwhile.
    WallClock,
    /// How much time has passed since the last times on record is not known.
    Unknown,
}

/// The start of a process's stable clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStart {
    pub clock: StableClock,
    pub restart: ClockRestart,
    /// The part of the time since the latest time on record that may not have passed.
    pub unproven: Duration,
}

impl ClockStart {
    /// Starts the clock at this reading, never before the journal's latest time.
    pub fn new(stored: &StoredClock, journal: JournalTimes, reading: &ClockReading) -> Self {
        match stored {
            StoredClock::Readable(record) => Self::after_record(record, journal.latest, reading),
            StoredClock::Missing | StoredClock::Unreadable => Self::without_record(journal, reading),
        }
    }

    fn without_record(journal: JournalTimes, reading: &ClockReading) -> Self {
        let now = StableTime::from_epoch(reading.wall.as_unix()).max(journal.latest);
        if !journal.holds_messages {
            return Self::at(now, now, ClockRestart::First, reading);
        }
        Self::at(now, journal.latest, ClockRestart::Unknown, reading)
    }

    fn after_record(record: &ClockRecord, latest: StableTime, reading: &ClockReading) -> Self {
        let same_boot = record.boot_id.is_some() && record.boot_id == reading.boot_id;
        let elapsed = reading.boot_time.checked_sub(record.boot_time).filter(|_| same_boot);
        if let Some(now) = elapsed.map(|elapsed| record.stable + elapsed) {
            if now < latest {
                // A program that does not use the record has written to the journal since.
                return Self::at(latest, latest, ClockRestart::Unknown, reading);
            }
            let clock =
                StableClock { anchor: now, boot_time: reading.boot_time, proven_since: record.proven_since };
            return ClockStart { clock, restart: ClockRestart::SameBoot, unproven: Duration::ZERO };
        }
        let rebooted = record.boot_id.is_some() && reading.boot_id.is_some() && !same_boot;
        // The record is older than this boot.
        let uptime = if rebooted { reading.boot_time } else { Duration::ZERO };
        let proven = (record.stable + uptime).max(latest);
        let by_wall = reading.wall.as_unix().checked_sub(record.wall.as_unix()).map(|e| record.stable + e);
        match by_wall.filter(|now| *now >= proven) {
            Some(now) => Self::at(now, proven, ClockRestart::WallClock, reading),
            // The wall clock was stepped back.
            None => Self::at(proven, proven, ClockRestart::Unknown, reading),
        }
    }

    /// Starts the clock at `now`, where at least the time until `proven` has passed.
    fn at(now: StableTime, proven: StableTime, restart: ClockRestart, reading: &ClockReading) -> Self {
        let clock = StableClock { anchor: now, boot_time: reading.boot_time, proven_since: now };
        ClockStart { clock, restart, unproven: now.saturating_duration_since(proven) }
    }
}

/// The courier's stable clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StableClock {
    /// What the clock shows at `boot_time`.
    anchor: StableTime,
    boot_time: Duration,
    proven_since: StableTime,
}

impl StableClock {
    /// What the clock shows now, in whole microseconds.
    pub fn now(&self) -> StableTime {
        self.at(whole_micros(boot_time()))
    }

    /// What the clock shows at this time since boot.
    pub fn at(&self, boot_time: Duration) -> StableTime {
        self.anchor + boot_time.saturating_sub(self.boot_time)
    }

    /// Time elapsed from `earlier` to `now`; `None` if it is not provable, because the clock was continued
    /// without proof in between.
    pub fn proven_duration(&self, earlier: StableTime, now: StableTime) -> Option<Duration> {
        (earlier > self.proven_since).then(|| now.saturating_duration_since(earlier))
    }

    /// Since when the clock has shown exactly the time elapsed.
    pub fn proven_since(&self) -> StableTime {
        self.proven_since
    }

    /// The record of the clocks at this reading.
    pub fn record(&self, reading: ClockReading) -> ClockRecord {
        ClockRecord {
            stable: self.at(reading.boot_time),
            boot_id: reading.boot_id,
            boot_time: reading.boot_time,
            wall: reading.wall,
            proven_since: self.proven_since,
        }
    }
}

fn whole_micros(time: Duration) -> Duration {
    Duration::new(time.as_secs(), time.subsec_micros() * 1000)
}

#[cfg(test)]
#[path = "start_test.rs"]
mod tests;
