use super::*;
use crate::scenario::Scenario;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

// Guards against a fault without a scenario, and a scenario that is not there.
#[test]
fn each_fault_has_a_scenario() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    for (fault, expected) in PlantedFault::ALL.into_iter().zip(EXPECTATIONS) {
        assert_eq!(fault, expected.fault);
        let file = folder.join(expected.scenario).with_extension("toml");
        assert!(Scenario::read(&file).is_ok(), "{}", file.display());
    }
}

#[test]
fn a_normal_build_is_refused() {
    let folder = Path::new("scenarios");
    let error = PlantedRuns::new(Path::new("true"), folder).err().expect("an error");
    assert!(matches!(error, PlantError::NoTestBuild { .. }), "{error}");
    assert!(PlantedRuns::new(Path::new("false"), folder).is_ok());
}

#[test]
fn the_broken_rules_of_a_verdict_are_read() {
    let output = |text: &str| Output {
        status: ExitStatus::from_raw(0),
        stdout: text.as_bytes().to_vec(),
        stderr: Vec::new(),
    };
    let text =
        r#"{"rules":[{"rule":"order","result":"held"},{"rule":"no overload","result":"broken","what":"x"}]}"#;
    let broken = broken_rules(&output(text)).expect("a verdict");
    assert_eq!(broken.iter().map(|breach| breach.rule.as_str()).collect::<Vec<_>>(), ["no overload"]);
    assert!(broken_rules(&output("")).is_none());
}
