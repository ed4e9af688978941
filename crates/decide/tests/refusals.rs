//! Calls that one endpoint refuses ([`Outcome::Refused`]): the others of its destination serve on, and
//! refusals by all of them hold back the whole destination.

mod common;
use common::simulation::*;
use common::*;
use stairshed_decide::interface::*;
use std::time::Duration;

const REFUSED: Outcome = Outcome::Refused { wait: None };

/// What a destination with these endpoints does with 40 messages per second for a minute, each endpoint with
/// the share of calls that it refuses.
fn play(refusal_shares: &[f64], seed: u64) -> Counts {
    let server = |(n, refusal_share): (usize, &f64)| Server {
        entry: entry(n as u32, 1, 0, 0),
        limit: 1000.0,
        burst_seconds: 1.0,
        max_connections: 1000,
        unreachable: false,
        refusal_share: *refusal_share,
    };
    let servers = refusal_shares.iter().enumerate().map(server).collect();
    let set = Settings { max_calls_in_flight: 64, ..settings() };
    let mut simulation = Simulation::new(set, 2, servers, seed);
    simulation.load = vec![(1, 40.0)];
    let mut counts = simulation.pass(Duration::from_secs(60));
    simulation.load.clear();
    let rest = simulation.pass(Duration::from_secs(21));
    counts.delivery_times.extend(rest.delivery_times);
    counts.calls += rest.calls;
    counts.endpoint_refusals += rest.endpoint_refusals;
    assert_eq!(simulation.unfinished(), 0);
    counts
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Checks that less than 0.5 % of the messages go unserved, and that the median time is within 1.5 times of
/// that without refusals.
fn check_served(refusal_shares: &[f64]) {
    for seed in 1..=4 {
        let base = play(&vec![0.0; refusal_shares.len()], seed);
        let counts = play(refusal_shares, seed);
        let unserved = counts.submitted - counts.delivery_times.len();
        let share = unserved as f64 / counts.submitted as f64;
        let (median, base) = (median(counts.delivery_times), median(base.delivery_times));
        println!(
            "refusals {refusal_shares:?}: {unserved} of {} unserved, median {median:?}, {base:?} without, \
             {} calls, {} refused",
            counts.submitted, counts.calls, counts.endpoint_refusals
        );
        assert!(counts.endpoint_refusals > 0, "nothing was refused");
        assert!(share < 0.005, "{unserved} of {} unserved", counts.submitted);
        assert!(median <= base.mul_f64(1.5), "median {median:?}, {base:?} without refusals");
    }
}

#[test]
fn random_refusals_by_each_of_three_endpoints_leave_messages_served() {
    for share in [0.05, 0.15, 0.3] {
        check_served(&[share; 3]);
    }
}

#[test]
fn an_endpoint_that_refuses_all_does_not_hold_back_the_others() {
    check_served(&[1.0, 0.0, 0.0]);
    check_served(&[0.0, 1.0, 0.0]);
}

#[test]
fn a_single_endpoint_that_refuses_at_random_serves_on() {
    for share in [0.05, 0.15, 0.3] {
        check_served(&[share]);
    }
}

/// Answers each send of this driver at once: a refusal by endpoints for which `refuses`, else a delivery.
/// Returns the sends with their times.
fn answer(
    d: &mut Driver,
    span: Duration,
    mut actions: Vec<Action>,
    refuses: impl Fn(u32) -> bool,
) -> Vec<(Duration, u64, u32)> {
    let (end, mut all) = (d.now + span, Vec::new());
    while d.now < end {
        while !actions.is_empty() {
            let ended: Vec<_> = sends(&std::mem::take(&mut actions));
            all.extend(ended.iter().map(|(message, endpoint)| (d.now, *message, *endpoint)));
            for (message, endpoint) in ended {
                let outcome = if refuses(endpoint) { REFUSED } else { Outcome::Delivered };
                actions.extend(d.feed(&[attempt_ended(message, endpoint, outcome, 5)]));
            }
        }
        actions = d.pass(MS * 5);
    }
    all
}

#[test]
fn a_refused_message_goes_to_another_endpoint_at_once() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
    // Also one that may run only once: a refusal proves that it never ran.
    for id in 1..=2 {
        let (message, endpoint) = sends(&d.feed(&[accepted(id, 2, 1, MS * 20_000)]))[0];
        let next = sends(&d.feed(&[attempt_ended(message, endpoint, REFUSED, 5)]));
        assert_eq!(next, [(id, 1 - endpoint)]);
        d.feed(&[attempt_ended(id, 1 - endpoint, Outcome::Delivered, 50)]);
        d.pass(MS * 1000);
    }
}

#[test]
fn a_refusal_does_not_undo_an_earlier_attempt_that_may_have_run() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 1, 0)]);
    let (message, first) = sends(&d.feed(&[accepted(1, 1, 1, MS * 20_000)]))[0];
    let mut actions = d.feed(&[attempt_ended(message, first, Outcome::Error, 5)]);
    actions.extend(d.pass(MS * 3000));
    assert_eq!(sends(&actions), [(1, first)], "its key is known in the first endpoint's zone alone");
    let sent = answer(&mut d, MS * 20_000, actions, |_| true);
    assert!(sent.len() > 1 && sent.iter().all(|s| s.2 == first), "{sent:?}");
    let log: Vec<_> = d.log.into_iter().map(|l| l.1).collect();
    assert!(has_action(&log, |a| matches!(a, Action::Fail { .. })), "told as if it had never run");
}

