//! Each request that the courier has read is answered, whatever ends its connection or the process: a stop, a full house,
//! a time-out, or a start that is broken off. Courier processes on loopback.

use serde_json::json;
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 20_000;
/// Few sockets, and how many connections of clients they allow.
const SOCKETS: u64 = 64;
const CLIENTS: usize = 11;
/// Time within which a courier has read what was written to it.
const READ_TIME: Duration = Duration::from_millis(50);
/// From SIGTERM to SIGKILL, at least (protocol page).
const MIN_TERM_TO_KILL: Duration = Duration::from_millis(3_700);
/// Status of an accepted message.
const ACCEPTED: u16 = 202;
/// Until when a courier accepts connections, from SIGTERM on.
const END_OF_CONNECTIONS: Duration = Duration::from_millis(700);
/// How long a connection may be silent.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);
/// When a courier ends all requests, from SIGTERM on.
const END_OF_REQUESTS: Duration = Duration::from_millis(3_000);

/// A platform's courier with one endpoint, which logs the steps of all messages.
struct TestSetup {
    discovery: Discovery,
    courier: Courier,
    faults: MachineFaults,
    /// Kept for as long as the courier runs.
    _parts: (Endpoint, TestFolder),
}

impl TestSetup {
    fn start(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::with_sockets(256, act)
    }

    fn with_sockets(sockets: u64, act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        let endpoint = Endpoint::new(act);
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let folder = TestFolder::new();
        let mut config = config(&discovery, known);
        config["limits"]["sockets"] = json!(sockets);
        let mut command = command(&folder, &discovery, &config);
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(command.args(["--follow", "1/1"]));
        TestSetup { discovery, courier, faults, _parts: (endpoint, folder) }
    }
}

/// The file of an operator's courier that accepts payments once their records are synced.
fn operator_file(endpoint: SocketAddr) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n[journal]\ndurability = \"machine\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\nremember = \"1h\"\n\
         [pools.p]\nendpoints = [{{ address = \"{endpoint}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n"
    )
}

fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    buffered(TcpStream::connect(to).expect("a connection"))
}

/// Connects to a courier that was told to stop at `stop`; None if this machine held up the client until the courier
/// accepted no connections any more.
fn connect_in_time(to: SocketAddr, stop: Instant) -> Option<BufReader<TcpStream>> {
    match TcpStream::connect(to) {
        Ok(stream) => Some(buffered(stream)),
        Err(_) if stop.elapsed() >= END_OF_CONNECTIONS => None,
        Err(error) => panic!("a connection: {error}"),
    }
}

fn buffered(stream: TcpStream) -> BufReader<TcpStream> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream.set_nodelay(true).expect("set");
    BufReader::new(stream)
}

fn send(connection: &mut BufReader<TcpStream>, bytes: &str) {
    // A connection that the courier has closed shows when the answer is read.
    let _ = connection.get_mut().write_all(bytes.as_bytes());
}

