use super::*;

#[test]
fn couriers_that_lose_their_watches_together_spread_their_calls() {
    // Guards against an overload without recovery: when all couriers called within a quarter of a second,
    // each request timed out in discovery's queue, every time.
    let calls_by_second = |spread| {
        let mut seconds = [0; 20];
        for seed in 0..100 {
            let rng = &mut SmallRng::seed_from_u64(seed);
            seconds[list_retry_delay(INITIAL_BACKOFF_SECONDS, spread, rng).as_secs() as usize] += 1;
        }
        seconds
    };
    let fleet = calls_by_second(Duration::from_secs(8));
    assert!(fleet.iter().all(|calls| *calls <= 25), "{fleet:?}");
    assert_eq!(calls_by_second(Duration::ZERO)[0], 100, "without a spread all call within the first second");
}
