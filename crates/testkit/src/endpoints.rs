//! The endpoints of a run, and discovery, which lists them and takes the notices.

use crate::proxy::Proxy;
use crate::scenario::{Answers, Endpoints, Link, Scenario};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use stairshed_rig::duplicating_endpoint::{CallLog, DuplicatingEndpoint, Script};
use stairshed_rig::{Discovery, list};
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// How long an endpoint that hangs takes, longer than any attempt.
const HUNG: Duration = Duration::from_secs(30);
/// Wait of a 429 where the scenario names none.
const DEFAULT_WAIT: Duration = Duration::from_millis(300);
/// Seeds of endpoints' generators are this far apart for each run.
const SEED_STRIDE: u64 = 1000;

/// Limit of a pool, in calls per second, where the scenario names none.
const DEFAULT_LIMIT: u32 = 900;

/// Class in discovery of endpoints that share their pool's limit and waits.
pub const SHARED_LIMIT: &str = "shared";

/// An endpoint.
pub struct PlacedEndpoint {
    pub name: String,
    pub pool: usize,
    pub zone: String,
    /// Calls per second that its pool can take.
    limit: u32,
    address: SocketAddr,
    /// Between it and the couriers, where the scenario has faults of that link.
    pub proxy: Option<Proxy>,
}

/// Name of the endpoint of a pool in a zone.
pub fn endpoint_name(pool: usize, zone: &str) -> String {
    format!("p{pool}-{zone}")
}

/// Name of a pool, by an endpoint's name.
pub fn pool_of(endpoint: &str) -> &str {
    endpoint.split_once('-').map_or(endpoint, |(pool, _)| pool)
}

impl PlacedEndpoint {
    /// Starts all endpoints of a scenario.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start_all(scenario: &Scenario, seed: u64, log: &CallLog) -> io::Result<Vec<Self>> {
        let with_proxy = scenario.has_link(Link::CourierEndpoint);
        let Endpoints { pools, zones, .. } = &scenario.endpoints;
        let places = (0..*pools).flat_map(|pool| zones.iter().map(move |zone| (pool, zone)));
        let mut all = Vec::new();
        for (index, (pool, zone)) in places.enumerate() {
            let own_seed = seed.wrapping_mul(SEED_STRIDE).wrapping_add(index as u64);
            let name = endpoint_name(pool, zone);
            let rng = Mutex::new(SmallRng::seed_from_u64(own_seed));
            let settings = scenario.endpoints.clone();
            let script = move || draw_script(&settings, &mut rng.lock().expect("the generator"));
            let endpoint = DuplicatingEndpoint::start_in_zone(&name, zone, log, script);
            let proxy = if with_proxy { Some(Proxy::start(endpoint.address, own_seed)?) } else { None };
            let address = proxy.as_ref().map_or(endpoint.address, |proxy| proxy.address);
            let limit = scenario.endpoints.limit.unwrap_or(DEFAULT_LIMIT);
            all.push(PlacedEndpoint { name, pool, zone: zone.clone(), limit, address, proxy });
        }
        Ok(all)
    }

    /// Its entry in discovery's list.
    fn entry(&self, is_draining: bool) -> Value {
        let health = if is_draining { "draining" } else { "ready" };
        json!({"host": self.name, "dial": self.address.to_string(), "site": self.zone, "class": SHARED_LIMIT,
            "block": self.pool, "health": health, "share": self.limit, "born_ms": 0})
    }
}

/// Discovery, which numbers its lists.
pub struct ListingService {
    pub discovery: Discovery,
    version: u64,
}

impl ListingService {
    /// Starts discovery with all endpoints ready.
    pub fn start(endpoints: &[PlacedEndpoint]) -> Self {
        let entries = endpoints.iter().map(|endpoint| endpoint.entry(false)).collect();
        ListingService { discovery: Discovery::new(list(1, true, entries)), version: 1 }
    }

    /// The list at the start.
    pub fn first_list(&self) -> Value {
        self.discovery.lines.lock().expect("the lists")[0].clone()
    }

    /// Lists the endpoints of a zone as draining, or ready again.
    pub fn list_zone(&mut self, endpoints: &[PlacedEndpoint], zone: &str, is_draining: bool) {
        self.version += 1;
        let of_zone = endpoints.iter().filter(|endpoint| endpoint.zone == zone);
        let entries = of_zone.map(|endpoint| endpoint.entry(is_draining)).collect();
        self.discovery.tell(list(self.version, false, entries));
    }
}

/// Draws how an endpoint handles a call.
fn draw_script(settings: &Endpoints, rng: &mut SmallRng) -> Script {
    let latency = settings.latency.draw(rng);
    let (answer, delay) = draw_answer(&settings.answers, rng, latency);
    let is_last = settings.closing > 0.0 && rng.random_bool(settings.closing);
    let answer = if is_last { answer.map(|answer| closing(&answer)) } else { answer };
    Script { answer, delay, reset_after: false, copy_after: None }
}

/// Adds to an answer 200 that it is the last one on its connection.
fn closing(answer: &str) -> String {
    answer.replacen("200 OK\r\n", "200 OK\r\nConnection: close\r\n", 1)
}

fn draw_answer(answers: &Answers, rng: &mut SmallRng, latency: Duration) -> (Option<String>, Duration) {
    let body: u64 = rng.random();
    let wait = answers.wait.map_or(DEFAULT_WAIT, |wait| wait.draw(rng)).as_millis();
    let mut draw = rng.random_range(0.0..1.0);
    let mut is_drawn = |share: f64| {
        let drawn = (0.0..share).contains(&draw);
        draw -= share;
        drawn
    };
    let identity = format!("X-Answer: {body:016x}\r\nContent-Length: 0\r\n\r\n");
    let answer = if is_drawn(answers.refused) {
        Some(format!("HTTP/1.1 503 Service Unavailable\r\n{identity}"))
    } else if is_drawn(answers.busy) {
        Some(format!("HTTP/1.1 429 Too Many Requests\r\nWait-Ms: {wait}\r\n{identity}"))
    } else if is_drawn(answers.gone) {
        Some(format!("HTTP/1.1 410 Gone\r\n{identity}"))
    } else if is_drawn(answers.broken) {
        None
    } else if is_drawn(answers.hung) {
        return (None, HUNG);
    } else {
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{body:016x}"))
    };
    (answer, latency)
}
