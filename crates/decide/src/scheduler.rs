//! The decision module: what one courier does with each message. Pure: time comes with each call, chance
//! from the seed. Each destination has a Fair-EDF occupancy chart of the messages held for it; they leave
//! by earliest deadline, and when a chart is infeasible the fewest give way, of the class (or tenant) that
//! has missed least. `docs/design.md` tells what was kept and where it departs.

use crate::interface::*;
pub use crate::state::Scheduler;
use crate::state::*;
use rand::Rng;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

// ---- constants: dimensionless, or in seconds where named so --------------------------------------

/// Latency before the first answer, s, shares of the slots (the design's), calls that tell what ails.
const INITIAL_LATENCY_SECONDS: f64 = 0.05;
const MAX_DESTINATION_CALL_SHARE: f64 = 0.75;
const MAX_UNHEALTHY_CALL_SHARE: f64 = 0.5;
const RECENT_CALLS: usize = 12;
/// EWMA weights: of a latency, of a failure, and of a failure where there is no fresh success.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
const FAILURE_EWMA_WEIGHT: f64 = 0.25;
const STALE_FAILURE_EWMA_WEIGHT: f64 = 0.6;
/// Miss ratios forget with this time, s: long against a trouble, short against a day.
const MISS_RATIO_DECAY_SECONDS: f64 = 30.0;
/// A message is answered this many ticks before its time is up.
const ANSWER_MARGIN_TICKS: Ns = 5;
/// Failure ratio (each failure moves it) above which a breaker opens.
const BREAKER_TRIP_RATIO: f64 = 0.5;
/// Pause of an open breaker: first, s, and growth with the time for which it has ailed; least, s; part of a
/// pause between the trials of one destination.
const INITIAL_OPEN_SECONDS: f64 = 1.5;
const MIN_OPEN_SECONDS: f64 = 0.5;
const OPEN_GROWTH_FACTOR: f64 = 6.0;
const TRIAL_SPACING_SHARE: f64 = 0.5;
/// Length, s, of an outage, and of a told wait, that ends cold.
const CONFIRMED_OUTAGE_SECONDS: f64 = 1.0;
const COLD_WAIT_SECONDS: f64 = 2.5;
/// A call this many latencies old with no answer since is taken as hung; and the least, s.
const HANG_LATENCY_MULTIPLE: f64 = 6.0;
const MIN_HANG_SECONDS: f64 = 0.8;
/// Attempts spread over the time left; before these, backoff after a second failure, as its share.
const SPREAD_ATTEMPTS: u32 = 2;
const RETRY_BACKOFF_SHARE: f64 = 0.06;
/// Pause after a refusal that tells no wait, s: first, doublings at most, and longest at a full pace.
const INITIAL_REJECTION_BACKOFF_SECONDS: f64 = 0.1;
const MAX_REJECTION_DOUBLINGS: u32 = 7;
const MAX_REJECTION_BACKOFF_SECONDS: f64 = 1.6;
/// Pace at first, over an even share of one call a rate span; AIMD's cut and growth; floor over an even
/// share, or the peak; least pace, calls a second; burst of a bucket and time between two cuts, s.
const INITIAL_RATE_SHARE: f64 = 1.2;
const RATE_DECREASE_FACTOR: f64 = 0.7;
const RATE_INCREASE_SHARE: f64 = 0.06;
const MIN_RATE_SHARE: f64 = 0.3;
const MIN_RATE_PEAK_SHARE: f64 = 0.4;
const MIN_RATE_PER_SECOND: f64 = 0.03;
const RATE_BURST_SECONDS: f64 = 0.5;
/// Least pace in a large fleet, over an even share: what is refused uses the limit up, too. Share of the
/// allowance above which its paces grow, and under which they shrink.
const MIN_FLEET_RATE_SHARE: f64 = 0.85;
const ALLOWANCE_GROW_ABOVE: f64 = 0.5;
const ALLOWANCE_SHRINK_BELOW: f64 = 0.25;
/// Part of the spare allowance by which a fleet's pace grows with an accepted call: all have grown before a
/// report shows that one has, and what all add at once is refused.
const FLEET_RATE_INCREASE_SHARE: f64 = 0.2;
/// Span of the rate of accepted calls, and memory of their flow, s.
const RATE_WINDOW_SECONDS: f64 = 2.0;
const ACCEPTED_RATE_DECAY_SECONDS: f64 = 10.0;
/// Time-out in latencies, and least, s; time-outs after which a call that blocks others is called off.
const TIMEOUT_LATENCY_MULTIPLE: f64 = 7.0;
const MIN_TIMEOUT_SECONDS: f64 = 1.0;
const STUCK_TIMEOUT_MULTIPLE: f64 = 1.5;
/// Failure ratio too doubtful for a message that may run only once; it halves in this time, s.
const MAX_ONCE_FAILURE_RATIO: f64 = 0.2;
const FAILURE_RATIO_HALF_LIFE_SECONDS: f64 = 4.0;
/// Held messages past this share of the room: the longest chart sheds.
const MAX_OCCUPANCY_SHARE: f64 = 0.9;
/// Retry of a failed list call, s.
const INITIAL_LIST_BACKOFF_SECONDS: f64 = 1.0;
/// Time that a call for the list mostly takes to its answer.
const LIST_ANSWER_SECONDS: f64 = 1.5;
/// Discovery takes a call from every courier in this time, s, however many they are.
const FLEET_LIST_SECONDS: f64 = 8.0;
/// So few couriers that act in the same moment never stand in each other's way.
const SMALL_FLEET: f64 = 4.0;
/// Endpoints are compared in points of the result, the unit of fees and handshakes: latency (per aim), doubt,
/// and leaning, which spreads couriers that know nothing, each to its own, so that connections serve again.
const LATENCY_COST: f64 = 0.05;
const FAILURE_COST: f64 = 0.5;
/// Of the last slots, one in so many and one more, a second costs what other messages could have had of it.
/// Covers slow zones, handshakes and hangs under load; hurts where fees are dearer than messages late.
const SCARCE_SLOT_COST: f64 = 0.5;
const SCARCE_SLOT_DIVISOR: usize = 20;
const TIE_BREAK_COST: f64 = 0.005;
/// Calls a keep-alive that make a connection worth keeping where few can be had, and memory of that.
const MIN_REUSE_CALLS: f64 = 5.0;
const SCARCITY_KEEPALIVES: f64 = 6.0;
/// Connections that an endpoint of a destination with one limit holds, as a multiple of the calls that it
/// serves at once when its limit is used up, and at the least: the low ends of what the brief tells (3.5).
const CONNECTIONS_PER_CALL: f64 = 2.8;
const MIN_ENDPOINT_CONNECTIONS: f64 = 6.0;

