use super::*;

#[test]
fn who_has_asked_for_nothing_gives_way_and_who_is_owed_an_answer_never_does() {
    let mut book = RejectedConnections::default();
    let first = book.admit(false).expect("a place").id;
    let asked = book.admit(false).expect("a place").id;
    book.request_started(asked);
    for _ in 2..MAX_CONCURRENT {
        assert!(book.admit(true).is_some_and(|p| p.evicted.is_none()));
    }
    assert_eq!(book.open(), MAX_CONCURRENT);
    assert_eq!(book.admit(true).expect("the silent one's place").evicted, Some(first));
    assert_eq!(book.admit(true), None, "all are owed an answer");
    assert_eq!(book.open(), MAX_CONCURRENT);
    book.closed(Some(asked), Reason::Connections, RejectionOutcome::Told);
    assert!(book.admit(false).is_some_and(|p| p.evicted.is_none()));
}

#[test]
fn a_flood_is_a_line_each_ten_seconds_and_every_end_is_counted() {
    let (mut book, mut lines, mut now) = (RejectedConnections::default(), Vec::new(), Time::from_secs(5));
    for n in 0..3000 {
        now += Duration::from_millis(10);
        let how = [RejectionOutcome::Told, RejectionOutcome::Silent, RejectionOutcome::Untold][n % 3];
        let id = book.admit(false).map(|p| p.id);
        book.closed(id, Reason::Share(crate::Purpose::Clients), how);
        lines.extend(book.take_log_line(now));
    }
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert_eq!(lines[0], "clients: connections turned away: share-clients (1 told, 0 silent, 0 untold)");
    let counts = book.counts()["share-clients"];
    assert_eq!(counts, Counts { told: 1000, silent: 1000, untold: 1000 });
    assert!(book.log_due() > Some(now), "what came since has its line later");
    assert!(book.take_log_line(now + LOG_PAUSE).is_some() && book.log_due().is_none());
}
