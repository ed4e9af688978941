//! Measures HTTP couriers under load, with fake endpoints in the same process: the response time that clients
//! see and the CPU time per message; with `--rest`, how much memory the courier releases afterwards.
//!
//!     stairshed-load [--messages N] [--connections N] [--rounds N] [--settings FILE] [--rest SECONDS] PROGRAM...
//!
//! Each PROGRAM is a courier binary (`target/release/stairshed`, or that of another checkout). They run in
//! turn, `rounds` times, so that other load on the machine affects all of them alike.

use stairshed_rig::process_stats::{cpu_seconds, peak_resident_mb, resident_mb};
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of destinations, each with an endpoint of its own. A single endpoint would be limited by its slots.
const DESTINATIONS: u64 = 20;

struct Load {
    messages: u64,
    connections: u64,
    rounds: usize,
    settings: Option<PathBuf>,
    /// Idle time after the last message, before the resident memory is measured again.
    rest: Option<Duration>,
    programs: Vec<PathBuf>,
}

fn parse_args() -> Option<Load> {
    let mut load = Load {
        messages: 20_000,
        connections: 16,
        rounds: 3,
        settings: None,
        rest: None,
        programs: Vec::new(),
    };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--messages" => load.messages = args.next()?.parse().ok()?,
            "--connections" => load.connections = args.next()?.parse().ok()?,
            "--rounds" => load.rounds = args.next()?.parse().ok()?,
            "--rest" => load.rest = Some(Duration::from_secs(args.next()?.parse().ok()?)),
            "--settings" => load.settings = Some(args.next()?.into()),
            _ => load.programs.push(arg.into()),
        }
    }
    (!load.programs.is_empty() && load.messages > 0 && load.connections > 0).then_some(load)
}

fn run_round(load: &Load, program: &Path) {
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
    let (cpu_before, resident_before) = (cpu_seconds(courier.id()), resident_mb(courier.id()));
    let (next, address) = (Arc::new(AtomicU64::new(0)), courier.address);
    let begun = Instant::now();
    let clients: Vec<_> = (0..load.connections)
        .map(|_| {
            let (next, messages) = (next.clone(), load.messages);
            thread::spawn(move || {
                let mut to = TcpStream::connect(address).expect("a connection");
                to.set_nodelay(true).expect("no delay");
                let mut from = BufReader::new(to.try_clone().expect("a handle"));
                let (mut latencies, mut refused) = (Vec::new(), 0);
                let body = "x".repeat(500);
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= messages {
                        return (latencies, refused);
                    }
                    let text = message_with(&format!("m{n}"), "status", n % DESTINATIONS, 20_000, &body);
                    let at = Instant::now();
                    to.write_all(text.as_bytes()).expect("sent");
                    let page = HttpMessage::read(&mut from).expect("an answer");
                    match page.status() {
                        202 => latencies.push(at.elapsed()),
                        _ => {
                            refused += 1;
                            thread::sleep(Duration::from_millis(5));
                        }
                    }
                }
            })
        })
        .collect();
    let (mut latencies, mut refused) = (Vec::new(), 0);
    for client in clients {
        let (client_latencies, client_refused) = client.join().expect("a client");
        latencies.extend(client_latencies);
        refused += client_refused;
    }
    let elapsed = begun.elapsed().as_secs_f64();
    let delivered = || endpoints.iter().map(|e| e.seen.lock().expect("calls").len()).sum::<usize>();
    let notified = || discovery.notices.lock().expect("notices").len();
    wait_until("the end of all messages", || delivered() + notified() >= latencies.len());
    let cpu_us = (cpu_seconds(courier.id()) - cpu_before) * 1e6 / latencies.len().max(1) as f64;
    latencies.sort();
    let percentile_ms = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    println!(
        "{:<40} {:>7.0}/s  answer p50 {:>6.2} p99 {:>6.2} p99.9 {:>6.2} ms  CPU {cpu_us:>6.1} us per message  peak {:>5.1} MB  ready in {:>4.0} ms  {} accepted, {} ended by a notice, {refused} refused",
        program.display(),
        latencies.len() as f64 / elapsed,
        percentile_ms(0.5),
        percentile_ms(0.99),
        percentile_ms(0.999),
        peak_resident_mb(courier.id()),
        started.as_secs_f64() * 1e3,
        latencies.len(),
        notified(),
    );
    if let Some(rest) = load.rest {
        let resident_loaded = resident_mb(courier.id());
        thread::sleep(rest);
        let resident_after_rest = resident_mb(courier.id());
        println!(
            "  resident {resident_before:.1} MB before, {resident_loaded:.1} MB after the last message, {resident_after_rest:.1} MB after {} s of rest",
            rest.as_secs()
        );
    }
}

fn main() {
    let Some(load) = parse_args() else {
        eprintln!(
            "usage: stairshed-load [--messages N] [--connections N] [--rounds N] [--settings FILE] [--rest SECONDS] PROGRAM..."
        );
        std::process::exit(2);
    };
    for _ in 0..load.rounds {
        for program in &load.programs {
            run_round(&load, program);
        }
    }
}
