//! Taking on: what clients offer, until the module has judged it and they have heard. Owns the offers, the ids of
//! all that is held, and the next message's number; `turn` calls it with the module's refusals.

use super::held_message::{Held, Waiting};
use super::memory::Holding;
use super::{Dispatcher, Verdict};
use crate::events::{Reply, ReplyTo, Submission};
use crate::message_trace;
use stairshed_decide::interface::*;
use stairshed_journal::{Letter, Refusal};
use std::collections::{BTreeMap, HashMap};

/// An offer that waits for the module's word.
pub(super) struct Offered {
    pub(super) class: usize,
    offer: Submission,
    /// The memory that it has if it is taken on.
    holding: Holding,
}

#[derive(Default)]
pub(super) struct Taking {
    /// Those that wait for the module's word.
    pub(super) offers: BTreeMap<u64, Offered>,
    /// Messages by the id that their clients gave them, until they have ended.
    pub(super) ids: HashMap<String, u64>,
    /// Of the next message.
    pub(super) next: u64,
}

impl Taking {
    /// Numbers go on behind the last that an earlier life has used.
    pub(super) fn after(last: u64) -> Self {
        Taking { next: last + 1, ..Taking::default() }
    }
}

impl Dispatcher {
    pub(super) fn offered(&mut self, mut offer: Submission) {
        let answer = |offer: Submission, reply| {
            // A client that is gone hears nothing, and nothing was taken.
            let _ = offer.reply.send(reply);
        };
        // Handed in twice under one id: it is taken already, or about to be judged.
        if let Some(message) = self.taking.ids.get(&offer.letter.id) {
            let judged = !self.taking.offers.contains_key(message);
            return answer(offer, if judged { Reply::Accepted } else { Reply::Unavailable });
        }
        if let Some(reply) = self.repeat(&offer.letter) {
            return answer(offer, reply);
        }
        if let Some(reply) = self.no_place(&offer.letter) {
            return self.turn_away(offer, reply);
        }
        let Some(class) = self.class(&offer.letter) else { return self.turn_away(offer, Reply::Failed) };
        let holding = match self.room_for(&mut offer) {
            Ok(holding) => holding,
            Err(reply) => return self.turn_away(offer, reply),
        };
        self.reclassify();
        let message = self.taking.next;
        self.taking.next += 1;
        self.taking.ids.insert(offer.letter.id.clone(), message);
        self.events.push(Event::Accepted(Accepted {
            message: MessageId(message),
            class,
            tenant: 0,
            destination: DestinationId(offer.letter.destination),
            key: offer.letter.routed.as_ref().and_then(|r| r.order.clone()),
            time_left: offer.time_left.saturating_sub(offer.at.elapsed()),
            estimated_work: None,
            history: Past::default(),
        }));
        self.taking.offers.insert(message, Offered { class, offer, holding });
    }

    /// Whether a message of this id is taken on.
    pub(super) fn knows(&self, id: &str) -> bool {
        let held = self.taking.ids.get(id).is_some_and(|message| !self.taking.offers.contains_key(message));
        held || self.ended.knows(id)
    }

    /// Why a message cannot be taken on before the module is asked.
    pub(super) fn no_place(&mut self, letter: &Letter) -> Option<Reply> {
        if self.records.disk_failed.is_some() {
            return Some(Reply::JournalRefused(Refusal::DiskFails));
        }
        if self.members.removed.contains_key(&letter.destination) {
            return Some(Reply::Unavailable);
        }
        if !self.members.destinations.contains(&letter.destination) {
            return Some(if self.members.listed { Reply::UnknownDestination } else { Reply::Unavailable });
        }
        if self.out.held.len() + self.taking.offers.len() >= self.setup.settings.max_messages {
            return Some(Reply::Refused { wait: None });
        }
        if self.is_crowded(letter) {
            return Some(Reply::TooManyRemembered);
        }
        self.journal.fits(letter).err().map(Reply::JournalRefused)
    }

