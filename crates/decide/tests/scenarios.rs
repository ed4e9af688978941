//! One scenario per known or anticipated failure, driven by events alone.

mod common;
use common::*;
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;

/// Hands in `rounds` messages of a class and answers each send with `outcome` after `ms`. Returns the number
/// sent.
fn serve(
    d: &mut Driver,
    first: u64,
    rounds: u64,
    class: usize,
    dest: u64,
    outcome: Outcome,
    ms: u32,
) -> usize {
    let mut sent = 0;
    for id in first..first + rounds {
        let mut actions = d.feed(&[accepted(id, class, dest, MS * 8000)]);
        actions.extend(d.pass(MS * ms));
        for (message, endpoint) in sends(&actions) {
            sent += 1;
            d.feed(&[attempt_ended(message, endpoint, outcome, ms)]);
        }
    }
    sent
}

#[test]
fn invalid_settings_are_an_error() {
    let no_slots = Settings { max_calls_in_flight: 0, ..settings() };
    let no_classes = Settings { classes: Vec::new(), ..settings() };
    let nonsense = Settings { overload_multiple: f64::NAN, ..settings() };
    assert!([no_slots, no_classes, nonsense].into_iter().all(|s| Scheduler::new(s, 1).is_err()));
}

#[test]
fn the_earliest_deadline_is_sent_first_when_slots_are_scarce() {
    let mut d = Driver::new(
        Settings { max_calls_in_flight: 1, ..settings() },
        vec![entry(0, 1, 0, 0), entry(1, 2, 0, 0)],
    );
    assert_eq!(sends(&d.feed(&[accepted(1, 2, 1, MS * 20_000)])), [(1, 0)]);
    d.feed(&[accepted(2, 2, 1, MS * 20_000), accepted(3, 0, 2, MS * 8000)]);
    // The aim of class 0 is the nearest.
    assert_eq!(sends(&d.feed(&[attempt_ended(1, 0, Outcome::Delivered, 5)])), [(3, 1)]);
}

#[test]
fn one_destination_gets_three_quarters_of_the_slots() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 2, 0, 0)]);
    let crowd: Vec<_> = (0..20).map(|id| accepted(id, 0, 1, MS * 8000)).collect();
    assert_eq!(sends(&d.feed(&crowd)).len(), 6);
    assert_eq!(sends(&d.feed(&[accepted(50, 0, 2, MS * 8000)])), [(50, 1)]);
}

#[test]
fn a_stated_wait_applies_to_one_route_only_where_routes_are_separate() {
    for (kind, other_goes) in [(0, false), (1, true)] {
        let mut d = Driver::new(settings(), vec![entry(0, 1, 0, kind), entry(1, 1, 0, kind)]);
        let (message, endpoint) = sends(&d.feed(&[accepted(1, 0, 1, MS * 8000)]))[0];
        let wait = Outcome::Full { wait: Some(MS * 700) };
        let actions = d.feed(&[attempt_ended(message, endpoint, wait, 20)]);
        assert_eq!(sends(&actions).iter().any(|s| s.1 != endpoint), other_goes);
        assert!(!sends(&d.pass(MS * 690)).iter().any(|s| s.1 == endpoint));
        let later = sends(&d.pass(MS * 2000));
        assert_eq!(later.is_empty(), other_goes, "the wait ends, too");
    }
}

#[test]
fn a_rejected_bundle_restarts_its_wait_with_each_message() {
    // The outcomes of one call may arrive in two batches; the wait counts from the later one.
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 2)]);
    let both = d.feed(&[accepted(1, 0, 1, MS * 8000), accepted(2, 0, 1, MS * 8000)]);
    assert_eq!(sends(&both), [(1, 0), (2, 0)]);
    let wait = Outcome::Full { wait: Some(MS * 300) };
    d.feed(&[attempt_ended(1, 0, wait, 20)]);
    d.now += MS * 20;
    d.feed(&[attempt_ended(2, 0, wait, 40)]);
    assert!(sends(&d.pass(MS * 295)).is_empty());
    assert!(!sends(&d.pass(MS * 2000)).is_empty());
}

#[test]
fn a_once_message_that_may_have_run_fails_and_one_that_never_ran_is_retried() {
    for (outcome, fails) in [
        (Outcome::Error, true),
        (Outcome::TimedOut, true),
        (Outcome::Reset, true),
        (Outcome::ConnectFailed, false),
    ] {
        let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
        let (message, endpoint) = sends(&d.feed(&[accepted(1, 2, 1, MS * 20_000)]))[0];
        let mut actions = d.feed(&[attempt_ended(message, endpoint, outcome, 20)]);
        actions.extend(d.pass(MS * 3000));
        assert_eq!(has_action(&actions, |a| matches!(a, Action::Fail { .. })), fails, "{outcome:?}");
        assert_eq!(!sends(&actions).is_empty(), !fails, "{outcome:?}");
    }
}

