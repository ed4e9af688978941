use super::*;

#[test]
fn timeouts_have_a_number_and_a_unit() {
    assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
    for bad in ["", "m", "480", "0m", "-1m", "+1m", "1.5m", "4s", "é", "99999999999999999999m", "86400001m"]
    {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
}
