//! Drains are kept: nothing comes to an endpoint for long after its drain was told.

use super::{Judgement, NOTE_TIME, holds_calls_back};
use crate::record::{DrainRecord, Record};
use crate::scenario::{FaultKind, Link};
use std::time::Duration;

/// From this long after a courier was told of a drain, nothing may be sent there.
const GRACE: Duration = Duration::from_secs(1);
/// A change counts as told this long after discovery has it, whether or not it arrived.
const LIST_CHANGE_KNOWN: Duration = Duration::from_secs(6);

/// No call arrives at an endpoint whose drain counts as told since the grace.
pub fn drains_kept(record: &Record) -> Judgement {
    if holds_calls_back(record) {
        return Judgement::not_judged("the link to the endpoints holds calls back");
    }
    let told = if may_miss_changes(record) { LIST_CHANGE_KNOWN } else { Duration::ZERO };
    let forbidden_after = told + GRACE + NOTE_TIME;
    let judged: Vec<&DrainRecord> =
        record.drains.iter().filter(|drain| drain.until > drain.from + forbidden_after).collect();
    if judged.is_empty() {
        return Judgement::not_judged("no endpoint drained for long enough");
    }
    for call in &record.calls {
        let forbids = |drain: &&&DrainRecord| {
            let forbidden = drain.from + forbidden_after..drain.until;
            drain.endpoint == call.endpoint && forbidden.contains(&call.arrived)
        };
        if let Some(drain) = judged.iter().find(forbids) {
            let late = call.arrived - drain.from;
            let what = format!("{} came to {} {late:.3?} after its drain", call.id, call.endpoint);
            return Judgement::broken(&call.id, what);
        }
    }
    Judgement::Held
}

/// Whether a fault may keep couriers from hearing of a change at once.
fn may_miss_changes(record: &Record) -> bool {
    record.plan.faults.iter().any(|fault| match &fault.kind {
        FaultKind::Clock(_) | FaultKind::Drain(_) => false,
        FaultKind::Link(link) => link.between == Link::CourierDiscovery,
        FaultKind::Calls(_) | FaultKind::Signal(_) | FaultKind::Freeze(_) => true,
    })
}
