//! A packet id means something only in the session that it was used in: whatever a reload or a restart changes, each
//! session has one connection, and a payment that waits for its acknowledgement is resumed in its own session or not at
//! all.

use stairshed_mqtt::encode;
use stairshed_mqtt::packet::{Connect, Packet, Version};
use stairshed_rig::broker::{Acks, Broker, BrokerFaults};
use stairshed_rig::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How late the payment in flight is acknowledged.
const LATE: Duration = Duration::from_millis(2500);
/// Payments after a change of the configuration, more than before it, so that packet ids of two sessions would meet.
const LATER: usize = 20;
const PAUSE: Duration = Duration::from_millis(20);

/// An endpoint that is a broker, in a pool of its own with a route of the pool's name.
#[derive(Clone, Copy)]
struct BrokerPool<'a> {
    name: &'a str,
    endpoint: &'a str,
    address: SocketAddr,
    /// More keys of the pool, and of its `mqtt` section.
    more: &'a str,
}

impl Default for BrokerPool<'_> {
    fn default() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        BrokerPool { name: "pumps", endpoint: "east", address, more: "" }
    }
}

impl BrokerPool<'_> {
    fn section(&self) -> String {
        let BrokerPool { name, endpoint, address, more } = self;
        format!(
            "[pools.{name}]\nendpoints = [{{ name = \"{endpoint}\", address = \"mqtt://{address}/fuel/in\" }}]\n{more}\n\
             [routes.{name}]\npath = \"/{name}\"\npool = \"{name}\"\nclass = \"payment\"\n"
        )
    }
}

fn file(pools: &[BrokerPool]) -> String {
    let sections: String = pools.iter().map(BrokerPool::section).collect();
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"10s\"\n{sections}"
    )
}

fn broker() -> Broker {
    Broker::new(BrokerFaults::default())
}

fn effects(brokers: &[&Broker], id: &str) -> u32 {
    brokers.iter().map(|broker| broker.effects().get(id).copied().unwrap_or_default()).sum()
}

fn result(folder: &TestFolder, id: &str) -> Option<String> {
    outcomes(folder).into_iter().find(|(i, _)| i == id).map(|(_, result)| result)
}

fn pay(courier: &Courier, pool: &str, id: &str) {
    assert_eq!(courier.post(&format!("/{pool}"), id, "", id).status(), 202, "{id}");
}

/// Submits payments that are acknowledged at once, and then one that is acknowledged late.
fn pay_and_leave_one_unresolved(courier: &Courier, broker: &Broker, pool: &str) {
    for n in 0..3 {
        let id = format!("early-{n}");
        pay(courier, pool, &id);
        wait_until("the effect", || effects(&[broker], &id) == 1);
    }
    broker.change(|faults| faults.acks = Acks::Late(LATE));
    pay(courier, pool, "slow");
    wait_until("the late payment's effect", || effects(&[broker], "slow") == 1);
    broker.change(|faults| faults.acks = Acks::AtOnce);
}

/// Submits payments after the change, and asserts that each takes effect once, as the late one has.
fn assert_later_payments_run_once(courier: &Courier, brokers: &[&Broker], pool: &str) {
    let ids: Vec<String> = (0..LATER).map(|n| format!("later-{n}")).collect();
    let changed = Instant::now();
    for id in &ids {
        pay(courier, pool, id);
        thread::sleep(PAUSE);
    }
    wait_until("all effects", || ids.iter().all(|id| effects(brokers, id) > 0));
    thread::sleep((LATE + Duration::from_secs(1)).saturating_sub(changed.elapsed()));
    assert_eq!(effects(brokers, "slow"), 1);
    for id in &ids {
        assert_eq!(effects(brokers, id), 1, "{id}");
    }
}

fn reload(courier: &Courier, folder: &TestFolder, file: &str) {
    courier.replace_config_file(folder, file);
    courier.wait_for_log("the file is read again and in effect");
}

