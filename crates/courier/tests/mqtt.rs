//! MQTT intake on real sockets: clients that publish to the courier, with kills, retransmissions, protocol violations, and
//! a third-party client library.

use stairshed_mqtt::packet::{
    Ack, Connect, Disconnect, Packet, Publish, Qos, Subscribe, Version, Will, code,
};
use stairshed_rig::mqtt_client::{MqttClient, persistent_session};
use stairshed_rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

const BOTH_VERSIONS: [Version; 2] = [Version::V311, Version::V5];

/// Configuration of a courier that delivers messages from MQTT topics to an HTTP endpoint.
fn config_text(endpoint: &Endpoint, more: &str) -> String {
    format!(
        "[listen]\nhttp = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
         [classes.state]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
         [classes.short]\neffect = \"repeatable\"\ndeadline = \"300ms\"\naim = \"200ms\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [topics.pay]\nfilter = \"fuel/+/pay\"\npool = \"p\"\nclass = \"payment\"\nidentity_scope = \"all\"\n\
         identity = {{ pointer = \"/id\" }}\nrewrite.path = \"/charge/{{1}}\"\n\
         [topics.state]\nfilter = \"state/#\"\npool = \"p\"\nclass = \"state\"\n\
         [topics.short]\nfilter = \"short\"\npool = \"p\"\nclass = \"short\"\n\
         {more}",
        endpoint.address
    )
}

fn payment_body(id: &str) -> String {
    format!("{{\"id\": \"{id}\", \"amount\": 42}}")
}

/// Reads the next PUBACK.
fn puback(publisher: &mut MqttClient) -> Ack {
    match publisher.next_ack() {
        Some(Packet::Puback(ack)) => ack,
        other => panic!("{other:?}"),
    }
}

/// Number of calls for a message at the endpoint.
fn call_count(endpoint: &Endpoint, id: &str) -> usize {
    endpoint.ids().iter().filter(|i| *i == id).count()
}

#[test]
fn what_is_published_is_taken_on_delivered_and_its_client_told() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    for (n, version) in BOTH_VERSIONS.into_iter().enumerate() {
        let client = format!("van-{n}");
        let (mut publisher, connack) = MqttClient::connect(courier.mqtt(), Connect::new(version, &client));
        assert_eq!(connack.code, 0);
        publisher.read_outcomes(&client);
        let one = format!("q1-{n}");
        assert_eq!(publisher.submit("fuel/7/pay", 1, &payment_body(&one), &[]), Some(0));
        assert_eq!(publisher.outcome(), (one.clone(), "delivered".to_owned()));
        let call = endpoint.calls().into_iter().find(|c| c.id == one).expect("a call").page;
        assert!(call.start_line.starts_with("POST /charge/7 "), "{}", call.start_line);
        assert_eq!(call.header("idempotency-key"), Some(one.as_str()));
        assert_eq!(call.body, payment_body(&one).as_bytes());
        let two = format!("q2-{n}");
        publisher.publish("fuel/7/pay", Qos::ExactlyOnce, Some(2), &payment_body(&two), &[]);
        assert_eq!(publisher.next_ack(), Some(Packet::Pubrec(Ack::new(2, 0))));
        publisher.send(Packet::Pubrel(Ack::new(2, 0)));
        assert_eq!(publisher.next_ack(), Some(Packet::Pubcomp(Ack::new(2, 0))));
        wait_until("the delivery", || call_count(&endpoint, &two) == 1);
        // At QoS 0 the client may disconnect at once.
        let none = format!("q0-{n}");
        publisher.publish("fuel/7/pay", Qos::AtMostOnce, None, &payment_body(&none), &[]);
        publisher.send(Packet::Disconnect(Disconnect::new(0)));
        wait_until("the delivery", || call_count(&endpoint, &none) == 1);
    }
}

