use super::*;

fn read(text: &str) -> Option<(f64, f64)> {
    let mut headers = HeaderMap::new();
    headers.insert("X-Server-Load", text.parse().expect("a header"));
    report(&headers).map(|r| (r.remaining_share, r.limit))
}

#[test]
fn a_connection_that_is_turned_away_is_told_apart_from_a_limit_and_from_an_endpoint_out_of_reach() {
    let of = |heads: &[(&'static str, &'static str)]| {
        let heads = heads
            .iter()
            .map(|(name, value)| (name.parse().expect("a name"), value.parse().expect("a value")));
        let (status, at) = (StatusCode::SERVICE_UNAVAILABLE, Instant::now());
        ended(
            Ok(HttpResponse {
                status,
                headers: heads.collect(),
                at,
                whole: true,
                reusable: Ok(()),
                identity: None,
            }),
            ResponseProgress::default(),
        )
        .outcome
    };
    assert_eq!(of(&[("connection", "close")]), Outcome::Crowded);
    assert_eq!(of(&[]), Outcome::Full { wait: None });
    assert_eq!(of(&[("slots-taken", "1"), ("connection", "close")]), Outcome::Moot);
    assert_eq!(
        ended(Err(RequestError::NotSent), ResponseProgress::default()).outcome,
        Outcome::ConnectFailed
    );
}

#[test]
fn reports_are_read_and_nonsense_is_none() {
    assert_eq!(read("TEXT x0=0.4, x1=25"), Some((0.4, 25.0)));
    assert_eq!(read("TEXT  x1=2.5 ,x0=0"), Some((0.0, 2.5)));
    for bad in ["", "TEXT", "TEXT x0=0.4", "TEXT x0=a, x1=2", "TEXT x0=NaN, x1=2", "x0 x1"] {
        assert_eq!(read(bad), None, "{bad}");
    }
}

// Guards against a message that is sent again although its 410 was half read when its attempt timed out, broke or was
// called off (incident 9421da).
#[test]
fn an_attempt_that_has_heard_410_is_the_last_one_however_it_ends() {
    let gone = ResponseProgress { status: Some(410), ..ResponseProgress::default() };
    let called_off = unanswered(Outcome::Cancelled, "called off");
    for end in [
        proven(Err(RequestError::ConnectionBroken), None),
        proven(Err(RequestError::TimedOut), None),
        called_off,
    ] {
        assert_eq!(end.after, AfterAttempt::RetryAllowed);
        assert_eq!(restrained(end, gone).after, AfterAttempt::FailWithoutRetry);
    }
    let other = ResponseProgress { status: Some(503), ..ResponseProgress::default() };
    assert_eq!(ended(Err(RequestError::ConnectionBroken), other).after, AfterAttempt::RetryAllowed);
}
