//! An answer of an earlier call is never taken for that of a later one on the same connection: couriers as processes on
//! loopback, and endpoints that send some of their answers twice. `SEED=n` plays one seed of the random load again.

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::json;
use stairshed_rig::control_service::ControlService;
use stairshed_rig::delivery_rules::{CLASSES, RunRecord, wait_for_ends};
use stairshed_rig::duplicating_endpoint::{CallLog, Script, distinct_answer, start_in_two_zones};
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Each with an endpoint in either zone.
const DESTINATIONS: u64 = 3;
/// Calls that a courier has out at once: few, so that a connection is used again as soon as it has its answer.
const SLOTS: usize = 6;
/// Messages that one client hands in, one after the other.
const MESSAGES: usize = 40;
/// Between two of its messages.
const PAUSE: Duration = Duration::from_millis(80);
/// Of each class.
const CLIENTS: usize = 4;
const TIME_MS: u64 = 5_000;
/// A message that has not ended so long after its time is lost (protocol page: 300 ms, and 50 ms on sockets).
const LATE: Duration = Duration::from_millis(350);
/// Shares of the calls that are refused, and of the answers that are sent twice.
const REFUSED_SHARE: f64 = 0.1;
const COPIED_SHARE: f64 = 0.3;
/// Fewer calls show nothing.
const MIN_CALLS: usize = 200;

/// When second copies come, after their answer.
#[derive(Clone, Copy)]
struct Copies {
    earliest_ms: u64,
    latest_ms: u64,
}

/// As in the incident: once the next call is out.
const AS_REPORTED: Copies = Copies { earliest_ms: 1, latest_ms: 15 };
/// Later than any pause between two calls.
const LATER: Copies = Copies { earliest_ms: 20, latest_ms: 400 };

fn script(rng: &mut SmallRng, copies: Copies) -> Script {
    let copied = rng.random_bool(COPIED_SHARE);
    let after = rng.random_range(copies.earliest_ms..=copies.latest_ms);
    Script {
        answer: Some(distinct_answer(rng, REFUSED_SHARE)),
        delay: Duration::from_millis(rng.random_range(10..=60)),
        reset_after: false,
        copy_after: copied.then(|| Duration::from_millis(after)),
    }
}

/// One courier between clients and two endpoints in different zones; all messages have ended when it returns.
fn play(copies: Copies) -> RunRecord {
    let seed = env_or("SEED", 1);
    println!("seed {seed}");
    let log = CallLog::default();
    let hosts = start_in_two_zones(DESTINATIONS, &log, seed, move |rng| script(rng, copies));
    let known = list(1, true, hosts);
    let discovery = Discovery::new(known.clone());
    let mut config = config(&discovery, known);
    config["settings"]["family-info"]["slots"] = json!(SLOTS);
    config["seed"] = json!(format!("{seed:x}"));
    let folder = TestFolder::new();
    let courier = Courier::spawn(command(&folder, &discovery, &config).args(["--follow", "1/1"]));
    let address = courier.address;
    let clients: Vec<_> = CLASSES
        .iter()
        .flat_map(|class| (0..CLIENTS).map(move |client| (*class, client)))
        .map(|(class, client)| thread::spawn(move || hand_in_all(address, class, client)))
        .collect();
    let taken: BTreeSet<_> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    wait_for_ends(&taken, &log, &discovery, Duration::from_millis(TIME_MS) + LATE);
    let played = RunRecord::new(taken, &log, &discovery, courier.unread_log());
    println!("{}", played.summary());
    assert!(played.calls.len() > MIN_CALLS, "too few calls to show a fault");
    played
}

fn hand_in_all(courier: SocketAddr, class: &str, client: usize) -> Vec<String> {
    let ids = (0..MESSAGES).map(|n| format!("{class}-{client}-{n}"));
    let submit = |id: &String| {
        thread::sleep(PAUSE);
        exchange(courier, message(id, class, destination_of(id), TIME_MS).as_bytes())
    };
    ids.filter(|id| submit(id).is_some_and(|answer| answer.status() == 202)).collect()
}

fn destination_of(id: &str) -> u64 {
    id.bytes().map(u64::from).sum::<u64>() % DESTINATIONS
}

// Guards against a copy of a 503 that is taken for the answer to a payment which runs (incident fde2a4).
#[test]
fn payment_runs_once_where_endpoints_send_an_answer_twice() {
    for copies in [AS_REPORTED, LATER] {
        let played = play(copies);
        played.assert_payments_run_once();
    }
}

