//! The scheduler: decides what one courier does with each message. It has no side effects: time comes with
//! each call, randomness from a seed. Each destination has a Fair-EDF occupancy chart of its held messages,
//! which are sent by earliest deadline. When a chart is infeasible, the fewest messages are shed, from the
//! class (or tenant) with the lowest miss ratio. `docs/design.md` lists where this departs from the paper.

use crate::interface::*;
pub use crate::state::Scheduler;
use crate::state::*;
use rand::Rng;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

// ---- constants: dimensionless unless the name states a unit --------------------------------------

/// Latency assumed before the first answer.
const INITIAL_LATENCY_SECONDS: f64 = 0.05;
/// Share of the call slots that one destination may use.
const MAX_DESTINATION_CALL_SHARE: f64 = 0.75;
/// The same for an unhealthy destination.
const MAX_UNHEALTHY_CALL_SHARE: f64 = 0.5;
/// Number of recent calls that decide whether a destination is unhealthy.
const RECENT_CALLS: usize = 12;
/// EWMA weight of a new latency sample.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
/// EWMA weight of a success or a failure.
pub(crate) const FAILURE_EWMA_WEIGHT: f64 = 0.25;
/// EWMA weight of a failure when there was no recent success.
const STALE_FAILURE_EWMA_WEIGHT: f64 = 0.6;
/// Decay time of the miss ratios: long compared with an outage, short compared with a day.
const MISS_RATIO_DECAY_SECONDS: f64 = 30.0;
/// A message gets its final answer this many ticks before its deadline.
const ANSWER_MARGIN_TICKS: Ns = 5;
/// Failure ratio, moved by each failure, above which a breaker opens.
pub(crate) const BREAKER_TRIP_RATIO: f64 = 0.5;
/// How long a breaker first stays open.
const INITIAL_OPEN_SECONDS: f64 = 1.5;
/// Lower bound on the time for which a breaker stays open.
const MIN_OPEN_SECONDS: f64 = 0.5;
/// Growth of the open time per second for which the endpoint has been unhealthy.
const OPEN_GROWTH_FACTOR: f64 = 6.0;
/// Spacing of trials between endpoints of one destination, as a share of the open time.
const TRIAL_SPACING_SHARE: f64 = 0.5;
/// An outage longer than this is followed by slow start.
const CONFIRMED_OUTAGE_SECONDS: f64 = 1.0;
/// A wait longer than this, as stated by an endpoint, is followed by slow start.
pub(crate) const COLD_WAIT_SECONDS: f64 = 2.5;
/// A call this many latencies old, with no answer on the endpoint since it was sent, counts as hung.
const HANG_LATENCY_MULTIPLE: f64 = 6.0;
/// Lower bound on the age at which a call counts as hung.
const MIN_HANG_SECONDS: f64 = 0.8;
/// The last attempts of a message, spread evenly over its remaining time.
const SPREAD_ATTEMPTS: u32 = 2;
/// Backoff after the second failure, before those attempts, as a share of the remaining time.
pub(crate) const RETRY_BACKOFF_SHARE: f64 = 0.06;
/// First backoff after a rejection that states no wait.
pub(crate) const INITIAL_REJECTION_BACKOFF_SECONDS: f64 = 0.1;
/// How often that backoff may double.
pub(crate) const MAX_REJECTION_DOUBLINGS: u32 = 7;
/// Upper bound on that backoff, unless one call at the fair rate takes longer.
pub(crate) const MAX_REJECTION_BACKOFF_SECONDS: f64 = 1.6;
/// Initial rate as a multiple of the fair share, if that is over one call per rate window.
const INITIAL_RATE_SHARE: f64 = 1.2;
/// AIMD: factor applied to the rate after a rejection.
const RATE_DECREASE_FACTOR: f64 = 0.7;
/// AIMD: increase for each accepted call, as a multiple of the fair share or the peak rate.
const RATE_INCREASE_SHARE: f64 = 0.06;
/// Lower bound on the rate, as a multiple of the fair share.
const MIN_RATE_SHARE: f64 = 0.3;
/// Lower bound on the rate where the limit is unknown, as a multiple of the peak rate.
const MIN_RATE_PEAK_SHARE: f64 = 0.4;
const MIN_RATE_PER_SECOND: f64 = 0.03;
/// Burst size of a token bucket, and minimum time between two decreases of its rate.
const RATE_BURST_SECONDS: f64 = 0.5;
/// Lower bound on a large fleet's rates, as a multiple of the fair share: rejected calls use up the limit.
const MIN_FLEET_RATE_SHARE: f64 = 0.85;
/// Remaining share of the reported allowance above which a fleet's rates grow.
pub(crate) const ALLOWANCE_GROW_ABOVE: f64 = 0.5;
/// Remaining share of the reported allowance below which a fleet's rates shrink.
const ALLOWANCE_SHRINK_BELOW: f64 = 0.25;
/// Increase of a fleet's rate per accepted call, as a share of the spare allowance. All couriers increase
/// before a report shows that one has, and calls above the limit are rejected.
const FLEET_RATE_INCREASE_SHARE: f64 = 0.2;
/// Window over which the rate of accepted calls is measured.
const RATE_WINDOW_SECONDS: f64 = 2.0;
/// Decay time of the smoothed rate of accepted calls.
const ACCEPTED_RATE_DECAY_SECONDS: f64 = 10.0;
/// Attempt timeout as a multiple of the latency.
const TIMEOUT_LATENCY_MULTIPLE: f64 = 7.0;
const MIN_TIMEOUT_SECONDS: f64 = 1.0;
/// Multiple of the attempt timeout after which a call that blocks others is cancelled.
const STUCK_TIMEOUT_MULTIPLE: f64 = 1.5;
/// Failure ratio from which an endpoint is avoided by messages that may run only once.
const MAX_ONCE_FAILURE_RATIO: f64 = 0.2;
/// Half-life of the failure ratios.
const FAILURE_RATIO_HALF_LIFE_SECONDS: f64 = 4.0;
/// Share of the message limit above which the longest chart sheds messages.
const MAX_OCCUPANCY_SHARE: f64 = 0.9;
/// First backoff after a failed request for the list.
const INITIAL_LIST_BACKOFF_SECONDS: f64 = 1.0;
/// Usual time from a request for the list to its answer.
const LIST_ANSWER_SECONDS: f64 = 1.5;
/// Time within which discovery can serve a request from every courier, however many there are.
const FLEET_LIST_SECONDS: f64 = 8.0;
/// Up to this many couriers may act at the same moment without overloading anything.
const SMALL_FLEET: f64 = 4.0;
/// Endpoint cost, in the unit of fees and handshakes, of a latency as long as the class's aim.
const LATENCY_COST: f64 = 0.05;
/// Endpoint cost of a failure ratio of 1.
const FAILURE_COST: f64 = 0.5;
/// Endpoint cost of a second of latency when call slots are scarce: other messages could use the slot. Limits
/// the harm of slow zones, handshakes and hangs under load; costly where fees outweigh late messages.
const SCARCE_SLOT_COST: f64 = 0.5;
/// Slots are scarce when one in this many, plus one, is left.
const SCARCE_SLOT_DIVISOR: usize = 20;
/// Endpoint cost of this courier's random preference: spreads couriers that know nothing over the endpoints,
/// each to its own, so that connections are reused.
const TIE_BREAK_COST: f64 = 0.005;
/// Calls per keepalive time that make a connection worth keeping where connections are scarce.
const MIN_REUSE_CALLS: f64 = 5.0;
/// How long connections count as scarce, in keepalive times.
const SCARCITY_KEEPALIVES: f64 = 6.0;
/// Connections that an endpoint with one shared limit accepts, per call that it serves at once at its limit.
/// This and the minimum are the low ends of the specified ranges (section 3.5 of the brief).
const CONNECTIONS_PER_CALL: f64 = 2.8;
const MIN_ENDPOINT_CONNECTIONS: f64 = 6.0;

