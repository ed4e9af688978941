//! Runs a scenario from a seed and collects its records.

use crate::clients::ClientGroup;
use crate::courier_file::CourierFile;
use crate::courier_process::{CourierLog, CourierProcess, reserved_address, was_killed};
use crate::crowd::Crowd;
use crate::endpoints::{ListingService, PlacedEndpoint};
use crate::folder_outages::FolderOutages;
use crate::mqtt_clients::{MqttClients, MqttRecord};
use crate::plan::{Plan, PlannedFault};
use crate::proxy::{Proxy, ProxyFault};
use crate::reach::{FaultCounts, difference, injected_names, own_name};
use crate::record::{
    Crash, DrainRecord, FreezeRecord, LifeEnd, Notice, Record, StepRecord, StopRecord, Submission, taken_id,
};
use crate::scenario::{FaultKind, Link, LinkFault, Scenario};
use crate::timeline::{Step, TimedStep, steps};
use rustix::process::Signal;
use stairshed_rig::delivery_rules::CourierKill;
use stairshed_rig::duplicating_endpoint::CallLog;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks at the timeline, the processes and the notices.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two looks for messages that have not ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the end of a process by itself to the next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// SIGHUP never comes in the first second of a program.
const MIN_AGE_FOR_HANGUP: Duration = Duration::from_secs(1);
/// Within this time something that happened is noted.
const NOTE_TIME: Duration = Duration::from_millis(100);

/// Why a run could not be done.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("cannot be set up: {0}")]
    Setup(#[from] io::Error),
    #[error("courier {courier} does not serve: {last_line}")]
    NotServing { courier: usize, last_line: String },
}

impl RunError {
    /// A courier does not serve; the last line of the log tells why.
    pub fn not_serving(courier: usize, log: &CourierLog) -> Self {
        let log = log.lock().expect("the log");
        let last_line = log.last().map(|line| line.text.clone()).unwrap_or_default();
        RunError::NotServing { courier, last_line }
    }
}

/// The parts of a run.
struct Run {
    record: Record,
    endpoints: Vec<PlacedEndpoint>,
    listing: ListingService,
    discovery_proxy: Proxy,
    couriers: Vec<CourierProcess>,
    client_proxies: Vec<Proxy>,
    /// Of MQTT clients, if the scenario has any.
    mqtt_proxies: Vec<Proxy>,
    courier_log: CourierLog,
    calls: CallLog,
    /// Faults that last and have begun, by index, with the counts before them.
    active: Vec<ActiveFault>,
    folder_outages: FolderOutages,
    /// When a courier that ended by itself starts again.
    restarts: Vec<Option<Instant>>,
    /// When a courier was stopped.
    frozen_since: Vec<Option<Instant>>,
    /// Notices that were recorded so far.
    notices_seen: usize,
}

/// A fault that lasts and has begun.
struct ActiveFault {
    index: usize,
    since: Instant,
    counts_before: FaultCounts,
}

/// Whether a fault makes writes to the state folder fail.
fn fails_writes(kind: &FaultKind) -> bool {
    matches!(kind, FaultKind::Calls(rules) if rules.iter().any(|rule| rule.starts_with("write ")))
}

/// Runs a scenario with the plan of a seed.
///
/// # Errors
/// The parts cannot be set up. What happens to couriers after the start is part of the record.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Record, RunError> {
    run_plan(scenario, Plan::draw(scenario, seed))
}

/// Runs a scenario with a plan that was drawn from it.
///
/// # Errors
/// As [`run`].
pub fn run_plan(scenario: &Scenario, plan: Plan) -> Result<Record, RunError> {
    let seed = plan.seed;
    let mut run = Run::set_up(scenario, plan)?;
    run.wait_until_serving()?;
    run.record.begun = Instant::now();
    let addresses: Vec<_> = run.client_proxies.iter().map(|proxy| proxy.address).collect();
    let couriers: Vec<_> = run.couriers.iter().map(|courier| courier.address).collect();
    let crowd = Crowd::start(scenario.clients.crowd, &couriers);
    let clients = ClientGroup::start(scenario, seed, &addresses);
    let mqtt_addresses: Vec<_> = run.mqtt_proxies.iter().map(|proxy| proxy.address).collect();
    let mqtt_clients = MqttClients::start(scenario, seed, &mqtt_addresses);
    run.play(&clients, &mqtt_clients);
    drop(crowd);
    Ok(run.finish(clients, mqtt_clients))
}

