//! Settings and a driver shared by the tests. The driver answers nothing by itself: each test feeds the
//! events and reads the scheduler's actions.
#![allow(dead_code)]

pub mod simulation;

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
        refuse_keyed_only_unrun: false,
    }
}

/// Class 0 is repeatable, class 1 keyed within its zone, class 2 once.
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

pub fn accepted(message: u64, class: usize, destination: u64, time_left: Duration) -> Event {
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

pub fn attempt_ended(message: u64, endpoint: u32, outcome: Outcome, took_ms: u32) -> Event {
    Event::AttemptEnded(AttemptEnded {
        message: MessageId(message),
        endpoint: EndpointId(endpoint),
        outcome,
        elapsed: MS * took_ms,
        is_final: outcome == Outcome::Delivered,
        report: None,
    })
}

/// A scheduler and its clock; logs every action with its time.
pub struct Driver {
    pub scheduler: Scheduler,
    pub now: Duration,
    pub log: Vec<(Duration, Action)>,
    timers: Vec<(Duration, u64)>,
}

impl Driver {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        Driver::seeded(settings, entries, 11)
    }

    pub fn seeded(settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Self {
        Driver::started_at(settings, entries, seed, MS * 1000)
    }

    /// A driver whose clock starts at `now`.
    pub fn started_at(settings: Settings, entries: Vec<EndpointEntry>, seed: u64, now: Duration) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("workable settings");
        let mut drive = Driver { scheduler, now, log: Vec::new(), timers: Vec::new() };
        drive.feed(&[Event::EndpointList { complete: true, entries }]);
        drive
    }

    /// Feeds events now and returns the resulting actions.
    pub fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        for action in &actions {
            if let Action::SetTimer { token, after } = action {
                self.timers.push((self.now + *after, *token));
            }
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    /// Advances time in ticks, fires the timers that are due, and returns the resulting actions.
    pub fn pass(&mut self, span: Duration) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += MS * 5;
            let due: Vec<_> = self.timers.iter().filter(|w| w.0 <= self.now).map(|w| w.1).collect();
            self.timers.retain(|w| w.0 > self.now);
            let events: Vec<_> = due.into_iter().map(|token| Event::TimerFired { token }).collect();
            if !events.is_empty() {
                all.extend(self.feed(&events));
            }
        }
        all
    }
}

/// The sends among the actions, as (message, endpoint).
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { message, endpoint, .. } => Some((message.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn has_action(actions: &[Action], f: impl Fn(&Action) -> bool) -> bool {
    actions.iter().any(f)
}
