//! `stairshed journal`: inspects the journal of a courier that is not running. Only `compact` writes.

use serde_json::{Value, json};
use stairshed_clock::{ClockReading, ClockStart, JournalTimes, StableTime, StoredClock, TimeOfDay};
use stairshed_courier::clock::stored_clock;
use stairshed_courier::settings::OperatorSettings;
use stairshed_journal::{
    Attempt, EndedMessage, FileStorage, Journal, JournalContents, LiveMessage, Options, Record, Verdict,
};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Journal(#[from] stairshed_journal::Error),
    #[error("{0}")]
    Settings(#[from] stairshed_courier::config_file::ConfigFileError),
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    #[error("{0} damaged parts of the journal cannot be read")]
    Damaged(usize),
}

/// Reads a journal with the widest limits, so that it can be read whatever settings it was written with.
fn read(folder: &Path, on_record: &mut dyn FnMut(u64, &Record)) -> Result<JournalContents, Error> {
    let files = FileStorage::read_only(folder)?;
    Ok(stairshed_journal::read(&files, &Options::new(u64::MAX / 4), on_record)?)
}

/// The clock by which ages are computed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AgeClock {
    /// The courier's clock, continued from its record in the journal.
    Stable,
    /// The wall clock, since the journal has no record of the courier's clock.
    Wall,
}

/// What the clock shows by which ages are computed.
fn now(found: &JournalContents) -> (StableTime, AgeClock) {
    let stored = stored_clock(found.notes.values().map(|note| &**note));
    if !matches!(stored, StoredClock::Readable(_)) {
        return (StableTime::from_epoch(TimeOfDay::now().as_unix()), AgeClock::Wall);
    }
    let attempts = found.live.values().flat_map(|live| live.attempts.iter().map(|a| a.sent_at));
    let latest = attempts.chain(found.live.values().map(|live| live.accepted.accepted_at)).max();
    let journal = JournalTimes { latest: latest.unwrap_or_default(), holds_messages: !found.live.is_empty() };
    (ClockStart::new(&stored, journal, &ClockReading::now()).clock.now(), AgeClock::Stable)
}

fn seconds_between(from: StableTime, to: StableTime) -> f64 {
    to.since_epoch().as_secs_f64() - from.since_epoch().as_secs_f64()
}

/// Lists the live messages, and prints totals.
pub fn inspect(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let found = read(folder, &mut |_, _| {})?;
    let (now, age_clock) = now(&found);
    let (mut body_bytes, mut name_bytes, mut attempts, mut with_verdict, mut may_have_run) = (0, 0, 0, 0, 0);
    writeln!(
        out,
        "{:>12} {:>10} {:>10} {:>8} {:>9} {:>8}  class, id",
        "message", "age s", "left s", "attempts", "body", "verdict"
    )?;
    for (message, live) in &found.live {
        let accepted = &live.accepted;
        body_bytes += accepted.body.len();
        name_bytes += accepted.id.len() + accepted.class.len() + accepted.key.as_ref().map_or(0, String::len);
        attempts += live.attempts.len();
        with_verdict += usize::from(live.verdict.is_some());
        may_have_run += usize::from(live.attempts.iter().any(|a| a.may_have_run));
        let verdict = match live.verdict {
            None => "-",
            Some(Verdict::Dead) => "dead",
            Some(Verdict::Bounced { .. }) => "bounced",
            Some(Verdict::Rejected { .. }) => "rejected",
        };
        let left = seconds_between(now, accepted.deadline);
        let age = match accepted.accepted_at.is_epoch() {
            true => "-".to_owned(),
            false => format!("{:.1}", seconds_between(accepted.accepted_at, now)),
        };
        let (attempt_count, body) = (live.attempts.len(), accepted.body.len());
        writeln!(
            out,
            "{message:>12} {age:>10} {left:>10.1} {attempt_count:>8} {body:>9} {verdict:>8}  {}, {}",
            accepted.class, accepted.id
        )?;
    }
    if age_clock == AgeClock::Wall {
        writeln!(out, "ages: by the wall clock, the journal has no record of the courier's clock")?;
    }
    writeln!(
        out,
        "messages: {} live, {with_verdict} with a verdict, {may_have_run} that may have run",
        found.live.len()
    )?;
    let unacknowledged = found.ended_messages.values().filter(|k| k.owner.is_some()).count();
    writeln!(
        out,
        "ended: {} remembered, {unacknowledged} of them not told to their client",
        found.ended_messages.len()
    )?;
    writeln!(out, "notes: {}", found.notes.len())?;
    writeln!(out, "bytes: {} in {} segments", found.bytes, found.segments)?;
    writeln!(
        out,
        "  bodies {body_bytes}, ids, classes and keys {name_bytes}; {attempts} attempts on record"
    )?;
    writeln!(
        out,
        "  needed {} with their heads and frames, dead {}",
        found.live_bytes,
        found.bytes - found.live_bytes
    )?;
    print_damages(&found, out)
}

