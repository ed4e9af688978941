use super::*;

/// Sun, 06 Nov 1994 08:49:37 GMT, the example of RFC 9110.
const NOW_SECONDS: u64 = 784_111_777;

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(NOW_SECONDS)
}

fn seconds(value: &str) -> Option<u64> {
    wait_of(value, now()).map(|wait| wait.as_secs())
}

#[test]
fn delay_in_seconds_is_a_wait_up_to_the_bound() {
    let most = MAX_RETRY_AFTER.as_secs();
    for (value, expected) in [
        ("1", Some(1)),
        (" 120 ", Some(120)),
        ("007", Some(7)),
        ("86400", Some(most)),
        ("86401", Some(most)),
        ("99999999999999999999999999", Some(most)),
        ("0", None),
        ("000", None),
    ] {
        assert_eq!(seconds(value), expected, "{value}");
    }
}

#[test]
fn each_format_of_an_http_date_is_a_wait_until_that_date_up_to_the_bound() {
    for value in
        ["Sun, 06 Nov 1994 08:50:37 GMT", "Sunday, 06-Nov-94 08:50:37 GMT", "Sun Nov  6 08:50:37 1994"]
    {
        assert_eq!(seconds(value), Some(60), "{value}");
    }
    assert_eq!(seconds("Fri, 06 Nov 2065 08:49:37 GMT"), Some(MAX_RETRY_AFTER.as_secs()));
    assert_eq!(seconds("Sun, 06 Nov 1994 08:49:37 GMT"), None, "the date is now");
    assert_eq!(seconds("Sun, 06 Nov 1994 08:49:36 GMT"), None, "the date has passed");
}

#[test]
fn malformed_value_tells_no_wait() {
    for value in ["", " ", "soon", "-5", "+5", "1.5", "5s", "5, 10", "0x10", "Sun, 32 Nov 1994 08:49:37 GMT"]
    {
        assert_eq!(seconds(value), None, "{value:?}");
    }
}

#[test]
fn of_several_values_the_longest_wait_counts() {
    assert_eq!(longest_wait(["3", "soon", "20", "0"], now()), Some(Duration::from_secs(20)));
    assert_eq!(longest_wait(["soon", "0"], now()), None);
    assert_eq!(longest_wait([], now()), None);
}
