use super::*;
use std::collections::BTreeSet;

const MS: Time = Duration::from_millis(1);

fn options(version: Version) -> Options {
    Options {
        version,
        client: "courier".to_owned(),
        user: None,
        password: None,
        keep_alive: 30,
        expiry: 3600,
        connect_timeout: 1000 * MS,
        in_flight: 65_535,
    }
}

/// A client whose effects the test carries out; the test plays the broker.
struct Harness {
    client: Client,
    now: Time,
    broker: Reader,
    version: Version,
    qos: Qos,
}

impl Harness {
    fn new(version: Version, qos: Qos) -> Self {
        let now = Duration::from_secs(100);
        Harness { client: Client::new(options(version)), now, broker: Reader::server(1 << 20), version, qos }
    }

    fn message(&self, number: u64) -> Message {
        let publish = Publish::new("fuel", self.qos, None, Bytes::from_static(b"42 EUR"));
        let until = self.now + 20_000 * MS;
        Message { number, group: 0, publish, response_timeout: 5000 * MS, until, retransmit_until: Time::MAX }
    }

    fn send(&mut self, number: u64) -> u16 {
        let id = self.client.reserve().expect("a free packet id");
        let message = self.message(number);
        self.client.publish(id, message, self.now);
        id
    }

    fn effects(&mut self) -> Vec<Effect> {
        let not_bookkeeping =
            |e: &Effect| !matches!(e, Effect::Log(_) | Effect::RecordResuming | Effect::ClearResuming);
        std::iter::from_fn(|| self.client.poll()).filter(not_bookkeeping).collect()
    }

    fn ends(&mut self) -> Vec<(u64, AttemptResult)> {
        let of = |e| if let Effect::Ended { message, end, .. } = e { Some((message, end)) } else { None };
        self.effects().into_iter().filter_map(of).collect()
    }

    /// Writes all output and returns the packets that the broker receives.
    fn read_output(&mut self) -> Vec<Packet> {
        let bytes: Vec<u8> = {
            let mut slices = Vec::new();
            self.client.output(&mut slices);
            slices.iter().flat_map(|s| s.to_vec()).collect()
        };
        self.client.bytes_written(bytes.len(), self.now);
        self.broker.push(&bytes);
        std::iter::from_fn(|| self.broker.packet().expect("a valid packet")).collect()
    }

    fn reply(&mut self, packet: Packet) {
        let bytes = encode(self.version, packet, None).expect("encodable");
        self.client.received(&bytes, self.now);
    }

    /// Opens the requested connection and returns the CONNECT.
    fn open(&mut self) -> Connect {
        self.broker = Reader::server(1 << 20);
        self.client.connection_opened(self.now);
        self.client.resuming_recorded(self.now);
        match self.read_output().remove(0) {
            Packet::Connect(connect) => *connect,
            other => panic!("{other:?}"),
        }
    }

    fn connect(&mut self, session_present: bool) -> Connect {
        let connect = self.open();
        self.reply(Packet::Connack(Box::new(Connack { session_present, ..Connack::new(0) })));
        if self.version == Version::V311 && connect.clean {
            self.now += MS;
            self.client.handle_timeout(self.now);
            let again = self.open();
            assert!(!again.clean, "the second CONNECT starts a session that is kept");
            self.reply(Packet::Connack(Box::new(Connack::new(0))));
        }
        connect
    }

    /// Loses the connection and lets the reconnect delay pass.
    fn disconnect_and_wait(&mut self) {
        self.client.connection_lost(self.now);
        self.now += 3000 * MS;
        self.client.handle_timeout(self.now);
    }
}

fn published(packets: &[Packet]) -> Vec<(u16, bool)> {
    let of = |p: &Packet| if let Packet::Publish(p) = p { p.id.map(|id| (id, p.dup)) } else { None };
    packets.iter().filter_map(of).collect()
}

const BOTH: [Version; 2] = [Version::V311, Version::V5];

