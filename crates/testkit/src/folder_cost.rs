//! What clients see, and what becomes of their messages, while calls on the state folder fail.

use crate::fault_cost::RECOVERY_LIMIT;
use crate::runner::RunError;
use crate::scenario::{Scenario, StartMode};
use crate::steady_load::LoadMessage;
use crate::table::{table_head, table_row};
use crate::trial::{CallFault, TrialPlan, TrialRecord, run_trial};
use std::collections::BTreeMap;
use std::io::Write;
use std::iter;
use std::path::Path;
use std::time::Duration;

const CALLS: [&str; 6] = ["open", "write", "sync", TRUNCATE, RENAME, "unlink"];
/// Comes when a write has failed in the middle of a record.
const TRUNCATE: &str = "truncate";
/// Comes in couriers of the platform alone, which keep the age of the list.
const RENAME: &str = "rename";
const ERRORS: [&str; 4] = ["ENOSPC", "EIO", "EDQUOT", "EROFS"];

const BEFORE: Duration = Duration::from_secs(1);
const LASTING: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(3);
/// Large enough that the journal's segments are changed within the fault.
const BODY_BYTES: usize = 4096;
/// Class whose messages may take effect once only.
const ONCE_CLASS: &str = "payment-";

/// With this durability the journal syncs.
const SCENARIO: &str = r#"
description = "A steady load while a call on the state folder fails."
duration = "5s"
durability = "machine"
[endpoints]
latency = ["2ms", "20ms"]
[clients]
ordered = []
"#;

/// What is measured in one row.
struct FolderFault {
    fault: CallFault,
    /// Faults without which the call would not come.
    provoking: Vec<CallFault>,
    start: StartMode,
}

impl FolderFault {
    fn new(call: &'static str, error: &'static str) -> Self {
        let provoking = if call == TRUNCATE {
            vec![
                CallFault { call: "write", fault: "short", every: 2 },
                CallFault { call: "write", fault: error, every: 3 },
            ]
        } else {
            Vec::new()
        };
        let start = if call == RENAME { StartMode::Platform } else { StartMode::File };
        FolderFault { fault: CallFault { call, fault: error, every: 1 }, provoking, start }
    }

    fn all(&self) -> Vec<CallFault> {
        iter::once(self.fault).chain(self.provoking.iter().copied()).collect()
    }

    /// Its name in the table.
    fn name(&self) -> String {
        let rules: Vec<_> = self.all().iter().map(ToString::to_string).collect();
        rules.join(", ")
    }
}

const COLUMNS: [&str; 9] = [
    "fault",
    "injected",
    "answers in the fault",
    "accepted without an end",
    "doubled payments",
    "refused that ran",
    "202 again after",
    "ended by itself",
    "misses",
];

/// What a fault of the folder has done.
#[derive(Clone, Debug, PartialEq)]
pub struct FolderCost {
    pub injected: u64,
    /// Answers to the messages submitted in the fault, by status and reason.
    pub answers: BTreeMap<String, usize>,
    /// Messages of the whole run that were answered 202 and have no end.
    pub without_end: usize,
    /// Payments of the whole run that were called again; no endpoint refuses here, so each call may have run.
    pub doubled_payments: usize,
    /// Messages of the whole run with another answer than 202 that were called.
    pub refused_that_ran: usize,
    /// From the fault's end to the next answer 202.
    pub accepted_again: Option<Duration>,
    /// How the process ended, if it ended by itself.
    pub exit: Option<String>,
}

