//! A journal in an in-memory directory, together with a plain map as a model of what it must hold.
#![allow(dead_code)]

use bytes::Bytes;
use stairshed_clock::StableTime;
use stairshed_journal::storage::faulty::FaultyStorage;
use stairshed_journal::{
    AcceptedMessage, Attempt, Durability, EndedMessage, Journal, LiveMessage, Note, Options, RecoveryReport,
    Verdict,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub type Map = BTreeMap<u64, LiveMessage>;
/// Records of ended messages, and notes.
pub type EndedAndNotes = (BTreeMap<u64, EndedMessage>, BTreeMap<u64, Note>);
pub type Image = BTreeMap<String, Vec<u8>>;

pub const NOW: StableTime = StableTime::from_epoch(Duration::from_secs(1_790_000_000));

/// Options with small segments, so that a short history has many.
pub fn small_options(durability: Durability) -> Options {
    Options {
        segment_bytes: Some(1500),
        max_record_bytes: 600,
        durability,
        reserved_attempts: 3,
        reserved_name_bytes: 12,
        ..Options::new(60_000)
    }
}

pub fn sample_message(id: u64, body: usize) -> Rc<AcceptedMessage> {
    Rc::new(AcceptedMessage {
        id: format!("id-{id}"),
        class: "payment".to_owned(),
        destination: id % 3,
        key: id.is_multiple_of(2).then(|| format!("k-{id}")),
        accepted_at: NOW,
        deadline: NOW + Duration::from_secs(30),
        body: Bytes::from(vec![id as u8; body]),
        routed: None,
    })
}

pub fn attempt(n: u64) -> Attempt {
    let sent_at = NOW + Duration::from_micros(n);
    Attempt { host: format!("s-{}", n % 10), zone: "a".to_owned(), sent_at, may_have_run: true }
}

pub fn state(journal: &Journal) -> Map {
    journal.live().map(|(n, m)| (n, m.clone())).collect()
}

pub fn ended_and_notes(journal: &Journal) -> EndedAndNotes {
    let kept = journal.ended_messages().map(|(n, k)| (n, EndedMessage::clone(k))).collect();
    (kept, journal.notes().map(|(n, note)| (n, Note::clone(note))).collect())
}

/// Everything that a journal holds.
pub fn contents(journal: &Journal) -> (Map, EndedAndNotes) {
    (state(journal), ended_and_notes(journal))
}

pub fn open(folder: &FaultyStorage, options: Options) -> (Journal, RecoveryReport) {
    Journal::open(Arc::new(folder.clone()), options).expect("the journal opens")
}

/// An operation on a journal. Messages are identified by their index among the live ones, modulo their
/// number.
#[derive(Clone, Debug)]
pub enum Operation {
    Accept(usize),
    Attempt(usize),
    NeverRan(usize, usize),
    SetVerdict(usize, u8),
    End(usize),
    /// Ends a message and keeps a record of it, with an owner if true.
    ReplaceWithEnded(usize, bool),
    /// Removes the record of an ended message.
    RemoveEnded(usize),
    /// Stores a new note, or replaces the note with this index.
    StoreNote(usize, usize),
    RemoveNote(usize),
    Flush,
    Compact(u64),
    Sync,
}

/// A journal and its model.
pub struct ModelledJournal {
    pub folder: FaultyStorage,
    pub journal: Journal,
    pub map: Map,
    pub ended_and_notes: EndedAndNotes,
    next: u64,
}

/// The key with index `n`, modulo the length of the map.
fn nth_key<T>(of: &BTreeMap<u64, T>, n: usize) -> Option<u64> {
    (!of.is_empty()).then(|| *of.keys().nth(n % of.len()).expect("it is in range"))
}

impl ModelledJournal {
    pub fn new(folder: FaultyStorage, options: Options) -> Self {
        let (journal, _) = open(&folder, options);
        let map = state(&journal);
        let (ended_and_notes, next) = (ended_and_notes(&journal), journal.last_number() + 1);
        ModelledJournal { folder, journal, map, ended_and_notes, next }
    }

    fn pick(&self, n: usize) -> Option<u64> {
        nth_key(&self.map, n)
    }

    pub fn contents(&self) -> (Map, EndedAndNotes) {
        (self.map.clone(), self.ended_and_notes.clone())
    }

    /// Applies an operation to both. Returns whether everything was durable when it returned.
    pub fn apply(&mut self, operation: &Operation) -> bool {
        match operation {
            Operation::Accept(body) => {
                let (number, accepted) = (self.next, sample_message(self.next, *body));
                if self.journal.can_accept(&accepted).is_ok() {
                    self.next += 1;
                    self.journal.accept(number, accepted.clone());
                    self.map.insert(number, LiveMessage { accepted, attempts: Vec::new(), verdict: None });
                }
            }
            Operation::Attempt(n) => {
                if let Some(number) = self.pick(*n) {
                    let new = attempt(self.next + *n as u64);
                    if self.journal.record_attempt(number, new.clone()).is_ok() {
                        self.map.get_mut(&number).expect("the message is live").attempts.push(new);
                    }
                }
            }
            Operation::NeverRan(n, a) => {
                if let Some(number) = self.pick(*n) {
                    let attempts = &mut self.map.get_mut(&number).expect("the message is live").attempts;
                    if !attempts.is_empty() {
                        let a = a % attempts.len();
                        attempts[a].may_have_run = false;
                        self.journal.record_never_ran(number, a as u32);
                    }
                }
            }
            Operation::SetVerdict(n, kind) => {
                if let Some(number) = self.pick(*n)
                    && self.map[&number].verdict.is_none()
                {
                    let wait = (*kind == 2).then(|| Duration::from_millis(250));
                    let verdict = match kind {
                        0 => Verdict::Dead,
                        3 => Verdict::Rejected { status: Some(422) },
                        _ => Verdict::Bounced { wait },
                    };
                    self.journal.record_verdict(number, verdict);
                    self.map.get_mut(&number).expect("the message is live").verdict = Some(verdict);
                }
            }
            Operation::End(n) => {
                if let Some(number) = self.pick(*n) {
                    self.journal.record_end(number);
                    self.map.remove(&number);
                }
            }
            Operation::ReplaceWithEnded(n, owned) => {
                if let Some(number) = self.pick(*n)
                    && let Some(live) = self.map.remove(&number)
                {
                    let owner = owned.then(|| "owner".to_owned());
                    let id = live.accepted.id.clone();
                    let kept =
                        EndedMessage { id, owner, verdict: live.verdict, until: live.accepted.deadline };
                    self.journal.replace_with_ended(number, kept.clone());
                    self.ended_and_notes.0.insert(number, kept);
                }
            }
            Operation::RemoveEnded(n) => {
                if let Some(number) = nth_key(&self.ended_and_notes.0, *n) {
                    self.journal.record_end(number);
                    self.ended_and_notes.0.remove(&number);
                }
            }
            Operation::StoreNote(n, length) => {
                let number = nth_key(&self.ended_and_notes.1, *n).filter(|_| n % 2 == 0).unwrap_or(self.next);
                let note =
                    Note { key: format!("note/{number}"), value: Bytes::from(vec![*n as u8; *length]) };
                if self.journal.can_store_note((note.key.len() + length) as u64).is_ok() {
                    self.next = self.next.max(number + 1);
                    self.journal.store_note(number, note.clone());
                    self.ended_and_notes.1.insert(number, note);
                }
            }
            Operation::RemoveNote(n) => {
                if let Some(number) = nth_key(&self.ended_and_notes.1, *n) {
                    self.journal.record_end(number);
                    self.ended_and_notes.1.remove(&number);
                }
            }
            Operation::Flush => return self.journal.flush().is_ok() && self.journal.is_durable(),
            Operation::Compact(most) => {
                self.journal.compact(*most);
                return self.journal.flush().is_ok() && self.journal.is_durable();
            }
            Operation::Sync => {
                let flushed = self.journal.flush().is_ok();
                if let Some(job) = self.journal.begin_sync() {
                    // The return value tells whether the records are durable.
                    let _ = self.journal.finish_sync(job.run());
                }
                return flushed && self.journal.is_durable();
            }
        }
        false
    }
}
