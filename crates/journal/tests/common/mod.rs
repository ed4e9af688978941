//! A journal beside a plain map that says what it must hold, over a folder in memory.
#![allow(dead_code)]

use bytes::Bytes;
use stairshed_journal::storage::faulty::Faulty;
use stairshed_journal::{Attempt, Durability, Journal, Letter, Live, Options, Report, Verdict};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub type Map = BTreeMap<u64, Live>;
pub type Image = BTreeMap<String, Vec<u8>>;

pub const NOW: Duration = Duration::from_secs(1_790_000_000);

/// Small segments, so that a short history has many.
pub fn small(durability: Durability) -> Options {
    Options {
        segment: Some(1500),
        record_most: 600,
        durability,
        attempts: 3,
        names: 12,
        ..Options::new(60_000)
    }
}

pub fn letter(id: u64, body: usize) -> Rc<Letter> {
    Rc::new(Letter {
        id: format!("id-{id}"),
        class: "payment".to_owned(),
        destination: id % 3,
        key: id.is_multiple_of(2).then(|| format!("k-{id}")),
        taken: NOW,
        until: NOW + Duration::from_secs(30),
        body: Bytes::from(vec![id as u8; body]),
        routed: None,
    })
}

pub fn attempt(n: u64) -> Attempt {
    let sent = NOW + Duration::from_micros(n);
    Attempt { host: format!("s-{}", n % 10), zone: "a".to_owned(), sent, may_have_run: true }
}

pub fn state(journal: &Journal) -> Map {
    journal.live().map(|(n, m)| (n, m.clone())).collect()
}

pub fn open(folder: &Faulty, options: Options) -> (Journal, Report) {
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
    Flush,
    Compact(u64),
    Sync,
}

/// A journal and the map beside it.
pub struct Pair {
    pub folder: Faulty,
    pub journal: Journal,
    pub map: Map,
    next: u64,
}

impl Pair {
    pub fn new(folder: Faulty, options: Options) -> Self {
        let (journal, _) = open(&folder, options);
        let map = state(&journal);
        let next = journal.last() + 1;
        Pair { folder, journal, map, next }
    }

    fn pick(&self, n: usize) -> Option<u64> {
        (!self.map.is_empty()).then(|| *self.map.keys().nth(n % self.map.len()).expect("it is in range"))
    }

    /// Does one thing to both. True if it was kept, as the settings mean it, when it returned.
    pub fn act(&mut self, what: &Do) -> bool {
        match what {
            Do::Accept(body) => {
                let (number, letter) = (self.next, letter(self.next, *body));
                if self.journal.fits(&letter).is_ok() {
                    self.next += 1;
                    self.journal.accept(number, letter.clone());
                    self.map.insert(number, Live { letter, attempts: Vec::new(), verdict: None });
                }
            }
            Do::Attempt(n) => {
                if let Some(number) = self.pick(*n) {
                    let new = attempt(self.next + *n as u64);
                    if self.journal.attempt(number, new.clone()).is_ok() {
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
                        self.journal.never_ran(number, a as u32);
                    }
                }
            }
            Do::Judge(n, kind) => {
                if let Some(number) = self.pick(*n)
                    && self.map[&number].verdict.is_none()
                {
                    let wait = (*kind == 2).then(|| Duration::from_millis(250));
                    let verdict = if *kind == 0 { Verdict::Dead } else { Verdict::Bounced { wait } };
                    self.journal.judge(number, verdict);
                    self.map.get_mut(&number).expect("it lives").verdict = Some(verdict);
                }
            }
            Do::End(n) => {
                if let Some(number) = self.pick(*n) {
                    self.journal.end(number);
                    self.map.remove(&number);
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