impl Scheduler {
    /// Starts a courier's module without any state; `seed` feeds its jitter.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        settings.check()?;
        let mut scheduler =
            Scheduler { list_backoff: INITIAL_LIST_BACKOFF_SECONDS, ..Scheduler::empty(settings, seed) };
        let spread = scheduler.settings.list_retry_spread().as_secs_f64() * scheduler.rng.random::<f64>();
        scheduler.list_request_at = scheduler.list_request_at.map(|at| at + ns_from_secs(spread));
        Ok(scheduler)
    }

    /// Takes the news of one moment and appends what is to be done.
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
        if self.list_request_at.is_some_and(|t| t <= self.now) {
            // Asked again only if no answer comes; an answer clears this.
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
                after: duration_from_ns((next - self.now).max(1)),
            });
        }
    }

    /// Rule: what may have run is dropped only while its key is remembered. By then its last attempt has
    /// ended, not merely begun: one whose connection comes late would be written after it.
    fn latest_attempt_end(&self, m: &Message) -> Ns {
        match (m.may_have_run, self.settings.classes[m.class].effect) {
            (Some((_, _, at)), Effect::Keyed { window, .. }) => m.deadline.min(at + ns(window)),
            _ => m.deadline,
        }
    }

    /// When a message is answered at the latest: held ones while the usual latency is still left.
    fn answer_deadline(&self, m: &Message) -> Ns {
        let held = (self.latest_attempt_end(m), ns_from_secs(self.destinations[&m.destination].latency));
        let (end, need) = if m.in_flight.is_none() { held } else { (m.deadline, 0) };
        end - need.max(ns(self.settings.tick) * ANSWER_MARGIN_TICKS)
    }

    /// Puts the destination on the agenda for the next moment at which anything there can change.
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

    /// What an endpoint shares its limit with. Panics for one that was never listed.
    pub fn limit_group_id(&self, id: EndpointId) -> LimitGroupId {
        let e = &self.endpoints[&id];
        (e.destination, self.settings.kinds[e.kind].separate_routes.then_some(id))
    }

    fn apply_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { complete, entries } => self.update_endpoints(*complete, entries, out),
            Event::EndpointListFailed => {
                let pause =
                    list_retry_delay(self.list_backoff, self.settings.list_retry_spread(), &mut self.rng);
                self.list_request_at = self.settings.subscription_required.then_some(self.now + ns(pause));
                self.list_backoff = (self.list_backoff * 2.0).min(INITIAL_LIST_BACKOFF_SECONDS * 8.0);
            }
            Event::MembershipCurrent { as_of } => self.membership_current(*as_of),
            Event::MembershipLimited { until } => self.membership.limit(self.since_origin(*until)),
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

    fn update_endpoints(&mut self, whole: bool, entries: &[EndpointEntry], out: &mut Vec<Action>) {
        // The cached list of the start comes before anything was asked for; later news are answers.
        if self.now > 0 {
            (self.list_request_at, self.list_backoff) = (None, INITIAL_LIST_BACKOFF_SECONDS);
        }
        if whole {
            self.endpoints.values_mut().for_each(|e| e.mark_gone(self.now));
        }
        for entry in entries {
            let kind = entry.kind.min(self.settings.kinds.len() - 1);
            let (destination, zone, tie_break) = (entry.destination, entry.zone, self.rng.random());
            let fresh = || Endpoint { destination, zone, kind, tie_break, ..Endpoint::default() };
            let e = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            e.set_state(entry.state, self.now);
            e.requires_lease = entry.requires_lease;
            self.destination_mut(entry.destination).endpoints.insert(entry.endpoint);
            let id = self.limit_group_id(entry.endpoint);
            let group = self
                .limit_groups
                .entry(id)
                .or_insert_with(|| LimitGroup { tokens: 1.0, ..LimitGroup::default() });
            if self.settings.weight_kind != WeightKind::None && group.limit.is_none() && entry.weight > 0.0 {
                group.limit = Some(entry.weight);
                // A fleet that calls before its first report is a burst of a call from each, then of another:
                // paced from the start, and each bucket filled up at some time before the longest aim.
                if let Some(even) = group
                    .fair_share(self.settings.courier_count)
                    .filter(|_| self.settings.fleet_factor() > 0.0)
                {
                    let aim = self.settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.0, f64::max);
                    let lack =
                        self.settings.fleet_factor() * self.rng.random::<f64>() * (even * aim).min(1.0);
                    (group.rate, group.tokens, group.refilled_at) = (Some(even), 1.0 - lack, self.now);
                }
            }
        }
        self.forget_gone_endpoints(out);
        self.mark_occupied_dirty();
    }

    /// Renews the lease on the list; what was held for want of it may go.
    fn membership_current(&mut self, as_of: Time) {
        let had_run_out = !self.membership.is_valid(self.now);
        self.membership.renew(self.since_origin(as_of));
        if had_run_out {
            self.mark_occupied_dirty();
        }
        self.ask_before_expiry();
    }

    /// Draws the first call for the list anew where it would be answered only after the list has run out of
    /// date. The fleet's calls stay spread over a quarter of its time at the least.
    fn ask_before_expiry(&mut self) {
        let latest = self.membership.expires_at().saturating_sub(ns_from_secs(LIST_ANSWER_SECONDS));
        if self.list_request_at.is_some_and(|at| at > latest) {
            let window = (latest - self.now).max(ns(self.settings.list_retry_spread()) / 4);
            self.list_request_at =
                Some(self.now + ns_from_secs(secs_from_ns(window) * self.rng.random::<f64>()));
        }
    }

    /// A moment of the courier's clock on the module's; negative before the first call.
    fn since_origin(&self, at: Time) -> Ns {
        ns(at) - ns(self.origin.unwrap_or_default())
    }

    /// Until when the list of endpoints may be acted on, on the clock of [`Scheduler::handle`]; None for good.
    pub fn membership_expires_at(&self) -> Option<Time> {
        let expires_at = self.membership.expires_at();
        (expires_at != NEVER).then(|| self.origin.unwrap_or_default() + duration_from_ns(expires_at))
    }

    /// Looks again at each destination that has messages.
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
        let aim_at = (deadline - ns(c.deadline) + ns(c.aim) + ns_from_secs(stretch)).min(deadline);
        let fairness_group =
            if self.settings.tenant_count > 0 { t.tenant.min(self.settings.tenant_count - 1) } else { class };
        let key = t.key.clone().filter(|_| c.ordered);
        if let Some(key) = &key {
            self.key_queues.entry(key.clone()).or_default().push_back(id);
        }
        let past = Message::from_history(&t.history, self.now);
        let message = Message {
            class,
            fairness_group,
            destination,
            key,
            aim_at,
            deadline,
            chart_deadline: aim_at,
            ..past
        };
        self.count(fairness_group, 0.0, 1.0);
        self.messages.insert(id, message);
        self.dirty.insert(destination);
        self.destination_mut(destination).messages.insert(id);
        self.unfinished += 1;
        self.enqueue(id, out);
        while self.unfinished as f64 > MAX_OCCUPANCY_SHARE * self.settings.max_messages as f64 {
            // The destination that holds most gives way: a paused one must not close the door to others.
            let longest = self.destinations.iter().max_by_key(|(_, d)| d.chart.held.len()).map(|(id, _)| *id);
            let Some(longest) = longest.filter(|d| !self.destinations[d].chart.held.is_empty()) else {
                break;
            };
            let all: Vec<_> = self.destinations[&longest].chart.held.iter().map(|h| h.1).collect();
            self.end_undelivered(self.shed_candidate(&all), out);
        }
    }

    fn attempt_ended(&mut self, ended: &AttemptEnded, out: &mut Vec<Action>) {
        let (id, endpoint, outcome) = (ended.message, ended.endpoint, ended.outcome);
        self.apply_feedback(endpoint, outcome, &ended.report);
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(in_flight) = m.in_flight.take() else { return };
        let running = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if m.may_have_run.is_none() && (running || outcome == Outcome::Error) {
            m.may_have_run = Some((endpoint, self.endpoints[&endpoint].zone, in_flight.sent_at));
        }
        if let Some(key) = m.key.as_ref().filter(|_| running) {
            self.key_cooldowns.insert(key.clone(), (id, self.now + ns(self.settings.order_pause)));
        }
        let late = self.now > m.aim_at;
        self.dirty.insert(m.destination);
        self.call_ended(in_flight, ended);
        if outcome != Outcome::Moot {
            self.schedule_retry(
                id,
                matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Crowded),
            );
        }
        let m = &self.messages[&id];
        if outcome != Outcome::Delivered && !ended.is_final && !m.finished {
            return if self.may_attempt(m) { self.enqueue(id, out) } else { self.end_undelivered(id, out) };
        }
        if late && !m.finished {
            self.record_miss(id);
        }
        self.finish(id);
    }

    /// Spreads attempts over the time left: an outage or a rush may outlast quick retries.
    fn schedule_retry(&mut self, id: MessageId, full: bool) {
        let u = 0.5 + self.rng.random::<f64>();
        let m = self.messages.get_mut(&id).expect("known");
        let cap = self.settings.classes[m.class].max_attempts.unwrap_or(self.settings.max_attempts);
        let left = cap.saturating_sub(m.attempts);
        let share = match (left, full) {
            (left, _) if left <= SPREAD_ATTEMPTS => 1.0 / f64::from(left + 1),
            (_, false) if m.attempts > 1 => RETRY_BACKOFF_SHARE * 3f64.powi(m.attempts as i32 - 2),
            _ => return,
        };
        m.not_before = self.now + ns_from_secs(secs_from_ns(m.deadline - self.now) * u * share);
    }

    /// Books the end of a call: slots, latency, pace and health. A bundle is booked once.
    fn call_ended(&mut self, in_flight: InFlightAttempt, ended: &AttemptEnded) {
        let (id, now, outcome, took) = (ended.endpoint, self.now, ended.outcome, ended.elapsed.as_secs_f64());
        let InFlightAttempt { call, sent_at, opens_connection, .. } = in_flight;
        let e = self.endpoints.get_mut(&id).expect("a sent endpoint is known");
        let Some(open) = e.calls.get_mut(&call) else { return };
        open.1 -= 1;
        let counts = std::mem::replace(&mut open.0, Ns::MIN) != Ns::MIN && outcome != Outcome::Moot;
        if open.1 == 0 {
            e.calls.remove(&call);
            self.calls_in_flight -= 1;
            let dest = e.destination;
            self.destination_mut(dest).calls -= 1;
        }
        let group_id = self.limit_group_id(id);
        let (gap, slow) = (self.call_gap(id), 1.0 / (self.rate_share(id)).max(1e-3));
        if counts {
            self.record_connect(id, sent_at, opens_connection, outcome);
        }
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| counts) else { return };
        let d = self.destinations.get_mut(&e.destination).expect("known");
        if !matches!(outcome, Outcome::Full { .. }) {
            let well = matches!(outcome, Outcome::Delivered | Outcome::Cancelled);
            d.recent_failures.push_back(!well || took > 2.0 * d.latency);
            d.recent_failures.drain(..d.recent_failures.len().saturating_sub(RECENT_CALLS));
        }
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a pool");
        match outcome {
            Outcome::Delivered => {
                for (latency, first) in [(&mut e.latency, 0.0), (&mut d.latency, INITIAL_LATENCY_SECONDS)] {
                    *latency += if *latency == first { 1.0 } else { LATENCY_EWMA_WEIGHT } * (took - *latency);
                }
                let left = ended.report.map_or(ALLOWANCE_GROW_ABOVE, |r| r.remaining_share);
                group.record_accepted(now, &self.settings, left);
                self.record_success(id);
                self.space_next_call(id);
            }
            Outcome::Full { wait } => {
                group.consecutive_rejections += 1;
                group.decrease_rate(now, &self.settings);
                // Backoff with jitter where no wait was told.
                let u: f64 = self.rng.random();
                let doubled = INITIAL_REJECTION_BACKOFF_SECONDS
                    * f64::from(1u32 << (group.consecutive_rejections - 1).min(MAX_REJECTION_DOUBLINGS));
                let pause = wait.map_or(
                    ns_from_secs(doubled.min(slow.max(MAX_REJECTION_BACKOFF_SECONDS)) * (0.5 + u)),
                    ns,
                );
                // All that were refused would be back at once, be it after a pause or a told wait.
                let turn = ns_from_secs(self.settings.fleet_factor() * u * slow);
                group.wait_until = group.wait_until.max(now + pause + turn);
                if let Some(wait) = wait.filter(|w| w.as_secs_f64() > COLD_WAIT_SECONDS) {
                    // Shut until then: all that were told so come at once, and it is cold.
                    e.slow_start_since = Some(now + ns(wait));
                    let spread = self.settings.slow_start_duration.as_secs_f64() * u.sqrt();
                    e.next_call_at = now + ns(wait) + ns_from_secs(spread.min(2.0 * u * gap));
                }
                e.trial = None;
            }
            // Too many connections look like a dead endpoint, but for answers on the others.
            Outcome::ConnectFailed
                if e.last_success > sent_at || (!e.calls.is_empty() && e.last_success > 0) => {}
            // It is up; what shuts a call out tells nothing of how it serves. Nor, after an outage, that it
            // is well: the next trial keeps its distance, since all that reach it push it.
            Outcome::Crowded if e.breaker == CircuitBreaker::Closed => {}
            Outcome::Crowded => self.open_breaker(id, false),
            Outcome::Cancelled | Outcome::Moot => {}
            _ => self.record_failure(id, call, outcome != Outcome::ConnectFailed),
        }
        self.maybe_idle.insert(id);
    }

    /// Where no connection was to be had, new ones are tried one at a time and ever more seldom; the kept
    /// ones serve on. Covers any limit on connections: the endpoint's, that of what lies between, this
    /// machine's. Hurts where one failed by chance in a rush: the rest wait a tenth of a second.
    fn record_connect(&mut self, id: EndpointId, sent: Ns, opens: bool, outcome: Outcome) {
        let kept = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. });
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        e.idle_connections.extend(kept.then_some(now));
        if kept && opens {
            e.connect_failures = e.connect_failures.saturating_sub(1);
        }
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Crowded) {
            self.connections_scarce_at[e.kind] = secs_from_ns(now);
            // Those that were thought idle when it left are not there.
            e.idle_connections.retain(|t| *t > sent);
            // A rush that left before the first failure was known counts once.
            e.connect_failures += u32::from(sent >= e.last_connect_failure);
            e.last_connect_failure = now;
            e.next_connect_at =
                now + ns_from_secs(connect_backoff(e.connect_failures) * (0.5 + self.rng.random::<f64>()));
        }
    }

    // ---- chart: place, set back, shed -------------------------------------------------------------

    /// Sigma: the smoothed latency over the calls that may run at once, and no less than paces under a known
    /// limit allow: else a chart believes in rates it has not. Hurts where a pace is far below the limit.
    fn service_time(&self, id: DestinationId) -> Ns {
        let (d, limit_groups) = (&self.destinations[&id], self.ready_limit_groups(id));
        let pace = limit_groups
            .iter()
            .map(|p| self.limit_groups[p].limit.and(self.limit_groups[p].rate))
            .sum::<Option<f64>>();
        let paced = pace.filter(|r| *r > 0.0).map_or(0.0, |r| 1.0 / r);
        ns_from_secs((d.latency / self.max_calls(d) as f64).max(paced)).max(1)
    }

    /// Time of the chart that a fleet's courier has in hand: what its buckets hold goes at once, however thin
    /// its share. Else one whose share is a call in many seconds refuses whatever it is given.
    fn token_credit(&self, id: DestinationId) -> Ns {
        let fleet_factor = self.settings.fleet_factor();
        if fleet_factor == 0.0 {
            return 0;
        }
        let limit_groups = self.ready_limit_groups(id);
        let held = limit_groups
            .iter()
            .map(|p| self.limit_groups[p].available_tokens(self.now).max(0.0))
            .sum::<f64>();
        (self.destinations[&id].chart.service_time as f64 * fleet_factor * held.min(1.0)) as Ns
    }

    /// The pools that a destination's ready endpoints draw on, each once.
    fn ready_limit_groups(&self, id: DestinationId) -> BTreeSet<LimitGroupId> {
        let endpoints = self.destinations[&id].endpoints.iter();
        endpoints.filter(|e| self.endpoints[e].ready).map(|e| self.limit_group_id(*e)).collect()
    }

    /// Calls that this courier may have out at a destination.
    fn max_calls(&self, d: &Destination) -> usize {
        let bad = d.recent_failures.iter().filter(|b| **b).count();
        let ailing = d.recent_failures.len() >= RECENT_CALLS / 3 && bad * 2 > d.recent_failures.len();
        let share = if ailing { MAX_UNHEALTHY_CALL_SHARE } else { MAX_DESTINATION_CALL_SHARE };
        ((self.settings.max_calls_in_flight as f64 * share) as usize).max(1)
    }

    fn enqueue(&mut self, id: MessageId, out: &mut Vec<Action>) {
        let dest = self.messages[&id].destination;
        let m = &self.messages[&id];
        if !m.past_aim && self.now + ns_from_secs(self.destinations[&dest].latency) > m.aim_at {
            self.drop_aim(id);
        }
        let (due, service_time) = (self.messages[&id].chart_deadline, self.service_time(dest));
        let chart = &mut self.destination_mut(dest).chart;
        chart.resize(service_time);
        chart.add(due, id);
        self.restore_feasibility(dest, out);
    }

    /// Gives up the aim: the message now stands on the chart by its final deadline.
    fn drop_aim(&mut self, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("held");
        let (dest, due, end) = (m.destination, m.chart_deadline, m.deadline);
        (m.past_aim, m.chart_deadline) = (true, end);
        let chart = &mut self.destination_mut(dest).chart;
        if chart.remove(due, id) {
            chart.add(end, id);
        }
        self.record_miss(id);
    }

    /// While the first busy segment starts before now, one of its messages gives way. Departure: the first
    /// time it is only set back to its final deadline, while late worth remains.
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

    /// The message to give way: of the group that has missed least, weighted by worth, the one
    /// with most time left.
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
        let keep = (-secs_from_ns(self.now - t.updated_at) / MISS_RATIO_DECAY_SECONDS).exp();
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

    /// Late refusal, and the end of messages whose time is nearly up; then the chart.
    fn end_expired(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let over = |m: &Message| {
            self.answer_deadline(m) <= self.now || (m.in_flight.is_none() && !self.may_attempt(m))
        };
        let open = self.destinations[&dest].messages.iter().filter(|id| !self.messages[id].finished);
        for id in open.filter(|id| over(&self.messages[id])).copied().collect::<Vec<_>>() {
            self.end_undelivered(id, out);
        }
        let service_time = self.service_time(dest);
        self.destination_mut(dest).chart.resize(service_time);
        self.restore_feasibility(dest, out);
    }

    /// Sends what may go now, by earliest deadline over the destinations with news.
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

    /// Calls off the oldest stuck call where messages wait for its slot. Guards against answers that never
    /// come; an unsafe message is lost by it, so it hurts where very slow calls are answered.
    fn cancel_stuck_call(&mut self, out: &mut Vec<Action>) {
        self.next_stuck_check = NEVER;
        let wanted = self.settings.cancellation_enabled && !self.waiting_for_slot.is_empty();
        let full = self.calls_in_flight >= self.settings.max_calls_in_flight;
        let stuck = |m: &Message| {
            let f = m
                .in_flight
                .as_ref()
                .filter(|f| !f.cancelled && (full || self.waiting_for_slot.contains(&m.destination)))?;
            Some(
                f.sent_at
                    + ns_from_secs(
                        self.attempt_timeout(&self.endpoints[&f.endpoint]) * STUCK_TIMEOUT_MULTIPLE,
                    ),
            )
        };
        let first =
            self.messages.iter().filter_map(|(id, m)| Some((stuck(m)?, *id))).filter(|_| wanted).min();
        let Some((at, id)) = first else { return };
        self.next_stuck_check = at.max(self.now + ns(self.settings.tick));
        if at <= self.now {
            let m = self.messages.get_mut(&id).expect("known");
            m.in_flight.as_mut().expect("in flight").cancelled = true;
            out.push(Action::Cancel { message: id, attempt: m.attempts - 1 });
        }
    }

    /// How long an attempt that may be repeated is waited for, s.
    fn attempt_timeout(&self, e: &Endpoint) -> f64 {
        (TIMEOUT_LATENCY_MULTIPLE * e.latency).max(MIN_TIMEOUT_SECONDS)
    }

    /// Rule: ordered messages go one at a time by key, which rests after one that may still run.
    fn is_next_for_key(&self, id: MessageId, m: &Message) -> bool {
        let Some(key) = &m.key else { return true };
        let rested = self.key_cooldowns.get(key).is_none_or(|(of, until)| *of == id || *until <= self.now);
        rested && self.key_queues.get(key).and_then(VecDeque::front) == Some(&id)
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
                    e.next_connect_at = now + ns_from_secs(connect_backoff(e.connect_failures));
                }
                e.trial = Some(call);
                self.calls_in_flight += 1;
                self.limit_groups.get_mut(&group).expect("known").take_token(now);
                self.destination_mut(group.0).calls += 1;
                call
            }
        };
        let attempt_timeout = ns_from_secs(self.attempt_timeout(&self.endpoints[&endpoint]));
        let latest_attempt_end = self.latest_attempt_end(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("held");
        let left = latest_attempt_end - now - ns(self.settings.tick) * 2;
        // What may run only once is given all its time: cutting it short can only fail it.
        let once = self.settings.classes[m.class].effect == Effect::Once;
        let timeout = if once { left } else { left.min(attempt_timeout) };
        let (dest, due) = (m.destination, m.chart_deadline);
        (m.attempts, m.last_endpoint) = (m.attempts + 1, Some(endpoint));
        m.in_flight =
            Some(InFlightAttempt { endpoint, call, cancelled: false, sent_at: now, opens_connection });
        self.destination_mut(dest).chart.remove(due, id);
        out.push(Action::Send { message: id, endpoint, timeout: duration_from_ns(timeout.max(1)) });
        self.space_next_call(endpoint);
    }

    /// The cheapest endpoint that may take this message now. Each rule on sends is kept here.
    fn choose_endpoint(&mut self, id: MessageId, open_bundles: &OpenBundles) -> Option<EndpointId> {
        let m = &self.messages[&id];
        let d = &self.destinations[&m.destination];
        let room = self.has_call_slot(d);
        let few = self.calls_in_flight + 1 + self.settings.max_calls_in_flight / SCARCE_SLOT_DIVISOR
            >= self.settings.max_calls_in_flight;
        let short = if few { SCARCE_SLOT_COST } else { 0.0 };
        let (mut best, mut starved, mut later) = (None, Vec::new(), NEVER);
        for id in &d.endpoints {
            let e = &self.endpoints[id];
            // Rules: nothing to a draining or gone endpoint; a keyed repeat only where it is dropped.
            if !e.ready || !self.repeat_is_safe_at(m, *id, e) {
                continue;
            }
            // Rule: nor to one that may drain or be gone without this courier's knowing it.
            if e.requires_lease && !self.membership.is_valid(self.now) {
                continue;
            }
            if let Some(at) = self.unavailable_until(m, e) {
                later = later.min(at);
                continue;
            }
            let group_id = self.limit_group_id(*id);
            let group = &self.limit_groups[&group_id];
            let joins = open_bundles.get(id).is_some_and(|(_, room)| *room > 0);
            // Rules: waits are kept, and an endpoint back from an outage gets its calls spaced.
            let mut free = if joins || e.slow_start_since.is_none() {
                group.wait_until
            } else {
                group.wait_until.max(e.next_call_at)
            };
            if !joins && !room {
                continue;
            }
            if !joins {
                let lack = 1.0 - group.available_tokens(self.now);
                if let Some(rate) = group.rate.filter(|_| lack > 0.0 && e.breaker == CircuitBreaker::Closed) {
                    free = free.max(self.now + ns_from_secs(lack / rate) + 1);
                    starved.push(group_id);
                }
            }
            let idle = e.idle_connections.iter().any(|t| *t > self.now - ns(self.settings.keepalive));
            if !joins && !idle {
                free = free.max(e.next_connect_at);
            }
            if free > self.now {
                later = later.min(free);
                continue;
            }
            let separate = self.settings.kinds[e.kind].separate_routes;
            let fee = self.settings.zone_fees.get(e.zone).filter(|_| separate).copied().unwrap_or(0.0);
            let cold = if joins || idle { 0.0 } else { self.settings.handshake_cost };
            let aim = self.settings.classes[m.class].aim.as_secs_f64().max(INITIAL_LATENCY_SECONDS);
            let again = if m.last_endpoint == Some(*id) && m.attempts > 0 { LATENCY_COST } else { 0.0 };
            let load = 1.0 + e.calls.len() as f64 / 4.0;
            let slow = LATENCY_COST / aim * e.latency + short * e.latency.max(INITIAL_LATENCY_SECONDS);
            let cost = fee
                + cold
                + again
                + slow * load
                + TIE_BREAK_COST * e.tie_break
                + FAILURE_COST * e.failure_ratio.decayed(self.now);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, *id));
            }
        }
        let dest = m.destination;
        starved.into_iter().for_each(|p| self.limit_groups.get_mut(&p).expect("known").rate_limited = true);
        self.check_by(dest, later);
        best.map(|b| b.1)
    }

    /// Rule: what may have run goes again only where that is harmless by its effect class.
    fn repeat_is_safe_at(&self, m: &Message, id: EndpointId, e: &Endpoint) -> bool {
        let Some((first, zone, _)) = m.may_have_run else { return true };
        match self.settings.classes[m.class].effect {
            Effect::Repeatable | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Keyed { scope: KeyScope::Zone, .. } => e.zone == zone,
            Effect::Keyed { .. } => id == first,
            Effect::Once => false,
        }
    }

    fn may_attempt(&self, m: &Message) -> bool {
        let in_window = match (m.may_have_run, self.settings.classes[m.class].effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::Once) => false,
            (Some(_), Effect::Keyed { .. }) => self.now < self.answer_deadline(m),
        };
        in_window
            && m.attempts < self.settings.classes[m.class].max_attempts.unwrap_or(self.settings.max_attempts)
    }

    /// None if the message may go there, else when to ask again. A half-open breaker lets one trial through.
    /// What may run only once keeps off endpoints where calls failed that may have run, until half its time
    /// is gone. A connection that was not to be had costs it nothing, and in a fleet most are so at times.
    fn unavailable_until(&self, m: &Message, e: &Endpoint) -> Option<Ns> {
        let half_gone = m.deadline - ns(self.settings.classes[m.class].deadline) / 2;
        let risk = e.uncertain_failure_ratio.decayed(self.now);
        let too_risky =
            self.settings.classes[m.class].effect == Effect::Once && risk >= MAX_ONCE_FAILURE_RATIO;
        match e.breaker {
            CircuitBreaker::Closed | CircuitBreaker::HalfOpen if too_risky && half_gone > self.now => {
                Some(half_gone.min(
                    self.now
                        + ns_from_secs(
                            FAILURE_RATIO_HALF_LIFE_SECONDS * (risk / MAX_ONCE_FAILURE_RATIO).log2(),
                        )
                        + 1,
                ))
            }
            CircuitBreaker::Closed => None,
            CircuitBreaker::HalfOpen if e.trial.is_none() => None,
            _ => Some(NEVER),
        }
    }

    /// This courier's part, in calls a second: an even share of the limit, or more where it has had more.
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

    /// Time between calls, s, that keeps this courier's part of the fail-back budget.
    fn call_gap(&self, id: EndpointId) -> f64 {
        let from = self.endpoints[&id].slow_start_since.unwrap_or(self.now);
        let warm = secs_from_ns(self.now - from) / self.settings.slow_start_duration.as_secs_f64().max(1e-3);
        let present = self.settings.slow_start_min_share
            + (1.0 - self.settings.slow_start_min_share) * warm.clamp(0.0, 1.0);
        1.0 / (self.settings.overload_multiple * present * self.rate_share(id)).max(1e-3)
    }

    /// Rule: an endpoint back from an outage is not pushed over. Each keeps its part of the budget, or,
    /// where that is less than a call, goes once at random while it warms, rather late than early.
    fn space_next_call(&mut self, id: EndpointId) {
        let (gap, u) = (self.call_gap(id), self.rng.random::<f64>());
        let (now, cold) = (self.now, ns(self.settings.slow_start_duration));
        let e = self.endpoints.get_mut(&id).expect("known");
        e.slow_start_since = e.slow_start_since.filter(|t| now - t <= cold);
        if let Some(from) = e.slow_start_since {
            let left = secs_from_ns(from + cold - now);
            e.next_call_at = e.next_call_at.max(now + ns_from_secs((left * u.sqrt()).min(gap * (0.5 + u))));
        }
    }

    /// Whether an endpoint cannot hold an idle connection from each courier. Those that hold one never learn
    /// so: only the others are turned away, for as long as it is kept.
    fn connections_contended(&self, id: EndpointId) -> bool {
        let e = &self.endpoints[&id];
        let couriers = self.settings.courier_count as f64;
        let busy = couriers * self.rate_share(id) * e.latency.max(self.destinations[&e.destination].latency);
        !self.settings.kinds[e.kind].separate_routes
            && couriers > (CONNECTIONS_PER_CALL * busy).max(MIN_ENDPOINT_CONNECTIONS)
    }

    /// Frees an idle connection where they are few and this courier has no early use for it: idle ones count.
    /// Where a fleet is known to crowd the endpoint it goes unless a call has left on it at once, even with
    /// something held: hundreds that keep one each for what they may not send yet leave none. Elsewhere what
    /// is held needs it: the one connection that is to be had may be this.
    fn close_spare_connection(&mut self, id: EndpointId, out: &mut Vec<Action>) {
        let e = &self.endpoints[&id];
        if !e.calls.is_empty() || e.idle_connections.is_empty() {
            return;
        }
        let span = self.settings.keepalive.as_secs_f64();
        let tight = secs_from_ns(self.now) < self.connections_scarce_at[e.kind] + SCARCITY_KEEPALIVES * span;
        let rare = self.limit_groups[&self.limit_group_id(id)].accepted_rate * span < MIN_REUSE_CALLS;
        let unused = tight && rare && self.destinations[&e.destination].chart.held.is_empty();
        if unused || self.connections_contended(id) {
            self.endpoints.get_mut(&id).expect("known").idle_connections.clear();
            out.push(Action::CloseIdleConnections { endpoint: id });
        }
    }

    fn record_success(&mut self, id: EndpointId) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        (e.failure_ratio, e.uncertain_failure_ratio) = (
            e.failure_ratio.updated(now, FAILURE_EWMA_WEIGHT, 0.0),
            e.uncertain_failure_ratio.updated(now, FAILURE_EWMA_WEIGHT, 0.0),
        );
        e.last_success = now;
        // Slow start follows failures, not mere silence: a lost reply must not cost a well endpoint its rate.
        if e.breaker != CircuitBreaker::Closed {
            e.breaker = CircuitBreaker::Closed;
            if e.slow_start_pending && secs_from_ns(now - e.unhealthy_since) > CONFIRMED_OUTAGE_SECONDS {
                (e.slow_start_since, e.next_call_at) = (Some(now), now);
                self.space_next_call(id);
            }
        }
    }

    /// A call failed; `ran` if it may have run.
    fn record_failure(&mut self, id: EndpointId, call: u64, ran: bool) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        let gain = if secs_from_ns(now - e.last_success) < 4.0 {
            FAILURE_EWMA_WEIGHT
        } else {
            STALE_FAILURE_EWMA_WEIGHT
        };
        e.failure_ratio = e.failure_ratio.updated(now, gain, 1.0);
        if ran {
            e.uncertain_failure_ratio = e.uncertain_failure_ratio.updated(now, gain, 1.0);
        }
        match e.breaker {
            CircuitBreaker::Closed if e.failure_ratio.ratio > BREAKER_TRIP_RATIO => {
                self.open_breaker(id, true)
            }
            CircuitBreaker::HalfOpen if e.trial == Some(call) => self.open_breaker(id, true),
            _ => {}
        }
    }

    /// Opens a breaker. The next trial comes after a multiple of the time for which it has ailed, as
    /// ever more couriers have something to try there, but no later than the known rate has room for all.
    fn open_breaker(&mut self, id: EndpointId, cold: bool) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let (now, rate) = (self.now, self.rate_share(id).max(1e-3));
        let e = self.endpoints.get_mut(&id).expect("known");
        let closed = e.breaker == CircuitBreaker::Closed;
        if closed && e.slow_start_since.is_none() {
            e.unhealthy_since = now;
        }
        let pause = (INITIAL_OPEN_SECONDS + OPEN_GROWTH_FACTOR * secs_from_ns(now - e.unhealthy_since))
            .min(1.0 / rate)
            .max(MIN_OPEN_SECONDS);
        e.slow_start_pending = cold || (e.slow_start_pending && !closed);
        e.slow_start_since = e.slow_start_since.filter(|_| !e.slow_start_pending);
        let (next_trial_at, apart) =
            (now + ns_from_secs(pause * jitter), ns_from_secs(TRIAL_SPACING_SHARE * pause));
        e.breaker = CircuitBreaker::Open;
        // Outages mostly take a destination whole: one trial speaks for all its open endpoints. They take
        // turns, what failed last comes last: else it alone is tried, and others that are back stay shut.
        let others = self.destinations[&e.destination].endpoints.iter().map(|o| (*o, &self.endpoints[o]));
        let shut = others.filter(|(o, e)| *o != id && e.ready && e.breaker == CircuitBreaker::Open);
        let key_queues: BTreeSet<_> = shut.map(|(o, e)| (e.next_trial_at, o)).collect();
        for (n, (at, other)) in key_queues.into_iter().chain([(next_trial_at, id)]).enumerate() {
            self.endpoints.get_mut(&other).expect("known").next_trial_at =
                at.max(next_trial_at + apart * n as Ns);
        }
    }

    /// Rule: a wait told holds for the whole pool, whoever told it; a shorter one never replaces it.
    fn apply_feedback(&mut self, id: EndpointId, outcome: Outcome, report: &Option<LimitReport>) {
        let (Some(_), now) = (self.endpoints.get(&id), self.now) else { return };
        let group_id = self.limit_group_id(id);
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a pool");
        let before = group.limit;
        group.limit = report.map(|r| r.limit).filter(|l| *l > 0.0).or(group.limit);
        if let (Some(before), Some(limit)) = (before, group.limit) {
            // What was learnt of the others' use holds for a limit that has moved, too.
            group.rate =
                group.rate.map(|rate| rate * (1.0 + self.settings.fleet_factor() * (limit / before - 1.0)));
        }
        let start =
            group.fair_share(self.settings.courier_count).filter(|even| *even * RATE_WINDOW_SECONDS > 1.0);
        group.rate = group.rate.or(start.map(|even| even * INITIAL_RATE_SHARE));
        if let Outcome::Full { wait: Some(wait) } = outcome {
            group.wait_until = group.wait_until.max(now + ns(wait + self.settings.tick));
        }
    }

    /// Finds hung calls and moves open breakers on, at the endpoints of one destination.
    fn check_health(&mut self, dest: DestinationId) {
        let now = self.now;
        let d = &self.destinations[&dest];
        let (held, usual) = (!d.chart.held.is_empty(), d.latency);
        for id in d.endpoints.iter().copied().collect::<Vec<_>>() {
            let pool_waits = self.limit_groups[&self.limit_group_id(id)].wait_until;
            let e = self.endpoints.get_mut(&id).expect("known");
            let hang = ns_from_secs((HANG_LATENCY_MULTIPLE * e.latency.max(usual)).max(MIN_HANG_SECONDS));
            e.slow_start_since =
                e.slow_start_since.filter(|t| now - t <= ns(self.settings.slow_start_duration));
            // Silence: a call much older than usual and no answer since it left. One slow call can trip it,
            // which costs a trial. A courier that stalled hears all its news first: that is no silence.
            let hung = |c: &(Ns, usize)| c.0 != Ns::MIN && now - c.0 > hang && e.last_success < c.0;
            let waits = e.calls.values().filter(|c| c.0 != Ns::MIN && !hung(c)).map(|c| c.0 + hang + 1).min();
            let trial_lost = |t| e.calls.get(&t).is_none_or(hung);
            match e.breaker {
                CircuitBreaker::Closed if e.calls.values().any(hung) => self.open_breaker(id, false),
                CircuitBreaker::Open if held && e.next_trial_at.max(pool_waits) <= now => {
                    (e.breaker, e.trial) = (CircuitBreaker::HalfOpen, None);
                }
                CircuitBreaker::HalfOpen if e.trial.is_some_and(trial_lost) => self.open_breaker(id, true),
                _ => {}
            }
            let e = &self.endpoints[&id];
            let turn = (e.breaker == CircuitBreaker::Open && held).then_some(e.next_trial_at.max(pool_waits));
            self.check_by(dest, waits.unwrap_or(NEVER).min(turn.unwrap_or(NEVER)));
        }
    }

    /// Ends a message undelivered: refused if that is known to be harmless, else given up as failed.
    fn end_undelivered(&mut self, id: MessageId, out: &mut Vec<Action>) {
        self.record_miss(id);
        let m = &self.messages[&id];
        let harmless = match self.settings.classes[m.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { scope: KeyScope::All, .. } => m.in_flight.is_none(),
            _ => m.in_flight.is_none() && m.may_have_run.is_none(),
        };
        let refuse = Action::Refuse { message: id, wait: Some(self.retry_hint(m.destination)) };
        out.push(if harmless { refuse } else { Action::Fail { message: id } });
        self.finish(id);
    }

    /// When a refused client may come again: what is held there has had time to go, and a wait is over.
    fn retry_hint(&self, dest: DestinationId) -> Duration {
        let (held, limit_groups) = (self.destinations[&dest].chart.held.len(), self.ready_limit_groups(dest));
        let wait = limit_groups.iter().map(|p| self.limit_groups[p].wait_until).min().unwrap_or(0) - self.now;
        duration_from_ns(
            wait.max(self.service_time(dest) * held as Ns)
                .max(ns_from_secs(INITIAL_REJECTION_BACKOFF_SECONDS)),
        )
    }

    fn finish(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        self.unfinished -= usize::from(!std::mem::replace(&mut m.finished, true));
        let (dest, due, out) = (m.destination, m.chart_deadline, m.in_flight.is_some());
        self.destination_mut(dest).chart.remove(due, id);
        self.dirty.insert(dest);
        if !out && let Some(m) = self.messages.remove(&id) {
            self.destination_mut(dest).messages.remove(&id);
            if let Some(line) = m.key.and_then(|key| self.key_queues.get_mut(&key)) {
                line.retain(|other| *other != id);
                self.dirty.extend(line.front().map(|next| self.messages[next].destination));
            }
            self.key_queues.retain(|_, line| !line.is_empty());
            self.key_cooldowns.retain(|_, (_, until)| *until > self.now);
        }
    }
}

