//! One courier under a steady load, with calls that fail for a while, and what was recorded.

use crate::courier_file::CourierFile;
use crate::courier_process::{CourierLog, CourierProcess, reserved_address};
use crate::endpoints::{ListingService, PlacedEndpoint};
use crate::reach::FaultCounts;
use crate::runner::RunError;
use crate::scenario::Scenario;
use crate::steady_load::{LoadMessage, SteadyLoad};
use stairshed_rig::delivery_rules::wait_for_ends;
use stairshed_rig::duplicating_endpoint::{CallLog, ServedCall};
use stairshed_rig::process_stats::cpu_seconds;
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A fault of a call, as a rule of the library `stairshed-preload`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFault {
    pub call: &'static str,
    /// Name of the `errno`, `short` or `one-byte`.
    pub fault: &'static str,
    /// The first of every so many calls has it.
    pub every: u32,
}

impl CallFault {
    /// Name under which the library counts it.
    fn count_name(self) -> String {
        format!("{} {}", self.call, self.fault)
    }
}

impl fmt::Display for CallFault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{} {} {}", self.call, self.fault, self.every)
    }
}

/// The load and the times of a trial.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    pub scenario: Scenario,
    /// Size of the messages' bodies.
    pub body_bytes: usize,
    /// Time under load before the fault.
    pub before: Duration,
    /// For how long the fault lasts.
    pub lasting: Duration,
    /// Time under load after the fault.
    pub after: Duration,
    pub seed: u64,
}

/// What was recorded in a trial.
#[derive(Clone, Debug)]
pub struct TrialRecord {
    pub fault_began: Instant,
    pub fault_ended: Instant,
    /// When the clients stopped.
    pub load_ended: Instant,
    pub messages: Vec<LoadMessage>,
    /// Calls at all endpoints, in order of arrival.
    pub calls: Vec<ServedCall>,
    /// Messages that ended by a notice.
    pub noticed: BTreeSet<String>,
    /// CPU time of the courier while the fault lasted.
    pub cpu_seconds: f64,
    /// How often faults were injected, by the library's names.
    pub injected: FaultCounts,
    /// How the process ended, if it ended by itself.
    pub exit: Option<String>,
}

/// Runs a trial of a program; without faults it is the baseline. All faults last equally long.
///
/// # Errors
/// The parts cannot be set up, or the courier does not serve before the fault.
pub fn run_trial(plan: &TrialPlan, program: &Path, faults: &[CallFault]) -> Result<TrialRecord, RunError> {
    let scenario = &plan.scenario;
    let calls = CallLog::default();
    let endpoints = PlacedEndpoint::start_all(scenario, plan.seed, &calls)?;
    let listing = ListingService::start(&endpoints);
    let mut courier = start_courier(scenario, program, &listing)?;

    let begun = Instant::now();
    let load_ended = begun + plan.before + plan.lasting + plan.after;
    let load = SteadyLoad::start(scenario, courier.address, plan.body_bytes, begun, load_ended);
    thread::sleep(plan.before);
    courier.set_rules(faults.iter().map(|fault| format!("{fault}\n")).collect());
    let fault_began = Instant::now();
    let cpu_before = courier_cpu_seconds(&courier);
    thread::sleep(plan.lasting);
    let cpu_after = courier_cpu_seconds(&courier);
    let fault_ended = Instant::now();
    courier.set_rules(String::new());

    let messages = load.join();
    let accepted = messages.iter().filter(|message| message.accepted_at().is_some());
    let accepted = accepted.map(|message| message.id.clone()).collect();
    let limit = scenario.clients.deadline.0 + scenario.clients.lateness.0;
    wait_for_ends(&accepted, &calls, &listing.discovery, limit);
    let exit = courier.take_exit().map(|status| status.to_string());
    let calls = calls.lock().expect("the calls").clone();
    Ok(TrialRecord {
        fault_began,
        fault_ended,
        load_ended,
        messages,
        calls,
        noticed: noticed(&listing),
        cpu_seconds: cpu_after - cpu_before,
        injected: courier.injected(),
        exit,
    })
}

fn start_courier(
    scenario: &Scenario,
    program: &Path,
    listing: &ListingService,
) -> Result<CourierProcess, RunError> {
    let (index, address) = (0, reserved_address());
    let log = CourierLog::default();
    let file =
        CourierFile::new(scenario, index, address, None, listing.discovery.address, listing.first_list());
    let mut courier = CourierProcess::new(index, address, file, log.clone());
    program.clone_into(&mut courier.program);
    courier.start()?;
    if !courier.wait_until_serving() {
        return Err(RunError::not_serving(index, &log));
    }
    Ok(courier)
}

/// CPU time that the process has used; it stays readable when the process has ended, until it is waited for.
fn courier_cpu_seconds(courier: &CourierProcess) -> f64 {
    courier.process_id().map(cpu_seconds).unwrap_or_default()
}

fn noticed(listing: &ListingService) -> BTreeSet<String> {
    let notices = listing.discovery.notices.lock().expect("the notices");
    notices.iter().filter_map(|notice| notice["ref"].as_str()).map(str::to_owned).collect()
}

impl TrialRecord {
    /// How often a fault was injected.
    pub fn times_injected(&self, fault: CallFault) -> u64 {
        self.injected.get(&fault.count_name()).copied().unwrap_or(0)
    }

    /// Messages that were submitted while the fault lasted.
    pub fn messages_in_fault(&self) -> impl Iterator<Item = &LoadMessage> {
        let lasting = self.fault_began..self.fault_ended;
        self.messages.iter().filter(move |message| lasting.contains(&message.sent))
    }

    /// Number of messages that endpoints confirmed from one time to another.
    pub fn deliveries(&self, from: Instant, until: Instant) -> usize {
        let confirmed = self.calls.iter().filter(|call| call.is_final());
        confirmed.filter_map(|call| call.ended).filter(|at| (from..until).contains(at)).count()
    }

    /// Whether a message was delivered, or ended by a notice.
    pub fn has_ended(&self, id: &str) -> bool {
        self.noticed.contains(id) || self.calls.iter().any(|call| call.id == id && call.is_final())
    }
}

#[cfg(test)]
#[path = "trial_test.rs"]
pub mod tests;
