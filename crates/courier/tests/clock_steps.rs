//! The wall clock is stepped by an hour, forward and back, while a courier runs and between two of its lives. No
//! deadline, window, wait or remembered id may become shorter or longer by it. Courier processes on loopback, with the
//! library `stairshed-preload` loaded to step their clock.

use serde_json::Value;
use stairshed_clock::ClockRecord;
use stairshed_courier::clock::CLOCK_NOTE_KEY;
use stairshed_journal::{FileStorage, Journal, Note, Options};
use stairshed_mqtt::packet::Version;
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Steps of the wall clock, in seconds.
const STEPS: [i64; 2] = [3600, -3600];
const TOO_MANY_REQUESTS: &str =
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
/// Time within which a message ends after its deadline (protocol page: 300 ms, plus 50 ms for sockets).
const MAX_LATENESS: Duration = Duration::from_millis(350);
/// Limit of the journal in the tests that open it themselves, in bytes.
const JOURNAL_BYTES: u64 = 1 << 30;

/// A folder with the configuration of a courier whose clock can be stepped.
struct Depot {
    folder: TestFolder,
    file: String,
}

impl Depot {
    fn new(endpoint: SocketAddr) -> Self {
        let routes = ["short", "payment", "narrow", "wide"]
            .map(|name| format!("[routes.{name}]\nprefix = \"/{name}\"\npool = \"p\"\nclass = \"{name}\"\n"));
        let file = format!(
            "[listen]\nhttp = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
             [classes.short]\neffect = \"repeatable\"\ndeadline = \"4s\"\nattempts = 100\n\
             [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\nremember = \"3s\"\n\
             [classes.narrow]\neffect = \"keyed\"\nkey_window = \"2s\"\ndeadline = \"20s\"\n\
             [classes.wide]\neffect = \"keyed\"\nkey_window = \"15s\"\ndeadline = \"20s\"\n\
             [pools.p]\nendpoints = [{{ address = \"{endpoint}\" }}]\n{}\
             [topics.pay]\nfilter = \"fuel/#\"\npool = \"p\"\nclass = \"payment\"\nidentity_scope = \"all\"\n\
             identity = {{ pointer = \"/id\" }}\n",
            routes.concat()
        );
        Depot { folder: TestFolder::new(), file }
    }

    /// Starts a courier whose wall clock is ahead by `offset` seconds.
    fn start(&self, offset: i64) -> (Courier, MachineFaults) {
        let mut command = serve_command(&self.folder, &self.file);
        let clock = MachineFaults::load(&mut command, &self.folder, &format!("clock {offset}"));
        (Courier::spawn(&mut command), clock)
    }

    /// Result of a message, once it has one in the outcomes file.
    fn result(&self, id: &str) -> Option<String> {
        outcomes(&self.folder).into_iter().find(|(other, _)| other == id).map(|(_, result)| result)
    }

    /// Makes the stored record that of an unknown boot, as after a restart of the machine.
    fn reboot(&self) {
        let files = FileStorage::lock(&self.folder.0.join("state/journal")).expect("the lock");
        let (mut journal, _) = Journal::open(Arc::new(files), Options::new(JOURNAL_BYTES)).expect("opened");
        let (number, note) = journal.notes().find(|(_, n)| n.key == CLOCK_NOTE_KEY).expect("the record");
        let text = std::str::from_utf8(&note.value).expect("a text");
        let record = ClockRecord { boot_id: None, ..text.parse().expect("a record") };
        let note = Note { value: record.to_string().into(), ..Note::clone(note) };
        journal.store_note(number, note);
        journal.flush().expect("written");
    }
}

fn set(clock: &MachineFaults, offset: i64) {
    clock.set(&format!("clock {offset}"));
}

fn submit(courier: &Courier, class: &str, id: &str) {
    let answer = courier.post(&format!("/{class}"), id, "Idempotency-Key: k\r\n", "x");
    assert_eq!(answer.status(), 202, "{id}");
}

#[test]
fn a_message_for_an_endpoint_that_is_down_ends_at_its_deadline() {
    for (step, restarted) in STEPS.into_iter().flat_map(|step| [(step, false), (step, true)]) {
        let depot = Depot::new(free_address());
        let (courier, clock) = depot.start(0);
        let begun = Instant::now();
        submit(&courier, "short", "m");
        thread::sleep(300 * MS);
        set(&clock, step);
        let _courier = if restarted {
            courier.kill();
            thread::sleep(1500 * MS);
            depot.start(step).0
        } else {
            courier
        };
        wait_until("its end", || depot.result("m").is_some());
        let took = begun.elapsed();
        assert!(took > 3000 * MS, "too early: {took:?} with {step}, {restarted}");
        assert!(took < 4000 * MS + MAX_LATENESS, "too late: {took:?} with {step}, {restarted}");
    }
}

