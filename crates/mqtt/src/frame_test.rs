use super::*;
use crate::packet::{Ack, Connack, Connect, Disconnect, Publish, Qos, Subscribe, Will};
use bytes::Bytes;

fn all(version: Version) -> Vec<Packet> {
    let will = Will { qos: Qos::AtLeastOnce, ..Will::new("gone", Bytes::from_static(b"w")) };
    let connect = Connect {
        keep_alive: 30,
        user: Some("u".to_owned()),
        password: Some(Bytes::from_static(b"p")),
        will: Some(will),
        request_problem_info: version == Version::V5,
        ..Connect::new(version, "c-1")
    };
    let publish = Publish::new("a/b", Qos::ExactlyOnce, Some(7), Bytes::from_static(b"body"));
    let mut v5 = publish.clone();
    if version == Version::V5 {
        v5.expiry = Some(9);
        v5.utf8 = true;
        v5.properties = vec![("id".to_owned(), "m-1".to_owned()); 2];
    }
    let unsuback = if version == Version::V5 { vec![0, 17] } else { Vec::new() };
    vec![
        Packet::Connect(Box::new(connect)),
        Packet::Connack(Box::new(Connack { session_present: true, ..Connack::new(0) })),
        Packet::Publish(Box::new(publish)),
        Packet::Publish(Box::new(v5)),
        Packet::Publish(Box::new(Publish::new("a", Qos::AtMostOnce, None, Bytes::new()))),
        Packet::Puback(Ack::new(1, 0)),
        Packet::Pubrec(Ack::new(2, 0)),
        Packet::Pubrel(Ack::new(3, 0)),
        Packet::Pubcomp(Ack::new(65535, 0)),
        Packet::Subscribe(Subscribe {
            id: 4,
            has_subscription_id: false,
            filters: vec![("a/+".to_owned(), Qos::AtLeastOnce), ("#".to_owned(), Qos::ExactlyOnce)],
        }),
        Packet::Suback { id: 4, codes: vec![1, 0x80], reason: None },
        Packet::Unsubscribe { id: 5, filters: vec!["a".to_owned(), "b".to_owned()] },
        Packet::Unsuback { id: 5, codes: unsuback },
        Packet::Pingreq,
        Packet::Pingresp,
        Packet::Disconnect(Disconnect::new(0)),
    ]
}

fn write(version: Version, packet: &Packet) -> Vec<u8> {
    encode(version, packet.clone(), None).expect("written").to_vec()
}

// Of 5.0: MQTT-2.2.1-2, MQTT-2.2.2-1, MQTT-3.1.2-9, MQTT-3.1.2-16, MQTT-3.1.2-17, MQTT-3.1.2-18,
// MQTT-3.1.2-19, MQTT-3.1.3-1, MQTT-3.1.3-3, MQTT-3.1.3-10, MQTT-3.2.2-1, MQTT-3.3.2-1, MQTT-4.3.1-1
// Of 3.1.1: MQTT-2.3.1-5, MQTT-3.1.2-9, MQTT-3.1.2-18, MQTT-3.1.2-19, MQTT-3.1.2-20, MQTT-3.1.2-21,
// MQTT-3.1.3-1, MQTT-3.1.3-3, MQTT-3.3.2-1, MQTT-4.3.1-1
#[test]
fn each_packet_reads_back_whatever_pieces_it_comes_in() {
    for version in [Version::V311, Version::V5] {
        for size in [1, 3, 1000] {
            let mut reader = Reader::client(version, 1 << 20);
            let bytes: Vec<u8> = all(version).iter().flat_map(|p| write(version, p)).collect();
            let mut read = Vec::new();
            for piece in bytes.chunks(size) {
                reader.push(piece);
                while let Some(packet) = reader.packet().expect("sound") {
                    read.push(packet);
                }
            }
            assert_eq!(read, all(version));
            assert_eq!(reader.buffered_bytes(), 0);
        }
    }
}

#[test]
fn a_packet_that_is_cut_short_or_longer_than_it_says_is_never_read_as_another() {
    for version in [Version::V311, Version::V5] {
        for packet in all(version) {
            let whole = write(version, &packet);
            for cut in 0..whole.len() {
                let mut reader = Reader::client(version, 1 << 20);
                reader.push(&whole[..cut]);
                assert_eq!(reader.packet(), Ok(None), "{packet:?} cut at {cut}");
            }
        }
    }
}

