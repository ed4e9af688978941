//! Memory of the dispatcher: what each accepted message uses and may still need, periodic measurements, and
//! releasing memory after a burst. The ledger (`stairshed-memory`) decides what there is memory for.

use super::Dispatcher;
use super::held_message::HeldMessage;
use crate::events::{Reply, Submission};
use crate::memory_budget::MemoryBudget;
use crate::process_memory;
use stairshed_decide::memory_usage;
use stairshed_journal::{AcceptedMessage, Attempt, EndedMessage, STATE_ENTRY_BYTES};
use stairshed_memory::{Charge, ClientAccount, Level, Purpose, Refused, Reserve};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the ledger is checked and estimates are replaced by measurements, while there is
/// traffic.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// How long after traffic memory is released; also the interval between releases while traffic goes on.
pub(super) const RELEASE_DELAY: Duration = Duration::from_secs(10);
/// Under memory pressure it is released at once, with at least this interval between releases.
const MIN_TRIM_INTERVAL: Duration = Duration::from_secs(2);
/// With fewer bytes than this free in the allocator, returning them is not worth the later page faults.
const MIN_FREE_TO_TRIM_BYTES: u64 = 512_000;
/// A table shrinks once its capacity is more than this many times its length.
const SHRINK_FACTOR: usize = 4;
/// Capacity, in entries, up to which a table never shrinks.
const MIN_SHRINK_CAPACITY: usize = 256;

/// Estimated bytes of a hash table entry with its overhead: tables are between 44 and 87 % full.
const fn hash_entry_bytes(bytes: usize) -> usize {
    (bytes + 1) * 3 / 2
}

/// Estimated bytes of an entry, with its overhead, in a B-tree whose keys only ascend.
const fn btree_entry_bytes(bytes: usize) -> usize {
    (bytes + 2) * 11 / 6
}

/// Bytes of a string beside its content: the overhead of a small allocation.
const STRING_OVERHEAD_BYTES: usize = 16;

/// Bytes of an accepted message beside its strings: the message, its rows in the journal, the scheduler and
/// the dispatcher's tables, and the charges for its memory.
const MESSAGE_BYTES: u64 = memory_usage::MESSAGE_BYTES
    + STATE_ENTRY_BYTES
    + (size_of::<AcceptedMessage>()
        + 32
        + hash_entry_bytes(size_of::<(String, u64)>())
        + btree_entry_bytes(size_of::<(u64, HeldMessage)>())
        + btree_entry_bytes(size_of::<(u64, MessageMemory)>())
        + 4 * STRING_OVERHEAD_BYTES) as u64;
/// Bytes for the records of a message's attempts: a vector allocates four entries with its first.
const ATTEMPTS_BYTES: u64 = (4 * (size_of::<Attempt>() + 64)) as u64;
/// Bytes of a notice beside its id: its entries in the queue and in a batch, and its line.
const NOTICE_BYTES: u64 = 250;
/// Bytes of the record of an ended message beside its id and client: rows in the journal and in the
/// dispatcher's tables.
const REMEMBERED_BYTES: u64 = STATE_ENTRY_BYTES
    + (size_of::<EndedMessage>()
        + 32
        + hash_entry_bytes(size_of::<(String, u64)>())
        + hash_entry_bytes(8)
        + btree_entry_bytes(size_of::<(Duration, u64)>())
        + btree_entry_bytes(size_of::<(u64, Charge)>())
        + 3 * STRING_OVERHEAD_BYTES) as u64;
/// Bytes of an outcome in flight to an MQTT client, beside the id in it.
const OUTCOME_BYTES: u64 = 150;

/// The memory of an accepted message, until it ends.
pub(super) struct MessageMemory {
    _body: Charge,
    _rows: Charge,
    _attempts: Reserve,
    /// Reserved at acceptance, used when there is a notice.
    notice: Reserve,
    notice_charge: Option<Charge>,
    /// For its record after it has ended, if it needs one.
    kept: Option<Reserve>,
    _outcome: Option<Reserve>,
}

/// The memory of all messages, and when it is measured and released.
pub(super) struct Memory {
    pub(super) budget: MemoryBudget,
    messages: BTreeMap<u64, MessageMemory>,
    remembered: BTreeMap<u64, Charge>,
    module: Charge,
    journal: Charge,
    configuration: Charge,
    last_sample: Option<Instant>,
    /// When memory is released next; None without traffic since the last release.
    release_at: Option<Instant>,
    /// When memory was last released under pressure.
    last_trim: Option<Instant>,
}

impl Memory {
    pub(super) fn new(budget: MemoryBudget) -> Memory {
        let empty = |purpose| budget.ledger.force_charge(purpose, 0);
        Memory {
            module: empty(Purpose::Module),
            journal: empty(Purpose::Journal),
            configuration: empty(Purpose::Configuration),
            budget,
            messages: BTreeMap::new(),
            remembered: BTreeMap::new(),
            last_sample: None,
            release_at: None,
            last_trim: None,
        }
    }

