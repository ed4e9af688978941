//! Runs repeated load cycles ("mornings") on one courier and checks whether any metric of its memory keeps
//! growing:
//!
//!     stairshed-soak [--minutes N] [--mornings N] [--rate N] [--seed N] [--total SIZE] [--plant LEAK] [--out FOLDER]
//!         [PROGRAM]
//!
//! A cycle starts idle, rises to `rate` messages per second and has a burst on each quarter hour, one slow
//! partner and one that rejects calls for a while, clients that reconnect and MQTT clients that are mostly
//! offline. `minutes` holds `mornings` such cycles. Writes `soak.csv` and `soak.svg`; the exit status is 1 if
//! a metric grows. `--plant` makes an unchanged courier retain ever more memory, to verify that the check
//! detects it: `bodies` (1 KB for each message remains, in messages to a pool without endpoints),
//! `connections` (after one in a thousand requests the client's connection stays open), `map` (ids of ended
//! messages are kept for a day).

use plotters::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use stairshed_mqtt::packet::Version;
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::process_stats::open_descriptors;
use stairshed_rig::trend::TimeSeries;
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const PARTNERS: usize = 6;
/// Number of HTTP clients.
const HTTP_CLIENTS: u64 = 24;
/// Number of MQTT clients.
const MQTT_CLIENTS: u64 = 40;
/// Time between two samples of the metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Growth in bytes per hour that is ignored: 64 KiB is within the granularity of the allocator.
const GRAIN_BYTES: f64 = 64.0 * 1024.0;

/// The kind of leak that is simulated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    Nothing,
    Bodies,
    Connections,
    Map,
}

/// With `--plant bodies`, every 32nd message of a client stays, with 1 KB for each of the 32.
const BODY_EVERY: u64 = 32;
/// With `--plant connections`, one in 1000 requests on average leaves its connection open.
const CONNECTION_EVERY: u32 = 1000;

struct Soak {
    minutes: f64,
    mornings: f64,
    rate: f64,
    seed: u64,
    total: String,
    plant: Plant,
    out: PathBuf,
    program: PathBuf,
}

fn parse_args() -> Option<Soak> {
    let mut soak = Soak {
        minutes: 8.0,
        mornings: 8.0,
        rate: 400.0,
        seed: 20_261_201,
        total: "64MB".to_owned(),
        plant: Plant::Nothing,
        out: ".".into(),
        program: PathBuf::new(),
    };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--minutes" => soak.minutes = args.next()?.parse().ok()?,
            "--mornings" => soak.mornings = args.next()?.parse().ok()?,
            "--rate" => soak.rate = args.next()?.parse().ok()?,
            "--seed" => soak.seed = args.next()?.parse().ok()?,
            "--total" => soak.total = args.next()?,
            "--plant" => {
                soak.plant = match args.next()?.as_str() {
                    "bodies" => Plant::Bodies,
                    "connections" => Plant::Connections,
                    "map" => Plant::Map,
                    _ => return None,
                }
            }
            "--out" => soak.out = args.next()?.into(),
            _ if arg.starts_with('-') => return None,
            _ => soak.program = arg.into(),
        }
    }
    if soak.program.as_os_str().is_empty() {
        soak.program = program();
    }
    (soak.minutes > 0.0 && soak.minutes <= 600.0 && soak.mornings >= 1.0 && soak.rate > 0.0).then_some(soak)
}

/// The position in the current load cycle.
#[derive(Clone)]
struct Clock {
    begun: Instant,
    morning: Duration,
}

impl Clock {
    /// Returns the position in the cycle, from 0 to 1.
    fn phase(&self) -> f64 {
        (self.begun.elapsed().as_secs_f64() / self.morning.as_secs_f64()).fract()
    }

    /// Returns the message rate as a share of the peak: idle, a ramp, a burst on each sixteenth of
    /// the cycle (a quarter hour), idle again.
    fn load(&self) -> f64 {
        let at = self.phase();
        let burst = if (0.3..0.9).contains(&at) && (at * 16.0).fract() < 0.3 { 1.0 } else { 0.5 };
        match at {
            _ if at < 0.1 => 0.03,
            _ if at < 0.3 => 0.03 + (at - 0.1) / 0.2 * 0.47,
            _ if at < 0.9 => burst,
            _ => 0.02,
        }
    }
}

