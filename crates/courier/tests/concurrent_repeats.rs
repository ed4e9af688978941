//! One id, one answer: submissions of a message that come while the first one is not decided yet are answered as that
//! one is. Courier processes on loopback, over HTTP and MQTT.

use stairshed_mqtt::packet::{Packet, Qos, Version};
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

/// Messages that are submitted twice at once.
const MESSAGES: usize = 100;
const DEADLINE_MS: u64 = 20_000;
/// Status of an accepted message.
const ACCEPTED: u16 = 202;
/// Time in which a message that was accepted is sent.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Writes each text on a connection of its own at the same moment, and returns the answers' statuses.
fn submit_at_once(to: SocketAddr, texts: [String; 2]) -> [u16; 2] {
    let together = Arc::new(Barrier::new(texts.len()));
    let clients = texts.map(|text| {
        let together = together.clone();
        thread::spawn(move || {
            let mut stream = TcpStream::connect(to).expect("a connection");
            stream.set_nodelay(true).expect("set");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
            together.wait();
            stream.write_all(text.as_bytes()).expect("sent");
            HttpMessage::read(&mut BufReader::new(stream)).expect("an answer").status()
        })
    });
    clients.map(|client| client.join().expect("a client"))
}

/// Asserts that no message of which a submission was refused is sent.
fn assert_refused_are_not_sent(endpoint: &Endpoint, answers: &[(String, [u16; 2])]) {
    thread::sleep(DELIVERY_TIME);
    let sent: BTreeSet<_> = endpoint.ids().into_iter().collect();
    let is_refused = |statuses: &[u16; 2]| statuses.iter().any(|status| *status != ACCEPTED);
    let refused = answers.iter().filter(|(_, statuses)| is_refused(statuses));
    let broken: Vec<_> = refused.filter(|(id, _)| sent.contains(id)).collect();
    assert!(broken.is_empty(), "{} of {} refused and sent: {broken:?}", broken.len(), answers.len());
    let accepted = answers.iter().filter(|(_, statuses)| !is_refused(statuses)).count();
    assert!(accepted > 0, "none was accepted, so the test shows nothing");
}

// Guards against a message that is refused on one connection and sent for another, since both submissions came within a
// tick: on the platform.
#[test]
fn platform_message_that_is_submitted_twice_at_once_has_one_answer() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    let submit = |number: usize| {
        let id = format!("twice-{number}");
        let text = message(&id, "payment", 7, DEADLINE_MS);
        let statuses = submit_at_once(courier.address, [text.clone(), text]);
        (id, statuses)
    };
    let answers: Vec<_> = (0..MESSAGES).map(submit).collect();
    assert_refused_are_not_sent(&endpoint, &answers);
}

// Guards against the same with an operator's file.
#[test]
fn message_that_is_submitted_twice_at_once_has_one_answer() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &payments_file(endpoint.address, ""));
    let submit = |number: usize| {
        let id = format!("twice-{number}");
        let text = request("/pay", &id, "", "42 EUR");
        let statuses = submit_at_once(courier.address, [text.clone(), text]);
        (id, statuses)
    };
    let answers: Vec<_> = (0..MESSAGES).map(submit).collect();
    assert_refused_are_not_sent(&endpoint, &answers);
}

// Guards against the same over MQTT: two clients publish one id.
#[test]
fn message_that_is_published_twice_at_once_has_one_answer() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &payments_file(endpoint.address, ""));
    let connect = |name| MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, name)).0;
    let mut clients = [connect("first"), connect("second")];
    let mut publish = |number: usize| {
        let id = format!("twice-{number}");
        let body = format!("{{\"id\": \"{id}\"}}");
        let packet_id = u16::try_from(number + 1).expect("a packet id");
        for client in &mut clients {
            client.publish("pay", Qos::AtLeastOnce, Some(packet_id), &body, &[]);
        }
        let statuses = clients.each_mut().map(|client| match client.next_ack() {
            Some(Packet::Puback(ack)) if ack.code < 0x80 => ACCEPTED,
            Some(Packet::Puback(ack)) => u16::from(ack.code),
            other => panic!("{other:?}"),
        });
        (id, statuses)
    };
    let answers: Vec<_> = (0..MESSAGES).map(&mut publish).collect();
    assert_refused_are_not_sent(&endpoint, &answers);
}

// Guards against a repeat that finds no memory for its body, and is refused while the first submission waits for the sync
// of its record.
#[test]
fn message_that_is_repeated_without_memory_before_it_is_durable_has_one_answer() {
    const HELD_BODY_BYTES: usize = 60_000;
    /// Time within which a courier has read what was written to it; a sync takes 200 ms.
    const READ_TIME: Duration = Duration::from_millis(50);
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let lines = "[journal]\ndurability = \"machine\"\n[memory]\nbodies_read = \"70KB\"\nclient_share = 1.0\n";
    let file = payments_file(endpoint.address, lines);
    let mut command = serve_command(&folder, &file);
    let faults = MachineFaults::load(&mut command, &folder, "");
    let courier = Courier::spawn(&mut command);
    faults.set("sync slow 1");
    let open = || {
        let stream = TcpStream::connect(courier.address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
    };
    let (mut first, mut holder, mut repeat) = (open(), open(), open());
    let text = request("/pay", "once", "", &"x".repeat(20_000));
    first.write_all(text.as_bytes()).expect("sent");
    thread::sleep(READ_TIME);
    let held = request("/pay", "held", "", &"x".repeat(HELD_BODY_BYTES));
    holder.write_all(&held.as_bytes()[..held.len() / 2]).expect("sent");
    thread::sleep(READ_TIME);
    repeat.write_all(text.as_bytes()).expect("sent");
    let statuses = [first, repeat].map(|s| HttpMessage::read(&mut BufReader::new(s)).expect("one").status());
    assert_eq!(statuses, [ACCEPTED; 2], "the first submission and the repeat");
}
