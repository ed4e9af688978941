//! Acceptance: submissions until the scheduler has accepted or refused them and their clients have the reply.
//! Owns the pending submissions, the ids of all held messages, and the next message number; `run_batch`
//! passes in the scheduler's refusals.

use super::held_message::{DeferredAction, HeldMessage};
use super::memory::MessageMemory;
use super::planted_settings::scheduler_time_left;
use super::{Dispatcher, Verdict};
use crate::events::{Reply, ReplyTo, Submission};
use crate::message_trace;
use stairshed_decide::interface::*;
use stairshed_journal::{AcceptedMessage, Refusal};
use std::collections::{BTreeMap, HashMap};
use std::iter;
use tokio::sync::oneshot;

/// Where to tell whether a message is accepted. It is dropped where that remains open.
type AcceptedQuery = oneshot::Sender<bool>;

/// Tells all who asked. A receiver may have been dropped.
fn answer_queries(queries: Vec<AcceptedQuery>, is_accepted: bool) {
    for query in queries {
        let _ = query.send(is_accepted);
    }
}

/// A submission that waits for the scheduler's decision.
pub(super) struct PendingSubmission {
    pub(super) class: usize,
    submission: Submission,
    /// Further submissions of its id, which are answered as it is.
    repeats: Vec<Submission>,
    /// Those who ask whether it is accepted.
    queries: Vec<AcceptedQuery>,
    /// The message of the same id that has bounced, and whose notice is held back.
    bounced: Option<u64>,
    /// The memory reserved for it if it is accepted.
    memory: MessageMemory,
}

impl PendingSubmission {
    /// Whether nobody waits for its reply any more.
    fn is_abandoned(&self) -> bool {
        self.submissions().all(|submission| submission.reply.is_closed())
    }

    fn submissions(&self) -> impl Iterator<Item = &Submission> {
        iter::once(&self.submission).chain(&self.repeats)
    }
}

/// An accepted message whose clients are not told so yet.
struct Unconfirmed {
    /// The client that submitted the message, and those that submitted it again meanwhile.
    clients: Vec<ReplyTo>,
    /// As in [`PendingSubmission`].
    queries: Vec<AcceptedQuery>,
    /// As in [`PendingSubmission`].
    bounced: Option<u64>,
}

#[derive(Default)]
pub(super) struct Acceptance {
    /// Submissions that wait for the scheduler's decision, by message number.
    pub(super) pending: BTreeMap<u64, PendingSubmission>,
    /// Accepted messages whose record is not durable yet.
    unconfirmed: BTreeMap<u64, Unconfirmed>,
    /// Message numbers by the id that the client gave, until the message has ended.
    pub(super) ids: HashMap<String, u64>,
    /// The next message number.
    pub(super) next: u64,
}

impl Acceptance {
    /// Numbers continue after the last one that a previous process used.
    pub(super) fn after(last: u64) -> Self {
        Acceptance { next: last + 1, ..Acceptance::default() }
    }
}

impl Dispatcher {
    /// Takes in a submission: replies at once, or passes it to the scheduler in the next batch.
    pub(super) fn submit(&mut self, mut submission: Submission) {
        let respond = |submission: Submission, reply| {
            // A client that has disconnected gets no reply, and its message was not accepted.
            let _ = submission.reply.send(reply);
        };
        // A second submission with the same id: the first one is accepted already, not durable yet, or not
        // decided yet.
        let known = self.acceptance.ids.get(&submission.accepted.id).copied();
        let bounced = known.filter(|message| self.has_bounced(*message));
        if bounced.is_some() && submission.accepted.routed.is_none() {
            // The platform's notices name an id alone: that of the bounced message would end the new one.
            return respond(submission, Reply::Unavailable);
        }
        if let Some(message) = known.filter(|_| bounced.is_none()) {
            return self.submit_repeat(submission, message);
        }
        if let Some(reply) = self.reply_to_duplicate(&submission.accepted) {
            return respond(submission, reply);
        }
        if let Some(reply) = self.early_refusal(&submission.accepted) {
            return self.reject(submission, reply);
        }
        let Some(class) = self.classify(&submission.accepted) else {
            return self.reject(submission, Reply::Failed);
        };
        let memory = match self.reserve_memory(&mut submission) {
            Ok(memory) => memory,
            Err(reply) => return self.reject(submission, reply),
        };
        if bounced.is_some_and(|message| !self.notices.outcomes.holds.hold(message)) {
            // Its notice may arrive after the new message was accepted.
            return self.reject(submission, Reply::Unavailable);
        }
        self.update_classes();
        let message = self.acceptance.next;
        self.acceptance.next += 1;
        self.acceptance.ids.insert(submission.accepted.id.clone(), message);
        self.events.push(Event::Accepted(Accepted {
            message: MessageId(message),
            class,
            tenant: 0,
            destination: DestinationId(submission.accepted.destination),
            key: submission.accepted.routed.as_ref().and_then(|r| r.order_key.clone()),
            time_left: scheduler_time_left(submission.time_left.saturating_sub(submission.at.elapsed())),
            estimated_work: None,
            history: Past::default(),
        }));
        let (repeats, queries) = (Vec::new(), Vec::new());
        let pending = PendingSubmission { class, submission, repeats, queries, bounced, memory };
        self.acceptance.pending.insert(message, pending);
    }