/// Starts a fake partner. Partner 1 is slow for a part of the cycle, and partner 2 rejects calls for a part
/// of it.
fn partner(n: usize, clock: Clock, seed: u64) -> Endpoint {
    let rng = Mutex::new(SmallRng::seed_from_u64(seed + n as u64));
    Endpoint::new(move |_| {
        let (roll, wait) = {
            let mut rng = rng.lock().expect("the generator");
            (rng.random_range(0..200), Duration::from_millis(rng.random_range(1..8)))
        };
        match (n, clock.phase()) {
            (1, at) if (0.45..0.6).contains(&at) => EndpointAction::RespondAfter(wait * 40, OK),
            (2, at) if (0.55..0.7).contains(&at) => EndpointAction::RespondAndClose(BUSY),
            _ if roll == 0 => EndpointAction::CloseConnection,
            _ if roll < 40 => EndpointAction::RespondAfter(wait, OK),
            _ => EndpointAction::Respond(OK),
        }
    })
}

fn config_file(soak: &Soak, partners: &[Endpoint]) -> String {
    let mut text = format!(
        "name = \"soak\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [limits]\nheld = 5000\n[memory]\ntotal = \"{}\"\nclient_share = 1.0\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\nremember = \"{}\"\n\
         [classes.notice]\neffect = \"repeatable\"\ndeadline = \"10s\"\n\
         [classes.stays]\neffect = \"repeatable\"\naim = \"23h\"\ndeadline = \"24h\"\n\
         [pools.none]\nendpoints = []\n\
         [routes.stays]\nprefix = \"/stays\"\npool = \"none\"\nclass = \"stays\"\n",
        soak.total,
        if soak.plant == Plant::Map { "24h" } else { "5s" }
    );
    for (n, partner) in partners.iter().enumerate() {
        text += &format!(
            "[pools.p{n}]\nendpoints = [{{ address = \"{}\" }}]\n\
             [routes.n{n}]\nprefix = \"/notice/{n}\"\npool = \"p{n}\"\nclass = \"notice\"\n\
             [routes.p{n}]\nprefix = \"/pay/{n}\"\npool = \"p{n}\"\nclass = \"payment\"\n\
             [topics.t{n}]\nfilter = \"pay/{n}\"\npool = \"p{n}\"\nclass = \"payment\"\nidentity_scope = \"all\"\n\
             identity = {{ pointer = \"/id\" }}\n",
            partner.address
        );
    }
    text
}

/// Counts of the responses that HTTP clients received.
#[derive(Default)]
struct ResponseCounts {
    accepted: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
}

/// Runs an HTTP client that keeps its connection and reconnects about once in 300 requests.
fn run_http_client(
    n: u64,
    to: SocketAddr,
    soak: (f64, u64, Plant),
    clock: &Clock,
    counts: &ResponseCounts,
    stop: &AtomicBool,
) {
    let (rate, seed, plant) = soak;
    let mut leaked_connections = Vec::new();
    let mut rng = SmallRng::seed_from_u64(seed ^ (n << 32));
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut number = 0u64;
    while !stop.load(Ordering::SeqCst) {
        let pause = HTTP_CLIENTS as f64 / (rate * clock.load()).max(0.5) * rng.random_range(0.5..1.5);
        thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
        if rng.random_range(0..300) == 0 {
            connection = None;
        }
        if plant == Plant::Connections && rng.random_range(0..CONNECTION_EVERY) == 0 {
            leaked_connections.extend(connection.take());
        }
        let (to, from) = match &mut connection {
            Some(connection) => connection,
            None => {
                let Ok(stream) = TcpStream::connect(to) else { continue };
                let set = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(WAIT_TIMEOUT)));
                let (Ok(()), Ok(other)) = (set, stream.try_clone()) else { continue };
                connection.insert((stream, BufReader::new(other)))
            }
        };
        number += 1;
        let place = rng.random_range(0..PARTNERS);
        let path = if rng.random_bool(0.3) { "pay" } else { "notice" };
        let stays = plant == Plant::Bodies && number.is_multiple_of(BODY_EVERY);
        let path = if stays { "stays" } else { path };
        // Mostly small bodies; one in 50 is 40 KB.
        let size = if rng.random_range(0..50) == 0 { 40_000 } else { rng.random_range(100..1500) };
        let size = if stays { 1024 * BODY_EVERY as usize } else { size };
        let request = format!(
            "POST /{path}/{place} HTTP/1.1\r\nHost: x\r\nX-Request-ID: c{n}-{number}\r\nContent-Length: {size}\r\n\r\n{}",
            "x".repeat(size)
        );
        let answer = to.write_all(request.as_bytes()).ok().and_then(|()| HttpMessage::read(from));
        let count = match answer.as_ref().map(HttpMessage::status) {
            Some(202) => &counts.accepted,
            Some(_) => &counts.refused,
            None => {
                connection = None;
                &counts.unanswered
            }
        };
        count.fetch_add(1, Ordering::SeqCst);
        if answer.is_some_and(|a| a.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))) {
            connection = None;
        }
    }
}

