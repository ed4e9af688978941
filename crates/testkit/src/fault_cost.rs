//! What failing calls cost: messages while they fail, time to recover, CPU.

use crate::runner::RunError;
use crate::scenario::Scenario;
use crate::table::{table_head, table_row};
use crate::trial::{CallFault, TrialPlan, TrialRecord, run_trial};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time in which deliveries are back at most.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(2);
/// CPU time in the fault over the baseline's, at most.
const CPU_RATIO_LIMIT: f64 = 2.0;
/// Deliveries are back when they are this share of the baseline's.
const RECOVERED_SHARE: f64 = 0.9;
/// Deliveries are counted in windows of this length.
const WINDOW: Duration = Duration::from_millis(250);

const BEFORE: Duration = Duration::from_secs(2);
const LASTING: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(4);
const BODY_BYTES: usize = 64;

/// The endpoints close half of the connections, so that the courier connects all the time.
const SCENARIO: &str = r#"
description = "A steady load while a call fails."
duration = "9s"
[endpoints]
latency = ["2ms", "20ms"]
closing = 0.5
[clients]
ordered = []
"#;

const COLUMNS: [&str; 9] = [
    "fault",
    "injected",
    "answered 202",
    "delivered meanwhile",
    "back after",
    "CPU",
    "CPU over baseline's",
    "ended by itself",
    "misses",
];

/// Name of the row without a fault.
const BASELINE: &str = "none";

/// The faults: every second call; where descriptors or memory run out in `accept`, every one, too.
pub const FAULTS: [CallFault; 22] = [
    every_second("accept", "EMFILE"),
    every_second("accept", "ENFILE"),
    every_second("accept", "ENOBUFS"),
    every_second("accept", "ENOMEM"),
    every_second("accept", "ECONNABORTED"),
    every_second("accept", "EINTR"),
    every_second("accept", "EPROTO"),
    each("accept", "EMFILE"),
    each("accept", "ENFILE"),
    each("accept", "ENOBUFS"),
    each("accept", "ENOMEM"),
    every_second("connect", "EADDRNOTAVAIL"),
    every_second("connect", "ETIMEDOUT"),
    every_second("connect", "EHOSTUNREACH"),
    every_second("wait", "EINTR"),
    every_second("recv", "EINTR"),
    every_second("recv", "short"),
    every_second("recv", "one-byte"),
    every_second("send", "EINTR"),
    every_second("send", "short"),
    every_second("send", "one-byte"),
    every_second("socket", "EMFILE"),
];

const fn every_second(call: &'static str, fault: &'static str) -> CallFault {
    CallFault { call, fault, every: 2 }
}

const fn each(call: &'static str, fault: &'static str) -> CallFault {
    CallFault { call, fault, every: 1 }
}

/// What the baseline run has shown.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    /// Deliveries in a window, on average.
    pub window_deliveries: f64,
    pub cpu_seconds: f64,
}

impl Baseline {
    /// The figures of a run without a fault.
    pub fn new(record: &TrialRecord) -> Self {
        let span = record.load_ended - record.fault_ended;
        let deliveries = record.deliveries(record.fault_ended, record.load_ended);
        let windows = span.as_secs_f64() / WINDOW.as_secs_f64();
        Baseline { window_deliveries: deliveries as f64 / windows, cpu_seconds: record.cpu_seconds }
    }
}

/// What a fault has cost.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultCost {
    pub injected: u64,
    /// Share of the messages submitted in the fault that were answered 202.
    pub accepted_share: f64,
    /// Deliveries in the fault over the messages submitted in it.
    pub delivered_share: f64,
    /// From the fault's end to the end of the first window with enough deliveries; None if there is none.
    pub recovery: Option<Duration>,
    pub cpu_seconds: f64,
    pub cpu_ratio: f64,
    /// How the process ended, if it ended by itself.
    pub exit: Option<String>,
}

