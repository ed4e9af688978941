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
const FIRST_LATENCY: f64 = 0.05;
const DEST_CAP: f64 = 0.75;
const AILING_CAP: f64 = 0.5;
const RECENT: usize = 12;
/// EWMA weights: of a latency, of a failure, and of a failure where there is no fresh success.
const LATENCY_GAIN: f64 = 0.15;
const FAILURE_GAIN: f64 = 0.25;
const STALE_GAIN: f64 = 0.6;
/// Miss ratios forget with this time, s: long against a trouble, short against a day.
const RATIO_SPAN: f64 = 30.0;
/// A message is answered this many ticks before its time is up.
const MARGIN_TICKS: Ns = 5;
/// Failure ratio (each failure moves it) above which a breaker opens.
const TRIP_RATIO: f64 = 0.5;
/// Pause of an open breaker: first, s, and growth with the time for which it has ailed; least, s; part of a
/// pause between the trials of one destination.
const OPEN_FIRST: f64 = 1.5;
const OPEN_LEAST: f64 = 0.5;
const OPEN_GROWTH: f64 = 6.0;
const TRIAL_APART: f64 = 0.5;
/// Length, s, of an outage, and of a told wait, that ends cold.
const CONFIRMED: f64 = 1.0;
const SHUT_WAIT: f64 = 2.5;
/// A call this many latencies old with no answer since is taken as hung; and the least, s.
const HANG_LATENCIES: f64 = 6.0;
const HANG_LEAST: f64 = 0.8;
/// Attempts spread over the time left; before these, backoff after a second failure, as its share.
const LAST_ATTEMPTS: u32 = 2;
const RETRY_SHARE: f64 = 0.06;
/// Pause after a refusal that tells no wait, s: first, doublings at most, and longest at a full pace.
const FULL_PAUSE: f64 = 0.1;
const FULL_DOUBLINGS: u32 = 7;
const FULL_LONGEST: f64 = 1.6;
/// Pace at first, over an even share of one call a rate span; AIMD's cut and growth; floor over an even
/// share, or the peak; least pace, calls a second; burst of a bucket and time between two cuts, s.
const PACE_START: f64 = 1.2;
const PACE_CUT: f64 = 0.7;
const PACE_GROW: f64 = 0.06;
const PACE_FLOOR: f64 = 0.3;
const PACE_FLOOR_BLIND: f64 = 0.4;
const PACE_LEAST: f64 = 0.03;
const PACE_SPAN: f64 = 0.5;
/// Least pace in a large fleet, over an even share: what is refused uses the limit up, too. Share of the
/// allowance above which its paces grow, and under which they shrink.
const PACE_FLEET: f64 = 0.85;
const ALLOWANCE_HALF: f64 = 0.5;
const ALLOWANCE_LOW: f64 = 0.25;
/// Part of the spare allowance by which a fleet's pace grows with an accepted call: all have grown before a
/// report shows that one has, and what all add at once is refused.
const PACE_SPARE: f64 = 0.2;
/// Span of the rate of accepted calls, and memory of their flow, s.
const RATE_SPAN: f64 = 2.0;
const FLOW_SPAN: f64 = 10.0;
/// Time-out in latencies, and least, s; time-outs after which a call that blocks others is called off.
const TIMEOUT_LATENCIES: f64 = 7.0;
const TIMEOUT_LEAST: f64 = 1.0;
const STUCK_PATIENCE: f64 = 1.5;
/// Failure ratio too doubtful for a message that may run only once; it halves in this time, s.
const ONCE_DOUBT: f64 = 0.2;
const DOUBT_HALVES: f64 = 4.0;
/// Held messages past this share of the room: the longest chart sheds.
const ROOM_SHARE: f64 = 0.9;
/// Retry of a failed list call, s.
const LIST_RETRY: f64 = 1.0;
/// Time that a call for the list mostly takes to its answer.
const LIST_ANSWER: f64 = 1.5;
/// Discovery takes a call from every courier in this time, s, however many they are.
const LIST_ALL: f64 = 8.0;
/// So few couriers that act in the same moment never stand in each other's way.
const FEW: f64 = 4.0;
/// Endpoints are compared in points of the result, the unit of fees and handshakes: latency (per aim), doubt,
/// and leaning, which spreads couriers that know nothing, each to its own, so that connections serve again.
const COST_LATENCY: f64 = 0.05;
const COST_DOUBT: f64 = 0.5;
/// Of the last slots, one in so many and one more, a second costs what other messages could have had of it.
/// Covers slow zones, handshakes and hangs under load; hurts where fees are dearer than messages late.
const COST_SLOT: f64 = 0.5;
const SLOTS_FEW: usize = 20;
const COST_LEAN: f64 = 0.005;
/// Calls a keep-alive that make a connection worth keeping where few can be had, and memory of that.
const REUSE_LEAST: f64 = 5.0;
const TIGHT_SPANS: f64 = 6.0;
/// Connections that an endpoint of a destination with one limit holds, as a multiple of the calls that it
/// serves at once when its limit is used up, and at the least: the low ends of what the brief tells (3.5).
const HOLDS_A_CALL: f64 = 2.8;
const HOLDS_LEAST: f64 = 6.0;

impl Scheduler {
    /// Starts a courier's module without any state; `seed` feeds its jitter.
    pub fn new(set: Settings, seed: u64) -> Result<Self, String> {
        set.check()?;
        let mut scheduler = Scheduler { ask_pause: LIST_RETRY, ..Scheduler::blank(set, seed) };
        let spread = scheduler.set.list_retry_spread().as_secs_f64() * scheduler.rng.random::<f64>();
        scheduler.ask_at = scheduler.ask_at.map(|at| at + sec(spread));
        Ok(scheduler)
    }