#[test]
fn a_lost_reply_does_not_trigger_slow_start() {
    // Incident i5036bc: one call without an answer opened the breaker, and the slow start that followed
    // throttled a healthy endpoint.
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    assert_eq!(serve(&mut d, 0, 40, 0, 1, Outcome::Delivered, 50), 40);
    d.pass(MS * 5);
    d.feed(&[accepted(100, 2, 1, MS * 20_000)]);
    d.pass(MS * 2500);
    // The hung call has opened the breaker; the next message is its trial and closes it.
    let mut actions = d.feed(&[accepted(101, 0, 1, MS * 8000)]);
    actions.extend(d.pass(MS * 1000));
    assert_eq!(sends(&actions), [(101, 0)]);
    d.feed(&[attempt_ended(101, 0, Outcome::Delivered, 50)]);
    assert_eq!(serve(&mut d, 200, 40, 0, 1, Outcome::Delivered, 50), 40);
}

#[test]
fn a_confirmed_outage_is_followed_by_slow_start() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    serve(&mut d, 0, 60, 0, 1, Outcome::Delivered, 50);
    serve(&mut d, 100, 6, 0, 1, Outcome::Error, 50);
    let before = d.log.len();
    d.feed(&(200..240).map(|id| accepted(id, 0, 1, MS * 8000)).collect::<Vec<_>>());
    // The endpoint has recovered: every call from here on is answered.
    for _ in 0..600 {
        let actions = d.pass(MS * 5);
        for (message, endpoint) in sends(&actions) {
            d.feed(&[attempt_ended(message, endpoint, Outcome::Delivered, 50)]);
        }
        if has_action(&actions, |a| matches!(a, Action::Probe { .. })) {
            let endpoint = EndpointId(0);
            d.feed(&[Event::ProbeEnded {
                endpoint,
                outcome: Outcome::Delivered,
                elapsed: MS * 5,
                report: None,
            }]);
        }
    }
    let call = |a: &Action| matches!(a, Action::Send { .. } | Action::Probe { .. });
    let calls: Vec<_> = d.log[before..].iter().filter(|(_, a)| call(a)).collect();
    // At an observed 20 calls per second, 2 x 0.2 x 20 x 3 s = 24 at first, and slightly more as slow start
    // goes on.
    assert!((3..=36).contains(&calls.len()), "{} calls in the first 3 s", calls.len());
}

#[test]
fn a_stuck_call_is_cancelled_when_others_wait_for_its_slot() {
    // Incident i5036bc: calls that may run only once and got no answer occupied the slots until their
    // deadline.
    let mut d = Driver::new(
        Settings { max_calls_in_flight: 2, ..settings() },
        vec![entry(0, 1, 0, 0), entry(1, 2, 0, 0)],
    );
    d.feed(&[accepted(1, 2, 1, MS * 20_000), accepted(2, 2, 2, MS * 20_000)]);
    let cancel = |a: &Action| matches!(a, Action::Cancel { .. });
    assert!(!has_action(&d.pass(MS * 6000), cancel), "with nothing waiting the call is left its time");
    d.feed(&[accepted(3, 0, 2, MS * 8000)]);
    assert!(has_action(&d.pass(MS * 50), cancel));
}

#[test]
fn nothing_goes_to_a_draining_endpoint_and_a_message_without_one_is_refused_in_time() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    let gone = EndpointEntry { state: EndpointState::Draining, ..entry(0, 1, 0, 0) };
    d.feed(&[Event::EndpointList { complete: false, entries: vec![gone] }]);
    let mut actions = d.feed(&[accepted(1, 0, 1, MS * 3000)]);
    actions.extend(d.pass(MS * 3100));
    assert!(sends(&actions).is_empty());
    assert!(has_action(&actions, |a| matches!(a, Action::Refuse { .. })));
}

#[test]
fn a_failed_subscription_is_retried() {
    let mut d = Driver::new(Settings { subscription_required: true, ..settings() }, vec![entry(0, 1, 0, 0)]);
    let asks = |d: &Driver| d.log.iter().filter(|(_, a)| matches!(a, Action::Subscribe { .. })).count();
    assert_eq!(asks(&d), 1);
    d.now += MS * 5;
    d.feed(&[Event::EndpointListFailed]);
    d.pass(MS * 3000);
    assert_eq!(asks(&d), 2);
    d.feed(&[Event::EndpointList { complete: false, entries: Vec::new() }]);
    d.pass(MS * 20_000);
    assert_eq!(asks(&d), 2);
}

