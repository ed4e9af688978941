//! Simulates a fleet of schedulers in virtual time: endpoints with few connections, a shared limit that
//! rejected calls use up, and a load drawn from a seed. It only counts; each test states what is allowed.

use super::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time step of the simulation, and the schedulers' tick.
pub const STEP: Duration = Duration::from_millis(5);
/// Network latency between courier and endpoint, one way.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(20);
/// Time that a call takes at the endpoint.
const PROCESSING_TIME: Duration = Duration::from_millis(80);
/// Interval at which an endpoint refreshes its report.
const REPORT_INTERVAL_SECONDS: f64 = 0.4;

/// An endpoint. Where routes are separate each has its own limit, else the destination's first endpoint has
/// it.
pub struct Server {
    pub entry: EndpointEntry,
    /// Limit in calls per second.
    pub limit: f64,
    /// Burst that it accepts after a pause, in seconds of its limit.
    pub burst_seconds: f64,
    /// Maximum number of connections, including idle ones.
    pub max_connections: usize,
    /// Connects fail.
    pub unreachable: bool,
    /// Share of the calls that it refuses, drawn at random. They don't use up the limit.
    pub refusal_share: f64,
}

/// Time, courier and event; for the end of a call also its endpoint and whether its connection is kept.
type ScheduledEvent = (Duration, usize, Event, Option<(usize, bool)>);

#[derive(Default)]
struct Bucket {
    level: f64,
    report: f64,
}

/// What happened since the counts were last reset.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub submitted: usize,
    pub in_aim: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub calls: usize,
    pub rejected: usize,
    /// Calls refused by one endpoint.
    pub endpoint_refusals: usize,
    /// Time from submission to delivery of each delivered message.
    pub delivery_times: Vec<Duration>,
    pub connect_failures: usize,
    pub connections_opened: usize,
    /// Maximum number of connections open at one endpoint.
    pub max_open_connections: usize,
}

pub struct Simulation {
    pub fleet: Vec<Driver>,
    pub servers: Vec<Server>,
    /// New messages per second for each destination, from all clients together.
    pub load: Vec<(u64, f64)>,
    counts: Counts,
    set: Settings,
    buckets: Vec<Bucket>,
    /// By courier and endpoint: since when each idle connection is idle.
    idle_connections: Vec<Vec<Vec<Duration>>>,
    busy_connections: Vec<usize>,
    scheduled: Vec<ScheduledEvent>,
    accepted_at: Vec<std::collections::BTreeMap<u64, (Duration, usize)>>,
    rng: SmallRng,
    next: u64,
    started_at: Duration,
}

impl Simulation {
    /// Prints the seed, with which a failure can be reproduced.
    pub fn new(mut set: Settings, couriers: usize, servers: Vec<Server>, seed: u64) -> Self {
        println!("a fleet of {couriers}, seed {seed}");
        (set.courier_count, set.weight_kind, set.tick) = (couriers, WeightKind::Nominal, STEP);
        let listed: Vec<_> = servers.iter().map(|s| EndpointEntry { weight: s.limit, ..s.entry }).collect();
        let fleet: Vec<_> = (0..couriers)
            .map(|n| Driver::seeded(set.clone(), listed.clone(), seed * 1000 + n as u64))
            .collect();
        let full = |s: &Server| Bucket { level: s.burst_seconds * s.limit, report: 1.0 };
        let empty_update = |n| {
            (
                fleet[0].now + ONE_WAY_LATENCY,
                n,
                Event::EndpointList { complete: false, entries: Vec::new() },
                None,
            )
        };
        Simulation {
            started_at: fleet[0].now,
            buckets: servers.iter().map(full).collect(),
            idle_connections: vec![vec![Vec::new(); servers.len()]; couriers],
            busy_connections: vec![0; servers.len()],
            // A few couriers request the list before the simulation starts to observe their actions.
            scheduled: (0..couriers).map(empty_update).filter(|_| couriers <= 4).collect(),
            accepted_at: vec![Default::default(); couriers],
            rng: SmallRng::seed_from_u64(seed),
            next: 0,
            load: Vec::new(),
            counts: Counts::default(),
            servers,
            set,
            fleet,
        }
    }

