//! A message that has bounced is submitted again while the receiver of outcomes is down: it is a new message, whose end is
//! told as well.

use serde_json::json;
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Longer than the deadline of a payment, so that it has bounced.
const BOUNCE_TIME: Duration = Duration::from_millis(3500);

/// An endpoint that refuses calls until it is opened.
fn gated_endpoint() -> (Endpoint, Arc<AtomicBool>) {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let endpoint = Endpoint::new(move |_| match gate.load(Ordering::SeqCst) {
        true => EndpointAction::RespondDistinct(MS),
        false => EndpointAction::Respond(REFUSED),
    });
    (endpoint, open)
}

/// Syncs of the journal that take 200 ms.
const SLOW_SYNCS: &str = "sync slow 1";
/// Within this time a request is read, and its message is recorded and waits for the sync.
const RECORD_TIME: Duration = Duration::from_millis(60);

fn file(endpoint: &Endpoint, outcomes: SocketAddr) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n[outcomes]\nurl = \"http://{outcomes}/outcomes\"\n\
         [classes.payment]\neffect = \"once\"\naim = \"1s\"\ndeadline = \"3s\"\nremember = \"1h\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n",
        endpoint.address
    )
}

// Guards against a payment that is acknowledged and lost (review case 5): its id stayed that of the message that had
// bounced until the receiver of outcomes acknowledged that.
#[test]
fn payment_that_bounced_is_sent_when_it_is_submitted_again_before_its_notice_is_acknowledged() {
    let (endpoint, open) = gated_endpoint();
    // Takes connections and answers nothing.
    let receiver = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &file(&endpoint, receiver.local_addr().expect("an address")));
    let submit = || courier.post("/pay", "again", "", "42 EUR").status();
    assert_eq!(submit(), 202);
    thread::sleep(BOUNCE_TIME);
    let refused = endpoint.calls().len();
    assert!(refused > 0);
    open.store(true, Ordering::SeqCst);
    wait_until("an acceptance", || submit() == 202);
    wait_until("the delivery", || endpoint.calls().len() > refused);
    assert_eq!(submit(), 202, "it is known");
    thread::sleep(BOUNCE_TIME);
    assert_eq!(endpoint.ids().split_off(refused), ["again"]);
}

// Guards against a notice that ends the wrong message: a message bounced, another client used its id before the platform
// had taken the notice, and that was sent on after the notice had ended the id.
#[test]
fn platform_message_is_not_sent_after_the_notice_that_ended_its_id() {
    let (endpoint, open) = gated_endpoint();
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    discovery.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("open", "status", 7, 1_500);
    wait_until("a notice that is not taken", || discovery.posts.load(Ordering::SeqCst) > 0);
    // Discovery refuses all further notices for now; the destination serves again soon.
    let again = courier.submit("open", "status", 7, 20_000).status();
    discovery.refuse_posts.store(0, Ordering::SeqCst);
    wait_until("the notice", || !discovery.results("open").is_empty());
    let refused = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    let after_notice = courier.submit("open", "status", 7, 20_000).status();
    thread::sleep(BOUNCE_TIME);
    let sent = endpoint.ids().split_off(refused);
    assert!(sent.is_empty(), "answered {again} and {after_notice}, then sent after its notice: {sent:?}");
    assert_eq!((again, after_notice), (503, 503));
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next message", || endpoint.ids().contains(&"next".to_owned()));
}

// Guards against a message that is sent again after its end: its endpoint answered 410, and its id comes again.
#[test]
fn platform_message_that_was_gone_is_not_sent_again() {
    const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
    let endpoint = Endpoint::new(|_| EndpointAction::Respond(GONE));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = Courier::start(&folder, &discovery);
    courier.submit_accepted("gone", "status", 7, 20_000);
    wait_until("the call", || endpoint.ids() == ["gone"]);
    thread::sleep(RECORD_TIME);
    assert_eq!(courier.submit("gone", "status", 7, 20_000).status(), 503);
    courier.submit_accepted("next", "status", 7, 20_000);
    wait_until("the next message", || endpoint.ids().contains(&"next".to_owned()));
    thread::sleep(RECORD_TIME);
    assert_eq!(endpoint.ids(), ["gone", "next"]);
}

// Guards against an operator who is told `bounced` of a payment that runs: the notice of its first life came after it had
// been accepted again.
#[test]
fn notice_of_a_bounced_payment_is_not_posted_after_the_payment_was_accepted_again() {
    let (endpoint, open) = gated_endpoint();
    let receiver = Discovery::new(json!({}));
    receiver.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &file(&endpoint, receiver.address));
    let submit = || courier.post("/pay", "again", "", "42 EUR").status();
    assert_eq!(submit(), 202);
    wait_until("a notice that is not taken", || receiver.posts.load(Ordering::SeqCst) > 0);
    open.store(true, Ordering::SeqCst);
    wait_until("an acceptance", || submit() == 202);
    receiver.refuse_posts.store(0, Ordering::SeqCst);
    let delivered = || endpoint.calls().iter().any(|call| call.id == "again" && open.load(Ordering::SeqCst));
    wait_until("the delivery", delivered);
    thread::sleep(BOUNCE_TIME);
    assert!(
        receiver.results("again").is_empty(),
        "told of a payment that ran: {:?}",
        receiver.results("again")
    );
}

// Guards against a message whose end is never told: its notice was taken back for a new message under its id, which was
// withdrawn, since its client left before it heard that it was accepted.
#[test]
fn notice_of_a_bounced_payment_is_posted_if_the_client_leaves_that_submitted_it_again() {
    let (endpoint, _open) = gated_endpoint();
    let receiver = Discovery::new(json!({}));
    receiver.refuse_posts.store(usize::MAX, Ordering::SeqCst);
    let folder = TestFolder::new();
    let text = file(&endpoint, receiver.address) + "[journal]\ndurability = \"machine\"\n";
    let mut command = serve_command(&folder, &text);
    let faults = MachineFaults::load(&mut command, &folder, "");
    let courier = Courier::spawn(command.args(["--follow", "1/1"]));
    assert_eq!(courier.post("/pay", "again", "", "42 EUR").status(), 202);
    wait_until("a notice that is not taken", || receiver.posts.load(Ordering::SeqCst) > 0);
    faults.set(SLOW_SYNCS);
    let is_taken_again = || {
        let mut stream = TcpStream::connect(courier.address).expect("a connection");
        stream.write_all(request("/pay", "again", "", "42 EUR").as_bytes()).expect("sent");
        thread::sleep(RECORD_TIME);
        courier
            .unread_log()
            .iter()
            .any(|line| line.contains("again taken number=") && !line.contains("number=1 "))
    };
    wait_until("a repeat that is recorded", is_taken_again);
    courier.wait_for_log("again withdrawn: the client disconnected");
    receiver.refuse_posts.store(0, Ordering::SeqCst);
    wait_until("the notice", || !receiver.results("again").is_empty());
    assert_eq!(receiver.results("again"), ["bounced"]);
}
