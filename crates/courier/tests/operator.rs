//! Configuration as an operator uses it: routes, outcomes, name resolution, discovery, reloads, invalid or
//! conflicting versions from the control service, and the command line.

use serde_json::{Value, json};
use stairshed_rig::control_service::ControlService;
use stairshed_rig::name_server::{DnsAnswer, NameServer};
use stairshed_rig::*;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BASE_CONFIG: &str = "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n";
const CLASSES: &str = "[classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
    [classes.status]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
    [classes.notice]\neffect = \"keyed\"\nkey_window = \"10s\"\nkey_scope = \"pool\"\ndeadline = \"20s\"\n";
const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

fn pool_section(name: &str, endpoints: &[&Endpoint]) -> String {
    let all: Vec<String> = endpoints.iter().map(|e| format!("{{ address = \"{}\" }}", e.address)).collect();
    format!("[pools.{name}]\nendpoints = [{}]\n", all.join(", "))
}

fn route_section(name: &str, pool: &str, class: &str) -> String {
    format!("[routes.{name}]\nprefix = \"/{name}\"\npool = \"{pool}\"\nclass = \"{class}\"\n")
}

fn healthy_endpoint() -> Endpoint {
    Endpoint::new(|_| EndpointAction::Respond(OK))
}

#[test]
fn a_message_is_delivered_as_its_route_says() {
    let (endpoint, folder) = (healthy_endpoint(), TestFolder::new());
    let routes = "[routes.pay]\npath = \"/fuel/{station}/pay\"\nmethods = [\"POST\", \"PUT\"]\npool = \"p\"\n\
        class = \"payment\"\nrewrite.path = \"/v2/{station}/charge\"\nrewrite.pass = [\"X-Note\"]\n\
        rewrite.set = { X-From = \"depot\" }\n";
    let file = [BASE_CONFIG, CLASSES, &pool_section("p", &[&endpoint]), routes].concat();
    let courier = Courier::serve(&folder, &file);
    let heads = "X-Note: hello\r\nX-Other: no\r\nIdempotency-Key: k\r\n";
    let answer = courier.post("/fuel/7/pay?a=b", "m1", heads, "42 EUR");
    assert_eq!((answer.status(), answer.header("X-Request-ID")), (202, Some("m1")));
    wait_until("the delivery", || !endpoint.calls().is_empty());
    let call = endpoint.calls().remove(0);
    assert!(call.page.start_line.starts_with("POST /v2/7/charge?a=b "), "{}", call.page.start_line);
    let head = |name| call.page.header(name);
    assert_eq!((head("x-note"), head("x-other"), head("x-from")), (Some("hello"), None, Some("depot")));
    assert_eq!((head("x-request-id"), head("idempotency-key")), (Some("m1"), Some("k")));
    assert_eq!(call.page.body, b"42 EUR");
}

#[test]
fn an_invalid_request_is_refused_with_its_reason() {
    let (endpoint, folder) = (healthy_endpoint(), TestFolder::new());
    let extra = "[classes.late]\norder_by = \"X-Vehicle\"\n";
    let all = [
        route_section("pay", "p", "payment"),
        route_section("note", "p", "notice"),
        route_section("late", "p", "late"),
    ]
    .concat();
    let file = [BASE_CONFIG, CLASSES, extra, &pool_section("p", &[&endpoint]), &all].concat();
    let courier = Courier::serve(&folder, &file);
    for (path, heads, status, why) in [
        ("/nothing", "", 404, "no route"),
        ("/pay/../x", "", 400, "not plain"),
        ("/pay//x", "", 400, "not plain"),
        ("/pay/%2e%2e/x", "", 400, "not plain"),
        ("/pay", "X-Priority-Class: status\r\n", 400, "takes classes payment"),
        ("/pay", "X-Timeout: soon\r\n", 400, "X-Timeout"),
        ("/note", "", 400, "Idempotency-Key"),
        ("/late", "", 400, "x-vehicle"),
    ] {
        let answer = courier.post(path, "m", heads, "x");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status(), status, "{path}: {text}");
        assert!(text.contains(why), "{path}: {text}");
    }
    let put = b"PUT /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: m\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(exchange(courier.address, put).map(|p| p.status()), Some(405));
    let none = b"POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        exchange(courier.address, none).map(|p| p.status()),
        Some(400),
        "an unsafe message without an id"
    );
    assert!(endpoint.calls().is_empty());
}