// Of 5.0: MQTT-3.6.2-1, MQTT-4.3.2-1, MQTT-4.3.2-2, MQTT-4.3.3-1, MQTT-4.3.3-2, MQTT-4.3.3-4
// Of 3.1.1: MQTT-3.14.4-1, MQTT-3.14.4-2
#[test]
fn an_acknowledged_message_is_delivered_at_both_qualities() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::AtLeastOnce);
        let id = harness.send(1);
        assert_eq!(harness.effects(), [Effect::Open]);
        assert!(harness.connect(false).clean);
        assert_eq!(published(&harness.read_output()), [(id, false)]);
        harness.reply(Packet::Puback(Ack::new(id, 0)));
        assert!(harness.ends().contains(&(1, AttemptResult::Delivered)));
        let mut harness = Harness::new(version, Qos::ExactlyOnce);
        let id = harness.send(1);
        harness.connect(false);
        assert_eq!(published(&harness.read_output()), [(id, false)]);
        harness.effects();
        harness.reply(Packet::Pubrec(Ack::new(id, 0)));
        assert_eq!(harness.effects(), [Effect::RecordPubrec { id, message: 1 }]);
        assert_eq!(harness.read_output(), [], "PUBREL sent before PUBREC was recorded");
        harness.client.pubrec_recorded(id, harness.now);
        assert_eq!(harness.read_output(), [Packet::Pubrel(Ack::new(id, 0))]);
        harness.reply(Packet::Pubcomp(Ack::new(id, 0)));
        assert_eq!(harness.ends(), [(1, AttemptResult::Delivered)]);
        assert_eq!(harness.client.in_use(), 0);
    }
}

// Of 5.0: MQTT-3.3.1-1, MQTT-4.3.2-3, MQTT-4.3.3-3, MQTT-4.3.3-5, MQTT-4.3.3-6, MQTT-4.4.0-1, MQTT-4.6.0-1
// Of 3.1.1: MQTT-3.3.1-1, MQTT-4.3.2-1, MQTT-4.3.3-1, MQTT-4.4.0-1, MQTT-4.6.0-1
#[test]
fn a_drop_behind_the_last_byte_resumes_the_same_attempt_where_the_session_is_there() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::ExactlyOnce);
        let (a, b) = (harness.send(1), harness.send(2));
        harness.connect(false);
        assert_eq!(published(&harness.read_output()), [(a, false), (b, false)]);
        harness.reply(Packet::Pubrec(Ack::new(a, 0)));
        harness.client.pubrec_recorded(a, harness.now);
        harness.effects();
        harness.disconnect_and_wait();
        assert_eq!(
            harness.effects(),
            [Effect::Open],
            "the attempt is unresolved: no result, and nothing new is sent"
        );
        assert!(!harness.connect(true).clean);
        let again = harness.read_output();
        assert_eq!(again[0], Packet::Pubrel(Ack::new(a, 0)), "no new PUBLISH after PUBREC [MQTT-4.3.3-6]");
        assert_eq!(published(&again), [(b, true)], "the same packet with DUP [MQTT-3.3.1-1]");
        harness.reply(Packet::Pubcomp(Ack::new(a, code::SUCCESS)));
        harness.reply(Packet::Pubrec(Ack::new(b, 0)));
        harness.client.pubrec_recorded(b, harness.now);
        harness.reply(Packet::Pubcomp(Ack::new(b, 0)));
        assert_eq!(harness.ends(), [(1, AttemptResult::Delivered), (2, AttemptResult::Delivered)]);
    }
}

#[test]
fn a_session_whose_connack_is_lost_counts_as_lost_since_the_next_would_be_another() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::ExactlyOnce);
        harness.send(1);
        harness.connect(false);
        harness.read_output();
        harness.disconnect_and_wait();
        harness.effects();
        harness.client.connection_opened(harness.now);
        assert_eq!(harness.client.poll(), Some(Effect::RecordResuming));
        assert_eq!(harness.read_output(), [], "CONNECT sent before the resumption was recorded");
        // A connection lost before the CONNECT was sent leaves nothing in doubt.
        harness.client.connection_lost(harness.now);
        assert_eq!(harness.client.poll(), Some(Effect::ClearResuming));
        harness.now += 3000 * MS;
        harness.client.handle_timeout(harness.now);
        assert_eq!(harness.effects(), [Effect::Open]);
        let connect = harness.open();
        assert!(!connect.clean);
        harness.client.connection_lost(harness.now);
        assert_eq!(harness.ends(), [(1, AttemptResult::Lost)]);
        // The next connection starts a new session.
        harness.send(2);
        harness.now += 3000 * MS;
        harness.client.handle_timeout(harness.now);
        harness.send(3);
        assert!(harness.connect(false).clean);
    }
}

