//! Shutdown after SIGTERM: how long attempts are still started, and when everything is done that can be done.

use super::Dispatcher;
use crate::ingress::connection_counters::OpenConnections;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGTERM new attempts are started.
pub(super) const ATTEMPT_CUTOFF: Duration = Duration::from_millis(2200);
/// How long after SIGTERM messages are accepted. Their records have time to become durable until
/// [`ANSWER_CUTOFF`].
const ADMISSION_CUTOFF: Duration = Duration::from_millis(2700);
/// When requests that still wait, or are not read whole, are answered, and all connections of clients end.
const ANSWER_CUTOFF: Duration = Duration::from_millis(3000);
/// How long those answers may take, also if the courier was held up until after [`SHUTDOWN_LIMIT`].
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// When the courier exits after SIGTERM, whatever is still in flight. SIGKILL follows 3.7 s after SIGTERM at
/// the earliest.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3300);
/// How long after SIGTERM new connections may still arrive.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(700);
/// Interval between checks whether everything is done.
pub(super) const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State of the shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// When SIGTERM arrived; None while the courier runs.
    pub(super) since: Option<Instant>,
    /// When all requests were answered, and connections ended.
    requests_ended: Option<Instant>,
}

/// The courier's remaining work, for the log.
struct Workload {
    held: usize,
    /// Held messages with a call in flight.
    in_flight: usize,
    pending: usize,
    /// Notices that wait to be posted.
    notices: usize,
    /// Posts in flight.
    posts: usize,
    /// Actions that wait for their record to be durable.
    records: usize,
    disk_fails: bool,
    /// Connections of HTTP clients.
    clients: OpenConnections,
}

impl fmt::Display for Workload {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Workload { held, in_flight, pending, notices, posts, records, disk_fails, clients } = self;
        write!(
            f,
            "{held} messages held, {in_flight} of them with a call in flight; {pending} submissions pending; \
             {notices} notices to post, {posts} posts in flight; {records} actions wait for the journal"
        )?;
        f.write_str(if *disk_fails { ", which cannot write" } else { "" })?;
        write!(f, "; {clients}")
    }
}

impl Dispatcher {
    /// Begins the shutdown when SIGTERM arrives.
    pub(super) fn begin_shutdown(&mut self) {
        self.server_state.begin_shutdown();
        if self.shutdown.since.is_none() {
            self.shutdown.since = Some(Instant::now());
            self.replace_outdated_clock_record();
            log_line!("stopping: {}", self.workload());
        }
    }

    fn workload(&self) -> Workload {
        Workload {
            held: self.attempts.held.len(),
            in_flight: self.attempts.held.values().filter(|m| m.in_flight.is_some()).count(),
            pending: self.acceptance.pending.len(),
            notices: self.notices.queue.len(),
            posts: self.notices.posts_in_flight,
            records: self.records.waiting.len(),
            disk_fails: self.records.disk_failed.is_some(),
            clients: self.server_state.open_connections(),
        }
    }

    /// Whether no more messages are accepted, since the process ends before their clients could be told.
    pub(super) fn is_admission_closed(&self) -> bool {
        self.shutdown.since.is_some_and(|since| since.elapsed() >= ADMISSION_CUTOFF)
    }

    /// Answers all requests, and ends the connections, once it is time.
    pub(super) fn end_requests_when_due(&mut self) {
        let is_due = self.shutdown.since.is_some_and(|since| since.elapsed() >= ANSWER_CUTOFF);
        if is_due && self.shutdown.requests_ended.is_none() {
            self.shutdown.requests_ended = Some(Instant::now());
            self.end_waiting_submissions();
            self.server_state.end_connections();
        }
    }

    /// Whether everything is done that can be done after SIGTERM, or the time is up.
    pub(super) fn is_shutdown_complete(&mut self) -> bool {
        let Some(since) = self.shutdown.since else { return false };
        let since = since.elapsed();
        let notices_done = self.notices.queue.is_empty()
            && self.notices.posts_in_flight == 0
            && self.records.waiting.is_empty();
        let quiet =
            since >= MIN_ACCEPT_TIME && self.server_state.is_drained() && self.acceptance.pending.is_empty();
        let calls = self.attempts.held.values().any(|m| matches!(m.in_flight, Some((_, Some(_)))));
        let idle = self.attempts.held.is_empty() || since >= ATTEMPT_CUTOFF;
        let answered = self.shutdown.requests_ended.is_some_and(|at| at.elapsed() >= ANSWER_TIME);
        let done = (since >= SHUTDOWN_LIMIT && answered) || (quiet && notices_done && idle && !calls);
        if done {
            self.flush_journal();
            log_line!("stopped after {:.2} s: {}", since.as_secs_f64(), self.workload());
        }
        done
    }
}