impl Scheduler {
    /// Creates a scheduler without messages or endpoints; `seed` determines its jitter. An error names the
    /// first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        settings.check()?;
        let mut scheduler =
            Scheduler { list_backoff: INITIAL_LIST_BACKOFF_SECONDS, ..Scheduler::empty(settings, seed) };
        let spread = scheduler.settings.list_retry_spread().as_secs_f64() * scheduler.rng.random::<f64>();
        scheduler.list_request_at = scheduler.list_request_at.map(|at| at + from_secs(spread));
        Ok(scheduler)
    }

    /// Applies the events of one moment and appends the actions to take. Time never runs backwards in here.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        let origin = *self.origin.get_or_insert(now);
        self.now = ns(now.saturating_sub(origin)).max(self.now);
        for event in events {
            self.apply_event(event, out);
        }
        while let Some((at, dest)) = self.agenda.first().copied().filter(|(at, _)| *at <= self.now) {
            self.agenda.remove(&(at, dest));
            self.dirty.insert(dest);
        }
        if self.calls_in_flight < self.settings.max_calls_in_flight {
            self.dirty.append(&mut self.waiting_for_slot);
        }
        let dirty = std::mem::take(&mut self.dirty);
        for dest in &dirty {
            self.destination_mut(*dest).next_check = NEVER;
            self.end_expired(*dest, out);
            self.check_health(*dest);
        }
        self.send_ready(&dirty, out);
        for endpoint in std::mem::take(&mut self.maybe_idle) {
            self.close_spare_connection(endpoint, out);
        }
        for dest in &dirty {
            self.schedule_check(*dest);
        }
        // Last, so that nothing in this batch refers to an endpoint that it has forgotten.
        if std::mem::take(&mut self.list_changed) {
            self.forget_gone_endpoints(out);
        }
        if self.list_request_at.is_some_and(|t| t <= self.now) {
            // The timeout of this request; an answer clears it.
            let pause =
                list_retry_delay(self.list_backoff * 4.0, self.settings.list_retry_spread(), &mut self.rng);
            self.list_request_at = Some(self.now + ns(pause));
            out.push(Action::Subscribe { active: true });
        }
        let next = self
            .agenda
            .first()
            .map_or(NEVER, |a| a.0)
            .min(self.next_stuck_check)
            .min(self.list_request_at.unwrap_or(NEVER));
        if next < self.timer.map_or(NEVER, |w| w.1) {
            self.next_token += 1;
            self.timer = Some((self.next_token, next));
            out.push(Action::SetTimer {
                token: self.next_token,
                after: to_duration((next - self.now).max(1)),
            });
        }
    }

    /// Rule: receivers drop a repeat only within the key's window, so its last attempt must end within it,
    /// not only start: a request may be written late if its connection is established late.
    fn latest_attempt_end(&self, m: &Message) -> Ns {
        match (m.may_have_run, self.settings.classes[m.class].effect) {
            (Some(run), Effect::Keyed { window, .. }) => m.deadline.min(run.sent_at + ns(window)),
            _ => m.deadline,
        }
    }

    /// Latest time for the final answer; of a held message, while there is still time for one usual latency.
    fn answer_deadline(&self, m: &Message) -> Ns {
        let held = (self.latest_attempt_end(m), from_secs(self.destinations[&m.destination].latency));
        let (end, need) = if m.in_flight.is_none() { held } else { (m.deadline, 0) };
        end - need.max(ns(self.settings.tick) * ANSWER_MARGIN_TICKS)
    }

    /// Schedules the destination's next check for the earliest time at which anything there can change.
    fn schedule_check(&mut self, dest: DestinationId) {
        let d = &self.destinations[&dest];
        let open = d.messages.iter().map(|id| &self.messages[id]).filter(|m| !m.finished);
        let backed_off = |m: &Message| m.in_flight.is_none() && m.not_before > self.now;
        let times = open.map(|m| {
            if backed_off(m) { m.not_before.min(self.answer_deadline(m)) } else { self.answer_deadline(m) }
        });
        let next = times.min().unwrap_or(NEVER).min(d.next_check);
        let soonest = self.now + ns(self.settings.tick);
        let d = self.destination_mut(dest);
        let next = next.min(d.chart.start().map_or(NEVER, |start| start + 1)).max(soonest);
        let was = std::mem::replace(&mut d.scheduled_check, next);
        self.agenda.remove(&(was, dest));
        self.agenda.extend((next < NEVER).then_some((next, dest)));
    }

    fn check_by(&mut self, dest: DestinationId, at: Ns) {
        self.destination_mut(dest).next_check = self.destinations[&dest].next_check.min(at);
    }

    fn has_call_slot(&self, d: &Destination) -> bool {
        self.calls_in_flight < self.settings.max_calls_in_flight && d.calls < self.max_calls(d)
    }

    /// The limit group of an endpoint. Panics for one that was never listed.
    pub fn limit_group_id(&self, id: EndpointId) -> LimitGroupId {
        let e = &self.endpoints[&id];
        (e.destination, self.settings.kinds[e.kind].separate_routes.then_some(id))
    }

    fn apply_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { complete, entries } => self.update_endpoints(*complete, entries),
            Event::EndpointListFailed => {
                let pause =
                    list_retry_delay(self.list_backoff, self.settings.list_retry_spread(), &mut self.rng);
                self.list_request_at = self.settings.subscription_required.then_some(self.now + ns(pause));
                self.list_backoff = (self.list_backoff * 2.0).min(INITIAL_LIST_BACKOFF_SECONDS * 8.0);
            }
            Event::MembershipCurrent { as_of } => self.membership_current(*as_of),
            Event::MembershipLimited { until } => self.membership.shorten_to(self.since_origin(*until)),
            Event::Accepted(taken) => self.accept(taken, out),
            Event::ResponseStarted { .. } | Event::NoteReceived { .. } => {}
            Event::AttemptEnded(ended) => self.attempt_ended(ended, out),
            Event::Withdrawn { message } => self.finish(*message),
            Event::TimerFired { token } => self.timer = self.timer.filter(|w| w.0 != *token),
            Event::ProbeEnded { endpoint, outcome, report, .. } => {
                self.apply_feedback(*endpoint, *outcome, report)
            }
        }
    }

    fn update_endpoints(&mut self, complete: bool, entries: &[EndpointEntry]) {
        // The first list is a cached one that precedes any request; later ones answer requests.
        if self.now > 0 {
            (self.list_request_at, self.list_backoff) = (None, INITIAL_LIST_BACKOFF_SECONDS);
        }
        if complete {
            self.endpoints.values_mut().for_each(|e| e.mark_gone(self.now));
        }
        for entry in entries {
            let kind = entry.kind.min(self.settings.kinds.len() - 1);
            let (destination, zone, tie_break) = (entry.destination, entry.zone, self.rng.random());
            let fresh = || Endpoint { destination, zone, kind, tie_break, ..Endpoint::default() };
            let e = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            if e.destination != destination {
                e.mark_gone(self.now);
                continue;
            }
            e.set_state(entry.state, self.now);
            e.zone = zone;
            e.requires_lease = entry.requires_lease;
            self.destination_mut(entry.destination).endpoints.insert(entry.endpoint);
            let id = self.limit_group_id(entry.endpoint);
            let group = self
                .limit_groups
                .entry(id)
                .or_insert_with(|| LimitGroup { tokens: 1.0, ..LimitGroup::default() });
            if self.settings.weight_kind != WeightKind::None && group.limit.is_none() && entry.weight > 0.0 {
                group.limit = Some(entry.weight);
                // Before the first report a fleet would call in bursts of one call per courier. So rates
                // apply from the start, and each bucket fills at a random time before the longest aim.
                if let Some(fair_share) = group
                    .fair_share(self.settings.courier_count)
                    .filter(|_| self.settings.fleet_factor() > 0.0)
                {
                    let aim = self.settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.0, f64::max);
                    let lack =
                        self.settings.fleet_factor() * self.rng.random::<f64>() * (fair_share * aim).min(1.0);
                    (group.rate, group.tokens, group.refilled_at) = (Some(fair_share), 1.0 - lack, self.now);
                }
            }
        }
        self.list_changed = true;
        self.mark_occupied_dirty();
    }

    /// Renews the lease on the list; messages that were held because it had expired may be sent.
    fn membership_current(&mut self, as_of: Time) {
        let had_expired = !self.membership.is_valid(self.now);
        self.membership.renew(self.since_origin(as_of));
        if had_expired {
            self.mark_occupied_dirty();
        }
        self.ask_before_expiry();
    }

    /// Redraws the time of the first list request if its answer would come after the lease expires. The
    /// requests of a fleet stay spread over at least a quarter of their usual span.
    fn ask_before_expiry(&mut self) {
        let latest = self.membership.expires_at().saturating_sub(from_secs(LIST_ANSWER_SECONDS));
        if self.list_request_at.is_some_and(|at| at > latest) {
            let window = (latest - self.now).max(ns(self.settings.list_retry_spread()) / 4);
            self.list_request_at = Some(self.now + from_secs(to_secs(window) * self.rng.random::<f64>()));
        }
    }

    /// Converts a time of the courier's clock to this scheduler's; negative before the first call.
    fn since_origin(&self, at: Time) -> Ns {
        ns(at) - ns(self.origin.unwrap_or_default())
    }

    /// When the lease on the endpoint list expires, on the clock of [`Scheduler::handle`]; None if never.
    pub fn membership_expires_at(&self) -> Option<Time> {
        let expires_at = self.membership.expires_at();
        (expires_at != NEVER).then(|| self.origin.unwrap_or_default() + to_duration(expires_at))
    }

    /// Marks each destination that has messages for a check.
    fn mark_occupied_dirty(&mut self) {
        self.dirty
            .extend(self.destinations.iter().filter(|(_, d)| !d.messages.is_empty()).map(|(id, _)| *id));
    }

    fn destination_mut(&mut self, id: DestinationId) -> &mut Destination {
        let fresh = || Destination { latency: INITIAL_LATENCY_SECONDS, ..Destination::default() };
        self.destinations.entry(id).or_insert_with(fresh)
    }

    fn accept(&mut self, t: &Accepted, out: &mut Vec<Action>) {
        let (id, destination) = (t.message, t.destination);
        let class = t.class.min(self.settings.classes.len() - 1);
        let c = &self.settings.classes[class];
        let deadline = self.now + ns(t.time_left);
        let stretch = t.estimated_work.map_or(0.0, |w| c.aim_stretch * w.as_secs_f64());
        let aim_at = (deadline - ns(c.deadline) + ns(c.aim) + from_secs(stretch)).min(deadline);
        let fairness_group =
            if self.settings.tenant_count > 0 { t.tenant.min(self.settings.tenant_count - 1) } else { class };
        let key = t.key.clone().filter(|_| c.ordered);
        if let Some(key) = &key {
            self.key_queues.entry(key.clone()).or_default().push_back(id);
        }
        let resumed = Message::from_history(&t.history, self.now);
        let message = Message {
            class,
            fairness_group,
            destination,
            key,
            aim_at,
            deadline,
            chart_deadline: aim_at,
            ..resumed
        };
        self.count(fairness_group, 0.0, 1.0);
        self.messages.insert(id, message);
        self.dirty.insert(destination);
        self.destination_mut(destination).messages.insert(id);
        self.unfinished += 1;
        self.enqueue(id, out);
        while self.unfinished as f64 > MAX_OCCUPANCY_SHARE * self.settings.max_messages as f64 {
            // The destination that holds most sheds: a paused one must not keep out messages for others.
            let fullest = self.destinations.iter().max_by_key(|(_, d)| d.chart.held.len()).map(|(id, _)| *id);
            let Some(fullest) = fullest.filter(|d| !self.destinations[d].chart.held.is_empty()) else {
                break;
            };
            let candidates: Vec<_> = self.destinations[&fullest].chart.held.iter().map(|h| h.1).collect();
            self.end_undelivered(self.shed_candidate(&candidates), out);
        }
    }

    fn attempt_ended(&mut self, ended: &AttemptEnded, out: &mut Vec<Action>) {
        let (id, endpoint, outcome) = (ended.message, ended.endpoint, ended.outcome);
        self.apply_feedback(endpoint, outcome, &ended.report);
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(in_flight) = m.in_flight.take() else { return };
        let running = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if m.may_have_run.is_none() && (running || outcome == Outcome::Error) {
            let InFlightAttempt { incarnation, zone, sent_at, .. } = in_flight;
            m.may_have_run = Some(PossibleRun { endpoint, incarnation, zone, sent_at });
        }
        if let Some(key) = m.key.as_ref().filter(|_| running) {
            self.key_cooldowns.insert(key.clone(), (id, self.now + ns(self.settings.order_pause)));
        }
        let late = self.now > m.aim_at;
        self.dirty.insert(m.destination);
        self.call_ended(in_flight, ended);
        match outcome {
            Outcome::Moot => {}
            Outcome::Refused { .. } => self.schedule_after_refusal(id),
            _ => self.schedule_retry(
                id,
                matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Crowded),
            ),
        }
        let m = &self.messages[&id];
        let ends = matches!(outcome, Outcome::Delivered | Outcome::Rejected) || ended.is_final;
        if !ends && !m.finished {
            return if self.may_attempt(m) { self.enqueue(id, out) } else { self.end_undelivered(id, out) };
        }
        if late && !m.finished {
            self.record_miss(id);
        }
        self.finish(id);
    }

    /// Spreads attempts over the remaining time: an outage or a load peak may outlast quick retries.
    fn schedule_retry(&mut self, id: MessageId, full: bool) {
        let u = 0.5 + self.rng.random::<f64>();
        let m = self.messages.get_mut(&id).expect("known");
        let cap = self.settings.classes[m.class].max_attempts.unwrap_or(self.settings.max_attempts);
        let attempts = m.counted_attempts();
        let left = cap.saturating_sub(attempts);
        let share = match (left, full) {
            (left, _) if left <= SPREAD_ATTEMPTS => 1.0 / f64::from(left + 1),
            (_, false) if attempts > 1 => RETRY_BACKOFF_SHARE * 3f64.powi(attempts as i32 - 2),
            _ => return,
        };
        m.not_before = self.now + from_secs(to_secs(m.deadline - self.now) * u * share);
    }

    /// Accounts for the end of a call: slots, latency, rate and health. A bundle counts once.
    fn call_ended(&mut self, in_flight: InFlightAttempt, ended: &AttemptEnded) {
        let (id, now, outcome, elapsed) =
            (ended.endpoint, self.now, ended.outcome, ended.elapsed.as_secs_f64());
        let InFlightAttempt { call, sent_at, opens_connection, .. } = in_flight;
        let e = self.endpoints.get_mut(&id).expect("known");
        let Some(bundle) = e.calls.get_mut(&call) else { return };
        bundle.1 -= 1;
        let is_first_outcome =
            std::mem::replace(&mut bundle.0, Ns::MIN) != Ns::MIN && outcome != Outcome::Moot;
        if bundle.1 == 0 {
            e.calls.remove(&call);
            self.calls_in_flight -= 1;
            let dest = e.destination;
            self.destination_mut(dest).calls -= 1;
        }
        let group_id = self.limit_group_id(id);
        let (gap, slow) = (self.call_gap(id), 1.0 / (self.rate_share(id)).max(1e-3));
        if is_first_outcome {
            self.record_connect(id, sent_at, opens_connection, outcome);
        }
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| is_first_outcome) else { return };
        let d = self.destinations.get_mut(&e.destination).expect("known");
        if !outcome.is_rejection() {
            let succeeded = matches!(outcome, Outcome::Delivered | Outcome::Rejected | Outcome::Cancelled);
            d.recent_failures.push_back(!succeeded || elapsed > 2.0 * d.latency);
            d.recent_failures.drain(..d.recent_failures.len().saturating_sub(RECENT_CALLS));
        }
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a limit group");
        match outcome {
            Outcome::Delivered => {
                for (latency, first) in [(&mut e.latency, 0.0), (&mut d.latency, INITIAL_LATENCY_SECONDS)] {
                    *latency +=
                        if *latency == first { 1.0 } else { LATENCY_EWMA_WEIGHT } * (elapsed - *latency);
                }
                self.record_accepted_call(id, ended.report);
            }
            Outcome::Full { wait } => {
                group.consecutive_rejections += 1;
                group.decrease_rate(now, &self.settings);
                // Without a stated wait: exponential backoff with jitter.
                let u: f64 = self.rng.random();
                let doubled = INITIAL_REJECTION_BACKOFF_SECONDS
                    * f64::from(1u32 << (group.consecutive_rejections - 1).min(MAX_REJECTION_DOUBLINGS));
                let pause = wait
                    .map_or(from_secs(doubled.min(slow.max(MAX_REJECTION_BACKOFF_SECONDS)) * (0.5 + u)), ns);
                // Otherwise all rejected couriers would return at once, after a backoff or a stated wait.
                let spread_delay = from_secs(self.settings.fleet_factor() * u * slow);
                group.wait_until = group.wait_until.max(now + pause + spread_delay);
                if let Some(wait) = wait.filter(|w| w.as_secs_f64() > COLD_WAIT_SECONDS) {
                    // Unavailable until then: all couriers return at the same time, and it is cold.
                    e.slow_start_since = Some(now + ns(wait));
                    let spread = self.settings.slow_start_duration.as_secs_f64() * u.sqrt();
                    e.next_call_at = now + ns(wait) + from_secs(spread.min(2.0 * u * gap));
                }
                e.trial = None;
            }
            // The latency of an endpoint is that of the messages that it runs.
            Outcome::Rejected => self.record_accepted_call(id, ended.report),
            Outcome::Refused { wait } => self.record_refusal(id, call, sent_at, wait),
            // A connection limit looks like a dead endpoint, except that other connections get answers.
            Outcome::ConnectFailed
                if e.last_success > sent_at || (!e.calls.is_empty() && e.last_success > 0) => {}
            // It is up, but a connection limit says nothing about how it serves. After an outage it does not
            // prove recovery either: the next trial waits, since every connection attempt adds load.
            Outcome::Crowded if e.breaker == Breaker::Closed => {}
            Outcome::Crowded => self.open_breaker(id, false),
            Outcome::Cancelled | Outcome::Moot => {}
            _ => self.record_failure(id, call, outcome != Outcome::ConnectFailed),
        }
        self.maybe_idle.insert(id);
    }

    /// After a failed connect, new connections are tried one at a time with exponential backoff; others stay
    /// in use. Covers a connection limit of the endpoint, an intermediary or this machine. Drawback: after
    /// one random failure in a load peak, the other new connections wait 0.1 s.
    fn record_connect(&mut self, id: EndpointId, sent_at: Ns, opens_connection: bool, outcome: Outcome) {
        let kept = matches!(outcome, Outcome::Delivered | Outcome::Rejected | Outcome::Error)
            || outcome.is_rejection();
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        e.idle_connections.extend(kept.then_some(now));
        if kept && opens_connection {
            e.connect_failures = e.connect_failures.saturating_sub(1);
        }
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Crowded) {
            self.connections_scarce_at[e.kind] = to_secs(now);
            // Connections that counted as idle when it was sent are gone.
            e.idle_connections.retain(|t| *t > sent_at);
            // Connects that were started before the first failure was known count as one failure.
            e.connect_failures += u32::from(sent_at >= e.last_connect_failure);
            e.last_connect_failure = now;
            e.next_connect_at =
                now + from_secs(connect_backoff(e.connect_failures) * (0.5 + self.rng.random::<f64>()));
        }
    }

    // ---- occupancy chart: enqueue, drop the aim, shed ----------------------------------------------

    /// Sigma in the paper: smoothed latency over concurrent calls, but no less than the rates under a known
    /// limit allow; otherwise the chart would assume throughput that is not there. Too high where a rate is
    /// far below the limit.
    fn service_time(&self, id: DestinationId) -> Ns {
        let (d, groups) = (&self.destinations[&id], self.ready_limit_groups(id));
        let total_rate = groups
            .iter()
            .map(|p| self.limit_groups[p].limit.and(self.limit_groups[p].rate))
            .sum::<Option<f64>>();
        let rate_interval = total_rate.filter(|r| *r > 0.0).map_or(0.0, |r| 1.0 / r);
        from_secs((d.latency / self.max_calls(d) as f64).max(rate_interval)).max(1)
    }

    /// Chart time covered by the tokens of a fleet's courier: they can be spent at once, however small its
    /// share. Without it, a courier with a share of one call in many seconds would refuse every message.
    fn token_credit(&self, id: DestinationId) -> Ns {
        let fleet_factor = self.settings.fleet_factor();
        if fleet_factor == 0.0 {
            return 0;
        }
        let groups = self.ready_limit_groups(id);
        let held =
            groups.iter().map(|p| self.limit_groups[p].available_tokens(self.now).max(0.0)).sum::<f64>();
        (self.destinations[&id].chart.service_time as f64 * fleet_factor * held.min(1.0)) as Ns
    }

    /// The limit groups of a destination's ready endpoints, each once.
    fn ready_limit_groups(&self, id: DestinationId) -> BTreeSet<LimitGroupId> {
        let endpoints = self.destinations[&id].endpoints.iter();
        endpoints.filter(|e| self.endpoints[e].ready).map(|e| self.limit_group_id(*e)).collect()
    }

    /// Calls that this courier may have in flight to a destination.
    fn max_calls(&self, d: &Destination) -> usize {
        let bad = d.recent_failures.iter().filter(|b| **b).count();
        let unhealthy = d.recent_failures.len() >= RECENT_CALLS / 3 && bad * 2 > d.recent_failures.len();
        let share = if unhealthy { MAX_UNHEALTHY_CALL_SHARE } else { MAX_DESTINATION_CALL_SHARE };
        ((self.settings.max_calls_in_flight as f64 * share) as usize).max(1)
    }

    fn enqueue(&mut self, id: MessageId, out: &mut Vec<Action>) {
        let dest = self.messages[&id].destination;
        let m = &self.messages[&id];
        if !m.past_aim && self.now + from_secs(self.destinations[&dest].latency) > m.aim_at {
            self.drop_aim(id);
        }
        let (chart_deadline, service_time) = (self.messages[&id].chart_deadline, self.service_time(dest));
        let chart = &mut self.destination_mut(dest).chart;
        chart.resize(service_time);
        chart.add(chart_deadline, id);
        self.restore_feasibility(dest, out);
    }

    /// Gives up the aim: the message moves to its final deadline on the chart.
    fn drop_aim(&mut self, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("held");
        let (dest, chart_deadline, deadline) = (m.destination, m.chart_deadline, m.deadline);
        (m.past_aim, m.chart_deadline) = (true, deadline);
        let chart = &mut self.destination_mut(dest).chart;
        if chart.remove(chart_deadline, id) {
            chart.add(deadline, id);
        }
        self.record_miss(id);
    }

    /// While the first busy segment starts before now, one of its messages is shed. Unlike in the paper, it
    /// is first moved to its final deadline, while a late delivery has worth.
    fn restore_feasibility(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.token_credit(dest);
        while let Some(first) = self.destination_mut(dest).chart.overdue(now - credit) {
            let on_time: Vec<_> = first.iter().copied().filter(|m| !self.messages[m].past_aim).collect();
            if on_time.is_empty() {
                self.end_undelivered(self.shed_candidate(&first), out);
            } else {
                self.drop_aim(self.shed_candidate(&on_time));
            }
        }
    }

    /// The message to shed: from the group with the lowest miss ratio, weighted by worth, the latest
    /// deadline.
    fn shed_candidate(&self, candidates: &[MessageId]) -> MessageId {
        let score = |id: &MessageId| {
            let m = &self.messages[id];
            let t = &self.miss_counts[m.fairness_group];
            let weight =
                if self.settings.tenant_count > 0 { 1.0 } else { self.settings.classes[m.class].worth };
            (t.misses + 0.5) / (t.total + 1.0) * weight
        };
        let by = |a: &&MessageId, b: &&MessageId| {
            let (x, y) = (&self.messages[*a], &self.messages[*b]);
            score(a).total_cmp(&score(b)).then(y.chart_deadline.cmp(&x.chart_deadline)).then(b.cmp(a))
        };
        *candidates.iter().min_by(by).expect("a segment holds a message")
    }

    fn count(&mut self, fairness_group: usize, misses: f64, total: f64) {
        let t = &mut self.miss_counts[fairness_group];
        let keep = (-to_secs(self.now - t.updated_at) / MISS_RATIO_DECAY_SECONDS).exp();
        *t = MissCounts {
            misses: t.misses * keep + misses,
            total: t.total * keep + total,
            updated_at: self.now,
        };
    }

    fn record_miss(&mut self, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("known");
        if !std::mem::replace(&mut m.counted_as_missed, true) {
            let fairness_group = m.fairness_group;
            self.count(fairness_group, 1.0, 0.0);
        }
    }

    /// Ends messages whose time is nearly up or that have no attempt left, then restores the chart.
    fn end_expired(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let expired = |m: &Message| {
            self.answer_deadline(m) <= self.now || (m.in_flight.is_none() && !self.may_attempt(m))
        };
        let open = self.destinations[&dest].messages.iter().filter(|id| !self.messages[id].finished);
        for id in open.filter(|id| expired(&self.messages[id])).copied().collect::<Vec<_>>() {
            self.end_undelivered(id, out);
        }
        let service_time = self.service_time(dest);
        self.destination_mut(dest).chart.resize(service_time);
        self.restore_feasibility(dest, out);
    }

    /// Sends what may be sent now, by earliest deadline across the destinations being checked.
    fn send_ready(&mut self, dirty: &BTreeSet<DestinationId>, out: &mut Vec<Action>) {
        let held: BTreeSet<_> =
            dirty.iter().flat_map(|d| self.destinations[d].chart.held.iter().copied()).collect();
        let mut open_bundles = OpenBundles::new();
        for (_, id) in held {
            let m = &self.messages[&id];
            let (dest, rest) = (m.destination, m.key.as_ref().and_then(|key| self.key_cooldowns.get(key)));
            if !self.is_next_for_key(id, m) || m.not_before > self.now {
                self.check_by(dest, rest.filter(|r| r.1 > self.now).map_or(NEVER, |r| r.1));
                continue;
            }
            if let Some(endpoint) = self.choose_endpoint(id, &open_bundles) {
                self.send(id, endpoint, &mut open_bundles, out);
            } else if !self.has_call_slot(&self.destinations[&dest]) {
                self.waiting_for_slot.insert(dest);
            }
        }
        self.cancel_stuck_call(out);
    }

    /// Cancels the oldest stuck call if messages wait for its slot. Guards against answers that never come.
    /// Drawback: a cancelled message that may run only once fails, even if its slow call would be answered.
    fn cancel_stuck_call(&mut self, out: &mut Vec<Action>) {
        self.next_stuck_check = NEVER;
        let needed = self.settings.cancellation_enabled && !self.waiting_for_slot.is_empty();
        let full = self.calls_in_flight >= self.settings.max_calls_in_flight;
        let stuck = |m: &Message| {
            let f = m
                .in_flight
                .as_ref()
                .filter(|f| !f.cancelled && (full || self.waiting_for_slot.contains(&m.destination)))?;
            Some(
                f.sent_at
                    + from_secs(self.attempt_timeout(&self.endpoints[&f.endpoint]) * STUCK_TIMEOUT_MULTIPLE),
            )
        };
        let first =
            self.messages.iter().filter_map(|(id, m)| Some((stuck(m)?, *id))).filter(|_| needed).min();
        let Some((at, id)) = first else { return };
        self.next_stuck_check = at.max(self.now + ns(self.settings.tick));
        if at <= self.now {
            let m = self.messages.get_mut(&id).expect("known");
            m.in_flight.as_mut().expect("in flight").cancelled = true;
            out.push(Action::Cancel { message: id, attempt: m.attempts - 1 });
        }
    }

    /// Timeout in seconds of an attempt that may be repeated.
    fn attempt_timeout(&self, e: &Endpoint) -> f64 {
        (TIMEOUT_LATENCY_MULTIPLE * e.latency).max(MIN_TIMEOUT_SECONDS)
    }

    /// Rule: messages of an ordered key go one at a time, with a pause after one that may still be running.
    fn is_next_for_key(&self, id: MessageId, m: &Message) -> bool {
        let Some(key) = &m.key else { return true };
        let cooled_down =
            self.key_cooldowns.get(key).is_none_or(|(held_by, until)| *held_by == id || *until <= self.now);
        cooled_down && self.key_queues.get(key).and_then(VecDeque::front) == Some(&id)
    }

    fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        open_bundles: &mut OpenBundles,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let group = self.limit_group_id(endpoint);
        let e = self.endpoints.get_mut(&endpoint).expect("chosen");
        let bundle_max = self.settings.kinds[e.kind].max_bundle_size.max(1);
        let mut opens_connection = false;
        let call = match open_bundles.get_mut(&endpoint) {
            Some((call, room)) if *room > 0 => {
                *room -= 1;
                e.calls.get_mut(call).expect("open call").1 += 1;
                *call
            }
            _ => {
                let call = self.next_call;
                self.next_call += 1;
                open_bundles.insert(endpoint, (call, bundle_max - 1));
                e.calls.insert(call, (now, 1));
                e.idle_connections.retain(|t| *t > now - ns(self.settings.keepalive));
                opens_connection = e.idle_connections.pop().is_none();
                if opens_connection {
                    e.next_connect_at = now + from_secs(connect_backoff(e.connect_failures));
                }
                e.trial = Some(call);
                self.calls_in_flight += 1;
                self.limit_groups.get_mut(&group).expect("known").take_token(now);
                self.destination_mut(group.0).calls += 1;
                call
            }
        };
        let Endpoint { incarnation, zone, .. } = self.endpoints[&endpoint];
        let attempt_timeout = from_secs(self.attempt_timeout(&self.endpoints[&endpoint]));
        let latest_attempt_end = self.latest_attempt_end(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("held");
        let left = latest_attempt_end - now - ns(self.settings.tick) * 2;
        // A message that may run only once gets all its time: a shorter timeout could only make it fail.
        let once = self.settings.classes[m.class].effect == Effect::Once;
        let timeout = if once { left } else { left.min(attempt_timeout) };
        let (dest, due) = (m.destination, m.chart_deadline);
        (m.attempts, m.last_endpoint) = (m.attempts + 1, Some(endpoint));
        let (cancelled, sent_at) = (false, now);
        m.in_flight =
            Some(InFlightAttempt { endpoint, incarnation, zone, call, cancelled, sent_at, opens_connection });
        self.destination_mut(dest).chart.remove(due, id);
        out.push(Action::Send { message: id, endpoint, timeout: to_duration(timeout.max(1)) });
        self.space_next_call(endpoint);
    }

    /// The cheapest endpoint to which this message may be sent now. Enforces every rule on sending.
    fn choose_endpoint(&mut self, id: MessageId, open_bundles: &OpenBundles) -> Option<EndpointId> {
        let m = &self.messages[&id];
        let d = &self.destinations[&m.destination];
        let room = self.has_call_slot(d);
        let scarce = self.calls_in_flight + 1 + self.settings.max_calls_in_flight / SCARCE_SLOT_DIVISOR
            >= self.settings.max_calls_in_flight;
        let slot_cost = if scarce { SCARCE_SLOT_COST } else { 0.0 };
        let (mut best, mut rate_limited, mut check_at) = (None, Vec::new(), NEVER);
        for id in &d.endpoints {
            let e = &self.endpoints[id];
            // Rules: nothing to a draining or gone endpoint; a keyed repeat only within the scope of its key.
            if !e.ready || !self.repeat_is_safe_at(m, *id, e) {
                continue;
            }
            // Rule: nothing to an endpoint that may be draining or gone without this courier's knowledge.
            if e.requires_lease && !self.membership.is_valid(self.now) {
                continue;
            }
            if let Some(at) = self.unavailable_until(m, e) {
                check_at = check_at.min(at);
                continue;
            }
            let group_id = self.limit_group_id(*id);
            let group = &self.limit_groups[&group_id];
            let joins_bundle = open_bundles.get(id).is_some_and(|(_, room)| *room > 0);
            // Rules: stated waits are observed, and calls to an endpoint in slow start are spaced.
            let mut free_at = if joins_bundle || e.slow_start_since.is_none() {
                group.wait_until
            } else {
                group.wait_until.max(e.next_call_at)
            };
            free_at = free_at.max(e.refused_until);
            if !joins_bundle && !room {
                continue;
            }
            if !joins_bundle {
                let missing_tokens = 1.0 - group.available_tokens(self.now);
                if let Some(rate) =
                    group.rate.filter(|_| missing_tokens > 0.0 && e.breaker == Breaker::Closed)
                {
                    free_at = free_at.max(self.now + from_secs(missing_tokens / rate) + 1);
                    rate_limited.push(group_id);
                }
            }
            let idle = e.idle_connections.iter().any(|t| *t > self.now - ns(self.settings.keepalive));
            if !joins_bundle && !idle {
                free_at = free_at.max(e.next_connect_at);
            }
            if free_at > self.now {
                check_at = check_at.min(free_at);
                continue;
            }
            let separate = self.settings.kinds[e.kind].separate_routes;
            let fee = self.settings.zone_fees.get(e.zone).filter(|_| separate).copied().unwrap_or(0.0);
            let handshake = if joins_bundle || idle { 0.0 } else { self.settings.handshake_cost };
            let aim = self.settings.classes[m.class].aim.as_secs_f64().max(INITIAL_LATENCY_SECONDS);
            let retry = if m.last_endpoint == Some(*id) && m.attempts > 0 { LATENCY_COST } else { 0.0 };
            let load = 1.0 + e.calls.len() as f64 / 4.0;
            let slow = LATENCY_COST / aim * e.latency + slot_cost * e.latency.max(INITIAL_LATENCY_SECONDS);
            let cost = fee
                + handshake
                + retry
                + slow * load
                + TIE_BREAK_COST * e.tie_break
                + FAILURE_COST * e.failure_ratio.decayed(self.now);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, *id));
            }
        }
        let dest = m.destination;
        rate_limited
            .into_iter()
            .for_each(|p| self.limit_groups.get_mut(&p).expect("known").rate_limited = true);
        self.check_by(dest, check_at);
        best.map(|b| b.1)
    }

    /// Rule: a message that may have run is repeated only where its effect class makes that harmless.
    fn repeat_is_safe_at(&self, m: &Message, id: EndpointId, e: &Endpoint) -> bool {
        let Some(run) = m.may_have_run else { return true };
        match self.settings.classes[m.class].effect {
            Effect::Repeatable | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Keyed { scope: KeyScope::Zone, .. } => e.zone == run.zone && !self.has_moved(run),
            Effect::Keyed { .. } => id == run.endpoint && e.incarnation == run.incarnation,
            Effect::Once => false,
        }
    }

    /// Whether the endpoint where a message may have run is in another zone by now: the zone of the attempt
    /// does not tell who knows its key.
    fn has_moved(&self, run: PossibleRun) -> bool {
        self.endpoints.get(&run.endpoint).is_some_and(|ran_at| ran_at.zone != run.zone)
    }

    fn may_attempt(&self, m: &Message) -> bool {
        let in_window = match (m.may_have_run, self.settings.classes[m.class].effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::Once) => false,
            (Some(_), Effect::Keyed { .. }) => self.now < self.answer_deadline(m),
        };
        in_window
            && m.counted_attempts()
                < self.settings.classes[m.class].max_attempts.unwrap_or(self.settings.max_attempts)
    }

    /// None if the message may be sent there, else when to check again. A half-open breaker admits one trial.
    /// Until half its time has passed, a message that may run only once avoids endpoints with failed calls
    /// that may have run. Failed connects don't count: they are harmless, and common in a fleet.
    fn unavailable_until(&self, m: &Message, e: &Endpoint) -> Option<Ns> {
        let half_time = m.deadline - ns(self.settings.classes[m.class].deadline) / 2;
        let risk = e.uncertain_failure_ratio.decayed(self.now);
        let too_risky =
            self.settings.classes[m.class].effect == Effect::Once && risk >= MAX_ONCE_FAILURE_RATIO;
        match e.breaker {
            Breaker::Closed | Breaker::HalfOpen if too_risky && half_time > self.now => Some(half_time.min(
                self.now
                    + from_secs(FAILURE_RATIO_HALF_LIFE_SECONDS * (risk / MAX_ONCE_FAILURE_RATIO).log2())
                    + 1,
            )),
            Breaker::Closed => None,
            Breaker::HalfOpen if e.trial.is_none() => None,
            _ => Some(NEVER),
        }
    }

    /// This courier's rate in calls per second: its fair share of the limit, or more if it has achieved more.
    fn rate_share(&self, id: EndpointId) -> f64 {
        let group_id = self.limit_group_id(id);
        let group = &self.limit_groups[&group_id];
        let sharing = match group_id.1 {
            Some(_) => 1,
            None => {
                self.destinations[&group_id.0].endpoints.iter().filter(|e| self.endpoints[e].ready).count()
            }
        };
        let known = group.fair_share(self.settings.courier_count).unwrap_or(group.peak_rate);
        known.max(2.0 * (group.accepted_rate - 1.0 / ACCEPTED_RATE_DECAY_SECONDS)) / sharing.max(1) as f64
    }

    /// Seconds between calls that keep this courier within its share of the slow-start budget.
    pub(crate) fn call_gap(&self, id: EndpointId) -> f64 {
        let from = self.endpoints[&id].slow_start_since.unwrap_or(self.now);
        let progress = to_secs(self.now - from) / self.settings.slow_start_duration.as_secs_f64().max(1e-3);
        let capacity_share = self.settings.slow_start_min_share
            + (1.0 - self.settings.slow_start_min_share) * progress.clamp(0.0, 1.0);
        1.0 / (self.settings.overload_multiple * capacity_share * self.rate_share(id)).max(1e-3)
    }

    /// Rule: an endpoint back from an outage is not overloaded. Each courier keeps to its share of the
    /// budget; if that is less than a call, it calls once at random in the slow start, more likely late than
    /// early.
    pub(crate) fn space_next_call(&mut self, id: EndpointId) {
        let (gap, u) = (self.call_gap(id), self.rng.random::<f64>());
        let (now, duration) = (self.now, ns(self.settings.slow_start_duration));
        let e = self.endpoints.get_mut(&id).expect("known");
        e.slow_start_since = e.slow_start_since.filter(|t| now - t <= duration);
        if let Some(from) = e.slow_start_since {
            let left = to_secs(from + duration - now);
            e.next_call_at = e.next_call_at.max(now + from_secs((left * u.sqrt()).min(gap * (0.5 + u))));
        }
    }

    /// Whether an endpoint cannot hold an idle connection from each courier. Those that hold one never
    /// notice: only the others are rejected, for as long as it is kept.
    fn connections_contended(&self, id: EndpointId) -> bool {
        let e = &self.endpoints[&id];
        let couriers = self.settings.courier_count as f64;
        let busy = couriers * self.rate_share(id) * e.latency.max(self.destinations[&e.destination].latency);
        !self.settings.kinds[e.kind].separate_routes
            && couriers > (CONNECTIONS_PER_CALL * busy).max(MIN_ENDPOINT_CONNECTIONS)
    }

    /// Closes idle connections, which count against limits, where they are scarce and this courier needs none
    /// soon. If the fleet outnumbers an endpoint's connections, they go unless a call is in flight, even with
    /// messages held: hundreds of couriers that keep one each for messages that they may not send yet would
    /// leave none. Elsewhere held messages keep them: there may be no other connection to be had.
    fn close_spare_connection(&mut self, id: EndpointId, out: &mut Vec<Action>) {
        let e = &self.endpoints[&id];
        if !e.calls.is_empty() || e.idle_connections.is_empty() {
            return;
        }
        let span = self.settings.keepalive.as_secs_f64();
        let scarce = to_secs(self.now) < self.connections_scarce_at[e.kind] + SCARCITY_KEEPALIVES * span;
        let rarely_used = self.limit_groups[&self.limit_group_id(id)].accepted_rate * span < MIN_REUSE_CALLS;
        let not_needed = scarce && rarely_used && self.destinations[&e.destination].chart.held.is_empty();
        if not_needed || self.connections_contended(id) {
            self.endpoints.get_mut(&id).expect("known").idle_connections.clear();
            out.push(Action::CloseIdleConnections { endpoint: id });
        }
    }

    pub(crate) fn record_success(&mut self, id: EndpointId) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        (e.failure_ratio, e.uncertain_failure_ratio) = (
            e.failure_ratio.updated(now, FAILURE_EWMA_WEIGHT, 0.0),
            e.uncertain_failure_ratio.updated(now, FAILURE_EWMA_WEIGHT, 0.0),
        );
        (e.last_success, e.consecutive_refusals) = (now, 0);
        // Slow start follows failures, not silence: one lost reply must not throttle a healthy endpoint.
        if e.breaker != Breaker::Closed {
            e.breaker = Breaker::Closed;
            if e.slow_start_pending && to_secs(now - e.unhealthy_since) > CONFIRMED_OUTAGE_SECONDS {
                (e.slow_start_since, e.next_call_at) = (Some(now), now);
                self.space_next_call(id);
            }
        }
    }

    /// Records a failed call, and whether it may have run.
    fn record_failure(&mut self, id: EndpointId, call: u64, may_have_run: bool) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        let weight =
            if to_secs(now - e.last_success) < 4.0 { FAILURE_EWMA_WEIGHT } else { STALE_FAILURE_EWMA_WEIGHT };
        e.failure_ratio = e.failure_ratio.updated(now, weight, 1.0);
        if may_have_run {
            e.uncertain_failure_ratio = e.uncertain_failure_ratio.updated(now, weight, 1.0);
        }
        match e.breaker {
            Breaker::Closed if e.failure_ratio.ratio > BREAKER_TRIP_RATIO => self.open_breaker(id, true),
            Breaker::HalfOpen if e.trial == Some(call) => self.open_breaker(id, true),
            _ => {}
        }
    }

    /// Opens a breaker. Its pause grows with the time for which the endpoint has been unhealthy, as ever more
    /// couriers have messages to try there, up to the time of one call at this courier's rate.
    fn open_breaker(&mut self, id: EndpointId, slow_start: bool) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let (now, rate) = (self.now, self.rate_share(id).max(1e-3));
        let e = self.endpoints.get_mut(&id).expect("known");
        e.open_breaker(now, slow_start);
        let pause = (INITIAL_OPEN_SECONDS + OPEN_GROWTH_FACTOR * to_secs(now - e.unhealthy_since))
            .min(1.0 / rate)
            .max(MIN_OPEN_SECONDS);
        let (next_trial_at, spacing) =
            (now + from_secs(pause * jitter), from_secs(TRIAL_SPACING_SHARE * pause));
        // Most outages affect a whole destination, so one trial stands for all its open endpoints. They take
        // turns, the latest failure last; otherwise recovered endpoints would never be tried.
        let others = self.destinations[&e.destination].endpoints.iter().map(|o| (*o, &self.endpoints[o]));
        let open = others.filter(|(o, e)| *o != id && e.ready && e.breaker == Breaker::Open);
        let trial_order: BTreeSet<_> = open.map(|(o, e)| (e.next_trial_at, o)).collect();
        for (n, (at, other)) in trial_order.into_iter().chain([(next_trial_at, id)]).enumerate() {
            self.endpoints.get_mut(&other).expect("known").next_trial_at =
                at.max(next_trial_at + spacing * n as Ns);
        }
    }

    /// Rule: a stated wait applies to the whole limit group, or after a refusal to the endpoint alone; a
    /// shorter one never replaces it.
    fn apply_feedback(&mut self, id: EndpointId, outcome: Outcome, report: &Option<LimitReport>) {
        let (Some(_), now) = (self.endpoints.get(&id), self.now) else { return };
        let group_id = self.limit_group_id(id);
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a limit group");
        let before = group.limit;
        group.limit = report.map(|r| r.limit).filter(|l| *l > 0.0).or(group.limit);
        if let (Some(before), Some(limit)) = (before, group.limit) {
            // What the rate reflects of the other couriers' usage still applies when the limit changes.
            group.rate =
                group.rate.map(|rate| rate * (1.0 + self.settings.fleet_factor() * (limit / before - 1.0)));
        }
        let start = group
            .fair_share(self.settings.courier_count)
            .filter(|fair_share| *fair_share * RATE_WINDOW_SECONDS > 1.0);
        group.rate = group.rate.or(start.map(|fair_share| fair_share * INITIAL_RATE_SHARE));
        if let Outcome::Full { wait: Some(wait) } = outcome {
            group.wait_until = group.wait_until.max(now + ns(wait + self.settings.tick));
        }
        if let Outcome::Refused { wait: Some(wait) } = outcome {
            self.observe_endpoint_wait(id, wait);
        }
    }

    /// Detects hung calls and advances the breakers of one destination's endpoints.
    fn check_health(&mut self, dest: DestinationId) {
        let now = self.now;
        let d = &self.destinations[&dest];
        let (held, usual) = (!d.chart.held.is_empty(), d.latency);
        for id in d.endpoints.iter().copied().collect::<Vec<_>>() {
            let wait_until = self.wait_until(id);
            let e = self.endpoints.get_mut(&id).expect("known");
            let hang = from_secs((HANG_LATENCY_MULTIPLE * e.latency.max(usual)).max(MIN_HANG_SECONDS));
            e.slow_start_since =
                e.slow_start_since.filter(|t| now - t <= ns(self.settings.slow_start_duration));
            // Hung: a call much older than usual, with no answer since it was sent. One slow call can trip
            // this, at the cost of a trial. After a stall of this courier, the waiting events are applied
            // first.
            let hung = |c: &(Ns, usize)| c.0 != Ns::MIN && now - c.0 > hang && e.last_success < c.0;
            let next_hang =
                e.calls.values().filter(|c| c.0 != Ns::MIN && !hung(c)).map(|c| c.0 + hang + 1).min();
            let trial_lost = |t| e.calls.get(&t).is_none_or(hung);
            match e.breaker {
                Breaker::Closed if e.calls.values().any(hung) => self.open_breaker(id, false),
                Breaker::Open if held && e.next_trial_at.max(wait_until) <= now => {
                    (e.breaker, e.trial) = (Breaker::HalfOpen, None);
                }
                Breaker::HalfOpen if e.trial.is_some_and(trial_lost) => self.open_breaker(id, true),
                _ => {}
            }
            let e = &self.endpoints[&id];
            let trial_at = (e.breaker == Breaker::Open && held).then_some(e.next_trial_at.max(wait_until));
            self.check_by(dest, next_hang.unwrap_or(NEVER).min(trial_at.unwrap_or(NEVER)));
        }
    }

    /// Ends a message undelivered: refused if a repeat is known to be harmless at any time, else failed.
    fn end_undelivered(&mut self, id: MessageId, out: &mut Vec<Action>) {
        self.record_miss(id);
        let m = &self.messages[&id];
        let c = &self.settings.classes[m.class];
        let harmless = match c.effect {
            Effect::Repeatable => true,
            Effect::Keyed { scope: KeyScope::All, .. } if !c.refuse_keyed_only_unrun => m.in_flight.is_none(),
            _ => m.in_flight.is_none() && m.may_have_run.is_none(),
        };
        let refuse = Action::Refuse { message: id, wait: Some(self.retry_hint(m.destination)) };
        out.push(if harmless { refuse } else { Action::Fail { message: id } });
        self.finish(id);
    }

    /// How long a refused client should wait: until held messages can be sent and a stated wait is over.
    fn retry_hint(&self, dest: DestinationId) -> Duration {
        let d = &self.destinations[&dest];
        let (held, ready) = (d.chart.held.len(), d.endpoints.iter().filter(|e| self.endpoints[e].ready));
        let wait = ready.map(|e| self.wait_until(*e)).min().unwrap_or(0) - self.now;
        to_duration(
            wait.max(self.service_time(dest) * held as Ns).max(from_secs(INITIAL_REJECTION_BACKOFF_SECONDS)),
        )
    }

    fn finish(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        self.unfinished -= usize::from(!std::mem::replace(&mut m.finished, true));
        let (dest, chart_deadline, out) = (m.destination, m.chart_deadline, m.in_flight.is_some());
        self.destination_mut(dest).chart.remove(chart_deadline, id);
        self.dirty.insert(dest);
        if !out && let Some(m) = self.messages.remove(&id) {
            self.destination_mut(dest).messages.remove(&id);
            if let Some(queue) = m.key.and_then(|key| self.key_queues.get_mut(&key)) {
                queue.retain(|other| *other != id);
                self.dirty.extend(queue.front().map(|next| self.messages[next].destination));
            }
            self.key_queues.retain(|_, queue| !queue.is_empty());
            self.key_cooldowns.retain(|_, (_, until)| *until > self.now);
        }
    }
}

