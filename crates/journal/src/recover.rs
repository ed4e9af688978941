//! Rebuilds the state from the segments. Distinguishes a torn tail, which any crash may leave, from damage to
//! records that had been written completely.

use crate::error::{Damage, Error, FileCall};
use crate::frame::{self, Content, FORMAT_VERSION, HEADER_BYTES, Header, HeaderError};
use crate::log::Segment;
use crate::options::{Durability, Options};
use crate::record::{EndedMessage, LiveMessage, Note, Record};
use crate::state::{Item, State, with_end_record};
use crate::storage::{Storage, read_into};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Callback for each valid record, with its sequence number.
type Observer<'a> = Option<&'a mut dyn FnMut(u64, &Record)>;

/// The result of recovery.
#[derive(Default)]
pub(crate) struct Recovered {
    pub state: State,
    pub segments: BTreeMap<u64, Segment>,
    /// Segments with unreadable parts.
    pub damaged: BTreeSet<u64>,
    /// Existing segments that are not needed: trimmed, incompletely created, or after a torn write.
    pub stale: Vec<u64>,
    /// Files whose header names another segment. Their content is ignored.
    pub misplaced: Vec<u64>,
    /// The last segment and the length of its valid part, if it is longer than that.
    pub truncate_at: Option<(u64, u64)>,
    pub truncated_bytes: u64,
    pub next_number: u64,
    pub next_seq: u64,
    pub damages: Vec<Damage>,
    /// Accepted messages whose snapshot is lost.
    pub lost_messages: Vec<u64>,
    /// The sequence number after the last lost record: messages that begin before it may have been sent.
    pub lost_before: u64,
    /// The highest format version of the segments; 0 if there is none.
    pub format_version: u16,
    /// Whether new records can be appended to the last segment.
    pub append_to_last: bool,
    /// Whether all segments were written during a migration from the old format.
    pub migration: bool,
    /// Number of bytes read.
    pub read: u64,
}

/// A place in the log where records are missing.
#[derive(Clone, Copy)]
struct Gap {
    segment: u64,
    /// The last segment that the gap reaches into.
    last_segment: u64,
    offset: u64,
    why: &'static str,
    first_lost: u64,
    last_lost: u64,
    /// Whether a power failure during unsynced writes can explain the gap.
    may_be_torn: bool,
}

/// The result of one scan over the segments.
#[derive(Default)]
struct Scan {
    state: State,
    segments: BTreeMap<u64, Segment>,
    gaps: Vec<Gap>,
    /// `Trim` records: segment, offset, and the oldest segment they name.
    trims: Vec<(u64, u64, u64)>,
    /// Later records state that records up to this sequence number were on the device.
    synced_seq: u64,
    next_seq: u64,
    truncate_at: Option<(u64, u64)>,
    truncated_bytes: u64,
    sealed: bool,
    read: u64,
}

