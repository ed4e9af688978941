//! State and counters of the watch on discovery, for the log of attempts and the operator's pages.

use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Shared by the watch, which writes it, and whoever reports it.
#[derive(Default)]
pub struct WatchStatus(RefCell<Inner>);

#[derive(Default)]
struct Inner {
    is_open: bool,
    version: u64,
    /// When discovery last wrote a whole line, empty ones included.
    last_line: Option<Instant>,
    calls: u64,
    answered_calls: u64,
    failures: BTreeMap<&'static str, u64>,
    last_failure: Option<String>,
    lease_expires: Option<Instant>,
}

impl WatchStatus {
    /// A call to discovery begins.
    pub fn call_started(&self) {
        self.0.borrow_mut().calls += 1;
    }

    /// A whole line of the watch was read; `version` is the list's version after it.
    pub fn line_read(&self, version: u64) {
        let mut inner = self.0.borrow_mut();
        inner.answered_calls += u64::from(!inner.is_open);
        (inner.is_open, inner.version, inner.last_line) = (true, version, Some(Instant::now()));
    }

    /// The call or the watch ended; `kind` is counted, `reason` is kept as the latest.
    pub fn call_ended(&self, kind: &'static str, reason: &str) {
        let mut inner = self.0.borrow_mut();
        inner.is_open = false;
        *inner.failures.entry(kind).or_default() += 1;
        inner.last_failure = Some(reason.to_owned());
    }

    /// Until when the list may be acted on; None for good.
    pub fn set_lease(&self, expires: Option<Instant>) {
        self.0.borrow_mut().lease_expires = expires;
    }

    /// The list's version, 0 before the first line.
    pub fn version(&self) -> u64 {
        self.0.borrow().version
    }

    /// How long ago discovery last wrote a line to this process; None if it never did.
    pub fn last_line_age(&self) -> Option<Duration> {
        self.0.borrow().last_line.map(|at| at.elapsed())
    }

    /// The page `/-/discovery`. Times are in seconds.
    pub fn to_json(&self) -> Value {
        let last_line_age = self.last_line_age().map(|s| s.as_secs_f64());
        let inner = self.0.borrow();
        let lease_left =
            inner.lease_expires.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        json!({
            "list_valid_for_s": lease_left,
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