#[test]
fn at_qos_1_nothing_goes_again_once_its_key_is_forgotten() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.client.reserve().expect("a free packet id");
    let message = Message { retransmit_until: harness.now + 1000 * MS, ..harness.message(1) };
    harness.client.publish(id, message, harness.now);
    harness.connect(false);
    harness.read_output();
    harness.disconnect_and_wait();
    harness.effects();
    harness.connect(true);
    assert_eq!(harness.ends(), [(1, AttemptResult::Lost)]);
    assert_eq!(published(&harness.read_output()), []);
}

// Of 5.0: MQTT-3.2.2-5
#[test]
fn a_lost_session_says_that_it_may_have_run_and_sends_nothing_again() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::AtLeastOnce);
        harness.send(1);
        harness.connect(false);
        harness.read_output();
        harness.disconnect_and_wait();
        harness.effects();
        assert!(!harness.connect(false).clean);
        assert_eq!(harness.ends(), [(1, AttemptResult::Lost)]);
        assert_eq!(published(&harness.read_output()), []);
    }
}

#[test]
fn what_was_cut_before_its_last_byte_never_ran() {
    for version in BOTH {
        let whole = {
            let mut harness = Harness::new(version, Qos::AtLeastOnce);
            harness.send(1);
            harness.connect(false);
            let mut slices = Vec::new();
            harness.client.output(&mut slices);
            slices.iter().map(|s| s.len()).sum::<usize>()
        };
        for cut in 0..=whole {
            let mut harness = Harness::new(version, Qos::AtLeastOnce);
            harness.send(1);
            harness.connect(false);
            harness.effects();
            harness.client.bytes_written(cut, harness.now);
            harness.client.connection_lost(harness.now);
            let wanted: &[(u64, AttemptResult)] = match cut {
                // Sent completely: the result is unknown.
                cut if cut == whole => &[],
                _ => &[(1, AttemptResult::Unsent)],
            };
            assert_eq!(harness.ends(), wanted, "cut at {cut} of {whole}");
        }
    }
}

// Of 5.0: MQTT-4.3.3-7
#[test]
fn an_acknowledgement_that_comes_late_is_that_of_the_one_attempt() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.effects();
    // Packets arrive now and then, so the response timeout does not apply.
    for _ in 0..4 {
        harness.now += 4000 * MS;
        harness.client.handle_timeout(harness.now);
        harness.reply(Packet::Pingresp);
        assert_eq!(harness.ends(), [], "an unresolved attempt has no result yet");
    }
    harness.reply(Packet::Puback(Ack::new(id, 0)));
    assert_eq!(harness.ends(), [(1, AttemptResult::Delivered)]);
}

#[test]
fn a_message_whose_time_is_up_ends_and_is_never_sent_again_and_its_id_stays_in_use() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.effects();
    harness.now += 20_000 * MS;
    harness.client.handle_timeout(harness.now);
    assert_eq!(harness.ends(), [(1, AttemptResult::TimedOut)]);
    assert_eq!(harness.client.in_use(), 1);
    // Another message is published, so the session must be kept.
    let other = harness.send(2);
    assert_ne!(other, id);
    assert_eq!(published(&harness.read_output()), [(other, false)]);
    harness.client.connection_lost(harness.now);
    harness.now += 100 * MS;
    harness.client.handle_timeout(harness.now);
    harness.connect(true);
    assert_eq!(
        published(&harness.read_output()),
        [(other, true)],
        "only the message that has not ended is retransmitted"
    );
    harness.reply(Packet::Puback(Ack::new(other, 0)));
    assert!(harness.ends().contains(&(2, AttemptResult::Delivered)));
}

