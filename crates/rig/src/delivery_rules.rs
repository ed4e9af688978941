//! Checks the rules on lost and duplicate messages against what the endpoints and the platform recorded
//! during a test run. Message ids start with their class: `payment` has the effect `once`, `notice` is keyed
//! by zone, `status` is repeatable.

use crate::duplicating_endpoint::{CallLog, ServedCall};
use crate::{Discovery, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of [`crate::settings`].
pub const CLASSES: [&str; 3] = ["payment", "notice", "status"];
/// Status with which an endpoint says that it has not run a call.
const REFUSED: u16 = 503;
/// Status with which an endpoint says that the message is over.
const GONE: u16 = 410;
/// A courier that is killed within this time after a response may not have journaled it.
const JOURNAL_DELAY: Duration = Duration::from_millis(50);

/// What was recorded during a test run.
pub struct RunRecord {
    pub calls: Vec<ServedCall>,
    /// Ids of messages that the courier answered as accepted.
    pub taken: BTreeSet<String>,
    /// Results of messages that ended by a notice, by id.
    pub notices: BTreeMap<String, String>,
    /// Log lines of the couriers.
    pub log: Vec<String>,
    /// When couriers were killed.
    pub kills: Vec<CourierKill>,
}

/// A kill of a courier's process.
#[derive(Clone, Copy, Debug)]
pub struct CourierKill {
    pub at: Instant,
    /// Since when no write to the state folder had succeeded; None if writes succeeded.
    pub folder_failed_since: Option<Instant>,
}

impl CourierKill {
    /// Whether a response that the courier received at this time may be missing from the journal, which is
    /// all that outlives the process.
    fn may_have_lost(&self, received: Instant) -> bool {
        let recorded_before = self.at - JOURNAL_DELAY;
        let unrecorded_from =
            self.folder_failed_since.map_or(recorded_before, |since| since.min(recorded_before));
        (unrecorded_from..self.at).contains(&received)
    }
}

/// Waits until all accepted messages have ended, but no longer than `limit`.
pub fn wait_for_ends(accepted: &BTreeSet<String>, log: &CallLog, discovery: &Discovery, limit: Duration) {
    let end = Instant::now() + limit;
    while Instant::now() < end && !unended(accepted, log, discovery).is_empty() {
        thread::sleep(20 * MS);
    }
}

/// Returns accepted messages that have neither been delivered nor ended by a notice.
fn unended(accepted: &BTreeSet<String>, log: &CallLog, discovery: &Discovery) -> Vec<String> {
    let calls = log.lock().expect("the log");
    let delivered = delivered(&calls);
    let open = accepted.iter().filter(|id| !delivered.contains(id) && discovery.results(id).is_empty());
    open.cloned().collect()
}

/// Returns messages that an endpoint answered with 200 or 410.
fn delivered(calls: &[ServedCall]) -> BTreeSet<&String> {
    calls.iter().filter(|c| matches!(c.status, Some(200 | GONE))).map(|c| &c.id).collect()
}

impl RunRecord {
    /// Collects the records after the run.
    pub fn new(taken: BTreeSet<String>, calls: &CallLog, discovery: &Discovery, log: Vec<String>) -> Self {
        let notice = |id: &String| Some((id.clone(), discovery.results(id).first()?.clone()));
        let notices = taken.iter().filter_map(notice).collect();
        let calls = calls.lock().expect("the log").clone();
        RunRecord { calls, taken, notices, log, kills: Vec::new() }
    }

    /// Returns the counts of the run for the test's output.
    pub fn summary(&self) -> String {
        let repeated = self.log.iter().filter(|line| line.contains("repeats an earlier one")).count();
        let (taken, calls, notices) = (self.taken.len(), self.calls.len(), self.notices.len());
        format!("{taken} accepted, {calls} calls, {notices} notices, {repeated} repeated answers")
    }

    /// Returns the calls of each message of a class, in order of arrival.
    fn calls_by_message(&self, class: &str) -> BTreeMap<&str, Vec<&ServedCall>> {
        let mut all: BTreeMap<&str, Vec<&ServedCall>> = BTreeMap::new();
        for call in self.calls.iter().filter(|c| c.id.starts_with(class)) {
            all.entry(&call.id).or_default().push(call);
        }
        all
    }

    /// Returns the couriers' log, filtered to one message and general lines, and the message's calls.
    fn message_history(&self, id: &str) -> String {
        let log =
            self.log.iter().filter(|line| !line.starts_with("follow ") || line.contains(&format!(" {id} ")));
        let calls = self.calls.iter().filter(|c| c.id == id);
        let calls = calls.map(|c| {
            let took = c.ended.map(|end| end - c.arrived);
            format!("{} connection {}: {:?} after {took:?}", c.endpoint, c.connection, c.status)
        });
        log.cloned().chain(calls).collect::<Vec<_>>().join("\n")
    }

    /// Asserts that a payment is not sent again once a call of it may have run.
    pub fn assert_payments_run_once(&self) {
        for (id, calls) in self.calls_by_message("payment") {
            let ran = calls.iter().position(|c| c.status != Some(REFUSED));
            assert!(
                ran.is_none_or(|n| n + 1 == calls.len()),
                "{id} was sent again:\n{}",
                self.message_history(id)
            );
        }
    }

    /// Asserts that no message has two attempts in flight at once.
    pub fn assert_one_attempt_at_once(&self) {
        if let Some(call) = self.calls.iter().find(|call| call.overlaps) {
            panic!("two attempts were in flight at once:\n{}", self.message_history(&call.id));
        }
    }

    /// Asserts that a keyed message is not sent to another zone once a call of it may have run.
    pub fn assert_keyed_repeats_stay_in_their_zone(&self) {
        for (id, calls) in self.calls_by_message("notice") {
            let after: Vec<_> = calls.iter().skip_while(|c| c.status == Some(REFUSED)).collect();
            let changed_zone = after.iter().any(|c| c.endpoint != after[0].endpoint);
            assert!(
                !changed_zone,
                "{id} may have run in one zone and was sent to the other:\n{}",
                self.message_history(id)
            );
        }
    }

    /// Asserts that no message is sent again once an endpoint has answered 410.
    pub fn assert_none_sent_after_gone(&self) {
        let journaled = |at: Instant| !self.kills.iter().any(|kill| kill.may_have_lost(at));
        for gone in self.calls.iter().filter(|call| call.status == Some(GONE)) {
            let Some(at) = gone.ended.filter(|at| journaled(*at)) else { continue };
            let again = self.calls.iter().any(|call| call.id == gone.id && call.arrived > at);
            assert!(!again, "{} was over and was sent again:\n{}", gone.id, self.message_history(&gone.id));
        }
    }

    /// Asserts that each accepted message is delivered or ended by a notice.
    pub fn assert_none_lost(&self) {
        let delivered = delivered(&self.calls);
        let ended = |id: &String| delivered.contains(id) || self.notices.contains_key(id);
        let lost: Vec<_> = self.taken.iter().filter(|id| !ended(id)).collect();
        let first = lost.first().map(|id| self.message_history(id)).unwrap_or_default();
        assert!(lost.is_empty(), "{} were lost; the first:\n{first}", lost.len());
    }

    /// Asserts all rules above.
    pub fn assert_rules(&self) {
        self.assert_payments_run_once();
        self.assert_one_attempt_at_once();
        self.assert_keyed_repeats_stay_in_their_zone();
        self.assert_none_lost();
        self.assert_none_sent_after_gone();
    }
}
