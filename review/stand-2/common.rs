//! Parts that the cases share: the record, processes, HTTP clients and endpoints, and an MQTT 5.0 broker. Only
//! the standard library is used.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, on standard output as well.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|e| no_run(&format!("{path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:7.3}  {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// The processes that this run started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this run started.
pub fn end_processes() {
    for id in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).stderr(Stdio::null()).status();
    }
}

/// The case could not be run.
pub fn no_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    end_processes();
    std::process::exit(2)
}

/// Ends the run with 2 if it takes too long.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        no_run("it takes longer than 110 s");
    });
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The process gets SIGKILL when the one that started it ends.
fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call is made between fork and exec, takes integers, and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

/// Ends the run: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    if broken.is_empty() {
        record.line("HELD");
        return 0;
    }
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
    }
    1
}

/// Waits until `done`; false if that took too long.
pub fn wait_until(most: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < most {
        if done() {
            return true;
        }
        thread::sleep(5 * MS);
    }
    done()
}

/// The folder of this run, which the script made and removes.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        match std::env::var_os("WORK_FOLDER") {
            Some(path) => Folder(PathBuf::from(path)),
            None => no_run("WORK_FOLDER is not set"),
        }
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| no_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A courier as a process of its own.
pub struct Courier {
    child: Child,
    log: PathBuf,
    pub http: SocketAddr,
}

impl Courier {
    /// Starts `stairshed serve` with an operator's file and waits until it is ready.
    pub fn serve(record: &Record, folder: &Folder, config: &Path, http: SocketAddr, log: &str) -> Courier {
        let program = std::env::var("STAIRSHED").unwrap_or_else(|_| "target/release/stairshed".to_owned());
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(config);
        if let Ok(id) = std::env::var("FOLLOW") {
            command.arg("--follow").arg(id);
        }
        Courier::start(record, folder, command, http, log)
    }

    /// Starts the platform's courier by its environment and waits until it is ready.
    pub fn platform(
        record: &Record,
        folder: &Folder,
        (config, state, discovery): (&Path, &Path, SocketAddr),
        http: SocketAddr,
        log: &str,
    ) -> Courier {
        let program = std::env::var("STAIRSHED").unwrap_or_else(|_| "target/release/stairshed".to_owned());
        let mut command = Command::new(program);
        if let Ok(id) = std::env::var("FOLLOW") {
            command.arg("--follow").arg(id);
        }
        command.env("LB_NAME", "n0").env("LB_LISTEN", http.to_string());
        command.env("LB_DISCOVERY", discovery.to_string()).env("LB_STATE", state).env("LB_CONFIG", config);
        Courier::start(record, folder, command, http, log)
    }

    fn start(record: &Record, folder: &Folder, mut command: Command, http: SocketAddr, log: &str) -> Courier {
        let log = folder.file(log);
        let file = File::create(&log).unwrap_or_else(|e| no_run(&e.to_string()));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        end_with_parent(&mut command);
        let child = command.spawn().unwrap_or_else(|e| no_run(&format!("stairshed: {e}")));
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        record.line("courier: started");
        let mut courier = Courier { child, log, http };
        let ready = wait_until(20 * SECOND, || get(http, "/-/ready") == Some(200));
        if !ready {
            print!("{}", courier.log());
            courier.kill();
            no_run("the courier did not become ready");
        }
        record.line("courier: ready");
        courier
    }

    /// All that it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn wait_for_log(&self, text: &str) -> bool {
        wait_until(10 * SECOND, || self.log().contains(text))
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
    }

    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// SIGTERM, then SIGKILL if it has not ended 3.7 s later.
    pub fn stop(&mut self) {
        self.signal("TERM");
        let ended = wait_until(Duration::from_millis(3700), || matches!(self.child.try_wait(), Ok(Some(_))));
        if !ended {
            self.kill();
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|id| *id != self.child.id());
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Prints its log into the record.
    pub fn log_into(&self, record: &Record) {
        for line in self.log().lines() {
            record.line(&format!("courier's log: {line}"));
        }
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- HTTP ------------------------------------------------------------------------------------------------------

/// A message of HTTP as it was read: first line, fields in lower case, body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> Option<u16> {
        self.first.split(' ').nth(1)?.parse().ok()
    }
}

/// Reads one message with a Content-Length; None at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let fields: HashMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length: usize = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(Message { first, fields, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// One request on a new connection; None without an answer within `most`.
pub fn request(to: SocketAddr, text: &[u8], most: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, most).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(most));
    stream.write_all(text).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

