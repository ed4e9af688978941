//! Compares message submission over HTTP and over MQTT at QoS 1 and 2 in one run: rate, CPU time of the
//! courier per message and time to the acknowledgement; then the memory of idle connections and of sessions
//! without a connection.
//!
//!     stairshed-mqtt-load [--messages N] [--connections N] [--sessions N] PROGRAM

use stairshed_mqtt::packet::{Ack, Packet, Qos, Version};
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::process_stats::{cpu_seconds, resident_mb};
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Number of endpoints, so that no single one limits the rate.
const ENDPOINTS: usize = 20;

struct Load {
    messages: u64,
    connections: u64,
    sessions: usize,
    program: PathBuf,
}

fn parse_args() -> Option<Load> {
    let mut load = Load { messages: 10_000, connections: 16, sessions: 10_000, program: PathBuf::new() };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--messages" => load.messages = args.next()?.parse().ok()?,
            "--connections" => load.connections = args.next()?.parse().ok()?,
            "--sessions" => load.sessions = args.next()?.parse().ok()?,
            _ => load.program = arg.into(),
        }
    }
    (!load.program.as_os_str().is_empty() && load.messages > 0 && load.connections > 0).then_some(load)
}

fn config_file(endpoints: &[Endpoint], sessions: usize) -> String {
    let list: Vec<String> = endpoints.iter().map(|e| format!("{{ address = \"{}\" }}", e.address)).collect();
    format!(
        "[listen]\nhttp = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [classes.state]\neffect = \"repeatable\"\ndeadline = \"60s\"\n\
         [pools.p]\nendpoints = [{}]\n\
         [routes.r]\npath = \"/state\"\npool = \"p\"\nclass = \"state\"\n\
         [topics.t]\nfilter = \"state\"\npool = \"p\"\nclass = \"state\"\n\
         [limits]\nheld = 100000\ncalls = 1000\nconnections = 4000\n\
         [mqtt]\nconnections = {most}\nsessions = {most}\n",
        list.join(", "),
        most = 2 * sessions + 100,
    )
}

/// Addresses of the courier's listeners.
#[derive(Clone, Copy)]
struct Listeners {
    http: SocketAddr,
    mqtt: SocketAddr,
}

/// Submits the messages of one connection one after another and returns the latency of each.
type Submitter = fn(Listeners, u64, u64) -> Vec<Duration>;

fn over_http(courier: Listeners, client: u64, messages: u64) -> Vec<Duration> {
    let mut to = TcpStream::connect(courier.http).expect("a connection");
    to.set_nodelay(true).expect("no delay");
    let mut from = BufReader::new(to.try_clone().expect("a handle"));
    let body = "x".repeat(500);
    let submit_one = |n: u64| {
        let at = Instant::now();
        let length = body.len();
        write!(to, "POST /state HTTP/1.1\r\nHost: x\r\nX-Request-ID: h{client}-{n}\r\nContent-Length: {length}\r\n\r\n{body}")
            .expect("sent");
        assert_eq!(HttpMessage::read(&mut from).expect("an answer").status(), 202);
        at.elapsed()
    };
    (0..messages).map(submit_one).collect()
}

fn over_mqtt(courier: Listeners, qos: Qos, client: u64, messages: u64) -> Vec<Duration> {
    let (mut publisher, _) =
        MqttClient::connect(courier.mqtt, persistent_session(Version::V5, &format!("{qos:?}-{client}")));
    let body = "x".repeat(500);
    let submit_one = |n: u64| {
        let (at, id) = (Instant::now(), (n % 60_000) as u16 + 1);
        publisher.publish("state", qos, Some(id), &body, &[]);
        match publisher.next_ack() {
            Some(Packet::Puback(ack)) => assert_eq!(ack.code, 0),
            Some(Packet::Pubrec(ack)) => {
                assert_eq!(ack.code, 0);
                publisher.send(Packet::Pubrel(Ack::new(id, 0)));
                assert!(matches!(publisher.next_ack(), Some(Packet::Pubcomp(_))));
            }
            other => panic!("{other:?}"),
        }
        at.elapsed()
    };
    (0..messages).map(submit_one).collect()
}

fn at_least_once(courier: Listeners, client: u64, messages: u64) -> Vec<Duration> {
    over_mqtt(courier, Qos::AtLeastOnce, client, messages)
}

fn exactly_once(courier: Listeners, client: u64, messages: u64) -> Vec<Duration> {
    over_mqtt(courier, Qos::ExactlyOnce, client, messages)
}

fn measure(load: &Load, courier: &Courier, endpoints: &[Endpoint], name: &str, submit: Submitter) {
    let delivered = || endpoints.iter().map(|e| e.seen.lock().expect("calls").len()).sum::<usize>();
    let (cpu_before, delivered_before, begun) = (cpu_seconds(courier.id()), delivered(), Instant::now());
    let per_connection = load.messages / load.connections;
    let listeners = Listeners { http: courier.address, mqtt: courier.mqtt() };
    let mut latencies: Vec<Duration> = thread::scope(|scope| {
        let all: Vec<_> = (0..load.connections)
            .map(|client| scope.spawn(move || submit(listeners, client, per_connection)))
            .collect();
        all.into_iter().flat_map(|t| t.join().expect("a client")).collect()
    });
    let elapsed = begun.elapsed().as_secs_f64();
    wait_until("the delivery of all messages", || delivered() - delivered_before >= latencies.len());
    let cpu_us = (cpu_seconds(courier.id()) - cpu_before) * 1e6 / latencies.len() as f64;
    latencies.sort();
    let percentile_ms = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    println!(
        "{name:<12} {:>7.0}/s  acknowledged p50 {:>6.2} p99 {:>6.2} ms  CPU {cpu_us:>6.1} us per message, including its delivery",
        latencies.len() as f64 / elapsed,
        percentile_ms(0.5),
        percentile_ms(0.99)
    );
}

fn measure_idle(load: &Load, courier: &Courier) {
    let kb = || resident_mb(courier.id()) * 1e3;
    let before = kb();
    let open: Vec<MqttClient> = (0..load.sessions)
        .map(|n| MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, &format!("idle-{n}"))).0)
        .collect();
    let connected = kb();
    drop(open);
    thread::sleep(Duration::from_secs(2));
    let n = load.sessions as f64;
    println!(
        "{} idle connections with sessions: {:.2} KB each resident; {:.2} KB each after they are closed and the sessions remain",
        load.sessions,
        (connected - before) / n,
        (kb() - before) / n
    );
}

fn run(load: &Load, program: &Path) {
    let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| Endpoint::new(|_| EndpointAction::Respond(OK))).collect();
    let folder = TestFolder::new();
    let courier =
        Courier::spawn(&mut serve_command_of(program, &folder, &config_file(&endpoints, load.sessions)));
    for (name, submit) in
        [("HTTP", over_http as Submitter), ("MQTT QoS 1", at_least_once), ("MQTT QoS 2", exactly_once)]
    {
        measure(load, &courier, &endpoints, name, submit);
    }
    if load.sessions > 0 {
        measure_idle(load, &courier);
    }
}

fn main() {
    let Some(load) = parse_args() else {
        eprintln!("usage: stairshed-mqtt-load [--messages N] [--connections N] [--sessions N] PROGRAM");
        std::process::exit(2);
    };
    run(&load, &load.program);
}