    /// Takes the news of one moment and appends what is to be done.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        let origin = *self.origin.get_or_insert(now);
        self.now = ns(now.saturating_sub(origin)).max(self.now);
        for event in events {
            self.learn(event, out);
        }
        while let Some((at, dest)) = self.agenda.first().copied().filter(|(at, _)| *at <= self.now) {
            self.agenda.remove(&(at, dest));
            self.touched.insert(dest);
        }
        if self.calls_out < self.set.max_calls_in_flight {
            self.touched.append(&mut self.pressed);
        }
        let touched = std::mem::take(&mut self.touched);
        for dest in &touched {
            self.dest(*dest).next = NEVER;
            self.tidy(*dest, out);
            self.check_health(*dest);
        }
        self.release(&touched, out);
        for endpoint in std::mem::take(&mut self.spare) {
            self.free_connection(endpoint, out);
        }
        for dest in &touched {
            self.plan(*dest);
        }
        if self.ask_at.is_some_and(|t| t <= self.now) {
            // Asked again only if no answer comes; an answer clears this.
            let pause = list_retry_delay(self.ask_pause * 4.0, self.set.list_retry_spread(), &mut self.rng);
            self.ask_at = Some(self.now + ns(pause));
            out.push(Action::Subscribe { active: true });
        }
        let next =
            self.agenda.first().map_or(NEVER, |a| a.0).min(self.stuck_at).min(self.ask_at.unwrap_or(NEVER));
        if next < self.wake.map_or(NEVER, |w| w.1) {
            self.next_token += 1;
            self.wake = Some((self.next_token, next));
            out.push(Action::SetTimer { token: self.next_token, after: span((next - self.now).max(1)) });
        }
    }

    /// Rule: what may have run is dropped only while its key is remembered. By then its last attempt has
    /// ended, not merely begun: one whose connection comes late would be written after it.
    fn last_end(&self, m: &Message) -> Ns {
        match (m.ran, self.set.classes[m.class].effect) {
            (Some((_, _, at)), Effect::Keyed { window, .. }) => m.end.min(at + ns(window)),
            _ => m.end,
        }
    }

    /// When a message is answered at the latest: held ones while the usual latency is still left.
    fn closing(&self, m: &Message) -> Ns {
        let held = (self.last_end(m), sec(self.dests[&m.dest].latency));
        let (end, need) = if m.flight.is_none() { held } else { (m.end, 0) };
        end - need.max(ns(self.set.tick) * MARGIN_TICKS)
    }

    /// Puts the destination on the agenda for the next moment at which anything there can change.
    fn plan(&mut self, dest: DestinationId) {
        let d = &self.dests[&dest];
        let open = d.members.iter().map(|id| &self.messages[id]).filter(|m| !m.over);
        let backed_off = |m: &Message| m.flight.is_none() && m.not_before > self.now;
        let times =
            open.map(|m| if backed_off(m) { m.not_before.min(self.closing(m)) } else { self.closing(m) });
        let next = times.min().unwrap_or(NEVER).min(d.next);
        let soonest = self.now + ns(self.set.tick);
        let d = self.dest(dest);
        let next = next.min(d.chart.start().map_or(NEVER, |start| start + 1)).max(soonest);
        let was = std::mem::replace(&mut d.booked, next);
        self.agenda.remove(&(was, dest));
        self.agenda.extend((next < NEVER).then_some((next, dest)));
    }

    fn later(&mut self, dest: DestinationId, at: Ns) {
        self.dest(dest).next = self.dests[&dest].next.min(at);
    }

    fn room(&self, d: &Destination) -> bool {
        self.calls_out < self.set.max_calls_in_flight && d.calls < self.cap(d)
    }

    /// What an endpoint shares its limit with. Panics for one that was never listed.
    pub fn limit_group_id(&self, id: EndpointId) -> LimitGroupId {
        let e = &self.endpoints[&id];
        (e.dest, self.set.kinds[e.kind].separate_routes.then_some(id))
    }

    fn learn(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { complete, entries } => self.listed(*complete, entries, out),
            Event::EndpointListFailed => {
                let pause = list_retry_delay(self.ask_pause, self.set.list_retry_spread(), &mut self.rng);
                self.ask_at = self.set.subscription_required.then_some(self.now + ns(pause));
                self.ask_pause = (self.ask_pause * 2.0).min(LIST_RETRY * 8.0);
            }
            Event::MembershipCurrent { as_of } => self.membership_current(*as_of),
            Event::MembershipLimited { until } => self.membership.limit(self.since_origin(*until)),
            Event::Accepted(taken) => self.taken(taken, out),
            Event::ResponseStarted { .. } | Event::NoteReceived { .. } => {}
            Event::AttemptEnded(ended) => self.ended(ended, out),
            Event::Withdrawn { message } => self.close(*message),
            Event::TimerFired { token } => self.wake = self.wake.filter(|w| w.0 != *token),
            Event::ProbeEnded { endpoint, outcome, report, .. } => self.heed(*endpoint, *outcome, report),
        }
    }

    fn listed(&mut self, whole: bool, entries: &[EndpointEntry], out: &mut Vec<Action>) {
        // The cached list of the start comes before anything was asked for; later news are answers.
        if self.now > 0 {
            (self.ask_at, self.ask_pause) = (None, LIST_RETRY);
        }
        if whole {
            self.endpoints.values_mut().for_each(|e| e.leave(self.now));
        }
        for entry in entries {
            let kind = entry.kind.min(self.set.kinds.len() - 1);
            let (dest, zone, lean) = (entry.destination, entry.zone, self.rng.random());
            let fresh = || Endpoint { dest, zone, kind, lean, ..Endpoint::default() };
            let e = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            e.stand(entry.state, self.now);
            e.leased = entry.requires_lease;
            self.dest(entry.destination).endpoints.insert(entry.endpoint);
            let id = self.limit_group_id(entry.endpoint);
            let pool = self.pools.entry(id).or_insert_with(|| Pool { tokens: 1.0, ..Pool::default() });
            if self.set.weight_kind != WeightKind::None && pool.limit.is_none() && entry.weight > 0.0 {
                pool.limit = Some(entry.weight);
                // A fleet that calls before its first report is a burst of a call from each, then of another:
                // paced from the start, and each bucket filled up at some time before the longest aim.
                if let Some(even) = pool.even(self.set.courier_count).filter(|_| self.set.crowd() > 0.0) {
                    let aim = self.set.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.0, f64::max);
                    let lack = self.set.crowd() * self.rng.random::<f64>() * (even * aim).min(1.0);
                    (pool.rate, pool.tokens, pool.filled) = (Some(even), 1.0 - lack, self.now);
                }
            }
        }
        self.forget(out);
        self.touch_occupied();
    }

    /// Renews the lease on the list; what was held for want of it may go.
    fn membership_current(&mut self, as_of: Time) {
        let had_run_out = !self.membership.is_valid(self.now);
        self.membership.renew(self.since_origin(as_of));
        if had_run_out {
            self.touch_occupied();
        }
        self.ask_before_expiry();
    }

    /// Draws the first call for the list anew where it would be answered only after the list has run out of
    /// date. The fleet's calls stay spread over a quarter of its time at the least.
    fn ask_before_expiry(&mut self) {
        let latest = self.membership.expires_at().saturating_sub(sec(LIST_ANSWER));
        if self.ask_at.is_some_and(|at| at > latest) {
            let window = (latest - self.now).max(ns(self.set.list_retry_spread()) / 4);
            self.ask_at = Some(self.now + sec(secs(window) * self.rng.random::<f64>()));
        }
    }

    /// A moment of the courier's clock on the module's; negative before the first call.
    fn since_origin(&self, at: Time) -> Ns {
        ns(at) - ns(self.origin.unwrap_or_default())
    }

    /// Until when the list of endpoints may be acted on, on the clock of [`Scheduler::handle`]; None for good.
    pub fn membership_expires_at(&self) -> Option<Time> {
        let expires_at = self.membership.expires_at();
        (expires_at != NEVER).then(|| self.origin.unwrap_or_default() + span(expires_at))
    }

    /// Looks again at each destination that has messages.
    fn touch_occupied(&mut self) {
        self.touched.extend(self.dests.iter().filter(|(_, d)| !d.members.is_empty()).map(|(id, _)| *id));
    }

    fn dest(&mut self, id: DestinationId) -> &mut Destination {
        let fresh = || Destination { latency: FIRST_LATENCY, ..Destination::default() };
        self.dests.entry(id).or_insert_with(fresh)
    }

    fn taken(&mut self, t: &Accepted, out: &mut Vec<Action>) {
        let (id, dest) = (t.message, t.destination);
        let class = t.class.min(self.set.classes.len() - 1);
        let c = &self.set.classes[class];
        let end = self.now + ns(t.time_left);
        let stretch = t.estimated_work.map_or(0.0, |w| c.aim_stretch * w.as_secs_f64());
        let aim = (end - ns(c.deadline) + ns(c.aim) + sec(stretch)).min(end);
        let group = if self.set.tenant_count > 0 { t.tenant.min(self.set.tenant_count - 1) } else { class };
        let key = t.key.clone().filter(|_| c.ordered);
        if let Some(key) = &key {
            self.turns.entry(key.clone()).or_default().push_back(id);
        }
        let past = Message::with_past(&t.history, self.now);
        let message = Message { class, group, dest, key, aim, end, due: aim, ..past };
        self.tally(group, 0.0, 1.0);
        self.messages.insert(id, message);
        self.touched.insert(dest);
        self.dest(dest).members.insert(id);
        self.live += 1;
        self.hold(id, out);
        while self.live as f64 > ROOM_SHARE * self.set.max_messages as f64 {
            // The destination that holds most gives way: a paused one must not close the door to others.
            let longest = self.dests.iter().max_by_key(|(_, d)| d.chart.held.len()).map(|(id, _)| *id);
            let Some(longest) = longest.filter(|d| !self.dests[d].chart.held.is_empty()) else { break };
            let all: Vec<_> = self.dests[&longest].chart.held.iter().map(|h| h.1).collect();
            self.answer(self.victim(&all), out);
        }
    }

    fn ended(&mut self, ended: &AttemptEnded, out: &mut Vec<Action>) {
        let (id, endpoint, outcome) = (ended.message, ended.endpoint, ended.outcome);
        self.heed(endpoint, outcome, &ended.report);
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(flight) = m.flight.take() else { return };
        let running = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if m.ran.is_none() && (running || outcome == Outcome::Error) {
            m.ran = Some((endpoint, self.endpoints[&endpoint].zone, flight.sent));
        }
        if let Some(key) = m.key.as_ref().filter(|_| running) {
            self.rests.insert(key.clone(), (id, self.now + ns(self.set.order_pause)));
        }
        let late = self.now > m.aim;
        self.touched.insert(m.dest);
        self.call_ended(flight, ended);
        if outcome != Outcome::Moot {
            self.back_off(
                id,
                matches!(outcome, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Crowded),
            );
        }
        let m = &self.messages[&id];
        if outcome != Outcome::Delivered && !ended.is_final && !m.over {
            return if self.may_try(m) { self.hold(id, out) } else { self.answer(id, out) };
        }
        if late && !m.over {
            self.miss(id);
        }
        self.close(id);
    }

    /// Spreads attempts over the time left: an outage or a rush may outlast quick retries.
    fn back_off(&mut self, id: MessageId, full: bool) {
        let u = 0.5 + self.rng.random::<f64>();
        let m = self.messages.get_mut(&id).expect("known");
        let cap = self.set.classes[m.class].max_attempts.unwrap_or(self.set.max_attempts);
        let left = cap.saturating_sub(m.attempts);
        let share = match (left, full) {
            (left, _) if left <= LAST_ATTEMPTS => 1.0 / f64::from(left + 1),
            (_, false) if m.attempts > 1 => RETRY_SHARE * 3f64.powi(m.attempts as i32 - 2),
            _ => return,
        };
        m.not_before = self.now + sec(secs(m.end - self.now) * u * share);
    }

    /// Books the end of a call: slots, latency, pace and health. A bundle is booked once.
    fn call_ended(&mut self, flight: Flight, ended: &AttemptEnded) {
        let (id, now, outcome, took) = (ended.endpoint, self.now, ended.outcome, ended.elapsed.as_secs_f64());
        let Flight { call, sent, opens, .. } = flight;
        let e = self.endpoints.get_mut(&id).expect("a sent endpoint is known");
        let Some(open) = e.calls.get_mut(&call) else { return };
        open.1 -= 1;
        let counts = std::mem::replace(&mut open.0, Ns::MIN) != Ns::MIN && outcome != Outcome::Moot;
        if open.1 == 0 {
            e.calls.remove(&call);
            self.calls_out -= 1;
            let dest = e.dest;
            self.dest(dest).calls -= 1;
        }
        let group_id = self.limit_group_id(id);
        let (gap, slow) = (self.gap(id), 1.0 / (self.part(id)).max(1e-3));
        if counts {
            self.connects(id, sent, opens, outcome);
        }
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| counts) else { return };
        let d = self.dests.get_mut(&e.dest).expect("known");
        if !matches!(outcome, Outcome::Full { .. }) {
            let well = matches!(outcome, Outcome::Delivered | Outcome::Cancelled);
            d.recent.push_back(!well || took > 2.0 * d.latency);
            d.recent.drain(..d.recent.len().saturating_sub(RECENT));
        }
        let pool = self.pools.get_mut(&group_id).expect("each endpoint has a pool");
        match outcome {
            Outcome::Delivered => {
                for (latency, first) in [(&mut e.latency, 0.0), (&mut d.latency, FIRST_LATENCY)] {
                    *latency += if *latency == first { 1.0 } else { LATENCY_GAIN } * (took - *latency);
                }
                let left = ended.report.map_or(ALLOWANCE_HALF, |r| r.remaining_share);
                pool.accepted(now, &self.set, left);
                self.worked(id);
                self.space(id);
            }
            Outcome::Full { wait } => {
                pool.fulls += 1;
                pool.cut(now, &self.set);
                // Backoff with jitter where no wait was told.
                let u: f64 = self.rng.random();
                let doubled = FULL_PAUSE * f64::from(1u32 << (pool.fulls - 1).min(FULL_DOUBLINGS));
                let pause = wait.map_or(sec(doubled.min(slow.max(FULL_LONGEST)) * (0.5 + u)), ns);
                // All that were refused would be back at once, be it after a pause or a told wait.
                let turn = sec(self.set.crowd() * u * slow);
                pool.wait_until = pool.wait_until.max(now + pause + turn);
                if let Some(wait) = wait.filter(|w| w.as_secs_f64() > SHUT_WAIT) {
                    // Shut until then: all that were told so come at once, and it is cold.
                    e.warm_from = Some(now + ns(wait));
                    let spread = self.set.slow_start_duration.as_secs_f64() * u.sqrt();
                    e.free_at = now + ns(wait) + sec(spread.min(2.0 * u * gap));
                }
                e.trial = None;
            }
            // Too many connections look like a dead endpoint, but for answers on the others.
            Outcome::ConnectFailed if e.last_ok > sent || (!e.calls.is_empty() && e.last_ok > 0) => {}
            // It is up; what shuts a call out tells nothing of how it serves. Nor, after an outage, that it
            // is well: the next trial keeps its distance, since all that reach it push it.
            Outcome::Crowded if e.breaker == Breaker::Closed => {}
            Outcome::Crowded => self.open(id, false),
            Outcome::Cancelled | Outcome::Moot => {}
            _ => self.failed(id, call, outcome != Outcome::ConnectFailed),
        }
        self.spare.insert(id);
    }

    /// Where no connection was to be had, new ones are tried one at a time and ever more seldom; the kept
    /// ones serve on. Covers any limit on connections: the endpoint's, that of what lies between, this
    /// machine's. Hurts where one failed by chance in a rush: the rest wait a tenth of a second.
    fn connects(&mut self, id: EndpointId, sent: Ns, opens: bool, outcome: Outcome) {
        let kept = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. });
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        e.idle.extend(kept.then_some(now));
        if kept && opens {
            e.unconnected = e.unconnected.saturating_sub(1);
        }
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Crowded) {
            self.tight[e.kind] = secs(now);
            // Those that were thought idle when it left are not there.
            e.idle.retain(|t| *t > sent);
            // A rush that left before the first failure was known counts once.
            e.unconnected += u32::from(sent >= e.connect_failed);
            e.connect_failed = now;
            e.connect_at = now + sec(connect_pause(e.unconnected) * (0.5 + self.rng.random::<f64>()));
        }
    }

    // ---- chart: place, set back, shed -------------------------------------------------------------

    /// Sigma: the smoothed latency over the calls that may run at once, and no less than paces under a known
    /// limit allow: else a chart believes in rates it has not. Hurts where a pace is far below the limit.
    fn sigma(&self, id: DestinationId) -> Ns {
        let (d, pools) = (&self.dests[&id], self.ready_pools(id));
        let pace = pools.iter().map(|p| self.pools[p].limit.and(self.pools[p].rate)).sum::<Option<f64>>();
        let paced = pace.filter(|r| *r > 0.0).map_or(0.0, |r| 1.0 / r);
        sec((d.latency / self.cap(d) as f64).max(paced)).max(1)
    }

    /// Time of the chart that a fleet's courier has in hand: what its buckets hold goes at once, however thin
    /// its share. Else one whose share is a call in many seconds refuses whatever it is given.
    fn credit(&self, id: DestinationId) -> Ns {
        let crowd = self.set.crowd();
        if crowd == 0.0 {
            return 0;
        }
        let pools = self.ready_pools(id);
        let held = pools.iter().map(|p| self.pools[p].filled_up(self.now).max(0.0)).sum::<f64>();
        (self.dests[&id].chart.sigma as f64 * crowd * held.min(1.0)) as Ns
    }

    /// The pools that a destination's ready endpoints draw on, each once.
    fn ready_pools(&self, id: DestinationId) -> BTreeSet<LimitGroupId> {
        let endpoints = self.dests[&id].endpoints.iter();
        endpoints.filter(|e| self.endpoints[e].ready).map(|e| self.limit_group_id(*e)).collect()
    }

    /// Calls that this courier may have out at a destination.
    fn cap(&self, d: &Destination) -> usize {
        let bad = d.recent.iter().filter(|b| **b).count();
        let ailing = d.recent.len() >= RECENT / 3 && bad * 2 > d.recent.len();
        let share = if ailing { AILING_CAP } else { DEST_CAP };
        ((self.set.max_calls_in_flight as f64 * share) as usize).max(1)
    }

    fn hold(&mut self, id: MessageId, out: &mut Vec<Action>) {
        let dest = self.messages[&id].dest;
        let m = &self.messages[&id];
        if !m.late && self.now + sec(self.dests[&dest].latency) > m.aim {
            self.set_back(id);
        }
        let (due, sigma) = (self.messages[&id].due, self.sigma(dest));
        let chart = &mut self.dest(dest).chart;
        chart.resize(sigma);
        chart.add(due, id);
        self.ease(dest, out);
    }

    /// Gives up the aim: the message now stands on the chart by its final deadline.
    fn set_back(&mut self, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("held");
        let (dest, due, end) = (m.dest, m.due, m.end);
        (m.late, m.due) = (true, end);
        let chart = &mut self.dest(dest).chart;
        if chart.remove(due, id) {
            chart.add(end, id);
        }
        self.miss(id);
    }

    /// While the first busy segment starts before now, one of its messages gives way. Departure: the first
    /// time it is only set back to its final deadline, while late worth remains.
    fn ease(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.credit(dest);
        while let Some(first) = self.dest(dest).chart.overdue(now - credit) {
            let on_time: Vec<_> = first.iter().copied().filter(|m| !self.messages[m].late).collect();
            if on_time.is_empty() {
                self.answer(self.victim(&first), out);
            } else {
                self.set_back(self.victim(&on_time));
            }
        }
    }

    /// The message to give way: of the group that has missed least, weighted by worth, the one
    /// with most time left.
    fn victim(&self, candidates: &[MessageId]) -> MessageId {
        let score = |id: &MessageId| {
            let m = &self.messages[id];
            let t = &self.tallies[m.group];
            let weight = if self.set.tenant_count > 0 { 1.0 } else { self.set.classes[m.class].worth };
            (t.misses + 0.5) / (t.total + 1.0) * weight
        };
        let by = |a: &&MessageId, b: &&MessageId| {
            let (x, y) = (&self.messages[*a], &self.messages[*b]);
            score(a).total_cmp(&score(b)).then(y.due.cmp(&x.due)).then(b.cmp(a))
        };
        *candidates.iter().min_by(by).expect("a segment holds a message")
    }

    fn tally(&mut self, group: usize, misses: f64, total: f64) {
        let t = &mut self.tallies[group];
        let keep = (-secs(self.now - t.at) / RATIO_SPAN).exp();
        *t = Tally { misses: t.misses * keep + misses, total: t.total * keep + total, at: self.now };
    }

    fn miss(&mut self, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("known");
        if !std::mem::replace(&mut m.missed, true) {
            let group = m.group;
            self.tally(group, 1.0, 0.0);
        }
    }

    /// Late refusal, and the end of messages whose time is nearly up; then the chart.
    fn tidy(&mut self, dest: DestinationId, out: &mut Vec<Action>) {
        let over = |m: &Message| self.closing(m) <= self.now || (m.flight.is_none() && !self.may_try(m));
        let open = self.dests[&dest].members.iter().filter(|id| !self.messages[id].over);
        for id in open.filter(|id| over(&self.messages[id])).copied().collect::<Vec<_>>() {
            self.answer(id, out);
        }
        let sigma = self.sigma(dest);
        self.dest(dest).chart.resize(sigma);
        self.ease(dest, out);
    }

    /// Sends what may go now, by earliest deadline over the destinations with news.
    fn release(&mut self, touched: &BTreeSet<DestinationId>, out: &mut Vec<Action>) {
        let held: BTreeSet<_> =
            touched.iter().flat_map(|d| self.dests[d].chart.held.iter().copied()).collect();
        let mut joined = Joined::new();
        for (_, id) in held {
            let m = &self.messages[&id];
            let (dest, rest) = (m.dest, m.key.as_ref().and_then(|key| self.rests.get(key)));
            if !self.has_turn(id, m) || m.not_before > self.now {
                self.later(dest, rest.filter(|r| r.1 > self.now).map_or(NEVER, |r| r.1));
                continue;
            }
            if let Some(endpoint) = self.choose(id, &joined) {
                self.send(id, endpoint, &mut joined, out);
            } else if !self.room(&self.dests[&dest]) {
                self.pressed.insert(dest);
            }
        }
        self.unstick(out);
    }

    /// Calls off the oldest stuck call where messages wait for its slot. Guards against answers that never
    /// come; an unsafe message is lost by it, so it hurts where very slow calls are answered.
    fn unstick(&mut self, out: &mut Vec<Action>) {
        self.stuck_at = NEVER;
        let wanted = self.set.cancellation_enabled && !self.pressed.is_empty();
        let full = self.calls_out >= self.set.max_calls_in_flight;
        let stuck = |m: &Message| {
            let f = m.flight.as_ref().filter(|f| !f.cancelled && (full || self.pressed.contains(&m.dest)))?;
            Some(f.sent + sec(self.patience(&self.endpoints[&f.endpoint]) * STUCK_PATIENCE))
        };
        let first =
            self.messages.iter().filter_map(|(id, m)| Some((stuck(m)?, *id))).filter(|_| wanted).min();
        let Some((at, id)) = first else { return };
        self.stuck_at = at.max(self.now + ns(self.set.tick));
        if at <= self.now {
            let m = self.messages.get_mut(&id).expect("known");
            m.flight.as_mut().expect("in flight").cancelled = true;
            out.push(Action::Cancel { message: id, attempt: m.attempts - 1 });
        }
    }

    /// How long an attempt that may be repeated is waited for, s.
    fn patience(&self, e: &Endpoint) -> f64 {
        (TIMEOUT_LATENCIES * e.latency).max(TIMEOUT_LEAST)
    }

    /// Rule: ordered messages go one at a time by key, which rests after one that may still run.
    fn has_turn(&self, id: MessageId, m: &Message) -> bool {
        let Some(key) = &m.key else { return true };
        let rested = self.rests.get(key).is_none_or(|(of, until)| *of == id || *until <= self.now);
        rested && self.turns.get(key).and_then(VecDeque::front) == Some(&id)
    }

    fn send(&mut self, id: MessageId, endpoint: EndpointId, joined: &mut Joined, out: &mut Vec<Action>) {
        let now = self.now;
        let pool = self.limit_group_id(endpoint);
        let e = self.endpoints.get_mut(&endpoint).expect("chosen");
        let bundle_max = self.set.kinds[e.kind].max_bundle_size.max(1);
        let mut opens = false;
        let call = match joined.get_mut(&endpoint) {
            Some((call, room)) if *room > 0 => {
                *room -= 1;
                e.calls.get_mut(call).expect("open call").1 += 1;
                *call
            }
            _ => {
                let call = self.next_call;
                self.next_call += 1;
                joined.insert(endpoint, (call, bundle_max - 1));
                e.calls.insert(call, (now, 1));
                e.idle.retain(|t| *t > now - ns(self.set.keepalive));
                opens = e.idle.pop().is_none();
                if opens {
                    e.connect_at = now + sec(connect_pause(e.unconnected));
                }
                e.trial = Some(call);
                self.calls_out += 1;
                self.pools.get_mut(&pool).expect("known").take(now);
                self.dest(pool.0).calls += 1;
                call
            }
        };
        let patience = sec(self.patience(&self.endpoints[&endpoint]));
        let last_end = self.last_end(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("held");
        let left = last_end - now - ns(self.set.tick) * 2;
        // What may run only once is given all its time: cutting it short can only fail it.
        let once = self.set.classes[m.class].effect == Effect::Once;
        let timeout = if once { left } else { left.min(patience) };
        let (dest, due) = (m.dest, m.due);
        (m.attempts, m.last) = (m.attempts + 1, Some(endpoint));
        m.flight = Some(Flight { endpoint, call, cancelled: false, sent: now, opens });
        self.dest(dest).chart.remove(due, id);
        out.push(Action::Send { message: id, endpoint, timeout: span(timeout.max(1)) });
        self.space(endpoint);
    }

    /// The cheapest endpoint that may take this message now. Each rule on sends is kept here.
    fn choose(&mut self, id: MessageId, joined: &Joined) -> Option<EndpointId> {
        let m = &self.messages[&id];
        let d = &self.dests[&m.dest];
        let room = self.room(d);
        let few =
            self.calls_out + 1 + self.set.max_calls_in_flight / SLOTS_FEW >= self.set.max_calls_in_flight;
        let short = if few { COST_SLOT } else { 0.0 };
        let (mut best, mut starved, mut later) = (None, Vec::new(), NEVER);
        for id in &d.endpoints {
            let e = &self.endpoints[id];
            // Rules: nothing to a draining or gone endpoint; a keyed repeat only where it is dropped.
            if !e.ready || !self.in_scope(m, *id, e) {
                continue;
            }
            // Rule: nor to one that may drain or be gone without this courier's knowing it.
            if e.leased && !self.membership.is_valid(self.now) {
                continue;
            }
            if let Some(at) = self.healthy_for(m, e) {
                later = later.min(at);
                continue;
            }
            let group_id = self.limit_group_id(*id);
            let pool = &self.pools[&group_id];
            let joins = joined.get(id).is_some_and(|(_, room)| *room > 0);
            // Rules: waits are kept, and an endpoint back from an outage gets its calls spaced.
            let mut free =
                if joins || e.warm_from.is_none() { pool.wait_until } else { pool.wait_until.max(e.free_at) };
            if !joins && !room {
                continue;
            }
            if !joins {
                let lack = 1.0 - pool.filled_up(self.now);
                if let Some(rate) = pool.rate.filter(|_| lack > 0.0 && e.breaker == Breaker::Closed) {
                    free = free.max(self.now + sec(lack / rate) + 1);
                    starved.push(group_id);
                }
            }
            let idle = e.idle.iter().any(|t| *t > self.now - ns(self.set.keepalive));
            if !joins && !idle {
                free = free.max(e.connect_at);
            }
            if free > self.now {
                later = later.min(free);
                continue;
            }
            let separate = self.set.kinds[e.kind].separate_routes;
            let fee = self.set.zone_fees.get(e.zone).filter(|_| separate).copied().unwrap_or(0.0);
            let cold = if joins || idle { 0.0 } else { self.set.handshake_cost };
            let aim = self.set.classes[m.class].aim.as_secs_f64().max(FIRST_LATENCY);
            let again = if m.last == Some(*id) && m.attempts > 0 { COST_LATENCY } else { 0.0 };
            let load = 1.0 + e.calls.len() as f64 / 4.0;
            let slow = COST_LATENCY / aim * e.latency + short * e.latency.max(FIRST_LATENCY);
            let cost =
                fee + cold + again + slow * load + COST_LEAN * e.lean + COST_DOUBT * e.doubt.now(self.now);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, *id));
            }
        }
        let dest = m.dest;
        starved.into_iter().for_each(|p| self.pools.get_mut(&p).expect("known").starved = true);
        self.later(dest, later);
        best.map(|b| b.1)
    }

    /// Rule: what may have run goes again only where that is harmless by its effect class.
    fn in_scope(&self, m: &Message, id: EndpointId, e: &Endpoint) -> bool {
        let Some((first, zone, _)) = m.ran else { return true };
        match self.set.classes[m.class].effect {
            Effect::Repeatable | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Keyed { scope: KeyScope::Zone, .. } => e.zone == zone,
            Effect::Keyed { .. } => id == first,
            Effect::Once => false,
        }
    }

    fn may_try(&self, m: &Message) -> bool {
        let in_window = match (m.ran, self.set.classes[m.class].effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::Once) => false,
            (Some(_), Effect::Keyed { .. }) => self.now < self.closing(m),
        };
        in_window && m.attempts < self.set.classes[m.class].max_attempts.unwrap_or(self.set.max_attempts)
    }

    /// None if the message may go there, else when to ask again. A half-open breaker lets one trial through.
    /// What may run only once keeps off endpoints where calls failed that may have run, until half its time
    /// is gone. A connection that was not to be had costs it nothing, and in a fleet most are so at times.
    fn healthy_for(&self, m: &Message, e: &Endpoint) -> Option<Ns> {
        let half_gone = m.end - ns(self.set.classes[m.class].deadline) / 2;
        let risk = e.risk.now(self.now);
        let doubtful = self.set.classes[m.class].effect == Effect::Once && risk >= ONCE_DOUBT;
        match e.breaker {
            Breaker::Closed | Breaker::HalfOpen if doubtful && half_gone > self.now => {
                Some(half_gone.min(self.now + sec(DOUBT_HALVES * (risk / ONCE_DOUBT).log2()) + 1))
            }
            Breaker::Closed => None,
            Breaker::HalfOpen if e.trial.is_none() => None,
            _ => Some(NEVER),
        }
    }

    /// This courier's part, in calls a second: an even share of the limit, or more where it has had more.
    fn part(&self, id: EndpointId) -> f64 {
        let group_id = self.limit_group_id(id);
        let pool = &self.pools[&group_id];
        let sharing = match group_id.1 {
            Some(_) => 1,
            None => self.dests[&group_id.0].endpoints.iter().filter(|e| self.endpoints[e].ready).count(),
        };
        let known = pool.even(self.set.courier_count).unwrap_or(pool.peak);
        known.max(2.0 * (pool.flow - 1.0 / FLOW_SPAN)) / sharing.max(1) as f64
    }

    /// Time between calls, s, that keeps this courier's part of the fail-back budget.
    fn gap(&self, id: EndpointId) -> f64 {
        let from = self.endpoints[&id].warm_from.unwrap_or(self.now);
        let warm = secs(self.now - from) / self.set.slow_start_duration.as_secs_f64().max(1e-3);
        let present =
            self.set.slow_start_min_share + (1.0 - self.set.slow_start_min_share) * warm.clamp(0.0, 1.0);
        1.0 / (self.set.overload_multiple * present * self.part(id)).max(1e-3)
    }

    /// Rule: an endpoint back from an outage is not pushed over. Each keeps its part of the budget, or,
    /// where that is less than a call, goes once at random while it warms, rather late than early.
    fn space(&mut self, id: EndpointId) {
        let (gap, u) = (self.gap(id), self.rng.random::<f64>());
        let (now, cold) = (self.now, ns(self.set.slow_start_duration));
        let e = self.endpoints.get_mut(&id).expect("known");
        e.warm_from = e.warm_from.filter(|t| now - t <= cold);
        if let Some(from) = e.warm_from {
            let left = secs(from + cold - now);
            e.free_at = e.free_at.max(now + sec((left * u.sqrt()).min(gap * (0.5 + u))));
        }
    }

    /// Whether an endpoint cannot hold an idle connection from each courier. Those that hold one never learn
    /// so: only the others are turned away, for as long as it is kept.
    fn crowded(&self, id: EndpointId) -> bool {
        let e = &self.endpoints[&id];
        let couriers = self.set.courier_count as f64;
        let busy = couriers * self.part(id) * e.latency.max(self.dests[&e.dest].latency);
        !self.set.kinds[e.kind].separate_routes && couriers > (HOLDS_A_CALL * busy).max(HOLDS_LEAST)
    }

    /// Frees an idle connection where they are few and this courier has no early use for it: idle ones count.
    /// Where a fleet is known to crowd the endpoint it goes unless a call has left on it at once, even with
    /// something held: hundreds that keep one each for what they may not send yet leave none. Elsewhere what
    /// is held needs it: the one connection that is to be had may be this.
    fn free_connection(&mut self, id: EndpointId, out: &mut Vec<Action>) {
        let e = &self.endpoints[&id];
        if !e.calls.is_empty() || e.idle.is_empty() {
            return;
        }
        let span = self.set.keepalive.as_secs_f64();
        let tight = secs(self.now) < self.tight[e.kind] + TIGHT_SPANS * span;
        let rare = self.pools[&self.limit_group_id(id)].flow * span < REUSE_LEAST;
        let unused = tight && rare && self.dests[&e.dest].chart.held.is_empty();
        if unused || self.crowded(id) {
            self.endpoints.get_mut(&id).expect("known").idle.clear();
            out.push(Action::CloseIdleConnections { endpoint: id });
        }
    }

    fn worked(&mut self, id: EndpointId) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        (e.doubt, e.risk) = (e.doubt.moved(now, FAILURE_GAIN, 0.0), e.risk.moved(now, FAILURE_GAIN, 0.0));
        e.last_ok = now;
        // Slow start follows failures, not mere silence: a lost reply must not cost a well endpoint its rate.
        if e.breaker != Breaker::Closed {
            e.breaker = Breaker::Closed;
            if e.cold && secs(now - e.ailing_from) > CONFIRMED {
                (e.warm_from, e.free_at) = (Some(now), now);
                self.space(id);
            }
        }
    }

    /// A call failed; `ran` if it may have run.
    fn failed(&mut self, id: EndpointId, call: u64, ran: bool) {
        let (now, e) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        let gain = if secs(now - e.last_ok) < 4.0 { FAILURE_GAIN } else { STALE_GAIN };
        e.doubt = e.doubt.moved(now, gain, 1.0);
        if ran {
            e.risk = e.risk.moved(now, gain, 1.0);
        }
        match e.breaker {
            Breaker::Closed if e.doubt.share > TRIP_RATIO => self.open(id, true),
            Breaker::HalfOpen if e.trial == Some(call) => self.open(id, true),
            _ => {}
        }
    }

    /// Opens a breaker. The next trial comes after a multiple of the time for which it has ailed, as
    /// ever more couriers have something to try there, but no later than the known rate has room for all.
    fn open(&mut self, id: EndpointId, cold: bool) {
        let jitter = 0.5 + self.rng.random::<f64>();
        let (now, rate) = (self.now, self.part(id).max(1e-3));
        let e = self.endpoints.get_mut(&id).expect("known");
        let closed = e.breaker == Breaker::Closed;
        if closed && e.warm_from.is_none() {
            e.ailing_from = now;
        }
        let pause = (OPEN_FIRST + OPEN_GROWTH * secs(now - e.ailing_from)).min(1.0 / rate).max(OPEN_LEAST);
        e.cold = cold || (e.cold && !closed);
        e.warm_from = e.warm_from.filter(|_| !e.cold);
        let (turn_at, apart) = (now + sec(pause * jitter), sec(TRIAL_APART * pause));
        e.breaker = Breaker::Open;
        // Outages mostly take a destination whole: one trial speaks for all its open endpoints. They take
        // turns, what failed last comes last: else it alone is tried, and others that are back stay shut.
        let others = self.dests[&e.dest].endpoints.iter().map(|o| (*o, &self.endpoints[o]));
        let shut = others.filter(|(o, e)| *o != id && e.ready && e.breaker == Breaker::Open);
        let turns: BTreeSet<_> = shut.map(|(o, e)| (e.turn_at, o)).collect();
        for (n, (at, other)) in turns.into_iter().chain([(turn_at, id)]).enumerate() {
            self.endpoints.get_mut(&other).expect("known").turn_at = at.max(turn_at + apart * n as Ns);
        }
    }

    /// Rule: a wait told holds for the whole pool, whoever told it; a shorter one never replaces it.
    fn heed(&mut self, id: EndpointId, outcome: Outcome, report: &Option<LimitReport>) {
        let (Some(_), now) = (self.endpoints.get(&id), self.now) else { return };
        let group_id = self.limit_group_id(id);
        let pool = self.pools.get_mut(&group_id).expect("each endpoint has a pool");
        let before = pool.limit;
        pool.limit = report.map(|r| r.limit).filter(|l| *l > 0.0).or(pool.limit);
        if let (Some(before), Some(limit)) = (before, pool.limit) {
            // What was learnt of the others' use holds for a limit that has moved, too.
            pool.rate = pool.rate.map(|rate| rate * (1.0 + self.set.crowd() * (limit / before - 1.0)));
        }
        let start = pool.even(self.set.courier_count).filter(|even| *even * RATE_SPAN > 1.0);
        pool.rate = pool.rate.or(start.map(|even| even * PACE_START));
        if let Outcome::Full { wait: Some(wait) } = outcome {
            pool.wait_until = pool.wait_until.max(now + ns(wait + self.set.tick));
        }
    }

    /// Finds hung calls and moves open breakers on, at the endpoints of one destination.
    fn check_health(&mut self, dest: DestinationId) {
        let now = self.now;
        let d = &self.dests[&dest];
        let (held, usual) = (!d.chart.held.is_empty(), d.latency);
        for id in d.endpoints.iter().copied().collect::<Vec<_>>() {
            let pool_waits = self.pools[&self.limit_group_id(id)].wait_until;
            let e = self.endpoints.get_mut(&id).expect("known");
            let hang = sec((HANG_LATENCIES * e.latency.max(usual)).max(HANG_LEAST));
            e.warm_from = e.warm_from.filter(|t| now - t <= ns(self.set.slow_start_duration));
            // Silence: a call much older than usual and no answer since it left. One slow call can trip it,
            // which costs a trial. A courier that stalled hears all its news first: that is no silence.
            let hung = |c: &(Ns, usize)| c.0 != Ns::MIN && now - c.0 > hang && e.last_ok < c.0;
            let waits = e.calls.values().filter(|c| c.0 != Ns::MIN && !hung(c)).map(|c| c.0 + hang + 1).min();
            let trial_lost = |t| e.calls.get(&t).is_none_or(hung);
            match e.breaker {
                Breaker::Closed if e.calls.values().any(hung) => self.open(id, false),
                Breaker::Open if held && e.turn_at.max(pool_waits) <= now => {
                    (e.breaker, e.trial) = (Breaker::HalfOpen, None);
                }
                Breaker::HalfOpen if e.trial.is_some_and(trial_lost) => self.open(id, true),
                _ => {}
            }
            let e = &self.endpoints[&id];
            let turn = (e.breaker == Breaker::Open && held).then_some(e.turn_at.max(pool_waits));
            self.later(dest, waits.unwrap_or(NEVER).min(turn.unwrap_or(NEVER)));
        }
    }

    /// Ends a message undelivered: refused if that is known to be harmless, else given up as failed.
    fn answer(&mut self, id: MessageId, out: &mut Vec<Action>) {
        self.miss(id);
        let m = &self.messages[&id];
        let harmless = match self.set.classes[m.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { scope: KeyScope::All, .. } => m.flight.is_none(),
            _ => m.flight.is_none() && m.ran.is_none(),
        };
        let refuse = Action::Refuse { message: id, wait: Some(self.come_again(m.dest)) };
        out.push(if harmless { refuse } else { Action::Fail { message: id } });
        self.close(id);
    }

    /// When a refused client may come again: what is held there has had time to go, and a wait is over.
    fn come_again(&self, dest: DestinationId) -> Duration {
        let (held, pools) = (self.dests[&dest].chart.held.len(), self.ready_pools(dest));
        let wait = pools.iter().map(|p| self.pools[p].wait_until).min().unwrap_or(0) - self.now;
        span(wait.max(self.sigma(dest) * held as Ns).max(sec(FULL_PAUSE)))
    }

    fn close(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        self.live -= usize::from(!std::mem::replace(&mut m.over, true));
        let (dest, due, out) = (m.dest, m.due, m.flight.is_some());
        self.dest(dest).chart.remove(due, id);
        self.touched.insert(dest);
        if !out && let Some(m) = self.messages.remove(&id) {
            self.dest(dest).members.remove(&id);
            if let Some(line) = m.key.and_then(|key| self.turns.get_mut(&key)) {
                line.retain(|other| *other != id);
                self.touched.extend(line.front().map(|next| self.messages[next].dest));
            }
            self.turns.retain(|_, line| !line.is_empty());
            self.rests.retain(|_, (_, until)| *until > self.now);
        }
    }
}

