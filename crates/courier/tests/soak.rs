//! Seeded soak test of a courier process: endpoints that refuse, break connections, answer twice and hang; repeated
//! signals; clients that use their connections until the kill; messages ended by a 410, complete or not. Some seeds add
//! many idle connections and machine faults: failing system calls, a failing state folder, a stepped wall clock.
//! `SEED=n` sets the first seed and `SEEDS=m` the number of seeds; CI runs two.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use stairshed_rig::delivery_rules::{CLASSES, CourierKill, RunRecord, wait_for_ends};
use stairshed_rig::duplicating_endpoint::{
    CallLog, Script, distinct_answer, gone_answer, start_in_two_zones,
};
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: u64 = 2;
/// Seeds that run at the same time.
const MAX_PARALLEL_SEEDS: u64 = 4;
const DESTINATIONS: u64 = 3;
const MAX_CALLS_IN_FLIGHT: usize = 6;
const DEADLINE_MS: u64 = 6_000;
/// A message that has not ended this long after its deadline counts as lost. Restarts add 1.5 s (protocol page).
const MAX_LATENESS: Duration = Duration::from_millis(1_850);
/// Number of clients for each class.
const CLIENTS_PER_CLASS: usize = 3;
/// Pause of a client between two messages.
const PAUSE: Duration = Duration::from_millis(60);
/// Time that a client waits for its answer (protocol page).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time from SIGTERM to SIGKILL (protocol page).
const MIN_TERM_TO_KILL: Duration = Duration::from_millis(3_700);
/// Minimum time from SIGKILL to the next start (protocol page).
const MIN_DOWNTIME: Duration = Duration::from_millis(600);
/// Number of restarts in one seed.
const RESTARTS: usize = 2;
/// Range of the time that the courier runs before a fault, and after it.
const UPTIME_MS: std::ops::Range<u64> = 300..2_000;
/// Range of the duration of a machine fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..1_500;
/// One seed in this many has idle connections.
const IDLE_CONNECTIONS_EVERY: u64 = 3;
/// Number of idle connections in those seeds.
const IDLE_CONNECTIONS: usize = 200;

/// Fault rules that apply while a courier process runs; each seed draws one of them.
const MACHINE_FAULTS: [&str; 10] = [
    "clock 3600",
    "clock -3600",
    "",
    "recv EINTR 3\nsend EINTR 4",
    "recv short 2\nsend short 2",
    "connect ETIMEDOUT 5\naccept ECONNABORTED 3",
    "connect EADDRNOTAVAIL 3\naccept EMFILE 2\nrecv ETIMEDOUT 40",
    "recv ECONNRESET 30\nsend EPIPE 40\nconnect EHOSTUNREACH 4",
    "write ENOSPC 1\nrename EIO 1",
    "write short 3\nsync EIO 2\nopen EIO 2",
];

/// Prefix of the rules under which no write to the state folder succeeds.
const FOLDER_FAILURE_PREFIX: &str = "write ENOSPC 1";

/// Probabilities of the endpoints' faults in one seed.
#[derive(Clone, Copy)]
struct Faults {
    refused: f64,
    broken: f64,
    hung: f64,
    copied: f64,
    latest_copy_ms: u64,
    gone: f64,
    reset: f64,
}

impl Faults {
    fn draw(rng: &mut SmallRng) -> Self {
        Faults {
            refused: rng.random_range(0.0..0.15),
            broken: rng.random_range(0.0..0.05),
            hung: rng.random_range(0.0..0.01),
            copied: rng.random_range(0.0..0.4),
            gone: rng.random_range(0.0..0.1),
            reset: rng.random_range(0.0..0.05),
            latest_copy_ms: *[5, 20, 100, 600].get(rng.random_range(0..4)).expect("one of four"),
        }
    }

    fn script(&self, rng: &mut SmallRng) -> Script {
        let gone = rng.random_bool(self.gone);
        let answer = if gone { gone_answer(rng) } else { distinct_answer(rng, self.refused) };
        let answer = Some(answer).filter(|_| !rng.random_bool(self.broken));
        let hangs = rng.random_bool(self.hung);
        let delay = if hangs { 10_000 } else { rng.random_range(5..=80) };
        let copy = Duration::from_millis(rng.random_range(0..=self.latest_copy_ms));
        let copied = rng.random_bool(self.copied);
        Script {
            answer,
            delay: Duration::from_millis(delay),
            reset_after: rng.random_bool(self.reset),
            copy_after: copied.then_some(copy),
        }
    }
}

/// State shared by the clients: the courier's current address and the ids it has accepted.
struct Clients {
    courier: Mutex<SocketAddr>,
    stop: AtomicBool,
    next: AtomicUsize,
    accepted: Mutex<BTreeSet<String>>,
}

impl Clients {
    /// Submits messages one after the other, on one connection for as long as it stays open.
    fn run(&self, class: &str) {
        let mut open: Option<BufReader<TcpStream>> = None;
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(PAUSE);
            let n = self.next.fetch_add(1, Ordering::SeqCst);
            let id = format!("{class}-{n}");
            let Some(mut connection) = open.take().or_else(|| self.connect()) else { continue };
            let text = message(&id, class, n as u64 % DESTINATIONS, DEADLINE_MS);
            if connection.get_mut().write_all(text.as_bytes()).is_err() {
                continue;
            }
            let Some(answer) = HttpMessage::read(&mut connection) else { continue };
            if answer.status() == 202 {
                self.accepted.lock().expect("accepted").insert(id);
            }
            open = Some(connection).filter(|_| answer.header("connection") != Some("close"));
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(*self.courier.lock().expect("the address")).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }
}

