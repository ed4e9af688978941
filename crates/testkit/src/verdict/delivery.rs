//! Nothing accepted is lost, no effect twice, one attempt at once, and answers that are true: the rules of
//! [`stairshed_rig::delivery_rules`], and what the times and results of a run's records add to them.

use super::Judgement;
use crate::record::Record;
use crate::scenario::Link;
use stairshed_rig::delivery_rules::{Breach, DeliveryRule, RunRecord};

/// Statuses with which the endpoints say that they have not run a call.
const REFUSALS: &[u16] = &[429, 503];
/// Status with which the endpoints say that the message has taken effect.
const DELIVERED: u16 = 200;
/// Result of a message that did not take effect.
const BOUNCED: &str = "bounced";
/// Result of a message that an endpoint rejected for good, and that did not take effect in any attempt.
const REJECTED: &str = "rejected";
/// Class whose messages may take effect again: couriers tell `bounced` for those that may have run, too.
const REPEATABLE_CLASS: &str = "status";

fn run_record(record: &Record) -> RunRecord {
    RunRecord {
        calls: record.calls.clone(),
        taken: record.accepted().map(|(message, _)| message.id.clone()).collect(),
        notices: record.notices.iter().map(|notice| (notice.id.clone(), notice.result.clone())).collect(),
        log: record.log.iter().map(|line| line.text.clone()).collect(),
        kills: record.kills.iter().map(|end| end.kill).collect(),
        refusals: REFUSALS,
        key_window: Some(record.scenario.endpoints.key_window.0),
    }
}

fn first_breach(record: &Record, rule: DeliveryRule) -> Option<Breach> {
    run_record(record).breaches().into_iter().find(|breach| breach.rule == rule)
}

fn judge(record: &Record, rule: DeliveryRule) -> Judgement {
    first_breach(record, rule).map_or(Judgement::Held, |breach| Judgement::broken(&breach.id, breach.what))
}

/// Each accepted message ends, in time.
pub fn nothing_lost(record: &Record) -> Judgement {
    if record.accepted().next().is_none() {
        return Judgement::not_judged("nothing was accepted");
    }
    if let Some(breach) = first_breach(record, DeliveryRule::NothingLost) {
        return Judgement::broken(&breach.id, breach.what);
    }
    let clients = &record.scenario.clients;
    let limit = clients.deadline.0 + clients.lateness.0;
    for (message, accepted_at) in record.accepted() {
        let last_taken =
            record.times_taken(&message.id).last().filter(|_| record.has_several_lives(&message.id));
        let (began, end) = match last_taken {
            Some(taken_at) => (taken_at, record.ended_after(&message.id, taken_at)),
            None => (accepted_at, record.ended_at(&message.id)),
        };
        let Some(ended_at) = end else {
            return Judgement::broken(&message.id, format!("{} was taken on again, and lost", message.id));
        };
        let took = ended_at.saturating_duration_since(began);
        if took > limit {
            let what = format!("{} ended after {took:.3?}, {limit:.3?} are allowed", message.id);
            return Judgement::broken(&message.id, what);
        }
    }
    Judgement::Held
}

/// No message is told as not delivered that an endpoint has confirmed, unless repeats are harmless, and none has two
/// different results.
pub fn true_answers(record: &Record) -> Judgement {
    for notice in record.notices.iter().filter(|notice| !record.has_several_lives(&notice.id)) {
        if denies_confirmed_delivery(record, &notice.id, &notice.result) {
            let what = format!("{} was told as {} and has taken effect", notice.id, notice.result);
            return Judgement::broken(&notice.id, what);
        }
        let same_message = |other: &&crate::record::Notice| other.id == notice.id;
        if let Some(other) = record.notices.iter().filter(same_message).find(|n| n.result != notice.result) {
            let what = format!("{} was told as {} and as {}", notice.id, notice.result, other.result);
            return Judgement::broken(&notice.id, what);
        }
    }
    Judgement::Held
}

/// Whether an endpoint has confirmed that a message took effect.
pub(super) fn is_confirmed(record: &Record, id: &str) -> bool {
    record.calls.iter().any(|call| call.id == id && call.status == Some(DELIVERED))
}

/// Whether this result of a message says that it did not take effect, though an endpoint has confirmed that it did.
pub(super) fn denies_confirmed_delivery(record: &Record, id: &str, result: &str) -> bool {
    match result {
        BOUNCED => is_confirmed(record, id) && !id.starts_with(REPEATABLE_CLASS),
        REJECTED => is_confirmed(record, id),
        _ => false,
    }
}

/// Payments are called at most once unless it is proved that the call never ran; keyed messages stay within their zone
/// and window; nothing is sent after 410.
pub fn no_effect_twice(record: &Record) -> Judgement {
    judge(record, DeliveryRule::NoEffectTwice)
}

/// No message has two attempts in flight.
pub fn one_attempt_at_once(record: &Record) -> Judgement {
    if record.scenario.has_link(Link::CourierEndpoint) {
        // The proxy passes on a close later than the courier closes.
        return Judgement::not_judged("a proxy stands between couriers and endpoints");
    }
    judge(record, DeliveryRule::OneAttemptAtOnce)
}