    /// The server whose token bucket this one uses.
    fn limit_owner(&self, server: usize) -> usize {
        let of = &self.servers[server].entry;
        if self.set.kinds[of.kind].separate_routes {
            return server;
        }
        self.servers.iter().position(|s| s.entry.destination == of.destination).unwrap_or(server)
    }

    fn open_connections(&self, server: usize) -> usize {
        self.busy_connections[server] + self.idle_connections.iter().map(|c| c[server].len()).sum::<usize>()
    }

    /// Kills and restarts these couriers with the list that they had. Their messages are handed in again at
    /// once, as from their journal; answers on the way to them are lost.
    pub fn restart(&mut self, which: std::ops::Range<usize>, seed: u64) {
        let entry = |s: &Server| EndpointEntry { weight: s.limit, ..s.entry };
        let listed: Vec<_> = self.servers.iter().map(entry).collect();
        for n in which {
            let now = self.fleet[n].now;
            for (_, _, _, finished_call) in self.scheduled.extract_if(.., |c| c.1 == n) {
                if let Some((server, true)) = finished_call {
                    self.busy_connections[server] -= 1;
                }
            }
            self.idle_connections[n].iter_mut().for_each(Vec::clear);
            let mut drive = Driver::started_at(self.set.clone(), listed.clone(), seed * 1000 + n as u64, now);
            let before = std::mem::take(&mut self.fleet[n].log);
            drive.log.splice(..0, before);
            self.fleet[n] = drive;
            for (id, (at, class)) in self.accepted_at[n].clone() {
                let destination = self.servers[0].entry.destination.0;
                let left = (at + self.set.classes[class].deadline).saturating_sub(now);
                self.scheduled.push((now, n, accepted(id, class, destination, left), None));
            }
        }
    }

    /// Hands in messages for a destination at random couriers.
    pub fn submit(&mut self, destination: u64, class: usize, count: usize) {
        for _ in 0..count {
            let n = self.rng.random_range(0..self.fleet.len());
            self.next += 1;
            self.counts.submitted += 1;
            self.accepted_at[n].insert(self.next, (self.fleet[n].now, class));
            let event = accepted(self.next, class, destination, self.set.classes[class].deadline);
            self.scheduled.push((self.fleet[n].now, n, event, None));
        }
    }

    /// List requests per second, from second `first` on.
    pub fn list_requests(&self, first: usize) -> Vec<usize> {
        let asks = self.fleet.iter().flat_map(|d| &d.log);
        let asks = asks.filter(|(_, a)| matches!(a, Action::Subscribe { .. }));
        let mut seconds = Vec::new();
        for (at, _) in asks {
            let second = (*at - self.started_at).as_secs() as usize;
            seconds.resize(seconds.len().max(second + 1), 0);
            seconds[second] += 1;
        }
        seconds.split_off(first.min(seconds.len()))
    }

    /// Number of messages without a final answer.
    pub fn unfinished(&self) -> usize {
        self.accepted_at.iter().map(|t| t.len()).sum()
    }

    /// Advances time and returns the counts for it.
    pub fn pass(&mut self, span: Duration) -> Counts {
        self.counts = Counts::default();
        let end = self.fleet[0].now + span;
        while self.fleet[0].now < end {
            self.step();
        }
        self.counts.clone()
    }

    fn step(&mut self) {
        let step = STEP.as_secs_f64();
        for (destination, rate) in self.load.clone() {
            let due = rate * step;
            let count = due as usize + usize::from(self.rng.random::<f64>() < due.fract());
            self.submit(destination, (self.next % 3) as usize, count);
        }
        let now = self.fleet[0].now + STEP;
        let refresh = ((now - self.started_at).as_secs_f64() / REPORT_INTERVAL_SECONDS).fract()
            < step / REPORT_INTERVAL_SECONDS;
        for (server, bucket) in self.servers.iter().zip(&mut self.buckets) {
            let most = server.burst_seconds * server.limit;
            bucket.level = (bucket.level + server.limit * step).min(most);
            if refresh {
                bucket.report = (bucket.level / most).max(0.0);
            }
        }
        for n in 0..self.fleet.len() {
            let mut actions = self.fleet[n].pass(STEP);
            let mut events = Vec::new();
            for (_, _, event, finished_call) in self.scheduled.extract_if(.., |c| c.1 == n && c.0 <= now) {
                if let Some((server, kept)) = finished_call {
                    self.busy_connections[server] -= usize::from(kept);
                    self.idle_connections[n][server].extend(kept.then_some(now));
                }
                events.push(event);
            }
            if !events.is_empty() {
                self.attempt_ended(n, &events);
                actions.extend(self.fleet[n].feed(&events));
            }
            for idle_connections in &mut self.idle_connections[n] {
                idle_connections.retain(|since| now - *since < self.set.keepalive);
            }
            for action in actions {
                self.act(n, now, action);
            }
        }
        for server in 0..self.servers.len() {
            self.counts.max_open_connections =
                self.counts.max_open_connections.max(self.open_connections(server));
        }
    }