impl Settings {
    /// Time over which couriers spread a call to discovery that all may make at once: at a start, and after a
    /// watch has ended or was turned away. A fleet that asks again at once keeps its queue so long that each
    /// call is out of time when its turn comes, and none is ever served. Hurts where one courier restarts
    /// alone: it learns of what has changed meanwhile that much later.
    pub fn list_retry_spread(&self) -> Duration {
        Duration::from_secs_f64(LIST_ALL * self.crowd())
    }

    /// Share of the couriers beyond those few that may act in the same moment: what one does alone adds up.
    fn crowd(&self) -> f64 {
        (1.0 - FEW / self.courier_count.max(1) as f64).max(0.0)
    }
}

/// How long until the list is asked for again: a pause, s, with jitter, and a part of the fleet's spread.
pub fn list_retry_delay(pause: f64, spread: Duration, rng: &mut impl Rng) -> Duration {
    Duration::from_secs_f64(pause * (0.5 + rng.random::<f64>())) + spread.mul_f64(rng.random())
}

/// Pause between new connections after so many that were not to be had, s.
fn connect_pause(times: u32) -> f64 {
    if times == 0 { 0.0 } else { (FULL_PAUSE * 2f64.powi(times as i32 - 1)).min(FULL_LONGEST) }
}

impl Doubt {
    /// What is left of it; it halves in a fixed time.
    fn now(self, now: Ns) -> f64 {
        self.share * 0.5f64.powf(secs(now - self.at) / DOUBT_HALVES)
    }