/// Reads the segments in `storage` without changing anything. `observe` is called for each valid record, with
/// its sequence number.
///
/// # Errors
/// [`Error::NewerFormat`], or [`Error::Io`] with the file that could not be read. Corrupt content is reported
/// as [`Damage`] instead.
pub(crate) fn recover(
    storage: &dyn Storage,
    options: &Options,
    observe: Observer,
) -> Result<Recovered, Error> {
    let names = storage.list().map_err(|e| Error::io("journal", FileCall::List, e))?;
    let numbers: BTreeSet<u64> = names.iter().filter_map(|n| frame::segment_number(n)).collect();
    let headers = headers(storage, &numbers)?;
    let mut known = headers.values().filter_map(|head| match head {
        SegmentHeader::Valid(h) | SegmentHeader::Misplaced(h) => Some(h),
        SegmentHeader::Unreadable => None,
    });
    let format_version = known.clone().map(|h| h.version).max().unwrap_or_default();
    // Starts at the first existing segment, even if it is not needed, so that the sequence numbers around a
    // gap are known.
    let from = numbers.first().copied().unwrap_or_default();
    let mut first = scan(storage, options, &headers, from, None, None)?;
    // Records after a torn write were not synced, so nothing relied on them, and their statements about
    // trimmed segments do not count. Without those, older segments are needed again, which may have an
    // earlier torn write.
    let mut limit: Option<Gap> = None;
    let mut oldest = oldest_needed(&headers, &first, limit);
    while let Some(torn) = torn(&first, oldest)
        && limit.is_none_or(|l| (torn.segment, torn.offset) < (l.segment, l.offset))
    {
        limit = Some(torn);
        oldest = oldest_needed(&headers, &first, limit);
    }
    // Usually the first scan is sufficient.
    if observe.is_some() || oldest != from || limit.is_some() {
        first = scan(storage, options, &headers, oldest, limit, observe)?;
    }
    let lost_before = first.gaps.iter().map(|gap| gap.last_lost.saturating_add(1)).max().unwrap_or_default();
    let damages: Vec<Damage> = first
        .gaps
        .iter()
        .map(|gap| Damage {
            file: frame::segment_name(gap.segment),
            offset: gap.offset,
            why: gap.why,
            first_lost: gap.first_lost,
            last_lost: gap.last_lost,
        })
        .collect();
    // Without damage, a record without a message can only be one that a later snapshot replaced.
    let lost_messages = match damages.is_empty() {
        true => Vec::new(),
        false => first.state.orphans().iter().copied().collect(),
    };
    let misplaced = |n: &u64| matches!(headers.get(n), Some(SegmentHeader::Misplaced(_)));
    let left = numbers.iter().copied().filter(|n| !first.segments.contains_key(n));
    let (misplaced, stale): (Vec<u64>, Vec<u64>) = left.partition(misplaced);
    let last = first.segments.keys().next_back().copied();
    Ok(Recovered {
        append_to_last: damages.is_empty()
            && !first.sealed
            && last.and_then(|n| headers.get(&n)?.valid()).is_some_and(|h| {
                let same_sync = h.sync_writes == (options.durability == Durability::Machine);
                !h.migration && same_sync && h.version == format_version
            }),
        format_version,
        migration: known.all(|h| h.migration),
        damaged: first
            .gaps
            .iter()
            .map(|gap| gap.segment)
            .filter(|n| first.segments.contains_key(n))
            .collect(),
        // Numbers have no gaps: a segment that was incompletely created or dropped leaves its number to the
        // next one. Only misplaced files, which stay until the salvage is done, keep theirs.
        next_number: last.max(misplaced.last().copied()).map_or(oldest.max(1), |n| n + 1),
        next_seq: first.next_seq.max(1),
        state: first.state,
        segments: first.segments,
        stale,
        misplaced,
        truncate_at: first.truncate_at,
        truncated_bytes: first.truncated_bytes,
        damages,
        lost_messages,
        lost_before,
        read: first.read,
    })
}

/// What the start of a segment's file contains.
enum SegmentHeader {
    Valid(Header),
    /// The header of another segment: files have been copied or renamed. Its statement about trimmed segments
    /// belongs to that segment, and would remove segments that are needed here.
    Misplaced(Header),
    Unreadable,
}

impl SegmentHeader {
    fn valid(&self) -> Option<&Header> {
        match self {
            SegmentHeader::Valid(header) => Some(header),
            SegmentHeader::Misplaced(_) | SegmentHeader::Unreadable => None,
        }
    }
}

type Headers = BTreeMap<u64, SegmentHeader>;

fn headers(storage: &dyn Storage, numbers: &BTreeSet<u64>) -> Result<Headers, Error> {
    let mut headers = BTreeMap::new();
    for number in numbers {
        let name = frame::segment_name(*number);
        let file = storage.open(&name).map_err(|e| Error::io(&name, FileCall::Open, e))?;
        let size = file.size().map_err(|e| Error::io(&name, FileCall::Size, e))?;
        let mut head = vec![0; (HEADER_BYTES as u64).min(size) as usize];
        file.read_at(0, &mut head).map_err(|e| Error::io(&name, FileCall::Read, e))?;
        let head = match Header::read(&head) {
            Ok(header) if header.number == *number => SegmentHeader::Valid(header),
            Ok(header) => SegmentHeader::Misplaced(header),
            Err(HeaderError::NewerVersion(found)) => {
                return Err(Error::NewerFormat { file: name, found, known: FORMAT_VERSION });
            }
            Err(HeaderError::Truncated | HeaderError::Corrupt) => SegmentHeader::Unreadable,
        };
        headers.insert(*number, head);
    }
    Ok(headers)
}

