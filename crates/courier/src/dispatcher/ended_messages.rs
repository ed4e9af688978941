//! Records of ended messages: they identify repeats, and let clients that subscribe to outcomes be notified
//! after any crash. The journal holds the records; this module holds the lookup tables.

use super::Dispatcher;
use super::held_message::DeferredAction;
use super::memory::Shrink;
use crate::events::{ClientOutcome, Reply, ReplyTo, Submission};
use crate::message_trace;
use crate::upstream::outcomes::AttemptSummary;
use stairshed_clock::StableTime;
use stairshed_journal::{AcceptedMessage, EndedMessage, Verdict};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the ids of the platform's messages are remembered after they end. A client that loses its
/// connection repeats its request with the same id and gives up after 400 ms; this is twelve times that.
const RECENT_ID_TTL: Duration = Duration::from_secs(5);
/// Limit on remembered ids, of which the latest are kept: about half a megabyte.
const MAX_RECENT_IDS: usize = 4096;

/// How a message of the platform's ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecentEnd {
    /// It bounced, or an endpoint said that it is over: its client may submit it again, under a new id.
    Bounced,
    /// In any other way: a repeat is answered as accepted.
    Final,
}

/// The ids of messages that ended recently. Expired ids are not known any more, and are removed at the next
/// insertion.
#[derive(Default)]
struct RecentIds {
    /// With the time at which the message ended, and how.
    ids: HashMap<Rc<str>, (Instant, RecentEnd)>,
    /// In the order in which the messages ended.
    ended: VecDeque<(Instant, Rc<str>)>,
}

impl RecentIds {
    fn insert(&mut self, id: &str, end: RecentEnd, now: Instant) {
        while let Some((_, id)) = self.ended.pop_front_if(|(at, _)| is_expired(*at, now)) {
            self.ids.remove(&id);
        }
        if self.ended.len() >= MAX_RECENT_IDS
            && let Some((_, id)) = self.ended.pop_front()
        {
            self.ids.remove(&id);
        }
        let id: Rc<str> = id.into();
        if self.ids.insert(id.clone(), (now, end)).is_none() {
            self.ended.push_back((now, id));
        }
    }

    fn get(&self, id: &str, now: Instant) -> Option<RecentEnd> {
        self.ids.get(id).filter(|(at, _)| !is_expired(*at, now)).map(|(_, end)| *end)
    }
}

fn is_expired(ended: Instant, now: Instant) -> bool {
    now.duration_since(ended) > RECENT_ID_TTL
}

/// Lookup tables of ended messages.
#[derive(Default)]
pub struct EndedMessages {
    /// Remembered messages by the id that the client gave.
    by_id: HashMap<String, u64>,
    /// When each is forgotten.
    expiry: BTreeSet<(StableTime, u64)>,
    /// All messages of which a record is kept.
    remembered: HashSet<u64>,
    /// Messages whose client is being notified of the outcome by this process.
    notifying: HashSet<u64>,
    /// Messages whose client has been notified while the notice to the operator is not acknowledged yet.
    notified: HashSet<u64>,
    /// For the platform, whose messages have no time for which their ids are remembered.
    recent_ids: RecentIds,
}

impl<'a> ClientOutcome<'a> {
    /// The outcome of an ended message, of whose attempts nothing is kept.
    fn of_kept(kept: &'a EndedMessage) -> Self {
        ClientOutcome { id: &kept.id, verdict: kept.verdict, attempts: None }
    }
}

impl EndedMessages {
    fn insert(&mut self, message: u64, kept: &EndedMessage) {
        self.remembered.insert(message);
        if !kept.until.is_epoch() {
            self.by_id.insert(kept.id.clone(), message);
            self.expiry.insert((kept.until, message));
        }
    }

    fn remove(&mut self, message: u64, kept: &EndedMessage) {
        self.remembered.remove(&message);
        self.expiry.remove(&(kept.until, message));
        if self.by_id.get(&kept.id) == Some(&message) {
            self.by_id.remove(&kept.id);
        }
    }

    /// Whether a message with this id is remembered, and a repeat of it is answered as accepted.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id) || self.recent_ids.get(id, Instant::now()) == Some(RecentEnd::Final)
    }

    /// Shrinks its tables after a burst.
    pub(super) fn shrink_tables(&mut self) {
        self.by_id.shrink();
        self.remembered.shrink();
        self.notifying.shrink();
        self.notified.shrink();
    }

    /// When the next message is forgotten.
    pub fn next_expiry(&self) -> Option<StableTime> {
        self.expiry.first().map(|(at, _)| *at)
    }
}

/// Whether a record of the message may be kept after it has ended.
fn leaves_record(accepted: &AcceptedMessage) -> bool {
    accepted.routed.as_ref().is_some_and(|r| r.owner.is_some() || !r.remember_for.is_zero())
}