impl FaultCost {
    /// The figures of a run, beside those of the baseline.
    pub fn new(record: &TrialRecord, baseline: Baseline) -> Self {
        let submitted = record.messages_in_fault().count() as f64;
        let accepted = record.messages_in_fault().filter(|message| message.accepted_at().is_some());
        let delivered = record.deliveries(record.fault_began, record.fault_ended);
        FaultCost {
            injected: record.injected.values().sum(),
            accepted_share: accepted.count() as f64 / submitted,
            delivered_share: delivered as f64 / submitted,
            recovery: recovery(record, baseline),
            cpu_seconds: record.cpu_seconds,
            cpu_ratio: record.cpu_seconds / baseline.cpu_seconds,
            exit: record.exit.clone(),
        }
    }

    /// The targets that it misses, and whether the fault never happened.
    pub fn misses(&self) -> Vec<&'static str> {
        let checks = [
            (self.injected == 0, "not reached"),
            (self.recovery.is_none_or(|time| time > RECOVERY_LIMIT), "back"),
            (self.cpu_ratio.is_nan() || self.cpu_ratio > CPU_RATIO_LIMIT, "CPU"),
            (self.exit.is_some(), "ended"),
        ];
        checks.into_iter().filter(|(is_missed, _)| *is_missed).map(|(_, name)| name).collect()
    }

    /// The cells of its row.
    pub fn row(&self, name: &str) -> [String; COLUMNS.len()] {
        let span = AFTER.as_secs_f64();
        [
            name.to_owned(),
            self.injected.to_string(),
            percent(self.accepted_share),
            percent(self.delivered_share),
            self.recovery
                .map_or(format!("not in {span:.0} s"), |time| format!("{:.2} s", time.as_secs_f64())),
            format!("{:.2} s", self.cpu_seconds),
            format!("{:.2}", self.cpu_ratio),
            self.exit.clone().unwrap_or_else(|| "no".to_owned()),
            self.misses().join(", "),
        ]
    }
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Time until the deliveries of a window are enough, if those of the windows from there on are, too, on average.
fn recovery(record: &TrialRecord, baseline: Baseline) -> Option<Duration> {
    let needed = baseline.window_deliveries * RECOVERED_SHARE;
    let counts = window_deliveries(record);
    let is_back = |from: usize| {
        let rest = &counts[from..];
        let average = rest.iter().sum::<usize>() as f64 / rest.len() as f64;
        rest[0] as f64 >= needed && average >= needed
    };
    let first = (0..counts.len()).find(|from| is_back(*from))?;
    Some(WINDOW * (first as u32 + 1))
}

/// Deliveries in each whole window between the fault's end and the load's.
fn window_deliveries(record: &TrialRecord) -> Vec<usize> {
    let ends = |from: &Instant| *from + WINDOW;
    let windows = std::iter::successors(Some(record.fault_ended), |from| Some(ends(from)));
    let whole = windows.take_while(|from| ends(from) <= record.load_ended);
    whole.map(|from| record.deliveries(from, ends(&from))).collect()
}

/// Measures all faults of a program, one after the other, and writes the table. Returns whether all targets are met.
///
/// # Errors
/// A run cannot be set up, or the table cannot be written.
pub fn measure(program: &Path, seed: u64, table: &mut impl Write) -> Result<bool, RunError> {
    let scenario = Scenario::parse(SCENARIO).expect("a valid scenario");
    let plan =
        TrialPlan { scenario, body_bytes: BODY_BYTES, before: BEFORE, lasting: LASTING, after: AFTER, seed };
    let record = run_trial(&plan, program, &[])?;
    let baseline = Baseline::new(&record);
    let mut cells = FaultCost::new(&record, baseline).row(BASELINE);
    cells[COLUMNS.len() - 1].clear();
    writeln!(table, "{}\n{}", table_head(&COLUMNS), table_row(&cells))?;
    let mut all_met = true;
    for fault in FAULTS {
        let cost = FaultCost::new(&run_trial(&plan, program, &[fault])?, baseline);
        writeln!(table, "{}", table_row(&cost.row(&fault.to_string())))?;
        all_met &= cost.misses().is_empty();
    }
    Ok(all_met)
}

#[cfg(test)]
#[path = "fault_cost_test.rs"]
mod tests;
