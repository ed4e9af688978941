//! Courier processes under adverse conditions: configuration reloads, misbehaving clients, malformed answers, replaced
//! endpoints and scarce connections, against fake endpoints on loopback.

use serde_json::Value;
use stairshed_rig::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Starts one endpoint of destination 7 and a discovery service that lists it as ready.
fn single_endpoint(
    act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static,
) -> (TestFolder, Endpoint, Discovery) {
    let endpoint = Endpoint::new(act);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (TestFolder::new(), endpoint, discovery)
}

// ---- configuration reloads -----------------------------------------------------------------------

#[test]
fn reload_moves_the_watch_and_notices_to_the_new_discovery() {
    let (folder, _endpoint, old) = single_endpoint(|_| EndpointAction::CloseConnection);
    old.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &old);
    wait_until("the first watch", || old.watches.load(Ordering::SeqCst) == 1);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("a retried notice", || old.posts.load(Ordering::SeqCst) >= 2);

    let other = Endpoint::new(|_| EndpointAction::Respond(OK));
    let new = Discovery::new(list(1, true, vec![host("s-2", &other, 9, "ready")]));
    courier.reload(&folder, &config(&new, Value::Null).to_string());
    wait_until("the batch at the new discovery", || new.results("pay") == ["dead"]);
    wait_until("the new watch", || new.watches.load(Ordering::SeqCst) == 1);
    let asked = new.asked.lock().expect("asked").clone();
    assert!(
        !asked[0].contains("index="),
        "the first watch must not carry the index of the old discovery: {asked:?}"
    );
    // Endpoints that only the new discovery lists can be reached, and those that it does not list are removed.
    let mut n = 0;
    wait_until("the list of the new discovery", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
    wait_until("the call", || !other.calls().is_empty());
    assert!(old.notices.lock().expect("notices").is_empty());
}

#[test]
fn a_configuration_that_cannot_be_read_keeps_the_old_settings() {
    let (folder, endpoint, old) =
        single_endpoint(
            |n| if n == 0 { EndpointAction::CloseConnection } else { EndpointAction::Respond(OK) },
        );
    let courier = Courier::start(&folder, &old);
    wait_until("the first watch", || old.watches.load(Ordering::SeqCst) == 1);
    courier.reload(&folder, "{\"discovery\":");
    courier.wait_for_log("not read again");
    let mut bad = config(&old, Value::Null);
    bad["discovery"] = "nowhere".into();
    courier.reload(&folder, &bad.to_string());
    courier.wait_for_log("nowhere");
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("the notice at the old address", || old.results("pay") == ["dead"]);
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids().contains(&"m".to_owned()));
    assert_eq!(old.watches.load(Ordering::SeqCst), 1, "the watch must not be restarted");
}

#[test]
fn a_restart_after_a_reload_uses_the_address_in_the_file() {
    let (folder, endpoint, old) = single_endpoint(|_| EndpointAction::Respond(OK));
    let new = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    // The environment still names the old discovery.
    let mut command = command(&folder, &old, &config(&new, Value::Null));
    let courier = Courier::spawn(&mut command);
    wait_until("the watch at the new one", || new.watches.load(Ordering::SeqCst) == 1);
    drop(courier);
    assert_eq!(old.watches.load(Ordering::SeqCst), 0);
}

// ---- malformed answers ----------------------------------------------------------------------------------

/// Starts an endpoint that answers its first call with `text`, and later calls with valid, distinct answers.
fn endpoint_with_first_answer(text: &'static str) -> (TestFolder, Endpoint, Discovery) {
    single_endpoint(move |n| {
        if n == 0 { EndpointAction::Respond(text) } else { EndpointAction::RespondDistinct(Duration::ZERO) }
    })
}

