//! The delivery rules hold while system calls fail in the ways that Linux documents. Courier processes on loopback, with
//! the library `stairshed-preload` loaded to inject the failures.

use serde_json::Value;
use stairshed_mqtt::packet::{Connect, Version};
use stairshed_rig::broker::{Broker, BrokerFaults};
use stairshed_rig::delivery_rules::CLASSES;
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::mqtt_client::MqttClient;
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const DEADLINE_MS: u64 = 5_000;
/// Time that a client waits for its answer (protocol page).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Counts the connections' rounds, so that no message id is used twice.
static ROUND: AtomicUsize = AtomicUsize::new(0);
/// Number of messages that each client submits.
const MESSAGES_PER_CLIENT: usize = 12;
/// Number of clients.
const CLIENT_COUNT: usize = 6;

/// A courier with one endpoint that answers every call successfully, and the faults of its system calls.
struct TestSetup {
    endpoint: Endpoint,
    discovery: Discovery,
    courier: Courier,
    faults: MachineFaults,
    folder: TestFolder,
}

impl TestSetup {
    fn start() -> Self {
        let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(5 * MS));
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let folder = TestFolder::new();
        let mut command = command(&folder, &discovery, &config(&discovery, known));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        TestSetup { endpoint, discovery, courier, faults, folder }
    }

    /// Runs clients that submit messages one after the other under the fault `rules`. Returns the ids without an answer
    /// within `ANSWER_TIMEOUT`, and the ids that were accepted.
    fn submit_under(&self, rules: &str) -> (Vec<String>, Vec<String>) {
        self.faults.set(rules);
        let address = self.courier.address;
        let clients: Vec<_> =
            (0..CLIENT_COUNT).map(|client| thread::spawn(move || submit_all(address, client))).collect();
        let answers: Vec<_> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
        self.faults.set("");
        let ids_with = |status: Option<u16>| {
            let with = answers.iter().filter(|(_, answer)| *answer == status);
            with.map(|(id, _)| id.clone()).collect()
        };
        (ids_with(None), ids_with(Some(202)))
    }

    /// Waits until all accepted messages have ended, and asserts that no payment was sent twice.
    fn assert_all_end(&self, accepted: &[String]) {
        let ended = |id: &String| self.endpoint.ids().contains(id) || !self.discovery.results(id).is_empty();
        wait_until("the end of each message", || accepted.iter().all(ended));
        let ids = self.endpoint.ids();
        let payments = accepted.iter().filter(|id| id.starts_with("payment"));
        let twice: Vec<_> =
            payments.filter(|id| ids.iter().filter(|other| other == id).count() > 1).collect();
        assert!(twice.is_empty(), "called twice: {twice:?}");
    }

    fn assert_each_is_answered_under(&self, rules: &str) {
        let (unanswered, accepted) = self.submit_under(rules);
        assert!(unanswered.is_empty(), "no answer under {rules:?}: {unanswered:?}");
        assert_eq!(accepted.len(), CLIENT_COUNT * MESSAGES_PER_CLIENT, "accepted under {rules:?}");
        self.assert_all_end(&accepted);
    }
}

/// Submits the messages of one client, on one connection for as long as it stays open. Returns each id with the status
/// of its answer.
fn submit_all(courier: SocketAddr, client: usize) -> Vec<(String, Option<u16>)> {
    let class = CLASSES[client % CLASSES.len()];
    let round = ROUND.fetch_add(1, Ordering::SeqCst);
    let mut open = None;
    let mut answers = Vec::new();
    for n in 0..MESSAGES_PER_CLIENT {
        let id = format!("{class}-{round}-{n}");
        let mut connection = open.take().unwrap_or_else(|| connect(courier));
        let text = message(&id, class, 7, DEADLINE_MS);
        let sent = connection.get_mut().write_all(text.as_bytes());
        let answer = sent.ok().and_then(|()| HttpMessage::read(&mut connection));
        answers.push((id, answer.as_ref().map(HttpMessage::status)));
        open = answer.is_some().then_some(connection);
    }
    answers
}

fn connect(courier: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(courier).expect("a connection");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    stream.set_nodelay(true).expect("set");
    BufReader::new(stream)
}

// Guards against closing a connection without answering its request because a read or write was interrupted.
#[test]
fn each_request_is_answered_while_reads_and_writes_are_interrupted() {
    let setup = TestSetup::start();
    setup.assert_each_is_answered_under("recv EINTR 2\nsend EINTR 2");
}

// Guards against never reading or writing the rest of a request or answer after a short read or write.
#[test]
fn each_request_is_answered_while_reads_and_writes_are_short() {
    let setup = TestSetup::start();
    setup.assert_each_is_answered_under("recv short 2\nsend short 2");
}

