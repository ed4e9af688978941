//! Memory: what each accepted message holds and may still need, what is measured now and then, and how memory goes
//! back when a burst is over. What there is room for is decided by the ledger (`stairshed-memory`).

use super::Dispatcher;
use super::held_message::Held;
use crate::events::{Reply, Submission};
use crate::memory_budget::MemoryBudget;
use crate::process_memory;
use stairshed_decide::memory_usage;
use stairshed_journal::{Attempt, Kept, Letter, ROW};
use stairshed_memory::{Charge, Guest, Level, Purpose, Refused, Reserve};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// How often the ledger is looked at, and what is estimated is measured, while there is traffic.
const SAMPLE: Duration = Duration::from_millis(250);
/// Memory goes back this long after the traffic that took it, and again as often while there is some.
pub(super) const GIVE_BACK: Duration = Duration::from_secs(10);
/// Under pressure it goes back at once, and no oftener than this.
const TRIM_PAUSE: Duration = Duration::from_secs(2);
/// With less than this free in the allocator's hands giving it back is not worth the page faults to come, bytes.
const FREE_LEAST: u64 = 512_000;
/// A table that is this many times as large as what is in it shrinks.
const LOOSE: usize = 4;
/// Entries for which a table may always have room.
const ROOMY: usize = 256;

/// What an entry of a hash table takes beside its bytes: tables are between 44 and 87 % full.
const fn hashed(bytes: usize) -> usize {
    (bytes + 1) * 3 / 2
}

/// An entry of a B-tree whose keys only rise.
const fn treed(bytes: usize) -> usize {
    (bytes + 2) * 11 / 6
}

/// A string beside its bytes: what a small allocation takes.
const STRING: usize = 16;

/// What each accepted message takes beside its strings: letter, rows in the journal, the module, the tables of the
/// owner, and the guards of this memory.
const MESSAGE: u64 = memory_usage::MESSAGE_BYTES
    + ROW
    + (size_of::<Letter>()
        + 32
        + hashed(size_of::<(String, u64)>())
        + treed(size_of::<(u64, Held)>())
        + treed(size_of::<(u64, Holding)>())
        + 4 * STRING) as u64;
/// Room for the records of a message's attempts: a vector has room for four from its first entry.
const ATTEMPTS: u64 = (4 * (size_of::<Attempt>() + 64)) as u64;
/// A notice beside its id, with its place in the queue and in a batch, and its line.
const NOTICE: u64 = 250;
/// What is remembered of a message beside its id and client: rows in the journal and in the owner's tables.
const REMEMBERED: u64 = ROW
    + (size_of::<Kept>()
        + 32
        + hashed(size_of::<(String, u64)>())
        + hashed(8)
        + treed(size_of::<(Duration, u64)>())
        + treed(size_of::<(u64, Charge)>())
        + 3 * STRING) as u64;
/// An outcome on its way to an MQTT client, beside the id in it.
const OUTCOME: u64 = 150;

/// What an accepted message has, until it has ended.
pub(super) struct Holding {
    _body: Charge,
    _rows: Charge,
    _attempts: Reserve,
    /// Taken at acceptance, drawn when there is a notice.
    notice: Reserve,
    told: Option<Charge>,
    /// For what stays of it, where something does.
    kept: Option<Reserve>,
    _outcome: Option<Reserve>,
}

pub(super) struct Memory {
    pub(super) room: MemoryBudget,
    holdings: BTreeMap<u64, Holding>,
    remembered: BTreeMap<u64, Charge>,
    module: Charge,
    journal: Charge,
    configuration: Charge,
    sampled: Option<Instant>,
    /// When memory goes back, if there was traffic since it did.
    give_back: Option<Instant>,
    /// When it was given back under pressure.
    trimmed: Option<Instant>,
}

impl Memory {
    pub(super) fn new(room: MemoryBudget) -> Memory {
        let none = |purpose| room.ledger.force(purpose, 0);
        Memory {
            module: none(Purpose::Module),
            journal: none(Purpose::Journal),
            configuration: none(Purpose::Configuration),
            room,
            holdings: BTreeMap::new(),
            remembered: BTreeMap::new(),
            sampled: None,
            give_back: None,
            trimmed: None,
        }
    }

    /// When [`Dispatcher::look_at_memory`] is due without other news.
    pub(super) fn due(&self) -> Option<Instant> {
        // One that is not ample is looked at until it is: its level must not stand for good after the last message.
        let level = self.room.ledger.worst() > Level::Ample;
        let sample = self.sampled.filter(|_| level).map(|at| at + SAMPLE);
        sample.into_iter().chain(self.give_back).min()
    }

