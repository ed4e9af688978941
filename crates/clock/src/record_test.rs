use super::*;

fn record() -> ClockRecord {
    ClockRecord {
        boot_id: BootId::new("6c1e9a52-7a3f-4f0e-9d0a-3f1f6c2b8a11"),
        boot_time: Duration::from_micros(7_200_000_001),
        stable: StableTime::from_micros(1_790_000_000_000_002),
        wall: TimeOfDay::from_unix(Duration::from_micros(1_790_003_600_000_003)),
        proven_since: StableTime::from_micros(1_789_000_000_000_004),
    }
}

#[test]
fn a_record_is_read_as_it_was_written() {
    for record in [record(), ClockRecord { boot_id: None, ..record() }] {
        assert_eq!(record.to_string().parse(), Ok(record));
    }
    let text = "1 6c1e9a52-7a3f-4f0e-9d0a-3f1f6c2b8a11 7200000001 1790000000000002 1790003600000003 1789000000000004";
    assert_eq!(record().to_string(), text, "the form in docs/journal-format.md");
    assert_eq!(record().wall_offset_micros(), 3_600_000_001);
}

#[test]
fn a_text_that_is_no_record_is_refused() {
    let text = record().to_string();
    assert_eq!(text.replacen('1', "2", 1).parse::<ClockRecord>(), Err(ClockRecordError::Version));
    assert_eq!(format!("{text} 1").parse::<ClockRecord>(), Err(ClockRecordError::Fields));
    assert_eq!("1 - 1 2 x 4".parse::<ClockRecord>(), Err(ClockRecordError::Value));
    assert_eq!("1 a/b 1 2 3 4".parse::<ClockRecord>(), Err(ClockRecordError::Value));
    for length in 0..text.rfind(' ').expect("fields") {
        assert!(text[..length].parse::<ClockRecord>().is_err(), "cut to {length} bytes");
    }
}