fn start(folder: &TestFolder, discovery: &Discovery, config: &Value) -> (Courier, MachineFaults) {
    let mut command = command(folder, discovery, config);
    let faults = MachineFaults::load(&mut command, folder, "");
    (Courier::spawn(command.args(["--follow", "1/1"])), faults)
}

/// Kills the courier, at once or after SIGTERM and the protocol page's minimum time. Panics if it has crashed.
fn stop_courier(mut courier: Courier, sigterm_first: bool) -> Vec<String> {
    assert!(courier.is_running(), "it crashed: {:#?}", courier.unread_log());
    if sigterm_first {
        courier.signal("-TERM");
        thread::sleep(MIN_TERM_TO_KILL);
    }
    let log = courier.unread_log();
    let panics: Vec<_> = log.iter().filter(|line| line.contains("panicked")).collect();
    assert!(panics.is_empty(), "it crashed: {panics:?}");
    courier.kill();
    log
}

fn run_seed(seed: u64) -> RunRecord {
    let mut rng = SmallRng::seed_from_u64(seed);
    let log = CallLog::default();
    let faults = Faults::draw(&mut rng);
    let hosts = start_in_two_zones(DESTINATIONS, &log, seed, move |rng| faults.script(rng));
    let known = list(1, true, hosts);
    let discovery = Discovery::new(known.clone());
    let mut config = config(&discovery, known);
    config["settings"]["family-info"]["slots"] = json!(MAX_CALLS_IN_FLIGHT);
    let folder = TestFolder::new();
    let (mut courier, mut machine) = start(&folder, &discovery, &config);
    let fault_rules = MACHINE_FAULTS[rng.random_range(0..MACHINE_FAULTS.len())];
    let mut kills = Vec::new();
    let clients = Arc::new(Clients {
        courier: Mutex::new(courier.address),
        stop: AtomicBool::new(false),
        next: AtomicUsize::new(0),
        accepted: Mutex::default(),
    });
    let running: Vec<_> = (0..CLIENTS_PER_CLASS)
        .flat_map(|_| CLASSES)
        .map(|class| {
            let clients = clients.clone();
            thread::spawn(move || clients.run(class))
        })
        .collect();
    let mut lines = Vec::new();
    for restart in 1..=RESTARTS as u64 {
        let idle_count = if seed.is_multiple_of(IDLE_CONNECTIONS_EVERY) { IDLE_CONNECTIONS } else { 0 };
        let idle: Vec<_> = (0..idle_count).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
        thread::sleep(Duration::from_millis(rng.random_range(UPTIME_MS)));
        let mut folder_failed_since = fault_rules.starts_with(FOLDER_FAILURE_PREFIX).then(Instant::now);
        machine.set(fault_rules);
        thread::sleep(Duration::from_millis(rng.random_range(FAULT_DURATION_MS)));
        // Half of the couriers are killed while the fault is active.
        if rng.random_bool(0.5) {
            machine.set("");
            folder_failed_since = None;
            thread::sleep(Duration::from_millis(rng.random_range(UPTIME_MS)));
        }
        lines.extend(stop_courier(courier, rng.random_bool(0.5)));
        kills.push(CourierKill { at: Instant::now(), folder_failed_since });
        drop(idle);
        thread::sleep(MIN_DOWNTIME);
        config["seed"] = json!(format!("{:x}", seed * 10 + restart));
        (courier, machine) = start(&folder, &discovery, &config);
        *clients.courier.lock().expect("the address") = courier.address;
    }
    thread::sleep(Duration::from_millis(rng.random_range(UPTIME_MS)));
    clients.stop.store(true, Ordering::SeqCst);
    running.into_iter().for_each(|client| client.join().expect("a client"));
    let accepted = clients.accepted.lock().expect("accepted").clone();
    wait_for_ends(&accepted, &log, &discovery, Duration::from_millis(DEADLINE_MS) + MAX_LATENESS);
    lines.extend(courier.unread_log());
    println!("seed {seed}: machine {fault_rules:?}");
    RunRecord { kills, ..RunRecord::new(accepted, &log, &discovery, lines) }
}

// Guards against lost and duplicate requests when restarts coincide with endpoint faults.
#[test]
fn rules_hold_over_restarts_with_endpoints_that_fail_and_answer_twice() {
    let (first, number) = (env_or("SEED", 1), env_or("SEEDS", DEFAULT_SEEDS));
    let next = Arc::new(Mutex::new(first..first + number));
    let workers: Vec<_> = (0..MAX_PARALLEL_SEEDS.min(number))
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                let seed = || next.lock().expect("the seeds").next();
                while let Some(seed) = seed() {
                    let record = run_seed(seed);
                    println!("seed {seed}: {}", record.summary());
                    record.assert_rules();
                }
            })
        })
        .collect();
    workers.into_iter().for_each(|worker| worker.join().expect("a seed failed, its output is above"));
}