impl Settings {
    /// Time over which couriers spread a call to discovery that all may make at once: at a start, and after a
    /// watch has ended or was turned away. A fleet that asks again at once keeps its queue so long that each
    /// call is out of time when its turn comes, and none is ever served. Hurts where one courier restarts
    /// alone: it learns of what has changed meanwhile that much later.
    pub fn list_retry_spread(&self) -> Duration {
        Duration::from_secs_f64(FLEET_LIST_SECONDS * self.fleet_factor())
    }

    /// Share of the couriers beyond those few that may act in the same moment: what one does alone adds up.
    fn fleet_factor(&self) -> f64 {
        (1.0 - SMALL_FLEET / self.courier_count.max(1) as f64).max(0.0)
    }
}

/// How long until the list is asked for again: a pause, s, with jitter, and a part of the fleet's spread.
pub fn list_retry_delay(pause: f64, spread: Duration, rng: &mut impl Rng) -> Duration {
    Duration::from_secs_f64(pause * (0.5 + rng.random::<f64>())) + spread.mul_f64(rng.random())
}

/// Pause between new connections after so many that were not to be had, s.
fn connect_backoff(times: u32) -> f64 {
    if times == 0 {
        0.0
    } else {
        (INITIAL_REJECTION_BACKOFF_SECONDS * 2f64.powi(times as i32 - 1)).min(MAX_REJECTION_BACKOFF_SECONDS)
    }
}

