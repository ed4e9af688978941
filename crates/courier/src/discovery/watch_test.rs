use super::*;

#[test]
fn a_fleet_that_loses_its_watches_does_not_ask_again_at_once() {
    // Asked by all within a quarter of a second, discovery gave up each call before its turn came, for good.
    let asks = |spread| {
        let mut seconds = [0; 20];
        for seed in 0..100 {
            let rng = &mut SmallRng::seed_from_u64(seed);
            seconds[list_retry_delay(INITIAL_BACKOFF_S, spread, rng).as_secs() as usize] += 1;
        }
        seconds
    };
    let fleet = asks(Duration::from_secs(8));
    assert!(fleet.iter().all(|asked| *asked <= 25), "{fleet:?}");
    assert_eq!(asks(Duration::ZERO)[0], 100, "few ask at once");
}
