//! The end after SIGTERM: how long attempts are begun, and when all is done that can be done.

use super::Dispatcher;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// After SIGTERM: how long new attempts are begun, and when it ends whatever is still out. SIGKILL comes
/// no sooner than 3.7 s after it.
pub(super) const ATTEMPT_CUTOFF: Duration = Duration::from_millis(2200);
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3300);
/// For so long after SIGTERM new connections go on coming.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(700);
/// How often it is looked whether all is done.
pub(super) const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
pub(super) struct Shutdown {
    /// When the courier was told.
    pub(super) since: Option<Instant>,
}

/// What the courier still has to do, for the log.
struct Workload {
    held: usize,
    /// Of those that are held: with a call out.
    in_flight: usize,
    pending: usize,
    /// Notices that wait to be posted, and posts that wait for their answer.
    notices: usize,
    posts: usize,
    /// What waits for its record to be kept.
    records: usize,
    disk_fails: bool,
}

impl fmt::Display for Workload {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Workload { held, in_flight, pending, notices, posts, records, disk_fails } = self;
        write!(
            f,
            "{held} messages held, {in_flight} of them with a call out; {pending} offered; {notices} notices to post, \
             {posts} posts out; {records} wait for the journal"
        )?;
        f.write_str(if *disk_fails { ", which cannot write" } else { "" })
    }
}

impl Dispatcher {
    /// SIGTERM has come.
    pub(super) fn begin_shutdown(&mut self) {
        self.standing.stop();
        if self.shutdown.since.is_none() {
            self.shutdown.since = Some(Instant::now());
            eprintln!("stopping: {}", self.workload());
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
        }
    }

    /// Whether all is done that can be done after SIGTERM.
    pub(super) fn is_shutdown_complete(&mut self) -> bool {
        let Some(since) = self.shutdown.since else { return false };
        let since = since.elapsed();
        let notices_done = self.notices.queue.is_empty()
            && self.notices.posts_in_flight == 0
            && self.records.waiting.is_empty();
        let quiet = since >= MIN_ACCEPT_TIME
            && self.standing.open.borrow().is_empty()
            && self.acceptance.pending.is_empty();
        let calls = self.attempts.held.values().any(|m| matches!(m.in_flight, Some((_, Some(_)))));
        let idle = self.attempts.held.is_empty() || since >= ATTEMPT_CUTOFF;
        let done = since >= SHUTDOWN_LIMIT || (quiet && notices_done && idle && !calls);
        if done {
            self.flush_journal();
            eprintln!("stopped after {:.2} s: {}", since.as_secs_f64(), self.workload());
        }
        done
    }
}
