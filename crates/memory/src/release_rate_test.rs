use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn steady(rate: u64) -> ReleaseRate {
    let mut release_rate = ReleaseRate::default();
    (1..=100).for_each(|n| release_rate.update(n * rate / 5, SECOND * n as u32 / 5));
    release_rate
}

#[test]
fn the_retry_delay_follows_the_release_rate() {
    let now = SECOND * 20;
    let slow = steady(10_000).retry_after(10_000, 10_000, now).as_secs_f64();
    let fast = steady(100_000).retry_after(10_000, 10_000, now).as_secs_f64();
    assert!((0.9..1.1).contains(&slow) && (0.09..0.11).contains(&fast), "{slow} {fast}");
}

#[test]
fn clients_rejected_together_are_told_to_retry_one_after_the_other() {
    let (mut release_rate, now) = (steady(10_000), SECOND * 20);
    let waits: Vec<Duration> = (0..10).map(|_| release_rate.retry_after(5_000, 5_000, now)).collect();
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
    assert!((4.5..5.5).contains(&waits[9].as_secs_f64()), "{waits:?}");
    // Promises expire once their time has passed.
    assert!(release_rate.retry_after(5_000, 5_000, now + SECOND * 30) < SECOND);
}

#[test]
fn without_releases_the_retry_delay_grows_up_to_one_minute() {
    let release_rate = steady(10_000);
    let waits: Vec<f64> = [60, 100, 160, 4000]
        .map(|s| {
            let mut release_rate = release_rate;
            release_rate.update(release_rate.last_total, SECOND * s);
            release_rate.retry_after(1, 1, SECOND * s).as_secs_f64()
        })
        .to_vec();
    assert!(waits.windows(2).all(|w| w[1] >= w[0]) && waits[0] > 20.0 && waits[3] == 60.0, "{waits:?}");
}