#[test]
fn a_client_that_publishes_again_causes_no_second_charge_whatever_broke_between() {
    for version in BOTH_VERSIONS {
        let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
        let folder = TestFolder::new();
        let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
        let (mut publisher, _) = MqttClient::connect(courier.mqtt(), persistent_session(version, "van"));
        publisher.read_outcomes("van");
        publisher.publish("fuel/7/pay", Qos::AtLeastOnce, Some(1), &payment_body("p1"), &[]);
        wait_until("the delivery", || call_count(&endpoint, "p1") == 1);
        // The PUBACK may have been lost with the connection.
        publisher.cut();
        let (mut publisher, connack) =
            MqttClient::connect(courier.mqtt(), persistent_session(version, "van"));
        assert!(connack.session_present);
        let publish = Publish::new("fuel/7/pay", Qos::AtLeastOnce, Some(1), payment_body("p1").into());
        publisher.send(Packet::Publish(Box::new(Publish { dup: true, ..publish.clone() })));
        assert_eq!(
            publisher.next_ack(),
            Some(Packet::Puback(Ack::new(1, 0))),
            "with DUP and the same packet id"
        );
        assert_eq!(
            publisher.submit("fuel/7/pay", 77, &payment_body("p1"), &[]),
            Some(0),
            "under another packet id, without DUP"
        );
        courier.kill();
        let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
        let (mut publisher, connack) =
            MqttClient::connect(courier.mqtt(), persistent_session(version, "van"));
        assert!(connack.session_present, "the session is kept over a restart");
        publisher.send(Packet::Publish(Box::new(Publish { dup: true, ..publish })));
        assert_eq!(publisher.next_ack(), Some(Packet::Puback(Ack::new(1, 0))));
        // Another client and HTTP: the message's identity applies across all clients.
        let (mut other, _) = MqttClient::connect(courier.mqtt(), Connect::new(version, "other"));
        assert_eq!(other.submit("fuel/7/pay", 1, &payment_body("p1"), &[]), Some(0));
        assert_eq!(publisher.submit("fuel/7/pay", 2, &payment_body("p2"), &[]), Some(0));
        wait_until("the other message", || call_count(&endpoint, "p2") == 1);
        assert_eq!(call_count(&endpoint, "p1"), 1, "{version:?}");
    }
}

#[test]
fn killed_between_publish_and_pubcomp_every_charge_lands_once() {
    for version in BOTH_VERSIONS {
        let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
        let folder = TestFolder::new();
        let mut ids = Vec::new();
        for n in 0..6u16 {
            let id = format!("{version:?}-{n}");
            let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
            let (mut publisher, _) = MqttClient::connect(courier.mqtt(), persistent_session(version, "van"));
            let publish =
                Publish::new("fuel/7/pay", Qos::ExactlyOnce, Some(10 + n), payment_body(&id).into());
            publisher.send(Packet::Publish(Box::new(publish.clone())));
            // Kills the courier at once, after PUBREC, and after PUBREL.
            if n % 3 > 0 {
                assert_eq!(publisher.next_ack(), Some(Packet::Pubrec(Ack::new(10 + n, 0))));
            }
            if n % 3 > 1 {
                publisher.send(Packet::Pubrel(Ack::new(10 + n, 0)));
            }
            courier.kill();
            let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
            let (mut publisher, connack) =
                MqttClient::connect(courier.mqtt(), persistent_session(version, "van"));
            assert!(connack.session_present || n == 0, "{id}");
            if n % 3 < 2 {
                // With or without PUBREC, the same packet may be sent again before PUBREL was sent.
                publisher.send(Packet::Publish(Box::new(Publish { dup: true, ..publish })));
                assert_eq!(publisher.next_ack(), Some(Packet::Pubrec(Ack::new(10 + n, 0))), "{id}");
            }
            publisher.send(Packet::Pubrel(Ack::new(10 + n, 0)));
            let Some(Packet::Pubcomp(ack)) = publisher.next_ack() else { panic!("{id}: no PUBCOMP") };
            assert!(ack.code == 0 || ack.code == code::PACKET_ID_NOT_FOUND, "{id}: {ack:?}");
            courier.kill();
            ids.push(id);
        }
        let _courier = Courier::serve(&folder, &config_text(&endpoint, ""));
        // A call in flight at the kill may have run: its message ends as dead and is not sent again.
        let dead = |id: &str| outcomes(&folder).iter().any(|(i, result)| i == id && result == "dead");
        wait_until("the outcome of every message", || {
            ids.iter().all(|id| call_count(&endpoint, id) == 1 || dead(id))
        });
        assert!(ids.iter().all(|id| call_count(&endpoint, id) <= 1), "{:?}", endpoint.ids());
    }
}

