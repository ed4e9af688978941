//! No request goes to an endpoint that drains once its courier counts as told, whatever keeps the courier from
//! hearing of it: couriers as processes on loopback, with a fake discovery that fails in several ways.

use serde_json::{Value, json};
use stairshed_rig::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A change counts as told this long after discovery had it, whether or not it arrived (protocol page).
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// After SIGHUP what the new discovery has counts as told after this time.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The rule on drains, with the 50 ms that it has on sockets.
const GRACE: Duration = Duration::from_millis(1050);
/// Couriers played side by side, each with a seed of its own.
const COURIERS: u64 = 12;
/// Couriers that the settings tell of: calls to discovery are spread over nearly 8 s then.
const FLEET: u64 = 300;
const LARGE_SHARE: f64 = 100_000.0;

fn endpoint_entry(name: &str, endpoint: &Endpoint, health: &str) -> Value {
    let mut entry = host(name, endpoint, 7, health);
    // A limit that holds back no courier, however many share it.
    entry["share"] = json!(LARGE_SHARE);
    entry
}

/// Couriers of one large fleet, and the two endpoints of their destination: `old` is replaced by `new`.
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
        let (old, new) =
            (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
        let discovery = Discovery::new(list(1, true, vec![endpoint_entry("s-old", &old, "ready")]));
        let folders = (0..couriers).map(|_| TestFolder::new()).collect();
        let (old, new) = (Arc::new(old), Arc::new(new));
        let mut fleet = Fleet { discovery, old, new, folders, couriers: Vec::new(), siblings };
        fleet.start_processes(1);
        wait_until("each has a watch", || fleet.discovery.watches.load(Ordering::SeqCst) as u64 >= couriers);
        fleet
    }

    fn config(&self, discovery: &Discovery, seed: u64) -> Value {
        let known = list(1, true, vec![endpoint_entry("s-old", &self.old, "ready")]);
        let mut config = config(discovery, known);
        config["settings"]["siblings"] = json!(self.siblings);
        config["seed"] = json!(format!("{seed:x}"));
        config
    }

    /// Starts all on the list that they had first.
    fn start_processes(&mut self, first_seed: u64) {
        println!("seeds {first_seed} to {}", first_seed + self.folders.len() as u64 - 1);
        let starts: Vec<_> = (first_seed..)
            .zip(&self.folders)
            .map(|(seed, folder)| command(folder, &self.discovery, &self.config(&self.discovery, seed)))
            .collect();
        let starting =
            starts.into_iter().map(|mut command| thread::spawn(move || Courier::spawn(&mut command)));
        let starting: Vec<_> = starting.collect();
        self.couriers = starting.into_iter().map(|start| start.join().expect("it starts")).collect();
    }

    fn kill(&mut self) {
        self.couriers.drain(..).for_each(Courier::kill);
    }

    /// Discovery has the replacement from now on.
    fn replace(&self) -> Instant {
        let entries =
            vec![endpoint_entry("s-old", &self.old, "draining"), endpoint_entry("s-new", &self.new, "ready")];
        self.discovery.tell(list(2, false, entries));
        Instant::now()
    }

    /// Hands in messages until the time has come.
    fn hand_in_until(&self, end: Instant) {
        self.clients_until(end).into_iter().for_each(|client| client.join().expect("a client"));
    }

    /// Clients that hand in a message at each courier every 100 ms, until the time has come.
    fn clients_until(&self, end: Instant) -> Vec<JoinHandle<()>> {
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

    /// Nothing may have gone to the old endpoint later than this.
    fn assert_nothing_old_after(&self, latest: Instant) {
        let late = self.old.calls().into_iter().filter(|call| call.at > latest);
        let late: Vec<_> = late.map(|call| (call.id, call.at - latest)).collect();
        assert!(late.is_empty(), "{} requests to a draining endpoint after the grace: {late:?}", late.len());
    }

    fn assert_new_is_used(&self) {
        assert!(!self.new.calls().is_empty(), "the new endpoint serves once its couriers know it");
    }
}

// Guards against an endpoint list of unknown age after a restart: incident d5b7e4.
#[test]
fn restarted_courier_sends_nothing_to_an_endpoint_that_began_to_drain_while_it_was_down() {
    let mut fleet = Fleet::start(COURIERS, FLEET);
    fleet.kill();
    let change = fleet.replace();
    thread::sleep(600 * MS);
    fleet.start_processes(100);
    fleet.hand_in_until(change + TOLD_AFTER * 2);
    fleet.assert_nothing_old_after(change + TOLD_AFTER + GRACE);
    fleet.assert_new_is_used();
}