    /// Room for a message, and for all that may be needed on its behalf.
    fn hold(
        &self,
        letter: &Letter,
        body: Charge,
        (guest, hears): (Option<&Guest>, bool),
    ) -> Result<Holding, Refused> {
        let ledger = &self.room.ledger;
        let body = body.turn_into(Purpose::BodiesHeld).map_err(|(_, refused)| refused)?;
        let needs = Needs::of(letter, hears);
        // Its record is buffered until the turn has been written.
        ledger.fits(Purpose::Journal, body.bytes() + needs.rows, None)?;
        Ok(Holding {
            _body: body,
            _rows: ledger.take(Purpose::Messages, needs.rows, guest)?,
            _attempts: ledger.reserve(Purpose::Messages, ATTEMPTS)?,
            notice: ledger.reserve(Purpose::Notices, needs.notice)?,
            told: None,
            kept: needs.kept.map(|bytes| ledger.reserve(Purpose::Remembered, bytes)).transpose()?,
            _outcome: needs.outcome.map(|bytes| ledger.reserve(Purpose::Sessions, bytes)).transpose()?,
        })
    }

    /// The same for a message of an earlier life, which cannot be refused.
    pub(super) fn resume(&mut self, message: u64, letter: &Letter) {
        let ledger = &self.room.ledger;
        let needs = Needs::of(letter, true);
        let holding = Holding {
            _body: ledger.force(Purpose::BodiesHeld, letter.body.len() as u64),
            _rows: ledger.force(Purpose::Messages, needs.rows),
            _attempts: ledger.force_reserve(Purpose::Messages, ATTEMPTS),
            notice: ledger.force_reserve(Purpose::Notices, needs.notice),
            told: None,
            kept: needs.kept.map(|bytes| ledger.force_reserve(Purpose::Remembered, bytes)),
            _outcome: needs.outcome.map(|bytes| ledger.force_reserve(Purpose::Sessions, bytes)),
        };
        self.holdings.insert(message, holding);
    }

    pub(super) fn accepted(&mut self, message: u64, holding: Holding) {
        self.holdings.insert(message, holding);
    }

    /// There is a notice of it.
    pub(super) fn notice(&mut self, message: u64) {
        if let Some(holding) = self.holdings.get_mut(&message) {
            let bytes = holding.notice.bytes();
            holding.told = Some(holding.notice.draw(bytes));
        }
    }

    /// It has ended, and this stays of it.
    pub(super) fn keep(&mut self, message: u64, kept: &Kept) {
        let bytes = REMEMBERED + (2 * kept.id.len() + kept.owner.as_ref().map_or(0, String::len)) as u64;
        let reserve = self.holdings.remove(&message).and_then(|holding| holding.kept);
        let charge = match reserve {
            Some(mut reserve) => reserve.draw(bytes),
            None => self.room.ledger.force(Purpose::Remembered, bytes),
        };
        self.remembered.insert(message, charge);
    }

    /// Nothing of it is left.
    pub(super) fn ended(&mut self, message: u64) {
        self.holdings.remove(&message);
        self.remembered.remove(&message);
    }

    /// A configuration of so many bytes is in effect.
    pub(super) fn configured(&mut self, bytes: u64) {
        self.configuration.set(bytes);
    }
}

/// What a message takes and may need, by purpose, bytes.
struct Needs {
    rows: u64,
    notice: u64,
    kept: Option<u64>,
    outcome: Option<u64>,
}

impl Needs {
    /// `hears` says whether its client reads how it ends.
    fn of(letter: &Letter, hears: bool) -> Needs {
        let id = letter.id.len() as u64;
        // The id stands with the letter and in the owner's table, the key with the letter.
        let strings = 2 * id + (letter.class.len() + letter.key.as_ref().map_or(0, String::len)) as u64;
        let Some(routed) = &letter.routed else {
            return Needs { rows: MESSAGE + strings, notice: NOTICE + 2 * id, kept: None, outcome: None };
        };
        let headers = routed
            .headers
            .iter()
            .map(|(n, v)| n.len() + v.len() + 2 * STRING + size_of::<(String, String)>());
        // An order stands with the letter and thrice in the module.
        let order = routed.order.as_ref().map_or(0, |o| 4 * (o.len() + STRING) + 200);
        let owner = routed.owner.as_ref().map_or(0, String::len);
        let routed_bytes = routed.route.len()
            + routed.method.len()
            + routed.path.len()
            + owner
            + order
            + headers.sum::<usize>();
        let stays = routed.owner.is_some() || !routed.remember.is_zero();
        Needs {
            rows: MESSAGE + strings + routed_bytes as u64 + 4 * STRING as u64,
            notice: NOTICE + 2 * id,
            kept: stays.then_some(REMEMBERED + 2 * id + owner as u64),
            outcome: routed.owner.as_ref().filter(|_| hears).map(|_| OUTCOME + id),
        }
    }
}