#[test]
fn an_answer_that_begins_with_200_counts_as_delivered_whatever_follows() {
    let malformed = [
        "HTTP/1.1 200 OK\r\nno head at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5, 7\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT x0=",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\u{1}\u{2}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Server-Load: \u{e9}\u{1f}= x0, x1=\r\nContent-Length: 0\r\n\r\n",
    ];
    let all = malformed.map(|text| {
        let (folder, endpoint, discovery) = endpoint_with_first_answer(text);
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 3_000);
        wait_until("the call", || endpoint.calls().len() == 1);
        courier.submit_accepted("next", "payment", 7, 20_000);
        wait_until("the next call", || endpoint.calls().len() == 2);
        (folder, endpoint, discovery, courier)
    });
    // The first message's deadline has passed: if it did not count as delivered, a notice has reported it as dead.
    thread::sleep(4_000 * MS);
    for ((_, endpoint, discovery, _), text) in all.iter().zip(malformed) {
        assert_eq!(endpoint.ids(), ["pay", "next"], "{text:?}");
        assert!(discovery.notices.lock().expect("notices").is_empty(), "{text:?}");
        assert_ne!(endpoint.calls()[1].connection, 0, "{text:?}: its connection must not be reused");
    }
}

#[test]
fn a_payment_may_have_run_after_any_other_malformed_answer() {
    for malformed in [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 50\r\n\r\nnot fifty",
        "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nno head\r\n\r\n",
        "HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\n",
        "\u{1}\u{2}noise and more of it\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    ] {
        let (folder, endpoint, discovery) = endpoint_with_first_answer(malformed);
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the notice", || discovery.results("pay") == ["dead"]);
        courier.submit_accepted("next", "status", 7, 20_000);
        wait_until("the next call", || endpoint.calls().len() == 2);
        assert_eq!(endpoint.ids(), ["pay", "next"], "{malformed:?}");
        assert_ne!(endpoint.calls()[1].connection, 0, "{malformed:?}: its connection must not be reused");
    }
}

// Guards against matching the rest of a duplicated answer to the message that is in flight.
#[test]
fn malformed_answer_on_a_used_connection_does_not_count_as_delivered() {
    for malformed in [
        "HTTP/1.1 200 OK\r\nno head at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nnot fifty",
    ] {
        let act = move |n| {
            if n == 2 {
                EndpointAction::Respond(malformed)
            } else {
                EndpointAction::RespondDistinct(Duration::ZERO)
            }
        };
        let (folder, endpoint, discovery) = single_endpoint(act);
        let courier = Courier::start(&folder, &discovery);
        for n in 0..3 {
            courier.submit_accepted(&format!("p{n}"), "payment", 7, 20_000);
            wait_until("the call", || endpoint.calls().len() == n + 1);
        }
        assert_eq!(endpoint.calls()[2].connection, endpoint.calls()[1].connection, "{malformed:?}");
        wait_until("the notice", || discovery.results("p2") == ["dead"]);
        assert_eq!(endpoint.calls().len(), 3, "{malformed:?}");
    }
}

#[test]
fn an_endless_answer_head_does_not_hold_its_slot_until_the_timeout() {
    let (folder, endpoint, discovery) = endpoint_with_first_answer("HTTP/1.1 500 No\r\nX-One: a\r\n");
    let courier = Courier::start(&folder, &discovery);
    let start = Instant::now();
    courier.submit_accepted("pay", "payment", 7, 50_000);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    assert!(start.elapsed() < 25_000 * MS, "the deadline was 50 s refused");
    assert_eq!(endpoint.calls().len(), 1);
}

#[test]
fn bytes_after_a_complete_answer_are_not_matched_to_another_call() {
    for more in [
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nnoise",
    ] {
        let (folder, endpoint, discovery) = endpoint_with_first_answer(more);
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("p0", "payment", 7, 20_000);
        wait_until("the call", || endpoint.calls().len() == 1);
        courier.submit_accepted("p1", "payment", 7, 20_000);
        wait_until("the next call", || endpoint.calls().len() == 2);
        courier.submit_accepted("p2", "payment", 7, 20_000);
        wait_until("the last call", || endpoint.calls().len() == 3);
        let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
        assert_eq!(connections, [0, 1, 1], "{more:?}");
        assert!(discovery.notices.lock().expect("notices").is_empty(), "{more:?}");
    }
}

