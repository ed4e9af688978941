use super::*;
use crate::packet::{Ack, Disconnect, Subscribe};

const MS: Time = Duration::from_millis(1);
const BOTH: [Version; 2] = [Version::V311, Version::V5];

fn limits() -> Limits {
    Limits {
        sessions: 100,
        max_packet_size: 80 * 1024,
        max_payload_bytes: 64 * 1024,
        receive_maximum: 8,
        topic_alias_max: 4,
        max_session_expiry_seconds: 3600,
        max_keep_alive_seconds: 300,
        connect_timeout: 2500 * MS,
        max_outcomes: 10,
        wills: true,
    }
}

/// The server; the test plays the clients. Every effect is granted unless a test says otherwise.
struct Harness {
    server: Server,
    now: Time,
    readers: HashMap<u64, Reader>,
    received_packets: HashMap<u64, Vec<Packet>>,
    closed: Vec<u64>,
    offers: Vec<Offer>,
    abandoned: Vec<u64>,
    records: BTreeMap<Owner, String>,
    /// Whether records are stored immediately.
    store_immediately: bool,
    pending_stores: Vec<u64>,
    delivered: Vec<u64>,
    dropped: Vec<u64>,
    next: u64,
}

impl Harness {
    fn new() -> Self {
        Self::with(limits())
    }

    fn with(limits: Limits) -> Self {
        Harness {
            server: Server::new(limits, StableTime::from_epoch(Duration::from_secs(1_790_000_000)), 7),
            now: Duration::from_secs(100),
            readers: HashMap::new(),
            received_packets: HashMap::new(),
            closed: Vec::new(),
            offers: Vec::new(),
            abandoned: Vec::new(),
            records: BTreeMap::new(),
            store_immediately: true,
            pending_stores: Vec::new(),
            delivered: Vec::new(),
            dropped: Vec::new(),
            next: 1,
        }
    }

    fn apply_effects(&mut self) {
        while let Some(effect) = self.server.poll() {
            match effect {
                Effect::Write { connection, bytes } => {
                    let reader = self.readers.get_mut(&connection).expect("an open connection");
                    reader.push(&bytes);
                    while let Some(packet) = reader.packet().expect("a valid packet") {
                        self.received_packets.entry(connection).or_default().push(packet);
                    }
                }
                Effect::Close { connection } => self.closed.push(connection),
                Effect::Authorize { connection, .. } => self.server.authorized(connection, Ok(()), self.now),
                Effect::Offer(offer) => self.offers.push(*offer),
                Effect::AbandonOffer { token } => self.abandoned.push(token),
                Effect::StoreSession { token, owner, record } => {
                    match record {
                        Some(record) => drop(self.records.insert(owner, record)),
                        None => drop(self.records.remove(&owner)),
                    }
                    match self.store_immediately {
                        true => self.server.record_stored(token, Ok(()), self.now),
                        false => self.pending_stores.push(token),
                    }
                }
                Effect::OutcomeDelivered { message } => self.delivered.push(message),
                Effect::OutcomeDropped { message } => self.dropped.push(message),
                Effect::ResumeReading { .. } | Effect::Log(_) => {}
            }
        }
    }

    /// Opens a connection without sending a CONNECT.
    fn open(&mut self, version: Version) -> u64 {
        let connection = self.next;
        self.next += 1;
        self.readers.insert(connection, Reader::client(version, 1 << 20));
        self.server.connection_accepted(connection, self.now);
        connection
    }

    fn send_bytes(&mut self, connection: u64, bytes: &[u8]) {
        self.server.received(connection, bytes, self.now);
        self.apply_effects();
    }

    fn send(&mut self, connection: u64, version: Version, packet: Packet) {
        let bytes = encode(version, packet, None).expect("encodable");
        self.send_bytes(connection, &bytes);
    }

    fn connect(&mut self, connect: Connect) -> (u64, Connack) {
        let version = connect.version;
        let connection = self.open(version);
        self.send(connection, version, Packet::Connect(Box::new(connect)));
        match self.take_received(connection).into_iter().next() {
            Some(Packet::Connack(connack)) => (connection, *connack),
            other => panic!("no CONNACK: {other:?}"),
        }
    }

    fn take_received(&mut self, connection: u64) -> Vec<Packet> {
        self.received_packets.remove(&connection).unwrap_or_default()
    }

    fn publish(&mut self, connection: u64, version: Version, qos: Qos, id: Option<u16>) {
        let publish = Publish::new("fuel/pay", qos, id, Bytes::from_static(b"42"));
        self.send(connection, version, Packet::Publish(Box::new(publish)));
    }

    fn take_offer(&mut self) -> Offer {
        assert_eq!(self.offers.len(), 1);
        self.offers.remove(0)
    }

    fn answer_offer(&mut self, token: u64, answer: Answer) {
        self.server.offer_answered(token, answer, self.now);
        self.apply_effects();
    }

    fn lose_connection(&mut self, connection: u64) {
        self.server.connection_lost(connection, self.now);
        self.apply_effects();
    }

    fn advance_time(&mut self, time: Time) {
        self.now += time;
        self.server.handle_timeout(self.now);
        self.apply_effects();
    }