/// Runs a reload from `before` to `after` while a payment waits for the acknowledgement of a broker that both use under
/// one client id, and asserts that the broker sees one connection.
fn assert_reload_shares_the_session(
    broker: &Broker,
    before: &[BrokerPool],
    after: &[BrokerPool],
    pool: &str,
) {
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &file(before));
    pay_and_leave_one_unresolved(&courier, broker, before[0].name);
    reload(&courier, &folder, &file(after));
    assert_later_payments_run_once(&courier, &[broker], pool);
    assert_eq!((broker.takeovers(), broker.connections()), (0, 1));
    assert_eq!(outcomes(&folder), []);
}

// Guards against two connections with one client id, which push each other off, so that a payment runs again and another
// is taken for its repeat and lost (review case 6).
#[test]
fn a_pool_that_a_reload_renumbers_keeps_its_session_and_each_payment_runs_once() {
    let broker = broker();
    let pool = |more| BrokerPool { address: broker.address, more, ..BrokerPool::default() };
    assert_reload_shares_the_session(&broker, &[pool("")], &[pool("destination = 7")], "pumps");
}

// The same of an endpoint that a reload renames under a client id of the operator's.
#[test]
fn an_endpoint_that_a_reload_renames_under_its_client_id_keeps_its_session() {
    let broker = broker();
    let pool = |endpoint| BrokerPool {
        address: broker.address,
        more: "mqtt.client = \"depot-fuel\"",
        endpoint,
        ..BrokerPool::default()
    };
    assert_reload_shares_the_session(&broker, &[pool("east")], &[pool("west")], "pumps");
}

// The same of two pools to which the operator gives one client id at one broker.
#[test]
fn two_pools_with_one_client_id_at_one_broker_share_its_session() {
    let broker = broker();
    let pool = |name| BrokerPool {
        name,
        address: broker.address,
        more: "mqtt.client = \"depot-fuel\"",
        ..BrokerPool::default()
    };
    let pools = || [pool("pumps"), pool("tolls")];
    assert_reload_shares_the_session(&broker, &pools(), &pools(), "tolls");
}

/// Stops the courier while a payment waits in the session of `second`, and starts it with `first`, whose session the
/// broker still has. Asserts that the payment is told as one that may have run, and runs at no other place.
fn assert_restart_resumes_in_no_other_session(brokers: &[&Broker], first: &BrokerPool, second: &BrokerPool) {
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &file(&[*first]));
    pay(&courier, "pumps", "first");
    wait_until("the first session", || effects(brokers, "first") == 1);
    reload(&courier, &folder, &file(&[*second]));
    let at = brokers.iter().find(|broker| broker.address == second.address).expect("the broker");
    pay_and_leave_one_unresolved(&courier, at, "pumps");
    courier.kill();
    let courier = Courier::serve(&folder, &file(&[*first]));
    assert_later_payments_run_once(&courier, brokers, "pumps");
    wait_until("the outcome", || result(&folder, "slow").as_deref() == Some("dead"));
    assert_eq!(outcomes(&folder).len(), 1, "{:?}", outcomes(&folder));
}

// Guards against a payment that runs at a second broker: it waits at the standby, and the next process finds a session
// at the first broker and takes it for the one that had the packet id (review case 7).
#[test]
fn a_payment_that_waits_at_a_standby_is_not_resumed_at_the_broker_that_a_restart_goes_back_to() {
    let (first, standby) = (broker(), broker());
    let pool = |broker: &Broker| BrokerPool { address: broker.address, ..BrokerPool::default() };
    assert_restart_resumes_in_no_other_session(&[&first, &standby], &pool(&first), &pool(&standby));
}

// The same of another session at the same broker: the client id changes.
#[test]
fn a_payment_is_not_resumed_in_the_session_of_another_client_id() {
    let broker = broker();
    let pool = |more| BrokerPool { address: broker.address, more, ..BrokerPool::default() };
    let (first, second) = (pool("mqtt.client = \"a\""), pool("mqtt.client = \"b\""));
    assert_restart_resumes_in_no_other_session(&[&broker], &first, &second);
}

