//! Seeded soaks of a courier as a process: endpoints that refuse, break connections, answer twice and hang, signals in
//! series, clients that use their connections until the kill, messages that are over (410, whole or not), and in some seeds
//! a crowd of idle connections and a machine with faults: system calls that fail, a folder that fails, a wall clock
//! that is stepped.
//! `SEED=n` plays from that seed on, `SEEDS=m` so many; the test that runs in CI plays two.

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
/// Seeds that are played side by side.
const SIDE_BY_SIDE: u64 = 4;
const DESTINATIONS: u64 = 3;
const SLOTS: usize = 6;
const TIME_MS: u64 = 6_000;
/// A message that has not ended so long after its time is lost; restarts allow 1.5 s more (protocol page).
const LATE: Duration = Duration::from_millis(1_850);
/// Clients of each class, and their pause between two messages.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
/// A client waits so long for its answer (protocol page).
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// From SIGTERM to SIGKILL at the earliest, and from there to the next start (protocol page).
const TERM_TO_KILL: Duration = Duration::from_millis(3_700);
const DOWN: Duration = Duration::from_millis(600);
/// Signals of one seed, and the time before each.
const SIGNALS: usize = 2;
const UP_MS: std::ops::Range<u64> = 300..2_000;
/// How long the machine's fault lasts.
const FAULTY_MS: std::ops::Range<u64> = 200..1_500;
/// One seed in so many has a crowd of idle connections, of this size.
const CROWD_EVERY: u64 = 3;
const CROWD: usize = 200;

/// What is wrong with the machine in the middle of a life; one of these for each seed.
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

/// The begin of those under which no write to the state folder works.
const FOLDER_FAILS: &str = "write ENOSPC 1";

/// How one seed's endpoints behave.
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
    fn of(rng: &mut SmallRng) -> Self {
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

/// Where the courier serves, and what its clients know.
struct Clients {
    courier: Mutex<SocketAddr>,
    stop: AtomicBool,
    next: AtomicUsize,
    taken: Mutex<BTreeSet<String>>,
}

impl Clients {
    /// Hands messages in, one after the other, on one connection for as long as that stays open.
    fn run(&self, class: &str) {
        let mut open: Option<BufReader<TcpStream>> = None;
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(PAUSE);
            let n = self.next.fetch_add(1, Ordering::SeqCst);
            let id = format!("{class}-{n}");
            let Some(mut connection) = open.take().or_else(|| self.connect()) else { continue };
            let text = message(&id, class, n as u64 % DESTINATIONS, TIME_MS);
            if connection.get_mut().write_all(text.as_bytes()).is_err() {
                continue;
            }
            let Some(answer) = HttpMessage::read(&mut connection) else { continue };
            if answer.status() == 202 {
                self.taken.lock().expect("taken").insert(id);
            }
            open = Some(connection).filter(|_| answer.header("connection") != Some("close"));
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(*self.courier.lock().expect("the address")).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIME)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }
}

fn start(folder: &TestFolder, discovery: &Discovery, config: &Value) -> (Courier, MachineFaults) {
    let mut command = command(folder, discovery, config);
    let faults = MachineFaults::load(&mut command, folder, "");
    (Courier::spawn(command.args(["--follow", "1/1"])), faults)
}

/// Ends the courier: told first and killed at the page's earliest, or killed at once.
fn end(mut courier: Courier, told: bool) -> Vec<String> {
    assert!(courier.is_running(), "it crashed: {:#?}", courier.unread_log());
    if told {
        courier.signal("-TERM");
        thread::sleep(TERM_TO_KILL);
    }
    let log = courier.unread_log();
    let panics: Vec<_> = log.iter().filter(|line| line.contains("panicked")).collect();
    assert!(panics.is_empty(), "it crashed: {panics:?}");
    courier.kill();
    log
}

fn play(seed: u64) -> RunRecord {
    let mut rng = SmallRng::seed_from_u64(seed);
    let log = CallLog::default();
    let faults = Faults::of(&mut rng);
    let hosts = start_in_two_zones(DESTINATIONS, &log, seed, move |rng| faults.script(rng));
    let known = list(1, true, hosts);
    let discovery = Discovery::new(known.clone());
    let mut config = config(&discovery, known);
    config["settings"]["family-info"]["slots"] = json!(SLOTS);
    let folder = TestFolder::new();
    let (mut courier, mut machine) = start(&folder, &discovery, &config);
    let wrong = MACHINE_FAULTS[rng.random_range(0..MACHINE_FAULTS.len())];
    let mut kills = Vec::new();
    let clients = Arc::new(Clients {
        courier: Mutex::new(courier.address),
        stop: AtomicBool::new(false),
        next: AtomicUsize::new(0),
        taken: Mutex::default(),
    });
    let running: Vec<_> = (0..CLIENTS)
        .flat_map(|_| CLASSES)
        .map(|class| {
            let clients = clients.clone();
            thread::spawn(move || clients.run(class))
        })
        .collect();
    let mut lines = Vec::new();
    for life in 1..=SIGNALS as u64 {
        let crowd = if seed.is_multiple_of(CROWD_EVERY) { CROWD } else { 0 };
        let idle: Vec<_> = (0..crowd).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
        thread::sleep(Duration::from_millis(rng.random_range(UP_MS)));
        let mut folder_failed_since = wrong.starts_with(FOLDER_FAILS).then(Instant::now);
        machine.set(wrong);
        thread::sleep(Duration::from_millis(rng.random_range(FAULTY_MS)));
        // Some are killed with the fault on.
        if rng.random_bool(0.5) {
            machine.set("");
            folder_failed_since = None;
            thread::sleep(Duration::from_millis(rng.random_range(UP_MS)));
        }
        lines.extend(end(courier, rng.random_bool(0.5)));
        kills.push(CourierKill { at: Instant::now(), folder_failed_since });
        drop(idle);
        thread::sleep(DOWN);
        config["seed"] = json!(format!("{:x}", seed * 10 + life));
        (courier, machine) = start(&folder, &discovery, &config);
        *clients.courier.lock().expect("the address") = courier.address;
    }
    thread::sleep(Duration::from_millis(rng.random_range(UP_MS)));
    clients.stop.store(true, Ordering::SeqCst);
    running.into_iter().for_each(|client| client.join().expect("a client"));
    let taken = clients.taken.lock().expect("taken").clone();
    wait_for_ends(&taken, &log, &discovery, Duration::from_millis(TIME_MS) + LATE);
    lines.extend(courier.unread_log());
    println!("seed {seed}: machine {wrong:?}");
    RunRecord { kills, ..RunRecord::new(taken, &log, &discovery, lines) }
}

// Guards against broken rules on lost requests and duplicates where restarts and faults of endpoints meet.
#[test]
fn rules_hold_over_restarts_with_endpoints_that_fail_and_answer_twice() {
    let (first, number) = (env_or("SEED", 1), env_or("SEEDS", DEFAULT_SEEDS));
    let next = Arc::new(Mutex::new(first..first + number));
    let workers: Vec<_> = (0..SIDE_BY_SIDE.min(number))
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                let seed = || next.lock().expect("the seeds").next();
                while let Some(seed) = seed() {
                    let played = play(seed);
                    println!("seed {seed}: {}", played.summary());
                    played.assert_rules();
                }
            })
        })
        .collect();
    workers.into_iter().for_each(|worker| worker.join().expect("a seed failed: its account is above"));
}
