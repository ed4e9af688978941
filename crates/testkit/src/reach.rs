//! Whether the planned faults really happened.

use crate::scenario::{FaultKind, SignalKind};
use std::collections::BTreeMap;

/// How often faults happened, by name.
pub type FaultCounts = BTreeMap<String, u64>;

/// Names under which the library `stairshed-preload` counts a fault; None for faults that it does not inject.
pub fn injected_names(kind: &FaultKind) -> Option<Vec<String>> {
    match kind {
        FaultKind::Clock(_) => Some(vec!["clock step".to_owned()]),
        FaultKind::Calls(rules) => Some(rules.iter().map(|rule| rule_name(rule)).collect()),
        FaultKind::Link(_) | FaultKind::Signal(_) | FaultKind::Freeze(_) | FaultKind::Drain(_) => None,
    }
}

/// Name of a fault that the runner brings about itself.
pub fn own_name(kind: &FaultKind) -> String {
    match kind {
        FaultKind::Clock(_) => "clock step".to_owned(),
        FaultKind::Calls(_) => "calls".to_owned(),
        FaultKind::Link(link) => format!("link {:?} {:?}", link.between, link.action),
        FaultKind::Signal(signal) => match signal.kind {
            SignalKind::Hup => "SIGHUP".to_owned(),
            SignalKind::TermKill => "SIGTERM, SIGKILL".to_owned(),
            SignalKind::Kill => "SIGKILL".to_owned(),
        },
        FaultKind::Freeze(_) => "freeze".to_owned(),
        FaultKind::Drain(_) => "drain".to_owned(),
    }
}

fn rule_name(rule: &str) -> String {
    let words: Vec<_> = rule.split_whitespace().collect();
    match words[..] {
        [call, word, ..] if word.starts_with("kill-after=") => format!("{call} kill"),
        [call, fault, ..] => format!("{call} {fault}"),
        _ => rule.to_owned(),
    }
}

/// How often each of these faults happened from one count to a later one.
pub fn difference(names: &[String], before: &FaultCounts, after: &FaultCounts) -> FaultCounts {
    let number = |counts: &FaultCounts, name: &String| counts.get(name).copied().unwrap_or(0);
    let happened = |name: &String| number(after, name).saturating_sub(number(before, name));
    names.iter().map(|name| (name.clone(), happened(name))).collect()
}