    fn subscribe(&mut self, connection: u64, version: Version, filter: &str) -> u8 {
        let filters = vec![(filter.to_owned(), Qos::ExactlyOnce)];
        self.send(
            connection,
            version,
            Packet::Subscribe(Subscribe { id: 9, has_subscription_id: false, filters }),
        );
        match self.take_received(connection).into_iter().next() {
            Some(Packet::Suback { id: 9, codes, .. }) => codes[0],
            other => panic!("no SUBACK: {other:?}"),
        }
    }
}

fn lasting(version: Version, client: &str) -> Connect {
    Connect { clean: false, expiry: 600, ..Connect::new(version, client) }
}

fn refused() -> Answer {
    Answer::Refused { code: code::QUOTA_EXCEEDED, reason: "full".to_owned(), wait: Some(1500 * MS) }
}

// Of 5.0: MQTT-2.2.1-5, MQTT-3.1.4-5, MQTT-3.2.0-2, MQTT-3.3.4-1, MQTT-3.7.2-1, MQTT-4.3.2-4, MQTT-4.3.2-5,
// MQTT-4.3.3-8, MQTT-4.3.3-10, MQTT-4.3.3-11, MQTT-4.3.3-12
// Of 3.1.1: MQTT-2.3.1-3, MQTT-2.3.1-6, MQTT-3.1.4-4, MQTT-3.3.4-1, MQTT-4.3.2-2, MQTT-4.3.3-2
#[test]
fn a_message_is_acknowledged_once_it_is_taken_on_and_not_before() {
    for version in BOTH {
        let mut harness = Harness::new();
        let (c, connack) = harness.connect(Connect::new(version, "van"));
        assert_eq!((connack.code, connack.session_present), (0, false));
        harness.publish(c, version, Qos::AtLeastOnce, Some(5));
        let offer = harness.take_offer();
        assert_eq!(offer.publish.topic, "fuel/pay");
        assert!(offer.expects_ack && harness.take_received(c).is_empty(), "[MQTT-4.3.2-4]");
        harness.answer_offer(offer.token, Answer::Accepted);
        assert_eq!(harness.take_received(c), [Packet::Puback(Ack::new(5, 0))]);
        // QoS 2: PUBREC, then PUBREL and PUBCOMP; a PUBLISH under a packet id that waits for its PUBREL is a
        // retransmission.
        harness.publish(c, version, Qos::ExactlyOnce, Some(6));
        let offer = harness.take_offer();
        harness.answer_offer(offer.token, Answer::Accepted);
        assert_eq!(harness.take_received(c), [Packet::Pubrec(Ack::new(6, 0))]);
        harness.publish(c, version, Qos::ExactlyOnce, Some(6));
        assert!(harness.offers.is_empty(), "[MQTT-4.3.3-10]");
        assert_eq!(harness.take_received(c), [Packet::Pubrec(Ack::new(6, 0))]);
        harness.send(c, version, Packet::Pubrel(Ack::new(6, 0)));
        assert_eq!(harness.take_received(c), [Packet::Pubcomp(Ack::new(6, 0))]);
        // The packet id is free now.
        harness.publish(c, version, Qos::ExactlyOnce, Some(6));
        assert_eq!(harness.offers.len(), 1);
        // QoS 0 has no acknowledgement, and the client may disconnect.
        harness.offers.clear();
        harness.publish(c, version, Qos::AtMostOnce, None);
        assert!(!harness.take_offer().expects_ack);
    }
}

// Of 5.0: MQTT-3.4.2-1, MQTT-3.5.2-1, MQTT-4.3.3-9
// Of 3.1.1: MQTT-3.3.5-2, MQTT-4.8.0-2
#[test]
fn a_refusal_is_a_reason_code_with_a_time_or_a_close_where_there_is_none() {
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
    for (qos, id) in [(Qos::AtLeastOnce, 5), (Qos::ExactlyOnce, 6)] {
        harness.publish(c, Version::V5, qos, Some(id));
        let offer = harness.take_offer();
        harness.answer_offer(offer.token, refused());
        let (Packet::Puback(ack) | Packet::Pubrec(ack)) = harness.take_received(c).remove(0) else {
            panic!("no acknowledgement")
        };
        assert_eq!((ack.id, ack.code, ack.reason.as_deref()), (id, 0x97, Some("full")));
        assert_eq!(ack.properties, [("retry-after".to_owned(), "1.500".to_owned())]);
    }
    // After a refusal the packet id is free and may be used again [MQTT-4.3.3-9].
    harness.publish(c, Version::V5, Qos::ExactlyOnce, Some(6));
    assert_eq!(harness.offers.len(), 1);
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V311, "van"));
    harness.publish(c, Version::V311, Qos::AtLeastOnce, Some(5));
    let offer = harness.take_offer();
    assert!(!offer.bounce);
    harness.answer_offer(offer.token, refused());
    assert_eq!((harness.take_received(c), harness.closed.clone()), (vec![], vec![c]), "[MQTT-3.3.5-2]");
    // For a client that subscribes to its outcomes the message is accepted and bounced.
    let (c, _) = harness.connect(Connect::new(Version::V311, "van"));
    assert_eq!(harness.subscribe(c, Version::V311, "$stairshed/outcomes/van"), 1);
    harness.publish(c, Version::V311, Qos::AtLeastOnce, Some(5));
    assert!(harness.take_offer().bounce);
}

