//! `stairshed journal`: tools for an operator who wants to know what a courier that does not run has left.
//! Only `compact` writes.

use serde_json::{Value, json};
use stairshed_courier::settings::OperatorSettings;
use stairshed_journal::{Attempt, Files, Found, Journal, Kept, Live, Options, Record, Verdict};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Why a tool did not do its work.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Journal(#[from] stairshed_journal::Error),
    #[error("{0}")]
    Settings(#[from] stairshed_courier::config_file::ConfigFileError),
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    #[error("{0} parts of the journal cannot be read")]
    Damaged(usize),
}

/// A folder is read with the widest bounds: what a courier with other settings wrote is read all the same.
fn read(folder: &Path, see: &mut dyn FnMut(u64, &Record)) -> Result<Found, Error> {
    let files = Files::read_only(folder)?;
    Ok(stairshed_journal::read(&files, &Options::new(u64::MAX / 4), see)?)
}

fn seconds(from: Duration, to: Duration) -> f64 {
    to.as_secs_f64() - from.as_secs_f64()
}

pub fn inspect(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let found = read(folder, &mut |_, _| {})?;
    let (mut bodies, mut names, mut attempts, mut judged, mut may_have_run) = (0, 0, 0, 0, 0);
    writeln!(
        out,
        "{:>12} {:>10} {:>10} {:>8} {:>9} {:>8}  class, id",
        "message", "age s", "left s", "attempts", "body", "verdict"
    )?;
    for (message, live) in &found.live {
        let letter = &live.letter;
        bodies += letter.body.len();
        names += letter.id.len() + letter.class.len() + letter.key.as_ref().map_or(0, String::len);
        attempts += live.attempts.len();
        judged += usize::from(live.verdict.is_some());
        may_have_run += usize::from(live.attempts.iter().any(|a| a.may_have_run));
        let verdict = match live.verdict {
            None => "-",
            Some(Verdict::Dead) => "dead",
            Some(Verdict::Bounced { .. }) => "bounced",
        };
        let left = seconds(now, letter.until);
        let age = match letter.taken.is_zero() {
            true => "-".to_owned(),
            false => format!("{:.1}", seconds(letter.taken, now)),
        };
        let (tries, body) = (live.attempts.len(), letter.body.len());
        writeln!(
            out,
            "{message:>12} {age:>10} {left:>10.1} {tries:>8} {body:>9} {verdict:>8}  {}, {}",
            letter.class, letter.id
        )?;
    }
    writeln!(
        out,
        "messages: {} live, {judged} with a verdict, {may_have_run} that may have run",
        found.live.len()
    )?;
    let untold = found.kept.values().filter(|k| k.owner.is_some()).count();
    writeln!(out, "ended: {} remembered, {untold} of them not told to their client", found.kept.len())?;
    writeln!(out, "notes: {}", found.notes.len())?;
    writeln!(out, "bytes: {} in {} segments", found.bytes, found.segments)?;
    writeln!(out, "  bodies {bodies}, ids, classes and keys {names}; {attempts} attempts on record")?;
    writeln!(
        out,
        "  needed {} with their heads and frames, dead {}",
        found.needed,
        found.bytes - found.needed
    )?;
    damages(&found, out)
}

fn damages(found: &Found, out: &mut impl Write) -> Result<(), Error> {
    if found.cut_bytes > 0 {
        writeln!(
            out,
            "torn tail: {} bytes, as a crash leaves them; the next start cuts them off",
            found.cut_bytes
        )?;
    }
    for damage in &found.damages {
        writeln!(out, "DAMAGED {damage}")?;
    }
    for message in &found.lost {
        writeln!(out, "LOST message {message}: it was accepted, and its id and body cannot be read")?;
    }
    Ok(())
}

pub fn verify(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let mut records = 0u64;
    let found = read(folder, &mut |_, _| records += 1)?;
    damages(&found, out)?;
    if !found.damages.is_empty() {
        return Err(Error::Damaged(found.damages.len()));
    }
    let (segments, bytes, live) = (found.segments, found.bytes, found.live.len());
    writeln!(out, "sound: {segments} segments, {bytes} bytes, {records} records, {live} live messages")?;
    Ok(())
}

pub fn dump(folder: &Path, out: &mut impl Write) -> Result<(), Error> {
    let mut failed = None;
    read(folder, &mut |seq, record| {
        if failed.is_none() {
            failed = writeln!(out, "{}", line(seq, record)).err();
        }
    })?;
    failed.map_or(Ok(()), |e| Err(e.into()))
}

fn line(seq: u64, record: &Record) -> Value {
    let time = |t: Duration| t.as_micros() as u64;
    let attempt = |a: &Attempt| json!({"host": a.host, "zone": a.zone, "sent_us": time(a.sent), "may_have_run": a.may_have_run});
    let verdict = |v: &Verdict| match v {
        Verdict::Dead => json!({"result": "dead"}),
        Verdict::Bounced { wait } => json!({"result": "bounced", "wait_us": wait.map(time)}),
    };
    let kept = |k: &Kept| {
        json!({"id": k.id, "owner": k.owner, "until_us": time(k.until),
            "verdict": k.verdict.as_ref().map(verdict)})
    };
    let whole = |live: &Live| {
        let l = &live.letter;
        json!({"id": l.id, "class": l.class, "destination": l.destination, "key": l.key,
            "taken_us": time(l.taken), "until_us": time(l.until), "body_bytes": l.body.len(),
            "attempts": live.attempts.iter().map(attempt).collect::<Vec<_>>(),
            "verdict": live.verdict.as_ref().map(verdict)})
    };
    let (kind, rest) = match record {
        Record::Snapshot { live, .. } => ("snapshot", whole(live)),
        Record::Attempt { index, attempt: a, .. } => {
            ("attempt", json!({"index": index, "attempt": attempt(a)}))
        }
        Record::NeverRan { index, .. } => ("never_ran", json!({"index": index})),
        Record::Judged { verdict: v, .. } => ("judged", verdict(v)),
        Record::Ended { .. } => ("ended", json!({})),
        Record::Kept { kept: k, .. } => ("kept", kept(k)),
        Record::Note { note, .. } => {
            ("note", json!({"key": note.key, "value": String::from_utf8_lossy(&note.value)}))
        }
        Record::Trim { oldest } => ("trim", json!({"oldest": oldest})),
        Record::Synced { upto } => ("synced", json!({"upto": upto})),
    };
    json!({"seq": seq, "kind": kind, "message": record.message(), "data": rest})
}

pub fn compact(folder: &Path, settings: Option<&Path>, out: &mut impl Write) -> Result<(), Error> {
    let settings = OperatorSettings::read(settings)?;
    let files = Arc::new(Files::lock(folder)?);
    let mut options = settings.journal.options(u64::MAX / 4, 6);
    // The smallest: a courier with any room can copy what stands in one.
    options.segment = options.segment.or(Some(0));
    let (mut journal, report) = Journal::open(files, options)?;
    for damage in &report.damages {
        writeln!(out, "DAMAGED {damage}")?;
    }
    let before = journal.usage().used;
    journal.compact_all()?;
    writeln!(out, "{before} bytes before, {} after; {} live messages", journal.usage().used, journal.len())?;
    Ok(())
}
