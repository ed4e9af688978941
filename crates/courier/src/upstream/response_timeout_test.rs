use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn timeout() -> ResponseTimeout {
    ResponseTimeout::new(SECOND, 30 * SECOND)
}

#[test]
fn a_receiver_of_any_latency_below_the_maximum_is_waited_for_at_last() {
    for latency in [1, 2, 5, 17, 29].map(|seconds| seconds * SECOND) {
        let mut timeout = timeout();
        let expired = std::iter::from_fn(|| {
            let current = timeout.current();
            (current <= latency).then(|| timeout.expired(current))
        });
        assert!(expired.count() <= 5, "{latency:?}");
        timeout.answered(latency);
        assert!(timeout.current() > latency, "{latency:?}: the next response is waited for, too");
    }
}

#[test]
fn posts_that_expire_together_raise_the_timeout_once() {
    let mut timeout = timeout();
    for _ in 0..4 {
        timeout.expired(SECOND);
    }
    assert_eq!(timeout.current(), 2 * SECOND);
}

#[test]
fn a_receiver_that_is_quick_again_has_the_shortest_timeout_soon() {
    let mut timeout = timeout();
    timeout.expired(30 * SECOND);
    assert_eq!(timeout.current(), 30 * SECOND);
    for _ in 0..6 {
        timeout.answered(SECOND / 100);
    }
    assert_eq!(timeout.current(), SECOND);
}

#[test]
fn a_timeout_with_one_bound_is_fixed() {
    let mut timeout = ResponseTimeout::new(SECOND, SECOND);
    timeout.expired(SECOND);
    timeout.answered(10 * SECOND);
    assert_eq!(timeout.current(), SECOND);
}
