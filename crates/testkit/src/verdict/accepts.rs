//! Failed accepts are spaced: while connections cannot be accepted, a courier tries again after pauses.

use super::Judgement;
use crate::record::Record;
use crate::scenario::FaultKind;

/// Errors of accept that last, so that the next try at once fails like the last one.
const LASTING: [&str; 4] = ["accept EMFILE", "accept ENFILE", "accept ENOBUFS", "accept ENOMEM"];
/// Failed accepts of a courier in a second, at most.
const MOST_PER_SECOND: f64 = 200.0;
/// Failed accepts of a courier beside these: the first pauses may be short.
const MOST_AT_FIRST: f64 = 50.0;

/// No courier tries to accept without a pause while that fails.
pub fn accepts_spaced(record: &Record) -> Judgement {
    let mut judged = false;
    for (fault, counts) in record.plan.faults.iter().zip(&record.reached) {
        let FaultKind::Calls(_) = fault.kind else { continue };
        let Some(ends) = fault.ends else { continue };
        let failed: u64 = LASTING.iter().filter_map(|name| counts.get(*name)).sum();
        judged |= failed > 0;
        let span = ends.saturating_sub(fault.begins).as_secs_f64();
        let bound = fault.couriers.len() as f64 * (MOST_AT_FIRST + MOST_PER_SECOND * span);
        if failed as f64 > bound {
            let what = format!("{failed} accepts failed within {span:.3} s, {bound:.0} are allowed");
            return Judgement::broken_by_none(what);
        }
    }
    if judged { Judgement::Held } else { Judgement::not_judged("no accept failed for lack of a resource") }
}
