//! Sends invalid input to the reader, the server and the client: packets with one or more corrupted bytes, in
//! pieces of any size. Guards against panics and against buffering more than one packet and one read.
//!
//! For a longer run: `MQTT_SEED=N MQTT_INPUTS=N cargo test --release -p stairshed-mqtt --test hostile`.

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_clock::StableTime;
use stairshed_mqtt::client::{Client, Message, Options};
use stairshed_mqtt::packet::{
    Ack, Connack, Connect, Disconnect, Packet, Publish, Qos, Subscribe, Version, Will,
};
use stairshed_mqtt::server::{Answer, Effect, Limits, Outcome, Server};
use stairshed_mqtt::{Reader, Time, client, encode};
use std::time::Duration;

const MAX_PACKET_BYTES: usize = 2000;

fn env_number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

fn text(rng: &mut SmallRng) -> String {
    let of = ["", "a", "fuel/7/pay", "$stairshed/outcomes/c", "+/#", "a\0b", "ü", "c"];
    of[rng.random_range(0..of.len())].to_owned()
}

fn code(rng: &mut SmallRng) -> u8 {
    let of = [0, 4, 0x10, 0x80, 0x82, 0x87, 0x91, 0x92, 0x93, 0x97, 0x99, 0x9C];
    of[rng.random_range(0..of.len())]
}

fn ack(rng: &mut SmallRng) -> Ack {
    let properties =
        if rng.random_bool(0.2) { vec![("retry-after".to_owned(), text(rng))] } else { Vec::new() };
    Ack { properties, ..Ack::new(rng.random_range(1..6), code(rng)) }
}

fn packet(rng: &mut SmallRng, version: Version) -> Packet {
    match rng.random_range(0..16) {
        0..3 => {
            let will = rng.random_bool(0.3).then(|| Will {
                qos: Qos::AtLeastOnce,
                retain: rng.random_bool(0.1),
                delay: rng.random_range(0..3),
                ..Will::new(&text(rng), Bytes::from(vec![7; rng.random_range(0..50)]))
            });
            let client = if rng.random_bool(0.8) { "c".to_owned() } else { text(rng) };
            Packet::Connect(Box::new(Connect {
                clean: rng.random_bool(0.5),
                keep_alive: rng.random_range(0..3),
                expiry: rng.random_range(0..4),
                will,
                receive_maximum: rng.random_range(1..4),
                max_packet_size: rng.random_bool(0.2).then(|| rng.random_range(1..40)),
                ..Connect::new(version, &client)
            }))
        }
        3 => Packet::Connack(Box::new(Connack {
            session_present: rng.random_bool(0.5),
            receive_maximum: rng.random_range(1..4),
            max_packet_size: rng.random_bool(0.2).then(|| rng.random_range(1..40)),
            ..Connack::new(if rng.random_bool(0.7) { 0 } else { code(rng) })
        })),
        4..7 => {
            let qos = [Qos::AtMostOnce, Qos::AtLeastOnce, Qos::ExactlyOnce][rng.random_range(0..3)];
            let id = (qos != Qos::AtMostOnce).then(|| rng.random_range(1..6));
            let payload = Bytes::from(vec![b'x'; rng.random_range(0..200)]);
            let publish = Publish::new(&text(rng), qos, id, payload);
            let alias = (version == Version::V5 && rng.random_bool(0.2)).then(|| rng.random_range(1..8));
            let dup = qos != Qos::AtMostOnce && rng.random_bool(0.3);
            Packet::Publish(Box::new(Publish { alias, dup, retain: rng.random_bool(0.1), ..publish }))
        }
        7 => Packet::Puback(ack(rng)),
        8 => Packet::Pubrec(ack(rng)),
        9 => Packet::Pubrel(ack(rng)),
        10 => Packet::Pubcomp(ack(rng)),
        11 => Packet::Subscribe(Subscribe {
            id: 3,
            has_subscription_id: false,
            filters: vec![(text(rng), Qos::AtLeastOnce)],
        }),
        12 => Packet::Unsubscribe { id: 4, filters: vec![text(rng)] },
        13 => Packet::Pingreq,
        14 => Packet::Pingresp,
        _ => Packet::Disconnect(Disconnect::new(code(rng))),
    }
}

/// Some packets, mostly valid, with some bytes changed, removed or inserted.
fn stream(rng: &mut SmallRng, version: Version, first: Option<Packet>) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    let rest: Vec<Packet> = (0..rng.random_range(0..6)).map(|_| packet(rng, version)).collect();
    for packet in first.into_iter().chain(rest) {
        // Some cannot be encoded, such as a reason code that the packet type does not have.
        bytes.extend(encode(version, packet, None).unwrap_or_default());
    }
    for _ in 0..[0, 0, 1, 1, 2, 8][rng.random_range(0..6)] {
        if bytes.is_empty() {
            break;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] ^= 1 << rng.random_range(0..8),
            1 => bytes[at] = rng.random(),
            2 => drop(bytes.remove(at)),
            _ => bytes.insert(at, rng.random()),
        }
    }
    bytes
}