    fn moved(self, now: Ns, gain: f64, to: f64) -> Self {
        let share = self.now(now);
        Doubt { share: share + gain * (to - share), at: now }
    }
}

impl Pool {
    fn even(&self, couriers: usize) -> Option<f64> {
        self.limit.map(|l| l / couriers.max(1) as f64)
    }

    /// Tokens now. Without a pace the bucket stays full: calls sent then are no debt later.
    fn filled_up(&self, now: Ns) -> f64 {
        let Some(rate) = self.rate else { return 1.0 };
        (self.tokens + rate * secs(now - self.filled)).min((rate * PACE_SPAN).max(1.0))
    }

    fn take(&mut self, now: Ns) {
        self.tokens = self.filled_up(now) - 1.0;
        self.filled = now;
    }

    fn accepted(&mut self, now: Ns, set: &Settings, left: f64) {
        let (couriers, crowd) = (set.courier_count, set.crowd());
        self.fulls = 0;
        self.flow = self.flow * (-secs(now - self.flow_at) / FLOW_SPAN).exp() + 1.0 / FLOW_SPAN;
        self.flow_at = now;
        self.oks.push_back(now);
        self.oks.retain(|t| *t > now - sec(RATE_SPAN));
        let span = secs(now - *self.first_ok.get_or_insert(now)).clamp(PACE_SPAN, RATE_SPAN);
        self.peak = self.peak.max((self.oks.len() - 1) as f64 / span);
        // AIMD: grows only while it is the pace that holds messages back.
        if std::mem::take(&mut self.starved) {
            let step = self.even(couriers).map_or(self.peak, |even| even.max(PACE_LEAST));
            let top = |r: f64| self.limit.unwrap_or(f64::INFINITY).max(r);
            // In a fleet the allowance shows whether others leave room, not this courier's own call.
            let spare = PACE_SPARE * (left - ALLOWANCE_HALF).max(0.0);
            let grow = PACE_GROW * (1.0 - crowd) + crowd * spare;
            self.rate = self.rate.map(|r| (r + grow * step).min(top(r)));
        }
        if let Some(even) = self.even(couriers).filter(|_| crowd > 0.0 && left < ALLOWANCE_LOW) {
            self.rate = self.rate.map(|r| (r * PACE_CUT).max(even * PACE_FLEET).min(r));
        }
    }

