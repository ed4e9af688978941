use super::*;

const TEXT: &str = "description = \"x\"\nduration = \"1s\"\ncouriers = 2\n\
    [[faults]]\nat = [\"100ms\", \"900ms\"]\nspan = [\"10ms\", \"500ms\"]\ncouriers = [1]\nclock = \"-1h\"\n\
    [[faults]]\nat = \"1s\"\nfreeze = { length = [\"1ms\", \"200ms\"], count = 3 }\n";

#[test]
fn a_seed_always_draws_the_same_plan_within_the_ranges() {
    let scenario = Scenario::parse(TEXT).expect("a scenario");
    let text = |seed| format!("{:?}", Plan::draw(&scenario, seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
    for seed in 0..50 {
        let plan = Plan::draw(&scenario, seed);
        let clock = &plan.faults[0];
        assert!((100..=900).contains(&clock.begins.as_millis()));
        let span = clock.ends.expect("an end") - clock.begins;
        assert!((10..=500).contains(&span.as_millis()));
        assert_eq!(clock.couriers, [1]);
        let strokes = &plan.faults[1].strokes;
        assert_eq!(strokes.len(), 3);
        assert!(strokes.windows(2).all(|two| two[0].at + two[0].length < two[1].at), "{strokes:?}");
    }
}
