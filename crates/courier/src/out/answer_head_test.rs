use super::*;

#[test]
fn the_first_line_tells_the_status_also_of_what_cannot_be_read() {
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
            let mut first = AnswerHead::default();
            text.as_bytes().chunks(size).for_each(|piece| first.hear(piece));
            assert_eq!(first.status, status, "{text:?} in pieces of {size}");
        }
    }
    let mut first = AnswerHead::default();
    first.hear(b"HTTP/1.1 100 Continue\r\n\r\n");
    assert!(first.begun.is_none(), "the answer itself may still take its time");
}
