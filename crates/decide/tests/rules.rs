//! The scheduler's six rules over random event sequences with fixed seeds. Answers are random: they don't
//! model a destination but produce every kind of event in every order.

mod common;
use common::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Upper bound on the refusals of a message: its backoff reaches 6 % of the 20 s that the longest class has.
const MAX_REFUSALS: u32 = 40;

struct OpenMessage {
    class: usize,
    destination: u64,
    key: Option<String>,
    end: Duration,
    /// Endpoint and time of the first attempt that may have run.
    may_have_run: Option<(u32, Duration)>,
    in_flight: bool,
    attempts: u32,
    /// Those that an endpoint refused, which don't count against the limit.
    refusals: u32,
    answered: bool,
}

struct ListedEndpoint {
    entry: EndpointEntry,
    /// When it was listed as draining or gone.
    unusable_since: Option<Duration>,
}

struct Checker {
    set: Settings,
    rng: SmallRng,
    now: Duration,
    open: BTreeMap<u64, OpenMessage>,
    list: BTreeMap<u32, ListedEndpoint>,
    waits: BTreeMap<(u64, Option<u32>), Duration>,
    /// Waits that concern one endpoint alone.
    endpoint_waits: BTreeMap<u32, Duration>,
    key_queues: BTreeMap<String, VecDeque<u64>>,
    key_cooldowns: BTreeMap<String, (u64, Duration)>,
    scheduled: Vec<(Duration, Event)>,
    answers: usize,
    sends: usize,
}

impl Checker {
    fn limit_group(&self, endpoint: u32) -> (u64, Option<u32>) {
        let e = &self.list[&endpoint].entry;
        (e.destination.0, self.set.kinds[e.kind].separate_routes.then_some(endpoint))
    }

    fn sent(&mut self, message: u64, endpoint: u32, timeout: Duration) {
        self.sends += 1;
        let listed_endpoint = &self.list[&endpoint];
        let m = self.open.get(&message).expect("a send names a known message");
        assert!(!m.answered, "sent after its answer");
        assert!(!m.in_flight, "two attempts in flight");
        assert_eq!(listed_endpoint.entry.destination.0, m.destination, "sent to another destination");
        assert!(
            listed_endpoint.unusable_since.is_none_or(|t| self.now <= t + self.set.drain_grace),
            "sent to a draining endpoint"
        );
        assert!(m.attempts - m.refusals < self.set.max_attempts, "too many attempts");
        assert!(m.refusals <= MAX_REFUSALS, "{} refusals of one message", m.refusals);
        if let Some((first, at)) = m.may_have_run {
            match self.set.classes[m.class].effect {
                Effect::Repeatable => {}
                Effect::Once => panic!("a once message that may have run was sent again"),
                Effect::Keyed { window, .. } => {
                    assert_eq!(
                        self.list[&first].entry.zone, listed_endpoint.entry.zone,
                        "outside the key's scope"
                    );
                    // A connection may be established as late as the timeout allows; only then is the request
                    // written.
                    assert!(self.now + timeout <= at + window, "may be written outside the key's window");
                }
            }
        }
        let limit_group = self.limit_group(endpoint);
        assert!(
            self.waits.get(&limit_group).is_none_or(|until| self.now >= *until),
            "stated wait not observed"
        );
        assert!(
            self.endpoint_waits.get(&endpoint).is_none_or(|until| self.now >= *until),
            "stated wait of an endpoint not observed"
        );
        if let Some(key) = &m.key {
            assert_eq!(self.key_queues[key].front(), Some(&message), "out of turn");
            let rest = self.key_cooldowns.get(key);
            assert!(
                rest.is_none_or(|(of, until)| *of == message || self.now >= *until),
                "pause of the key not observed"
            );
        }
        let m = self.open.get_mut(&message).expect("known");
        (m.in_flight, m.attempts) = (true, m.attempts + 1);
        let outcome = match self.rng.random_range(0..20) {
            0 => Outcome::Error,
            1 => Outcome::Full { wait: Some(MS * self.rng.random_range(50..900)) },
            2 => Outcome::Full { wait: None },
            3 | 4 => Outcome::TimedOut,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Moot,
            8 => Outcome::Crowded,
            9 => Outcome::Refused { wait: Some(MS * self.rng.random_range(50..900)) },
            10 | 11 => Outcome::Refused { wait: None },
            12 => Outcome::Rejected,
            _ => Outcome::Delivered,
        };
        let elapsed = match outcome {
            Outcome::TimedOut => timeout.max(MS),
            _ => MS * self.rng.random_range(5..400),
        };
        let is_final = matches!(outcome, Outcome::Delivered | Outcome::Rejected);
        let event = Event::AttemptEnded(AttemptEnded {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            outcome,
            elapsed,
            is_final,
            report: None,
        });
        self.scheduled.push((self.now + elapsed, event));
    }

