//! Pressure levels of a purpose, with hysteresis: usage that oscillates around a threshold must not log a
//! line each time.

use crate::purpose::Purpose;
use serde::Serialize;
use std::fmt;

/// Pressure level: how much of a cap is in use or reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    #[default]
    Ample,
    /// Caches shrink, and no client gets more than its share of the cap.
    Tight,
    /// New work is rejected, or soon will be.
    Full,
}

/// Fraction of the cap at which a purpose becomes tight, and below which it is ample again.
pub const TIGHT_THRESHOLDS: (f64, f64) = (0.75, 0.65);
/// Fraction of the cap in use above which no client gets more than its share.
pub const CLIENT_SHARE_THRESHOLD: f64 = TIGHT_THRESHOLDS.1;
/// Fraction of the cap at which a purpose becomes full, and below which it is only tight again.
pub const FULL_THRESHOLDS: (f64, f64) = (0.95, 0.85);

impl Level {
    /// The next level, for the given fraction of the cap in use.
    pub fn next(self, share: f64) -> Level {
        let at = |(enter, leave): (f64, f64), reached: bool| share >= if reached { leave } else { enter };
        match () {
            () if at(FULL_THRESHOLDS, self == Level::Full) => Level::Full,
            () if at(TIGHT_THRESHOLDS, self >= Level::Tight) => Level::Tight,
            () => Level::Ample,
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Level::Ample => "ample",
            Level::Tight => "tight",
            Level::Full => "full",
        })
    }
}

/// A change of level. Its `Display` text is the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelChange {
    /// None for the process as a whole.
    pub purpose: Option<Purpose>,
    pub before: Level,
    pub now: Level,
    /// Bytes in use or reserved.
    pub held: u64,
    /// Bytes.
    pub cap: u64,
}

impl fmt::Display for LevelChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let LevelChange { purpose, before, now, held, cap } = self;
        let name = purpose.map_or("total", Purpose::name);
        let (held, cap) = (crate::caps::Bytes(*held), crate::caps::Bytes(*cap));
        write!(f, "memory: {name} is {now}, was {before}: {held} of {cap}")?;
        match now {
            Level::Full => write!(f, "; new messages that need it are refused until it empties"),
            Level::Tight | Level::Ample => Ok(()),
        }
    }
}

#[cfg(test)]
#[path = "level_test.rs"]
mod tests;
