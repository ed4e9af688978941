//! The steps of a plan in the order of time.

use crate::plan::{Plan, PlannedFault, Stroke};
use crate::scenario::{FaultKind, SignalKind};
use std::time::Duration;

/// Something that the runner does. Faults are named by their index in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A fault that lasts begins.
    Begin(usize),
    End(usize),
    Hangup {
        fault: usize,
        courier: usize,
    },
    Terminate {
        fault: usize,
        courier: usize,
    },
    Kill {
        fault: usize,
        courier: usize,
    },
    Start {
        courier: usize,
    },
    Freeze {
        fault: usize,
        courier: usize,
    },
    Thaw {
        courier: usize,
    },
}

/// A step and its time from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    pub at: Duration,
    pub step: Step,
}

/// Returns the steps of a plan. Faults without an end have no step that ends them.
pub fn steps(plan: &Plan) -> Vec<TimedStep> {
    let mut all = Vec::new();
    for (index, fault) in plan.faults.iter().enumerate() {
        match fault.kind {
            FaultKind::Signal(_) | FaultKind::Freeze(_) => add_strokes(&mut all, index, fault),
            _ => {
                all.push(TimedStep { at: fault.begins, step: Step::Begin(index) });
                all.extend(fault.ends.map(|at| TimedStep { at, step: Step::End(index) }));
            }
        }
    }
    all.sort_by_key(|step| step.at);
    all
}

fn add_strokes(all: &mut Vec<TimedStep>, fault: usize, planned: &PlannedFault) {
    for &courier in &planned.couriers {
        for stroke in &planned.strokes {
            add_stroke(all, &planned.kind, fault, courier, stroke);
        }
    }
}

fn add_stroke(all: &mut Vec<TimedStep>, kind: &FaultKind, fault: usize, courier: usize, stroke: &Stroke) {
    let mut add = |at, step| all.push(TimedStep { at, step });
    let ends = stroke.at + stroke.length;
    match kind {
        FaultKind::Freeze(_) => {
            add(stroke.at, Step::Freeze { fault, courier });
            add(ends, Step::Thaw { courier });
        }
        FaultKind::Signal(signal) if signal.kind == SignalKind::Hup => {
            add(stroke.at, Step::Hangup { fault, courier });
        }
        FaultKind::Signal(signal) => {
            if signal.kind == SignalKind::TermKill {
                let all = signal.again as u32 + 1;
                for number in 0..all {
                    add(stroke.at + stroke.length * number / all, Step::Terminate { fault, courier });
                }
            }
            add(ends, Step::Kill { fault, courier });
            add(ends + stroke.down, Step::Start { courier });
        }
        _ => {}
    }
}

#[cfg(test)]
#[path = "timeline_test.rs"]
mod tests;