/// Whether a segment was written with syncs. If its header is unreadable, the nearest readable header before
/// it decides, then the nearest after it. The current options do not: they may have changed, and damage would
/// be taken for a torn tail.
fn written_with_syncs(headers: &Headers, number: u64, options: &Options) -> bool {
    let preceding = headers.range(..=number).rev().find_map(|(_, h)| h.valid());
    let nearest = preceding.or_else(|| headers.range(number..).find_map(|(_, h)| h.valid()));
    nearest.map_or(options.durability == Durability::Machine, |h| h.sync_writes)
}

/// The oldest segment that is needed, according to all headers and `Trim` records before `limit`.
fn oldest_needed(headers: &Headers, scan: &Scan, limit: Option<Gap>) -> u64 {
    let kept = headers.iter().filter(|(n, _)| limit.is_none_or(|l| **n <= l.segment));
    let headers = kept.filter_map(|(_, h)| h.valid()).map(|h| h.oldest);
    let trims =
        scan.trims.iter().filter(|(n, at, _)| limit.is_none_or(|l| (*n, *at) < (l.segment, l.offset)));
    headers.chain(trims.map(|(_, _, oldest)| *oldest)).max().unwrap_or_default()
}

/// The first gap that a power failure during unsynced writes can explain.
fn torn(scan: &Scan, oldest: u64) -> Option<Gap> {
    let gaps = scan.gaps.iter().filter(|gap| gap.last_segment >= oldest);
    gaps.copied().find(|gap| gap.may_be_torn && gap.first_lost > scan.synced_seq)
}

