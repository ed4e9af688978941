//! The lease on the list of endpoints in the decision module: what is held while it has run out, and what then.

mod common;

use common::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_decide::interface::*;
use std::time::Duration;

const TERM: Duration = Duration::from_secs(6);

fn leased() -> Settings {
    Settings { membership_lease_duration: Some(TERM), ..settings() }
}

fn current(drive: &Drive) -> Event {
    Event::MembershipCurrent { as_of: drive.now }
}

#[test]
fn no_attempt_begins_on_a_list_whose_age_is_not_known() {
    let mut drive = Drive::new(leased(), vec![entry(0, 1, 0, 0)]);
    let mut actions = drive.feed(&[taken(1, 0, 1, MS * 8000)]);
    actions.extend(drive.pass(MS * 1000));
    assert!(sends(&actions).is_empty());
    assert_eq!(
        sends(&drive.feed(&[current(&drive)])),
        [(1, 0)],
        "it goes as soon as the list is known to be current"
    );
}

#[test]
fn no_attempt_begins_after_the_term_of_the_list() {
    let mut drive = Drive::begun(leased(), vec![entry(0, 1, 0, 0)], 11, MS * 10_000);
    drive.feed(&[Event::MembershipCurrent { as_of: MS * 8000 }]);
    drive.pass(MS * 3990);
    assert_eq!(sends(&drive.feed(&[taken(1, 0, 1, MS * 8000)])), [(1, 0)]);
    drive.feed(&[ended(1, 0, Outcome::Delivered, 10)]);
    drive.pass(MS * 10);
    assert!(sends(&drive.feed(&[taken(2, 0, 1, MS * 8000)])).is_empty());
}

#[test]
fn an_endpoint_that_discovery_does_not_list_is_sent_to_whatever_the_age_of_the_list() {
    let own = EndpointEntry { requires_lease: false, ..entry(1, 1, 0, 0) };
    let mut drive = Drive::new(leased(), vec![entry(0, 1, 0, 0), own]);
    assert_eq!(sends(&drive.feed(&[taken(1, 0, 1, MS * 8000)])), [(1, 1)]);
}

#[test]
fn what_is_held_for_want_of_a_list_ends_once_and_in_time() {
    let mut drive = Drive::new(leased(), vec![entry(0, 1, 0, 0)]);
    let mut actions = drive.feed(&[taken(1, 0, 1, MS * 8000), taken(2, 2, 1, MS * 3000)]);
    actions.extend(drive.pass(MS * 8000));
    let ends = actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }));
    assert_eq!(ends.count(), 2, "{actions:?}");
    assert!(sends(&actions).is_empty());
    let wakes = actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    assert!(wakes < 50, "{wakes} wake-ups while nothing can be sent");
}

#[test]
fn a_fleet_asks_for_the_list_before_it_runs_out_and_not_all_at_once() {
    const FLEET: u64 = 100;
    let set = Settings { courier_count: FLEET as usize, subscription_required: true, ..leased() };
    let asked = (0..FLEET).map(|seed| {
        let mut drive = Drive::seeded(set.clone(), vec![entry(0, 1, 0, 0)], seed);
        let begun = drive.now;
        drive.feed(&[Event::MembershipCurrent { as_of: begun - MS * 1000 }]);
        drive.pass(MS * 4900);
        let ask = drive.log.iter().find(|(_, action)| matches!(action, Action::Subscribe { .. }));
        ask.expect("it asks while its list may still be acted on").0 - begun
    });
    let asked: Vec<_> = asked.collect();
    let in_second = |second: u64| asked.iter().filter(|at| at.as_secs() == second).count();
    assert!((0..5).all(|second| in_second(second) <= FLEET as usize / 2), "{asked:?}");
}

#[test]
fn a_moved_discovery_shortens_the_term_until_it_answers() {
    let mut drive = Drive::new(leased(), vec![entry(0, 1, 0, 0)]);
    let until = drive.now + MS * 1000;
    drive.feed(&[current(&drive), Event::MembershipLimited { until }]);
    drive.pass(MS * 1000);
    assert!(sends(&drive.feed(&[taken(1, 0, 1, MS * 8000)])).is_empty());
    assert_eq!(sends(&drive.feed(&[current(&drive)])), [(1, 0)]);
}

#[test]
fn in_no_history_does_an_attempt_begin_on_a_list_older_than_its_term() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut drive = Drive::seeded(leased(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)], seed);
        let (mut last_current, mut sent) = (None, 0);
        for message in 0..200 {
            let mut actions = drive.pass(MS * rng.random_range(5..400));
            if rng.random_bool(0.05) {
                let as_of = drive.now.saturating_sub(MS * rng.random_range(0..4000));
                last_current = last_current.max(Some(as_of));
                actions.extend(drive.feed(&[Event::MembershipCurrent { as_of }]));
            }
            let class = rng.random_range(0..3);
            actions.extend(drive.feed(&[taken(message, class, 1, MS * rng.random_range(100..9000))]));
            for (message, endpoint) in sends(&actions) {
                sent += 1;
                let outcome = if rng.random_bool(0.7) { Outcome::Delivered } else { Outcome::ConnectFailed };
                drive.feed(&[ended(message, endpoint, outcome, 20)]);
            }
            // The log has each action with its time, also those of the outcomes above.
            for (at, action) in drive.log.drain(..) {
                let valid = last_current.is_some_and(|current| at < current + TERM);
                assert!(valid || !matches!(action, Action::Send { .. }), "seed {seed}, {at:?}: {action:?}");
            }
        }
        assert!(sent > 0, "seed {seed}: nothing was sent at all");
    }
}
