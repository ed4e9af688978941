use super::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Eight cycles of a wave with noise and a slope.
fn waves(slope: f64, noise: f64) -> TimeSeries {
    let mut rng = SmallRng::seed_from_u64(7);
    let points = (0..4000).map(|n| {
        let at = f64::from(n) / 500.0 * 0.1;
        let wave = 1000.0 + 500.0 * (at / 0.1 * std::f64::consts::TAU).sin();
        (at, wave + slope * at + noise * rng.random_range(-1.0..1.0))
    });
    TimeSeries { name: "waves".to_owned(), points: points.collect() }
}

#[test]
fn slope_ignores_the_load_pattern_and_detects_growth_in_it() {
    let flat = waves(0.0, 30.0).slope(0.1).expect("eight cycles");
    assert!(flat.is_flat(0.0) && (900.0..1100.0).contains(&flat.mean), "{flat:?}");
    let growing = waves(60.0, 30.0).slope(0.1).expect("eight cycles");
    assert!(!growing.is_flat(0.0) && (40.0..80.0).contains(&growing.per_hour), "{growing:?}");
    assert!(growing.is_flat(100.0), "below the grain");
    let falling = waves(-60.0, 30.0).slope(0.1).expect("eight cycles");
    assert!(falling.is_flat(0.0), "a falling metric counts as flat: {falling:?}");
    assert_eq!(
        TimeSeries { points: vec![(0.0, 1.0), (0.15, 1.0)], ..TimeSeries::default() }.slope(0.1),
        None
    );
}
