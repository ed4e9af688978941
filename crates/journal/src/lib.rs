//! The record of what this courier has taken on, in the folder that lasts. Append-only: each record has
//! its length and checksum, so a tail torn by SIGKILL is cut off and all before it stays.

use bytes::{BufMut, Bytes};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

const NAME: &str = "journal";
const NEXT: &str = "journal.next";
const HEAD: usize = 8;
/// No record is longer: a body, an id, a key and room for the rest.
const RECORD_MOST: usize = 128 * 1024;
/// What a message may still add to the file after it was taken: six attempts at hosts and zones with names
/// of 50 bytes together, their outcomes, verdict and end. More would turn messages away that have room.
const TRAIL: u64 = 720;
/// Shares of the disk: of the messages that live, and of the file. Old and new file together, while it is
/// rewritten, take 0.97 of it at most.
const LIVE_SHARE: f64 = 0.45;
const FILE_SHARE: f64 = 0.52;
/// Files under this size are not worth rewriting.
const SMALL: u64 = 128 * 1024;

/// A message as its client handed it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Letter {
    pub id: String,
    pub class: String,
    pub destination: u64,
    pub key: Option<String>,
    /// When its time is up, Unix time.
    pub until: Duration,
    pub body: Bytes,
}

/// An attempt, recorded before its first byte goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub host: String,
    pub zone: String,
    /// Unix time.
    pub sent: Duration,
    /// Whether it may have run; true until an outcome proves the contrary.
    pub may_have_run: bool,
}

/// How a message ends that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    Bounced { wait: Option<Duration> },
}

/// A message that has not ended.
#[derive(Clone, Debug)]
pub struct Live {
    pub letter: Rc<Letter>,
    pub attempts: Vec<Attempt>,
    /// Decided, but the notice is not acknowledged.
    pub verdict: Option<Verdict>,
}

impl Live {
    fn weight(&self) -> u64 {
        accepted(0, &self.letter).len() as u64 + HEAD as u64 + TRAIL
    }
}

pub struct Journal {
    path: PathBuf,
    next: PathBuf,
    file: File,
    /// Bytes of whole records in the file.
    size: u64,
    /// Records not yet in the file.
    pending: Vec<u8>,
    live: BTreeMap<u64, Live>,
    weight: u64,
    room: u64,
    /// Size at which the file is rewritten.
    rewrite_at: u64,
}

const ACCEPTED: u8 = 1;
const ATTEMPT: u8 = 2;
const OUTCOME: u8 = 3;
const VERDICT: u8 = 4;
const ENDED: u8 = 5;

fn put_text(to: &mut Vec<u8>, text: &[u8]) {
    to.put_u32_le(text.len() as u32);
    to.put_slice(text);
}

fn head(kind: u8, message: u64) -> Vec<u8> {
    let mut to = Vec::with_capacity(64);
    to.put_u8(kind);
    to.put_u64_le(message);
    to
}

fn accepted(message: u64, letter: &Letter) -> Vec<u8> {
    let mut to = head(ACCEPTED, message);
    to.put_u64_le(letter.until.as_micros() as u64);
    to.put_u64_le(letter.destination);
    put_text(&mut to, letter.id.as_bytes());
    put_text(&mut to, letter.class.as_bytes());
    to.put_u8(u8::from(letter.key.is_some()));
    put_text(&mut to, letter.key.as_deref().unwrap_or_default().as_bytes());
    put_text(&mut to, &letter.body);
    to
}

fn attempted(message: u64, a: &Attempt) -> Vec<u8> {
    let mut to = head(ATTEMPT, message);
    to.put_u64_le(a.sent.as_micros() as u64);
    put_text(&mut to, a.host.as_bytes());
    put_text(&mut to, a.zone.as_bytes());
    to
}

fn never_ran(message: u64, attempt: u32) -> Vec<u8> {
    let mut to = head(OUTCOME, message);
    to.put_u32_le(attempt);
    to
}