    /// A client that has given up before it was told counts its message as not taken, and may hand it in
    /// again elsewhere: it must not be sent from here.
    pub(super) fn drop_deserted(&mut self) {
        let deserted: Vec<u64> =
            self.taking.offers.iter().filter(|(_, o)| o.offer.reply.is_closed()).map(|(n, _)| *n).collect();
        for message in deserted {
            if let Some(Offered { offer, .. }) = self.taking.offers.remove(&message) {
                self.taking.ids.remove(&offer.letter.id);
            }
            let of = |e: &Event| matches!(e, Event::Accepted(t) if t.message.0 == message);
            self.events.retain(|e| !of(e));
        }
    }

    /// Records the new messages that the module keeps, then tells the clients.
    pub(super) fn take_on(&mut self, refused: &mut HashMap<u64, Verdict>) {
        let mut taken = Vec::new();
        for (message, Offered { class, offer, holding }) in std::mem::take(&mut self.taking.offers) {
            if let Some(verdict) = refused.remove(&message) {
                self.taking.ids.remove(&offer.letter.id);
                message_trace::log_step(
                    &offer.letter.id,
                    format_args!("refused at once class={} verdict={verdict:?}", offer.letter.class),
                );
                let told = match verdict {
                    Verdict::Bounced { wait } => Reply::Refused { wait },
                    Verdict::Dead => Reply::Failed,
                };
                self.turn_away(offer, told);
                continue;
            }
            // Others of this batch may have taken the room since it was offered.
            if let Err(why) = self.journal.fits(&offer.letter) {
                self.taking.ids.remove(&offer.letter.id);
                self.events.push(Event::Withdrawn { message: MessageId(message) });
                self.turn_away(offer, Reply::JournalRefused(why));
                continue;
            }
            let Submission { letter, reply, .. } = offer;
            message_trace::log_step(
                &letter.id,
                format_args!(
                    "taken number={message} class={} destination={}",
                    letter.class, letter.destination
                ),
            );
            self.journal.accept(message, letter.clone());
            self.memory.accepted(message, holding);
            self.out.held.insert(message, Held { letter, class, attempts: 0, out: None });
            taken.push((message, reply));
        }
        if taken.is_empty() {
            return;
        }
        let seq = self.journal.last_seq();
        let recorded = self.settle();
        for (message, reply) in taken {
            if !recorded {
                // Whether its client hears this or not, it is not taken on.
                let _ = reply.send(Reply::JournalRefused(Refusal::DiskFails));
                self.withdraw(message);
            } else {
                self.when_kept(seq, Waiting::Reply { message, reply });
            }
        }
    }

    /// Tells a client that its message is taken on. One that has left counts it as not taken.
    pub(super) fn taken(&mut self, message: u64, reply: ReplyTo) {
        if reply.send(Reply::Accepted).is_err() {
            if let Some(m) = self.out.held.get(&message) {
                message_trace::log_step(&m.letter.id, format_args!("withdrawn: its client left unheard"));
            }
            self.withdraw(message);
        }
    }

    /// Nobody is owed anything for the message.
    pub(super) fn withdraw(&mut self, message: u64) {
        self.end(message);
        self.out.held.remove(&message);
        self.events.push(Event::Withdrawn { message: MessageId(message) });
    }

    /// The class of a message, by its name and, where a route took it, by what a repeat did then.
    pub(super) fn class(&mut self, letter: &Letter) -> Option<usize> {
        let deadline = letter.until.saturating_sub(letter.taken);
        let Some(routed) = &letter.routed else {
            let classes = &mut self.setup.classes;
            let class = classes.named(&letter.class)?;
            let keyed = classes.get(class).is_some_and(|c| matches!(c.effect, Effect::Keyed { .. }));
            // Without a key no endpoint can tell a repeat from another message.
            let runs_again = keyed && letter.key.is_none();
            return Some(if runs_again {
                classes.recorded(&letter.class, Effect::Once, deadline)
            } else {
                class
            });
        };
        Some(self.setup.classes.recorded(&letter.class, routed.effect, deadline))
    }

    /// Tells the module of classes that came since it was told last: what was taken by an earlier version may
    /// be of one that the present one has not.
    pub(super) fn reclassify(&mut self) {
        if self.setup.classes.len() != self.setup.settings.classes.len() {
            self.setup.settings.classes = self.setup.classes.classes();
            self.reconfigure();
        }
    }
}
