//! What the decision module remembers, as plain data. Nothing here decides anything: each figure is
//! set and read in [`crate::scheduler`].

use crate::interface::*;
use crate::membership_lease::MembershipLease;
pub(crate) use crate::time::*;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) struct Flight {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
    pub(crate) sent: Ns,
    /// It had to open a connection.
    pub(crate) opens: bool,
}

#[derive(Default)]
pub(crate) struct Message {
    pub(crate) class: usize,
    pub(crate) group: usize,
    pub(crate) dest: DestinationId,
    pub(crate) key: Option<String>,
    pub(crate) aim: Ns,
    pub(crate) end: Ns,
    /// Deadline on the chart: the aim, or the end once set back.
    pub(crate) due: Ns,
    pub(crate) late: bool,
    pub(crate) missed: bool,
    pub(crate) attempts: u32,
    pub(crate) flight: Option<Flight>,
    /// First attempt that may have run: its endpoint, zone and send time.
    pub(crate) ran: Option<(EndpointId, usize, Ns)>,
    pub(crate) last: Option<EndpointId>,
    /// Not sent again before this: its own backoff.
    pub(crate) not_before: Ns,
    /// The final answer is out; kept until its attempt has an outcome.
    pub(crate) over: bool,
}

impl Message {
    /// What is known of a message at the start: for a resumed one its attempts, and the one that may have run.
    pub(crate) fn with_past(past: &Past, now: Ns) -> Self {
        let ran = past.ran.map(|r| (r.endpoint, r.zone, now - ns(r.ago)));
        Message { attempts: past.attempts, ran, ..Message::default() }
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
pub(crate) struct Doubt {
    pub(crate) share: f64,
    pub(crate) at: Ns,
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) dest: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) ready: bool,
    /// Nothing is sent there while the lease on the list has run out.
    pub(crate) leased: bool,
    /// Since when the list has it no more.
    pub(crate) gone: Option<Ns>,
    pub(crate) latency: f64,
    /// Calls out: when sent and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// When idle connections were last used.
    pub(crate) idle: Vec<Ns>,
    /// No new connection is tried before this; how many were not to be had, less those that were; the last.
    pub(crate) connect_at: Ns,
    pub(crate) unconnected: u32,
    pub(crate) connect_failed: Ns,
    /// Failures of late; and those of them that may have run.
    pub(crate) doubt: Doubt,
    pub(crate) risk: Doubt,
    pub(crate) last_ok: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker lets a trial through, if one is held.
    pub(crate) turn_at: Ns,
    /// The outage is confirmed, so slow start follows; the call that is the trial.
    pub(crate) cold: bool,
    pub(crate) trial: Option<u64>,
    pub(crate) warm_from: Option<Ns>,
    /// Since when it ails, for the spacing of trials; while it warms, nothing before `free_at`.
    pub(crate) ailing_from: Ns,
    pub(crate) free_at: Ns,
    /// This courier's own leaning among equals, 0 to 1.
    pub(crate) lean: f64,
}

/// What shares one limit: a destination, or one endpoint of it where routes are separate.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) wait_until: Ns,
    pub(crate) rate: Option<f64>,
    pub(crate) tokens: f64,
    pub(crate) filled: Ns,
    pub(crate) fulls: u32,
    pub(crate) cut_at: Ns,
    /// The limit in calls a second as told by reports, or by the list.
    pub(crate) limit: Option<f64>,
    /// Calls accepted in the last rate span.
    pub(crate) oks: VecDeque<Ns>,
    pub(crate) first_ok: Option<Ns>,
    pub(crate) peak: f64,
    pub(crate) starved: bool,
    /// Calls accepted, decayed.
    pub(crate) flow: f64,
    pub(crate) flow_at: Ns,
}

/// Calls begun in this reply that have room for more messages.
pub(crate) type Joined = BTreeMap<EndpointId, (u64, usize)>;

#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) endpoints: BTreeSet<EndpointId>,
    pub(crate) chart: Chart,
    /// Messages not yet forgotten; when to look here next, as on the agenda.
    pub(crate) members: BTreeSet<MessageId>,
    pub(crate) next: Ns,
    pub(crate) booked: Ns,
    pub(crate) calls: usize,
    pub(crate) latency: f64,
    pub(crate) recent: VecDeque<bool>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) misses: f64,
    pub(crate) total: f64,
    pub(crate) at: Ns,
}

/// The occupancy chart of one destination: what is held, by deadline, and the busy segments that
/// these make when each starts as late as it can.
#[derive(Default)]
pub(crate) struct Chart {
    pub(crate) held: BTreeSet<(Ns, MessageId)>,
    pub(crate) segments: Vec<(Ns, Ns)>,
    pub(crate) sigma: Ns,
    /// The segments no longer fit what is held and are made anew when next asked for.
    pub(crate) stale: bool,
}

