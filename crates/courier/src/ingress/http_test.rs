use super::*;

#[test]
fn frames_that_could_hide_a_request_are_seen() {
    let framing = |text: &str, size| {
        let mut framing = Framing::default();
        text.as_bytes().chunks(size).for_each(|piece| framing.hear(piece));
        framing
    };
    for size in [1, 7, 1000] {
        let good = framing("\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nContent: x\r\n\r\nabc", size);
        assert_eq!((good.lengths, good.behind), (1, 3));
        assert!(good.fault(Some(3)).is_none() && good.fault(Some(2)).is_some() && good.fault(None).is_some());
        let two = framing("POST / HTTP/1.1\ncontent-length: 3\nCONTENT-LENGTH: 3\n\nabc", size);
        assert!(two.fault(Some(3)).is_some());
    }
}

#[test]
fn envelopes_name_a_destination() {
    assert_eq!(envelope("dest=7"), Some(7));
    assert_eq!(envelope("a=1, dest=12"), Some(12));
    for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "test=7", "dest=99999999999999999999999"] {
        assert_eq!(envelope(bad), None, "{bad}");
    }
}
