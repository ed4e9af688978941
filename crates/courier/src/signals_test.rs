use super::{Signal, SignalStream};
use std::time::Duration;
use tokio::time::timeout;

/// Time in which a signal that was raised is received.
const WAIT: Duration = Duration::from_secs(10);
/// Time after which no signal is expected any more.
const QUIET: Duration = Duration::from_millis(50);

fn open(signals: &[Signal]) -> SignalStream {
    SignalStream::open(signals).expect("a stream")
}

/// Sends a signal to this thread only, which blocks it. A test must receive all that it raises.
fn raise(signal: Signal) {
    // SAFETY: raise only takes a number.
    assert_eq!(unsafe { libc::raise(signal.number()) }, 0);
}

async fn receives_within(time: Duration, stream: &mut SignalStream) -> bool {
    timeout(time, stream.recv()).await.is_ok()
}

#[tokio::test]
async fn signals_that_arrive_together_count_as_one_and_a_later_one_counts_again() {
    let mut stream = open(&[Signal::Hangup]);
    raise(Signal::Hangup);
    raise(Signal::Hangup);
    assert!(receives_within(WAIT, &mut stream).await);
    // The wait that this cancels loses no signal.
    assert!(!receives_within(QUIET, &mut stream).await);
    raise(Signal::Hangup);
    assert!(receives_within(WAIT, &mut stream).await);
}

#[tokio::test]
async fn each_stream_receives_its_own_signals_only_and_they_stay_blocked_without_it() {
    let mut stop = open(&[Signal::Terminate, Signal::Interrupt]);
    let mut hangup = open(&[Signal::Hangup]);
    for signal in [Signal::Terminate, Signal::Interrupt] {
        raise(signal);
        assert!(!receives_within(QUIET, &mut hangup).await);
        assert!(receives_within(WAIT, &mut stop).await);
    }
    drop(hangup);
    raise(Signal::Hangup);
    assert!(!receives_within(QUIET, &mut stop).await);
    assert!(receives_within(WAIT, &mut open(&[Signal::Hangup])).await);
}