#[test]
fn messages_with_one_order_key_are_delivered_one_at_a_time_in_order_also_after_a_restart() {
    let (open, folder) = (Arc::new(AtomicBool::new(false)), TestFolder::new());
    let gate = open.clone();
    let endpoint = Endpoint::new(move |_| match gate.load(Ordering::SeqCst) {
        true => EndpointAction::RespondAfter(5 * MS, OK),
        false => EndpointAction::RespondAndClose(SERVICE_UNAVAILABLE),
    });
    let class = "[classes.stop]\neffect = \"repeatable\"\norder_by = \"X-Vehicle\"\n";
    let file =
        [BASE_CONFIG, class, &pool_section("p", &[&endpoint]), &route_section("stop", "p", "stop")].concat();
    let courier = Courier::serve(&folder, &file);
    for n in 0..20 {
        let vehicle = n % 2;
        let answer = courier.post("/stop", &format!("m{n:02}"), &format!("X-Vehicle: {vehicle}\r\n"), "x");
        assert_eq!(answer.status(), 202);
    }
    courier.kill();
    let before = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    let _courier = Courier::serve(&folder, &file);
    wait_until("all deliveries", || endpoint.calls().len() >= before + 20);
    for vehicle in 0..2 {
        let ids: Vec<String> = endpoint.ids().split_off(before);
        let of: Vec<&String> =
            ids.iter().filter(|id| id[1..].parse::<u64>().is_ok_and(|n| n % 2 == vehicle)).collect();
        assert!(of.is_sorted(), "vehicle {vehicle}: {of:?}");
    }
}

#[test]
fn outcomes_are_written_to_the_file_and_posted_to_the_url_until_it_accepts_them() {
    let folder = TestFolder::new();
    let endpoint = Endpoint::new(|_| {
        EndpointAction::Respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
    });
    let refusals = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let seen = refusals.clone();
    let partner = Endpoint::new(move |_| match seen.fetch_add(1, Ordering::SeqCst) {
        0..3 => EndpointAction::Respond(SERVICE_UNAVAILABLE),
        _ => EndpointAction::Respond("HTTP/1.1 204 No Content\r\n\r\n"),
    });
    let outcomes_to =
        format!("[outcomes]\nurl = \"http://{}/ends\"\nfile = \"ends.ndjson\"\n", partner.address);
    let file = [
        BASE_CONFIG,
        CLASSES,
        &pool_section("p", &[&endpoint]),
        &route_section("pay", "p", "payment"),
        &outcomes_to,
    ]
    .concat();
    let courier = Courier::serve(&folder, &file);
    assert_eq!(courier.post("/pay", "m1", "", "x").status(), 202);
    wait_until("the outcome is accepted", || partner.calls().len() > 3);
    let line: Value = serde_json::from_slice(&partner.calls()[3].page.body).expect("a line");
    assert_eq!((line["ref"].as_str(), line["result"].as_str()), (Some("m1"), Some("dead")));
    let text = fs::read_to_string(folder.0.join("state/ends.ndjson")).expect("the file");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("\"m1\""));
}

#[test]
fn an_invalid_file_fails_the_start_and_changes_nothing_on_reload() {
    let (one, two, folder) = (healthy_endpoint(), healthy_endpoint(), TestFolder::new());
    let good =
        [BASE_CONFIG, CLASSES, &pool_section("p", &[&one]), &route_section("pay", "p", "payment")].concat();
    let bad = good.replace("pool = \"p\"", "pool = \"q\"") + "[limits]\nheld = 0\n";
    let output = serve_command(&folder, &bad).stdout(Stdio::null()).output().expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text.contains("routes.pay.pool") && text.contains("limits.held"),
        "both faults are reported: {text}"
    );
    let courier = Courier::serve(&folder, &good);
    courier.replace_config_file(&folder, &bad);
    courier.wait_for_log("limits.held");
    assert_eq!(courier.post("/pay", "m1", "", "x").status(), 202);
    wait_until("the delivery", || one.ids() == ["m1"]);
    let other =
        [BASE_CONFIG, CLASSES, &pool_section("p", &[&two]), &route_section("pay", "p", "payment")].concat();
    courier.replace_config_file(&folder, &other);
    courier.wait_for_log("in effect");
    assert_eq!(courier.post("/pay", "m2", "", "x").status(), 202);
    wait_until("the delivery elsewhere", || two.ids() == ["m2"]);
    assert_eq!(one.ids(), ["m1"]);
}

