//! Connections that are rejected because their memory share is used up, on real sockets: every client gets the reason and
//! a time to retry, however it sends its request, and a flood of connections exhausts neither the courier's descriptors nor
//! the service for other clients.

use serde_json::Value;
use stairshed_mqtt::encode;
use stairshed_mqtt::packet::{Connect, Packet, Version, code};
use stairshed_rig::mqtt_client::MqttClient;
use stairshed_rig::process_stats::open_descriptors;
use stairshed_rig::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

fn file(endpoint: &Endpoint, memory: &str) -> String {
    format!(
        "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [memory]\n{memory}\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n",
        endpoint.address
    )
}

/// Starts a courier with these memory settings in a folder of its own, and the endpoint that it delivers to.
fn serve(memory: &str) -> (Endpoint, TestFolder, Courier) {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let courier = Courier::serve(&folder, &file(&endpoint, memory));
    (endpoint, folder, courier)
}

fn pay(id: &str, body: &str) -> String {
    request("/pay", id, "", body)
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    stream
}

/// Reads an answer; `None` if the connection ended without one.
fn answer(stream: &TcpStream) -> Option<HttpMessage> {
    HttpMessage::read(&mut BufReader::new(stream))
}

fn assert_rejected(page: &HttpMessage, reason: &str) -> Duration {
    let text = String::from_utf8_lossy(&page.body).into_owned();
    assert_eq!((page.status(), page.header("X-Reason")), (503, Some(reason)), "{text}");
    assert!(text.starts_with("not taken on: ") && text.ends_with('\n'), "{text}");
    let wait: f64 = page.header("Retry-After").and_then(|w| w.parse().ok()).expect("when to come back");
    assert!((0.05..=60.0).contains(&wait), "{wait}");
    Duration::from_secs_f64(wait)
}

/// Opens connections from 127.0.0.1 until its share of the memory is used up and one more is rejected.
fn fill_share(courier: &Courier) -> Vec<TcpStream> {
    let mut all = Vec::new();
    loop {
        let mut stream = connect(courier.address);
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
        if answer(&stream).expect("an answer").status() != 200 {
            return all;
        }
        all.push(stream);
        assert!(all.len() < 500, "never rejected");
    }
}

const SMALL_MEMORY: &str = "clients = \"2MB\"\nclient_share = 0.5";

fn rejected_count(courier: &Courier, reason: &str, how: &str) -> u64 {
    courier.page("/-/memory")["turned_away"][reason][how].as_u64().unwrap_or_default()
}

#[test]
fn every_request_of_64_connections_at_24_mb_has_its_answer() {
    let (_endpoint, _folder, courier) = serve("total = \"24MB\"");
    let mut told = 0;
    for round in 0..env_or("STAIRSHED_ROUNDS", 100) {
        let body = "x".repeat(if round % 2 == 0 { 1024 } else { 32 * 1024 });
        let mut all: Vec<TcpStream> = (0..64).map(|_| connect(courier.address)).collect();
        for (n, stream) in all.iter_mut().enumerate() {
            stream.write_all(pay(&format!("r{round}-{n}"), &body).as_bytes()).expect("sent whole");
        }
        for (n, stream) in all.iter().enumerate() {
            let page = answer(stream).unwrap_or_else(|| panic!("round {round}: no answer on connection {n}"));
            if page.status() != 202 {
                let reason = page.header("X-Reason").expect("a reason").to_owned();
                assert_rejected(&page, &reason);
                told += usize::from(reason == "share-clients");
            }
        }
    }
    assert!(told > 0, "none was rejected, so the test shows nothing");
    courier.wait_for_log("clients: connections turned away: share-clients (");
}