/// Reads the status of an answer; None if the connection ends without a complete one.
fn answer(connection: &mut BufReader<TcpStream>) -> Option<u16> {
    HttpMessage::read(connection).map(|answer| answer.status())
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends half of a request, tells the courier to stop, and sends the rest. Asserts that it is answered.
fn assert_answered_across_sigterm(courier: &Courier, connection: &mut BufReader<TcpStream>) {
    let text = message("across", "status", 7, DEADLINE_MS);
    let (begun, rest) = text.split_at(text.len() / 2);
    send(connection, begun);
    thread::sleep(READ_TIME);
    courier.signal("-TERM");
    thread::sleep(READ_TIME);
    send(connection, rest);
    let status = answer(connection);
    assert!(matches!(status, Some(202 | 429 | 503)), "{status:?}");
}

/// Ids of the requests that a courier's log calls received.
fn received(log: &[String]) -> BTreeSet<&str> {
    let steps = log.iter().filter(|line| line.starts_with("follow ") && line.contains(" received "));
    steps.filter_map(|line| line.split_whitespace().nth(2)).collect()
}

/// What became of a request in two parts.
struct SplitRequest {
    id: String,
    /// Whether its first part was written while the courier had to read it.
    has_begun: bool,
    answer: Option<u16>,
}

// Guards against a request in two parts whose second part comes shortly before the end of a stop, and that is dropped.
#[test]
fn requests_whose_last_byte_comes_before_the_end_of_a_stop_are_answered() {
    const CLIENTS: u32 = 120;
    const CONNECT_AT: Duration = Duration::from_millis(450);
    /// A head may take 700 ms, and is incomplete when the courier ends all requests.
    const BEGIN_AT: Duration = Duration::from_millis(2_700);
    const FINISH_AT: Duration = Duration::from_millis(3_200);
    let setup = TestSetup::start(|_| EndpointAction::Hang);
    let mut courier = setup.courier;
    let start = Instant::now();
    courier.signal("-TERM");
    sleep_until(start + CONNECT_AT);
    let address = courier.address;
    let submit = move |number: u32| {
        let connecting = Instant::now();
        let mut connection = connect_in_time(address, start)?;
        let id = format!("split-{number}");
        let text = message(&id, "status", 7, DEADLINE_MS);
        // The rest begins in the head or in the body.
        let (first, rest) =
            text.split_at(if number.is_multiple_of(2) { text.len() / 2 } else { text.len() - 2 });
        sleep_until(start + BEGIN_AT);
        send(&mut connection, first);
        let has_begun = start.elapsed() < END_OF_REQUESTS && connecting.elapsed() < MAX_SILENCE;
        sleep_until(start + FINISH_AT + number * MS);
        send(&mut connection, rest);
        Some(SplitRequest { id, has_begun, answer: answer(&mut connection) })
    };
    let clients: Vec<_> = (0..CLIENTS).map(|number| thread::spawn(move || submit(number))).collect();
    let requests: Vec<_> =
        clients.into_iter().filter_map(|client| client.join().expect("a client")).collect();
    courier.exit();
    let stopped_after = start.elapsed();
    let log = courier.unread_log();
    let unanswered: Vec<_> = requests.iter().filter(|request| request.answer.is_none()).collect();
    let is_received = |request: &&&SplitRequest| received(&log).contains(request.id.as_str());
    let lost: Vec<_> = unanswered.iter().filter(is_received).map(|request| &request.id).collect();
    assert!(lost.is_empty(), "{} read and not answered: {lost:?}", lost.len());
    let begun = requests.iter().filter(|request| request.has_begun).count();
    let dropped: Vec<_> =
        unanswered.iter().filter(|request| request.has_begun).map(|request| &request.id).collect();
    assert!(dropped.is_empty(), "{} of {begun} begun and not answered: {dropped:?}", dropped.len());
    assert!(begun > 0, "this machine held up all {CLIENTS} clients");
    let open = log.iter().find(|line| line.starts_with("stopped after")).expect("its last line");
    assert!(!open.contains("reading a head") && !open.contains("unanswered"), "{open}");
    assert!(stopped_after < MIN_TERM_TO_KILL, "it ended {stopped_after:?} after SIGTERM");
}

// Guards against a request whose record waits for a sync when the process ends: it gets no answer, or is refused and sent
// by the next process all the same.
#[test]
fn requests_that_wait_for_a_sync_at_the_end_of_a_stop_are_answered_truly() {
    const CLIENTS: usize = 40;
    const CONNECT_AT: Duration = Duration::from_millis(350);
    /// A head may take 700 ms.
    const BEGIN_AT: Duration = Duration::from_millis(2_500);
    /// From before the time when no more messages are accepted to after the end of all requests.
    const FINISH_AT: Duration = Duration::from_millis(2_600);
    const FINISH_INTERVAL: Duration = Duration::from_millis(12);
    let folder = TestFolder::new();
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let file = operator_file(endpoint.address);
    let mut command = serve_command(&folder, &file);
    let faults = MachineFaults::load(&mut command, &folder, "");
    let mut courier = Courier::spawn(command.args(["--follow", "1/1"]));
    faults.set("sync slow 1");
    let start = Instant::now();
    courier.signal("-TERM");
    sleep_until(start + CONNECT_AT);
    let clients = (0..CLIENTS).map(|_| connect_in_time(courier.address, start));
    let mut clients: Vec<_> = clients.flatten().collect();
    assert!(!clients.is_empty(), "this machine held up all {CLIENTS} clients");
    let texts: Vec<_> = (0..CLIENTS).map(|n| request("/pay", &format!("pay-{n}"), "", "42 EUR")).collect();
    let parts: Vec<_> = texts.iter().map(|text| text.split_at(text.len() / 2)).collect();
    sleep_until(start + BEGIN_AT);
    for (client, (first, _)) in clients.iter_mut().zip(&parts) {
        send(client, first);
    }
    for (number, (client, (_, rest))) in (0..).zip(clients.iter_mut().zip(&parts)) {
        sleep_until(start + FINISH_AT + number * FINISH_INTERVAL);
        send(client, rest);
    }
    let answers: Vec<_> = clients.iter_mut().map(answer).collect();
    courier.exit();
    let log = courier.unread_log();
    let is_received = |number: &usize| received(&log).contains(format!("pay-{number}").as_str());
    let lost: Vec<_> = (0..answers.len()).filter(|n| answers[*n].is_none() && is_received(n)).collect();
    assert!(lost.is_empty(), "{} read and not answered: {lost:?}", lost.len());
    let next = Courier::serve(&folder, &file);
    assert_eq!(next.post("/pay", "last", "", "42 EUR").status(), 202);
    let with_status = |is_meant: fn(u16) -> bool| {
        let meant = (0..answers.len()).filter(|n| answers[*n].is_some_and(is_meant));
        meant.map(|n| format!("pay-{n}")).collect::<BTreeSet<_>>()
    };
    let accepted = with_status(|status| status == ACCEPTED);
    wait_until("the accepted payments", || {
        let ids: BTreeSet<_> = endpoint.ids().into_iter().collect();
        ids.contains("last") && accepted.is_subset(&ids)
    });
    thread::sleep(4 * READ_TIME);
    let ids: BTreeSet<_> = endpoint.ids().into_iter().collect();
    let refused = with_status(|status| status != ACCEPTED);
    let sent: Vec<_> = refused.intersection(&ids).collect();
    assert!(sent.is_empty(), "{} of {} refused payments were sent: {sent:?}", sent.len(), refused.len());
}

// Guards against a kept connection that SIGTERM closes as idle though part of a request was read from it.
#[test]
fn request_that_has_begun_on_a_kept_connection_is_answered_after_sigterm() {
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    let mut connection = connect(setup.courier.address);
    send(&mut connection, &message("first", "status", 7, DEADLINE_MS));
    assert_eq!(answer(&mut connection), Some(ACCEPTED));
    assert_answered_across_sigterm(&setup.courier, &mut connection);
}

// Guards against an answer that is lost because its connection closes over part of the next request: SIGTERM comes while
// the first one waits for its sync.
#[test]
fn request_is_answered_though_part_of_the_next_one_came_before_sigterm() {
    let folder = TestFolder::new();
    let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
    let file = operator_file(endpoint.address);
    let mut command = serve_command(&folder, &file);
    let faults = MachineFaults::load(&mut command, &folder, "");
    let courier = Courier::spawn(&mut command);
    faults.set("sync slow 1");
    let mut connection = connect(courier.address);
    send(&mut connection, &request("/pay", "first", "", "42 EUR"));
    thread::sleep(READ_TIME);
    let second = request("/pay", "second", "", "42 EUR");
    let (begun, rest) = second.split_at(second.len() / 2);
    send(&mut connection, begun);
    thread::sleep(READ_TIME);
    courier.signal("-TERM");
    thread::sleep(READ_TIME);
    send(&mut connection, rest);
    assert_eq!(answer(&mut connection), Some(ACCEPTED));
    wait_until("the first payment", || endpoint.ids().contains(&"first".to_owned()));
}

// Guards against requests that are dropped because SIGTERM ends a start that already serves clients, and still waits for
// another address.
#[test]
fn request_that_has_begun_is_answered_though_sigterm_ends_the_start() {
    let folder = TestFolder::new();
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    let (http, taken) = (free_address(), TcpListener::bind("127.0.0.1:0").expect("an address"));
    let admin = taken.local_addr().expect("its address");
    let file = format!(
        "name = \"depot\"\n[listen]\nhttp = \"{http}\"\nadmin = \"{admin}\"\n\
         [classes.payment]\neffect = \"once\"\n[pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n",
        endpoint.address
    );
    let mut child = serve_command(&folder, &file).spawn().expect("it starts");
    let text = request("/pay", "early", "", "42 EUR");
    let (begun, _) = text.split_at(text.len() / 2);
    let mut connection = None;
    wait_until("the listener", || {
        connection = TcpStream::connect(http).ok().map(BufReader::new);
        connection.is_some()
    });
    let mut connection = connection.expect("a connection");
    send(&mut connection, begun);
    thread::sleep(READ_TIME);
    let id = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &id]).status().expect("kill").success());
    child.wait().expect("its end");
    let mut answer = Vec::new();
    // What was not read makes the close a reset: the client sends its request once more, elsewhere.
    let is_unread =
        connection.read_to_end(&mut answer).is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    assert!(is_unread || !answer.is_empty(), "part of it was read, and it was not answered");
}

