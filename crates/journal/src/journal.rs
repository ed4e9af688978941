//! The journal: appends records, writes them to the storage, reserves space for records that accepted
//! messages still need, and compacts old segments in bounded steps.

use crate::error::{Damage, Error, FileCall, Refusal};
use crate::frame;
use crate::legacy;
use crate::log::{FRAME_OVERHEAD_BYTES, Log, LogConfig, Op};
use crate::options::{Durability, OnDamage, Options};
use crate::record::{self, AcceptedMessage, Attempt, EndedMessage, LiveMessage, Note, Record, Verdict};
use crate::recover::{Recovered, recover};
use crate::state::{Item, State, with_end_record};
use crate::storage::{Storage, StoredFile, read_into};
use crate::sync::{DiskTrust, SyncJob, SyncOutcome};
use stairshed_clock::StableTime;
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;

/// File whose preallocated blocks reserve disk space for records that accepted messages still need.
const RESERVE_FILE: &str = "set-aside";
/// Step in bytes by which that file grows and shrinks: a call for each message would be too expensive.
const RESERVE_STEP_BYTES: u64 = 256 * 1024;
/// Suffix of a segment that could not be read completely and is kept for the operator.
const DAMAGED_SUFFIX: &str = ".damaged";
/// With a smaller capacity such a segment is removed, because it would take the space of messages.
const MIN_CAPACITY_TO_KEEP_DAMAGED_BYTES: u64 = 64 * 1024 * 1024;
/// Approximate memory of an open segment, in bytes.
const OPEN_FILE_MEMORY_BYTES: u64 = 300;
/// Header, seal and padding of a new segment, in bytes.
const ROLL_OVERHEAD_BYTES: u64 = 1024;
/// File that is synced after a failed sync to test whether the device works again. A new segment for each
/// test would fill the capacity.
const PROBE_FILE: &str = "probe";
/// Limit of the errors that are kept until the caller takes them.
const MAX_TOLERATED_ERRORS: usize = 16;
/// Number of consecutive failed syncs that is reported as an error.
const REPORTED_SYNC_FAILURES: u32 = 3;

/// Findings of a start.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Parts that could not be read.
    pub damages: Vec<Damage>,
    /// Numbers of accepted messages whose snapshot is lost, so that their id and body are unknown.
    pub lost_messages: Vec<u64>,
    /// Live messages that count as sent because a lost record may have said so.
    pub presumed_sent: Vec<u64>,
    /// Bytes of a torn tail that were truncated.
    pub truncated_bytes: u64,
    /// Number of messages migrated from the old format; `None` if there was no file of it.
    pub migrated: Option<usize>,
    pub read_bytes: u64,
}

/// Space usage and counters, in bytes unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Usage {
    pub room: u64,
    /// Bytes of all files, each rounded up to 512.
    pub used: u64,
    /// Bytes of live records, and bytes that live messages may still add.
    pub live: u64,
    pub owed: u64,
    /// Upper limit for the sum of `live` and `owed`.
    pub live_most: u64,
    pub messages: u64,
    pub segments: u64,
    /// Bytes written since the start, and the part of them that compaction wrote.
    pub written: u64,
    pub copied: u64,
}

/// The journal of a courier. Records take effect in memory at once and are written by [`Journal::flush`].
pub struct Journal {
    storage: Arc<dyn Storage>,
    options: Options,
    state: State,
    log: Log,
    files: BTreeMap<u64, Arc<dyn StoredFile>>,
    /// Records up to this sequence number are written.
    written_seq: u64,
    /// Sequence number of the last record that needs a sync.
    wanted_seq: u64,
    /// Segments written since the last sync began, and whether file names changed.
    dirty: BTreeSet<u64>,
    names_dirty: bool,
    sync_in_flight: bool,
    /// Segments that the sync in flight covers.
    syncing: BTreeSet<u64>,
    /// Segment whose creation failed last. Its file may exist all the same.
    failed_creation: Option<u64>,
    /// Errors that the journal handled without reporting them to its caller.
    tolerated_errors: Vec<Error>,
    /// Whether the last flush failed.
    flush_failed: bool,
    disk_trust: DiskTrust,
    sync_failures: u32,
    /// Segments below this number are compacted regardless of their dead bytes.
    evacuate_below: u64,
    reserve_file_bytes: u64,
    /// Damaged segments, which are renamed instead of removed, and the disk space of renamed ones.
    damaged: BTreeSet<u64>,
    damaged_bytes: u64,
    written_bytes: u64,
    copied_bytes: u64,
}