impl Dispatcher {
    /// Loads the records that a previous process left, and notifies the clients that have not been notified.
    pub(super) fn resume_ended(&mut self) {
        let all: Vec<(u64, EndedMessage)> =
            self.journal.ended_messages().map(|(n, k)| (n, EndedMessage::clone(k))).collect();
        for (message, kept) in all {
            self.ended_messages.insert(message, &kept);
            self.memory.remember(message, &kept);
            match &kept.owner {
                Some(owner) if self.ingress.is_some() => {
                    self.notify_owner(owner, message, ClientOutcome::of_kept(&kept))
                }
                // The ingress is not configured any more.
                Some(_) => self.owner_notified(message),
                None => {}
            }
        }
    }

    /// Whether the message would need a record beyond the limit on remembered messages.
    pub(super) fn remembers_too_many(&self, accepted: &AcceptedMessage) -> bool {
        leaves_record(accepted) && self.ended_messages.remembered.len() >= self.setup.max_remembered
    }

    /// The reply to a message whose id is remembered: it is accepted already, and its client is notified of
    /// the outcome again.
    pub(super) fn reply_to_duplicate(&mut self, accepted: &AcceptedMessage) -> Option<Reply> {
        let recent = self.ended_messages.recent_ids.get(&accepted.id, Instant::now());
        if let Some(end) = recent.filter(|_| accepted.routed.is_none()) {
            message_trace::log_step(
                &accepted.id,
                format_args!("handed in again after its end: not sent again"),
            );
            return Some(match end {
                RecentEnd::Bounced => Reply::Unavailable,
                RecentEnd::Final => Reply::Accepted,
            });
        }
        let message = *self.ended_messages.by_id.get(&accepted.id)?;
        let owner = accepted.routed.as_ref().and_then(|r| r.owner.clone());
        if let Some(owner) = owner.filter(|o| self.accepts_outcomes(o))
            && let Some(kept) = self.journal.ended_message(message).map(|k| EndedMessage::clone(k))
            && kept.owner.is_none()
        {
            self.journal
                .replace_with_ended(message, EndedMessage { owner: Some(owner.clone()), ..kept.clone() });
            self.notify_owner(&owner, message, ClientOutcome::of_kept(&kept));
        }
        Some(Reply::Accepted)
    }

    /// Whether this client subscribes to outcomes and has room for one more.
    pub(super) fn accepts_outcomes(&self, owner: &str) -> bool {
        self.ingress.as_ref().is_some_and(|f| f.accepts_outcomes(owner))
    }

    fn notify_owner(&mut self, owner: &str, message: u64, outcome: ClientOutcome) {
        if let Some(ingress) = &self.ingress
            && self.ended_messages.notifying.insert(message)
        {
            ingress.send_outcome(owner, message, &outcome);
        }
    }

    /// Notifies the client at once that the scheduler has ended its message undelivered.
    pub(super) fn notify_owner_of_verdict(&mut self, message: u64, verdict: Verdict) {
        let Some(live) = self.journal.get(message) else { return };
        let (accepted, attempts) = (live.accepted.clone(), AttemptSummary::of(live, verdict));
        let owner = accepted.routed.as_ref().and_then(|r| r.owner.as_ref());
        if let Some(owner) = owner.filter(|o| self.accepts_outcomes(o)) {
            let outcome = ClientOutcome { id: &accepted.id, verdict: Some(verdict), attempts };
            self.notify_owner(owner, message, outcome);
        }
    }

    /// Ends a message for which nothing remains to be done, and keeps a record of it where one is needed. A
    /// verdict of None means delivered.
    pub(super) fn finish_message(&mut self, message: u64, verdict: Option<Verdict>) {
        let Some(live) = self.journal.get(message) else { return };
        let accepted = live.accepted.clone();
        let attempts = verdict.and_then(|verdict| AttemptSummary::of(live, verdict));
        self.free_id(message, &accepted.id);
        let notified = self.ended_messages.notified.remove(&message);
        let Some(routed) = accepted.routed.as_ref().filter(|_| leaves_record(&accepted)) else {
            // The platform's ids are ended for good: whatever comes under one again must not be sent.
            if accepted.routed.is_none() {
                let bounced = matches!(verdict, Some(Verdict::Bounced { .. }));
                let end = if bounced { RecentEnd::Bounced } else { RecentEnd::Final };
                self.ended_messages.recent_ids.insert(&accepted.id, end, Instant::now());
            }
            self.memory.release(message);
            if is_planted(PlantedFault::EndNotRecorded) {
                return;
            }
            return self.journal.record_end(message);
        };
        let notifying = self.ended_messages.notifying.contains(&message);
        let owner = routed.owner.clone().filter(|o| !notified && (notifying || self.accepts_outcomes(o)));
        // A bounced message may be submitted again with the same id.
        let bounced = matches!(verdict, Some(Verdict::Bounced { .. }));
        let until = match routed.remember_for {
            Duration::ZERO => StableTime::EPOCH,
            span => self.remembered_until(accepted.accepted_at, span),
        };
        let until = if bounced || until <= self.clock.now() { StableTime::EPOCH } else { until };
        let kept = EndedMessage { id: accepted.id.clone(), owner: owner.clone(), verdict, until };
        if owner.is_none() && until.is_epoch() {
            self.memory.release(message);
            return self.journal.record_end(message);
        }
        self.memory.remember(message, &kept);
        self.ended_messages.insert(message, &kept);
        self.journal.replace_with_ended(message, kept);
        if let Some(owner) = owner {
            self.notify_owner(&owner, message, ClientOutcome { id: &accepted.id, verdict, attempts });
        }
    }

