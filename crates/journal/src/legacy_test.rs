//! Tests of the old format's reader with files as the old version wrote them.

use super::*;
use bytes::BufMut;

fn head(kind: u8, message: u64) -> Vec<u8> {
    let mut to = vec![kind];
    to.put_u64_le(message);
    to
}

fn put_text(to: &mut Vec<u8>, text: &[u8]) {
    to.put_u32_le(text.len() as u32);
    to.put_slice(text);
}

fn accepted_record(message: u64, accepted: &AcceptedMessage) -> Vec<u8> {
    let mut to = head(ACCEPTED, message);
    to.put_u64_le(accepted.deadline.as_micros());
    to.put_u64_le(accepted.destination);
    put_text(&mut to, accepted.id.as_bytes());
    put_text(&mut to, accepted.class.as_bytes());
    to.put_u8(u8::from(accepted.key.is_some()));
    put_text(&mut to, accepted.key.as_deref().unwrap_or_default().as_bytes());
    put_text(&mut to, &accepted.body);
    to
}

fn attempted(message: u64, host: &str) -> Vec<u8> {
    let mut to = head(ATTEMPT, message);
    to.put_u64_le(1_790_000_000_000_002);
    put_text(&mut to, host.as_bytes());
    put_text(&mut to, b"a");
    to
}

fn never_ran(message: u64, attempt: u32) -> Vec<u8> {
    let mut to = head(OUTCOME, message);
    to.put_u32_le(attempt);
    to
}

fn judged(message: u64, bounced: bool, wait: u64) -> Vec<u8> {
    let mut to = head(VERDICT, message);
    to.put_u8(u8::from(bounced));
    to.put_u64_le(wait);
    to
}

fn sample_message(id: &str, body: &'static [u8]) -> AcceptedMessage {
    AcceptedMessage {
        id: id.to_owned(),
        class: "notice".to_owned(),
        destination: 7,
        key: (!body.is_empty()).then(|| format!("k-{id}")),
        routed: None,
        accepted_at: StableTime::EPOCH,
        deadline: StableTime::from_micros(1_790_000_000_000_001),
        body: Bytes::from_static(body),
    }
}

/// A file with a record of each kind, and the offset after each record.
fn file_with_all_records() -> (Vec<u8>, Vec<usize>) {
    let records = [
        accepted_record(1, &sample_message("a", b"bo\0dy")),
        accepted_record(2, &sample_message("b", b"")),
        attempted(1, "s-1"),
        never_ran(1, 0),
        attempted(1, "s-2"),
        accepted_record(3, &sample_message("c", b"x")),
        judged(2, true, 250_000),
        judged(1, false, 0),
        head(ENDED, 3),
    ];
    let (mut file, mut ends) = (Vec::new(), vec![0]);
    for record in records {
        file.put_u32_le(record.len() as u32);
        file.put_u32_le(crc32fast::hash(&record));
        file.put_slice(&record);
        ends.push(file.len());
    }
    (file, ends)
}

#[test]
fn every_record_of_the_old_format_is_read() {
    let (file, _) = file_with_all_records();
    let (live, last, valid_len) = replay(&file);
    assert_eq!((live.len(), last, valid_len), (2, 3, file.len()));
    let one = &live[&1];
    assert_eq!(*one.accepted, sample_message("a", b"bo\0dy"));
    let attempts: Vec<_> = one.attempts.iter().map(|a| (a.host.as_str(), a.may_have_run)).collect();
    assert_eq!(attempts, [("s-1", false), ("s-2", true)]);
    assert_eq!(one.verdict, Some(Verdict::Dead));
    assert_eq!(live[&2].verdict, Some(Verdict::Bounced { wait: Some(Duration::from_millis(250)) }));
}

#[test]
fn a_torn_tail_of_the_old_format_hides_nothing_before_it() {
    let (file, ends) = file_with_all_records();
    for cut in 0..=file.len() {
        let (live, _, valid_len) = replay(&file[..cut]);
        let end = ends.iter().rev().find(|end| **end <= cut).expect("the start");
        assert_eq!(valid_len, *end, "cut at {cut}");
        assert_eq!(live, replay(&file[..*end]).0, "cut at {cut}");
    }
}

mod migration {
    use super::*;
    use crate::journal::Journal;
    use crate::options::{Durability, Options};
    use crate::storage::Storage;
    use crate::storage::faulty::{FaultyStorage, Replay, Step};
    use std::collections::BTreeMap;
    use std::sync::Arc;

    fn state(journal: &Journal) -> BTreeMap<u64, LiveMessage> {
        journal.live().map(|(n, m)| (n, m.clone())).collect()
    }

    fn options(durability: Durability) -> Options {
        Options { durability, ..Options::new(3_000_000) }
    }

    #[test]
    fn migration_keeps_every_message_and_removes_the_old_file() {
        let (file, _) = file_with_all_records();
        let folder = FaultyStorage::from_image(BTreeMap::from([(FILE_NAME.to_owned(), file.clone())]));
        let (journal, report) =
            Journal::open(Arc::new(folder.clone()), options(Durability::Process)).expect("opens");
        assert_eq!(report.migrated, Some(2));
        assert_eq!(state(&journal), replay(&file).0);
        assert!(!folder.list().expect("names").iter().any(|n| n == FILE_NAME));
    }

    #[test]
    fn a_migration_interrupted_at_any_byte_loses_nothing() {
        for durability in [Durability::Process, Durability::Machine] {
            let (file, _) = file_with_all_records();
            let before = BTreeMap::from([
                (FILE_NAME.to_owned(), file.clone()),
                (TEMP_FILE_NAME.to_owned(), vec![1, 2]),
            ]);
            let folder = FaultyStorage::from_image(before.clone());
            Journal::open(Arc::new(folder.clone()), options(durability)).expect("opens");
            let mut replayed = Replay::from_image(&before);
            let check = |image: BTreeMap<String, Vec<u8>>, at: usize| {
                let again = FaultyStorage::from_image(image);
                let (journal, _) = Journal::open(Arc::new(again), options(durability))
                    .unwrap_or_else(|e| panic!("cut at step {at}: {e}"));
                assert_eq!(state(&journal), replay(&file).0, "cut at step {at}");
            };
            let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
            use rand::SeedableRng;
            for (at, step) in folder.steps().iter().enumerate() {
                if let Step::Write { file, at: place, bytes } = step {
                    for cut in 0..bytes.len() {
                        let mut torn = replayed.clone();
                        let bytes = bytes[..cut].to_vec();
                        torn.apply(&Step::Write { file: *file, at: *place, bytes });
                        check(torn.after_kill(), at);
                    }
                }
                replayed.apply(step);
                check(replayed.after_kill(), at);
                if durability == Durability::Machine {
                    for _ in 0..20 {
                        check(replayed.after_power_cut(&mut rng), at);
                    }
                }
            }
        }
    }
}
