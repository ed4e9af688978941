//! Configuration in versions under traffic: good, bad, half-sent, out of turn. Every answer is held against
//! what the courier then did: where each message went, and by which version.
//!
//! `VERSIONS=5000 SEED=N cargo test --release -p stairshed-courier --test versions -- --nocapture` does it for
//! longer; `SEED=N` plays the dice of one run again.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stairshed_rig::charge_ledger::ChargeLedger;
use stairshed_rig::control_service::ControlService;
use stairshed_rig::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 6;
const POOLS: usize = 3;
/// A rule: nothing new goes to an endpoint this long after news that it is gone.
const DRAIN: Duration = Duration::from_secs(1);
/// What the test's own threads may be late by, when several share a core: calls are timed at their arrival.
const SLACK: Duration = Duration::from_millis(150);

/// A good configuration: which endpoints each pool has, and which pool each route leads to.
#[derive(Clone, Debug)]
struct Plan {
    pools: [BTreeSet<usize>; POOLS],
    routes: [usize; POOLS],
}

impl Plan {
    fn random(rng: &mut SmallRng) -> Plan {
        let pools = [(); POOLS].map(|()| {
            let mut all: BTreeSet<usize> = (0..ENDPOINTS).filter(|_| rng.random_bool(0.5)).collect();
            all.insert(rng.random_range(0..ENDPOINTS));
            all
        });
        Plan { pools, routes: [(); POOLS].map(|()| rng.random_range(0..POOLS)) }
    }

    /// Each route marks its messages with the version.
    fn config(&self, version: u64, endpoints: &[SocketAddr]) -> Value {
        let pool = |all: &BTreeSet<usize>| {
            let all: Vec<Value> = all.iter().map(|e| json!({"address": endpoints[*e].to_string()})).collect();
            json!({"endpoints": all})
        };
        let pools: BTreeMap<String, Value> =
            self.pools.iter().enumerate().map(|(n, p)| (format!("p{n}"), pool(p))).collect();
        let route = |(n, to): (usize, &usize)| {
            let set = json!({"X-Version": version.to_string(), "X-Pool": to.to_string()});
            let route = json!({"prefix": format!("/r{n}"), "pool": format!("p{to}"), "class": "payment",
                "classes": ["status"], "rewrite": {"set": set}});
            (format!("r{n}"), route)
        };
        let routes: BTreeMap<String, Value> = self.routes.iter().enumerate().map(route).collect();
        json!({
            "classes": {
                "payment": {"effect": "once", "deadline": "8s"},
                "status": {"effect": "repeatable", "deadline": "8s"},
            },
            "pools": pools, "routes": routes,
            "limits": {"pool_wait": "500ms"},
        })
    }
}

/// What a client did: when it began, and whether it was told that its message is taken on.
#[derive(Clone, Debug)]
struct Handed {
    class: &'static str,
    began: Instant,
}

#[derive(Default)]
struct Clients {
    stop: AtomicBool,
    ids: AtomicU64,
    /// The class of each that was handed in, also where its client never heard: a kill cuts answers off.
    classes: Mutex<BTreeMap<String, &'static str>>,
    /// Those that are taken on, by id.
    taken: Mutex<BTreeMap<String, Handed>>,
}

fn client(at: Arc<Mutex<SocketAddr>>, all: Arc<Clients>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !all.stop.load(Ordering::SeqCst) {
        let id = format!("m{}", all.ids.fetch_add(1, Ordering::SeqCst));
        let class = if rng.random_bool(0.7) { "payment" } else { "status" };
        let (path, began) = (format!("/r{}", rng.random_range(0..POOLS)), Instant::now());
        all.classes.lock().expect("classes").insert(id.clone(), class);
        let to = *at.lock().expect("the address");
        let answer = post(to, &path, &id, &format!("X-Priority-Class: {class}\r\n"), "body");
        match answer {
            Some(page) if page.status() == 202 => {
                all.taken.lock().expect("taken").insert(id, Handed { class, began });
                thread::sleep(8 * MS);
            }
            _ => thread::sleep(10 * MS),
        }
    }
}

fn file(control: &ControlService) -> String {
    format!(
        "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [control]\nurl = \"{}\"\nheartbeat = \"60s\"\nfirst_wait = \"30s\"\n",
        control.url()
    )
}

