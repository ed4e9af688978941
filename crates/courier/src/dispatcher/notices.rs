//! Verdicts and the notices of them: on record first, then posted in batches until acknowledged.

use super::Dispatcher;
use crate::clock::unix_time;
use crate::message_trace;
use crate::outbound::outcomes::{Notice, OutcomeNotifier};
use stairshed_journal::Verdict;
use std::collections::VecDeque;

/// Batches of notices on their way at once, and notices in one.
const POSTS_MOST: usize = 4;
const BATCH_MOST: usize = 200;

pub(super) struct Notices {
    /// Each with the record that must be kept before it goes out.
    pub(super) queue: VecDeque<(u64, Notice)>,
    /// Batches on their way.
    pub(super) posts: usize,
    pub(super) outcomes: OutcomeNotifier,
}

impl Notices {
    pub(super) fn new(outcomes: OutcomeNotifier) -> Self {
        Notices { queue: VecDeque::new(), posts: 0, outcomes }
    }
}

impl Dispatcher {
    /// The module has ended a message undelivered: on record first, then told.
    pub(super) fn judge(&mut self, message: u64, verdict: Verdict) {
        let Some(m) = self.out.held.get(&message) else { return };
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            return;
        }
        let id = m.letter.id.clone();
        let left = m.letter.until.saturating_sub(unix_time());
        message_trace::log_step(
            &id,
            format_args!(
                "ends verdict={verdict:?} attempts={} out={} left={left:?}",
                m.attempts,
                m.out.is_some()
            ),
        );
        if m.out.is_none() {
            self.out.held.remove(&message);
        }
        self.journal.judge(message, verdict);
        self.memory.notice(message);
        self.tell_verdict(message, verdict);
        self.notices.queue.push_back((self.journal.last_seq(), Notice { message, id, verdict }));
    }

    pub(super) fn post(&mut self) {
        // A notice must not go out before its verdict is on record.
        let durable = self.journal.durable();
        while self.notices.posts < POSTS_MOST && self.records.disk_failed.is_none() {
            let kept =
                self.notices.queue.iter().take(BATCH_MOST).take_while(|(seq, _)| *seq <= durable).count();
            if kept == 0 {
                return;
            }
            let batch: Vec<_> = self.notices.queue.drain(..kept).map(|(_, notice)| notice).collect();
            self.notices.posts += 1;
            tokio::task::spawn_local(self.notices.outcomes.clone().deliver(batch, self.news.clone()));
        }
    }
}