#[test]
fn a_paused_destination_cannot_use_up_the_message_limit() {
    let mut d =
        Driver::new(Settings { max_messages: 40, ..settings() }, vec![entry(0, 1, 0, 0), entry(1, 2, 0, 0)]);
    let (message, endpoint) = sends(&d.feed(&[accepted(0, 1, 1, MS * 20_000)]))[0];
    d.feed(&[attempt_ended(message, endpoint, Outcome::Full { wait: Some(MS * 9000) }, 10)]);
    let actions = d.feed(&(1..60).map(|id| accepted(id, 1, 1, MS * 20_000)).collect::<Vec<_>>());
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert!(refused >= 20, "{refused} refused");
    assert_eq!(sends(&d.feed(&[accepted(99, 0, 2, MS * 8000)])), [(99, 1)]);
}

#[test]
fn calls_sent_without_a_rate_leave_no_token_debt_once_one_is_known() {
    // The token bucket must not go far below zero while no rate is known.
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    assert_eq!(serve(&mut d, 0, 60, 0, 1, Outcome::Delivered, 50), 60);
    assert_eq!(serve(&mut d, 100, 1, 0, 1, Outcome::Full { wait: None }, 20), 1);
    d.pass(MS * 400);
    assert!(serve(&mut d, 200, 20, 0, 1, Outcome::Delivered, 50) >= 15);
}

#[test]
fn a_rate_decrease_does_not_refuse_messages_that_can_be_served_later() {
    // With failing destinations under load, the chart assumed the decreased rate for all of the remaining
    // time.
    let set = Settings { weight_kind: WeightKind::Nominal, ..settings() };
    let mut d = Driver::new(set, vec![EndpointEntry { weight: 20.0, ..entry(0, 1, 0, 0) }]);
    // Rejected again and again, until the rate is near its lower bound.
    let mut fulls = 0;
    let mut out = sends(&d.feed(&[accepted(0, 1, 1, MS * 20_000), accepted(1, 1, 1, MS * 20_000)]));
    for _ in 0..400 {
        let full = Outcome::Full { wait: Some(MS * 600) };
        let ends: Vec<_> = out.iter().map(|(m, e)| attempt_ended(*m, *e, full, 5)).collect();
        fulls += ends.len();
        out = sends(&d.feed(&ends));
        out.extend(sends(&d.pass(MS * 10)));
    }
    assert!(fulls >= 8, "{fulls} refusals as full");
    let actions = d.feed(&(100..150).map(|id| accepted(id, 1, 1, MS * 20_000)).collect::<Vec<_>>());
    // Half of 20 calls per second, even at the lowest rate, allows for 50 messages in their 20 s.
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count();
    assert!(refused <= 10, "{refused} refused");
}

#[test]
fn events_that_a_stalled_courier_receives_late_do_not_count_as_a_hang() {
    // Answers that arrived while this courier was stalled are answers, not silence of the endpoint.
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    assert_eq!(serve(&mut d, 0, 20, 0, 1, Outcome::Delivered, 50), 20);
    assert_eq!(sends(&d.feed(&[accepted(100, 2, 1, MS * 20_000)])), [(100, 0)]);
    d.now += MS * 2000;
    d.feed(&[attempt_ended(100, 0, Outcome::Delivered, 60), accepted(101, 2, 1, MS * 20_000)]);
    assert_eq!(
        d.log.last().map(|l| matches!(l.1, Action::Send { .. } | Action::SetTimer { .. })),
        Some(true)
    );
    assert!(sends(&d.log.iter().map(|l| l.1.clone()).collect::<Vec<_>>()).contains(&(101, 0)));
}

#[test]
fn a_courier_with_few_calls_closes_its_connection_when_connections_are_scarce() {
    // Hundreds of idle connections of a large fleet left none for a call.
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 2, 0, 0), entry(2, 3, 0, 1)]);
    let close = |a: &Action| matches!(a, Action::CloseIdleConnections { .. });
    let end = |d: &mut Driver, id, dest, outcome| {
        let (message, endpoint) = sends(&d.feed(&[accepted(id, 0, dest, MS * 8000)]))[0];
        d.feed(&[attempt_ended(message, endpoint, outcome, 30)])
    };
    assert!(
        !has_action(&end(&mut d, 1, 1, Outcome::Delivered), close),
        "connections are not known to be scarce"
    );
    end(&mut d, 2, 2, Outcome::ConnectFailed);
    assert!(has_action(&end(&mut d, 3, 1, Outcome::Delivered), close), "connections of this kind are scarce");
    assert!(!has_action(&end(&mut d, 4, 3, Outcome::Delivered), close), "another kind's are not");
}

