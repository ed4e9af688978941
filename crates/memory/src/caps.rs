//! What each purpose may hold at most: an operator's shares and sizes, checked as a whole.

use crate::purpose::{ByPurpose, Purpose};
use std::fmt;

/// What the program itself takes beside all purposes: its text and tables as far as they are mapped, stacks, the
/// runtime, what the allocator holds in reserve. Measured: an idle courier has 5 to 7 MB resident.
pub const PROGRAM_BYTES: u64 = 8_000_000;

/// A cap, as an operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapSetting {
    /// Of what the total leaves beside the program, above 0 and 1 at most.
    Share(f64),
    /// Bytes.
    Size(u64),
}

/// What is wrong with one cap, or with all together.
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
    /// Whose cap is wrong; None for the total.
    pub fn purpose(&self) -> Option<Purpose> {
        match self {
            CapError::TooSmall { purpose, .. }
            | CapError::InvalidShare { purpose }
            | CapError::ShareWithoutTotal { purpose } => Some(*purpose),
            CapError::ExceedsTotal { .. } | CapError::TotalTooSmall { .. } => None,
        }
    }
}

/// Bytes, for people: in units of 1,000.
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

/// What each purpose may hold at most, bytes; u64::MAX is no cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caps {
    /// What the process may hold; None for no bound.
    pub total: Option<u64>,
    pub of: ByPurpose<u64>,
}

impl Caps {
    /// No cap on anything.
    pub fn none() -> Caps {
        Caps { total: None, of: ByPurpose::new(|_| u64::MAX) }
    }

    /// The share that a purpose has where none is stated, in thousandths: they come to 1,000. Bodies and messages are
    /// what a busy morning is made of; the rest is bounded by counts of its own, and its caps stand behind those.
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

    /// With less a courier could not go on, and what that is for.
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

    /// Least total that the usual shares can be made of.
    pub fn min_total() -> u64 {
        // A share is rounded down.
        let of = |p: Purpose| (Caps::minimum(p).0 + 1) * 1000 / Caps::default_permille(p) + 1;
        PROGRAM_BYTES + Purpose::ALL.into_iter().map(of).max().unwrap_or_default()
    }

    /// Caps as an operator asks for them; what is not stated has its usual share of the total, or none without one.
    ///
    /// # Errors
    /// All that is wrong with them.
    pub fn new(total: Option<u64>, asked: &ByPurpose<Option<CapSetting>>) -> Result<Caps, Vec<CapError>> {
        let mut faults = Vec::new();
        if let Some(total) = total
            && total < Caps::min_total()
        {
            return Err(vec![CapError::TotalTooSmall { least: Caps::min_total() }]);
        }
        let room = total.map(|total| total - PROGRAM_BYTES);
        let of = ByPurpose::new(|purpose| {
            let share = |share: f64| room.map(|room| (room as f64 * share) as u64);
            let cap = match asked[purpose] {
                None => share(Caps::default_permille(purpose) as f64 / 1000.0).unwrap_or(u64::MAX),
                Some(CapSetting::Size(bytes)) => bytes,
                Some(CapSetting::Share(s)) if !(s > 0.0 && s <= 1.0) => {
                    faults.push(CapError::InvalidShare { purpose });
                    return u64::MAX;
                }
                Some(CapSetting::Share(s)) => share(s).unwrap_or_else(|| {
                    faults.push(CapError::ShareWithoutTotal { purpose });
                    u64::MAX
                }),
            };
            let (least, needs) = Caps::minimum(purpose);
            if cap < least {
                faults.push(CapError::TooSmall { purpose, least, needs });
            }
            cap
        });
        if let Some(room) = room
            && faults.is_empty()
        {
            let sum = of.iter().fold(0u64, |sum, (_, cap)| sum.saturating_add(*cap));
            if sum > room {
                let mut all: Vec<(u64, Purpose)> = of.iter().map(|(p, cap)| (*cap, p)).collect();
                all.sort_unstable_by(|a, b| b.cmp(a));
                let largest: Vec<String> =
                    all.iter().take(3).map(|(cap, p)| format!("{p} with {}", Bytes(*cap))).collect();
                faults.push(CapError::ExceedsTotal { sum, room, largest: largest.join(", ") });
            }
        }
        if faults.is_empty() { Ok(Caps { total, of }) } else { Err(faults) }
    }
}

#[cfg(test)]
#[path = "caps_test.rs"]
mod tests;