/// What was sent, and when.
struct Sent {
    plan: Option<Plan>,
    at: Instant,
    whole: bool,
}

struct Service {
    control: ControlService,
    rng: SmallRng,
    endpoints: Vec<SocketAddr>,
    next: u64,
    sent: BTreeMap<u64, Sent>,
}

impl Service {
    fn new(seed: u64, endpoints: Vec<SocketAddr>) -> Self {
        let (control, rng) = (ControlService::new(), SmallRng::seed_from_u64(seed));
        Service { control, rng, endpoints, next: 1, sent: BTreeMap::new() }
    }

    fn note(&mut self, plan: Option<Plan>, whole: bool) -> u64 {
        let version = self.next;
        self.next += self.rng.random_range(1..3);
        self.sent.insert(version, Sent { plan, at: Instant::now(), whole });
        version
    }

    fn good(&mut self) -> u64 {
        let plan = Plan::random(&mut self.rng);
        let version = self.note(Some(plan.clone()), true);
        self.control.send_version(version, &plan.config(version, &self.endpoints));
        version
    }

    /// Wrong in one reference or value, and otherwise good.
    fn bad(&mut self) {
        let plan = Plan::random(&mut self.rng);
        let version = self.note(None, true);
        let mut config = plan.config(version, &self.endpoints);
        match self.rng.random_range(0..5) {
            0 => config["routes"]["r0"]["pool"] = json!("p9"),
            1 => config["routes"]["r1"]["class"] = json!("pay"),
            2 => config["pools"]["p0"]["endpoints"][0]["address"] = json!("nowhere"),
            3 => config["limits"]["held"] = json!(0),
            _ => config["journal"] = json!({"room": "1GB"}),
        }
        self.control.send_version(version, &config);
    }

    /// A patch of the version that was acknowledged last, which need not be the newest there.
    fn patched(&mut self) {
        let answers = self.control.answers();
        let Some(base) = answers.iter().rev().find(|a| a.accepted).and_then(|a| a.version) else { return };
        let Some(old) = self.sent.get(&base).and_then(|s| s.plan.clone()) else { return };
        let plan = Plan { routes: Plan::random(&mut self.rng).routes, ..old };
        let version = self.note(Some(plan.clone()), true);
        let routes = plan.config(version, &self.endpoints)["routes"].clone();
        self.control.patch(version, base, &json!({"routes": routes}));
    }

    /// Breaks off in the middle of a line.
    fn half(&mut self) {
        let plan = Plan::random(&mut self.rng);
        let version = self.note(Some(plan.clone()), false);
        let line = json!({"version": version, "config": plan.config(version, &self.endpoints)}).to_string();
        let cut = self.rng.random_range(1..line.len());
        self.control.send(&line[..cut]);
        self.control.cut();
        let control = self.control.clone();
        wait_until("the courier comes back to the service", || control.is_open());
    }

    fn any(&mut self) {
        match self.rng.random_range(0..20) {
            0..10 => drop(self.good()),
            10..13 => self.patched(),
            13..16 => self.bad(),
            16 => drop(self.control.send("{\"version\": 7, \"config\": \n")),
            17 => {
                // A number that has been, with something else in it.
                let plan = Plan::random(&mut self.rng);
                let config = plan.config(0, &self.endpoints);
                if let Some(old) = self.sent.keys().next().copied() {
                    self.control.send_version(old, &config);
                }
            }
            _ => self.half(),
        }
    }
}

