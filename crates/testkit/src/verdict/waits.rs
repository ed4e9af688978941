//! Waits are heeded: no call comes to a pool within a wait that one of its endpoints has told to the same courier.

use super::{Judgement, NOTE_TIME, holds_calls_back};
use crate::endpoints::pool_of;
use crate::record::Record;
use crate::scenario::{FaultKind, Link, StartMode};
use stairshed_rig::duplicating_endpoint::ServedCall;
use std::time::{Duration, Instant};

/// The courier counts from when its own kernel has the answer, the record from just before it is written.
const TOLERANCE: Duration = Duration::from_millis(5);

/// A wait that a courier has been told.
struct ToldWait<'a> {
    call: &'a ServedCall,
    /// From when the courier must know it.
    known: Instant,
    until: Instant,
}

/// No call comes within a told wait.
pub fn waits_heeded(record: &Record) -> Judgement {
    if holds_calls_back(record) {
        return Judgement::not_judged("the link to the endpoints holds calls back");
    }
    if record.scenario.start == StartMode::Platform {
        return Judgement::not_judged("the platform's couriers do not name themselves to endpoints");
    }
    let waits: Vec<_> = record.calls.iter().filter_map(|call| told_wait(record, call)).collect();
    if waits.is_empty() {
        return Judgement::not_judged("no wait was told");
    }
    for wait in &waits {
        let same_pool = |call: &&ServedCall| pool_of(&call.endpoint) == pool_of(&wait.call.endpoint);
        let same_courier = |call: &&ServedCall| call.courier == wait.call.courier;
        let within = |call: &&ServedCall| (wait.known..wait.until).contains(&call.arrived);
        let mut calls = record.calls.iter().filter(within).filter(same_pool).filter(same_courier);
        let Some(call) = calls.find(|call| !began_anew(record, wait, call.arrived)) else { continue };
        let left = wait.until - call.arrived;
        let told_by = &wait.call;
        let what = format!(
            "{} came to {} at {:.3} s with {left:.3?} left of the wait that {} told to {} at {:.3} s",
            call.id,
            call.endpoint,
            record.seconds(call.arrived),
            told_by.endpoint,
            told_by.id,
            told_by.ended.map_or(0.0, |at| record.seconds(at)),
        );
        return Judgement::broken(&call.id, what);
    }
    Judgement::Held
}

/// The wait that the answer to a call told, if the courier must have heard it and it lasts long enough to be judged.
fn told_wait<'a>(record: &Record, call: &'a ServedCall) -> Option<ToldWait<'a>> {
    let (wait, answered) = (call.told_wait?, call.ended?);
    if may_lose_answers(record, answered) {
        return None;
    }
    let mut known = answered + NOTE_TIME;
    let courier: Option<usize> = call.courier.parse().ok();
    for freeze in record.freezes.iter().filter(|freeze| Some(freeze.courier) == courier) {
        if freeze.from <= known && freeze.until > answered {
            known = known.max(freeze.until + NOTE_TIME);
        }
    }
    let until = (answered + wait).checked_sub(TOLERANCE)?;
    (known < until).then_some(ToldWait { call, known, until })
}

/// Whether a fault at this time may keep an answer from the courier.
fn may_lose_answers(record: &Record, at: Instant) -> bool {
    record.plan.faults.iter().any(|fault| {
        let begins = record.instant(fault.begins).checked_sub(NOTE_TIME);
        let ends = fault.ends.map(|end| record.instant(end) + NOTE_TIME);
        let active = begins.is_none_or(|begins| begins <= at) && ends.is_none_or(|end| at <= end);
        active
            && match &fault.kind {
                FaultKind::Link(link) => link.between == Link::CourierEndpoint,
                FaultKind::Calls(rules) => rules.iter().any(|rule| loses_answers(rule)),
                _ => false,
            }
    })
}

/// Whether a rule ends connections.
fn loses_answers(rule: &str) -> bool {
    let mut words = rule.split_whitespace();
    let (call, fault) = (words.next(), words.next().unwrap_or_default());
    call == Some("recv") && fault.starts_with('E') && fault != "EINTR"
}

/// Whether the courier's process ended between the wait and this time: what it was told goes with it.
fn began_anew(record: &Record, wait: &ToldWait, at: Instant) -> bool {
    let courier: Option<usize> = wait.call.courier.parse().ok();
    let heard = wait.call.ended.unwrap_or(wait.known);
    record.kills.iter().any(|end| Some(end.courier) == courier && (heard..=at).contains(&end.kill.at))
}
