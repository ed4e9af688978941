//! The record types and their encoding, which `docs/journal-format.md` specifies byte by byte. Integers are
//! little-endian.

use crate::frame;
use bytes::{BufMut, Bytes};
use stairshed_clock::StableTime;
use stairshed_decide::interface::{Effect, KeyScope};
use std::rc::Rc;
use std::time::Duration;

/// A message as its client submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    pub id: String,
    pub class: String,
    pub destination: u64,
    pub key: Option<String>,
    /// Time of acceptance; the epoch if unknown, as in the old format.
    pub accepted_at: StableTime,
    /// Time after which the message is not delivered any more.
    pub deadline: StableTime,
    pub body: Bytes,
    /// The request that an operator's route made of it; `None` for a message in the platform protocol.
    pub routed: Option<RoutedRequest>,
}

/// The request that a route made of a message. It is recorded so that all attempts use the same version of
/// the configuration, whatever has changed since.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedRequest {
    /// Version of the configuration; 0 for the operator's file.
    pub version: u64,
    pub route: String,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    /// The effect of the class at acceptance: a later change of the class must not relax it.
    pub effect: Effect,
    /// Key by which its class orders messages, if it does.
    pub order_key: Option<String>,
    /// The client that is notified of the outcome, if its protocol supports that; see
    /// [`EndedMessage::owner`].
    pub owner: Option<String>,
    /// How long the id is remembered after acceptance, even if the message has ended, so that a duplicate is
    /// recognised. Zero if it is not remembered.
    pub remember_for: Duration,
}

/// What is kept of an ended message while a duplicate of it must be recognised or its client has not
/// acknowledged the outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedMessage {
    pub id: String,
    /// The client to notify of the outcome; `None` if there is none, or if it has been notified.
    pub owner: Option<String>,
    /// `None` if the message was delivered.
    pub verdict: Option<Verdict>,
    /// Time until which the id is remembered; the epoch if it is not.
    pub until: StableTime,
}

/// A named value that another part of the courier stores across restarts, such as the state of an MQTT
/// session.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    pub key: String,
    pub value: Bytes,
}

/// An attempt. It is recorded before its first byte is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Empty if the record of the attempt was lost; see [`crate::Damage`].
    pub host: String,
    pub zone: String,
    /// Time of the attempt.
    pub sent_at: StableTime,
    /// Whether the message may have taken effect; true until an outcome proves that it did not.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt that a lost record may have described: it may have run, at an unknown host.
    pub(crate) fn unknown(sent_at: StableTime) -> Self {
        Attempt { host: String::new(), zone: String::new(), sent_at, may_have_run: true }
    }
}

/// How a message ends if it is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    Bounced {
        wait: Option<Duration>,
    },
    /// An endpoint rejected it for good, with this status if it gave one. It did not take effect.
    Rejected {
        status: Option<u16>,
    },
}

impl Verdict {
    /// The first format version that has this verdict.
    fn format_version(self) -> u16 {
        match self {
            Verdict::Dead | Verdict::Bounced { .. } => frame::BASE_FORMAT_VERSION,
            Verdict::Rejected { .. } => REJECTED_FORMAT_VERSION,
        }
    }
}

/// A message that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveMessage {
    pub accepted: Rc<AcceptedMessage>,
    pub attempts: Vec<Attempt>,
    /// Set once decided; the notice of it is not acknowledged yet.
    pub verdict: Option<Verdict>,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The complete state of a message, written at its acceptance and whenever compaction copies it. Replaces
    /// all earlier records of this number.
    Snapshot {
        message: u64,
        live: LiveMessage,
    },
    /// Contains the index of the attempt, so that applying the record twice has no effect.
    Attempt {
        message: u64,
        index: u16,
        attempt: Attempt,
    },
    NeverRan {
        message: u64,
        index: u16,
    },
    Judged {
        message: u64,
        verdict: Verdict,
    },
    Ended {
        message: u64,
    },
    /// What is kept of an ended message. Replaces all earlier records of this number.
    Kept {
        message: u64,
        kept: Rc<EndedMessage>,
    },
    /// A note. Replaces the earlier note of this number; notes and messages share one number range.
    Note {
        number: u64,
        note: Rc<Note>,
    },
    /// Segments below this number hold no live records and may have been removed.
    Trim {
        oldest: u64,
    },
    /// All records up to this sequence number were on the device when this record was written.
    Synced {
        upto: u64,
    },
}

