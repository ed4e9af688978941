use super::*;
use hyper::StatusCode;

fn read(text: &str) -> Option<(f64, f64)> {
    let mut headers = HeaderMap::new();
    headers.insert("X-Server-Load", text.parse().expect("a header"));
    load_report(&headers).map(|r| (r.remaining_share, r.limit))
}

#[test]
fn refused_connection_is_distinguished_from_a_limit_and_from_an_unreachable_endpoint() {
    let of = |heads: &[(&'static str, &'static str)]| {
        let heads = heads
            .iter()
            .map(|(name, value)| (name.parse().expect("a name"), value.parse().expect("a value")));
        let (status, received_at) = (StatusCode::SERVICE_UNAVAILABLE, Instant::now());
        classify(
            Ok(HttpResponse {
                status,
                headers: heads.collect(),
                received_at,
                complete: true,
                reusable: Ok(()),
                identity: None,
            }),
            ResponseProgress::default(),
            &AnswerProfile::platform(),
        )
        .outcome
    };
    assert_eq!(of(&[("connection", "close")]), Outcome::Crowded);
    assert_eq!(of(&[]), Outcome::Full { wait: None });
    assert_eq!(of(&[("slots-taken", "1"), ("connection", "close")]), Outcome::Moot);
    assert_eq!(
        classify(Err(RequestError::NotSent), ResponseProgress::default(), &AnswerProfile::platform()).outcome,
        Outcome::ConnectFailed
    );
}

#[test]
fn valid_load_reports_are_parsed_and_malformed_ones_are_ignored() {
    assert_eq!(read("TEXT x0=0.4, x1=25"), Some((0.4, 25.0)));
    assert_eq!(read("TEXT  x1=2.5 ,x0=0"), Some((0.0, 2.5)));
    for bad in ["", "TEXT", "TEXT x0=0.4", "TEXT x0=a, x1=2", "TEXT x0=NaN, x1=2", "x0 x1"] {
        assert_eq!(read(bad), None, "{bad}");
    }
}

// Guards against resending a message whose 410 was only partly read when the attempt timed out, failed or was
// cancelled (incident 9421da).
#[test]
fn attempt_that_received_410_is_the_last_one_however_it_ends() {
    let gone = ResponseProgress { status: Some(410), ..ResponseProgress::default() };
    let platform = AnswerProfile::platform();
    let called_off = without_response(Outcome::Cancelled, "called off");
    for end in [
        interpret(Err(RequestError::ConnectionBroken), None, &platform),
        interpret(Err(RequestError::TimedOut), None, &platform),
        called_off,
    ] {
        assert_eq!(end.after, AfterAttempt::RetryAllowed);
        assert_eq!(apply_gone(end, gone, &platform).after, AfterAttempt::FailWithoutRetry);
    }
    let other = ResponseProgress { status: Some(503), ..ResponseProgress::default() };
    assert_eq!(
        classify(Err(RequestError::ConnectionBroken), other, &platform).after,
        AfterAttempt::RetryAllowed
    );
}

/// The end of a call by the default profile.
fn by_default(status: u16, complete: bool, headers: &[(&'static str, &'static str)]) -> CallResult {
    let headers =
        headers.iter().map(|(name, value)| (name.parse().expect("a name"), value.parse().expect("a value")));
    let response = HttpResponse {
        status: StatusCode::from_u16(status).expect("a status"),
        headers: headers.collect(),
        received_at: Instant::now(),
        complete,
        reusable: Ok(()),
        identity: None,
    };
    let progress = ResponseProgress { status: Some(status), ..ResponseProgress::default() };
    classify(Ok(response), progress, &AnswerProfile::default())
}

#[test]
fn outcome_and_further_handling_follow_the_profile() {
    for (status, headers, outcome, after) in [
        (201, &[][..], Outcome::Delivered, AfterAttempt::Settled),
        (404, &[], Outcome::Rejected, AfterAttempt::Rejected),
        (410, &[], Outcome::Rejected, AfterAttempt::Rejected),
        (504, &[], Outcome::Error, AfterAttempt::RetryAllowed),
        (503, &[("slots-taken", "1")], Outcome::Refused { wait: None }, AfterAttempt::RetryAllowed),
        (503, &[("connection", "close")], Outcome::Crowded, AfterAttempt::RetryAllowed),
    ] {
        let end = by_default(status, true, headers);
        assert_eq!(
            (end.outcome, end.after, end.status),
            (outcome, after, Some(status)),
            "{status} {headers:?}"
        );
    }
}

#[test]
fn incomplete_response_proves_nothing_but_a_delivery_and_410_forbids_a_repeat_nevertheless() {
    for (status, outcome, after) in [
        (204, Outcome::Delivered, AfterAttempt::Settled),
        (404, Outcome::Reset, AfterAttempt::RetryAllowed),
        (503, Outcome::Reset, AfterAttempt::RetryAllowed),
        (410, Outcome::Reset, AfterAttempt::FailWithoutRetry),
    ] {
        let end = by_default(status, false, &[]);
        assert_eq!((end.outcome, end.after), (outcome, after), "{status}");
    }
}