#[test]
fn a_rejected_payment_is_accepted_when_it_is_retried_and_runs_once() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    // The repeat may come after the delivery, and without `remember` the id would then be new.
    let remembering = "effect = \"once\"\nremember = \"1h\"";
    let file = file(&endpoint, SMALL_MEMORY).replace("effect = \"once\"", remembering);
    let courier = Courier::serve(&folder, &file);
    let share_holders = fill_share(&courier);
    let mut stream = connect(courier.address);
    stream.write_all(pay("p-1", "42 EUR").as_bytes()).expect("sent");
    let wait = assert_rejected(&answer(&stream).expect("an answer"), "share-clients");
    assert_eq!(stream.read(&mut [0; 8]).ok(), Some(0), "the connection ends without a reset");
    drop(share_holders);
    thread::sleep(wait);
    wait_until("it is accepted", || {
        post(courier.address, "/pay", "p-1", "", "42 EUR").unwrap().status() == 202
    });
    assert_eq!(post(courier.address, "/pay", "p-1", "", "42 EUR").unwrap().status(), 202, "a repeat");
    wait_until("it has run", || !endpoint.calls().is_empty());
    courier.signal("-TERM");
    wait_until("the courier has ended", || TcpStream::connect(courier.address).is_err());
    assert_eq!(endpoint.ids(), ["p-1"], "once");
}

#[test]
fn a_rejected_client_gets_the_reason_however_it_sends() {
    let (_endpoint, _folder, courier) = serve(SMALL_MEMORY);
    let share_holders = fill_share(&courier);
    // A client that sends a long body completely before it reads.
    let mut long = connect(courier.address);
    long.write_all(pay("long", &"x".repeat(600_000)).as_bytes()).expect("sent whole");
    assert_rejected(&answer(&long).expect("an answer"), "share-clients");
    // A client that shuts down its sending side before it reads.
    let mut half = connect(courier.address);
    half.write_all(pay("half", "x").as_bytes()).expect("sent");
    half.shutdown(Shutdown::Write).expect("half closed");
    assert_rejected(&answer(&half).expect("an answer"), "share-clients");
    // A client that has sent only one byte, and one that speaks another protocol.
    let mut slow = connect(courier.address);
    slow.write_all(b"P").expect("sent");
    assert_rejected(&answer(&slow).expect("an answer"), "share-clients");
    let mut tls = connect(courier.address);
    tls.write_all(&[0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3]).expect("sent");
    assert_rejected(&answer(&tls).expect("a plain-text answer"), "share-clients");
    // A client that sends nothing gets no answer, because it would match the answer to its next request.
    let before = rejected_count(&courier, "share-clients", "silent");
    let mut silent = connect(courier.address);
    assert_eq!(silent.read(&mut [0; 8]).ok(), Some(0), "closed without an answer");
    wait_until("it is counted", || rejected_count(&courier, "share-clients", "silent") == before + 1);
    assert_eq!(rejected_count(&courier, "share-clients", "untold"), 0);
    drop(share_holders);
    wait_until("accepted again", || post(courier.address, "/pay", "again", "", "x").unwrap().status() == 202);
}

#[test]
fn a_rejected_mqtt_client_gets_the_reason_in_its_protocol_version() {
    let (_endpoint, _folder, courier) = serve(SMALL_MEMORY);
    let share_holders = fill_share(&courier);
    // An MQTT connection takes less memory than one of HTTP, so some may still be accepted before the share is used up.
    let mut vans = Vec::new();
    let five = loop {
        let client = format!("van-{}", vans.len());
        let (van, connack) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V5, &client));
        if connack.code != 0 {
            break connack;
        }
        vans.push(van);
        assert!(vans.len() < 50, "never rejected");
    };
    assert_eq!(five.code, code::QUOTA_EXCEEDED);
    assert!(five.reason.as_deref().is_some_and(|r| r.contains("has its share")), "{five:?}");
    let told = |name: &str| five.properties.iter().any(|(n, _)| n == name);
    assert!(told("retry-after") && told("x-reason"), "{five:?}");
    let (_, three) = MqttClient::connect(courier.mqtt(), Connect::new(Version::V311, "van"));
    assert_eq!(three.code, 3, "server unavailable");
    let mut stray = connect(courier.mqtt());
    stray.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    assert_eq!(stray.read(&mut [0; 8]).unwrap_or(0), 0, "a client of another protocol is disconnected");
    drop(share_holders);
}