pub fn get(to: SocketAddr, path: &str) -> Option<u16> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n");
    request(to, text.as_bytes(), SECOND)?.status()
}

/// Hands in a message with these further fields; None without an answer.
pub fn post(to: SocketAddr, path: &str, id: &str, more: &str, body: &str) -> Option<u16> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nX-Request-ID: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    request(to, text.as_bytes(), 2 * SECOND)?.status()
}

// ---- an MQTT 5.0 broker -----------------------------------------------------------------------------------------

/// A PUBLISH that the broker passed on to its receivers, or what came of it.
#[derive(Clone, Debug)]
pub struct Passed {
    pub at: Instant,
    pub client: String,
    pub id: u16,
    pub dup: bool,
    pub qos: u8,
    pub topic: String,
    pub body: String,
}

/// How the broker behaves now.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// How long after a PUBLISH it is acknowledged.
    pub ack_delay: Duration,
    /// Bodies whose PUBLISH is acknowledged after `late_delay` instead.
    pub late: BTreeSet<String>,
    pub late_delay: Duration,
}

#[derive(Default)]
struct BrokerState {
    behaviour: Behaviour,
    /// Packet ids at QoS 2 that wait for their PUBREL, by client id.
    sessions: HashMap<String, BTreeSet<u16>>,
    /// The open connection of each client id.
    open: HashMap<String, (u64, TcpStream)>,
    passed: Vec<Passed>,
    connections: u64,
}

/// A broker of MQTT 5.0: QoS 1 and 2, sessions, takeover of a session by a second connection with its client id.
/// It passes a message on when its PUBLISH comes; at QoS 2 not again while the packet id is in use, as 4.3.3 of the
/// specification has it.
#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<BrokerState>>,
    record: Record,
    name: String,
}

fn varint(bytes: &[u8]) -> Option<(usize, usize)> {
    let (mut value, mut shift) = (0, 0);
    for (n, byte) in bytes.iter().take(4).enumerate() {
        value |= usize::from(byte & 0x7f) << shift;
        shift += 7;
        if byte & 0x80 == 0 {
            return Some((value, n + 1));
        }
    }
    None
}

fn string_at(bytes: &[u8], at: usize) -> (String, usize) {
    let length = usize::from(u16::from_be_bytes([bytes[at], bytes[at + 1]]));
    (String::from_utf8_lossy(&bytes[at + 2..at + 2 + length]).into_owned(), at + 2 + length)
}

fn ack(kind: u8, id: u16) -> Vec<u8> {
    let [high, low] = id.to_be_bytes();
    vec![kind, 2, high, low]
}

impl Broker {
    pub fn new(record: &Record, behaviour: Behaviour) -> Broker {
        Broker::named(record, "broker", behaviour)
    }

