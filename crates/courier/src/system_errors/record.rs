//! Counts failed system calls by operation and error number, and logs them: the first one at once, the
//! following ones as a number per interval.

use super::errno::Errno;
use super::policy::{Operation, Policy, policy};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval in which repeated errors make one line of the log.
pub const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between checks whether a line is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The failures of one operation with one error number.
struct Entry {
    count: u64,
    last: Instant,
    /// When the last line was logged, and how many failures there were since.
    logged: Instant,
    unlogged: u64,
}

impl Entry {
    /// The line for the failures since the last one, if it is due.
    fn take_line(&mut self, key: Key, now: Instant) -> Option<String> {
        if self.unlogged == 0 || now - self.logged < LOG_INTERVAL {
            return None;
        }
        let (operation, errno) = key;
        let seconds = LOG_INTERVAL.as_secs();
        let line = format!("system: {}: {errno}: {} more in {seconds} s", operation.name(), self.unlogged);
        (self.logged, self.unlogged) = (now, 0);
        Some(line)
    }
}

type Key = (Operation, Errno);

/// All failures of the process.
#[derive(Default)]
pub struct ErrorRecord {
    entries: BTreeMap<Key, Entry>,
}

impl ErrorRecord {
    /// An empty record.
    pub const fn new() -> Self {
        ErrorRecord { entries: BTreeMap::new() }
    }

    /// Counts a failure. Returns the line to log, if one is due.
    pub fn add(&mut self, operation: Operation, error: &io::Error, now: Instant) -> Option<String> {
        let errno = Errno::of(error);
        let entry = self.count(operation, error, now);
        if entry.count > 1 {
            return entry.take_line((operation, errno), now);
        }
        entry.unlogged = 0;
        let policy = policy(operation, errno);
        Some(format!("system: {}: {errno}: {error}; {policy}", operation.name()))
    }

    /// Counts a failure, to be logged with the following ones.
    fn count(&mut self, operation: Operation, error: &io::Error, now: Instant) -> &mut Entry {
        let new = Entry { count: 0, last: now, logged: now, unlogged: 0 };
        let entry = self.entries.entry((operation, Errno::of(error))).or_insert(new);
        entry.count += 1;
        entry.unlogged += 1;
        entry.last = now;
        entry
    }

    /// The lines that are due although nothing more has failed.
    pub fn take_lines(&mut self, now: Instant) -> Vec<String> {
        self.entries.iter_mut().filter_map(|(key, entry)| entry.take_line(*key, now)).collect()
    }

    /// Content of the admin page `/-/machine`.
    pub fn page(&self, now: Instant) -> Value {
        let errors = self.entries.iter().map(|((operation, errno), entry)| {
            json!({
                "operation": operation.name(),
                "errno": errno.to_string(),
                "count": entry.count,
                "seconds_ago": (now - entry.last).as_millis() as f64 / 1000.0,
                "policy": policy(*operation, *errno).to_string(),
            })
        });
        json!({"errors": errors.collect::<Vec<_>>()})
    }
}

/// The record of this process. Calls are made on several threads.
static RECORD: Mutex<ErrorRecord> = Mutex::new(ErrorRecord::new());

fn record() -> MutexGuard<'static, ErrorRecord> {
    RECORD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts and logs a failed call. Returns its policy.
pub fn report(operation: Operation, error: &io::Error) -> Policy {
    let line = record().add(operation, error, Instant::now());
    if let Some(line) = line {
        log_line!("{line}");
    }
    policy_of(operation, error)
}

/// Counts a failed call without logging it at once: the log itself must not write a line for a line that it
/// could not write.
pub fn count_unlogged(operation: Operation, error: &io::Error) {
    record().count(operation, error, Instant::now());
}

/// The policy of a failed call.
pub fn policy_of(operation: Operation, error: &io::Error) -> Policy {
    policy(operation, Errno::of(error))
}

/// Logs the failures that have not been logged yet, once per interval, until it is dropped.
pub async fn log_folded() {
    loop {
        sleep(CHECK_INTERVAL).await;
        let lines = record().take_lines(Instant::now());
        lines.iter().for_each(|line| log_line!("{line}"));
    }
}

/// Content of the admin page `/-/machine`.
pub fn page() -> Value {
    record().page(Instant::now())
}
