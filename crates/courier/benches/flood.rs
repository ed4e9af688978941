//! Measures a client's response times during a flood of rejected connections and, in the same run, without it; also the
//! descriptors and memory that the flood takes, and whether they are released afterwards.
//! `cargo bench -p stairshed-courier --bench flood`; `STAIRSHED_FLOOD=10000` runs a larger flood and needs as many
//! descriptors.

use stairshed_rig::process_stats::{open_descriptors, resident_mb};
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Connects from another address than the flood's.
fn connect_from_other_address(to: SocketAddr) -> TcpStream {
    let stream = connect_from([127, 0, 0, 2], to);
    stream.set_nodelay(true).expect("no delay");
    stream
}

/// Sends requests one after the other, each fourth on a new connection. Returns the sorted response times and the number
/// of messages that were not accepted.
fn send_requests(to: SocketAddr, name: &str, wait_until: impl Fn() -> bool) -> (Vec<Duration>, usize) {
    let (mut times, mut refused, mut stream) = (Vec::new(), 0, connect_from_other_address(to));
    for n in 0.. {
        if wait_until() {
            break;
        }
        let at = Instant::now();
        if n % 4 == 0 {
            stream = connect_from_other_address(to);
        }
        let text = request("/status", &format!("{name}{n}"), "", "x");
        let sent = stream.write_all(text.as_bytes());
        let page = sent.ok().and_then(|()| HttpMessage::read(&mut BufReader::new(&stream)));
        refused += usize::from(page.is_none_or(|page| page.status() != 202));
        times.push(at.elapsed());
    }
    times.sort();
    (times, refused)
}

fn print_times(label: &str, (times, refused): &(Vec<Duration>, usize)) {
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    println!(
        "{label:<16} {:>6} answers, {refused} not accepted: p50 {:.2} ms, p99 {:.2} ms, longest {:.2} ms",
        times.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

fn main() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let text = format!(
        "[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[memory]\ntotal = \"24MB\"\n\
         [classes.status]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.status]\nprefix = \"/status\"\npool = \"p\"\nclass = \"status\"\n",
        endpoint.address
    );
    let courier = Courier::serve(&folder, &text);
    let to = courier.address;
    let end = Instant::now() + Duration::from_secs(5);
    let without = send_requests(to, "a", || Instant::now() > end);
    let (before, start) = (open_descriptors(courier.id()).unwrap_or_default(), resident_mb(courier.id()));
    let (count, over) = (env_or("STAIRSHED_FLOOD", 2000), Arc::new(AtomicBool::new(false)));
    let peak = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let flooding = {
        let over = over.clone();
        thread::spawn(move || {
            let begun = Instant::now();
            // Half of them send a request and never read the answer; the others send nothing.
            let request_bytes = b"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx";
            let all: Vec<_> = (0..count)
                .filter_map(|n| {
                    let mut stream = TcpStream::connect(to).ok()?;
                    let _ = if n % 2 == 0 { stream.write_all(request_bytes) } else { Ok(()) };
                    Some(stream)
                })
                .collect();
            let took = begun.elapsed();
            thread::sleep(Duration::from_secs(5).saturating_sub(took));
            over.store(true, Ordering::SeqCst);
            println!("{} connections in {:.2} s, held for 5 s, never read", all.len(), took.as_secs_f64());
        })
    };
    let sampling = {
        let (id, over, peak) = (courier.id(), over.clone(), peak.clone());
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                peak.0.fetch_max(open_descriptors(id).unwrap_or_default() as u64, Ordering::SeqCst);
                peak.1.fetch_max((resident_mb(id) * 1e3) as u64, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let with = send_requests(to, "b", || over.load(Ordering::SeqCst));
    flooding.join().expect("the flood");
    sampling.join().expect("the sampler");
    thread::sleep(Duration::from_secs(15));
    print_times("without a flood", &without);
    print_times("with the flood", &with);
    let (files, memory) = (peak.0.load(Ordering::SeqCst), peak.1.load(Ordering::SeqCst) as f64 / 1e3);
    println!(
        "descriptors {before}, at most {files}, after {}",
        open_descriptors(courier.id()).unwrap_or_default()
    );
    println!("resident {start:.1} MB, at most {memory:.1}, after {:.1}", resident_mb(courier.id()));
    println!("rejected: {}", courier.page("/-/memory")["turned_away"]);
}