/// Runs an MQTT client that repeatedly connects, submits one or two payments and disconnects for a while.
fn run_mqtt_client(n: u64, to: SocketAddr, seed: u64, clock: &Clock, stop: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(seed ^ (n << 40));
    let mut number = 0u64;
    while !stop.load(Ordering::SeqCst) {
        let pause = rng.random_range(0.1..0.6) / clock.load().max(0.1);
        thread::sleep(Duration::from_secs_f64(pause.min(3.0)));
        let client = format!("van-{n}");
        let (mut connection, connack) = MqttClient::connect(to, persistent_session(Version::V5, &client));
        if connack.code != 0 {
            continue;
        }
        connection.read_outcomes(&client);
        for _ in 0..rng.random_range(1..3) {
            number += 1;
            let place = rng.random_range(0..PARTNERS);
            let text = format!("{{\"id\": \"v{n}-{number}\", \"amount\": 42}}");
            let _ = connection.submit(&format!("pay/{place}"), number as u16 | 1, &text, &[]);
        }
    }
}

/// Adds one sample of each metric, `at` hours after the start.
fn sample(courier: &Courier, all: &mut BTreeMap<String, TimeSeries>, at: f64) {
    let page = courier.page("/-/memory");
    let mut add_point = |name: &str, value: Option<f64>| {
        let series = all.entry(name.to_owned()).or_default();
        series.name = name.to_owned();
        series.points.extend(value.map(|v| (at, v)));
    };
    for key in ["resident", "allocated", "unaccounted"] {
        add_point(key, page[key].as_f64());
    }
    add_point("descriptors", open_descriptors(courier.id()).map(|n| n as f64));
    for purpose in page["purposes"].as_array().into_iter().flatten() {
        let held = |key: &str| purpose[key].as_f64().unwrap_or_default();
        add_point(purpose["purpose"].as_str().unwrap_or("?"), Some(held("in_use") + held("reserved")));
    }
}

/// Writes all samples as CSV, one column per metric.
fn write_csv(all: &BTreeMap<String, TimeSeries>, to: &Path) -> std::io::Result<()> {
    let names: Vec<&str> = all.keys().map(String::as_str).collect();
    let mut text = format!("hours,{}\n", names.join(","));
    let rows = all.values().map(|s| s.points.len()).min().unwrap_or_default();
    for row in 0..rows {
        let at = all.values().next().map_or(0.0, |s| s.points[row].0);
        let cells: Vec<String> = all.values().map(|s| format!("{:.0}", s.points[row].1)).collect();
        text += &format!("{at:.5},{}\n", cells.join(","));
    }
    fs::write(to, text)
}

