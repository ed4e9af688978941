//! Memory caps by purpose: the operator's shares and sizes, validated together.

use crate::purpose::{ByPurpose, Purpose};
use std::fmt;

/// Memory that the program takes beside all purposes, in bytes: mapped code and tables, stacks, the runtime
/// and free memory of the allocator. An idle courier has 5 to 7 MB resident.
pub const PROGRAM_BYTES: u64 = 8_000_000;

/// A cap as set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapSetting {
    /// Fraction of the total less [`PROGRAM_BYTES`], above 0 and at most 1.
    Share(f64),
    /// Bytes.
    Size(u64),
}

/// Why one cap, or all caps together, are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CapError {
    #[error("{least} at least, for {needs}", least = Bytes(*least))]
    TooSmall { purpose: Purpose, least: u64, needs: &'static str },
    #[error("a share is above 0 and 1 at most")]
    InvalidShare { purpose: Purpose },
    #[error("a share needs memory.total to be a share of; state a size, or the total")]
    ShareWithoutTotal { purpose: Purpose },
    #[error(
        "the caps come to {sum}, and {room} are left beside the {program} for the program itself: raise the \
         total by {more}, or lower caps; the largest are {largest}",
        sum = Bytes(*sum), room = Bytes(*room), program = Bytes(PROGRAM_BYTES), more = Bytes(sum - room)
    )]
    ExceedsTotal { sum: u64, room: u64, largest: String },
    #[error("{least} at least: what the program and the least caps take", least = Bytes(*least))]
    TotalTooSmall { least: u64 },
}

impl CapError {
    /// The purpose whose cap is invalid; None if the total or the sum is.
    pub fn purpose(&self) -> Option<Purpose> {
        match self {
            CapError::TooSmall { purpose, .. }
            | CapError::InvalidShare { purpose }
            | CapError::ShareWithoutTotal { purpose } => Some(*purpose),
            CapError::ExceedsTotal { .. } | CapError::TotalTooSmall { .. } => None,
        }
    }
}

/// Displays a number of bytes with a decimal unit (kB = 1,000 bytes).
#[derive(Clone, Copy, Debug)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            u64::MAX => f.pad("-"),
            n if n >= 10_000_000 => f.pad(&format!("{:.0} MB", n as f64 / 1e6)),
            n if n >= 1_000_000 => f.pad(&format!("{:.1} MB", n as f64 / 1e6)),
            n if n >= 1_000 => f.pad(&format!("{:.0} kB", n as f64 / 1e3)),
            n => f.pad(&format!("{n} B")),
        }
    }
}

/// Caps in bytes; `u64::MAX` means no cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caps {
    /// Limit on the memory of the process, in bytes; None for no limit.
    pub total: Option<u64>,
    pub of: ByPurpose<u64>,
}

impl Caps {
    /// Caps that limit nothing.
    pub fn none() -> Caps {
        Caps { total: None, of: ByPurpose::new(|_| u64::MAX) }
    }

    /// The default share of a purpose in thousandths; together they make 1,000. Bodies and messages get the
    /// most, since they grow with the load; the rest is bounded by limits on counts, and the caps are a
    /// second line of defence.
    pub const fn default_permille(purpose: Purpose) -> u64 {
        match purpose {
            Purpose::BodiesRead => 125,
            Purpose::BodiesHeld => 280,
            Purpose::Messages => 150,
            Purpose::Clients => 100,
            Purpose::Endpoints => 80,
            Purpose::Sessions => 80,
            Purpose::Remembered => 45,
            Purpose::Journal => 40,
            Purpose::Module => 35,
            Purpose::Configuration => 40,
            Purpose::Notices => 25,
        }
    }

    /// The smallest cap in bytes that a courier can work with, and what it is enough for.
    pub const fn minimum(purpose: Purpose) -> (u64, &'static str) {
        match purpose {
            Purpose::BodiesRead | Purpose::BodiesHeld => (64 * 1024, "one body of 64 KiB"),
            Purpose::Messages => (64_000, "some 20 messages"),
            Purpose::Clients => (128_000, "a few connections"),
            Purpose::Endpoints => (128_000, "a few connections"),
            Purpose::Sessions => (16_000, "a few sessions"),
            Purpose::Remembered => (16_000, "some 50 messages"),
            Purpose::Journal => (256_000, "the records of one turn"),
            Purpose::Module => (16_000, "a few endpoints"),
            Purpose::Configuration => (64_000, "a small file"),
            Purpose::Notices => (8_000, "some 50 notices"),
        }
    }

    /// The smallest total whose default shares satisfy every minimum.
    pub fn min_total() -> u64 {
        // Shares are rounded down.
        let total_for = |p: Purpose| (Caps::minimum(p).0 + 1) * 1000 / Caps::default_permille(p) + 1;
        PROGRAM_BYTES + Purpose::ALL.into_iter().map(total_for).max().unwrap_or_default()
    }

    /// Caps from the settings. A purpose without a setting gets its default share of the total, or no cap
    /// without a total.
    ///
    /// # Errors
    /// All errors found. A total that is too small is returned alone.
    pub fn new(total: Option<u64>, settings: &ByPurpose<Option<CapSetting>>) -> Result<Caps, Vec<CapError>> {
        let mut errors = Vec::new();
        if let Some(total) = total
            && total < Caps::min_total()
        {
            return Err(vec![CapError::TotalTooSmall { least: Caps::min_total() }]);
        }
        let room = total.map(|total| total - PROGRAM_BYTES);
        let of = ByPurpose::new(|purpose| {
            let share = |share: f64| room.map(|room| (room as f64 * share) as u64);
            let cap = match settings[purpose] {
                None => share(Caps::default_permille(purpose) as f64 / 1000.0).unwrap_or(u64::MAX),
                Some(CapSetting::Size(bytes)) => bytes,
                Some(CapSetting::Share(s)) if !(s > 0.0 && s <= 1.0) => {
                    errors.push(CapError::InvalidShare { purpose });
                    return u64::MAX;
                }
                Some(CapSetting::Share(s)) => share(s).unwrap_or_else(|| {
                    errors.push(CapError::ShareWithoutTotal { purpose });
                    u64::MAX
                }),
            };
            let (least, needs) = Caps::minimum(purpose);
            if cap < least {
                errors.push(CapError::TooSmall { purpose, least, needs });
            }
            cap
        });
        if let Some(room) = room
            && errors.is_empty()
        {
            let sum = of.iter().fold(0u64, |sum, (_, cap)| sum.saturating_add(*cap));
            if sum > room {
                let mut all: Vec<(u64, Purpose)> = of.iter().map(|(p, cap)| (*cap, p)).collect();
                all.sort_unstable_by(|a, b| b.cmp(a));
                let largest: Vec<String> =
                    all.iter().take(3).map(|(cap, p)| format!("{p} with {}", Bytes(*cap))).collect();
                errors.push(CapError::ExceedsTotal { sum, room, largest: largest.join(", ") });
            }
        }
        if errors.is_empty() { Ok(Caps { total, of }) } else { Err(errors) }
    }
}

#[cfg(test)]
#[path = "caps_test.rs"]
mod tests;
