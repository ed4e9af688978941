//! Rules hold while system calls fail as Linux documents it: couriers as processes on loopback, with the library
//! `stairshed-preload` in them.

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

const TIME_MS: u64 = 5_000;
/// A client waits so long for its answer (protocol page).
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Numbers what the clients do, for ids that are never used again.
static ROUND: AtomicUsize = AtomicUsize::new(0);
/// Messages of one client on one connection, and clients.
const MESSAGES: usize = 12;
const CLIENTS: usize = 6;

/// A courier with one endpoint that answers well, on a machine with faults.
struct Play {
    endpoint: Endpoint,
    discovery: Discovery,
    courier: Courier,
    faults: MachineFaults,
    _folder: TestFolder,
}

impl Play {
    fn start() -> Self {
        let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(5 * MS));
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let folder = TestFolder::new();
        let mut command = command(&folder, &discovery, &config(&discovery, known));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        Play { endpoint, discovery, courier, faults, _folder: folder }
    }

    /// Clients hand in messages one after the other while `rules` hold; ids whose client had no answer in its time, and
    /// those that were taken on.
    fn hand_in_under(&self, rules: &str) -> (Vec<String>, Vec<String>) {
        self.faults.set(rules);
        let address = self.courier.address;
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| thread::spawn(move || hand_in_all(address, client))).collect();
        let answers: Vec<_> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
        self.faults.set("");
        let ids_with = |status: Option<u16>| {
            let with = answers.iter().filter(|(_, answer)| *answer == status);
            with.map(|(id, _)| id.clone()).collect()
        };
        (ids_with(None), ids_with(Some(202)))
    }

    /// All that was taken on ends, and nothing that must not be repeated is called twice.
    fn assert_all_end(&self, taken: &[String]) {
        let ended = |id: &String| self.endpoint.ids().contains(id) || !self.discovery.results(id).is_empty();
        wait_until("the end of each message", || taken.iter().all(ended));
        let ids = self.endpoint.ids();
        let payments = taken.iter().filter(|id| id.starts_with("payment"));
        let twice: Vec<_> =
            payments.filter(|id| ids.iter().filter(|other| other == id).count() > 1).collect();
        assert!(twice.is_empty(), "called twice: {twice:?}");
    }

    fn assert_each_is_answered_under(&self, rules: &str) {
        let (unanswered, taken) = self.hand_in_under(rules);
        assert!(unanswered.is_empty(), "no answer under {rules:?}: {unanswered:?}");
        assert_eq!(taken.len(), CLIENTS * MESSAGES, "taken on under {rules:?}");
        self.assert_all_end(&taken);
    }
}

/// The messages of one client, on one connection for as long as that stays open; each with the answer's status.
fn hand_in_all(courier: SocketAddr, client: usize) -> Vec<(String, Option<u16>)> {
    let class = CLASSES[client % CLASSES.len()];
    let round = ROUND.fetch_add(1, Ordering::SeqCst);
    let mut open = None;
    let mut answers = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("{class}-{round}-{n}");
        let mut connection = open.take().unwrap_or_else(|| connect(courier));
        let text = message(&id, class, 7, TIME_MS);
        let sent = connection.get_mut().write_all(text.as_bytes());
        let answer = sent.ok().and_then(|()| HttpMessage::read(&mut connection));
        answers.push((id, answer.as_ref().map(HttpMessage::status)));
        open = answer.is_some().then_some(connection);
    }
    answers
}

fn connect(courier: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(courier).expect("a connection");
    stream.set_read_timeout(Some(ANSWER_TIME)).expect("set");
    stream.set_nodelay(true).expect("set");
    BufReader::new(stream)
}

// Guards against a request that is read and closed without an answer because a read or a write was interrupted.
#[test]
fn each_request_is_answered_while_reads_and_writes_are_interrupted() {
    let play = Play::start();
    play.assert_each_is_answered_under("recv EINTR 2\nsend EINTR 2");
}

// Guards against a request or an answer of which the rest is never read or written after a short read or write.
#[test]
fn each_request_is_answered_while_reads_and_writes_are_short() {
    let play = Play::start();
    play.assert_each_is_answered_under("recv short 2\nsend short 2");
}

// Guards against requests that have no answer, and messages that have no end, where new connections fail for a moment.
#[test]
fn each_request_is_answered_while_connections_fail() {
    let play = Play::start();
    for rules in [
        "accept ECONNABORTED 2\nconnect ETIMEDOUT 3",
        "accept EMFILE 2\nconnect EADDRNOTAVAIL 2",
        "accept EINTR 2\nconnect EHOSTUNREACH 3",
    ] {
        play.assert_each_is_answered_under(rules);
    }
}

// Guards against requests that have no answer, and messages that have no end, where the state folder fails for a while.
#[test]
fn each_request_is_answered_while_the_state_folder_fails() {
    let play = Play::start();
    for rules in ["write ENOSPC 2", "write EIO 1", "write short 2"] {
        let (unanswered, taken) = play.hand_in_under(rules);
        assert!(unanswered.is_empty(), "no answer under {rules:?}: {unanswered:?}");
        play.assert_all_end(&taken);
    }
}

/// An installation that takes payments over MQTT and delivers them to a broker.
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

// Guards against MQTT connections, of clients and to brokers, that an interrupted or a short read or write ends.
#[test]
fn mqtt_connections_last_while_reads_and_writes_are_interrupted_or_short() {
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
        for n in 0..MESSAGES {
            let body = format!("{{\"id\": \"m{n}\"}}");
            assert_eq!(van.submit("fuel/x", n as u16 + 1, &body, &[]), Some(0), "m{n} under {rules:?}");
        }
        wait_until("all effects", || broker.effects().len() == MESSAGES + 1);
        assert!(broker.effects().values().all(|times| *times == 1), "{:?}", broker.effects());
        assert_eq!(broker.connections(), connections, "connections to the broker under {rules:?}");
    }
}

// Guards against a courier that crashes because its read of a signal from the runtime's socket pair is interrupted.
#[test]
fn courier_stops_in_order_though_its_read_of_the_signal_is_interrupted() {
    let mut play = Play::start();
    play.faults.set("recv-local EINTR 2");
    play.courier.signal("-TERM");
    assert_eq!(play.courier.exit(), 0, "{:?}", play.courier.unread_log());
}
