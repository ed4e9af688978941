//! A courier sends no request to a draining endpoint after the propagation limit of the protocol page, even if it cannot
//! learn of the drain. Courier processes on loopback, with a fake discovery service that fails in several ways.

use serde_json::{Value, json};
use stairshed_rig::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A change counts as known to couriers this long after discovery has it, whether or not it arrived (protocol page).
const MAX_PROPAGATION: Duration = Duration::from_secs(6);
/// After SIGHUP, the new discovery's list counts as known after this time.
const MAX_PROPAGATION_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Grace period of the rule on drains (1 s), plus 50 ms for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1050);
/// Couriers that run at the same time, each with a seed of its own.
const COURIER_COUNT: u64 = 12;
/// Number of couriers in the settings. With this many, calls to discovery are spread over nearly 8 s.
const LARGE_FLEET_SIZE: u64 = 300;
const UNRESTRICTIVE_SHARE: f64 = 100_000.0;

fn endpoint_entry(name: &str, endpoint: &Endpoint, health: &str) -> Value {
    let mut entry = host(name, endpoint, 7, health);
    // A limit so large that it never restricts a courier, however many share it.
    entry["share"] = json!(UNRESTRICTIVE_SHARE);
    entry
}

/// Couriers that share one discovery service, and the two endpoints of their destination: `new` replaces `old`.
struct Fleet {
    discovery: Discovery,
    old: Arc<Endpoint>,
    new: Arc<Endpoint>,
    folders: Vec<TestFolder>,
    couriers: Vec<Courier>,
    siblings: u64,
}

impl Fleet {
    fn start(couriers: u64, siblings: u64) -> Self {
        let mut fleet = Self::new(couriers, siblings);
        fleet.start_processes(1);
        wait_until("each has a watch", || fleet.discovery.watches.load(Ordering::SeqCst) as u64 >= couriers);
        fleet
    }

    /// A fleet whose couriers are not started yet.
    fn new(couriers: u64, siblings: u64) -> Self {
        let (old, new) =
            (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
        let discovery = Discovery::new(list(1, true, vec![endpoint_entry("s-old", &old, "ready")]));
        let folders = (0..couriers).map(|_| TestFolder::new()).collect();
        let (old, new) = (Arc::new(old), Arc::new(new));
        Fleet { discovery, old, new, folders, couriers: Vec::new(), siblings }
    }

    fn config(&self, discovery: &Discovery, seed: u64) -> Value {
        let known = list(1, true, vec![endpoint_entry("s-old", &self.old, "ready")]);
        let mut config = config(discovery, known);
        config["settings"]["siblings"] = json!(self.siblings);
        config["seed"] = json!(format!("{seed:x}"));
        config
    }

    /// Starts all couriers with the initial list, in which only the old endpoint is ready.
    fn start_processes(&mut self, first_seed: u64) {
        println!("seeds {first_seed} to {}", first_seed + self.folders.len() as u64 - 1);
        let starts: Vec<_> = (first_seed..)
            .zip(&self.folders)
            .map(|(seed, folder)| command(folder, &self.discovery, &self.config(&self.discovery, seed)))
            .collect();
        let starting = starts
            .into_iter()
            .map(|mut command| thread::spawn(move || Courier::spawn(command.args(["--follow", "1/1"]))));
        let starting: Vec<_> = starting.collect();
        self.couriers = starting.into_iter().map(|start| start.join().expect("it starts")).collect();
    }

    fn kill(&mut self) {
        self.couriers.drain(..).for_each(Courier::kill);
    }

    /// Publishes the list that replaces the old endpoint, and returns the time of the change.
    fn replace_endpoint(&self) -> Instant {
        let entries =
            vec![endpoint_entry("s-old", &self.old, "draining"), endpoint_entry("s-new", &self.new, "ready")];
        self.discovery.tell(list(2, false, entries));
        Instant::now()
    }

    /// Submits messages until `end`.
    fn submit_until(&self, end: Instant) {
        self.start_clients_until(end).into_iter().for_each(|client| client.join().expect("a client"));
    }

    /// Starts clients that submit a message to each courier every 100 ms until `end`.
    fn start_clients_until(&self, end: Instant) -> Vec<JoinHandle<()>> {
        let addresses: Vec<_> = self.couriers.iter().map(|c| c.address).collect();
        let clients = addresses.into_iter().enumerate().map(|(n, to)| {
            thread::spawn(move || {
                for message in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("m-{n}-{message}-{}", std::process::id());
                    exchange(to, message_with(&id, "status", 7, 4000, "").as_bytes());
                    thread::sleep(100 * MS);
                }
            })
        });
        clients.collect()
    }

