//! Reader of the format before segments: a single file, `journal`, of records with length and checksum. It is
//! read once, when a directory of an older version is migrated, and never written.

use crate::record::{AcceptedMessage, Attempt, FieldReader, LiveMessage, Verdict};
use bytes::Bytes;
use stairshed_clock::StableTime;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Name of the file, and of an incomplete copy of it.
pub(crate) const FILE_NAME: &str = "journal";
pub(crate) const TEMP_FILE_NAME: &str = "journal.next";
/// Upper limit for a record: a body, an id, a key and headroom for the rest.
const MAX_RECORD_BYTES: usize = 128 * 1024;

const ACCEPTED: u8 = 1;
const ATTEMPT: u8 = 2;
const OUTCOME: u8 = 3;
const VERDICT: u8 = 4;
const ENDED: u8 = 5;

/// A text with a length prefix of four bytes.
fn text(f: &mut FieldReader) -> Option<String> {
    let n = f.u32()? as usize;
    String::from_utf8(f.take(n)?.to_vec()).ok()
}

/// Applies one record; `None` if it cannot be read.
fn apply(live: &mut BTreeMap<u64, LiveMessage>, last: &mut u64, record: &[u8]) -> Option<()> {
    let mut f = FieldReader(record);
    let (kind, message) = (f.byte()?, f.u64()?);
    *last = message.max(*last);
    match kind {
        ACCEPTED => {
            let (deadline, destination) = (f.stable_time()?, f.u64()?);
            let (id, class, keyed, key) = (text(&mut f)?, text(&mut f)?, f.byte()? == 1, text(&mut f)?);
            let length = f.u32()? as usize;
            let body = Bytes::copy_from_slice(f.take(length)?);
            let key = keyed.then_some(key);
            let accepted = AcceptedMessage {
                id,
                class,
                destination,
                key,
                accepted_at: StableTime::EPOCH,
                deadline,
                body,
                routed: None,
            };
            live.insert(
                message,
                LiveMessage { accepted: Rc::new(accepted), attempts: Vec::new(), verdict: None },
            );
        }
        ATTEMPT => {
            let (sent_at, host, zone) = (f.stable_time()?, text(&mut f)?, text(&mut f)?);
            if let Some(m) = live.get_mut(&message) {
                m.attempts.push(Attempt { host, zone, sent_at, may_have_run: true });
            }
        }
        OUTCOME => {
            let attempt = f.u32()? as usize;
            if let Some(a) = live.get_mut(&message).and_then(|m| m.attempts.get_mut(attempt)) {
                a.may_have_run = false;
            }
        }
        VERDICT => {
            let (bounced, wait) = (f.byte()? == 1, f.u64()?);
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

/// Replays the valid records. Returns the live messages, the highest number and the length of the valid part.
pub(crate) fn replay(bytes: &[u8]) -> (BTreeMap<u64, LiveMessage>, u64, usize) {
    let (mut live, mut last, mut valid_len) = (BTreeMap::new(), 0, 0);
    let mut f = FieldReader(bytes);
    while let (Some(len), Some(sum)) = (f.u32(), f.u32()) {
        // A length that no record has belongs to a torn or corrupt tail.
        let record =
            f.take(len as usize).filter(|r| r.len() <= MAX_RECORD_BYTES && crc32fast::hash(r) == sum);
        if record.and_then(|r| apply(&mut live, &mut last, r)).is_none() {
            break;
        }
        valid_len = bytes.len() - f.0.len();
    }
    (live, last, valid_len)
}

#[cfg(test)]
#[path = "legacy_test.rs"]
mod tests;