// Of 5.0: MQTT-3.2.0-1
// Of 3.1.1: MQTT-3.2.0-1
#[test]
fn a_lasting_session_is_on_record_before_its_client_hears_so() {
    let mut harness = Harness::new();
    harness.store_immediately = false;
    let c = harness.open(Version::V5);
    harness.send(c, Version::V5, Packet::Connect(Box::new(lasting(Version::V5, "van"))));
    assert!(harness.take_received(c).is_empty(), "no CONNACK yet");
    let token = harness.pending_stores.remove(0);
    harness.server.record_stored(token, Ok(()), harness.now);
    harness.apply_effects();
    assert!(matches!(harness.take_received(c)[..], [Packet::Connack(_)]));
    // QoS 2 packet ids are stored too, when accepted and when released: PUBREC and PUBCOMP wait for that.
    harness.publish(c, Version::V5, Qos::ExactlyOnce, Some(6));
    let offer = harness.take_offer();
    harness.answer_offer(offer.token, Answer::Accepted);
    assert!(harness.take_received(c).is_empty());
    let token = harness.pending_stores.remove(0);
    harness.server.record_stored(token, Ok(()), harness.now);
    harness.apply_effects();
    assert_eq!(harness.take_received(c), [Packet::Pubrec(Ack::new(6, 0))]);
    harness.send(c, Version::V5, Packet::Pubrel(Ack::new(6, 0)));
    assert!(
        harness.take_received(c).is_empty(),
        "PUBCOMP sent before the record was stored: after a crash the id would still count as in use"
    );
    let token = harness.pending_stores.remove(0);
    harness.server.record_stored(token, Err("full".to_owned()), harness.now);
    harness.apply_effects();
    assert!(matches!(harness.take_received(c)[..], [Packet::Disconnect(Disconnect { code: 0x89, .. })]));
    // The packet id is still known when the client reconnects.
    harness.store_immediately = true;
    let (c, connack) = harness.connect(lasting(Version::V5, "van"));
    assert!(connack.session_present);
    harness.publish(c, Version::V5, Qos::ExactlyOnce, Some(6));
    assert!(harness.offers.is_empty());
}

// Of 5.0: MQTT-3.1.2-5, MQTT-3.1.2-23, MQTT-3.2.2-3, MQTT-4.3.3-13
// Of 3.1.1: MQTT-3.1.2-4, MQTT-3.2.2-2, MQTT-3.2.2-3
#[test]
fn a_session_of_an_earlier_life_knows_what_was_taken_on() {
    for version in BOTH {
        let mut harness = Harness::new();
        let (c, _) = harness.connect(lasting(version, "van"));
        harness.publish(c, version, Qos::ExactlyOnce, Some(6));
        let offer = harness.take_offer();
        harness.answer_offer(offer.token, Answer::Accepted);
        harness.take_received(c);
        harness.subscribe(c, version, "$stairshed/outcomes/van");
        // The process is killed; PUBREC may not have arrived.
        let records = harness.records.clone();
        let mut harness = Harness::new();
        for (owner, record) in &records {
            assert!(harness.server.restore(owner, record, harness.now));
        }
        assert!(harness.server.accepts_outcomes("/van"));
        let (c, connack) = harness.connect(lasting(version, "van"));
        assert!(connack.session_present, "[MQTT-3.2.2-3]");
        harness.take_received(c);
        harness.publish(c, version, Qos::ExactlyOnce, Some(6));
        assert!(harness.offers.is_empty(), "a retransmission is not offered again");
        assert_eq!(harness.take_received(c), [Packet::Pubrec(Ack::new(6, 0))]);
        harness.send(c, version, Packet::Pubrel(Ack::new(6, 0)));
        assert_eq!(harness.take_received(c), [Packet::Pubcomp(Ack::new(6, 0))]);
    }
}

// Of 5.0: MQTT-3.1.2-4, MQTT-3.1.3-2, MQTT-3.1.4-3, MQTT-3.1.4-4, MQTT-3.2.2-2, MQTT-4.1.0-1
// Of 3.1.1: MQTT-3.1.2-6, MQTT-3.1.3-2, MQTT-3.1.4-2, MQTT-3.1.4-3, MQTT-3.2.2-1, MQTT-4.1.0-1, MQTT-4.1.0-2
#[test]
fn a_second_connection_takes_over_and_hears_what_the_first_was_owed() {
    for version in BOTH {
        let mut harness = Harness::new();
        let (a, _) = harness.connect(lasting(version, "van"));
        harness.publish(a, version, Qos::AtLeastOnce, Some(5));
        let offer = harness.take_offer();
        let (b, connack) = harness.connect(lasting(version, "van"));
        assert!(connack.session_present && harness.closed == [a]);
        if version == Version::V5 {
            assert!(matches!(
                harness.take_received(a)[..],
                [Packet::Disconnect(Disconnect { code: 0x8E, .. })]
            ));
        }
        // The client retransmits with DUP and the same packet id while the first PUBLISH waits for a
        // decision.
        let publish = Publish::new("fuel/pay", Qos::AtLeastOnce, Some(5), Bytes::from_static(b"42"));
        harness.send(b, version, Packet::Publish(Box::new(Publish { dup: true, ..publish })));
        assert!(harness.offers.is_empty(), "both PUBLISHes are one message");
        harness.answer_offer(offer.token, Answer::Accepted);
        assert_eq!(harness.take_received(b), [Packet::Puback(Ack::new(5, 0))]);
        assert!(harness.abandoned.is_empty());
        // A clean start abandons the message: nobody expects an answer.
        harness.publish(b, version, Qos::AtLeastOnce, Some(7));
        let offer = harness.take_offer();
        let (c, connack) = harness.connect(Connect::new(version, "van"));
        assert!(!connack.session_present);
        assert_eq!(harness.abandoned, [offer.token]);
        harness.answer_offer(offer.token, Answer::Accepted);
        assert!(harness.take_received(c).is_empty());
    }
}

