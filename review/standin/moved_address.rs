//! A new configuration moves the endpoint of the fuel pool to another address, under traffic, and gives its old
//! address to the toll pool. From 1 s after that no fuel payment may reach the old address.

#[path = "common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Payments that a server has run: the pool of their route, their id, and when they came.
type Calls = Arc<Mutex<Vec<(String, String, Instant)>>>;

/// A server that takes 60 ms for a payment, as an ordinary one may.
fn partner(name: &'static str, record: &Record) -> (SocketAddr, Calls) {
    let (record, calls) = (record.clone(), Calls::default());
    let all = calls.clone();
    let at = server(move |call| {
        let id = call.header("x-request-id").to_owned();
        let pool = id.split('-').next().unwrap_or_default().to_owned();
        record.line(format!("{name} runs {id}"));
        all.lock().unwrap().push((pool, id.clone(), Instant::now()));
        Act::AnswerAfter(60 * MS, 200, format!("X-Request-ID: {id}\r\n"), String::new())
    });
    (at, calls)
}

fn main() {
    let case = Case::new();
    let (old, old_calls) = partner("server 1 (fuel's, later toll's)", &case.record);
    let (toll, _) = partner("server 2 (toll's)", &case.record);
    let (new, new_calls) = partner("server 3 (fuel's, later)", &case.record);
    let at = free_address();
    let config = |fuel: &str, toll: &str| {
        format!(
            r#"
[listen]
http = "{at}"

[classes.payment]
effect = "once"
deadline = "10s"
remember = "1h"

[pools.fuel]
endpoints = [{fuel}]

[pools.toll]
endpoints = [{toll}]

[routes.fuel]
prefix = "/fuel"
pool = "fuel"
class = "payment"

[routes.toll]
prefix = "/toll"
pool = "toll"
class = "payment"
"#
        )
    };
    let member = |name: &str, address: SocketAddr| format!("{{ name = \"{name}\", address = \"{address}\" }}");
    let file = case.file("courier.toml", &config(&member("main", old), &member("main", toll)));
    let mut courier = case.serve(&file);
    case.wait_ready(&mut courier, at);

    let taken = Arc::new(Mutex::new(0));
    let end = Instant::now() + Duration::from_secs(10);
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (case, taken) = (case.clone(), taken.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    let pool = if client % 3 == 2 { "toll" } else { "fuel" };
                    let id = format!("{pool}-{client}-{number}");
                    let headers = [("X-Request-ID", id.as_str())];
                    let path = format!("/{pool}/4/pay");
                    let answer = request(at, "POST", &path, &headers, b"42 EUR", Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status);
                    case.record.line(format!("{id} is handed in: {status}"));
                    *taken.lock().unwrap() += usize::from(status == 202);
                    thread::sleep(35 * MS);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut in_effect = Instant::now();
    if case.trouble {
        let toll = format!("{}, {}", member("main", toll), member("second", old));
        case.file("courier.toml", &config(&member("main", new), &toll));
        signal(courier.pid(), "HUP");
        case.record.line("the file has the new addresses, and the courier gets SIGHUP");
        if !courier.wait_log("the file is read again and in effect", 0, Duration::from_secs(5)) {
            verdict(&case, 2, &format!("the file was not read again: {}", courier.log_tail()));
        }
        in_effect = Instant::now();
        case.record.line("the courier says that the file is in effect");
    }
    for client in clients {
        client.join().unwrap();
    }
    thread::sleep(Duration::from_secs(2));

    // 1 s of grace, and half a second as a margin.
    let late: Vec<(String, Duration)> = old_calls
        .lock()
        .unwrap()
        .iter()
        .filter(|(pool, _, at)| case.trouble && pool == "fuel" && *at > in_effect + Duration::from_millis(1500))
        .map(|(_, id, at)| (id.clone(), at.duration_since(in_effect)))
        .collect();
    let taken = *taken.lock().unwrap();
    if taken < 300 {
        verdict(&case, 2, &format!("only {taken} payments were taken on; {}", courier.log_tail()));
    }
    let why = format!(
        "{} fuel payments reached the address that is the toll pool's by then, the last {:.1} s after the change; {} reached the new address",
        late.len(),
        late.last().map_or(0.0, |(_, after)| after.as_secs_f64()),
        new_calls.lock().unwrap().len()
    );
    verdict(&case, i32::from(!late.is_empty()), &why)
}