    /// Takes in a further submission of a message that is held. Its client is told what the first one is told.
    fn submit_repeat(&mut self, repeat: Submission, message: u64) {
        let is_accepted = !self.acceptance.pending.contains_key(&message);
        message_trace::log_step(
            &repeat.accepted.id,
            format_args!("submitted again number={message} accepted={is_accepted}"),
        );
        if let Some(undecided) = self.acceptance.pending.get_mut(&message) {
            return undecided.repeats.push(repeat);
        }
        if let Some(waiting) = self.acceptance.unconfirmed.get_mut(&message) {
            return waiting.clients.push(repeat.reply);
        }
        // A client that has disconnected needs no reply.
        let _ = repeat.reply.send(Reply::Accepted);
    }

    /// Whether a message has ended as bounced, and only its notice is not acknowledged yet: its client may submit
    /// it again, as a new message.
    fn has_bounced(&self, message: u64) -> bool {
        let verdict = self.journal.get(message).and_then(|live| live.verdict);
        matches!(verdict, Some(Verdict::Bounced { .. }))
    }

    /// Frees the id of a message that has ended, unless a later message has it.
    pub(super) fn free_id(&mut self, message: u64, id: &str) {
        if self.acceptance.ids.get(id) == Some(&message) {
            self.acceptance.ids.remove(id);
        }
    }

    /// Tells whether a message with this id is accepted, and its record durable, once that is decided.
    pub(super) fn query_accepted(&mut self, id: &str, query: AcceptedQuery) {
        let message = self.acceptance.ids.get(id).copied();
        if let Some(message) = message {
            if let Some(undecided) = self.acceptance.pending.get_mut(&message) {
                return undecided.queries.push(query);
            }
            if let Some(waiting) = self.acceptance.unconfirmed.get_mut(&message) {
                return waiting.queries.push(query);
            }
        }
        let is_held = message.is_some_and(|message| !self.has_bounced(message));
        answer_queries(vec![query], is_held || self.ended_messages.contains(id));
    }

    /// The refusal of a message that cannot be accepted whatever the scheduler decides.
    pub(super) fn early_refusal(&mut self, accepted: &AcceptedMessage) -> Option<Reply> {
        if self.is_admission_closed() {
            return Some(Reply::Unavailable);
        }
        if self.records.disk_failed.is_some() {
            return Some(Reply::JournalRefused(Refusal::DiskUnreliable));
        }
        if self.members.removed_destinations.contains_key(&accepted.destination) {
            return Some(Reply::Unavailable);
        }
        if !self.members.destinations.contains(&accepted.destination) {
            return Some(if self.members.discovery_answered {
                Reply::UnknownDestination
            } else {
                Reply::Unavailable
            });
        }
        if self.attempts.held.len() + self.acceptance.pending.len() >= self.setup.settings.max_messages {
            return Some(Reply::Refused { wait: None });
        }
        if self.remembers_too_many(accepted) {
            return Some(Reply::TooManyRemembered);
        }
        self.journal.can_accept(accepted).err().map(Reply::JournalRefused)
    }