/// The first format version with [`Verdict::Rejected`].
const REJECTED_FORMAT_VERSION: u16 = 2;

const SNAPSHOT: u8 = 1;
const ATTEMPT: u8 = 2;
const NEVER_RAN: u8 = 3;
const JUDGED: u8 = 4;
const ENDED: u8 = 5;
const TRIM: u8 = 6;
const SYNCED: u8 = 7;
/// A snapshot followed by a [`RoutedRequest`]; `OWNED` adds the owner and the time for which the id is
/// remembered.
const ROUTED: u8 = 8;
const OWNED: u8 = 9;
const KEPT: u8 = 10;
const NOTE: u8 = 11;

/// Kind and number, which start every record.
const HEAD_BYTES: usize = 1 + 8;
/// Encoded sizes of these records without their frames. A test compares them with the encoded records.
pub(crate) const NEVER_RAN_BYTES: u64 = HEAD_BYTES as u64 + 2;
pub(crate) const JUDGED_BYTES: u64 = HEAD_BYTES as u64 + VERDICT_BYTES;
pub(crate) const ENDED_BYTES: u64 = HEAD_BYTES as u64;
const VERDICT_BYTES: u64 = 1 + 8;
/// Size of a note's record without key and value.
pub(crate) const NOTE_BYTES: u64 = HEAD_BYTES as u64 + 2 + 4;
/// Size of an attempt within a snapshot, without its names.
const SNAPSHOT_ATTEMPT_BYTES: u64 = 1 + 8 + 2 + 2;

/// Size of an attempt's record whose names have `names` bytes together.
pub(crate) fn attempt_bytes(names: u64) -> u64 {
    HEAD_BYTES as u64 + 2 + 8 + 2 + 2 + names
}

/// Size of the snapshot of a message that has no attempts yet.
pub(crate) fn snapshot_bytes(accepted: &AcceptedMessage) -> u64 {
    let texts = accepted.id.len() + accepted.class.len() + accepted.key.as_ref().map_or(0, String::len);
    let routed = accepted.routed.as_ref().map_or(0, routed_bytes);
    HEAD_BYTES as u64 + 8 + 8 + 8 + 2 + 2 + 1 + 2 + 2 + 1 + 4 + (texts + accepted.body.len() + routed) as u64
}

/// Whether the snapshot needs the fields for protocols that notify their clients of outcomes.
fn has_owner_fields(r: &RoutedRequest) -> bool {
    r.owner.is_some() || !r.remember_for.is_zero()
}

fn routed_bytes(r: &RoutedRequest) -> usize {
    let headers: usize = r.headers.iter().map(|(n, v)| 4 + n.len() + v.len()).sum();
    let order_key = r.order_key.as_ref().map_or(0, String::len);
    let owner = if has_owner_fields(r) { 1 + 2 + r.owner.as_ref().map_or(0, String::len) + 8 } else { 0 };
    owner
        + 8
        + 2
        + r.route.len()
        + 2
        + r.method.len()
        + 2
        + r.path.len()
        + 2
        + headers
        + 1
        + 8
        + 1
        + 2
        + order_key
}

fn put_routed(to: &mut Vec<u8>, r: &RoutedRequest) {
    to.put_u64_le(r.version);
    put_text(to, &r.route);
    put_text(to, &r.method);
    put_text(to, &r.path);
    to.put_u16_le(r.headers.len() as u16);
    for (name, value) in &r.headers {
        put_text(to, name);
        put_text(to, value);
    }
    let (effect, window) = match r.effect {
        Effect::Repeatable => (0, Duration::ZERO),
        Effect::Once => (1, Duration::ZERO),
        Effect::Keyed { scope: KeyScope::All, window } => (2, window),
        Effect::Keyed { scope: KeyScope::Zone, window } => (3, window),
        Effect::Keyed { scope: KeyScope::Endpoint, window } => (4, window),
    };
    to.put_u8(effect);
    to.put_u64_le(micros(window));
    put_option(to, r.order_key.as_deref());
    if has_owner_fields(r) {
        put_option(to, r.owner.as_deref());
        to.put_u64_le(micros(r.remember_for));
    }
}

