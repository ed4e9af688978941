//! Start of the stable clock from the record in the journal.

use stairshed_clock::{ClockReading, ClockRestart, ClockStart, JournalTimes, StoredClock};
use stairshed_journal::{Journal, Note};

/// Key of the journal's note that holds the record of the clocks.
pub const CLOCK_NOTE_KEY: &str = "clock";

/// The record of the clocks among the notes of a journal.
pub fn stored_clock<'a>(mut notes: impl Iterator<Item = &'a Note>) -> StoredClock {
    StoredClock::parse(notes.find(|note| note.key == CLOCK_NOTE_KEY).map(|note| &*note.value))
}

/// Starts the stable clock, and logs if the time since the last times on record is not proven.
pub fn start_clock(journal: &Journal) -> ClockStart {
    let stored = stored_clock(journal.notes().map(|(_, note)| &**note));
    let holds_messages = !journal.is_empty() || journal.ended_messages().next().is_some();
    let times = JournalTimes { latest: journal.latest_time(), holds_messages };
    let start = ClockStart::new(&stored, times, &ClockReading::now());
    if holds_messages {
        log_restart(start.restart);
    }
    start
}

fn log_restart(restart: ClockRestart) {
    let elapsed = match restart {
        ClockRestart::First | ClockRestart::SameBoot => return,
        ClockRestart::WallClock => "is taken from the wall clock, since the machine was started again",
        ClockRestart::Unknown => "is not known",
    };
    log_line!(
        "clock: the time since the last times on record {elapsed}; no key's window counts as open over it"
    );
}
