//! Messages taken over MQTT at QoS 1 and 2 beside HTTP in one run: rate, the courier's CPU a message, the time to the
//! acknowledgement; then the memory of idle connections and of sessions without one.
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

/// Endpoints, so that none holds the others up.
const ENDPOINTS: usize = 20;

struct Load {
    messages: u64,
    connections: u64,
    sessions: usize,
    program: PathBuf,
}

fn read() -> Option<Load> {
    let mut load = Load { messages: 10_000, connections: 16, sessions: 10_000, program: PathBuf::new() };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--messages" => load.messages = words.next()?.parse().ok()?,
            "--connections" => load.connections = words.next()?.parse().ok()?,
            "--sessions" => load.sessions = words.next()?.parse().ok()?,
            _ => load.program = word.into(),
        }
    }
    (!load.program.as_os_str().is_empty() && load.messages > 0 && load.connections > 0).then_some(load)
}

fn file(endpoints: &[Endpoint], sessions: usize) -> String {
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

/// Where the courier serves.
#[derive(Clone, Copy)]
struct At {
    http: SocketAddr,
    mqtt: SocketAddr,
}

/// Hands in the messages of one connection, one after the other; the time of each.
type Way = fn(At, u64, u64) -> Vec<Duration>;

fn over_http(courier: At, who: u64, messages: u64) -> Vec<Duration> {
    let mut to = TcpStream::connect(courier.http).expect("a connection");
    to.set_nodelay(true).expect("no delay");
    let mut from = BufReader::new(to.try_clone().expect("a handle"));
    let body = "x".repeat(500);
    let one = |n: u64| {
        let at = Instant::now();
        let length = body.len();
        write!(to, "POST /state HTTP/1.1\r\nHost: x\r\nX-Request-ID: h{who}-{n}\r\nContent-Length: {length}\r\n\r\n{body}")
            .expect("sent");
        assert_eq!(HttpMessage::read(&mut from).expect("an answer").status(), 202);
        at.elapsed()
    };
    (0..messages).map(one).collect()
}

fn over_mqtt(courier: At, qos: Qos, who: u64, messages: u64) -> Vec<Duration> {
    let (mut van, _) =
        MqttClient::connect(courier.mqtt, persistent_session(Version::V5, &format!("{qos:?}-{who}")));
    let body = "x".repeat(500);
    let one = |n: u64| {
        let (at, id) = (Instant::now(), (n % 60_000) as u16 + 1);
        van.publish("state", qos, Some(id), &body, &[]);
        match van.next_ack() {
            Some(Packet::Puback(ack)) => assert_eq!(ack.code, 0),
            Some(Packet::Pubrec(ack)) => {
                assert_eq!(ack.code, 0);
                van.send(Packet::Pubrel(Ack::new(id, 0)));
                assert!(matches!(van.next_ack(), Some(Packet::Pubcomp(_))));
            }
            other => panic!("{other:?}"),
        }
        at.elapsed()
    };
    (0..messages).map(one).collect()
}

fn at_least_once(courier: At, who: u64, messages: u64) -> Vec<Duration> {
    over_mqtt(courier, Qos::AtLeastOnce, who, messages)
}

fn exactly_once(courier: At, who: u64, messages: u64) -> Vec<Duration> {
    over_mqtt(courier, Qos::ExactlyOnce, who, messages)
}

fn play(load: &Load, courier: &Courier, endpoints: &[Endpoint], name: &str, way: Way) {
    let delivered = || endpoints.iter().map(|e| e.seen.lock().expect("calls").len()).sum::<usize>();
    let (before, done, begin) = (cpu_seconds(courier.id()), delivered(), Instant::now());
    let each = load.messages / load.connections;
    let at = At { http: courier.address, mqtt: courier.mqtt() };
    let mut waits: Vec<Duration> = thread::scope(|scope| {
        let all: Vec<_> = (0..load.connections).map(|who| scope.spawn(move || way(at, who, each))).collect();
        all.into_iter().flat_map(|t| t.join().expect("a client")).collect()
    });
    let took = begin.elapsed().as_secs_f64();
    wait_until("every delivery", || delivered() - done >= waits.len());
    let cost = (cpu_seconds(courier.id()) - before) * 1e6 / waits.len() as f64;
    waits.sort();
    let at = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    println!(
        "{name:<12} {:>7.0}/s  acknowledged p50 {:>6.2} p99 {:>6.2} ms  CPU {cost:>6.1} us a message, its delivery included",
        waits.len() as f64 / took,
        at(0.5),
        at(0.99)
    );
}

fn idle(load: &Load, courier: &Courier) {
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
        "{} idle connections with sessions: {:.2} KB each resident; {:.2} KB each once they are gone and the sessions stay",
        load.sessions,
        (connected - before) / n,
        (kb() - before) / n
    );
}

fn run(load: &Load, program: &Path) {
    let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| Endpoint::new(|_| EndpointAction::Respond(OK))).collect();
    let folder = TestFolder::new();
    let courier = Courier::spawn(&mut serve_command_of(program, &folder, &file(&endpoints, load.sessions)));
    for (name, way) in
        [("HTTP", over_http as Way), ("MQTT QoS 1", at_least_once), ("MQTT QoS 2", exactly_once)]
    {
        play(load, &courier, &endpoints, name, way);
    }
    if load.sessions > 0 {
        idle(load, &courier);
    }
}

fn main() {
    let Some(load) = read() else {
        eprintln!("usage: stairshed-mqtt-load [--messages N] [--connections N] [--sessions N] PROGRAM");
        std::process::exit(2);
    };
    run(&load, &load.program);
}