impl Journal {
    /// Opens the journal in `storage` and migrates a directory of the old format.
    ///
    /// # Errors
    /// See [`Error`]. A directory of a newer format is left unchanged, and so is a damaged one with
    /// [`OnDamage::Stop`].
    pub fn open(storage: Arc<dyn Storage>, options: Options) -> Result<(Self, RecoveryReport), Error> {
        options.check()?;
        let names = storage.list().map_err(|e| Error::io("journal", FileCall::List, e))?;
        let is_legacy = names.iter().any(|n| n == legacy::FILE_NAME);
        let mut found = recover(&*storage, &options, None)?;
        if options.on_damage == OnDamage::Stop
            && let Some(damage) = found.damages.first()
        {
            return Err(Error::Damaged(damage.clone()));
        }
        let remove = |name: &str| storage.remove(name).map_err(|e| Error::io(name, FileCall::Remove, e));
        if is_legacy {
            if !found.migration {
                return Err(Error::ConflictingFormats);
            }
            // A migration was interrupted: the old file still holds all messages.
            let existing: Vec<u64> =
                found.segments.keys().chain(&found.stale).chain(&found.misplaced).copied().collect();
            for number in existing {
                remove(&frame::segment_name(number))?;
            }
            found = Recovered { next_number: 1, next_seq: 1, ..Recovered::default() };
        }
        for name in
            names.iter().filter(|n| [legacy::TEMP_FILE_NAME, RESERVE_FILE, PROBE_FILE].contains(&n.as_str()))
        {
            remove(name)?;
        }
        for number in &found.stale {
            remove(&frame::segment_name(*number))?;
        }
        let mut journal = Self::from_recovered(storage.clone(), options, &mut found, is_legacy, &names)?;
        let mut report = RecoveryReport {
            damages: found.damages,
            lost_messages: found.lost_messages,
            truncated_bytes: found.truncated_bytes,
            read_bytes: found.read,
            ..RecoveryReport::default()
        };
        if is_legacy {
            report.migrated = Some(journal.migrate_legacy(&mut report)?);
        }
        if !report.damages.is_empty() {
            report.presumed_sent = journal.salvage(found.lost_before)?;
        }
        journal.flush()?;
        if journal.options.durability == Durability::Machine {
            journal.sync_now()?;
        }
        // Only after the salvage: these files are what shows the next start that something is missing.
        for number in found.misplaced.iter().filter(|_| !is_legacy) {
            journal.retire_file(*number, true)?;
        }
        Ok((journal, report))
    }

    /// Builds the journal from the recovered state and truncates a torn tail.
    fn from_recovered(
        storage: Arc<dyn Storage>,
        options: Options,
        found: &mut Recovered,
        migration: bool,
        names: &[String],
    ) -> Result<Self, Error> {
        let mut files = BTreeMap::new();
        for number in found.segments.keys() {
            let name = frame::segment_name(*number);
            files.insert(*number, storage.open(&name).map_err(|e| Error::io(&name, FileCall::Open, e))?);
        }
        if let Some((number, size)) = found.truncate_at
            && let Some(file) = files.get(&number)
        {
            file.set_size(size)
                .map_err(|e| Error::io(&frame::segment_name(number), FileCall::Truncate, e))?;
        }
        let mut damaged_bytes = 0;
        for name in names.iter().filter(|n| n.ends_with(DAMAGED_SUFFIX)) {
            let size = storage.open(name).and_then(|f| f.size());
            damaged_bytes += size.map_err(|e| Error::io(name, FileCall::Size, e))?.next_multiple_of(512);
        }
        let config = LogConfig {
            segment_bytes: options.effective_segment_bytes(),
            sync_writes: options.durability == Durability::Machine,
            migration,
            format_version: found.format_version.max(frame::BASE_FORMAT_VERSION),
        };
        let segments = std::mem::take(&mut found.segments);
        let dirty: BTreeSet<u64> = segments.keys().copied().collect();
        let log = Log::new(config, segments, (found.next_number, found.next_seq), found.append_to_last);
        let written_seq = log.last_seq();
        Ok(Journal {
            storage,
            options,
            state: std::mem::take(&mut found.state),
            log,
            files,
            written_seq,
            wanted_seq: written_seq,
            dirty,
            names_dirty: true,
            sync_in_flight: false,
            syncing: BTreeSet::new(),
            failed_creation: None,
            tolerated_errors: Vec::new(),
            flush_failed: false,
            disk_trust: DiskTrust::Trusted,
            sync_failures: 0,
            evacuate_below: 0,
            reserve_file_bytes: 0,
            damaged: std::mem::take(&mut found.damaged),
            damaged_bytes,
            written_bytes: 0,
            copied_bytes: 0,
        })
    }