// Guards against a silent watch that is noticed and opened anew too late.
#[test]
fn courier_whose_watch_fell_silent_sends_nothing_to_an_endpoint_that_drains() {
    let fleet = Fleet::start(COURIERS, FLEET);
    fleet.discovery.silence_watches();
    let change = fleet.replace();
    fleet.hand_in_until(change + TOLD_AFTER * 2);
    fleet.assert_nothing_old_after(change + TOLD_AFTER + GRACE);
    fleet.assert_new_is_used();
}

// Guards against retries of a refused call to discovery that are spread too far.
#[test]
fn courier_that_a_crowded_discovery_turns_away_sends_nothing_to_an_endpoint_that_drains() {
    turned_away(&Fleet::start(COURIERS, FLEET), Duration::from_secs(5));
}

// Guards against quick refusals in a row that pass for an outage.
#[test]
fn few_couriers_that_a_crowded_discovery_turns_away_send_nothing_to_an_endpoint_that_drains() {
    turned_away(&Fleet::start(2, 1), Duration::from_secs(9));
}

/// Watches end, and discovery turns each call away at once for a while; meanwhile an endpoint is replaced.
fn turned_away(fleet: &Fleet, crowded: Duration) {
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    fleet.discovery.close_watches();
    let change = fleet.replace();
    let discovery = fleet.discovery.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(crowded);
        discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.hand_in_until(change + TOLD_AFTER * 3);
    recovery.join().expect("it recovers");
    fleet.assert_nothing_old_after(change + TOLD_AFTER + GRACE);
    fleet.assert_new_is_used();
}

// Guards against a watch that sends bytes and never a line.
#[test]
fn courier_whose_watch_never_sends_a_whole_line_sends_nothing_to_an_endpoint_that_drains() {
    let fleet = Fleet::start(2, 1);
    fleet.discovery.answer_watches(WatchAnswer::NeverCompleteLine);
    fleet.discovery.close_watches();
    let change = fleet.replace();
    let discovery = fleet.discovery.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(500 * MS);
        discovery.answer_watches(WatchAnswer::Serve);
    });
    fleet.hand_in_until(change + TOLD_AFTER * 2);
    recovery.join().expect("it recovers");
    fleet.assert_nothing_old_after(change + TOLD_AFTER + GRACE);
    fleet.assert_new_is_used();
}

// Guards against a reload whose new discovery does not answer at first.
#[test]
fn reloaded_courier_sends_nothing_to_an_endpoint_that_the_new_discovery_drains() {
    let fleet = Fleet::start(COURIERS, FLEET);
    let moved = Discovery::new(list(7, true, vec![endpoint_entry("s-new", &fleet.new, "ready")]));
    moved.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    for (seed, (courier, folder)) in (200..).zip(fleet.couriers.iter().zip(&fleet.folders)) {
        courier.reload(folder, &fleet.config(&moved, seed).to_string());
    }
    let reload = Instant::now();
    let recovering = moved.clone();
    let recovery = thread::spawn(move || {
        thread::sleep(500 * MS);
        recovering.answer_watches(WatchAnswer::Serve);
    });
    fleet.hand_in_until(reload + TOLD_AFTER * 2);
    recovery.join().expect("it recovers");
    fleet.assert_nothing_old_after(reload + TOLD_AFTER_RELOAD + GRACE);
    fleet.assert_new_is_used();
}

// Guards against the word of one discovery that counts for another after a restart.
#[test]
fn courier_restarted_after_a_reload_sends_nothing_on_the_word_of_the_former_discovery() {
    let mut fleet = Fleet::start(2, 1);
    let moved = Discovery::new(list(1, true, vec![endpoint_entry("s-new", &fleet.new, "ready")]));
    moved.answer_watches(WatchAnswer::RefuseAfter(Duration::ZERO));
    for (courier, folder) in fleet.couriers.iter().zip(&fleet.folders) {
        courier.reload(folder, &fleet.config(&moved, 300).to_string());
    }
    let reload = Instant::now();
    thread::sleep(300 * MS);
    fleet.kill();
    thread::sleep(600 * MS);
    fleet.discovery = moved.clone();
    fleet.start_processes(300);
    let recovery = thread::spawn(move || {
        thread::sleep(Duration::from_secs(7));
        moved.answer_watches(WatchAnswer::Serve);
    });
    fleet.hand_in_until(reload + TOLD_AFTER * 2);
    recovery.join().expect("it recovers");
    fleet.assert_nothing_old_after(reload + TOLD_AFTER_RELOAD + GRACE);
    fleet.assert_new_is_used();
    let asked = fleet.discovery.asked.lock().expect("asked").clone();
    assert!(
        asked.iter().all(|call| !call.contains("index=")),
        "versions of the former mean nothing: {asked:?}"
    );
}

