//! Random histories compared with a model, with a crash at every call to the disk, at every byte of every
//! write, and by power failures that lose and reorder unsynced writes.
//!
//! `JOURNAL_SEED=N` repeats one seed; `JOURNAL_CASES=N` runs more histories than CI does.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stairshed_journal::Durability;
use stairshed_journal::storage::faulty::{FaultyStorage, Replay, Step};
use std::sync::atomic::{AtomicUsize, Ordering};

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0usize..500).prop_map(Operation::Accept),
        5 => (0usize..1000).prop_map(Operation::Attempt),
        2 => ((0usize..1000), (0usize..1000)).prop_map(|(m, a)| Operation::NeverRan(m, a)),
        2 => ((0usize..1000), 0u8..4).prop_map(|(m, k)| Operation::SetVerdict(m, k)),
        3 => (0usize..1000).prop_map(Operation::End),
        2 => ((0usize..1000), any::<bool>()).prop_map(|(m, o)| Operation::ReplaceWithEnded(m, o)),
        1 => (0usize..1000).prop_map(Operation::RemoveEnded),
        2 => ((0usize..1000), (0usize..200)).prop_map(|(n, l)| Operation::StoreNote(n, l)),
        1 => (0usize..1000).prop_map(Operation::RemoveNote),
        4 => Just(Operation::Flush),
        3 => (1u64..2000).prop_map(Operation::Compact),
        2 => Just(Operation::Sync),
    ]
}

/// The steps of an executed history, and what recovery must find after a crash at each of them.
struct Played {
    steps: Vec<Step>,
    /// The model's state after each operation.
    maps: Vec<(Map, EndedAndNotes)>,
    /// For each operation: number of storage steps, index of the last durable state, index of the current
    /// state.
    marks: Vec<(usize, usize, usize)>,
}

fn play(history: &[Operation], durability: Durability) -> Result<Played, TestCaseError> {
    let folder = FaultyStorage::default();
    let mut modelled = ModelledJournal::new(folder.clone(), small_options(durability));
    let (mut maps, mut kept) = (vec![modelled.contents()], 0);
    let mut marks = vec![(folder.steps().len(), 0, 0)];
    for (n, operation) in history.iter().enumerate() {
        let is_kept = modelled.apply(operation);
        prop_assert!(contents(&modelled.journal) == modelled.contents(), "after {} {:?}", n, operation);
        prop_assert!(folder.used() <= 60_000, "{} bytes after {}", folder.used(), n);
        maps.push(modelled.contents());
        if is_kept {
            kept = maps.len() - 1;
        }
        marks.push((folder.steps().len(), kept, maps.len() - 1));
    }
    Ok(Played { steps: folder.steps(), maps, marks })
}

impl Played {
    /// Indices in `maps` of the states that recovery may find after a crash after `step`.
    fn allowed(&self, step: usize) -> std::ops::RangeInclusive<usize> {
        let next = self.marks.partition_point(|(steps, ..)| *steps <= step);
        let kept = self.marks[next.saturating_sub(1)].1;
        let done = self.marks.get(next).or(self.marks.last()).expect("a mark").2;
        kept..=done
    }

    fn check(&self, image: Image, step: usize, durability: Durability) -> Result<(), TestCaseError> {
        let folder = FaultyStorage::from_image(image.clone());
        let (mut journal, report) = open(&folder, small_options(durability));
        prop_assert_eq!(&report.damages, &[], "a crash must not count as damage, step {}", step);
        let found = contents(&journal);
        let allowed = self.allowed(step);
        let fits = self.maps[allowed.clone()].contains(&found);
        prop_assert!(
            fits,
            "step {}: {:?} is not one of the allowed states {:?}",
            step,
            found.0.keys(),
            allowed
        );
        // A crash during recovery changes nothing.
        if step.is_multiple_of(7) {
            let mut again = Replay::from_image(&image);
            let mut rng = SmallRng::seed_from_u64(step as u64);
            for s in folder.steps() {
                again.apply(&s);
                let left = match durability {
                    Durability::Process => again.after_kill(),
                    Durability::Machine => again.after_power_cut(&mut rng),
                };
                let (journal, report) = open(&FaultyStorage::from_image(left), small_options(durability));
                prop_assert_eq!(&report.damages, &[], "step {}, second recovery", step);
                prop_assert!(contents(&journal) == found, "step {}, second recovery", step);
            }
        }
        // The recovered journal accepts new records.
        if step.is_multiple_of(5) {
            let next = sample_message(journal.last_number() + 1, 10);
            if journal.can_accept(&next).is_ok() {
                journal.accept(journal.last_number() + 1, next);
            }
            journal.flush().expect("memory does not fail");
            let (again, report) = open(&folder, small_options(durability));
            prop_assert_eq!(&report.damages, &[], "step {}, after new records", step);
            prop_assert!(contents(&again) == contents(&journal), "step {}, after new records", step);
        }
        Ok(())
    }
}

fn run(cases: u64, length: usize, test: impl Fn(Vec<Operation>) -> Result<(), TestCaseError>) {
    let seed = number("JOURNAL_SEED", 1);
    let config = Config {
        cases: number("JOURNAL_CASES", cases) as u32,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let histories = prop::collection::vec(operation(), 1..length);
    if let Err(e) = TestRunner::new_with_rng(config, rng).run(&histories, test) {
        panic!("JOURNAL_SEED={seed}: {e}");
    }
}

#[test]
fn a_crash_at_every_call_leaves_what_was_kept_and_nothing_that_was_not_done() {
    let points = AtomicUsize::new(0);
    run(400, 250, |history| {
        let played = play(&history, Durability::Process)?;
        let mut replay = Replay::default();
        for (n, step) in played.steps.iter().enumerate() {
            replay.apply(step);
            played.check(replay.after_kill(), n + 1, Durability::Process)?;
            points.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    });
    println!("{} crash points", points.load(Ordering::Relaxed));
}

#[test]
fn a_crash_at_every_byte_leaves_what_was_kept_and_nothing_that_was_not_done() {
    let points = AtomicUsize::new(0);
    run(60, 60, |history| {
        let played = play(&history, Durability::Process)?;
        let mut replay = Replay::default();
        for (n, step) in played.steps.iter().enumerate() {
            if let Step::Write { file, at, bytes } = step {
                for cut in 0..bytes.len() {
                    let mut torn = replay.clone();
                    torn.apply(&Step::Write { file: *file, at: *at, bytes: bytes[..cut].to_vec() });
                    played.check(torn.after_kill(), n, Durability::Process)?;
                    points.fetch_add(1, Ordering::Relaxed);
                }
            }
            replay.apply(step);
        }
        Ok(())
    });
    let points = points.load(Ordering::Relaxed);
    println!("{points} crash points");
    assert!(points >= 100_000, "only {points} crash points");
}

#[test]
fn a_power_cut_anywhere_leaves_what_was_synced_and_nothing_that_was_not_done() {
    let points = AtomicUsize::new(0);
    run(150, 200, |history| {
        let played = play(&history, Durability::Machine)?;
        let mut replay = Replay::default();
        let mut rng = SmallRng::seed_from_u64(number("JOURNAL_SEED", 1));
        for (n, step) in played.steps.iter().enumerate() {
            replay.apply(step);
            for _ in 0..4 {
                played.check(replay.after_power_cut(&mut rng), n + 1, Durability::Machine)?;
                points.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    });
    println!("{} crash points", points.load(Ordering::Relaxed));
}