fn server(rng: &mut SmallRng) {
    let version = if rng.random() { Version::V5 } else { Version::V311 };
    let mut server = Server::new(
        Limits {
            sessions: 3,
            max_packet_size: MAX_PACKET_BYTES,
            max_payload_bytes: 150,
            receive_maximum: 3,
            topic_alias_max: 4,
            max_session_expiry_seconds: 3,
            max_keep_alive_seconds: 3,
            connect_timeout: Duration::from_millis(2500),
            max_outcomes: 3,
            wills: rng.random_bool(0.9),
        },
        StableTime::from_epoch(Duration::from_secs(1_790_000_000)),
        1,
    );
    let mut now = Duration::from_secs(1);
    for connection in 1..=3 {
        server.connection_accepted(connection, now);
        let first = rng.random_bool(0.9).then(|| Packet::Connect(Box::new(Connect::new(version, "c"))));
        let bytes = stream(rng, version, first);
        let piece = rng.random_range(1..=bytes.len().max(1));
        for part in bytes.chunks(piece) {
            server.received(connection, part, now);
            apply_effects(&mut server, rng, now);
        }
        now += Duration::from_millis(rng.random_range(0..4000));
        server.handle_timeout(now);
        apply_effects(&mut server, rng, now);
        if rng.random_bool(0.5) {
            server.connection_lost(connection, now);
        }
    }
    let (sessions, connections) = server.counts();
    assert!(sessions <= 3 && connections <= 3);
    server.shutdown(now);
    apply_effects(&mut server, rng, now);
    assert_eq!(server.counts().1, 0);
}

fn apply_effects(server: &mut Server, rng: &mut SmallRng, now: Time) {
    for _ in 0..500 {
        let Some(effect) = server.poll() else { return };
        match effect {
            Effect::Write { bytes, .. } => assert!(!bytes.is_empty()),
            Effect::Authorize { connection, .. } => {
                let verdict = if rng.random_bool(0.9) { Ok(()) } else { Err((0x86, "no".to_owned())) };
                server.authorized(connection, verdict, now);
            }
            Effect::Offer(offer) => {
                if server.accepts_outcomes(&offer.owner) {
                    let line = "{}".to_owned();
                    server.queue_outcome(&offer.owner, Outcome { message: offer.token, line });
                }
                let refused = Answer::Refused { code: 0x97, reason: "full".to_owned(), wait: None };
                server.offer_answered(
                    offer.token,
                    if rng.random_bool(0.7) { Answer::Accepted } else { refused },
                    now,
                );
            }
            Effect::StoreSession { token, .. } => {
                let kept = if rng.random_bool(0.9) { Ok(()) } else { Err("full".to_owned()) };
                server.record_stored(token, kept, now);
            }
            _ => {}
        }
    }
    panic!("the server does not stop emitting effects");
}

fn broker(rng: &mut SmallRng) {
    let version = if rng.random() { Version::V5 } else { Version::V311 };
    let mut client = Client::new(Options {
        version,
        client: "courier".to_owned(),
        user: None,
        password: None,
        keep_alive: 2,
        expiry: 60,
        connect_timeout: Duration::from_secs(1),
        in_flight: 5,
    });
    let mut now = Duration::from_secs(1);
    for number in 0..rng.random_range(1..5) {
        let qos = if rng.random() { Qos::AtLeastOnce } else { Qos::ExactlyOnce };
        let publish = Publish::new("t", qos, None, Bytes::from_static(b"x"));
        let until = now + Duration::from_millis(rng.random_range(1..9000));
        let (response_timeout, retransmit_until) = (Duration::from_secs(1), Time::MAX);
        if let Some(id) = client.reserve() {
            client.publish(
                id,
                Message { number, group: 0, publish, response_timeout, until, retransmit_until },
                now,
            );
        }
    }
    for _ in 0..3 {
        client.connection_opened(now);
        client.resuming_recorded(now);
        let first = rng
            .random_bool(0.9)
            .then(|| Packet::Connack(Box::new(Connack { session_present: rng.random(), ..Connack::new(0) })));
        let bytes = stream(rng, version, first);
        let piece = rng.random_range(1..=bytes.len().max(1));
        for part in bytes.chunks(piece) {
            let waits: usize = {
                let mut slices = Vec::new();
                client.output(&mut slices);
                slices.iter().map(|s| s.len()).sum()
            };
            client.bytes_written(rng.random_range(0..=waits), now);
            client.received(part, now);
            for _ in 0..200 {
                match client.poll() {
                    Some(client::Effect::RecordPubrec { id, .. }) => client.pubrec_recorded(id, now),
                    Some(_) => {}
                    None => break,
                }
            }
        }
        if rng.random_bool(0.5) {
            client.connection_lost(now);
        }
        now = client.timeout().unwrap_or(now).max(now) + Duration::from_millis(1);
        client.handle_timeout(now);
    }
    assert!(client.in_use() <= 5);
}

fn reader(rng: &mut SmallRng) {
    let version = if rng.random() { Version::V5 } else { Version::V311 };
    let mut reader = if rng.random() {
        Reader::server(MAX_PACKET_BYTES)
    } else {
        Reader::client(version, MAX_PACKET_BYTES)
    };
    let first = rng.random_bool(0.5).then(|| Packet::Connect(Box::new(Connect::new(version, "c"))));
    let bytes = stream(rng, version, first);
    let piece = rng.random_range(1..=bytes.len().max(1));
    for part in bytes.chunks(piece) {
        reader.push(part);
        loop {
            match reader.packet() {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
        assert!(
            reader.buffered_bytes() <= MAX_PACKET_BYTES,
            "{} bytes are buffered",
            reader.buffered_bytes()
        );
    }
}

#[test]
fn no_bytes_make_it_panic_or_keep_more_than_a_packet() {
    let (seed, inputs) = (env_number("MQTT_SEED", 1), env_number("MQTT_INPUTS", 60_000));
    for n in 0..inputs {
        let seed = seed.wrapping_mul(1 << 40) + n;
        let played = std::panic::catch_unwind(|| {
            let mut rng = SmallRng::seed_from_u64(seed);
            match n % 4 {
                0 => server(&mut rng),
                1 => broker(&mut rng),
                _ => reader(&mut rng),
            }
        });
        assert!(played.is_ok(), "input {n}, seed {seed}");
    }
    println!("{inputs} inputs");
}
