//! The record of the clocks in the journal, from which the next process continues the stable clock. It is
//! stored before the first time that relies on it, and again when the wall clock has been stepped.

use super::Dispatcher;
use crate::clock::{CLOCK_NOTE_KEY, stored_clock};
use stairshed_clock::{BootId, ClockReading, ClockRecord, ClockRestart, StableTime, StoredClock};
use stairshed_journal::EndedMessage;
use std::time::Duration;
use tokio::time::Instant;

/// Shortest time between two checks whether the wall clock has been stepped.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest step of the wall clock that is recorded, microseconds. A smaller one changes what is believed
/// after a reboot by no more than this.
const MIN_RECORDED_STEP: u128 = 100_000;
/// Records that are written to the journal together at startup, to limit the memory of its queue.
const RECORDS_PER_FLUSH: usize = 1024;

/// The record of the clocks as last stored.
pub(super) struct ClockRecorder {
    boot_id: Option<BootId>,
    stored: Option<ClockRecord>,
    checked_at: Option<Instant>,
}

impl ClockRecorder {
    pub(super) fn new() -> Self {
        ClockRecorder { boot_id: BootId::read(), stored: None, checked_at: None }
    }

    /// Whether the check for a step of the wall clock is due.
    fn is_check_due(&self, now: Instant) -> bool {
        self.checked_at.is_none_or(|at| now.duration_since(at) >= CHECK_INTERVAL)
    }

    /// Whether the wall clock has been stepped since the record was stored.
    fn is_outdated_at(&self, current: &ClockRecord) -> bool {
        self.stored.as_ref().is_some_and(|stored| {
            let step = current.wall_offset_micros() - stored.wall_offset_micros();
            step.unsigned_abs() > MIN_RECORDED_STEP
        })
    }
}

impl Dispatcher {
    /// Continues the record of the previous process, or replaces it if the clock was not continued by it
    /// alone.
    pub(super) fn resume_clock_record(&mut self) {
        let start = self.setup.clock_start;
        let stored = stored_clock(self.journal.notes().map(|(_, note)| &**note));
        match (start.restart, stored) {
            (ClockRestart::SameBoot, StoredClock::Readable(record)) => {
                self.clock_recorder.stored = Some(record);
            }
            (ClockRestart::First, _) => {}
            _ => {
                // The ids come first: after a crash between the two they are extended once more.
                self.extend_remembered_ids(start.unproven);
                self.store_clock_record(self.current_clock_record());
                // A failure is found and reported with the next write.
                let _ = self.journal.flush();
            }
        }
    }

    /// Keeps the ids of ended messages as if the time that is not proven had not passed.
    fn extend_remembered_ids(&mut self, unproven: Duration) {
        if unproven.is_zero() {
            return;
        }
        let remembered = self.journal.ended_messages().filter(|(_, kept)| !kept.until.is_epoch());
        let remembered: Vec<(u64, EndedMessage)> =
            remembered.map(|(number, kept)| (number, EndedMessage::clone(kept))).collect();
        for (written, (number, kept)) in remembered.into_iter().enumerate() {
            let until = kept.until + unproven;
            self.journal.replace_with_ended(number, EndedMessage { until, ..kept });
            if written % RECORDS_PER_FLUSH == RECORDS_PER_FLUSH - 1 {
                let _ = self.journal.flush();
            }
        }
    }

    /// Stores the record if there is none yet. Must be called before a time is recorded.
    pub(super) fn ensure_clock_record(&mut self) {
        if self.clock_recorder.stored.is_none() {
            self.store_clock_record(self.current_clock_record());
        }
    }

    /// Stores the record again if the wall clock has been stepped. Called with traffic, so that an idle
    /// courier does not wake for it.
    pub(super) fn update_clock_record(&mut self, now: Instant) {
        if self.clock_recorder.stored.is_some() && self.clock_recorder.is_check_due(now) {
            self.clock_recorder.checked_at = Some(now);
            self.replace_outdated_clock_record();
        }
    }

    /// Stores the record again if the wall clock has been stepped, however recently that was checked.
    pub(super) fn replace_outdated_clock_record(&mut self) {
        let current = self.current_clock_record();
        if self.clock_recorder.is_outdated_at(&current) {
            self.store_clock_record(current);
        }
    }

    fn current_clock_record(&self) -> ClockRecord {
        self.clock.record(ClockReading::within_boot(self.clock_recorder.boot_id.clone()))
    }

    fn store_clock_record(&mut self, record: ClockRecord) {
        self.put_state(CLOCK_NOTE_KEY, record.to_string().into());
        self.clock_recorder.stored = Some(record);
    }

    /// Until when the id of a message is remembered that was accepted at this time: for the whole span from
    /// when the clock was last continued without proof, if that was later.
    pub(super) fn remembered_until(&self, accepted_at: StableTime, span: Duration) -> StableTime {
        accepted_at.max(self.clock.proven_since()) + span
    }
}
