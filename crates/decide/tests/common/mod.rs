//! Settings and a driver shared by the tests. The driver answers nothing by itself: each test says
//! what happens, and reads what the module asks for.
#![allow(dead_code)]

pub mod world;

use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
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
        max_attempts: None,
    }
}

/// Class 0 repeatable, 1 keyed within its zone, 2 once only.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed { scope: KeyScope::Zone, window: MS * 5000 };
    Settings {
        courier_count: 2,
        classes: vec![
            class(Effect::Repeatable, 1000, 8000, 2.0),
            class(keyed, 2000, 20_000, 1.0),
            class(Effect::Once, 2000, 20_000, 5.0),
        ],
        kinds: vec![
            DestinationKind { separate_routes: false, max_bundle_size: 1 },
            DestinationKind { separate_routes: true, max_bundle_size: 1 },
            DestinationKind { separate_routes: true, max_bundle_size: 4 },
        ],
        tenant_count: 0,
        max_calls_in_flight: 8,
        max_messages: 200,
        max_attempts: 6,
        worth_decay: WorthDecay::Linear,
        handshake_cost: 0.04,
        zone_fees: vec![0.0, 0.03],
        weight_kind: WeightKind::None,
        connect_timeout: MS * 1000,
        keepalive: MS * 10_000,
        probing_enabled: true,
        cancellation_enabled: true,
        subscription_required: false,
        membership_lease_duration: None,
        tick: MS * 5,
        drain_grace: MS * 1000,
        slow_start_min_share: 0.2,
        slow_start_duration: MS * 10_000,
        overload_multiple: 2.0,
        overload_duration: MS * 3000,
        order_pause: MS * 500,
    }
}

pub fn entry(endpoint: u32, destination: u64, zone: usize, kind: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination),
        zone,
        kind,
        state: EndpointState::Ready,
        weight: 0.0,
        requires_lease: true,
    }
}

pub fn taken(message: u64, class: usize, destination: u64, time_left: Duration) -> Event {
    Event::Accepted(Accepted {
        message: MessageId(message),
        class,
        tenant: 0,
        destination: DestinationId(destination),
        key: None,
        time_left,
        estimated_work: None,
        history: Past::default(),
    })
}

pub fn ended(message: u64, endpoint: u32, outcome: Outcome, took_ms: u32) -> Event {
    Event::AttemptEnded(AttemptEnded {
        message: MessageId(message),
        endpoint: EndpointId(endpoint),
        outcome,
        elapsed: MS * took_ms,
        is_final: outcome == Outcome::Delivered,
        report: None,
    })
}

/// A module and its clock; remembers every action with its time.
pub struct Drive {
    pub scheduler: Scheduler,
    pub now: Duration,
    pub log: Vec<(Duration, Action)>,
    wakes: Vec<(Duration, u64)>,
}

impl Drive {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        Drive::seeded(settings, entries, 11)
    }

    pub fn seeded(settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Self {
        Drive::begun(settings, entries, seed, MS * 1000)
    }

    /// One that starts at this time.
    pub fn begun(settings: Settings, entries: Vec<EndpointEntry>, seed: u64, now: Duration) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("workable settings");
        let mut drive = Drive { scheduler, now, log: Vec::new(), wakes: Vec::new() };
        drive.feed(&[Event::EndpointList { complete: true, entries }]);
        drive
    }

    /// Hands in events now; returns the actions they led to.
    pub fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        for action in &actions {
            if let Action::SetTimer { token, after } = action {
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
            let events: Vec<_> = due.into_iter().map(|token| Event::TimerFired { token }).collect();
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