/// Reads all segments from `oldest` up to `limit` and applies the valid records.
fn scan(
    storage: &dyn Storage,
    options: &Options,
    headers: &Headers,
    oldest: u64,
    limit: Option<Gap>,
    mut observe: Observer,
) -> Result<Scan, Error> {
    let mut result = Scan::default();
    let mut buffer = Vec::new();
    let mut expected_number = oldest;
    // Whether the previous segment was sealed, that is, whether another one followed it.
    let mut previous_sealed = None;
    let last = headers.keys().next_back().copied();
    let misplaced = |from: u64| headers.range(from..).any(|(_, h)| matches!(h, SegmentHeader::Misplaced(_)));
    for (number, header) in headers.range(oldest..) {
        if matches!(header, SegmentHeader::Misplaced(_)) {
            // The segment at this place counts as missing.
            continue;
        }
        if limit.is_some_and(|l| *number > l.segment || *number == l.segment && l.offset == 0) {
            break;
        }
        let name = frame::segment_name(*number);
        let file = storage.open(&name).map_err(|e| Error::io(&name, FileCall::Open, e))?;
        read_into(&*file, &mut buffer).map_err(|e| Error::io(&name, FileCall::Read, e))?;
        let bytes = &buffer[..];
        result.read += bytes.len() as u64;
        let sync_writes = written_with_syncs(headers, *number, options);
        let header = header.valid();
        let mut reader = Reader { bytes, number: *number, sync_writes };
        let readable =
            header.is_some() || reader.next(HEADER_BYTES.min(bytes.len()), result.next_seq).is_some();
        if !readable && last == Some(*number) && !result.sealed {
            // The process was killed while it created this segment, which held no records yet.
            result.truncated_bytes += bytes.len() as u64;
            break;
        }
        if let Some(h) = header {
            result.synced_seq = result.synced_seq.max(h.synced_seq);
            // Without earlier segments, sequence numbers start at this header.
            if result.next_seq == 0 && expected_number == *number {
                result.next_seq = h.first_seq;
            }
        }
        if *number > expected_number && expected_number > 0 {
            let first = header.map_or(result.next_seq, |h| h.first_seq);
            let lost = (result.next_seq, first.saturating_sub(1).max(result.next_seq));
            result.gaps.push(Gap {
                segment: expected_number,
                last_segment: number - 1,
                offset: 0,
                why: "the segment is missing",
                first_lost: lost.0,
                last_lost: lost.1,
                may_be_torn: sync_writes
                    && previous_sealed.is_none_or(|sealed: bool| !sealed)
                    && !headers.contains_key(&expected_number),
            });
            result.next_seq = result.next_seq.max(first);
        } else if header.is_none() && (readable || result.sealed) {
            result.gaps.push(Gap {
                segment: *number,
                last_segment: *number,
                offset: 0,
                why: "the header cannot be read",
                first_lost: result.next_seq,
                last_lost: if readable { result.next_seq.saturating_sub(1) } else { result.next_seq },
                // The previous segment's seal was written when this header existed.
                may_be_torn: sync_writes && !result.sealed,
            });
            result.next_seq += u64::from(!readable);
        }
        expected_number = number + 1;
        let first_seq = result.next_seq;
        result.segments.insert(*number, Segment { first_seq, size: bytes.len() as u64, reserved_bytes: 0 });
        result.sealed = false;
        result.truncate_at = None;
        let end = limit.filter(|l| l.segment == *number).map_or(bytes.len() as u64, |l| l.offset);
        reader.bytes = &bytes[..end.min(bytes.len() as u64) as usize];
        let valid_end = reader.read(&mut result, options, &mut observe);
        previous_sealed = Some(result.sealed);
        if valid_end < bytes.len() as u64 {
            result.truncate_at = Some((*number, valid_end));
            // An invalid tail is certainly no gap only at the very end of the log.
            let has_later_segment =
                headers.range(number + 1..).any(|(n, _)| limit.is_none_or(|l| *n <= l.segment));
            if has_later_segment {
                let next = headers.range(number + 1..).find_map(|(n, h)| Some((n - 1, h.valid()?.first_seq)));
                // Segments without a readable header in between belong to the gap.
                let (last_segment, next) = next.unwrap_or((*number, result.next_seq));
                // A torn seal hides no records.
                if next > result.next_seq {
                    result.gaps.push(Gap {
                        segment: *number,
                        last_segment,
                        offset: valid_end,
                        why: "the bytes cannot be read",
                        first_lost: result.next_seq,
                        last_lost: next - 1,
                        may_be_torn: sync_writes,
                    });
                    result.next_seq = next;
                }
            }
        } else if let Some((_, h)) = headers.range(number + 1..).next()
            && limit.is_none_or(|l| l.segment > *number)
            && let Some(h) = h.valid()
            && h.first_seq > result.next_seq
            && headers.contains_key(&expected_number)
        {
            // The segment ends with a valid frame, but the next one starts at a later sequence number: its
            // tail is missing.
            result.gaps.push(Gap {
                segment: *number,
                last_segment: *number,
                offset: valid_end,
                why: "the segment ends too early",
                first_lost: result.next_seq,
                last_lost: h.first_seq - 1,
                may_be_torn: sync_writes && !result.sealed,
            });
            result.next_seq = h.first_seq;
        }
    }
    // Only the last segment is truncated. The torn part of an earlier one may be its seal, and nothing is
    // appended there.
    if let Some((number, valid_end)) = result.truncate_at
        && let Some(s) = result.segments.get_mut(&number)
    {
        result.truncated_bytes += s.size - valid_end;
        s.size = valid_end;
    }
    if limit.is_none() && (result.sealed || misplaced(expected_number.max(oldest))) {
        result.gaps.push(Gap {
            segment: expected_number,
            last_segment: expected_number,
            offset: 0,
            why: "the segment is missing",
            first_lost: result.next_seq,
            last_lost: result.next_seq,
            may_be_torn: false,
        });
        result.next_seq += 1;
    }
    Ok(result)
}

