//! Memory: what each accepted message holds and may still need, what is measured now and then, and how memory goes
//! back when a burst is over. What there is room for is decided by the ledger (`stairshed-memory`).

use super::Dispatcher;
use super::held_message::HeldMessage;
use crate::events::{Reply, Submission};
use crate::memory_budget::MemoryBudget;
use crate::system;
use stairshed_decide::weigh;
use stairshed_journal::{Attempt, Kept, Letter, ROW};
use stairshed_memory::{Charge, Guest, Level, Purpose, Refused, Reserve};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// How often the ledger is looked at, and what is estimated is measured, while there is traffic.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Memory goes back this long after the traffic that took it, and again as often while there is some.
pub(super) const RELEASE_DELAY: Duration = Duration::from_secs(10);
/// Under pressure it goes back at once, and no oftener than this.
const MIN_TRIM_INTERVAL: Duration = Duration::from_secs(2);
/// With less than this free in the allocator's hands giving it back is not worth the page faults to come, bytes.
const MIN_FREE_TO_TRIM_BYTES: u64 = 512_000;
/// A table that is this many times as large as what is in it shrinks.
const SHRINK_FACTOR: usize = 4;
/// Entries for which a table may always have room.
const MIN_SHRINK_CAPACITY: usize = 256;

/// What an entry of a hash table takes beside its bytes: tables are between 44 and 87 % full.
const fn hash_entry_bytes(bytes: usize) -> usize {
    (bytes + 1) * 3 / 2
}

/// An entry of a B-tree whose keys only rise.
const fn btree_entry_bytes(bytes: usize) -> usize {
    (bytes + 2) * 11 / 6
}

/// A string beside its bytes: what a small allocation takes.
const STRING_OVERHEAD_BYTES: usize = 16;

/// What each accepted message takes beside its strings: letter, rows in the journal, the module, the tables of the
/// owner, and the guards of this memory.
const MESSAGE_BYTES: u64 = weigh::MESSAGE
    + ROW
    + (size_of::<Letter>()
        + 32
        + hash_entry_bytes(size_of::<(String, u64)>())
        + btree_entry_bytes(size_of::<(u64, HeldMessage)>())
        + btree_entry_bytes(size_of::<(u64, MessageMemory)>())
        + 4 * STRING_OVERHEAD_BYTES) as u64;
/// Room for the records of a message's attempts: a vector has room for four from its first entry.
const ATTEMPTS_BYTES: u64 = (4 * (size_of::<Attempt>() + 64)) as u64;
/// A notice beside its id, with its place in the queue and in a batch, and its line.
const NOTICE_BYTES: u64 = 250;
/// What is remembered of a message beside its id and client: rows in the journal and in the owner's tables.
const REMEMBERED_BYTES: u64 = ROW
    + (size_of::<Kept>()
        + 32
        + hash_entry_bytes(size_of::<(String, u64)>())
        + hash_entry_bytes(8)
        + btree_entry_bytes(size_of::<(Duration, u64)>())
        + btree_entry_bytes(size_of::<(u64, Charge)>())
        + 3 * STRING_OVERHEAD_BYTES) as u64;
/// An outcome on its way to an MQTT client, beside the id in it.
const OUTCOME_BYTES: u64 = 150;

/// What an accepted message has, until it has ended.
pub(super) struct MessageMemory {
    _body: Charge,
    _rows: Charge,
    _attempts: Reserve,
    /// Taken at acceptance, drawn when there is a notice.
    notice: Reserve,
    notice_charge: Option<Charge>,
    /// For what stays of it, where something does.
    kept: Option<Reserve>,
    _outcome: Option<Reserve>,
}

pub(super) struct Memory {
    pub(super) budget: MemoryBudget,
    messages: BTreeMap<u64, MessageMemory>,
    remembered: BTreeMap<u64, Charge>,
    module: Charge,
    journal: Charge,
    configuration: Charge,
    last_sample: Option<Instant>,
    /// When memory goes back, if there was traffic since it did.
    release_at: Option<Instant>,
    /// When it was given back under pressure.
    last_trim: Option<Instant>,
}

impl Memory {
    pub(super) fn new(budget: MemoryBudget) -> Memory {
        let none = |purpose| budget.ledger.force(purpose, 0);
        Memory {
            module: none(Purpose::Module),
            journal: none(Purpose::Journal),
            configuration: none(Purpose::Configuration),
            budget,
            messages: BTreeMap::new(),
            remembered: BTreeMap::new(),
            last_sample: None,
            release_at: None,
            last_trim: None,
        }
    }

    /// When [`Dispatcher::look_at_memory`] is due without other news.
    pub(super) fn due(&self) -> Option<Instant> {
        // One that is not ample is looked at until it is: its level must not stand for good after the last message.
        let level = self.budget.ledger.worst() > Level::Ample;
        let sample = self.last_sample.filter(|_| level).map(|at| at + SAMPLE_INTERVAL);
        sample.into_iter().chain(self.release_at).min()
    }