    fn answered(&mut self, message: u64, refused: bool) {
        self.answers += 1;
        let m = self.open.get_mut(&message).expect("an answer names a known message");
        assert!(!m.answered, "two answers");
        assert!(self.now <= m.end + MS * 20, "answered too late");
        let may_have_run = m.in_flight || m.may_have_run.is_some();
        let effect = self.set.classes[m.class].effect;
        assert!(
            !(refused && may_have_run && effect != Effect::Repeatable),
            "refused a message that may have run"
        );
        m.answered = true;
        self.settle(message);
    }

    /// Removes a message from its key's queue once it has its answer and no attempt in flight.
    fn settle(&mut self, message: u64) {
        let m = &self.open[&message];
        if m.answered
            && !m.in_flight
            && let Some(key) = &m.key
        {
            self.key_queues.get_mut(key).expect("its line").retain(|id| *id != message);
        }
    }

    fn apply(&mut self, event: &Event) {
        let Event::AttemptEnded(e) = event else { return };
        let limit_group = self.limit_group(e.endpoint.0);
        let m = self.open.get_mut(&e.message.0).expect("known");
        m.in_flight = false;
        m.answered |= e.is_final;
        let may_have_run = matches!(e.outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset);
        if may_have_run && m.may_have_run.is_none() {
            m.may_have_run = Some((e.endpoint.0, self.now - e.elapsed));
        }
        if let (Outcome::TimedOut | Outcome::Reset, Some(key)) = (e.outcome, &m.key) {
            self.key_cooldowns.insert(key.clone(), (e.message.0, self.now + self.set.order_pause));
        }
        if let Outcome::Refused { wait } = e.outcome {
            m.refusals += 1;
            let until = self.endpoint_waits.entry(e.endpoint.0).or_default();
            *until = (*until).max(self.now + wait.unwrap_or_default());
        }
        if let Outcome::Full { wait: Some(wait) } = e.outcome {
            let until = self.waits.entry(limit_group).or_default();
            *until = (*until).max(self.now + wait);
        }
        self.settle(e.message.0);
    }
}

