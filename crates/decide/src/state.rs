//! The scheduler's state as plain data. Nothing here decides anything: [`crate::scheduler`] sets and reads
//! it.

use crate::interface::*;
use crate::membership_lease::MembershipLease;
use crate::occupancy_chart::OccupancyChart;
pub(crate) use crate::time::*;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An attempt without an outcome yet.
pub(crate) struct InFlightAttempt {
    pub(crate) endpoint: EndpointId,
    /// The endpoint's incarnation when it was sent.
    pub(crate) incarnation: u32,
    /// The endpoint's zone when it was sent.
    pub(crate) zone: usize,
    /// The call that carries it; other messages may share it.
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
    pub(crate) sent_at: Ns,
    /// No idle connection was available, so it opens one.
    pub(crate) opens_connection: bool,
}

/// An attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: u32,
    pub(crate) zone: usize,
    pub(crate) sent_at: Ns,
}

/// A message that is held or in flight.
#[derive(Default)]
pub(crate) struct Message {
    pub(crate) class: usize,
    /// The tenant or, without tenants, the class.
    pub(crate) fairness_group: usize,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<String>,
    pub(crate) aim_at: Ns,
    pub(crate) deadline: Ns,
    /// Deadline on the chart: the aim, or the final deadline once the aim is given up.
    pub(crate) chart_deadline: Ns,
    pub(crate) past_aim: bool,
    pub(crate) counted_as_missed: bool,
    pub(crate) attempts: u32,
    /// Those of its attempts that an endpoint refused.
    pub(crate) refusals: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// First attempt that may have run.
    pub(crate) may_have_run: Option<PossibleRun>,
    pub(crate) last_endpoint: Option<EndpointId>,
    /// End of the retry backoff.
    pub(crate) not_before: Ns,
    /// The final answer was given; kept until its attempt has an outcome.
    pub(crate) finished: bool,
}

impl Message {
    /// A message with its recorded attempts, of which one may have run; without any for a new one.
    pub(crate) fn from_history(history: &Past, now: Ns) -> Self {
        let may_have_run = history.ran.map(|r| PossibleRun {
            endpoint: r.endpoint,
            incarnation: 0,
            zone: r.zone,
            sent_at: now - ns(r.ago),
        });
        Message { attempts: history.attempts, may_have_run, ..Message::default() }
    }

    /// The attempts that count against the limit.
    pub(crate) fn counted_attempts(&self) -> u32 {
        self.attempts - self.refusals
    }
}

/// State of an endpoint's circuit breaker.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// Smoothed share of failed calls, as of its last update; decays from then on.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureRatio {
    pub(crate) ratio: f64,
    pub(crate) updated_at: Ns,
}

/// An endpoint of the list, with its health and connections.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) ready: bool,
    /// Nothing is sent to it while the lease on the list has expired.
    pub(crate) requires_lease: bool,
    /// When it left the list.
    pub(crate) gone_since: Option<Ns>,
    /// How often it has returned to the list: each time it may be another process, without the memory of the one
    /// before.
    pub(crate) incarnation: u32,
    /// Smoothed latency in seconds; 0 before the first answer.
    pub(crate) latency: f64,
    /// Calls in flight: send time (`Ns::MIN` once a first outcome is known) and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// When each idle connection was last used.
    pub(crate) idle_connections: Vec<Ns>,
    /// No new connection is opened before this.
    pub(crate) next_connect_at: Ns,
    /// Failed connects less successful ones, at least 0.
    pub(crate) connect_failures: u32,
    pub(crate) last_connect_failure: Ns,
    /// Recent failures.
    pub(crate) failure_ratio: FailureRatio,
    /// Recent failures of calls that may have run.
    pub(crate) uncertain_failure_ratio: FailureRatio,
    pub(crate) last_success: Ns,
    /// Refusals since the last success, without those of calls that were sent before the latest one.
    pub(crate) consecutive_refusals: u32,
    pub(crate) last_refusal: Ns,
    /// End of the backoff after a refusal, or of the wait stated with one.
    pub(crate) refused_until: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker admits a trial, if a message is held.
    pub(crate) next_trial_at: Ns,
    /// Slow start follows the outage, if that lasts long enough.
    pub(crate) slow_start_pending: bool,
    /// The latest call, which is the trial of a half-open breaker.
    pub(crate) trial: Option<u64>,
    /// Start of the slow start; in the future while a long wait lasts.
    pub(crate) slow_start_since: Option<Ns>,
    /// Start of the outage; the time between trials grows from then on.
    pub(crate) unhealthy_since: Ns,
    /// No call before this during slow start.
    pub(crate) next_call_at: Ns,
    /// This courier's random preference among equal endpoints, 0 to 1; less is preferred.
    pub(crate) tie_break: f64,
}

