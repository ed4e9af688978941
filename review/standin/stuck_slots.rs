//! Clients hand in payments through a network that breaks some connections under the request, and hand the same
//! payment in again. The journal is synced (`durability = "machine"`). After a while the network is sound, and
//! the endpoints have been sound all the time: what is taken on from then on has to be called.

#[path = "common.rs"]
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 3;
/// How long connections break.
const SPAN: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_secs(4);
/// Payments that are handed in afterwards, directly, one at a time.
const AFTERWARDS: usize = 100;

fn main() {
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

[limits]
calls = 4

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

    // One connection in two breaks, 0 to 8 ms after its request was passed on.
    let (trouble, numbers) = (case.trouble, Mutex::new(Numbers::new(11)));
    let network = network(at, move |_| {
        let mut numbers = numbers.lock().unwrap();
        (trouble && numbers.below(2) == 0).then(|| Duration::from_micros(numbers.below(8000)))
    });
    let (stop, broken, taken) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (case, stop, broken, taken) = (case.clone(), stop.clone(), broken.clone(), taken.clone());
            thread::spawn(move || {
                for number in 0.. {
                    let id = format!("p{client}-{number}");
                    for attempt in 0..10 {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let headers = [("X-Request-ID", id.as_str())];
                        match request(network, "POST", "/fuel/4/pay", &headers, &[b'x'; 12_000], 400 * MS) {
                            Ok(answer) => {
                                case.record.line(format!("{id} try {attempt}: {}", answer.status));
                                taken.fetch_add(usize::from(answer.status == 202), Ordering::SeqCst);
                                break;
                            }
                            Err(e) => {
                                case.record.line(format!("{id} try {attempt}: no answer ({})", e.kind()));
                                broken.fetch_add(1, Ordering::SeqCst);
                                thread::sleep(40 * MS);
                            }
                        }
                    }
                    thread::sleep(10 * MS);
                }
            })
        })
        .collect();
    thread::sleep(SPAN);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    let (broken, before) = (broken.load(Ordering::SeqCst), taken.load(Ordering::SeqCst));
    case.record.line(format!("the network is sound from now on; {broken} connections broke"));
    // All that was taken on has ended by then, and pauses after failures are over.
    thread::sleep(DEADLINE + Duration::from_secs(8));

    let (calls_before, start) = (ran.0.lock().unwrap().len(), Instant::now());
    let mut afterwards = 0;
    for number in 0..AFTERWARDS {
        let id = format!("after-{number}");
        let headers = [("X-Request-ID", id.as_str())];
        let answer = request(at, "POST", "/fuel/4/pay", &headers, b"42 EUR", Duration::from_secs(2));
        let status = answer.map_or(0, |a| a.status);
        case.record.line(format!("{id} is handed in: {status}"));
        afterwards += usize::from(status == 202);
        thread::sleep(60 * MS);
    }
    let span = start.elapsed();
    thread::sleep(DEADLINE + Duration::from_secs(3));
    let calls = ran.0.lock().unwrap().len() - calls_before;
    let told = (0..AFTERWARDS).filter(|n| notices.has(&format!("after-{n}"))).count();
    if before < 100 || (case.trouble && broken < 50) || afterwards < 15 {
        let why = format!("{before} and {afterwards} payments taken on, {broken} connections broken");
        verdict(&case, 2, &format!("only {why}; {}", courier.log_tail()));
    }
    let why = format!(
        "{broken} connections broke; of {afterwards} payments that were taken on afterwards, within {:.1} s, {calls} were called and {told} told of as not delivered; the process {}",
        span.as_secs_f64(),
        courier.ended().map_or("runs".to_owned(), |status| format!("ended: {status}"))
    );
    verdict(&case, i32::from(calls == 0), &why)
}
