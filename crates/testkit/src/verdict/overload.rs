//! Nothing is overloaded: no more calls are out at once than couriers may have, and a pool that comes back from an
//! outage is not sent more than it can take while it starts slowly.

use super::Judgement;
use crate::endpoints::pool_of;
use crate::record::Record;
use crate::scenario::{FaultKind, Link, LinkAction};
use stairshed_rig::duplicating_endpoint::ServedCall;
use std::time::{Duration, Instant};

/// Share of its limit that a pool can take right after an outage.
const COLD_SHARE: f64 = 0.2;
/// Time after which it can take all of it.
const COLD_SPAN: Duration = Duration::from_secs(10);
/// It fails again when sent more than this multiple of what it can take...
const FALL_MULTIPLE: f64 = 2.0;
/// ...for this long.
const FALL_SPAN: Duration = Duration::from_secs(3);

/// Checks both bounds.
pub fn no_overload(record: &Record) -> Judgement {
    let in_flight = in_flight_bound(record);
    let slow_start = slow_start(record);
    match (in_flight, slow_start) {
        (broken @ Judgement::Broken(_), _) | (_, broken @ Judgement::Broken(_)) => broken,
        (Judgement::NotJudged(why), Judgement::NotJudged(other)) => {
            Judgement::NotJudged(format!("{why}; {other}"))
        }
        _ => Judgement::Held,
    }
}

/// Calls out at once, of all couriers together.
fn in_flight_bound(record: &Record) -> Judgement {
    if record.scenario.has_link(Link::CourierEndpoint) {
        return Judgement::not_judged("a proxy stands between couriers and endpoints");
    }
    let bound = record.scenario.endpoints.calls * record.scenario.couriers;
    let mut ends: Vec<Instant> = Vec::new();
    for call in &record.calls {
        ends.retain(|end| *end > call.arrived);
        let Some(end) = call.ended else { continue };
        ends.push(end);
        if ends.len() > bound {
            let what = format!("{} calls were out when {} came, {bound} are allowed", ends.len(), call.id);
            return Judgement::broken(&call.id, what);
        }
    }
    Judgement::Held
}

/// Calls to pools that have come back.
fn slow_start(record: &Record) -> Judgement {
    if record.scenario.endpoints.limit.is_none() {
        return Judgement::not_judged("no limit is stated, so slow starts are not known");
    }
    if returns(record).is_empty() {
        return Judgement::not_judged("no pool came back from an outage");
    }
    slow_spans(record).into_iter().find(SlowSpan::is_overload).map_or(Judgement::Held, |span| {
        let SlowSpan { pool, first, since, calls, bound } = span;
        let what = format!(
            "{pool} was sent {calls} calls within {FALL_SPAN:?} from {}, {since:.3?} after an outage; {bound:.0} are allowed",
            first.id,
        );
        Judgement::broken(&first.id, what)
    })
}

/// The largest share of the bound on calls to pools that have come back; None if there is no such bound.
pub fn fullest_slow_start(record: &Record) -> Option<f64> {
    slow_spans(record).iter().map(SlowSpan::share).max_by(f64::total_cmp)
}

/// A span after an outage, and what a pool was sent in it.
struct SlowSpan<'a> {
    pool: String,
    /// The call with which it begins.
    first: &'a ServedCall,
    /// From the end of the outage.
    since: Duration,
    calls: usize,
    bound: f64,
}

impl SlowSpan<'_> {
    fn share(&self) -> f64 {
        self.calls as f64 / self.bound
    }

    fn is_overload(&self) -> bool {
        self.calls as f64 > self.bound
    }
}

/// The spans after all outages, by outage and pool in the order of time.
fn slow_spans(record: &Record) -> Vec<SlowSpan<'_>> {
    let Some(limit) = record.scenario.endpoints.limit else { return Vec::new() };
    let mut spans = Vec::new();
    for back in returns(record) {
        for pool in 0..record.scenario.endpoints.pools {
            spans.extend(spans_of_pool(record, &format!("p{pool}"), back, f64::from(limit)));
        }
    }
    spans
}

/// When all endpoints came back from an outage that the plan has put on them.
fn returns(record: &Record) -> Vec<Instant> {
    let outages = record.plan.faults.iter().filter(|fault| match &fault.kind {
        FaultKind::Link(link) => {
            let cuts = matches!(link.action, LinkAction::Cut | LinkAction::Reset);
            link.between == Link::CourierEndpoint && link.zone.is_none() && cuts
        }
        _ => false,
    });
    outages.filter_map(|fault| fault.ends).map(|end| record.instant(end)).collect()
}

/// The spans in which a pool may fall over, one from each call on.
fn spans_of_pool<'a>(record: &'a Record, pool: &str, back: Instant, limit: f64) -> Vec<SlowSpan<'a>> {
    let slow = back..back + COLD_SPAN;
    let of_pool = |call: &&ServedCall| pool_of(&call.endpoint) == pool && slow.contains(&call.arrived);
    let calls: Vec<_> = record.calls.iter().filter(of_pool).collect();
    let spans = calls.iter().enumerate().map(|(index, first)| {
        let end = first.arrived + FALL_SPAN;
        let since = first.arrived - back;
        SlowSpan {
            pool: pool.to_owned(),
            first,
            since,
            calls: calls[index..].iter().take_while(|call| call.arrived < end).count(),
            bound: FALL_MULTIPLE * limit * capacity(since, FALL_SPAN),
        }
    });
    spans.collect()
}

/// What a pool of limit 1 per second can take in a span that begins this long after its outage.
fn capacity(since: Duration, span: Duration) -> f64 {
    let share = |at: Duration| {
        let grown = (at.as_secs_f64() / COLD_SPAN.as_secs_f64()).min(1.0);
        COLD_SHARE + (1.0 - COLD_SHARE) * grown
    };
    // Growth is linear, so the mean of both ends is exact until the slow start is over, and an upper bound after it.
    (share(since) + share(since + span)) / 2.0 * span.as_secs_f64()
}
