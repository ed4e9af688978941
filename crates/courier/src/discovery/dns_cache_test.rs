use super::*;

fn s(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn ip(last: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last])
}

fn cache() -> DnsCache {
    let mut cache = DnsCache::new(s(1), s(300));
    cache.set_names(&BTreeSet::from(["a".to_owned()]), s(0));
    cache
}

#[test]
fn a_name_is_looked_up_again_after_its_time_to_live_within_bounds() {
    for (ttl, next) in [(60, 60), (0, 1), (100_000, 300)] {
        let mut cache = cache();
        assert_eq!(cache.take_due(s(0)), ["a"]);
        assert_eq!(cache.take_due(s(0)), [] as [&str; 0], "its lookup is in flight");
        let change = cache.answered("a", &[ip(1)], s(ttl), s(0)).expect("a change");
        assert_eq!((change.added, change.removed), (vec![ip(1)], vec![]));
        assert_eq!(cache.next_due(), Some(s(next)));
    }
}

#[test]
fn a_failed_lookup_keeps_the_last_addresses_and_reports_their_age() {
    let mut cache = cache();
    cache.take_due(s(0));
    assert_eq!(cache.failed("a", s(0)), Some(LookupFailure { first: true, age: None }));
    cache.take_due(s(10));
    cache.answered("a", &[ip(1)], s(5), s(10));
    for (n, at) in [(0, 20), (1, 30), (2, 50)] {
        cache.take_due(s(at));
        assert_eq!(cache.failed("a", s(at)), Some(LookupFailure { first: n == 0, age: Some(s(at - 10)) }));
        assert_eq!(cache.addresses("a"), [ip(1)]);
    }
    cache.take_due(s(90));
    assert_eq!(cache.answered("a", &[ip(1)], s(5), s(90)), None, "the addresses are unchanged");
}

#[test]
fn failed_lookups_are_retried_with_growing_pauses() {
    let mut cache = cache();
    let mut now = s(0);
    let mut pauses = Vec::new();
    for _ in 0..12 {
        assert_eq!(cache.take_due(now).len(), 1);
        cache.failed("a", now);
        let next = cache.next_due().expect("a time");
        pauses.push(next - now);
        now = next;
    }
    assert!(
        pauses.is_sorted() && pauses[0] == INITIAL_RETRY_PAUSE && pauses[11] == MAX_RETRY_PAUSE,
        "{pauses:?}"
    );
}

#[test]
fn a_name_no_longer_in_use_loses_its_addresses_and_a_late_answer_is_ignored() {
    let mut cache = cache();
    cache.take_due(s(0));
    cache.answered("a", &[ip(1), ip(2)], s(5), s(0));
    let dropped = cache.set_names(&BTreeSet::new(), s(1));
    assert_eq!(dropped, [AddressChange { name: "a".to_owned(), added: vec![], removed: vec![ip(1), ip(2)] }]);
    assert_eq!(cache.answered("a", &[ip(3)], s(5), s(2)), None);
    assert_eq!(cache.next_due(), None);
}
