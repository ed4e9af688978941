//! End-to-end tests of the courier process against fake endpoints and a fake discovery service on loopback.

use serde_json::{Value, json};
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const TOO_MANY_REQUESTS_WAIT_700MS: &str =
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";
const INTERNAL_SERVER_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// Starts one endpoint of destination 7 and a discovery service that lists it as ready.
fn single_endpoint(
    act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static,
) -> (TestFolder, Endpoint, Discovery) {
    let endpoint = Endpoint::new(act);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (TestFolder::new(), endpoint, discovery)
}

#[test]
fn a_message_is_delivered_with_its_id_key_and_body() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::RespondDistinct(Duration::ZERO));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m1", "notice", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    let call = endpoint.calls().remove(0);
    assert_eq!((call.id.as_str(), call.page.body.as_slice()), ("m1", b"bo\0dy".as_slice()));
    assert!(call.page.start_line.starts_with("POST /inbox "));
    assert_eq!(call.page.header("idempotency-key"), Some("key-m1"));
    assert!(call.page.header("x-timeout").is_some_and(|t| t.ends_with('m')));
    courier.submit_accepted("m2", "payment", 7, 20_000);
    wait_until("the second call", || endpoint.calls().len() == 2);
    courier.submit_accepted("m3", "payment", 7, 20_000);
    wait_until("the third call", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.calls()[2].connection, endpoint.calls()[1].connection, "the connection is kept");
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn accepted_messages_survive_sigkill_and_are_delivered_once() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let nowhere = Endpoint::new(|_| EndpointAction::Hang);
    // The only endpoint is draining, so messages are accepted and held.
    discovery.lines.lock().expect("lines")[0] = list(1, true, vec![host("s-0", &nowhere, 7, "draining")]);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..5 {
        courier.submit_accepted(&format!("m{n}"), ["notice", "status", "payment"][n % 3], 7, 25_000);
    }
    courier.kill();
    discovery.tell(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    let courier = Courier::start(&folder, &discovery);
    wait_until("all five", || endpoint.calls().len() == 5);
    // Leaves time for the answers to be read and written to the journal.
    thread::sleep(1000 * MS);
    courier.kill();
    // A further restart must not send a delivered message again.
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last", || endpoint.ids().contains(&"last".to_owned()));
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["last", "m0", "m1", "m2", "m3", "m4"]);
    assert!(nowhere.calls().is_empty());
}