#[test]
fn a_wait_stated_with_a_refusal_applies_to_that_endpoint_alone() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
    let (message, endpoint) = sends(&d.feed(&[accepted(1, 0, 1, MS * 8000)]))[0];
    let wait = Outcome::Refused { wait: Some(MS * 4000) };
    let mut actions = d.feed(&[attempt_ended(message, endpoint, wait, 5)]);
    actions.extend(d.feed(&(10..40).map(|id| accepted(id, 0, 1, MS * 8000)).collect::<Vec<_>>()));
    let sent = answer(&mut d, MS * 3990, actions, |_| false);
    assert_eq!(sent.len(), 31);
    assert!(sent.iter().all(|s| s.2 != endpoint));
}

#[test]
fn a_long_wait_stated_by_a_probe_or_a_refusal_of_a_lone_endpoint_is_heeded() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    let outcome = Outcome::Refused { wait: Some(MS * 5000) };
    d.feed(&[Event::ProbeEnded { endpoint: EndpointId(0), outcome, elapsed: MS, report: None }]);
    d.feed(&[accepted(1, 0, 1, MS * 20_000)]);
    assert!(sends(&d.pass(MS * 4990)).is_empty());
    assert_eq!(sends(&d.pass(MS * 1000)), [(1, 0)]);
}

#[test]
fn an_endpoint_that_refuses_all_is_left_alone_and_serves_again_when_needed() {
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0), entry(1, 1, 0, 0)]);
    let mut to_refusing = 0;
    let mut id = 0;
    for _ in 0..1200 {
        id += 1;
        let actions = d.feed(&[accepted(id, 0, 1, MS * 8000)]);
        to_refusing += answer(&mut d, MS * 50, actions, |e| e == 0).iter().filter(|s| s.2 == 0).count();
    }
    assert!((1..=150).contains(&to_refusing), "{to_refusing} of 1200 calls in a minute");
    // It serves again, and the other one refuses.
    let mut recovered = 0;
    for _ in 0..400 {
        id += 1;
        let actions = d.feed(&[accepted(id, 0, 1, MS * 8000)]);
        recovered += answer(&mut d, MS * 50, actions, |e| e == 1).iter().filter(|s| s.2 == 0).count();
    }
    assert!(recovered >= 300, "{recovered} of 400 messages");
}

#[test]
fn refusals_by_all_endpoints_hold_back_the_destination_but_do_not_silence_it() {
    for endpoints in [1, 3] {
        let mut d = Driver::new(settings(), (0..endpoints).map(|n| entry(n, 1, 0, 0)).collect());
        // Endpoints that have served before.
        for id in 0..60 {
            let actions = d.feed(&[accepted(id, 0, 1, MS * 8000)]);
            answer(&mut d, MS * 20, actions, |_| false);
        }
        let actions = d.feed(&(100..140).map(|id| accepted(id, 1, 1, MS * 60_000)).collect::<Vec<_>>());
        let start = d.now;
        let sent = answer(&mut d, MS * 30_000, actions, |_| true);
        let late: Vec<_> = sent.iter().filter(|s| s.0 > start + MS * 10_000).collect();
        assert!(late.len() <= 20 * 3, "{} calls in 20 s to {endpoints}", late.len());
        assert!(late.len() >= 4, "{} calls in 20 s to {endpoints}", late.len());
        let times: Vec<_> = sent.iter().map(|s| s.0).chain([d.now]).collect();
        let longest = times.windows(2).map(|w| w[1] - w[0]).max().expect("sends");
        // The longest backoff of 1.6 s, with jitter.
        assert!(longest <= MS * 2500, "silent for {longest:?}");
        // All are delivered once it serves, none was given up.
        let rest = answer(&mut d, MS * 25_000, Vec::new(), |_| false);
        assert_eq!(rest.len(), 40, "to {endpoints}");
    }
}

#[test]
fn refusals_neither_end_a_message_before_its_deadline_nor_repeat_it_without_bound() {
    for endpoints in [1, 3] {
        let mut d = Driver::new(settings(), (0..endpoints).map(|n| entry(n, 1, 0, 0)).collect());
        let start = d.now;
        let actions = d.feed(&[accepted(1, 2, 1, MS * 60_000)]);
        let sent = answer(&mut d, MS * 61_000, actions, |_| true);
        assert!(sent.len() > 6, "more than the limit on attempts, {}", sent.len());
        assert!(sent.len() <= 60, "{} attempts in a minute", sent.len());
        let refused = d.log.iter().filter(|l| matches!(l.1, Action::Refuse { .. })).collect::<Vec<_>>();
        assert_eq!(refused.len(), 1);
        assert!(refused[0].0 > start + MS * 59_000, "ended {:?} after its start", refused[0].0 - start);
    }
}

#[test]
fn rejected_messages_do_not_count_against_their_endpoint() {
    const COUNT: u64 = 50;
    let mut d = Driver::new(settings(), vec![entry(0, 1, 0, 0)]);
    for message in 0..COUNT {
        let sent = sends(&d.feed(&[accepted(message, 0, 1, MS * 8000)]));
        assert_eq!(sent, [(message, 0)], "sent at once");
        d.pass(MS * 20);
        let actions = d.feed(&[attempt_ended(message, 0, Outcome::Rejected, 20)]);
        assert!(!has_action(&actions, |a| !matches!(a, Action::SetTimer { .. })), "{actions:?}");
    }
}