#[test]
fn a_refusal_says_when_to_come_again_or_is_a_bounce_on_record() {
    // The endpoint answers nothing, so held messages grow to their limit.
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, "[limits]\nheld = 5\n"));
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "a"));
    for id in 1..=8u16 {
        publisher.publish("state/x", Qos::AtLeastOnce, Some(id), "s", &[]);
    }
    let acks: Vec<Ack> = (0..8).map(|_| puback(&mut publisher)).collect();
    let refused: Vec<&Ack> = acks.iter().filter(|a| a.code != 0).collect();
    assert!(!refused.is_empty() && refused.len() < 8, "{acks:?}");
    for ack in refused {
        assert_eq!(ack.code, code::QUOTA_EXCEEDED);
        let (name, value) = &ack.properties[0];
        assert!(name == "retry-after" && value.parse::<f64>().is_ok_and(|s| s > 0.0), "{ack:?}");
        assert!(ack.reason.is_some());
    }
    // 3.1.1: a client that reads no outcomes is disconnected; one that reads them has its message bounced.
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V311, "b"));
    assert_eq!(publisher.submit("state/x", 1, "s", &[]), None);
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), persistent_session(Version::V311, "c"));
    publisher.read_outcomes("c");
    assert_eq!(publisher.submit("state/x", 1, "s", &[]), Some(0));
    let (id, result) = publisher.outcome();
    assert_eq!(result, "bounced");
    assert_eq!(call_count(&endpoint, &id), 0);
    // A message that matches no route is reported as such.
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "d"));
    assert_eq!(publisher.submit("nowhere", 1, "s", &[]), Some(code::TOPIC_NAME_INVALID));
    assert_eq!(publisher.submit("fuel/7/pay", 2, "no identity", &[]), Some(code::PAYLOAD_FORMAT_INVALID));
}

// Of 3.1.1: MQTT-3.1.2-5
#[test]
fn a_client_hears_of_an_end_that_came_while_it_or_the_courier_was_away() {
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, "van"));
    publisher.read_outcomes("van");
    assert_eq!(publisher.submit("short", 1, "s", &[]), Some(0));
    publisher.cut();
    wait_until("the outcome", || !outcomes(&folder).is_empty());
    courier.kill();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let (mut publisher, connack) =
        MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, "van"));
    assert!(connack.session_present);
    assert_eq!(publisher.outcome().1, "bounced");
    assert!(publisher.receives_nothing_for(300 * MS), "the outcome is reported once");
}

// Of 5.0: MQTT-3.1.4-2
#[test]
fn only_users_of_the_file_may_connect() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let mut password_command = Command::new(program())
        .args(["mqtt-password", "van"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    password_command.stdin.take().expect("the standard input").write_all(b"secret\n").expect("written");
    let line = password_command.wait_with_output().expect("the command exits").stdout;
    std::fs::write(folder.0.join("users"), line).expect("written");
    let courier = Courier::serve(&folder, &config_text(&endpoint, "[mqtt]\nusers = \"users\"\n"));
    let with = |version, user: Option<&str>, password: &str| Connect {
        user: user.map(str::to_owned),
        password: user.map(|_| password.to_owned().into()),
        ..Connect::new(version, "c")
    };
    for version in BOTH_VERSIONS {
        let refused = if version == Version::V5 { code::BAD_USER_OR_PASSWORD } else { 4 };
        for (user, password, wanted) in [
            (None, "", refused),
            (Some("van"), "wrong", refused),
            (Some("no"), "secret", refused),
            (Some("van"), "secret", 0),
        ] {
            let (_, connack) = MqttClient::connect(courier.mqtt(), with(version, user, password));
            assert_eq!(connack.code, wanted, "{user:?} {password}");
        }
    }
}

#[test]
fn a_will_is_delivered_when_its_client_is_gone_also_over_a_kill() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let connect = |id: &str| {
        let will = Will { qos: Qos::AtLeastOnce, ..Will::new("fuel/7/pay", payment_body(id).into()) };
        Connect { will: Some(will), ..Connect::new(Version::V311, id) }
    };
    let (publisher, _) = MqttClient::connect(courier.mqtt(), connect("w1"));
    publisher.cut();
    wait_until("the delivery of the will", || call_count(&endpoint, "w1") == 1);
    let (_publisher, connack) = MqttClient::connect(courier.mqtt(), connect("w2"));
    assert_eq!(connack.code, 0);
    courier.kill();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    wait_until("the delivery of the will of the client that was connected", || {
        call_count(&endpoint, "w2") == 1
    });
    // A will that could not become a message is refused together with its connection.
    let mut bad = connect("w3");
    bad.will.as_mut().expect("a will").topic = "nowhere".to_owned();
    let (_, connack) = MqttClient::connect(courier.mqtt(), bad);
    assert_eq!(connack.code, 5);
    let mut no_id = connect("w4");
    no_id.will.as_mut().expect("a will").payload = "{}".into();
    let (_, connack) = MqttClient::connect(courier.mqtt(), no_id);
    assert_eq!(connack.code, 5);
}