#[test]
fn an_evicted_connection_with_an_incomplete_request_gets_the_reason() {
    let (_endpoint, _folder, courier) = serve("clients = \"250KB\"\nclient_share = 1.0");
    // After idle connections, those with an incomplete request head are evicted first when a new one needs room.
    let begun = b"POST /pay HTTP/1.1\r\nHost: x\r\n";
    let half: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = connect(courier.address);
            stream.write_all(begun).expect("sent");
            stream
        })
        .collect();
    let ends: Vec<HttpMessage> = half.iter().map(|half| answer(half).expect("an answer")).collect();
    // The others time out.
    let evicted: Vec<&HttpMessage> = ends.iter().filter(|page| page.status() != 408).collect();
    assert!(!evicted.is_empty(), "none was evicted, so the test shows nothing");
    for page in evicted {
        assert_rejected(page, "connections");
    }
    assert!(rejected_count(&courier, "connections", "told") > 0);
    assert_eq!(post(courier.address, "/pay", "p", "", "x").expect("an answer").status(), 202);
}

fn open_files(courier: &Courier) -> usize {
    open_descriptors(courier.id()).expect("its descriptors")
}

#[test]
fn a_flood_of_clients_that_do_not_read_is_bounded_and_others_are_served() {
    let (_endpoint, _folder, courier) = serve(SMALL_MEMORY);
    let share_holders = fill_share(&courier);
    let before = open_files(&courier);
    let flood: Vec<TcpStream> = (0..600)
        .map(|n| {
            let mut stream = connect(courier.address);
            let _ = stream.write_all(pay(&format!("f{n}"), "x").as_bytes());
            stream
        })
        .collect();
    let peak = open_files(&courier);
    // Allows the limit on connections that are being rejected, plus 10 for the listener and the admin pages.
    assert!(
        peak <= before + stairshed_memory::rejected_connections::MAX_CONCURRENT + 10,
        "{before} descriptors, then {peak}"
    );
    let mut other = connect_from([127, 0, 0, 9], courier.address);
    other.write_all(pay("other", "x").as_bytes()).expect("sent");
    assert_eq!(answer(&other).expect("an answer").status(), 202, "another client is served");
    drop(flood);
    drop(share_holders);
    wait_until("descriptors are back", || open_files(&courier) <= before);
    let page = courier.page("/-/memory");
    let counts = &page["turned_away"]["share-clients"];
    let sum: u64 = ["told", "silent", "untold"].iter().filter_map(|how| counts[*how].as_u64()).sum();
    assert!(sum >= 600, "each is counted: {counts}");
    assert!(page["turned_away"].as_object().is_some_and(|all| all.values().all(Value::is_object)));
}

#[test]
fn the_operators_page_lists_each_reason() {
    let page = include_str!("../../../docs/operating-memory.md");
    for reason in stairshed_memory::Reason::all() {
        assert!(page.contains(&format!("`{reason}`")), "docs/operating-memory.md does not mention {reason}");
    }
}

#[test]
fn clients_behind_a_proxy_have_a_share_each_by_a_header_trusted_only_from_the_proxy() {
    let endpoint = Endpoint::new(|_| {
        EndpointAction::Respond(
            "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 5000\r\nContent-Length: 0\r\n\r\n",
        )
    });
    let folder = TestFolder::new();
    let text = "bodies_held = \"1MB\"\nclient_share = 0.4\nproxies = [\"127.0.0.0/30\"]\nclient_header = \"X-Client\"";
    let courier = Courier::serve(&folder, &file(&endpoint, text));
    let body = "x".repeat(50_000);
    let mut n = 0;
    let mut send = |source: [u8; 4], heads: &str| {
        n += 1;
        let mut stream = connect_from(source, courier.address);
        let text = request("/pay", &format!("m{n}"), heads, &body);
        stream.write_all(text.as_bytes()).expect("sent");
        let page = answer(&stream).expect("an answer");
        (page.status(), page.header("X-Reason").unwrap_or_default().to_owned())
    };
    let (proxy, van) = ([127, 0, 0, 1], "X-Client: van-1\r\n");
    let taken = (0..100).take_while(|_| send(proxy, van).0 == 202).count();
    assert_eq!(taken, 13, "accepted until the share is used up");
    let share = (503, "share-bodies_held".to_owned());
    assert_eq!(send(proxy, van), share);
    // Another client, one without the header, one with two of them, and a peer that is no proxy: none counts as van-1.
    for (source, heads) in [
        (proxy, "X-Client: van-2\r\n"),
        (proxy, ""),
        (proxy, "X-Client: van-1\r\nX-Client: van-1\r\n"),
        ([127, 0, 0, 9], van),
    ] {
        assert_eq!(send(source, heads).0, 202, "{heads:?} from {source:?}");
    }
    assert_eq!(send([127, 0, 0, 2], van), share, "the client is the same behind another proxy");
    let long = format!("X-Client: {}\r\n", "x".repeat(64 * 1024));
    assert_eq!(send(proxy, &long).0, 431, "a head that is too long");
}

