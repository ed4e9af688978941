use super::*;

#[test]
fn units_are_parsed_and_formatted() {
    for (text, ms) in [("250ms", 250), ("2s", 2000), ("1m 30s", 90_000), ("0s", 0)] {
        let read = parse_span(text).expect(text);
        assert_eq!(read, Span::ms(ms));
        assert_eq!(parse_span(&read.to_string()), Ok(read));
    }
    for (text, bytes) in [("64KiB", 65_536), ("3MB", 3_000_000), ("0.5 GB", 500_000_000)] {
        let read = parse_size(text).expect(text);
        assert_eq!(read, Size(bytes));
        assert_eq!(parse_size(&read.to_string()), Ok(read));
    }
    for text in ["12.5%", "30%", "16MB"] {
        let read = parse_portion(text).expect(text);
        assert_eq!(parse_portion(&read.to_string()), Ok(read));
    }
    for (text, calls) in [("50/s", 50.0), ("600/min", 10.0), ("36/h", 0.01)] {
        let read = parse_rate(text).expect(text);
        assert_eq!(read, Rate(calls));
        assert_eq!(parse_rate(&read.to_string()), Ok(read));
    }
}

#[test]
fn invalid_values_are_rejected_with_an_example() {
    for bad in ["", "2", "2 apples", "-1s", "99999999999999y"] {
        assert!(parse_span(bad).is_err(), "{bad}");
    }
    for bad in ["", "64", "64 apples", "-1KB"] {
        assert!(parse_size(bad).is_err(), "{bad}");
        assert!(parse_portion(bad).is_err() && parse_portion(&format!("{bad} apples %")).is_err(), "{bad}");
    }
    for bad in ["", "50", "50/day", "0/s", "-1/s", "NaN/s", "inf/s", "/s"] {
        assert!(parse_rate(bad).is_err(), "{bad}");
    }
    assert!(parse_span("2").expect_err("no unit").contains("250ms"));
}