#[test]
fn a_mute_connection_is_given_up_and_its_session_resumed() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.effects();
    let at = harness.client.timeout().expect("a timeout");
    assert_eq!(at, harness.now + 5000 * MS, "the response timeout");
    harness.now = at;
    harness.client.handle_timeout(harness.now);
    assert_eq!(harness.effects(), [Effect::Close { final_bytes: BytesMut::new() }]);
    harness.now += 100 * MS;
    harness.client.handle_timeout(harness.now);
    assert_eq!(harness.effects(), [Effect::Open]);
    harness.connect(true);
    assert_eq!(published(&harness.read_output()), [(id, true)]);
}

#[test]
fn acknowledgements_twice_out_of_order_or_for_free_ids_end_nothing_else() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::AtLeastOnce);
        let (a, b) = (harness.send(1), harness.send(2));
        harness.connect(false);
        harness.read_output();
        harness.effects();
        harness.reply(Packet::Puback(Ack::new(b, 0)));
        harness.reply(Packet::Puback(Ack::new(b, 0)));
        harness.reply(Packet::Puback(Ack::new(999, 0)));
        assert_eq!(harness.ends(), [(2, AttemptResult::Delivered)]);
        // The next message does not reuse the freed packet id.
        let c = harness.send(3);
        assert!(c != a && c != b);
        harness.read_output();
        harness.reply(Packet::Puback(Ack::new(b, 0)));
        assert_eq!(harness.ends(), []);
        harness.reply(Packet::Puback(Ack::new(c, 0)));
        harness.reply(Packet::Puback(Ack::new(a, 0)));
        assert_eq!(harness.ends(), [(3, AttemptResult::Delivered), (1, AttemptResult::Delivered)]);
    }
}

// Of 5.0: MQTT-3.2.2-4
#[test]
fn a_broker_that_acknowledges_what_was_not_sent_or_answers_in_kind_is_at_fault() {
    let lies = [
        (Qos::AtLeastOnce, Packet::Pubrec(Ack::new(1, 0))),
        (Qos::ExactlyOnce, Packet::Puback(Ack::new(1, 0))),
        (Qos::ExactlyOnce, Packet::Pubcomp(Ack::new(1, 0))),
        (Qos::AtLeastOnce, Packet::Pingreq),
        (Qos::AtLeastOnce, Packet::Connack(Box::new(Connack::new(0)))),
    ];
    for (qos, lie) in lies {
        let mut harness = Harness::new(Version::V5, qos);
        harness.send(1);
        harness.connect(false);
        harness.read_output();
        harness.effects();
        harness.reply(lie.clone());
        let effects = harness.effects();
        assert!(
            matches!(&effects[..], [Effect::Close { final_bytes }] if final_bytes.len() >= 2),
            "{lie:?} {effects:?}"
        );
    }
    // An acknowledgement before the PUBLISH was sent.
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    harness.send(1);
    harness.connect(false);
    harness.effects();
    harness.reply(Packet::Puback(Ack::new(1, 0)));
    assert!(!harness.ends().contains(&(1, AttemptResult::Delivered)));
}

// Of 5.0: MQTT-4.4.0-2
#[test]
fn reason_codes_end_an_attempt_as_the_table_says() {
    for (code, end) in [
        (0x00, AttemptResult::Delivered),
        (0x10, AttemptResult::Delivered),
        (0x80, AttemptResult::Error),
        (0x83, AttemptResult::Error),
        (0x87, AttemptResult::Rejected),
        (0x90, AttemptResult::Rejected),
        (0x91, AttemptResult::Error),
        (0x97, AttemptResult::Busy { wait: None }),
        (0x99, AttemptResult::Rejected),
    ] {
        for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
            let mut harness = Harness::new(Version::V5, qos);
            let id = harness.send(1);
            harness.connect(false);
            harness.read_output();
            harness.effects();
            let ack = Ack::new(id, code);
            harness.reply(if qos == Qos::AtLeastOnce { Packet::Puback(ack) } else { Packet::Pubrec(ack) });
            if code < 0x80 && qos == Qos::ExactlyOnce {
                assert_eq!(harness.effects(), [Effect::RecordPubrec { id, message: 1 }]);
                continue;
            }
            assert_eq!(harness.ends(), [(1, end)], "0x{code:02X}");
            assert_eq!(harness.client.in_use(), 0);
        }
    }
}