#[test]
fn an_idle_courier_sets_no_timer_and_one_with_held_messages_sets_few() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    let timers = |d: &Driver| d.log.iter().filter(|(_, a)| matches!(a, Action::SetTimer { .. })).count();
    d.pass(MS * 10_000);
    assert_eq!(timers(&d), 0);
    let (message, endpoint) = sends(&d.feed(&[accepted(1, 0, 1, MS * 8000)]))[0];
    d.feed(&[attempt_ended(message, endpoint, Outcome::Full { wait: Some(MS * 2000) }, 20)]);
    assert_eq!(sends(&d.pass(MS * 2100)).len(), 1);
    assert!(timers(&d) < 12, "{} wake-ups for one wait", timers(&d));
}

#[test]
fn a_refusal_states_when_to_retry() {
    // The endpoint has stated a wait that is longer than the message's remaining time.
    let mut drive = Driver::new(settings(), vec![entry(1, 7, 0, 0)]);
    drive.feed(&[accepted(1, 0, 7, MS * 8000)]);
    drive.feed(&[attempt_ended(1, 1, Outcome::Full { wait: Some(MS * 9000) }, 20)]);
    let actions = drive.pass(MS * 8000);
    let waits = actions.iter().filter_map(|a| match a {
        Action::Refuse { wait, .. } => Some(wait.expect("a time to come again")),
        _ => None,
    });
    let waits: Vec<_> = waits.collect();
    assert_eq!(waits.len(), 1);
    assert!(waits[0] >= MS * 500 && waits[0] <= MS * 2000, "{waits:?}");
}

#[test]
fn endpoints_of_one_destination_with_open_breakers_take_turns_at_trials() {
    // With replaced endpoints, a failed trial scheduled the others after its own next trial, so that an
    // endpoint that stayed down was always tried and a recovered one never.
    let known = |id| EndpointEntry { weight: 20.0, ..entry(id, 1, 0, 1) };
    let mut d =
        Driver::new(Settings { weight_kind: WeightKind::Nominal, ..settings() }, (0..3).map(known).collect());
    let mut late = Vec::new();
    for id in 0..600 {
        let mut actions = d.feed(&[accepted(id, 0, 1, MS * 8000)]);
        actions.extend(d.pass(MS * 50));
        while let Some((message, endpoint)) = sends(&actions).first().copied() {
            late.extend((id > 300).then_some(endpoint));
            actions.retain(|a| !matches!(a, Action::Send { message: m, .. } if m.0 == message));
            actions.extend(d.feed(&[attempt_ended(message, endpoint, Outcome::ConnectFailed, 1)]));
        }
    }
    let trials = |endpoint| late.iter().filter(|e| **e == endpoint).count();
    assert!((0..3).all(|e| trials(e) >= 3), "{late:?}");
}

#[test]
fn an_endpoint_gone_for_long_is_forgotten_once_nothing_refers_to_it() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 1), entry(1, 1, 0, 1)]);
    let forgotten = |actions: &[Action]| -> Vec<u32> {
        let one =
            |a: &Action| if let Action::ForgetEndpoint { endpoint } = a { Some(endpoint.0) } else { None };
        actions.iter().filter_map(one).collect()
    };
    let sent = sends(&d.feed(&[accepted(1, 2, 1, MS * 60_000)]));
    let (out, other) = (sent[0].1, 1 - sent[0].1);
    let list = |entries: Vec<EndpointEntry>| Event::EndpointList { complete: true, entries };
    assert!(
        forgotten(&d.feed(&[list(vec![entry(2, 1, 0, 1)])])).is_empty(),
        "it may return and need slow start"
    );
    let mut seen = d.pass(MS * 11_000);
    seen.extend(d.feed(&[list(vec![entry(2, 1, 0, 1)])]));
    assert_eq!(forgotten(&seen), [other], "a call to the first is still in flight");
    d.feed(&[attempt_ended(1, out, Outcome::Delivered, 50)]);
    d.pass(MS * 20);
    assert_eq!(forgotten(&d.feed(&[list(vec![entry(2, 1, 0, 1)])])), [out]);
    // When listed again, it is a new endpoint and is used.
    d.feed(&[list(vec![entry(out, 1, 0, 1)])]);
    assert_eq!(sends(&d.feed(&[accepted(2, 0, 1, MS * 8000)])), [(2, out)]);
}