#[test]
fn a_payment_in_flight_at_sigkill_ends_as_dead_and_is_never_sent_again() {
    let (folder, endpoint, discovery) =
        single_endpoint(|n| if n < 2 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    courier.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    courier.kill();
    let _courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    wait_until("the repeat of the other", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.ids()[2], "state", "a repeatable message is sent again");
    assert!(discovery.results("state").is_empty());
}

#[test]
fn a_keyed_message_that_may_have_run_stays_in_its_zone_after_a_restart() {
    let (near, distant) =
        (Endpoint::new(|_| EndpointAction::Hang), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let mut far = host("s-2", &distant, 7, "ready");
    far["site"] = json!("b");
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &near, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("key", "notice", 7, 8_000);
    wait_until("the call", || near.calls().len() == 1);
    courier.kill();
    // Only the other zone is ready now; its endpoints cannot recognize a duplicate of this key.
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![host("s-1", &near, 7, "draining"), far]);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("new", "notice", 7, 20_000);
    wait_until("a new message is sent to the other zone", || distant.ids() == ["new"]);
    wait_until("its end", || discovery.results("key") == ["dead"]);
    assert_eq!(distant.ids(), ["new"]);
}

#[test]
fn a_keyed_message_that_may_have_run_stays_in_its_zone_when_the_settings_name_no_zones() {
    let ends =
        ["x", "y"].map(|site| (site, Endpoint::new(|_| EndpointAction::Respond(INTERNAL_SERVER_ERROR))));
    let hosts = ends.iter().map(|(site, endpoint)| {
        let mut host = host(&format!("s-{site}"), endpoint, 7, "ready");
        host["site"] = json!(site);
        host
    });
    let discovery = Discovery::new(list(1, true, hosts.collect()));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    let calls = |id: &str| ends.each_ref().map(|(_, e)| e.ids().iter().filter(|i| *i == id).count());
    for n in 0..6 {
        courier.submit_accepted(&format!("m{n}"), "notice", 7, 8_000);
    }
    let mut again = 0;
    for id in (0..6).map(|n| format!("m{n}")) {
        // A message that was never sent to an endpoint ends as bounced.
        wait_until("its end", || !discovery.results(&id).is_empty());
        let [x, y] = calls(&id);
        assert!(
            x == 0 || y == 0,
            "{id}: {x} calls in one zone and {y} in the other, which knows no key of it"
        );
        again += usize::from(x + y > 1);
    }
    assert!(again > 0, "no message was retried in the zone that knows its key");
}

#[test]
fn a_message_of_a_keyed_class_without_a_key_is_sent_once() {
    let (folder, endpoint, discovery) =
        single_endpoint(
            |n| if n < 2 { EndpointAction::CloseConnection } else { EndpointAction::Respond(OK) },
        );
    let courier = Courier::start(&folder, &discovery);
    let bare = message("bare", "notice", 7, 20_000).replace("Idempotency-Key: key-bare\r\n", "");
    assert_eq!(exchange(courier.address, bare.as_bytes()).expect("an answer").status(), 202);
    wait_until("its end", || discovery.results("bare") == ["dead"]);
    courier.submit_accepted("keyed", "notice", 7, 20_000);
    wait_until("the repeat of one with a key", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.ids(), ["bare", "keyed", "keyed"]);
}

#[test]
fn a_message_submitted_again_with_the_same_id_is_sent_once_however_it_ended() {
    // The first payment is delivered, the second may have run. For both, the client's connection is lost before
    // it reads the answer.
    let (folder, endpoint, discovery) =
        single_endpoint(
            |n| if n == 1 { EndpointAction::CloseConnection } else { EndpointAction::Respond(OK) },
        );
    let courier = Courier::start(&folder, &discovery);
    for (n, id) in ["paid", "broken"].into_iter().enumerate() {
        let mut stream = TcpStream::connect(courier.address).expect("a connection");
        stream.write_all(message(id, "payment", 7, 20_000).as_bytes()).expect("written");
        wait_until("its call", || endpoint.calls().len() == n + 1);
        drop(stream);
        if id == "broken" {
            wait_until("its end", || discovery.results(id) == ["dead"]);
        }
        // The end is written to the journal shortly after the endpoint answers. The courier must recognize the id
        // both before and after that.
        for _ in 0..5 {
            assert_eq!(courier.submit(id, "payment", 7, 20_000).status(), 202, "{id} is accepted already");
            thread::sleep(100 * MS);
        }
    }
    courier.submit_accepted("next", "payment", 7, 20_000);
    wait_until("the next call", || endpoint.ids().contains(&"next".to_owned()));
    assert_eq!(endpoint.ids(), ["paid", "broken", "next"]);
    assert_eq!(discovery.results("broken"), ["dead"], "one final answer");
}

#[test]
fn a_wait_requested_by_an_endpoint_applies_to_every_message() {
    let (folder, endpoint, discovery) =
        single_endpoint(|n| EndpointAction::Respond(if n == 0 { TOO_MANY_REQUESTS_WAIT_700MS } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the refusal", || endpoint.calls().len() == 1);
    for n in 0..3 {
        courier.submit_accepted(&format!("m{n}"), "payment", 7, 20_000);
    }
    wait_until("all", || endpoint.calls().len() == 5);
    let calls = endpoint.calls();
    let earliest = calls[1..].iter().map(|c| c.at).min().expect("calls");
    // No call may come before the wait ends, 700 ms after the refusal; checked with 10 ms of tolerance.
    let early = calls[1..].iter().filter(|c| c.at < calls[0].at + 690 * MS);
    assert_eq!(early.count(), 0, "sent {:?} after a wait of 700 ms", earliest - calls[0].at);
}

#[test]
fn a_draining_endpoint_gets_no_new_messages_and_a_complete_list_replaces_the_old_one() {
    let (a, b) =
        (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let discovery =
        Discovery::new(list(1, true, vec![host("s-a", &a, 7, "ready"), host("s-b", &b, 8, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the call", || a.calls().len() == 1);
    // s-a starts draining. The new destination 9 in the same list shows when the courier has applied it.
    let c = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(2, false, vec![host("s-a", &a, 7, "draining"), host("s-c", &c, 9, "ready")]));
    let mut n = 0;
    wait_until("the list update", || {
        n += 1;
        courier.submit(&format!("c{n}"), "status", 9, 20_000).status() == 202
    });
    courier.submit_accepted("m2", "status", 7, 1500);
    wait_until("the end of what cannot be sent", || discovery.results("m2") == ["bounced"]);
    // A complete list without s-b removes it; s-a is ready again and must receive messages.
    discovery.tell(list(3, true, vec![host("s-a", &a, 7, "ready"), host("s-c", &c, 9, "ready")]));
    courier.submit_accepted("m3", "status", 7, 20_000);
    wait_until("the endpoint serves again", || a.calls().len() == 2);
    courier.submit_accepted("m4", "status", 8, 1500);
    wait_until("nothing is left there", || discovery.results("m4") == ["bounced"]);
    assert!(b.calls().is_empty());
    assert_eq!(a.ids(), ["m1", "m3"]);
}

#[test]
fn a_connection_that_the_endpoint_closed_is_not_used_again() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::RespondAndClose(OK));
    let courier = Courier::start(&folder, &discovery);
    for n in 0..6 {
        courier.submit_accepted(&format!("pay{n}"), "payment", 7, 20_000);
        // A call that is sent between the answer and the close counts as one that may have run, so wait for the close.
        wait_until("the call and the close", || endpoint.closed() == n + 1);
    }
    // A payment sent on a stale connection would have ended as one that may have run, with a notice.
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the end", || endpoint.calls().len() == 7);
    assert!(discovery.notices.lock().expect("notices").is_empty());
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_payment_ends_as_dead_after_a_closed_connection_or_a_500() {
    for act in [|| EndpointAction::CloseConnection, || EndpointAction::Respond(INTERNAL_SERVER_ERROR)] {
        let (folder, endpoint, discovery) = single_endpoint(move |_| act());
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the notice", || discovery.results("pay") == ["dead"]);
        assert_eq!(endpoint.calls().len(), 1);
    }
}

#[test]
fn a_timed_out_call_closes_its_connection_and_is_retried() {
    let (folder, endpoint, discovery) =
        single_endpoint(|n| if n == 0 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 25_000);
    wait_until("the repeat", || endpoint.calls().len() == 2);
    let calls = endpoint.calls();
    assert_eq!((calls[0].connection, calls[1].connection), (0, 1));
}

#[test]
fn a_payment_is_retried_after_a_refused_connection() {
    let closed = Endpoint { address: free_address(), seen: Default::default(), closed: Default::default() };
    let discovery = Discovery::new(list(1, true, vec![host("s-0", &closed, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(OK));
    thread::sleep(50 * MS);
    discovery.tell(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    wait_until("the delivery", || endpoint.ids() == ["pay"]);
    assert!(discovery.results("pay").is_empty());
}

#[test]
fn notices_are_sent_until_acknowledged_also_after_a_restart() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::CloseConnection);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("notice attempts", || discovery.posts.load(Ordering::SeqCst) >= 3);
    courier.kill();
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("bad", "payment", 7, 20_000);
    wait_until("another", || discovery.results("bad") == ["dead"]);
    assert!(discovery.results("pay").len() <= 2, "an acknowledged notice was sent again");
}

#[test]
fn the_discovery_watch_is_reopened_when_it_ends() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    wait_until("a watch", || discovery.watches.load(Ordering::SeqCst) == 1);
    discovery.cut.store(1, Ordering::SeqCst);
    wait_until("another", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("the list update", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
    wait_until("the call", || !other.calls().is_empty());
}

#[test]
fn sigterm_waits_for_calls_in_flight_closes_connections_and_exits_cleanly() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::RespondAfter(600 * MS, OK));
    let mut courier = Courier::start(&folder, &discovery);
    let mut idle = TcpStream::connect(courier.address).expect("a connection");
    idle.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    idle.write_all(message("m0", "status", 7, 20_000).as_bytes()).expect("sent");
    let mut idle = BufReader::new(idle);
    assert_eq!(HttpMessage::read(&mut idle).expect("an answer").status(), 202);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    courier.signal("-TERM");
    assert!(HttpMessage::read(&mut idle).is_none(), "an idle connection is closed");
    // A connection that is accepted during shutdown gets an answer with `Connection: close`.
    if let Some(page) = exchange(courier.address, message("m1", "status", 7, 20_000).as_bytes()) {
        assert!([202, 429, 503].contains(&page.status()), "{page:?}");
        assert_eq!(page.header("connection"), Some("close"));
    }
    assert_eq!(courier.exit(), 0);
    drop(courier);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("end", "payment", 7, 20_000);
    wait_until("the end", || endpoint.ids().contains(&"end".to_owned()));
    assert_eq!(endpoint.ids().iter().filter(|id| *id == "pay").count(), 1);
    assert!(discovery.results("pay").is_empty(), "the courier exited before the answer of its call");
}

#[test]
fn a_message_is_not_sent_when_its_client_disconnects_before_the_answer() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    // Stops the process while a request arrives and its client disconnects, as happens on an overloaded machine.
    courier.signal("-STOP");
    let mut client = TcpStream::connect(courier.address).expect("a connection");
    client.write_all(message("gone", "payment", 7, 20_000).as_bytes()).expect("sent");
    drop(client);
    courier.signal("-CONT");
    courier.submit_accepted("here", "payment", 7, 20_000);
    wait_until("the other", || endpoint.ids().contains(&"here".to_owned()));
    assert_eq!(endpoint.ids(), ["here"]);
}

#[test]
fn bad_input_is_answered_and_ends_neither_the_connection_nor_the_process() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    wait_until("the list", || discovery.watches.load(Ordering::SeqCst) == 1);
    let good = message("x", "status", 7, 20_000);
    let large =
        good.replace("Content-Length: 5", "Content-Length: 70000").replace("bo\0dy", &"x".repeat(70_000));
    let mut stream = TcpStream::connect(courier.address).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let mut answers = BufReader::new(stream.try_clone().expect("a handle"));
    for (bad, status) in [
        (good.replace("dest=7", "dest=77"), 404),
        (good.replace("dest=7", "dest=x"), 400),
        (good.replace("status", "nonsense"), 400),
        (good.replace("POST /status", "POST /notice"), 400),
        (good.replace("20000m", "20000"), 400),
        (good.replace("20000m", "-5m"), 400),
        (good.replace("X-Request-ID: x", "X-Request-ID:"), 400),
        (good.replace("X-Request-ID: x", "X-Request-ID: \u{e9}"), 400),
        (large, 413),
        (good.replace("POST", "PUT"), 404),
    ] {
        stream.write_all(bad.as_bytes()).expect("the connection lives");
        let mut page = HttpMessage::read(&mut answers).expect("an answer");
        // The courier answers 503 until it has the first list, because the destination may still become known.
        while page.status() == 503 {
            stream.write_all(bad.as_bytes()).expect("the connection lives");
            page = HttpMessage::read(&mut answers).expect("an answer");
        }
        assert_eq!(page.status(), status, "{}", bad.lines().next().unwrap_or_default());
    }
    assert_eq!(exchange(courier.address, b"nonsense\r\n\r\n").map(|p| p.status()), Some(400));
    stream.write_all(good.as_bytes()).expect("the connection lives");
    assert_eq!(HttpMessage::read(&mut answers).expect("an answer").status(), 202);
    wait_until("the call", || endpoint.ids() == ["x"]);
}

#[test]
fn a_message_is_refused_with_retry_after_when_the_journal_is_full() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Hang);
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut config = config(&discovery, known);
    config["limits"]["disk_mb"] = json!(0.02);
    let courier = Courier::with(&folder, &discovery, &config);
    let mut statuses = BTreeMap::<u16, usize>::new();
    for n in 0..30 {
        let page = courier.submit(&format!("m{n}"), "payment", 7, 25_000);
        *statuses.entry(page.status()).or_default() += 1;
        if page.status() == 503 {
            let again = page.header("retry-after").and_then(|v| v.parse::<f64>().ok());
            assert!(again.is_some_and(|s| s > 0.0), "{page:?}");
            assert!(String::from_utf8_lossy(&page.body).contains("journal is full"), "{page:?}");
        }
    }
    assert_eq!(statuses.keys().copied().collect::<Vec<_>>(), [202, 503]);
    let files = std::fs::read_dir(folder.0.join("state")).expect("the folder").flatten();
    let size: u64 = files.filter_map(|f| f.metadata().ok()).map(|m| m.len().next_multiple_of(512)).sum();
    assert!(size <= 20_000, "{size} bytes on disk");
    wait_until("an accepted message is sent", || !endpoint.calls().is_empty());
}

#[test]
fn a_start_with_missing_or_bad_configuration_fails_with_one_line() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::Hang);
    let good = config(&discovery, Value::Null);
    let mut bad_slots = good.clone();
    bad_slots["settings"]["family-info"]["slots"] = json!(0);
    let mut no_rules = good.clone();
    no_rules["settings"].as_object_mut().expect("settings").remove("rules");
    let run = |config: &Value, modify: &dyn Fn(&mut std::process::Command)| {
        let mut command = command(&folder, &discovery, config);
        modify(&mut command);
        let out = command.stderr(Stdio::piped()).output().expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let path = folder.0.join("none.json").display().to_string();
    type CommandChange = Box<dyn Fn(&mut std::process::Command)>;
    let cases: [(&Value, CommandChange, &str); 7] = [
        (
            &good,
            Box::new(|c| {
                c.env_remove("LB_CONFIG");
            }),
            "LB_CONFIG is not set",
        ),
        (
            &good,
            Box::new(move |c| {
                c.env("LB_CONFIG", &path);
            }),
            "LB_CONFIG",
        ),
        (
            &good,
            Box::new(|c| {
                c.env("LB_LISTEN", "nowhere");
            }),
            "LB_LISTEN",
        ),
        (
            &good,
            Box::new(|c| {
                c.env("LB_STATE", "/nonexistent/folder");
            }),
            "LB_STATE",
        ),
        (&json!("x"), Box::new(|_| ()), "LB_CONFIG"),
        (&bad_slots, Box::new(|_| ()), "no slots"),
        (&no_rules, Box::new(|_| ()), "rules"),
    ];
    for (config, modify, word) in &cases {
        let (code, text) = run(config, &**modify);
        assert_eq!(code, Some(1), "{word}: {text}");
        assert!(text.contains(word) && text.lines().count() == 1, "{word}: {text}");
    }
}

#[test]
fn many_idle_clients_do_not_block_a_new_client() {
    let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let idle: Vec<_> = (0..400).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
    let from = Instant::now();
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids() == ["m"]);
    assert!(from.elapsed() < WAIT_TIMEOUT && idle.len() == 400);
}

#[test]
fn notices_are_posted_one_by_one_when_the_platform_rejects_a_batch() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::CloseConnection);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("p{n}"), "payment", 7, 3000);
    }
    wait_until("notice attempts", || discovery.posts.load(Ordering::SeqCst) >= 8);
    thread::sleep(3500 * MS);
    courier.kill();
    // All messages have ended by now, so the restarted courier posts their notices in one batch.
    discovery.picky.store(true, Ordering::SeqCst);
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let _courier = Courier::start(&folder, &discovery);
    wait_until("all", || (0..4).all(|n| discovery.results(&format!("p{n}")).len() == 1));
}