    /// Copies the messages of the old format's file, then removes the file. Until then the old file is
    /// authoritative.
    fn migrate_legacy(&mut self, report: &mut RecoveryReport) -> Result<usize, Error> {
        let file = self
            .storage
            .open(legacy::FILE_NAME)
            .map_err(|e| Error::io(legacy::FILE_NAME, FileCall::Open, e))?;
        let mut bytes = Vec::new();
        read_into(&*file, &mut bytes).map_err(|e| Error::io(legacy::FILE_NAME, FileCall::Read, e))?;
        let (live, _, valid_len) = legacy::replay(&bytes);
        report.truncated_bytes += (bytes.len() - valid_len) as u64;
        let messages = live.len();
        for (message, live) in live {
            self.snapshot(message, live);
        }
        self.flush()?;
        if self.options.durability == Durability::Machine {
            self.sync_now()?;
        }
        self.storage
            .remove(legacy::FILE_NAME)
            .map_err(|e| Error::io(legacy::FILE_NAME, FileCall::Remove, e))?;
        if self.options.durability == Durability::Machine {
            // A power failure must not restore the old file beside newer records.
            self.storage.sync_names().map_err(|e| Error::io("journal", FileCall::Sync, e))?;
        }
        // Later records must not count as part of the migration, in case the old program runs here again.
        self.log.end_migration();
        Ok(messages)
    }

    /// After damage, records an attempt for each message that may have been sent, and moves all live records
    /// out of the older segments.
    fn salvage(&mut self, lost_before: u64) -> Result<Vec<u64>, Error> {
        let presumed_sent = self.state.undecided_before(lost_before);
        for message in &presumed_sent {
            let sent = self.state.latest_time();
            if let Some(live) = self.get(*message) {
                let index = live.attempts.len().min(usize::from(u16::MAX)) as u16;
                self.put(0, Record::Attempt { message: *message, index, attempt: Attempt::unknown(sent) });
            }
        }
        self.evacuate_below_segment(self.log.newest())?;
        Ok(presumed_sent)
    }

    /// The live messages, by number.
    pub fn live(&self) -> impl Iterator<Item = (u64, &LiveMessage)> {
        self.state.live()
    }

    /// The live message of this number.
    pub fn get(&self, message: u64) -> Option<&LiveMessage> {
        self.state.get(message).and_then(|entry| entry.item.live())
    }

    /// The records of ended messages, by number.
    pub fn ended_messages(&self) -> impl Iterator<Item = (u64, &Rc<EndedMessage>)> {
        self.state.items().filter_map(|(number, item)| match item {
            Item::Kept(kept) => Some((number, kept)),
            _ => None,
        })
    }

    /// The record of an ended message.
    pub fn ended_message(&self, message: u64) -> Option<&Rc<EndedMessage>> {
        match self.state.get(message).map(|entry| &entry.item) {
            Some(Item::Kept(kept)) => Some(kept),
            _ => None,
        }
    }

    /// The notes, by number.
    pub fn notes(&self) -> impl Iterator<Item = (u64, &Rc<Note>)> {
        self.state.items().filter_map(|(number, item)| match item {
            Item::Note(note) => Some((number, note)),
            _ => None,
        })
    }