#[test]
fn a_once_message_avoids_endpoints_with_failures_that_may_have_run_but_not_those_with_failed_connects() {
    // A courier of a large fleet calls rarely, so that a single failure counts for much.
    for (outcome, waits) in [(Outcome::ConnectFailed, false), (Outcome::Error, true)] {
        let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
        assert_eq!(serve(&mut d, 0, 1, 0, 1, Outcome::Delivered, 50), 1);
        d.pass(MS * 1000);
        assert_eq!(sends(&d.feed(&[accepted(1, 2, 1, MS * 20_000)])), [(1, 0)]);
        d.feed(&[attempt_ended(1, 0, Outcome::ConnectFailed, 50)]);
        assert_eq!(
            sends(&d.pass(MS * 1000)),
            [(1, 0)],
            "never ran: retried as soon as a new connection is allowed"
        );
        d.feed(&[attempt_ended(1, 0, outcome, 50)]);
        d.feed(&[accepted(2, 2, 1, MS * 20_000)]);
        let soon = sends(&d.pass(MS * 1000)).iter().any(|s| s.0 == 2);
        assert_eq!(soon, !waits, "after {outcome:?}");
    }
}

#[test]
fn an_endpoint_at_its_connection_limit_is_retried_soon_and_does_not_count_as_down() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    assert_eq!(serve(&mut d, 0, 1, 0, 1, Outcome::Delivered, 50), 1);
    // Long after a success, one failure would open the breaker, and each rejected trial would keep it open.
    d.pass(MS * 12_000);
    assert_eq!(sends(&d.feed(&[accepted(1, 1, 1, MS * 20_000)])), [(1, 0)]);
    for wait in [150, 300, 600] {
        d.feed(&[attempt_ended(1, 0, Outcome::Crowded, 50)]);
        assert!(
            sends(&d.pass(MS * 45)).is_empty(),
            "not at once: others may use the connection that becomes free"
        );
        assert_eq!(sends(&d.pass(MS * wait)), [(1, 0)]);
    }
}

#[test]
fn a_trial_rejected_by_the_connection_limit_keeps_the_breaker_open() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    assert!(serve(&mut d, 0, 6, 0, 1, Outcome::Error, 20) > 0);
    let held: Vec<_> = (20..26).map(|id| accepted(id, 0, 1, MS * 60_000)).collect();
    let mut trial = sends(&d.feed(&held));
    for _ in 0..400 {
        if trial.is_empty() {
            trial = sends(&d.pass(MS * 5));
        }
    }
    assert_eq!(trial.len(), 1, "one trial for six that are held: {trial:?}");
    d.feed(&[attempt_ended(trial[0].0, 0, Outcome::Crowded, 20)]);
    assert!(sends(&d.pass(MS * 240)).is_empty(), "an accepted connection attempt does not prove recovery");
    assert!(!sends(&d.pass(MS * 45_000)).is_empty(), "it is tried again");
}

#[test]
fn a_keyed_message_that_may_have_run_is_refused_in_no_scope_where_a_refusal_proves_that_it_never_ran() {
    // Told as refused, it could be submitted again after its key's window and take effect twice.
    let refused = |scope, refuse_keyed_only_unrun, first: Outcome| {
        let mut set = settings();
        set.classes[1].effect = Effect::Keyed { scope, window: MS * 5000 };
        set.classes[1].refuse_keyed_only_unrun = refuse_keyed_only_unrun;
        let mut d = Driver::new(set, vec![entry(0, 1, 0, 0)]);
        let (message, endpoint) = sends(&d.feed(&[accepted(1, 1, 1, MS * 20_000)]))[0];
        let mut actions = d.feed(&[attempt_ended(message, endpoint, first, 5)]);
        for _ in 0..4100 {
            let ends: Vec<_> =
                sends(&actions).iter().map(|s| attempt_ended(s.0, s.1, Outcome::ConnectFailed, 5)).collect();
            actions = d.feed(&ends);
            actions.extend(d.pass(MS * 5));
        }
        let log: Vec<_> = d.log.into_iter().map(|l| l.1).collect();
        let (refused, failed) = (
            has_action(&log, |a| matches!(a, Action::Refuse { .. })),
            has_action(&log, |a| matches!(a, Action::Fail { .. })),
        );
        assert!(refused != failed, "one answer");
        refused
    };
    for scope in [KeyScope::All, KeyScope::Zone, KeyScope::Endpoint] {
        assert!(!refused(scope, true, Outcome::TimedOut), "{scope:?}");
        assert!(refused(scope, true, Outcome::ConnectFailed), "{scope:?}: it never ran");
    }
    assert!(refused(KeyScope::All, false, Outcome::TimedOut), "as decided on the platform");
}
