//! How near a purpose is to its cap, with hysteresis: one that hovers about a mark must not log a line each time.

use crate::purpose::Purpose;
use serde::Serialize;
use std::fmt;

/// How much of a cap is in use or reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    #[default]
    Ample,
    /// Caches shrink, and no client gets more than its share.
    Tight,
    /// What is new is refused, or soon will be.
    Full,
}

/// Share of the cap from which a purpose is tight, and under which it is ample again.
pub const TIGHT_THRESHOLDS: (f64, f64) = (0.75, 0.65);
/// Share of the cap from which a purpose is full, and under which it is only tight again.
pub const FULL_THRESHOLDS: (f64, f64) = (0.95, 0.85);

impl Level {
    /// The level after this one, for a share of the cap in use.
    pub fn next(self, share: f64) -> Level {
        let at = |(from, under): (f64, f64), holds: bool| share >= if holds { under } else { from };
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

/// A purpose has another level. Its text is the log's line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelChange {
    /// None: the process as a whole.
    pub purpose: Option<Purpose>,
    pub before: Level,
    pub now: Level,
    pub held: u64,
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
