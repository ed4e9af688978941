//! Endpoints take a payment each, are slow, and leave discovery's list meanwhile, replaced by new ones under new
//! ids. Each answers its payment 12 s later, while discovery goes on telling of new endpoints. The courier must
//! not crash, and keeps what it has taken on.

#[path = "common.rs"]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Slow endpoints, one for each destination from 2 on.
const SLOW: u64 = 24;

/// Discovery, which also takes the notices.
#[derive(Clone)]
struct Discovery {
    state: Arc<Mutex<State>>,
    record: Record,
}

struct State {
    seq: u64,
    /// The whole list: an entry for each host.
    hosts: Vec<(String, String)>,
    watches: Vec<TcpStream>,
}

fn entry(host: &str, dial: SocketAddr, block: u64, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"block-a","class":"big-fleets","block":{block},"health":"{health}","share":50.0,"born_ms":0}}"#
    )
}

fn chunk(to: &mut TcpStream, line: &str) -> std::io::Result<()> {
    to.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

impl State {
    fn whole(&self) -> String {
        let hosts: Vec<&str> = self.hosts.iter().map(|(_, entry)| entry.as_str()).collect();
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, self.seq, hosts.join(","))
    }
}

impl Discovery {
    /// Tells all watches of changes: the host, its entry, and whether it is gone.
    fn tell(&self, changes: &[(String, String, bool)]) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        for (host, entry, gone) in changes {
            state.hosts.retain(|(known, _)| known != host);
            if !gone {
                state.hosts.push((host.clone(), entry.clone()));
            }
        }
        let entries: Vec<&str> = changes.iter().map(|(_, entry, _)| entry.as_str()).collect();
        let line = format!(r#"{{"seq":{},"whole":false,"hosts":[{}]}}"#, state.seq, entries.join(","));
        state.watches.retain_mut(|watch| chunk(watch, &line).is_ok());
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        while let Ok(request) = Http::read(&mut from) {
            if request.first.starts_with("POST /v1/outcomes") {
                request.text().lines().for_each(|line| self.record.line(format!("discovery takes the notice {line}")));
                out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
            } else if request.first.contains("stream=1") {
                let mut state = self.state.lock().unwrap();
                self.record.line(format!("discovery is asked: {}", request.first));
                out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                chunk(&mut out, &state.whole()).ok()?;
                state.watches.push(out);
                return Some(());
            } else {
                let body = self.state.lock().unwrap().whole();
                write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
            }
        }
        Some(())
    }
}

fn discovery(record: &Record, hosts: Vec<(String, String)>) -> (SocketAddr, Discovery) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().unwrap();
    let state = Arc::new(Mutex::new(State { seq: 41, hosts, watches: Vec::new() }));
    let discovery = Discovery { state, record: record.clone() };
    let own = discovery.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let own = own.clone();
            thread::spawn(move || own.serve(stream));
        }
    });
    let own = discovery.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_secs(2));
        own.state.lock().unwrap().watches.retain_mut(|watch| chunk(watch, "").is_ok());
    });
    (at, discovery)
}

/// Settings as in the example of the WIRE page, for a courier alone.
const SETTINGS: &str = r#"{"callers":{"marks-retry":false},
"costs":{"connection":0.0,"cross-zone":0.0,"handshake":0.04,"late-fail":0.03,"membership-mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.08},
"customers":[],"dcs":["block-a","block-b"],
"family-info":{"bundle-max":[1,1,1],"fee-by-zone":[0.0,0.03],"loses-worth":"line","notes":"","refusal-cost":0.0,"report-x0":"","report-x1":"","separate-routes":[true,true,false],"slots":64},
"goal":{"whole":0.5,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.3},
"lanes":[{"aim-ns":2500000000,"credit":1.0,"deadline-ns":28000000000,"effect":"by_key","key-scope":"zone","key-ttl-ns":12000000000,"late-share":0.3,"name":"stop-notice","streamed":false},
{"aim-ns":1000000000,"credit":2.0,"deadline-ns":8000000000,"effect":"repeatable","key-scope":"all","key-ttl-ns":5000000000,"late-share":0.1,"name":"route-status","streamed":false},
{"aim-ns":2000000000,"credit":5.0,"deadline-ns":28000000000,"effect":"once","key-scope":"all","key-ttl-ns":5000000000,"late-share":0.5,"name":"fuel-payment","streamed":false}],
"limits":{"cancel":true,"connect-timeout-ns":1000000000,"cpu-us-per-request":0.0,"cpu-us-per-s":540000,"keepalive-ns":10000000000,"max-open":352,"max-retry-after-ns":2000000000,"max-streams":1,"peers":false,"probing":true,"retry-after":false,"second-copies":false,"send-cap":6},
"membership-mode":"subscribe","over-share-worth":0.1,
"rules":{"ask-within-ns":10000000000,"cold-from":0.18,"cold-ns":10000000000,"drain-grace-ns":1000000000,"fall-multiple":2.0,"fall-ns":3000000000,"grace-to-answer-ns":20000000},
"self-index":0,"siblings":1,"skus":["big-fleets","couriers","small-shops"],"stats":{"fields":["x0","x1"],"how":"answers"},
"tick-ns":5000000,"tier":0,"tiers":["partner-systems"],"value-by":"request","weight-kind":"nominal","workload":"deliver","zone":0}"#;

/// The next slow endpoint that may answer.
type Turn = Arc<(Mutex<u64>, Condvar)>;