    /// When [`Dispatcher::check_memory`] is due without any event.
    pub(super) fn due(&self) -> Option<Instant> {
        // Checked until the level is ample: otherwise the level would stay up after the last message.
        let elevated = self.budget.ledger.max_level() > Level::Ample;
        let sample = self.last_sample.filter(|_| elevated).map(|at| at + SAMPLE_INTERVAL);
        sample.into_iter().chain(self.release_at).min()
    }

    /// Reserves memory for a message and for everything that it may need later.
    fn reserve(
        &self,
        accepted: &AcceptedMessage,
        body: Charge,
        (client_account, accepts_outcomes): (Option<&ClientAccount>, bool),
    ) -> Result<MessageMemory, Refused> {
        let ledger = &self.budget.ledger;
        let body = body.transfer_to(Purpose::BodiesHeld).map_err(|(_, refused)| refused)?;
        let needs = MemoryNeeds::of(accepted, accepts_outcomes);
        // Its record is buffered until the batch is written.
        ledger.check_room(Purpose::Journal, body.bytes() + needs.rows, None)?;
        Ok(MessageMemory {
            _body: body,
            _rows: ledger.try_charge(Purpose::Messages, needs.rows, client_account)?,
            _attempts: ledger.reserve(Purpose::Messages, ATTEMPTS_BYTES)?,
            notice: ledger.reserve(Purpose::Notices, needs.notice)?,
            notice_charge: None,
            kept: needs.kept.map(|bytes| ledger.reserve(Purpose::Remembered, bytes)).transpose()?,
            _outcome: needs.outcome.map(|bytes| ledger.reserve(Purpose::Sessions, bytes)).transpose()?,
        })
    }

    /// The same for a message of a previous process, which cannot be refused.
    pub(super) fn resume_message(&mut self, message: u64, accepted: &AcceptedMessage) {
        let ledger = &self.budget.ledger;
        let needs = MemoryNeeds::of(accepted, true);
        let memory = MessageMemory {
            _body: ledger.force_charge(Purpose::BodiesHeld, accepted.body.len() as u64),
            _rows: ledger.force_charge(Purpose::Messages, needs.rows),
            _attempts: ledger.force_reserve(Purpose::Messages, ATTEMPTS_BYTES),
            notice: ledger.force_reserve(Purpose::Notices, needs.notice),
            notice_charge: None,
            kept: needs.kept.map(|bytes| ledger.force_reserve(Purpose::Remembered, bytes)),
            _outcome: needs.outcome.map(|bytes| ledger.force_reserve(Purpose::Sessions, bytes)),
        };
        self.messages.insert(message, memory);
    }

    /// Keeps the memory of a message that was accepted.
    pub(super) fn add_message(&mut self, message: u64, memory: MessageMemory) {
        self.messages.insert(message, memory);
    }

    /// Uses the memory reserved for the message's notice.
    pub(super) fn add_notice(&mut self, message: u64) {
        if let Some(memory) = self.messages.get_mut(&message) {
            let bytes = memory.notice.bytes();
            memory.notice_charge = Some(memory.notice.draw(bytes));
        }
    }

    /// Replaces the memory of an ended message by that of its record.
    pub(super) fn remember(&mut self, message: u64, kept: &EndedMessage) {
        let bytes =
            REMEMBERED_BYTES + (2 * kept.id.len() + kept.owner.as_ref().map_or(0, String::len)) as u64;
        let reserve = self.messages.remove(&message).and_then(|memory| memory.kept);
        let charge = match reserve {
            Some(mut reserve) => reserve.draw(bytes),
            None => self.budget.ledger.force_charge(Purpose::Remembered, bytes),
        };
        self.remembered.insert(message, charge);
    }

    /// Releases all memory of a message.
    pub(super) fn release(&mut self, message: u64) {
        self.messages.remove(&message);
        self.remembered.remove(&message);
    }

    /// Sets the size of the configuration in effect, in bytes.
    pub(super) fn set_configuration_bytes(&mut self, bytes: u64) {
        self.configuration.resize(bytes);
    }
}

/// The memory that a message uses and may need, by purpose, in bytes.
struct MemoryNeeds {
    rows: u64,
    notice: u64,
    kept: Option<u64>,
    outcome: Option<u64>,
}