#[test]
fn a_lowered_share_closes_no_open_connection_and_rejects_new_ones() {
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let folder = TestFolder::new();
    let free = free_address();
    let text = |share: &str| {
        let text = file(&endpoint, &format!("clients = \"2MB\"\nclient_share = {share}"));
        // The port is fixed, because port 0 would give a new address on reload.
        text.replacen("127.0.0.1:0", &free.to_string(), 1)
    };
    let courier = Courier::serve(&folder, &text("1.0"));
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let ask = |stream: &mut TcpStream| {
        stream.write_all(ready).expect("sent");
        answer(stream).map(|page| page.status())
    };
    let mut all: Vec<TcpStream> = (0..70).map(|_| connect(courier.address)).collect();
    assert!(all.iter_mut().all(|stream| ask(stream) == Some(200)));
    courier.replace_config_file(&folder, &text("0.2"));
    wait_until("the new share holds", || {
        let mut stream = connect(courier.address);
        ask(&mut stream) == Some(503)
    });
    assert!(all.iter_mut().all(|stream| ask(stream) == Some(200)), "open connections are served");
    let mut other = connect_from([127, 0, 0, 9], courier.address);
    assert_eq!(ask(&mut other), Some(200), "another client is accepted");
}

#[test]
fn an_mqtt_connection_evicted_before_its_connect_is_answered() {
    let (_endpoint, _folder, courier) = serve("clients = \"250KB\"\nclient_share = 1.0");
    // Sent before the eviction: nothing, less than the protocol level, and more than that.
    const SENT_FIRST: [usize; 3] = [0, 4, 14];
    let mut vans: Vec<(MqttClient, Vec<u8>)> = (0..120)
        .map(|n| {
            let version = if n % 2 == 0 { Version::V5 } else { Version::V311 };
            let connect = Packet::Connect(Box::new(Connect::new(version, &format!("van-{n}"))));
            let mut bytes = encode(version, connect, None).expect("a CONNECT").to_vec();
            let mut van = MqttClient::open(courier.mqtt(), version);
            let rest = bytes.split_off(SENT_FIRST[n % SENT_FIRST.len()]);
            van.send_bytes(&bytes);
            thread::sleep(Duration::from_millis(2));
            (van, rest)
        })
        .collect();
    let mut evicted = 0;
    for (n, (van, rest)) in vans.iter_mut().enumerate() {
        van.send_bytes(rest);
        let Some(Packet::Connack(connack)) = van.receive() else { panic!("van {n} has no CONNACK") };
        match (connack.code, n % 2) {
            (code::SUCCESS, _) => continue,
            (code::QUOTA_EXCEEDED, 0) => assert!(connack.properties.iter().any(|(_, v)| v == "connections")),
            (refused, _) => assert_eq!(refused, 3, "server unavailable"),
        }
        evicted += 1;
    }
    assert!(evicted > 0, "none was evicted, so the test shows nothing");
    wait_until("each is counted", || rejected_count(&courier, "connections", "told") == evicted);
}