    /// Number of live messages.
    pub fn len(&self) -> usize {
        self.live().count()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Highest number in any record.
    pub fn last_number(&self) -> u64 {
        self.state.last_number()
    }

    /// Latest time in any record.
    pub fn latest_time(&self) -> StableTime {
        self.state.latest_time()
    }

    /// Memory in bytes besides the messages: buffers, notes and tables.
    pub fn memory(&self) -> u64 {
        self.log.memory() + self.state.notes() + self.files.len() as u64 * OPEN_FILE_MEMORY_BYTES
    }

    /// Current space usage.
    pub fn usage(&self) -> Usage {
        Usage {
            room: self.options.capacity_bytes,
            used: self.used(),
            live: self.state.bytes(),
            owed: self.state.outstanding_bytes(),
            live_most: self.options.max_live_bytes(),
            messages: self.len() as u64,
            segments: self.log.count() as u64,
            written: self.written_bytes,
            copied: self.copied_bytes,
        }
    }

    fn used(&self) -> u64 {
        self.log.used() + self.reserve_file_bytes + self.damaged_bytes
    }

    /// Whether a message can be accepted, with space for all records that it may need.
    ///
    /// # Errors
    /// The reason why it cannot be accepted now.
    pub fn can_accept(&mut self, accepted: &AcceptedMessage) -> Result<(), Refusal> {
        if self.disk_trust != DiskTrust::Trusted {
            return Err(Refusal::DiskUnreliable);
        }
        if record::snapshot_bytes(accepted) > self.options.max_record_bytes as u64
            || self.state.reserved_bytes() + self.options.reserved_bytes(accepted)
                > self.options.max_live_bytes()
        {
            return Err(Refusal::Full);
        }
        match self.options.preallocate {
            true => self.reserve_space(self.options.followup_bytes(self.options.reserved_attempts)),
            false => Ok(()),
        }
    }

    /// Preallocates disk space for the outstanding reservations and `more` bytes.
    fn reserve_space(&mut self, more: u64) -> Result<(), Refusal> {
        let wanted = self.wanted_reserve_file_bytes(more);
        if wanted > self.reserve_file_bytes {
            let to = wanted + RESERVE_STEP_BYTES;
            if let Err(e) = self.storage.preallocate(RESERVE_FILE, to) {
                self.tolerate(Error::io(RESERVE_FILE, FileCall::Allocate, e));
                return Err(Refusal::DiskFull);
            }
            self.names_dirty = true;
            self.reserve_file_bytes = to;
        }
        Ok(())
    }

    fn wanted_reserve_file_bytes(&self, more: u64) -> u64 {
        (self.state.outstanding_bytes() + more + self.options.compaction_reserve_bytes())
            .next_multiple_of(RESERVE_STEP_BYTES)
    }

    /// Accepts a message. Call [`Journal::can_accept`] first.
    pub fn accept(&mut self, message: u64, accepted: Rc<AcceptedMessage>) {
        self.snapshot(message, LiveMessage { accepted, attempts: Vec::new(), verdict: None });
    }

    fn snapshot(&mut self, message: u64, live: LiveMessage) -> u64 {
        let reserved_bytes = self.state.get(message).map_or(0, |entry| entry.reserved_bytes);
        let reserved_bytes = reserved_bytes.max(self.options.reserved_bytes(&live.accepted));
        self.put(reserved_bytes, Record::Snapshot { message, live })
    }

    /// Records an attempt, before its first byte is sent. Returns its index among the message's attempts.
    ///
    /// # Errors
    /// The attempt exceeds the reservation and there is no free space. It must not be made then.
    pub fn record_attempt(&mut self, message: u64, attempt: Attempt) -> Result<u32, Refusal> {
        let Some(entry) = self.state.get(message) else { return Ok(0) };
        let Some(live) = entry.item.live() else { return Ok(0) };
        let names = (attempt.host.len() + attempt.zone.len()) as u64;
        let outcome = FRAME_OVERHEAD_BYTES + record::NEVER_RAN_BYTES;
        let end = 2 * FRAME_OVERHEAD_BYTES + record::JUDGED_BYTES + record::ENDED_BYTES;
        let needed = entry.bytes + FRAME_OVERHEAD_BYTES + record::attempt_bytes(names) + outcome + end;
        let more = needed.saturating_sub(entry.reserved_bytes);
        let index = live.attempts.len();
        if index >= usize::from(u16::MAX)
            || self.state.reserved_bytes() + more > self.options.max_live_bytes()
        {
            return Err(Refusal::Full);
        }
        self.state.reserve_more(message, more);
        self.put(0, Record::Attempt { message, index: index as u16, attempt });
        Ok(index as u32)
    }

    /// Records the proof that an attempt never ran. An attempt that may have run needs no record, because
    /// that is the default.
    pub fn record_never_ran(&mut self, message: u64, attempt: u32) {
        let open = self.get(message).and_then(|m| m.attempts.get(attempt as usize));
        if open.is_some_and(|a| a.may_have_run) {
            self.put(0, Record::NeverRan { message, index: attempt as u16 });
        }
    }

    /// Records how a message ends that is not delivered.
    pub fn record_verdict(&mut self, message: u64, verdict: Verdict) {
        if self.get(message).is_some() {
            self.put(0, Record::Judged { message, verdict });
        }
    }

    /// Records that the message has ended completely, or that the note is removed.
    pub fn record_end(&mut self, message: u64) {
        if self.state.get(message).is_some() {
            self.put(0, Record::Ended { message });
        }
    }

    /// Replaces a message by the record of its end, which is smaller; the remaining space is free again.
    pub fn replace_with_ended(&mut self, message: u64, kept: EndedMessage) {
        if self.state.get(message).is_some() {
            self.replace_entry(Record::Kept { message, kept: Rc::new(kept) });
        }
    }

    /// Stores the record of an ended message that was never accepted. Call [`Journal::can_store_note`] first.
    pub fn store_ended(&mut self, message: u64, kept: EndedMessage) {
        self.replace_entry(Record::Kept { message, kept: Rc::new(kept) });
    }

    /// Whether there is space for a note of this many bytes, including its key.
    ///
    /// # Errors
    /// The reason why it cannot be stored now.
    pub fn can_store_note(&mut self, bytes: u64) -> Result<(), Refusal> {
        let reserved_bytes = with_end_record(FRAME_OVERHEAD_BYTES + record::NOTE_BYTES + bytes);
        match reserved_bytes {
            _ if self.disk_trust != DiskTrust::Trusted => Err(Refusal::DiskUnreliable),
            _ if record::NOTE_BYTES + bytes > self.options.max_record_bytes as u64 => Err(Refusal::Full),
            reserved_bytes
                if self.state.reserved_bytes() + reserved_bytes > self.options.max_live_bytes() =>
            {
                Err(Refusal::Full)
            }
            reserved_bytes if self.options.preallocate => self.reserve_space(reserved_bytes),
            _ => Ok(()),
        }
    }

    /// Stores a note under a number, replacing an earlier one. Call [`Journal::can_store_note`] first. The
    /// number must not be that of a message; a new note needs one above [`Journal::last_number`].
    pub fn store_note(&mut self, number: u64, note: Note) {
        self.replace_entry(Record::Note { number, note: Rc::new(note) });
    }

    fn replace_entry(&mut self, record: Record) {
        let reserved_bytes = with_end_record(FRAME_OVERHEAD_BYTES + record.size());
        self.put(reserved_bytes, record);
    }

    fn put(&mut self, reserved_bytes: u64, record: Record) -> u64 {
        self.make_room(FRAME_OVERHEAD_BYTES + record.size());
        self.append_record(reserved_bytes, record)
    }

    fn append_record(&mut self, reserved_bytes: u64, record: Record) -> u64 {
        let (seq, size) = self.log.put(reserved_bytes, &record);
        self.written_bytes += size;
        self.wanted_seq = seq;
        self.state.apply(record, seq, size, &self.options);
        seq
    }

    /// Bytes that the log may take outside compaction.
    fn usable(&self) -> u64 {
        let sync_writes = match self.options.durability {
            Durability::Process => 0,
            // After a failed sync all live records are rewritten before any old segment can be removed.
            Durability::Machine => self.state.reserved_bytes(),
        };
        let taken = self.options.compaction_reserve_bytes()
            + self.reserve_file_bytes
            + self.damaged_bytes
            + sync_writes;
        self.options.capacity_bytes.saturating_sub(taken)
    }

    /// Compacts segments until a record fits. There is always space for the copies, because at most
    /// [`Options::compaction_reserve_bytes`] begin in one segment.
    fn make_room(&mut self, bytes: u64) {
        if self.disk_trust != DiskTrust::Trusted {
            // Space for the rewrite is reserved, and no old segment may be removed before it is complete.
            return;
        }
        for _ in 0..=self.log.count() {
            if self.log.used() + bytes + ROLL_OVERHEAD_BYTES <= self.usable() || self.dead_bytes() == 0 {
                return;
            }
            self.evacuate_oldest(true);
        }
    }

    fn dead_bytes(&self) -> u64 {
        self.log.size().saturating_sub(self.state.bytes())
    }

    /// Copies all live records out of the oldest segment, and retires it.
    fn evacuate_oldest(&mut self, immediately: bool) {
        if self.log.second_segment_start().is_none() {
            self.log.roll();
        }
        while self.copy_next_entry().is_some() {}
        self.log.retire(immediately);
    }

    /// Copies one entry out of the oldest segment. Returns its size in bytes, or `None` if no live entry is
    /// left.
    fn copy_next_entry(&mut self) -> Option<u64> {
        let end = self.log.second_segment_start()?;
        let (_, message) = self.state.first().filter(|(seq, _)| *seq < end)?;
        let entry = self.state.get(message)?;
        let (reserved_bytes, copy) = (entry.reserved_bytes, entry.item.record(message));
        let bytes = FRAME_OVERHEAD_BYTES + copy.size();
        self.append_record(reserved_bytes, copy);
        self.copied_bytes += bytes;
        Some(bytes)
    }

    /// Whether compaction is worth its cost. Dead bytes may reach the number of live bytes, or three quarters
    /// of the space that the live ones leave free if that is less. At most one byte is then copied for each
    /// byte freed, and more only if space is short.
    pub fn wants_compaction(&self) -> bool {
        let spare = self.usable().saturating_sub(self.state.bytes());
        let live = self.state.bytes().max(self.options.effective_segment_bytes());
        let worth = self.log.has_segment_below(self.evacuate_below)
            || self.oldest_is_dead()
            || self.dead_bytes() > live.min(spare / 4 * 3);
        worth && self.disk_trust != DiskTrust::Probing && self.log.second_segment_start().is_some()
    }

    fn oldest_is_dead(&self) -> bool {
        let first = self.state.first().map_or(u64::MAX, |(seq, _)| seq);
        self.log.second_segment_start().is_some_and(|end| first >= end)
    }

    /// Runs one step of compaction: copies about `most` bytes, at least one message, and retires segments
    /// that have become empty. [`Journal::wants_compaction`] tells whether another step is needed. Call
    /// [`Journal::flush`] afterwards.
    pub fn compact(&mut self, most: u64) {
        if self.flush_failed {
            // Queued operations already fail, so none are added.
            return;
        }
        let (mut copied, mut freed) = (0, 0);
        while self.wants_compaction() && copied < most && freed < most {
            match self.copy_next_entry() {
                Some(bytes) => copied += bytes,
                None => {
                    // The cost of a removal grows with the size of the segment.
                    freed += self.options.effective_segment_bytes();
                    self.log.retire(false);
                }
            }
        }
        if self.disk_trust == DiskTrust::Rewriting && !self.log.has_segment_below(self.evacuate_below) {
            self.disk_trust = DiskTrust::Rewritten(self.log.last_seq());
        }
        if self.options.preallocate
            && self.reserve_file_bytes > self.wanted_reserve_file_bytes(0) + 4 * RESERVE_STEP_BYTES
        {
            let to = self.wanted_reserve_file_bytes(0) + RESERVE_STEP_BYTES;
            match self.storage.preallocate(RESERVE_FILE, to) {
                Ok(()) => self.reserve_file_bytes = to,
                Err(e) => self.tolerate(Error::io(RESERVE_FILE, FileCall::Shrink, e)),
            }
        }
    }

    /// Keeps an error for [`Journal::take_tolerated_errors`].
    fn tolerate(&mut self, error: Error) {
        if self.tolerated_errors.len() < MAX_TOLERATED_ERRORS {
            self.tolerated_errors.push(error);
        }
    }

    /// Errors of calls since the last time that the journal handled by itself, without reporting them.
    pub fn take_tolerated_errors(&mut self) -> Vec<Error> {
        std::mem::take(&mut self.tolerated_errors)
    }

    /// Copies all live records to new segments and removes the others in one call. For a journal that is not
    /// in service.
    ///
    /// # Errors
    /// As [`Journal::flush`].
    pub fn compact_all(&mut self) -> Result<(), Error> {
        self.log.roll();
        self.evacuate_below_segment(self.log.newest())
    }

    /// Flushes after each segment, so that at most one segment's copies wait in memory.
    fn evacuate_below_segment(&mut self, number: u64) -> Result<(), Error> {
        while self.log.has_segment_below(number) {
            self.evacuate_oldest(true);
            self.flush()?;
        }
        self.flush()
    }

    /// Writes all queued records: when it returns they survive a crash of the process. After an error they
    /// stay queued in order and are written first next time; nothing that depends on them may happen until
    /// then.
    ///
    /// # Errors
    /// [`Error::Io`] with the file and the call.
    pub fn flush(&mut self) -> Result<(), Error> {
        while let Some(op) = self.log.queue.pop_front() {
            if let Err(e) = self.execute_using_reserve(&op) {
                self.flush_failed = true;
                match op {
                    // Repeated, it could succeed without having written what this one lost.
                    Op::Sync => self.distrust_disk(),
                    op => self.log.queue.push_front(op),
                }
                return Err(e);
            }
            if let Op::Write { last_seq, .. } = op {
                self.written_seq = self.written_seq.max(last_seq);
            }
            self.log.finish_op(op);
        }
        self.flush_failed = false;
        self.written_seq = self.log.last_seq();
        Ok(())
    }

    /// Executes an operation. If the disk is full, uses the preallocated space.
    fn execute_using_reserve(&mut self, op: &Op) -> Result<(), Error> {
        let mut done = self.execute(op);
        while self.reserve_file_bytes > 0 && done.as_ref().is_err_and(Error::is_full) {
            let to = self.reserve_file_bytes.saturating_sub(RESERVE_STEP_BYTES);
            let shrunk = self.storage.preallocate(RESERVE_FILE, to);
            shrunk.map_err(|e| Error::io(RESERVE_FILE, FileCall::Shrink, e))?;
            self.reserve_file_bytes = to;
            done = self.execute(op);
        }
        done
    }

    /// Creates the file of a segment. After a failed creation it may exist, without content.
    fn create_segment(&mut self, number: u64) -> Result<(), Error> {
        let name = frame::segment_name(number);
        let file = match self.storage.create(&name) {
            Err(e) if e.kind() == ErrorKind::AlreadyExists && self.failed_creation == Some(number) => {
                self.storage.open(&name).map_err(|e| Error::io(&name, FileCall::Open, e))?
            }
            created => created.map_err(|e| {
                self.failed_creation = Some(number);
                Error::io(&name, FileCall::Create, e)
            })?,
        };
        self.failed_creation = None;
        self.names_dirty = true;
        self.files.insert(number, file);
        Ok(())
    }

    fn execute(&mut self, op: &Op) -> Result<(), Error> {
        match op {
            Op::Create { number } => self.create_segment(*number)?,
            Op::Write { number, at, bytes, .. } => {
                // A segment that has been removed needs no seal.
                let Some(file) = self.files.get(number) else { return Ok(()) };
                let mut done = 0;
                while done < bytes.len() {
                    match file.write_at(at + done as u64, &bytes[done..]) {
                        Ok(_) if is_planted(PlantedFault::ShortWriteTakenAsWhole) => done = bytes.len(),
                        Ok(n) => done += n,
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(e) => {
                            // After a crash a partial write could restore a message whose client was refused,
                            // so it is truncated. If that fails too, the next attempt overwrites it with the same
                            // bytes.
                            let name = frame::segment_name(*number);
                            if let Err(e) = file.set_size(*at) {
                                // A failed call may have written some bytes, too.
                                let end = file.size().unwrap_or(at + done as u64);
                                let kept = bytes.len().min(end.saturating_sub(*at) as usize);
                                let last_seq = frame::last_whole_record(&bytes[..kept]);
                                self.written_seq = self.written_seq.max(last_seq);
                                self.tolerate(Error::io(&name, FileCall::Truncate, e));
                            }
                            return Err(Error::io(&name, FileCall::Write, e));
                        }
                    }
                }
                self.dirty.insert(*number);
            }
            Op::Sync => self.sync_files()?,
            Op::Remove { number, .. } => {
                self.retire_file(*number, self.damaged.contains(number))?;
                self.files.remove(number);
                self.dirty.remove(number);
            }
        }
        Ok(())
    }

    /// Removes a segment's file, or renames it for the operator if it is damaged and the capacity is large
    /// enough. A call that failed earlier may have had its effect, so a missing file is no error.
    fn retire_file(&mut self, number: u64, damaged: bool) -> Result<(), Error> {
        let name = frame::segment_name(number);
        self.names_dirty = true;
        if damaged && self.options.capacity_bytes >= MIN_CAPACITY_TO_KEEP_DAMAGED_BYTES {
            return self.keep_damaged(&name);
        }
        match self.storage.remove(&name) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(Error::io(&name, FileCall::Remove, e)),
            _ => Ok(()),
        }
    }