    /// Asserts that the old endpoint had no call later than `latest`.
    fn assert_no_call_to_old_after(&self, latest: Instant) {
        let late = self.old.calls().into_iter().filter(|call| call.at > latest);
        let late: Vec<_> = late.map(|call| (call.id, call.at - latest)).collect();
        self.print_log_of(late.iter().map(|(id, _)| id.as_str()));
        assert!(late.is_empty(), "{} requests to a draining endpoint after the grace: {late:?}", late.len());
    }

    /// Prints what the couriers logged of discovery and of these messages, if there are any.
    fn print_log_of<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let ids: Vec<_> = ids.collect();
        if ids.is_empty() {
            return;
        }
        let tells = |line: &String| line.starts_with("discovery:") || ids.iter().any(|id| line.contains(id));
        for (number, courier) in self.couriers.iter().enumerate() {
            courier
                .unread_log()
                .iter()
                .filter(|line| tells(line))
                .for_each(|line| println!("courier {number}: {line}"));
        }
    }

    fn assert_new_is_used(&self) {
        assert!(!self.new.calls().is_empty(), "the new endpoint was never called");
    }
}

// Guards against using an endpoint list of unknown age after a restart (incident d5b7e4).
#[test]
fn restarted_courier_sends_nothing_to_an_endpoint_that_began_to_drain_while_it_was_down() {
    let mut fleet = Fleet::start(COURIER_COUNT, LARGE_FLEET_SIZE);
    fleet.kill();
    let change = fleet.replace_endpoint();
    thread::sleep(600 * MS);
    fleet.start_processes(100);
    fleet.submit_until(change + MAX_PROPAGATION * 2);
    fleet.assert_no_call_to_old_after(change + MAX_PROPAGATION + DRAIN_GRACE);
    fleet.assert_new_is_used();
}

// Guards against detecting and reopening a watch without data too late.
#[test]
fn courier_whose_watch_stops_sending_data_sends_nothing_to_a_draining_endpoint() {
    let fleet = Fleet::start(COURIER_COUNT, LARGE_FLEET_SIZE);
    fleet.discovery.silence_watches();
    let change = fleet.replace_endpoint();
    fleet.submit_until(change + MAX_PROPAGATION * 2);
    fleet.assert_no_call_to_old_after(change + MAX_PROPAGATION + DRAIN_GRACE);
    fleet.assert_new_is_used();
}

// Guards against retrying refused calls to discovery with too long a backoff.
#[test]
fn courier_refused_by_an_overloaded_discovery_sends_nothing_to_a_draining_endpoint() {
    assert_no_call_when_refused(&Fleet::start(COURIER_COUNT, LARGE_FLEET_SIZE), Duration::from_secs(5));
}

// Guards against taking a series of quick refusals for an outage of discovery.
#[test]
fn small_fleet_refused_by_an_overloaded_discovery_sends_nothing_to_a_draining_endpoint() {
    assert_no_call_when_refused(&Fleet::start(2, 1), Duration::from_secs(9));
}

/// Closes the watches, lets discovery refuse each call at once for `refusing_time`, and replaces the endpoint meanwhile.
fn assert_no_call_when_refused(fleet: &Fleet, refusing_time: Duration) {
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    fleet.discovery.close_watches();
    let change = fleet.replace_endpoint();
    let discovery = fleet.discovery.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(refusing_time);
        discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.submit_until(change + MAX_PROPAGATION * 3);
    recovery.join().expect("it recovers");
    fleet.assert_no_call_to_old_after(change + MAX_PROPAGATION + DRAIN_GRACE);
    fleet.assert_new_is_used();
}

