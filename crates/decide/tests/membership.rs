//! The lease on the endpoint list in the scheduler: messages are held while it has expired.

mod common;

use common::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_decide::interface::*;
use std::time::Duration;

const LEASE_DURATION: Duration = Duration::from_secs(6);

fn settings_with_lease() -> Settings {
    Settings { membership_lease_duration: Some(LEASE_DURATION), ..settings() }
}

fn list_is_current(drive: &Driver) -> Event {
    Event::MembershipCurrent { as_of: drive.now }
}

#[test]
fn no_attempt_begins_on_a_list_of_unknown_age() {
    let mut drive = Driver::new(settings_with_lease(), vec![entry(0, 1, 0, 0)]);
    let mut actions = drive.feed(&[accepted(1, 0, 1, MS * 8000)]);
    actions.extend(drive.pass(MS * 1000));
    assert!(sends(&actions).is_empty());
    assert_eq!(
        sends(&drive.feed(&[list_is_current(&drive)])),
        [(1, 0)],
        "it goes as soon as the list is known to be current"
    );
}

#[test]
fn no_attempt_begins_after_the_lease_has_expired() {
    let mut drive = Driver::started_at(settings_with_lease(), vec![entry(0, 1, 0, 0)], 11, MS * 10_000);
    drive.feed(&[Event::MembershipCurrent { as_of: MS * 8000 }]);
    drive.pass(MS * 3990);
    assert_eq!(sends(&drive.feed(&[accepted(1, 0, 1, MS * 8000)])), [(1, 0)]);
    drive.feed(&[attempt_ended(1, 0, Outcome::Delivered, 10)]);
    drive.pass(MS * 10);
    assert!(sends(&drive.feed(&[accepted(2, 0, 1, MS * 8000)])).is_empty());
}

#[test]
fn an_endpoint_that_discovery_does_not_list_needs_no_lease() {
    let own = EndpointEntry { requires_lease: false, ..entry(1, 1, 0, 0) };
    let mut drive = Driver::new(settings_with_lease(), vec![entry(0, 1, 0, 0), own]);
    assert_eq!(sends(&drive.feed(&[accepted(1, 0, 1, MS * 8000)])), [(1, 1)]);
}

#[test]
fn messages_held_without_a_lease_end_once_and_in_time() {
    let mut drive = Driver::new(settings_with_lease(), vec![entry(0, 1, 0, 0)]);
    let mut actions = drive.feed(&[accepted(1, 0, 1, MS * 8000), accepted(2, 2, 1, MS * 3000)]);
    actions.extend(drive.pass(MS * 8000));
    let ends = actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }));
    assert_eq!(ends.count(), 2, "{actions:?}");
    assert!(sends(&actions).is_empty());
    let timers = actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    assert!(timers < 50, "{timers} wake-ups while nothing can be sent");
}

#[test]
fn a_fleet_requests_the_list_before_the_lease_expires_and_not_all_at_once() {
    const FLEET: u64 = 100;
    let set =
        Settings { courier_count: FLEET as usize, subscription_required: true, ..settings_with_lease() };
    let requested = (0..FLEET).map(|seed| {
        let mut drive = Driver::seeded(set.clone(), vec![entry(0, 1, 0, 0)], seed);
        let started_at = drive.now;
        drive.feed(&[Event::MembershipCurrent { as_of: started_at - MS * 1000 }]);
        drive.pass(MS * 4900);
        let ask = drive.log.iter().find(|(_, action)| matches!(action, Action::Subscribe { .. }));
        ask.expect("it asks while its list may still be acted on").0 - started_at
    });
    let requested: Vec<_> = requested.collect();
    let in_second = |second: u64| requested.iter().filter(|at| at.as_secs() == second).count();
    assert!((0..5).all(|second| in_second(second) <= FLEET as usize / 2), "{requested:?}");
}

#[test]
fn a_change_of_the_discovery_address_shortens_the_lease_until_discovery_answers() {
    let mut drive = Driver::new(settings_with_lease(), vec![entry(0, 1, 0, 0)]);
    let until = drive.now + MS * 1000;
    drive.feed(&[list_is_current(&drive), Event::MembershipLimited { until }]);
    drive.pass(MS * 1000);
    assert!(sends(&drive.feed(&[accepted(1, 0, 1, MS * 8000)])).is_empty());
    assert_eq!(sends(&drive.feed(&[list_is_current(&drive)])), [(1, 0)]);
}

#[test]
fn no_attempt_begins_without_a_lease_in_random_histories() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut drive =
            Driver::seeded(settings_with_lease(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)], seed);
        let (mut last_current, mut sent) = (None, 0);
        for message in 0..200 {
            let mut actions = drive.pass(MS * rng.random_range(5..400));
            if rng.random_bool(0.05) {
                let as_of = drive.now.saturating_sub(MS * rng.random_range(0..4000));
                last_current = last_current.max(Some(as_of));
                actions.extend(drive.feed(&[Event::MembershipCurrent { as_of }]));
            }
            let class = rng.random_range(0..3);
            actions.extend(drive.feed(&[accepted(message, class, 1, MS * rng.random_range(100..9000))]));
            for (message, endpoint) in sends(&actions) {
                sent += 1;
                let outcome = if rng.random_bool(0.7) { Outcome::Delivered } else { Outcome::ConnectFailed };
                drive.feed(&[attempt_ended(message, endpoint, outcome, 20)]);
            }
            // The log has each action with its time, including those that followed the outcomes above.
            for (at, action) in drive.log.drain(..) {
                let valid = last_current.is_some_and(|list_is_current| at < list_is_current + LEASE_DURATION);
                assert!(valid || !matches!(action, Action::Send { .. }), "seed {seed}, {at:?}: {action:?}");
            }
        }
        assert!(sent > 0, "seed {seed}: nothing was sent at all");
    }
}