// Of 5.0: MQTT-3.1.2-6, MQTT-4.1.0-2
#[test]
fn a_session_that_does_not_last_goes_with_its_connection_and_one_that_does_when_its_time_is_up() {
    for version in BOTH {
        let mut harness = Harness::new();
        let (a, _) = harness.connect(Connect::new(version, "a"));
        harness.publish(a, version, Qos::AtLeastOnce, Some(5));
        let offer = harness.take_offer();
        harness.lose_connection(a);
        assert_eq!((harness.abandoned.clone(), harness.server.counts()), (vec![offer.token], (0, 0)));
        let (b, _) = harness.connect(lasting(version, "b"));
        harness.subscribe(b, version, "$stairshed/outcomes/b");
        harness.lose_connection(b);
        let line = "{}".to_owned();
        harness.server.queue_outcome("/b", Outcome { message: 3, line });
        let lasts = if version == Version::V5 { 600 } else { 3600 };
        harness.advance_time(Duration::from_secs(lasts) - MS);
        assert_eq!((harness.server.counts().0, harness.records.len()), (1, 1));
        harness.advance_time(MS);
        assert_eq!(
            (harness.server.counts().0, harness.records.len()),
            (0, 0),
            "3.1.1 is held to the longest time"
        );
        assert_eq!(harness.dropped, [3], "outcomes of the discarded session are dropped");
        assert!(!harness.server.accepts_outcomes("/b"));
    }
}

#[test]
fn an_interval_that_a_disconnect_names_holds() {
    let mut harness = Harness::new();
    let (a, _) = harness.connect(lasting(Version::V5, "a"));
    harness.send(a, Version::V5, Packet::Disconnect(Disconnect { expiry: Some(0), ..Disconnect::new(0) }));
    assert_eq!(harness.server.counts(), (0, 0));
    // A session with expiry 0 cannot be prolonged, section 3.14.2.2.2.
    let (b, _) = harness.connect(Connect::new(Version::V5, "b"));
    harness.send(b, Version::V5, Packet::Disconnect(Disconnect { expiry: Some(9), ..Disconnect::new(0) }));
    assert!(matches!(harness.take_received(b)[..], [Packet::Disconnect(Disconnect { code: 0x82, .. })]));
}

// Of 5.0: MQTT-3.3.2-3, MQTT-3.3.4-9, MQTT-3.3.4-10, MQTT-3.8.4-8
// Of 3.1.1: MQTT-3.3.2-3
#[test]
fn outcomes_are_told_in_turn_acknowledged_and_bounded() {
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect { receive_maximum: 2, ..lasting(Version::V5, "van") });
    assert_eq!(harness.subscribe(c, Version::V5, "$stairshed/outcomes/van"), 1, "QoS 1 at most");
    for message in 1..=10 {
        assert!(harness.server.accepts_outcomes("/van"));
        harness.server.queue_outcome("/van", Outcome { message, line: format!("{message}") });
    }
    assert!(
        !harness.server.accepts_outcomes("/van"),
        "the limit on queued outcomes bounds the memory of a slow client"
    );
    harness.apply_effects();
    let out = |packets: Vec<Packet>| -> Vec<(Bytes, u16, bool)> {
        let of = |p: Packet| {
            if let Packet::Publish(p) = p { Some((p.payload, p.id.unwrap_or(0), p.dup)) } else { None }
        };
        packets.into_iter().filter_map(of).collect()
    };
    let first = out(harness.take_received(c));
    assert_eq!(first.len(), 2, "limited by the Receive Maximum of the client [MQTT-3.3.4-9]");
    harness.send(c, Version::V5, Packet::Puback(Ack::new(first[0].1, 0)));
    assert_eq!(harness.delivered, [1]);
    assert_eq!(out(harness.take_received(c)).len(), 1);
}