#[test]
fn answers_after_a_1xx_or_with_an_unreadable_load_report_are_valid() {
    let (folder, endpoint, discovery) = single_endpoint(|n| match n {
        1 => EndpointAction::Respond(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
        ),
        2 => EndpointAction::Respond(
            "HTTP/1.1 200 OK\r\nX-Server-Load: \u{e9}= x0, x1=\r\nContent-Length: 3\r\n\r\ntwo",
        ),
        _ => EndpointAction::RespondDistinct(Duration::ZERO),
    });
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("p{n}"), "payment", 7, 20_000);
        wait_until("the call", || endpoint.calls().len() == n + 1);
    }
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 1, 1], "the connection is reused after either answer");
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

fn endpoint_that_breaks_reused_connections() -> (TestFolder, Endpoint, Discovery) {
    let used = std::sync::Mutex::new(std::collections::HashSet::new());
    let endpoint = Endpoint::by_connection(move |connection| {
        let first = used.lock().expect("connections").insert(connection);
        if first { EndpointAction::Respond(OK) } else { EndpointAction::CloseConnection }
    });
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (TestFolder::new(), endpoint, discovery)
}

#[test]
fn a_payment_is_not_sent_on_a_reused_connection_to_an_endpoint_that_breaks_them() {
    // Each connection serves one call and breaks at the next.
    let (folder, endpoint, discovery) = endpoint_that_breaks_reused_connections();
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("s{n}"), "status", 7, 20_000);
        wait_until("the call", || endpoint.calls().len() > n);
        thread::sleep(70 * MS);
    }
    for n in 0..4 {
        courier.submit_accepted(&format!("p{n}"), "payment", 7, 20_000);
        wait_until("the call", || endpoint.ids().contains(&format!("p{n}")));
        thread::sleep(70 * MS);
    }
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the last call", || endpoint.ids().contains(&"end".to_owned()));
    assert!(
        discovery.notices.lock().expect("notices").is_empty(),
        "a message was lost on a reused connection"
    );
}

// ---- replaced endpoints --------------------------------------------------------------------------------

#[test]
fn a_new_endpoint_at_the_address_of_a_removed_one_does_not_inherit_its_connections() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m0", "status", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    discovery.tell(list(
        2,
        false,
        vec![host("s-1", &endpoint, 7, "gone"), host("s-2", &endpoint, 8, "ready")],
    ));
    let mut n = 0;
    wait_until("the destination of the new endpoint", || {
        n += 1;
        courier.submit(&format!("n{n}"), "status", 8, 20_000).status() == 202
    });
    wait_until("the call", || endpoint.calls().len() == 2);
    assert_eq!(endpoint.calls()[1].connection, 1);
}

// ---- misbehaving clients ---------------------------------------------------------------------------------------

fn open(courier: &Courier, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(courier.address).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream.write_all(bytes.as_bytes()).expect("sent");
    stream
}

#[test]
fn an_incomplete_or_invalid_request_is_answered_or_closed_soon() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let good = message("m", "status", 7, 20_000);
    let start = Instant::now();
    let cases = ["", "POST /sta", &good[..60], &good[..good.len() - 3]];
    let open = cases.map(|bytes| open(&courier, bytes));
    for (mut stream, case) in open.into_iter().zip(cases) {
        let mut answer = Vec::new();
        // A reset counts as a close.
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 4"), "{case:?}: {answer:?}");
    }
    assert!(start.elapsed() < 20_000 * MS, "{:?}", start.elapsed());
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids() == ["end"]);
}