/// Kills a courier during a call that is not answered, steps its clock before or after that, and starts it again after
/// `down`. Returns the number of calls and the message's result.
fn kill_during_call(class: &str, step: i64, before_kill: bool, down: Duration) -> (usize, Option<String>) {
    let answer = |call| if call == 0 { EndpointAction::Hang } else { EndpointAction::Respond(OK) };
    let endpoint = Endpoint::new(answer);
    let depot = Depot::new(endpoint.address);
    let (courier, clock) = depot.start(0);
    submit(&courier, class, "m");
    wait_until("the first call", || endpoint.ids().len() == 1);
    if before_kill {
        set(&clock, step);
    }
    courier.kill();
    thread::sleep(down);
    let (_courier, _clock) = depot.start(step);
    wait_until("its repeat or its end", || endpoint.ids().len() > 1 || depot.result("m").is_some());
    (endpoint.ids().len(), depot.result("m"))
}

#[test]
fn a_keyed_message_is_not_repeated_past_its_window() {
    let past_window = 2500 * MS;
    assert_eq!(kill_during_call("narrow", -3600, true, past_window), (1, Some("dead".to_owned())));
}

#[test]
fn a_keyed_message_is_repeated_within_its_window() {
    for step in STEPS {
        assert_eq!(kill_during_call("wide", step, false, Duration::ZERO).0, 2, "calls with {step}");
    }
}

#[test]
fn a_payment_that_may_have_run_is_never_repeated() {
    for step in STEPS {
        let dead = (1, Some("dead".to_owned()));
        assert_eq!(kill_during_call("payment", step, false, Duration::ZERO), dead, "{step}");
    }
}

#[test]
fn an_id_is_remembered_for_its_whole_time_and_no_longer() {
    for step in STEPS {
        let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
        let depot = Depot::new(endpoint.address);
        let (courier, _clock) = depot.start(0);
        let accepted = Instant::now();
        submit(&courier, "payment", "m");
        wait_until("the delivery", || endpoint.ids().len() == 1);
        courier.kill();
        let (courier, clock) = depot.start(step);
        submit(&courier, "payment", "m");
        set(&clock, 0);
        submit(&courier, "payment", "m");
        set(&clock, step);
        thread::sleep(1000 * MS);
        assert_eq!(endpoint.ids().len(), 1, "calls with {step}");
        thread::sleep((accepted + 3500 * MS).saturating_duration_since(Instant::now()));
        submit(&courier, "payment", "m");
        wait_until("it is a new message", || endpoint.ids().len() == 2);
    }
}

#[test]
fn after_a_reboot_no_window_counts_as_open_and_no_id_is_forgotten_early() {
    let endpoint =
        Endpoint::new(|call| if call == 1 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let depot = Depot::new(endpoint.address);
    let (courier, _clock) = depot.start(0);
    submit(&courier, "payment", "paid");
    wait_until("the delivery", || endpoint.ids().len() == 1);
    submit(&courier, "wide", "m");
    wait_until("its call", || endpoint.ids().len() == 2);
    courier.kill();
    depot.reboot();
    let (courier, _clock) = depot.start(10);
    assert!(courier.startup_log.iter().any(|l| l.contains("wall clock")), "{:?}", courier.startup_log);
    wait_until("its repeat or its end", || endpoint.ids().len() > 2 || depot.result("m").is_some());
    assert_eq!(depot.result("m").as_deref(), Some("dead"));
    submit(&courier, "payment", "paid");
    thread::sleep(500 * MS);
    assert_eq!(endpoint.ids().len(), 2, "calls");
}

#[test]
fn a_session_lasts_its_time_and_its_outcomes_are_told_across_a_step() {
    for step in STEPS {
        let endpoint = Endpoint::new(|_| EndpointAction::RespondAfter(300 * MS, OK));
        let depot = Depot::new(endpoint.address);
        let (courier, _clock) = depot.start(0);
        let (mut van, _) = MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, "van"));
        let short = stairshed_mqtt::packet::Connect { expiry: 3, ..persistent_session(Version::V5, "short") };
        let (other, _) = MqttClient::connect(courier.mqtt(), short.clone());
        van.read_outcomes("van");
        assert_eq!(van.submit("fuel/x", 1, "{\"id\": \"p1\"}", &[]), Some(0));
        van.cut();
        other.cut();
        thread::sleep(1000 * MS);
        assert_eq!(endpoint.ids(), ["p1"]);
        courier.kill();
        let (courier, _clock) = depot.start(step);
        let (mut van, connack) = MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, "van"));
        assert!(connack.session_present, "the session of 600 s with {step}");
        assert_eq!(van.outcome(), ("p1".to_owned(), "delivered".to_owned()));
        thread::sleep(2500 * MS);
        let (_, connack) = MqttClient::connect(courier.mqtt(), short);
        assert!(!connack.session_present, "the session of 3 s with {step}");
    }
}