/// Holds every call against the answers: see the head of this file.
fn check(service: &Service, endpoints: &[Endpoint], clients: &Clients, seed: u64, restarts: bool) {
    let answers = service.control.answers();
    let accepted: BTreeMap<u64, Instant> =
        answers.iter().filter(|a| a.accepted).filter_map(|a| Some((a.version?, a.at))).collect();
    let taken = clients.taken.lock().expect("taken").clone();
    let mut calls = 0;
    for (e, endpoint) in endpoints.iter().enumerate() {
        for call in endpoint.calls() {
            calls += 1;
            let head =
                |name| call.page.header(name).and_then(|v| v.parse::<u64>().ok()).expect("a route's mark");
            let (version, pool) = (head("x-version"), head("x-pool") as usize);
            let what = format!("seed {seed}: {} by version {version} of p{pool} at endpoint {e}", call.id);
            let sent = service.sent.get(&version).unwrap_or_else(|| panic!("{what}: never sent"));
            let plan = sent.plan.as_ref().unwrap_or_else(|| panic!("{what}: a bad version took effect"));
            assert!(sent.whole, "{what}: a half-sent version took effect");
            // A version that a kill kept from being acknowledged may be in effect all the same.
            assert!(restarts || accepted.contains_key(&version), "{what}: it was not acknowledged");
            assert!(plan.routes.contains(&pool), "{what}: no route of it leads there");
            // Whoever began after an acknowledgement is routed by that version or a later one.
            if let Some(handed) = taken.get(&call.id) {
                let known = accepted.iter().filter(|(_, at)| **at < handed.began).map(|(v, _)| *v).max();
                assert!(known.is_none_or(|known| version >= known), "{what}: {known:?} was in effect");
            }
            // Its pool has the endpoint by a version that may have been in effect within the drain's grace.
            let from = call.at.checked_sub(DRAIN + SLACK);
            let last = accepted.iter().filter(|(_, at)| from.is_some_and(|from| **at <= from));
            let last = last.map(|(v, _)| *v).max().unwrap_or_default();
            let may = service.sent.iter().filter(|(v, s)| **v >= last && s.whole && s.at <= call.at);
            let has = |p: &Plan| p.pools[pool].contains(&e);
            let mut may = may.filter_map(|(_, s)| s.plan.as_ref());
            assert!(may.any(has), "{what}: that endpoint was gone for longer than a drain lasts");
        }
    }
    assert!(calls > 50, "seed {seed}: {calls} calls");
}

fn endings(folder: &TestFolder, charges: &ChargeLedger, clients: &Clients, seed: u64) {
    let taken = clients.taken.lock().expect("taken").clone();
    wait_until("every message that was taken on ends", || {
        let told: BTreeSet<String> = outcomes(folder).into_iter().map(|(id, _)| id).collect();
        taken.keys().all(|id| charges.get(id).answered || told.contains(id))
    });
    let mut told: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (id, result) in outcomes(folder) {
        told.entry(id).or_default().insert(result);
    }
    for (id, charge) in charges.all() {
        // What is repeatable may be repeated, though its client never heard that it was taken on.
        let payment = clients.classes.lock().expect("classes")[&id] == "payment";
        assert!(charge.times <= 1 || !payment, "seed {seed}: {id} was charged {} times", charge.times);
    }
    for id in taken.keys() {
        let told = told.get(id).cloned().unwrap_or_default();
        assert!(told.len() <= 1, "seed {seed}: {id} ended as {told:?}");
        // A payment that was charged and is said to be harmless to repeat would be charged twice.
        let charged = charges.get(id).times > 0 && taken[id].class == "payment";
        assert!(!(charged && told.contains("bounced")), "seed {seed}: {id} was charged, and bounced");
    }
}

fn run(seed: u64) -> (Service, Vec<Endpoint>, ChargeLedger, Arc<Clients>) {
    let charges = ChargeLedger::default();
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS as u64).map(|n| charges.endpoint(seed + n)).collect();
    let service = Service::new(seed, endpoints.iter().map(|e| e.address).collect());
    (service, endpoints, charges, Arc::default())
}

fn traffic(at: &Arc<Mutex<SocketAddr>>, clients: &Arc<Clients>, seed: u64) -> Vec<thread::JoinHandle<()>> {
    let begin = |n| {
        let (at, clients) = (at.clone(), clients.clone());
        thread::spawn(move || client(at, clients, seed + n))
    };
    (0..3).map(begin).collect()
}