fn main() {
    let case = Case::new();
    let ran = Ran::default();
    let steady = endpoint("the steady endpoint", &case.record, &ran);
    let turn: Turn = Arc::default();
    let slow: Vec<SocketAddr> = (0..SLOW)
        .map(|number| {
            let (record, ran, turn, trouble) = (case.record.clone(), ran.clone(), turn.clone(), case.trouble);
            server(move |call| {
                let id = call.header("x-request-id").to_owned();
                record.line(format!("slow endpoint {number} takes {id}"));
                let mut now = turn.0.lock().unwrap();
                while trouble && *now <= number {
                    now = turn.1.wait(now).unwrap();
                }
                drop(now);
                record.line(format!("slow endpoint {number} has run {id}"));
                ran.0.lock().unwrap().push(id.clone());
                Act::Answer(200, format!("X-Request-ID: {id}\r\n"), String::new())
            })
        })
        .collect();
    let name = |number: u64| format!("s-{number:04}");
    let mut hosts = vec![("s-steady".to_owned(), entry("s-steady", steady, 1, "ready"))];
    for (number, at) in (0..SLOW).zip(&slow) {
        hosts.push((name(number), entry(&name(number), *at, number + 2, "ready")));
    }
    let (discovery_at, discovery) = discovery(&case.record, hosts);
    let at = free_address();
    let state = case.temp.join("state");
    std::fs::create_dir(&state).expect("the state folder");
    let known = discovery.state.lock().unwrap().whole();
    let config = case.file(
        "config.json",
        &format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{discovery_at}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{SETTINGS}}}"#
        ),
    );
    let mut courier = case.platform(
        "",
        &[
            ("LB_NAME", "n0".to_owned()),
            ("LB_LISTEN", at.to_string()),
            ("LB_DISCOVERY", discovery_at.to_string()),
            ("LB_STATE", state.display().to_string()),
            ("LB_CONFIG", config.display().to_string()),
        ],
    );
    case.wait_ready(&mut courier, at);
    let end = Instant::now() + Duration::from_secs(10);
    while discovery.state.lock().unwrap().watches.is_empty() {
        if Instant::now() > end {
            verdict(&case, 2, "the courier opened no watch");
        }
        thread::sleep(10 * MS);
    }

    let hand_in = |class: &str, id: &str, block: u64, time: &str| {
        let path = format!("/{class}");
        let envelope = format!("dest={block}");
        let headers =
            [("X-Request-ID", id), ("X-Priority-Class", class), ("X-Timeout", time), ("Envelope", &envelope)];
        request(at, "POST", &path, &headers, b"42 EUR", Duration::from_secs(2)).map_or(0, |a| a.status)
    };
    let mut taken = 0;
    for number in 0..SLOW {
        let status = hand_in("fuel-payment", &format!("pay-{number}"), number + 2, "28000m");
        case.record.line(format!("pay-{number} is handed in: {status}"));
        taken += u64::from(status == 202);
    }
    thread::sleep(1000 * MS);
    let gone: Vec<_> = (0..SLOW)
        .zip(&slow)
        .map(|(number, at)| (name(number), entry(&name(number), *at, number + 2, "gone"), true))
        .collect();
    discovery.tell(&gone);
    let replaced: Vec<_> = (0..SLOW)
        .map(|number| {
            let host = format!("r-{number:04}");
            (host.clone(), entry(&host, steady, number + 2, "ready"), false)
        })
        .collect();
    discovery.tell(&replaced);
    case.record.line("discovery tells that the slow endpoints are gone, and of those that replace them");

    // Usual traffic to the steady endpoint all the time.
    let stop = Arc::new(Mutex::new(false));
    let traffic: Vec<_> = (0..4)
        .map(|client| {
            let (stop, case) = (stop.clone(), case.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if *stop.lock().unwrap() {
                        return;
                    }
                    let id = format!("status-{client}-{number}");
                    let headers = [
                        ("X-Request-ID", id.as_str()),
                        ("X-Priority-Class", "route-status"),
                        ("X-Timeout", "8000m"),
                        ("Envelope", "dest=1"),
                    ];
                    let answer = request(at, "POST", "/route-status", &headers, b"on time", Duration::from_secs(2));
                    if answer.is_err() {
                        case.record.line(format!("{id}: no answer"));
                    }
                    thread::sleep(20 * MS);
                }
            })
        })
        .collect();
    // 12 s after they took their payments the endpoints are done, one after the other, while discovery tells of
    // a new endpoint now and then.
    thread::sleep(Duration::from_secs(12));
    let mut crashed = None;
    for number in 0..SLOW {
        *turn.0.lock().unwrap() = number + 1;
        turn.1.notify_all();
        thread::sleep(Duration::from_micros(300 * (number % 8)));
        let host = format!("t-{number:04}");
        discovery.tell(&[(host.clone(), entry(&host, steady, 1, "ready"), false)]);
        thread::sleep(200 * MS);
        if let Some(status) = courier.ended() {
            crashed = Some(status);
            break;
        }
    }
    *stop.lock().unwrap() = true;
    for client in traffic {
        client.join().unwrap();
    }
    thread::sleep(1000 * MS);
    crashed = crashed.or_else(|| courier.ended());
    if taken < SLOW / 2 {
        verdict(&case, 2, &format!("only {taken} payments were taken on; {}", courier.log_tail()));
    }
    match crashed {
        Some(status) => {
            let log = courier.log();
            let panic: Vec<&str> =
                log.lines().skip_while(|l| !l.contains("panicked")).take(2).collect();
            verdict(&case, 1, &format!("the courier's process ended by itself: {status}; {}", panic.join(" ")))
        }
        None => verdict(&case, 0, &format!("the courier ran on; {taken} payments were taken on")),
    }
}
