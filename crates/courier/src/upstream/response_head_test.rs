use super::*;

#[test]
fn status_is_known_from_the_status_line_even_if_the_rest_is_malformed() {
    for (text, status) in [
        ("HTTP/1.1 200 OK\r\n", Some(200)),
        ("HTTP/1.1 200 O", Some(200)),
        ("HTTP/1.0 503\r\n", Some(503)),
        ("\r\nHTTP/1.1 200 OK\r\n\0\0: \x01", Some(200)),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", Some(200)),
        ("HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 500 No\r\n", Some(500)),
        ("HTTP/1.1 103 Hints\r\nX: HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n", None),
        ("HTTP/1.1 200", None),
        ("HTTP/1.1 2000 OK\r\n", None),
        ("HTTP/2.1 200 OK\r\n", None),
        ("\x7fjunk 200 OK and more\r\nHTTP/1.1 200 OK\r\n", None),
    ] {
        for size in [1, 3, 1000] {
            let mut first = ResponseHead::default();
            text.as_bytes().chunks(size).for_each(|piece| first.feed(piece));
            assert_eq!(first.status, status, "{text:?} in pieces of {size}");
        }
    }
    let mut first = ResponseHead::default();
    first.feed(b"HTTP/1.1 100 Continue\r\n\r\n");
    assert!(first.started_at.is_none(), "the time limit of the final response has not started");
}

#[test]
fn status_at_the_end_of_a_partial_status_line_is_only_provisional() {
    for (text, provisional, status) in [
        ("HTTP/1.1 410", Some(410), None),
        ("HTTP/1.1 410 ", None, Some(410)),
        ("HTTP/1.1 41", None, None),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 410", Some(410), None),
        ("noise of 410", None, None),
    ] {
        let mut head = ResponseHead::default();
        head.feed(text.as_bytes());
        assert_eq!((head.provisional_status(), head.status()), (provisional, status), "{text:?}");
    }
}

#[test]
fn wait_is_known_as_soon_as_its_field_is_complete_whatever_follows() {
    let wait = |text: &str, size| {
        let mut head = ResponseHead::default();
        text.as_bytes().chunks(size).for_each(|piece| head.feed(piece));
        head.blocked_until()
            .zip(head.started_at())
            .map(|(until, started_at)| (until - started_at).as_millis())
    };
    for (text, expected) in [
        ("HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\n", Some(900)),
        ("HTTP/1.1 429\r\nwait-ms:900\nno head", Some(900)),
        ("HTTP/1.1 429 No\r\nWait-Ms: 7.5\r\nWait-Ms: 900\r\nWait-Ms: x\r\n\r\n", Some(900)),
        ("HTTP/1.1 100 Continue\r\nWait-Ms: 5\r\n\r\nHTTP/1.1 429 No\r\nWait-Ms: 900\r\n", Some(900)),
        ("HTTP/1.1 429 No\r\nWait-Ms: 900", None),
        ("HTTP/1.1 429 No\r\n\r\nWait-Ms: 900\r\n", None),
        ("HTTP/1.1 429 Wait-Ms: 900\r\nWait-Ms: -1\r\nWait-Ms: 1e9\r\n", None),
        ("HTTP/1.1 503 No\r\nWait-Ms: 900\r\n", None),
    ] {
        for size in [1, 3, 1000] {
            assert_eq!(wait(text, size), expected, "{text:?} in pieces of {size}");
        }
    }
}

#[test]
fn informational_responses_are_counted_up_to_the_bound_and_the_final_response_is_not() {
    let mut head = ResponseHead::default();
    let hints = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    let number = MAX_INFORMATIONAL_BYTES / hints.len();
    (0..number - 1).for_each(|_| head.feed(hints));
    let mut endless = ResponseHead::default();
    (0..=number).for_each(|_| endless.feed(hints));
    assert!(endless.is_endless());
    head.feed(b"HTTP/1.1 200 OK\r\n");
    head.feed(&[b'x'; 2 * MAX_INFORMATIONAL_BYTES]);
    assert_eq!((head.is_endless(), head.status()), (false, Some(200)));
}

#[test]
fn retry_after_is_known_from_its_line_of_the_final_response_and_the_longest_counts() {
    for (text, wait) in [
        ("HTTP/1.1 503 No\r\nRetry-After: 3\r\n", Some(3)),
        ("HTTP/1.1 503 No\r\nretry-after:3\r\nRetry-After: 20\r\nRetry-After: soon\r\n", Some(20)),
        ("HTTP/1.1 503 No\r\nRetry-After: 3", None),
        ("HTTP/1.1 103 Hints\r\nRetry-After: 3\r\n\r\nHTTP/1.1 503 No\r\n\r\n", None),
        ("HTTP/1.1 503 No\r\n\r\nRetry-After: 3\r\n", None),
        ("HTTP/1.1 503 No\r\nRetry-After: Sun, 06 Nov 1994 08:49:37 GMT\r\n", None),
        ("HTTP/1.1 503 No\r\nRetry-After: Fri, 31 Dec 9999 23:59:59 GMT\r\n", Some(24 * 3600)),
    ] {
        for size in [1, 3, 1000] {
            let mut head = ResponseHead::default();
            text.as_bytes().chunks(size).for_each(|piece| head.feed(piece));
            assert_eq!(head.retry_after, wait.map(Duration::from_secs), "{text:?} in pieces of {size}");
            assert_eq!(head.retry_after().is_some(), wait.is_some());
        }
    }
}