    /// Room for a message, and for all that may be needed on its behalf.
    fn reserve(
        &self,
        letter: &Letter,
        body: Charge,
        (guest, accepts_outcomes): (Option<&Guest>, bool),
    ) -> Result<MessageMemory, Refused> {
        let ledger = &self.budget.ledger;
        let body = body.turn_into(Purpose::BodiesHeld).map_err(|(_, refused)| refused)?;
        let needs = MemoryNeeds::of(letter, accepts_outcomes);
        // Its record is buffered until the turn has been written.
        ledger.fits(Purpose::Journal, body.bytes() + needs.rows, None)?;
        Ok(MessageMemory {
            _body: body,
            _rows: ledger.take(Purpose::Messages, needs.rows, guest)?,
            _attempts: ledger.reserve(Purpose::Messages, ATTEMPTS_BYTES)?,
            notice: ledger.reserve(Purpose::Notices, needs.notice)?,
            notice_charge: None,
            kept: needs.kept.map(|bytes| ledger.reserve(Purpose::Remembered, bytes)).transpose()?,
            _outcome: needs.outcome.map(|bytes| ledger.reserve(Purpose::Sessions, bytes)).transpose()?,
        })
    }

    /// The same for a message of an earlier life, which cannot be refused.
    pub(super) fn resume_message(&mut self, message: u64, letter: &Letter) {
        let ledger = &self.budget.ledger;
        let needs = MemoryNeeds::of(letter, true);
        let memory = MessageMemory {
            _body: ledger.force(Purpose::BodiesHeld, letter.body.len() as u64),
            _rows: ledger.force(Purpose::Messages, needs.rows),
            _attempts: ledger.force_reserve(Purpose::Messages, ATTEMPTS_BYTES),
            notice: ledger.force_reserve(Purpose::Notices, needs.notice),
            notice_charge: None,
            kept: needs.kept.map(|bytes| ledger.force_reserve(Purpose::Remembered, bytes)),
            _outcome: needs.outcome.map(|bytes| ledger.force_reserve(Purpose::Sessions, bytes)),
        };
        self.messages.insert(message, memory);
    }

    pub(super) fn accepted(&mut self, message: u64, memory: MessageMemory) {
        self.messages.insert(message, memory);
    }

    /// There is a notice of it.
    pub(super) fn add_notice(&mut self, message: u64) {
        if let Some(memory) = self.messages.get_mut(&message) {
            let bytes = memory.notice.bytes();
            memory.notice_charge = Some(memory.notice.draw(bytes));
        }
    }

    /// It has ended, and this stays of it.
    pub(super) fn remember(&mut self, message: u64, kept: &Kept) {
        let bytes =
            REMEMBERED_BYTES + (2 * kept.id.len() + kept.owner.as_ref().map_or(0, String::len)) as u64;
        let reserve = self.messages.remove(&message).and_then(|memory| memory.kept);
        let charge = match reserve {
            Some(mut reserve) => reserve.draw(bytes),
            None => self.budget.ledger.force(Purpose::Remembered, bytes),
        };
        self.remembered.insert(message, charge);
    }

    /// Nothing of it is left.
    pub(super) fn release(&mut self, message: u64) {
        self.messages.remove(&message);
        self.remembered.remove(&message);
    }

    /// A configuration of so many bytes is in effect.
    pub(super) fn set_configuration_bytes(&mut self, bytes: u64) {
        self.configuration.set(bytes);
    }
}

/// What a message takes and may need, by purpose, bytes.
struct MemoryNeeds {
    rows: u64,
    notice: u64,
    kept: Option<u64>,
    outcome: Option<u64>,
}

impl MemoryNeeds {
    /// `accepts_outcomes` says whether its client reads how it ends.
    fn of(letter: &Letter, accepts_outcomes: bool) -> MemoryNeeds {
        let id = letter.id.len() as u64;
        // The id stands with the letter and in the owner's table, the key with the letter.
        let strings = 2 * id + (letter.class.len() + letter.key.as_ref().map_or(0, String::len)) as u64;
        let Some(routed) = &letter.routed else {
            return MemoryNeeds {
                rows: MESSAGE_BYTES + strings,
                notice: NOTICE_BYTES + 2 * id,
                kept: None,
                outcome: None,
            };
        };
        let headers = routed
            .headers
            .iter()
            .map(|(n, v)| n.len() + v.len() + 2 * STRING_OVERHEAD_BYTES + size_of::<(String, String)>());
        // An order stands with the letter and thrice in the module.
        let order = routed.order.as_ref().map_or(0, |o| 4 * (o.len() + STRING_OVERHEAD_BYTES) + 200);
        let owner = routed.owner.as_ref().map_or(0, String::len);
        let routed_bytes = routed.route.len()
            + routed.method.len()
            + routed.path.len()
            + owner
            + order
            + headers.sum::<usize>();
        let leaves_record = routed.owner.is_some() || !routed.remember.is_zero();
        MemoryNeeds {
            rows: MESSAGE_BYTES + strings + routed_bytes as u64 + 4 * STRING_OVERHEAD_BYTES as u64,
            notice: NOTICE_BYTES + 2 * id,
            kept: leaves_record.then_some(REMEMBERED_BYTES + 2 * id + owner as u64),
            outcome: routed.owner.as_ref().filter(|_| accepts_outcomes).map(|_| OUTCOME_BYTES + id),
        }
    }
}