    fn cut(&mut self, now: Ns, set: &Settings) {
        let (couriers, crowd) = (set.courier_count, set.crowd());
        if now - self.cut_at < sec(PACE_SPAN) && self.cut_at > 0 {
            return;
        }
        self.cut_at = now;
        let blind = (self.peak * PACE_FLOOR_BLIND).max(1.0 / RATE_SPAN);
        let floor = PACE_FLOOR + crowd * (PACE_FLEET - PACE_FLOOR);
        let floor = self.even(couriers).map_or(blind, |even| (even * floor).max(PACE_LEAST * (1.0 - crowd)));
        let from = self.rate.unwrap_or(self.peak.max(self.even(couriers).unwrap_or(0.0)) / PACE_CUT);
        (self.tokens, self.filled) = (self.filled_up(now), now);
        self.rate = Some((from * PACE_CUT).max(floor));
    }
}

impl Chart {
    pub(crate) fn add(&mut self, due: Ns, id: MessageId) {
        self.held.insert((due, id));
        if !self.stale {
            self.place(due);
        }
    }

    /// Gives `due` its interval: between segments [due - sigma, due], merged with the segment
    /// before where they touch; inside a segment, its left end moves by sigma. Merges cascade.
    fn place(&mut self, due: Ns) {
        let sigma = self.sigma;
        let mut at = self.segments.partition_point(|s| s.1 < due);
        match self.segments.get_mut(at) {
            Some(s) if s.0 <= due => s.0 -= sigma,
            _ => self.segments.insert(at, (due - sigma, due)),
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

    pub(crate) fn resize(&mut self, sigma: Ns) {
        self.stale |= std::mem::replace(&mut self.sigma, sigma) != sigma;
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
        let unmet = |(n, h): (usize, &(Ns, _))| now + self.sigma * (n as Ns + 1) > h.0;
        let n = self.held.iter().enumerate().position(unmet)?;
        Some(self.held.iter().take(n + 1).map(|h| h.1).collect())
    }
}
