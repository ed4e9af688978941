use super::*;
use stairshed_clock::StableTime;
use stairshed_journal::{AcceptedMessage, Attempt};

fn message(attempts: &[(&str, bool)]) -> LiveMessage {
    let accepted = AcceptedMessage {
        id: "m".to_owned(),
        class: "payment".to_owned(),
        destination: 1,
        key: None,
        accepted_at: StableTime::EPOCH,
        deadline: StableTime::EPOCH,
        body: Bytes::new(),
        routed: None,
    };
    let attempt = |(host, may_have_run): &(&str, bool)| Attempt {
        host: (*host).to_owned(),
        zone: String::new(),
        sent_at: StableTime::EPOCH,
        may_have_run: *may_have_run,
    };
    let attempts = attempts.iter().map(attempt).collect();
    LiveMessage { accepted: Rc::new(accepted), attempts, verdict: None }
}

#[test]
fn outcomes_other_than_rejected_have_the_fields_that_they_had() {
    assert_eq!(outcome_line("m", None, None), r#"{"ref":"m","result":"delivered"}"#);
    assert_eq!(outcome_line("m", Some(Verdict::Dead), None), r#"{"ref":"m","result":"dead"}"#);
    let bounced = |wait| outcome_line("m", Some(Verdict::Bounced { wait }), None);
    assert_eq!(bounced(None), r#"{"ref":"m","result":"bounced"}"#);
    let wait = Some(Duration::from_millis(100));
    assert_eq!(bounced(wait), r#"{"ref":"m","result":"bounced","wait_ms":100}"#);
    let live = message(&[("p/a", true)]);
    for verdict in [Verdict::Dead, Verdict::Bounced { wait: None }] {
        assert_eq!(AttemptSummary::of(&live, verdict), None);
    }
}

#[test]
fn a_rejected_outcome_tells_status_endpoint_attempts_and_reason_as_far_as_they_are_known() {
    let rejected = Verdict::Rejected { status: Some(422) };
    let live = message(&[("p/a", false), ("p/b", true)]);
    let notice = Notice {
        message: 1,
        id: "m".to_owned(),
        verdict: rejected,
        attempts: AttemptSummary::of(&live, rejected).map(Box::new),
    };
    let full = r#"{"ref":"m","result":"rejected","status":422,"endpoint":"p/b","attempts":2,"reason":"Unprocessable Entity"}"#;
    assert_eq!(notice.line(), format!("{full}\n"));
    let kept = r#"{"ref":"m","result":"rejected","status":422,"reason":"Unprocessable Entity"}"#;
    assert_eq!(outcome_line("m", Some(rejected), None), kept);
    let bare = r#"{"ref":"m","result":"rejected","reason":"rejected by the endpoint"}"#;
    assert_eq!(outcome_line("m", Some(Verdict::Rejected { status: None }), None), bare);
}

#[test]
fn a_rejection_after_an_attempt_that_may_have_run_is_dead() {
    let status = Some(400);
    let rejected = Verdict::Rejected { status };
    assert_eq!(rejection_verdict(&message(&[("a", true)]), 0, status), rejected);
    assert_eq!(rejection_verdict(&message(&[("a", false), ("b", true)]), 1, status), rejected);
    assert_eq!(rejection_verdict(&message(&[("a", true), ("b", true)]), 1, status), Verdict::Dead);
    // An attempt whose record was lost may have run.
    assert_eq!(rejection_verdict(&message(&[("", true), ("b", true)]), 1, status), Verdict::Dead);
}
