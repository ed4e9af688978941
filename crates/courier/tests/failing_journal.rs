//! A message that is refused because the journal fails is not sent later: the file of the next segment cannot be created
//! while some records of the same batch are written already. Courier processes on loopback, killed and started again.

use stairshed_mqtt::packet::{Packet, Qos, Version};
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread;
use std::time::Duration;

/// Messages that are submitted while no file can be created: more than a segment holds.
const MESSAGES: usize = 60;
const BODY_BYTES: usize = 6 * 1024;
const DEADLINE_MS: u64 = 20_000;
/// Status of an accepted message.
const ACCEPTED: u16 = 202;
/// Reason codes of MQTT from here on say that a packet was refused.
const FIRST_ERROR: u8 = 0x80;
/// Time in which a message that was resumed is sent.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
const SMALL_JOURNAL: &str = "[journal]\nroom = \"3MB\"\n";
const NO_FILE_CAN_BE_CREATED: &str = "open EMFILE 1";

fn id_of(number: usize) -> String {
    format!("batch-{number}")
}

/// Submits all messages, each on a connection of its own, and returns the statuses of the answers.
fn submit_all(to: SocketAddr, texts: &[String]) -> Vec<Option<u16>> {
    let connect = |_| {
        let stream = TcpStream::connect(to).expect("a connection");
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
    };
    let mut streams: Vec<_> = texts.iter().map(connect).collect();
    for (stream, text) in streams.iter_mut().zip(texts) {
        stream.write_all(text.as_bytes()).expect("sent");
    }
    let answers = streams.into_iter().map(|stream| HttpMessage::read(&mut BufReader::new(stream)));
    answers.map(|answer| answer.map(|answer| answer.status())).collect()
}

/// Runs a courier that can create no file, kills it once `submit` has the answers to all messages, and starts it again
/// without the fault. Asserts that no message that was refused is sent.
fn assert_refused_are_not_sent(
    command: impl Fn() -> Command,
    folder: &TestFolder,
    endpoint: &Endpoint,
    submit: impl FnOnce(&Courier) -> Vec<Option<u16>>,
) {
    let mut first = command();
    let faults = MachineFaults::load(&mut first, folder, "");
    let courier = Courier::spawn(&mut first);
    faults.set(NO_FILE_CAN_BE_CREATED);
    let answers = submit(&courier);
    courier.kill();
    faults.set("");
    let _next = Courier::spawn(&mut command());
    thread::sleep(DELIVERY_TIME);
    let sent: BTreeSet<_> = endpoint.ids().into_iter().collect();
    let refused: Vec<_> = (0..MESSAGES).filter(|n| answers[*n].is_some_and(|s| s != ACCEPTED)).collect();
    assert!(!refused.is_empty(), "none was refused, so the test shows nothing");
    let broken: Vec<_> = refused.iter().filter(|n| sent.iter().any(|id| id.ends_with(&id_of(**n)))).collect();
    assert!(broken.is_empty(), "{} of {} refused and sent: {broken:?}", broken.len(), refused.len());
    let accepted = (0..MESSAGES).filter(|n| answers[*n] == Some(ACCEPTED));
    let lost: Vec<_> = accepted.filter(|n| !sent.iter().any(|id| id.ends_with(&id_of(*n)))).collect();
    assert!(lost.is_empty(), "accepted and not sent: {lost:?}");
}

// Guards against a message that is refused on the platform and sent by the next process, since its record was written
// before the rest of its batch failed.
#[test]
fn platform_message_that_is_refused_for_a_failing_journal_is_not_sent() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
    let (discovery, folder) = (Discovery::new(known.clone()), TestFolder::new());
    let config = config(&discovery, known);
    let body = "x".repeat(BODY_BYTES);
    let texts: Vec<_> =
        (0..MESSAGES).map(|n| message_with(&id_of(n), "payment", 7, DEADLINE_MS, &body)).collect();
    let submit = |courier: &Courier| submit_all(courier.address, &texts);
    assert_refused_are_not_sent(|| command(&folder, &discovery, &config), &folder, &endpoint, submit);
}

// Guards against the same with an operator's file.
#[test]
fn message_that_is_refused_for_a_failing_journal_is_not_sent() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let folder = TestFolder::new();
    let file = payments_file(endpoint.address, SMALL_JOURNAL);
    let body = "x".repeat(BODY_BYTES);
    let texts: Vec<_> = (0..MESSAGES).map(|n| request("/pay", &id_of(n), "", &body)).collect();
    let submit = |courier: &Courier| submit_all(courier.address, &texts);
    assert_refused_are_not_sent(|| serve_command(&folder, &file), &folder, &endpoint, submit);
}

// Guards against the same over MQTT.
#[test]
fn message_that_is_refused_over_mqtt_for_a_failing_journal_is_not_sent() {
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let folder = TestFolder::new();
    let file = payments_file(endpoint.address, SMALL_JOURNAL);
    let padding = "x".repeat(BODY_BYTES);
    let submit = |courier: &Courier| {
        let connect = |n| MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, n)).0;
        let names: Vec<_> = (0..MESSAGES).map(|n| format!("client-{n}")).collect();
        let mut clients: Vec<_> = names.iter().map(|name| connect(name)).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            let body = format!("{{\"id\": \"{}\", \"padding\": \"{padding}\"}}", id_of(number));
            client.publish("pay", Qos::AtLeastOnce, Some(1), &body, &[]);
        }
        let statuses = clients.iter_mut().map(|client| match client.next_ack()? {
            Packet::Puback(ack) if ack.code < FIRST_ERROR => Some(ACCEPTED),
            Packet::Puback(ack) => Some(u16::from(ack.code)),
            _ => None,
        });
        statuses.collect()
    };
    assert_refused_are_not_sent(|| serve_command(&folder, &file), &folder, &endpoint, submit);
}