// Guards against a watch that sends bytes but never a complete line.
#[test]
fn courier_whose_watch_never_sends_a_complete_line_sends_nothing_to_a_draining_endpoint() {
    let fleet = Fleet::start(2, 1);
    fleet.discovery.answer_watches(WatchAnswer::NeverCompleteLine);
    fleet.discovery.close_watches();
    let change = fleet.replace_endpoint();
    let discovery = fleet.discovery.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(500 * MS);
        discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.submit_until(change + MAX_PROPAGATION * 2);
    recovery.join().expect("it recovers");
    fleet.assert_no_call_to_old_after(change + MAX_PROPAGATION + DRAIN_GRACE);
    fleet.assert_new_is_used();
}

// Guards against using the old list after a reload when the new discovery refuses calls at first.
#[test]
fn reloaded_courier_sends_nothing_to_an_endpoint_that_the_new_discovery_drains() {
    let fleet = Fleet::start(COURIER_COUNT, LARGE_FLEET_SIZE);
    let new_discovery = Discovery::new(list(7, true, vec![endpoint_entry("s-new", &fleet.new, "ready")]));
    new_discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    for (seed, (courier, folder)) in (200..).zip(fleet.couriers.iter().zip(&fleet.folders)) {
        courier.reload(folder, &fleet.config(&new_discovery, seed).to_string());
    }
    let reload = Instant::now();
    let recovering_discovery = new_discovery.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(500 * MS);
        recovering_discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.submit_until(reload + MAX_PROPAGATION * 2);
    recovery.join().expect("it recovers");
    fleet.assert_no_call_to_old_after(reload + MAX_PROPAGATION_AFTER_RELOAD + DRAIN_GRACE);
    fleet.assert_new_is_used();
}