// Guards against a payment that is given up, or told of as one that may have run, though its session is there: the
// endpoint has another name in another pool, and the same session.
#[test]
fn a_payment_is_resumed_in_its_session_by_whichever_endpoint_uses_it_after_a_restart() {
    let broker = Broker::new(BrokerFaults { acks: Acks::Never, ..BrokerFaults::default() });
    let folder = TestFolder::new();
    let pool =
        |endpoint, more| BrokerPool { address: broker.address, endpoint, more, ..BrokerPool::default() };
    let before = pool("east", "mqtt.client = \"depot-fuel\"");
    let courier = Courier::serve(&folder, &file(&[before]));
    pay(&courier, "pumps", "p");
    wait_until("the PUBLISH", || effects(&[&broker], "p") == 1);
    courier.kill();
    broker.change(|faults| faults.acks = Acks::AtOnce);
    let after = pool("west", "destination = 7\nmqtt.client = \"depot-fuel\"");
    let courier = Courier::serve(&folder, &file(&[after]));
    wait_until("the PUBLISH sent again", || broker.received().len() == 2);
    pay(&courier, "pumps", "next");
    wait_until("the next payment", || effects(&[&broker], "next") == 1);
    assert_eq!((effects(&[&broker], "p"), outcomes(&folder)), (1, vec![]));
}

// Guards against a packet that comes again as another one: a restart after which the topic and the QoS are others.
#[test]
fn what_is_published_again_after_a_restart_has_its_topic_and_quality() {
    let broker = Broker::new(BrokerFaults { acks: Acks::Never, ..BrokerFaults::default() });
    let folder = TestFolder::new();
    let text = |topic: &str, qos: u8| {
        let more = format!("mqtt.qos = {qos}");
        let pool = BrokerPool { address: broker.address, more: &more, ..BrokerPool::default() };
        let state = "[classes.state]\neffect = \"repeatable\"\ndeadline = \"10s\"\n\
                     [routes.state]\npath = \"/state\"\npool = \"pumps\"\nclass = \"state\"\n";
        format!("{}{state}", file(&[pool])).replace("fuel/in", topic)
    };
    let courier = Courier::serve(&folder, &text("fuel/in", 1));
    pay(&courier, "pumps", "p");
    pay(&courier, "state", "s");
    wait_until("both messages", || broker.received().len() == 2);
    courier.kill();
    broker.change(|faults| faults.acks = Acks::AtOnce);
    let _courier = Courier::serve(&folder, &text("fuel/other", 2));
    wait_until("both messages again", || broker.received().len() == 4);
    let received = broker.received();
    for id in ["p", "s"] {
        let publishes: Vec<_> = received.iter().filter(|got| got.id == id).map(|got| &got.publish).collect();
        let [first, again] = publishes[..] else { panic!("{id}: {publishes:?}") };
        assert!(again.dup && again.id == first.id, "{id}: {again:?}");
        assert_eq!((&again.topic, again.qos), (&first.topic, first.qos), "{id}");
    }
}

// Guards against a payment that runs twice: a second program connects with the courier's client id and begins the session
// anew, in which the payment is published again.
#[test]
fn a_payment_is_not_published_again_in_a_session_that_another_program_took_over() {
    let broker = broker();
    let folder = TestFolder::new();
    let pool =
        BrokerPool { address: broker.address, more: "mqtt.client = \"depot-fuel\"", ..BrokerPool::default() };
    let courier = Courier::serve(&folder, &file(&[pool]));
    pay_and_leave_one_unresolved(&courier, &broker, "pumps");
    let mut other = TcpStream::connect(broker.address).expect("a connection");
    let connect = Connect { clean: true, expiry: 3600, ..Connect::new(Version::V5, "depot-fuel") };
    let connect = encode(Version::V5, Packet::Connect(Box::new(connect)), None).expect("a packet");
    other.write_all(&connect).expect("the CONNECT");
    assert!(other.read(&mut [0; 64]).expect("the CONNACK") > 0);
    drop(other);
    assert_later_payments_run_once(&courier, &[&broker], "pumps");
    wait_until("the outcome", || result(&folder, "slow").as_deref() == Some("dead"));
    assert_eq!(outcomes(&folder).len(), 1, "{:?}", outcomes(&folder));
}