#[test]
fn an_endpoint_that_is_removed_and_added_again_keeps_its_wait() {
    let folder = TestFolder::new();
    const WAIT: &str = "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 2500\r\nContent-Length: 0\r\n\r\n";
    let endpoint =
        Endpoint::new(|n| if n == 0 { EndpointAction::Respond(WAIT) } else { EndpointAction::Respond(OK) });
    let file = |pools: &str| [BASE_CONFIG, CLASSES, pools, &route_section("s", "p", "status")].concat();
    let with = file(&pool_section("p", &[&endpoint]));
    let courier = Courier::serve(&folder, &with);
    assert_eq!(courier.post("/s", "m1", "", "x").status(), 202);
    wait_until("the first call", || endpoint.calls().len() == 1);
    courier.replace_config_file(&folder, &file(&pool_section("p", &[])));
    courier.wait_for_log("in effect");
    courier.replace_config_file(&folder, &with);
    courier.wait_for_log("in effect");
    wait_until("the second call", || endpoint.calls().len() == 2);
    let calls = endpoint.calls();
    let apart = calls[1].at - calls[0].at;
    assert!(apart >= Duration::from_millis(2500), "{apart:?}: the wait was not kept");
    assert!(apart < Duration::from_secs(10), "{apart:?}");
}

#[test]
fn messages_of_a_removed_pool_get_true_outcomes_and_those_of_a_restored_pool_are_delivered() {
    let folder = TestFolder::new();
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let busy = Endpoint::new(move |_| match gate.load(Ordering::SeqCst) {
        true => EndpointAction::Respond(OK),
        false => EndpointAction::Respond(SERVICE_UNAVAILABLE),
    });
    let broken = Endpoint::by_call(|_| EndpointAction::CloseConnection);
    let limits = "[limits]\npool_wait = \"700ms\"\nheld = 6000\ncalls = 32\n";
    let file = |pools: &[String], routes: &[String]| {
        [BASE_CONFIG, CLASSES, limits, &pools.concat(), &routes.concat()].concat()
    };
    let (p, q) = (pool_section("p", &[&busy]), pool_section("q", &[&broken]));
    let (a, b) = (route_section("a", "p", "payment"), route_section("b", "q", "notice"));
    let all = file(&[p.clone(), q], &[a.clone(), b]);
    let courier = Courier::serve(&folder, &all);
    for n in 0..200 {
        assert_eq!(courier.post("/a", &format!("a{n}"), "", "x").status(), 202);
    }
    for n in 0..20 {
        let answer = courier.post("/b", &format!("b{n}"), "Idempotency-Key: k\r\n", "x");
        assert_eq!(answer.status(), 202);
    }
    wait_until("some calls were made", || !broken.calls().is_empty() && !busy.calls().is_empty());
    // Removed for less than `pool_wait`: its messages stay held.
    courier.replace_config_file(&folder, &file(&[], &[]).replace("[limits]", "[pools.x]\n[limits]"));
    courier.wait_for_log("in effect");
    courier.replace_config_file(&folder, &all);
    courier.wait_for_log("in effect");
    // Messages that have ended by now used up their attempts; none ended because the pool was absent.
    let ended = outcomes(&folder).len();
    courier.replace_config_file(&folder, &file(std::slice::from_ref(&p), std::slice::from_ref(&a)));
    courier.wait_for_log("in effect");
    wait_until("the outcomes of the messages of q", || {
        let ended = outcomes(&folder);
        (0..20).all(|n| ended.iter().any(|(id, _)| *id == format!("b{n}")))
    });
    let tried = broken.ids();
    for (id, result) in outcomes(&folder).iter().skip(ended).filter(|(id, _)| id.starts_with('b')) {
        let ran = tried.contains(id);
        assert_eq!(result == "dead", ran, "{id} is {result}, and was sent: {ran}");
    }
    open.store(true, Ordering::SeqCst);
    let mut left: Vec<String> = (0..200).map(|n| format!("a{n}")).collect();
    let told: Vec<String> = outcomes(&folder).into_iter().map(|(id, _)| id).collect();
    left.retain(|id| !told.contains(id));
    assert!(left.len() > 100, "{} of p are left", left.len());
    wait_until("the rest of p is delivered", || {
        let (seen, told) = (busy.ids(), outcomes(&folder));
        left.iter().all(|id| seen.contains(id) || told.iter().any(|(of, _)| of == id))
    });
}