// Of 5.0: MQTT-2.2.1-4, MQTT-3.10.4-3
// Of 3.1.1: MQTT-2.3.1-4, MQTT-3.10.4-3
#[test]
fn what_was_sent_and_not_acknowledged_goes_again_under_its_id() {
    let mut harness = Harness::new();
    let (c, _) = harness.connect(lasting(Version::V5, "van"));
    harness.subscribe(c, Version::V5, "$stairshed/outcomes/van");
    harness.server.queue_outcome("/van", Outcome { message: 1, line: "one".to_owned() });
    harness.apply_effects();
    let Packet::Publish(sent) = harness.take_received(c).remove(0) else { panic!("an outcome") };
    harness.lose_connection(c);
    let d = harness.open(Version::V5);
    harness.send(d, Version::V5, Packet::Connect(Box::new(lasting(Version::V5, "van"))));
    let received_packets = harness.take_received(d);
    assert_eq!(
        received_packets[1],
        Packet::Publish(Box::new(Publish { dup: true, ..*sent })),
        "[MQTT-4.4.0-1] [MQTT-3.3.1-1]"
    );
}

// Of 5.0: MQTT-2.2.1-6, MQTT-3.8.4-1, MQTT-3.8.4-2, MQTT-3.8.4-3, MQTT-3.8.4-5, MQTT-3.8.4-6, MQTT-3.8.4-7,
// MQTT-3.9.3-1, MQTT-3.9.3-2, MQTT-3.10.4-1, MQTT-3.10.4-2, MQTT-3.10.4-4, MQTT-3.10.4-5, MQTT-3.10.4-6,
// MQTT-3.11.3-1, MQTT-3.11.3-2
// Of 3.1.1: MQTT-2.3.1-7, MQTT-3.8.3-2, MQTT-3.8.4-1, MQTT-3.8.4-2, MQTT-3.8.4-3, MQTT-3.8.4-4, MQTT-3.8.4-5,
// MQTT-3.8.4-6, MQTT-3.9.3-1, MQTT-3.9.3-2, MQTT-3.10.4-1, MQTT-3.10.4-2, MQTT-3.10.4-4, MQTT-3.10.4-5,
// MQTT-3.10.4-6
#[test]
fn only_its_own_outcomes_can_be_subscribed_to() {
    for (filter, wanted) in [
        ("$stairshed/outcomes/van", 1),
        ("$stairshed/outcomes/other", 0x87),
        ("$stairshed/outcomes/#", 0xA2),
        ("+/b", 0xA2),
        ("$share/g/a", 0x9E),
        ("fuel/pay", 0x87),
        ("a/#/b", 0x8F),
    ] {
        let mut harness = Harness::new();
        let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
        assert_eq!(harness.subscribe(c, Version::V5, filter), wanted, "{filter}");
        let (c, _) = harness.connect(Connect::new(Version::V311, "van"));
        let wanted = if wanted == 1 { 1 } else { 0x80 };
        assert_eq!(harness.subscribe(c, Version::V311, filter), wanted, "{filter}");
    }
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
    harness.subscribe(c, Version::V5, "$stairshed/outcomes/van");
    let filters = vec!["$stairshed/outcomes/van".to_owned(), "x".to_owned()];
    harness.send(c, Version::V5, Packet::Unsubscribe { id: 3, filters });
    assert_eq!(
        harness.take_received(c),
        [Packet::Unsuback { id: 3, codes: vec![0, 0x11] }],
        "[MQTT-3.11.3-1]"
    );
    assert!(!harness.server.accepts_outcomes("/van"));
}

// Of 5.0: MQTT-3.1.2-7, MQTT-3.1.2-8, MQTT-3.1.2-10, MQTT-3.1.3-9, MQTT-3.14.4-3
// Of 3.1.1: MQTT-3.1.2-8, MQTT-3.1.2-10, MQTT-3.1.2-12, MQTT-3.14.4-3
#[test]
fn a_will_is_published_unless_its_client_disconnects_normally() {
    let will =
        |delay| Will { qos: Qos::AtLeastOnce, delay, ..Will::new("gone/van", Bytes::from_static(b"x")) };
    for version in BOTH {
        let mut harness = Harness::new();
        let (c, _) = harness.connect(Connect { will: Some(will(0)), ..Connect::new(version, "van") });
        assert_eq!(harness.records.len(), 1, "the will must survive a crash");
        harness.lose_connection(c);
        let offer = harness.take_offer();
        assert!(offer.will && offer.publish.topic == "gone/van", "[MQTT-3.1.2-8]");
        assert_eq!(harness.records.len(), 1, "the record stays until the will is stored as a message");
        harness.answer_offer(offer.token, Answer::Accepted);
        assert!(harness.records.is_empty());
        let (c, _) = harness.connect(Connect { will: Some(will(0)), ..Connect::new(version, "van") });
        harness.send(c, version, Packet::Disconnect(Disconnect::new(0)));
        assert!(harness.offers.is_empty() && harness.records.is_empty(), "[MQTT-3.14.4-3]");
    }
    // A session restored from an earlier process.
    let mut harness = Harness::new();
    harness.connect(Connect { will: Some(will(0)), ..Connect::new(Version::V311, "van") });
    let records = harness.records.clone();
    let mut harness = Harness::new();
    assert!(harness.server.restore("/van", &records["/van"], harness.now));
    harness.apply_effects();
    assert!(harness.take_offer().will);
    // With a will delay: not sent if the client reconnects in time, else sent [MQTT-3.1.3-9].
    let with_delay = || Connect { will: Some(will(30)), ..lasting(Version::V5, "van") };
    let mut harness = Harness::new();
    let (c, _) = harness.connect(with_delay());
    harness.lose_connection(c);
    harness.advance_time(Duration::from_secs(29));
    let (c, _) = harness.connect(with_delay());
    harness.advance_time(Duration::from_secs(60));
    assert!(harness.offers.is_empty());
    harness.lose_connection(c);
    harness.advance_time(Duration::from_secs(30));
    assert!(harness.take_offer().will);
    // After DISCONNECT with code 0x04 the will is sent.
    let (c, _) = harness.connect(Connect { will: Some(will(0)), ..Connect::new(Version::V5, "w") });
    harness.send(c, Version::V5, Packet::Disconnect(Disconnect::new(code::DISCONNECT_WITH_WILL)));
    assert!(harness.take_offer().will);
}

