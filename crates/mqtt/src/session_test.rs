use super::*;

#[test]
fn what_is_recorded_is_restored() {
    let mut session = Session::new("van-7", Version::V5);
    session.expiry = 3600;
    session.gone = Some(StableTime::from_epoch(Duration::from_secs(1_790_000_000)));
    session.releases = [1, 9, 65535].into();
    session.subscribed = Some(Qos::AtLeastOnce);
    session.will = Some(Will {
        topic: "gone".to_owned(),
        payload: Bytes::from_static(b"\0\xff"),
        qos: Qos::AtMostOnce,
        retain: false,
        delay: 5,
        expiry: Some(7),
        utf8: false,
        properties: vec![("id".to_owned(), "x".to_owned())],
    });
    let again = Session::restore(&session.record()).expect("a valid record");
    assert_eq!(again.record(), session.record());
    assert_eq!((again.will, again.releases), (session.will, session.releases));
    assert!(Session::restore("{}").is_none());
}

#[test]
fn packet_ids_wrap_and_pass_over_those_in_use() {
    let mut session = Session::new("c", Version::V5);
    session.next_id = 65535;
    session.unacknowledged.insert(1, Outcome { message: 1, line: String::new() });
    assert_eq!(
        [session.allocate_packet_id(), session.allocate_packet_id(), session.allocate_packet_id()],
        [65535, 2, 3]
    );
}
