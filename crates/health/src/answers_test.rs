use super::*;
use proptest::prelude::*;

fn class(text: &str) -> StatusPattern {
    StatusPattern::parse_class(text).expect("a class")
}

fn exact(status: u16) -> StatusPattern {
    StatusPattern::exact(status).expect("a status")
}

fn bare(profile: &AnswerProfile, status: u16) -> Answer {
    profile.classify(status, ResponseFields::default())
}

#[test]
fn default_profile_is_that_of_rfc_9110() {
    let profile = AnswerProfile::default();
    let here = Answer::NeverRanHere { wait: None };
    for (statuses, answer) in [
        (&[200, 201, 202, 204, 206, 299][..], Answer::Delivered),
        (&[300, 301, 304, 307, 308, 400, 401, 404, 409, 410, 413, 422, 499], Answer::Rejected),
        (&[408, 500, 501, 502, 504, 599, 600, 999, 100, 101], Answer::MayHaveRun),
        (&[421, 425, 503], here),
        (&[429], Answer::NeverRanAnywhere { wait: None }),
    ] {
        for status in statuses {
            assert_eq!(bare(&profile, *status), answer, "{status}");
        }
    }
}

#[test]
fn told_wait_of_a_refusal_holds_for_the_scope_of_the_profile() {
    let wait = Some(Duration::from_secs(3));
    let fields = ResponseFields { wait, closes_connection: true, ..ResponseFields::default() };
    let lists = AnswerLists { wait_scope: WaitScope::Endpoint, ..AnswerLists::default() };
    let endpoint_scope = AnswerProfile::new(&lists).expect("valid");
    for status in [421, 425, 429, 503] {
        let profile = AnswerProfile::default();
        assert_eq!(profile.classify(status, fields), Answer::NeverRanAnywhere { wait }, "{status}");
        assert_eq!(endpoint_scope.classify(status, fields), Answer::NeverRanHere { wait }, "{status}");
    }
    assert_eq!(bare(&endpoint_scope, 429), Answer::NeverRanHere { wait: None });
    assert_eq!(AnswerProfile::default().classify(500, fields), Answer::MayHaveRun);
}

#[test]
fn refused_connection_is_no_refusal_by_the_whole_endpoint() {
    let fields = ResponseFields { closes_connection: true, ..ResponseFields::default() };
    assert_eq!(AnswerProfile::default().classify(503, fields), Answer::ConnectionRefused);
    assert_eq!(AnswerProfile::default().classify(421, fields), Answer::NeverRanHere { wait: None });
}

#[test]
fn untrusted_refusals_may_have_run() {
    let profile = AnswerProfile::new(&AnswerLists { refused: Some(vec![]), ..AnswerLists::default() });
    let profile = profile.expect("valid");
    for status in [421, 425, 429, 503] {
        assert_eq!(bare(&profile, status), Answer::MayHaveRun, "{status}");
    }
    assert!(profile.heeds_retry_after(503) && profile.heeds_retry_after(429), "told waits hold nevertheless");
}

#[test]
fn exact_statuses_come_before_classes_and_configured_lists_before_defaults() {
    let lists = AnswerLists {
        delivered: Some(vec![class("2xx"), exact(409), class("4xx")]),
        rejected: Some(vec![exact(202), exact(503)]),
        ..AnswerLists::default()
    };
    let profile = AnswerProfile::new(&lists).expect("valid");
    for (status, meaning) in [
        (200, Meaning::Delivered),
        (202, Meaning::Rejected),
        (409, Meaning::Delivered),
        (404, Meaning::Delivered),
        (408, Meaning::MayHaveRun),
        (429, Meaning::Refused),
        (503, Meaning::Rejected),
        (302, Meaning::MayHaveRun),
    ] {
        assert_eq!(profile.meaning(status), meaning, "{status}");
    }
}

#[test]
fn contradictory_lists_are_all_reported() {
    let lists = AnswerLists {
        delivered: Some(vec![]),
        rejected: Some(vec![exact(404), class("5xx")]),
        may_have_run: Some(vec![class("5xx")]),
        refused: Some(vec![exact(503), exact(404), class("7xx")]),
        wait_scope: WaitScope::Pool,
    };
    let in_two = |list, pattern| ProfileError::InTwoLists { list, pattern, other: AnswerList::Rejected };
    let expected = vec![
        in_two(AnswerList::MayHaveRun, class("5xx")),
        in_two(AnswerList::Refused, exact(404)),
        ProfileError::RefusedClass { pattern: class("7xx") },
        ProfileError::NothingDelivered,
    ];
    assert_eq!(AnswerProfile::new(&lists), Err(expected));
}

