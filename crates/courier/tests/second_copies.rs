//! The answer to an earlier call is never matched to a later call on the same connection. Courier processes on
//! loopback, with endpoints that send some of their answers twice. `SEED=n` repeats the random load of one seed.

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

/// Number of destinations, each with an endpoint in both zones.
const DESTINATIONS: u64 = 3;
/// Calls that a courier may have in flight: few, so that a connection is reused as soon as its answer has arrived.
const MAX_CALLS_IN_FLIGHT: usize = 6;
/// Messages that each client submits, one after the other.
const MESSAGES_PER_CLIENT: usize = 40;
/// Pause of a client between two messages.
const PAUSE: Duration = Duration::from_millis(80);
/// Number of clients for each class.
const CLIENTS_PER_CLASS: usize = 4;
const DEADLINE_MS: u64 = 5_000;
/// A message that has not ended this long after its deadline counts as lost (protocol page: 300 ms, plus 50 ms for
/// sockets).
const MAX_LATENESS: Duration = Duration::from_millis(350);
/// Share of the calls that are refused.
const REFUSED_SHARE: f64 = 0.1;
/// Share of the answers that are sent twice.
const DUPLICATED_SHARE: f64 = 0.3;
/// A run with fewer calls is too short to show a fault.
const MIN_CALLS: usize = 200;

/// Range of the time between an answer and its copy.
#[derive(Clone, Copy)]
struct CopyDelay {
    earliest_ms: u64,
    latest_ms: u64,
}

/// As in incident fde2a4: the copy arrives while the next call is in flight.
const DURING_NEXT_CALL: CopyDelay = CopyDelay { earliest_ms: 1, latest_ms: 15 };
/// The copy arrives later than any pause between two calls.
const AFTER_NEXT_CALL: CopyDelay = CopyDelay { earliest_ms: 20, latest_ms: 400 };

fn script(rng: &mut SmallRng, copy_delay: CopyDelay) -> Script {
    let duplicated = rng.random_bool(DUPLICATED_SHARE);
    let after = rng.random_range(copy_delay.earliest_ms..=copy_delay.latest_ms);
    Script {
        answer: Some(distinct_answer(rng, REFUSED_SHARE)),
        delay: Duration::from_millis(rng.random_range(10..=60)),
        reset_after: false,
        copy_after: duplicated.then(|| Duration::from_millis(after)),
    }
}

/// Runs one courier under load with endpoints in two zones, and returns the record once all messages have ended.
fn run_load(copy_delay: CopyDelay) -> RunRecord {
    let seed = env_or("SEED", 1);
    println!("seed {seed}");
    let log = CallLog::default();
    let hosts = start_in_two_zones(DESTINATIONS, &log, seed, move |rng| script(rng, copy_delay));
    let known = list(1, true, hosts);
    let discovery = Discovery::new(known.clone());
    let mut config = config(&discovery, known);
    config["settings"]["family-info"]["slots"] = json!(MAX_CALLS_IN_FLIGHT);
    config["seed"] = json!(format!("{seed:x}"));
    let folder = TestFolder::new();
    let courier = Courier::spawn(command(&folder, &discovery, &config).args(["--follow", "1/1"]));
    let address = courier.address;
    let clients: Vec<_> = CLASSES
        .iter()
        .flat_map(|class| (0..CLIENTS_PER_CLASS).map(move |client| (*class, client)))
        .map(|(class, client)| thread::spawn(move || submit_all(address, class, client)))
        .collect();
    let accepted: BTreeSet<_> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    wait_for_ends(&accepted, &log, &discovery, Duration::from_millis(DEADLINE_MS) + MAX_LATENESS);
    let record = RunRecord::new(accepted, &log, &discovery, courier.unread_log());
    println!("{}", record.summary());
    assert!(record.calls.len() > MIN_CALLS, "too few calls to show a fault");
    record
}

fn submit_all(courier: SocketAddr, class: &str, client: usize) -> Vec<String> {
    let ids = (0..MESSAGES_PER_CLIENT).map(|n| format!("{class}-{client}-{n}"));
    let submit = |id: &String| {
        thread::sleep(PAUSE);
        exchange(courier, message(id, class, destination_of(id), DEADLINE_MS).as_bytes())
    };
    ids.filter(|id| submit(id).is_some_and(|answer| answer.status() == 202)).collect()
}

fn destination_of(id: &str) -> u64 {
    id.bytes().map(u64::from).sum::<u64>() % DESTINATIONS
}

// Guards against matching a copy of a 503 to a payment that is running (incident fde2a4).
#[test]
fn payment_runs_once_where_endpoints_send_an_answer_twice() {
    for copy_delay in [DURING_NEXT_CALL, AFTER_NEXT_CALL] {
        let record = run_load(copy_delay);
        record.assert_payments_run_once();
    }
}

// Guards against resending a message while its first attempt is in flight (incident fde2a4).
#[test]
fn one_attempt_at_once_where_endpoints_send_an_answer_twice() {
    for copy_delay in [DURING_NEXT_CALL, AFTER_NEXT_CALL] {
        let record = run_load(copy_delay);
        record.assert_one_attempt_at_once();
    }
}

// Guards against sending a keyed message to the other zone while it runs in the first (incident fde2a4).
#[test]
fn keyed_repeat_stays_in_its_zone_where_endpoints_send_an_answer_twice() {
    for copy_delay in [DURING_NEXT_CALL, AFTER_NEXT_CALL] {
        let record = run_load(copy_delay);
        record.assert_keyed_repeats_stay_in_their_zone();
    }
}

// Guards against matching a copy of a 200 to a message that was refused (incident fde2a4).
#[test]
fn no_message_is_lost_where_endpoints_send_an_answer_twice() {
    for copy_delay in [DURING_NEXT_CALL, AFTER_NEXT_CALL] {
        let record = run_load(copy_delay);
        record.assert_none_lost();
    }
}

// Guards against reusing a connection when a copy of its last answer could not be distinguished from the next answer.
#[test]
fn connection_is_not_reused_when_answers_are_identical() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("m{n}"), CLASSES[n % CLASSES.len()], 7, DEADLINE_MS);
        wait_until("the call", || endpoint.calls().len() == n + 1);
    }
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3]);
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

// Guards against matching a copy of the 204 for one POST of notices to the next POST.
#[test]
fn notice_is_posted_again_where_the_platform_sends_an_answer_twice() {
    let endpoint = Endpoint::new(|_| EndpointAction::CloseConnection);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    discovery.post_scripts.lock().expect("scripts").extend(PostScript::DUPLICATED_THEN_REFUSED);
    courier.submit_accepted("first", "payment", 7, DEADLINE_MS);
    wait_until("the first notice", || discovery.results("first") == ["dead"]);
    courier.submit_accepted("second", "payment", 7, DEADLINE_MS);
    wait_until("the second notice", || discovery.results("second") == ["dead"]);
}

// Guards against matching a copy of the 204 for the answer to one configuration version to the answer to the next.
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

// Guards against ignoring a requested wait because its answer equals an earlier one.
#[test]
fn requested_wait_is_respected_when_its_answer_repeats_an_earlier_one() {
    const WAIT: Duration = Duration::from_millis(800);
    let full = |left: &str| {
        format!(
            "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: {}\r\nX-Server-Load: TEXT x0={left}, x1=900\r\n\
             Content-Length: 0\r\n\r\n",
            WAIT.as_millis()
        )
    };
    // The second answer differs from the first, so its connection is reused; the third repeats the second.
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
