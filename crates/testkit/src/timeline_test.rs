use super::*;
use crate::scenario::Scenario;

#[test]
fn steps_come_in_the_order_of_time() {
    let scenario = Scenario::parse(
        "description = \"x\"\nduration = \"1s\"\n\
         [[faults]]\nat = \"500ms\"\nclock = \"1h\"\n\
         [[faults]]\nat = \"100ms\"\nspan = \"1s\"\nfolder = \"full\"\n\
         [[faults]]\nat = \"200ms\"\nsignal = { kind = \"term-kill\", grace = \"300ms\", down = \"600ms\" }\n",
    );
    let plan = Plan::draw(&scenario.expect("a scenario"), 1);
    let found: Vec<_> = steps(&plan).into_iter().map(|step| (step.at.as_millis(), step.step)).collect();
    let expected = [
        (100, Step::Begin(1)),
        (200, Step::Terminate { fault: 2, courier: 0 }),
        (500, Step::Begin(0)),
        (500, Step::Kill { fault: 2, courier: 0 }),
        (1100, Step::End(1)),
        (1100, Step::Start { courier: 0 }),
    ];
    assert_eq!(found, expected);
}
