use super::*;

fn identity(status: u16, fields: &[(&'static str, &'static str)], body: &str) -> ResponseIdentity {
    let field = |(name, value): &(&'static str, &'static str)| {
        (name.parse().expect("a name"), value.parse().expect("a value"))
    };
    let headers = fields.iter().map(field).collect();
    ResponseIdentity::of(StatusCode::from_u16(status).expect("a status"), &headers, body.as_bytes())
}

#[test]
fn duplicate_of_a_response_has_the_same_identity_even_with_another_date() {
    let response = identity(200, &[("Date", "Fri, 04 Dec 2026 05:00:00 GMT")], "receipt 17");
    assert_eq!(response, identity(200, &[("Date", "Fri, 04 Dec 2026 05:00:01 GMT")], "receipt 17"));
    let bare = identity(204, &[("Date", "Fri, 04 Dec 2026 05:00:00 GMT")], "");
    assert_eq!(bare, identity(204, &[("Date", "Fri, 04 Dec 2026 05:00:01 GMT")], ""));
    assert_ne!(response, identity(200, &[], "receipt 18"));
    assert_ne!(response, identity(500, &[], "receipt 17"));
    let refusal = identity(503, &[("X-Server-Load", "TEXT x0=0.4, x1=25")], "");
    assert_ne!(refusal, identity(503, &[("X-Server-Load", "TEXT x0=0.3, x1=25")], ""));
}

#[test]
fn responses_with_different_request_ids_differ() {
    let first = identity(200, &[("X-Request-ID", "m1")], "ok");
    assert_ne!(first, identity(200, &[("X-Request-ID", "m2")], "ok"));
}

fn body(text: &str) -> ResponseIdentity {
    identity(200, &[], text)
}

const FIRST: EndpointId = EndpointId(1);
const SECOND: EndpointId = EndpointId(2);

#[test]
fn responses_are_expected_to_differ_only_if_others_of_their_status_did() {
    let mut histories = ResponseHistories::default();
    assert_eq!(histories.add(FIRST, body("a")), Expectation::Identical, "there is no history yet");
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Distinct);
    let refusal = identity(503, &[], "");
    assert_eq!(histories.add(FIRST, refusal), Expectation::Identical, "there is no history of 503");
    assert_eq!(histories.add(FIRST, refusal), Expectation::Identical, "responses with 503 are identical");
    assert_eq!(histories.add(FIRST, body("c")), Expectation::Distinct);
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Identical);
}

#[test]
fn first_response_of_an_endpoint_is_presumed_to_differ_if_those_of_others_do() {
    let mut histories = ResponseHistories::default();
    histories.add(FIRST, body("a"));
    assert_eq!(histories.add(SECOND, body("b")), Expectation::PresumedDistinct);
    histories.forget(SECOND);
    assert_eq!(
        histories.add(SECOND, body("b")),
        Expectation::Identical,
        "the same response from any endpoint"
    );
    assert_eq!(histories.add(SECOND, body("b")), Expectation::Identical, "its own responses are identical");
}

#[test]
fn old_responses_are_displaced_only_by_responses_of_the_same_status() {
    let mut histories = ResponseHistories::default();
    histories.add(FIRST, body("first"));
    histories.add(FIRST, identity(503, &[], "full"));
    for n in 0..MAX_HISTORY {
        histories.add(FIRST, body(&n.to_string()));
    }
    assert_eq!(histories.add(FIRST, body("first")), Expectation::Distinct);
    assert_eq!(histories.add(FIRST, identity(503, &[], "full")), Expectation::Identical);
    assert_eq!(histories.add(FIRST, identity(503, &[], "shut")), Expectation::Distinct);
}

#[test]
fn responses_of_statuses_beyond_the_limit_are_not_expected_to_differ() {
    let mut histories = ResponseHistories::default();
    for status in 200..200 + MAX_STATUSES as u16 {
        histories.add(FIRST, identity(status, &[], "a"));
    }
    for text in ["a", "b", "c"] {
        assert_eq!(histories.add(FIRST, identity(599, &[], text)), Expectation::Identical);
    }
    assert_eq!(histories.add(FIRST, body("b")), Expectation::Distinct);
}