fn read_routed(f: &mut FieldReader, owned: bool) -> Option<RoutedRequest> {
    let (version, route, method, path) = (f.u64()?, f.text()?, f.text()?, f.text()?);
    let headers = (0..f.u16()?).map(|_| Some((f.text()?, f.text()?))).collect::<Option<Vec<_>>>()?;
    let (effect, window) = (f.byte()?, f.span()?);
    let effect = match effect {
        0 => Effect::Repeatable,
        1 => Effect::Once,
        2 => Effect::Keyed { scope: KeyScope::All, window },
        3 => Effect::Keyed { scope: KeyScope::Zone, window },
        4 => Effect::Keyed { scope: KeyScope::Endpoint, window },
        _ => return None,
    };
    let order_key = f.option()?;
    let (owner, remember_for) = if owned { (f.option()?, f.span()?) } else { (None, Duration::ZERO) };
    Some(RoutedRequest { version, route, method, path, headers, effect, order_key, owner, remember_for })
}

fn put_option(to: &mut Vec<u8>, text: Option<&str>) {
    to.put_u8(u8::from(text.is_some()));
    put_text(to, text.unwrap_or_default());
}

fn put_text(to: &mut Vec<u8>, text: &str) {
    // The courier limits ids, keys, classes and names to far less; a longer one would corrupt the record.
    debug_assert!(text.len() <= usize::from(u16::MAX));
    to.put_u16_le(text.len() as u16);
    to.put_slice(text.as_bytes());
}

fn micros(span: Duration) -> u64 {
    span.as_micros().min(u128::from(u64::MAX)) as u64
}

fn put_verdict(to: &mut Vec<u8>, verdict: Verdict) {
    let (kind, detail) = match verdict {
        Verdict::Dead => (1, 0),
        Verdict::Bounced { wait: None } => (2, 0),
        Verdict::Bounced { wait: Some(wait) } => (3, micros(wait)),
        Verdict::Rejected { status } => (4, status.map_or(0, u64::from)),
    };
    to.put_u8(kind);
    to.put_u64_le(detail);
}

/// Encodes the snapshot of a message.
fn put_snapshot(to: &mut Vec<u8>, message: u64, live: &LiveMessage) {
    let accepted = &live.accepted;
    to.put_u8(match &accepted.routed {
        None => SNAPSHOT,
        Some(routed) if has_owner_fields(routed) => OWNED,
        Some(_) => ROUTED,
    });
    to.put_u64_le(message);
    to.put_u64_le(accepted.accepted_at.as_micros());
    to.put_u64_le(accepted.deadline.as_micros());
    to.put_u64_le(accepted.destination);
    put_text(to, &accepted.id);
    put_text(to, &accepted.class);
    put_option(to, accepted.key.as_deref());
    to.put_u16_le(live.attempts.len().min(usize::from(u16::MAX)) as u16);
    for a in live.attempts.iter().take(usize::from(u16::MAX)) {
        to.put_u8(u8::from(a.may_have_run));
        to.put_u64_le(a.sent_at.as_micros());
        put_text(to, &a.host);
        put_text(to, &a.zone);
    }
    match live.verdict {
        None => to.put_u8(0),
        Some(verdict) => put_verdict(to, verdict),
    }
    to.put_u32_le(accepted.body.len() as u32);
    to.put_slice(&accepted.body);
    if let Some(routed) = &accepted.routed {
        put_routed(to, routed);
    }
}

