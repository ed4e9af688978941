//! What the responses of an operator's endpoints mean for messages: deliveries, rejections, refusals and told
//! waits, by the default profile and by configured ones.

use serde_json::{Value, json};
use stairshed_rig::control_service::ControlService;
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BASE_CONFIG: &str = "[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
    [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
    [classes.status]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
    [classes.notice]\neffect = \"keyed\"\nkey_window = \"10s\"\nkey_scope = \"pool\"\ndeadline = \"20s\"\n\
    [routes.payment]\nprefix = \"/payment\"\npool = \"p\"\nclass = \"payment\"\n\
    [routes.status]\nprefix = \"/status\"\npool = \"p\"\nclass = \"status\"\n\
    [routes.notice]\nprefix = \"/notice\"\npool = \"p\"\nclass = \"notice\"\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// Time in which a courier that wrongly repeats a message would have done so.
const REPEAT_TIME: Duration = Duration::from_millis(1500);

/// A configuration with a pool `p` of one endpoint, whose keys `answers` are these lines.
fn config(endpoint: &Endpoint, answers: &str) -> String {
    format!("{BASE_CONFIG}[pools.p]\nendpoints = [{{ address = \"{}\" }}]\n{answers}", endpoint.address)
}

fn submit(courier: &Courier, class: &str, id: &str) {
    let key = format!("Idempotency-Key: {id}\r\n");
    assert_eq!(courier.post(&format!("/{class}"), id, &key, "x").status(), 202, "{class} {id}");
}

/// How often the endpoint was called with a message.
fn times_called(endpoint: &Endpoint, id: &str) -> usize {
    endpoint.ids().iter().filter(|called| *called == id).count()
}

/// Waits until the outcomes file has exactly these ids, all told this result, and nothing was called again since.
fn wait_until_told(folder: &TestFolder, expected: &[&str], result: &str) {
    wait_until("the outcomes", || outcomes(folder).len() >= expected.len());
    thread::sleep(REPEAT_TIME);
    let mut told = outcomes(folder);
    told.sort();
    let expected: Vec<_> = expected.iter().map(|id| ((*id).to_owned(), result.to_owned())).collect();
    assert_eq!(told, expected);
}

#[test]
fn each_2xx_is_one_delivery_whatever_the_effect_of_its_class() {
    const RESPONSES: [&str; 8] = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        "HTTP/1.1 201 Created\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\ncut",
        "HTTP/1.1 201 Created\r\nno head\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\na body",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    ];
    // The first digit of an id is the index of the response.
    let response_to = |call: &ReceivedCall| RESPONSES[usize::from(call.id.as_bytes()[0] - b'0')];
    let endpoint = Endpoint::by_call(move |call| EndpointAction::RespondAndClose(response_to(call)));
    let (folder, file) = (TestFolder::new(), config(&endpoint, ""));
    let courier = Courier::serve(&folder, &file);
    let mut ids = Vec::new();
    for index in 0..RESPONSES.len() {
        for class in ["payment", "notice", "status"] {
            ids.push(format!("{index}-{class}"));
            submit(&courier, class, &format!("{index}-{class}"));
        }
    }
    wait_until("the calls", || ids.iter().all(|id| times_called(&endpoint, id) > 0));
    thread::sleep(REPEAT_TIME);
    courier.kill();
    let _courier = Courier::serve(&folder, &file);
    thread::sleep(REPEAT_TIME);
    for id in &ids {
        assert_eq!(times_called(&endpoint, id), 1, "{id}");
    }
    assert_eq!(outcomes(&folder), []);
}

#[test]
fn an_unsafe_message_that_may_have_run_is_told_dead_and_never_sent_again() {
    const RESPONSES: [&str; 4] = [
        ERROR,
        "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
    ];
    let endpoint = Endpoint::by_call(|call| match call.id.strip_prefix("payment-") {
        Some(index) => EndpointAction::RespondAndClose(RESPONSES[usize::from(index.as_bytes()[0] - b'0')]),
        None => EndpointAction::Respond(OK),
    });
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config(&endpoint, ""));
    let ids: Vec<String> = (0..RESPONSES.len()).map(|index| format!("payment-{index}")).collect();
    ids.iter().for_each(|id| submit(&courier, "payment", id));
    wait_until_told(&folder, &ids.iter().map(String::as_str).collect::<Vec<_>>(), "dead");
    for id in &ids {
        assert_eq!(times_called(&endpoint, id), 1, "{id}");
    }
}

#[test]
fn a_rejected_message_is_told_so_and_never_sent_again_and_no_redirect_is_followed() {
    let target = Endpoint::new(|_| EndpointAction::Respond(OK));
    let redirect: &'static str = Box::leak(
        format!(
            "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{}/x\r\nContent-Length: 0\r\n\r\n",
            target.address
        )
        .into_boxed_str(),
    );
    let endpoint = Endpoint::by_call(move |call| {
        EndpointAction::RespondAndClose(match call.id.as_bytes()[0] {
            b'a' => redirect,
            b'b' => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            _ => "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
        })
    });
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config(&endpoint, ""));
    let ids = ["a-status", "b-status", "c-status"];
    ids.iter().for_each(|id| submit(&courier, "status", id));
    wait_until_told(&folder, &ids, "rejected");
    for id in ids {
        assert_eq!(times_called(&endpoint, id), 1, "{id}");
    }
    assert!(target.calls().is_empty(), "the redirect was followed");
}

