//! A small world for a fleet of modules in virtual time: endpoints that hold few connections, a limit that many share
//! and that refused calls use up, a load that is drawn from a seed. It counts; each test says what may be.

use super::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The step of the world, also the modules' tick.
pub const STEP: Duration = Duration::from_millis(5);
/// One way between courier and endpoint, and what a call takes there.
const WAY: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(80);
/// How often an endpoint makes the figures of its report anew, s.
const REPORT_EVERY: f64 = 0.4;

/// An endpoint; each has a limit of its own where routes are separate, else the destination's first one has it.
pub struct Server {
    pub entry: EndpointEntry,
    /// Calls a second, and how many of them it takes at once after a pause, s of its limit.
    pub limit: f64,
    pub depth: f64,
    /// Connections that it holds, idle ones counted.
    pub holds: usize,
    /// Nobody gets through.
    pub away: bool,
}

/// When a courier hears what, and of a call at which endpoint and whether its connection is kept.
type News = (Duration, usize, Event, Option<(usize, bool)>);

#[derive(Default)]
struct Bucket {
    level: f64,
    report: f64,
}

/// What happened since the counts were taken last.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub offered: usize,
    pub in_aim: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub calls: usize,
    pub full: usize,
    pub unconnected: usize,
    pub opened: usize,
    /// Most connections open at one endpoint at once.
    pub most_open: usize,
}

pub struct World {
    pub fleet: Vec<Drive>,
    pub servers: Vec<Server>,
    /// First tries a second for each destination, from all clients together.
    pub load: Vec<(u64, f64)>,
    counts: Counts,
    set: Settings,
    buckets: Vec<Bucket>,
    /// By courier and endpoint: idle connections, since when.
    idle: Vec<Vec<Vec<Duration>>>,
    busy: Vec<usize>,
    coming: Vec<News>,
    taken_at: Vec<std::collections::BTreeMap<u64, (Duration, usize)>>,
    rng: SmallRng,
    next: u64,
    begun: Duration,
}

impl World {
    /// The seed is printed: with it a failure plays again.
    pub fn new(mut set: Settings, couriers: usize, servers: Vec<Server>, seed: u64) -> Self {
        println!("a fleet of {couriers}, seed {seed}");
        (set.courier_count, set.weight_kind, set.tick) = (couriers, WeightKind::Nominal, STEP);
        let listed: Vec<_> = servers.iter().map(|s| EndpointEntry { weight: s.limit, ..s.entry }).collect();
        let fleet: Vec<_> = (0..couriers)
            .map(|n| Drive::seeded(set.clone(), listed.clone(), seed * 1000 + n as u64))
            .collect();
        let full = |s: &Server| Bucket { level: s.depth * s.limit, report: 1.0 };
        let nothing_new =
            |n| (fleet[0].now + WAY, n, Event::EndpointList { complete: false, entries: Vec::new() }, None);
        World {
            begun: fleet[0].now,
            buckets: servers.iter().map(full).collect(),
            idle: vec![vec![Vec::new(); servers.len()]; couriers],
            busy: vec![0; servers.len()],
            // Who asks at once does so before the world looks.
            coming: (0..couriers).map(nothing_new).filter(|_| couriers <= 4).collect(),
            taken_at: vec![Default::default(); couriers],
            rng: SmallRng::seed_from_u64(seed),
            next: 0,
            load: Vec::new(),
            counts: Counts::default(),
            servers,
            set,
            fleet,
        }
    }

    /// The server whose bucket this one draws on.
    fn pool(&self, server: usize) -> usize {
        let of = &self.servers[server].entry;
        if self.set.kinds[of.kind].separate_routes {
            return server;
        }
        self.servers.iter().position(|s| s.entry.destination == of.destination).unwrap_or(server)
    }

    fn open_at(&self, server: usize) -> usize {
        self.busy[server] + self.idle.iter().map(|c| c[server].len()).sum::<usize>()
    }

    /// Ends these couriers and starts them anew on the list that they had; what they held is handed in again at
    /// once, as their journal would. Answers on their way to them are lost.
    pub fn restart(&mut self, which: std::ops::Range<usize>, seed: u64) {
        let entry = |s: &Server| EndpointEntry { weight: s.limit, ..s.entry };
        let listed: Vec<_> = self.servers.iter().map(entry).collect();
        for n in which {
            let now = self.fleet[n].now;
            for (_, _, _, ended) in self.coming.extract_if(.., |c| c.1 == n) {
                if let Some((server, true)) = ended {
                    self.busy[server] -= 1;
                }
            }
            self.idle[n].iter_mut().for_each(Vec::clear);
            let mut drive = Drive::begun(self.set.clone(), listed.clone(), seed * 1000 + n as u64, now);
            let before = std::mem::take(&mut self.fleet[n].log);
            drive.log.splice(..0, before);
            self.fleet[n] = drive;
            for (id, (at, class)) in self.taken_at[n].clone() {
                let destination = self.servers[0].entry.destination.0;
                let left = (at + self.set.classes[class].deadline).saturating_sub(now);
                self.coming.push((now, n, taken(id, class, destination, left), None));
            }
        }
    }

