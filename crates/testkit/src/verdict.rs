//! Checks the rules from the records of a run alone.

mod accepts;
mod answers;
mod contents;
mod delivery;
mod drains;
mod durable;
mod endings;
mod order;
mod outcomes;
mod overload;
mod refusals;
mod repeats;
mod waits;

use crate::record::Record;
use crate::scenario::{FaultKind, Link, LinkAction};
use serde_json::{Value, json};
use std::fmt;
use std::time::Duration;

/// Time within which a courier takes note of what has arrived, also on a busy machine.
const NOTE_TIME: Duration = Duration::from_millis(100);

/// A rule that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    NothingLost,
    TrueAnswers,
    NoEffectTwice,
    OneAttemptAtOnce,
    DrainsKept,
    NoOverload,
    Order,
    WaitsHeeded,
    AcceptedWhenDurable,
    SentAsSubmitted,
    EndsOnce,
    RequestsAnswered,
    AcceptsSpaced,
    RepeatsRecognised,
    RefusedNotSent,
    OutcomesTrue,
    CouriersStayUp,
}

impl Rule {
    /// Its name in verdicts.
    pub fn name(self) -> &'static str {
        match self {
            Rule::NothingLost => "nothing accepted is lost",
            Rule::TrueAnswers => "answers are true",
            Rule::NoEffectTwice => "no effect twice",
            Rule::OneAttemptAtOnce => "one attempt at once",
            Rule::DrainsKept => "drains kept",
            Rule::NoOverload => "no overload",
            Rule::Order => "order",
            Rule::WaitsHeeded => "waits heeded",
            Rule::AcceptedWhenDurable => "accepted only when durable",
            Rule::SentAsSubmitted => "messages are sent as submitted",
            Rule::EndsOnce => "each message ends once",
            Rule::RequestsAnswered => "requests are answered",
            Rule::AcceptsSpaced => "failed accepts are spaced",
            Rule::RepeatsRecognised => "repeats are recognised",
            Rule::RefusedNotSent => "refused messages are not sent",
            Rule::OutcomesTrue => "outcomes are heard and true",
            Rule::CouriersStayUp => "couriers stay up",
        }
    }
}

/// What the records say about a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    Held,
    Broken(Offence),
    /// Why the records do not tell.
    NotJudged(String),
}

/// The first breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offence {
    /// The message, if it concerns one.
    pub id: Option<String>,
    pub what: String,
}

impl Judgement {
    fn broken(id: &str, what: String) -> Self {
        Judgement::Broken(Offence { id: Some(id.to_owned()), what })
    }

    /// A breach that concerns no message.
    fn broken_by_none(what: String) -> Self {
        Judgement::Broken(Offence { id: None, what })
    }

    fn not_judged(why: &str) -> Self {
        Judgement::NotJudged(why.to_owned())
    }
}

/// The verdict on a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub seed: u64,
    pub rules: Vec<(Rule, Judgement)>,
    /// Planned faults that never happened.
    pub unreached: Vec<String>,
    plan: Vec<String>,
    reached: Vec<String>,
    summary: String,
    /// What the records say about the first offending message.
    history: Vec<String>,
}

impl Verdict {
    /// Checks all rules.
    pub fn new(record: &Record) -> Self {
        let rules = vec![
            (Rule::NothingLost, delivery::nothing_lost(record)),
            (Rule::TrueAnswers, delivery::true_answers(record)),
            (Rule::NoEffectTwice, delivery::no_effect_twice(record)),
            (Rule::OneAttemptAtOnce, delivery::one_attempt_at_once(record)),
            (Rule::DrainsKept, drains::drains_kept(record)),
            (Rule::NoOverload, overload::no_overload(record)),
            (Rule::Order, order::in_order(record)),
            (Rule::WaitsHeeded, waits::waits_heeded(record)),
            (Rule::AcceptedWhenDurable, durable::accepted_when_durable(record)),
            (Rule::SentAsSubmitted, contents::sent_as_submitted(record)),
            (Rule::EndsOnce, endings::ends_once(record)),
            (Rule::RequestsAnswered, answers::requests_answered(record)),
            (Rule::AcceptsSpaced, accepts::accepts_spaced(record)),
            (Rule::RepeatsRecognised, repeats::repeats_recognised(record)),
            (Rule::RefusedNotSent, refusals::refused_not_sent(record)),
            (Rule::OutcomesTrue, outcomes::outcomes_true(record)),
            (Rule::CouriersStayUp, couriers_stay_up(record)),
        ];
        let mut offences = rules.iter().filter_map(|(_, judgement)| match judgement {
            Judgement::Broken(offence) => offence.id.as_ref(),
            _ => None,
        });
        let history = offences.next().map(|id| record.history(id)).unwrap_or_default();
        let reached = record.reached.iter().map(|counts| format!("{counts:?}")).collect();
        Verdict {
            seed: record.plan.seed,
            rules,
            unreached: record.unreached(),
            plan: record.plan.faults.iter().map(ToString::to_string).collect(),
            reached,
            summary: summary(record),
            history,
        }
    }