/// A configuration with a control service. The heartbeat is 60 s because the service sends nothing between
/// versions.
fn config_with_control(control: &ControlService, own: &str) -> String {
    format!(
        "{BASE_CONFIG}[control]\nurl = \"{}\"\nheartbeat = \"60s\"\nfirst_wait = \"300ms\"\nversion_most = \"256KiB\"\n{own}",
        control.url()
    )
}

fn version_config(endpoint: &Endpoint, effect: Value) -> Value {
    json!({
        "classes": {"c": effect},
        "pools": {"p": {"endpoints": [{"address": endpoint.address.to_string()}]}},
        "routes": {"r": {"prefix": "/r", "pool": "p", "class": "c"}},
    })
}

/// Starts a courier and applies version 1 from the control service.
fn serve_first_version(
    folder: &TestFolder,
    control: &ControlService,
    endpoint: &Endpoint,
    effect: Value,
) -> Courier {
    let own = [CLASSES, &pool_section("own", &[endpoint]), &route_section("own", "own", "payment")].concat();
    let courier = Courier::serve(folder, &config_with_control(control, &own));
    wait_until("the stream", || control.is_open());
    assert!(control.send_version(1, &version_config(endpoint, effect)));
    assert!(control.answer(1).accepted);
    courier
}

#[test]
fn without_a_control_service_it_starts_on_the_stored_version_or_the_file_or_fails_with_a_clear_error() {
    let (endpoint, folder, control) = (healthy_endpoint(), TestFolder::new(), ControlService::new());
    let gone = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    let dead = |own: &str| {
        let file = config_with_control(&control, own);
        file.replace(&control.address.to_string(), &gone.to_string())
    };
    let output = serve_command(&folder, &dead("")).stdout(Stdio::null()).output().expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("no version came, none is stored, and the file has no routes"), "{text}");
    let own = [CLASSES, &pool_section("own", &[&endpoint]), &route_section("own", "own", "payment")].concat();
    let courier = Courier::serve(&folder, &dead(&own));
    assert_eq!(courier.post("/own", "m1", "", "x").status(), 202);
    assert_eq!(courier.page("/-/config")["source"], "file");
    drop(courier);
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "repeatable"}));
    assert_eq!(courier.post("/r", "m2", "", "x").status(), 202);
    assert_eq!(courier.post("/own", "m3", "", "x").status(), 404, "the version replaces the file's routes");
    courier.kill();
    let courier = Courier::serve(&folder, &dead(""));
    let page = courier.page("/-/config");
    assert_eq!((&page["version"], &page["source"]), (&json!(1), &json!("control")));
    assert_eq!(courier.post("/r", "m4", "", "x").status(), 202);
}

#[test]
fn a_class_that_becomes_unsafe_is_unsafe_for_its_messages_in_flight() {
    let (folder, control) = (TestFolder::new(), ControlService::new());
    let endpoint = Endpoint::new(|_| {
        EndpointAction::RespondAfter(
            Duration::from_millis(400),
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        )
    });
    let courier =
        serve_first_version(&folder, &control, &endpoint, json!({"effect": "repeatable", "deadline": "5s"}));
    assert_eq!(courier.post("/r", "m1", "", "x").status(), 202);
    wait_until("the call", || endpoint.calls().len() == 1);
    control.send_version(2, &version_config(&endpoint, json!({"effect": "once", "deadline": "5s"})));
    assert!(control.answer(2).accepted);
    assert_eq!(endpoint.calls().len(), 1, "the call is still in flight");
    wait_until("its outcome", || !outcomes(&folder).is_empty());
    assert_eq!(outcomes(&folder), [("m1".to_owned(), "dead".to_owned())]);
    assert_eq!(endpoint.calls().len(), 1, "sent again though it may have run");
}

