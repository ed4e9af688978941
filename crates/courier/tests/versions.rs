//! Sends configuration versions to a courier under load: valid, invalid, incomplete and out of order. Every answer is
//! compared with what the courier did afterwards: where each message went, and under which version.
//!
//! `VERSIONS=5000 SEED=N cargo test --release -p stairshed-courier --test versions -- --nocapture` runs longer;
//! `SEED=N` repeats the random choices of an earlier run.

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

const ENDPOINT_COUNT: usize = 6;
const POOL_COUNT: usize = 3;
/// Rule on drains: an endpoint gets no new calls this long after the courier has learned of its removal.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Allowance for delays of the test's own threads when several share a core, because calls are timed on arrival.
const SCHEDULING_ALLOWANCE: Duration = Duration::from_millis(150);

/// A valid configuration: the endpoints of each pool and the pool of each route.
#[derive(Clone, Debug)]
struct Plan {
    pools: [BTreeSet<usize>; POOL_COUNT],
    routes: [usize; POOL_COUNT],
}

impl Plan {
    fn random(rng: &mut SmallRng) -> Plan {
        let pools = [(); POOL_COUNT].map(|()| {
            let mut all: BTreeSet<usize> = (0..ENDPOINT_COUNT).filter(|_| rng.random_bool(0.5)).collect();
            all.insert(rng.random_range(0..ENDPOINT_COUNT));
            all
        });
        Plan { pools, routes: [(); POOL_COUNT].map(|()| rng.random_range(0..POOL_COUNT)) }
    }