/// The decisions of one courier.
pub struct Scheduler {
    pub(crate) set: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) origin: Option<Time>,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) live: usize,
    pub(crate) dests: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) pools: BTreeMap<LimitGroupId, Pool>,
    /// Messages of ordered classes by key, in order of arrival; and when a key has rested.
    pub(crate) turns: BTreeMap<String, VecDeque<MessageId>>,
    pub(crate) rests: BTreeMap<String, (MessageId, Ns)>,
    pub(crate) tallies: Vec<Tally>,
    pub(crate) calls_out: usize,
    pub(crate) next_call: u64,
    pub(crate) wake: Option<(u64, Ns)>,
    pub(crate) next_token: u64,
    /// Destinations with news, those to look at later, and those that wait for a slot.
    pub(crate) touched: BTreeSet<DestinationId>,
    pub(crate) agenda: BTreeSet<(Ns, DestinationId)>,
    /// When an endpoint of each kind last had no connection left, s.
    pub(crate) tight: Vec<f64>,
    pub(crate) pressed: BTreeSet<DestinationId>,
    /// Endpoints with a call that has ended: its connection is free, unless another call left on it.
    pub(crate) spare: BTreeSet<EndpointId>,
    pub(crate) stuck_at: Ns,
    pub(crate) membership: MembershipLease,
    /// When to ask for the list again.
    pub(crate) ask_at: Option<Ns>,
    pub(crate) ask_pause: f64,
}

impl Scheduler {
    pub(crate) fn blank(set: Settings, seed: u64) -> Self {
        let groups = if set.tenant_count > 0 { set.tenant_count } else { set.classes.len() };
        Scheduler {
            rng: SmallRng::seed_from_u64(seed),
            origin: None,
            now: 0,
            messages: BTreeMap::new(),
            live: 0,
            dests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            pools: BTreeMap::new(),
            turns: BTreeMap::new(),
            rests: BTreeMap::new(),
            tallies: vec![Tally::default(); groups],
            calls_out: 0,
            next_call: 0,
            wake: None,
            next_token: 0,
            touched: BTreeSet::new(),
            agenda: BTreeSet::new(),
            tight: vec![f64::MIN; set.kinds.len()],
            pressed: BTreeSet::new(),
            spare: BTreeSet::new(),
            stuck_at: NEVER,
            membership: MembershipLease::new(set.membership_lease_duration),
            ask_at: set.subscription_required.then_some(0),
            ask_pause: 0.0,
            set,
        }
    }
}

impl Endpoint {
    pub(crate) fn leave(&mut self, now: Ns) {
        self.ready = false;
        self.gone.get_or_insert(now);
    }

    /// Takes its standing from the list.
    pub(crate) fn stand(&mut self, standing: EndpointState, now: Ns) {
        match standing {
            EndpointState::Gone => self.leave(now),
            _ => (self.ready, self.gone) = (standing == EndpointState::Ready, None),
        }
    }
}

impl Scheduler {
    /// Other settings from now on. Classes and kinds keep their numbers: new ones come behind.
    ///
    /// # Errors
    /// Names the first figure that cannot be worked with; nothing is changed then.
    pub fn reconfigure(&mut self, set: Settings) -> Result<(), String> {
        set.check()?;
        if set.classes.len() < self.set.classes.len() || set.kinds.len() < self.set.kinds.len() {
            return Err("settings: a class or kind that may be in use is gone".to_owned());
        }
        if set.tenant_count == 0 {
            self.tallies.resize(set.classes.len(), Tally::default());
        }
        self.tight.resize(set.kinds.len(), f64::MIN);
        self.membership.set_term(set.membership_lease_duration);
        self.set = set;
        Ok(())
    }

    /// The limit of an endpoint, or of all that share one with it, is now stated as this, calls a second.
    pub fn set_limit(&mut self, endpoint: EndpointId, limit: f64) {
        if !self.endpoints.contains_key(&endpoint) {
            return;
        }
        let id = self.limit_group_id(endpoint);
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.limit = Some(limit);
            pool.rate = pool.rate.map(|rate| rate.min(limit));
        }
    }

    /// Drops the rows of endpoints that are long gone and that no call, wait or message names: where
    /// endpoints are replaced all day, the tables would grow and each choice walk ever more of them.
    pub(crate) fn forget(&mut self, out: &mut Vec<Action>) {
        let (now, span) = (self.now, ns(self.set.slow_start_duration));
        let old = |e: &Endpoint| e.gone.is_some_and(|t| now - t > span) && e.calls.is_empty();
        let mut gone: BTreeSet<_> =
            self.endpoints.iter().filter(|(_, e)| old(e)).map(|(id, _)| *id).collect();
        if gone.is_empty() {
            return;
        }
        for m in self.messages.values() {
            let named = [m.last, m.ran.map(|r| r.0), m.flight.as_ref().map(|f| f.endpoint)];
            gone.retain(|id| !named.contains(&Some(*id)));
        }
        for id in gone {
            let (dest, route) = self.limit_group_id(id);
            if self.pools.get(&(dest, route)).is_some_and(|p| p.wait_until > now) {
                continue;
            }
            if route.is_some() {
                self.pools.remove(&(dest, route));
            }
            self.endpoints.remove(&id);
            self.dests.get_mut(&dest).map(|d| d.endpoints.remove(&id));
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