#[test]
fn a_request_with_ambiguous_length_or_id_is_refused_and_never_forwarded() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let good = message("bad", "status", 7, 20_000);
    let length = "Content-Length: 5\r\n";
    let hidden = message("hidden", "status", 7, 20_000);
    let coded = format!("0\r\n\r\n{hidden}");
    for bad in [
        good.replace(length, &format!("{length}Transfer-Encoding: chunked\r\n")).replace("bo\0dy", &coded),
        good.replace(length, &format!("Transfer-Encoding: chunked\r\n{length}")).replace("bo\0dy", &coded),
        good.replace(length, &format!("{length}{length}")),
        good.replace(length, "Content-Length: 5\r\nContent-Length: 6\r\n"),
        good.replace(length, "Content-Length: -5\r\n"),
        good.replace(length, "Content-Length: 99999999999999999999\r\n"),
        good.replace(length, "Content-Length: 60000000\r\n"),
        format!("{good}{hidden}"),
    ] {
        let page = exchange(courier.address, bad.as_bytes()).unwrap_or_else(|| panic!("no answer to {bad}"));
        assert!((400..500).contains(&page.status()), "{} to {bad}", page.start_line);
        assert_eq!(page.header("connection"), Some("close"), "{bad}");
    }
    for twice in ["X-Request-ID: a", "X-Timeout: 9m", "Envelope: dest=7", "Idempotency-Key: b"] {
        let bad = good.replace(length, &format!("{twice}\r\n{length}"));
        assert_eq!(exchange(courier.address, bad.as_bytes()).map(|p| p.status()), Some(400), "{bad}");
    }
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the call", || !endpoint.calls().is_empty());
    assert_eq!(endpoint.ids(), ["end"]);
}

#[test]
fn hundreds_of_clients_with_incomplete_heads_do_not_block_a_regular_client() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let mut regular_client = open(&courier, &message("m0", "status", 7, 20_000));
    let mut answers = BufReader::new(regular_client.try_clone().expect("a handle"));
    assert_eq!(HttpMessage::read(&mut answers).expect("an answer").status(), 202);
    let start = Instant::now();
    let half = &message("half", "status", 7, 20_000)[..40];
    let incomplete_clients: Vec<_> =
        (0..500).map(|n| open(&courier, if n % 2 == 0 { half } else { "" })).collect();
    courier.submit_accepted("m1", "status", 7, 20_000);
    assert!(start.elapsed() < 20_000 * MS, "{:?}", start.elapsed());
    // The connection that was used before is still open.
    regular_client.write_all(message("m2", "status", 7, 20_000).as_bytes()).expect("sent");
    assert_eq!(HttpMessage::read(&mut answers).expect("the connection was kept open").status(), 202);
    wait_until("the calls", || endpoint.calls().len() == 3);
    drop(incomplete_clients);
}

#[test]
fn clients_with_idle_persistent_connections_do_not_block_others() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let start = Instant::now();
    let mut kept = Vec::new();
    for n in 0..700 {
        let stream = open(&courier, &message(&format!("m{n}"), "status", 7, 20_000));
        let mut answers = BufReader::new(stream);
        let page = HttpMessage::read(&mut answers).expect("an answer");
        assert!([202, 429].contains(&page.status()), "{page:?}");
        kept.push(answers);
    }
    // If only connections that have been idle for 2 s were evicted, this would take 8 s.
    assert!(start.elapsed() < 6_000 * MS, "{:?}", start.elapsed());
}

// ---- scarce connections -----------------------------------------------------------------

/// Starts an endpoint that holds this many connections and refuses each further one at once.
fn endpoint_with_max_connections(connections: usize) -> (TestFolder, Endpoint, Discovery) {
    let full = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let endpoint = Endpoint::holding(connections, move |call| {
        if call.admitted {
            EndpointAction::RespondDistinct(20 * MS)
        } else {
            EndpointAction::RespondAndClose(full)
        }
    });
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (TestFolder::new(), endpoint, discovery)
}

#[test]
fn open_connections_keep_serving_when_no_more_can_be_opened() {
    const ALL: usize = 80;
    let (folder, endpoint, discovery) = endpoint_with_max_connections(1);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the first call", || endpoint.calls().len() == 1);
    for n in 0..ALL {
        courier.submit_accepted(&format!("m{n}"), "status", 7, 20_000);
    }
    // Sent one after the other on the only connection, they take 2 s of their deadline of 20 s.
    let admitted = || endpoint.calls().into_iter().filter(|c| c.admitted);
    let served = || admitted().count();
    wait_until("all on one connection", || served() + discovery.notices.lock().expect("notices").len() > ALL);
    let ended = discovery.notices.lock().expect("notices").len();
    assert_eq!((served(), ended), (ALL + 1, 0), "all are served on the first connections");
    // The first connection is closed, because it is not known yet whether the endpoint's answers are distinct.
    let connections: std::collections::BTreeSet<_> = admitted().map(|c| c.connection).collect();
    assert!(connections.len() <= 2, "the open connection was closed: {connections:?}");
    // Further connections were attempted in a burst before the first refusal, and with growing backoff after it.
    let refused = endpoint.calls().len() - served();
    assert!(refused <= ALL / 2, "{refused} calls were refused");
}

