use super::*;

#[test]
fn framing_that_could_smuggle_a_request_is_detected() {
    let framing = |text: &str, size| {
        let mut framing = RequestFraming::default();
        text.as_bytes().chunks(size).for_each(|piece| framing.feed(piece));
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
