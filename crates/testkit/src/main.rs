//! The command `stairshed-faults`: runs scenarios and prints the verdicts, and measures what faults cost.

use clap::{Args, Parser, Subcommand};
use serde_json::{Value, json};
use stairshed_planted_faults::PlantedFault;
use stairshed_testkit::planted::{EXPECTATIONS, Expectation, Finding, PlantedRuns};
use stairshed_testkit::runner::{RunError, run};
use stairshed_testkit::scenario::Scenario;
use stairshed_testkit::verdict::Verdict;
use stairshed_testkit::{clock_effect, fault_cost, folder_cost};
use std::io::{self, Stdout};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;

/// A rule was broken, a target was missed, a fault never happened, or a run could not be done.
const NOT_PASSED: u8 = 1;
/// Bad usage or scenario; `clap` ends with it, too.
const BAD_SCENARIO: u8 = 2;

/// Runs couriers under faults drawn from a seed and checks the delivery rules.
#[derive(Parser)]
#[command(name = "stairshed-faults")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs scenarios. Ends with 0 if all rules held in all runs, 1 if not, 2 if a scenario is bad.
    Run {
        #[command(flatten)]
        plays: Plays,
        /// Runs at the same time.
        #[arg(long, default_value_t = 1)]
        parallel: usize,
        /// Prints each verdict as a line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Looks for each planted fault with the scenario that should find it. Ends with 0 if all are found, 1 if not.
    Plant {
        /// A courier built with the feature `planted-faults`.
        #[arg(long)]
        program: PathBuf,
        /// Number of seeds that are tried for each fault, from 1 on.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Folder of the scenarios.
        #[arg(long, default_value = "crates/testkit/scenarios")]
        scenarios: PathBuf,
        /// Only this fault; may be repeated.
        #[arg(long = "fault", value_parser = PlantedFault::named)]
        faults: Vec<PlantedFault>,
    },
    /// Measures what failing calls cost and prints a table. Ends with 1 if a target is missed.
    Cost(Measurement),
    /// Measures what clients see while calls on the state folder fail and prints a table. Ends with 1 if a target is
    /// missed.
    Folder(Measurement),
    /// Plays scenarios with and without their steps of the wall clock and prints a table of what the steps changed.
    /// Ends with 1 if a message ended at another time, or a keyed one was repeated after its window.
    Clock(Plays),
}

/// Which scenarios are played, with which seeds.
#[derive(Args)]
struct Plays {
    /// Scenario files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, from the first one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
}

#[derive(Args)]
struct Measurement {
    /// Seed of the endpoints' answers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The courier; without it the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// A scenario with its name and a seed.
struct Task<'a> {
    name: &'a str,
    scenario: &'a Scenario,
    seed: u64,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { plays, parallel, json } => run_files(&plays, parallel, json),
        Command::Plant { program, seeds, scenarios, faults } => plant(&program, seeds, &scenarios, &faults),
        Command::Cost(measurement) => measurement.run(fault_cost::measure),
        Command::Folder(measurement) => measurement.run(folder_cost::measure),
        Command::Clock(plays) => clock(&plays),
    }
}

impl Measurement {
    fn run(self, measure: fn(&Path, u64, &mut Stdout) -> Result<bool, RunError>) -> ExitCode {
        let program = self.program.unwrap_or_else(stairshed_rig::program);
        exit_code(measure(&program, self.seed, &mut io::stdout()))
    }
}

/// The exit code of a measurement that has met its targets, has missed one, or could not be done.
fn exit_code(measured: Result<bool, RunError>) -> ExitCode {
    match measured {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(NOT_PASSED),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NOT_PASSED)
        }
    }
}

impl Plays {
    fn seeds(&self) -> Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// Reads scenarios, with their names. On an error it says which file is bad.
fn read_all(files: &[PathBuf]) -> Result<Vec<(String, Scenario)>, ExitCode> {
    let read = |path: &PathBuf| match Scenario::read(path) {
        Ok(scenario) => Ok((name(path), scenario)),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            Err(ExitCode::from(BAD_SCENARIO))
        }
    };
    files.iter().map(read).collect()
}