/// When each endpoint that moves gets nothing more at its old address: 1 s, and 50 ms for sockets.
const GRACE: Duration = Duration::from_millis(1050);
/// Time of an acknowledgement, longer than the pause between payments: something is always in flight.
const ACKNOWLEDGEMENT: Duration = Duration::from_millis(200);
const TRAFFIC_TIME: Duration = Duration::from_millis(3000);

/// Submits payments to pools `fuel` and `tolls` for a while. The id of each names its pool.
fn submit_for_a_while(courier: &Courier, phase: &str) -> usize {
    let (start, mut number) = (Instant::now(), 0);
    while start.elapsed() < TRAFFIC_TIME {
        for pool in ["fuel", "tolls"] {
            pay(courier, pool, &format!("{pool}-{phase}-{number}"));
        }
        number += 1;
        thread::sleep(PAUSE);
    }
    number
}

fn received_ids(broker: &Broker, since: Instant) -> Vec<String> {
    broker.received().into_iter().filter(|got| got.at > since).map(|got| got.id).collect()
}

// Guards against payments that go on to the old address of an endpoint that has moved, where another pool's broker is by
// then: its connection was kept for as long as anything was in flight (review case 9).
#[test]
fn endpoints_that_exchange_their_brokers_under_traffic_leave_them_within_the_grace_period() {
    let late = || Broker::new(BrokerFaults { acks: Acks::Late(ACKNOWLEDGEMENT), ..BrokerFaults::default() });
    let (first, second) = (late(), late());
    let folder = TestFolder::new();
    let text = |fuel: &Broker, tolls: &Broker| {
        let pool =
            |name, broker: &Broker| BrokerPool { name, address: broker.address, ..BrokerPool::default() };
        file(&[pool("fuel", fuel), pool("tolls", tolls)])
    };
    let courier = Courier::serve(&folder, &text(&first, &second));
    let before = submit_for_a_while(&courier, "a");
    reload(&courier, &folder, &text(&second, &first));
    let in_effect = Instant::now();
    let after = submit_for_a_while(&courier, "b");
    let ids = |phase, count| (0..count).map(move |n| format!("{phase}-{n}"));
    let all: Vec<String> = ids("a", before).chain(ids("b", after)).collect();
    let all: Vec<String> = all.iter().flat_map(|id| [format!("fuel-{id}"), format!("tolls-{id}")]).collect();
    let brokers = [&first, &second];
    wait_until("all effects", || all.iter().all(|id| effects(&brokers, id) > 0));
    assert!(all.iter().all(|id| effects(&brokers, id) == 1));
    for (broker, pool) in [(&second, "fuel"), (&first, "tolls")] {
        let (own, other): (Vec<_>, Vec<_>) =
            received_ids(broker, in_effect + GRACE).into_iter().partition(|id| id.starts_with(pool));
        assert_eq!(other, Vec::<String>::new(), "messages of another pool than {pool}");
        assert!(own.len() > 20, "the broker of {pool} received {} of its messages", own.len());
    }
    wait_until("the sessions that were left to be closed", || {
        brokers.iter().all(|b| b.open_connections() == 1)
    });
}

/// Publishes a message of class `state`, reloads a file in which the class has another effect while the message waits for
/// its acknowledgement, and returns how often the message was passed on until it had ended.
fn effects_after_reload(before: &str, after: &str) -> (u32, Option<String>) {
    let broker = Broker::new(BrokerFaults { acks: Acks::Never, ..BrokerFaults::default() });
    let folder = TestFolder::new();
    let text = |effect: &str| {
        let pool = BrokerPool { address: broker.address, ..BrokerPool::default() };
        let state = format!("[classes.state]\n{effect}\ndeadline = \"6s\"\n");
        let route = "[routes.state]\npath = \"/state\"\npool = \"pumps\"\nclass = \"state\"\n";
        format!("{}{state}{route}", file(&[pool]))
    };
    let courier = Courier::serve(&folder, &text(before));
    let head = "Idempotency-Key: k\r\n";
    assert_eq!(courier.post("/state", "s", head, "s").status(), 202);
    wait_until("the PUBLISH", || effects(&[&broker], "s") == 1);
    reload(&courier, &folder, &text(after));
    broker.cut();
    wait_until("the outcome", || result(&folder, "s").is_some());
    (effects(&[&broker], "s"), result(&folder, "s"))
}

