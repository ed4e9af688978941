//! Requests are answered: no courier closes a connection with a request on it.

use super::Judgement;
use crate::record::Record;
use crate::scenario::{FaultKind, Link};

/// Each request is answered, or its client has waited in vain.
pub fn requests_answered(record: &Record) -> Judgement {
    if !record.kills.is_empty() {
        return Judgement::not_judged("a courier ended, and its connections with it");
    }
    if may_lose_connections(record) {
        return Judgement::not_judged("a fault ends connections of clients");
    }
    match record.submissions.iter().find(|message| message.closed_after.is_some()) {
        None => Judgement::Held,
        Some(message) => {
            let after = message.closed_after.unwrap_or_default();
            let what = format!("{} was sent, and its connection was closed after {after:.3?}", message.id);
            Judgement::broken(&message.id, what)
        }
    }
}

/// Whether a fault ends the connections of clients.
fn may_lose_connections(record: &Record) -> bool {
    record.plan.faults.iter().any(|fault| match &fault.kind {
        FaultKind::Link(link) => link.between == Link::ClientCourier,
        FaultKind::Calls(rules) => rules.iter().any(|rule| ends_connections(rule)),
        _ => false,
    })
}

fn ends_connections(rule: &str) -> bool {
    let mut words = rule.split_whitespace();
    let (call, fault) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    matches!(call, "recv" | "send" | "accept" | "socket") && fault.starts_with('E') && fault != "EINTR"
}
