//! What is recorded during a run. The verdict rests on it alone.

use crate::plan::Plan;
use crate::scenario::Scenario;
use stairshed_rig::delivery_rules::CourierKill;
use stairshed_rig::duplicating_endpoint::ServedCall;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Status with which a courier accepts a message.
pub const ACCEPTED: u16 = 202;
/// Begins the line with which the library `stairshed-preload` refuses a rule.
const REFUSED_RULE: &str = "stairshed-preload: ";

/// First word of the log line on a message that a courier takes on.
const TAKEN: &str = "taken";

/// The records of one run.
#[derive(Clone, Debug)]
pub struct Record {
    pub scenario: Scenario,
    pub plan: Plan,
    /// When the run began.
    pub begun: Instant,
    pub submissions: Vec<Submission>,
    /// Calls at all endpoints, in order of arrival.
    pub calls: Vec<ServedCall>,
    pub notices: Vec<Notice>,
    /// What MQTT clients heard of the ends of their messages.
    pub outcomes: Vec<Outcome>,
    /// How often MQTT clients found their session present.
    pub sessions_resumed: usize,
    pub log: Vec<LogLine>,
    /// What was done to the couriers and links.
    pub steps: Vec<StepRecord>,
    pub kills: Vec<LifeEnd>,
    pub stops: Vec<StopRecord>,
    pub freezes: Vec<FreezeRecord>,
    pub drains: Vec<DrainRecord>,
    /// Processes that ended by themselves, not as planned.
    pub crashes: Vec<Crash>,
    /// How often each planned fault happened, in the order of the plan.
    pub reached: Vec<BTreeMap<String, u64>>,
}

/// A message that a client submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: String,
    pub class: String,
    pub courier: usize,
    /// Value of the order header, which is the client's own.
    pub order_key: String,
    /// Whether its client had submitted the same message before.
    pub is_repeat: bool,
    /// Whether its client speaks MQTT.
    pub is_mqtt: bool,
    /// When its connection was opened, if it is the first request on it.
    pub first_on_connection_of: Option<Instant>,
    pub sent: Instant,
    /// When the answer came, and its status.
    pub answer: Option<(Instant, u16)>,
    /// How long after `sent` its connection was closed without an answer; None if the client gave up.
    pub closed_after: Option<Duration>,
}

impl Submission {
    /// When the courier accepted it, if its client heard so.
    pub fn accepted_at(&self) -> Option<Instant> {
        self.answer.filter(|(_, status)| *status == ACCEPTED).map(|(at, _)| at)
    }
}

/// An outcome notice.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: Instant,
    pub id: String,
    pub result: String,
}

/// What an MQTT client heard of the end of a message.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub at: Instant,
    pub id: String,
    pub result: String,
}

/// A line of a courier's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    pub at: Instant,
    pub courier: usize,
    pub text: String,
}

/// Something that the runner did.
#[derive(Clone, Debug)]
pub struct StepRecord {
    pub at: Instant,
    pub text: String,
}

/// The end of a courier's process.
#[derive(Clone, Copy, Debug)]
pub struct LifeEnd {
    pub courier: usize,
    pub kill: CourierKill,
    /// Whether SIGKILL ended it; otherwise it ended by itself, or had ended before.
    pub was_killed: bool,
}

/// A SIGTERM to a courier that ran.
#[derive(Clone, Copy, Debug)]
pub struct StopRecord {
    pub courier: usize,
    pub at: Instant,
}

/// A time in which a courier's process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct FreezeRecord {
    pub courier: usize,
    pub from: Instant,
    pub until: Instant,
}

/// A time in which discovery listed an endpoint as draining.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    pub endpoint: String,
    pub from: Instant,
    pub until: Instant,
}

/// A process that ended by itself.
#[derive(Clone, Debug)]
pub struct Crash {
    pub courier: usize,
    pub at: Instant,
    pub what: String,
}

impl Record {
    /// A record with nothing in it yet.
    pub fn new(scenario: Scenario, plan: Plan, begun: Instant) -> Self {
        Record {
            scenario,
            plan,
            begun,
            submissions: Vec::new(),
            calls: Vec::new(),
            notices: Vec::new(),
            outcomes: Vec::new(),
            sessions_resumed: 0,
            log: Vec::new(),
            steps: Vec::new(),
            kills: Vec::new(),
            stops: Vec::new(),
            freezes: Vec::new(),
            drains: Vec::new(),
            crashes: Vec::new(),
            reached: Vec::new(),
        }
    }

    /// The messages that were accepted, each with the time of its answer.
    pub fn accepted(&self) -> impl Iterator<Item = (&Submission, Instant)> {
        self.submissions.iter().filter_map(|message| Some((message, message.accepted_at()?)))
    }