#[test]
fn a_class_that_becomes_safe_stays_unsafe_for_messages_accepted_before_also_after_a_restart() {
    let (folder, control) = (TestFolder::new(), ControlService::new());
    let endpoint = Endpoint::new(|n| if n == 0 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "once"}));
    assert_eq!(courier.post("/r", "m1", "", "x").status(), 202);
    wait_until("the call", || endpoint.calls().len() == 1);
    control.send_version(2, &version_config(&endpoint, json!({"effect": "repeatable"})));
    assert!(control.answer(2).accepted);
    courier.kill();
    let _courier = Courier::serve(&folder, &config_with_control(&control, ""));
    wait_until("its outcome", || !outcomes(&folder).is_empty());
    assert_eq!(outcomes(&folder), [("m1".to_owned(), "dead".to_owned())]);
    assert_eq!(endpoint.calls().len(), 1);
}

#[test]
fn a_burst_of_versions_ends_on_the_last_with_an_answer_for_each() {
    let (endpoint, folder, control) = (healthy_endpoint(), TestFolder::new(), ControlService::new());
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "once"}));
    for n in 2..=200 {
        control.send_version(n, &version_config(&endpoint, json!({"effect": "once", "worth": n})));
    }
    for n in 2..=200 {
        let answer = control.answer(n);
        assert!(answer.accepted || answer.reasons.contains("came before its turn"), "{answer:?}");
    }
    assert!(control.answer(200).accepted);
    assert_eq!(courier.page("/-/config")["version"], 200);
}

#[test]
fn an_overlong_or_endless_line_changes_nothing_and_the_stream_is_reopened() {
    let (endpoint, folder, control) = (healthy_endpoint(), TestFolder::new(), ControlService::new());
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "once"}));
    // 32 MB in all, if the courier read every piece.
    let piece = "x".repeat(64 * 1024);
    let mut sent = 0;
    while sent < 512 && control.asked().len() == 1 && control.send(&piece) {
        sent += 1;
    }
    wait_until("the stream is reopened", || control.asked().len() > 1 && control.is_open());
    assert!(sent < 512, "all of it was read");
    wait_until("the refusal is reported", || {
        control.answers().iter().any(|a| !a.accepted && a.reasons.contains("longer than"))
    });
    assert!(control.asked()[1].contains("version=1"), "it states its current version: {:?}", control.asked());
    control.send_version(2, &version_config(&endpoint, json!({"effect": "repeatable"})));
    assert!(control.answer(2).accepted);
    assert_eq!(courier.post("/r", "m1", "", "x").status(), 202);
}

#[test]
fn a_version_moves_a_listener_unless_the_new_address_is_in_use() {
    let (endpoint, folder, control) = (healthy_endpoint(), TestFolder::new(), ControlService::new());
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "repeatable"}));
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = |address: &str| {
        let mut config = version_config(&endpoint, json!({"effect": "repeatable"}));
        config["listen"] = json!({"http": address});
        config
    };
    control.send_version(2, &to(&taken.local_addr().expect("an address").to_string()));
    let answer = control.answer(2);
    assert!(!answer.accepted && answer.reasons.contains("listen.http"), "{answer:?}");
    assert_eq!(courier.post("/r", "m1", "", "x").status(), 202, "the old listener stays open");
    let free = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    control.send_version(3, &to(&free.to_string()));
    assert!(control.answer(3).accepted);
    assert_eq!(post(free, "/r", "m2", "", "x").map(|p| p.status()), Some(202));
    wait_until("the old listener is closed", || {
        exchange(courier.address, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").is_none()
    });
}

#[test]
fn a_version_that_cannot_be_stored_is_refused_and_a_later_one_that_can_is_accepted() {
    let (endpoint, folder, control) = (healthy_endpoint(), TestFolder::new(), ControlService::new());
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "once"}));
    // A directory at the path of the temporary file makes the write fail, as a full disk would.
    let next = folder.0.join("state/version.next");
    fs::create_dir(&next).expect("a folder");
    control.send_version(2, &version_config(&endpoint, json!({"effect": "repeatable"})));
    let answer = control.answer(2);
    assert!(!answer.accepted && answer.reasons.contains("cannot be stored"), "{answer:?}");
    assert_eq!(courier.page("/-/config")["version"], 1);
    fs::remove_dir(&next).expect("gone");
    control.send_version(3, &version_config(&endpoint, json!({"effect": "repeatable"})));
    assert!(control.answer(3).accepted);
}

