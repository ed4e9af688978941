//! Runs the client against an in-memory broker with connections dropped at random bytes and restarts of the
//! client process, at QoS 1 and 2 in both versions. Guards against messages that take effect twice, and against
//! messages that took effect but are reported as not sent.
//!
//! For a longer run: `MQTT_SEED=N MQTT_DROPS=N cargo test -p stairshed-mqtt --test drops`.

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_mqtt::client::{AttemptResult, Client, Effect, Message, Options};
use stairshed_mqtt::packet::{Ack, Connack, Packet, Publish, Qos, Version};
use stairshed_mqtt::{Reader, Time, encode};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MS: Time = Duration::from_millis(1);

fn env_number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

/// A broker for one client that follows the specification: with method A of figure 4.3 a message is forwarded
/// when its PUBLISH is received.
#[derive(Default)]
struct Broker {
    session: bool,
    received: BTreeSet<u16>,
    /// How often each message took effect, by the number in its payload.
    effects: BTreeMap<u64, u32>,
}

impl Broker {
    /// Handles a packet and returns the answer.
    fn handle(&mut self, packet: Packet) -> Option<Packet> {
        match packet {
            Packet::Connect(connect) => {
                if connect.clean {
                    (self.session, self.received) = (false, BTreeSet::new());
                }
                let session_present = std::mem::replace(&mut self.session, true);
                if connect.clean && connect.version == Version::V311 {
                    self.session = false;
                }
                Some(Packet::Connack(Box::new(Connack { session_present, ..Connack::new(0) })))
            }
            Packet::Publish(publish) => {
                let id = publish.id.expect("a packet id");
                let first_delivery = publish.qos != Qos::ExactlyOnce || self.received.insert(id);
                if first_delivery {
                    let message = u64::from_be_bytes(publish.payload[..8].try_into().expect("a number"));
                    *self.effects.entry(message).or_default() += 1;
                }
                match publish.qos {
                    Qos::ExactlyOnce => Some(Packet::Pubrec(Ack::new(id, 0))),
                    _ => Some(Packet::Puback(Ack::new(id, 0))),
                }
            }
            Packet::Pubrel(ack) => {
                let known = self.received.remove(&ack.id);
                Some(Packet::Pubcomp(Ack::new(ack.id, if known { 0 } else { 0x92 })))
            }
            Packet::Pingreq => Some(Packet::Pingresp),
            _ => None,
        }
    }

    fn lose_session(&mut self) {
        (self.session, self.received) = (false, BTreeSet::new());
    }
}

/// State stored across restarts of the client: packet ids in use, each with its message and whether PUBREC
/// has been received.
type Record = BTreeMap<u16, (u64, bool)>;

struct Simulation {
    rng: SmallRng,
    version: Version,
    qos: Qos,
    now: Time,
    client: Client,
    broker: Broker,
    record: Record,
    /// Whether the stored state says that a session is being resumed.
    resuming: bool,
    ends: BTreeMap<u64, Vec<AttemptResult>>,
    next: u64,
    drops: u64,
    /// Whether the broker loses sessions.
    loses_sessions: bool,
}

fn client(version: Version) -> Client {
    Client::new(Options {
        version,
        client: "courier".to_owned(),
        user: None,
        password: None,
        keep_alive: 0,
        expiry: 3600,
        connect_timeout: 60_000 * MS,
        in_flight: 100,
    })
}