// Of 3.1.1: MQTT-3.3.2-2
#[test]
fn bad_manners_cost_a_connection_and_nobody_else_anything() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, "[mqtt]\nconnections = 50\n"));
    let connected = |version| MqttClient::connect(courier.mqtt(), Connect::new(version, "bad")).0;
    for version in BOTH_VERSIONS {
        for bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            b"\xc0\x00",
            b"\x10\xff\xff\xff\x7f",
            b"\x10\xff\xff\xff\xff\xff",
            b"\x10\x0c\x00\x04MQTT\x04\x03\x00\x3c\x00\x00",
        ] {
            let mut bad = MqttClient::open(courier.mqtt(), version);
            bad.send_bytes(bytes);
            while bad.receive().is_some() {}
        }
        for bytes in [
            &b"\x30\xff\xff\xff\x7f"[..],
            b"\x30\x06\x00\x03a/+x",
            b"\x30\x05\x00\x03a\x00b",
            b"\x30\x04\x00\x02\xff\xfe",
            b"\x36\x00",
            b"\x00",
        ] {
            let mut bad = connected(version);
            bad.send_bytes(bytes);
            while bad.receive().is_some() {}
        }
        let mut bad = connected(version);
        bad.send(Packet::Connect(Box::new(Connect::new(version, "bad"))));
        while bad.receive().is_some() {}
        let mut bad = connected(version);
        let filters = vec![("#".to_owned(), Qos::AtMostOnce)];
        bad.send(Packet::Subscribe(Subscribe { id: 1, has_subscription_id: false, filters }));
        let Some(Packet::Suback { codes, .. }) = bad.next_ack() else { panic!("no SUBACK") };
        assert!(codes[0] >= 0x80);
    }
    // Hundreds of connections that send nothing: a client that sends CONNECT is accepted.
    let silent: Vec<MqttClient> = (0..300).map(|_| MqttClient::open(courier.mqtt(), Version::V5)).collect();
    let (mut publisher, connack) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "good"));
    assert_eq!(connack.code, 0);
    assert_eq!(publisher.submit("fuel/7/pay", 1, &payment_body("good"), &[]), Some(0));
    drop(silent);
    wait_until("the delivery", || call_count(&endpoint, "good") == 1);
}

#[test]
fn payloads_that_are_being_judged_have_one_room_for_all() {
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, "[limits]\nbodies = \"100KiB\"\n"));
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "van"));
    let body = "x".repeat(60 * 1024);
    assert_eq!(publisher.submit("state/x", 1, &body, &[]), Some(0));
    // A request over HTTP whose body does not come to its end holds memory for it until it is given up.
    let mut half = TcpStream::connect(courier.address).expect("a connection");
    half.write_all(&request("/state", "half", "", &body).as_bytes()[..40_000]).expect("sent");
    let mut id = 1;
    wait_until("the refusal of a payload", || {
        id += 1;
        publisher.submit("state/x", id, &body, &[]) == Some(code::QUOTA_EXCEEDED)
    });
    wait_until("free space for payloads", || publisher.submit("state/x", 60_000, &body, &[]) == Some(0));
}

#[test]
fn the_end_of_the_courier_is_told_and_what_was_taken_on_is_delivered_by_the_next() {
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let folder = TestFolder::new();
    let mut courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), persistent_session(Version::V5, "van"));
    assert_eq!(publisher.submit("state/x", 1, "s", &[]), Some(0));
    courier.signal("-TERM");
    match publisher.next_ack() {
        Some(Packet::Disconnect(d)) => assert_eq!(d.code, code::SERVER_SHUTTING_DOWN),
        other => panic!("{other:?}"),
    }
    assert_eq!(courier.exit(), 0);
}

#[test]
fn topics_come_and_go_with_the_configuration() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let (mut publisher, _) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, "van"));
    assert_eq!(publisher.submit("new/x", 1, "s", &[]), Some(code::TOPIC_NAME_INVALID));
    let added_topic = "[topics.new]\nfilter = \"new/#\"\npool = \"p\"\nclass = \"state\"\n";
    courier.replace_config_file(&folder, &config_text(&endpoint, added_topic));
    wait_until("the new topic", || publisher.submit("new/x", 2, "s", &[]) == Some(0));
}

