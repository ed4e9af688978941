//! The end after SIGTERM: how long attempts are begun, and when all is done that can be done.

use super::Courier;
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

impl Courier {
    /// Whether all is done that can be done after SIGTERM.
    pub(super) fn stopped(&mut self) -> bool {
        let Some(since) = self.stopping.since else { return false };
        let since = since.elapsed();
        let told =
            self.notices.queue.is_empty() && self.notices.posts == 0 && self.records.waiting.is_empty();
        let quiet = since >= STOP_LISTENING
            && self.standing.open.borrow().is_empty()
            && self.taking.offers.is_empty();
        let calls = self.out.held.values().any(|m| matches!(m.out, Some((_, Some(_)))));
        let idle = self.out.held.is_empty() || since >= STOP_SENDING;
        let done = since >= STOP_ALL || (quiet && told && idle && !calls);
        if done {
            self.settle();
        }
        done
    }
}