impl FolderCost {
    /// The figures of a run with this fault.
    pub fn new(record: &TrialRecord, fault: CallFault) -> Self {
        let mut answers = BTreeMap::new();
        for message in record.messages_in_fault() {
            *answers.entry(answer_name(message)).or_default() += 1;
        }
        let accepted = record.messages.iter().filter(|message| message.accepted_at().is_some());
        let refused = record.messages.iter().filter(|message| is_refused(message));
        let calls = calls_by_message(record);
        let number = |id: &str| calls.get(id).copied().unwrap_or(0);
        let payments = record.messages.iter().filter(|message| message.id.starts_with(ONCE_CLASS));
        FolderCost {
            injected: record.times_injected(fault),
            answers,
            without_end: accepted.filter(|message| !record.has_ended(&message.id)).count(),
            doubled_payments: payments.filter(|message| number(&message.id) > 1).count(),
            refused_that_ran: refused.filter(|message| number(&message.id) > 0).count(),
            accepted_again: accepted_again(record),
            exit: record.exit.clone(),
        }
    }

    /// The targets that it misses, and whether the fault never happened.
    pub fn misses(&self) -> Vec<&'static str> {
        let checks = [
            (self.injected == 0, "not reached"),
            (self.without_end > 0, "without an end"),
            (self.doubled_payments > 0, "doubled"),
            (self.refused_that_ran > 0, "refused ran"),
            (self.accepted_again.is_none_or(|time| time > RECOVERY_LIMIT), "202 again"),
            (self.exit.is_some(), "ended"),
        ];
        checks.into_iter().filter(|(is_missed, _)| *is_missed).map(|(_, name)| name).collect()
    }

    /// The cells of its row.
    pub fn row(&self, name: &str) -> [String; COLUMNS.len()] {
        let answers: Vec<_> =
            self.answers.iter().map(|(answer, number)| format!("{answer}: {number}")).collect();
        let span = AFTER.as_secs_f64();
        let again = self
            .accepted_again
            .map_or(format!("not in {span:.0} s"), |time| format!("{:.3} s", time.as_secs_f64()));
        [
            name.to_owned(),
            self.injected.to_string(),
            answers.join("; "),
            self.without_end.to_string(),
            self.doubled_payments.to_string(),
            self.refused_that_ran.to_string(),
            again,
            self.exit.clone().unwrap_or_else(|| "no".to_owned()),
            self.misses().join(", "),
        ]
    }
}

/// Status and reason of an answer.
fn answer_name(message: &LoadMessage) -> String {
    match &message.answer {
        None => "no answer".to_owned(),
        Some(answer) => match &answer.reason {
            Some(reason) => format!("{} {reason}", answer.status),
            None => answer.status.to_string(),
        },
    }
}

/// Whether the courier answered that it does not take the message.
fn is_refused(message: &LoadMessage) -> bool {
    message.answer.is_some() && message.accepted_at().is_none()
}

fn calls_by_message(record: &TrialRecord) -> BTreeMap<&str, usize> {
    let mut calls = BTreeMap::new();
    for call in &record.calls {
        *calls.entry(call.id.as_str()).or_default() += 1;
    }
    calls
}

fn accepted_again(record: &TrialRecord) -> Option<Duration> {
    let answers = record.messages.iter().filter_map(LoadMessage::accepted_at);
    let first = answers.filter(|at| *at >= record.fault_ended).min()?;
    Some(first - record.fault_ended)
}

/// Measures all errors of all calls, one after the other, and writes the table. Returns whether all targets are met.
///
/// # Errors
/// A run cannot be set up, or the table cannot be written.
pub fn measure(program: &Path, seed: u64, table: &mut impl Write) -> Result<bool, RunError> {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    let mut plan =
        TrialPlan { scenario, body_bytes: BODY_BYTES, before: BEFORE, lasting: LASTING, after: AFTER, seed };
    writeln!(table, "{}", table_head(&COLUMNS))?;
    let mut all_met = true;
    for call in CALLS {
        for error in ERRORS {
            let fault = FolderFault::new(call, error);
            plan.scenario.start = fault.start;
            let record = run_trial(&plan, program, &fault.all())?;
            let cost = FolderCost::new(&record, fault.fault);
            writeln!(table, "{}", table_row(&cost.row(&fault.name())))?;
            all_met &= cost.misses().is_empty();
        }
    }
    Ok(all_met)
}

#[cfg(test)]
#[path = "folder_cost_test.rs"]
mod tests;
