//! Processes that come up at the address of an endpoint that has gone or moved are not taken for it: under steady traffic,
//! each message reaches the partner of its pool.

use stairshed_rig::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// From this long after a change has taken effect, a call that goes by the state before it breaks the rule on drains
/// (1 s, and 50 ms for sockets).
const GRACE: Duration = Duration::from_millis(1050);
/// How long traffic goes on before and after the change.
const TRAFFIC_TIME: Duration = Duration::from_millis(2500);
/// Pause between two messages, shorter than a call takes: no connection is ever idle.
const PAUSE: Duration = Duration::from_millis(5);
/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(30);

fn endpoint() -> Endpoint {
    Endpoint::new(|_| EndpointAction::RespondDistinct(CALL_TIME))
}

/// A pool's section, with its number and its endpoint.
fn pool(name: &str, destination: u32, endpoint: &str) -> String {
    format!(
        "[pools.{name}]\ndestination = {destination}\nendpoints = [{{ {endpoint} }}]\n\
         [routes.{name}]\nprefix = \"/{name}\"\npool = \"{name}\"\nclass = \"status\"\n"
    )
}

fn file(pools: &[String]) -> String {
    let class = "[classes.status]\neffect = \"repeatable\"\ndeadline = \"5s\"\n";
    format!("name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n{class}{}", pools.concat())
}

fn named(name: &str, address: SocketAddr) -> String {
    format!("name = \"{name}\", address = \"{address}\"")
}

/// Submits messages to both pools for a while. The id of each names its pool.
fn submit(to: SocketAddr, phase: &str) {
    let end = Instant::now() + TRAFFIC_TIME;
    let mut number = 0;
    while Instant::now() < end {
        for pool in ["fuel", "toll"] {
            // A pool may have no endpoint for a moment.
            let _ = post(to, &format!("/{pool}"), &format!("{pool}-{phase}-{number}"), "", "running");
        }
        number += 1;
        thread::sleep(PAUSE);
    }
}

/// Runs traffic, changes the file under it, and returns when the change was in effect.
fn change_under_traffic(before: &str, after: &str) -> Instant {
    let folder = TestFolder::new();
    let courier = Courier::serve(&folder, before);
    let to = courier.address;
    let traffic = thread::spawn(move || submit(to, "a"));
    thread::sleep(TRAFFIC_TIME / 2);
    courier.replace_config_file(&folder, after);
    courier.wait_for_log("the file is read again and in effect");
    let in_effect = Instant::now();
    traffic.join().expect("the traffic");
    submit(to, "b");
    in_effect
}

/// Asserts that an endpoint received messages of its pool, and no others once the grace period was over.
fn assert_only_own_messages(endpoint: &Endpoint, pool: &str, in_effect: Instant) {
    let calls = endpoint.calls().into_iter().filter(|call| call.at > in_effect + GRACE).map(|call| call.id);
    let (own, other): (Vec<_>, Vec<_>) = calls.partition(|id| id.starts_with(pool));
    assert!(other.is_empty(), "the endpoint of {pool} received {} others: {:?}", other.len(), other.first());
    assert!(own.len() > 20, "the endpoint of {pool} received {} of its messages", own.len());
}

// Guards against calls that go on to the old address of an endpoint that has moved, where another pool's endpoint is by
// then (review case 3): a connection that was busy during the change was used again.
#[test]
fn calls_go_to_the_new_address_of_an_endpoint_that_moved() {
    let (old, new, other) = (endpoint(), endpoint(), endpoint());
    let before = file(&[
        pool("fuel", 1, &named("main", old.address)),
        pool("toll", 2, &named("other", other.address)),
    ]);
    let after =
        file(&[pool("fuel", 1, &named("main", new.address)), pool("toll", 2, &named("other", old.address))]);
    let in_effect = change_under_traffic(&before, &after);
    for (endpoint, pool) in [(&old, "toll"), (&new, "fuel")] {
        assert_only_own_messages(endpoint, pool, in_effect);
    }
}

// Guards against messages at the partner of another pool: an endpoint that a reload moves from one pool's number to
// another's was taken for the one before.
#[test]
fn calls_go_to_the_own_pool_when_two_pools_exchange_their_numbers() {
    let (fuel, toll) = (endpoint(), endpoint());
    let address = |endpoint: &Endpoint| format!("address = \"{}\"", endpoint.address);
    let of =
        |first, second| file(&[pool("fuel", first, &address(&fuel)), pool("toll", second, &address(&toll))]);
    let in_effect = change_under_traffic(&of(1, 2), &of(2, 1));
    for (endpoint, pool) in [(&fuel, "fuel"), (&toll, "toll")] {
        assert_only_own_messages(endpoint, pool, in_effect);
    }
}