impl Settings {
    /// Time over which couriers spread requests to discovery that all may make at once: at a start, and after
    /// a watch ended or was rejected. If a fleet retried at once, discovery's queue would stay so long that
    /// each request timed out before its turn, and none would be served. Drawback: a courier that restarts
    /// alone learns of changes that much later.
    pub fn list_retry_spread(&self) -> Duration {
        Duration::from_secs_f64(FLEET_LIST_SECONDS * self.fleet_factor())
    }

    /// Share of the couriers beyond a small fleet: 0 for a few, near 1 for many, whose actions add up.
    fn fleet_factor(&self) -> f64 {
        (1.0 - SMALL_FLEET / self.courier_count.max(1) as f64).max(0.0)
    }
}

/// Delay before the next list request: `pause` seconds with jitter, plus a random part of `spread`.
pub fn list_retry_delay(pause: f64, spread: Duration, rng: &mut impl Rng) -> Duration {
    Duration::from_secs_f64(pause * (0.5 + rng.random::<f64>())) + spread.mul_f64(rng.random())
}

/// Backoff in seconds before the next connection after this many failed connects.
fn connect_backoff(times: u32) -> f64 {
    if times == 0 {
        0.0
    } else {
        (INITIAL_REJECTION_BACKOFF_SECONDS * 2f64.powi(times as i32 - 1)).min(MAX_REJECTION_BACKOFF_SECONDS)
    }
}