    /// Renames a damaged segment, unless an earlier call has done so.
    fn keep_damaged(&mut self, name: &str) -> Result<(), Error> {
        let kept = format!("{name}{DAMAGED_SUFFIX}");
        match self.storage.rename(name, &kept) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(Error::io(name, FileCall::Rename, e)),
            _ => {}
        }
        match self.storage.open(&kept).and_then(|f| f.size()) {
            Ok(size) => self.damaged_bytes += size.next_multiple_of(512),
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => return Err(Error::io(&kept, FileCall::Size, e)),
        }
        Ok(())
    }

    /// From now on the records so far may not be on the device.
    fn distrust_disk(&mut self) {
        self.log.sync_failed();
        self.disk_trust = DiskTrust::Probing;
    }

    /// Syncs what has changed, including what a sync in flight covers.
    fn sync_files(&mut self) -> Result<(), Error> {
        let changed = &std::mem::take(&mut self.dirty) | &self.syncing;
        for number in changed {
            if let Some(file) = self.files.get(&number) {
                file.sync().map_err(|e| Error::io(&frame::segment_name(number), FileCall::Sync, e))?;
            }
        }
        if std::mem::take(&mut self.names_dirty) {
            self.storage.sync_names().map_err(|e| Error::io("journal", FileCall::Sync, e))?;
        }
        Ok(())
    }

    /// Syncs on the calling thread, at startup, when nothing else waits.
    fn sync_now(&mut self) -> Result<(), Error> {
        self.sync_files()?;
        self.log.mark_synced(self.written_seq);
        Ok(())
    }

    /// Sequence number of the last record.
    pub fn last_seq(&self) -> u64 {
        self.log.last_seq()
    }

    /// Whether a record would outlast a crash of the process, also after a failed [`Journal::flush`].
    pub fn is_written(&self, seq: u64) -> bool {
        seq <= self.written_seq
    }

    /// Records up to this sequence number are durable as defined by [`Durability`]. Whatever depends on a
    /// later record must wait.
    pub fn durable(&self) -> u64 {
        match self.options.durability {
            Durability::Process => self.written_seq,
            Durability::Machine => self.log.synced_seq,
        }
    }

    /// Whether all records are durable.
    pub fn is_durable(&self) -> bool {
        self.durable() >= self.wanted_seq
    }

    /// Returns the pending sync, which covers all waiting records, if there is one and no other is in flight.
    pub fn begin_sync(&mut self) -> Option<SyncJob> {
        let sync_writes = self.options.durability == Durability::Machine;
        if sync_writes && self.disk_trust == DiskTrust::Probing && !self.sync_in_flight {
            let file = match self.probe() {
                Ok(file) => file,
                Err(e) => {
                    self.tolerate(Error::io(PROBE_FILE, FileCall::Create, e));
                    return None;
                }
            };
            self.sync_in_flight = true;
            return Some(SyncJob { storage: self.storage.clone(), files: vec![file], names: true, upto: 0 });
        }
        let due = self.wanted_seq > self.log.synced_seq && self.written_seq >= self.wanted_seq;
        if !sync_writes || self.sync_in_flight || !due {
            return None;
        }
        self.sync_in_flight = true;
        self.syncing = std::mem::take(&mut self.dirty);
        let files = self.syncing.iter().filter_map(|n| self.files.get(n).cloned()).collect();
        let names = std::mem::take(&mut self.names_dirty);
        Some(SyncJob { storage: self.storage.clone(), files, names, upto: self.written_seq })
    }

    /// Creates a new file, on which no sync has failed.
    fn probe(&self) -> std::io::Result<Arc<dyn StoredFile>> {
        // An earlier probe file still exists only if it could not be removed.
        let _ = self.storage.remove(PROBE_FILE);
        let file = self.storage.create(PROBE_FILE)?;
        file.write_at(0, &[0; 512])?;
        Ok(file)
    }

    /// False from a failed sync until all live records are durable again. Meanwhile the caller retries syncs
    /// after a pause.
    pub fn is_disk_trusted(&self) -> bool {
        self.disk_trust == DiskTrust::Trusted
    }

    /// Processes the outcome of a sync. Follow with [`Journal::flush`] and [`Journal::compact`].
    ///
    /// # Errors
    /// [`Error::SyncFailed`], once, after several consecutive failures. The journal continues to retry.
    pub fn finish_sync(&mut self, done: SyncOutcome) -> Result<(), Error> {
        self.sync_in_flight = false;
        self.syncing.clear();
        if done.result.is_err() {
            self.sync_failures += 1;
            // Records in these segments may not be on the device, and their files are never synced again.
            self.distrust_disk();
            return match self.sync_failures == REPORTED_SYNC_FAILURES {
                true => Err(Error::SyncFailed { failures: self.sync_failures }),
                false => Ok(()),
            };
        }
        self.sync_failures = 0;
        match self.disk_trust {
            DiskTrust::Probing => {
                // A remaining file takes 512 bytes, and the next start removes it.
                let _ = self.storage.remove(PROBE_FILE);
                self.log.roll();
                self.evacuate_below = self.log.newest();
                self.dirty.clear();
                self.names_dirty = true;
                self.disk_trust = DiskTrust::Rewriting;
                return Ok(());
            }
            DiskTrust::Rewriting => return Ok(()),
            DiskTrust::Rewritten(seq) if done.upto < seq => return Ok(()),
            DiskTrust::Rewritten(_) => self.disk_trust = DiskTrust::Trusted,
            DiskTrust::Trusted => {}
        }
        self.log.mark_synced(done.upto);
        // The `Synced` record must not request a sync itself, or syncs would never end.
        let wanted_seq = self.wanted_seq;
        self.put(0, Record::Synced { upto: done.upto });
        self.wanted_seq = wanted_seq;
        Ok(())
    }
}
