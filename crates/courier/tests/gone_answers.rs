//! A message whose endpoint has answered 410 is over, and is not sent again, in whatever shape that answer comes:
//! couriers as processes on loopback, endpoints that break off their answers, and a machine whose reads are interrupted.

use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TIME_MS: u64 = 6_000;
/// Classes of messages that may be sent again once they may have run.
const REPEATED: [&str; 2] = ["notice", "status"];
/// Longer than the pause before another attempt of the same message.
const SETTLED: Duration = Duration::from_millis(1_500);

/// How an endpoint gives an answer.
type Answering = fn(&'static str) -> EndpointAction;

/// Answers of 410 that cannot be read to their end.
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

/// Two endpoints of one destination. They answer the first call for a message named `gone-...` with `act`, all other calls
/// well.
fn two_endpoints(act: impl Fn() -> EndpointAction + Clone + Send + Sync + 'static) -> [Endpoint; 2] {
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

/// One courier between them and its clients.
struct Play {
    endpoints: [Endpoint; 2],
    discovery: Discovery,
    courier: Courier,
    faults: MachineFaults,
    folder: TestFolder,
}

impl Play {
    fn start(act: impl Fn() -> EndpointAction + Clone + Send + Sync + 'static) -> Self {
        let endpoints = two_endpoints(act);
        let hosts = [("s-1", &endpoints[0]), ("s-2", &endpoints[1])];
        let hosts = hosts.map(|(name, endpoint)| host(name, endpoint, 7, "ready"));
        let discovery = Discovery::new(list(1, true, hosts.to_vec()));
        let folder = TestFolder::new();
        let mut command = command(&folder, &discovery, &config(&discovery, list(1, true, hosts.to_vec())));
        let faults = MachineFaults::load(&mut command, &folder, "");
        let courier = Courier::spawn(&mut command);
        Play { endpoints, discovery, courier, faults, folder }
    }

    fn calls_for(&self, id: &str) -> Vec<ReceivedCall> {
        self.endpoints.iter().flat_map(Endpoint::calls).filter(|call| call.id == id).collect()
    }

    /// Leaves connections to both endpoints that are kept: their answers are known to differ.
    fn warm(&self) {
        for n in 0..6 {
            self.courier.submit_accepted(&format!("warm-{n}"), "status", 7, TIME_MS);
            thread::sleep(20 * MS);
        }
    }

    /// Hands messages in, with `rules` for the machine while the answer to each comes; those that were called again.
    fn called_again_under(&self, rules: &str) -> Vec<String> {
        let ids: Vec<_> = (0..MESSAGES).map(|n| format!("gone-{n}")).collect();
        for (id, class) in ids.iter().zip(REPEATED.into_iter().cycle()) {
            self.courier.submit_accepted(id, class, 7, TIME_MS);
            wait_until("its call", || !self.calls_for(id).is_empty());
            self.faults.set(rules);
            thread::sleep(150 * MS);
            self.faults.set("");
        }
        thread::sleep(SETTLED);
        ids.into_iter().filter(|id| self.calls_for(id).len() > 1).collect()
    }

    /// Hands a message in; how often it was called and how many notices it has, once it has ended and long enough for
    /// another attempt has passed.
    fn end_of(&self, id: &str, class: &str) -> (usize, usize) {
        self.courier.submit_accepted(id, class, 7, TIME_MS);
        let end = Instant::now() + Duration::from_millis(TIME_MS) + SETTLED;
        while Instant::now() < end && self.calls_for(id).len() < 2 && self.discovery.results(id).is_empty() {
            thread::sleep(5 * MS);
        }
        thread::sleep(SETTLED);
        (self.calls_for(id).len(), self.discovery.results(id).len())
    }
}

/// A 410 as it should be.
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
/// Messages that are handed in one after the other.
const MESSAGES: usize = 12;

/// Each answer on a courier of its own: one call for a message of each class, and an end by a notice.
fn assert_ended_by_each(used: bool, act: Answering) {
    let plays = UNREADABLE_GONE.map(|text| {
        thread::spawn(move || {
            let play = Play::start(move || act(text));
            REPEATED.map(|class| {
                if used {
                    play.warm();
                }
                play.end_of(&format!("gone-{class}"), class)
            })
        })
    });
    let ends = plays.map(|play| play.join().expect("a play"));
    let told = UNREADABLE_GONE.into_iter().zip(&ends).map(|(text, end)| format!("{end:?} {text:?}\n"));
    let told: String = told.collect();
    assert_eq!(ends, [[(1, 1); REPEATED.len()]; UNREADABLE_GONE.len()], "calls and notices of each:\n{told}");
}

// Guards against a message that is sent again after a 410 which came on a new connection and could not be read to its end
// (incident 9421da).
#[test]
fn message_is_not_sent_again_after_an_unreadable_410_on_a_new_connection() {
    assert_ended_by_each(false, EndpointAction::Respond);
}

// The same on a connection that has carried other answers (incident 9421da).
#[test]
fn message_is_not_sent_again_after_an_unreadable_410_on_a_used_connection() {
    assert_ended_by_each(true, EndpointAction::Respond);
}

// Guards against a message that is sent again because its connection broke in the middle of a 410 (incident 9421da).
#[test]
fn message_is_not_sent_again_after_a_410_that_is_cut_off_by_a_reset() {
    assert_ended_by_each(false, EndpointAction::RespondAndReset);
}

// Guards against a message that is sent again because the read of its 410 was interrupted (EINTR, incident 9421da).
#[test]
fn message_is_not_sent_again_after_a_410_whose_read_was_interrupted() {
    let play = Play::start(|| EndpointAction::RespondAfter(60 * MS, GONE));
    let repeated = play.called_again_under("recv EINTR 2");
    assert!(repeated.is_empty(), "sent again after 410: {repeated:?}");
}

/// Answers that tell to wait for 900 ms and cannot be read to their end.
const UNREADABLE_WAITS: [&str; 5] = [
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nno head\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nwait-ms:900\r\nX-Server-Load: TEXT x0=",
    "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 900\r\nContent-Length: 3000000000\r\n\r\nand so on",
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 5, 7\r\nWait-Ms: 900\r\n\r\nabcde",
];
const WAIT: Duration = Duration::from_millis(900);

/// From the answer that tells to wait to the next call at its endpoint.
fn pause_after(text: &'static str, used: bool, act: Answering) -> Duration {
    let calls_before = if used { 4 } else { 0 };
    let answer =
        move |n| if n == calls_before { act(text) } else { EndpointAction::RespondDistinct(Duration::ZERO) };
    let endpoint = Endpoint::new(answer);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    for n in 0..calls_before {
        courier.submit_accepted(&format!("warm-{n}"), "status", 7, TIME_MS);
        wait_until("a call", || endpoint.calls().len() == n + 1);
        thread::sleep(20 * MS);
    }
    courier.submit_accepted("m", "status", 7, TIME_MS);
    wait_until("the call that is told to wait", || endpoint.calls().len() > calls_before);
    courier.submit_accepted("n", "notice", 7, TIME_MS);
    wait_until("the next call", || endpoint.calls().len() > calls_before + 1);
    let calls = endpoint.calls();
    calls[calls_before + 1].at - calls[calls_before].at
}

// Guards against a call within a wait that an endpoint has told in an answer which cannot be read to its end.
#[test]
fn wait_is_heeded_also_if_the_answer_that_tells_it_cannot_be_read_to_its_end() {
    let ways: [(bool, Answering); 3] = [
        (false, EndpointAction::Respond),
        (true, EndpointAction::Respond),
        (false, EndpointAction::RespondAndReset),
    ];
    for (used, act) in ways {
        let plays = UNREADABLE_WAITS.map(|text| thread::spawn(move || (text, pause_after(text, used, act))));
        let pauses = plays.map(|play| play.join().expect("a play"));
        let early: Vec<_> = pauses.iter().filter(|(_, pause)| *pause < WAIT).collect();
        assert!(early.is_empty(), "called within the wait, used connection {used}: {early:?}");
    }
}

// Guards against a message that is sent again because its connection failed with the 410 in the socket.
#[test]
fn message_is_not_sent_again_after_a_410_that_came_before_its_connection_failed() {
    for error in ["ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"] {
        let play = Play::start(|| EndpointAction::RespondAfter(60 * MS, GONE));
        let repeated = play.called_again_under(&format!("recv {error} 2"));
        assert!(repeated.is_empty(), "sent again after 410 and {error}: {repeated:?}");
    }
}

// Guards against a message that a restart sends again because its courier was killed while it waited for the rest of a 410.
#[test]
fn restart_does_not_send_again_what_was_over_before_the_rest_of_its_410_came() {
    let play = Play::start(|| EndpointAction::Respond(UNREADABLE_GONE[2]));
    play.courier.submit_accepted("gone-status", "status", 7, TIME_MS);
    wait_until("its call", || !play.calls_for("gone-status").is_empty());
    thread::sleep(50 * MS);
    play.courier.kill();
    let _courier = Courier::start(&play.folder, &play.discovery);
    let calls = || play.endpoints.iter().flat_map(Endpoint::ids).filter(|id| id == "gone-status").count();
    wait_until("its end", || calls() > 1 || !play.discovery.results("gone-status").is_empty());
    assert_eq!(calls(), 1);
}

// Guards against a notice for a message that a whole 410 with a body has ended.
#[test]
fn whole_410_with_a_body_ends_its_message_silently() {
    let answers = [
        "HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nwithdrawn",
        "HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngone\r\n0\r\n\r\n",
    ];
    let plays = answers.map(|text| {
        thread::spawn(move || {
            Play::start(move || EndpointAction::Respond(text)).end_of("gone-status", "status")
        })
    });
    let ends = plays.map(|play| play.join().expect("a play"));
    assert_eq!(ends, [(1, 0); 2], "calls and notices after {answers:?}");
}
