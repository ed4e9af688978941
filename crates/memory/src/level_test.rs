use super::*;

#[test]
fn usage_that_oscillates_around_a_threshold_changes_the_level_once() {
    let mut level = Level::Ample;
    let mut seen = Vec::new();
    for share in [0.5, 0.74, 0.76, 0.70, 0.76, 0.66, 0.94, 0.96, 0.90, 0.96, 0.86, 0.84, 0.7, 0.64, 0.74] {
        level = level.next(share);
        if seen.last() != Some(&level) {
            seen.push(level);
        }
    }
    use Level::{Ample, Full, Tight};
    assert_eq!(seen, [Ample, Tight, Full, Tight, Ample]);
}
