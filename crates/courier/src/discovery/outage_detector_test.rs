use super::*;
use std::thread;

const QUICK: Duration = Duration::from_millis(1);

#[test]
fn quick_refusals_are_an_outage_only_once_they_have_lasted() {
    let mut detector = OutageDetector::default();
    for _ in 0..5 {
        assert!(!detector.call_failed(CallFailure::NotServed, QUICK));
        detector.paused(MIN_REFUSING_TIME / 5);
    }
    assert!(detector.call_failed(CallFailure::NotServed, QUICK));
    detector.answered();
    assert!(!detector.call_failed(CallFailure::NotServed, QUICK));
}

#[test]
fn long_wait_without_an_answer_is_an_outage_at_once() {
    for failure in [CallFailure::NotServed, CallFailure::ConnectTimedOut] {
        assert!(OutageDetector::default().call_failed(failure, MIN_OUTAGE_WAIT), "{failure:?}");
        assert!(!OutageDetector::default().call_failed(failure, QUICK), "{failure:?}");
    }
    assert!(OutageDetector::default().call_failed(CallFailure::NoConnection, QUICK));
    assert!(!OutageDetector::default().call_failed(CallFailure::Other, MIN_OUTAGE_WAIT));
}

#[tokio::test]
async fn wait_is_measured_in_full_while_the_process_runs() {
    let wait = MEASURE_INTERVAL * 5 / 2;
    let (_, waited) = measure_wait(sleep(wait)).await;
    assert!(waited >= wait, "{waited:?}");
}

// Guards against taking a quick refusal for an outage because the process was stopped during the call.
#[tokio::test]
async fn time_in_which_the_process_did_not_run_is_not_measured() {
    let work = async {
        sleep(MEASURE_INTERVAL / 2).await;
        // Blocks the runtime as a stopped process does.
        thread::sleep(MIN_OUTAGE_WAIT);
    };
    let (_, waited) = measure_wait(work).await;
    assert!(waited < MIN_OUTAGE_WAIT / 2, "{waited:?}");
}