/// Reason code for these bytes as the first packet of a connection to a server.
fn refused(bytes: &[u8]) -> u8 {
    let mut reader = Reader::server(1000);
    reader.push(bytes);
    reader.packet().expect_err("refused").code
}

/// The same for bytes that follow a CONNECT.
fn refused_later(version: Version, bytes: &[u8]) -> u8 {
    let mut reader = Reader::server(1000);
    reader.push(&write(version, &Packet::Connect(Box::new(Connect::new(version, "c")))));
    reader.packet().expect("sound").expect("whole");
    reader.push(bytes);
    reader.packet().expect_err(&format!("{bytes:02x?}")).code
}

// Of 5.0: MQTT-3.1.0-1, MQTT-3.1.2-1, MQTT-3.1.2-2, MQTT-3.1.2-3, MQTT-3.1.2-11, MQTT-3.1.2-12,
// MQTT-3.1.2-13, MQTT-3.1.4-6
// Of 3.1.1: MQTT-3.1.0-1, MQTT-3.1.2-1, MQTT-3.1.2-2, MQTT-3.1.2-3, MQTT-3.1.2-11, MQTT-3.1.2-13,
// MQTT-3.1.2-14, MQTT-3.1.2-15, MQTT-3.1.2-22, MQTT-3.1.3-7, MQTT-3.1.3-8, MQTT-3.1.4-1, MQTT-3.1.4-5
#[test]
fn what_is_no_connect_at_the_head_is_refused() {
    assert_eq!(refused(b"\xc0\x00"), code::PROTOCOL_ERROR);
    assert_eq!(refused(b"\x00\x00"), code::MALFORMED_PACKET);
    assert_eq!(refused(b"GET / HTTP/1.1\r\n"), code::MALFORMED_PACKET);
    // [MQTT-3.1.2-1] [MQTT-3.1.2-2]
    assert_eq!(refused(b"\x10\x0c\x00\x04MQTX\x04\x02\x00\x3c\x00\x00"), code::UNSUPPORTED_VERSION);
    assert_eq!(refused(b"\x10\x0c\x00\x04MQTT\x06\x02\x00\x3c\x00\x00"), code::UNSUPPORTED_VERSION);
    // [MQTT-3.1.2-3]; will flags without a will: [MQTT-3.1.2-11] [MQTT-3.1.2-13] [MQTT-3.1.2-15]
    for flags in [0x03u8, 0x0a, 0x22, 0x42] {
        let connect = [b"\x10\x0c\x00\x04MQTT\x04", &[flags][..], b"\x00\x3c\x00\x00"].concat();
        assert_eq!(refused(&connect), code::MALFORMED_PACKET, "{flags:02x}");
    }
    // [MQTT-3.1.3-8] of 3.1.1: empty client id without a clean session.
    assert_eq!(refused(b"\x10\x0c\x00\x04MQTT\x04\x00\x00\x3c\x00\x00"), code::CLIENT_ID_NOT_VALID);
}

#[test]
fn lengths_that_lie_cost_no_memory() {
    // 256 MB declared, section 2.1.4.
    assert_eq!(refused(b"\x10\xff\xff\xff\x7f"), code::PACKET_TOO_LARGE);
    // [MQTT-1.5.5-1]
    assert_eq!(refused(b"\x10\xff\xff\xff\xff\x01"), code::MALFORMED_PACKET);
    for version in [Version::V311, Version::V5] {
        assert_eq!(refused_later(version, b"\x30\xff\x7f"), code::PACKET_TOO_LARGE);
        // A topic length beyond the end of the packet.
        assert_eq!(refused_later(version, b"\x30\x04\x00\x09ab"), code::MALFORMED_PACKET);
    }
}

