//! What the courier does when the system fails a call, call by call: processes on loopback with the library
//! `stairshed-preload` loaded to inject the failures, and the counts of the page `/-/machine`.

use serde_json::{Value, json};
use stairshed_mqtt::packet::{Connect, Version};
use stairshed_rig::broker::{Broker, BrokerFaults};
use stairshed_rig::control_service::ControlService;
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::mqtt_client::MqttClient;
use stairshed_rig::name_server::{DnsAnswer, NameServer};
use stairshed_rig::*;
use std::fs;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Configuration of a courier with payments over HTTP to one endpoint, and these lines.
fn file(endpoint: &Endpoint, lines: &str) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n{lines}",
        endpoint.address
    )
}

/// Lines for payments that MQTT clients submit and that this broker receives.
fn topics(broker: &Broker) -> String {
    format!(
        "[pools.b]\nendpoints = [{{ name = \"b\", address = \"mqtt://{}/fuel/in\" }}]\n\
         [topics.pay]\nfilter = \"fuel/#\"\npool = \"b\"\nclass = \"payment\"\n\
         identity = {{ pointer = \"/id\" }}\nidentity_scope = \"all\"\n",
        broker.address
    )
}

/// A courier with one endpoint that answers every call, and the faults of its system calls.
struct TestSetup {
    endpoint: Endpoint,
    courier: Courier,
    faults: MachineFaults,
    folder: TestFolder,
}

impl TestSetup {
    fn start(lines: &str) -> Self {
        Self::start_with(Endpoint::new(|_| EndpointAction::RespondDistinct(MS)), lines)
    }

    fn start_with(endpoint: Endpoint, lines: &str) -> Self {
        let folder = TestFolder::new();
        let mut command = serve_command(&folder, &file(&endpoint, lines));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        TestSetup { endpoint, courier, faults, folder }
    }

    /// Submits a payment on a connection of its own and returns the status of the answer.
    fn pay(&self, id: &str) -> u16 {
        self.courier.post("/pay", id, "", "42 EUR").status()
    }

    /// Submits payments until one is accepted, and returns how many were refused before.
    fn pay_until_accepted(&self, id: &str) -> usize {
        let mut refused = 0;
        wait_until("an acceptance", || {
            let status = self.pay(id);
            assert!(status == 202 || status == 503, "{id}: {status}");
            refused += usize::from(status != 202);
            status == 202
        });
        refused
    }

    /// Waits until all these payments were delivered, and asserts that nothing else was, and nothing twice.
    fn assert_delivered_once(&self, mut expected: Vec<String>) {
        wait_until("all deliveries", || self.endpoint.ids().len() >= expected.len());
        let mut ids = self.endpoint.ids();
        ids.sort();
        expected.sort();
        assert_eq!(ids, expected);
        assert_eq!(outcomes(&self.folder), []);
    }

    fn count(&self, operation: &str, errno: &str) -> u64 {
        count(&self.courier.page("/-/machine"), operation, errno)
    }
}

/// The number of failures of this kind on the page `/-/machine`.
fn count(page: &Value, operation: &str, errno: &str) -> u64 {
    let all = page["errors"].as_array().expect("a list");
    let found = all.iter().find(|e| e["operation"] == operation && e["errno"] == errno);
    found.map_or(0, |e| e["count"].as_u64().expect("a number"))
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a limit");
    stream
}

fn answer_on(stream: &mut TcpStream, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).ok()?;
    HttpMessage::read(&mut BufReader::new(&*stream)).map(|answer| answer.status())
}

/// Whether the other side has closed a connection on which nothing is to be read.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let read = stream.read(&mut [0]);
    !read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