// Guards against a message that takes effect at two brokers: the first passed it on, its connection broke before the
// acknowledgement, and it refuses the packet when that comes again.
#[test]
fn an_error_for_a_packet_that_was_sent_before_does_not_tell_that_it_never_ran() {
    let retry_after_delay = Duration::from_millis(2500);
    for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
        for code in [0x80, 0x87, 0x90, 0x97, 0x99] {
            for is_resumed in [false, true] {
                let mut harness = Harness::new(Version::V5, qos);
                let id = if is_resumed { 7 } else { harness.send(1) };
                if is_resumed {
                    let message = harness.message(1);
                    harness.client.resume(id, message, false, harness.now);
                } else {
                    harness.connect(false);
                    harness.read_output();
                    harness.disconnect_and_wait();
                }
                harness.connect(true);
                assert_eq!(published(&harness.read_output()), [(id, true)]);
                let properties = vec![("retry-after".to_owned(), "2.5".to_owned())];
                let ack = Ack { properties, ..Ack::new(id, code) };
                harness.reply(if qos == Qos::AtLeastOnce {
                    Packet::Puback(ack)
                } else {
                    Packet::Pubrec(ack)
                });
                assert_eq!(harness.ends(), [(1, AttemptResult::Error)], "{qos:?} 0x{code:02X}");
                // A wait that the broker tells holds for new messages all the same.
                harness.send(2);
                let expected = match code {
                    0x97 => vec![(2, AttemptResult::Busy { wait: Some(retry_after_delay) })],
                    _ => vec![],
                };
                assert_eq!(harness.ends(), expected, "{qos:?} 0x{code:02X}");
            }
        }
    }
}

#[test]
fn a_told_wait_lets_go_what_is_written_and_nothing_after() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let ids: Vec<u16> = (0..200).map(|n| harness.send(n)).collect();
    harness.connect(false);
    // All 64 chunks of one vectored write are written, and some bytes of the next.
    assert_eq!(published(&harness.read_output()).len(), 64);
    harness.client.bytes_written(3, harness.now);
    harness.effects();
    let wait = vec![("retry-after".to_owned(), "2.5".to_owned())];
    harness.reply(Packet::Puback(Ack { properties: wait, ..Ack::new(ids[0], code::QUOTA_EXCEEDED) }));
    let retry_after_delay = Duration::from_millis(2500);
    let ends = harness.ends();
    assert_eq!(ends[0], (0, AttemptResult::Busy { wait: Some(retry_after_delay) }));
    let withdrawn: BTreeSet<u64> = ends.iter().map(|(m, _)| *m).collect();
    assert_eq!(withdrawn, std::iter::once(0).chain(65..200).collect(), "all except those already in flight");
    // The partly written PUBLISH is completed, and nothing else is sent.
    harness.broker = Reader::server(1 << 20);
    let rest: usize = {
        let mut slices = Vec::new();
        harness.client.output(&mut slices);
        assert_eq!(slices.len(), 1);
        slices[0].len()
    };
    harness.client.bytes_written(rest, harness.now);
    // A new message during the wait is rejected with the remaining wait.
    harness.now += 500 * MS;
    harness.send(500);
    assert_eq!(harness.ends(), [(500, AttemptResult::Busy { wait: Some(Duration::from_millis(2000)) })]);
    for id in &ids[1..65] {
        harness.reply(Packet::Puback(Ack::new(*id, 0)));
    }
    assert_eq!(harness.ends().len(), 64);
    harness.now += 2000 * MS;
    harness.send(501);
    assert_eq!(published(&harness.take_all()).len(), 1);
}

impl Harness {
    /// Like [`Harness::read_output`], for a broker whose reader was recreated after the CONNECT.
    fn take_all(&mut self) -> Vec<Packet> {
        self.broker = Reader::client(self.version, 1 << 20);
        self.read_output()
    }
}