impl FailureRatio {
    /// What is left of it; it halves in a fixed time.
    fn decayed(self, now: Ns) -> f64 {
        self.ratio * 0.5f64.powf(secs_from_ns(now - self.updated_at) / FAILURE_RATIO_HALF_LIFE_SECONDS)
    }

    fn updated(self, now: Ns, gain: f64, to: f64) -> Self {
        let share = self.decayed(now);
        FailureRatio { ratio: share + gain * (to - share), updated_at: now }
    }
}

impl LimitGroup {
    fn fair_share(&self, couriers: usize) -> Option<f64> {
        self.limit.map(|l| l / couriers.max(1) as f64)
    }

    /// Tokens now. Without a pace the bucket stays full: calls sent then are no debt later.
    fn available_tokens(&self, now: Ns) -> f64 {
        let Some(rate) = self.rate else { return 1.0 };
        (self.tokens + rate * secs_from_ns(now - self.refilled_at)).min((rate * RATE_BURST_SECONDS).max(1.0))
    }

    fn take_token(&mut self, now: Ns) {
        self.tokens = self.available_tokens(now) - 1.0;
        self.refilled_at = now;
    }

    fn record_accepted(&mut self, now: Ns, settings: &Settings, left: f64) {
        let (couriers, fleet_factor) = (settings.courier_count, settings.fleet_factor());
        self.consecutive_rejections = 0;
        self.accepted_rate = self.accepted_rate
            * (-secs_from_ns(now - self.accepted_rate_at) / ACCEPTED_RATE_DECAY_SECONDS).exp()
            + 1.0 / ACCEPTED_RATE_DECAY_SECONDS;
        self.accepted_rate_at = now;
        self.accepted_at.push_back(now);
        self.accepted_at.retain(|t| *t > now - ns_from_secs(RATE_WINDOW_SECONDS));
        let span = secs_from_ns(now - *self.first_accepted_at.get_or_insert(now))
            .clamp(RATE_BURST_SECONDS, RATE_WINDOW_SECONDS);
        self.peak_rate = self.peak_rate.max((self.accepted_at.len() - 1) as f64 / span);
        // AIMD: grows only while it is the pace that holds messages back.
        if std::mem::take(&mut self.rate_limited) {
            let step = self.fair_share(couriers).map_or(self.peak_rate, |even| even.max(MIN_RATE_PER_SECOND));
            let top = |r: f64| self.limit.unwrap_or(f64::INFINITY).max(r);
            // In a fleet the allowance shows whether others leave room, not this courier's own call.
            let spare = FLEET_RATE_INCREASE_SHARE * (left - ALLOWANCE_GROW_ABOVE).max(0.0);
            let grow = RATE_INCREASE_SHARE * (1.0 - fleet_factor) + fleet_factor * spare;
            self.rate = self.rate.map(|r| (r + grow * step).min(top(r)));
        }
        if let Some(even) =
            self.fair_share(couriers).filter(|_| fleet_factor > 0.0 && left < ALLOWANCE_SHRINK_BELOW)
        {
            self.rate = self.rate.map(|r| (r * RATE_DECREASE_FACTOR).max(even * MIN_FLEET_RATE_SHARE).min(r));
        }
    }

