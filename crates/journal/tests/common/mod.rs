//! A journal beside a plain map that says what it must hold, over a folder in memory.
#![allow(dead_code)]

use bytes::Bytes;
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
/// What stays of messages that have ended, and notes.
pub type Rest = (BTreeMap<u64, EndedMessage>, BTreeMap<u64, Note>);
pub type Image = BTreeMap<String, Vec<u8>>;

pub const NOW: Duration = Duration::from_secs(1_790_000_000);

/// Small segments, so that a short history has many.
pub fn small(durability: Durability) -> Options {
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

pub fn rest(journal: &Journal) -> Rest {
    let kept = journal.ended_messages().map(|(n, k)| (n, EndedMessage::clone(k))).collect();
    (kept, journal.notes().map(|(n, note)| (n, Note::clone(note))).collect())
}

/// All that a journal holds.
pub fn whole(journal: &Journal) -> (Map, Rest) {
    (state(journal), rest(journal))
}

pub fn open(folder: &FaultyStorage, options: Options) -> (Journal, RecoveryReport) {
    Journal::open(Arc::new(folder.clone()), options).expect("the journal opens")
}

/// What is done to a journal. Messages are named by their place among those that live.
#[derive(Clone, Debug)]
pub enum Do {
    Accept(usize),
    Attempt(usize),
    NeverRan(usize, usize),
    Judge(usize, u8),
    End(usize),
    /// A message has ended, and something of it stays.
    Keep(usize, bool),
    /// That is needed no more.
    Forget(usize),
    /// A new note, or the one of this place anew.
    Note(usize, usize),
    Unnote(usize),
    Flush,
    Compact(u64),
    Sync,
}

/// A journal and the map beside it.
pub struct Pair {
    pub folder: FaultyStorage,
    pub journal: Journal,
    pub map: Map,
    pub rest: Rest,
    next: u64,
}

/// The number in this place of those that are there.
fn place<T>(of: &BTreeMap<u64, T>, n: usize) -> Option<u64> {
    (!of.is_empty()).then(|| *of.keys().nth(n % of.len()).expect("it is in range"))
}

impl Pair {
    pub fn new(folder: FaultyStorage, options: Options) -> Self {
        let (journal, _) = open(&folder, options);
        let map = state(&journal);
        let (rest, next) = (rest(&journal), journal.last_number() + 1);
        Pair { folder, journal, map, rest, next }
    }

    fn pick(&self, n: usize) -> Option<u64> {
        place(&self.map, n)
    }

    pub fn whole(&self) -> (Map, Rest) {
        (self.map.clone(), self.rest.clone())
    }

    /// Does one thing to both. True if it was kept, as the settings mean it, when it returned.
    pub fn act(&mut self, what: &Do) -> bool {
        match what {
            Do::Accept(body) => {
                let (number, accepted) = (self.next, sample_message(self.next, *body));
                if self.journal.can_accept(&accepted).is_ok() {
                    self.next += 1;
                    self.journal.accept(number, accepted.clone());
                    self.map.insert(number, LiveMessage { accepted, attempts: Vec::new(), verdict: None });
                }
            }
            Do::Attempt(n) => {
                if let Some(number) = self.pick(*n) {
                    let new = attempt(self.next + *n as u64);
                    if self.journal.record_attempt(number, new.clone()).is_ok() {
                        self.map.get_mut(&number).expect("it lives").attempts.push(new);
                    }
                }
            }
            Do::NeverRan(n, a) => {
                if let Some(number) = self.pick(*n) {
                    let attempts = &mut self.map.get_mut(&number).expect("it lives").attempts;
                    if !attempts.is_empty() {
                        let a = a % attempts.len();
                        attempts[a].may_have_run = false;
                        self.journal.record_never_ran(number, a as u32);
                    }
                }
            }
            Do::Judge(n, kind) => {
                if let Some(number) = self.pick(*n)
                    && self.map[&number].verdict.is_none()
                {
                    let wait = (*kind == 2).then(|| Duration::from_millis(250));
                    let verdict = if *kind == 0 { Verdict::Dead } else { Verdict::Bounced { wait } };
                    self.journal.record_verdict(number, verdict);
                    self.map.get_mut(&number).expect("it lives").verdict = Some(verdict);
                }
            }
            Do::End(n) => {
                if let Some(number) = self.pick(*n) {
                    self.journal.record_end(number);
                    self.map.remove(&number);
                }
            }
            Do::Keep(n, owned) => {
                if let Some(number) = self.pick(*n)
                    && let Some(live) = self.map.remove(&number)
                {
                    let owner = owned.then(|| "owner".to_owned());
                    let id = live.accepted.id.clone();
                    let kept =
                        EndedMessage { id, owner, verdict: live.verdict, until: live.accepted.deadline };
                    self.journal.replace_with_ended(number, kept.clone());
                    self.rest.0.insert(number, kept);
                }
            }
            Do::Forget(n) => {
                if let Some(number) = place(&self.rest.0, *n) {
                    self.journal.record_end(number);
                    self.rest.0.remove(&number);
                }
            }
            Do::Note(n, length) => {
                let number = place(&self.rest.1, *n).filter(|_| n % 2 == 0).unwrap_or(self.next);
                let note =
                    Note { key: format!("note/{number}"), value: Bytes::from(vec![*n as u8; *length]) };
                if self.journal.can_store_note((note.key.len() + length) as u64).is_ok() {
                    self.next = self.next.max(number + 1);
                    self.journal.store_note(number, note.clone());
                    self.rest.1.insert(number, note);
                }
            }
            Do::Unnote(n) => {
                if let Some(number) = place(&self.rest.1, *n) {
                    self.journal.record_end(number);
                    self.rest.1.remove(&number);
                }
            }
            Do::Flush => return self.journal.flush().is_ok() && self.journal.is_durable(),
            Do::Compact(most) => {
                self.journal.compact(*most);
                return self.journal.flush().is_ok() && self.journal.is_durable();
            }
            Do::Sync => {
                let flushed = self.journal.flush().is_ok();
                if let Some(job) = self.journal.begin_sync() {
                    // A failure is told by what is kept.
                    let _ = self.journal.finish_sync(job.run());
                }
                return flushed && self.journal.is_durable();
            }
        }
        false
    }
}