// Guards against applying the list of one discovery service to another after a restart.
#[test]
fn courier_restarted_after_a_reload_does_not_use_the_list_of_the_former_discovery() {
    let mut fleet = Fleet::start(2, 1);
    let new_discovery = Discovery::new(list(1, true, vec![endpoint_entry("s-new", &fleet.new, "ready")]));
    new_discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    for (courier, folder) in fleet.couriers.iter().zip(&fleet.folders) {
        courier.reload(folder, &fleet.config(&new_discovery, 300).to_string());
    }
    let reload = Instant::now();
    thread::sleep(300 * MS);
    fleet.kill();
    thread::sleep(600 * MS);
    fleet.discovery = new_discovery.clone();
    fleet.start_processes(300);
    let recovery = thread::spawn(move || {
        thread::sleep(Duration::from_secs(7));
        new_discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.submit_until(reload + MAX_PROPAGATION * 2);
    recovery.join().expect("it recovers");
    fleet.assert_no_call_to_old_after(reload + MAX_PROPAGATION_AFTER_RELOAD + DRAIN_GRACE);
    fleet.assert_new_is_used();
    let asked = fleet.discovery.asked.lock().expect("asked").clone();
    assert!(
        asked.iter().all(|call| !call.contains("index=")),
        "an index of the former discovery was used: {asked:?}"
    );
}

// Guards against taking a restart for a first start, whose list counts as current, because the process before it was
// killed before a line from its discovery.
#[test]
fn courier_restarted_with_another_discovery_does_not_use_a_list_that_the_former_never_confirmed() {
    let mut fleet = Fleet::new(2, 1);
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    fleet.start_processes(400);
    fleet.kill();
    let new_discovery = Discovery::new(list(1, true, vec![endpoint_entry("s-new", &fleet.new, "ready")]));
    new_discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    fleet.discovery = new_discovery.clone();
    let restart = Instant::now();
    fleet.start_processes(400);
    fleet.submit_until(restart + Duration::from_secs(2));
    new_discovery.answer_watches(WatchAnswer::Serve);
    fleet.submit_until(restart + Duration::from_secs(8));
    fleet.assert_no_call_to_old_after(restart);
    fleet.assert_new_is_used();
    let asked = fleet.discovery.asked.lock().expect("asked").clone();
    assert!(asked.iter().all(|call| !call.contains("index=")), "an index was used: {asked:?}");
}

// Guards against treating data that queued up while the process was stopped as a fresh list.
#[test]
fn courier_that_was_stopped_for_seconds_sends_nothing_to_an_endpoint_that_began_to_drain_meanwhile() {
    let fleet = Fleet::start(2, 1);
    fleet.couriers.iter().for_each(|courier| courier.signal("-STOP"));
    thread::sleep(1500 * MS);
    let change = fleet.replace_endpoint();
    let latest = change + MAX_PROPAGATION + DRAIN_GRACE;
    let clients = fleet.start_clients_until(latest + Duration::from_secs(3));
    thread::sleep(latest + 50 * MS - Instant::now());
    fleet.couriers.iter().for_each(|courier| courier.signal("-CONT"));
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    fleet.assert_no_call_to_old_after(latest);
    fleet.assert_new_is_used();
}

/// Time after the change at which couriers are stopped, and for how long. The lease that a courier would then take has
/// to end after the grace.
const STOP_AFTER_CHANGE: Duration = Duration::from_millis(1200);
const STOP_TIME: Duration = Duration::from_millis(1500);

/// Lets stopped couriers run after [`STOP_TIME`], with discovery serving again at `latest`.
fn assert_no_call_after_stop(fleet: &Fleet, clients: Vec<JoinHandle<()>>, latest: Instant) {
    thread::sleep(STOP_TIME);
    fleet.couriers.iter().for_each(|courier| courier.signal("-CONT"));
    thread::sleep(latest - Instant::now());
    fleet.discovery.answer_watches(WatchAnswer::Serve);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    fleet.assert_no_call_to_old_after(latest);
    fleet.assert_new_is_used();
}

// Guards against taking the time in which the process was stopped for a wait for discovery, which would be an outage.
#[test]
fn courier_stopped_during_a_refused_call_sends_nothing_to_a_draining_endpoint() {
    let fleet = Fleet::start(2, 1);
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(300 * MS));
    fleet.discovery.close_watches();
    let change = fleet.replace_endpoint();
    let latest = change + MAX_PROPAGATION + DRAIN_GRACE;
    let clients = fleet.start_clients_until(latest + Duration::from_secs(3));
    thread::sleep(STOP_AFTER_CHANGE);
    for courier in &fleet.couriers {
        let calls = || fleet.discovery.asked.lock().expect("asked").len();
        let before = calls();
        wait_until("a call", || calls() > before);
        courier.signal("-STOP");
    }
    assert_no_call_after_stop(&fleet, clients, latest);
}

// Guards against counting a line from discovery as new when it is read, long after it arrived.
#[test]
fn courier_that_reads_the_last_line_of_its_watch_late_sends_nothing_to_a_draining_endpoint() {
    let fleet = Fleet::start(2, 1);
    fleet.couriers.iter().for_each(|courier| courier.signal("-STOP"));
    // Longer than the interval of discovery's empty lines.
    thread::sleep(STOP_TIME);
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    fleet.discovery.close_watches();
    // The watches notice within 5 ms that they are closed.
    thread::sleep(50 * MS);
    let change = fleet.replace_endpoint();
    let latest = change + MAX_PROPAGATION + DRAIN_GRACE;
    let clients = fleet.start_clients_until(latest + Duration::from_secs(3));
    assert_no_call_after_stop(&fleet, clients, latest);
}

// Guards against not receiving lists on a site where they are pushed instead of requested.
#[test]
fn courier_with_pushed_lists_receives_them_and_does_not_use_an_older_one() {
    let (old, new) =
        (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let discovery = Discovery::new(list(2, true, vec![endpoint_entry("s-new", &new, "ready")]));
    let folder = TestFolder::new();
    let mut config = config(&discovery, list(1, true, vec![endpoint_entry("s-old", &old, "ready")]));
    config["settings"]["membership-mode"] = json!("automatic");
    let courier = Courier::with(&folder, &discovery, &config);
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the delivery", || !new.calls().is_empty());
    assert!(
        old.calls().is_empty(),
        "the old endpoint was called although the agent had the new list from the start"
    );
}

// Guards against serving a discovered pool from an outdated list, and against holding a pool with static endpoints for it.
#[test]
fn courier_without_discovery_holds_messages_for_discovered_pools_and_serves_static_pools() {
    let [old, new, own] = [(); 3].map(|()| Endpoint::new(|_| EndpointAction::Respond(OK)));
    let discovery = Discovery::new(list(1, true, vec![endpoint_entry("s-old", &old, "ready")]));
    let file = format!(
        "[listen]\nhttp = \"127.0.0.1:0\"\n[discovery]\naddress = \"{}\"\n\
         [classes.status]\neffect = \"repeatable\"\ndeadline = \"4s\"\n\
         [pools.listed]\ndestination = 7\ndiscovery = true\n\
         [pools.own]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.listed]\nprefix = \"/listed\"\npool = \"listed\"\nclass = \"status\"\n\
         [routes.own]\nprefix = \"/own\"\npool = \"own\"\nclass = \"status\"\n",
        discovery.address, own.address
    );
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &file);
    wait_until("the first delivery", || {
        courier.post("/listed", "first", "", "x");
        !old.calls().is_empty()
    });
    discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    discovery.close_watches();
    let entries = vec![endpoint_entry("s-old", &old, "draining"), endpoint_entry("s-new", &new, "ready")];
    discovery.tell(list(2, false, entries));
    let change = Instant::now();
    let latest = change + MAX_PROPAGATION + DRAIN_GRACE;
    for number in 0.. {
        if Instant::now() > latest + Duration::from_secs(2) {
            break;
        }
        courier.post("/listed", &format!("l-{number}"), "", "x");
        courier.post("/own", &format!("o-{number}"), "", "x");
        thread::sleep(100 * MS);
    }
    let late = |endpoint: &Endpoint| endpoint.calls().iter().filter(|call| call.at > latest).count();
    assert_eq!(late(&old), 0, "requests to a draining endpoint after the grace");
    assert!(late(&own) >= 15, "{} requests to the static endpoint in 2 s", late(&own));
    discovery.answer_watches(WatchAnswer::Serve);
    wait_until("the list", || {
        courier.post("/listed", "last", "", "x");
        !new.calls().is_empty()
    });
}

/// Returns the share of submitted messages that is delivered from the eighth second of a discovery outage on, which is
/// longer than a list stays valid without contact.
fn share_served_in_outage(siblings: u64) -> f64 {
    let served = served_in_outage(siblings, Duration::from_secs(2));
    // Four couriers with a message every 100 ms each, for 16 s.
    served[8..].iter().sum::<usize>() as f64 / (16.0 * 40.0)
}

/// Returns the number of calls in each second of an outage in which discovery refuses calls after `refused_after`.
fn served_in_outage(siblings: u64, refused_after: Duration) -> Vec<usize> {
    let fleet = Fleet::start(4, siblings);
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(refused_after));
    fleet.discovery.close_watches();
    let outage = Instant::now();
    fleet.submit_until(outage + Duration::from_secs(24));
    let calls = fleet.old.calls();
    let in_second = |from: u64| {
        let second = outage + Duration::from_secs(from)..outage + Duration::from_secs(from + 1);
        calls.iter().filter(|call| second.contains(&call.at)).count()
    };
    let served: Vec<_> = (0..24).map(in_second).collect();
    println!("{siblings} couriers: calls by second of the outage {served:?}");
    served
}

// Guards against holding all messages forever in an outage that appears as quick refusals.
#[test]
fn small_fleet_delivers_again_while_discovery_refuses_every_call_at_once() {
    let served = served_in_outage(3, Duration::ZERO);
    let late = served[16..].iter().sum::<usize>() as f64 / (8.0 * 40.0);
    assert!(late >= 0.8, "{late:.2} of the submitted messages");
}

// Guards against an outage of discovery that stops deliveries.
#[test]
fn small_fleet_delivers_through_a_long_outage_of_discovery() {
    let share = share_served_in_outage(3);
    assert!(share >= 0.8, "{share:.2} of the submitted messages");
}

// Guards against the same when calls to discovery are spread over many couriers.
#[test]
fn large_fleet_delivers_through_a_long_outage_of_discovery() {
    let share = share_served_in_outage(LARGE_FLEET_SIZE);
    assert!(share >= 0.5, "{share:.2} of the submitted messages");
}
