use super::*;

#[test]
fn framing_that_could_smuggle_a_request_is_detected() {
    let framing = |text: &str, size| {
        let mut framing = RequestFraming::default();
        text.as_bytes().chunks(size).for_each(|piece| {
            framing.feed(piece);
        });
        framing
    };
    for size in [1, 7, 1000] {
        let good = framing("\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nContent: x\r\n\r\nabc", size);
        assert_eq!((good.content_lengths, good.bytes_after_head), (1, 3));
        assert!(good.error(Some(3)).is_none() && good.error(Some(2)).is_some() && good.error(None).is_some());
        let two = framing("POST / HTTP/1.1\ncontent-length: 3\nCONTENT-LENGTH: 3\n\nabc", size);
        assert!(two.error(Some(3)).is_some());
    }
}

// Guards against the rest of a refused request's body read as the head of the next request, which was refused then.
#[test]
fn the_rest_of_a_body_is_no_part_of_the_next_request() {
    let body = "a\n\nContent-Length: 1\nContent-Length: 2\n\n";
    let first = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let next = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    for read in 0..=body.len() {
        for size in [1, 7, 1000] {
            let mut framing = RequestFraming::default();
            framing.feed(format!("{first}{}", &body[..read]).as_bytes());
            framing = framing.next(body.len() as u64);
            let rest_of_body = body.as_bytes()[read..].chunks(size).any(|piece| framing.feed(piece));
            assert!(!rest_of_body, "{read} {size}: taken for a request");
            assert!(next.as_bytes().chunks(size).all(|piece| framing.feed(piece)), "{read} {size}");
            assert_eq!((framing.content_lengths, framing.bytes_after_head), (1, 3), "{read} {size}");
        }
    }
}

#[test]
fn one_read_may_hold_the_end_of_a_body_and_the_next_request() {
    let mut framing = RequestFraming::default();
    framing.feed(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\na");
    framing = framing.next(4);
    assert!(framing.feed(b"bcdPOST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"));
    assert_eq!((framing.content_lengths, framing.bytes_after_head), (1, 1));
}

// Guards against bytes of a request that are taken for the rest of a body which came before its head was followed.
#[test]
fn a_request_behind_two_that_came_at_once_is_not_taken_for_a_body() {
    let second = "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n".to_owned() + &"x".repeat(50);
    let mut framing = RequestFraming::default();
    framing.feed(format!("GET / HTTP/1.1\r\n\r\n{second}").as_bytes());
    framing = framing.next(0);
    framing = framing.next(50);
    assert!(framing.feed(b"POST / HTTP/1.1\r\nHost:"), "the beginning of the third request");
}
