//! The lease on the endpoint list. The watch on discovery renews it and the scheduler holds it; this
//! module restores it after a restart, passes on renewals, and reports its expiry to the connections and the
//! log.

use super::Dispatcher;
use crate::discovery::list_age::ListAge;
use crate::system_errors::{Operation, report};
use stairshed_decide::interface::Event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Assumed age of the list in the configuration at the first start.
const ASSUMED_FIRST_AGE: Duration = Duration::from_secs(1);
/// Lease on the old discovery's list after SIGHUP has changed the address (protocol page: by then the new
/// discovery counts as having reported its list).
const ADDRESS_CHANGE_TERM: Duration = Duration::from_secs(4);
/// Lease on a pushed list while no watch is open; shorter than the grace that the rule on drains gives.
const UNWATCHED_TERM: Duration = Duration::from_millis(500);

/// Longer than any lease on a list.
const CLOCK_HEAD_START: Duration = Duration::from_secs(60);

/// The zero of the scheduler's clock. It lies before the process start, so that the clock can express
/// the age of a list that a previous process received.
pub(super) fn clock_origin() -> Instant {
    let now = Instant::now();
    now.checked_sub(CLOCK_HEAD_START).unwrap_or(now)
}

impl Dispatcher {
    /// Restores the lease: the initial list is as old as the last line that discovery sent to a previous
    /// process. Where that time is not known, messages are held until discovery answers.
    pub(super) fn resume_lease(&mut self) {
        // A pushed list counts as current from the start of the process, so there is nothing to restore.
        let file = self.setup.list_age.as_ref().filter(|_| !self.lists_are_pushed());
        let Some((file, discovery)) = file.zip(self.setup.discovery) else { return };
        let ago = match file.load(discovery) {
            ListAge::Known(ago) => ago,
            ListAge::Unrecorded if self.journal.last_number() == 0 => {
                // The next process may start before discovery has answered this one.
                self.save_list_age(discovery, ASSUMED_FIRST_AGE);
                ASSUMED_FIRST_AGE
            }
            ListAge::Unrecorded | ListAge::Unknown => {
                log_line!(
                    "discovery: the age of the list is unknown; nothing is sent until discovery answers"
                );
                self.members.list_age_unknown = true;
                return;
            }
        };
        if let Some(as_of) = Instant::now().checked_sub(ago) {
            self.list_current_as_of(as_of);
        }
    }

    /// Renews the lease: discovery has written a complete line, so the list is current as of `at`.
    pub(super) fn discovery_line_read(&mut self, discovery: SocketAddr, at: Instant) {
        if self.setup.discovery != Some(discovery) {
            return;
        }
        self.list_current_as_of(at);
        self.save_list_age(discovery, at.elapsed());
    }

    /// Stores the age of the list for the next start.
    fn save_list_age(&mut self, discovery: SocketAddr, age: Duration) {
        let saved = self.setup.list_age.as_ref().map(|file| file.save(discovery, age));
        if let Some(Err(e)) = saved {
            report(Operation::ListAge, &e);
            // The next start will assume an older list than it is.
            self.members.report_list_age_error(&e);
        }
    }

    /// Shortens the lease on a pushed list, which counts as current even without a watch, after the watch has
    /// ended.
    pub(super) fn watch_ended(&mut self, discovery: SocketAddr) {
        if self.setup.discovery == Some(discovery) && self.lists_are_pushed() {
            self.limit_lease(UNWATCHED_TERM);
        }
    }

    /// Whether discovery pushes changes without being asked, which the platform's settings may state.
    pub(super) fn lists_are_pushed(&self) -> bool {
        self.setup.installation.is_none() && !self.setup.settings.subscription_required
    }

    /// Renews the lease as of `since`: discovery has been unreachable since then, so it could not report a
    /// change.
    pub(super) fn discovery_unreachable(&mut self, discovery: SocketAddr, since: Instant) {
        if self.setup.discovery == Some(discovery) {
            self.list_current_as_of(since);
        }
    }

    /// Shortens the lease, because discovery has a new address and the list is the old one's.
    pub(super) fn discovery_address_changed(&mut self) {
        self.limit_lease(ADDRESS_CHANGE_TERM);
    }

    /// Notifies the scheduler when the list was current. This is a point in time, not an age, because the
    /// process may be suspended before the next batch.
    fn list_current_as_of(&mut self, at: Instant) {
        // A time before the clock's zero means that the lease has expired.
        if let Some(as_of) = at.checked_duration_since(self.clock_origin) {
            self.events.push(Event::MembershipCurrent { as_of });
        }
    }

    fn limit_lease(&mut self, term: Duration) {
        let until = Instant::now().duration_since(self.clock_origin) + term;
        self.events.push(Event::MembershipLimited { until });
    }

    /// Tells the connections, the admin pages and the log when the lease expires.
    pub(super) fn apply_lease(&mut self, now: Instant) {
        let expires = self.scheduler.membership_expires_at().map(|at| self.clock_origin + at);
        self.attempts.calls.set_list_valid_until(expires);
        self.setup.watch_status.set_lease(expires);
        let expired = expires.is_some_and(|at| at <= now);
        let stale = expired && !self.attempts.held.is_empty() && self.members.has_listed();
        match (self.members.list_stale_since, stale) {
            (None, true) => {
                log_line!(
                    "discovery: the list may be out of date; messages are held until discovery answers"
                );
                self.members.list_stale_since = Some(now);
            }
            (Some(since), false) => {
                let held = now.duration_since(since).as_secs_f64();
                log_line!("discovery: the list is current again, after {held:.2} s");
                self.members.list_stale_since = None;
            }
            _ => {}
        }
    }
}