    /// Builds the configuration. Each route adds the version and the pool to its messages as headers.
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

/// An accepted message: its class, and when its client began to send it.
#[derive(Clone, Debug)]
struct AcceptedMessage {
    class: &'static str,
    began: Instant,
}

#[derive(Default)]
struct Clients {
    stop: AtomicBool,
    ids: AtomicU64,
    /// The class of each submitted message by id, including those without an answer because the courier was killed.
    classes: Mutex<BTreeMap<String, &'static str>>,
    /// Accepted messages by id.
    accepted_messages: Mutex<BTreeMap<String, AcceptedMessage>>,
}

fn submit_until_stopped(at: Arc<Mutex<SocketAddr>>, all: Arc<Clients>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !all.stop.load(Ordering::SeqCst) {
        let id = format!("m{}", all.ids.fetch_add(1, Ordering::SeqCst));
        let class = if rng.random_bool(0.7) { "payment" } else { "status" };
        let (path, began) = (format!("/r{}", rng.random_range(0..POOL_COUNT)), Instant::now());
        all.classes.lock().expect("classes").insert(id.clone(), class);
        let to = *at.lock().expect("the address");
        let answer = post(to, &path, &id, &format!("X-Priority-Class: {class}\r\n"), "body");
        match answer {
            Some(page) if page.status() == 202 => {
                all.accepted_messages.lock().expect("accepted").insert(id, AcceptedMessage { class, began });
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

/// A configuration version that was sent, and when.
struct Sent {
    plan: Option<Plan>,
    at: Instant,
    complete: bool,
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

    fn record_sent(&mut self, plan: Option<Plan>, complete: bool) -> u64 {
        let version = self.next;
        self.next += self.rng.random_range(1..3);
        self.sent.insert(version, Sent { plan, at: Instant::now(), complete });
        version
    }

    fn send_valid(&mut self) -> u64 {
        let plan = Plan::random(&mut self.rng);
        let version = self.record_sent(Some(plan.clone()), true);
        self.control.send_version(version, &plan.config(version, &self.endpoints));
        version
    }

    /// Sends a version that is invalid in one reference or value.
    fn send_invalid(&mut self) {
        let plan = Plan::random(&mut self.rng);
        let version = self.record_sent(None, true);
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

    /// Sends a patch of the version that was acknowledged last, which need not be the newest one sent.
    fn send_patch(&mut self) {
        let answers = self.control.answers();
        let Some(base) = answers.iter().rev().find(|a| a.accepted).and_then(|a| a.version) else { return };
        let Some(old) = self.sent.get(&base).and_then(|s| s.plan.clone()) else { return };
        let plan = Plan { routes: Plan::random(&mut self.rng).routes, ..old };
        let version = self.record_sent(Some(plan.clone()), true);
        let routes = plan.config(version, &self.endpoints)["routes"].clone();
        self.control.patch(version, base, &json!({"routes": routes}));
    }

    /// Closes the connection in the middle of a line.
    fn send_incomplete(&mut self) {
        let plan = Plan::random(&mut self.rng);
        let version = self.record_sent(Some(plan.clone()), false);
        let line = json!({"version": version, "config": plan.config(version, &self.endpoints)}).to_string();
        let cut = self.rng.random_range(1..line.len());
        self.control.send(&line[..cut]);
        self.control.cut();
        let control = self.control.clone();
        wait_until("the courier comes back to the service", || control.is_open());
    }

    fn send_random(&mut self) {
        match self.rng.random_range(0..20) {
            0..10 => drop(self.send_valid()),
            10..13 => self.send_patch(),
            13..16 => self.send_invalid(),
            16 => drop(self.control.send("{\"version\": 7, \"config\": \n")),
            17 => {
                // A version number that was used before, with a different configuration.
                let plan = Plan::random(&mut self.rng);
                let config = plan.config(0, &self.endpoints);
                if let Some(old) = self.sent.keys().next().copied() {
                    self.control.send_version(old, &config);
                }
            }
            _ => self.send_incomplete(),
        }
    }
}

/// Compares every call with the answers to the versions; see the module's documentation.
fn assert_calls_match_answers(
    service: &Service,
    endpoints: &[Endpoint],
    clients: &Clients,
    seed: u64,
    restarts: bool,
) {
    let answers = service.control.answers();
    let accepted: BTreeMap<u64, Instant> =
        answers.iter().filter(|a| a.accepted).filter_map(|a| Some((a.version?, a.at))).collect();
    let accepted_messages = clients.accepted_messages.lock().expect("accepted").clone();
    let mut calls = 0;
    for (e, endpoint) in endpoints.iter().enumerate() {
        for call in endpoint.calls() {
            calls += 1;
            let head =
                |name| call.page.header(name).and_then(|v| v.parse::<u64>().ok()).expect("route's header");
            let (version, pool) = (head("x-version"), head("x-pool") as usize);
            let what = format!("seed {seed}: {} by version {version} of p{pool} at endpoint {e}", call.id);
            let sent = service.sent.get(&version).unwrap_or_else(|| panic!("{what}: never sent"));
            let plan = sent.plan.as_ref().unwrap_or_else(|| panic!("{what}: a bad version took effect"));
            assert!(sent.complete, "{what}: an incomplete version took effect");
            // A version may be in effect although a kill prevented its acknowledgement.
            assert!(restarts || accepted.contains_key(&version), "{what}: it was not acknowledged");
            assert!(plan.routes.contains(&pool), "{what}: none of its routes uses the pool");
            // A message that was sent after an acknowledgement is routed by that version or a later one.
            if let Some(message) = accepted_messages.get(&call.id) {
                let known = accepted.iter().filter(|(_, at)| **at < message.began).map(|(v, _)| *v).max();
                assert!(known.is_none_or(|known| version >= known), "{what}: {known:?} was in effect");
            }
            // The pool must have the endpoint in a version that may have been in effect within the grace period.
            let from = call.at.checked_sub(DRAIN_GRACE + SCHEDULING_ALLOWANCE);
            let last = accepted.iter().filter(|(_, at)| from.is_some_and(|from| **at <= from));
            let last = last.map(|(v, _)| *v).max().unwrap_or_default();
            let may = service.sent.iter().filter(|(v, s)| **v >= last && s.complete && s.at <= call.at);
            let has = |p: &Plan| p.pools[pool].contains(&e);
            let mut may = may.filter_map(|(_, s)| s.plan.as_ref());
            assert!(may.any(has), "{what}: the endpoint was removed for longer than the drain grace period");
        }
    }
    assert!(calls > 50, "seed {seed}: {calls} calls");
}

fn assert_all_end(folder: &TestFolder, charges: &ChargeLedger, clients: &Clients, seed: u64) {
    let accepted_messages = clients.accepted_messages.lock().expect("accepted").clone();
    wait_until("the end of every accepted message", || {
        let notice_results: BTreeSet<String> = outcomes(folder).into_iter().map(|(id, _)| id).collect();
        accepted_messages.keys().all(|id| charges.get(id).answered || notice_results.contains(id))
    });
    let mut notice_results: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (id, result) in outcomes(folder) {
        notice_results.entry(id).or_default().insert(result);
    }
    for (id, charge) in charges.all() {
        // A repeatable message may run more than once, even if its client got no answer.
        let payment = clients.classes.lock().expect("classes")[&id] == "payment";
        assert!(charge.times <= 1 || !payment, "seed {seed}: {id} was charged {} times", charge.times);
    }
    for id in accepted_messages.keys() {
        let notice_results = notice_results.get(id).cloned().unwrap_or_default();
        assert!(notice_results.len() <= 1, "seed {seed}: {id} ended as {notice_results:?}");
        // A payment that was charged and reported as bounced would be submitted again and charged twice.
        let charged = charges.get(id).times > 0 && accepted_messages[id].class == "payment";
        assert!(
            !(charged && notice_results.contains("bounced")),
            "seed {seed}: {id} was charged, and bounced"
        );
    }
}

fn start_service(seed: u64) -> (Service, Vec<Endpoint>, ChargeLedger, Arc<Clients>) {
    let charges = ChargeLedger::default();
    let endpoints: Vec<Endpoint> = (0..ENDPOINT_COUNT as u64).map(|n| charges.endpoint(seed + n)).collect();
    let service = Service::new(seed, endpoints.iter().map(|e| e.address).collect());
    (service, endpoints, charges, Arc::default())
}

fn start_clients(
    at: &Arc<Mutex<SocketAddr>>,
    clients: &Arc<Clients>,
    seed: u64,
) -> Vec<thread::JoinHandle<()>> {
    let begin = |n| {
        let (at, clients) = (at.clone(), clients.clone());
        thread::spawn(move || submit_until_stopped(at, clients, seed + n))
    };
    (0..3).map(begin).collect()
}

#[test]
fn versions_take_effect_under_load_exactly_as_acknowledged() {
    let (seed, versions) = (env_or("SEED", 20_261_201), env_or("VERSIONS", 300));
    println!("SEED={seed} VERSIONS={versions}");
    let (mut service, endpoints, charges, clients) = start_service(seed);
    let folder = TestFolder::new();
    let control = service.control.clone();
    let sender = thread::spawn(move || {
        wait_until("the courier listens", || service.control.is_open());
        let first = service.send_valid();
        service.control.answer(first);
        service
    });
    let courier = Courier::serve(&folder, &file(&control));
    let mut service = sender.join().expect("the first version");
    let at = Arc::new(Mutex::new(courier.address));
    let threads = start_clients(&at, &clients, seed);
    for _ in 0..versions {
        service.send_random();
        thread::sleep(Duration::from_millis(service.rng.random_range(0..40)));
    }
    let last = service.send_valid();
    assert!(service.control.answer(last).accepted);
    thread::sleep(100 * MS);
    clients.stop.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|t| t.join().expect("a client"));
    assert_all_end(&folder, &charges, &clients, seed);
    assert_calls_match_answers(&service, &endpoints, &clients, seed, false);
    // Complete lines have one answer each; lines lost with their connection have at most one. Incomplete lines have none.
    let answers = service.control.answers();
    for (version, sent) in &service.sent {
        let own: Vec<_> = answers.iter().filter(|a| a.version == Some(*version)).collect();
        let good = own.iter().filter(|a| a.accepted).count();
        assert!(sent.complete || own.is_empty(), "seed {seed}: incomplete {version} was answered");
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
fn after_sigkill_the_courier_starts_with_the_last_acknowledged_version() {
    let (seed, kills) = (env_or("SEED", 20_261_202), env_or("KILLS", 12));
    println!("SEED={seed} KILLS={kills}");
    let (mut service, endpoints, charges, clients) = start_service(seed);
    let folder = TestFolder::new();
    let at = Arc::new(Mutex::new(SocketAddr::from(([127, 0, 0, 1], 9))));
    let threads = start_clients(&at, &clients, seed);
    for kill in 0..=kills {
        let file = file(&service.control);
        let folder = &folder;
        let courier = thread::scope(|scope| {
            let starting = scope.spawn(move || Courier::serve(folder, &file));
            if kill == 0 {
                wait_until("the courier listens", || service.control.is_open());
                let first = service.send_valid();
                service.control.answer(first);
            }
            starting.join().expect("it starts")
        });
        let acknowledged =
            service.control.answers().iter().filter(|a| a.accepted).filter_map(|a| a.version).max();
        let up = courier.page("/-/config")["version"].as_u64();
        let complete = up.and_then(|v| service.sent.get(&v)).is_some_and(|s| s.complete && s.plan.is_some());
        // A newer version may have been stored without its acknowledgement being sent; an older one must not be in effect.
        assert!(
            up >= acknowledged && complete,
            "seed {seed}: up on {up:?}, {acknowledged:?} was acknowledged"
        );
        *at.lock().expect("the address") = courier.address;
        wait_until("the courier listens", || service.control.is_open());
        if kill == kills {
            let last = service.send_valid();
            assert!(service.control.answer(last).accepted);
            clients.stop.store(true, Ordering::SeqCst);
            assert_all_end(folder, &charges, &clients, seed);
            break;
        }
        let until = Instant::now() + Duration::from_millis(service.rng.random_range(20..500));
        while Instant::now() < until {
            match service.rng.random_range(0..4) {
                0 => service.send_invalid(),
                1 => service.send_patch(),
                _ => drop(service.send_valid()),
            }
            thread::sleep(Duration::from_millis(service.rng.random_range(0..15)));
        }
        courier.kill();
        // Acknowledgements that are still in transit to the service count too.
        thread::sleep(20 * MS);
        service.control.cut();
    }
    threads.into_iter().for_each(|t| t.join().expect("a client"));
    assert_calls_match_answers(&service, &endpoints, &clients, seed, true);
}
