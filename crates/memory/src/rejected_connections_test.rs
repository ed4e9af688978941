use super::*;

#[test]
fn connections_without_a_request_are_evicted_and_those_owed_an_answer_are_not() {
    let mut connections = RejectedConnections::default();
    let first = connections.admit(false).expect("a slot").id;
    let asked = connections.admit(false).expect("a slot").id;
    connections.request_started(asked);
    for _ in 2..MAX_CONCURRENT {
        assert!(connections.admit(true).is_some_and(|slot| slot.evicted.is_none()));
    }
    assert_eq!(connections.open(), MAX_CONCURRENT);
    assert_eq!(
        connections.admit(true).expect("the slot of the connection without a request").evicted,
        Some(first)
    );
    assert_eq!(connections.admit(true), None, "all are owed an answer");
    assert_eq!(connections.open(), MAX_CONCURRENT);
    connections.closed(Some(asked), Reason::Connections, RejectionOutcome::Told);
    assert!(connections.admit(false).is_some_and(|slot| slot.evicted.is_none()));
}

#[test]
fn a_flood_logs_one_line_per_ten_seconds_and_every_outcome_is_counted() {
    let (mut connections, mut lines, mut now) =
        (RejectedConnections::default(), Vec::new(), Time::from_secs(5));
    for n in 0..3000 {
        now += Duration::from_millis(10);
        let outcome = [RejectionOutcome::Told, RejectionOutcome::Silent, RejectionOutcome::Untold][n % 3];
        let id = connections.admit(false).map(|slot| slot.id);
        connections.closed(id, Reason::Share(crate::Purpose::Clients), outcome);
        lines.extend(connections.take_log_line(now));
    }
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert_eq!(lines[0], "clients: connections turned away: share-clients (1 told, 0 silent, 0 untold)");
    let counts = connections.counts()["share-clients"];
    assert_eq!(counts, Counts { told: 1000, silent: 1000, untold: 1000 });
    assert!(connections.log_due() > Some(now), "outcomes since then are logged later");
    assert!(connections.take_log_line(now + MIN_LOG_INTERVAL).is_some() && connections.log_due().is_none());
}