#[test]
fn limits_lowered_below_current_use_refuse_new_messages_and_lose_none() {
    let (folder, control) = (TestFolder::new(), ControlService::new());
    let endpoint = Endpoint::new(|_| EndpointAction::RespondAfter(Duration::from_millis(300), OK));
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "once"}));
    for n in 0..30 {
        assert_eq!(courier.post("/r", &format!("m{n}"), "", "x").status(), 202);
    }
    let mut config = version_config(&endpoint, json!({"effect": "once"}));
    config["limits"] = json!({"held": 5, "calls": 2});
    control.send_version(2, &config);
    assert!(control.answer(2).accepted);
    wait_until("new messages are refused, or there is room again", || {
        let full = courier.post("/r", "late", "", "x");
        full.status() == 429 || full.status() == 202
    });
    wait_until("each message ends", || {
        let told = outcomes(&folder);
        let seen = endpoint.ids();
        (0..30).all(|n| {
            let id = format!("m{n}");
            seen.contains(&id) || told.iter().any(|(of, result)| *of == id && result == "bounced")
        })
    });
}

#[test]
fn a_reload_while_a_version_is_partly_received_leaves_the_version_intact() {
    let (endpoint, other, folder, control) =
        (healthy_endpoint(), healthy_endpoint(), TestFolder::new(), ControlService::new());
    let courier = serve_first_version(&folder, &control, &endpoint, json!({"effect": "repeatable"}));
    let line =
        json!({"version": 2, "config": version_config(&other, json!({"effect": "repeatable"}))}).to_string();
    let (half, rest) = line.split_at(line.len() / 2);
    control.send(half);
    courier.replace_config_file(&folder, &config_with_control(&control, "[outcomes]\nfile = \"o.ndjson\"\n"));
    courier.wait_for_log("in effect");
    assert_eq!(courier.page("/-/config")["version"], 1, "the version takes precedence over the file");
    control.send(&(rest.to_owned() + "\n"));
    assert!(control.answer(2).accepted);
    assert_eq!(courier.post("/r", "m1", "", "x").status(), 202);
    wait_until("the delivery", || other.ids() == ["m1"]);
}

#[test]
fn names_are_resolved_and_a_failed_lookup_keeps_the_last_good_answer() {
    let (folder, server) = (TestFolder::new(), NameServer::new());
    let endpoint = healthy_endpoint();
    let home = Ipv4Addr::LOCALHOST;
    let port = endpoint.address.port();
    let file = |names: &[&str]| {
        let all: Vec<String> = names.iter().map(|n| format!("{{ address = \"{n}:{port}\" }}")).collect();
        let pools = format!("[pools.p]\nendpoints = [{}]\n", all.join(", "));
        let dns = format!("[dns]\nresolver = \"{}\"\n", server.address);
        [BASE_CONFIG, CLASSES, &pools, &route_section("s", "p", "status"), &dns].concat()
    };
    for (name, zone) in [
        ("plain.example", DnsAnswer::Addresses(vec![home], 1)),
        ("long.example", DnsAnswer::Truncated(vec![home], 1)),
        ("forged.example", DnsAnswer::Forged(vec![home], 1)),
    ] {
        server.set(name, zone);
    }
    let courier = Courier::serve(&folder, &file(&["plain.example"]));
    let mut n = 0;
    let mut deliver = |what: &str| {
        n += 1;
        let id = format!("m{n}");
        assert_eq!(courier.post("/s", &id, "", "x").status(), 202, "{what}");
        wait_until(what, || endpoint.ids().contains(&id));
    };
    deliver("delivery to a resolved name");
    let asked = server.asked("plain.example");
    wait_until("it is resolved again after its TTL", || server.asked("plain.example") > asked);
    server.set("plain.example", DnsAnswer::ServerFailure);
    courier.wait_for_log("holds");
    deliver("delivery with the last good answer");
    for name in ["long.example", "forged.example"] {
        courier.replace_config_file(&folder, &file(&[name]));
        courier.wait_for_log("in effect");
        deliver(name);
    }
}