impl Record {
    /// Number of bytes that [`Record::encode`] writes.
    pub(crate) fn size(&self) -> u64 {
        let names = |a: &Attempt| (a.host.len() + a.zone.len()) as u64;
        match self {
            Record::Snapshot { live, .. } => {
                let attempts = live.attempts.iter().map(|a| SNAPSHOT_ATTEMPT_BYTES + names(a)).sum::<u64>();
                let verdict = live.verdict.map_or(0, |_| VERDICT_BYTES - 1);
                snapshot_bytes(&live.accepted) + attempts + verdict
            }
            Record::Attempt { attempt, .. } => attempt_bytes(names(attempt)),
            Record::NeverRan { .. } => NEVER_RAN_BYTES,
            Record::Judged { .. } => JUDGED_BYTES,
            Record::Ended { .. } => ENDED_BYTES,
            Record::Kept { kept, .. } => {
                let owner = kept.owner.as_ref().map_or(0, String::len);
                HEAD_BYTES as u64 + 2 + kept.id.len() as u64 + 1 + 2 + owner as u64 + VERDICT_BYTES + 8
            }
            Record::Note { note, .. } => NOTE_BYTES + (note.key.len() + note.value.len()) as u64,
            Record::Trim { .. } | Record::Synced { .. } => HEAD_BYTES as u64,
        }
    }

    /// The first format version that has this record.
    pub(crate) fn format_version(&self) -> u16 {
        let verdict = match self {
            Record::Snapshot { live, .. } => live.verdict,
            Record::Judged { verdict, .. } => Some(*verdict),
            Record::Kept { kept, .. } => kept.verdict,
            _ => None,
        };
        verdict.map_or(frame::BASE_FORMAT_VERSION, Verdict::format_version)
    }

    /// Encodes the record without its frame.
    pub(crate) fn encode(&self, to: &mut Vec<u8>) {
        let mut head = |kind: u8, number: u64| {
            to.put_u8(kind);
            to.put_u64_le(number);
        };
        match self {
            Record::Snapshot { message, live } => put_snapshot(to, *message, live),
            Record::Attempt { message, index, attempt } => {
                head(ATTEMPT, *message);
                to.put_u16_le(*index);
                to.put_u64_le(attempt.sent_at.as_micros());
                put_text(to, &attempt.host);
                put_text(to, &attempt.zone);
            }
            Record::NeverRan { message, index } => {
                head(NEVER_RAN, *message);
                to.put_u16_le(*index);
            }
            Record::Judged { message, verdict } => {
                head(JUDGED, *message);
                put_verdict(to, *verdict);
            }
            Record::Ended { message } => head(ENDED, *message),
            Record::Kept { message, kept } => {
                head(KEPT, *message);
                put_text(to, &kept.id);
                put_option(to, kept.owner.as_deref());
                match kept.verdict {
                    None => {
                        to.put_u8(0);
                        to.put_u64_le(0);
                    }
                    Some(verdict) => put_verdict(to, verdict),
                }
                to.put_u64_le(kept.until.as_micros());
            }
            Record::Note { number, note } => {
                head(NOTE, *number);
                put_text(to, &note.key);
                to.put_u32_le(note.value.len() as u32);
                to.put_slice(&note.value);
            }
            Record::Trim { oldest } => head(TRIM, *oldest),
            Record::Synced { upto } => head(SYNCED, *upto),
        }
    }