fn judged(message: u64, verdict: Verdict) -> Vec<u8> {
    let mut to = head(VERDICT, message);
    let (bounced, wait) = match verdict {
        Verdict::Dead => (false, None),
        Verdict::Bounced { wait } => (true, wait),
    };
    to.put_u8(u8::from(bounced));
    to.put_u64_le(wait.map_or(0, |w| w.as_micros() as u64));
    to
}

fn frame(to: &mut Vec<u8>, record: &[u8]) {
    to.put_u32_le(record.len() as u32);
    to.put_u32_le(crc32fast::hash(record));
    to.put_slice(record);
}

/// Reads fields; None once something does not fit.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn short(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    fn long(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.short()?;
        self.take(n as usize)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
}

/// Applies one record; None if it cannot be read.
fn apply(live: &mut BTreeMap<u64, Live>, last: &mut u64, record: &[u8]) -> Option<()> {
    let mut f = Fields(record);
    let (kind, message) = (f.byte()?, f.long()?);
    *last = message.max(*last);
    match kind {
        ACCEPTED => {
            let (until, destination) = (Duration::from_micros(f.long()?), f.long()?);
            let (id, class, keyed, key) = (f.text()?, f.text()?, f.byte()? == 1, f.text()?);
            let body = Bytes::copy_from_slice(f.bytes()?);
            let letter = Letter { id, class, destination, key: keyed.then_some(key), until, body };
            live.insert(message, Live { letter: Rc::new(letter), attempts: Vec::new(), verdict: None });
        }
        ATTEMPT => {
            let (sent, host, zone) = (Duration::from_micros(f.long()?), f.text()?, f.text()?);
            if let Some(m) = live.get_mut(&message) {
                m.attempts.push(Attempt { host, zone, sent, may_have_run: true });
            }
        }
        OUTCOME => {
            let attempt = f.short()? as usize;
            if let Some(a) = live.get_mut(&message).and_then(|m| m.attempts.get_mut(attempt)) {
                a.may_have_run = false;
            }
        }
        VERDICT => {
            let (bounced, wait) = (f.byte()? == 1, f.long()?);
            let wait = (wait > 0).then(|| Duration::from_micros(wait));
            if let Some(m) = live.get_mut(&message) {
                m.verdict = Some(if bounced { Verdict::Bounced { wait } } else { Verdict::Dead });
            }
        }
        ENDED => {
            live.remove(&message);
        }
        _ => return None,
    }
    Some(())
}

/// Replays what is sound; returns the live messages, the highest number and the length of the sound part.
fn replay(bytes: &[u8]) -> (BTreeMap<u64, Live>, u64, usize) {
    let (mut live, mut last, mut sound) = (BTreeMap::new(), 0, 0);
    let mut f = Fields(bytes);
    while let (Some(len), Some(sum)) = (f.short(), f.short()) {
        // A length that no record has is part of a torn or spoilt tail, not a reason to read on.
        let record = f.take(len as usize).filter(|r| r.len() <= RECORD_MOST && crc32fast::hash(r) == sum);
        if record.and_then(|r| apply(&mut live, &mut last, r)).is_none() {
            break;
        }
        sound = bytes.len() - f.0.len();
    }
    (live, last, sound)
}

impl Journal {
    /// Opens the record in `folder`, cutting off a torn tail. Returns it with the highest number in use.
    pub fn open(folder: &Path, disk: u64) -> io::Result<(Self, u64)> {
        let (path, next) = (folder.join(NAME), folder.join(NEXT));
        // Killed while rewriting: the old file is still whole and the new one is not.
        match fs::remove_file(&next) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let bytes = fs::read(&path)?;
        let (live, last, sound) = replay(&bytes);
        file.set_len(sound as u64)?;
        file.seek(SeekFrom::End(0))?;
        let weight = live.values().map(Live::weight).sum();
        let (size, pending) = (sound as u64, Vec::new());
        let mut journal =
            Journal { path, next, file, size, pending, live, weight, room: disk, rewrite_at: SMALL };
        if size > journal.file_most() / 2 {
            journal.rewrite()?;
        }
        Ok((journal, last))
    }