    /// Drops submissions whose clients all gave up before they had a reply: such a client counts its message as not
    /// accepted and may submit it elsewhere, so it must not be sent from here.
    pub(super) fn drop_abandoned_submissions(&mut self) {
        let abandoned: Vec<u64> = self
            .acceptance
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_abandoned())
            .map(|(message, _)| *message)
            .collect();
        for pending in abandoned.into_iter().filter_map(|message| self.remove_pending(message)) {
            answer_queries(pending.queries, false);
        }
    }

    /// Frees the id of a submission that is not accepted: the message that has bounced has it again, if there is one,
    /// and its notice is posted.
    fn free_submitted_id(&mut self, id: &str, bounced: Option<u64>) {
        self.acceptance.ids.remove(id);
        if let Some(bounced) = bounced {
            self.acceptance.ids.insert(id.to_owned(), bounced);
            self.notices.outcomes.holds.release(bounced);
        }
    }

    /// Takes back a submission that the scheduler has not seen yet.
    fn remove_pending(&mut self, message: u64) -> Option<PendingSubmission> {
        let pending = self.acceptance.pending.remove(&message)?;
        self.free_submitted_id(&pending.submission.accepted.id, pending.bounced);
        let of = |e: &Event| matches!(e, Event::Accepted(t) if t.message.0 == message);
        self.events.retain(|e| !of(e));
        Some(pending)
    }

    /// Replies the same to a submission that is not accepted and to its repeats.
    fn reject_all(&mut self, pending: PendingSubmission, reply: Reply) {
        self.free_submitted_id(&pending.submission.accepted.id, pending.bounced);
        for submission in iter::once(pending.submission).chain(pending.repeats) {
            self.reject(submission, reply);
        }
        answer_queries(pending.queries, false);
    }

    /// Answers all submissions that wait, since the process ends before they could be accepted. A message that is on
    /// record, but not durable, is withdrawn; since a power cut may lose the withdrawal, its client is told that it
    /// failed, which does not invite it to submit the message again.
    pub(super) fn end_waiting_submissions(&mut self) {
        let pending: Vec<u64> = self.acceptance.pending.keys().copied().collect();
        for pending in pending.into_iter().filter_map(|message| self.remove_pending(message)) {
            for submission in iter::once(pending.submission).chain(pending.repeats) {
                let _ = submission.reply.send(Reply::Unavailable);
            }
            answer_queries(pending.queries, false);
        }
        let mut clients = Vec::new();
        for (message, unconfirmed) in std::mem::take(&mut self.acceptance.unconfirmed) {
            self.withdraw_submission(message, unconfirmed.bounced);
            clients.extend(unconfirmed.clients);
        }
        self.flush_journal();
        for reply in clients {
            let _ = reply.send(Reply::Failed);
        }
    }

    /// Writes the new messages that the scheduler did not refuse to the journal, then replies to their
    /// clients.
    pub(super) fn accept_submissions(&mut self, refused: &mut HashMap<u64, Verdict>) {
        if !self.acceptance.pending.is_empty() {
            self.ensure_clock_record();
        }
        let mut accepted_messages = Vec::new();
        for (message, pending) in std::mem::take(&mut self.acceptance.pending) {
            let accepted = pending.submission.accepted.clone();
            if let Some(verdict) = refused.remove(&message) {
                message_trace::log_step(
                    &accepted.id,
                    format_args!("refused at once class={} verdict={verdict:?}", accepted.class),
                );
                let reply = match verdict {
                    Verdict::Bounced { wait } => Reply::Refused { wait },
                    Verdict::Dead | Verdict::Rejected { .. } => Reply::Failed,
                };
                self.reject_all(pending, reply);
                continue;
            }
            // Other messages of this batch may have used up the journal's space since this one was submitted.
            if let Err(why) = self.journal.can_accept(&accepted) {
                self.events.push(Event::Withdrawn { message: MessageId(message) });
                self.reject_all(pending, Reply::JournalRefused(why));
                continue;
            }
            message_trace::log_step(
                &accepted.id,
                format_args!(
                    "taken number={message} class={} destination={}",
                    accepted.class, accepted.destination
                ),
            );
            self.journal.accept(message, accepted.clone());
            let PendingSubmission { class, submission, repeats, queries, bounced, memory } = pending;
            self.memory.add_message(message, memory);
            self.attempts.held.insert(message, HeldMessage { accepted, class, attempts: 0, in_flight: None });
            let clients = iter::once(submission).chain(repeats).map(|submission| submission.reply).collect();
            let seq = self.journal.last_seq();
            accepted_messages.push((message, seq, Unconfirmed { clients, queries, bounced }));
        }
        if accepted_messages.is_empty() {
            return;
        }
        self.flush_journal();
        for (message, seq, unconfirmed) in accepted_messages {
            // Also if a later write of this batch failed: the next process would resume it.
            if self.journal.is_written(seq) {
                self.acceptance.unconfirmed.insert(message, unconfirmed);
                self.run_when_durable(seq, DeferredAction::ConfirmAcceptance { message });
            } else {
                self.refuse_unrecorded(message, unconfirmed);
            }
        }
    }

    /// Refuses a message whose record could not be written.
    fn refuse_unrecorded(&mut self, message: u64, unconfirmed: Unconfirmed) {
        if let Some(live) = self.journal.get(message) {
            message_trace::log_step(&live.accepted.id, format_args!("refused: no record written"));
        }
        // The message is not accepted, whether or not its clients get this reply.
        for client in unconfirmed.clients {
            let _ = client.send(Reply::JournalRefused(Refusal::DiskUnreliable));
        }
        answer_queries(unconfirmed.queries, false);
        self.withdraw_submission(message, unconfirmed.bounced);
    }

    /// Tells the clients that wait for it that their message is accepted. A client that has disconnected counts
    /// it as not accepted, so the message is withdrawn if all have.
    pub(super) fn confirm_acceptance(&mut self, message: u64) {
        // At the end of a stop it was answered before.
        let Some(Unconfirmed { clients, queries, bounced }) = self.acceptance.unconfirmed.remove(&message)
        else {
            return;
        };
        let told = clients.into_iter().filter_map(|reply| reply.send(Reply::Accepted).ok()).count();
        answer_queries(queries, told > 0);
        if told == 0 {
            if let Some(m) = self.attempts.held.get(&message) {
                message_trace::log_step(
                    &m.accepted.id,
                    format_args!("withdrawn: the client disconnected before the reply"),
                );
            }
            self.withdraw_submission(message, bounced);
        } else if let Some(bounced) = bounced {
            self.withdraw_notice(bounced);
        }
    }

    /// Withdraws a message whose client was not told that it is accepted.
    fn withdraw_submission(&mut self, message: u64, bounced: Option<u64>) {
        let id = self.journal.get(message).map(|live| live.accepted.id.clone());
        self.withdraw(message);
        if let Some(id) = id {
            self.free_submitted_id(&id, bounced);
        }
    }

    /// Drops a message for which nobody waits for a result.
    pub(super) fn withdraw(&mut self, message: u64) {
        self.end_message(message);
        self.attempts.held.remove(&message);
        self.events.push(Event::Withdrawn { message: MessageId(message) });
    }

    /// The class of a message: by its name and, for a message from a route, by the effect and deadline
    /// recorded when it was accepted.
    pub(super) fn classify(&mut self, accepted: &AcceptedMessage) -> Option<usize> {
        let deadline = accepted.deadline.saturating_duration_since(accepted.accepted_at);
        let Some(routed) = &accepted.routed else {
            let classes = &mut self.setup.classes;
            let class = classes.current(&accepted.class)?;
            let keyed = classes.get(class).is_some_and(|c| matches!(c.effect, Effect::Keyed { .. }));
            // Without a key no endpoint can tell a repeat from a new message.
            let may_run_again = keyed && accepted.key.is_none();
            return Some(if may_run_again {
                classes.for_recorded_message(&accepted.class, Effect::Once, deadline)
            } else {
                class
            });
        };
        Some(self.setup.classes.for_recorded_message(&accepted.class, routed.effect, deadline))
    }

    /// Passes new classes to the scheduler: messages accepted under an earlier configuration version may have
    /// a class that the current version lacks.
    pub(super) fn update_classes(&mut self) {
        if self.setup.classes.len() != self.setup.settings.classes.len() {
            self.setup.settings.classes = self.setup.classes.classes();
            self.reconfigure();
        }
    }
}
