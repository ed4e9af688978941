//! Follows messages by the ids that their clients gave them: a line on standard error for each step of one. Off unless
//! asked for, and then bounded by the second. It lies below all other parts and decides nothing.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fmt::{Arguments, Display};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::str::FromStr;
use std::sync::OnceLock;

/// Lines a second at most: a log must not fill a disk, nor its writing hold up the messages.
const LINES_MOST: u32 = 2000;
/// Ids that can be named at once.
const IDS_MOST: usize = 1024;

/// Which messages are followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceFilter {
    /// Those with these ids.
    Ids(BTreeSet<String>),
    /// One in so many, drawn by the id: the same ones at every courier.
    OneIn(u64),
}

/// What cannot be followed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum TraceFilterError {
    #[error("`1/{0}` names no share: give 1/1 for every message, 1/100 for one in a hundred")]
    Share(String),
    #[error("no id is named: give ids with commas between them, or a share such as 1/100")]
    Empty,
    #[error("{0} ids are too many: {IDS_MOST} can be named, or a share such as 1/100")]
    Many(usize),
}

impl FromStr for TraceFilter {
    type Err = TraceFilterError;

    fn from_str(text: &str) -> Result<Self, TraceFilterError> {
        if let Some(share) = text.strip_prefix("1/") {
            let one_in = share.parse().ok().filter(|n| *n > 0);
            return one_in.map(TraceFilter::OneIn).ok_or_else(|| TraceFilterError::Share(share.to_owned()));
        }
        let ids: BTreeSet<_> =
            text.split(',').map(str::trim).filter(|id| !id.is_empty()).map(str::to_owned).collect();
        match ids.len() {
            0 => Err(TraceFilterError::Empty),
            n if n > IDS_MOST => Err(TraceFilterError::Many(n)),
            _ => Ok(TraceFilter::Ids(ids)),
        }
    }
}

impl TraceFilter {
    fn has(&self, id: &str) -> bool {
        match self {
            TraceFilter::Ids(ids) => ids.contains(id),
            TraceFilter::OneIn(1) => true,
            TraceFilter::OneIn(n) => {
                let mut hasher = DefaultHasher::new();
                id.hash(&mut hasher);
                hasher.finish().is_multiple_of(*n)
            }
        }
    }
}

static FOLLOWED: OnceLock<TraceFilter> = OnceLock::new();

thread_local! {
    /// The second, the lines in it, and those that were not written.
    static WRITTEN: Cell<(u64, u32, u64)> = const { Cell::new((0, 0, 0)) };
}

/// Follows these from now on, till the process ends. The first call counts.
pub fn enable_tracing(followed: TraceFilter) {
    let _ = FOLLOWED.set(followed);
}

/// Whether one more line may be written in this second, and how many were not in the one before.
fn allowed(second: u64, written: &Cell<(u64, u32, u64)>) -> Option<u64> {
    let (before, lines, dropped) = written.get();
    if before != second {
        written.set((second, 1, 0));
        return Some(dropped);
    }
    let allowed = lines < LINES_MOST;
    written.set((second, lines.saturating_add(1), dropped + u64::from(!allowed)));
    allowed.then_some(0)
}

/// Writes a step of a message, if it is followed: `follow`, Unix time in s, its id, what happened.
pub fn log_step(id: &str, what: Arguments) {
    if FOLLOWED.get().is_some_and(|f| f.has(id)) {
        write(id, what);
    }
}

#[cold]
fn write(id: impl Display, what: Arguments) {
    let now = crate::clock::unix_time();
    let Some(dropped) = WRITTEN.with(|w| allowed(now.as_secs(), w)) else { return };
    let mut out = std::io::stderr().lock();
    // A log that cannot be written to is no reason to stop.
    if dropped > 0 {
        let _ = writeln!(out, "follow: {dropped} lines dropped, more than {LINES_MOST} a second");
    }
    let _ = writeln!(out, "follow {:.3} {id} {what}", now.as_secs_f64());
}

#[cfg(test)]
#[path = "message_trace_test.rs"]
mod tests;