    fn decrease_rate(&mut self, now: Ns, settings: &Settings) {
        let (couriers, fleet_factor) = (settings.courier_count, settings.fleet_factor());
        if now - self.last_decrease < ns_from_secs(RATE_BURST_SECONDS) && self.last_decrease > 0 {
            return;
        }
        self.last_decrease = now;
        let blind = (self.peak_rate * MIN_RATE_PEAK_SHARE).max(1.0 / RATE_WINDOW_SECONDS);
        let floor = MIN_RATE_SHARE + fleet_factor * (MIN_FLEET_RATE_SHARE - MIN_RATE_SHARE);
        let floor = self
            .fair_share(couriers)
            .map_or(blind, |even| (even * floor).max(MIN_RATE_PER_SECOND * (1.0 - fleet_factor)));
        let from = self
            .rate
            .unwrap_or(self.peak_rate.max(self.fair_share(couriers).unwrap_or(0.0)) / RATE_DECREASE_FACTOR);
        (self.tokens, self.refilled_at) = (self.available_tokens(now), now);
        self.rate = Some((from * RATE_DECREASE_FACTOR).max(floor));
    }
}

impl OccupancyChart {
    pub(crate) fn add(&mut self, due: Ns, id: MessageId) {
        self.held.insert((due, id));
        if !self.stale {
            self.place(due);
        }
    }

