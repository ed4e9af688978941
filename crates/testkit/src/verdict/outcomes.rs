//! MQTT clients hear how their messages end, and what they hear is true.

use super::Judgement;
use super::delivery::{denies_confirmed_delivery, is_confirmed};
use crate::record::{Outcome, Record};

/// Result of a message that took effect.
const DELIVERED: &str = "delivered";

/// Each message that an MQTT client had accepted has an outcome, which agrees with the calls and with the others.
pub fn outcomes_true(record: &Record) -> Judgement {
    let published: Vec<_> = record.accepted().filter(|(message, _)| message.is_mqtt).collect();
    if published.is_empty() {
        return Judgement::not_judged("no MQTT client had a message accepted");
    }
    for (message, _) in published {
        let mut outcomes = record.outcomes.iter().filter(|outcome| outcome.id == message.id);
        let Some(first) = outcomes.next() else {
            return Judgement::broken(&message.id, format!("{} has no outcome", message.id));
        };
        if record.has_several_lives(&message.id) {
            continue;
        }
        if let Some(other) = outcomes.find(|other| other.result != first.result) {
            let what = format!("{} was told as {} and as {}", message.id, first.result, other.result);
            return Judgement::broken(&message.id, what);
        }
        if contradicts_calls(record, first) {
            let what = format!("{} was told as {}, and its calls say otherwise", message.id, first.result);
            return Judgement::broken(&message.id, what);
        }
    }
    Judgement::Held
}

/// Whether a delivery was told that no endpoint confirmed, or denied that one did.
fn contradicts_calls(record: &Record, outcome: &Outcome) -> bool {
    let is_unconfirmed = outcome.result == DELIVERED && !is_confirmed(record, &outcome.id);
    is_unconfirmed || denies_confirmed_delivery(record, &outcome.id, &outcome.result)
}