    /// When a message ended: an endpoint said that it has taken effect or is over, or a notice came.
    pub fn ended_at(&self, id: &str) -> Option<Instant> {
        self.ended_after(id, self.begun)
    }

    /// When a message ended for the first time from this time on.
    pub fn ended_after(&self, id: &str, from: Instant) -> Option<Instant> {
        let calls = self.calls.iter().filter(|call| call.id == id && call.is_final());
        let notices = self.notices.iter().filter(|notice| notice.id == id).map(|notice| notice.at);
        calls.filter_map(|call| call.ended).chain(notices).filter(|at| *at >= from).min()
    }

    /// When couriers took a message on, by their logs. More than once: it bounced in between, or its first record was
    /// lost with the process before the client was answered.
    pub fn times_taken<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Instant> + 'a {
        let taken = self.log.iter().filter(move |line| is_step(&line.text, id, TAKEN));
        taken.map(|line| line.at)
    }

    /// When the life of a message began that its end is to follow: when it was last taken on, if its client
    /// submitted it again.
    pub fn last_life_began(&self, id: &str) -> Instant {
        let last_taken = self.times_taken(id).last().filter(|_| self.has_several_lives(id));
        last_taken.unwrap_or(self.begun)
    }

    /// Whether a message that a client submitted again was taken on again: what is said of it may be of either life.
    pub fn has_several_lives(&self, id: &str) -> bool {
        let is_repeated = self.submissions.iter().any(|message| message.is_repeat && message.id == id);
        is_repeated && self.times_taken(id).count() > 1
    }

    /// The planned faults that never happened, and the rules that the library refused.
    pub fn unreached(&self) -> Vec<String> {
        let faults = self.plan.faults.iter().zip(&self.reached);
        let never = faults.filter(|(_, counts)| counts.values().all(|number| *number == 0));
        let mut all: Vec<_> = never.map(|(fault, _)| fault.to_string()).collect();
        let refused = self.log.iter().filter(|line| line.text.starts_with(REFUSED_RULE));
        all.extend(refused.map(|line| line.text.clone()));
        all.dedup();
        all
    }

    /// All that the records say about a message, in the order of time, with what was done meanwhile.
    pub fn history(&self, id: &str) -> Vec<String> {
        let mut lines: Vec<(Instant, String)> = Vec::new();
        for message in self.submissions.iter().filter(|message| message.id == id) {
            lines.push((message.sent, format!("client: submits to courier {}", message.courier)));
            lines.extend(message.answer.map(|(at, status)| (at, format!("client: is answered {status}"))));
        }
        for call in self.calls.iter().filter(|call| call.id == id) {
            let place = format!("endpoint {} connection {}", call.endpoint, call.connection);
            lines.push((call.arrived, format!("{place}: call from courier {}", call.courier)));
            let answer = call.status.map_or("no answer".to_owned(), |status| status.to_string());
            lines.extend(call.ended.map(|at| (at, format!("{place}: {answer}"))));
        }
        let notices = self.notices.iter().filter(|notice| notice.id == id);
        lines.extend(notices.map(|notice| (notice.at, format!("notice: {}", notice.result))));
        let outcomes = self.outcomes.iter().filter(|outcome| outcome.id == id);
        lines.extend(outcomes.map(|outcome| (outcome.at, format!("client: hears {}", outcome.result))));
        let word = format!(" {id} ");
        let log = self.log.iter().filter(|line| line.text.contains(&word));
        lines.extend(log.map(|line| (line.at, format!("courier {}: {}", line.courier, line.text))));
        let end = lines.iter().map(|(at, _)| *at).max();
        let meanwhile = self.steps.iter().filter(|step| end.is_none_or(|end| step.at <= end));
        lines.extend(meanwhile.map(|step| (step.at, format!("run: {}", step.text))));
        lines.sort_by_key(|(at, _)| *at);
        lines.iter().map(|(at, text)| format!("{:8.3} s {text}", self.seconds(*at))).collect()
    }

    /// Seconds since the beginning of the run.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    /// When something planned for this time happens.
    pub fn instant(&self, at: Duration) -> Instant {
        self.begun + at
    }
}

/// Whether a line of `--follow` tells this step of a message: `follow TIME ID STEP ...`.
pub fn is_step(line: &str, id: &str, step: &str) -> bool {
    let mut words = line.split_whitespace().skip(2);
    line.starts_with("follow ") && words.next() == Some(id) && words.next() == Some(step)
}

/// The id of the message that a line of `--follow` says was taken on.
pub fn taken_id(line: &str) -> Option<&str> {
    let mut words = line.strip_prefix("follow ")?.split_whitespace().skip(1);
    let id = words.next()?;
    (words.next() == Some(TAKEN)).then_some(id)
}
