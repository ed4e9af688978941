//! State and counters of the watch on discovery, for `--follow` lines and the admin pages.

use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Status of the watch, written by the watch and read by reports.
#[derive(Default)]
pub struct WatchStatus(RefCell<Inner>);

#[derive(Default)]
struct Inner {
    is_open: bool,
    version: u64,
    /// Time of the last complete line from discovery, empty ones included.
    last_line: Option<Instant>,
    calls: u64,
    answered_calls: u64,
    failures: BTreeMap<&'static str, u64>,
    last_failure: Option<String>,
    lease_expires: Option<Instant>,
}

impl WatchStatus {
    /// Counts a call to discovery that starts.
    pub fn call_started(&self) {
        self.0.borrow_mut().calls += 1;
    }

    /// Records a complete line; `version` is the version of the list after it.
    pub fn line_read(&self, version: u64) {
        let mut inner = self.0.borrow_mut();
        inner.answered_calls += u64::from(!inner.is_open);
        (inner.is_open, inner.version, inner.last_line) = (true, version, Some(Instant::now()));
    }

    /// Records the end of a call or watch: counts `kind` and keeps `reason` as the latest.
    pub fn call_ended(&self, kind: &'static str, reason: &str) {
        let mut inner = self.0.borrow_mut();
        inner.is_open = false;
        *inner.failures.entry(kind).or_default() += 1;
        inner.last_failure = Some(reason.to_owned());
    }

    /// Sets until when the list may be acted on; None for no limit.
    pub fn set_lease(&self, expires: Option<Instant>) {
        self.0.borrow_mut().lease_expires = expires;
    }

    /// Version of the list, 0 before the first line.
    pub fn version(&self) -> u64 {
        self.0.borrow().version
    }

    /// Time since the last line from discovery in this process; None before the first.
    pub fn last_line_age(&self) -> Option<Duration> {
        self.0.borrow().last_line.map(|at| at.elapsed())
    }

    /// Content of the page `/-/discovery`; times are in seconds.
    pub fn to_json(&self) -> Value {
        let last_line_age = self.last_line_age().map(|s| s.as_secs_f64());
        let inner = self.0.borrow();
        let lease_remaining =
            inner.lease_expires.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        json!({
            "list_valid_for_s": lease_remaining,
            "watch_open": inner.is_open,
            "version": inner.version,
            "last_line_s_ago": last_line_age,
            "calls": inner.calls,
            "answered_calls": inner.answered_calls,
            "ended_by": inner.failures,
            "last_end": inner.last_failure,
        })
    }
}
