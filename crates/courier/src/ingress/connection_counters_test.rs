use super::*;

#[test]
fn connections_are_counted_by_cause_and_progress_of_their_request() {
    let counters = ConnectionCounters::default();
    counters.closed(CloseCause::Evicted, ConnectionState::ReadingHead);
    counters.closed(CloseCause::Evicted, ConnectionState::Idle { last_request_ok: true });
    counters.closed(CloseCause::Evicted, ConnectionState::Idle { last_request_ok: false });
    counters.closed_unread(CloseCause::FirstByteTimeout);
    let open: OpenConnections =
        [ConnectionState::AwaitingFirstByte, ConnectionState::Processing].into_iter().collect();
    assert_eq!(open.to_string(), "2 connections of clients open, 1 silent, 1 unanswered");
    let page = counters.page(&open);
    assert_eq!(page["closed"], json!({"evicted": {"reading a head": 1, "idle": 2}}));
    assert_eq!(page["closed_unread"], json!({"first byte timeout": 1}));
    assert_eq!(page["open"], json!({"silent": 1, "unanswered": 1}));
}