// Of 5.0: MQTT-3.3.4-7, MQTT-3.3.4-8, MQTT-4.9.0-1, MQTT-4.9.0-2, MQTT-4.9.0-3
#[test]
fn the_broker_s_receive_maximum_bounds_what_is_on_its_way() {
    let mut harness = Harness::new(Version::V5, Qos::ExactlyOnce);
    let ids: Vec<u16> = (0..10).map(|n| harness.send(n)).collect();
    harness.open();
    harness.reply(Packet::Connack(Box::new(Connack { receive_maximum: 3, ..Connack::new(0) })));
    assert_eq!(published(&harness.read_output()).len(), 3, "[MQTT-3.3.4-7]");
    harness.effects();
    // A PUBCOMP frees a place in the Receive Maximum, and so does a PUBREC with an error [MQTT-4.9.0-1].
    harness.reply(Packet::Pubrec(Ack::new(ids[0], 0)));
    harness.client.pubrec_recorded(ids[0], harness.now);
    assert_eq!(published(&harness.read_output()).len(), 0);
    harness.reply(Packet::Pubcomp(Ack::new(ids[0], 0)));
    assert_eq!(published(&harness.read_output()), [(ids[3], false)]);
    harness.reply(Packet::Pubrec(Ack::new(ids[1], code::UNSPECIFIED_ERROR)));
    assert_eq!(published(&harness.read_output()), [(ids[4], false)]);
}

// Of 5.0: MQTT-2.2.1-3
// Of 3.1.1: MQTT-2.3.1-2
#[test]
fn all_packet_ids_may_be_in_flight_and_the_next_waits_for_a_free_one() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    for n in 0..65_535u64 {
        let id = harness.client.reserve().expect("a free packet id");
        let message = harness.message(n);
        harness.client.insert(id, message, Stage::Sent, harness.now);
    }
    assert_eq!(harness.client.reserve(), None);
    harness.client.ended(700, AttemptResult::Delivered);
    assert_eq!(harness.client.reserve(), Some(700));
}

#[test]
fn only_what_has_not_begun_can_be_called_off() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let (a, _) = (harness.send(1), harness.send(2));
    harness.client.cancel(2);
    assert!(harness.ends().contains(&(2, AttemptResult::Rejected)));
    harness.connect(false);
    harness.read_output();
    harness.client.cancel(1);
    assert_eq!(harness.ends(), [], "a message in flight is not cancelled");
    harness.reply(Packet::Puback(Ack::new(a, 0)));
    assert_eq!(harness.ends(), [(1, AttemptResult::Delivered)]);
}

#[test]
fn a_drain_lets_what_is_on_its_way_finish_and_begins_nothing_after_its_grace() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let a = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.effects();
    harness.client.drain_group(0, harness.now + 900 * MS, harness.now);
    harness.client.set_close_when_idle(true, harness.now);
    let b = harness.send(2);
    assert_eq!(published(&harness.read_output()), [(b, false)], "sent within the drain grace");
    harness.now += 900 * MS;
    harness.client.handle_timeout(harness.now);
    harness.send(3);
    assert_eq!(harness.ends(), [(3, AttemptResult::Unsent)]);
    harness.reply(Packet::Puback(Ack::new(a, 0)));
    harness.reply(Packet::Puback(Ack::new(b, 0)));
    let effects = harness.effects();
    assert!(
        matches!(effects.last(), Some(Effect::Close { final_bytes }) if !final_bytes.is_empty()),
        "{effects:?}"
    );
}

#[test]
fn the_drain_of_one_group_leaves_the_messages_of_others_alone() {
    let mut harness = Harness::new(Version::V5, Qos::ExactlyOnce);
    let unresolved = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.effects();
    harness.client.drain_group(0, harness.now, harness.now);
    harness.send(2);
    assert_eq!(harness.ends(), [(2, AttemptResult::Unsent)]);
    let id = harness.client.reserve().expect("a free packet id");
    let message = Message { group: 1, ..harness.message(3) };
    harness.client.publish(id, message, harness.now);
    assert_eq!(published(&harness.read_output()), [(id, false)], "the other group is not drained");
    for id in [unresolved, id] {
        harness.reply(Packet::Pubrec(Ack::new(id, 0)));
        harness.client.pubrec_recorded(id, harness.now);
        harness.reply(Packet::Pubcomp(Ack::new(id, 0)));
    }
    assert_eq!(harness.ends(), [(1, AttemptResult::Delivered), (3, AttemptResult::Delivered)]);
}