// Guards against refusing a payment because its own courier holds the endpoint's last connection idle.
#[test]
fn payment_does_not_wait_for_a_connection_that_its_courier_holds_idle() {
    let (folder, scarce, discovery) = endpoint_with_max_connections(1);
    let other = Endpoint::new(|_| EndpointAction::RespondDistinct(Duration::ZERO));
    let hosts = vec![host("s-1", &scarce, 7, "ready"), host("s-2", &other, 9, "ready")];
    discovery.lines.lock().expect("lines")[0] = list(1, true, hosts);
    let courier = Courier::start(&folder, &discovery);
    // The other endpoint's answers are distinct, so those of the scarce endpoint are presumed to be.
    for n in 0..2 {
        courier.submit_accepted(&format!("other{n}"), "status", 9, 20_000);
        wait_until("a call", || other.calls().len() == n + 1);
    }
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the first call", || scarce.calls().len() == 1);
    courier.submit_accepted("pay", "payment", 7, 3_000);
    let admitted = || scarce.calls().into_iter().filter(|c| c.admitted).map(|c| c.id).collect::<Vec<_>>();
    wait_until("the second call or a notice", || {
        admitted().len() == 2 || !discovery.results("pay").is_empty()
    });
    assert_eq!(admitted(), ["first", "pay"]);
}

// ---- destinations at their limit ----------------------------------------------------------------------

#[test]
fn a_message_that_the_rate_limit_cannot_serve_in_time_is_refused_on_submission() {
    const SLOW: &str = "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT x0=0.5, x1=5\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(SLOW));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the first call", || endpoint.calls().len() == 1);
    // Its answer allows 5 calls a second; some messages were accepted before it arrived.
    let mut page = HttpMessage::default();
    let mut accepted = 0;
    while page.status() != 429 && accepted < 80 {
        page = courier.submit(&format!("m{accepted}"), "status", 7, 8_000);
        accepted += 1;
    }
    assert_eq!(page.status(), 429, "{accepted} were accepted, and 48 can be served");
    let wait = page.header("retry-after").and_then(|w| w.parse::<f64>().ok());
    assert!(wait.is_some_and(|w| w > 0.0), "Retry-After is missing or invalid: {wait:?}");
}

#[test]
fn the_last_slots_go_to_the_faster_endpoint_despite_its_fee() {
    let near = Endpoint::new(|_| EndpointAction::RespondAfter(300 * MS, OK));
    let far = Endpoint::new(|_| EndpointAction::Respond(OK));
    let other = Endpoint::new(|_| EndpointAction::RespondAfter(5_000 * MS, OK));
    let mut costlier = host("s-2", &far, 7, "ready");
    costlier["site"] = "b".into();
    let hosts = vec![host("s-1", &near, 7, "ready"), costlier, host("s-3", &other, 9, "ready")];
    let (folder, discovery) = (TestFolder::new(), Discovery::new(list(1, true, hosts)));
    let courier = Courier::start(&folder, &discovery);
    // The fee decides while slots are free.
    for n in 0..3 {
        courier.submit_accepted(&format!("early{n}"), "status", 7, 20_000);
        wait_until("a call", || near.calls().len() + far.calls().len() == n + 1);
    }
    assert!(far.calls().is_empty());
    // One destination may use six of the eight slots.
    for n in 0..6 {
        courier.submit_accepted(&format!("long{n}"), "payment", 9, 20_000);
    }
    wait_until("six slow calls", || other.calls().len() == 6);
    for n in 0..6 {
        courier.submit_accepted(&format!("m{n}"), "status", 7, 20_000);
    }
    wait_until("all calls", || near.calls().len() + far.calls().len() == 9);
    assert!(!far.calls().is_empty(), "the slow endpoint received every call");
}
