use super::*;

#[test]
fn an_unterminated_line_beyond_the_limit_is_an_error() {
    let mut lines = LineBuffer::new(10);
    assert_eq!(lines.push(b"one\ntwo\nthree"), Ok(()));
    assert_eq!(lines.by_ref().collect::<Vec<_>>(), [b"one".to_vec(), b"two".to_vec()]);
    assert!(lines.has_buffered_bytes());
    assert_eq!(lines.push(b"45678"), Ok(()));
    assert_eq!(lines.push(b"9"), Err(LineTooLong));
}
