use super::*;

const HEAD: &str = "description = \"x\"\nduration = \"1s\"\n";

fn error(rest: &str) -> String {
    Scenario::parse(&format!("{HEAD}{rest}")).expect_err("an error").to_string()
}

#[test]
fn unknown_keys_and_bad_values_are_refused() {
    assert!(error("speed = 3").contains("unknown field `speed`"));
    assert!(error("[endpoints.answers]\nrefuse = 0.1").contains("unknown field `refuse`"));
    assert!(error("[clients]\ndeadline = \"soon\"").contains("is not a time"));
    assert!(error("[endpoints.answers]\nrefused = 0.6\nbusy = 0.6").contains("more than 1"));
    assert!(error("[endpoints]\nclosing = 1.5").contains("from 0 to 1"));
    assert!(
        error("start = \"platform\"\n[clients]\nmqtt = 1\nremember = \"9s\"").contains("operator's file")
    );
    assert!(error("[clients]\nresubmit = 0.5").contains("needs clients.remember"));
    assert!(error("[clients]\nclasses = [\"parcel\"]").contains("no such class"));
    assert!(error("[[faults]]\nat = [\"2s\", \"1s\"]\nclock = \"1h\"").contains("the longer one"));
}

#[test]
fn a_fault_has_one_kind() {
    assert_eq!(error("[[faults]]\nclock = \"1h\""), "fault 1: `at` is missing");
    assert!(error("[[faults]]\nat = \"1s\"").contains("fault 1: give one of"));
    assert!(
        error("[[faults]]\nat = \"1s\"\nclock = \"1h\"\nfolder = \"full\"").contains("more than one kind")
    );
    assert!(error("[[faults]]\nat = \"1s\"\ncouriers = [1]\nclock = \"1h\"").contains("no such courier"));
    assert!(error("[[faults]]\nat = \"1s\"\ndrain = { zone = \"z\" }").contains("no such zone"));
}

#[test]
fn a_folder_fault_stands_for_rules() {
    let text = format!("{HEAD}[[faults]]\nat = \"1s\"\nfolder = \"read-only\"");
    let scenario = Scenario::parse(&text).expect("a scenario");
    let Ok(FaultKind::Calls(rules)) = scenario.faults[0].kind() else { panic!("rules") };
    assert!(rules.contains(&"rename EROFS 1".to_owned()), "{rules:?}");
}
