//! What the decision module remembers, as plain data. Nothing here decides anything: each figure is
//! set and read in [`crate::scheduler`].

use crate::interface::*;
use crate::membership_lease::MembershipLease;
pub(crate) use crate::time::*;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) struct InFlightAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
    pub(crate) sent_at: Ns,
    /// It had to open a connection.
    pub(crate) opens_connection: bool,
}

#[derive(Default)]
pub(crate) struct Message {
    pub(crate) class: usize,
    pub(crate) fairness_group: usize,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<String>,
    pub(crate) aim_at: Ns,
    pub(crate) deadline: Ns,
    /// Deadline on the chart: the aim, or the end once set back.
    pub(crate) chart_deadline: Ns,
    pub(crate) past_aim: bool,
    pub(crate) counted_as_missed: bool,
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// First attempt that may have run: its endpoint, zone and send time.
    pub(crate) may_have_run: Option<(EndpointId, usize, Ns)>,
    pub(crate) last_endpoint: Option<EndpointId>,
    /// Not sent again before this: its own backoff.
    pub(crate) not_before: Ns,
    /// The final answer is out; kept until its attempt has an outcome.
    pub(crate) finished: bool,
}

impl Message {
    /// What is known of a message at the start: for a resumed one its attempts, and the one that may have run.
    pub(crate) fn from_history(history: &Past, now: Ns) -> Self {
        let may_have_run = history.ran.map(|r| (r.endpoint, r.zone, now - ns(r.ago)));
        Message { attempts: history.attempts, may_have_run, ..Message::default() }
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// The smoothed share of calls that failed, as it was when last noted.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureRatio {
    pub(crate) ratio: f64,
    pub(crate) updated_at: Ns,
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) ready: bool,
    /// Nothing is sent there while the lease on the list has run out.
    pub(crate) requires_lease: bool,
    /// Since when the list has it no more.
    pub(crate) gone_since: Option<Ns>,
    pub(crate) latency: f64,
    /// Calls out: when sent and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// When idle connections were last used.
    pub(crate) idle_connections: Vec<Ns>,
    /// No new connection is tried before this; how many were not to be had, less those that were; the last.
    pub(crate) next_connect_at: Ns,
    pub(crate) connect_failures: u32,
    pub(crate) last_connect_failure: Ns,
    /// Failures of late; and those of them that may have run.
    pub(crate) failure_ratio: FailureRatio,
    pub(crate) uncertain_failure_ratio: FailureRatio,
    pub(crate) last_success: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker lets a trial through, if one is held.
    pub(crate) next_trial_at: Ns,
    /// The outage is confirmed, so slow start follows; the call that is the trial.
    pub(crate) slow_start_pending: bool,
    pub(crate) trial: Option<u64>,
    pub(crate) slow_start_since: Option<Ns>,
    /// Since when it ails, for the spacing of trials; while it warms, nothing before `free_at`.
    pub(crate) unhealthy_since: Ns,
    pub(crate) next_call_at: Ns,
    /// This courier's own leaning among equals, 0 to 1.
    pub(crate) tie_break: f64,
}

/// What shares one limit: a destination, or one endpoint of it where routes are separate.
#[derive(Default)]
pub(crate) struct LimitGroup {
    pub(crate) wait_until: Ns,
    pub(crate) rate: Option<f64>,
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Ns,
    pub(crate) consecutive_rejections: u32,
    pub(crate) last_decrease: Ns,
    /// The limit in calls a second as told by reports, or by the list.
    pub(crate) limit: Option<f64>,
    /// Calls accepted in the last rate span.
    pub(crate) accepted_at: VecDeque<Ns>,
    pub(crate) first_accepted_at: Option<Ns>,
    pub(crate) peak_rate: f64,
    pub(crate) rate_limited: bool,
    /// Calls accepted, decayed.
    pub(crate) accepted_rate: f64,
    pub(crate) accepted_rate_at: Ns,
}

/// Calls begun in this reply that have room for more messages.
pub(crate) type OpenBundles = BTreeMap<EndpointId, (u64, usize)>;

#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) endpoints: BTreeSet<EndpointId>,
    pub(crate) chart: OccupancyChart,
    /// Messages not yet forgotten; when to look here next, as on the agenda.
    pub(crate) messages: BTreeSet<MessageId>,
    pub(crate) next_check: Ns,
    pub(crate) scheduled_check: Ns,
    pub(crate) calls: usize,
    pub(crate) latency: f64,
    pub(crate) recent_failures: VecDeque<bool>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct MissCounts {
    pub(crate) misses: f64,
    pub(crate) total: f64,
    pub(crate) updated_at: Ns,
}

