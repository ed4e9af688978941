//! The courier as a process, against fakes on loopback sockets.

use serde_json::{Value, json};
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const FULL_TOLD: &str = "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// One endpoint of destination 7, and discovery that lists it.
fn one(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> (TestFolder, Endpoint, Discovery) {
    let endpoint = Endpoint::new(act);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (TestFolder::new(), endpoint, discovery)
}

#[test]
fn a_message_is_delivered_with_its_id_key_and_body() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::RespondDistinct(Duration::ZERO));
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
fn what_was_taken_outlives_sigkill_and_is_delivered_once() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
    let nowhere = Endpoint::new(|_| EndpointAction::Hang);
    // Listed but draining: the messages are taken and held.
    discovery.lines.lock().expect("lines")[0] = list(1, true, vec![host("s-0", &nowhere, 7, "draining")]);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..5 {
        courier.submit_accepted(&format!("m{n}"), ["notice", "status", "payment"][n % 3], 7, 25_000);
    }
    courier.kill();
    discovery.tell(list(2, false, vec![host("s-1", &endpoint, 7, "ready")]));
    let courier = Courier::start(&folder, &discovery);
    wait_until("all five", || endpoint.calls().len() == 5);
    // Its answers are read and on record, too.
    thread::sleep(1000 * MS);
    courier.kill();
    // Delivered is over: a further life sends nothing again.
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last", || endpoint.ids().contains(&"last".to_owned()));
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["last", "m0", "m1", "m2", "m3", "m4"]);
    assert!(nowhere.calls().is_empty());
}

#[test]
fn an_unsafe_message_that_was_out_at_sigkill_is_ended_dead_and_never_sent_again() {
    let (folder, endpoint, discovery) =
        one(|n| if n < 2 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 25_000);
    courier.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    courier.kill();
    let _courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    wait_until("the repeat of the other", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.ids()[2], "state", "what is safe to repeat is sent again");
    assert!(discovery.results("state").is_empty());
}

#[test]
fn a_keyed_message_that_may_have_run_stays_in_its_zone_after_a_restart() {
    let (here, there) =
        (Endpoint::new(|_| EndpointAction::Hang), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let mut far = host("s-2", &there, 7, "ready");
    far["site"] = json!("b");
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &here, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("key", "notice", 7, 8_000);
    wait_until("the call", || here.calls().len() == 1);
    courier.kill();
    // Now only the other zone is ready; its endpoints do not drop a repeat.
    discovery.lines.lock().expect("lines")[0] = list(2, true, vec![host("s-1", &here, 7, "draining"), far]);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("new", "notice", 7, 20_000);
    wait_until("a new one goes there", || there.ids() == ["new"]);
    wait_until("its end", || discovery.results("key") == ["dead"]);
    assert_eq!(there.ids(), ["new"]);
}

#[test]
fn a_keyed_message_that_may_have_run_stays_in_its_zone_where_the_settings_tell_none_of_the_zones() {
    let ends = ["x", "y"].map(|site| (site, Endpoint::new(|_| EndpointAction::Respond(ERROR))));
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
        // One that no endpoint was tried for ends as bounced.
        wait_until("its end", || !discovery.results(&id).is_empty());
        let [x, y] = calls(&id);
        assert!(
            x == 0 || y == 0,
            "{id}: {x} calls in one zone and {y} in the other, which knows no key of it"
        );
        again += usize::from(x + y > 1);
    }
    assert!(again > 0, "where its key is known a message is tried again");
}