#[test]
fn discovered_endpoints_are_used_beside_those_of_the_file_until_they_are_no_longer_listed() {
    let (own, found, other, folder) =
        (healthy_endpoint(), healthy_endpoint(), healthy_endpoint(), TestFolder::new());
    let discovery =
        Discovery::new(list(1, true, vec![host("d-1", &found, 7, "ready"), host("d-2", &other, 8, "ready")]));
    let service = format!("[discovery]\naddress = \"{}\"\n", discovery.address);
    let pools = pool_section("p", &[&own])
        + "[pools.q]\ndestination = 7\ndiscovery = true\n[pools.r]\ndestination = 8\n";
    let routes: String = ["p", "q", "r"].map(|name| route_section(name, name, "status")).concat();
    let file = [BASE_CONFIG, CLASSES, &pools, &routes, &service].concat();
    let courier = Courier::serve(&folder, &file);
    let mut n = 0;
    let mut deliver = |path: &str, to: &Endpoint| {
        n += 1;
        let id = format!("m{n}");
        assert_eq!(courier.post(path, &id, "", "x").status(), 202);
        wait_until("the delivery", || to.ids().contains(&id));
    };
    deliver("/q", &found);
    // A complete list from discovery does not remove the endpoints of the file.
    deliver("/p", &own);
    let moved = healthy_endpoint();
    discovery.tell(list(2, true, vec![host("d-3", &moved, 7, "ready")]));
    thread::sleep(Duration::from_millis(1200));
    let before = found.calls().len();
    deliver("/q", &moved);
    deliver("/p", &own);
    assert_eq!(found.calls().len(), before, "it is no longer listed");
    assert!(other.calls().is_empty(), "its pool does not use discovery");
}

#[test]
fn five_thousand_messages_of_a_removed_pool_each_get_one_true_outcome() {
    const MESSAGES: usize = 5000;
    let folder = TestFolder::new();
    const NO: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    let slow = Endpoint::new(|_| EndpointAction::RespondAfter(Duration::from_secs(12), NO));
    let class = "[classes.pay]\neffect = \"once\"\ndeadline = \"60s\"\naim = \"60s\"\n";
    let limits = "[limits]\npool_wait = \"500ms\"\nheld = 6000\ncalls = 32\n";
    let all =
        [BASE_CONFIG, class, limits, &pool_section("p", &[&slow]), &route_section("a", "p", "pay")].concat();
    let courier = Courier::serve(&folder, &all);
    let address = courier.address;
    let submit = |thread: usize| {
        let of = (0..MESSAGES / 8).map(|n| format!("m{thread}-{n}"));
        of.filter(|id| post(address, "/a", id, "", "x").is_some_and(|p| p.status() == 202))
            .collect::<Vec<_>>()
    };
    let accepted: Vec<String> = thread::scope(|scope| {
        let all: Vec<_> = (0..8).map(|t| scope.spawn(move || submit(t))).collect();
        all.into_iter().flat_map(|t| t.join().expect("a client")).collect()
    });
    assert!(accepted.len() > MESSAGES * 9 / 10, "{} were accepted", accepted.len());
    courier.replace_config_file(&folder, &[BASE_CONFIG, class, limits].concat());
    courier.wait_for_log("in effect");
    wait_until("every outcome", || outcomes(&folder).len() >= accepted.len());
    let ended = outcomes(&folder);
    assert_eq!(ended.len(), accepted.len(), "each ends once");
    let seen = slow.ids();
    assert!(!seen.is_empty(), "some were sent");
    let ended: std::collections::BTreeMap<String, String> = ended.into_iter().collect();
    for id in &accepted {
        let right = if seen.contains(id) { "dead" } else { "bounced" };
        assert_eq!(ended.get(id).map(String::as_str), Some(right), "{id}");
    }
}

#[test]
fn a_listen_address_in_use_fails_the_start_with_a_clear_error() {
    let folder = TestFolder::new();
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address");
    let file = [BASE_CONFIG, CLASSES, "[pools.p]\n", &route_section("s", "p", "status")].concat();
    let file = file.replacen("127.0.0.1:0", &at.to_string(), 1);
    let output = serve_command(&folder, &file).stdout(Stdio::null()).output().expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && text.contains("listen.http"), "{text}");
}

