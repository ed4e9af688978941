//! The end after SIGTERM: how long attempts are begun, and when all is done that can be done.

use super::Dispatcher;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// After SIGTERM: how long new attempts are begun, and when it ends whatever is still out. SIGKILL comes
/// no sooner than 3.7 s after it.
pub(super) const STOP_SENDING: Duration = Duration::from_millis(2200);
const STOP_ALL: Duration = Duration::from_millis(3300);
/// For so long after SIGTERM new connections go on coming.
const STOP_LISTENING: Duration = Duration::from_millis(700);
/// How often it is looked whether all is done.
pub(super) const STOP_LOOK: Duration = Duration::from_millis(20);

#[derive(Default)]
pub(super) struct Stopping {
    /// When the courier was told.
    pub(super) since: Option<Instant>,
}

/// What the courier still has to do, for the log.
struct Workload {
    held: usize,
    /// Of those that are held: with a call out.
    out: usize,
    offers: usize,
    /// Notices that wait to be posted, and posts that wait for their answer.
    notices: usize,
    posts: usize,
    /// What waits for its record to be kept.
    records: usize,
    disk_fails: bool,
}

impl fmt::Display for Workload {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Workload { held, out, offers, notices, posts, records, disk_fails } = self;
        write!(
            f,
            "{held} messages held, {out} of them with a call out; {offers} offered; {notices} notices to post, \
             {posts} posts out; {records} wait for the journal"
        )?;
        f.write_str(if *disk_fails { ", which cannot write" } else { "" })
    }
}

impl Dispatcher {
    /// SIGTERM has come.
    pub(super) fn stop(&mut self) {
        self.server_state.begin_shutdown();
        if self.stopping.since.is_none() {
            self.stopping.since = Some(Instant::now());
            eprintln!("stopping: {}", self.workload());
        }
    }

    fn workload(&self) -> Workload {
        Workload {
            held: self.out.held.len(),
            out: self.out.held.values().filter(|m| m.out.is_some()).count(),
            offers: self.taking.offers.len(),
            notices: self.notices.queue.len(),
            posts: self.notices.posts,
            records: self.records.waiting.len(),
            disk_fails: self.records.disk_failed.is_some(),
        }
    }

    /// Whether all is done that can be done after SIGTERM.
    pub(super) fn stopped(&mut self) -> bool {
        let Some(since) = self.stopping.since else { return false };
        let since = since.elapsed();
        let told =
            self.notices.queue.is_empty() && self.notices.posts == 0 && self.records.waiting.is_empty();
        let quiet = since >= STOP_LISTENING
            && self.server_state.connections.borrow().is_empty()
            && self.taking.offers.is_empty();
        let calls = self.out.held.values().any(|m| matches!(m.out, Some((_, Some(_)))));
        let idle = self.out.held.is_empty() || since >= STOP_SENDING;
        let done = since >= STOP_ALL || (quiet && told && idle && !calls);
        if done {
            self.settle();
            eprintln!("stopped after {:.2} s: {}", since.as_secs_f64(), self.workload());
        }
        done
    }
}
