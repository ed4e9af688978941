use super::*;
use crate::caps::CapSetting;

const KB: u64 = 1000;

fn ledger(of: &[(Purpose, u64)], share: f64) -> Ledger {
    let settings =
        ByPurpose::new(|p| of.iter().find(|(q, _)| *q == p).map(|(_, cap)| CapSetting::Size(*cap)));
    Ledger::new(&Caps::new(None, &settings).expect("valid caps"), share)
}

#[test]
fn a_dropped_charge_is_released_exactly_once() {
    let ledger = ledger(&[(Purpose::BodiesRead, 100 * KB), (Purpose::BodiesHeld, 100 * KB)], 1.0);
    let read = ledger.try_charge(Purpose::BodiesRead, 60 * KB, None).expect("room");
    let refused = ledger.try_charge(Purpose::BodiesRead, 41 * KB, None).expect_err("none");
    assert_eq!((refused.purpose, refused.why), (Purpose::BodiesRead, RefusalCause::Cap));
    assert_eq!(refused.reason().to_string(), "memory-bodies_read");
    let held = read.transfer_to(Purpose::BodiesHeld).expect("room");
    assert_eq!((ledger.held(Purpose::BodiesRead), ledger.held(Purpose::BodiesHeld)), (0, 60 * KB));
    let other = ledger.try_charge(Purpose::BodiesRead, 50 * KB, None).expect("room again");
    let (other, refused) = other.transfer_to(Purpose::BodiesHeld).expect_err("no room there");
    assert_eq!((refused.purpose, ledger.held(Purpose::BodiesRead)), (Purpose::BodiesHeld, 50 * KB));
    drop((held, other));
    assert!(Purpose::ALL.into_iter().all(|p| ledger.held(p) == 0));
    let states = ledger.usage();
    let of = |p: Purpose| states[p as usize];
    assert_eq!((of(Purpose::BodiesRead).most, of(Purpose::BodiesRead).refused_cap), (60 * KB, 1));
}

#[test]
fn a_reserve_can_be_drawn_at_the_cap_and_an_excess_is_charged_beyond_it() {
    let ledger = ledger(&[(Purpose::Notices, 10 * KB)], 1.0);
    let mut reserve = ledger.reserve(Purpose::Notices, 4 * KB).expect("room");
    let fill = ledger.try_charge(Purpose::Notices, 6 * KB, None).expect("room");
    assert!(
        ledger.try_charge(Purpose::Notices, 1, None).is_err() && ledger.reserve(Purpose::Notices, 1).is_err()
    );
    let drawn = reserve.draw(3 * KB);
    assert_eq!(ledger.held(Purpose::Notices), 10 * KB);
    let more = reserve.draw(2 * KB);
    assert_eq!((ledger.held(Purpose::Notices), reserve.bytes()), (11 * KB, 0));
    assert_eq!(ledger.usage()[Purpose::Notices as usize].forced, KB);
    drop((reserve, drawn, more, fill));
    assert_eq!(ledger.held(Purpose::Notices), 0);
}

#[test]
fn a_reserve_grows_up_to_the_cap_and_is_released_whole() {
    let ledger = ledger(&[(Purpose::Notices, 10 * KB)], 1.0);
    let mut reserve = ledger.reserve(Purpose::Notices, 4 * KB).expect("room");
    assert_eq!(reserve.grow(5 * KB), Ok(()));
    assert_eq!(reserve.grow(2 * KB).expect_err("no room").why, RefusalCause::Cap);
    assert_eq!((reserve.bytes(), ledger.held(Purpose::Notices)), (9 * KB, 9 * KB));
    drop(reserve);
    assert_eq!(ledger.held(Purpose::Notices), 0);
}

#[test]
fn one_client_cannot_use_the_whole_cap_and_its_connections_count_together() {
    let ledger = ledger(&[(Purpose::BodiesRead, 100 * KB)], 0.4);
    let at = |text: &str| ledger.client_account(Client::at(text.parse().expect("an address")));
    let (first, first_again, other) = (at("2001:db8::1"), at("2001:db8::2:1"), at("2001:db8:0:1::1"));
    let charge =
        |account: &ClientAccount, kb: u64| ledger.try_charge(Purpose::BodiesRead, kb * KB, Some(account));
    // A single client may exceed its share until the purpose is tight.
    let held: Vec<Charge> = (0..6).map(|_| charge(&first, 10).expect("room")).collect();
    let refused = charge(&first_again, 10).expect_err("the same client");
    assert_eq!(
        (refused.why, refused.reason().to_string().as_str()),
        (RefusalCause::Share, "share-bodies_read")
    );
    let others: Vec<Charge> = (0..4).map(|_| charge(&other, 10).expect("room for other clients")).collect();
    assert_eq!(charge(&other, 1).expect_err("at the cap").why, RefusalCause::Cap);
    assert_eq!(ledger.clients(), 2);
    drop((held, others, first, other));
    assert_eq!(ledger.clients(), 1, "one account of the first client is left");
    drop(first_again);
    assert_eq!((ledger.clients(), ledger.held(Purpose::BodiesRead)), (0, 0));
}

#[test]
fn a_cap_lowered_below_the_usage_drops_nothing_and_refuses_until_usage_fits() {
    let ledger = ledger(&[(Purpose::Messages, 1000 * KB)], 1.0);
    let mut held: Vec<Charge> =
        (0..9).map(|_| ledger.try_charge(Purpose::Messages, 100 * KB, None).expect("room")).collect();
    let lower = ByPurpose::new(|p| (p == Purpose::Messages).then_some(CapSetting::Size(100 * KB)));
    ledger.set_caps(&Caps::new(None, &lower).expect("valid caps"), 1.0);
    assert_eq!(ledger.held(Purpose::Messages), 900 * KB);
    while held.pop().is_some() {
        let fits = ledger.try_charge(Purpose::Messages, 50 * KB, None).is_ok();
        assert_eq!(fits, ledger.held(Purpose::Messages) <= 50 * KB);
    }
}

#[test]
fn a_process_at_its_memory_limit_refuses_new_work_for_every_purpose() {
    let ledger = Ledger::new(&Caps::new(Some(32_000_000), &ByPurpose::default()).expect("valid caps"), 1.0);
    let second = |n: u64| Time::from_secs(n);
    ledger.set_resident(31_000_000);
    let changes = ledger.tick(second(1));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].to_string().contains("total is full, was ample: 31 MB of 32 MB"), "{}", changes[0]);
    let refused = ledger.try_charge(Purpose::Messages, 10, None).expect_err("full");
    assert_eq!((refused.why, refused.reason().to_string().as_str()), (RefusalCause::Total, "memory-total"));
    assert!(ledger.retry_after(&refused, second(1)) >= Duration::from_millis(50));
    // Memory for accepted messages is still charged.
    drop(ledger.force_charge(Purpose::Messages, 10));
    ledger.set_resident(29_000_000);
    assert!(ledger.tick(second(2)).is_empty(), "still above the lower threshold");
    ledger.set_resident(20_000_000);
    assert_eq!(ledger.tick(second(3))[0].now, Level::Ample);
    assert!(ledger.try_charge(Purpose::Messages, 10, None).is_ok());
}