    fn attempt_ended(&mut self, n: usize, events: &[Event]) {
        for event in events {
            let Event::AttemptEnded(attempt_ended) = event else { continue };
            match attempt_ended.outcome {
                Outcome::Delivered => {
                    // It may have been given up while its call was in flight.
                    let Some((at, class)) = self.accepted_at[n].remove(&attempt_ended.message.0) else {
                        continue;
                    };
                    self.counts.delivery_times.push(self.fleet[n].now - at);
                    let in_aim = self.fleet[n].now - at <= self.set.classes[class].aim;
                    *(if in_aim { &mut self.counts.in_aim } else { &mut self.counts.late }) += 1;
                }
                Outcome::Full { .. } => self.counts.rejected += 1,
                Outcome::Refused { .. } => self.counts.endpoint_refusals += 1,
                Outcome::ConnectFailed => self.counts.connect_failures += 1,
                _ => {}
            }
        }
    }

    fn act(&mut self, n: usize, now: Duration, action: Action) {
        match action {
            Action::Send { message, endpoint, .. } => self.call(n, now, message.0, endpoint.0 as usize),
            Action::CloseIdleConnections { endpoint } => {
                self.idle_connections[n][endpoint.0 as usize].clear()
            }
            Action::Refuse { message, .. } => {
                self.counts.refused += usize::from(self.accepted_at[n].remove(&message.0).is_some());
            }
            Action::Fail { message } => {
                self.counts.failed += usize::from(self.accepted_at[n].remove(&message.0).is_some());
            }
            Action::Subscribe { .. } => {
                let empty_update = Event::EndpointList { complete: false, entries: Vec::new() };
                self.scheduled.push((now + ONE_WAY_LATENCY * 2, n, empty_update, None));
            }
            _ => {}
        }
    }

    fn call(&mut self, n: usize, now: Duration, message: u64, server: usize) {
        self.counts.calls += 1;
        let opens_connection = self.idle_connections[n][server].pop().is_none();
        // Nothing is drawn where nothing is refused.
        let refusal_share = self.servers[server].refusal_share;
        let refused = refusal_share > 0.0 && self.rng.random::<f64>() < refusal_share;
        let (open, limit_owner) = (self.open_connections(server), self.limit_owner(server));
        let mut end = |elapsed: Duration, outcome, report, kept| {
            let endpoint = EndpointId(server as u32);
            let is_final = outcome == Outcome::Delivered;
            let attempt_ended =
                AttemptEnded { message: MessageId(message), endpoint, outcome, elapsed, is_final, report };
            self.scheduled.push((now + elapsed, n, Event::AttemptEnded(attempt_ended), Some((server, kept))));
        };
        if self.servers[server].unreachable
            || (opens_connection && open >= self.servers[server].max_connections)
        {
            return end(ONE_WAY_LATENCY * 2, Outcome::ConnectFailed, None, false);
        }
        self.busy_connections[server] += 1;
        self.counts.connections_opened += usize::from(opens_connection);
        let opening = if opens_connection { ONE_WAY_LATENCY * 2 } else { Duration::ZERO };
        if refused {
            return end(opening + ONE_WAY_LATENCY * 2, Outcome::Refused { wait: None }, None, true);
        }
        let bucket = &mut self.buckets[limit_owner];
        let report =
            Some(LimitReport { remaining_share: bucket.report, limit: self.servers[limit_owner].limit });
        let room = bucket.level >= 1.0;
        // A rejected call uses up the limit, too.
        bucket.level -= 1.0;
        match room {
            true => end(opening + ONE_WAY_LATENCY * 2 + PROCESSING_TIME, Outcome::Delivered, report, true),
            false => end(opening + ONE_WAY_LATENCY * 2, Outcome::Full { wait: None }, report, true),
        }
    }
}
