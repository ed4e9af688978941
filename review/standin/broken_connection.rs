//! Clients hand in payments through a network that breaks some connections under the request, and hand the
//! same payment in again (the same id, as the pages ask). The journal is synced (`durability = "machine"`).
//! With the argument `duplicates` no payment may run twice; with `lost` each that was answered 202 has to be
//! delivered or its end told.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 20;
/// Bytes of a payment; the pages allow 64 KiB.
const BODY: usize = 12_000;
const SPAN: Duration = Duration::from_secs(12);
const DEADLINE: Duration = Duration::from_secs(4);

fn main() {
    let duplicates = std::env::args().nth(1).as_deref() == Some("duplicates");
    let case = Case::new();
    let (ran, notices) = (Ran::default(), Notices::default());
    let east = endpoint("east", &case.record, &ran);
    let west = endpoint("west", &case.record, &ran);
    let receiver = outcomes(&case.record, &notices);
    let at = free_address();
    let file = case.file(
        "courier.toml",
        &format!(
            r#"
[listen]
http = "{at}"

[classes.payment]
effect = "once"
deadline = "{}s"
remember = "1h"

[pools.fuel]
endpoints = [{{ address = "{east}" }}, {{ address = "{west}" }}]

[routes.pay]
prefix = "/fuel"
pool = "fuel"
class = "payment"

[outcomes]
url = "http://{receiver}/outcomes"

[journal]
durability = "machine"
"#,
            DEADLINE.as_secs()
        ),
    );
    let mut courier = case.serve(&file);
    case.wait_ready(&mut courier, at);

    // One connection in ten breaks, 0 to 8 ms after its request was passed on.
    let (trouble, numbers) = (case.trouble, Mutex::new(Numbers::new(7)));
    let network = network(at, move |_| {
        let mut numbers = numbers.lock().unwrap();
        (trouble && numbers.below(10) == 0).then(|| Duration::from_micros(numbers.below(8000)))
    });
    // A client that hands in again does so at once, or after a while.
    let pause = if duplicates { 40 * MS } else { Duration::ZERO };
    let taken: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let broken = Arc::new(Mutex::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (case, taken, broken) = (case.clone(), taken.clone(), broken.clone());
            thread::spawn(move || {
                let end = Instant::now() + SPAN;
                for number in 0.. {
                    let id = format!("p{client}-{number}");
                    // At most ten tries: a client goes on until it is answered.
                    for attempt in 0..10 {
                        if Instant::now() > end {
                            return;
                        }
                        let headers = [("X-Request-ID", id.as_str())];
                        let answer =
                            request(network, "POST", "/fuel/4/pay", &headers, &[b'x'; BODY], 400 * MS);
                        match answer {
                            Ok(answer) => {
                                case.record.line(format!("{id} try {attempt}: {}", answer.status));
                                if answer.status == 202 {
                                    taken.lock().unwrap().insert(id.clone());
                                    break;
                                }
                                thread::sleep(50 * MS);
                            }
                            Err(e) => {
                                case.record.line(format!("{id} try {attempt}: no answer ({})", e.kind()));
                                *broken.lock().unwrap() += 1;
                                thread::sleep(pause);
                            }
                        }
                    }
                    thread::sleep(5 * MS);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    thread::sleep(DEADLINE + Duration::from_secs(3));

    let (taken, broken) = (taken.lock().unwrap().clone(), *broken.lock().unwrap());
    let counts = ran.counts();
    let twice: Vec<&String> = counts.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
    let lost: Vec<&String> =
        taken.iter().filter(|id| !counts.contains_key(*id) && !notices.has(id)).collect();
    if taken.len() < 200 || (case.trouble && broken < 50) {
        verdict(&case, 2, &format!("only {} payments taken on, {broken} connections broken", taken.len()));
    }
    let found = if duplicates { &twice } else { &lost };
    let why = format!(
        "of {} payments that were answered 202, with {broken} connections broken: {} {}: {:?}",
        taken.len(),
        found.len(),
        if duplicates { "ran twice" } else { "were neither run nor told of" },
        &found[..found.len().min(6)]
    );
    verdict(&case, i32::from(!found.is_empty()), &why)
}