struct Reader<'a> {
    bytes: &'a [u8],
    number: u64,
    sync_writes: bool,
}

impl Reader<'_> {
    fn next(&self, at: usize, expected: u64) -> Option<frame::Frame> {
        frame::next_frame(self.bytes, at, expected)
    }

    /// Applies all valid frames and returns the offset at which they end.
    fn read(&self, result: &mut Scan, options: &Options, observe: &mut Observer) -> u64 {
        let mut at = HEADER_BYTES.min(self.bytes.len());
        while at < self.bytes.len() {
            let frame = frame::frame_at(self.bytes, at).filter(|f| f.seq == result.next_seq);
            let frame = match frame {
                Some(frame) => frame,
                None => {
                    let Some(next) = self.next(at, result.next_seq) else { return at as u64 };
                    result.gaps.push(Gap {
                        segment: self.number,
                        last_segment: self.number,
                        offset: at as u64,
                        why: "the bytes cannot be read",
                        first_lost: result.next_seq,
                        last_lost: next.seq.saturating_sub(1),
                        may_be_torn: self.sync_writes,
                    });
                    next
                }
            };
            at = frame.end;
            let bytes = (frame.end - frame.at) as u64;
            match frame.content {
                Content::Seal => {
                    result.next_seq = frame.seq;
                    result.sealed = true;
                    return at as u64;
                }
                Content::Record(record) => {
                    result.next_seq = frame.seq + 1;
                    match record {
                        Record::Trim { oldest } => result.trims.push((self.number, frame.at as u64, oldest)),
                        Record::Synced { upto } => result.synced_seq = result.synced_seq.max(upto),
                        _ => {}
                    }
                    if let Some(observe) = observe {
                        observe(frame.seq, &record);
                    }
                    let reserved_bytes = match &record {
                        Record::Snapshot { live, .. } => options.reserved_bytes(&live.accepted),
                        Record::Kept { .. } | Record::Note { .. } => with_end_record(bytes),
                        _ => 0,
                    };
                    if let Some(s) = result.segments.get_mut(&self.number) {
                        s.reserved_bytes += reserved_bytes;
                    }
                    result.state.apply(record, frame.seq, bytes, options);
                }
            }
        }
        at as u64
    }
}

/// Content of a journal that was read without changing it.
pub struct JournalContents {
    pub live: BTreeMap<u64, LiveMessage>,
    /// Records of ended messages, and notes.
    pub ended_messages: BTreeMap<u64, Rc<EndedMessage>>,
    pub notes: BTreeMap<u64, Rc<Note>>,
    pub segments: usize,
    /// Bytes of all segments, and of the live records among them.
    pub bytes: u64,
    pub live_bytes: u64,
    pub truncated_bytes: u64,
    pub damages: Vec<Damage>,
    pub lost_messages: Vec<u64>,
}

/// Reads a journal without changing it. `observe` is called for every readable record in order, with its
/// sequence number.
///
/// # Errors
/// [`Error::NewerFormat`], or [`Error::Io`] with the file that could not be read.
pub fn read(
    storage: &dyn Storage,
    options: &Options,
    observe: &mut dyn FnMut(u64, &Record),
) -> Result<JournalContents, Error> {
    let found = recover(storage, options, Some(observe))?;
    let (mut ended_messages, mut notes) = (BTreeMap::new(), BTreeMap::new());
    for (number, item) in found.state.items() {
        match item {
            Item::Live(_) => {}
            Item::Kept(of) => drop(ended_messages.insert(number, of.clone())),
            Item::Note(note) => drop(notes.insert(number, note.clone())),
        }
    }
    Ok(JournalContents {
        live: found.state.live().map(|(message, live)| (message, live.clone())).collect(),
        ended_messages,
        notes,
        segments: found.segments.len(),
        bytes: found.segments.values().map(|s| s.size).sum(),
        live_bytes: found.state.bytes(),
        truncated_bytes: found.truncated_bytes,
        damages: found.damages,
        lost_messages: found.lost_messages,
    })
}