    /// Whether no rule was broken and all faults happened.
    pub fn passes(&self) -> bool {
        !self.is_broken() && self.unreached.is_empty()
    }

    /// Whether a rule was broken.
    pub fn is_broken(&self) -> bool {
        self.rules.iter().any(|(_, judgement)| matches!(judgement, Judgement::Broken(_)))
    }

    /// The rules that were broken, by name, and the faults that never happened.
    pub fn failures(&self) -> Vec<String> {
        let broken = self.rules.iter().filter(|(_, judgement)| matches!(judgement, Judgement::Broken(_)));
        let broken = broken.map(|(rule, _)| format!("{} is broken", rule.name()));
        broken.chain(self.unreached.iter().map(|fault| format!("not reached: {fault}"))).collect()
    }

    /// The verdict as JSON.
    pub fn to_json(&self) -> Value {
        let rules: Vec<_> = self.rules.iter().map(|(rule, judgement)| rule_json(*rule, judgement)).collect();
        json!({"seed": self.seed, "passes": self.passes(), "rules": rules, "plan": self.plan,
            "reached": self.reached, "faults_not_reached": self.unreached, "summary": self.summary,
            "history": self.history})
    }
}

fn rule_json(rule: Rule, judgement: &Judgement) -> Value {
    match judgement {
        Judgement::Held => json!({"rule": rule.name(), "result": "held"}),
        Judgement::Broken(Offence { id, what }) => {
            json!({"rule": rule.name(), "result": "broken", "id": id, "what": what})
        }
        Judgement::NotJudged(why) => json!({"rule": rule.name(), "result": "not judged", "why": why}),
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let result = match (self.is_broken(), self.unreached.is_empty()) {
            (true, _) => "A RULE IS BROKEN",
            (false, false) => "faults not reached",
            (false, true) => "all rules held",
        };
        writeln!(to, "seed {}: {result}; {}", self.seed, self.summary)?;
        for (index, (fault, reached)) in self.plan.iter().zip(&self.reached).enumerate() {
            writeln!(to, "  fault {}: {fault}; happened {reached}", index + 1)?;
        }
        for (rule, judgement) in &self.rules {
            match judgement {
                Judgement::Held => writeln!(to, "  {}: held", rule.name())?,
                Judgement::NotJudged(why) => writeln!(to, "  {}: not judged, {why}", rule.name())?,
                Judgement::Broken(offence) => writeln!(to, "  {}: BROKEN, {}", rule.name(), offence.what)?,
            }
        }
        self.unreached.iter().try_for_each(|fault| writeln!(to, "  not reached: {fault}"))?;
        self.history.iter().try_for_each(|line| writeln!(to, "    {line}"))
    }
}

fn summary(record: &Record) -> String {
    let (accepted, calls, notices) = (record.accepted().count(), record.calls.len(), record.notices.len());
    let refused = record.submissions.iter().filter(|s| s.answer.is_some()).count() - accepted;
    let silent = record.submissions.len() - accepted - refused;
    let lives = record.kills.len() + record.scenario.couriers;
    let resumed = record.sessions_resumed;
    let outcomes = match record.scenario.clients.mqtt {
        0 => String::new(),
        _ => format!(", {} outcomes, {resumed} sessions resumed", record.outcomes.len()),
    };
    let percent = |share: f64| format!(", returning pools were sent {:.0} % of their bound", share * 100.0);
    let slow_start = overload::fullest_slow_start(record).map(percent).unwrap_or_default();
    format!(
        "{accepted} accepted, {refused} refused, {silent} without an answer, {calls} calls, {notices} notices, {lives} lives{outcomes}{slow_start}"
    )
}

fn couriers_stay_up(record: &Record) -> Judgement {
    match record.crashes.first() {
        None => Judgement::Held,
        Some(crash) => {
            let at = record.seconds(crash.at);
            let what = format!("courier {} ended at {at:.3} s: {}", crash.courier, crash.what);
            Judgement::Broken(Offence { id: None, what })
        }
    }
}

/// Whether the link to the endpoints may hold calls back, so that they arrive much later than they were sent.
fn holds_calls_back(record: &Record) -> bool {
    record.plan.faults.iter().any(|fault| {
        let FaultKind::Link(link) = &fault.kind else { return false };
        let holds = matches!(link.action, LinkAction::Delay | LinkAction::Hold);
        link.between == Link::CourierEndpoint && holds
    })
}

#[cfg(test)]
#[path = "verdict_test.rs"]
mod tests;
