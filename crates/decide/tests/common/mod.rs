//! Settings and a driver shared by the tests. The driver answers nothing by itself: each test says
//! what happens, and reads what the module asks for.
#![allow(dead_code)]

pub mod world;

use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Brain;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
pub const DEST: DestinationId = DestinationId(7);

pub fn class(effect: Effect, aim_ms: u32, deadline_ms: u32, worth: f64) -> Class {
    Class {
        aim: MS * aim_ms,
        deadline: MS * deadline_ms,
        worth,
        late_share: 0.3,
        effect,
        ordered: false,
        aim_stretch: 0.0,
        attempts: None,
    }
}

/// Class 0 repeatable, 1 keyed within its zone, 2 once only.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed { scope: KeyScope::Zone, window: MS * 5000 };
    Settings {
        couriers: 2,
        classes: vec![
            class(Effect::Repeatable, 1000, 8000, 2.0),
            class(keyed, 2000, 20_000, 1.0),
            class(Effect::Once, 2000, 20_000, 5.0),
        ],
        kinds: vec![
            Kind { separate_routes: false, bundle_max: 1 },
            Kind { separate_routes: true, bundle_max: 1 },
            Kind { separate_routes: true, bundle_max: 4 },
        ],
        tenants: 0,
        slots: 8,
        max_held: 200,
        attempt_cap: 6,
        worth_loss: WorthLoss::Line,
        handshake_cost: 0.04,
        zone_fees: vec![0.0, 0.03],
        weights: WeightKind::None,
        connect_timeout: MS * 1000,
        keepalive: MS * 10_000,
        may_probe: true,
        may_cancel: true,
        must_subscribe: false,
        membership_term: None,
        tick: MS * 5,
        drain_grace: MS * 1000,
        cold_from: 0.2,
        cold_span: MS * 10_000,
        fall_multiple: 2.0,
        fall_span: MS * 3000,
        order_pause: MS * 500,
    }
}

pub fn entry(endpoint: u32, destination: u64, zone: usize, kind: usize) -> Entry {
    Entry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination),
        zone,
        kind,
        standing: Standing::Ready,
        weight: 0.0,
        leased: true,
    }
}

pub fn taken(message: u64, class: usize, destination: u64, time_left: Duration) -> Event {
    Event::Taken(Taken {
        message: MessageId(message),
        class,
        tenant: 0,
        destination: DestinationId(destination),
        key: None,
        time_left,
        work: None,
        past: Past::default(),
    })
}

pub fn ended(message: u64, endpoint: u32, outcome: Outcome, took_ms: u32) -> Event {
    Event::Ended(Ended {
        message: MessageId(message),
        endpoint: EndpointId(endpoint),
        outcome,
        took: MS * took_ms,
        over: outcome == Outcome::Delivered,
        report: None,
    })
}

/// A module and its clock; remembers every action with its time.
pub struct Drive {
    pub brain: Brain,
    pub now: Duration,
    pub log: Vec<(Duration, Action)>,
    wakes: Vec<(Duration, u64)>,
}

impl Drive {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Self {
        Drive::seeded(settings, entries, 11)
    }

    pub fn seeded(settings: Settings, entries: Vec<Entry>, seed: u64) -> Self {
        Drive::begun(settings, entries, seed, MS * 1000)
    }

    /// One that starts at this time.
    pub fn begun(settings: Settings, entries: Vec<Entry>, seed: u64, now: Duration) -> Self {
        let brain = Brain::new(settings, seed).expect("workable settings");
        let mut drive = Drive { brain, now, log: Vec::new(), wakes: Vec::new() };
        drive.feed(&[Event::Listed { whole: true, entries }]);
        drive
    }

    /// Hands in events now; returns the actions they led to.
    pub fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Wake { token, after } = action {
                self.wakes.push((self.now + *after, *token));
            }
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    /// Lets time pass in ticks, waking the module as it asked; returns what it did.
    pub fn pass(&mut self, span: Duration) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += MS * 5;
            let due: Vec<_> = self.wakes.iter().filter(|w| w.0 <= self.now).map(|w| w.1).collect();
            self.wakes.retain(|w| w.0 > self.now);
            let events: Vec<_> = due.into_iter().map(|token| Event::Woken { token }).collect();
            if !events.is_empty() {
                all.extend(self.feed(&events));
            }
        }
        all
    }
}

/// The sends among actions, as (message, endpoint).
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { message, endpoint, .. } => Some((message.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn has(actions: &[Action], f: impl Fn(&Action) -> bool) -> bool {
    actions.iter().any(f)
}
