//! The six rules over random event sequences with fixed seeds. The other side answers at random:
//! it is no model of a destination, only a source of every kind of news in every order.

mod common;
use common::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

struct Open {
    class: usize,
    destination: u64,
    key: Option<String>,
    end: Duration,
    /// Endpoint and time of the first attempt that may have run.
    ran: Option<(u32, Duration)>,
    out: bool,
    attempts: u32,
    answered: bool,
}

struct Told {
    entry: EndpointEntry,
    /// Since when it is not to be used.
    ended: Option<Duration>,
}

struct World {
    set: Settings,
    rng: SmallRng,
    now: Duration,
    open: BTreeMap<u64, Open>,
    list: BTreeMap<u32, Told>,
    waits: BTreeMap<(u64, Option<u32>), Duration>,
    turns: BTreeMap<String, VecDeque<u64>>,
    rests: BTreeMap<String, (u64, Duration)>,
    coming: Vec<(Duration, Event)>,
    answers: usize,
    sends: usize,
}

impl World {
    fn pool(&self, endpoint: u32) -> (u64, Option<u32>) {
        let e = &self.list[&endpoint].entry;
        (e.destination.0, self.set.kinds[e.kind].separate_routes.then_some(endpoint))
    }

    fn sent(&mut self, message: u64, endpoint: u32, timeout: Duration) {
        self.sends += 1;
        let told = &self.list[&endpoint];
        let m = self.open.get(&message).expect("a send names a known message");
        assert!(!m.answered, "sent after its answer");
        assert!(!m.out, "two attempts out");
        assert_eq!(told.entry.destination.0, m.destination, "sent to another destination");
        assert!(told.ended.is_none_or(|t| self.now <= t + self.set.drain_grace), "drain not kept");
        assert!(m.attempts < self.set.max_attempts, "too many attempts");
        if let Some((first, at)) = m.ran {
            match self.set.classes[m.class].effect {
                Effect::Repeatable => {}
                Effect::Once => panic!("an unsafe message that may have run was sent again"),
                Effect::Keyed { window, .. } => {
                    assert_eq!(self.list[&first].entry.zone, told.entry.zone, "out of scope");
                    // A connection may come as late as the attempt's time allows, and only then is it written.
                    assert!(self.now + timeout <= at + window, "may be written out of the window");
                }
            }
        }
        let pool = self.pool(endpoint);
        assert!(self.waits.get(&pool).is_none_or(|until| self.now >= *until), "wait not heeded");
        if let Some(key) = &m.key {
            assert_eq!(self.turns[key].front(), Some(&message), "out of turn");
            let rest = self.rests.get(key);
            assert!(rest.is_none_or(|(of, until)| *of == message || self.now >= *until), "no rest");
        }
        let m = self.open.get_mut(&message).expect("known");
        (m.out, m.attempts) = (true, m.attempts + 1);
        let outcome = match self.rng.random_range(0..16) {
            0 => Outcome::Error,
            1 => Outcome::Full { wait: Some(MS * self.rng.random_range(50..900)) },
            2 => Outcome::Full { wait: None },
            3 | 4 => Outcome::TimedOut,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Moot,
            8 => Outcome::Crowded,
            _ => Outcome::Delivered,
        };
        let elapsed = match outcome {
            Outcome::TimedOut => timeout.max(MS),
            _ => MS * self.rng.random_range(5..400),
        };
        let is_final = outcome == Outcome::Delivered;
        let event = Event::AttemptEnded(AttemptEnded {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            outcome,
            elapsed,
            is_final,
            report: None,
        });
        self.coming.push((self.now + elapsed, event));
    }

    fn answered(&mut self, message: u64, refused: bool) {
        self.answers += 1;
        let m = self.open.get_mut(&message).expect("an answer names a known message");
        assert!(!m.answered, "two answers");
        assert!(self.now <= m.end + MS * 20, "answered too late");
        let may_have_run = m.out || m.ran.is_some();
        let effect = self.set.classes[m.class].effect;
        assert!(!(refused && may_have_run && effect != Effect::Repeatable), "refused what may have run");
        m.answered = true;
        self.settle(message);
    }

    /// Takes a message out of its key's line once it is over with no attempt out.
    fn settle(&mut self, message: u64) {
        let m = &self.open[&message];
        if m.answered
            && !m.out
            && let Some(key) = &m.key
        {
            self.turns.get_mut(key).expect("its line").retain(|id| *id != message);
        }
    }

    fn learn(&mut self, event: &Event) {
        let Event::AttemptEnded(e) = event else { return };
        let pool = self.pool(e.endpoint.0);
        let m = self.open.get_mut(&e.message.0).expect("known");
        m.out = false;
        m.answered |= e.is_final;
        let ran = matches!(e.outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset);
        if ran && m.ran.is_none() {
            m.ran = Some((e.endpoint.0, self.now - e.elapsed));
        }
        if let (Outcome::TimedOut | Outcome::Reset, Some(key)) = (e.outcome, &m.key) {
            self.rests.insert(key.clone(), (e.message.0, self.now + self.set.order_pause));
        }
        if let Outcome::Full { wait: Some(wait) } = e.outcome {
            let until = self.waits.entry(pool).or_default();
            *until = (*until).max(self.now + wait);
        }
        self.settle(e.message.0);
    }
}