#[test]
fn a_payment_is_retried_after_answers_that_prove_it_did_not_run() {
    const SLOTS: &str = "HTTP/1.1 503 Service Unavailable\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n";
    const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) =
        single_endpoint(|n| EndpointAction::Respond([SLOTS, FULL, OK][n.min(2)]));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("the delivery", || endpoint.ids() == ["pay", "pay", "pay"]);
    assert!(discovery.results("pay").is_empty());
}

#[test]
fn a_message_ended_by_a_410_is_not_sent_again_and_has_no_notice() {
    const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) =
        single_endpoint(|n| EndpointAction::Respond(if n == 0 { GONE } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("over", "status", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next call", || endpoint.calls().len() == 2);
    // Leaves time for the answer to be read and written to the journal.
    thread::sleep(1000 * MS);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last call", || endpoint.ids() == ["over", "next", "last"]);
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn a_discovery_watch_without_data_is_reopened() {
    let (folder, _endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
    discovery.mute.store(1, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("another watch", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("the list update", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
}

#[test]
fn messages_are_delivered_with_any_number_of_siblings_and_with_none_configured() {
    for siblings in [json!(0), json!(1), json!(10_000), Value::Null] {
        let (folder, endpoint, discovery) = single_endpoint(|_| EndpointAction::Respond(OK));
        let known = list(1, true, vec![host("s-0", &endpoint, 7, "ready")]);
        let mut config = config(&discovery, known);
        let settings = config["settings"].as_object_mut().expect("settings");
        match siblings {
            Value::Null => drop(settings.remove("siblings")),
            number => drop(settings.insert("siblings".to_owned(), number)),
        }
        let courier = Courier::with(&folder, &discovery, &config);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the call", || endpoint.calls().len() == 1);
    }
}