// Guards against the backlog of a stopped process that passes for fresh word of discovery.
#[test]
fn courier_that_was_stopped_for_seconds_sends_nothing_to_an_endpoint_that_began_to_drain_meanwhile() {
    let fleet = Fleet::start(2, 1);
    fleet.couriers.iter().for_each(|courier| courier.signal("-STOP"));
    thread::sleep(1500 * MS);
    let change = fleet.replace();
    let latest = change + TOLD_AFTER + GRACE;
    let clients = fleet.clients_until(latest + Duration::from_secs(3));
    thread::sleep(latest + 50 * MS - Instant::now());
    fleet.couriers.iter().for_each(|courier| courier.signal("-CONT"));
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    fleet.assert_nothing_old_after(latest);
    fleet.assert_new_is_used();
}

// Guards against a site that pushes its lists, where nobody asks for them.
#[test]
fn courier_whose_lists_are_pushed_hears_of_them_and_acts_on_none_before() {
    let (old, new) =
        (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let discovery = Discovery::new(list(2, true, vec![endpoint_entry("s-new", &new, "ready")]));
    let folder = TestFolder::new();
    let mut config = config(&discovery, list(1, true, vec![endpoint_entry("s-old", &old, "ready")]));
    config["settings"]["membership-mode"] = json!("automatic");
    let courier = Courier::with(&folder, &discovery, &config);
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the delivery", || !new.calls().is_empty());
    assert!(old.calls().is_empty(), "what the agent had from the start counts as told");
}

// Guards against a pool from discovery that is served on a list out of date, and one from the file that is held for it.
#[test]
fn operators_courier_holds_what_is_for_listed_endpoints_and_serves_its_own_without_a_word_of_discovery() {
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
    let latest = change + TOLD_AFTER + GRACE;
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
    assert!(late(&own) >= 15, "{} requests to the file's own endpoint in 2 s", late(&own));
    discovery.answer_watches(WatchAnswer::Serve);
    wait_until("the list", || {
        courier.post("/listed", "last", "", "x");
        !new.calls().is_empty()
    });
}

/// The share of what was handed in that is delivered from the eighth second of an outage of discovery on, longer than
/// a list is good without any word.
fn share_served_in_outage(siblings: u64) -> f64 {
    let served = served_in_outage(siblings, Duration::from_secs(2));
    // Four couriers, a message each 100 ms, 16 s.
    served[8..].iter().sum::<usize>() as f64 / (16.0 * 40.0)
}

/// Calls by second of an outage in which calls to discovery are refused after this time.
fn served_in_outage(siblings: u64, refused_after: Duration) -> Vec<usize> {
    let fleet = Fleet::start(4, siblings);
    fleet.discovery.answer_watches(WatchAnswer::RefuseAfter(refused_after));
    fleet.discovery.close_watches();
    let outage = Instant::now();
    fleet.hand_in_until(outage + Duration::from_secs(24));
    let calls = fleet.old.calls();
    let in_second = |from: u64| {
        let second = outage + Duration::from_secs(from)..outage + Duration::from_secs(from + 1);
        calls.iter().filter(|call| second.contains(&call.at)).count()
    };
    let served: Vec<_> = (0..24).map(in_second).collect();
    println!("{siblings} couriers: calls by second of the outage {served:?}");
    served
}

// Guards against an outage that shows itself by quick refusals and would hold all messages for good.
#[test]
fn few_couriers_deliver_again_while_discovery_refuses_at_once_for_long() {
    let served = served_in_outage(3, Duration::ZERO);
    let late = served[16..].iter().sum::<usize>() as f64 / (8.0 * 40.0);
    assert!(late >= 0.8, "{late:.2} of what was handed in");
}

// Guards against an outage of discovery that stops the couriers.
#[test]
fn few_couriers_deliver_through_a_long_outage_of_discovery() {
    let share = share_served_in_outage(3);
    assert!(share >= 0.8, "{share:.2} of what was handed in");
}

// Guards against the same where calls to discovery are spread over many couriers.
#[test]
fn large_fleet_delivers_through_a_long_outage_of_discovery() {
    let share = share_served_in_outage(FLEET);
    assert!(share >= 0.5, "{share:.2} of what was handed in");
}