// Guards against unanswered requests and messages that never end when new connections fail temporarily.
#[test]
fn each_request_is_answered_while_connections_fail() {
    let setup = TestSetup::start();
    for rules in [
        "accept ECONNABORTED 2\nconnect ETIMEDOUT 3",
        "accept EMFILE 2\nconnect EADDRNOTAVAIL 2",
        "accept EINTR 2\nconnect EHOSTUNREACH 3",
    ] {
        setup.assert_each_is_answered_under(rules);
    }
}

// Guards against unanswered requests and messages that never end when the state folder fails temporarily.
#[test]
fn each_request_is_answered_while_the_state_folder_fails() {
    let setup = TestSetup::start();
    for rules in ["write ENOSPC 2", "write EIO 1", "write short 2"] {
        let (unanswered, accepted) = setup.submit_under(rules);
        assert!(unanswered.is_empty(), "no answer under {rules:?}: {unanswered:?}");
        setup.assert_all_end(&accepted);
    }
}

/// Configuration of a courier that accepts payments over MQTT and delivers them to a broker.
fn mqtt_file(broker: &Broker) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ name = \"b\", address = \"mqtt://{}/fuel/in\" }}]\n\
         [topics.pay]\nfilter = \"fuel/#\"\npool = \"p\"\nclass = \"payment\"\nidentity = {{ pointer = \"/id\" }}\n\
         identity_scope = \"all\"\n",
        broker.address
    )
}

// Guards against closing an MQTT connection, of a client or to a broker, after an interrupted or short read or write.
#[test]
fn mqtt_connections_stay_open_while_reads_and_writes_are_interrupted_or_short() {
    for rules in ["recv EINTR 2\nsend EINTR 2", "recv short 2\nsend short 2"] {
        let broker = Broker::new(BrokerFaults::default());
        let folder = TestFolder::new();
        let mut command = serve_command(&folder, &mqtt_file(&broker));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        let (mut van, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "van"));
        assert_eq!(van.submit("fuel/x", 100, "{\"id\": \"first\"}", &[]), Some(0));
        wait_until("its effect", || broker.effects().contains_key("first"));
        let connections = broker.connections();
        faults.set(rules);
        for n in 0..MESSAGES_PER_CLIENT {
            let body = format!("{{\"id\": \"m{n}\"}}");
            assert_eq!(van.submit("fuel/x", n as u16 + 1, &body, &[]), Some(0), "m{n} under {rules:?}");
        }
        wait_until("all effects", || broker.effects().len() == MESSAGES_PER_CLIENT + 1);
        assert!(broker.effects().values().all(|times| *times == 1), "{:?}", broker.effects());
        assert_eq!(broker.connections(), connections, "connections to the broker under {rules:?}");
    }
}

// Guards against a courier that crashes because its read of a signal from the runtime's socket pair is interrupted.
#[test]
fn courier_stops_in_order_though_its_read_of_the_signal_is_interrupted() {
    let mut setup = TestSetup::start();
    setup.faults.set("recv-local EINTR 2");
    setup.courier.signal("-TERM");
    assert_eq!(setup.courier.exit(), 0, "{:?}", setup.courier.unread_log());
}

/// Temporary failures of the reads by which a signal can reach a courier.
const SIGNAL_READ_FAULTS: [&str; 3] = ["recv-local EINTR 2", "read-signal EINTR 2", "read-signal EIO 2"];

// Guards against a reload or stop that is lost, or a courier that crashes, when the read of a signal fails.
#[test]
fn courier_reloads_and_stops_though_reads_of_signals_fail_temporarily() {
    for rules in SIGNAL_READ_FAULTS {
        let mut setup = TestSetup::start();
        setup.faults.set(rules);
        for _ in 0..2 {
            let discovery = Discovery::new(list(1, true, vec![]));
            setup.courier.reload(&setup.folder, &config(&discovery, Value::Null).to_string());
            wait_until("a watch at the new address", || discovery.watches.load(Ordering::SeqCst) > 0);
        }
        setup.courier.signal("-TERM");
        assert_eq!(setup.courier.exit(), 0, "under {rules:?}: {:?}", setup.courier.unread_log());
    }
}

// Guards against the same with an operator's file, whose reloads take another path.
#[test]
fn an_operators_courier_reloads_and_stops_though_reads_of_signals_fail_temporarily() {
    for rules in SIGNAL_READ_FAULTS {
        let (broker, folder) = (Broker::new(BrokerFaults::default()), TestFolder::new());
        let file = mqtt_file(&broker);
        let mut command = serve_command(&folder, &file);
        let _faults = MachineFaults::load(&mut command, &folder, rules);
        let mut courier = Courier::spawn(&mut command);
        courier.replace_config_file(&folder, &file.replace("20s", "21s"));
        courier.wait_for_log("in effect");
        courier.signal("-INT");
        assert_eq!(courier.exit(), 0, "under {rules:?}: {:?}", courier.unread_log());
    }
}
