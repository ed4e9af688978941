//! What stays of messages that have ended: so that a repeat is known as one, and a client that reads how its messages
//! end is told, whatever crashes in between. The journal holds it; here stands what is looked up.

use super::Dispatcher;
use super::held_message::Waiting;
use super::memory::Loose;
use crate::clock::unix_time;
use crate::events::{Reply, ReplyTo, Submission};
use crate::message_trace;
use stairshed_journal::{Kept, Letter, Verdict};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the platform's messages are known by their ids once they have ended. A client that loses its connection
/// sends its request once more under the same id, and gives up after 400 ms: twelve times that.
const RECALL: Duration = Duration::from_secs(5);
/// As many at most, the latest: half a megabyte.
const RECALLED_MOST: usize = 4096;

/// The ids of messages that have ended a moment ago.
#[derive(Default)]
struct Recalled {
    ids: HashSet<Rc<str>>,
    /// In the order of their ends.
    ended: VecDeque<(Instant, Rc<str>)>,
}

impl Recalled {
    fn insert(&mut self, id: &str, now: Instant) {
        let old = |(at, _): &mut (Instant, Rc<str>)| now.duration_since(*at) > RECALL;
        while let Some((_, id)) = self.ended.pop_front_if(old) {
            self.ids.remove(&id);
        }
        if self.ended.len() >= RECALLED_MOST
            && let Some((_, id)) = self.ended.pop_front()
        {
            self.ids.remove(&id);
        }
        let id: Rc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.ended.push_back((now, id));
        }
    }

    fn has(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}

#[derive(Default)]
pub struct Ended {
    /// Messages that are remembered, by the id that their clients gave them.
    by_id: HashMap<String, u64>,
    /// When each is forgotten, Unix time.
    due: BTreeSet<(Duration, u64)>,
    /// All of which something stays.
    kept: HashSet<u64>,
    /// Those whose client is being told in this life; and those whose client has been, while the notice for the
    /// operator is still on its way.
    telling: HashSet<u64>,
    told: HashSet<u64>,
    /// On the platform, which has no time for which ids are remembered.
    recalled: Recalled,
}

impl Ended {
    fn insert(&mut self, message: u64, kept: &Kept) {
        self.kept.insert(message);
        if !kept.until.is_zero() {
            self.by_id.insert(kept.id.clone(), message);
            self.due.insert((kept.until, message));
        }
    }

    fn remove(&mut self, message: u64, kept: &Kept) {
        self.kept.remove(&message);
        self.due.remove(&(kept.until, message));
        if self.by_id.get(&kept.id) == Some(&message) {
            self.by_id.remove(&kept.id);
        }
    }

    /// Whether a message of this id is remembered.
    pub(super) fn knows(&self, id: &str) -> bool {
        self.by_id.contains_key(id) || self.recalled.has(id)
    }

    /// Its tables after a burst.
    pub(super) fn tighten(&mut self) {
        self.by_id.tighten();
        self.kept.tighten();
        self.telling.tighten();
        self.told.tighten();
    }

    /// When the next is forgotten, Unix time.
    pub fn next(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }
}

/// Whether something may stay of a message once it has ended.
fn stays(letter: &Letter) -> bool {
    letter.routed.as_ref().is_some_and(|r| r.owner.is_some() || !r.remember.is_zero())
}

impl Dispatcher {
    /// Takes in what an earlier life has left: clients that were not told are told now.
    pub(super) fn resume_ended(&mut self) {
        let all: Vec<(u64, Kept)> = self.journal.kept().map(|(n, k)| (n, Kept::clone(k))).collect();
        for (message, kept) in all {
            self.ended.insert(message, &kept);
            self.memory.keep(message, &kept);
            match &kept.owner {
                Some(owner) if self.front.is_some() => {
                    self.tell_owner(owner, message, &kept.id, kept.verdict)
                }
                // Its front is not there any more.
                Some(_) => self.owner_told(message),
                None => {}
            }
        }
    }

    /// Whether one more can be remembered.
    pub(super) fn is_crowded(&self, letter: &Letter) -> bool {
        stays(letter) && self.ended.kept.len() >= self.setup.max_remembered
    }

    /// The answer to a message whose id is remembered: it is taken on already, and its client is told again how it
    /// ended.
    pub(super) fn repeat(&mut self, letter: &Letter) -> Option<Reply> {
        if letter.routed.is_none() && self.ended.recalled.has(&letter.id) {
            message_trace::log_step(
                &letter.id,
                format_args!("handed in again after its end: not sent again"),
            );
            return Some(Reply::Accepted);
        }
        let message = *self.ended.by_id.get(&letter.id)?;
        let owner = letter.routed.as_ref().and_then(|r| r.owner.clone());
        if let Some(owner) = owner.filter(|o| self.accepts_outcomes(o))
            && let Some(kept) = self.journal.kept_of(message).map(|k| Kept::clone(k))
            && kept.owner.is_none()
        {
            self.journal.keep(message, Kept { owner: Some(owner.clone()), ..kept.clone() });
            self.tell_owner(&owner, message, &kept.id, kept.verdict);
        }
        Some(Reply::Accepted)
    }

    pub(super) fn accepts_outcomes(&self, owner: &str) -> bool {
        self.front.as_ref().is_some_and(|f| f.accepts_outcomes(owner))
    }

    fn tell_owner(&mut self, owner: &str, message: u64, id: &str, verdict: Option<Verdict>) {
        if let Some(front) = &self.front
            && self.ended.telling.insert(message)
        {
            front.send_outcome(owner, message, id, verdict);
        }
    }

