//! A minimal courier: one destination with one endpoint, and one message that is answered at once.

use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use std::time::Duration;

fn main() -> Result<(), String> {
    let settings = Settings {
        courier_count: 1,
        classes: vec![Class {
            aim: Duration::from_secs(2),
            deadline: Duration::from_secs(20),
            worth: 1.0,
            late_share: 0.3,
            effect: Effect::Once,
            ordered: false,
            aim_stretch: 0.0,
            max_attempts: None,
            refuse_keyed_only_unrun: true,
        }],
        kinds: vec![DestinationKind { separate_routes: false, max_bundle_size: 1 }],
        tenant_count: 0,
        max_calls_in_flight: 4,
        max_messages: 100,
        max_attempts: 6,
        worth_decay: WorthDecay::Linear,
        handshake_cost: 0.04,
        zone_fees: vec![0.0],
        weight_kind: WeightKind::None,
        connect_timeout: Duration::from_secs(1),
        keepalive: Duration::from_secs(10),
        probing_enabled: true,
        cancellation_enabled: true,
        subscription_required: false,
        membership_lease_duration: None,
        tick: Duration::from_millis(5),
        drain_grace: Duration::from_secs(1),
        slow_start_min_share: 0.2,
        slow_start_duration: Duration::from_secs(10),
        overload_multiple: 2.0,
        overload_duration: Duration::from_secs(3),
        order_pause: Duration::ZERO,
    };
    let mut scheduler = Scheduler::new(settings, 7)?;
    let (endpoint, destination) = (EndpointId(0), DestinationId(0));
    let entry = EndpointEntry {
        endpoint,
        destination,
        zone: 0,
        kind: 0,
        state: EndpointState::Ready,
        weight: 0.0,
        requires_lease: false,
    };
    let mut events = vec![
        Event::EndpointList { complete: true, entries: vec![entry] },
        Event::Accepted(Accepted {
            message: MessageId(1),
            class: 0,
            tenant: 0,
            destination,
            key: None,
            time_left: Duration::from_secs(20),
            estimated_work: None,
            history: Past::default(),
        }),
    ];
    let mut now = Duration::ZERO;
    while !events.is_empty() {
        let mut actions = Vec::new();
        scheduler.handle(now, &events, &mut actions);
        events.clear();
        now += Duration::from_millis(30);
        for action in actions {
            println!("{now:?} {action:?}");
            if let Action::Send { message, endpoint, .. } = action {
                events.push(Event::AttemptEnded(AttemptEnded {
                    message,
                    endpoint,
                    outcome: Outcome::Delivered,
                    elapsed: Duration::from_millis(30),
                    is_final: true,
                    report: None,
                }));
            }
        }
    }
    Ok(())
}
