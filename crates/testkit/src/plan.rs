//! What a seed draws from a scenario: the faults with their exact times.

use crate::scenario::{FaultKind, Scenario, SignalKind};
use crate::span::SpanRange;
use rand::rngs::SmallRng;
use std::fmt;
use std::time::Duration;

/// Time from SIGTERM to SIGKILL on the platform, at least.
const TERM_GRACE: SpanRange = SpanRange::exactly(Duration::from_millis(3_700));
/// Time from the end of a process to the next start on the platform, at least.
const DOWNTIME: SpanRange = SpanRange::exactly(Duration::from_millis(600));
/// For strokes that last no time.
const NONE: SpanRange = SpanRange::exactly(Duration::ZERO);
/// Time between two signals or freezes.
const PAUSE: SpanRange = SpanRange::exactly(Duration::from_millis(50));

/// The faults of one run, in the order of the file.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<PlannedFault>,
}

/// A fault with its times.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    pub kind: FaultKind,
    pub couriers: Vec<usize>,
    /// From the start of the run.
    pub begins: Duration,
    /// None: at the end of the run.
    pub ends: Option<Duration>,
    /// Signals or freezes within it.
    pub strokes: Vec<Stroke>,
}

/// One signal or freeze.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stroke {
    pub at: Duration,
    /// Length of a freeze, or time from SIGTERM to SIGKILL.
    pub length: Duration,
    /// Time until the next start.
    pub down: Duration,
}

impl Plan {
    /// Draws the plan of a seed. The same seed always gives the same plan.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = Scenario::generator(seed);
        let mut faults = Vec::new();
        for fault in &scenario.faults {
            let Ok(kind) = fault.kind() else { continue };
            let begins = fault.at.map_or(Duration::ZERO, |at| at.draw(&mut rng));
            let ends = fault.span.map(|span| begins + span.draw(&mut rng));
            let strokes = draw_strokes(&kind, begins, &mut rng);
            let all = || (0..scenario.couriers).collect();
            let couriers = fault.couriers.clone().unwrap_or_else(all);
            faults.push(PlannedFault { kind, couriers, begins, ends, strokes });
        }
        Plan { seed, faults }
    }

    /// The same plan without its steps of the wall clock; all other times stay.
    pub fn without_clock_steps(mut self) -> Self {
        self.faults.retain(|fault| !matches!(fault.kind, FaultKind::Clock(_)));
        self
    }
}

fn draw_strokes(kind: &FaultKind, begins: Duration, rng: &mut SmallRng) -> Vec<Stroke> {
    let (count, every, length, down) = match kind {
        FaultKind::Signal(signal) => {
            let grace = signal.grace.unwrap_or(TERM_GRACE);
            let down = signal.down.unwrap_or(DOWNTIME);
            match signal.kind {
                SignalKind::Hup => (signal.count, signal.every, NONE, NONE),
                SignalKind::Kill => (signal.count, signal.every, NONE, down),
                SignalKind::TermKill => (signal.count, signal.every, grace, down),
            }
        }
        FaultKind::Freeze(freeze) => (freeze.count, freeze.every, freeze.length, NONE),
        _ => return Vec::new(),
    };
    let mut at = begins;
    let mut strokes = Vec::new();
    for _ in 0..count {
        let stroke = Stroke { at, length: length.draw(rng), down: down.draw(rng) };
        at = stroke.at + stroke.length + stroke.down + every.unwrap_or(PAUSE).draw(rng);
        strokes.push(stroke);
    }
    strokes
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{:.3} s to ", self.begins.as_secs_f64())?;
        match self.ends {
            Some(end) => write!(to, "{:.3} s", end.as_secs_f64())?,
            None => write!(to, "the end")?,
        }
        write!(to, ", couriers {:?}: {:?}", self.couriers, self.kind)?;
        for stroke in &self.strokes {
            write!(to, "; at {:.3} s for {:.3} s", stroke.at.as_secs_f64(), stroke.length.as_secs_f64())?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "plan_test.rs"]
mod tests;
