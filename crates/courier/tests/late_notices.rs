//! Notices after an outage of their receiver: a message whose time is up when the receiver can be reached again has its
//! notice in time. A courier process on loopback, and a link to the platform that falls silent.

use serde_json::json;
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How late a notice may be: 300 ms, and 50 ms more for each time limit on sockets (protocol page).
const MAX_LATENESS: Duration = Duration::from_millis(350);
/// Time that each message has.
const MESSAGE_TIME: Duration = Duration::from_millis(600);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);
/// How long the receiver can be reached before the outage, and for how long messages are submitted after it.
const TIME_BEFORE: Duration = Duration::from_millis(1_200);
const TIME_AFTER: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A link to a service. A connection that comes up while the link is silent stays open, and nothing passes on it.
struct Link {
    address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Link {
    fn to(service: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let silent = Arc::new(AtomicBool::new(false));
        let is_silent = silent.clone();
        thread::spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                match is_silent.load(Ordering::SeqCst) {
                    true => held.push(stream),
                    false => relay(&stream, &TcpStream::connect(service).expect("the service")),
                }
            }
        });
        Link { address, silent }
    }
}

/// Passes on what comes on either connection.
fn relay(client: &TcpStream, service: &TcpStream) {
    for (from, to) in [(client, service), (service, client)] {
        let (mut from, mut to) = (from.try_clone().expect("a handle"), to.try_clone().expect("a handle"));
        thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}

/// Waits until all these messages have a notice, and returns when each came.
fn arrivals(discovery: &Discovery, stop: &AtomicBool) -> BTreeMap<String, Instant> {
    let (mut arrived, mut seen) = (BTreeMap::new(), 0);
    while !stop.load(Ordering::SeqCst) {
        let notices = discovery.notices.lock().expect("notices").clone();
        for notice in &notices[seen..] {
            arrived.entry(notice["ref"].as_str().expect("an id").to_owned()).or_insert_with(Instant::now);
        }
        seen = notices.len();
        thread::sleep(POLL_INTERVAL);
    }
    arrived
}

/// Plays one outage, and returns the largest lateness of a notice that was due after it.
fn lateness_after_outage(outage: Duration) -> Duration {
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
    let discovery = Discovery::new(known.clone());
    let (link, folder) = (Link::to(discovery.address), TestFolder::new());
    let mut config = config(&discovery, known);
    config["discovery"] = json!(link.address.to_string());
    let courier =
        Courier::spawn(command(&folder, &discovery, &config).env("LB_DISCOVERY", link.address.to_string()));
    let (stop, service) = (Arc::new(AtomicBool::new(false)), discovery.clone());
    let stopped = stop.clone();
    let watcher = thread::spawn(move || arrivals(&service, &stopped));
    let begin = Instant::now() + TIME_BEFORE;
    let end = begin + outage;
    let mut due = BTreeMap::new();
    for number in 0.. {
        let now = Instant::now();
        if now >= end + TIME_AFTER {
            break;
        }
        link.silent.store((begin..end).contains(&now), Ordering::SeqCst);
        let id = format!("late-{number}");
        let time_ms = MESSAGE_TIME.as_millis().try_into().expect("a number");
        if courier.submit(&id, "status", 7, time_ms).status() == 202 {
            due.insert(id, Instant::now() + MESSAGE_TIME);
        }
        thread::sleep(SUBMIT_INTERVAL);
    }
    wait_until("all notices", || due.keys().all(|id| !discovery.results(id).is_empty()));
    thread::sleep(2 * POLL_INTERVAL);
    stop.store(true, Ordering::SeqCst);
    let arrived = watcher.join().expect("the watcher");
    let after = due.iter().filter(|(_, due)| **due > end);
    let lateness: Vec<_> = after.map(|(id, due)| arrived[id].saturating_duration_since(*due)).collect();
    assert!(!lateness.is_empty(), "none was due after the outage, so the test shows nothing");
    lateness.into_iter().max().unwrap_or_default()
}

// Guards against notices that come too late because those that were posted into an outage take all places until their
// time-outs are over.
#[test]
fn platform_notices_are_in_time_once_the_receiver_can_be_reached_again() {
    /// The posts' time-outs and pauses end at other times in each.
    const OUTAGES_MS: [u64; 6] = [900, 1_200, 1_400, 1_700, 2_100, 2_700];
    let plays = OUTAGES_MS.map(|outage| {
        let play = move || (outage, lateness_after_outage(Duration::from_millis(outage)));
        thread::spawn(play)
    });
    let all = plays.map(|play| play.join().expect("a play"));
    let late: Vec<_> = all.iter().filter(|(_, lateness)| *lateness > MAX_LATENESS).collect();
    assert!(late.is_empty(), "outages in ms, and how late the last notice was: {late:?} of {all:?}");
}