#[test]
fn a_library_of_somebody_else_s_publishes_and_reads_its_outcomes_unmodified() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let (host, port) = (courier.mqtt().ip().to_string(), courier.mqtt().port());
    // 3.1.1
    let mut options = rumqttc::MqttOptions::new("lib-3", host.clone(), port);
    options.set_keep_alive(Duration::from_secs(5)).set_clean_session(false);
    let (client, mut connection) = rumqttc::Client::new(options, 10);
    client.subscribe("$stairshed/outcomes/lib-3", rumqttc::QoS::AtLeastOnce).expect("subscribed");
    for (n, qos) in [rumqttc::QoS::AtMostOnce, rumqttc::QoS::AtLeastOnce, rumqttc::QoS::ExactlyOnce]
        .into_iter()
        .enumerate()
    {
        client.publish("fuel/7/pay", qos, false, payment_body(&format!("lib-3-{n}"))).expect("published");
    }
    let (mut outcome_count, mut completed) = (0, false);
    for event in connection.iter() {
        match event.expect("the connection holds") {
            rumqttc::Event::Incoming(rumqttc::Packet::Publish(publish)) => {
                assert_eq!(publish.topic, "$stairshed/outcomes/lib-3");
                outcome_count += 1;
            }
            rumqttc::Event::Incoming(rumqttc::Packet::PubComp(_)) => completed = true,
            _ => {}
        }
        if outcome_count == 3 && completed {
            break;
        }
    }
    // 5.0
    let mut options = rumqttc::v5::MqttOptions::new("lib-5", host, port);
    options.set_keep_alive(Duration::from_secs(5));
    let (client, mut connection) = rumqttc::v5::Client::new(options, 10);
    use rumqttc::v5::mqttbytes::QoS as Qos5;
    client.subscribe("$stairshed/outcomes/lib-5", Qos5::AtLeastOnce).expect("subscribed");
    for (n, qos) in [Qos5::AtMostOnce, Qos5::AtLeastOnce, Qos5::ExactlyOnce].into_iter().enumerate() {
        client.publish("fuel/7/pay", qos, false, payment_body(&format!("lib-5-{n}"))).expect("published");
    }
    let (mut outcome_count, mut completed) = (0, false);
    for event in connection.iter() {
        use rumqttc::v5::mqttbytes::v5::Packet;
        match event.expect("the connection holds") {
            rumqttc::v5::Event::Incoming(Packet::Publish(_)) => outcome_count += 1,
            rumqttc::v5::Event::Incoming(Packet::PubComp(_)) => completed = true,
            _ => {}
        }
        if outcome_count == 3 && completed {
            break;
        }
    }
    for version in [3, 5] {
        for n in 0..3 {
            let id = format!("lib-{version}-{n}");
            wait_until("each delivery", || call_count(&endpoint, &id) == 1);
        }
    }
}

// Guards against a client that is taken for silent, and whose will is sent, though its packet has arrived: the process was
// held up between two looks at its sockets.
#[test]
fn client_whose_packet_has_arrived_is_not_taken_for_silent() {
    /// One and a half times the keep alive of a second.
    const KEEP_ALIVE_LIMIT: Duration = Duration::from_millis(1_500);
    const MARGIN: Duration = Duration::from_millis(150);
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, "[mqtt]\nwills = \"deliver\"\n"));
    for (number, version) in BOTH_VERSIONS.into_iter().enumerate() {
        let id = format!("alive-{number}");
        let will = Will { qos: Qos::AtLeastOnce, ..Will::new("fuel/7/pay", payment_body(&id).into()) };
        let connect = Connect { keep_alive: 1, will: Some(will), ..Connect::new(version, &id) };
        let (mut client, connack) = MqttClient::connect(courier.mqtt(), connect);
        assert_eq!(connack.code, 0);
        std::thread::sleep(KEEP_ALIVE_LIMIT - MARGIN);
        courier.signal("-STOP");
        client.send(Packet::Pingreq);
        std::thread::sleep(2 * MARGIN);
        courier.signal("-CONT");
        let answer = client.receive();
        assert!(matches!(answer, Some(Packet::Pingresp)), "{version:?}: {answer:?}");
        assert_eq!(call_count(&endpoint, &id), 0, "the will of a client that is connected");
        client.send(Packet::Disconnect(Disconnect::new(0)));
    }
}

// Guards against the same for a CONNECT that arrives before its time is up.
#[test]
fn connect_that_has_arrived_is_answered() {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
    const MARGIN: Duration = Duration::from_millis(100);
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config_text(&endpoint, ""));
    let mut client = MqttClient::open(courier.mqtt(), Version::V5);
    std::thread::sleep(CONNECT_TIMEOUT - MARGIN);
    courier.signal("-STOP");
    client.send(Packet::Connect(Box::new(Connect::new(Version::V5, "late"))));
    std::thread::sleep(2 * MARGIN);
    courier.signal("-CONT");
    let answer = client.receive();
    assert!(matches!(answer, Some(Packet::Connack(_))), "{answer:?}");
}
