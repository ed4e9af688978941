//! The journal itself: takes records, plans them into the log, brings them to the disk, keeps room for what
//! is owed, and copies what lives out of old segments in bounded steps.

use crate::error::{Damage, Error, Refusal};
use crate::frame;
use crate::legacy;
use crate::log::{FRAME_OVERHEAD_BYTES, Log, LogConfig, Op};
use crate::options::{Durability, OnDamage, Options};
use crate::record::{self, AcceptedMessage, Attempt, EndedMessage, LiveMessage, Note, Record, Verdict};
use crate::recover::{Recovered, recover};
use crate::state::{Item, State, with_end_record};
use crate::storage::{Storage, StoredFile, read_into};
use crate::sync::{DiskTrust, SyncJob, SyncOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Room set aside on the disk for what is owed.
const RESERVE_FILE: &str = "set-aside";
/// It grows and shrinks by this much, bytes: a call for each message would be too dear.
const RESERVE_STEP_BYTES: u64 = 256 * 1024;
/// What is left of a segment that could not be read all through.
const DAMAGED_SUFFIX: &str = ".damaged";
/// With less room than this such a segment is not kept for the operator: it would take the messages' room.
const MIN_CAPACITY_TO_KEEP_DAMAGED_BYTES: u64 = 64 * 1024 * 1024;
/// What an open segment takes in memory, bytes.
const OPEN_FILE_MEMORY_BYTES: u64 = 300;
/// The head, seal and padding of a new segment, bytes.
const ROLL_OVERHEAD_BYTES: u64 = 1024;
/// Shows after a failed sync whether the device works again; a segment each time would fill the room.
const PROBE_FILE: &str = "probe";
/// Failed syncs after which it is said that nothing works.
const REPORTED_SYNC_FAILURES: u32 = 3;

/// What a start found.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Parts that could not be read.
    pub damages: Vec<Damage>,
    /// Messages that were accepted and cannot be told any more: their beginning is lost.
    pub lost_messages: Vec<u64>,
    /// Messages that live and count as sent, since a lost record may say so.
    pub presumed_sent: Vec<u64>,
    /// Bytes of a torn tail that were cut off.
    pub truncated_bytes: u64,
    /// Messages taken over from the old format; None if there was no file of it.
    pub migrated: Option<usize>,
    pub read_bytes: u64,
}

/// How the journal stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Usage {
    pub room: u64,
    /// Bytes of all files, each counted in whole 512.
    pub used: u64,
    /// Bytes of records that are needed, and what the messages may still add.
    pub live: u64,
    pub owed: u64,
    /// What live and owed may come to.
    pub live_most: u64,
    pub messages: u64,
    pub segments: u64,
    /// Bytes written since the start: all, and copies among them.
    pub written: u64,
    pub copied: u64,
}

pub struct Journal {
    storage: Arc<dyn Storage>,
    options: Options,
    state: State,
    log: Log,
    files: BTreeMap<u64, Arc<dyn StoredFile>>,
    /// Records up to here are written.
    written_seq: u64,
    /// The last record that asks for a sync.
    wanted_seq: u64,
    /// Segments that were written to since the last sync began, and whether names changed.
    dirty: BTreeSet<u64>,
    names_dirty: bool,
    sync_in_flight: bool,
    /// The last flush failed.
    flush_failed: bool,
    disk_trust: DiskTrust,
    sync_failures: u32,
    /// Segments below this number are to be emptied, whatever is in them.
    evacuate_below: u64,
    reserve_file_bytes: u64,
    /// Segments to be kept under another name when they are removed, and the room that such files take.
    damaged: BTreeSet<u64>,
    damaged_bytes: u64,
    written_bytes: u64,
    copied_bytes: u64,
}