impl FailureRatio {
    /// The ratio after exponential decay until `now`.
    pub(crate) fn decayed(self, now: Ns) -> f64 {
        self.ratio * 0.5f64.powf(to_secs(now - self.updated_at) / FAILURE_RATIO_HALF_LIFE_SECONDS)
    }

    pub(crate) fn updated(self, now: Ns, gain: f64, to: f64) -> Self {
        let share = self.decayed(now);
        FailureRatio { ratio: share + gain * (to - share), updated_at: now }
    }
}

impl LimitGroup {
    fn fair_share(&self, couriers: usize) -> Option<f64> {
        self.limit.map(|l| l / couriers.max(1) as f64)
    }

    /// Tokens available now. Without a rate the bucket stays full: earlier calls leave no debt.
    fn available_tokens(&self, now: Ns) -> f64 {
        let Some(rate) = self.rate else { return 1.0 };
        (self.tokens + rate * to_secs(now - self.refilled_at)).min((rate * RATE_BURST_SECONDS).max(1.0))
    }

    fn take_token(&mut self, now: Ns) {
        self.tokens = self.available_tokens(now) - 1.0;
        self.refilled_at = now;
    }

    pub(crate) fn record_accepted(&mut self, now: Ns, settings: &Settings, remaining_share: f64) {
        let (couriers, fleet_factor) = (settings.courier_count, settings.fleet_factor());
        self.consecutive_rejections = 0;
        self.accepted_rate = self.accepted_rate
            * (-to_secs(now - self.accepted_rate_at) / ACCEPTED_RATE_DECAY_SECONDS).exp()
            + 1.0 / ACCEPTED_RATE_DECAY_SECONDS;
        self.accepted_rate_at = now;
        self.accepted_at.push_back(now);
        self.accepted_at.retain(|t| *t > now - from_secs(RATE_WINDOW_SECONDS));
        let span = to_secs(now - *self.first_accepted_at.get_or_insert(now))
            .clamp(RATE_BURST_SECONDS, RATE_WINDOW_SECONDS);
        self.peak_rate = self.peak_rate.max((self.accepted_at.len() - 1) as f64 / span);
        // AIMD: increases only while the rate is what holds messages back.
        if std::mem::take(&mut self.rate_limited) {
            let step = self
                .fair_share(couriers)
                .map_or(self.peak_rate, |fair_share| fair_share.max(MIN_RATE_PER_SECOND));
            let top = |r: f64| self.limit.unwrap_or(f64::INFINITY).max(r);
            // In a fleet the reported allowance, not this courier's own call, shows whether others leave
            // room.
            let spare = FLEET_RATE_INCREASE_SHARE * (remaining_share - ALLOWANCE_GROW_ABOVE).max(0.0);
            let grow = RATE_INCREASE_SHARE * (1.0 - fleet_factor) + fleet_factor * spare;
            self.rate = self.rate.map(|r| (r + grow * step).min(top(r)));
        }
        if let Some(fair_share) = self
            .fair_share(couriers)
            .filter(|_| fleet_factor > 0.0 && remaining_share < ALLOWANCE_SHRINK_BELOW)
        {
            self.rate =
                self.rate.map(|r| (r * RATE_DECREASE_FACTOR).max(fair_share * MIN_FLEET_RATE_SHARE).min(r));
        }
    }

    pub(crate) fn decrease_rate(&mut self, now: Ns, settings: &Settings) {
        let (couriers, fleet_factor) = (settings.courier_count, settings.fleet_factor());
        if now - self.last_decrease < from_secs(RATE_BURST_SECONDS) && self.last_decrease > 0 {
            return;
        }
        self.last_decrease = now;
        let blind = (self.peak_rate * MIN_RATE_PEAK_SHARE).max(1.0 / RATE_WINDOW_SECONDS);
        let floor = MIN_RATE_SHARE + fleet_factor * (MIN_FLEET_RATE_SHARE - MIN_RATE_SHARE);
        let floor = self
            .fair_share(couriers)
            .map_or(blind, |fair_share| (fair_share * floor).max(MIN_RATE_PER_SECOND * (1.0 - fleet_factor)));
        let from = self
            .rate
            .unwrap_or(self.peak_rate.max(self.fair_share(couriers).unwrap_or(0.0)) / RATE_DECREASE_FACTOR);
        (self.tokens, self.refilled_at) = (self.available_tokens(now), now);
        self.rate = Some((from * RATE_DECREASE_FACTOR).max(floor));
    }
}
