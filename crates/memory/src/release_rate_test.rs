use super::*;

const S: Duration = Duration::from_secs(1);

fn steady(rate: u64) -> ReleaseRate {
    let mut release_rate = ReleaseRate::default();
    (1..=100).for_each(|n| release_rate.update(n * rate / 5, S * n as u32 / 5));
    release_rate
}

#[test]
fn the_wait_follows_how_fast_it_empties() {
    let now = S * 20;
    let slow = steady(10_000).retry_after(10_000, 10_000, now).as_secs_f64();
    let fast = steady(100_000).retry_after(10_000, 10_000, now).as_secs_f64();
    assert!((0.9..1.1).contains(&slow) && (0.09..0.11).contains(&fast), "{slow} {fast}");
}

#[test]
fn those_who_are_turned_away_together_are_told_to_come_one_after_the_other() {
    let (mut release_rate, now) = (steady(10_000), S * 20);
    let waits: Vec<Duration> = (0..10).map(|_| release_rate.retry_after(5_000, 5_000, now)).collect();
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
    assert!((4.5..5.5).contains(&waits[9].as_secs_f64()), "{waits:?}");
    // Once that time has passed it is forgotten.
    assert!(release_rate.retry_after(5_000, 5_000, now + S * 30) < S);
}

#[test]
fn what_does_not_empty_is_asked_for_ever_more_seldom_and_at_least_each_minute() {
    let release_rate = steady(10_000);
    let waits: Vec<f64> = [60, 100, 160, 4000]
        .map(|s| {
            let mut release_rate = release_rate;
            release_rate.update(release_rate.seen, S * s);
            release_rate.retry_after(1, 1, S * s).as_secs_f64()
        })
        .to_vec();
    assert!(waits.windows(2).all(|w| w[1] >= w[0]) && waits[0] > 20.0 && waits[3] == 60.0, "{waits:?}");
}