impl Journal {
    /// Opens the journal in `storage`, taking over a folder of the old format.
    ///
    /// # Errors
    /// See [`Error`]. A folder of a newer format, and with [`OnDamage::Stop`] a damaged one, is left as it is.
    pub fn open(storage: Arc<dyn Storage>, options: Options) -> Result<(Self, RecoveryReport), Error> {
        options.check()?;
        let names = storage.list().map_err(|e| Error::io("journal", "list", e))?;
        let old = names.iter().any(|n| n == legacy::FILE_NAME);
        let mut found = recover(&*storage, &options, None)?;
        if options.on_damage == OnDamage::Stop
            && let Some(damage) = found.damages.first()
        {
            return Err(Error::Damaged(damage.clone()));
        }
        let remove = |name: &str| storage.remove(name).map_err(|e| Error::io(name, "remove", e));
        if old {
            if !found.migration {
                return Err(Error::ConflictingFormats);
            }
            // Written by a take-over that was cut short: the old file still holds all.
            let begun: Vec<u64> =
                found.segments.keys().chain(&found.stale).chain(&found.misplaced).copied().collect();
            for number in begun {
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
        let mut journal = Self::from_recovered(storage.clone(), options, &mut found, old, &names)?;
        let mut report = RecoveryReport {
            damages: found.damages,
            lost_messages: found.lost_messages,
            truncated_bytes: found.truncated_bytes,
            read_bytes: found.read,
            ..RecoveryReport::default()
        };
        if old {
            report.migrated = Some(journal.migrate_legacy(&mut report)?);
        }
        if !report.damages.is_empty() {
            report.presumed_sent = journal.salvage(found.lost_before)?;
        }
        journal.flush()?;
        if journal.options.durability == Durability::Machine {
            journal.sync_now()?;
        }
        // Not before all is salvaged: they are what tells a start that something is missing.
        for number in found.misplaced.iter().filter(|_| !old) {
            journal.retire_file(*number, true)?;
        }
        Ok((journal, report))
    }

    /// The journal as recovered, with a torn tail cut off.
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
            files.insert(*number, storage.open(&name).map_err(|e| Error::io(&name, "open", e))?);
        }
        if let Some((number, size)) = found.cut
            && let Some(file) = files.get(&number)
        {
            file.set_size(size).map_err(|e| Error::io(&frame::segment_name(number), "truncate", e))?;
        }
        let mut damaged_bytes = 0;
        for name in names.iter().filter(|n| n.ends_with(DAMAGED_SUFFIX)) {
            let size = storage.open(name).and_then(|f| f.size());
            damaged_bytes += size.map_err(|e| Error::io(name, "size", e))?.next_multiple_of(512);
        }
        let config = LogConfig {
            segment: options.segment(),
            sync_writes: options.durability == Durability::Machine,
            migration,
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

    /// Copies what the old format's file holds, then removes that: until then it is what counts.
    fn migrate_legacy(&mut self, report: &mut RecoveryReport) -> Result<usize, Error> {
        let file =
            self.storage.open(legacy::FILE_NAME).map_err(|e| Error::io(legacy::FILE_NAME, "open", e))?;
        let mut bytes = Vec::new();
        read_into(&*file, &mut bytes).map_err(|e| Error::io(legacy::FILE_NAME, "read", e))?;
        let (live, _, sound) = legacy::replay(&bytes);
        report.truncated_bytes += (bytes.len() - sound) as u64;
        let messages = live.len();
        for (message, live) in live {
            self.snapshot(message, live);
        }
        self.flush()?;
        if self.options.durability == Durability::Machine {
            self.sync_now()?;
        }
        self.storage.remove(legacy::FILE_NAME).map_err(|e| Error::io(legacy::FILE_NAME, "remove", e))?;
        if self.options.durability == Durability::Machine {
            // A power cut must not bring the old file back beside what comes next.
            self.storage.sync_names().map_err(|e| Error::io("journal", "sync", e))?;
        }
        // What comes from now on must not be taken for part of the take-over, should the old program run
        // here once more.
        self.log.end_migration();
        Ok(messages)
    }

    /// After damage: what may have been sent counts as sent, and all that lives moves away from what cannot
    /// be read.
    fn salvage(&mut self, lost_before: u64) -> Result<Vec<u64>, Error> {
        let suspected = self.state.undecided_before(lost_before);
        for message in &suspected {
            let sent = self.state.latest_time();
            if let Some(live) = self.get(*message) {
                let index = live.attempts.len().min(usize::from(u16::MAX)) as u16;
                self.put(0, Record::Attempt { message: *message, index, attempt: Attempt::unknown(sent) });
            }
        }
        self.evacuate_below_segment(self.log.newest())?;
        Ok(suspected)
    }

    /// The live messages, by number.
    pub fn live(&self) -> impl Iterator<Item = (u64, &LiveMessage)> {
        self.state.live()
    }

    pub fn get(&self, message: u64) -> Option<&LiveMessage> {
        self.state.get(message).and_then(|entry| entry.item.live())
    }

    /// What stays of messages that have ended, by number.
    pub fn ended_messages(&self) -> impl Iterator<Item = (u64, &Rc<EndedMessage>)> {
        self.state.items().filter_map(|(number, item)| match item {
            Item::Kept(kept) => Some((number, kept)),
            _ => None,
        })
    }

    /// What stays of one that has ended.
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

    /// How many messages live.
    pub fn len(&self) -> usize {
        self.live().count()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The highest number that any record names.
    pub fn last_number(&self) -> u64 {
        self.state.last_number()
    }

    /// The latest time that a record tells, Unix time: a clock that shows less has jumped back.
    pub fn latest_time(&self) -> Duration {
        self.state.latest_time()
    }

    /// Bytes of memory that the journal takes beside its messages: buffers, notes and its own tables.
    pub fn memory(&self) -> u64 {
        self.log.memory() + self.state.notes() + self.files.len() as u64 * OPEN_FILE_MEMORY_BYTES
    }

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

    /// Whether a message can be taken on, with room for all that it may still need.
    ///
    /// # Errors
    /// Why it cannot just now.
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

    /// Sets room aside for what is owed and `more`.
    fn reserve_space(&mut self, more: u64) -> Result<(), Refusal> {
        let wanted = self.wanted_reserve_file_bytes(more);
        if wanted > self.reserve_file_bytes {
            let to = wanted + RESERVE_STEP_BYTES;
            self.storage.preallocate(RESERVE_FILE, to).map_err(|_| Refusal::DiskFull)?;
            self.names_dirty = true;
            self.reserve_file_bytes = to;
        }
        Ok(())
    }

    fn wanted_reserve_file_bytes(&self, more: u64) -> u64 {
        (self.state.outstanding_bytes() + more + self.options.compaction_reserve_bytes())
            .next_multiple_of(RESERVE_STEP_BYTES)
    }

    /// Takes a message on. Ask [`Journal::can_accept`] first.
    pub fn accept(&mut self, message: u64, accepted: Rc<AcceptedMessage>) {
        self.snapshot(message, LiveMessage { accepted, attempts: Vec::new(), verdict: None });
    }

    fn snapshot(&mut self, message: u64, live: LiveMessage) -> u64 {
        let reserved_bytes = self.state.get(message).map_or(0, |entry| entry.reserved_bytes);
        let reserved_bytes = reserved_bytes.max(self.options.reserved_bytes(&live.accepted));
        self.put(reserved_bytes, Record::Snapshot { message, live })
    }

    /// Records an attempt, before its first byte goes out. Returns its place among the message's attempts.
    ///
    /// # Errors
    /// If it is beyond what room was kept for and there is no other. It must not be made then.
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

    /// An attempt has proof that it never ran. One that may have run needs no record: that is what is assumed.
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

    /// Nothing more is owed for the message, or the note is needed no more.
    pub fn record_end(&mut self, message: u64) {
        if self.state.get(message).is_some() {
            self.put(0, Record::Ended { message });
        }
    }

    /// The message has ended, and this stays of it. Takes less room than the message did, which is free again.
    pub fn replace_with_ended(&mut self, message: u64, kept: EndedMessage) {
        if self.state.get(message).is_some() {
            self.replace_entry(Record::Kept { message, kept: Rc::new(kept) });
        }
    }

    /// The same for one that was never taken on. Ask [`Journal::can_store_note`] first.
    pub fn store_ended(&mut self, message: u64, kept: EndedMessage) {
        self.replace_entry(Record::Kept { message, kept: Rc::new(kept) });
    }

    /// Whether a note of so many bytes, its key included, can be put beside those that are there.
    ///
    /// # Errors
    /// Why it cannot just now.
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

    /// Puts a note under a number, in the place of the one that was there. Ask [`Journal::can_store_note`] first.
    /// The number must be one that no message has, above [`Journal::last_number`] for a new one.
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

    /// Bytes that the log may take while nothing is being copied.
    fn usable(&self) -> u64 {
        let sync_writes = match self.options.durability {
            Durability::Process => 0,
            // After a failed sync all that lives is written anew before anything old can go.
            Durability::Machine => self.state.reserved_bytes(),
        };
        let taken = self.options.compaction_reserve_bytes()
            + self.reserve_file_bytes
            + self.damaged_bytes
            + sync_writes;
        self.options.capacity_bytes.saturating_sub(taken)
    }

    /// Frees segments until a record fits. Room for the copies is always there: no more than
    /// [`Options::copy_room`] begins in one segment.
    fn make_room(&mut self, bytes: u64) {
        if self.disk_trust != DiskTrust::Trusted {
            // Room for all that is written anew was kept, and nothing old may go before that is done.
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

    /// Copies all that lives out of the oldest segment, and gives it up.
    fn evacuate_oldest(&mut self, immediately: bool) {
        if self.log.second_segment_start().is_none() {
            self.log.roll();
        }
        while self.copy_next_entry().is_some() {}
        self.log.retire(immediately);
    }

    /// Copies one message out of the oldest segment; its bytes, or None if none is left there.
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

    /// Whether old segments hold so much that is dead that copying what lives out of them is worth it. So
    /// much dead is let stand as lives, or three quarters of what the live ones leave of the room: each byte
    /// is then copied once at most for each that is freed, more where room is short.
    pub fn wants_compaction(&self) -> bool {
        let spare = self.usable().saturating_sub(self.state.bytes());
        let live = self.state.bytes().max(self.options.segment());
        let worth = self.log.has_segment_below(self.evacuate_below)
            || self.oldest_is_dead()
            || self.dead_bytes() > live.min(spare / 4 * 3);
        worth && self.disk_trust != DiskTrust::Probing && self.log.second_segment_start().is_some()
    }

    fn oldest_is_dead(&self) -> bool {
        let first = self.state.first().map_or(u64::MAX, |(seq, _)| seq);
        self.log.second_segment_start().is_some_and(|end| first >= end)
    }

    /// Does a step of compaction: copies `most` bytes, or one message more, and frees what is empty by then.
    /// [`Journal::wants_compaction`] tells whether more is to be done. Call [`Journal::flush`] behind it.
    pub fn compact(&mut self, most: u64) {
        if self.flush_failed {
            // The disk does not take what is planned already.
            return;
        }
        let (mut copied, mut freed) = (0, 0);
        while self.wants_compaction() && copied < most && freed < most {
            match self.copy_next_entry() {
                Some(bytes) => copied += bytes,
                None => {
                    // Removing costs by the size of what is removed.
                    freed += self.options.segment();
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
            if self.storage.preallocate(RESERVE_FILE, to).is_ok() {
                self.reserve_file_bytes = to;
            }
        }
    }

    /// Copies all that lives into fresh segments and removes the others, in one go: for a journal that
    /// serves nobody.
    ///
    /// # Errors
    /// As [`Journal::flush`].
    pub fn compact_all(&mut self) -> Result<(), Error> {
        self.log.roll();
        self.evacuate_below_segment(self.log.newest())
    }

    /// Writes what is planned at each step, so that no more of it waits in memory than one segment's copies.
    fn evacuate_below_segment(&mut self, number: u64) -> Result<(), Error> {
        while self.log.has_segment_below(number) {
            self.evacuate_oldest(true);
            self.flush()?;
        }
        self.flush()
    }

    /// Brings all records to the disk: when it returns they outlast the process. After an error they wait
    /// here, in order, and go first the next time; nothing that depends on them may be done until then.
    ///
    /// # Errors
    /// [`Error::Io`] with the file and the call.
    pub fn flush(&mut self) -> Result<(), Error> {
        while let Some(op) = self.log.queue.pop_front() {
            let mut done = self.execute(&op);
            while self.reserve_file_bytes > 0 && done.as_ref().is_err_and(Error::is_full) {
                // This is what the room was set aside for.
                let to = self.reserve_file_bytes.saturating_sub(RESERVE_STEP_BYTES);
                let name = RESERVE_FILE;
                self.storage.preallocate(name, to).map_err(|e| Error::io(name, "shrink", e))?;
                self.reserve_file_bytes = to;
                done = self.execute(&op);
            }
            if let Err(e) = done {
                self.log.queue.push_front(op);
                self.flush_failed = true;
                return Err(e);
            }
            self.log.finish_op(op);
        }
        self.flush_failed = false;
        self.written_seq = self.log.last_seq();
        Ok(())
    }

    fn execute(&mut self, op: &Op) -> Result<(), Error> {
        match op {
            Op::Create { number } => {
                let name = frame::segment_name(*number);
                let file = self.storage.create(&name).map_err(|e| Error::io(&name, "create", e))?;
                self.names_dirty = true;
                self.files.insert(*number, file);
            }
            Op::Write { number, at, bytes } => {
                // A segment that is gone by now needs no seal.
                let Some(file) = self.files.get(number) else { return Ok(()) };
                let mut done = 0;
                while done < bytes.len() {
                    match file.write_at(at + done as u64, &bytes[done..]) {
                        Ok(n) => done += n,
                        Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                        Err(e) => {
                            // What is half there would come back as taken on after a crash, though its client
                            // was refused. If this fails too, the next try still writes over it.
                            let _ = file.set_size(*at);
                            return Err(Error::io(&frame::segment_name(*number), "write", e));
                        }
                    }
                }
                self.dirty.insert(*number);
            }
            Op::Sync => self.sync_files()?,
            Op::Remove { number } => {
                self.retire_file(*number, self.damaged.contains(number))?;
                self.files.remove(number);
                self.dirty.remove(number);
            }
        }
        Ok(())
    }

    /// Removes a segment's file, or leaves it to the operator under another name if it is damaged and there
    /// is room.
    fn retire_file(&mut self, number: u64, damaged: bool) -> Result<(), Error> {
        let name = frame::segment_name(number);
        if damaged && self.options.capacity_bytes >= MIN_CAPACITY_TO_KEEP_DAMAGED_BYTES {
            let size = self.storage.open(&name).and_then(|f| f.size());
            let size = size.map_err(|e| Error::io(&name, "size", e))?;
            let kept = format!("{name}{DAMAGED_SUFFIX}");
            self.storage.rename(&name, &kept).map_err(|e| Error::io(&name, "rename", e))?;
            self.damaged_bytes += size.next_multiple_of(512);
        } else {
            self.storage.remove(&name).map_err(|e| Error::io(&name, "remove", e))?;
        }
        self.names_dirty = true;
        Ok(())
    }

    fn sync_files(&mut self) -> Result<(), Error> {
        for number in std::mem::take(&mut self.dirty) {
            if let Some(file) = self.files.get(&number) {
                file.sync().map_err(|e| Error::io(&frame::segment_name(number), "sync", e))?;
            }
        }
        if std::mem::take(&mut self.names_dirty) {
            self.storage.sync_names().map_err(|e| Error::io("journal", "sync", e))?;
        }
        Ok(())
    }

    /// Syncs here and now: at the start, when nobody waits.
    fn sync_now(&mut self) -> Result<(), Error> {
        self.sync_files()?;
        self.log.mark_synced(self.written_seq);
        Ok(())
    }

    /// The sequence number of the last record that was put.
    pub fn last_seq(&self) -> u64 {
        self.log.last_seq()
    }

    /// Records up to this sequence number are kept, as the settings mean it. What depends on a later one must
    /// wait.
    pub fn durable(&self) -> u64 {
        match self.options.durability {
            Durability::Process => self.written_seq,
            Durability::Machine => self.log.synced_seq,
        }
    }

    /// Whether all that was done is kept.
    pub fn is_durable(&self) -> bool {
        self.durable() >= self.wanted_seq
    }

    /// The sync that is due, if one is and none is under way: one for all that waits.
    pub fn begin_sync(&mut self) -> Option<SyncJob> {
        let sync_writes = self.options.durability == Durability::Machine;
        if sync_writes && self.disk_trust == DiskTrust::Probing && !self.sync_in_flight {
            let file = self.probe().ok()?;
            self.sync_in_flight = true;
            return Some(SyncJob { storage: self.storage.clone(), files: vec![file], names: true, upto: 0 });
        }
        let due = self.wanted_seq > self.log.synced_seq && self.written_seq >= self.wanted_seq;
        if !sync_writes || self.sync_in_flight || !due {
            return None;
        }
        self.sync_in_flight = true;
        let files = std::mem::take(&mut self.dirty);
        let files = files.iter().filter_map(|n| self.files.get(n).cloned()).collect();
        let names = std::mem::take(&mut self.names_dirty);
        Some(SyncJob { storage: self.storage.clone(), files, names, upto: self.written_seq })
    }

    /// A file that no sync has failed on.
    fn probe(&self) -> std::io::Result<Arc<dyn StoredFile>> {
        // One from the try before is gone already, unless that could not be removed.
        let _ = self.storage.remove(PROBE_FILE);
        let file = self.storage.create(PROBE_FILE)?;
        file.write_at(0, &[0; 512])?;
        Ok(file)
    }

    /// False from a failed sync on until all that lives is kept again. Syncs are to be tried again after a
    /// pause meanwhile.
    pub fn is_disk_trusted(&self) -> bool {
        self.disk_trust == DiskTrust::Trusted
    }

    /// Takes in what became of a sync. [`Journal::flush`] and [`Journal::compact`] carry on from there.
    ///
    /// # Errors
    /// [`Error::SyncFailed`], once, when several have failed in a row. The journal goes on trying.
    pub fn finish_sync(&mut self, done: SyncOutcome) -> Result<(), Error> {
        self.sync_in_flight = false;
        if done.result.is_err() {
            self.sync_failures += 1;
            // Nothing of these segments is believed to be on the device, and none is synced again.
            self.log.discard_pending_seals();
            self.disk_trust = DiskTrust::Probing;
            return match self.sync_failures == REPORTED_SYNC_FAILURES {
                true => Err(Error::SyncFailed { failures: self.sync_failures }),
                false => Ok(()),
            };
        }
        self.sync_failures = 0;
        match self.disk_trust {
            DiskTrust::Probing => {
                // If it stays it takes 512 bytes, and the next start removes it.
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
        // Asks for no sync of its own, or there would be no end of them.
        let wanted_seq = self.wanted_seq;
        self.put(0, Record::Synced { upto: done.upto });
        self.wanted_seq = wanted_seq;
        Ok(())
    }
}
