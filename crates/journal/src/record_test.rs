use super::*;

fn bytes(record: &Record) -> Vec<u8> {
    let mut to = Vec::new();
    record.encode(&mut to);
    to
}

fn all_records() -> Vec<Record> {
    let accepted = AcceptedMessage {
        id: "id".to_owned(),
        class: "payment".to_owned(),
        destination: 7,
        key: Some(String::new()),
        accepted_at: StableTime::from_micros(1_790_000_000_000_000),
        deadline: StableTime::from_micros(1_790_000_000_000_001),
        body: Bytes::from_static(b"bo\0dy"),
        routed: None,
    };
    let routed = RoutedRequest {
        version: 7,
        route: "fuel".to_owned(),
        method: "PUT".to_owned(),
        path: "/a/b".to_owned(),
        headers: vec![("x-note".to_owned(), "1".to_owned())],
        effect: Effect::Keyed { scope: KeyScope::Zone, window: Duration::from_secs(3) },
        order_key: Some("car-1".to_owned()),
        owner: None,
        remember_for: Duration::ZERO,
    };
    let owner = Some("station-7".to_owned());
    let once = RoutedRequest { effect: Effect::Once, order_key: None, headers: Vec::new(), ..routed.clone() };
    let owned = RoutedRequest { owner: owner.clone(), ..once.clone() };
    let remembered = RoutedRequest { remember_for: Duration::from_secs(60), ..routed.clone() };
    let with = |routed| AcceptedMessage { routed: Some(routed), ..accepted.clone() };
    let routed = [routed, once, owned, remembered].map(|r| LiveMessage {
        accepted: Rc::new(with(r)),
        attempts: Vec::new(),
        verdict: None,
    });
    let sent_at = StableTime::from_micros(1_790_000_000_000_002);
    let attempt = Attempt { host: "s-1".to_owned(), zone: "a".to_owned(), sent_at, may_have_run: true };
    let mut live = LiveMessage { accepted: Rc::new(accepted), attempts: Vec::new(), verdict: None };
    let fresh = live.clone();
    live.attempts = vec![attempt.clone(), Attempt { may_have_run: false, ..attempt.clone() }];
    live.verdict = Some(Verdict::Bounced { wait: Some(Duration::from_micros(5)) });
    let rejected =
        LiveMessage { verdict: Some(Verdict::Rejected { status: Some(u16::MAX) }), ..live.clone() };
    let bounced = Verdict::Bounced { wait: None };
    let [routed, once, owned, remembered] = routed;
    let kept = EndedMessage { id: "id".to_owned(), owner, verdict: None, until: sent_at };
    let notified = EndedMessage { owner: None, verdict: Some(bounced), ..kept.clone() };
    let kept_rejected =
        EndedMessage { verdict: Some(Verdict::Rejected { status: Some(400) }), ..kept.clone() };
    let note = Note { key: "session/7".to_owned(), value: Bytes::from_static(b"\0{}") };
    vec![
        Record::Snapshot { message: 1, live: fresh },
        Record::Snapshot { message: 2, live },
        Record::Attempt { message: 3, index: 4, attempt },
        Record::NeverRan { message: 3, index: 4 },
        Record::Judged { message: 5, verdict: Verdict::Dead },
        Record::Judged { message: 5, verdict: bounced },
        Record::Judged { message: 5, verdict: Verdict::Rejected { status: Some(422) } },
        Record::Judged { message: 5, verdict: Verdict::Rejected { status: None } },
        Record::Snapshot { message: 6, live: rejected },
        Record::Ended { message: u64::MAX },
        Record::Trim { oldest: 6 },
        Record::Synced { upto: 7 },
        Record::Snapshot { message: 8, live: routed },
        Record::Snapshot { message: 9, live: once },
        Record::Snapshot { message: 10, live: owned },
        Record::Snapshot { message: 11, live: remembered },
        Record::Kept { message: 12, kept: Rc::new(kept) },
        Record::Kept { message: 13, kept: Rc::new(notified) },
        Record::Kept { message: 15, kept: Rc::new(kept_rejected) },
        Record::Note { number: 14, note: Rc::new(note) },
    ]
}

#[test]
fn every_record_round_trips_and_no_prefix_of_one_decodes() {
    for record in all_records() {
        let whole = bytes(&record);
        assert_eq!(Record::decode(&whole).as_ref(), Some(&record));
        for cut in 0..whole.len() {
            assert_eq!(Record::decode(&whole[..cut]), None, "{record:?} cut at {cut}");
        }
        assert_eq!(Record::decode(&[&whole[..], &[0]].concat()), None, "one byte more");
    }
}

#[test]
fn computed_sizes_match_encoded_sizes() {
    for record in all_records() {
        assert_eq!(bytes(&record).len() as u64, record.size(), "{record:?}");
    }
}

#[test]
fn a_snapshot_is_no_larger_than_the_records_it_replaces() {
    let Record::Snapshot { live, .. } = all_records().remove(1) else { panic!("the second is a snapshot") };
    let mut parts = snapshot_bytes(&live.accepted) + JUDGED_BYTES;
    for a in &live.attempts {
        parts += attempt_bytes((a.host.len() + a.zone.len()) as u64);
    }
    let copy = bytes(&Record::Snapshot { message: 2, live }).len() as u64;
    assert!(copy <= parts, "{copy} > {parts}");
}