    pub fn live(&self) -> &BTreeMap<u64, Live> {
        &self.live
    }

    fn file_most(&self) -> u64 {
        (self.room as f64 * FILE_SHARE) as u64
    }

    /// Whether a message would fit, with all that it may still add.
    pub fn fits(&self, letter: &Letter) -> bool {
        let more = accepted(0, letter).len() as u64 + HEAD as u64 + TRAIL;
        self.weight + more <= (self.room as f64 * LIVE_SHARE) as u64
    }

    pub fn accept(&mut self, message: u64, letter: Rc<Letter>) {
        frame(&mut self.pending, &accepted(message, &letter));
        let live = Live { letter, attempts: Vec::new(), verdict: None };
        self.weight += live.weight();
        self.live.insert(message, live);
    }

    pub fn attempt(&mut self, message: u64, attempt: Attempt) {
        if let Some(m) = self.live.get_mut(&message) {
            frame(&mut self.pending, &attempted(message, &attempt));
            m.attempts.push(attempt);
        }
    }

    /// The outcome of an attempt. One that may have run needs no record: that is what is assumed.
    pub fn never_ran(&mut self, message: u64, attempt: u32) {
        if let Some(a) = self.live.get_mut(&message).and_then(|m| m.attempts.get_mut(attempt as usize)) {
            a.may_have_run = false;
            frame(&mut self.pending, &never_ran(message, attempt));
        }
    }

    pub fn judge(&mut self, message: u64, verdict: Verdict) {
        if let Some(m) = self.live.get_mut(&message) {
            m.verdict = Some(verdict);
            frame(&mut self.pending, &judged(message, verdict));
        }
    }

    pub fn end(&mut self, message: u64) {
        if let Some(m) = self.live.remove(&message) {
            self.weight -= m.weight();
            frame(&mut self.pending, &head(ENDED, message));
        }
    }

    /// Brings all records into the file. After an error they stay here and go first the next time.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let grown = self.size + self.pending.len() as u64;
        if grown > self.rewrite_at.min(self.file_most()) {
            // What is pending is part of what lives, so the new file holds it too.
            match self.rewrite() {
                Ok(()) => return Ok(()),
                Err(e) if grown > self.file_most() => return Err(e),
                Err(_) => {}
            }
        }
        if let Err(e) = self.file.write_all(&self.pending) {
            // A half-written record would hide all that follows it from the next start.
            self.file.set_len(self.size)?;
            self.file.seek(SeekFrom::Start(self.size))?;
            return Err(e);
        }
        self.size = grown;
        self.pending.clear();
        Ok(())
    }

    /// Writes what lives to a new file and puts it in the old one's place.
    fn rewrite(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (message, m) in &self.live {
            frame(&mut bytes, &accepted(*message, &m.letter));
            for (n, a) in m.attempts.iter().enumerate() {
                frame(&mut bytes, &attempted(*message, a));
                if !a.may_have_run {
                    frame(&mut bytes, &never_ran(*message, n as u32));
                }
            }
            if let Some(verdict) = m.verdict {
                frame(&mut bytes, &judged(*message, verdict));
            }
        }
        let written = File::create(&self.next).and_then(|mut file| {
            file.write_all(&bytes)?;
            fs::rename(&self.next, &self.path)?;
            Ok(file)
        });
        match written {
            Ok(file) => {
                self.file = file;
                self.size = bytes.len() as u64;
                self.pending.clear();
                self.rewrite_at = (self.size * 4).max(SMALL);
                Ok(())
            }
            Err(e) => {
                // The room that a failed copy takes is missing for the record itself.
                let _ = fs::remove_file(&self.next);
                self.rewrite_at = self.rewrite_at.saturating_add(SMALL);
                Err(e)
            }
        }
    }
}

#[cfg(test)]
#[path = "journal_test.rs"]
mod tests;