// Guards against a message that is sent again while its first attempt is still out (incident fde2a4).
#[test]
fn one_attempt_at_once_where_endpoints_send_an_answer_twice() {
    for copies in [AS_REPORTED, LATER] {
        let played = play(copies);
        played.assert_one_attempt_at_once();
    }
}

// Guards against a keyed message that runs in one zone and is sent to the other (incident fde2a4).
#[test]
fn keyed_repeat_stays_in_its_zone_where_endpoints_send_an_answer_twice() {
    for copies in [AS_REPORTED, LATER] {
        let played = play(copies);
        played.assert_keyed_repeats_stay_in_their_zone();
    }
}

// Guards against a copy of a 200 that is taken for the delivery of a message which was refused (incident fde2a4).
#[test]
fn no_message_is_lost_where_endpoints_send_an_answer_twice() {
    for copies in [AS_REPORTED, LATER] {
        let played = play(copies);
        played.assert_none_lost();
    }
}

// Guards against a connection that is used again although a copy of its last answer could not be told from the next.
#[test]
fn each_call_has_its_own_connection_where_answers_are_alike() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("m{n}"), CLASSES[n % CLASSES.len()], 7, TIME_MS);
        wait_until("the call", || endpoint.calls().len() == n + 1);
    }
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3]);
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

// Guards against a copy of the 204 for one post of notices that is taken for the answer to the next.
#[test]
fn notice_is_posted_again_where_the_platform_sends_an_answer_twice() {
    let endpoint = Endpoint::new(|_| EndpointAction::CloseConnection);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    discovery.post_scripts.lock().expect("scripts").extend(PostScript::DUPLICATED_THEN_REFUSED);
    courier.submit_accepted("first", "payment", 7, TIME_MS);
    wait_until("the first notice", || discovery.results("first") == ["dead"]);
    courier.submit_accepted("second", "payment", 7, TIME_MS);
    wait_until("the second notice", || discovery.results("second") == ["dead"]);
}

// Guards against a copy of the 204 for one answer to a version that is taken for the answer to the next.
#[test]
fn answer_to_a_version_is_posted_again_where_the_service_sends_an_answer_twice() {
    let control = ControlService::new();
    let folder = TestFolder::new();
    control.script_answers(PostScript::DUPLICATED_THEN_REFUSED);
    let _courier = Courier::serve(&folder, &file_with_control(&control));
    wait_until("the courier listens", || control.is_open());
    let config = json!({"limits": {"pool_wait": "500ms"}});
    control.send_version(1, &config);
    control.answer(1);
    control.send_version(2, &config);
    control.answer(2);
}

fn file_with_control(control: &ControlService) -> String {
    let url = control.url();
    format!(
        "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\n\
         [control]\nurl = \"{url}\"\nheartbeat = \"60s\"\nfirst_wait = \"1s\"\n\
         [classes.status]\neffect = \"repeatable\"\n\
         [pools.p]\nendpoints = [{{ address = \"127.0.0.1:9\" }}]\n\
         [routes.r]\nprefix = \"/\"\npool = \"p\"\nclass = \"status\"\n"
    )
}

// Guards against a wait that is not heeded because the answer that tells it equals an earlier one.
#[test]
fn wait_is_heeded_also_if_the_answer_that_tells_it_repeats_an_earlier_one() {
    const WAIT: Duration = Duration::from_millis(800);
    let full = |left: &str| {
        format!(
            "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: {}\r\nX-Server-Load: TEXT x0={left}, x1=900\r\n\
             Content-Length: 0\r\n\r\n",
            WAIT.as_millis()
        )
    };
    // The second differs from the first, so its connection is kept; the third is the second once more.
    let [first, second] = ["0.1", "0.2"].map(|left| &*full(left).leak());
    let answers = [first, second, second];
    let endpoint = Endpoint::new(move |n| EndpointAction::Respond(answers.get(n).copied().unwrap_or(OK)));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the third call", || endpoint.calls().len() == 3);
    thread::sleep(50 * MS);
    courier.submit_accepted("n", "notice", 7, 20_000);
    wait_until("the fourth call", || endpoint.calls().len() >= 4);
    let calls = endpoint.calls();
    assert_eq!(
        calls[2].connection, calls[1].connection,
        "the third answer is not the first on its connection"
    );
    let gap = calls[3].at - calls[2].at;
    assert!(gap >= WAIT, "called again after {gap:?}");
}
