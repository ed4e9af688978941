//! Kills the courier at random points under load while its journal is being compacted. A fake partner counts
//! charges: none is duplicated, none is lost, and every accepted message ends.
//!
//! CI kills it 40 times. `KILLS=1000 cargo test --release -p stairshed-courier --test crash -- --nocapture`
//! runs longer; `SEED=N` repeats the random choices of an earlier run.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_rig::charge_ledger::ChargeLedger;
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Limits the journal's size and uses small segments, so that each courier process compacts some of them.
const PROCESS_DURABILITY: &str = "[journal]\nroom = \"900KB\"\nsegment = \"60KB\"\n";
const MACHINE_DURABILITY: &str =
    "[journal]\ndurability = \"machine\"\nroom = \"900KB\"\nsegment = \"60KB\"\n";
const CLIENT_COUNT: u64 = 4;
const BODY_BYTES: usize = 1500;

/// Ids that the courier answered with 202, with their class.
type Accepted = Arc<Mutex<BTreeMap<String, &'static str>>>;

/// Submits messages over persistent connections until `stop` is set; reconnects when a connection fails.
fn submit_until_stopped(
    at: Arc<Mutex<SocketAddr>>,
    ids: Arc<AtomicU64>,
    accepted: Accepted,
    stop: Arc<AtomicBool>,
) {
    let body = "x".repeat(BODY_BYTES);
    while !stop.load(Ordering::SeqCst) {
        let address = *at.lock().expect("the address");
        let Ok(stream) = TcpStream::connect(address) else {
            thread::sleep(2 * MS);
            continue;
        };
        stream.set_read_timeout(Some(400 * MS)).expect("a time-out");
        let mut from = BufReader::new(stream.try_clone().expect("a handle"));
        let mut to = stream;
        while !stop.load(Ordering::SeqCst) {
            let n = ids.fetch_add(1, Ordering::SeqCst);
            let class = ["payment", "payment", "status"][n as usize % 3];
            let id = format!("m{n}");
            if to.write_all(message_with(&id, class, 7, 5000, &body).as_bytes()).is_err() {
                break;
            }
            let Some(page) = HttpMessage::read(&mut from) else { break };
            if page.status() == 202 {
                accepted.lock().expect("accepted").insert(id, class);
            } else {
                thread::sleep(5 * MS);
            }
        }
    }
}

fn run_with_kills(kills: u64, settings: &str) {
    let seed = env_or("SEED", 1);
    println!("SEED={seed} KILLS={kills}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let charges = ChargeLedger::default();
    let endpoints: Vec<_> = (0..3).map(|n| charges.endpoint(seed + n)).collect();
    let hosts = endpoints.iter().enumerate().map(|(n, e)| host(&format!("s-{n}"), e, 7, "ready"));
    let discovery = Discovery::new(list(1, true, hosts.collect()));
    let folder = TestFolder::new();
    let start = || {
        let known = discovery.lines.lock().expect("lines")[0].clone();
        let mut command = command(&folder, &discovery, &config(&discovery, known));
        with_settings(&mut command, &folder, settings);
        Courier::spawn(&mut command)
    };
    let (accepted, stop): (Accepted, _) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let mut courier = start();
    let (at, ids) = (Arc::new(Mutex::new(courier.address)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|_| {
            let (at, ids, accepted, stop) = (at.clone(), ids.clone(), accepted.clone(), stop.clone());
            thread::spawn(move || submit_until_stopped(at, ids, accepted, stop))
        })
        .collect();
    for kill in 0..kills {
        thread::sleep(Duration::from_micros(rng.random_range(5_000..120_000)));
        courier.kill();
        courier = start();
        let bad: Vec<_> =
            courier.startup_log.iter().filter(|l| l.contains("DAMAGED") || l.contains("LOST")).collect();
        assert!(bad.is_empty(), "SEED={seed}, kill {kill}: {bad:?}");
        *at.lock().expect("the address") = courier.address;
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("the client ends"));
    let accepted = accepted.lock().expect("accepted").clone();
    // Results by message id, from the notices that the platform received.
    let results = |discovery: &Discovery| {
        let mut results = BTreeMap::<String, Vec<String>>::new();
        for n in discovery.notices.lock().expect("notices").iter() {
            let (id, result) =
                (n["ref"].as_str().unwrap_or_default(), n["result"].as_str().unwrap_or_default());
            results.entry(id.to_owned()).or_default().push(result.to_owned());
        }
        results
    };
    wait_until("the end of every message", || {
        let notice_results = results(&discovery);
        accepted.keys().all(|id| charges.get(id).answered || notice_results.contains_key(id))
    });
    let notice_results = results(&discovery);
    let payment = |id: &str| id[1..].parse::<u64>().is_ok_and(|n| n % 3 != 2);
    for (id, charge) in charges.all() {
        if payment(&id) {
            assert!(charge.times <= 1, "SEED={seed}: {id} was charged {} times", charge.times);
        }
    }
    for (id, results) in &notice_results {
        // A notice may be repeated until it is acknowledged, but its result must not change.
        assert!(results.iter().all(|r| *r == results[0]), "SEED={seed}: {id}: {results:?}");
        // A bounced payment must not have run anywhere, because its client may submit it again.
        let ran = payment(id) && charges.get(id).times > 0 && results[0] == "bounced";
        assert!(!ran, "SEED={seed}: {id} was charged and bounced");
    }
    let charged = accepted.keys().filter(|id| charges.get(id).times > 0).count();
    println!("{} accepted, {charged} charged, {} with a notice", accepted.len(), notice_results.len());
    assert!(accepted.len() as u64 > kills && charged > 0);
    courier.kill();
    let folder = folder.0.join("state");
    let segments = std::fs::read_dir(&folder).expect("the folder").flatten();
    let names: Vec<_> = segments.filter_map(|e| e.file_name().into_string().ok()).collect();
    assert!(!names.iter().any(|n| n == "0000000000000001.seg"), "nothing was ever compacted: {names:?}");
}

#[test]
fn no_charge_is_duplicated_or_lost_when_the_courier_is_killed_repeatedly() {
    run_with_kills(env_or("KILLS", 40), PROCESS_DURABILITY);
}

#[test]
fn no_charge_is_duplicated_or_lost_when_the_courier_is_killed_with_machine_durability() {
    run_with_kills(env_or("KILLS", 40) / 4, MACHINE_DURABILITY);
}
