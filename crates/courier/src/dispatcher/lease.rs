//! The lease on the list of endpoints, between the watch that renews it and the decision module that keeps it: what a
//! start knows of the list's age, what renews the lease, and what the connections and the log learn of it.

use super::Dispatcher;
use crate::discovery::list_age::ListAge;
use stairshed_decide::interface::Event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Taken as the age of a list that comes with the configuration of a first start.
const ASSUMED_FIRST_AGE: Duration = Duration::from_secs(1);
/// What a new discovery has counts as told this long after SIGHUP (protocol page).
const MOVED_TERM: Duration = Duration::from_secs(4);
/// Of a pushed list while no watch is open; within the grace that the rule on drains gives.
const UNWATCHED_TERM: Duration = Duration::from_millis(500);

/// Longer than a list is ever acted on.
const BEFORE_START: Duration = Duration::from_secs(60);

/// Where the clock of the decision module begins: before the start, so that it can tell how old a list is that an
/// earlier life has left.
pub(super) fn clock_origin() -> Instant {
    let now = Instant::now();
    now.checked_sub(BEFORE_START).unwrap_or(now)
}

impl Dispatcher {
    /// The list that the start was given is as old as discovery's last word to an earlier life. Where that is not
    /// known, messages are held until discovery has answered.
    pub(super) fn resume_lease(&mut self) {
        // What is pushed counts as told from the first moment of a process, so there is nothing to resume.
        let file = self.setup.list_age.as_ref().filter(|_| !self.lists_are_pushed());
        let Some((file, discovery)) = file.zip(self.setup.discovery) else { return };
        let ago = match file.load(discovery) {
            ListAge::Known(ago) => ago,
            ListAge::Unrecorded if self.journal.last() == 0 => ASSUMED_FIRST_AGE,
            ListAge::Unrecorded | ListAge::Unknown => {
                eprintln!(
                    "discovery: the age of the list is not known; nothing is sent until discovery answers"
                );
                self.members.list_unknown = true;
                return;
            }
        };
        if let Some(as_of) = Instant::now().checked_sub(ago) {
            self.list_current_as_of(as_of);
        }
    }

    /// Discovery has written a whole line: what is listed here is all that it had to tell by then.
    pub(super) fn discovery_heard(&mut self, discovery: SocketAddr, at: Instant) {
        if self.setup.discovery != Some(discovery) {
            return;
        }
        self.list_current_as_of(at);
        if let Some(Err(e)) = self.setup.list_age.as_ref().map(|file| file.save(discovery)) {
            // The next start takes the list for older than it is.
            self.members.report_list_age_error(&e);
        }
    }

    /// The watch has ended. What is pushed counts as told also while none is open.
    pub(super) fn watch_lost(&mut self, discovery: SocketAddr) {
        if self.setup.discovery == Some(discovery) && self.lists_are_pushed() {
            self.limit_list(UNWATCHED_TERM);
        }
    }

    /// Whether discovery tells of changes without being asked, as the platform's settings may have it.
    pub(super) fn lists_are_pushed(&self) -> bool {
        self.setup.installation.is_none() && !self.setup.settings.subscription_required
    }

    /// Discovery could not be reached since then, and so could not tell of a change.
    pub(super) fn discovery_unreachable(&mut self, discovery: SocketAddr, since: Instant) {
        if self.setup.discovery == Some(discovery) {
            self.list_current_as_of(since);
        }
    }

    /// Discovery is elsewhere from now on; the old one's word does not hold for long.
    pub(super) fn discovery_moved(&mut self) {
        self.limit_list(MOVED_TERM);
    }

    /// The module hears of the moment, not of an age: the process may be stopped before its next turn.
    fn list_current_as_of(&mut self, at: Instant) {
        // What is older than the clock has run out of date.
        if let Some(as_of) = at.checked_duration_since(self.origin) {
            self.events.push(Event::MembershipCurrent { as_of });
        }
    }

    fn limit_list(&mut self, term: Duration) {
        let until = Instant::now().duration_since(self.origin) + term;
        self.events.push(Event::MembershipLimited { until });
    }

    /// Tells the connections, the pages and the log until when the list may be acted on.
    pub(super) fn apply_lease(&mut self, now: Instant) {
        let expires = self.scheduler.membership_expires_at().map(|at| self.origin + at);
        self.out.calls.set_list_valid_until(expires);
        self.setup.watch_status.set_lease(expires);
        let expired = expires.is_some_and(|at| at <= now);
        let stale = expired && !self.out.held.is_empty() && self.members.has_listed();
        match (self.members.list_stale_since, stale) {
            (None, true) => {
                eprintln!(
                    "discovery: the list may be out of date; messages are held until discovery answers"
                );
                self.members.list_stale_since = Some(now);
            }
            (Some(since), false) => {
                let held = now.duration_since(since).as_secs_f64();
                eprintln!("discovery: the list is current again, after {held:.2} s");
                self.members.list_stale_since = None;
            }
            _ => {}
        }
    }
}