/// Plots each metric in a chart of its own, since they differ by orders of magnitude.
fn plot(all: &BTreeMap<String, TimeSeries>, hours: f64, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let shown: Vec<&TimeSeries> = all.values().filter(|s| s.points.iter().any(|p| p.1 != 0.0)).collect();
    let root = SVGBackend::new(to, (1000, 110 * shown.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, series) in root.split_evenly((shown.len(), 1)).iter().zip(shown) {
        let most = series.points.iter().map(|p| p.1).fold(1.0, f64::max) * 1.1;
        let (scale, unit) = match most {
            m if series.name == "descriptors" => (1.0, format!("{:.0} at most", m / 1.1)),
            m if m > 2e6 => (1e6, "MB".to_owned()),
            _ => (1e3, "kB".to_owned()),
        };
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{} ({unit})", series.name), ("sans-serif", 13))
            .set_label_area_size(LabelAreaPosition::Left, 50)
            .set_label_area_size(LabelAreaPosition::Bottom, 18)
            .margin_right(12)
            .build_cartesian_2d(0.0..hours * 60.0, 0.0..most / scale)?;
        chart.configure_mesh().disable_x_mesh().y_labels(4).x_labels(12).draw()?;
        let step = (series.points.len() / 900).max(1);
        let line = series.points.iter().step_by(step).map(|(at, v)| (at * 60.0, v / scale));
        chart.draw_series(LineSeries::new(line, &BLUE))?;
    }
    root.present()?;
    Ok(())
}

fn main() {
    let Some(soak) = parse_args() else {
        eprintln!(
            "usage: stairshed-soak [--minutes N] [--mornings N] [--rate N] [--seed N] [--total SIZE] [--plant bodies|connections|map] [--out FOLDER] [PROGRAM]"
        );
        std::process::exit(2);
    };
    println!(
        "seed {}, {} cycles in {} minutes, peak rate {} messages/s",
        soak.seed, soak.mornings, soak.minutes, soak.rate
    );
    let morning = Duration::from_secs_f64(soak.minutes * 60.0 / soak.mornings);
    let clock = Clock { begun: Instant::now(), morning };
    let partners: Vec<Endpoint> = (0..PARTNERS).map(|n| partner(n, clock.clone(), soak.seed)).collect();
    let folder = TestFolder::new();
    let mut command = serve_command_of(&soak.program, &folder, &config_file(&soak, &partners));
    let courier = Courier::spawn(&mut command);
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(ResponseCounts::default()));
    let mut threads = Vec::new();
    for n in 0..HTTP_CLIENTS {
        let (to, of, clock, counts, stop) = (
            courier.address,
            (soak.rate, soak.seed, soak.plant),
            clock.clone(),
            counts.clone(),
            stop.clone(),
        );
        threads.push(thread::spawn(move || run_http_client(n, to, of, &clock, &counts, &stop)));
    }
    for n in 0..MQTT_CLIENTS {
        let (to, seed, clock, stop) = (courier.mqtt(), soak.seed, clock.clone(), stop.clone());
        threads.push(thread::spawn(move || run_mqtt_client(n, to, seed, &clock, &stop)));
    }
    let (mut all, end) = (BTreeMap::new(), clock.begun + morning.mul_f64(soak.mornings));
    while Instant::now() < end {
        sample(&courier, &mut all, clock.begun.elapsed().as_secs_f64() / 3600.0);
        // Limits the memory that the fake partners' own records use.
        partners.iter().for_each(|p| p.seen.lock().expect("calls").clear());
        thread::sleep(SAMPLE_INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|t| t.join().expect("a thread"));
    let (period, hours) = (morning.as_secs_f64() / 3600.0, clock.begun.elapsed().as_secs_f64() / 3600.0);
    let mut all_flat = true;
    println!("{:<14} {:>12} {:>14} {:>14}  verdict", "metric", "mean", "per hour", "noise");
    for series in all.values() {
        let Some(slope) = series.slope(period) else {
            println!("{:<14} too few cycles for a verdict", series.name);
            continue;
        };
        let flat = slope.is_flat(if series.name == "descriptors" { 1.0 } else { GRAIN_BYTES });
        // Memory that the allocator retains shows in `allocated` and `resident`, which are checked like the
        // others.
        all_flat &= flat;
        let verdict = if flat { "flat" } else { "GROWS" };
        println!(
            "{:<14} {:>12.0} {:>+14.0} {:>14.0}  {verdict}",
            series.name, slope.mean, slope.per_hour, slope.noise
        );
    }
    let n = |of: &AtomicU64| of.load(Ordering::SeqCst);
    let page: Value = courier.page("/-/memory");
    println!(
        "{} accepted, {} refused, {} without a response; level {}",
        n(&counts.accepted),
        n(&counts.refused),
        n(&counts.unanswered),
        page["level"]
    );
    fs::create_dir_all(&soak.out).expect("the output folder");
    write_csv(&all, &soak.out.join("soak.csv")).expect("soak.csv");
    plot(&all, hours, &soak.out.join("soak.svg")).expect("soak.svg");
    // `exit` runs no destructors, so the courier would keep running.
    drop(courier);
    std::process::exit(i32::from(!all_flat));
}