    /// Gives `due` its interval: between segments [due - sigma, due], merged with the segment
    /// before where they touch; inside a segment, its left end moves by sigma. Merges cascade.
    fn place(&mut self, due: Ns) {
        let service_time = self.service_time;
        let mut at = self.segments.partition_point(|s| s.1 < due);
        match self.segments.get_mut(at) {
            Some(s) if s.0 <= due => s.0 -= service_time,
            _ => self.segments.insert(at, (due - service_time, due)),
        }
        while at > 0 && self.segments[at - 1].1 >= self.segments[at].0 {
            let (left, right) = self.segments.remove(at);
            at -= 1;
            let before = &mut self.segments[at];
            *before = (before.0 - (before.1 - left), right);
        }
    }

    /// Takes a message off; those left of it shift right into its slot.
    pub(crate) fn remove(&mut self, due: Ns, id: MessageId) -> bool {
        let held = self.held.remove(&(due, id));
        self.stale |= held;
        held
    }

    pub(crate) fn resize(&mut self, service_time: Ns) {
        self.stale |= std::mem::replace(&mut self.service_time, service_time) != service_time;
    }

    /// Where the first segment starts; segments that no longer fit are made anew once, here.
    pub(crate) fn start(&mut self) -> Option<Ns> {
        if std::mem::take(&mut self.stale) {
            self.segments.clear();
            let held = std::mem::take(&mut self.held);
            held.iter().for_each(|(due, _)| self.place(*due));
            self.held = held;
        }
        self.segments.first().map(|s| s.0)
    }

    /// If the first segment starts before `now`: its messages up to the first that cannot be met.
    pub(crate) fn overdue(&mut self, now: Ns) -> Option<Vec<MessageId>> {
        self.start().filter(|start| *start < now)?;
        let unmet = |(n, h): (usize, &(Ns, _))| now + self.service_time * (n as Ns + 1) > h.0;
        let n = self.held.iter().enumerate().position(unmet)?;
        Some(self.held.iter().take(n + 1).map(|h| h.1).collect())
    }
}