#[test]
fn a_message_of_a_keyed_class_that_came_without_a_key_runs_once() {
    let (folder, endpoint, discovery) =
        one(|n| if n < 2 { EndpointAction::CloseConnection } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    let bare = message("bare", "notice", 7, 20_000).replace("Idempotency-Key: key-bare\r\n", "");
    assert_eq!(exchange(courier.address, bare.as_bytes()).expect("an answer").status(), 202);
    wait_until("its end", || discovery.results("bare") == ["dead"]);
    courier.submit_accepted("keyed", "notice", 7, 20_000);
    wait_until("the repeat of one with a key", || endpoint.calls().len() == 3);
    assert_eq!(endpoint.ids(), ["bare", "keyed", "keyed"]);
}

#[test]
fn what_is_handed_in_again_under_its_id_is_sent_once_however_it_ended() {
    // The first payment is delivered, the second may have run; of each the client loses its connection unheard.
    let (folder, endpoint, discovery) =
        one(|n| if n == 1 { EndpointAction::CloseConnection } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    for (n, id) in ["paid", "broken"].into_iter().enumerate() {
        let mut stream = TcpStream::connect(courier.address).expect("a connection");
        stream.write_all(message(id, "payment", 7, 20_000).as_bytes()).expect("written");
        wait_until("its call", || endpoint.calls().len() == n + 1);
        drop(stream);
        if id == "broken" {
            wait_until("its end", || discovery.results(id) == ["dead"]);
        }
        // Its end is on record a moment after the endpoint has answered: before and after that it is known.
        for _ in 0..5 {
            assert_eq!(courier.submit(id, "payment", 7, 20_000).status(), 202, "{id} is taken on already");
            thread::sleep(100 * MS);
        }
    }
    courier.submit_accepted("next", "payment", 7, 20_000);
    wait_until("the next call", || endpoint.ids().contains(&"next".to_owned()));
    assert_eq!(endpoint.ids(), ["paid", "broken", "next"]);
    assert_eq!(discovery.results("broken"), ["dead"], "one final answer");
}

#[test]
fn a_told_wait_is_heeded_for_every_message() {
    let (folder, endpoint, discovery) = one(|n| EndpointAction::Respond(if n == 0 { FULL_TOLD } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("first", "status", 7, 20_000);
    wait_until("the refusal", || endpoint.calls().len() == 1);
    for n in 0..3 {
        courier.submit_accepted(&format!("m{n}"), "payment", 7, 20_000);
    }
    wait_until("all", || endpoint.calls().len() == 5);
    let calls = endpoint.calls();
    let soonest = calls[1..].iter().map(|c| c.at).min().expect("calls");
    // From the wait's end on; what left within 100 ms of the answer was let through.
    let early = calls[1..].iter().filter(|c| c.at < calls[0].at + 690 * MS);
    assert_eq!(early.count(), 0, "sent {:?} after a wait of 700 ms", soonest - calls[0].at);
}

#[test]
fn nothing_new_goes_to_a_draining_endpoint_and_a_whole_list_replaces() {
    let (a, b) =
        (Endpoint::new(|_| EndpointAction::Respond(OK)), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let discovery =
        Discovery::new(list(1, true, vec![host("s-a", &a, 7, "ready"), host("s-b", &b, 8, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m1", "status", 7, 20_000);
    wait_until("the call", || a.calls().len() == 1);
    // It drains, and a new destination tells when the courier has heard of it.
    let c = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(2, false, vec![host("s-a", &a, 7, "draining"), host("s-c", &c, 9, "ready")]));
    let mut n = 0;
    wait_until("the news", || {
        n += 1;
        courier.submit(&format!("c{n}"), "status", 9, 20_000).status() == 202
    });
    courier.submit_accepted("m2", "status", 7, 1500);
    wait_until("the end of what cannot be sent", || discovery.results("m2") == ["bounced"]);
    // A whole list without s-b: it is gone. One with s-a ready again: it serves.
    discovery.tell(list(3, true, vec![host("s-a", &a, 7, "ready"), host("s-c", &c, 9, "ready")]));
    courier.submit_accepted("m3", "status", 7, 20_000);
    wait_until("it serves again", || a.calls().len() == 2);
    courier.submit_accepted("m4", "status", 8, 1500);
    wait_until("nothing is left there", || discovery.results("m4") == ["bounced"]);
    assert!(b.calls().is_empty());
    assert_eq!(a.ids(), ["m1", "m3"]);
}

#[test]
fn a_connection_that_the_endpoint_closed_is_not_used_again() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::RespondAndClose(OK));
    let courier = Courier::start(&folder, &discovery);
    for n in 0..6 {
        courier.submit_accepted(&format!("pay{n}"), "payment", 7, 20_000);
        // A call that leaves between the answer and the close may have run, as far as anybody can tell.
        wait_until("the call and the close", || endpoint.closed() == n + 1);
    }
    // On a stale connection an unsafe message would have ended as one that may have run.
    courier.submit_accepted("end", "status", 7, 20_000);
    wait_until("the end", || endpoint.calls().len() == 7);
    assert!(discovery.notices.lock().expect("notices").is_empty());
    let connections: Vec<_> = endpoint.calls().iter().map(|c| c.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_break_after_the_call_is_a_reset_and_an_error_may_have_run() {
    for act in [|| EndpointAction::CloseConnection, || EndpointAction::Respond(ERROR)] {
        let (folder, endpoint, discovery) = one(move |_| act());
        let courier = Courier::start(&folder, &discovery);
        courier.submit_accepted("pay", "payment", 7, 20_000);
        wait_until("the notice", || discovery.results("pay") == ["dead"]);
        assert_eq!(endpoint.calls().len(), 1);
    }
}

#[test]
fn a_timed_out_call_has_its_connection_closed_and_goes_again() {
    let (folder, endpoint, discovery) =
        one(|n| if n == 0 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("m", "status", 7, 25_000);
    wait_until("the repeat", || endpoint.calls().len() == 2);
    let calls = endpoint.calls();
    assert_eq!((calls[0].connection, calls[1].connection), (0, 1));
}

#[test]
fn a_refused_connection_never_ran_so_an_unsafe_message_is_tried_again() {
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
fn notices_are_sent_until_acknowledged_also_by_the_next_life() {
    let (folder, _endpoint, discovery) = one(|_| EndpointAction::CloseConnection);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("tries", || discovery.posts.load(Ordering::SeqCst) >= 3);
    courier.kill();
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("the notice", || discovery.results("pay") == ["dead"]);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("bad", "payment", 7, 20_000);
    wait_until("another", || discovery.results("bad") == ["dead"]);
    assert!(discovery.results("pay").len() <= 2, "acknowledged notices are not kept up");
}

#[test]
fn the_watch_is_asked_for_again_when_it_ends() {
    let (folder, _endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    wait_until("a watch", || discovery.watches.load(Ordering::SeqCst) == 1);
    discovery.cut.store(1, Ordering::SeqCst);
    wait_until("another", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("its news", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
    wait_until("the call", || !other.calls().is_empty());
}

#[test]
fn sigterm_lets_calls_end_closes_connections_and_exits_cleanly() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::RespondAfter(600 * MS, OK));
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
    // A connection that still comes is answered, and told to close.
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
    assert!(discovery.results("pay").is_empty(), "its answer was waited for");
}

#[test]
fn a_client_that_left_before_its_answer_has_nothing_sent() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    // The courier stands still while a request comes and its client gives up, as on a busy machine.
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
fn bad_input_is_answered_and_costs_neither_connection_nor_process() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
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
        // Until the first list is here a destination may still become known.
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
fn a_message_that_cannot_be_kept_is_refused_with_a_time_to_come_again() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::Hang);
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
    wait_until("what was taken is sent", || !endpoint.calls().is_empty());
}

#[test]
fn a_start_without_its_configuration_ends_with_one_clear_line() {
    let (folder, _endpoint, discovery) = one(|_| EndpointAction::Hang);
    let good = config(&discovery, Value::Null);
    let mut bad_slots = good.clone();
    bad_slots["settings"]["family-info"]["slots"] = json!(0);
    let mut no_rules = good.clone();
    no_rules["settings"].as_object_mut().expect("settings").remove("rules");
    let run = |config: &Value, spoil: &dyn Fn(&mut std::process::Command)| {
        let mut command = command(&folder, &discovery, config);
        spoil(&mut command);
        let out = command.stderr(Stdio::piped()).output().expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let path = folder.0.join("none.json").display().to_string();
    type Spoil = Box<dyn Fn(&mut std::process::Command)>;
    let cases: [(&Value, Spoil, &str); 7] = [
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
    for (config, spoil, word) in &cases {
        let (code, text) = run(config, &**spoil);
        assert_eq!(code, Some(1), "{word}: {text}");
        assert!(text.contains(word) && text.lines().count() == 1, "{word}: {text}");
    }
}

#[test]
fn many_idle_clients_do_not_keep_a_new_one_out() {
    let (folder, endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
    let courier = Courier::start(&folder, &discovery);
    let idle: Vec<_> = (0..400).filter_map(|_| TcpStream::connect(courier.address).ok()).collect();
    let from = Instant::now();
    courier.submit_accepted("m", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids() == ["m"]);
    assert!(from.elapsed() < WAIT_TIMEOUT && idle.len() == 400);
}

#[test]
fn a_batch_that_the_platform_cannot_read_is_told_one_by_one() {
    let (folder, _endpoint, discovery) = one(|_| EndpointAction::CloseConnection);
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    for n in 0..4 {
        courier.submit_accepted(&format!("p{n}"), "payment", 7, 3000);
    }
    wait_until("tries", || discovery.posts.load(Ordering::SeqCst) >= 8);
    thread::sleep(3500 * MS);
    courier.kill();
    // All have their end by now, and the next life starts with them in one batch.
    discovery.picky.store(true, Ordering::SeqCst);
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    let _courier = Courier::start(&folder, &discovery);
    wait_until("all", || (0..4).all(|n| discovery.results(&format!("p{n}")).len() == 1));
}

#[test]
fn answers_that_prove_it_never_ran_let_an_unsafe_message_go_again() {
    const SLOTS: &str = "HTTP/1.1 503 Service Unavailable\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n";
    const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) = one(|n| EndpointAction::Respond([SLOTS, FULL, OK][n.min(2)]));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("pay", "payment", 7, 20_000);
    wait_until("the delivery", || endpoint.ids() == ["pay", "pay", "pay"]);
    assert!(discovery.results("pay").is_empty());
}

#[test]
fn a_message_that_is_over_elsewhere_is_owed_nothing_more() {
    const OVER: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
    let (folder, endpoint, discovery) = one(|n| EndpointAction::Respond(if n == 0 { OVER } else { OK }));
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("over", "status", 7, 20_000);
    wait_until("the call", || endpoint.calls().len() == 1);
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next call", || endpoint.calls().len() == 2);
    // Its answer is read and on record, too.
    thread::sleep(1000 * MS);
    courier.kill();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("last", "status", 7, 20_000);
    wait_until("the last call", || endpoint.ids() == ["over", "next", "last"]);
    assert!(discovery.notices.lock().expect("notices").is_empty());
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_again() {
    let (folder, _endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
    discovery.mute.store(1, Ordering::SeqCst);
    let courier = Courier::start(&folder, &discovery);
    wait_until("another watch", || discovery.watches.load(Ordering::SeqCst) >= 2);
    let other = Endpoint::new(|_| EndpointAction::Respond(OK));
    discovery.tell(list(5, false, vec![host("s-9", &other, 9, "ready")]));
    let mut n = 0;
    wait_until("its news", || {
        n += 1;
        courier.submit(&format!("m{n}"), "status", 9, 20_000).status() == 202
    });
}

#[test]
fn any_number_of_siblings_is_served_with_and_before_any_number_is_told() {
    for siblings in [json!(0), json!(1), json!(10_000), Value::Null] {
        let (folder, endpoint, discovery) = one(|_| EndpointAction::Respond(OK));
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