fn print_damages(found: &JournalContents, out: &mut impl Write) -> Result<(), Error> {
    if found.truncated_bytes > 0 {
        writeln!(
            out,
            "torn tail: {} bytes, as left by a crash; the next start truncates them",
            found.truncated_bytes
        )?;
    }
    for damage in &found.damages {
        writeln!(out, "DAMAGED {damage}")?;
    }
    for message in &found.lost_messages {
        writeln!(out, "LOST message {message}: it was accepted, but its id and body cannot be read")?;
    }
    Ok(())
}

/// Reads every segment.
///
/// # Errors
/// A part of the journal is damaged.
pub fn verify(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let mut records = 0u64;
    let found = read(folder, &mut |_, _| records += 1)?;
    print_damages(&found, out)?;
    if !found.damages.is_empty() {
        return Err(Error::Damaged(found.damages.len()));
    }
    let (segments, bytes, live) = (found.segments, found.bytes, found.live.len());
    writeln!(out, "sound: {segments} segments, {bytes} bytes, {records} records, {live} live messages")?;
    Ok(())
}

/// Prints every record as a line of JSON.
pub fn dump(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let mut failed = None;
    read(folder, &mut |seq, record| {
        if failed.is_none() {
            failed = writeln!(out, "{}", record_json(seq, record)).err();
        }
    })?;
    failed.map_or(Ok(()), |e| Err(e.into()))
}

fn record_json(seq: u64, record: &Record) -> Value {
    let micros = |t: Duration| t.as_micros() as u64;
    let attempt = |a: &Attempt| json!({"host": a.host, "zone": a.zone, "sent_us": a.sent_at.as_micros(), "may_have_run": a.may_have_run});
    let verdict = |v: &Verdict| match v {
        Verdict::Dead => json!({"result": "dead"}),
        Verdict::Bounced { wait } => json!({"result": "bounced", "wait_us": wait.map(micros)}),
        Verdict::Rejected { status } => json!({"result": "rejected", "status": status}),
    };
    let remembered_json = |k: &EndedMessage| {
        json!({"id": k.id, "owner": k.owner, "until_us": k.until.as_micros(),
            "verdict": k.verdict.as_ref().map(verdict)})
    };
    let live_json = |live: &LiveMessage| {
        let l = &live.accepted;
        json!({"id": l.id, "class": l.class, "destination": l.destination, "key": l.key,
            "taken_us": l.accepted_at.as_micros(), "until_us": l.deadline.as_micros(), "body_bytes": l.body.len(),
            "attempts": live.attempts.iter().map(attempt).collect::<Vec<_>>(),
            "verdict": live.verdict.as_ref().map(verdict)})
    };
    let (kind, data) = match record {
        Record::Snapshot { live, .. } => ("snapshot", live_json(live)),
        Record::Attempt { index, attempt: a, .. } => {
            ("attempt", json!({"index": index, "attempt": attempt(a)}))
        }
        Record::NeverRan { index, .. } => ("never_ran", json!({"index": index})),
        Record::Judged { verdict: v, .. } => ("judged", verdict(v)),
        Record::Ended { .. } => ("ended", json!({})),
        Record::Kept { kept: k, .. } => ("kept", remembered_json(k)),
        Record::Note { note, .. } => {
            ("note", json!({"key": note.key, "value": String::from_utf8_lossy(&note.value)}))
        }
        Record::Trim { oldest } => ("trim", json!({"oldest": oldest})),
        Record::Synced { upto } => ("synced", json!({"upto": upto})),
    };
    json!({"seq": seq, "kind": kind, "message": record.message(), "data": data})
}

/// Copies the live messages into new segments and removes the old ones.
pub fn compact(folder: &Path, settings: Option<&Path>, out: &mut impl Write) -> Result<(), Error> {
    let settings = OperatorSettings::read(settings)?;
    let files = Arc::new(FileStorage::lock(folder)?);
    let mut options = settings.journal.options(u64::MAX / 4, 6);
    // The smallest segment size, so that a courier with any `room` can copy a segment later.
    options.segment_bytes = options.segment_bytes.or(Some(0));
    let (mut journal, report) = Journal::open(files, options)?;
    for damage in &report.damages {
        writeln!(out, "DAMAGED {damage}")?;
    }
    let before = journal.usage().used;
    journal.compact_all()?;
    writeln!(out, "{before} bytes before, {} after; {} live messages", journal.usage().used, journal.len())?;
    Ok(())
}
