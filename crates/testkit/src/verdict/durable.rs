//! Messages are accepted only when they are durable: not while no sync succeeds, where the journal promises syncs.

use super::{Judgement, NOTE_TIME};
use crate::record::Record;
use crate::scenario::{Durability, FaultKind};
use std::ops::Range;
use std::time::Instant;

/// No message that was submitted while all syncs fail is accepted while they do.
pub fn accepted_when_durable(record: &Record) -> Judgement {
    if !matches!(record.scenario.durability, Durability::Machine) {
        return Judgement::not_judged("the journal does not wait for syncs");
    }
    let outages = sync_outages(record);
    if outages.is_empty() {
        return Judgement::not_judged("at no time did all syncs fail");
    }
    for (message, accepted_at) in record.accepted() {
        let within = |outage: &&Range<Instant>| message.sent >= outage.start && accepted_at < outage.end;
        if let Some(outage) = outages.iter().find(within) {
            let since = accepted_at - outage.start + NOTE_TIME;
            let what = format!("{} was accepted when all syncs had failed for {since:.3?}", message.id);
            return Judgement::broken(&message.id, what);
        }
    }
    Judgement::Held
}

/// Times in which all syncs of all couriers fail, each from when couriers must have seen it.
fn sync_outages(record: &Record) -> Vec<Range<Instant>> {
    let fails_all = |rule: &String| {
        let words: Vec<_> = rule.split_whitespace().collect();
        matches!(words[..], ["sync", error, "1"] if error.starts_with('E'))
    };
    let faults = record.plan.faults.iter().filter(|fault| match &fault.kind {
        FaultKind::Calls(rules) => {
            fault.couriers.len() == record.scenario.couriers && rules.iter().any(fails_all)
        }
        _ => false,
    });
    let span = |begins, ends| record.instant(begins) + NOTE_TIME..record.instant(ends);
    faults.filter_map(|fault| Some(span(fault.begins, fault.ends?))).collect()
}