fn run_command(args: &[&str]) -> (Option<i32>, String, String) {
    let output = std::process::Command::new(program()).args(args).output().expect("it runs");
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn the_command_line_checks_explains_compares_and_shows_configurations() {
    let (endpoint, folder) = (healthy_endpoint(), TestFolder::new());
    let good =
        [BASE_CONFIG, CLASSES, &pool_section("p", &[&endpoint]), &route_section("pay", "p", "payment")]
            .concat();
    let write = |name: &str, text: &str| {
        let path = folder.0.join(name);
        fs::File::create(&path).and_then(|mut f| f.write_all(text.as_bytes())).expect("written");
        path.display().to_string()
    };
    let (a, b) = (write("a.toml", &good), write("b.toml", &good.replace("20s", "25s")));
    let (status, out, _) = run_command(&["check", &a, "--explain", "POST /pay/7 Host: x"]);
    assert_eq!(status, Some(0));
    assert!(out.contains("routes.pay") && out.contains("class payment") && out.contains("pools.p"), "{out}");
    let (status, out, _) = run_command(&["check", &a, "--explain", "PUT /pay"]);
    assert!(status == Some(1) && out.contains("405"), "{out}");
    let bad = write("bad.toml", "[limits]\nheld = 0\ncals = 3\n");
    let (status, _, err) = run_command(&["check", &bad]);
    assert_eq!(status, Some(1));
    assert!(err.contains("bad.toml:2:1: limits.held") && err.contains("bad.toml:3:1: limits.cals"), "{err}");
    assert!(err.contains("did you mean \"calls\""), "{err}");
    let (status, out, _) = run_command(&["config", "diff", &a, &b]);
    assert!(status == Some(1) && out.contains("~ classes.payment.deadline = \"20s\" -> \"25s\""), "{out}");
    assert_eq!(run_command(&["config", "diff", &a, &a]).0, Some(0));
    let (_, out, _) = run_command(&["config", "schema"]);
    let schema: Value = serde_json::from_str(&out).expect("JSON");
    assert!(schema["$defs"]["Class"]["properties"]["key_window"]["description"].is_string(), "{out}");
    assert!(run_command(&["completions", "bash"]).1.contains("stairshed"));
    let courier = Courier::serve(&folder, &good);
    let (status, out, _) = run_command(&["config", "show", "--admin", &courier.admin().to_string()]);
    assert_eq!(status, Some(0));
    assert!(out.contains("classes.payment.effect = \"once\"  # file, line 6"), "{out}");
    assert!(out.contains("limits.held = 1000  # default"), "{out}");
}

#[test]
fn dev_mode_delivers_submitted_messages() {
    let free = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    let mut child = std::process::Command::new(program())
        .args(["dev", "--listen", &free.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let out = child.stdout.take().expect("its output");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(out)).map_while(Result::ok);
    assert!(lines.any(|l| l.contains(&format!("curl -i -d 'hello' http://{free}/notice"))));
    wait_until("it accepts a message", || {
        post(free, "/notice", "m1", "", "hello").is_some_and(|p| p.status() == 202)
    });
    let got = lines.find(|l| l.contains("the stand-in endpoint got")).expect("the delivery");
    assert!(got.contains("/notice") && got.contains("hello"), "{got}");
    let began = Instant::now();
    let id = child.id().to_string();
    std::process::Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    wait_until("its exit", || child.try_wait().expect("a status").is_some());
    assert!(began.elapsed() < WAIT_TIMEOUT);
    thread::sleep(MS);
}

#[test]
fn a_keyed_message_of_a_pool_that_may_have_run_ends_as_dead() {
    let folder = TestFolder::new();
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    let class = "[classes.short]\neffect = \"keyed\"\nkey_window = \"1s\"\nkey_scope = \"pool\"\n\
        deadline = \"4s\"\naim = \"1s\"\n";
    let file =
        [BASE_CONFIG, class, &pool_section("p", &[&endpoint]), &route_section("r", "p", "short")].concat();
    let courier = Courier::serve(&folder, &file);
    assert_eq!(courier.post("/r", "m1", "Idempotency-Key: k\r\n", "x").status(), 202);
    wait_until("its end", || !outcomes(&folder).is_empty());
    // As bounced it could be submitted again after its key's window, and take effect twice.
    assert_eq!(outcomes(&folder), [("m1".to_owned(), "dead".to_owned())]);
    assert!(!endpoint.calls().is_empty());
}
