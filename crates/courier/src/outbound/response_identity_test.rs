use super::*;

fn identity(status: u16, fields: &[(&'static str, &'static str)], body: &str) -> ResponseIdentity {
    let field = |(name, value): &(&'static str, &'static str)| {
        (name.parse().expect("a name"), value.parse().expect("a value"))
    };
    let headers = fields.iter().map(field).collect();
    ResponseIdentity::of(StatusCode::from_u16(status).expect("a status"), &headers, body.as_bytes())
}

#[test]
fn copy_of_an_answer_has_its_identity_also_with_another_date() {
    let answer = identity(200, &[("Date", "Fri, 04 Dec 2026 05:00:00 GMT")], "receipt 17");
    assert_eq!(answer, identity(200, &[("Date", "Fri, 04 Dec 2026 05:00:01 GMT")], "receipt 17"));
    let bare = identity(204, &[("Date", "Fri, 04 Dec 2026 05:00:00 GMT")], "");
    assert_eq!(bare, identity(204, &[("Date", "Fri, 04 Dec 2026 05:00:01 GMT")], ""));
    assert_ne!(answer, identity(200, &[], "receipt 18"));
    assert_ne!(answer, identity(500, &[], "receipt 17"));
    let refusal = identity(503, &[("X-Server-Load", "TEXT x0=0.4, x1=25")], "");
    assert_ne!(refusal, identity(503, &[("X-Server-Load", "TEXT x0=0.3, x1=25")], ""));
}

#[test]
fn answers_that_name_their_request_differ() {
    let first = identity(200, &[("X-Request-ID", "m1")], "ok");
    assert_ne!(first, identity(200, &[("X-Request-ID", "m2")], "ok"));
}

fn body(text: &str) -> ResponseIdentity {
    identity(200, &[], text)
}

const FIRST: EndpointId = EndpointId(1);
const SECOND: EndpointId = EndpointId(2);

#[test]
fn answers_are_expected_to_differ_only_where_another_of_their_status_did() {
    let mut histories = ResponseHistories::default();
    assert_eq!(histories.add(FIRST, body("a")), Expectation::Alike, "nothing is known yet");
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Differs);
    let refusal = identity(503, &[], "");
    assert_eq!(histories.add(FIRST, refusal), Expectation::Alike, "nothing is known of refusals");
    assert_eq!(histories.add(FIRST, refusal), Expectation::Alike, "refusals are alike");
    assert_eq!(histories.add(FIRST, body("c")), Expectation::Differs);
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Alike);
}

#[test]
fn first_answer_of_an_endpoint_is_presumed_to_differ_where_those_of_others_do() {
    let mut histories = ResponseHistories::default();
    histories.add(FIRST, body("a"));
    assert_eq!(histories.add(SECOND, body("b")), Expectation::Presumed);
    histories.forget(SECOND);
    assert_eq!(histories.add(SECOND, body("b")), Expectation::Alike, "the same answer from anyone");
    assert_eq!(histories.add(SECOND, body("b")), Expectation::Alike, "its own answers are alike");
}

#[test]
fn history_forgets_what_is_old_but_not_for_answers_of_another_status() {
    let mut histories = ResponseHistories::default();
    histories.add(FIRST, body("first"));
    histories.add(FIRST, identity(503, &[], "full"));
    for n in 0..HISTORY {
        histories.add(FIRST, body(&n.to_string()));
    }
    assert_eq!(histories.add(FIRST, body("first")), Expectation::Differs);
    assert_eq!(histories.add(FIRST, identity(503, &[], "full")), Expectation::Alike);
    assert_eq!(histories.add(FIRST, identity(503, &[], "shut")), Expectation::Differs);
}

#[test]
fn nothing_is_expected_of_more_statuses_than_are_remembered() {
    let mut histories = ResponseHistories::default();
    for status in 200..200 + MAX_STATUSES as u16 {
        histories.add(FIRST, identity(status, &[], "a"));
    }
    for text in ["a", "b", "c"] {
        assert_eq!(histories.add(FIRST, identity(599, &[], text)), Expectation::Alike);
    }
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Differs);
}