fn play(seed: u64) -> (usize, usize) {
    let mut set = settings();
    set.classes[1].ordered = seed.is_multiple_of(2);
    set.max_calls_in_flight = if seed.is_multiple_of(3) { 3 } else { 12 };
    set.probing_enabled = !seed.is_multiple_of(5);
    let mut scheduler = Scheduler::new(set.clone(), seed).expect("workable settings");
    let mut list = BTreeMap::new();
    for (n, (dest, zone, kind)) in
        [(0, 0, 0), (0, 1, 0), (1, 0, 1), (1, 1, 1), (2, 0, 2), (2, 0, 2)].into_iter().enumerate()
    {
        list.insert(n as u32, Told { entry: entry(n as u32, dest, zone, kind), ended: None });
    }
    let entries = list.values().map(|t| t.entry).collect();
    let mut world = World {
        set,
        rng: SmallRng::seed_from_u64(seed),
        now: MS * 500,
        open: BTreeMap::new(),
        list,
        waits: BTreeMap::new(),
        turns: BTreeMap::new(),
        rests: BTreeMap::new(),
        coming: vec![(MS * 500, Event::EndpointList { complete: true, entries })],
        answers: 0,
        sends: 0,
    };
    let mut next = 0;
    for step in 0..9000 {
        world.now += MS * 5;
        let now = world.now;
        let mut events: Vec<Event> = Vec::new();
        let due: Vec<_> = world.coming.extract_if(.., |c| c.0 <= now).collect();
        events.extend(due.into_iter().map(|c| c.1));
        if step < 4000 && world.rng.random_bool(0.15) {
            next += 1;
            let class = world.rng.random_range(0..3);
            let key = (class == 1).then(|| format!("k{}", world.rng.random_range(0..4)));
            let left = world.set.classes[class].deadline.mul_f64(world.rng.random_range(0.1..1.0));
            let destination = world.rng.random_range(0..4);
            let ordered = key.clone().filter(|_| world.set.classes[class].ordered);
            if let Some(key) = &ordered {
                world.turns.entry(key.clone()).or_default().push_back(next);
            }
            let (end, ran) = (now + left, None);
            let m =
                Open { class, destination, key: ordered, end, ran, out: false, attempts: 0, answered: false };
            world.open.insert(next, m);
            let Event::Accepted(mut t) = taken(next, class, destination, left) else { unreachable!() };
            t.key = key;
            events.push(Event::Accepted(t));
        }
        if world.rng.random_bool(0.004) {
            let n = world.rng.random_range(0..6);
            let told = world.list.get_mut(&n).expect("listed");
            let standing = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone]
                [world.rng.random_range(0..3)];
            told.entry.state = standing;
            told.ended = (standing != EndpointState::Ready).then(|| told.ended.unwrap_or(now));
            events.push(Event::EndpointList { complete: false, entries: vec![told.entry] });
        }
        if world.rng.random_bool(0.01) {
            events.push(Event::TimerFired { token: 999_999 });
            events.push(Event::Withdrawn { message: MessageId(888_888) });
            events.push(Event::EndpointListFailed);
        }
        events.iter().for_each(|e| world.learn(e));
        let mut actions = Vec::new();
        scheduler.handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { message, endpoint, timeout } => world.sent(message.0, endpoint.0, timeout),
                Action::Refuse { message, .. } => world.answered(message.0, true),
                Action::Fail { message } => world.answered(message.0, false),
                Action::SetTimer { token, after } => {
                    world.coming.push((now + after, Event::TimerFired { token }))
                }
                Action::Probe { endpoint } => {
                    let outcome =
                        if world.rng.random_bool(0.5) { Outcome::Delivered } else { Outcome::TimedOut };
                    let event = Event::ProbeEnded { endpoint, outcome, elapsed: MS * 30, report: None };
                    world.coming.push((now + MS * 30, event));
                }
                Action::Cancel { message, attempt } => {
                    let m = &world.open[&message.0];
                    assert!(m.out && attempt == m.attempts - 1, "cancelled what is not out");
                }
                _ => {}
            }
        }
    }
    assert!(world.open.values().all(|m| m.answered), "a message was lost");
    (world.answers, world.sends)
}

#[test]
fn the_rules_hold_over_random_sequences() {
    let (mut answers, mut sends) = (0, 0);
    for seed in 0..24 {
        let (a, s) = play(seed);
        (answers, sends) = (answers + a, sends + s);
    }
    // The sequences must be busy ones, or the checks above would hold for nothing.
    assert!(answers > 1000 && sends > 4000, "{answers} answers, {sends} sends");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(3), play(3));
}
