//! A message whose endpoint has answered 410 has ended and is not sent again, even if the answer is malformed or
//! incomplete. Courier processes on loopback, with endpoints that send partial answers and with failing reads.

use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 6_000;
/// Classes whose messages may be sent again after a call that may have run.
const REPEATABLE_CLASSES: [&str; 2] = ["notice", "status"];
/// Longer than the retry backoff, so that a further attempt of the same message would be seen.
const RETRY_MARGIN: Duration = Duration::from_millis(1_500);

/// Creates the endpoint's action for the text of an answer.
type ActionForAnswer = fn(&'static str) -> EndpointAction;

/// 410 answers that are malformed or incomplete, so that they cannot be read to their end.
const UNREADABLE_GONE: [&str; 8] = [
    "HTTP/1.1 410",
    "HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.1 410 Gone\r\nX-Server-Load: TEXT x0=",
    "HTTP/1.1 410 Gone\r\nContent-Length: 5, 7\r\n\r\nabcde",
    "HTTP/1.1 410 Gone\r\nno head at all\r\n\r\n",
    "HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\nand so on",
    "HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\nnoise",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\n",
];

/// Starts two endpoints of one destination. They answer the first call for a message named `gone-...` with `act`, and
/// all other calls with a valid response.
fn start_two_endpoints(act: impl Fn() -> EndpointAction + Clone + Send + Sync + 'static) -> [Endpoint; 2] {
    let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    [(); 2].map(|()| {
        let (seen, act) = (seen.clone(), act.clone());
        Endpoint::by_call(move |call| {
            let first = seen.lock().expect("ids").insert(call.id.clone());
            if first && call.id.starts_with("gone") {
                act()
            } else {
                EndpointAction::RespondDistinct(Duration::ZERO)
            }
        })
    })
}

/// One courier with two endpoints and a discovery service that lists them.
struct TestSetup {
    endpoints: [Endpoint; 2],
    discovery: Discovery,
    courier: Courier,
    faults: MachineFaults,
    folder: TestFolder,
}

impl TestSetup {
    fn start(act: impl Fn() -> EndpointAction + Clone + Send + Sync + 'static) -> Self {
        let endpoints = start_two_endpoints(act);
        let hosts = [("s-1", &endpoints[0]), ("s-2", &endpoints[1])];
        let hosts = hosts.map(|(name, endpoint)| host(name, endpoint, 7, "ready"));
        let discovery = Discovery::new(list(1, true, hosts.to_vec()));
        let folder = TestFolder::new();
        let mut command = command(&folder, &discovery, &config(&discovery, list(1, true, hosts.to_vec())));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        TestSetup { endpoints, discovery, courier, faults, folder }
    }

    fn calls_for(&self, id: &str) -> Vec<ReceivedCall> {
        self.endpoints.iter().flat_map(Endpoint::calls).filter(|call| call.id == id).collect()
    }

    /// Opens reusable connections to both endpoints. A connection is only reused when its answers are distinct.
    fn open_reusable_connections(&self) {
        for n in 0..6 {
            self.courier.submit_accepted(&format!("warm-{n}"), "status", 7, DEADLINE_MS);
            thread::sleep(20 * MS);
        }
    }

    /// Submits messages and applies the fault `rules` while the answer to each arrives; returns the ids that were sent
    /// more than once.
    fn ids_sent_again_under(&self, rules: &str) -> Vec<String> {
        let ids: Vec<_> = (0..MESSAGE_COUNT).map(|n| format!("gone-{n}")).collect();
        for (id, class) in ids.iter().zip(REPEATABLE_CLASSES.into_iter().cycle()) {
            self.courier.submit_accepted(id, class, 7, DEADLINE_MS);
            wait_until("its call", || !self.calls_for(id).is_empty());
            self.faults.set(rules);
            thread::sleep(150 * MS);
            self.faults.set("");
        }
        thread::sleep(RETRY_MARGIN);
        ids.into_iter().filter(|id| self.calls_for(id).len() > 1).collect()
    }

    /// Submits a message, waits until it has ended and a further attempt would have been made, and returns the number of
    /// its calls and of its notices.
    fn calls_and_notices(&self, id: &str, class: &str) -> (usize, usize) {
        self.courier.submit_accepted(id, class, 7, DEADLINE_MS);
        let end = Instant::now() + Duration::from_millis(DEADLINE_MS) + RETRY_MARGIN;
        while Instant::now() < end && self.calls_for(id).len() < 2 && self.discovery.results(id).is_empty() {
            thread::sleep(5 * MS);
        }
        thread::sleep(RETRY_MARGIN);
        (self.calls_for(id).len(), self.discovery.results(id).len())
    }
}

/// A well-formed 410.
const WELL_FORMED_GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
/// Number of messages, submitted one after the other.
const MESSAGE_COUNT: usize = 12;

/// Tests each unreadable 410 on a courier of its own: a message of each class must have one call and end with a notice.
/// `used` tells whether the connections have carried other answers before.
fn assert_each_unreadable_gone_ends_its_message(used: bool, act: ActionForAnswer) {
    let runs = UNREADABLE_GONE.map(|text| {
        thread::spawn(move || {
            let setup = TestSetup::start(move || act(text));
            REPEATABLE_CLASSES.map(|class| {
                if used {
                    setup.open_reusable_connections();
                }
                setup.calls_and_notices(&format!("gone-{class}"), class)
            })
        })
    });
    let ends = runs.map(|run| run.join().expect("the run"));
    let told = UNREADABLE_GONE.into_iter().zip(&ends).map(|(text, end)| format!("{end:?} {text:?}\n"));
    let told: String = told.collect();
    assert_eq!(
        ends,
        [[(1, 1); REPEATABLE_CLASSES.len()]; UNREADABLE_GONE.len()],
        "calls and notices of each:\n{told}"
    );
}

// Guards against resending a message after a 410 that arrived on a new connection and could not be read to its end
// (incident 9421da).
#[test]
fn message_is_not_sent_again_after_an_unreadable_410_on_a_new_connection() {
    assert_each_unreadable_gone_ends_its_message(false, EndpointAction::Respond);
}

// Guards against the same on a connection that has carried other answers (incident 9421da).
#[test]
fn message_is_not_sent_again_after_an_unreadable_410_on_a_used_connection() {
    assert_each_unreadable_gone_ends_its_message(true, EndpointAction::Respond);
}

// Guards against resending a message because its connection was reset in the middle of a 410 (incident 9421da).
#[test]
fn message_is_not_sent_again_after_a_410_that_is_cut_off_by_a_reset() {
    assert_each_unreadable_gone_ends_its_message(false, EndpointAction::RespondAndReset);
}

// Guards against resending a message because the read of its 410 was interrupted (EINTR, incident 9421da).
#[test]
fn message_is_not_sent_again_after_a_410_whose_read_was_interrupted() {
    let setup = TestSetup::start(|| EndpointAction::RespondAfter(60 * MS, WELL_FORMED_GONE));
    let repeated = setup.ids_sent_again_under("recv EINTR 2");
    assert!(repeated.is_empty(), "sent again after 410: {repeated:?}");
}

/// 429 answers that request a wait of 900 ms and cannot be read to their end.
const UNREADABLE_WAITS: [&str; 5] = [
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nno head\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nwait-ms:900\r\nX-Server-Load: TEXT x0=",
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nContent-Length: 3000000000\r\n\r\nand so on",
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 5, 7\r\nWait-Ms: 900\r\n\r\nabcde",
];
const WAIT: Duration = Duration::from_millis(900);

/// Measures the time from the call that is answered with the wait to the next call at the same endpoint.
fn pause_after(text: &'static str, used: bool, act: ActionForAnswer) -> Duration {
    let calls_before = if used { 4 } else { 0 };
    let answer =
        move |n| if n == calls_before { act(text) } else { EndpointAction::RespondDistinct(Duration::ZERO) };
    let endpoint = Endpoint::new(answer);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    for n in 0..calls_before {
        courier.submit_accepted(&format!("warm-{n}"), "status", 7, DEADLINE_MS);
        wait_until("a call", || endpoint.calls().len() == n + 1);
        thread::sleep(20 * MS);
    }
    courier.submit_accepted("m", "status", 7, DEADLINE_MS);
    wait_until("the call that is answered with a wait", || endpoint.calls().len() > calls_before);
    courier.submit_accepted("n", "notice", 7, DEADLINE_MS);
    wait_until("the next call", || endpoint.calls().len() > calls_before + 1);
    let calls = endpoint.calls();
    calls[calls_before + 1].at - calls[calls_before].at
}

// Guards against a call during a wait that the endpoint requested in an answer that cannot be read to its end.
#[test]
fn requested_wait_is_respected_when_the_answer_cannot_be_read_to_its_end() {
    let ways: [(bool, ActionForAnswer); 3] = [
        (false, EndpointAction::Respond),
        (true, EndpointAction::Respond),
        (false, EndpointAction::RespondAndReset),
    ];
    for (used, act) in ways {
        let runs = UNREADABLE_WAITS.map(|text| thread::spawn(move || (text, pause_after(text, used, act))));
        let pauses = runs.map(|run| run.join().expect("the run"));
        let early: Vec<_> = pauses.iter().filter(|(_, pause)| *pause < WAIT).collect();
        assert!(early.is_empty(), "called within the wait, used connection {used}: {early:?}");
    }
}

// Guards against resending a message because its connection failed while the 410 was in the socket's receive buffer.
#[test]
fn message_is_not_sent_again_after_a_410_that_came_before_its_connection_failed() {
    for error in ["ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"] {
        let setup = TestSetup::start(|| EndpointAction::RespondAfter(60 * MS, WELL_FORMED_GONE));
        let repeated = setup.ids_sent_again_under(&format!("recv {error} 2"));
        assert!(repeated.is_empty(), "sent again after 410 and {error}: {repeated:?}");
    }
}

// Guards against resending a message after a restart because the courier was killed while it waited for the rest of a
// 410.
#[test]
fn restart_does_not_resend_a_message_whose_410_was_incomplete() {
    let setup = TestSetup::start(|| EndpointAction::Respond(UNREADABLE_GONE[2]));
    setup.courier.submit_accepted("gone-status", "status", 7, DEADLINE_MS);
    wait_until("its call", || !setup.calls_for("gone-status").is_empty());
    thread::sleep(50 * MS);
    setup.courier.kill();
    let _courier = Courier::start(&setup.folder, &setup.discovery);
    let calls = || setup.endpoints.iter().flat_map(Endpoint::ids).filter(|id| id == "gone-status").count();
    wait_until("its end", || calls() > 1 || !setup.discovery.results("gone-status").is_empty());
    assert_eq!(calls(), 1);
}

// Guards against a notice for a message that was ended by a complete 410 with a body.
#[test]
fn complete_410_with_a_body_ends_its_message_without_a_notice() {
    let answers = [
        "HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nwithdrawn",
        "HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngone\r\n0\r\n\r\n",
    ];
    let runs = answers.map(|text| {
        thread::spawn(move || {
            TestSetup::start(move || EndpointAction::Respond(text)).calls_and_notices("gone-status", "status")
        })
    });
    let ends = runs.map(|run| run.join().expect("the run"));
    assert_eq!(ends, [(1, 0); 2], "calls and notices after {answers:?}");
}