/// A table that shrinks once most of it is empty.
pub(super) trait Shrink {
    fn tighten(&mut self);
}

macro_rules! impl_shrink {
    ($($of:ty where $($t:ident $(: $bound:path)?),+);+ $(;)?) => {$(
        impl<$($t $(: $bound)?),+> Shrink for $of {
            fn tighten(&mut self) {
                if self.capacity() > MIN_SHRINK_CAPACITY.max(self.len() * SHRINK_FACTOR) {
                    self.shrink_to(self.len() * 2);
                }
            }
        }
    )+};
}

/// A key of a hash table.
pub(super) trait HashKey: Eq + std::hash::Hash {}

impl<T: Eq + std::hash::Hash> HashKey for T {}

impl_shrink! {
    Vec<T> where T;
    std::collections::VecDeque<T> where T;
    HashMap<K, V> where K: HashKey, V;
    std::collections::HashSet<K> where K: HashKey;
}

impl Dispatcher {
    /// Why there is no memory for an offer; else what it holds from now on.
    pub(super) fn reserve_memory(&mut self, submission: &mut Submission) -> Result<MessageMemory, Reply> {
        // The offer keeps a charge of nothing: what it had is the message's.
        let none = self.memory.budget.ledger.force(Purpose::BodiesRead, 0);
        let body = std::mem::replace(&mut submission.body_charge, none);
        let owner = submission.letter.routed.as_ref().and_then(|r| r.owner.as_ref());
        let accepts_outcomes = owner.is_some_and(|owner| self.accepts_outcomes(owner));
        let held =
            self.memory.reserve(&submission.letter, body, (submission.guest.as_ref(), accepts_outcomes));
        held.map_err(|refused| Reply::OutOfMemory(self.memory.budget.refusal(refused)))
    }

    /// Measures what is estimated, tells of levels that changed, and gives back what a burst has left.
    pub(super) fn check_memory(&mut self, traffic: bool) {
        let now = Instant::now();
        if traffic && self.memory.release_at.is_none() {
            self.memory.release_at = Some(now + RELEASE_DELAY);
        }
        let sampled_recently = self.memory.last_sample.is_some_and(|at| now < at + SAMPLE_INTERVAL);
        let idle = !traffic && self.memory.due().is_none_or(|at| now < at);
        if !sampled_recently && !idle {
            self.memory.last_sample = Some(now);
            self.sample();
        }
        if self.memory.release_at.is_some_and(|at| at <= now) {
            // Once more after the next traffic, if there is any.
            self.memory.release_at = None;
            self.release_memory();
        }
    }

    fn sample(&mut self) {
        let (module, journal) = (self.brain.weigh().endpoints, self.journal.memory());
        self.memory.module.set(module);
        self.memory.journal.set(journal);
        if let Some(frontend) = &self.frontend {
            frontend.measure_memory();
        }
        let budget = &self.memory.budget;
        if budget.ledger.total().is_some()
            && let Some(resident) = system::resident()
        {
            budget.ledger.weighed(resident);
        }
        for change in budget.ledger.tick(budget.now()) {
            eprintln!("{change}");
        }
        // Caches go first: connections that are kept for the next call.
        if budget.ledger.level(Purpose::Endpoints) > Level::Ample || budget.ledger.whole() > Level::Ample {
            self.attempts.calls.close_half();
        }
        // Memory that is free in the allocator's hands must not be the reason of a refusal. To look for it costs some
        // milliseconds where much is in pieces, so it is not done at each look.
        let pressed = budget.ledger.whole() > Level::Ample;
        if pressed && self.memory.last_trim.is_none_or(|at| at.elapsed() > MIN_TRIM_INTERVAL) {
            self.memory.last_trim = Some(Instant::now());
            self.release_memory();
        }
    }

    /// All tables of the owner that grow with a burst, in one place; B-trees give back by themselves.
    fn release_memory(&mut self) {
        let tables: [&mut dyn Shrink; 7] = [
            &mut self.events,
            &mut self.state_numbers,
            &mut self.acceptance.ids,
            &mut self.members.endpoints,
            &mut self.members.ids_by_host,
            &mut self.records.waiting,
            &mut self.notices.queue,
        ];
        tables.into_iter().for_each(Shrink::tighten);
        self.ended_messages.shrink_tables();
        let free = system::allocator().map_or(0, |a| a.free);
        if free > MIN_FREE_TO_TRIM_BYTES {
            system::trim();
        }
    }
}