/// Prints what the clock steps of scenarios change.
fn clock(plays: &Plays) -> ExitCode {
    let scenarios = match read_all(&plays.files) {
        Ok(scenarios) => scenarios,
        Err(code) => return code,
    };
    if let Some((name, _)) = scenarios.iter().find(|(_, scenario)| !has_clock_steps(scenario)) {
        eprintln!("{name}: no fault steps the clock");
        return ExitCode::from(BAD_SCENARIO);
    }
    exit_code(clock_effect::measure(&scenarios, plays.seeds(), &mut io::stdout()))
}

fn has_clock_steps(scenario: &Scenario) -> bool {
    scenario.faults.iter().any(|fault| fault.clock.is_some())
}

fn run_files(plays: &Plays, parallel: usize, json: bool) -> ExitCode {
    let scenarios = match read_all(&plays.files) {
        Ok(scenarios) => scenarios,
        Err(code) => return code,
    };
    let tasks: Vec<_> = scenarios
        .iter()
        .flat_map(|(name, scenario)| plays.seeds().map(move |seed| Task { name, scenario, seed }))
        .collect();
    let failed = run_all(&tasks, parallel.max(1), json);
    eprintln!("{} runs, {failed} not passed", tasks.len());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(NOT_PASSED) }
}

/// Looks for planted faults and prints what the runs have shown.
fn plant(program: &Path, seeds: u64, scenarios: &Path, faults: &[PlantedFault]) -> ExitCode {
    let runs = match PlantedRuns::new(program, scenarios) {
        Ok(runs) => runs,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SCENARIO);
        }
    };
    let is_wanted = |expected: &&Expectation| faults.is_empty() || faults.contains(&expected.fault);
    let mut missed = 0;
    for expected in EXPECTATIONS.iter().filter(is_wanted) {
        let Expectation { fault, scenario, rule } = expected;
        let prefix = format!("{fault}, {scenario}, {}:", rule.name());
        match runs.look_for(expected, 1..=seeds) {
            Ok(Finding::Found { seed, what }) => println!("{prefix} found with seed {seed}: {what}"),
            Ok(Finding::NotFound { broken }) => {
                missed += 1;
                println!("{prefix} NOT FOUND with {seeds} seeds");
                broken.iter().for_each(|other| println!("    {other}"));
            }
            Err(error) => {
                missed += 1;
                println!("{prefix} NOT FOUND, {error}");
            }
        }
    }
    if missed == 0 { ExitCode::SUCCESS } else { ExitCode::from(NOT_PASSED) }
}

fn name(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Runs all tasks and returns how many did not pass.
fn run_all(tasks: &[Task], parallel: usize, json: bool) -> usize {
    let next = Mutex::new(tasks.iter());
    let failed = Mutex::new(0);
    thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(|| {
                let next_task = || next.lock().expect("the tasks").next();
                while let Some(task) = next_task() {
                    if !run_one(task, json) {
                        *failed.lock().expect("the count") += 1;
                    }
                }
            });
        }
    });
    failed.into_inner().expect("the count")
}

/// Runs a task and prints its verdict. Returns whether it passes.
fn run_one(task: &Task, as_json: bool) -> bool {
    let verdict = match run(task.scenario, task.seed) {
        Ok(record) => Verdict::new(&record),
        Err(error) => {
            eprintln!("{} seed {}: {error}", task.name, task.seed);
            return false;
        }
    };
    if as_json {
        let mut line = verdict.to_json();
        if let Value::Object(fields) = &mut line {
            fields.insert("scenario".to_owned(), json!(task.name));
        }
        println!("{line}");
    } else {
        print!("{} {verdict}", task.name);
    }
    verdict.passes()
}