#[test]
fn versions_under_traffic_do_what_their_answers_say_and_nothing_else() {
    let (seed, versions) = (env_or("SEED", 20_261_201), env_or("VERSIONS", 300));
    println!("SEED={seed} VERSIONS={versions}");
    let (mut service, endpoints, charges, clients) = run(seed);
    let folder = TestFolder::new();
    let control = service.control.clone();
    let sender = thread::spawn(move || {
        wait_until("the courier listens", || service.control.is_open());
        let first = service.good();
        service.control.answer(first);
        service
    });
    let courier = Courier::serve(&folder, &file(&control));
    let mut service = sender.join().expect("the first version");
    let at = Arc::new(Mutex::new(courier.address));
    let threads = traffic(&at, &clients, seed);
    for _ in 0..versions {
        service.any();
        thread::sleep(Duration::from_millis(service.rng.random_range(0..40)));
    }
    let last = service.good();
    assert!(service.control.answer(last).accepted);
    thread::sleep(100 * MS);
    clients.stop.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|t| t.join().expect("a client"));
    endings(&folder, &charges, &clients, seed);
    check(&service, &endpoints, &clients, seed, false);
    // Whole lines have one answer each; half ones, and what a lost connection took with it, at most one.
    let answers = service.control.answers();
    for (version, sent) in &service.sent {
        let own: Vec<_> = answers.iter().filter(|a| a.version == Some(*version)).collect();
        let good = own.iter().filter(|a| a.accepted).count();
        assert!(sent.whole || own.is_empty(), "seed {seed}: half-sent {version} was answered");
        assert!(sent.plan.is_some() || good == 0, "seed {seed}: bad {version} was acknowledged");
        assert!(good <= 1, "seed {seed}: {version} was acknowledged {good} times");
    }
    let (good, refused) =
        (answers.iter().filter(|a| a.accepted).count(), answers.iter().filter(|a| !a.accepted));
    let reasons = |word: &str| answers.iter().filter(|a| a.reasons.contains(word)).count();
    println!("{good} acknowledged, {} refused", refused.count());
    assert!(
        good > 50 && reasons("no such entry") > 0 && reasons("came before") > 0,
        "seed {seed}: too few of a kind"
    );
    let page = courier.page("/-/config");
    assert_eq!(page["version"], json!(last), "{page}");
    assert!(page["last_refusal"]["reasons"].is_array(), "{page}");
}

#[test]
fn after_sigkill_it_comes_up_on_the_last_version_that_it_acknowledged() {
    let (seed, kills) = (env_or("SEED", 20_261_202), env_or("KILLS", 12));
    println!("SEED={seed} KILLS={kills}");
    let (mut service, endpoints, charges, clients) = run(seed);
    let folder = TestFolder::new();
    let at = Arc::new(Mutex::new(SocketAddr::from(([127, 0, 0, 1], 9))));
    let threads = traffic(&at, &clients, seed);
    for kill in 0..=kills {
        let file = file(&service.control);
        let folder = &folder;
        let courier = thread::scope(|scope| {
            let starting = scope.spawn(move || Courier::serve(folder, &file));
            if kill == 0 {
                wait_until("the courier listens", || service.control.is_open());
                let first = service.good();
                service.control.answer(first);
            }
            starting.join().expect("it starts")
        });
        let acknowledged =
            service.control.answers().iter().filter(|a| a.accepted).filter_map(|a| a.version).max();
        let up = courier.page("/-/config")["version"].as_u64();
        let whole = up.and_then(|v| service.sent.get(&v)).is_some_and(|s| s.whole && s.plan.is_some());
        // A newer one may have been stored, its acknowledgement cut off; an older one never.
        assert!(up >= acknowledged && whole, "seed {seed}: up on {up:?}, {acknowledged:?} was acknowledged");
        *at.lock().expect("the address") = courier.address;
        wait_until("the courier listens", || service.control.is_open());
        if kill == kills {
            let last = service.good();
            assert!(service.control.answer(last).accepted);
            clients.stop.store(true, Ordering::SeqCst);
            endings(folder, &charges, &clients, seed);
            break;
        }
        let until = Instant::now() + Duration::from_millis(service.rng.random_range(20..500));
        while Instant::now() < until {
            match service.rng.random_range(0..4) {
                0 => service.bad(),
                1 => service.patched(),
                _ => drop(service.good()),
            }
            thread::sleep(Duration::from_millis(service.rng.random_range(0..15)));
        }
        courier.kill();
        // What is on its way to the service is part of what was acknowledged.
        thread::sleep(20 * MS);
        service.control.cut();
    }
    threads.into_iter().for_each(|t| t.join().expect("a client"));
    check(&service, &endpoints, &clients, seed, true);
}