#[test]
fn only_statuses_of_final_responses_are_patterns() {
    for status in [0, 99, 100, 199, 1000, u16::MAX] {
        assert_eq!(StatusPattern::exact(status), None, "{status}");
    }
    for text in ["", "2", "2x", "1xx", "0xx", "xxx", "2XX", "2xxx", "20x", "é"] {
        assert_eq!(StatusPattern::parse_class(text), None, "{text:?}");
    }
}

#[test]
fn platform_profile_is_that_of_its_protocol() {
    let profile = AnswerProfile::platform();
    let wait = Some(Duration::from_millis(700));
    let told = ResponseFields { wait, ..ResponseFields::default() };
    let slots = ResponseFields { slots_taken: true, closes_connection: true, ..ResponseFields::default() };
    let closes = ResponseFields { closes_connection: true, ..ResponseFields::default() };
    assert_eq!(profile.classify(429, told), Answer::NeverRanAnywhere { wait });
    assert_eq!(profile.classify(503, slots), Answer::Unprocessed);
    assert_eq!(profile.classify(503, closes), Answer::ConnectionRefused);
    assert_eq!(bare(&profile, 503), Answer::NeverRanAnywhere { wait: None });
    assert_eq!(bare(&profile, 410), Answer::Withdrawn);
    assert_eq!(bare(&profile, 504), Answer::Unprocessed);
    for status in (100..=999).filter(|status| ![200, 410, 429, 503, 504].contains(status)) {
        assert_eq!(bare(&profile, status), Answer::MayHaveRun, "{status}");
    }
    assert!((100..=999).all(|status| !profile.heeds_retry_after(status)));
}

fn pattern() -> impl Strategy<Value = StatusPattern> {
    prop_oneof![(200u16..=999).prop_map(StatusPattern::Exact), (2u8..=9).prop_map(StatusPattern::Class)]
}

fn list() -> impl Strategy<Value = Option<Vec<StatusPattern>>> {
    proptest::option::of(proptest::collection::vec(pattern(), 0..8))
}

prop_compose! {
    fn lists()(
        delivered in list(),
        rejected in list(),
        may_have_run in list(),
        refused in list(),
        by_endpoint in any::<bool>(),
    ) -> AnswerLists {
        let wait_scope = if by_endpoint { WaitScope::Endpoint } else { WaitScope::Pool };
        AnswerLists { delivered, rejected, may_have_run, refused, wait_scope }
    }
}

prop_compose! {
    fn fields()(
        wait in proptest::option::of(any::<Duration>()),
        closes_connection in any::<bool>(),
        slots_taken in any::<bool>(),
    ) -> ResponseFields {
        ResponseFields { wait, closes_connection, slots_taken }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_status_has_an_answer_that_fits_the_most_exact_list_that_names_it(
        lists in lists(),
        fields in fields(),
    ) {
        let Ok(profile) = AnswerProfile::new(&lists) else { return Ok(()) };
        for status in 100..=999 {
            let answer = profile.classify(status, fields);
            let never_ran =
                matches!(answer, Answer::NeverRanHere { .. } | Answer::NeverRanAnywhere { .. } | Answer::ConnectionRefused);
            let pattern = StatusPattern::Exact(status);
            let refused = lists.refused.clone().unwrap_or_else(|| AnswerList::Refused.default_patterns());
            prop_assert!(!never_ran || refused.contains(&pattern), "{status}: {answer:?}");
            let names = |list: &Option<Vec<StatusPattern>>| list.as_ref().is_some_and(|l| l.contains(&pattern));
            if names(&lists.delivered) {
                prop_assert_eq!(answer, Answer::Delivered);
            }
            if names(&lists.rejected) {
                prop_assert_eq!(answer, Answer::Rejected);
            }
            if names(&lists.may_have_run) {
                prop_assert_eq!(answer, Answer::MayHaveRun);
            }
        }
    }

    #[test]
    fn any_retry_after_values_are_read_and_stay_within_the_bound(
        values in proptest::collection::vec(".{0,40}|[0-9]{1,30}", 0..4),
        seconds in 0u64..4_000_000_000,
    ) {
        let now = std::time::UNIX_EPOCH + Duration::from_secs(seconds);
        let wait = crate::retry_after::longest_wait(values.iter().map(String::as_str), now);
        prop_assert!(wait.is_none_or(|w| !w.is_zero() && w <= crate::retry_after::MAX_RETRY_AFTER));
    }
}