/// A table that shrinks once most of it is empty.
pub(super) trait Loose {
    fn tighten(&mut self);
}

macro_rules! loose {
    ($($of:ty where $($t:ident $(: $bound:path)?),+);+ $(;)?) => {$(
        impl<$($t $(: $bound)?),+> Loose for $of {
            fn tighten(&mut self) {
                if self.capacity() > ROOMY.max(self.len() * LOOSE) {
                    self.shrink_to(self.len() * 2);
                }
            }
        }
    )+};
}

/// A key of a hash table.
pub(super) trait Key: Eq + std::hash::Hash {}

impl<T: Eq + std::hash::Hash> Key for T {}

loose! {
    Vec<T> where T;
    std::collections::VecDeque<T> where T;
    HashMap<K, V> where K: Key, V;
    std::collections::HashSet<K> where K: Key;
}

impl Dispatcher {
    /// Why there is no memory for an offer; else what it holds from now on.
    pub(super) fn room_for(&mut self, offer: &mut Submission) -> Result<Holding, Reply> {
        // The offer keeps a charge of nothing: what it had is the message's.
        let none = self.memory.room.ledger.force(Purpose::BodiesRead, 0);
        let body = std::mem::replace(&mut offer.body_charge, none);
        let owner = offer.letter.routed.as_ref().and_then(|r| r.owner.as_ref());
        let hears = owner.is_some_and(|owner| self.accepts_outcomes(owner));
        let held = self.memory.hold(&offer.letter, body, (offer.guest.as_ref(), hears));
        held.map_err(|refused| Reply::OutOfMemory(self.memory.room.refusal(refused)))
    }

    /// Measures what is estimated, tells of levels that changed, and gives back what a burst has left.
    pub(super) fn look_at_memory(&mut self, traffic: bool) {
        let now = Instant::now();
        if traffic && self.memory.give_back.is_none() {
            self.memory.give_back = Some(now + GIVE_BACK);
        }
        let sampled = self.memory.sampled.is_some_and(|at| now < at + SAMPLE);
        let idle = !traffic && self.memory.due().is_none_or(|at| now < at);
        if !sampled && !idle {
            self.memory.sampled = Some(now);
            self.sample();
        }
        if self.memory.give_back.is_some_and(|at| at <= now) {
            // Once more after the next traffic, if there is any.
            self.memory.give_back = None;
            self.give_back();
        }
    }

    fn sample(&mut self) {
        let (module, journal) = (self.scheduler.memory_usage().endpoints, self.journal.memory());
        self.memory.module.set(module);
        self.memory.journal.set(journal);
        if let Some(front) = &self.front {
            front.measure_memory();
        }
        let room = &self.memory.room;
        if room.ledger.total().is_some()
            && let Some(resident) = process_memory::resident_bytes()
        {
            room.ledger.weighed(resident);
        }
        for change in room.ledger.tick(room.now()) {
            eprintln!("{change}");
        }
        // Caches go first: connections that are kept for the next call.
        if room.ledger.level(Purpose::Endpoints) > Level::Ample || room.ledger.whole() > Level::Ample {
            self.out.calls.close_half_of_idle();
        }
        // Memory that is free in the allocator's hands must not be the reason of a refusal. To look for it costs some
        // milliseconds where much is in pieces, so it is not done at each look.
        let pressed = room.ledger.whole() > Level::Ample;
        if pressed && self.memory.trimmed.is_none_or(|at| at.elapsed() > TRIM_PAUSE) {
            self.memory.trimmed = Some(Instant::now());
            self.give_back();
        }
    }

    /// All tables of the owner that grow with a burst, in one place; B-trees give back by themselves.
    fn give_back(&mut self) {
        let tables: [&mut dyn Loose; 7] = [
            &mut self.events,
            &mut self.notes,
            &mut self.taking.ids,
            &mut self.members.endpoints,
            &mut self.members.numbers,
            &mut self.records.waiting,
            &mut self.notices.queue,
        ];
        tables.into_iter().for_each(Loose::tighten);
        self.ended.tighten();
        let free = process_memory::allocator_stats().map_or(0, |a| a.free);
        if free > FREE_LEAST {
            process_memory::release_free();
        }
    }
}
