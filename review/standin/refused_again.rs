//! A pool of two MQTT brokers, each with receivers of its own that drop a key which they know. A notice that may
//! have run at one broker must not be sent to the other one (`key_scope = "endpoint"`).
//! The disruption: a broker passes a PUBLISH on, and its connection breaks before the PUBACK; when the courier
//! sends the packet again, the broker is over its quota and answers 0x97.

#[path = "common.rs"]
mod common;
#[path = "mqtt.rs"]
mod mqtt;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NOTICES: usize = 6;
/// So many notices meet the disruption, the first ones.
const DISTURBED: usize = 2;

/// For each notice, the brokers whose receivers it took effect at.
type Effects = Arc<Mutex<BTreeMap<String, Vec<&'static str>>>>;

/// What a broker keeps over connections.
#[derive(Default)]
struct Broker {
    /// Clients with a session.
    sessions: BTreeSet<String>,
    /// Keys that the receivers behind it know. None is forgotten: the case is shorter than the window.
    known: BTreeSet<String>,
}

struct Shared {
    name: &'static str,
    broker: Mutex<Broker>,
    effects: Effects,
    /// Notices of which a PUBLISH met the disruption already, at either broker.
    disturbed: Arc<Mutex<BTreeSet<String>>>,
    /// Notices whose next PUBLISH with DUP is refused here.
    refuse: Mutex<BTreeSet<String>>,
    trouble: bool,
    record: Record,
}

fn broker(shared: Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().unwrap();
    let shared = Arc::new(shared);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let closing = stream.try_clone();
                let _ = shared.serve(stream);
                let _ = closing.map(|stream| stream.shutdown(Shutdown::Both));
            });
        }
    });
    at
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut from = stream.try_clone()?;
        loop {
            let packet = mqtt::read(&mut from)?;
            match packet.kind {
                mqtt::CONNECT => {
                    let mut fields = mqtt::Fields(&packet.rest);
                    let (_, _, flags, _) = (fields.text(), fields.byte(), fields.byte(), fields.number());
                    let _ = fields.properties();
                    let (client, clean) = (fields.text(), flags & 2 != 0);
                    let mut broker = self.broker.lock().unwrap();
                    // The session lasts: the courier asks for an hour.
                    let present = broker.sessions.contains(&client) && !clean;
                    broker.sessions.insert(client.clone());
                    self.record.line(format!(
                        "{}: CONNECT of {client}, clean start {clean}: session present {present}",
                        self.name
                    ));
                    mqtt::write(&mut stream, mqtt::CONNACK, 0, &[u8::from(present), 0, 0])?;
                }
                mqtt::PUBLISH => {
                    let publish = mqtt::Publish::of(&packet);
                    let (id, key) = (publish.user("X-Request-ID"), publish.user("Idempotency-Key"));
                    let text = format!("{}: PUBLISH {id} as {} dup {}", self.name, publish.id, publish.dup);
                    if self.refuse.lock().unwrap().remove(id) {
                        self.record.line(format!("{text}: over its quota, PUBACK 0x97"));
                        mqtt::puback(&mut stream, publish.id, 0x97)?;
                        continue;
                    }
                    let is_new = self.broker.lock().unwrap().known.insert(key.to_owned());
                    if is_new {
                        self.effects.lock().unwrap().entry(id.to_owned()).or_default().push(self.name);
                    }
                    let effect = if is_new { "it takes effect" } else { "a known key, dropped" };
                    let disturbs = {
                        let mut disturbed = self.disturbed.lock().unwrap();
                        self.trouble && disturbed.len() < DISTURBED && disturbed.insert(id.to_owned())
                    };
                    if disturbs {
                        self.record.line(format!("{text}: {effect}; the connection breaks before the PUBACK"));
                        self.refuse.lock().unwrap().insert(id.to_owned());
                        return Ok(());
                    }
                    self.record.line(format!("{text}: {effect}; PUBACK 0x00"));
                    match publish.qos {
                        1 => mqtt::puback(&mut stream, publish.id, 0)?,
                        _ => return Err(std::io::Error::other("the notices are not sent at QoS 1")),
                    }
                }
                mqtt::PINGREQ => mqtt::write(&mut stream, mqtt::PINGRESP, 0, &[])?,
                mqtt::DISCONNECT => return Ok(()),
                other => return Err(std::io::Error::other(format!("packet type {other}"))),
            }
        }
    }
}

fn main() {
    let case = Case::new();
    let (effects, disturbed, told) = (Effects::default(), Arc::default(), Notices::default());
    let start = |name| {
        broker(Shared {
            name,
            broker: Mutex::default(),
            effects: effects.clone(),
            disturbed: Arc::clone(&disturbed),
            refuse: Mutex::default(),
            trouble: case.trouble,
            record: case.record.clone(),
        })
    };
    let (east, west) = (start("east"), start("west"));
    let receiver = outcomes(&case.record, &told);
    let at = free_address();
    let file = case.file(
        "courier.toml",
        &format!(
            r#"
name = "depot-1"

[listen]
http = "{at}"

[classes.notice]
effect = "keyed"
key_scope = "endpoint"
key_window = "60s"
deadline = "20s"

[pools.pumps]
endpoints = [
  {{ name = "east", address = "mqtt://{east}/fuel/in" }},
  {{ name = "west", address = "mqtt://{west}/fuel/in" }},
]

[pools.pumps.mqtt]
version = "5.0"
qos = 1

[routes.notices]
prefix = "/stops"
pool = "pumps"
class = "notice"

[outcomes]
url = "http://{receiver}/outcomes"
"#
        ),
    );
    let mut courier = case.serve(&file);
    case.wait_ready(&mut courier, at);
    for number in 0..NOTICES {
        let (id, key) = (format!("n{number}"), format!("key-{number}"));
        let headers = [("X-Request-ID", id.as_str()), ("Idempotency-Key", key.as_str())];
        let answer = request(at, "POST", "/stops/9", &headers, b"stop 9 is closed", Duration::from_secs(2));
        case.record.line(format!("{id} is handed in: {:?}", answer.map(|a| a.status)));
        // One after the other: each has its own broken connection.
        thread::sleep(2000 * MS);
    }
    thread::sleep(Duration::from_secs(22));

    let effects = effects.lock().unwrap();
    let twice: Vec<String> = effects
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, at)| format!("{id} at {}", at.join(" and ")))
        .collect();
    // A notice that took effect must not be told as `bounced`, which says that it did not.
    let denied: Vec<&String> = effects.keys().filter(|id| told.result(id) == "bounced").collect();
    if effects.len() < NOTICES / 2 {
        verdict(&case, 2, &format!("only {} notices took effect; {}", effects.len(), courier.log_tail()));
    }
    let why = format!(
        "of {} notices {} took effect twice: {twice:?}; {} took effect and were told as bounced: {denied:?}",
        effects.len(),
        twice.len(),
        denied.len()
    );
    verdict(&case, i32::from(!twice.is_empty() || !denied.is_empty()), &why)
}
