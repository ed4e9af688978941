//! The stored record of the clocks, and its text form.

use crate::boot_clock::BootId;
use crate::stable_time::StableTime;
use crate::time_of_day::TimeOfDay;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Version of the text form.
const VERSION: &str = "1";
/// Stands for the id of a boot that is not known.
const UNKNOWN_BOOT: &str = "-";

/// What all clocks showed at one moment. Its text form has whole microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockRecord {
    /// `None` if the kernel does not show it.
    pub boot_id: Option<BootId>,
    /// Time since boot.
    pub boot_time: Duration,
    pub stable: StableTime,
    pub wall: TimeOfDay,
    /// Since when the stable clock has shown exactly the time elapsed. Between an earlier point and a later
    /// one, more or less time may have passed than their difference.
    pub proven_since: StableTime,
}

/// Why a text is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClockRecordError {
    #[error("the clock's record has another version")]
    Version,
    #[error("the clock's record does not have its six fields")]
    Fields,
    #[error("a field of the clock's record cannot be read")]
    Value,
}

impl ClockRecord {
    /// By how much the wall clock was ahead of the stable clock, in microseconds.
    pub fn wall_offset_micros(&self) -> i128 {
        self.wall.as_unix().as_micros() as i128 - self.stable.since_epoch().as_micros() as i128
    }
}

impl fmt::Display for ClockRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let boot_id: &dyn fmt::Display = match &self.boot_id {
            Some(id) => id,
            None => &UNKNOWN_BOOT,
        };
        let (boot, wall) = (self.boot_time.as_micros(), self.wall.as_unix().as_micros());
        let (stable, proven) = (self.stable.as_micros(), self.proven_since.as_micros());
        write!(f, "{VERSION} {boot_id} {boot} {stable} {wall} {proven}")
    }
}

impl FromStr for ClockRecord {
    type Err = ClockRecordError;

    fn from_str(text: &str) -> Result<Self, ClockRecordError> {
        let fields: Vec<&str> = text.split(' ').collect();
        if fields[0] != VERSION {
            return Err(ClockRecordError::Version);
        }
        let [_, boot_id, boot, stable, wall, proven] = fields[..] else {
            return Err(ClockRecordError::Fields);
        };
        let micros = |text: &str| text.parse::<u64>().map_err(|_| ClockRecordError::Value);
        let boot_id = match boot_id {
            UNKNOWN_BOOT => None,
            id => Some(BootId::new(id).ok_or(ClockRecordError::Value)?),
        };
        Ok(ClockRecord {
            boot_id,
            boot_time: Duration::from_micros(micros(boot)?),
            stable: StableTime::from_micros(micros(stable)?),
            wall: TimeOfDay::from_unix(Duration::from_micros(micros(wall)?)),
            proven_since: StableTime::from_micros(micros(proven)?),
        })
    }
}

#[cfg(test)]
#[path = "record_test.rs"]
mod tests;
