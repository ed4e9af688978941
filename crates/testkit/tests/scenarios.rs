//! Each scenario of the folder, run with one seed through the command, two at a time.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SEED: &str = "1";
const PARALLEL: &str = "2";

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = std::fs::read_dir(folder).expect("the scenarios").flatten();
    let mut files: Vec<_> = entries.map(|entry| entry.path()).collect();
    files.sort();
    files
}

fn run(arguments: &[&str], files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stairshed-faults"));
    command.arg("run").args(arguments).args(files).output().expect("the command runs")
}

// Guards against a courier that breaks a rule under faults, and against scenarios whose faults never happen.
#[test]
fn all_rules_hold_in_each_scenario() {
    let output = run(&["--seed", SEED, "--parallel", PARALLEL], &scenario_files());
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "the verdicts are above");
}

// Guards against a deadline or a key window that follows the wall clock, over a step while the process runs and
// between two lives.
#[test]
fn clock_steps_change_no_end() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = ["clock-steps-lives.toml", "clock-steps-window.toml"].map(|name| folder.join(name));
    let mut command = Command::new(env!("CARGO_BIN_EXE_stairshed-faults"));
    let output = command.args(["clock", "--seed", SEED]).args(files).output().expect("the command runs");
    println!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "the table is above");
}

// Guards against a bad file or usage that counts as a broken rule, or as none.
#[test]
fn bad_usage_and_bad_scenarios_end_with_status_two() {
    let file = std::env::temp_dir().join(format!("stairshed-bad-{}.toml", std::process::id()));
    std::fs::write(&file, "description = \"x\"\nduration = \"1s\"\nspeed = 3\n").expect("a file");
    let output = run(&[], std::slice::from_ref(&file));
    std::fs::remove_file(&file).expect("removed");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("unknown field `speed`"), "{error}");
    assert_eq!(run(&["--seed", "first"], &scenario_files()).status.code(), Some(2));
    assert_eq!(run(&[], &[]).status.code(), Some(2));
}