    /// Hands in messages for a destination at couriers drawn at random.
    pub fn offer(&mut self, destination: u64, class: usize, count: usize) {
        for _ in 0..count {
            let n = self.rng.random_range(0..self.fleet.len());
            self.next += 1;
            self.counts.offered += 1;
            self.taken_at[n].insert(self.next, (self.fleet[n].now, class));
            let event = taken(self.next, class, destination, self.set.classes[class].deadline);
            self.coming.push((self.fleet[n].now, n, event, None));
        }
    }

    /// Calls to discovery by the second, of the seconds from `first` on.
    pub fn lists(&self, first: usize) -> Vec<usize> {
        let asks = self.fleet.iter().flat_map(|d| &d.log);
        let asks = asks.filter(|(_, a)| matches!(a, Action::Subscribe { .. }));
        let mut seconds = Vec::new();
        for (at, _) in asks {
            let second = (*at - self.begun).as_secs() as usize;
            seconds.resize(seconds.len().max(second + 1), 0);
            seconds[second] += 1;
        }
        seconds.split_off(first.min(seconds.len()))
    }

    /// Messages without an end.
    pub fn open(&self) -> usize {
        self.taken_at.iter().map(|t| t.len()).sum()
    }

    /// Lets time pass; what was counted in it.
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
            self.offer(destination, (self.next % 3) as usize, count);
        }
        let now = self.fleet[0].now + STEP;
        let anew = ((now - self.begun).as_secs_f64() / REPORT_EVERY).fract() < step / REPORT_EVERY;
        for (server, bucket) in self.servers.iter().zip(&mut self.buckets) {
            let most = server.depth * server.limit;
            bucket.level = (bucket.level + server.limit * step).min(most);
            if anew {
                bucket.report = (bucket.level / most).max(0.0);
            }
        }
        for n in 0..self.fleet.len() {
            let mut actions = self.fleet[n].pass(STEP);
            let mut news = Vec::new();
            for (_, _, event, ended) in self.coming.extract_if(.., |c| c.1 == n && c.0 <= now) {
                if let Some((server, kept)) = ended {
                    self.busy[server] -= usize::from(kept);
                    self.idle[n][server].extend(kept.then_some(now));
                }
                news.push(event);
            }
            if !news.is_empty() {
                self.ended(n, &news);
                actions.extend(self.fleet[n].feed(&news));
            }
            for idle in &mut self.idle[n] {
                idle.retain(|since| now - *since < self.set.keepalive);
            }
            for action in actions {
                self.act(n, now, action);
            }
        }
        for server in 0..self.servers.len() {
            self.counts.most_open = self.counts.most_open.max(self.open_at(server));
        }
    }

    fn ended(&mut self, n: usize, news: &[Event]) {
        for event in news {
            let Event::AttemptEnded(ended) = event else { continue };
            match ended.outcome {
                Outcome::Delivered => {
                    // It may have been given up while its call was out.
                    let Some((at, class)) = self.taken_at[n].remove(&ended.message.0) else { continue };
                    let in_aim = self.fleet[n].now - at <= self.set.classes[class].aim;
                    *(if in_aim { &mut self.counts.in_aim } else { &mut self.counts.late }) += 1;
                }
                Outcome::Full { .. } => self.counts.full += 1,
                Outcome::ConnectFailed => self.counts.unconnected += 1,
                _ => {}
            }
        }
    }

    fn act(&mut self, n: usize, now: Duration, action: Action) {
        match action {
            Action::Send { message, endpoint, .. } => self.call(n, now, message.0, endpoint.0 as usize),
            Action::CloseIdleConnections { endpoint } => self.idle[n][endpoint.0 as usize].clear(),
            Action::Refuse { message, .. } => {
                self.counts.refused += usize::from(self.taken_at[n].remove(&message.0).is_some());
            }
            Action::Fail { message } => {
                self.counts.failed += usize::from(self.taken_at[n].remove(&message.0).is_some());
            }
            Action::Subscribe { .. } => {
                let nothing_new = Event::EndpointList { complete: false, entries: Vec::new() };
                self.coming.push((now + WAY * 2, n, nothing_new, None));
            }
            _ => {}
        }
    }

    fn call(&mut self, n: usize, now: Duration, message: u64, server: usize) {
        self.counts.calls += 1;
        let fresh = self.idle[n][server].pop().is_none();
        let (open, pool) = (self.open_at(server), self.pool(server));
        let mut end = |elapsed: Duration, outcome, report, kept| {
            let endpoint = EndpointId(server as u32);
            let is_final = outcome == Outcome::Delivered;
            let ended =
                AttemptEnded { message: MessageId(message), endpoint, outcome, elapsed, is_final, report };
            self.coming.push((now + elapsed, n, Event::AttemptEnded(ended), Some((server, kept))));
        };
        if self.servers[server].away || (fresh && open >= self.servers[server].holds) {
            return end(WAY * 2, Outcome::ConnectFailed, None, false);
        }
        self.busy[server] += 1;
        self.counts.opened += usize::from(fresh);
        let opening = if fresh { WAY * 2 } else { Duration::ZERO };
        let bucket = &mut self.buckets[pool];
        let report = Some(LimitReport { remaining_share: bucket.report, limit: self.servers[pool].limit });
        let room = bucket.level >= 1.0;
        // A refused call uses the limit up, too.
        bucket.level -= 1.0;
        match room {
            true => end(opening + WAY * 2 + WORK, Outcome::Delivered, report, true),
            false => end(opening + WAY * 2, Outcome::Full { wait: None }, report, true),
        }
    }
}
