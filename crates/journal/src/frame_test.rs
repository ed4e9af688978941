use super::*;

#[test]
fn a_header_round_trips_and_detects_every_flipped_bit() {
    let header = Header {
        version: FORMAT_VERSION,
        sync_writes: true,
        migration: false,
        number: 3,
        first_seq: 9,
        oldest: 2,
        synced_seq: 8,
    };
    let bytes = header.bytes();
    assert_eq!(bytes.len(), HEADER_BYTES);
    assert_eq!(Header::read(&bytes), Ok(header));
    for bit in 0..HEADER_BYTES * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(Header::read(&corrupted).is_err(), "bit {bit}");
    }
    assert_eq!(Header::read(&bytes[..HEADER_BYTES - 1]), Err(HeaderError::Truncated));
}

#[test]
fn a_frame_detects_every_flipped_bit_and_every_truncation() {
    let mut bytes = Vec::new();
    put_frame(&mut bytes, 7, |to| Record::Ended { message: 5 }.encode(to));
    let frame = frame_at(&bytes, 0).expect("a frame");
    assert_eq!((frame.seq, frame.content), (7, Content::Record(Record::Ended { message: 5 })));
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(frame_at(&corrupted, 0).is_none(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(frame_at(&bytes[..cut], 0).is_none(), "cut at {cut}");
    }
}

#[test]
fn segment_names_and_numbers_correspond_one_to_one() {
    assert_eq!(segment_number(&segment_name(0xabc)), Some(0xabc));
    for name in ["0000000000000ABC.seg", "abc.seg", "0000000000000abc.seg.damaged", "journal", "lock"] {
        assert_eq!(segment_number(name), None, "{name}");
    }
}

#[test]
fn reading_resumes_after_corrupt_bytes() {
    let mut bytes = Vec::new();
    put_frame(&mut bytes, 1, |to| Record::Ended { message: 1 }.encode(to));
    let second = bytes.len();
    put_frame(&mut bytes, 2, |to| Record::Ended { message: 2 }.encode(to));
    let third = bytes.len();
    put_frame(&mut bytes, 3, |to| Record::Ended { message: 3 }.encode(to));
    bytes[second + 20] ^= 1;
    let next = next_frame(&bytes, second, 2).expect("the third");
    assert_eq!((next.at, next.seq), (third, 3));
    // A valid frame with a lower sequence number, such as a copy, is skipped.
    assert!(next_frame(&bytes, third, 4).is_none());
}