// Of 5.0: MQTT-3.1.2-14, MQTT-3.1.2-15, MQTT-3.2.2-13
#[test]
fn a_will_that_cannot_be_a_message_is_refused_with_its_connection() {
    let will = |topic: &str, retain| Will { retain, ..Will::new(topic, Bytes::new()) };
    for (will, wills, wanted) in [
        (will("a/#", false), true, 0x90),
        (will("$a", false), true, 0x90),
        (will("a", true), true, 0x9A),
        (will("a", false), false, 0x83),
    ] {
        let mut harness = Harness::with(Limits { wills, ..limits() });
        let (c, connack) =
            harness.connect(Connect { will: Some(will.clone()), ..Connect::new(Version::V5, "van") });
        assert_eq!((connack.code, harness.closed.clone()), (wanted, vec![c]));
        if !wills {
            let (_, connack) =
                harness.connect(Connect { will: Some(will), ..Connect::new(Version::V311, "van") });
            assert_eq!(connack.code, 5);
        }
    }
}

// Of 5.0: MQTT-3.1.2-22, MQTT-3.2.2-21, MQTT-3.2.2-22, MQTT-3.12.4-1
// Of 3.1.1: MQTT-3.1.2-24, MQTT-3.12.4-1
#[test]
fn a_client_is_left_at_one_and_a_half_of_its_keep_alive_and_not_before() {
    for version in BOTH {
        let mut harness = Harness::new();
        let (c, _) = harness.connect(Connect { keep_alive: 10, ..Connect::new(version, "van") });
        harness.advance_time(15_000 * MS);
        assert!(harness.closed.is_empty(), "a packet exactly at the limit is in time");
        harness.send(c, version, Packet::Pingreq);
        assert_eq!(harness.take_received(c), [Packet::Pingresp], "[MQTT-3.12.4-1]");
        harness.advance_time(15_001 * MS);
        assert_eq!(harness.closed, [c], "[MQTT-3.1.2-22]");
        if version == Version::V5 {
            assert!(matches!(
                harness.take_received(c)[..],
                [Packet::Disconnect(Disconnect { code: 0x8D, .. })]
            ));
        }
    }
    // A client that asks for no keep alive is given one, where its version can express it [MQTT-3.2.2-21].
    let mut harness = Harness::new();
    assert_eq!(harness.connect(Connect::new(Version::V5, "a")).1.keep_alive, Some(300));
    let (c, _) = harness.connect(Connect::new(Version::V311, "b"));
    harness.advance_time(Duration::from_secs(100_000));
    assert!(!harness.closed.contains(&c));
}

// Of 5.0: MQTT-3.1.4-1
#[test]
fn thousands_that_say_nothing_are_closed_and_cost_one_entry_each() {
    let mut harness = Harness::new();
    let all: Vec<u64> = (0..10_000).map(|_| harness.open(Version::V5)).collect();
    assert!(harness.server.oldest_without_connect().is_some());
    harness.advance_time(2499 * MS);
    assert!(harness.closed.is_empty());
    harness.advance_time(MS);
    assert_eq!(harness.closed.len(), all.len(), "[MQTT-3.1.4-1]");
    assert_eq!((harness.server.counts(), harness.server.timeout()), ((0, 0), None));
}