// Guards against a message that runs again under a class that forbids it: it was published under a class that allowed
// repeats, and the connection breaks after the reload (review case 10).
#[test]
fn a_message_in_flight_is_not_published_again_once_a_reload_makes_its_class_stricter() {
    let dead = || Some("dead".to_owned());
    assert_eq!(effects_after_reload("effect = \"repeatable\"", "effect = \"once\""), (1, dead()));
    let keyed = "effect = \"keyed\"\nkey_window = ";
    let windows = (format!("{keyed}\"6s\""), format!("{keyed}\"1ms\""));
    assert_eq!(effects_after_reload(&windows.0, &windows.1), (1, dead()));
}

/// How long receivers remember a key.
const KEY_WINDOW: Duration = Duration::from_secs(2);

// Guards against a keyed message that runs again: the window of its key was counted from its second attempt (review,
// program `window`).
#[test]
fn a_keyed_message_is_not_published_again_after_the_window_of_its_first_attempt() {
    let broker = Broker::new(BrokerFaults { acks: Acks::Never, ..BrokerFaults::default() });
    let folder = TestFolder::new();
    let pool = BrokerPool { address: broker.address, ..BrokerPool::default() };
    let text = format!(
        "{}[classes.notice]\neffect = \"keyed\"\nkey_scope = \"pool\"\nkey_window = \"2s\"\ndeadline = \"6s\"\n\
         [routes.notice]\npath = \"/notice\"\npool = \"pumps\"\nclass = \"notice\"\n",
        file(&[pool])
    );
    let courier = Courier::serve(&folder, &text);
    assert_eq!(courier.post("/notice", "n", "Idempotency-Key: k\r\n", "n").status(), 202);
    wait_until("the first attempt", || effects(&[&broker], "n") == 1);
    let first = broker.received()[0].at;
    let wait_for = |after: Duration| thread::sleep((first + after).saturating_duration_since(Instant::now()));
    // The session is lost in the window, so there is a second attempt.
    wait_for(KEY_WINDOW / 2);
    broker.forget();
    broker.cut();
    wait_until("the second attempt", || {
        broker.received().iter().any(|got| !got.publish.dup && got.at > first)
    });
    // Its connection breaks behind the window of the first one, and within a window of its own.
    wait_for(KEY_WINDOW + Duration::from_millis(300));
    broker.cut();
    wait_for(2 * KEY_WINDOW);
    let late = broker.received().into_iter().filter(|got| got.at > first + KEY_WINDOW).count();
    assert_eq!(late, 0);
}

// Guards against an endpoint that is never used again: the drain of the session that it left held on when it came back.
#[test]
fn an_endpoint_that_goes_and_comes_back_while_a_payment_waits_is_used_in_its_session_again() {
    let (first, second) = (broker(), broker());
    let folder = TestFolder::new();
    let text = |broker: &Broker| file(&[BrokerPool { address: broker.address, ..BrokerPool::default() }]);
    let courier = Courier::serve(&folder, &text(&first));
    pay_and_leave_one_unresolved(&courier, &first, "pumps");
    reload(&courier, &folder, &text(&second));
    pay(&courier, "pumps", "elsewhere");
    wait_until("the payment elsewhere", || effects(&[&second], "elsewhere") == 1);
    // Longer than the grace period of the drain.
    thread::sleep(GRACE);
    reload(&courier, &folder, &text(&first));
    pay(&courier, "pumps", "back");
    wait_until("the payment at the first broker", || effects(&[&first], "back") == 1);
    assert_later_payments_run_once(&courier, &[&first, &second], "pumps");
    assert_eq!((first.takeovers(), outcomes(&folder)), (0, vec![]));
}
