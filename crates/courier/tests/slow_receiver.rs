//! The operator's receiver of outcomes is slow: each outcome is told, and those that were told are not posted for ever.

use stairshed_rig::*;
use std::thread;
use std::time::{Duration, Instant};

const PAYMENTS: usize = 10;
/// A receiver that takes each post at once and answers it after this time.
const LATENCY: Duration = Duration::from_millis(1200);
const TAKEN: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// Most posts of one outcome to a receiver that answers.
const MAX_POSTS: usize = 2;

fn text(partner: &Endpoint, receiver: &Endpoint) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n[outcomes]\nurl = \"http://{}/outcomes\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
         [pools.fuel]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\npath = \"/pay\"\npool = \"fuel\"\nclass = \"payment\"\n",
        receiver.address, partner.address
    )
}

/// How often the outcome of a message was posted.
fn posts_of(receiver: &Endpoint, id: &str) -> usize {
    let line = format!("{{\"ref\":\"{id}\",");
    receiver.calls().iter().filter(|call| String::from_utf8_lossy(&call.page.body).contains(&line)).count()
}

// Guards against outcomes that are never told: the receiver answers each post later than the time-out, and four posts that
// are repeated without an end leave no room for others (review case 8).
#[test]
fn each_outcome_is_told_to_a_receiver_that_is_slower_than_the_first_timeout() {
    let partner = Endpoint::new(|_| EndpointAction::CloseConnection);
    let receiver = Endpoint::new(|_| EndpointAction::RespondAfter(LATENCY, TAKEN));
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, &text(&partner, &receiver));
    let ids: Vec<String> = (0..PAYMENTS).map(|n| format!("payment-{n}")).collect();
    for id in &ids {
        assert_eq!(courier.post("/pay", id, "", "40 l").status(), 202);
        // So that the outcomes do not come in one post.
        thread::sleep(50 * MS);
    }
    wait_until("each outcome to be told", || ids.iter().all(|id| posts_of(&receiver, id) > 0));
    let told = Instant::now();
    wait_until("all repeats", || told.elapsed() > 4 * LATENCY);
    let posts = receiver.calls().len();
    thread::sleep(2 * LATENCY);
    assert_eq!(receiver.calls().len(), posts, "outcomes that were told are posted no more");
    for id in &ids {
        assert!(posts_of(&receiver, id) <= MAX_POSTS, "{id}: {} posts", posts_of(&receiver, id));
    }
    courier.wait_for_log("has not answered a post within 1 s; it is posted again");
}