    pub fn named(record: &Record, name: &str, behaviour: Behaviour) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| no_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let state = BrokerState { behaviour, ..BrokerState::default() };
        let broker = Broker {
            address,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            name: name.to_owned(),
        };
        let own = broker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        broker
    }

    fn say(&self, text: &str) {
        self.record.line(&format!("{}: {text}", self.name));
    }

    fn with<T>(&self, act: impl FnOnce(&mut BrokerState) -> T) -> T {
        act(&mut self.state.lock().unwrap())
    }

    pub fn change(&self, act: impl FnOnce(&mut Behaviour)) {
        self.with(|s| act(&mut s.behaviour));
    }

    /// The PUBLISHes that were passed on, in order.
    pub fn passed(&self) -> Vec<Passed> {
        self.with(|s| s.passed.clone())
    }

    /// How often each message was passed on, by its body.
    pub fn effects(&self) -> BTreeMap<String, usize> {
        let mut effects = BTreeMap::new();
        for passed in self.passed() {
            *effects.entry(passed.body).or_default() += 1;
        }
        effects
    }

    /// The broker is restarted: its connections are reset, and it has no sessions any more.
    pub fn restart(&self) {
        self.say("restarted; its sessions are lost");
        self.with(|s| {
            s.sessions.clear();
            for (_, (_, stream)) in s.open.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.with(|s| {
            s.connections += 1;
            s.connections
        });
        let (mut buffer, mut chunk, mut client) = (Vec::new(), [0; 4096], String::new());
        loop {
            while let Some((kind, packet)) = take_packet(&mut buffer) {
                if !self.handle(number, &mut stream, &mut client, kind, &packet) {
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => {
                    self.with(|s| {
                        if s.open.get(&client).is_some_and(|(n, _)| *n == number) {
                            s.open.remove(&client);
                        }
                    });
                    return;
                }
                Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            }
        }
    }

    fn is_current(&self, number: u64, client: &str) -> bool {
        self.with(|s| s.open.get(client).is_some_and(|(n, _)| *n == number))
    }

    fn handle(&self, number: u64, stream: &mut TcpStream, client: &mut String, kind: u8, packet: &[u8]) -> bool {
        match kind >> 4 {
            1 => {
                let (_, at) = string_at(packet, 0);
                let flags = packet[at + 1];
                let (properties, n) = varint(&packet[at + 4..]).unwrap_or((0, 1));
                let (id, _) = string_at(packet, at + 4 + n + properties);
                let clean = flags & 2 != 0;
                *client = id.clone();
                let present = self.with(|s| {
                    if let Some((_, old)) = s.open.remove(&id) {
                        // [MQTT-3.1.4-3]: the earlier connection with this client id is ended, with 0x8E.
                        let _ = (&old).write_all(&[0xe0, 2, 0x8e, 0]);
                        let _ = old.shutdown(Shutdown::Both);
                        self.say(&format!("{id:?} has connected again: its earlier connection ends (0x8E)"));
                    }
                    if clean {
                        s.sessions.remove(&id);
                    }
                    let present = s.sessions.contains_key(&id);
                    s.sessions.entry(id.clone()).or_default();
                    if let Ok(handle) = stream.try_clone() {
                        s.open.insert(id.clone(), (number, handle));
                    }
                    present
                });
                self.say(&format!(
                    "connection {number}: CONNECT of {id:?}, clean start {clean}; session present {present}"
                ));
                stream.write_all(&[0x20, 3, u8::from(present), 0, 0]).is_ok()
            }
            3 => {
                let (qos, dup) = ((kind >> 1) & 3, kind & 8 != 0);
                let (topic, mut at) = string_at(packet, 0);
                let id = u16::from_be_bytes([packet[at], packet[at + 1]]);
                at += 2;
                let (properties, n) = varint(&packet[at..]).unwrap_or((0, 1));
                let body = String::from_utf8_lossy(&packet[at + n + properties..]).into_owned();
                if !self.is_current(number, client) {
                    return false;
                }
                let (passes, delay) = self.with(|s| {
                    let ids = s.sessions.entry(client.clone()).or_default();
                    let passes = qos < 2 || ids.insert(id);
                    let b = &s.behaviour;
                    (passes, if b.late.contains(&body) { b.late_delay } else { b.ack_delay })
                });
                let word = if passes { "passed on" } else { "known, not passed on again" };
                self.say(&format!(
                    "connection {number}: PUBLISH {body:?} to {topic:?}, QoS {qos}, id {id}{}: {word}",
                    if dup { ", DUP" } else { "" }
                ));
                if passes {
                    let passed = Passed { at: Instant::now(), client: client.clone(), id, dup, qos, topic, body };
                    self.with(|s| s.passed.push(passed));
                }
                let answer = ack(if qos == 2 { 0x50 } else { 0x40 }, id);
                let Ok(mut handle) = stream.try_clone() else { return false };
                thread::spawn(move || {
                    thread::sleep(delay);
                    let _ = handle.write_all(&answer);
                });
                true
            }
            6 => {
                let id = u16::from_be_bytes([packet[0], packet[1]]);
                let known = self.with(|s| s.sessions.get_mut(client).is_some_and(|ids| ids.remove(&id)));
                let answer = if known { ack(0x70, id) } else { vec![0x70, 3, packet[0], packet[1], 0x92] };
                stream.write_all(&answer).is_ok()
            }
            12 => stream.write_all(&[0xd0, 0]).is_ok(),
            14 => {
                self.with(|s| {
                    if s.open.get(client).is_some_and(|(n, _)| *n == number) {
                        s.open.remove(client);
                    }
                });
                let _ = stream.shutdown(Shutdown::Both);
                false
            }
            _ => true,
        }
    }
}

/// Takes the next whole packet: its first byte, and what follows its length.
pub fn take_packet(buffer: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let kind = *buffer.first()?;
    let (length, n) = varint(&buffer[1..])?;
    if buffer.len() < 1 + n + length {
        return None;
    }
    let packet = buffer[1 + n..1 + n + length].to_vec();
    buffer.drain(..1 + n + length);
    Some((kind, packet))
}