// Guards against an answer that is cut off because its connection counts as idle once the answer is decided, and is
// closed for a new one before the answer is written.
#[test]
fn answer_that_is_not_written_yet_is_not_cut_off_for_a_new_connection() {
    let setup = TestSetup::with_sockets(SOCKETS, |_| EndpointAction::Respond(OK));
    let (courier, faults) = (&setup.courier, &setup.faults);
    let warm_up = |number: usize| {
        let mut client = connect(courier.address);
        send(&mut client, &message(&format!("warm-{number}"), "status", 7, DEADLINE_MS));
        assert_eq!(answer(&mut client), Some(ACCEPTED));
        client
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(warm_up).collect();
    faults.set("send ENOBUFS 1");
    for (number, client) in clients.iter_mut().enumerate() {
        send(client, &message(&format!("held-{number}"), "status", 7, DEADLINE_MS));
    }
    thread::sleep(READ_TIME);
    let crowd: Vec<_> = (0..4 * CLIENTS).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
    thread::sleep(4 * READ_TIME);
    faults.set("");
    let answers: Vec<_> = clients.iter_mut().map(answer).collect();
    drop(crowd);
    let log = courier.unread_log();
    let lost: Vec<_> = (0..CLIENTS)
        .filter(|number| answers[*number].is_none())
        .map(|number| format!("held-{number}"))
        .filter(|id| received(&log).contains(id.as_str()))
        .collect();
    assert!(lost.is_empty(), "{} read and not answered: {lost:?}", lost.len());
}

// Guards against a connection that is closed for a new one though part of a request was read from it, without a word to
// its client.
#[test]
fn request_that_has_begun_is_answered_when_its_connection_is_closed_for_a_new_one() {
    let setup = TestSetup::with_sockets(SOCKETS, |_| EndpointAction::Respond(OK));
    let address = setup.courier.address;
    let text = message("begun", "status", 7, DEADLINE_MS);
    let (begun, rest) = text.split_at(text.len() / 2);
    let begin = |_| {
        let mut client = connect(address);
        send(&mut client, begun);
        client
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(begin).collect();
    thread::sleep(READ_TIME);
    let crowd: Vec<_> = (0..CLIENTS).map(|_| connect(address)).collect();
    thread::sleep(READ_TIME);
    clients.iter_mut().for_each(|client| send(client, rest));
    let unanswered = clients.iter_mut().map(answer).filter(Option::is_none).count();
    drop(crowd);
    assert_eq!(unanswered, 0, "of {CLIENTS} requests of which a part was read");
}

// Guards against a request whose end comes just after the time-out of its head, and that is closed without an answer.
#[test]
fn request_that_comes_too_slowly_is_answered() {
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    let text = message("slow", "status", 7, DEADLINE_MS);
    let (begun, rest) = text.split_at(text.len() / 2);
    let mut connection = connect(setup.courier.address);
    send(&mut connection, begun);
    thread::sleep(Duration::from_millis(2_550));
    send(&mut connection, rest);
    assert!(answer(&mut connection).is_some(), "part of it was read, and it was not answered");
}

// Guards against a client that closes only its sending side, waits for the answer, and gets none.
#[test]
fn client_that_closes_only_its_sending_side_is_answered() {
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    for number in 0..20 {
        let mut connection = connect(setup.courier.address);
        send(&mut connection, &message(&format!("half-{number}"), "status", 7, DEADLINE_MS));
        if number % 2 == 0 {
            thread::sleep(number * MS / 2);
        }
        connection.get_ref().shutdown(Shutdown::Write).expect("closed");
        assert!(answer(&mut connection).is_some(), "half-{number} is not answered");
    }
    assert!(setup.discovery.notices.lock().expect("notices").is_empty());
}

/// Stops a courier's process, writes a request on each connection, lets the process go on at `until`, and returns how
/// many requests were not answered. The process was held up between two looks at its sockets, as by a busy machine.
fn unanswered_after_pause(courier: &Courier, clients: &mut [BufReader<TcpStream>], until: Instant) -> usize {
    courier.signal("-STOP");
    for (number, client) in clients.iter_mut().enumerate() {
        send(client, &message(&format!("paused-{number}"), "status", 7, DEADLINE_MS));
    }
    sleep_until(until);
    courier.signal("-CONT");
    clients.iter_mut().map(answer).filter(Option::is_none).count()
}

// Guards against a connection that is closed for lack of a first byte over a request that has arrived.
#[test]
fn request_that_arrived_before_the_first_byte_timeout_is_answered() {
    const CLIENTS: usize = 40;
    const MARGIN: Duration = Duration::from_millis(100);
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    let first = Instant::now();
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| connect(setup.courier.address)).collect();
    let last = Instant::now();
    sleep_until(first + MAX_SILENCE - MARGIN);
    let unanswered = unanswered_after_pause(&setup.courier, &mut clients, last + MAX_SILENCE + MARGIN);
    assert_eq!(unanswered, 0, "of {CLIENTS} requests that had arrived");
}

// Guards against a connection that the end of a stop closes over a request that has arrived.
#[test]
fn request_that_arrived_before_the_end_of_a_stop_is_answered() {
    const CLIENTS: usize = 40;
    /// A silent connection is closed before the end of a stop unless it is new by then.
    const CONNECT_AT: Duration = Duration::from_millis(600);
    const MARGIN: Duration = Duration::from_millis(50);
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    let start = Instant::now();
    setup.courier.signal("-TERM");
    sleep_until(start + CONNECT_AT);
    let connected = (0..CLIENTS).map(|_| connect_in_time(setup.courier.address, start));
    let mut clients: Vec<_> = connected.flatten().collect();
    sleep_until(start + END_OF_REQUESTS - MARGIN);
    let until = start + END_OF_REQUESTS + MARGIN;
    let unanswered = unanswered_after_pause(&setup.courier, &mut clients, until);
    assert!(!clients.is_empty(), "this machine held up all {CLIENTS} clients");
    assert_eq!(unanswered, 0, "of {} requests that had arrived", clients.len());
}

// Guards against a connection that is closed for a new one over a request that has arrived.
#[test]
fn request_that_arrived_is_answered_though_a_new_connection_needs_a_place() {
    const ROUNDS: usize = 5;
    /// With one more a place is made at once, before a request comes.
    const CLIENTS_AT_REST: usize = CLIENTS - 1;
    for round in 0..ROUNDS {
        let setup = TestSetup::with_sockets(SOCKETS, |_| EndpointAction::Respond(OK));
        let courier = &setup.courier;
        let mut clients: Vec<_> = (0..CLIENTS_AT_REST).map(|_| connect(courier.address)).collect();
        thread::sleep(READ_TIME);
        courier.signal("-STOP");
        let newcomers: Vec<_> = (0..CLIENTS).map(|_| connect(courier.address)).collect();
        let unanswered = unanswered_after_pause(courier, &mut clients, Instant::now() + READ_TIME);
        drop(newcomers);
        assert_eq!(unanswered, 0, "of {CLIENTS_AT_REST} requests that had arrived, round {round}");
    }
}

// Guards against a kept connection that counts as idle with part of a request read, since bytes of it are taken for the
// rest of the body before: the request before came together with the one that it followed.
#[test]
fn request_that_has_begun_behind_requests_sent_at_once_is_answered_after_sigterm() {
    let setup = TestSetup::start(|_| EndpointAction::Respond(OK));
    let mut connection = connect(setup.courier.address);
    let body = "x".repeat(8 * 1024);
    let first = message_with("first", "status", 7, DEADLINE_MS, &body);
    send(&mut connection, &format!("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n{first}"));
    assert_eq!(answer(&mut connection), Some(200));
    assert_eq!(answer(&mut connection), Some(ACCEPTED));
    assert_answered_across_sigterm(&setup.courier, &mut connection);
}

// Guards against a repeat whose body is read only to be discarded, since there is no memory for it, and that the end of a
// stop cuts off.
#[test]
fn repeat_without_memory_whose_body_comes_slowly_is_answered_at_the_end_of_a_stop() {
    const CONNECT_AT: Duration = Duration::from_millis(350);
    /// A body may take 700 ms, and is incomplete when the courier ends all requests.
    const BEGIN_AT: Duration = Duration::from_millis(2_600);
    let (folder, endpoint) = (TestFolder::new(), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let memory = "[memory]\nbodies_read = \"70KB\"\nclient_share = 1.0\n";
    let courier = Courier::serve(&folder, &(operator_file(endpoint.address) + memory));
    let repeated = request("/pay", "known", "", &"x".repeat(20_000));
    let mut first = connect(courier.address);
    send(&mut first, &repeated);
    assert_eq!(answer(&mut first), Some(ACCEPTED));
    let start = Instant::now();
    courier.signal("-TERM");
    sleep_until(start + CONNECT_AT);
    let clients = (connect_in_time(courier.address, start), connect_in_time(courier.address, start));
    let (Some(mut holder), Some(mut repeat)) = clients else { panic!("this machine held up both clients") };
    sleep_until(start + BEGIN_AT);
    let held = request("/pay", "held", "", &"x".repeat(60_000));
    send(&mut holder, &held[..held.len() / 2]);
    thread::sleep(READ_TIME);
    send(&mut repeat, &repeated[..repeated.len() / 2]);
    assert_eq!(answer(&mut repeat), Some(ACCEPTED), "the repeat");
    assert!(answer(&mut holder).is_some(), "the request that has the memory");
}