impl Run {
    fn set_up(scenario: &Scenario, plan: Plan) -> Result<Self, RunError> {
        let seed = plan.seed;
        let calls = CallLog::default();
        let endpoints = PlacedEndpoint::start_all(scenario, seed, &calls)?;
        let listing = ListingService::start(&endpoints);
        let discovery_proxy = Proxy::start(listing.discovery.address, seed)?;
        let courier_log = CourierLog::default();
        let (mut couriers, mut client_proxies, mut mqtt_proxies) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..scenario.couriers {
            let address = reserved_address();
            let mqtt = (scenario.clients.mqtt > 0).then(reserved_address);
            let known = listing.first_list();
            let file = CourierFile::new(scenario, index, address, mqtt, discovery_proxy.address, known);
            let mut courier = CourierProcess::new(index, address, file, courier_log.clone());
            courier.start()?;
            couriers.push(courier);
            client_proxies.push(Proxy::start(address, seed)?);
            if let Some(mqtt) = mqtt {
                mqtt_proxies.push(Proxy::start(mqtt, seed)?);
            }
        }
        let mut record = Record::new(scenario.clone(), plan, Instant::now());
        record.reached = vec![FaultCounts::new(); record.plan.faults.len()];
        Ok(Run {
            record,
            endpoints,
            listing,
            discovery_proxy,
            restarts: vec![None; couriers.len()],
            frozen_since: vec![None; couriers.len()],
            couriers,
            client_proxies,
            mqtt_proxies,
            courier_log,
            calls,
            active: Vec::new(),
            folder_outages: FolderOutages::default(),
            notices_seen: 0,
        })
    }

    fn wait_until_serving(&mut self) -> Result<(), RunError> {
        for (index, courier) in self.couriers.iter_mut().enumerate() {
            if !courier.wait_until_serving() {
                return Err(RunError::not_serving(index, &self.courier_log));
            }
        }
        Ok(())
    }