// Guards against a PUBLISH that arrives for the first time at an address that has another partner by then.
#[test]
fn what_may_not_have_arrived_is_not_sent_again_in_a_session_that_nobody_uses() {
    for (is_left, grace, sent_again) in
        [(true, Time::ZERO, false), (true, 60_000 * MS, true), (false, Time::ZERO, true)]
    {
        let mut harness = Harness::new(Version::V5, Qos::ExactlyOnce);
        let (sent, released) = (harness.send(1), harness.send(2));
        harness.connect(false);
        harness.read_output();
        harness.reply(Packet::Pubrec(Ack::new(released, 0)));
        harness.client.pubrec_recorded(released, harness.now);
        harness.read_output();
        harness.client.drain_group(0, harness.now + grace, harness.now);
        harness.client.set_close_when_idle(is_left, harness.now);
        harness.effects();
        harness.disconnect_and_wait();
        harness.connect(true);
        let packets = harness.read_output();
        let expected: &[(u16, bool)] = if sent_again { &[(sent, true)] } else { &[] };
        assert_eq!(published(&packets), expected);
        assert!(packets.iter().any(|packet| matches!(packet, Packet::Pubrel(ack) if ack.id == released)));
        let expected: &[(u64, AttemptResult)] = if sent_again { &[] } else { &[(1, AttemptResult::Lost)] };
        assert_eq!(harness.ends(), expected);
    }
}

#[test]
fn options_change_only_while_no_message_is_in_flight() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let changed = || Options { user: Some("depot".to_owned()), ..options(Version::V5) };
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    assert!(!harness.client.reconfigure(changed()), "a message is in flight");
    harness.reply(Packet::Puback(Ack::new(id, 0)));
    harness.effects();
    assert!(harness.client.reconfigure(changed()));
    assert!(matches!(harness.effects()[..], [Effect::Close { .. }]));
    harness.send(2);
    let connect = harness.connect(false);
    assert_eq!((connect.user.as_deref(), connect.clean), (Some("depot"), true));
}

// Guards against a message that takes effect twice: another connection with the same client identifier began the session
// anew, and the broker says truthfully that a session is present.
#[test]
fn a_session_that_another_connection_takes_over_counts_as_lost() {
    for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
        let mut harness = Harness::new(Version::V5, qos);
        harness.send(1);
        harness.connect(false);
        harness.read_output();
        harness.reply(Packet::Disconnect(Disconnect::new(code::SESSION_TAKEN_OVER)));
        assert_eq!(harness.ends(), [(1, AttemptResult::Lost)]);
        harness.now += 100 * MS;
        harness.client.handle_timeout(harness.now);
        let id = harness.send(2);
        assert!(harness.connect(false).clean, "the session of the other connection is not resumed");
        assert_eq!(published(&harness.read_output()), [(id, false)]);
    }
}

// Guards against a message that takes effect twice: a process that is killed between the two finds packet ids, and no
// record of the resumption, and resumes the session that has begun meanwhile.
#[test]
fn packet_ids_of_a_lost_session_are_freed_before_the_record_of_its_resumption_is_deleted() {
    let mut harness = Harness::new(Version::V5, Qos::ExactlyOnce);
    harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.disconnect_and_wait();
    harness.open();
    harness.effects();
    harness.reply(Packet::Connack(Box::new(Connack::new(0))));
    let effects: Vec<Effect> = std::iter::from_fn(|| harness.client.poll()).collect();
    let position = |of: fn(&Effect) -> bool| effects.iter().position(of).expect("the effect");
    let freed = position(|effect| matches!(effect, Effect::FreePacketId { .. }));
    let cleared = position(|effect| matches!(effect, Effect::ClearResuming));
    assert!(freed < cleared, "{effects:?}");
}