// Guards against a loop without pauses, and against closing connections that are served, while there are no descriptors.
#[test]
fn clients_stay_served_and_idle_ones_make_room_while_there_are_no_descriptors() {
    let setup = TestSetup::start("");
    let mut idle: Vec<TcpStream> = (0..40).map(|_| connect(setup.courier.address)).collect();
    for stream in &mut idle {
        assert_eq!(answer_on(stream, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"), Some(200));
    }
    let mut served = connect(setup.courier.address);
    let mut submitted = Vec::new();
    let mut pay = |n: usize| {
        let id = format!("m{n}");
        assert_eq!(answer_on(&mut served, &request("/pay", &id, "", "x")), Some(202), "{id}");
        submitted.push(id);
        thread::sleep(50 * MS);
    };
    (0..25).for_each(&mut pay);
    setup.faults.set("accept EMFILE 1");
    let mut newcomer = connect(setup.courier.address);
    (25..65).for_each(&mut pay);
    setup.faults.set("");
    assert_eq!(answer_on(&mut newcomer, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"), Some(200));
    // 2 s at pauses of 2.5 ms to 250 ms that double; a loop without pauses makes thousands of calls.
    let failures = setup.count("accept", "EMFILE");
    assert!((5..=35).contains(&failures), "{failures} failed calls");
    let closed = idle.iter_mut().filter_map(|stream| is_closed(stream).then_some(())).count();
    assert!(closed > 0 && closed as u64 <= failures, "{closed} idle connections closed");
    setup.assert_delivered_once(submitted);
}

// Guards against counting an endpoint as failed, and ending its messages, for lack of ports of this machine.
#[test]
fn each_message_is_delivered_while_every_second_connection_has_no_port() {
    // A connection that is counted as a failed attempt would end its message.
    let setup = TestSetup::start("[limits]\nattempts = 1\n");
    setup.faults.set("connect EADDRNOTAVAIL 2");
    let ids: Vec<String> = (0..40).map(|n| format!("m{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(setup.pay(id), 202));
    setup.assert_delivered_once(ids);
    setup.faults.set("");
    assert!(setup.count("connect endpoint", "EADDRNOTAVAIL") > 0);
    let refused = setup.courier.page("/-/connections")["errors"].clone();
    assert_eq!(refused, json!({}), "no exchange failed");
}

// Guards against a courier that stops or loses events when a signal interrupts its waits.
#[test]
fn each_message_is_delivered_while_every_second_wait_and_accept_is_interrupted() {
    let setup = TestSetup::start("");
    setup.faults.set("wait EINTR 2\naccept EINTR 2");
    let ids: Vec<String> = (0..40).map(|n| format!("m{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(setup.pay(id), 202));
    setup.assert_delivered_once(ids);
    setup.faults.set("accept ECONNABORTED 2\naccept EPROTO 3");
    assert_eq!(setup.pay("last"), 202);
    setup.faults.set("");
    assert!(setup.count("accept", "EINTR") > 0 && setup.count("accept", "ECONNABORTED") > 0);
}

// Guards against a connection of any kind that waits for ever after a read or write of a part.
#[test]
fn all_connections_work_while_each_read_and_write_moves_one_byte() {
    let broker = Broker::new(BrokerFaults::default());
    let setup = TestSetup::start(&topics(&broker));
    setup.faults.set("recv one-byte 1\nsend one-byte 1");
    let ids: Vec<String> = (0..5).map(|n| format!("m{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(setup.pay(id), 202));
    setup.assert_delivered_once(ids);
    let (mut van, _) = MqttClient::connect(setup.courier.mqtt(), Connect::new(Version::V5, "van"));
    assert_eq!(van.submit("fuel/x", 1, "{\"id\": \"first\"}", &[]), Some(0));
    wait_until("its effect", || broker.effects().contains_key("first"));
    assert_eq!(broker.effects()["first"], 1);
    assert!(setup.courier.page("/-/memory")["purposes"].is_array());
}

// Guards against closing connections, and ending messages as ones that may have run, for a momentary lack of memory.
#[test]
fn connections_stay_open_while_each_second_read_and_write_has_no_memory() {
    let broker = Broker::new(BrokerFaults::default());
    let setup = TestSetup::start(&topics(&broker));
    let (mut van, _) = MqttClient::connect(setup.courier.mqtt(), Connect::new(Version::V5, "van"));
    assert_eq!(van.submit("fuel/x", 100, "{\"id\": \"first\"}", &[]), Some(0));
    wait_until("its effect", || broker.effects().contains_key("first"));
    let (mut client, broker_connections) = (connect(setup.courier.address), broker.connections());
    let mut paid = Vec::new();
    let rules =
        ["recv ENOMEM 2\nsend ENOBUFS 2", "recv ENOBUFS 2\nsend ENOMEM 2", "send short 2\nsend ENOBUFS 3"];
    for (round, rules) in rules.iter().enumerate() {
        setup.faults.set(rules);
        for n in 0..10 {
            let id = format!("m{round}-{n}");
            assert_eq!(answer_on(&mut client, &request("/pay", &id, "", "x")), Some(202), "{id}");
            let body = format!("{{\"id\": \"van-{id}\"}}");
            assert_eq!(van.submit("fuel/x", n + 1, &body, &[]), Some(0), "{id}");
            paid.push(id);
        }
        wait_until("the effects", || broker.effects().len() == paid.len() + 1);
        wait_until("the deliveries", || setup.endpoint.ids().len() == paid.len());
    }
    setup.faults.set("");
    assert!(broker.effects().values().all(|times| *times == 1), "{:?}", broker.effects());
    assert_eq!(broker.connections(), broker_connections);
    setup.assert_delivered_once(paid);
    for (operation, errno) in
        [("read", "ENOMEM"), ("read", "ENOBUFS"), ("write", "ENOMEM"), ("write", "ENOBUFS")]
    {
        assert!(setup.count(operation, errno) > 0, "{operation} {errno}");
    }
    assert_eq!(setup.courier.page("/-/connections")["errors"], json!({}), "no exchange failed");
}

// Guards against a loop without pauses, and against many lines of the log, while a read keeps failing.
#[test]
fn a_read_without_memory_is_tried_with_pauses_and_logged_once() {
    let setup = TestSetup::start("");
    let mut client = connect(setup.courier.address);
    assert_eq!(answer_on(&mut client, &request("/pay", "m0", "", "x")), Some(202));
    // Reading its answer would fail as well, with pauses of its own.
    wait_until("its end", || purpose(&setup.courier.page("/-/memory"), "messages")["in_use"] == 0);
    assert_eq!(setup.endpoint.ids(), ["m0"]);
    setup.faults.set("recv ENOMEM 1");
    let started = Instant::now();
    client.write_all(request("/pay", "m1", "", "x").as_bytes()).expect("written");
    thread::sleep(Duration::from_secs(2));
    setup.faults.set("");
    let answer = HttpMessage::read(&mut BufReader::new(&client)).map(|answer| answer.status());
    assert_eq!(answer, Some(202));
    // Pauses double from 2.5 ms at least, up to 50 ms at least.
    let most = started.elapsed().as_millis() as u64 / 50 + 10;
    let failures = setup.count("read", "ENOMEM");
    assert!((5..=most).contains(&failures), "{failures} failed calls, at most {most}");
    setup.assert_delivered_once(vec!["m0".to_owned(), "m1".to_owned()]);
    let lines = setup.courier.unread_log();
    let logged = lines.iter().filter(|line| line.starts_with("system: read: ENOMEM: ")).count();
    assert_eq!(logged, 1, "{lines:?}");
}

// Guards against an attempt without an end, and against a second one, where an answer cannot be read in time.
#[test]
fn a_call_whose_answer_cannot_be_read_ends_at_its_deadline_as_one_that_may_have_run() {
    let short = "[classes.short]\neffect = \"once\"\ndeadline = \"4s\"\n\
                 [routes.short]\nprefix = \"/short\"\npool = \"p\"\nclass = \"short\"\n";
    let endpoint = Endpoint::new(|_| EndpointAction::RespondAfter(Duration::from_secs(2), OK));
    let setup = TestSetup::start_with(endpoint, short);
    assert_eq!(setup.courier.post("/short", "m1", "", "x").status(), 202);
    wait_until("the call", || setup.endpoint.ids() == ["m1"]);
    setup.faults.set("recv ENOMEM 1");
    wait_until("its outcome", || !outcomes(&setup.folder).is_empty());
    setup.faults.set("");
    assert_eq!(outcomes(&setup.folder), [("m1".to_owned(), "dead".to_owned())]);
    assert!(setup.count("read", "ENOMEM") > 1, "it was tried again");
    assert_eq!(setup.endpoint.ids(), ["m1"]);
}

/// Lets a call wait for memory while discovery tells a list, and expects that it goes to the new endpoint of that list:
/// `change` makes the list of the entries of the old and the new one.
fn assert_waiting_call_heeds(change: impl Fn(&Endpoint, &Endpoint) -> Value) {
    let answering = || Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let (old, new, folder) = (answering(), answering(), TestFolder::new());
    let known = list(1, true, vec![host("s-old", &old, 7, "ready")]);
    let discovery = Discovery::new(known.clone());
    let mut command = command(&folder, &discovery, &config(&discovery, known));
    let faults = MachineFaults::load(&mut command, &folder, "");
    let courier = Courier::spawn(&mut command);
    courier.submit_accepted("m0", "payment", 7, 5000);
    wait_until("its delivery", || old.ids() == ["m0"]);
    faults.set("send ENOBUFS 1");
    let address = courier.address;
    let client = thread::spawn(move || exchange(address, message("m1", "payment", 7, 10_000).as_bytes()));
    thread::sleep(500 * MS);
    discovery.tell(change(&old, &new));
    // The grace of a drain, 1 s, is over when the system has memory again.
    thread::sleep(Duration::from_secs(2));
    faults.set("");
    assert_eq!(client.join().expect("a client").map(|answer| answer.status()), Some(202));
    wait_until("its delivery", || new.ids() == ["m1"]);
    assert_eq!(old.ids(), ["m0"]);
}

// Guards against a request that was decided on long ago and is written to an endpoint that drains.
#[test]
fn a_call_that_waits_for_memory_is_not_written_once_its_endpoint_has_drained() {
    assert_waiting_call_heeds(|old, new| {
        list(2, false, vec![host("s-old", old, 7, "draining"), host("s-new", new, 7, "ready")])
    });
}

// Guards against the same for an endpoint that a whole list leaves out.
#[test]
fn a_call_that_waits_for_memory_is_not_written_once_a_whole_list_leaves_its_endpoint_out() {
    assert_waiting_call_heeds(|_, new| list(2, true, vec![host("s-new", new, 7, "ready")]));
}

// Guards against a loop without pauses, and against closing sessions that are served, while there are no descriptors.
#[test]
fn mqtt_clients_stay_served_and_silent_ones_make_room_while_there_are_no_descriptors() {
    let broker = Broker::new(BrokerFaults::default());
    let setup = TestSetup::start(&topics(&broker));
    let (mut van, _) = MqttClient::connect(setup.courier.mqtt(), Connect::new(Version::V5, "van"));
    assert_eq!(van.submit("fuel/x", 100, "{\"id\": \"first\"}", &[]), Some(0));
    let mut silent: Vec<TcpStream> = (0..10).map(|_| connect(setup.courier.mqtt())).collect();
    // A connection without a CONNECT may be closed for its descriptor after a second.
    thread::sleep(1100 * MS);
    setup.faults.set("accept EMFILE 1");
    let (started, address) = (Instant::now(), setup.courier.mqtt());
    let newcomer = thread::spawn(move || MqttClient::connect(address, Connect::new(Version::V5, "newcomer")));
    for n in 0..20 {
        let body = format!("{{\"id\": \"m{n}\"}}");
        assert_eq!(van.submit("fuel/x", n + 1, &body, &[]), Some(0), "m{n}");
        thread::sleep(50 * MS);
    }
    let closed = silent.iter_mut().filter_map(|stream| is_closed(stream).then_some(())).count();
    assert!(closed > 0, "none made room");
    assert!(!newcomer.is_finished(), "there was no descriptor for it");
    setup.faults.set("");
    let (_, connack) = newcomer.join().expect("it is accepted");
    assert_eq!(connack.code, 0);
    // Pauses double from 2.5 ms at least, up to 125 ms at least.
    let most = started.elapsed().as_millis() as u64 / 125 + 10;
    let failures = setup.count("accept", "EMFILE");
    assert!((3..=most).contains(&failures), "{failures} failed calls, at most {most}");
    wait_until("the effects", || broker.effects().len() == 21);
    assert!(broker.effects().values().all(|times| *times == 1), "{:?}", broker.effects());
}

// Guards against names that lose their addresses, or are never looked up again, and against a loop of queries.
#[test]
fn a_name_keeps_its_addresses_while_lookups_fail_and_is_looked_up_again() {
    let (server, endpoint) = (NameServer::new(), Endpoint::new(|_| EndpointAction::RespondDistinct(MS)));
    server.set("plain.example", DnsAnswer::Addresses(vec![Ipv4Addr::LOCALHOST], 1));
    let (port, resolver) = (endpoint.address.port(), server.address);
    let named = format!(
        "[pools.n]\nendpoints = [{{ address = \"plain.example:{port}\" }}]\n\
         [routes.n]\nprefix = \"/n\"\npool = \"n\"\nclass = \"payment\"\n[dns]\nresolver = \"{resolver}\"\n"
    );
    let setup = TestSetup::start_with(endpoint, &named);
    let pay = |id: &str| assert_eq!(setup.courier.post("/n", id, "", "x").status(), 202);
    pay("before");
    wait_until("its delivery", || setup.endpoint.ids() == ["before"]);
    for (round, (rule, errno)) in
        [("socket EMFILE 1", "EMFILE"), ("connect ENETUNREACH 1", "ENETUNREACH")].iter().enumerate()
    {
        let started = Instant::now();
        setup.faults.set(rule);
        setup.courier.wait_for_log("holds");
        pay(&format!("m{round}"));
        thread::sleep(Duration::from_secs(2));
        let asked = server.asked("plain.example");
        setup.faults.set("");
        wait_until("another lookup", || server.asked("plain.example") > asked);
        // A lookup makes two queries, and pauses double from 500 ms.
        let most = 2 * (started.elapsed().as_millis() as u64 / 500 + 1);
        let failures = setup.count("query dns", errno);
        assert!((2..=most).contains(&failures), "{failures} failed queries, at most {most}");
        wait_until("its delivery", || setup.endpoint.ids().contains(&format!("m{round}")));
    }
    setup.assert_delivered_once(["before", "m0", "m1"].map(str::to_owned).to_vec());
}

// Guards against outcomes that are lost, told twice or tried without pauses while their file cannot be opened, and
// against refusing messages meanwhile.
#[test]
fn outcomes_are_told_once_their_file_can_be_opened_again_also_after_a_kill() {
    for is_killed in [false, true] {
        // A payment that may have run ends as dead.
        let setup = TestSetup::start_with(Endpoint::new(|_| EndpointAction::CloseConnection), "");
        let started = Instant::now();
        setup.faults.set("open EMFILE 1");
        (0..4).for_each(|n| assert_eq!(setup.pay(&format!("m{n}")), 202));
        wait_until("attempts", || setup.count("outcomes file", "EMFILE") > 4);
        let failures = setup.count("outcomes file", "EMFILE");
        // Each of the messages is a batch at most, with pauses of 250 ms at least.
        let most = 4 * (started.elapsed().as_millis() as u64 / 250 + 1);
        assert!(failures <= most, "{failures} failed calls, at most {most}");
        assert_eq!(outcomes(&setup.folder), []);
        let TestSetup { endpoint, courier, faults, folder } = setup;
        let _courier = match is_killed {
            true => {
                courier.kill();
                Courier::serve(&folder, &file(&endpoint, ""))
            }
            false => courier,
        };
        faults.set("");
        let expected: Vec<_> = (0..4).map(|n| (format!("m{n}"), "dead".to_owned())).collect();
        wait_until("the outcomes", || outcomes(&folder).len() >= expected.len());
        let mut told = outcomes(&folder);
        told.sort();
        assert_eq!(told, expected);
    }
}

// Guards against a list that is dropped, or an age that is never saved again, after the age could not be saved.
#[test]
fn a_list_whose_age_cannot_be_saved_stays_in_use_until_the_next_line_saves_it() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::RespondDistinct(MS)), TestFolder::new());
    let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
    let discovery = Discovery::new(known.clone());
    let mut command = command(&folder, &discovery, &config(&discovery, known));
    let faults = MachineFaults::load(&mut command, &folder, "");
    let courier = Courier::spawn(&mut command);
    let saved = || fs::read_to_string(folder.0.join("state/list-age")).unwrap_or_default();
    let deliver = |id: &str| {
        courier.submit_accepted(id, "payment", 7, 5000);
        wait_until("the delivery", || endpoint.ids().iter().any(|other| other == id));
    };
    deliver("before");
    wait_until("an age", || !saved().is_empty());
    faults.set("rename EIO 1");
    let before = saved();
    discovery.tell(list(2, false, vec![]));
    courier.wait_for_log("system: list age: EIO: ");
    courier.wait_for_log("the age of the list cannot be kept: ");
    deliver("during");
    assert_eq!(saved(), before, "the older age is kept, whole");
    faults.set("");
    discovery.tell(list(3, false, vec![]));
    wait_until("the new age", || saved() != before);
    deliver("after");
}

// Guards against messages that are lost or refused for ever after one failed sync.
#[test]
fn the_journal_works_again_after_one_sync_has_failed() {
    let setup = TestSetup::start("[journal]\ndurability = \"machine\"\n");
    assert_eq!(setup.pay("before"), 202);
    setup.faults.set("sync EIO nth=1");
    let ids: Vec<String> = (0..10).map(|n| format!("m{n}")).collect();
    for id in &ids {
        setup.pay_until_accepted(id);
    }
    setup.assert_delivered_once(ids.into_iter().chain(["before".to_owned()]).collect());
    assert_eq!(setup.count("journal sync", "EIO"), 1);
}

// Guards against a record that is written in part, and read as a record by the next start.
#[test]
fn a_full_disk_in_the_middle_of_a_record_refuses_the_message_and_loses_none() {
    let setup = TestSetup::start("");
    assert_eq!(setup.pay("before"), 202);
    setup.assert_delivered_once(vec!["before".to_owned()]);
    setup.faults.set("write short nth=1\nwrite ENOSPC nth=2\ntruncate EIO nth=1");
    assert_eq!(setup.pay("refused"), 503);
    assert_eq!(setup.pay_until_accepted("after"), 0);
    setup.assert_delivered_once(vec!["before".to_owned(), "after".to_owned()]);
    assert_eq!(setup.count("journal write", "ENOSPC"), 1);
    assert_eq!(setup.count("journal truncate", "EIO"), 1);
    let TestSetup { endpoint, courier, folder, .. } = setup;
    courier.kill();
    let courier = Courier::serve(&folder, &file(&endpoint, ""));
    assert!(courier.startup_log.iter().all(|line| !line.contains("DAMAGED")), "{:?}", courier.startup_log);
    thread::sleep(300 * MS);
    assert_eq!(endpoint.ids(), ["before", "after"]);
}

// Guards against a journal that never writes again after a segment could not be created, removed or shortened.
#[test]
fn compaction_goes_on_after_segments_could_not_be_created_or_removed() {
    let setup = TestSetup::start("[journal]\nroom = \"3MB\"\n");
    let body = "x".repeat(20_000);
    let mut accepted = Vec::new();
    for (round, rules) in
        ["unlink EIO 1", "open ENOSPC 1", "unlink EROFS 2\nopen EMFILE 2", ""].iter().enumerate()
    {
        setup.faults.set(rules);
        for n in 0..250 {
            let id = format!("m{round}-{n}");
            if setup.courier.post("/pay", &id, "", &body).status() == 202 {
                accepted.push(id);
            }
        }
        setup.faults.set("");
        let id = format!("end-{round}");
        setup.pay_until_accepted(&id);
        accepted.push(id);
    }
    setup.assert_delivered_once(accepted);
    assert!(setup.count("journal remove", "EIO") > 0 && setup.count("journal open", "ENOSPC") > 0);
}

// Guards against a version that is dropped for a short failure, and against one that would not outlast a restart.
#[test]
fn a_version_is_stored_after_one_failure_and_refused_while_the_store_keeps_failing() {
    let control = ControlService::new();
    let control_section = format!("[control]\nurl = \"{}\"\nheartbeat = \"60s\"\n", control.url());
    let setup = TestSetup::start(&control_section);
    let config = json!({"limits": {"attempts": 5}});
    wait_until("the stream", || control.is_open());
    setup.faults.set("rename ENOSPC nth=1");
    assert!(control.send_version(1, &config));
    let answer = control.answer(1);
    assert!(answer.accepted, "{answer:?}");
    setup.faults.set("rename ENOSPC 1");
    assert!(control.send_version(2, &json!({"limits": {"attempts": 6}})));
    let answer = control.answer(2);
    assert!(!answer.accepted && answer.reasons.contains("cannot be stored"), "{answer:?}");
    assert_eq!(setup.pay("m1"), 202, "messages are taken meanwhile");
    assert_eq!(setup.courier.page("/-/config")["version"], 1);
    setup.faults.set("");
    assert!(control.send_version(3, &json!({"limits": {"attempts": 7}})));
    assert!(control.answer(3).accepted);
    assert!(setup.count("version store", "ENOSPC") > 2);
}

/// Starts a courier under these rules and lifts them after a while. Returns its log of the start.
fn start_under(rules: &str, time: Duration) -> Vec<String> {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let mut command = serve_command(&folder, &file(&endpoint, ""));
    let faults = MachineFaults::load(&mut command, &folder, rules);
    let lifted = thread::spawn(move || {
        thread::sleep(time);
        faults.set("");
    });
    let started = Instant::now();
    let courier = Courier::spawn(&mut command);
    assert!(started.elapsed() >= time, "it started under {rules}");
    lifted.join().expect("lifted");
    assert_eq!(courier.post("/pay", "m", "", "x").status(), 202);
    courier.startup_log.clone()
}

/// Runs a start that fails under these rules. Returns its exit code, its log and how long it took.
fn failing_start(rules: &str) -> (Option<i32>, String, Duration) {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let mut command = serve_command(&folder, &file(&endpoint, ""));
    let _faults = MachineFaults::load(&mut command, &folder, rules);
    let started = Instant::now();
    let output = command.output().expect("it ends");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned(), started.elapsed())
}

#[test]
fn a_start_waits_for_a_state_folder_that_is_read_only_for_ten_seconds() {
    let log = start_under("open EROFS 1", Duration::from_secs(10));
    assert!(
        log.iter().any(|line| line.contains("state: ") && line.ends_with("tries again for 15 s")),
        "{log:?}"
    );
    assert!(log.iter().any(|line| line.starts_with("system: state folder: EROFS: ")), "{log:?}");
}

#[test]
fn a_start_without_permission_for_the_state_folder_ends_at_once_with_its_reason() {
    let (code, log, time) = failing_start("open EACCES 1");
    assert_eq!(code, Some(1), "{log}");
    assert!(log.contains("stairshed: state: ") && log.contains("Permission denied"), "{log}");
    assert!(time < Duration::from_secs(3), "{time:?}");
}

#[test]
fn a_start_waits_for_an_address_that_cannot_be_bound_for_two_seconds() {
    for rule in ["bind EADDRINUSE 1", "socket EMFILE 1"] {
        let log = start_under(rule, Duration::from_secs(2));
        let waits = |line: &String| line.contains("listen.http: ") && line.ends_with("tries again for 5 s");
        assert!(log.iter().any(waits), "{log:?}");
    }
}

#[test]
fn a_start_ends_with_its_reason_if_its_address_stays_in_use() {
    let (code, log, time) = failing_start("bind EADDRINUSE 1");
    assert_eq!(code, Some(1), "{log}");
    assert!(log.contains("stairshed: listen.http: 127.0.0.1:0: Address already in use"), "{log}");
    assert!((Duration::from_secs(5)..Duration::from_secs(10)).contains(&time), "{time:?}");
}

// Guards against a start that cannot be told to stop while it waits.
#[test]
fn a_start_that_waits_ends_in_order_when_told_to_stop() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let mut command = serve_command(&folder, &file(&endpoint, ""));
    let _faults = MachineFaults::load(&mut command, &folder, "open EROFS 1");
    let mut child = command.spawn().expect("it starts");
    thread::sleep(Duration::from_secs(1));
    assert!(child.try_wait().expect("a status").is_none(), "it waits for the folder");
    let told = Instant::now();
    let kill = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    assert!(kill.expect("kill runs").success());
    let status = child.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    assert!(told.elapsed() < Duration::from_secs(3), "{:?}", told.elapsed());
}

// Guards against a command that does not show what the page has.
#[test]
fn the_command_shows_the_failures_of_a_running_courier() {
    let setup = TestSetup::start("");
    setup.faults.set("connect EHOSTUNREACH nth=1");
    assert_eq!(setup.pay("m1"), 202);
    setup.assert_delivered_once(vec!["m1".to_owned()]);
    let admin = setup.courier.admin().to_string();
    let output = Command::new(program()).args(["machine", "--admin", &admin]).output().expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line =
        text.lines().find(|line| line.starts_with("connect endpoint")).unwrap_or_else(|| panic!("{text}"));
    assert!(line.contains("EHOSTUNREACH") && line.ends_with("counts as not reached"), "{text}");
}
