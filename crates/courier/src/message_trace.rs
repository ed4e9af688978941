//! Traces messages selected by their client-assigned ids: writes a line to standard error for each step. Off
//! by default and limited in lines per second. Of the courier it depends on the log alone, and it changes no
//! decision.

use stairshed_clock::TimeOfDay;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::fmt::{Arguments, Display};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::sync::OnceLock;

/// Maximum number of lines per second: the trace must not fill the disk or delay messages.
const MAX_LINES_PER_SECOND: u32 = 2000;
/// Maximum number of ids in a filter.
const MAX_IDS: usize = 1024;

/// Selects the messages to trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceFilter {
    /// Messages with these ids.
    Ids(BTreeSet<String>),
    /// One message in this many, selected by a hash of the id, so that all couriers select the same ones.
    OneIn(u64),
}

/// Why a text is not a valid filter.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum TraceFilterError {
    #[error("`1/{0}` is not a valid share: use 1/1 for every message, 1/100 for one in a hundred")]
    InvalidShare(String),
    #[error("no ids given: use ids separated by commas, or a share such as 1/100")]
    NoIds,
    #[error("{0} ids are too many: use at most {MAX_IDS}, or a share such as 1/100")]
    TooManyIds(usize),
}

impl FromStr for TraceFilter {
    type Err = TraceFilterError;

    fn from_str(text: &str) -> Result<Self, TraceFilterError> {
        if let Some(share) = text.strip_prefix("1/") {
            let one_in = share.parse().ok().filter(|n| *n > 0);
            return one_in
                .map(TraceFilter::OneIn)
                .ok_or_else(|| TraceFilterError::InvalidShare(share.to_owned()));
        }
        let ids: BTreeSet<_> =
            text.split(',').map(str::trim).filter(|id| !id.is_empty()).map(str::to_owned).collect();
        match ids.len() {
            0 => Err(TraceFilterError::NoIds),
            n if n > MAX_IDS => Err(TraceFilterError::TooManyIds(n)),
            _ => Ok(TraceFilter::Ids(ids)),
        }
    }
}

impl TraceFilter {
    fn matches(&self, id: &str) -> bool {
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

static FILTER: OnceLock<TraceFilter> = OnceLock::new();

thread_local! {
    /// The current second, the lines in it, and the number of those that were dropped.
    static LINE_COUNT: Cell<(u64, u32, u64)> = const { Cell::new((0, 0, 0)) };
}

/// Traces the selected messages until the process ends. Calls after the first have no effect.
pub fn enable_tracing(filter: TraceFilter) {
    let _ = FILTER.set(filter);
}

/// Counts a line. Returns None if it exceeds the limit of this second; otherwise the number of lines dropped
/// in the previous counted second, if this line is the first of a new one, or 0.
fn admit_line(second: u64, line_count: &Cell<(u64, u32, u64)>) -> Option<u64> {
    let (before, lines, dropped) = line_count.get();
    if before != second {
        line_count.set((second, 1, 0));
        return Some(dropped);
    }
    let admitted = lines < MAX_LINES_PER_SECOND;
    line_count.set((second, lines.saturating_add(1), dropped + u64::from(!admitted)));
    admitted.then_some(0)
}

/// Writes a step of a message if the message is traced: `follow`, Unix time in seconds, its id, what
/// happened.
pub fn log_step(id: &str, what: Arguments) {
    if FILTER.get().is_some_and(|filter| filter.matches(id)) {
        write(id, what);
    }
}

#[cold]
fn write(id: impl Display, what: Arguments) {
    let now = TimeOfDay::now().as_unix();
    let Some(dropped) = LINE_COUNT.with(|count| admit_line(now.as_secs(), count)) else { return };
    if dropped > 0 {
        log_line!("follow: {dropped} lines dropped, more than {MAX_LINES_PER_SECOND} a second");
    }
    log_line!("follow {:.3} {id} {what}", now.as_secs_f64());
}

#[cfg(test)]
#[path = "message_trace_test.rs"]
mod tests;