#[test]
fn a_broker_that_redirects_or_refuses_is_not_followed_and_what_waits_never_ran() {
    for (code, end) in [
        (code::USE_ANOTHER_SERVER, AttemptResult::Unsent),
        (code::SERVER_MOVED, AttemptResult::Unsent),
        (code::BAD_USER_OR_PASSWORD, AttemptResult::Unsent),
        (code::SERVER_BUSY, AttemptResult::Busy { wait: None }),
        (code::QUOTA_EXCEEDED, AttemptResult::Busy { wait: None }),
    ] {
        let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
        harness.send(1);
        harness.open();
        let reference = Some("elsewhere.example".to_owned());
        harness.reply(Packet::Connack(Box::new(Connack { reference, ..Connack::new(code) })));
        assert_eq!(harness.ends(), [(1, end)], "0x{code:02X}");
    }
    // PUBLISHes in flight stay unresolved.
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.reply(Packet::Disconnect(Disconnect::new(code::SERVER_MOVED)));
    assert_eq!(harness.ends(), []);
    harness.now += 100 * MS;
    harness.client.handle_timeout(harness.now);
    harness.connect(true);
    assert_eq!(published(&harness.read_output()), [(id, true)]);
}

#[test]
fn what_an_earlier_life_left_open_is_resumed_and_never_published_anew() {
    for version in BOTH {
        let mut harness = Harness::new(version, Qos::ExactlyOnce);
        let (open, released) = (harness.message(1), harness.message(2));
        harness.client.resume(7, open, false, harness.now);
        harness.client.resume(9, released, true, harness.now);
        assert!(!harness.connect(true).clean);
        let again = harness.read_output();
        assert_eq!(published(&again), [(7, true)]);
        assert!(again.contains(&Packet::Pubrel(Ack::new(9, 0))));
        // The PUBCOMP was lost with the earlier process, so a 5.0 broker no longer knows the packet id.
        let code = if version == Version::V5 { code::PACKET_ID_NOT_FOUND } else { code::SUCCESS };
        harness.reply(Packet::Pubcomp(Ack::new(9, code)));
        assert_eq!(harness.client.reserve(), Some(10), "an id that no late acknowledgement can name");
        assert_eq!(harness.ends(), [(2, AttemptResult::Delivered)]);
    }
}

// Of 5.0: MQTT-3.1.2-20, MQTT-3.1.2-21
// Of 3.1.1: MQTT-3.1.2-23
#[test]
fn a_silent_broker_is_pinged_and_then_left() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    let id = harness.send(1);
    harness.connect(false);
    harness.read_output();
    harness.reply(Packet::Puback(Ack::new(id, 0)));
    harness.effects();
    harness.now = harness.client.timeout().expect("the keep alive");
    harness.client.handle_timeout(harness.now);
    assert_eq!(harness.read_output(), [Packet::Pingreq], "[MQTT-3.1.2-20]");
    harness.now = harness.client.timeout().expect("the PINGRESP timeout");
    harness.client.handle_timeout(harness.now);
    assert!(matches!(harness.effects()[..], [Effect::Close { .. }]));
}

#[test]
fn a_message_without_a_connection_in_time_never_ran() {
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    harness.send(1);
    harness.now += 1000 * MS;
    harness.client.handle_timeout(harness.now);
    assert!(harness.ends().contains(&(1, AttemptResult::Unsent)));
    // A message that waits for the Receive Maximum ends as busy, not as a failed connection.
    let mut harness = Harness::new(Version::V5, Qos::AtLeastOnce);
    harness.send(1);
    harness.send(2);
    harness.open();
    harness.reply(Packet::Connack(Box::new(Connack { receive_maximum: 1, ..Connack::new(0) })));
    harness.read_output();
    harness.effects();
    harness.now += 1000 * MS;
    harness.client.handle_timeout(harness.now);
    assert_eq!(harness.ends(), [(2, AttemptResult::Busy { wait: None })]);
}

// Of 5.0: MQTT-3.2.2-11
#[test]
fn a_broker_that_takes_a_lower_quality_gets_nothing_that_needs_more() {
    let mut harness = Harness::new(Version::V5, Qos::ExactlyOnce);
    harness.send(1);
    harness.open();
    let max_qos = Qos::AtLeastOnce;
    harness.reply(Packet::Connack(Box::new(Connack { max_qos, ..Connack::new(0) })));
    assert_eq!(harness.ends(), [(1, AttemptResult::Rejected)]);
    assert_eq!(harness.read_output(), []);
}