impl MemoryNeeds {
    /// `accepts_outcomes` says whether its client subscribes to outcomes.
    fn of(accepted: &AcceptedMessage, accepts_outcomes: bool) -> MemoryNeeds {
        let id = accepted.id.len() as u64;
        // The id is stored with the message and in the dispatcher's table, the key with the message.
        let strings = 2 * id + (accepted.class.len() + accepted.key.as_ref().map_or(0, String::len)) as u64;
        let Some(routed) = &accepted.routed else {
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
        // An order key is stored with the message and three times in the scheduler.
        let order = routed.order_key.as_ref().map_or(0, |o| 4 * (o.len() + STRING_OVERHEAD_BYTES) + 200);
        let owner = routed.owner.as_ref().map_or(0, String::len);
        let routed_bytes = routed.route.len()
            + routed.method.len()
            + routed.path.len()
            + owner
            + order
            + headers.sum::<usize>();
        let leaves_record = routed.owner.is_some() || !routed.remember_for.is_zero();
        MemoryNeeds {
            rows: MESSAGE_BYTES + strings + routed_bytes as u64 + 4 * STRING_OVERHEAD_BYTES as u64,
            notice: NOTICE_BYTES + 2 * id,
            kept: leaves_record.then_some(REMEMBERED_BYTES + 2 * id + owner as u64),
            outcome: routed.owner.as_ref().filter(|_| accepts_outcomes).map(|_| OUTCOME_BYTES + id),
        }
    }
}

/// A table that can shrink once most of it is empty.
pub(super) trait Shrink {
    fn shrink(&mut self);
}

macro_rules! impl_shrink {
    ($($of:ty where $($t:ident $(: $bound:path)?),+);+ $(;)?) => {$(
        impl<$($t $(: $bound)?),+> Shrink for $of {
            fn shrink(&mut self) {
                if self.capacity() > MIN_SHRINK_CAPACITY.max(self.len() * SHRINK_FACTOR) {
                    self.shrink_to(self.len() * 2);
                }
            }
        }
    )+};
}

/// The bounds of a hash table's key.
pub(super) trait HashKey: Eq + std::hash::Hash {}

impl<T: Eq + std::hash::Hash> HashKey for T {}

impl_shrink! {
    Vec<T> where T;
    std::collections::VecDeque<T> where T;
    HashMap<K, V> where K: HashKey, V;
    std::collections::HashSet<K> where K: HashKey;
}

impl Dispatcher {
    /// Reserves the memory of a submission.
    ///
    /// # Errors
    /// The reply, if there is not enough.
    pub(super) fn reserve_memory(&mut self, submission: &mut Submission) -> Result<MessageMemory, Reply> {
        // The submission keeps an empty charge: the memory of its body passes to the message.
        let empty = self.memory.budget.ledger.force_charge(Purpose::BodiesRead, 0);
        let body = std::mem::replace(&mut submission.body_charge, empty);
        let owner = submission.accepted.routed.as_ref().and_then(|r| r.owner.as_ref());
        let accepts_outcomes = owner.is_some_and(|owner| self.accepts_outcomes(owner));
        let memory = self.memory.reserve(
            &submission.accepted,
            body,
            (submission.client_account.as_ref(), accepts_outcomes),
        );
        memory.map_err(|refused| Reply::OutOfMemory(self.memory.budget.refusal(refused)))
    }

    /// Measures what was estimated, logs changed levels, and releases memory after a burst.
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
            // Set again by the next traffic.
            self.memory.release_at = None;
            self.release_memory();
        }
    }

    fn sample(&mut self) {
        let (module, journal) = (self.scheduler.memory_usage().endpoints, self.journal.memory());
        self.memory.module.resize(module);
        self.memory.journal.resize(journal);
        if let Some(ingress) = &self.ingress {
            ingress.measure_memory();
        }
        let budget = &self.memory.budget;
        if budget.ledger.total().is_some()
            && let Some(resident) = process_memory::resident_bytes()
        {
            budget.ledger.set_resident(resident);
        }
        for change in budget.ledger.tick(budget.now()) {
            log_line!("{change}");
        }
        // Idle connections are released first: they are only a cache.
        if budget.ledger.level(Purpose::Endpoints) > Level::Ample
            || budget.ledger.process_level() > Level::Ample
        {
            self.attempts.calls.close_half_of_idle();
        }
        // Free memory in the allocator must not cause refusals. Releasing it takes some milliseconds if it is
        // fragmented, so it is not done at each check.
        let under_pressure = budget.ledger.process_level() > Level::Ample;
        if under_pressure && self.memory.last_trim.is_none_or(|at| at.elapsed() > MIN_TRIM_INTERVAL) {
            self.memory.last_trim = Some(Instant::now());
            self.release_memory();
        }
    }

    /// Shrinks all of the dispatcher's tables that grow with a burst; B-trees release memory by themselves.
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
        tables.into_iter().for_each(Shrink::shrink);
        self.ended_messages.shrink_tables();
        let free = process_memory::allocator_stats().map_or(0, |a| a.free);
        if free > MIN_FREE_TO_TRIM_BYTES {
            process_memory::release_free();
        }
    }
}