impl Simulation {
    fn new(seed: u64, version: Version, qos: Qos, loses_sessions: bool) -> Self {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            version,
            qos,
            now: Duration::from_secs(1),
            client: client(version),
            broker: Broker::default(),
            record: Record::new(),
            resuming: false,
            ends: BTreeMap::new(),
            next: 0,
            drops: 0,
            loses_sessions,
        }
    }

    fn message(&self, number: u64) -> Message {
        let payload = Bytes::copy_from_slice(&number.to_be_bytes());
        Message {
            number,
            group: 0,
            publish: Publish::new("t", self.qos, None, payload),
            response_timeout: 600_000 * MS,
            until: Duration::from_secs(1 << 30),
            retransmit_until: Time::MAX,
        }
    }

    fn publish_next(&mut self) {
        if let Some(id) = self.client.reserve() {
            let number = self.next;
            self.next += 1;
            self.record.insert(id, (number, false));
            let message = self.message(number);
            self.client.publish(id, message, self.now);
        }
    }

    /// Carries out the effects of the client; returns whether it asked to open and to close a connection.
    fn apply_effects(&mut self) -> (bool, bool) {
        let (mut open, mut close) = (false, false);
        while let Some(effect) = self.client.poll() {
            match effect {
                Effect::Open => (open, close) = (true, false),
                Effect::Close { .. } => close = true,
                Effect::RecordResuming => {
                    self.resuming = true;
                    self.client.resuming_recorded(self.now);
                }
                Effect::ClearResuming => self.resuming = false,
                Effect::RecordPubrec { id, message } => {
                    self.record.insert(id, (message, true));
                    self.client.pubrec_recorded(id, self.now);
                }
                Effect::FreePacketId { id, .. } => drop(self.record.remove(&id)),
                Effect::Ended { message, end, .. } => self.ends.entry(message).or_default().push(end),
                Effect::Log(_) => {}
            }
        }
        (open, close)
    }

    /// Kills the client process and starts another one.
    fn restart(&mut self) {
        self.client = client(self.version);
        if std::mem::take(&mut self.resuming) {
            for (number, _) in std::mem::take(&mut self.record).into_values() {
                // Messages that had ended only blocked their packet id.
                self.ends.entry(number).or_insert_with(|| vec![AttemptResult::Lost]);
            }
        }
        for (id, (number, released)) in self.record.clone() {
            let message = self.message(number);
            self.client.resume(id, message, released, self.now);
        }
    }

    /// Runs one connection until it is dropped at a random byte in either direction.
    fn connection(&mut self) {
        self.client.connection_opened(self.now);
        self.apply_effects();
        let (mut reader, mut left) = (Reader::server(1 << 20), self.rng.random_range(0..400usize));
        let mut answers: Vec<u8> = Vec::new();
        let closed_by_client = loop {
            if self.rng.random_ratio(1, 3) {
                self.publish_next();
            }
            let bytes: Vec<u8> = {
                let mut slices = Vec::new();
                self.client.output(&mut slices);
                slices.iter().flat_map(|s| s.to_vec()).collect()
            };
            // Part of the output is written, and less of it may arrive: the rest was lost in the kernel
            // buffer.
            let written = bytes.len().min(left);
            self.client.bytes_written(written, self.now);
            left -= written;
            let lost = left == 0 && self.rng.random_bool(0.5);
            let arrived = if lost { self.rng.random_range(0..=written) } else { written };
            reader.push(&bytes[..arrived]);
            while let Some(packet) = reader.packet().expect("a valid packet") {
                let answer =
                    self.broker.handle(packet).map(|p| encode(self.version, p, None).expect("encodable"));
                answers.extend(answer.unwrap_or_default());
            }
            if left == 0 {
                break false;
            }
            let delivered_bytes = answers.len().min(left);
            left -= delivered_bytes;
            let rest = answers.split_off(delivered_bytes);
            let received = std::mem::replace(&mut answers, rest);
            self.client.received(&received, self.now);
            let (_, close) = self.apply_effects();
            if close {
                break true;
            }
            if left == 0 || (bytes.is_empty() && received.is_empty() && self.rng.random_ratio(1, 4)) {
                break false;
            }
        };
        self.drops += 1;
        if self.rng.random_ratio(1, 10) {
            return self.restart();
        }
        if !closed_by_client {
            self.client.connection_lost(self.now);
        }
    }

    fn play(&mut self, drops: u64) {
        while self.drops < drops {
            if self.client.in_use() == 0 {
                self.publish_next();
            }
            self.step();
            if self.loses_sessions && self.rng.random_ratio(1, 8) {
                self.broker.lose_session();
            }
        }
        // Finally no more faults occur, and every open message must end.
        for _ in 0..200 {
            if self.record.is_empty() {
                return;
            }
            self.step_without_faults();
        }
        panic!("messages that never ended: {:?}", self.record);
    }

    fn wait_for_open(&mut self) -> bool {
        let (mut open, _) = self.apply_effects();
        for _ in 0..100 {
            if open {
                return true;
            }
            self.now = self.client.timeout().unwrap_or(self.now).max(self.now) + MS;
            self.client.handle_timeout(self.now);
            open = self.apply_effects().0;
        }
        false
    }

    fn step(&mut self) {
        if self.wait_for_open() {
            self.connection();
        }
    }

    fn step_without_faults(&mut self) {
        if !self.wait_for_open() {
            return;
        }
        self.client.connection_opened(self.now);
        self.apply_effects();
        let mut reader = Reader::server(1 << 20);
        loop {
            let bytes: Vec<u8> = {
                let mut slices = Vec::new();
                self.client.output(&mut slices);
                slices.iter().flat_map(|s| s.to_vec()).collect()
            };
            self.client.bytes_written(bytes.len(), self.now);
            reader.push(&bytes);
            while let Some(packet) = reader.packet().expect("a valid packet") {
                if let Some(answer) = self.broker.handle(packet) {
                    let bytes = encode(self.version, answer, None).expect("encodable");
                    self.client.received(&bytes, self.now);
                }
            }
            let (_, close) = self.apply_effects();
            if close {
                return;
            }
            if bytes.is_empty() {
                self.client.connection_lost(self.now);
                return;
            }
        }
    }

    /// Counts messages by result and by how often they took effect (0, 1, more).
    fn count(&self) -> BTreeMap<String, [u32; 3]> {
        let mut count = BTreeMap::<String, [u32; 3]>::new();
        for number in 0..self.next {
            let ends = self.ends.get(&number).cloned().unwrap_or_default();
            assert_eq!(ends.len(), 1, "message {number} ended as {ends:?}");
            let effects = self.broker.effects.get(&number).copied().unwrap_or_default();
            count.entry(format!("{:?}", ends[0])).or_default()[(effects as usize).min(2)] += 1;
        }
        count
    }
}