// Of 5.0: MQTT-1.5.4-1, MQTT-1.5.4-2, MQTT-1.5.7-1, MQTT-2.1.3-1, MQTT-3.1.3-4, MQTT-3.1.3-11, MQTT-3.1.3-12,
// MQTT-3.3.1-2, MQTT-3.3.1-4, MQTT-3.3.2-8, MQTT-3.6.1-1, MQTT-3.8.1-1, MQTT-3.8.3-1, MQTT-3.8.3-2,
// MQTT-3.8.3-5, MQTT-3.10.1-1, MQTT-3.10.3-1, MQTT-3.10.3-2, MQTT-3.14.1-1, MQTT-4.7.3-1, MQTT-4.7.3-2
// Of 3.1.1: MQTT-1.5.3-1, MQTT-1.5.3-2, MQTT-2.2.2-1, MQTT-2.2.2-2, MQTT-2.3.1-1, MQTT-3.1.3-4,
// MQTT-3.1.3-10, MQTT-3.1.3-11, MQTT-3.3.1-2, MQTT-3.3.1-4, MQTT-3.6.1-1, MQTT-3.8.1-1, MQTT-3.8.3-1,
// MQTT-3.8.3-3, MQTT-3.8.3-4, MQTT-3.10.1-1, MQTT-3.10.3-1, MQTT-3.10.3-2, MQTT-3.14.1-1, MQTT-4.7.3-1,
// MQTT-4.7.3-2
#[test]
fn what_the_codec_lets_pass_is_refused_here() {
    for version in [Version::V311, Version::V5] {
        for bad in [
            // [MQTT-2.1.3-1] reserved flags
            &b"\x41\x02\x00\x01"[..],
            b"\x60\x02\x00\x01",
            b"\x80\x02\x00\x01",
            b"\xc1\x00",
            // [MQTT-3.3.1-4] QoS 3; [MQTT-3.3.1-2] DUP at QoS 0
            b"\x36\x05\x00\x01a\x00\x01",
            b"\x38\x04\x00\x01a\x00",
            // [MQTT-2.2.1-3] packet id 0
            b"\x32\x06\x00\x01a\x00\x00\x00",
            // [MQTT-1.5.4-1] invalid UTF-8, [MQTT-1.5.4-2] U+0000
            b"\x30\x04\x00\x01\xff\x00",
            b"\x30\x05\x00\x02a\x00\x00",
            b"\xc0\x01\x00",
            // no filter [MQTT-3.8.3-2], [MQTT-3.10.3-2]
            b"\x82\x03\x00\x01\x00",
            b"\xa2\x03\x00\x01\x00",
        ] {
            assert_eq!(refused_later(version, bad), code::MALFORMED_PACKET, "{bad:02x?}");
        }
    }
    // 3.1.1: [MQTT-3.8.3-4] reserved bits of a requested QoS, a DISCONNECT with a body, AUTH
    for bad in [&b"\x82\x06\x00\x01\x00\x01a\x04"[..], b"\xe0\x01\x00", b"\xf0\x00"] {
        assert_eq!(refused_later(Version::V311, bad), code::MALFORMED_PACKET, "{bad:02x?}");
    }
    // 5.0: a duplicate property, a property that this packet may not have, a topic alias of 0
    for bad in [
        &b"\x30\x0e\x00\x01a\x0a\x02\x00\x00\x00\x01\x02\x00\x00\x00\x01"[..],
        b"\x30\x06\x00\x01a\x02\x24\x01",
        b"\x30\x07\x00\x01a\x03\x23\x00\x00",
    ] {
        assert_eq!(refused_later(Version::V5, bad), code::MALFORMED_PACKET, "{bad:02x?}");
    }
}

// Of 5.0: MQTT-3.1.2-24, MQTT-3.1.2-25, MQTT-3.1.2-29, MQTT-3.2.2-15, MQTT-3.2.2-19, MQTT-3.2.2-20,
// MQTT-3.4.2-2, MQTT-3.4.2-3, MQTT-3.5.2-2, MQTT-3.5.2-3, MQTT-3.6.2-2, MQTT-3.6.2-3, MQTT-3.7.2-2,
// MQTT-3.7.2-3, MQTT-3.9.2-1, MQTT-3.9.2-2, MQTT-3.11.2-1, MQTT-3.11.2-2, MQTT-3.14.2-3, MQTT-3.14.2-4
#[test]
fn what_may_be_left_out_is_left_out_where_the_other_side_takes_less() {
    let ack = Ack { reason: Some("x".repeat(100)), ..Ack::new(3, code::QUOTA_EXCEEDED) };
    let whole = encode(Version::V5, Packet::Puback(ack.clone()), None).expect("written");
    assert!(whole.len() > 100);
    // [MQTT-3.4.2-2]
    let short = encode(Version::V5, Packet::Puback(ack.clone()), Some(20)).expect("written");
    assert!(short.len() <= 20);
    // [MQTT-3.1.2-24]; a limit so small that it makes the codec underflow.
    for most in 1..5 {
        let error = encode(Version::V5, Packet::Puback(ack.clone()), Some(most)).expect_err("too long");
        assert_eq!(error.code, code::PACKET_TOO_LARGE);
    }
}