// Of 5.0: MQTT-3.1.0-2, MQTT-3.3.2-2, MQTT-3.14.0-1, MQTT-3.14.2-1, MQTT-3.14.2-2, MQTT-3.14.4-1,
// MQTT-3.14.4-2, MQTT-4.7.0-1, MQTT-4.13.1-1
// Of 3.1.1: MQTT-3.1.0-2, MQTT-3.2.2-6, MQTT-4.7.1-1, MQTT-4.8.0-1
#[test]
fn faults_end_the_connection_with_their_reason_and_nothing_else() {
    let alias = |alias, topic: &str| Publish {
        alias: Some(alias),
        ..Publish::new(topic, Qos::AtMostOnce, None, Bytes::new())
    };
    let retain = Publish { retain: true, ..Publish::new("a", Qos::AtMostOnce, None, Bytes::new()) };
    for (packet, wanted) in [
        (Packet::Connect(Box::new(Connect::new(Version::V5, "van"))), 0x82),
        (Packet::Publish(Box::new(Publish::new("a/+", Qos::AtMostOnce, None, Bytes::new()))), 0x90),
        (Packet::Publish(Box::new(Publish::new("", Qos::AtMostOnce, None, Bytes::new()))), 0x82),
        (Packet::Publish(Box::new(alias(5, "a"))), 0x94),
        (Packet::Publish(Box::new(alias(2, ""))), 0x82),
        (Packet::Publish(Box::new(retain)), 0x9A),
        (Packet::Pubrec(Ack::new(1, 0)), 0x82),
        (Packet::Connack(Box::new(Connack::new(0))), 0x82),
        (Packet::Pingresp, 0x82),
    ] {
        let mut harness = Harness::new();
        let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
        harness.send(c, Version::V5, packet.clone());
        let received_packets = harness.take_received(c);
        let said = matches!(&received_packets[..], [Packet::Disconnect(d)] if d.code == wanted && d.reason.is_some());
        assert!(said && harness.closed == [c], "{packet:?}: {received_packets:?}");
        assert!(harness.offers.is_empty());
    }
    // 3.1.1 cannot express the reason [MQTT-4.8.0-1].
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V311, "van"));
    harness.send(c, Version::V311, Packet::Connect(Box::new(Connect::new(Version::V311, "van"))));
    assert_eq!((harness.take_received(c), harness.closed.clone()), (vec![], vec![c]), "[MQTT-3.1.0-2]");
    // Nothing is sent before a CONNECT has been received.
    let c = harness.open(Version::V5);
    harness.send_bytes(c, b"\xc0\x00");
    assert_eq!((harness.take_received(c), harness.closed.last()), (vec![], Some(&c)), "[MQTT-3.1.0-1]");
    // An unsupported version gets a CONNACK of 3.1.1 [MQTT-3.1.2-2].
    let c = harness.open(Version::V311);
    harness.send_bytes(c, b"\x10\x0c\x00\x04MQTT\x06\x02\x00\x3c\x00\x00");
    assert!(matches!(&harness.take_received(c)[..], [Packet::Connack(a)] if a.code == 1));
}

#[test]
fn more_than_the_receive_maximum_is_a_fault_of_5_0_and_waits_in_the_socket_of_3_1_1() {
    let mut harness = Harness::new();
    let (c, connack) = harness.connect(Connect::new(Version::V5, "van"));
    assert_eq!(connack.receive_maximum, 8);
    (1..=8).for_each(|id| harness.publish(c, Version::V5, Qos::AtLeastOnce, Some(id)));
    assert_eq!(harness.offers.len(), 8);
    harness.publish(c, Version::V5, Qos::AtLeastOnce, Some(9));
    assert!(matches!(harness.take_received(c)[..], [Packet::Disconnect(Disconnect { code: 0x93, .. })]));
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V311, "van"));
    (1..=9).for_each(|id| harness.publish(c, Version::V311, Qos::AtLeastOnce, Some(id)));
    assert_eq!(harness.offers.len(), 8);
    assert!(!harness.server.wants_input(c), "reading is paused");
    let token = harness.offers[0].token;
    harness.answer_offer(token, Answer::Accepted);
    assert_eq!(harness.offers.len(), 9, "buffered packets are processed");
    // QoS 0 has no Receive Maximum, but a limit of its own applies.
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
    (0..MAX_PENDING_QOS0 + 5).for_each(|_| harness.publish(c, Version::V5, Qos::AtMostOnce, None));
    assert_eq!(harness.offers.len(), MAX_PENDING_QOS0);
}

#[test]
fn a_payload_that_is_too_long_or_not_what_it_says_is_refused_and_the_connection_goes_on() {
    let mut harness = Harness::new();
    let (c, _) = harness.connect(Connect::new(Version::V5, "van"));
    let long = Publish::new("a", Qos::AtLeastOnce, Some(1), Bytes::from(vec![0; 64 * 1024 + 1]));
    let text =
        Publish { utf8: true, ..Publish::new("a", Qos::AtLeastOnce, Some(2), Bytes::from_static(b"\xff")) };
    let own = Publish::new("$stairshed/x", Qos::AtLeastOnce, Some(3), Bytes::new());
    for (publish, wanted) in [(long, 0x97), (text, 0x99), (own, 0x90)] {
        harness.send(c, Version::V5, Packet::Publish(Box::new(publish)));
        assert!(matches!(&harness.take_received(c)[..], [Packet::Puback(ack)] if ack.code == wanted));
    }
    assert!(harness.closed.is_empty() && harness.offers.is_empty());
}

