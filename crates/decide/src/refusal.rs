//! What follows a call that one endpoint refused ([`Outcome::Refused`]): a backoff of that endpoint, its
//! breaker once refusals go on, and a backoff of the destination only once no endpoint is left that takes
//! calls.

use crate::interface::*;
use crate::scheduler::*;
use crate::state::*;
use rand::Rng;
use std::time::Duration;

/// First backoff of an endpoint after a refusal, doubled with each further one that follows it.
const INITIAL_REFUSAL_BACKOFF_SECONDS: f64 = 0.02;
/// Consecutive refusals from which an endpoint's breaker opens, if its failure ratio also says so.
const REFUSALS_TO_OPEN: u32 = 3;
/// Refusals after which a message goes to another endpoint at once; it backs off after further ones.
const IMMEDIATE_REFUSAL_RETRIES: u32 = 3;

/// Backoff in seconds before the next call to an endpoint after this many consecutive refusals.
fn refusal_backoff(refusals: u32) -> f64 {
    let doublings = refusals.saturating_sub(1).min(MAX_REJECTION_DOUBLINGS);
    (INITIAL_REFUSAL_BACKOFF_SECONDS * f64::from(1u32 << doublings)).min(MAX_REJECTION_BACKOFF_SECONDS)
}

impl Scheduler {
    /// End of the waits and backoffs after rejections and refusals that apply to an endpoint.
    pub(crate) fn wait_until(&self, id: EndpointId) -> Ns {
        self.limit_groups[&self.limit_group_id(id)].wait_until.max(self.endpoints[&id].refused_until)
    }

    /// Rule: a wait stated with a refusal applies to the endpoint alone; a shorter one never replaces it.
    pub(crate) fn observe_endpoint_wait(&mut self, id: EndpointId, wait: Duration) {
        let until = self.now + ns(wait + self.settings.tick);
        let e = self.endpoints.get_mut(&id).expect("known");
        e.refused_until = e.refused_until.max(until);
    }

    /// Records that an endpoint refused a call: it backs off, and its breaker opens or stays open if it keeps
    /// refusing. A stated wait has been applied before.
    pub(crate) fn record_refusal(&mut self, id: EndpointId, call: u64, sent_at: Ns, wait: Option<Duration>) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        e.failure_ratio = e.failure_ratio.updated(now, FAILURE_EWMA_WEIGHT, 1.0);
        // Calls that were sent before a refusal was known count with it.
        if sent_at >= e.last_refusal {
            e.consecutive_refusals += 1;
            e.last_refusal = now;
            let pause = from_secs(refusal_backoff(e.consecutive_refusals) * jitter);
            e.refused_until = e.refused_until.max(now + pause);
        }
        let keeps_refusing =
            e.consecutive_refusals >= REFUSALS_TO_OPEN && e.failure_ratio.ratio > BREAKER_TRIP_RATIO;
        let opens = match e.breaker {
            Breaker::Closed => keeps_refusing,
            Breaker::HalfOpen => e.trial == Some(call),
            Breaker::Open => false,
        };
        if opens {
            // One trial follows the backoff. The pause does not grow beyond that, and trials of other
            // endpoints are not put off: a refusal says nothing about them.
            e.open_breaker(now, true);
            e.next_trial_at = e.refused_until;
        }
        if let Some(wait) = wait.filter(|w| w.as_secs_f64() > COLD_WAIT_SECONDS) {
            self.start_slowly_after(id, wait);
        }
        if opens && self.no_endpoint_takes_calls(id) {
            self.back_off_limit_group(id);
        }
    }

    /// An endpoint that stated a long wait is unavailable until then, and cold afterwards.
    fn start_slowly_after(&mut self, id: EndpointId, wait: Duration) {
        let u: f64 = self.rng.random();
        let spread = self.settings.slow_start_duration.as_secs_f64() * u.sqrt();
        let (gap, end) = (self.call_gap(id), self.now + ns(wait));
        let e = self.endpoints.get_mut(&id).expect("known");
        e.slow_start_since = Some(end);
        e.next_call_at = end + from_secs(spread.min(2.0 * u * gap));
    }

    /// Whether no ready endpoint of the limit group has a closed breaker.
    fn no_endpoint_takes_calls(&self, id: EndpointId) -> bool {
        let group = self.limit_group_id(id);
        let mut ready = self.destinations[&group.0].endpoints.iter().filter(|o| self.endpoints[o].ready);
        ready.all(|o| self.limit_group_id(*o) != group || self.endpoints[o].breaker != Breaker::Closed)
    }

    /// All endpoints refuse, which may be a limit of the whole destination: as after [`Outcome::Full`], the
    /// rate decreases and the limit group backs off, but never for longer than an endpoint does.
    fn back_off_limit_group(&mut self, id: EndpointId) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let group_id = self.limit_group_id(id);
        let (now, settings) = (self.now, &self.settings);
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a limit group");
        group.consecutive_rejections += 1;
        group.decrease_rate(now, settings);
        let doublings = (group.consecutive_rejections - 1).min(MAX_REJECTION_DOUBLINGS);
        let pause = INITIAL_REJECTION_BACKOFF_SECONDS * f64::from(1u32 << doublings);
        let pause = pause.min(MAX_REJECTION_BACKOFF_SECONDS) * jitter;
        group.wait_until = group.wait_until.max(now + from_secs(pause));
    }

    /// A refused attempt does not count against the limit on attempts; its message's backoff bounds their
    /// number instead. It goes on at once a few times. Then its backoff doubles up to a share of the time
    /// left, which makes about 35 attempts in a minute and 170 in a day.
    pub(crate) fn schedule_after_refusal(&mut self, id: MessageId) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let (now, m) = (self.now, self.messages.get_mut(&id).expect("known"));
        m.refusals += 1;
        let Some(doublings) = m.refusals.checked_sub(IMMEDIATE_REFUSAL_RETRIES + 1) else { return };
        let left = to_secs(m.deadline - now);
        let max = MAX_REJECTION_BACKOFF_SECONDS.max(RETRY_BACKOFF_SHARE * left);
        let pause = (INITIAL_REFUSAL_BACKOFF_SECONDS * 2f64.powi(doublings.min(64) as i32)).min(max);
        m.not_before = now + from_secs(pause * jitter);
    }
}
