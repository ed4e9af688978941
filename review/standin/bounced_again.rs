//! A client publishes payments over MQTT and reads its outcomes. An endpoint refuses for a while, so the
//! payments end as `bounced`, which the courier tells the client. The client hands them in again under the
//! same identity and gets PUBACK 0x00. Each then has to be delivered, or its end told once more.
//! The disruption: the receiver of `[outcomes]` answers 503 for 8 s.

#[path = "common.rs"]
mod common;
#[path = "mqtt.rs"]
mod mqtt;
use common::*;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAYMENTS: u16 = 8;
const DEADLINE: Duration = Duration::from_secs(2);
const OUTAGE: Duration = Duration::from_secs(8);

/// What the client hears.
#[derive(Debug)]
enum Heard {
    /// PUBACK of a packet id, with its reason code.
    Acknowledged(u16, u8),
    /// A line on its topic of outcomes.
    Outcome(String),
}

fn client(case: &Arc<Case>, at: std::net::SocketAddr) -> std::io::Result<(TcpStream, Receiver<Heard>)> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    mqtt::connect(&mut stream, "van-7")?;
    mqtt::subscribe(&mut stream, 1, "$stairshed/outcomes/van-7")?;
    let (tell, heard) = channel();
    let (mut from, case) = (stream.try_clone()?, case.clone());
    thread::spawn(move || {
        while let Ok(packet) = mqtt::read(&mut from) {
            let told = match packet.kind {
                mqtt::PUBACK => {
                    let mut fields = mqtt::Fields(&packet.rest);
                    Heard::Acknowledged(fields.number(), fields.byte())
                }
                mqtt::PUBLISH => {
                    let publish = mqtt::Publish::of(&packet);
                    let _ = mqtt::puback(&mut from, publish.id, 0);
                    Heard::Outcome(String::from_utf8_lossy(&publish.payload).into_owned())
                }
                _ => continue,
            };
            case.record.line(format!("the client hears {told:?}"));
            if tell.send(told).is_err() {
                return;
            }
        }
    });
    Ok((stream, heard))
}

fn main() {
    let case = Case::new();
    let (ran, refuses) = (Ran::default(), Arc::new(AtomicBool::new(true)));
    let partner = {
        let (record, ran, refuses) = (case.record.clone(), ran.clone(), refuses.clone());
        server(move |call| {
            let id = call.header("x-request-id").to_owned();
            if refuses.load(Ordering::SeqCst) {
                record.line(format!("the partner refuses {id}"));
                return Act::Answer(503, String::new(), String::new());
            }
            record.line(format!("the partner runs {id}"));
            ran.0.lock().unwrap().push(id.clone());
            Act::Answer(200, format!("X-Request-ID: {id}\r\n"), String::new())
        })
    };
    // The receiver of outcomes. With the disruption it answers 503 for 8 s from the first post on.
    let first_post: Arc<Mutex<Option<Instant>>> = Arc::default();
    let receiver = {
        let (record, trouble) = (case.record.clone(), case.trouble);
        server(move |post| {
            let first = *first_post.lock().unwrap().get_or_insert_with(Instant::now);
            let status = if trouble && first.elapsed() < OUTAGE { 503 } else { 204 };
            if status == 204 || first.elapsed() < 100 * MS {
                record.line(format!("outcomes answers {status} to {:?}", post.text()));
            }
            Act::Answer(status, String::new(), String::new())
        })
    };
    let (http, at) = (free_address(), free_address());
    let file = case.file(
        "courier.toml",
        &format!(
            r#"
[listen]
http = "{http}"
mqtt = "{at}"

[classes.payment]
effect = "once"
deadline = "{}s"

[pools.fuel]
endpoints = [{{ address = "{partner}" }}]

[topics.pay]
filter = "fuel/+/pay"
pool = "fuel"
class = "payment"
identity = {{ pointer = "/id" }}
identity_scope = "all"

[outcomes]
url = "http://{receiver}/outcomes"
"#,
            DEADLINE.as_secs()
        ),
    );
    let mut courier = case.serve(&file);
    case.wait_ready(&mut courier, http);
    let (mut stream, heard) = match client(&case, at) {
        Ok(client) => client,
        Err(e) => verdict(&case, 2, &format!("the MQTT client: {e}")),
    };

    // Each packet id is used once: 10 and up for the first time, 100 and up for the second.
    let name = |n: u16| format!("pay-{n}");
    let hand_in = |stream: &mut TcpStream, packet: u16, n: u16| {
        case.record.line(format!("the client publishes {} as packet {packet}", name(n)));
        let payload = format!("{{\"id\":\"{}\"}}", name(n));
        mqtt::publish(stream, packet, "fuel/4/pay", &payload).expect("a PUBLISH");
    };
    for n in 0..PAYMENTS {
        hand_in(&mut stream, 10 + n, n);
    }
    let (mut again, mut bounced) = (BTreeMap::new(), Vec::new());
    let mut told_again: Vec<String> = Vec::new();
    let end = Instant::now() + DEADLINE + Duration::from_secs(5);
    let mut hand_in_at: Option<Instant> = None;
    let mut over: Option<Instant> = None;
    loop {
        match heard.recv_timeout(20 * MS) {
            Ok(Heard::Outcome(line)) => {
                let (id, result) = (json_field(&line, "ref"), json_field(&line, "result"));
                if again.contains_key(&id) {
                    told_again.push(id);
                } else if result == "bounced" && !bounced.contains(&id) {
                    bounced.push(id);
                    // The partner serves again; the client waits for longer than it was told.
                    refuses.store(false, Ordering::SeqCst);
                    hand_in_at.get_or_insert(Instant::now() + Duration::from_millis(1500));
                }
            }
            Ok(Heard::Acknowledged(packet, code)) if packet >= 100 && code == 0 => {
                again.insert(name(packet - 100), Instant::now());
            }
            Ok(Heard::Acknowledged(packet, code)) if packet < 100 && code != 0 => {
                case.record.line(format!("packet {packet} is refused: 0x{code:02x}"));
            }
            Ok(_) => {}
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
            Err(_) => verdict(&case, 2, &format!("the connection ended: {}", courier.log_tail())),
        }
        if hand_in_at.is_some_and(|at| at <= Instant::now()) {
            hand_in_at = None;
            for n in 0..PAYMENTS {
                if bounced.contains(&name(n)) {
                    hand_in(&mut stream, 100 + n, n);
                }
            }
            // The deadline, half a second for the last word, the rest of the outage, and a margin.
            over = Some(Instant::now() + DEADLINE + OUTAGE + Duration::from_secs(4));
        }
        if over.is_some_and(|at| at <= Instant::now()) || (over.is_none() && Instant::now() > end) {
            break;
        }
    }
    let lost: Vec<&String> =
        again.keys().filter(|id| ran.count(id) == 0 && !told_again.contains(id)).collect();
    if again.len() < 3 {
        let why = format!("{} bounced, {} taken on again; {}", bounced.len(), again.len(), courier.log_tail());
        verdict(&case, 2, &why);
    }
    let why = format!(
        "of {} payments handed in again after `bounced` and acknowledged with 0x00, {} were neither delivered nor told of: {lost:?}",
        again.len(),
        lost.len()
    );
    verdict(&case, i32::from(!lost.is_empty()), &why)
}
