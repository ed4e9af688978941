use super::*;

#[test]
fn times_have_a_number_and_a_unit() {
    assert_eq!(parse_seconds("1.5s"), Some(1.5));
    assert_eq!(parse_seconds("200ms"), Some(0.2));
    assert_eq!(parse_seconds("-1h"), Some(-3600.0));
    assert_eq!(parse_seconds("2m"), Some(120.0));
    for text in ["", "5", "s", "1 day", "NaNs", "infs", "1e9h"] {
        assert_eq!(parse_seconds(text), None, "{text}");
    }
}
