//! Clients that disconnect while the record of their message waits for a sync (`durability = "machine"`). Courier
//! processes on loopback, whose syncs take 200 ms, by the library `stairshed-preload`.

use stairshed_rig::broker::{Broker, BrokerFaults};
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Makes each sync of the journal slow.
const SLOW_SYNCS: &str = "sync slow 1";
/// Within this time a request is read, and its message is recorded and waits for the sync.
const RECORD_TIME: Duration = Duration::from_millis(60);
/// A sync that was under way and the next one have ended, and what waited for them has been done.
const SYNC_TIME: Duration = Duration::from_millis(700);
/// Repeatable messages, whose answers show that this endpoint's answers differ.
const WARM_UP: [&str; 3] = ["warm-up-0", "warm-up-1", "warm-up-2"];
/// Call slots of the courier, of which one destination uses three.
const CALL_SLOTS: usize = 4;

/// Configuration of a courier with payments to one pool.
fn file(pool: &str) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [limits]\ncalls = {CALL_SLOTS}\n[journal]\ndurability = \"machine\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\nremember = \"1h\"\n\
         [classes.status]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ name = \"e\", address = \"{pool}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n\
         [routes.status]\nprefix = \"/status\"\npool = \"p\"\nclass = \"status\"\n"
    )
}

/// A courier with slow syncs. [`WARM_UP`] have been delivered, so that there is a connection to reuse.
struct TestSetup {
    courier: Courier,
    folder: TestFolder,
}

impl TestSetup {
    fn start(pool: &str) -> Self {
        let folder = TestFolder::new();
        let mut command = serve_command(&folder, &file(pool));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let setup = TestSetup { courier: Courier::spawn(&mut command), folder };
        for id in WARM_UP {
            assert_eq!(setup.courier.post("/status", id, "", "running").status(), 202);
            thread::sleep(RECORD_TIME);
        }
        faults.set(SLOW_SYNCS);
        setup
    }

    /// Submits a payment and returns the status of the answer.
    fn pay(&self, id: &str) -> u16 {
        self.courier.post("/pay", id, "", "42 EUR").status()
    }

    /// Submits a payment and disconnects once it is recorded, before it is durable.
    fn pay_and_disconnect(&self, id: &str) {
        let mut stream = TcpStream::connect(self.courier.address).expect("a connection");
        stream.write_all(request("/pay", id, "", "42 EUR").as_bytes()).expect("sent");
        thread::sleep(RECORD_TIME);
    }
}

/// The ids of the payments that this endpoint has received.
fn payments(endpoint: &Endpoint) -> Vec<String> {
    endpoint.ids().split_off(WARM_UP.len())
}

// Guards against a payment that takes effect twice (review case 4): its message was withdrawn, since its client had left
// before the answer, but its call was made after the sync, and the repeat was a new message.
#[test]
fn payment_whose_client_left_during_a_sync_is_not_sent_and_its_repeat_runs_once() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let setup = TestSetup::start(&endpoint.address.to_string());
    setup.pay_and_disconnect("left");
    thread::sleep(SYNC_TIME);
    assert!(payments(&endpoint).is_empty(), "{:?}", payments(&endpoint));
    assert_eq!(setup.pay("left"), 202);
    wait_until("the delivery", || !payments(&endpoint).is_empty());
    thread::sleep(SYNC_TIME);
    assert_eq!(payments(&endpoint), ["left"]);
    assert_eq!(outcomes(&setup.folder), []);
}

// Guards against a payment that is acknowledged and lost: its repeat was acknowledged on the strength of a record that was
// not durable yet, and that was withdrawn with the first submission, whose client had left.
#[test]
fn repeat_of_a_payment_that_is_not_durable_yet_is_delivered_when_the_first_client_left() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let setup = TestSetup::start(&endpoint.address.to_string());
    setup.pay_and_disconnect("left");
    assert_eq!(setup.pay("left"), 202);
    wait_until("the delivery", || !payments(&endpoint).is_empty());
    thread::sleep(SYNC_TIME);
    assert_eq!(payments(&endpoint), ["left"]);
}

// Only once all clients of a message have left is it withdrawn.
#[test]
fn payment_is_not_sent_when_the_client_of_its_repeat_left_as_well() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let setup = TestSetup::start(&endpoint.address.to_string());
    setup.pay_and_disconnect("left");
    setup.pay_and_disconnect("left");
    thread::sleep(SYNC_TIME);
    assert!(payments(&endpoint).is_empty(), "{:?}", payments(&endpoint));
}

// The same at a broker, where a call that is not made also leaves no packet id behind.
#[test]
fn payment_to_a_broker_whose_client_left_during_a_sync_is_not_published() {
    let broker = Broker::new(BrokerFaults::default());
    let setup = TestSetup::start(&format!("mqtt://{}/fuel/in", broker.address));
    wait_until("the first deliveries", || broker.received().len() == WARM_UP.len());
    setup.pay_and_disconnect("left");
    thread::sleep(SYNC_TIME);
    assert_eq!(broker.received().len(), WARM_UP.len());
    assert_eq!(setup.pay("left"), 202);
    wait_until("the delivery", || broker.received().len() > WARM_UP.len());
}

// Guards against a courier that calls nothing any more (review case 2): each call of a withdrawn message kept its slot.
#[test]
fn calls_of_clients_that_left_during_a_sync_keep_no_call_slot() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let setup = TestSetup::start(&endpoint.address.to_string());
    for number in 0..2 * CALL_SLOTS {
        setup.pay_and_disconnect(&format!("left-{number}"));
        thread::sleep(SYNC_TIME);
    }
    assert_eq!(setup.pay("last"), 202);
    wait_until("the delivery", || payments(&endpoint) == ["last"]);
}

// Guards against a payment that is never published: while its attempt's record waited for the sync, a reload moved its
// endpoint to another broker, and the session that it was to be published in was closed.
#[test]
fn payment_whose_endpoint_moves_to_another_broker_during_a_sync_runs_there() {
    let (first, second) = (Broker::new(BrokerFaults::default()), Broker::new(BrokerFaults::default()));
    let address = |broker: &Broker| format!("mqtt://{}/in", broker.address);
    let setup = TestSetup::start(&address(&first));
    let to = setup.courier.address;
    let client = thread::spawn(move || post(to, "/pay", "p", "", "42 EUR").map(|answer| answer.status()));
    thread::sleep(RECORD_TIME);
    setup.courier.replace_config_file(&setup.folder, &file(&address(&second)));
    assert_eq!(client.join().expect("the client"), Some(202));
    setup.courier.wait_for_log("the file is read again and in effect");
    let runs = |broker: &Broker| broker.effects().get("p").copied().unwrap_or_default();
    wait_until("the payment to run", || runs(&first) + runs(&second) > 0);
    thread::sleep(SYNC_TIME);
    assert_eq!((runs(&first), runs(&second)), (0, 1));
    assert_eq!(outcomes(&setup.folder), []);
}
