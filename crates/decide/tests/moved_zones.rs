//! Endpoints whose zone a list changes: endpoints of one zone share their record of keys, so a keyed message that may have
//! run is repeated only where its key is known.

mod common;
use common::*;
use stairshed_decide::interface::*;

/// Class with keys of the zone.
const KEYED: usize = 1;

fn changes(entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointList { complete: false, entries }
}

/// Sends a keyed message with both endpoints in zone 0. Returns the driver, and the endpoint of the attempt and the other.
fn driver_with_call_in_zone_0() -> (Driver, u32, u32) {
    let mut driver = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
    let sent = sends(&driver.feed(&[accepted(1, KEYED, 1, MS * 20_000)]));
    let [(1, endpoint)] = sent[..] else { panic!("{sent:?}") };
    (driver, endpoint, 1 - endpoint)
}

/// Whether the message is sent again after its attempt broke.
fn is_repeated(driver: &mut Driver, endpoint: u32) -> bool {
    let mut actions = driver.feed(&[attempt_ended(1, endpoint, Outcome::Reset, 50)]);
    actions.extend(driver.pass(MS * 4000));
    !sends(&actions).is_empty()
}

#[test]
fn keyed_message_that_may_have_run_is_repeated_within_its_zone() {
    let (mut driver, endpoint, _) = driver_with_call_in_zone_0();
    assert!(is_repeated(&mut driver, endpoint));
}

/// Guards against a keyed message that takes effect in two zones: the scheduler kept the zone in which an endpoint had
/// been listed first (review, program `zone`).
#[test]
fn keyed_message_is_not_repeated_in_the_former_zone_of_an_endpoint() {
    // Before the attempt: the other endpoint, or the one of the attempt, is in zone 1 by then.
    for moved in [0, 1] {
        let mut driver = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
        driver.feed(&[changes(vec![entry(moved, 1, 1, 0)])]);
        let sent = sends(&driver.feed(&[accepted(1, KEYED, 1, MS * 20_000)]));
        let [(1, endpoint)] = sent[..] else { panic!("{sent:?}") };
        let mut actions = driver.feed(&[attempt_ended(1, endpoint, Outcome::Reset, 50)]);
        actions.extend(driver.pass(MS * 4000));
        assert!(sends(&actions).iter().all(|(_, again)| *again == endpoint), "moved {moved}: {actions:?}");
    }
}

/// The same of a zone that changes while the attempt is out, or after it: which zone knows the key is not known.
#[test]
fn keyed_message_is_not_repeated_elsewhere_once_the_endpoint_of_its_attempt_has_another_zone() {
    let (mut driver, endpoint, other) = driver_with_call_in_zone_0();
    driver.feed(&[changes(vec![entry(endpoint, 1, 1, 0)])]);
    assert!(!is_repeated(&mut driver, endpoint), "moved while the attempt was out");

    let (mut driver, endpoint, _) = driver_with_call_in_zone_0();
    driver.feed(&[changes(vec![entry(endpoint, 1, 1, 0), entry(other, 1, 1, 0)])]);
    assert!(!is_repeated(&mut driver, endpoint), "both moved while the attempt was out");

    let (mut driver, endpoint, other) = driver_with_call_in_zone_0();
    driver.feed(&[changes(vec![entry(other, 1, 1, 0)])]);
    let mut actions = driver.feed(&[attempt_ended(1, endpoint, Outcome::Reset, 50)]);
    actions.extend(driver.pass(MS * 4000));
    assert!(sends(&actions).iter().all(|(_, again)| *again == endpoint), "the other one moved: {actions:?}");
}