/// The occupancy chart of one destination: what is held, by deadline, and the busy segments that
/// these make when each starts as late as it can.
#[derive(Default)]
pub(crate) struct OccupancyChart {
    pub(crate) held: BTreeSet<(Ns, MessageId)>,
    pub(crate) segments: Vec<(Ns, Ns)>,
    pub(crate) service_time: Ns,
    /// The segments no longer fit what is held and are made anew when next asked for.
    pub(crate) stale: bool,
}

/// The decisions of one courier.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) origin: Option<Time>,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) unfinished: usize,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) limit_groups: BTreeMap<LimitGroupId, LimitGroup>,
    /// Messages of ordered classes by key, in order of arrival; and when a key has rested.
    pub(crate) key_queues: BTreeMap<String, VecDeque<MessageId>>,
    pub(crate) key_cooldowns: BTreeMap<String, (MessageId, Ns)>,
    pub(crate) miss_counts: Vec<MissCounts>,
    pub(crate) calls_in_flight: usize,
    pub(crate) next_call: u64,
    pub(crate) timer: Option<(u64, Ns)>,
    pub(crate) next_token: u64,
    /// Destinations with news, those to look at later, and those that wait for a slot.
    pub(crate) dirty: BTreeSet<DestinationId>,
    pub(crate) agenda: BTreeSet<(Ns, DestinationId)>,
    /// When an endpoint of each kind last had no connection left, s.
    pub(crate) connections_scarce_at: Vec<f64>,
    pub(crate) waiting_for_slot: BTreeSet<DestinationId>,
    /// Endpoints with a call that has ended: its connection is free, unless another call left on it.
    pub(crate) maybe_idle: BTreeSet<EndpointId>,
    pub(crate) next_stuck_check: Ns,
    pub(crate) membership: MembershipLease,
    /// When to ask for the list again.
    pub(crate) list_request_at: Option<Ns>,
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

    /// Takes its standing from the list.
    pub(crate) fn set_state(&mut self, standing: EndpointState, now: Ns) {
        match standing {
            EndpointState::Gone => self.mark_gone(now),
            _ => (self.ready, self.gone_since) = (standing == EndpointState::Ready, None),
        }
    }
}

impl Scheduler {
    /// Other settings from now on. Classes and kinds keep their numbers: new ones come behind.
    ///
    /// # Errors
    /// Names the first figure that cannot be worked with; nothing is changed then.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), String> {
        settings.check()?;
        if settings.classes.len() < self.settings.classes.len()
            || settings.kinds.len() < self.settings.kinds.len()
        {
            return Err("settings: a class or kind that may be in use is gone".to_owned());
        }
        if settings.tenant_count == 0 {
            self.miss_counts.resize(settings.classes.len(), MissCounts::default());
        }
        self.connections_scarce_at.resize(settings.kinds.len(), f64::MIN);
        self.membership.set_term(settings.membership_lease_duration);
        self.settings = settings;
        Ok(())
    }

    /// The limit of an endpoint, or of all that share one with it, is now stated as this, calls a second.
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

    /// Drops the rows of endpoints that are long gone and that no call, wait or message names: where
    /// endpoints are replaced all day, the tables would grow and each choice walk ever more of them.
    pub(crate) fn forget_gone_endpoints(&mut self, out: &mut Vec<Action>) {
        let (now, span) = (self.now, ns(self.settings.slow_start_duration));
        let old = |e: &Endpoint| e.gone_since.is_some_and(|t| now - t > span) && e.calls.is_empty();
        let mut gone: BTreeSet<_> =
            self.endpoints.iter().filter(|(_, e)| old(e)).map(|(id, _)| *id).collect();
        if gone.is_empty() {
            return;
        }
        for m in self.messages.values() {
            let named =
                [m.last_endpoint, m.may_have_run.map(|r| r.0), m.in_flight.as_ref().map(|f| f.endpoint)];
            gone.retain(|id| !named.contains(&Some(*id)));
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
    /// Names the first figure that cannot be worked with.
    pub(crate) fn check(&self) -> Result<(), String> {
        let classes = self.classes.iter().flat_map(|c| [c.worth, c.late_share, c.aim_stretch]);
        let figures = [self.slow_start_min_share, self.overload_multiple, self.handshake_cost].into_iter();
        let positive = |x: f64| x >= 0.0;
        for (good, what) in [
            (self.max_calls_in_flight > 0, "no slots"),
            (!self.classes.is_empty() && !self.kinds.is_empty(), "no classes or no kinds"),
            (self.max_messages > 0 && self.max_attempts > 0, "no room for messages or attempts"),
            (figures.chain(classes).chain(self.zone_fees.clone()).all(positive), "a figure is negative"),
        ] {
            if !good {
                return Err(format!("settings: {what}"));
            }
        }
        Ok(())
    }
}
