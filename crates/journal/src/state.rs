//! What the records come to: the messages that live, where each begins in the log, and what they weigh. The
//! same code applies a record when it is written and when it is read again.

use crate::options::Options;
use crate::record::{Attempt, Live, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) struct Slot {
    pub live: Live,
    /// Sequence number of its latest snapshot: nothing about it before that is needed.
    pub seq: u64,
    /// Bytes of its records that are needed, frames included.
    pub bytes: u64,
    /// The most that `bytes` may come to.
    pub weight: u64,
}

#[derive(Default)]
pub(crate) struct State {
    slots: BTreeMap<u64, Slot>,
    /// By where they begin in the log: those of the oldest segment first.
    order: BTreeMap<u64, u64>,
    /// Sums over all slots.
    weight: u64,
    bytes: u64,
    /// The highest number that any record names.
    last: u64,
    /// The latest time that any record tells, Unix time.
    latest: Duration,
    /// Messages with records and no beginning. Empty at the end of a log of which nothing is lost.
    headless: BTreeSet<u64>,
}

impl State {
    /// Applies a record that takes `bytes` in the log.
    pub fn apply(&mut self, record: Record, seq: u64, bytes: u64, options: &Options) {
        let Some(message) = record.message() else { return };
        self.last = self.last.max(message);
        match record {
            Record::Snapshot { live, .. } => {
                self.headless.remove(&message);
                let before = self.remove(message);
                let sent = live.attempts.iter().map(|a| a.sent).max();
                self.latest = self.latest.max(sent.unwrap_or_default()).max(live.letter.taken);
                // A copy weighs what the message did; it is no longer than what it replaces.
                let weight =
                    before.map_or(0, |slot| slot.weight).max(options.weight(&live.letter)).max(bytes);
                self.weight += weight;
                self.bytes += bytes;
                self.order.insert(seq, message);
                self.slots.insert(message, Slot { live, seq, bytes, weight });
            }
            Record::Ended { .. } => {
                self.headless.remove(&message);
                self.remove(message);
            }
            Record::Attempt { index, attempt, .. } => {
                self.latest = self.latest.max(attempt.sent);
                self.grow(message, bytes, |live| {
                    // Those between were lost with a part of the log.
                    while live.attempts.len() < usize::from(index) {
                        live.attempts.push(Attempt::unknown(attempt.sent));
                    }
                    if live.attempts.len() == usize::from(index) {
                        live.attempts.push(attempt);
                    }
                });
            }
            Record::NeverRan { index, .. } => self.grow(message, bytes, |live| {
                if let Some(a) = live.attempts.get_mut(usize::from(index)) {
                    a.may_have_run = false;
                }
            }),
            Record::Judged { verdict, .. } => self.grow(message, bytes, |live| live.verdict = Some(verdict)),
            Record::Trim { .. } | Record::Synced { .. } => {}
        }
    }

    fn grow(&mut self, message: u64, bytes: u64, change: impl FnOnce(&mut Live)) {
        let Some(slot) = self.slots.get_mut(&message) else {
            self.headless.insert(message);
            return;
        };
        change(&mut slot.live);
        slot.bytes += bytes;
        self.bytes += bytes;
        let more = slot.bytes.saturating_sub(slot.weight);
        slot.weight += more;
        self.weight += more;
    }

    /// Lets a message weigh `more`.
    pub fn weigh(&mut self, message: u64, more: u64) {
        if let Some(slot) = self.slots.get_mut(&message) {
            slot.weight += more;
            self.weight += more;
        }
    }

    fn remove(&mut self, message: u64) -> Option<Slot> {
        let slot = self.slots.remove(&message)?;
        self.order.remove(&slot.seq);
        self.weight -= slot.weight;
        self.bytes -= slot.bytes;
        Some(slot)
    }

    pub fn get(&self, message: u64) -> Option<&Slot> {
        self.slots.get(&message)
    }

    pub fn live(&self) -> impl Iterator<Item = (u64, &Live)> {
        self.slots.iter().map(|(message, slot)| (*message, &slot.live))
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Where the message begins that begins first, and which it is.
    pub fn first(&self) -> Option<(u64, u64)> {
        self.order.first_key_value().map(|(seq, message)| (*seq, *message))
    }

    pub fn weight(&self) -> u64 {
        self.weight
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that the live messages may still add.
    pub fn owed(&self) -> u64 {
        self.weight - self.bytes
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    pub fn latest(&self) -> Duration {
        self.latest
    }

    pub fn headless(&self) -> &BTreeSet<u64> {
        &self.headless
    }

    /// Messages that live, begin before `seq` and have no verdict.
    pub fn undecided_before(&self, seq: u64) -> Vec<u64> {
        let begun = self.order.range(..seq).map(|(_, message)| *message);
        begun.filter(|m| self.slots.get(m).is_some_and(|slot| slot.live.verdict.is_none())).collect()
    }
}
