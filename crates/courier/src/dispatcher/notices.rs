//! Verdicts and their notices: recorded in the journal first, then posted in batches until acknowledged.

use super::Dispatcher;
use crate::message_trace;
use crate::upstream::outcomes::{AttemptSummary, Notice, OutcomeNotifier, rejection_verdict};
use stairshed_journal::Verdict;
use std::collections::VecDeque;

/// Limit on batches of notices in flight.
const MAX_POSTS_IN_FLIGHT: usize = 4;
/// Limit on notices in one batch.
const MAX_NOTICES_PER_POST: usize = 200;

/// Notices to be posted, and the client that posts them.
pub(super) struct Notices {
    /// Each with the sequence number of the record that must be durable before it is posted.
    pub(super) queue: VecDeque<(u64, Notice)>,
    /// Batches in flight.
    pub(super) posts_in_flight: usize,
    pub(super) outcomes: OutcomeNotifier,
}

impl Notices {
    pub(super) fn new(outcomes: OutcomeNotifier) -> Self {
        Notices { queue: VecDeque::new(), posts_in_flight: 0, outcomes }
    }
}

impl Dispatcher {
    /// Records the verdict on a message that ended undelivered, and queues its notice.
    pub(super) fn record_verdict(&mut self, message: u64, verdict: Verdict) {
        let Some(m) = self.attempts.held.get(&message) else { return };
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            return;
        }
        let id = m.accepted.id.clone();
        let left = m.accepted.deadline.saturating_duration_since(self.clock.now());
        message_trace::log_step(
            &id,
            format_args!(
                "ends verdict={verdict:?} attempts={} out={} left={left:?}",
                m.attempts,
                m.in_flight.is_some()
            ),
        );
        if m.in_flight.is_none() {
            self.attempts.held.remove(&message);
        }
        self.journal.record_verdict(message, verdict);
        self.memory.add_notice(message);
        self.notify_owner_of_verdict(message, verdict);
        self.notices
            .queue
            .push_back((self.journal.last_seq(), Notice { message, id, verdict, attempts: None }));
    }

    /// Records the verdict on a message that an endpoint rejected for good in this attempt.
    pub(super) fn record_rejection(&mut self, message: u64, attempt: u32, status: Option<u16>) {
        let Some(live) = self.journal.get(message) else { return };
        let verdict = rejection_verdict(live, attempt, status);
        self.record_verdict(message, verdict);
    }

    /// Takes back the notice of a message that bounced and was accepted again under its id, and ends the message:
    /// its client is told the end of the new one.
    pub(super) fn withdraw_notice(&mut self, message: u64) {
        let queued = self.notices.queue.len();
        self.notices.queue.retain(|(_, notice)| notice.message != message);
        let is_in_batch = self.notices.queue.len() == queued;
        self.notices.outcomes.holds.withdraw(message, is_in_batch);
        if let Some(live) = self.journal.get(message) {
            let verdict = live.verdict;
            message_trace::log_step(&live.accepted.id, format_args!("notice withdrawn number={message}"));
            self.finish_message(message, verdict);
        }
    }

    /// Posts queued notices in batches, up to the limit on batches in flight.
    pub(super) fn post_notices(&mut self) {
        // A notice must not be posted before its verdict is durable.
        let durable = self.journal.durable();
        while self.notices.posts_in_flight < MAX_POSTS_IN_FLIGHT && self.records.disk_failed.is_none() {
            let kept = self
                .notices
                .queue
                .iter()
                .take(MAX_NOTICES_PER_POST)
                .take_while(|(seq, _)| *seq <= durable)
                .count();
            if kept == 0 {
                return;
            }
            let mut batch: Vec<_> = self.notices.queue.drain(..kept).map(|(_, notice)| notice).collect();
            for notice in &mut batch {
                let live = self.journal.get(notice.message);
                notice.attempts =
                    live.and_then(|live| AttemptSummary::of(live, notice.verdict)).map(Box::new);
                message_trace::log_step(
                    &notice.id,
                    format_args!("notice posted number={} verdict={:?}", notice.message, notice.verdict),
                );
            }
            self.notices.posts_in_flight += 1;
            tokio::task::spawn_local(self.notices.outcomes.clone().deliver(batch, self.event_tx.clone()));
        }
    }

    /// Ends a message whose notice was acknowledged.
    pub(super) fn notice_acknowledged(&mut self, message: u64) {
        self.notices.outcomes.holds.forget(message);
        let verdict = self.journal.get(message).and_then(|live| live.verdict);
        if let Some(live) = self.journal.get(message) {
            let late = self.clock.now().saturating_duration_since(live.accepted.deadline);
            message_trace::log_step(
                &live.accepted.id,
                format_args!("notice acknowledged number={message} after_deadline={late:?}"),
            );
        }
        self.finish_message(message, verdict);
    }
}
