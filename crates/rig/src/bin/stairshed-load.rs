//! A load on one courier after another, with stand-ins in the same run: how long a client waits for its answer
//! and what CPU a message costs; with `--rest`, what of its memory it gives back.
//!
//!     stairshed-load [--messages N] [--connections N] [--rounds N] [--settings FILE] [--rest SECONDS] PROGRAM...
//!
//! Each PROGRAM is a courier (`target/release/stairshed`, or that of another checkout). They are played in
//! turn, `rounds` times, so that what the machine does besides falls on all alike.

use stairshed_rig::process_stats::{cpu_seconds, peak_resident_mb, resident_mb};
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Destinations, each with an endpoint of its own: one alone would be held to its slots.
const DESTINATIONS: u64 = 20;

struct Load {
    messages: u64,
    connections: u64,
    rounds: usize,
    settings: Option<PathBuf>,
    /// After the last message, until its resident memory is looked at once more.
    rest: Option<Duration>,
    programs: Vec<PathBuf>,
}

fn read() -> Option<Load> {
    let mut load = Load {
        messages: 20_000,
        connections: 16,
        rounds: 3,
        settings: None,
        rest: None,
        programs: Vec::new(),
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--messages" => load.messages = words.next()?.parse().ok()?,
            "--connections" => load.connections = words.next()?.parse().ok()?,
            "--rounds" => load.rounds = words.next()?.parse().ok()?,
            "--rest" => load.rest = Some(Duration::from_secs(words.next()?.parse().ok()?)),
            "--settings" => load.settings = Some(words.next()?.into()),
            _ => load.programs.push(word.into()),
        }
    }
    (!load.programs.is_empty() && load.messages > 0 && load.connections > 0).then_some(load)
}

fn play(load: &Load, program: &Path) {
    let endpoints: Vec<_> =
        (0..DESTINATIONS).map(|_| Endpoint::new(|_| EndpointAction::Respond(OK))).collect();
    let hosts = endpoints.iter().enumerate();
    let hosts = hosts.map(|(n, e)| host(&format!("s-{n}"), e, n as u64, "ready"));
    let discovery = Discovery::new(list(1, true, hosts.collect()));
    let folder = TestFolder::new();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut command = command_of(program, &folder, &discovery, &config(&discovery, known));
    if let Some(settings) = &load.settings {
        command.arg("--settings").arg(settings);
    }
    let started = Instant::now();
    let courier = Courier::spawn(&mut command);
    let started = started.elapsed();
    let (before, empty) = (cpu_seconds(courier.id()), resident_mb(courier.id()));
    let (next, address) = (Arc::new(AtomicU64::new(0)), courier.address);
    let begin = Instant::now();
    let clients: Vec<_> = (0..load.connections)
        .map(|_| {
            let (next, messages) = (next.clone(), load.messages);
            thread::spawn(move || {
                let mut to = TcpStream::connect(address).expect("a connection");
                to.set_nodelay(true).expect("no delay");
                let mut from = BufReader::new(to.try_clone().expect("a handle"));
                let (mut waits, mut refused) = (Vec::new(), 0);
                let body = "x".repeat(500);
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= messages {
                        return (waits, refused);
                    }
                    let text = message_with(&format!("m{n}"), "status", n % DESTINATIONS, 20_000, &body);
                    let at = Instant::now();
                    to.write_all(text.as_bytes()).expect("sent");
                    let page = HttpMessage::read(&mut from).expect("an answer");
                    match page.status() {
                        202 => waits.push(at.elapsed()),
                        _ => {
                            refused += 1;
                            thread::sleep(Duration::from_millis(5));
                        }
                    }
                }
            })
        })
        .collect();
    let (mut waits, mut refused) = (Vec::new(), 0);
    for client in clients {
        let (some, not) = client.join().expect("a client");
        waits.extend(some);
        refused += not;
    }
    let took = begin.elapsed().as_secs_f64();
    let delivered = || endpoints.iter().map(|e| e.seen.lock().expect("calls").len()).sum::<usize>();
    let told = || discovery.notices.lock().expect("notices").len();
    wait_until("every end", || delivered() + told() >= waits.len());
    let cost = (cpu_seconds(courier.id()) - before) * 1e6 / waits.len().max(1) as f64;
    waits.sort();
    let at = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    println!(
        "{:<40} {:>7.0}/s  answer p50 {:>6.2} p99 {:>6.2} p99.9 {:>6.2} ms  CPU {cost:>6.1} us a message  peak {:>5.1} MB  ready in {:>4.0} ms  {} taken, {} refused later, {refused} at once",
        program.display(),
        waits.len() as f64 / took,
        at(0.5),
        at(0.99),
        at(0.999),
        peak_resident_mb(courier.id()),
        started.as_secs_f64() * 1e3,
        waits.len(),
        told(),
    );
    if let Some(rest) = load.rest {
        let full = resident_mb(courier.id());
        thread::sleep(rest);
        let rested = resident_mb(courier.id());
        println!(
            "  resident {empty:.1} MB before, {full:.1} MB after the last message, {rested:.1} MB after {} s of rest",
            rest.as_secs()
        );
    }
}

fn main() {
    let Some(load) = read() else {
        eprintln!(
            "usage: stairshed-load [--messages N] [--connections N] [--rounds N] [--settings FILE] [--rest SECONDS] PROGRAM..."
        );
        std::process::exit(2);
    };
    for _ in 0..load.rounds {
        for program in &load.programs {
            play(&load, program);
        }
    }
}
