//! Proof that the scenarios find what they should: runs of a courier with a planted fault must break the rule that the
//! fault breaks, and the same runs without the fault must not.

use serde_json::Value;
use stairshed_planted_faults::{PlantedFault, VARIABLE};
use stairshed_rig::PROGRAM_VARIABLE;
use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use crate::verdict::Rule;

/// A planted fault, and the scenario and rule that find it.
#[derive(Clone, Copy, Debug)]
pub struct Expectation {
    pub fault: PlantedFault,
    /// Name of the scenario's file, without its extension.
    pub scenario: &'static str,
    pub rule: Rule,
}

/// Which scenario finds which fault.
pub const EXPECTATIONS: [Expectation; PlantedFault::ALL.len()] = [
    expect(PlantedFault::AttemptRecordedLate, "kill-in-flight", Rule::NoEffectTwice),
    expect(PlantedFault::AcceptedBeforeRecord, "kill-in-write", Rule::NothingLost),
    expect(PlantedFault::ToldWaitIgnored, "waits", Rule::WaitsHeeded),
    expect(PlantedFault::InterruptedReadCloses, "interrupted-waits", Rule::RequestsAnswered),
    expect(PlantedFault::ShortWriteTakenAsWhole, "short-writes", Rule::NothingLost),
    expect(PlantedFault::ResetTakenAsNeverRan, "connect-unavailable", Rule::NoEffectTwice),
    expect(PlantedFault::KeyedPastWindow, "key-window", Rule::NoEffectTwice),
    expect(PlantedFault::KeyedInOtherZone, "key-window", Rule::NoEffectTwice),
    expect(PlantedFault::LeaseRenewedByRefusal, "drain-unheard", Rule::DrainsKept),
    expect(PlantedFault::SyncErrorIgnored, "sync-outage", Rule::AcceptedWhenDurable),
    expect(PlantedFault::DeadlineByWallClock, "clock-held", Rule::NothingLost),
    expect(PlantedFault::AcceptWithoutBackoff, "accept-refused", Rule::AcceptsSpaced),
    expect(PlantedFault::OrderIgnored, "order", Rule::Order),
    expect(PlantedFault::EndNotRecorded, "kill-in-flight", Rule::EndsOnce),
    expect(PlantedFault::TornFrameRead, "kill-in-body", Rule::SentAsSubmitted),
    expect(PlantedFault::DrainIgnored, "drains", Rule::DrainsKept),
    expect(PlantedFault::SlowStartSkipped, "slow-start", Rule::NoOverload),
];

const fn expect(fault: PlantedFault, scenario: &'static str, rule: Rule) -> Expectation {
    Expectation { fault, scenario, rule }
}

/// Why a fault cannot be looked for.
#[derive(Debug, thiserror::Error)]
pub enum PlantError {
    #[error("{}: it is no test build, see docs/planted-faults.md", program.display())]
    NoTestBuild { program: PathBuf },
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    #[error("{scenario} seed {seed}: no verdict: {message}")]
    NoVerdict { scenario: &'static str, seed: u64, message: String },
}

/// What the runs with a fault have shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The rule was broken with this seed, and not without the fault.
    Found { seed: u64, what: String },
    /// In no run was the rule broken by the fault alone. Lists what was broken.
    NotFound { broken: Vec<String> },
}

/// A rule that a run broke.
struct Breach {
    rule: String,
    what: String,
}

/// A test build of the courier, and the folder of the scenarios.
pub struct PlantedRuns {
    program: PathBuf,
    scenarios: PathBuf,
}

impl PlantedRuns {
    /// Runs of this program.
    ///
    /// # Errors
    /// It is no test build, or cannot be run.
    pub fn new(program: &Path, scenarios: &Path) -> Result<Self, PlantError> {
        let path = program.to_owned();
        // A test build refuses a fault that it does not know; a normal build does not read the variable.
        let mut command = Command::new(program);
        let status =
            command.arg("--version").env(VARIABLE, "none").stdout(Stdio::null()).stderr(Stdio::null());
        let status =
            status.status().map_err(|source| PlantError::Program { program: path.clone(), source })?;
        if status.success() {
            return Err(PlantError::NoTestBuild { program: path });
        }
        Ok(PlantedRuns { program: path, scenarios: scenarios.to_owned() })
    }

    /// Runs the fault's scenario with these seeds until one finds it.
    ///
    /// # Errors
    /// A run has no verdict.
    pub fn look_for(
        &self,
        expected: &Expectation,
        seeds: impl Iterator<Item = u64>,
    ) -> Result<Finding, PlantError> {
        let mut others = Vec::new();
        for seed in seeds {
            let breaches = self.run(expected, seed, Some(expected.fault))?;
            let is_expected = |breach: &&Breach| breach.rule == expected.rule.name();
            if let Some(breach) = breaches.iter().find(is_expected) {
                let without = self.run(expected, seed, None)?;
                if !without.iter().any(|other| other.rule == breach.rule) {
                    return Ok(Finding::Found { seed, what: breach.what.clone() });
                }
                others.push(format!("seed {seed}: {}, also without the fault", breach.rule));
            }
            let unexpected = breaches.iter().filter(|breach| !is_expected(breach));
            others.extend(unexpected.map(|breach| format!("seed {seed}: {}, {}", breach.rule, breach.what)));
        }
        Ok(Finding::NotFound { broken: others })
    }

    /// Runs the scenario in a process of its own, with or without the fault, and returns the broken rules.
    fn run(
        &self,
        expected: &Expectation,
        seed: u64,
        fault: Option<PlantedFault>,
    ) -> Result<Vec<Breach>, PlantError> {
        let no_verdict =
            |message: String| PlantError::NoVerdict { scenario: expected.scenario, seed, message };
        let output = self.command(expected, seed, fault).and_then(|mut command| command.output());
        let output = output.map_err(|error| no_verdict(error.to_string()))?;
        broken_rules(&output).ok_or_else(|| no_verdict(String::from_utf8_lossy(&output.stderr).into_owned()))
    }

    fn command(&self, expected: &Expectation, seed: u64, fault: Option<PlantedFault>) -> io::Result<Command> {
        let mut command = Command::new(std::env::current_exe()?);
        let file = self.scenarios.join(expected.scenario).with_extension("toml");
        let seed = seed.to_string();
        let arguments: [&OsStr; 5] =
            ["run".as_ref(), file.as_ref(), "--json".as_ref(), "--seed".as_ref(), seed.as_ref()];
        command.args(arguments).env(PROGRAM_VARIABLE, &self.program).env_remove(VARIABLE);
        if let Some(fault) = fault {
            command.env(VARIABLE, fault.name());
        }
        Ok(command)
    }
}

/// The broken rules of a verdict in JSON; None if there is no verdict.
fn broken_rules(output: &Output) -> Option<Vec<Breach>> {
    let verdict: Value = serde_json::from_slice(&output.stdout).ok()?;
    let rules = verdict["rules"].as_array()?;
    let broken = rules.iter().filter(|rule| rule["result"] == "broken");
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    Some(broken.map(|rule| Breach { rule: text(&rule["rule"]), what: text(&rule["what"]) }).collect())
}

#[cfg(test)]
#[path = "planted_test.rs"]
mod tests;
