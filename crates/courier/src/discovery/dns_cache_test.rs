use super::*;

fn s(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn ip(last: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last])
}

fn names() -> DnsCache {
    let mut names = DnsCache::new(s(1), s(300));
    names.set(&BTreeSet::from(["a".to_owned()]), s(0));
    names
}

#[test]
fn an_answer_is_asked_for_again_after_its_time_to_live_within_bounds() {
    for (ttl, next) in [(60, 60), (0, 1), (100_000, 300)] {
        let mut names = names();
        assert_eq!(names.due(s(0)), ["a"]);
        assert_eq!(names.due(s(0)), [] as [&str; 0], "it is out");
        let change = names.answered("a", &[ip(1)], s(ttl), s(0)).expect("a change");
        assert_eq!((change.added, change.removed), (vec![ip(1)], vec![]));
        assert_eq!(names.next(), Some(s(next)));
    }
}

#[test]
fn a_failed_look_up_keeps_the_last_good_answer_and_says_how_old_it_is() {
    let mut names = names();
    names.due(s(0));
    assert_eq!(names.failed("a", s(0)), Some(LookupFailure { first: true, age: None }));
    names.due(s(10));
    names.answered("a", &[ip(1)], s(5), s(10));
    for (n, at) in [(0, 20), (1, 30), (2, 50)] {
        names.due(s(at));
        assert_eq!(names.failed("a", s(at)), Some(LookupFailure { first: n == 0, age: Some(s(at - 10)) }));
        assert_eq!(names.addresses("a"), [ip(1)]);
    }
    names.due(s(90));
    assert_eq!(names.answered("a", &[ip(1)], s(5), s(90)), None, "as it was");
}

#[test]
fn failures_are_tried_again_ever_more_seldom() {
    let mut names = names();
    let mut now = s(0);
    let mut pauses = Vec::new();
    for _ in 0..12 {
        assert_eq!(names.due(now).len(), 1);
        names.failed("a", now);
        let next = names.next().expect("a time");
        pauses.push(next - now);
        now = next;
    }
    assert!(pauses.is_sorted() && pauses[0] == RETRY_FIRST && pauses[11] == RETRY_MOST, "{pauses:?}");
}

#[test]
fn a_name_that_is_used_no_more_gives_up_its_addresses_and_a_late_answer_changes_nothing() {
    let mut names = names();
    names.due(s(0));
    names.answered("a", &[ip(1), ip(2)], s(5), s(0));
    let dropped = names.set(&BTreeSet::new(), s(1));
    assert_eq!(dropped, [AddressChange { name: "a".to_owned(), added: vec![], removed: vec![ip(1), ip(2)] }]);
    assert_eq!(names.answered("a", &[ip(3)], s(5), s(2)), None);
    assert_eq!(names.next(), None);
}