/// The lines of the outcomes file.
fn outcome_lines(folder: &TestFolder) -> Vec<Value> {
    let text = fs::read_to_string(folder.0.join("state/outcomes.ndjson")).unwrap_or_default();
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    whole.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[test]
fn messages_that_a_partner_rejects_do_not_hold_up_the_others() {
    const COUNT: usize = 60;
    const REJECTED_EVERY: usize = 3;
    let endpoint = Endpoint::by_call(|call| match call.id.ends_with("-bad") {
        true => EndpointAction::Respond("HTTP/1.1 422 Unprocessable\r\nContent-Length: 0\r\n\r\n"),
        false => EndpointAction::Respond(OK),
    });
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config(&endpoint, ""));
    let is_bad = |index: usize| index.is_multiple_of(REJECTED_EVERY);
    for index in 0..COUNT {
        submit(&courier, "payment", &format!("p{index}{}", if is_bad(index) { "-bad" } else { "" }));
    }
    wait_until("all calls", || endpoint.ids().len() == COUNT);
    wait_until("the outcomes", || outcome_lines(&folder).len() == COUNT / REJECTED_EVERY);
    thread::sleep(REPEAT_TIME);
    assert_eq!(endpoint.ids().into_iter().collect::<BTreeSet<_>>().len(), COUNT, "each is sent once");
    for line in outcome_lines(&folder) {
        assert!(line["ref"].as_str().is_some_and(|id| id.ends_with("-bad")), "{line}");
        assert_eq!((&line["result"], &line["status"]), (&json!("rejected"), &json!(422)), "{line}");
        assert_eq!(line["attempts"], json!(1), "{line}");
        assert!(line["endpoint"].is_string() && line["reason"].is_string(), "{line}");
    }
}

#[test]
fn an_endpoint_that_refuses_all_does_not_hold_up_the_others_of_its_pool() {
    const COUNT: usize = 100;
    let refusing = Endpoint::new(|_| EndpointAction::Respond(UNAVAILABLE));
    let serving = [(); 2].map(|()| Endpoint::new(|_| EndpointAction::Respond(OK)));
    let addresses = [refusing.address, serving[0].address, serving[1].address];
    let endpoints = addresses.map(|address| format!("{{ address = \"{address}\" }}")).join(", ");
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &format!("{BASE_CONFIG}[pools.p]\nendpoints = [{endpoints}]\n"));
    for index in 0..COUNT {
        submit(&courier, "payment", &format!("p{index}"));
    }
    let delivered = || serving.iter().map(|endpoint| endpoint.ids().len()).sum::<usize>();
    wait_until("the deliveries", || delivered() == COUNT);
    thread::sleep(REPEAT_TIME);
    assert_eq!((delivered(), outcomes(&folder)), (COUNT, vec![]), "each is delivered once");
}

/// An endpoint that refuses the first call of each message with this response.
fn refusing_endpoint(refusal: &'static str) -> Endpoint {
    let seen = Mutex::new(BTreeSet::new());
    Endpoint::by_call(move |call| match seen.lock().expect("ids").insert(call.id.clone()) {
        true => EndpointAction::Respond(refusal),
        false => EndpointAction::Respond(OK),
    })
}

#[test]
fn a_refusal_is_trusted_unless_the_pool_says_otherwise() {
    let (folder, endpoint) = (TestFolder::new(), refusing_endpoint(UNAVAILABLE));
    let courier = Courier::serve(&folder, &config(&endpoint, ""));
    submit(&courier, "payment", "p");
    wait_until("the second call", || times_called(&endpoint, "p") == 2);

    let (folder, endpoint) = (TestFolder::new(), refusing_endpoint(UNAVAILABLE));
    let courier = Courier::serve(&folder, &config(&endpoint, "answers.refused = []\n"));
    submit(&courier, "payment", "p");
    submit(&courier, "status", "s");
    wait_until("the second call", || times_called(&endpoint, "s") == 2);
    wait_until_told(&folder, &["p"], "dead");
    assert_eq!(times_called(&endpoint, "p"), 1);
}

#[test]
fn a_wait_told_by_retry_after_holds_whatever_else_the_response_proves() {
    const TOLD: Duration = Duration::from_secs(2);
    for (refusal, answers) in [
        ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", ""),
        ("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", ""),
        (
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
            "answers.refused = []\n",
        ),
        ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 5, 7\r\n\r\nabcde", ""),
    ] {
        let folder = TestFolder::new();
        let endpoint = Endpoint::new(move |call| match call {
            0 => EndpointAction::RespondAndClose(refusal),
            _ => EndpointAction::Respond(OK),
        });
        let courier = Courier::serve(&folder, &config(&endpoint, answers));
        submit(&courier, "status", "s");
        wait_until("the second call", || endpoint.calls().len() > 1);
        let calls = endpoint.calls();
        assert!(calls[1].at - calls[0].at >= TOLD, "{refusal:?}: {:?}", calls[1].at - calls[0].at);
    }
}

