//! The rules on lost requests and duplicates, checked on what the endpoints and the platform saw of a play. Messages are
//! named after their class: `payment` must not be repeated, `notice` is keyed by zone, `status` may be repeated.

use crate::duplicating_endpoint::{CallLog, ServedCall};
use crate::{Discovery, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of [`crate::settings`].
pub const CLASSES: [&str; 3] = ["payment", "notice", "status"];
/// What an endpoint answers that has not run a call.
const REFUSED: u16 = 503;
/// What it answers for a message that is over.
const GONE: u16 = 410;
/// A courier that is killed so soon after an answer may not have put on record what that says.
const NOT_ON_RECORD: Duration = Duration::from_millis(50);

/// What is known once a play is over.
pub struct RunRecord {
    pub calls: Vec<ServedCall>,
    /// Messages whose client heard that they are taken on.
    pub taken: BTreeSet<String>,
    /// How messages ended that were not delivered.
    pub notices: BTreeMap<String, String>,
    /// What the couriers logged.
    pub log: Vec<String>,
    /// The kills of couriers.
    pub kills: Vec<CourierKill>,
}

/// The end of a courier's process.
#[derive(Clone, Copy, Debug)]
pub struct CourierKill {
    pub at: Instant,
    /// Since when no write to the state folder had worked; None if writes worked.
    pub folder_failed_since: Option<Instant>,
}

impl CourierKill {
    /// Whether what a courier heard at a moment may be on no record: nothing else outlasts its process.
    fn may_have_erased(&self, heard: Instant) -> bool {
        let recorded_before = self.at - NOT_ON_RECORD;
        let unrecorded_from =
            self.folder_failed_since.map_or(recorded_before, |since| since.min(recorded_before));
        (unrecorded_from..self.at).contains(&heard)
    }
}

/// Waits until all that was taken on has ended, for so long at most.
pub fn wait_for_ends(taken: &BTreeSet<String>, log: &CallLog, discovery: &Discovery, limit: Duration) {
    let end = Instant::now() + limit;
    while Instant::now() < end && !unended(taken, log, discovery).is_empty() {
        thread::sleep(20 * MS);
    }
}

/// Messages that were taken on and have neither been delivered nor ended by a notice.
fn unended(taken: &BTreeSet<String>, log: &CallLog, discovery: &Discovery) -> Vec<String> {
    let calls = log.lock().expect("the log");
    let delivered = delivered(&calls);
    let open = taken.iter().filter(|id| !delivered.contains(id) && discovery.results(id).is_empty());
    open.cloned().collect()
}

/// Messages that their endpoints count as delivered or over.
fn delivered(calls: &[ServedCall]) -> BTreeSet<&String> {
    calls.iter().filter(|c| matches!(c.status, Some(200 | GONE))).map(|c| &c.id).collect()
}

impl RunRecord {
    /// Gathers it once nothing changes any more.
    pub fn new(taken: BTreeSet<String>, calls: &CallLog, discovery: &Discovery, log: Vec<String>) -> Self {
        let notice = |id: &String| Some((id.clone(), discovery.results(id).first()?.clone()));
        let notices = taken.iter().filter_map(notice).collect();
        let calls = calls.lock().expect("the log").clone();
        RunRecord { calls, taken, notices, log, kills: Vec::new() }
    }

    /// Its size, for the test's output.
    pub fn summary(&self) -> String {
        let repeated = self.log.iter().filter(|line| line.contains("repeats an earlier one")).count();
        let (taken, calls, notices) = (self.taken.len(), self.calls.len(), self.notices.len());
        format!("{taken} taken, {calls} calls, {notices} notices, {repeated} repeated answers")
    }

    /// The calls of each message of a class, in order of arrival.
    fn of(&self, class: &str) -> BTreeMap<&str, Vec<&ServedCall>> {
        let mut all: BTreeMap<&str, Vec<&ServedCall>> = BTreeMap::new();
        for call in self.calls.iter().filter(|c| c.id.starts_with(class)) {
            all.entry(&call.id).or_default().push(call);
        }
        all
    }

    /// What the couriers say of a message and of themselves, and what its endpoints saw.
    fn account(&self, id: &str) -> String {
        let log =
            self.log.iter().filter(|line| !line.starts_with("follow ") || line.contains(&format!(" {id} ")));
        let calls = self.calls.iter().filter(|c| c.id == id);
        let calls = calls.map(|c| {
            let took = c.ended.map(|end| end - c.arrived);
            format!("{} connection {}: {:?} after {took:?}", c.endpoint, c.connection, c.status)
        });
        log.cloned().chain(calls).collect::<Vec<_>>().join("\n")
    }

    /// A payment is not sent again once a call of it may have run.
    pub fn assert_payments_run_once(&self) {
        for (id, calls) in self.of("payment") {
            let ran = calls.iter().position(|c| c.status != Some(REFUSED));
            assert!(ran.is_none_or(|n| n + 1 == calls.len()), "{id} was sent again:\n{}", self.account(id));
        }
    }

    /// No message has two attempts out at once.
    pub fn assert_one_attempt_at_once(&self) {
        if let Some(call) = self.calls.iter().find(|call| call.overlaps) {
            panic!("two attempts were out at once:\n{}", self.account(&call.id));
        }
    }

    /// A keyed message goes to no other zone once a call of it may have run.
    pub fn assert_keyed_repeats_stay_in_their_zone(&self) {
        for (id, calls) in self.of("notice") {
            let after: Vec<_> = calls.iter().skip_while(|c| c.status == Some(REFUSED)).collect();
            let strayed = after.iter().any(|c| c.endpoint != after[0].endpoint);
            assert!(!strayed, "{id} may have run in one zone and went to the other:\n{}", self.account(id));
        }
    }

    /// No message is sent again once an endpoint has answered that it is over.
    pub fn assert_none_sent_after_gone(&self) {
        let on_record = |at: Instant| !self.kills.iter().any(|kill| kill.may_have_erased(at));
        for gone in self.calls.iter().filter(|call| call.status == Some(GONE)) {
            let Some(at) = gone.ended.filter(|at| on_record(*at)) else { continue };
            let again = self.calls.iter().any(|call| call.id == gone.id && call.arrived > at);
            assert!(!again, "{} was over and was sent again:\n{}", gone.id, self.account(&gone.id));
        }
    }

    /// Each message that was taken on is delivered or ended by a notice.
    pub fn assert_none_lost(&self) {
        let delivered = delivered(&self.calls);
        let ended = |id: &String| delivered.contains(id) || self.notices.contains_key(id);
        let lost: Vec<_> = self.taken.iter().filter(|id| !ended(id)).collect();
        let first = lost.first().map(|id| self.account(id)).unwrap_or_default();
        assert!(lost.is_empty(), "{} were lost; the first:\n{first}", lost.len());
    }

    /// All of these rules.
    pub fn assert_rules(&self) {
        self.assert_payments_run_once();
        self.assert_one_attempt_at_once();
        self.assert_keyed_repeats_stay_in_their_zone();
        self.assert_none_lost();
        self.assert_none_sent_after_gone();
    }
}