    /// Decodes a record; `None` if this version writes no such record.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Record> {
        let mut f = FieldReader(bytes);
        let (kind, number) = (f.byte()?, f.u64()?);
        let record = match kind {
            SNAPSHOT | ROUTED | OWNED => {
                Record::Snapshot { message: number, live: read_snapshot(&mut f, kind)? }
            }
            KEPT => {
                let (id, owner) = (f.text()?, f.option()?);
                let verdict = match f.byte()? {
                    0 => f.u64().map(|_| None)?,
                    kind => Some(verdict_of(kind, &mut f)?),
                };
                let kept = EndedMessage { id, owner, verdict, until: f.stable_time()? };
                Record::Kept { message: number, kept: Rc::new(kept) }
            }
            NOTE => {
                let key = f.text()?;
                let length = f.u32()? as usize;
                let note = Note { key, value: Bytes::copy_from_slice(f.take(length)?) };
                Record::Note { number, note: Rc::new(note) }
            }
            ATTEMPT => {
                let (index, sent_at) = (f.u16()?, f.stable_time()?);
                let attempt = Attempt { host: f.text()?, zone: f.text()?, sent_at, may_have_run: true };
                Record::Attempt { message: number, index, attempt }
            }
            NEVER_RAN => Record::NeverRan { message: number, index: f.u16()? },
            JUDGED => Record::Judged { message: number, verdict: read_verdict(&mut f)?? },
            ENDED => Record::Ended { message: number },
            TRIM => Record::Trim { oldest: number },
            SYNCED => Record::Synced { upto: number },
            _ => return None,
        };
        f.0.is_empty().then_some(record)
    }

    /// Number of the message or note that the record belongs to, if any.
    pub fn message(&self) -> Option<u64> {
        match self {
            Record::Snapshot { message, .. }
            | Record::Attempt { message, .. }
            | Record::NeverRan { message, .. }
            | Record::Judged { message, .. }
            | Record::Kept { message, .. }
            | Record::Note { number: message, .. }
            | Record::Ended { message } => Some(*message),
            Record::Trim { .. } | Record::Synced { .. } => None,
        }
    }
}

fn read_snapshot(f: &mut FieldReader, kind: u8) -> Option<LiveMessage> {
    let (accepted_at, deadline, destination) = (f.stable_time()?, f.stable_time()?, f.u64()?);
    let (id, class, key) = (f.text()?, f.text()?, f.option()?);
    let attempts = (0..f.u16()?)
        .map(|_| {
            let (ran, sent_at) = (f.byte()? == 1, f.stable_time()?);
            Some(Attempt { host: f.text()?, zone: f.text()?, sent_at, may_have_run: ran })
        })
        .collect::<Option<Vec<_>>>()?;
    let verdict = read_verdict(f)?;
    let length = f.u32()? as usize;
    let body = Bytes::copy_from_slice(f.take(length)?);
    let routed = if kind == SNAPSHOT { None } else { Some(read_routed(f, kind == OWNED)?) };
    let accepted = AcceptedMessage { id, class, destination, key, accepted_at, deadline, body, routed };
    Some(LiveMessage { accepted: Rc::new(accepted), attempts, verdict })
}

/// The outer `None` is a decoding error; the inner `None` means no verdict yet.
fn read_verdict(f: &mut FieldReader) -> Option<Option<Verdict>> {
    match f.byte()? {
        0 => Some(None),
        kind => verdict_of(kind, f).map(Some),
    }
}

fn verdict_of(kind: u8, f: &mut FieldReader) -> Option<Verdict> {
    let detail = f.u64()?;
    match kind {
        1 => Some(Verdict::Dead),
        2 => Some(Verdict::Bounced { wait: None }),
        3 => Some(Verdict::Bounced { wait: Some(Duration::from_micros(detail)) }),
        4 => {
            let status = u16::try_from(detail).ok()?;
            Some(Verdict::Rejected { status: (status > 0).then_some(status) })
        }
        _ => None,
    }
}

/// Decodes fields in order; each method returns `None` if the input does not match.
pub(crate) struct FieldReader<'a>(pub &'a [u8]);

impl<'a> FieldReader<'a> {
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    pub fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.take(2)?.try_into().ok().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    pub fn span(&mut self) -> Option<Duration> {
        self.u64().map(Duration::from_micros)
    }

    pub fn stable_time(&mut self) -> Option<StableTime> {
        self.u64().map(StableTime::from_micros)
    }

    pub fn text(&mut self) -> Option<String> {
        let n = self.u16()?;
        String::from_utf8(self.take(n.into())?.to_vec()).ok()
    }

    /// An optional text.
    pub fn option(&mut self) -> Option<Option<String>> {
        let (there, text) = (self.byte()? == 1, self.text()?);
        Some(there.then_some(text))
    }
}

#[cfg(test)]
#[path = "record_test.rs"]
mod tests;
