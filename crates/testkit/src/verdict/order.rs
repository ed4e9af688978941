//! Messages of one order key are called in the order in which they were accepted.

use super::{Judgement, holds_calls_back};
use crate::record::{Record, Submission};
use crate::scenario::StartMode;
use std::collections::BTreeMap;
use std::time::Instant;

/// No call of a message comes after a call of a later message of its key.
pub fn in_order(record: &Record) -> Judgement {
    if holds_calls_back(record) {
        return Judgement::not_judged("the link to the endpoints holds calls back");
    }
    if record.scenario.start == StartMode::Platform {
        return Judgement::not_judged("the platform's couriers keep no order");
    }
    let ordered = &record.scenario.clients.ordered;
    let mut by_key: BTreeMap<&str, Vec<&Submission>> = BTreeMap::new();
    // A repeat has the place of the first submission, and none if that was not accepted.
    let is_first = |message: &Submission| !message.is_repeat && !record.has_several_lives(&message.id);
    let accepted = record.accepted().filter(|(message, _)| ordered.contains(&message.class));
    for (message, _) in accepted.filter(|(message, _)| is_first(message)) {
        by_key.entry(&message.order_key).or_default().push(message);
    }
    if by_key.is_empty() {
        return Judgement::not_judged("no message of an ordered class was accepted");
    }
    let times = call_times(record);
    by_key.values().find_map(|messages| overtaken(messages, &times)).unwrap_or(Judgement::Held)
}

/// The times of a message's first and last call.
fn call_times(record: &Record) -> BTreeMap<&str, (Instant, Instant)> {
    let mut times: BTreeMap<&str, (Instant, Instant)> = BTreeMap::new();
    for call in &record.calls {
        let entry = times.entry(&call.id).or_insert((call.arrived, call.arrived));
        *entry = (entry.0.min(call.arrived), entry.1.max(call.arrived));
    }
    times
}

/// Finds a message that was overtaken. A client submits one after the other, so the messages are in order.
fn overtaken(messages: &[&Submission], times: &BTreeMap<&str, (Instant, Instant)>) -> Option<Judgement> {
    let mut last: Option<(&Submission, Instant)> = None;
    for message in messages {
        let Some((first_call, last_call)) = times.get(message.id.as_str()) else { continue };
        if let Some((earlier, at)) = last.filter(|(_, at)| first_call < at) {
            let ahead = at - *first_call;
            let what =
                format!("{} was called {ahead:.3?} before the last call of {}", message.id, earlier.id);
            return Some(Judgement::broken(&message.id, what));
        }
        if last.is_none_or(|(_, at)| at < *last_call) {
            last = Some((message, *last_call));
        }
    }
    None
}