fn run(qos: Qos, loses_sessions: bool, check: impl Fn(&str, &[u32; 3])) {
    let (first, drops) = (env_number("MQTT_SEED", 1), env_number("MQTT_DROPS", 2500));
    for version in [Version::V311, Version::V5] {
        let mut all = BTreeMap::<String, [u32; 3]>::new();
        let mut dropped = 0;
        for seed in first..first + 25 {
            let played = std::panic::catch_unwind(|| {
                let mut simulation = Simulation::new(seed, version, qos, loses_sessions);
                simulation.play(drops.div_ceil(25));
                (simulation.drops, simulation.count())
            });
            let (n, count) = played.unwrap_or_else(|_| panic!("MQTT_SEED={seed} {version:?} {qos:?}"));
            dropped += n;
            for (end, of) in count {
                let sum = all.entry(end).or_default();
                sum.iter_mut().zip(of).for_each(|(a, b)| *a += b);
            }
        }
        println!(
            "{version:?} {qos:?} forgets {loses_sessions}: {dropped} drops; end: effects 0, 1, more: {all:?}"
        );
        assert!(all.get("Delivered").is_some_and(|of| of[1] > 100), "{all:?}");
        for (end, of) in &all {
            check(end, of);
        }
    }
}

#[test]
fn at_qos_2_every_charge_lands_once_where_the_session_lasts() {
    run(Qos::ExactlyOnce, false, |end, [none, once, more]| match end {
        "Delivered" => assert_eq!((*none, *more), (0, 0), "of {once}"),
        "Unsent" => assert_eq!((*once, *more), (0, 0), "of {none}"),
        // No session was lost; but a CONNACK was, or the process ended before recording whether a PUBLISH had
        // been sent.
        "Lost" => assert_eq!(*more, 0, "of {none} and {once}"),
        other => panic!("ended as {other}"),
    });
}

#[test]
fn at_qos_2_a_lost_session_ends_as_may_have_run_and_nothing_takes_effect_twice() {
    run(Qos::ExactlyOnce, true, |end, [none, once, more]| match end {
        "Delivered" => assert_eq!((*none, *more), (0, 0), "of {once}"),
        "Unsent" => assert_eq!((*once, *more), (0, 0), "of {none}"),
        "Lost" => assert_eq!(*more, 0, "of {none} and {once}"),
        other => panic!("ended as {other}"),
    });
}

#[test]
fn at_qos_1_nothing_is_lost_and_what_never_left_never_ran() {
    run(Qos::AtLeastOnce, true, |end, [none, once, more]| match end {
        "Delivered" => assert_eq!(*none, 0, "of {once} and {more}"),
        "Unsent" => assert_eq!((*once, *more), (0, 0), "of {none}"),
        "Lost" => {}
        other => panic!("ended as {other}"),
    });
}