    /// The outcome has been delivered to its client, or can no longer be.
    pub(super) fn owner_notified(&mut self, message: u64) {
        self.ended_messages.notifying.remove(&message);
        match self.journal.ended_message(message).map(|k| EndedMessage::clone(k)) {
            Some(kept) if kept.until.is_epoch() => self.forget_message(message, &kept),
            Some(kept) => self.journal.replace_with_ended(message, EndedMessage { owner: None, ..kept }),
            // The notice to the operator is not acknowledged yet.
            None if self.journal.get(message).is_some() => drop(self.ended_messages.notified.insert(message)),
            None => {}
        }
    }

    fn forget_message(&mut self, message: u64, kept: &EndedMessage) {
        self.ended_messages.remove(message, kept);
        self.memory.release(message);
        self.journal.record_end(message);
    }

    /// Forgets messages that have expired; the record stays while a client is still to be notified.
    pub(super) fn forget_expired(&mut self) {
        let now = self.clock.now();
        let mut any_expired = false;
        while let Some((at, message)) =
            self.ended_messages.expiry.first().copied().filter(|(at, _)| *at <= now)
        {
            self.ended_messages.expiry.remove(&(at, message));
            any_expired = true;
            let Some(kept) = self.journal.ended_message(message).map(|k| EndedMessage::clone(k)) else {
                continue;
            };
            if kept.owner.is_none() {
                self.forget_message(message, &kept);
            } else {
                self.ended_messages.remove(message, &kept);
                self.ended_messages.remembered.insert(message);
                self.journal.replace_with_ended(message, EndedMessage { until: StableTime::EPOCH, ..kept });
            }
        }
        if any_expired {
            self.flush_journal();
        }
    }

    /// Replies to a submission that is not accepted. Where the protocol has no refusal, the message is
    /// accepted and bounced at once, in the journal; if that is not possible either, it is refused.
    pub(super) fn reject(&mut self, submission: Submission, reply: Reply) {
        let Submission { accepted, reply: to, bounce, .. } = submission;
        let owner = accepted
            .routed
            .as_ref()
            .and_then(|r| r.owner.clone())
            .filter(|o| bounce && self.accepts_outcomes(o));
        let Some(owner) = owner else {
            // A client that has disconnected gets no reply, and its message was not accepted.
            let _ = to.send(reply);
            return;
        };
        let wait = match reply {
            Reply::Refused { wait } => wait,
            Reply::OutOfMemory(no) => Some(no.wait),
            _ => None,
        };
        let verdict = Some(Verdict::Bounced { wait });
        let id = accepted.id.clone();
        let fits = self.journal.can_store_note((id.len() + owner.len()) as u64);
        if self.records.disk_failed.is_some()
            || fits.is_err()
            || self.ended_messages.remembered.len() >= self.setup.max_remembered
        {
            let _ = to.send(reply);
            return;
        }
        let message = self.acceptance.next;
        self.acceptance.next += 1;
        let kept = EndedMessage { id, owner: Some(owner), verdict, until: StableTime::EPOCH };
        self.memory.remember(message, &kept);
        self.ended_messages.insert(message, &kept);
        self.journal.store_ended(message, kept);
        if !self.flush_journal() {
            let _ = to.send(reply);
            return;
        }
        self.run_when_durable(self.journal.last_seq(), DeferredAction::ConfirmBounce { message, reply: to });
    }

    /// Tells the client of a message that was accepted and bounced at once, now that this is in the journal:
    /// first the acceptance, then the outcome.
    pub(super) fn confirm_bounce(&mut self, reply: ReplyTo, message: u64) {
        // A client that has disconnected is notified when it returns.
        let _ = reply.send(Reply::Accepted);
        if let Some(kept) = self.journal.ended_message(message).map(|k| EndedMessage::clone(k))
            && let Some(owner) = &kept.owner
        {
            self.notify_owner(owner, message, ClientOutcome::of_kept(&kept));
        }
    }
}

#[cfg(test)]
#[path = "ended_messages_test.rs"]
mod tests;