#[test]
fn a_told_wait_lasts_its_time() {
    for step in STEPS {
        let first = |call| EndpointAction::Respond(if call == 0 { TOO_MANY_REQUESTS } else { OK });
        let endpoint = Endpoint::new(first);
        let depot = Depot::new(endpoint.address);
        let (courier, clock) = depot.start(0);
        submit(&courier, "payment", "m");
        wait_until("the first call", || endpoint.ids().len() == 1);
        set(&clock, step);
        wait_until("the second call", || endpoint.ids().len() == 2);
        let calls = endpoint.calls();
        let wait = calls[1].at - calls[0].at;
        assert!(wait >= 2000 * MS && wait < 4000 * MS, "{wait:?} with {step}");
    }
}

#[test]
fn the_list_of_a_silent_discovery_is_used_for_its_time() {
    for step in STEPS {
        let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let folder = TestFolder::new();
        let mut command = command(&folder, &discovery, &config(&discovery, known));
        let clock = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        courier.submit_accepted("m1", "status", 7, 5000);
        wait_until("the first call", || endpoint.ids().len() == 1);
        discovery.answer_watches(WatchAnswer::NeverCompleteLine);
        discovery.silence_watches();
        let silent = Instant::now();
        set(&clock, step);
        courier.submit_accepted("m2", "status", 7, 5000);
        wait_until("the second call", || endpoint.ids().len() == 2);
        assert!(silent.elapsed() < 2000 * MS, "held though the list is current, with {step}");
        thread::sleep((silent + 8000 * MS).saturating_duration_since(Instant::now()));
        courier.submit_accepted("m3", "status", 7, 5000);
        thread::sleep(500 * MS);
        assert_eq!(endpoint.ids().len(), 2, "calls by an old list, with {step}");
    }
}

#[test]
fn the_record_follows_a_step_and_the_tool_tells_ages_by_it() {
    let depot = Depot::new(free_address());
    let (courier, clock) = depot.start(0);
    submit(&courier, "payment", "m1");
    thread::sleep(1200 * MS);
    set(&clock, 3600);
    submit(&courier, "payment", "m2");
    thread::sleep(1200 * MS);
    submit(&courier, "payment", "m3");
    courier.kill();
    let tool = |command: &str| {
        let folder = depot.folder.0.join("state/journal");
        let output = Command::new(program()).args(["journal", command]).arg(folder).output();
        String::from_utf8(output.expect("it runs").stdout).expect("a text")
    };
    let lines = tool("dump");
    let lines = lines.lines().map(|l| serde_json::from_str::<Value>(l).expect("JSON"));
    let notes: Vec<Value> = lines.filter(|l| l["data"]["key"] == CLOCK_NOTE_KEY).collect();
    let record = |n: &Value| n["data"]["value"].as_str().and_then(|v| v.parse::<ClockRecord>().ok());
    let offsets: Vec<i128> =
        notes.iter().map(|n| record(n).expect("a record").wall_offset_micros()).collect();
    assert_eq!(offsets.len(), 2, "one record, and one after the step: {notes:?}");
    assert!((offsets[1] - offsets[0] - 3_600_000_000).abs() < 50_000, "{offsets:?}");
    for line in tool("inspect").lines().filter(|l| l.contains("payment, m")) {
        let age: f64 = line.split_whitespace().nth(1).and_then(|a| a.parse().ok()).expect("an age");
        assert!((0.0..60.0).contains(&age), "{line}");
    }
}