    /// Does the steps of the plan, and waits until all messages have ended or should have.
    fn play(&mut self, clients: &ClientGroup, mqtt_clients: &MqttClients) {
        let run_end = self.record.scenario.duration.0;
        let mut steps = steps(&self.record.plan).into_iter().peekable();
        let mut next_end_check = Instant::now();
        loop {
            let elapsed = self.record.begun.elapsed();
            while let Some(TimedStep { step, .. }) = steps.next_if(|next| next.at <= elapsed) {
                self.perform(step);
            }
            self.supervise();
            self.collect_notices();
            if elapsed >= run_end {
                clients.stop();
                mqtt_clients.stop();
                let have_ended = clients.have_ended() && mqtt_clients.have_ended();
                if steps.peek().is_none() && have_ended && Instant::now() >= next_end_check {
                    if self.is_over(&clients.submissions()) {
                        return;
                    }
                    next_end_check = Instant::now() + END_CHECK_INTERVAL;
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether each accepted message has ended, or the last one should have.
    fn is_over(&self, submissions: &[Submission]) -> bool {
        let clients = &self.record.scenario.clients;
        let accepted = submissions.iter().filter_map(|message| Some((&message.id, message.accepted_at()?)));
        let limit = clients.deadline.0 + clients.lateness.0;
        let lives = self.lives(submissions);
        // What is noted just after a message was taken on again may be about its life before.
        let is_last_life =
            |id: &String, at: Instant| lives.get(id).is_none_or(|began| at >= *began + NOTE_TIME);
        let calls = self.calls.lock().expect("the calls");
        let final_calls = calls.iter().filter(|call| call.is_final());
        let final_calls = final_calls.filter_map(|call| Some((&call.id, call.ended?)));
        let notices = self.record.notices.iter().map(|notice| (&notice.id, notice.at));
        let ends = final_calls.chain(notices).filter(|(id, at)| is_last_life(id, *at));
        let ended: BTreeSet<_> = ends.map(|(id, _)| id).collect();
        // A message that was taken on again has its time from then.
        let since = |id: &String, at: Instant| lives.get(id).copied().unwrap_or(at).max(at).elapsed();
        accepted.into_iter().all(|(id, at)| ended.contains(id) || since(id, at) > limit)
    }

    /// When messages that clients submitted again were last taken on.
    fn lives(&self, submissions: &[Submission]) -> BTreeMap<String, Instant> {
        let repeats = submissions.iter().filter(|message| message.is_repeat);
        let repeated: BTreeSet<_> = repeats.map(|message| message.id.as_str()).collect();
        let log = self.courier_log.lock().expect("the log");
        let taken = log.iter().filter_map(|line| Some((taken_id(&line.text)?, line.at)));
        let again = taken.filter(|(id, _)| repeated.contains(id));
        again.map(|(id, at)| (id.to_owned(), at)).collect()
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Begin(fault) => self.begin(fault),
            Step::End(fault) => self.end(fault),
            // A program that has not opened its signals yet would end.
            Step::Hangup { courier, .. } if !self.couriers[courier].has_run_for(MIN_AGE_FOR_HANGUP) => {}
            Step::Hangup { fault, courier } => self.signal(fault, courier, Signal::HUP),
            Step::Terminate { fault, courier } => self.terminate(fault, courier),
            Step::Kill { fault, courier } => self.kill(fault, courier),
            Step::Start { courier } => self.start(courier),
            Step::Freeze { fault, courier } => {
                self.signal(fault, courier, Signal::STOP);
                self.frozen_since[courier] = Some(Instant::now());
            }
            Step::Thaw { courier } => self.thaw(courier),
        }
    }

    fn note(&mut self, text: String) {
        self.record.steps.push(StepRecord { at: Instant::now(), text });
    }

    fn fault(&self, index: usize) -> PlannedFault {
        self.record.plan.faults[index].clone()
    }

    fn begin(&mut self, index: usize) {
        let fault = self.fault(index);
        self.note(format!("fault {} begins", index + 1));
        let counts_before = self.counts(&fault);
        let since = Instant::now();
        self.active.push(ActiveFault { index, since, counts_before });
        if fails_writes(&fault.kind) {
            self.folder_outages.begin(index, fault.couriers.to_vec(), since);
        }
        match &fault.kind {
            FaultKind::Clock(_) | FaultKind::Calls(_) => self.apply_rules(&fault.couriers),
            FaultKind::Link(link) => {
                let own = proxy_fault(link);
                self.proxies(&fault, link).into_iter().for_each(|proxy| proxy.begin(own));
            }
            FaultKind::Drain(drain) => {
                self.listing.list_zone(&self.endpoints, &drain.zone, true);
                self.record.reached[index].insert(own_name(&fault.kind), 1);
            }
            FaultKind::Signal(_) | FaultKind::Freeze(_) => {}
        }
    }

    fn end(&mut self, index: usize) {
        let Some(place) = self.active.iter().position(|active| active.index == index) else { return };
        let ended = self.active.remove(place);
        let fault = self.fault(index);
        self.count_reached(&fault, &ended);
        match &fault.kind {
            FaultKind::Clock(_) | FaultKind::Calls(_) => self.apply_rules(&fault.couriers),
            FaultKind::Link(link) => self.end_link(&fault, link),
            FaultKind::Drain(drain) => {
                self.listing.list_zone(&self.endpoints, &drain.zone, false);
                let until = Instant::now();
                let of_zone = self.endpoints.iter().filter(|endpoint| endpoint.zone == drain.zone);
                let records = of_zone.map(|endpoint| DrainRecord {
                    endpoint: endpoint.name.clone(),
                    from: ended.since,
                    until,
                });
                self.record.drains.extend(records);
            }
            FaultKind::Signal(_) | FaultKind::Freeze(_) => {}
        }
        self.folder_outages.end(index, Instant::now());
        self.note(format!("fault {} ends", index + 1));
    }

    /// Ends a link fault; another one of the same link that has begun holds again.
    fn end_link(&self, fault: &PlannedFault, link: &LinkFault) {
        for proxy in self.proxies(fault, link) {
            proxy.end();
        }
        for active in &self.active {
            let other = self.fault(active.index);
            if let FaultKind::Link(own) = &other.kind
                && own.between == link.between
            {
                self.proxies(&other, own).into_iter().for_each(|proxy| proxy.begin(proxy_fault(own)));
            }
        }
    }

    /// The proxies of the connections that a link fault concerns.
    fn proxies(&self, fault: &PlannedFault, link: &LinkFault) -> Vec<&Proxy> {
        match link.between {
            Link::ClientCourier => {
                let of_courier = |courier: &usize| {
                    let http = self.client_proxies.get(*courier);
                    http.into_iter().chain(self.mqtt_proxies.get(*courier))
                };
                fault.couriers.iter().flat_map(of_courier).collect()
            }
            Link::CourierDiscovery => vec![&self.discovery_proxy],
            Link::CourierEndpoint => {
                let concerned =
                    |endpoint: &&PlacedEndpoint| link.zone.as_ref().is_none_or(|zone| *zone == endpoint.zone);
                self.endpoints
                    .iter()
                    .filter(concerned)
                    .filter_map(|endpoint| endpoint.proxy.as_ref())
                    .collect()
            }
        }
    }

    /// Writes the rules of all active faults of these couriers.
    fn apply_rules(&mut self, couriers: &[usize]) {
        for &courier in couriers {
            let (mut clock_seconds, mut rules) = (0.0, String::new());
            for active in &self.active {
                let fault = &self.record.plan.faults[active.index];
                match &fault.kind {
                    FaultKind::Clock(seconds) if fault.couriers.contains(&courier) => {
                        clock_seconds += seconds
                    }
                    FaultKind::Calls(lines) if fault.couriers.contains(&courier) => {
                        rules += &(lines.join("\n") + "\n");
                    }
                    _ => {}
                }
            }
            if clock_seconds != 0.0 {
                rules += &format!("clock {clock_seconds}\n");
            }
            self.couriers[courier].set_rules(rules);
        }
    }

    /// How often the fault has happened by now.
    fn counts(&self, fault: &PlannedFault) -> FaultCounts {
        let mut all = FaultCounts::new();
        if injected_names(&fault.kind).is_some() {
            for &courier in &fault.couriers {
                for (name, number) in self.couriers[courier].injected() {
                    *all.entry(name).or_default() += number;
                }
            }
        } else if let FaultKind::Link(link) = &fault.kind {
            let affected = self.proxies(fault, link).iter().map(|proxy| proxy.affected()).sum();
            all.insert(own_name(&fault.kind), affected);
        }
        all
    }

    fn count_reached(&mut self, fault: &PlannedFault, ended: &ActiveFault) {
        if matches!(fault.kind, FaultKind::Drain(_)) {
            return;
        }
        let names = injected_names(&fault.kind).unwrap_or_else(|| vec![own_name(&fault.kind)]);
        let counts = difference(&names, &ended.counts_before, &self.counts(fault));
        self.record.reached[ended.index] = counts;
    }

    fn signal(&mut self, fault: usize, courier: usize, signal: Signal) {
        let sent = self.couriers[courier].signal(signal);
        self.count_stroke(fault, sent);
        self.note(format!("{} to courier {courier}", signal_name(signal)));
    }

    fn count_stroke(&mut self, fault: usize, happened: bool) {
        let name = own_name(&self.record.plan.faults[fault].kind);
        *self.record.reached[fault].entry(name).or_default() += u64::from(happened);
    }

    fn terminate(&mut self, fault: usize, courier: usize) {
        let sent = self.couriers[courier].signal(Signal::TERM);
        if sent {
            self.record.stops.push(StopRecord { courier, at: Instant::now() });
        }
        self.count_stroke(fault, sent);
        self.note(format!("SIGTERM to courier {courier}"));
    }

    fn kill(&mut self, fault: usize, courier: usize) {
        self.thaw(courier);
        let killed = self.couriers[courier].kill();
        self.restarts[courier] = None;
        self.count_stroke(fault, killed);
        self.record_end(courier, killed);
        self.note(format!("SIGKILL to courier {courier}"));
    }

    fn record_end(&mut self, courier: usize, was_killed: bool) {
        let at = Instant::now();
        let kill = CourierKill { at, folder_failed_since: self.folder_outages.failed_since(courier, at) };
        self.record.kills.push(LifeEnd { courier, kill, was_killed });
    }

    fn start(&mut self, courier: usize) {
        if self.couriers[courier].is_running() {
            return;
        }
        if let Err(error) = self.couriers[courier].start() {
            self.crash(courier, format!("cannot be started: {error}"));
        }
        self.note(format!("courier {courier} starts"));
    }

    fn thaw(&mut self, courier: usize) {
        let Some(from) = self.frozen_since[courier].take() else { return };
        self.couriers[courier].signal(Signal::CONT);
        self.record.freezes.push(FreezeRecord { courier, from, until: Instant::now() });
        self.note(format!("SIGCONT to courier {courier}"));
    }

    fn crash(&mut self, courier: usize, what: String) {
        self.record.crashes.push(Crash { courier, at: Instant::now(), what });
    }

    /// Starts couriers again that ended by themselves, and records how they ended.
    fn supervise(&mut self) {
        for courier in 0..self.couriers.len() {
            if let Some(status) = self.couriers[courier].take_exit() {
                self.record_end(courier, was_killed(status));
                self.note(format!("courier {courier} ended: {status}"));
                // SIGTERM ends it with 0, and a kill in the middle of a write is planned.
                if !status.success() && !was_killed(status) {
                    self.crash(courier, status.to_string());
                }
                if !self.awaits_planned_start(courier) {
                    self.restarts[courier] = Some(Instant::now() + RESTART_DELAY);
                }
            }
            if self.restarts[courier].is_some_and(|at| Instant::now() >= at) {
                self.restarts[courier] = None;
                self.start(courier);
            }
        }
    }

    /// Whether the plan starts the courier: it was told to end and will be killed.
    fn awaits_planned_start(&self, courier: usize) -> bool {
        let elapsed = self.record.begun.elapsed();
        let steps = steps(&self.record.plan);
        let is_start = |next: &TimedStep| next.step == (Step::Start { courier });
        let is_terminate = |next: &TimedStep| matches!(next.step, Step::Terminate { courier: other, .. } if other == courier);
        let next_start = steps.iter().find(|next| next.at > elapsed && is_start(next));
        let last_terminate = steps.iter().rfind(|next| next.at <= elapsed && is_terminate(next));
        let last_start = steps.iter().rfind(|next| next.at <= elapsed && is_start(next));
        let terminated = last_terminate.is_some_and(|term| last_start.is_none_or(|start| start.at < term.at));
        terminated && next_start.is_some()
    }

    fn collect_notices(&mut self) {
        let notices = self.listing.discovery.notices.lock().expect("the notices");
        for notice in &notices[self.notices_seen..] {
            let text = |key: &str| notice[key].as_str().unwrap_or_default().to_owned();
            self.record.notices.push(Notice { at: Instant::now(), id: text("ref"), result: text("result") });
        }
        self.notices_seen = notices.len();
    }

    fn finish(mut self, clients: ClientGroup, mqtt_clients: MqttClients) -> Record {
        self.record.submissions = clients.join();
        let MqttRecord { submissions, outcomes, sessions_resumed } = mqtt_clients.join();
        self.record.submissions.extend(submissions);
        self.record.outcomes = outcomes;
        self.record.sessions_resumed = sessions_resumed;
        for index in 0..self.record.plan.faults.len() {
            self.end(index);
        }
        self.couriers.clear();
        self.record.calls = self.calls.lock().expect("the calls").clone();
        self.record.log = self.courier_log.lock().expect("the log").clone();
        let panics = self.record.log.iter().filter(|line| line.text.contains("panicked"));
        let crashes: Vec<_> = panics
            .map(|line| Crash { courier: line.courier, at: line.at, what: line.text.clone() })
            .collect();
        self.record.crashes.extend(crashes);
        self.record
    }
}

fn signal_name(signal: Signal) -> &'static str {
    match signal {
        Signal::HUP => "SIGHUP",
        Signal::STOP => "SIGSTOP",
        _ => "a signal",
    }
}

fn proxy_fault(link: &LinkFault) -> ProxyFault {
    let delay = link.delay.map_or(Duration::ZERO, |delay| delay.0);
    ProxyFault { action: link.action, delay, after_bytes: link.after_bytes }
}