// Of 5.0: MQTT-3.3.2-7, MQTT-3.3.2-9, MQTT-3.3.2-10
#[test]
fn an_alias_stands_for_its_topic_on_its_connection_only() {
    let mut harness = Harness::new();
    let (c, connack) = harness.connect(lasting(Version::V5, "van"));
    assert_eq!(connack.topic_alias_max, 4);
    let alias =
        |topic: &str| Publish { alias: Some(4), ..Publish::new(topic, Qos::AtMostOnce, None, Bytes::new()) };
    harness.send(c, Version::V5, Packet::Publish(Box::new(alias("fuel/pay"))));
    harness.send(c, Version::V5, Packet::Publish(Box::new(alias(""))));
    assert!(harness.offers.iter().all(|o| o.publish.topic == "fuel/pay") && harness.offers.len() == 2);
    harness.lose_connection(c);
    let (c, _) = harness.connect(lasting(Version::V5, "van"));
    harness.send(c, Version::V5, Packet::Publish(Box::new(alias(""))));
    assert!(
        matches!(harness.take_received(c)[..], [Packet::Disconnect(Disconnect { code: 0x82, .. })]),
        "[MQTT-3.3.2-7]"
    );
}

// Of 5.0: MQTT-3.1.3-5, MQTT-3.1.3-6, MQTT-3.1.3-7, MQTT-3.1.3-8, MQTT-3.2.2-6, MQTT-3.2.2-7, MQTT-3.2.2-8,
// MQTT-3.2.2-16, MQTT-4.12.0-1, MQTT-4.13.2-1
// Of 3.1.1: MQTT-3.1.3-5, MQTT-3.1.3-6, MQTT-3.1.3-9, MQTT-3.2.2-4, MQTT-3.2.2-5
#[test]
fn client_ids_are_given_checked_and_apart_by_user() {
    let mut harness = Harness::new();
    for version in BOTH {
        let (_, connack) = harness.connect(Connect::new(version, ""));
        assert_eq!(connack.client.is_some(), version == Version::V5, "[MQTT-3.1.3-6] [MQTT-3.1.3-7]");
        for bad in ["a#", "a/b", &"x".repeat(129)] {
            let (_, connack) = harness.connect(Connect::new(version, bad));
            assert_eq!(connack.code, if version == Version::V5 { 0x85 } else { 2 }, "{bad}");
        }
    }
    let of = |user: &str| Connect { user: Some(user.to_owned()), ..lasting(Version::V5, "van") };
    harness.connect(of("a"));
    let before = harness.closed.len();
    let (_, connack) = harness.connect(of("b"));
    assert!(
        !connack.session_present && harness.closed.len() == before,
        "a session of another user is not taken over"
    );
    // An exchange of AUTH packets is refused [MQTT-4.12.0-1].
    let (_, connack) =
        harness.connect(Connect { auth_method: Some("SCRAM".to_owned()), ..Connect::new(Version::V5, "x") });
    assert_eq!(connack.code, 0x8C);
}

#[test]
fn sessions_are_bounded() {
    let mut harness = Harness::with(Limits { sessions: 2, ..limits() });
    harness.connect(lasting(Version::V5, "a"));
    harness.connect(lasting(Version::V5, "b"));
    assert_eq!(harness.connect(lasting(Version::V5, "c")).1.code, 0x97);
    assert_eq!(harness.connect(lasting(Version::V311, "c")).1.code, 3);
    assert!(harness.connect(lasting(Version::V5, "a")).1.session_present, "existing sessions can be resumed");
}

#[test]
fn the_end_of_the_process_is_told_and_wills_go_out() {
    let mut harness = Harness::new();
    let (a, _) = harness.connect(Connect::new(Version::V5, "a"));
    let will = Will::new("gone", Bytes::new());
    harness.connect(Connect { will: Some(will), ..Connect::new(Version::V311, "b") });
    harness.server.shutdown(harness.now);
    harness.apply_effects();
    assert!(matches!(harness.take_received(a)[..], [Packet::Disconnect(Disconnect { code: 0x8B, .. })]));
    assert!(harness.take_offer().will);
    assert_eq!(harness.server.counts().1, 0);
}

#[test]
fn a_new_session_takes_the_memory_that_was_computed_for_it() {
    for will in [None, Some(Will::new("gone/van", Bytes::from_static(b"x")))] {
        let mut harness = Harness::new();
        let connect = Connect { user: Some("u".to_owned()), will, ..Connect::new(Version::V5, "van") };
        let computed = session_bytes("u/van", connect.will.as_ref());
        let (c, _) = harness.connect(connect);
        assert_eq!(harness.server.estimated_session_bytes(), computed);
        harness.publish(c, Version::V5, Qos::AtLeastOnce, Some(1));
        assert_eq!(harness.server.estimated_session_bytes(), computed, "a pending offer counts as input");
        assert!(harness.server.estimated_input_bytes() > 0);
    }
}

// Guards against a client that is ended as silent though its packet has arrived, and against one that is never ended.
#[test]
fn timeout_is_put_off_once_for_input_that_has_arrived() {
    let mut server = Server::new(limits(), StableTime::EPOCH, 7);
    server.connection_accepted(1, Time::ZERO);
    let due = limits().connect_timeout;
    assert_eq!(server.due_connections(due), [1]);
    server.input_arrived(1, due);
    server.handle_timeout(due);
    assert!(server.poll().is_none(), "it waits for the read");
    let later = server.timeout().expect("another timeout");
    assert!(later > due && later <= due + Duration::from_millis(500), "{later:?}");
    server.input_arrived(1, later);
    server.handle_timeout(later);
    assert!(matches!(server.poll(), Some(Effect::Close { connection: 1 })), "nothing was read");
}
