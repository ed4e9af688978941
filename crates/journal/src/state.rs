//! What the records come to: the messages that live, where each begins in the log, and what they weigh. The
//! same code applies a record when it is written and when it is read again.

use crate::log::FRAME_OVERHEAD_BYTES;
use crate::options::Options;
use crate::record::{Attempt, ENDED_BYTES, EndedMessage, LiveMessage, Note, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// What a number stands for.
#[derive(Clone)]
pub(crate) enum Item {
    Live(LiveMessage),
    Kept(Rc<EndedMessage>),
    Note(Rc<Note>),
}

impl Item {
    /// The record that says the same.
    pub fn record(&self, number: u64) -> Record {
        match self {
            Item::Live(live) => Record::Snapshot { message: number, live: live.clone() },
            Item::Kept(kept) => Record::Kept { message: number, kept: kept.clone() },
            Item::Note(note) => Record::Note { number, note: note.clone() },
        }
    }

    pub fn live(&self) -> Option<&LiveMessage> {
        match self {
            Item::Live(live) => Some(live),
            Item::Kept(_) | Item::Note(_) => None,
        }
    }
}

pub(crate) struct Entry {
    pub item: Item,
    /// Sequence number of its latest snapshot: nothing about it before that is needed.
    pub seq: u64,
    /// Bytes of its records that are needed, frames included.
    pub bytes: u64,
    /// The most that `bytes` may come to.
    pub reserved_bytes: u64,
}

#[derive(Default)]
pub(crate) struct State {
    entries: BTreeMap<u64, Entry>,
    /// By where they begin in the log: those of the oldest segment first.
    order: BTreeMap<u64, u64>,
    /// Sums over all slots.
    reserved_bytes: u64,
    bytes: u64,
    /// Bytes of notes' keys and values, with their rows.
    notes: u64,
    /// The highest number that any record names.
    last_number: u64,
    /// The latest time that any record tells, Unix time.
    latest_time: Duration,
    /// Messages with records and no beginning. Empty at the end of a log of which nothing is lost.
    orphans: BTreeSet<u64>,
}

/// What a record weighs that only its end may follow.
pub(crate) fn with_end_record(bytes: u64) -> u64 {
    bytes + FRAME_OVERHEAD_BYTES + ENDED_BYTES
}

/// What a row takes in memory: its slot and its place in the order, in B-trees whose nodes are half full, since
/// numbers rise.
pub const STATE_ENTRY_BYTES: u64 =
    ((size_of::<(u64, Entry)>() + size_of::<(u64, u64)>() + 4) * 11 / 6) as u64;

fn note_memory_bytes(item: &Item) -> u64 {
    match item {
        Item::Note(note) => {
            STATE_ENTRY_BYTES + (size_of::<Note>() + note.key.len() + note.value.len()) as u64 + 48
        }
        Item::Live(_) | Item::Kept(_) => 0,
    }
}

impl State {
    /// Applies a record that takes `bytes` in the log.
    pub fn apply(&mut self, record: Record, seq: u64, bytes: u64, options: &Options) {
        let Some(message) = record.message() else { return };
        self.last_number = self.last_number.max(message);
        match record {
            Record::Snapshot { live, .. } => {
                self.orphans.remove(&message);
                let before = self.remove(message);
                let sent = live.attempts.iter().map(|a| a.sent_at).max();
                self.latest_time =
                    self.latest_time.max(sent.unwrap_or_default()).max(live.accepted.accepted_at);
                // A copy weighs what the message did; it is no longer than what it replaces.
                let reserved_bytes = before
                    .map_or(0, |entry| entry.reserved_bytes)
                    .max(options.reserved_bytes(&live.accepted))
                    .max(bytes);
                self.insert(message, Entry { item: Item::Live(live), seq, bytes, reserved_bytes });
            }
            Record::Kept { kept, .. } => {
                self.orphans.remove(&message);
                self.remove(message);
                self.insert(
                    message,
                    Entry { item: Item::Kept(kept), seq, bytes, reserved_bytes: with_end_record(bytes) },
                );
            }
            Record::Note { note, .. } => {
                self.remove(message);
                self.insert(
                    message,
                    Entry { item: Item::Note(note), seq, bytes, reserved_bytes: with_end_record(bytes) },
                );
            }
            Record::Ended { .. } => {
                self.orphans.remove(&message);
                self.remove(message);
            }
            Record::Attempt { index, attempt, .. } => {
                self.latest_time = self.latest_time.max(attempt.sent_at);
                self.append_to_entry(message, bytes, |live| {
                    // Those between were lost with a part of the log.
                    while live.attempts.len() < usize::from(index) {
                        live.attempts.push(Attempt::unknown(attempt.sent_at));
                    }
                    if live.attempts.len() == usize::from(index) {
                        live.attempts.push(attempt);
                    }
                });
            }
            Record::NeverRan { index, .. } => self.append_to_entry(message, bytes, |live| {
                if let Some(a) = live.attempts.get_mut(usize::from(index)) {
                    a.may_have_run = false;
                }
            }),
            Record::Judged { verdict, .. } => {
                self.append_to_entry(message, bytes, |live| live.verdict = Some(verdict))
            }
            Record::Trim { .. } | Record::Synced { .. } => {}
        }
    }

    fn append_to_entry(&mut self, message: u64, bytes: u64, change: impl FnOnce(&mut LiveMessage)) {
        let Some(entry) = self.entries.get_mut(&message) else {
            self.orphans.insert(message);
            return;
        };
        // Nothing is recorded of an attempt once its message has ended.
        if let Item::Live(live) = &mut entry.item {
            change(live);
        }
        entry.bytes += bytes;
        self.bytes += bytes;
        let more = entry.bytes.saturating_sub(entry.reserved_bytes);
        entry.reserved_bytes += more;
        self.reserved_bytes += more;
    }

    /// Lets a message weigh `more`.
    pub fn reserve_more(&mut self, message: u64, more: u64) {
        if let Some(entry) = self.entries.get_mut(&message) {
            entry.reserved_bytes += more;
            self.reserved_bytes += more;
        }
    }

    fn insert(&mut self, message: u64, entry: Entry) {
        self.reserved_bytes += entry.reserved_bytes;
        self.bytes += entry.bytes;
        self.notes += note_memory_bytes(&entry.item);
        self.order.insert(entry.seq, message);
        self.entries.insert(message, entry);
    }

    fn remove(&mut self, message: u64) -> Option<Entry> {
        let entry = self.entries.remove(&message)?;
        self.order.remove(&entry.seq);
        self.reserved_bytes -= entry.reserved_bytes;
        self.bytes -= entry.bytes;
        self.notes -= note_memory_bytes(&entry.item);
        Some(entry)
    }

    pub fn get(&self, message: u64) -> Option<&Entry> {
        self.entries.get(&message)
    }

    pub fn live(&self) -> impl Iterator<Item = (u64, &LiveMessage)> {
        self.items().filter_map(|(message, item)| Some((message, item.live()?)))
    }

    pub fn items(&self) -> impl Iterator<Item = (u64, &Item)> {
        self.entries.iter().map(|(number, entry)| (*number, &entry.item))
    }

    /// Where the message begins that begins first, and which it is.
    pub fn first(&self) -> Option<(u64, u64)> {
        self.order.first_key_value().map(|(seq, message)| (*seq, *message))
    }

    /// Bytes of memory that notes take.
    pub fn notes(&self) -> u64 {
        self.notes
    }

    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that the live messages may still add.
    pub fn outstanding_bytes(&self) -> u64 {
        self.reserved_bytes - self.bytes
    }

    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    pub fn latest_time(&self) -> Duration {
        self.latest_time
    }

    pub fn orphans(&self) -> &BTreeSet<u64> {
        &self.orphans
    }

    /// Messages that live, begin before `seq` and have no verdict.
    pub fn undecided_before(&self, seq: u64) -> Vec<u64> {
        let begun = self.order.range(..seq).map(|(_, message)| *message);
        begun
            .filter(|m| {
                self.entries
                    .get(m)
                    .and_then(|entry| entry.item.live())
                    .is_some_and(|live| live.verdict.is_none())
            })
            .collect()
    }
}
