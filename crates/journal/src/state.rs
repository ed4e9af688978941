//! The state that the records add up to: live messages, where each begins in the log, and the space reserved
//! for it. Writing and recovery apply records with the same code.

use crate::log::FRAME_OVERHEAD_BYTES;
use crate::options::Options;
use crate::record::{Attempt, ENDED_BYTES, EndedMessage, LiveMessage, Note, Record};
use stairshed_clock::StableTime;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What is stored under a number.
#[derive(Clone)]
pub(crate) enum Item {
    Live(LiveMessage),
    Kept(Rc<EndedMessage>),
    Note(Rc<Note>),
}

impl Item {
    /// The record that restores this item.
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

/// An item with its position in the log and its space.
pub(crate) struct Entry {
    pub item: Item,
    /// Sequence number of its latest snapshot; earlier records of it are dead.
    pub seq: u64,
    /// Bytes of its live records, including frames.
    pub bytes: u64,
    /// Upper limit for `bytes`.
    pub reserved_bytes: u64,
}

/// All entries, by number.
#[derive(Default)]
pub(crate) struct State {
    entries: BTreeMap<u64, Entry>,
    /// Numbers by the sequence number at which they begin, so the oldest segment comes first.
    order: BTreeMap<u64, u64>,
    /// Sums over all entries.
    reserved_bytes: u64,
    bytes: u64,
    /// Memory in bytes for the notes' keys, values and entries.
    notes: u64,
    /// Highest number in any record.
    last_number: u64,
    /// Latest time in any record.
    latest_time: StableTime,
    /// Numbers that have records but no snapshot. Empty at the end of an undamaged log.
    orphans: BTreeSet<u64>,
}

/// Space for a record that only an `Ended` record can follow.
pub(crate) fn with_end_record(bytes: u64) -> u64 {
    bytes + FRAME_OVERHEAD_BYTES + ENDED_BYTES
}

/// Memory of an entry: the entry itself and its place in the order, in B-trees whose nodes are half full
/// because numbers are inserted in ascending order.
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
                // A copy keeps the reservation; it is no longer than the records that it replaces.
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
                    // The records of the attempts in between were lost.
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
        // Attempts are not recorded after their message has ended.
        if let Item::Live(live) = &mut entry.item {
            change(live);
        }
        entry.bytes += bytes;
        self.bytes += bytes;
        let more = entry.bytes.saturating_sub(entry.reserved_bytes);
        entry.reserved_bytes += more;
        self.reserved_bytes += more;
    }

    /// Reserves `more` bytes for a message.
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

    /// Sequence number and number of the entry that begins first in the log.
    pub fn first(&self) -> Option<(u64, u64)> {
        self.order.first_key_value().map(|(seq, message)| (*seq, *message))
    }

    /// Memory in bytes that notes take.
    pub fn notes(&self) -> u64 {
        self.notes
    }

    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that are reserved and not written yet.
    pub fn outstanding_bytes(&self) -> u64 {
        self.reserved_bytes - self.bytes
    }

    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    pub fn latest_time(&self) -> StableTime {
        self.latest_time
    }

    pub fn orphans(&self) -> &BTreeSet<u64> {
        &self.orphans
    }

    /// Live messages without a verdict that begin before `seq`.
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