/// An endpoint that answers 409 once it is released.
fn held_conflict() -> (Endpoint, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let gate = released.clone();
    let endpoint = Endpoint::new(move |_| {
        wait_until("the new configuration", || gate.load(Ordering::SeqCst));
        EndpointAction::Respond("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
    });
    (endpoint, released)
}

#[test]
fn a_call_is_judged_by_the_profile_that_holds_when_its_response_is_classified() {
    let (endpoint, released) = held_conflict();
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &config(&endpoint, ""));
    submit(&courier, "payment", "p");
    wait_until("the call", || times_called(&endpoint, "p") == 1);
    courier.replace_config_file(&folder, &config(&endpoint, "answers.delivered = [\"2xx\", 409]\n"));
    courier.wait_for_log("in effect");
    released.store(true, Ordering::SeqCst);
    thread::sleep(REPEAT_TIME);
    assert_eq!(outcomes(&folder), [], "409 was delivered when it came");
    assert_eq!(times_called(&endpoint, "p"), 1);
}

#[test]
fn a_version_changes_what_the_answers_to_calls_in_flight_mean() {
    let (endpoint, released) = held_conflict();
    let (folder, control) = (TestFolder::new(), ControlService::new());
    let file = config(&endpoint, "answers.delivered = [\"2xx\", 409]\n");
    let courier = Courier::serve(&folder, &format!("{file}[control]\nurl = \"{}\"\n", control.url()));
    wait_until("the stream", || control.is_open());
    submit(&courier, "payment", "p");
    wait_until("the call", || times_called(&endpoint, "p") == 1);
    let pool =
        json!({"endpoints": [{"address": endpoint.address.to_string()}], "answers": {"rejected": ["4xx"]}});
    assert!(control.send_version(1, &json!({"pools": {"p": pool}})));
    assert!(control.answer(1).accepted);
    released.store(true, Ordering::SeqCst);
    wait_until_told(&folder, &["p"], "rejected");
    assert_eq!(times_called(&endpoint, "p"), 1);
}

/// An endpoint that sends these bytes on each connection with a request, with a pause between them, until the
/// connection is closed; its address, and the number of closed connections.
fn endless_endpoint(bytes: Vec<u8>, pause: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    let closed = Arc::new(AtomicUsize::new(0));
    let closed_count = closed.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let requested = stream.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0);
            while requested && stream.write_all(&bytes).is_ok() {
                thread::sleep(pause);
            }
            closed_count.fetch_add(usize::from(requested), Ordering::SeqCst);
        }
    });
    (address, closed)
}

#[test]
fn endless_informational_responses_do_not_extend_an_attempt() {
    const EARLY_HINTS: &[u8] = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    for (bytes, pause) in [(EARLY_HINTS.to_vec(), 10 * MS), (EARLY_HINTS.repeat(2000), Duration::ZERO)] {
        let (address, closed) = endless_endpoint(bytes, pause);
        let folder = TestFolder::new();
        let file = format!("{BASE_CONFIG}[pools.p]\nendpoints = [{{ address = \"{address}\" }}]\n");
        let courier = Courier::serve(&folder, &file.replace("20s", "2s"));
        submit(&courier, "payment", "p");
        wait_until("the outcome", || outcomes(&folder) == [("p".to_owned(), "dead".to_owned())]);
        wait_until("the end of the connection", || closed.load(Ordering::SeqCst) == 1);
    }
}

#[test]
fn the_command_line_shows_what_the_answers_of_a_pool_mean() {
    let (folder, endpoint) = (TestFolder::new(), Endpoint::new(|_| EndpointAction::Respond(OK)));
    let path = folder.0.join("a.toml");
    let answers =
        "answers.delivered = [\"2xx\", 409]\nanswers.refused = [503]\nanswers.wait_scope = \"endpoint\"\n";
    fs::write(&path, config(&endpoint, answers)).expect("written");
    let check = |pool: &str| {
        let output = Command::new(program()).arg("check").arg(&path).args(["--answers", pool]).output();
        let output = output.expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (status, text) = check("p");
    assert_eq!(status, Some(0), "{text}");
    for line in [
        "pools.p, answers:",
        "  delivered     2xx 409",
        "  rejected      3xx 4xx",
        "  may have run  5xx 408 421 425 429, and any other",
        "  refused       503",
        "  a told wait holds for the endpoint",
    ] {
        assert!(text.lines().any(|l| l.trim_end() == format!("  {line}")), "{line:?} is not in:\n{text}");
    }
    assert_eq!(check("q").0, Some(1), "an unknown pool");
}