/// Rate and waits of one limit: of a destination, or of one endpoint where routes are separate.
#[derive(Default)]
pub(crate) struct LimitGroup {
    /// End of a stated wait or of the backoff after a rejection.
    pub(crate) wait_until: Ns,
    /// Refill rate of the token bucket in calls per second; None for no limit.
    pub(crate) rate: Option<f64>,
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Ns,
    pub(crate) consecutive_rejections: u32,
    pub(crate) last_decrease: Ns,
    /// The limit in calls per second, from reports or from the list.
    pub(crate) limit: Option<f64>,
    /// Times of the calls accepted in the last rate window.
    pub(crate) accepted_at: VecDeque<Ns>,
    pub(crate) first_accepted_at: Option<Ns>,
    pub(crate) peak_rate: f64,
    /// The rate has held a message back since the last accepted call.
    pub(crate) rate_limited: bool,
    /// Accepted calls per second, smoothed.
    pub(crate) accepted_rate: f64,
    pub(crate) accepted_rate_at: Ns,
}

/// Calls started in this turn, with the number of messages that may still join each.
pub(crate) type OpenBundles = BTreeMap<EndpointId, (u64, usize)>;

/// A destination with its held messages and load.
#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) endpoints: BTreeSet<EndpointId>,
    pub(crate) chart: OccupancyChart,
    /// Its messages, held and in flight.
    pub(crate) messages: BTreeSet<MessageId>,
    /// When the last check asked for another.
    pub(crate) next_check: Ns,
    /// Its place on the agenda.
    pub(crate) scheduled_check: Ns,
    /// Calls in flight.
    pub(crate) calls: usize,
    /// Smoothed latency in seconds.
    pub(crate) latency: f64,
    /// For each recent call, whether it failed or was slow.
    pub(crate) recent_failures: VecDeque<bool>,
}

/// Messages of a fairness group and those that missed their aim, both decayed. Their quotient is the miss
/// ratio.
#[derive(Clone, Copy, Default)]
pub(crate) struct MissCounts {
    pub(crate) misses: f64,
    pub(crate) total: f64,
    pub(crate) updated_at: Ns,
}

/// The delivery scheduler of one courier: events in, actions out.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    /// Time of the first call, from which `now` counts.
    pub(crate) origin: Option<Time>,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    /// Number of messages without a final answer.
    pub(crate) unfinished: usize,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) limit_groups: BTreeMap<LimitGroupId, LimitGroup>,
    /// Messages of ordered classes by key, in order of arrival.
    pub(crate) key_queues: BTreeMap<String, VecDeque<MessageId>>,
    /// Keys with an attempt that may still be running: its message, and until when the others wait.
    pub(crate) key_cooldowns: BTreeMap<String, (MessageId, Ns)>,
    pub(crate) miss_counts: Vec<MissCounts>,
    pub(crate) calls_in_flight: usize,
    pub(crate) next_call: u64,
    /// Token and time of the pending timer.
    pub(crate) timer: Option<(u64, Ns)>,
    pub(crate) next_token: u64,
    /// Destinations to check in this turn.
    pub(crate) dirty: BTreeSet<DestinationId>,
    /// Destinations to check later.
    pub(crate) agenda: BTreeSet<(Ns, DestinationId)>,
    /// When a connect last failed, for each kind of destination, in seconds.
    pub(crate) connections_scarce_at: Vec<f64>,
    /// Destinations with messages that wait for a call slot.
    pub(crate) waiting_for_slot: BTreeSet<DestinationId>,
    /// Endpoints with a call that ended: its connection is idle unless another call was sent on it.
    pub(crate) maybe_idle: BTreeSet<EndpointId>,
    pub(crate) next_stuck_check: Ns,
    /// A list arrived in this batch: endpoints that left it long ago are forgotten at the batch's end.
    pub(crate) list_changed: bool,
    pub(crate) membership: MembershipLease,
    /// When to request the list next.
    pub(crate) list_request_at: Option<Ns>,
    /// Backoff in seconds after a failed list request.
    pub(crate) list_backoff: f64,
}

impl Scheduler {
    pub(crate) fn empty(settings: Settings, seed: u64) -> Self {
        let groups = if settings.tenant_count > 0 { settings.tenant_count } else { settings.classes.len() };
        Scheduler {
            rng: SmallRng::seed_from_u64(seed),
            origin: None,
            now: 0,
            messages: BTreeMap::new(),
            unfinished: 0,
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            limit_groups: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            key_cooldowns: BTreeMap::new(),
            miss_counts: vec![MissCounts::default(); groups],
            calls_in_flight: 0,
            next_call: 0,
            timer: None,
            next_token: 0,
            dirty: BTreeSet::new(),
            agenda: BTreeSet::new(),
            connections_scarce_at: vec![f64::MIN; settings.kinds.len()],
            waiting_for_slot: BTreeSet::new(),
            maybe_idle: BTreeSet::new(),
            next_stuck_check: NEVER,
            list_changed: false,
            membership: MembershipLease::new(settings.membership_lease_duration),
            list_request_at: settings.subscription_required.then_some(0),
            list_backoff: 0.0,
            settings,
        }
    }
}

