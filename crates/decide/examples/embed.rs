//! A courier in miniature: one destination with one endpoint, one message, answered at once.

use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Brain;
use std::time::Duration;

fn main() -> Result<(), String> {
    let settings = Settings {
        couriers: 1,
        classes: vec![Class {
            aim: Duration::from_secs(2),
            deadline: Duration::from_secs(20),
            worth: 1.0,
            late_share: 0.3,
            effect: Effect::Once,
            ordered: false,
            aim_stretch: 0.0,
            attempts: None,
        }],
        kinds: vec![Kind { separate_routes: false, bundle_max: 1 }],
        tenants: 0,
        slots: 4,
        max_held: 100,
        attempt_cap: 6,
        worth_loss: WorthLoss::Line,
        handshake_cost: 0.04,
        zone_fees: vec![0.0],
        weights: WeightKind::None,
        connect_timeout: Duration::from_secs(1),
        keepalive: Duration::from_secs(10),
        may_probe: true,
        may_cancel: true,
        must_subscribe: false,
        membership_term: None,
        tick: Duration::from_millis(5),
        drain_grace: Duration::from_secs(1),
        cold_from: 0.2,
        cold_span: Duration::from_secs(10),
        fall_multiple: 2.0,
        fall_span: Duration::from_secs(3),
        order_pause: Duration::ZERO,
    };
    let mut brain = Brain::new(settings, 7)?;
    let (endpoint, destination) = (EndpointId(0), DestinationId(0));
    let entry = Entry {
        endpoint,
        destination,
        zone: 0,
        kind: 0,
        standing: Standing::Ready,
        weight: 0.0,
        leased: false,
    };
    let mut events = vec![
        Event::Listed { whole: true, entries: vec![entry] },
        Event::Taken(Taken {
            message: MessageId(1),
            class: 0,
            tenant: 0,
            destination,
            key: None,
            time_left: Duration::from_secs(20),
            work: None,
            past: Past::default(),
        }),
    ];
    let mut now = Duration::ZERO;
    while !events.is_empty() {
        let mut actions = Vec::new();
        brain.handle(now, &events, &mut actions);
        events.clear();
        now += Duration::from_millis(30);
        for action in actions {
            println!("{now:?} {action:?}");
            if let Action::Send { message, endpoint, .. } = action {
                events.push(Event::Ended(Ended {
                    message,
                    endpoint,
                    outcome: Outcome::Delivered,
                    took: Duration::from_millis(30),
                    over: true,
                    report: None,
                }));
            }
        }
    }
    Ok(())
}