fn run_sequence(seed: u64) -> (usize, usize) {
    let mut set = settings();
    set.classes[1].ordered = seed.is_multiple_of(2);
    set.max_calls_in_flight = if seed.is_multiple_of(3) { 3 } else { 12 };
    set.probing_enabled = !seed.is_multiple_of(5);
    let mut scheduler = Scheduler::new(set.clone(), seed).expect("workable settings");
    let mut list = BTreeMap::new();
    for (n, (dest, zone, kind)) in
        [(0, 0, 0), (0, 1, 0), (1, 0, 1), (1, 1, 1), (2, 0, 2), (2, 0, 2)].into_iter().enumerate()
    {
        list.insert(
            n as u32,
            ListedEndpoint { entry: entry(n as u32, dest, zone, kind), unusable_since: None },
        );
    }
    let entries = list.values().map(|t| t.entry).collect();
    let mut checker = Checker {
        set,
        rng: SmallRng::seed_from_u64(seed),
        now: MS * 500,
        open: BTreeMap::new(),
        list,
        waits: BTreeMap::new(),
        endpoint_waits: BTreeMap::new(),
        key_queues: BTreeMap::new(),
        key_cooldowns: BTreeMap::new(),
        scheduled: vec![(MS * 500, Event::EndpointList { complete: true, entries })],
        answers: 0,
        sends: 0,
    };
    let mut next = 0;
    for step in 0..9000 {
        checker.now += MS * 5;
        let now = checker.now;
        let mut events: Vec<Event> = Vec::new();
        let due: Vec<_> = checker.scheduled.extract_if(.., |c| c.0 <= now).collect();
        events.extend(due.into_iter().map(|c| c.1));
        if step < 4000 && checker.rng.random_bool(0.15) {
            next += 1;
            let class = checker.rng.random_range(0..3);
            let key = (class == 1).then(|| format!("k{}", checker.rng.random_range(0..4)));
            let left = checker.set.classes[class].deadline.mul_f64(checker.rng.random_range(0.1..1.0));
            let destination = checker.rng.random_range(0..4);
            let ordered = key.clone().filter(|_| checker.set.classes[class].ordered);
            if let Some(key) = &ordered {
                checker.key_queues.entry(key.clone()).or_default().push_back(next);
            }
            let (end, may_have_run) = (now + left, None);
            let m = OpenMessage {
                class,
                destination,
                key: ordered,
                end,
                may_have_run,
                in_flight: false,
                attempts: 0,
                refusals: 0,
                answered: false,
            };
            checker.open.insert(next, m);
            let Event::Accepted(mut t) = accepted(next, class, destination, left) else { unreachable!() };
            t.key = key;
            events.push(Event::Accepted(t));
        }
        if checker.rng.random_bool(0.004) {
            let n = checker.rng.random_range(0..6);
            let listed_endpoint = checker.list.get_mut(&n).expect("listed");
            let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone]
                [checker.rng.random_range(0..3)];
            listed_endpoint.entry.state = state;
            listed_endpoint.unusable_since =
                (state != EndpointState::Ready).then(|| listed_endpoint.unusable_since.unwrap_or(now));
            events.push(Event::EndpointList { complete: false, entries: vec![listed_endpoint.entry] });
        }
        if checker.rng.random_bool(0.01) {
            events.push(Event::TimerFired { token: 999_999 });
            events.push(Event::Withdrawn { message: MessageId(888_888) });
            events.push(Event::EndpointListFailed);
        }
        events.iter().for_each(|e| checker.apply(e));
        let mut actions = Vec::new();
        scheduler.handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { message, endpoint, timeout } => checker.sent(message.0, endpoint.0, timeout),
                Action::Refuse { message, .. } => checker.answered(message.0, true),
                Action::Fail { message } => checker.answered(message.0, false),
                Action::SetTimer { token, after } => {
                    checker.scheduled.push((now + after, Event::TimerFired { token }))
                }
                Action::Probe { endpoint } => {
                    let outcome =
                        if checker.rng.random_bool(0.5) { Outcome::Delivered } else { Outcome::TimedOut };
                    let event = Event::ProbeEnded { endpoint, outcome, elapsed: MS * 30, report: None };
                    checker.scheduled.push((now + MS * 30, event));
                }
                Action::Cancel { message, attempt } => {
                    let m = &checker.open[&message.0];
                    assert!(
                        m.in_flight && attempt == m.attempts - 1,
                        "cancelled an attempt that is not in flight"
                    );
                }
                _ => {}
            }
        }
    }
    assert!(checker.open.values().all(|m| m.answered), "a message was lost");
    (checker.answers, checker.sends)
}

#[test]
fn the_rules_hold_over_random_sequences() {
    let (mut answers, mut sends) = (0, 0);
    for seed in 0..24 {
        let (a, s) = run_sequence(seed);
        (answers, sends) = (answers + a, sends + s);
    }
    // Without enough answers and sends, the checks above would be vacuous.
    assert!(answers > 1000 && sends > 4000, "{answers} answers, {sends} sends");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_sequence(3), run_sequence(3));
}