    /// The module has ended a message undelivered: its client hears that at once.
    pub(super) fn tell_verdict(&mut self, message: u64, verdict: Verdict) {
        let Some(live) = self.journal.get(message) else { return };
        let letter = live.letter.clone();
        let owner = letter.routed.as_ref().and_then(|r| r.owner.as_ref());
        if let Some(owner) = owner.filter(|o| self.accepts_outcomes(o)) {
            self.tell_owner(owner, message, &letter.id, Some(verdict));
        }
    }

    /// Nothing more is done for a message; `verdict` is None if it was delivered. What must stay of it stays.
    pub(super) fn finish(&mut self, message: u64, verdict: Option<Verdict>) {
        let Some(live) = self.journal.get(message) else { return };
        let letter = live.letter.clone();
        self.taking.ids.remove(&letter.id);
        let told = self.ended.told.remove(&message);
        let Some(routed) = letter.routed.as_ref().filter(|_| stays(&letter)) else {
            // One that bounced may be handed in again; of all others a repeat would run what has run.
            if letter.routed.is_none() && !matches!(verdict, Some(Verdict::Bounced { .. })) {
                self.ended.recalled.insert(&letter.id, Instant::now());
            }
            self.memory.ended(message);
            return self.journal.end(message);
        };
        let telling = self.ended.telling.contains(&message);
        let owner = routed.owner.clone().filter(|o| !told && (telling || self.accepts_outcomes(o)));
        // One that bounced may be handed in again under the same id.
        let bounced = matches!(verdict, Some(Verdict::Bounced { .. }));
        let until = letter.taken + routed.remember;
        let until = if bounced || until <= unix_time() { Duration::ZERO } else { until };
        let kept = Kept { id: letter.id.clone(), owner: owner.clone(), verdict, until };
        if owner.is_none() && until.is_zero() {
            self.memory.ended(message);
            return self.journal.end(message);
        }
        self.memory.keep(message, &kept);
        self.ended.insert(message, &kept);
        self.journal.keep(message, kept);
        if let Some(owner) = owner {
            self.tell_owner(&owner, message, &letter.id, verdict);
        }
    }

    /// A client has been told, or never will be.
    pub(super) fn owner_told(&mut self, message: u64) {
        self.ended.telling.remove(&message);
        match self.journal.kept_of(message).map(|k| Kept::clone(k)) {
            Some(kept) if kept.until.is_zero() => self.forget(message, &kept),
            Some(kept) => self.journal.keep(message, Kept { owner: None, ..kept }),
            // Its notice for the operator is not acknowledged yet.
            None if self.journal.get(message).is_some() => drop(self.ended.told.insert(message)),
            None => {}
        }
    }

    fn forget(&mut self, message: u64, kept: &Kept) {
        self.ended.remove(message, kept);
        self.memory.ended(message);
        self.journal.end(message);
    }

    /// Forgets those whose time has come; one whose client is still to be told stays for that.
    pub(super) fn forget_due(&mut self) {
        let now = unix_time();
        let mut some = false;
        while let Some((at, message)) = self.ended.due.first().copied().filter(|(at, _)| *at <= now) {
            self.ended.due.remove(&(at, message));
            some = true;
            let Some(kept) = self.journal.kept_of(message).map(|k| Kept::clone(k)) else { continue };
            if kept.owner.is_none() {
                self.forget(message, &kept);
            } else {
                self.ended.remove(message, &kept);
                self.ended.kept.insert(message);
                self.journal.keep(message, Kept { until: Duration::ZERO, ..kept });
            }
        }
        if some {
            self.settle();
        }
    }

    /// Answers an offer that is not taken on. Where its front has no refusal it is taken on and bounced at once, on
    /// record; if that cannot be done either, it is refused all the same.
    pub(super) fn turn_away(&mut self, offer: Submission, reply: Reply) {
        let Submission { letter, reply: to, bounce, .. } = offer;
        let owner = letter
            .routed
            .as_ref()
            .and_then(|r| r.owner.clone())
            .filter(|o| bounce && self.accepts_outcomes(o));
        let Some(owner) = owner else {
            // A client that is gone hears nothing, and nothing was taken.
            let _ = to.send(reply);
            return;
        };
        let wait = match reply {
            Reply::Refused { wait } => wait,
            Reply::OutOfMemory(no) => Some(no.wait),
            _ => None,
        };
        let verdict = Some(Verdict::Bounced { wait });
        let id = letter.id.clone();
        let room = self.journal.fits_note((id.len() + owner.len()) as u64);
        if self.records.disk_failed.is_some()
            || room.is_err()
            || self.ended.kept.len() >= self.setup.max_remembered
        {
            let _ = to.send(reply);
            return;
        }
        let message = self.taking.next;
        self.taking.next += 1;
        let kept = Kept { id, owner: Some(owner), verdict, until: Duration::ZERO };
        self.memory.keep(message, &kept);
        self.ended.insert(message, &kept);
        self.journal.keep_new(message, kept);
        if !self.settle() {
            let _ = to.send(reply);
            return;
        }
        self.when_kept(self.journal.last_seq(), Waiting::Bounced { message, reply: to });
    }

    /// A message that was taken on and bounced at once is on record: its client hears the one, then the other.
    pub(super) fn bounced(&mut self, reply: ReplyTo, message: u64) {
        // One that has left reads of it when it comes back.
        let _ = reply.send(Reply::Accepted);
        if let Some(kept) = self.journal.kept_of(message).map(|k| Kept::clone(k))
            && let Some(owner) = &kept.owner
        {
            self.tell_owner(owner, message, &kept.id, kept.verdict);
        }
    }
}

#[cfg(test)]
#[path = "ended_messages_test.rs"]
mod tests;
