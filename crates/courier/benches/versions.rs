//! Measures a configuration version with 1,000 pools and 10,000 endpoints: the time from its last byte to its
//! acknowledgement, the longest pause of the serving loop meanwhile, and the memory of pools and routes. For comparison,
//! it measures the same pauses while nothing changes, and the time to write and sync as many bytes.
//! `cargo bench -p stairshed-courier --bench versions`

use serde_json::{Value, json};
use stairshed_rig::control_service::ControlService;
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 10;

/// Builds a configuration in which the endpoints of the first `changed` pools differ in each version.
fn config(version: u64, pools: usize, endpoints: usize, changed: usize) -> Value {
    let host = |pool: usize, n: usize| {
        let version = if pool < changed { version } else { 0 };
        let n = pool * endpoints + n;
        json!({"address": format!("127.{}.{}.{}:9", version % 250 + 1, n / 250, n % 250 + 1)})
    };
    let pool =
        |p| (format!("p{p}"), json!({"endpoints": (0..endpoints).map(|n| host(p, n)).collect::<Vec<_>>()}));
    let route = |p| {
        let route = json!({"path": format!("/p{p}/{{id}}"), "pool": format!("p{p}"), "class": "c"});
        (format!("r{p}"), route)
    };
    json!({
        "classes": {"c": {"effect": "once"}},
        "pools": (0..pools).map(pool).collect::<BTreeMap<_, _>>(),
        "routes": (0..pools).map(route).collect::<BTreeMap<_, _>>(),
    })
}

fn resident_kb(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Requests a page that needs the serving thread repeatedly on one connection; returns the sorted response times.
fn probe(to: SocketAddr, stop: &AtomicBool) -> Vec<Duration> {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    let mut from = BufReader::new(stream.try_clone().expect("a handle"));
    let mut to = stream;
    let mut times = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        to.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
        HttpMessage::read(&mut from).expect("an answer");
        times.push(began.elapsed());
        thread::sleep(Duration::from_micros(200));
    }
    times.sort();
    times
}

fn probe_during(to: SocketAddr, work: impl FnOnce()) -> Vec<Duration> {
    let stop = Arc::new(AtomicBool::new(false));
    let flag = stop.clone();
    let prober = thread::spawn(move || probe(to, &flag));
    work();
    stop.store(true, Ordering::SeqCst);
    prober.join().expect("the prober")
}

fn print_times(label: &str, times: &[Duration]) {
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    println!(
        "{label}: {} answers, p50 {:.2} ms, p99.9 {:.2} ms, longest {:.2} ms",
        times.len(),
        at(0.5),
        at(0.999),
        at(1.0)
    );
}

fn main() {
    let (folder, control) = (TestFolder::new(), ControlService::new());
    let file = format!(
        "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\n[control]\nurl = \"{}\"\nheartbeat = \"60s\"\n\
         [classes.c]\n[pools.p]\n[routes.r]\npath = \"/own\"\npool = \"p\"\nclass = \"c\"\n",
        control.url()
    );
    let courier = Courier::serve(&folder, &file);
    wait_until("the stream", || control.is_open());
    let mut next = 1;
    let mut send = |pools, endpoints, changed| {
        let config = config(next, pools, endpoints, changed);
        let line = json!({"version": next, "config": config}).to_string() + "\n";
        assert!(control.send(&line));
        // The time starts at the last byte of the version.
        let began = Instant::now();
        assert!(control.answer(next).accepted);
        let answer = control.answer(next);
        next += 1;
        (answer.at - began, line.len())
    };
    send(1, 1, 1);
    print_times("nothing changes", &probe_during(courier.address, || thread::sleep(Duration::from_secs(2))));
    for (pools, endpoints, changed) in [(10, 10, 10), (1000, 10, 10), (1000, 10, 100), (1000, 10, 1000)] {
        let (mut times, mut bytes) = (Vec::new(), 0);
        let pauses = probe_during(courier.address, || {
            for _ in 0..ROUNDS {
                let (time, size) = send(pools, endpoints, changed);
                (bytes, times) = (size, [times.as_slice(), &[time]].concat());
                thread::sleep(Duration::from_millis(100));
            }
        });
        times.sort();
        let (median_ms, max_ms) =
            (times[times.len() / 2].as_secs_f64() * 1e3, times[times.len() - 1].as_secs_f64() * 1e3);
        println!(
            "{pools} pools with {endpoints} endpoints, those of {changed} changed, {bytes} bytes: acknowledged after {median_ms:.1} ms, {max_ms:.1} at max_ms"
        );
        print_times("  meanwhile", &pauses);
        let raw = (0..5).map(|_| {
            let began = Instant::now();
            let mut file = fs::File::create(folder.0.join("raw")).expect("a file");
            file.write_all(&vec![b'x'; bytes]).and_then(|()| file.sync_all()).expect("written");
            began.elapsed()
        });
        println!(
            "  as many bytes written and synced: {:.1} ms",
            raw.min().expect("some").as_secs_f64() * 1e3
        );
    }
    for (pools, endpoints) in [(1, 1), (1000, 1), (1000, 10), (5000, 1)] {
        let folder = TestFolder::new();
        let toml = format!("name = \"c\"\n[listen]\nhttp = \"127.0.0.1:0\"\n{}", toml_of(pools, endpoints));
        let courier = Courier::serve(&folder, &toml);
        println!(
            "{pools} pools and routes, {endpoints} endpoints each: {} KB resident",
            resident_kb(courier.id())
        );
    }
}

fn toml_of(pools: usize, endpoints: usize) -> String {
    let mut text = "[classes.c]\n".to_owned();
    for p in 0..pools {
        let all: Vec<String> = (0..endpoints)
            .map(|n| format!("{{ address = \"127.1.{}.{}:{}\" }}", p / 250, p % 250 + 1, n + 1))
            .collect();
        text += &format!(
            "[pools.p{p}]\nendpoints = [{}]\n[routes.r{p}]\npath = \"/p{p}/{{id}}\"\npool = \"p{p}\"\nclass = \"c\"\n",
            all.join(", ")
        );
    }
    text
}
