use super::*;

const S: Duration = Duration::from_secs(1);

fn steady(rate: u64) -> Pace {
    let mut pace = Pace::default();
    (1..=100).for_each(|n| pace.look(n * rate / 5, S * n as u32 / 5));
    pace
}

#[test]
fn the_wait_follows_how_fast_it_empties() {
    let now = S * 20;
    let slow = steady(10_000).wait(10_000, 10_000, now).as_secs_f64();
    let fast = steady(100_000).wait(10_000, 10_000, now).as_secs_f64();
    assert!((0.9..1.1).contains(&slow) && (0.09..0.11).contains(&fast), "{slow} {fast}");
}

#[test]
fn those_who_are_turned_away_together_are_told_to_come_one_after_the_other() {
    let (mut pace, now) = (steady(10_000), S * 20);
    let waits: Vec<Duration> = (0..10).map(|_| pace.wait(5_000, 5_000, now)).collect();
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
    assert!((4.5..5.5).contains(&waits[9].as_secs_f64()), "{waits:?}");
    // Once that time has passed it is forgotten.
    assert!(pace.wait(5_000, 5_000, now + S * 30) < S);
}

#[test]
fn what_does_not_empty_is_asked_for_ever_more_seldom_and_at_least_each_minute() {
    let pace = steady(10_000);
    let waits: Vec<f64> = [60, 100, 160, 4000]
        .map(|s| {
            let mut pace = pace;
            pace.look(pace.seen, S * s);
            pace.wait(1, 1, S * s).as_secs_f64()
        })
        .to_vec();
    assert!(waits.windows(2).all(|w| w[1] >= w[0]) && waits[0] > 20.0 && waits[3] == 60.0, "{waits:?}");
}
