use super::*;

#[test]
fn units_are_read_and_written_back() {
    for (text, ms) in [("250ms", 250), ("2s", 2000), ("1m 30s", 90_000), ("0s", 0)] {
        let read = span(text).expect(text);
        assert_eq!(read, Span::ms(ms));
        assert_eq!(span(&read.to_string()), Ok(read));
    }
    for (text, bytes) in [("64KiB", 65_536), ("3MB", 3_000_000), ("0.5 GB", 500_000_000)] {
        let read = size(text).expect(text);
        assert_eq!(read, Size(bytes));
        assert_eq!(size(&read.to_string()), Ok(read));
    }
    for text in ["12.5%", "30%", "16MB"] {
        let read = portion(text).expect(text);
        assert_eq!(portion(&read.to_string()), Ok(read));
    }
    for (text, calls) in [("50/s", 50.0), ("600/min", 10.0), ("36/h", 0.01)] {
        let read = rate(text).expect(text);
        assert_eq!(read, Rate(calls));
        assert_eq!(rate(&read.to_string()), Ok(read));
    }
}

#[test]
fn nonsense_is_refused_with_an_example() {
    for bad in ["", "2", "2 apples", "-1s", "99999999999999y"] {
        assert!(span(bad).is_err(), "{bad}");
    }
    for bad in ["", "64", "64 apples", "-1KB"] {
        assert!(size(bad).is_err(), "{bad}");
        assert!(portion(bad).is_err() && portion(&format!("{bad} apples %")).is_err(), "{bad}");
    }
    for bad in ["", "50", "50/day", "0/s", "-1/s", "NaN/s", "inf/s", "/s"] {
        assert!(rate(bad).is_err(), "{bad}");
    }
    assert!(span("2").expect_err("no unit").contains("250ms"));
}