impl Endpoint {
    pub(crate) fn mark_gone(&mut self, now: Ns) {
        self.ready = false;
        self.gone_since.get_or_insert(now);
    }

    /// Opens its breaker, and notes the start of the outage unless one is under way.
    pub(crate) fn open_breaker(&mut self, now: Ns, slow_start: bool) {
        let closed = self.breaker == Breaker::Closed;
        if closed && self.slow_start_since.is_none() {
            self.unhealthy_since = now;
        }
        self.slow_start_pending = slow_start || (self.slow_start_pending && !closed);
        self.slow_start_since = self.slow_start_since.filter(|_| !self.slow_start_pending);
        self.breaker = Breaker::Open;
    }

    /// Applies its state in the list.
    pub(crate) fn set_state(&mut self, state: EndpointState, now: Ns) {
        match state {
            EndpointState::Gone => self.mark_gone(now),
            _ => {
                self.ready = state == EndpointState::Ready;
                // A complete list marks all endpoints gone before it names those that are there.
                let was_gone = self.gone_since.take().is_some_and(|since| since < now);
                self.incarnation += u32::from(was_gone);
            }
        }
    }
}

impl Scheduler {
    /// Replaces the settings. Classes and kinds keep their numbers; new ones are appended.
    ///
    /// # Errors
    /// Names the first setting that is not valid; nothing is changed then.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), String> {
        settings.check()?;
        if settings.classes.len() < self.settings.classes.len()
            || settings.kinds.len() < self.settings.kinds.len()
        {
            return Err("settings: a class or kind that may be in use was removed".to_owned());
        }
        if settings.tenant_count == 0 {
            self.miss_counts.resize(settings.classes.len(), MissCounts::default());
        }
        self.connections_scarce_at.resize(settings.kinds.len(), f64::MIN);
        self.membership.set_duration(settings.membership_lease_duration);
        self.settings = settings;
        Ok(())
    }

    /// Sets the limit of an endpoint's limit group, in calls per second. Ignores unknown endpoints.
    pub fn set_limit(&mut self, endpoint: EndpointId, limit: f64) {
        if !self.endpoints.contains_key(&endpoint) {
            return;
        }
        let id = self.limit_group_id(endpoint);
        if let Some(group) = self.limit_groups.get_mut(&id) {
            group.limit = Some(limit);
            group.rate = group.rate.map(|rate| rate.min(limit));
        }
    }

    /// Drops endpoints that left the list long ago and that no call, wait or message refers to; for the end of
    /// a batch, when no event or check of it is left that may name one. Where
    /// endpoints are replaced all day, the tables would otherwise grow and each choice would scan ever more
    /// of them.
    pub(crate) fn forget_gone_endpoints(&mut self, out: &mut Vec<Action>) {
        let (now, span) = (self.now, ns(self.settings.slow_start_duration));
        let is_old = |e: &Endpoint| {
            e.gone_since.is_some_and(|t| now - t > span) && e.calls.is_empty() && e.refused_until <= now
        };
        let mut gone: BTreeSet<_> =
            self.endpoints.iter().filter(|(_, e)| is_old(e)).map(|(id, _)| *id).collect();
        if gone.is_empty() {
            return;
        }
        for m in self.messages.values() {
            let referenced = [
                m.last_endpoint,
                m.may_have_run.map(|run| run.endpoint),
                m.in_flight.as_ref().map(|f| f.endpoint),
            ];
            gone.retain(|id| !referenced.contains(&Some(*id)));
        }
        for id in gone {
            let (dest, route) = self.limit_group_id(id);
            if self.limit_groups.get(&(dest, route)).is_some_and(|p| p.wait_until > now) {
                continue;
            }
            if route.is_some() {
                self.limit_groups.remove(&(dest, route));
            }
            self.endpoints.remove(&id);
            self.destinations.get_mut(&dest).map(|d| d.endpoints.remove(&id));
            out.push(Action::ForgetEndpoint { endpoint: id });
        }
    }
}

impl Settings {
    /// Checks the settings. The error names the first that is not valid.
    pub(crate) fn check(&self) -> Result<(), String> {
        let classes = self.classes.iter().flat_map(|c| [c.worth, c.late_share, c.aim_stretch]);
        let figures = [self.slow_start_min_share, self.overload_multiple, self.handshake_cost].into_iter();
        let positive = |x: f64| x >= 0.0;
        for (good, what) in [
            (self.max_calls_in_flight > 0, "no slots"),
            (!self.classes.is_empty() && !self.kinds.is_empty(), "no classes or no kinds"),
            (
                self.max_messages > 0 && self.max_attempts > 0,
                "the maximum number of messages or attempts is 0",
            ),
            (
                figures.chain(classes).chain(self.zone_fees.clone()).all(positive),
                "a number is negative or not a number",
            ),
        ] {
            if !good {
                return Err(format!("settings: {what}"));
            }
        }
        Ok(())
    }
}
