//! The courier's binary among small fakes on loopback sockets: a client, endpoints, discovery and the
//! platform, each on port 0. Tests wait for conditions, with a limit that only a fault reaches.

pub mod broker;
pub mod charge_ledger;
pub mod control_service;
pub mod delivery_rules;
pub mod duplicating_endpoint;
pub mod machine_faults;
pub mod mqtt_client;
pub mod name_server;
pub mod process_stats;
pub mod trend;

use serde_json::{Value, json};
use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub const MS: Duration = Duration::from_millis(1);

/// An address with a free port. Its host is this process's own: on the one that all share, any connection of another
/// process may take the port before it is used.
pub fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = SocketAddr::from(([127, 77, high, low.max(1)], 0));
    TcpListener::bind(own).and_then(|listener| listener.local_addr()).expect("an address")
}

/// A figure from the environment, for a test that can be played for longer, or again.
pub fn env_or(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

/// Waits until something holds; a fault if it never does.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never came: {what}");
        thread::sleep(5 * MS);
    }
}

/// A request or an answer, as it stood on the wire.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut page = HttpMessage::default();
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        page.start_line = line.trim_end().to_owned();
        loop {
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            page.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let length = page.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        page.body = vec![0; length];
        from.read_exact(&mut page.body).ok()?;
        Some(page)
    }
}

/// What a fake endpoint does with a call.
pub enum EndpointAction {
    Respond(&'static str),
    RespondAndClose(&'static str),
    /// Answers, and resets the connection right behind it.
    RespondAndReset(&'static str),
    /// Answers once the time has passed.
    RespondAfter(Duration, &'static str),
    /// Answers 200 once the time has passed, with a body of its own.
    RespondDistinct(Duration),
    Hang,
    CloseConnection,
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub id: String,
    pub page: HttpMessage,
    pub at: Instant,
    pub connection: usize,
    /// Its connection is one of those that the endpoint holds, where it holds only so many.
    pub admitted: bool,
}

pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<ReceivedCall>>>,
    pub closed: Arc<AtomicUsize>,
}

impl Endpoint {
    /// `act` is asked with the number of the call, from 0.
    pub fn new(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::with(move |call, _| act(call))
    }

    /// `act` is asked with the number of the connection.
    pub fn by_connection(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::with(move |_, connection| act(connection))
    }

    /// `act` is shown the call itself.
    pub fn by_call(act: impl Fn(&ReceivedCall) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::open(usize::MAX, move |_, seen| act(seen))
    }

    /// Holds so many connections at once; calls on others have `admitted` false.
    pub fn holding(
        connections: usize,
        act: impl Fn(&ReceivedCall) -> EndpointAction + Send + Sync + 'static,
    ) -> Self {
        Self::open(connections, move |_, seen| act(seen))
    }

    fn with(act: impl Fn(usize, usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::open(usize::MAX, move |call, seen| act(call, seen.connection))
    }

    fn open(
        places: usize,
        act: impl Fn(usize, &ReceivedCall) -> EndpointAction + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let closed: Arc<AtomicUsize> = Arc::default();
        let (act, all, connections) = (Arc::new(act), seen.clone(), AtomicUsize::new(0));
        let ends = closed.clone();
        let places = Arc::new(AtomicUsize::new(places));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (act, all) = (act.clone(), all.clone());
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                let (ends, places) = (ends.clone(), places.clone());
                thread::spawn(move || {
                    let take = |free: usize| free.checked_sub(1);
                    let admitted = places.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok();
                    serve(stream, (connection, admitted), &*act, &all);
                    places.fetch_add(usize::from(admitted), Ordering::SeqCst);
                    ends.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Endpoint { address, seen, closed }
    }

    /// Connections that are closed: what was answered on them before has been written.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.seen.lock().expect("calls").clone()
    }

    pub fn ids(&self) -> Vec<String> {
        self.calls().into_iter().map(|s| s.id).collect()
    }
}

fn serve(
    stream: TcpStream,
    (connection, admitted): (usize, bool),
    act: &dyn Fn(usize, &ReceivedCall) -> EndpointAction,
    all: &Mutex<Vec<ReceivedCall>>,
) {
    let mut out = stream.try_clone().expect("a handle");
    let mut from = BufReader::new(stream);
    while let Some(page) = HttpMessage::read(&mut from) {
        let id = page.header("x-request-id").unwrap_or_default().to_owned();
        let seen = ReceivedCall { id, page, at: Instant::now(), connection, admitted };
        let n = {
            let mut all = all.lock().expect("calls");
            all.push(seen.clone());
            all.len() - 1
        };
        let sent = match act(n, &seen) {
            EndpointAction::Respond(text) => out.write_all(text.as_bytes()),
            EndpointAction::RespondAndClose(text) => {
                let _ = out.write_all(text.as_bytes());
                return;
            }
            EndpointAction::RespondAndReset(text) => {
                let _ = out.write_all(text.as_bytes());
                // A close that waits for nothing sends a reset.
                let _ = socket2::SockRef::from(&out).set_linger(Some(Duration::ZERO));
                return;
            }
            EndpointAction::RespondAfter(time, text) => {
                thread::sleep(time);
                out.write_all(text.as_bytes())
            }
            EndpointAction::RespondDistinct(time) => {
                thread::sleep(time);
                let port = out.local_addr().map_or(0, |own| own.port());
                let body = format!("{port}-{n:08}");
                write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            EndpointAction::Hang => {
                let _ = from.read(&mut [0]);
                return;
            }
            EndpointAction::CloseConnection => return,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// What a fake discovery does with a call for a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// Writes the list, its changes and heartbeats.
    Serve,
    /// 503 after this time: at once as one that is crowded, late as one that is down or full of waiting calls.
    RefuseAfter(Duration),
    /// The head of an answer, and then a blank every 200 ms that never becomes a line.
    NeverCompleteLine,
}

/// What a fake platform or control service does with one post.
#[derive(Clone, Copy, Debug)]
pub struct PostScript {
    /// 204 takes what is posted.
    pub status: u16,
    pub delay: Duration,
    /// A second copy of the answer follows it by so much.
    pub copy_after: Option<Duration>,
}

impl PostScript {
    /// Taken at once, and a second copy of that comes while the next post is out; the next is refused after it.
    pub const DUPLICATED_THEN_REFUSED: [PostScript; 2] = [
        PostScript { status: 204, delay: Duration::ZERO, copy_after: Some(Duration::from_millis(400)) },
        PostScript { status: 503, delay: Duration::from_millis(900), copy_after: None },
    ];

    /// Whether what is posted is taken.
    pub fn takes(&self) -> bool {
        self.status == 204
    }

    /// Answers as the script says. False once the connection is closed.
    pub fn answer(self, out: &TcpStream) -> bool {
        let text = format!("HTTP/1.1 {} Scripted\r\nContent-Length: 0\r\n\r\n", self.status);
        let mut out = out.try_clone().expect("a handle");
        thread::sleep(self.delay);
        let written = out.write_all(text.as_bytes()).is_ok();
        if let Some(after) = self.copy_after {
            thread::spawn(move || {
                thread::sleep(after);
                out.write_all(text.as_bytes())
            });
        }
        written
    }
}

/// Discovery and the platform in one.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The lines that a watch gets, in order; the first is whole.
    pub lines: Arc<Mutex<Vec<Value>>>,
    pub notices: Arc<Mutex<Vec<Value>>>,
    pub watches: Arc<AtomicUsize>,
    /// What each watch asked for.
    pub asked: Arc<Mutex<Vec<String>>>,
    /// Watches with a lower number are cut off.
    pub cut: Arc<AtomicUsize>,
    /// How many posts are answered 503 first.
    pub refuse_posts: Arc<AtomicUsize>,
    pub posts: Arc<AtomicUsize>,
    /// For the next posts, one each.
    pub post_scripts: Arc<Mutex<VecDeque<PostScript>>>,
    /// Posts with more than one notice are answered 400.
    pub picky: Arc<AtomicBool>,
    /// Watches with a lower number fall silent after their first line, and stay open.
    pub mute: Arc<AtomicUsize>,
    /// For calls from now on.
    pub watch_answer: Arc<Mutex<WatchAnswer>>,
}

impl Discovery {
    pub fn new(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let this = Discovery {
            address: listener.local_addr().expect("an address"),
            lines: Arc::new(Mutex::new(vec![list])),
            notices: Arc::default(),
            watches: Arc::default(),
            asked: Arc::default(),
            cut: Arc::default(),
            refuse_posts: Arc::default(),
            posts: Arc::default(),
            post_scripts: Arc::default(),
            picky: Arc::default(),
            mute: Arc::default(),
            watch_answer: Arc::new(Mutex::new(WatchAnswer::Serve)),
        };
        let own = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        this
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a handle");
        let mut from = BufReader::new(stream);
        while let Some(page) = HttpMessage::read(&mut from) {
            if page.start_line.starts_with("GET /api/targets?stream=1") {
                self.asked.lock().expect("asked").push(page.start_line.clone());
                let answer = *self.watch_answer.lock().expect("an answer");
                match answer {
                    WatchAnswer::Serve => return self.watch(&mut out),
                    WatchAnswer::NeverCompleteLine => return never_a_line(&mut out),
                    WatchAnswer::RefuseAfter(time) => {
                        thread::sleep(time);
                        let _ =
                            out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                }
            }
            let script = self.post_scripts.lock().expect("scripts").pop_front();
            if let Some(script) = script {
                if script.takes() {
                    self.note(&page);
                }
                if !script.answer(&out) {
                    return;
                }
                continue;
            }
            let none = self
                .refuse_posts
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_err();
            self.posts.fetch_add(1, Ordering::SeqCst);
            if none && self.picky.load(Ordering::SeqCst) && page.body.split(|b| *b == b'\n').count() > 2 {
                let _ = write!(out, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if none {
                self.note(&page);
            }
            let status = if none { "204 No Content" } else { "503 Service Unavailable" };
            let _ = write!(out, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /// Takes the notices of a post.
    fn note(&self, page: &HttpMessage) {
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let lines = text.lines().map(|l| serde_json::from_str(l).expect("a notice"));
        self.notices.lock().expect("notices").extend(lines);
    }

    fn watch(&self, out: &mut TcpStream) {
        let number = self.watches.fetch_add(1, Ordering::SeqCst);
        let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (mut sent, mut beat) = (0, Instant::now());
        while self.cut.load(Ordering::SeqCst) <= number {
            let lines = self.lines.lock().expect("lines").clone();
            let mut text: String =
                lines[sent.min(lines.len())..].iter().map(|l| l.to_string() + "\n").collect();
            let silent = sent > 0 && number < self.mute.load(Ordering::SeqCst);
            if silent {
                thread::sleep(5 * MS);
                continue;
            }
            sent = lines.len();
            if text.is_empty() && beat.elapsed() > 1000 * MS {
                text = "\n".to_owned();
            }
            if !text.is_empty() {
                beat = Instant::now();
                if write!(out, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                    return;
                }
            }
            thread::sleep(5 * MS);
        }
    }

    /// What calls for a watch meet from now on.
    pub fn answer_watches(&self, answer: WatchAnswer) {
        *self.watch_answer.lock().expect("an answer") = answer;
    }

    /// Ends all open watches.
    pub fn close_watches(&self) {
        self.cut.store(self.watches.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// All open watches fall silent and stay open.
    pub fn silence_watches(&self) {
        self.mute.store(self.watches.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    pub fn tell(&self, line: Value) {
        self.lines.lock().expect("lines").push(line);
    }

    pub fn results(&self, id: &str) -> Vec<String> {
        let notices = self.notices.lock().expect("notices");
        let of = notices.iter().filter(|n| n["ref"] == id);
        of.map(|n| n["result"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

fn never_a_line(out: &mut TcpStream) {
    let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while out.write_all(b"1\r\n \r\n").is_ok() {
        thread::sleep(200 * MS);
    }
}

pub fn host(name: &str, endpoint: &Endpoint, block: u64, health: &str) -> Value {
    json!({"host": name, "dial": endpoint.address.to_string(), "site": "a", "class": "shops", "block": block,
        "health": health, "share": 50.0, "born_ms": 0})
}

pub fn list(seq: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

pub fn settings() -> Value {
    let lane = |name: &str, effect: &str| {
        json!({"aim-ns": 2_000_000_000u64, "credit": 1.0, "deadline-ns": 28_000_000_000u64, "effect": effect,
            "key-scope": "zone", "key-ttl-ns": 12_000_000_000u64, "late-share": 0.3, "name": name,
            "streamed": false})
    };
    json!({
        "costs": {"handshake": 0.04}, "customers": [], "dcs": ["a", "b"],
        "family-info": {"bundle-max": [1], "fee-by-zone": [0.0, 0.03], "loses-worth": "line",
            "separate-routes": [true], "slots": 8},
        "lanes": [lane("notice", "by_key"), lane("status", "repeatable"), lane("payment", "once")],
        "limits": {"cancel": true, "connect-timeout-ns": 1_000_000_000u64, "keepalive-ns": 10_000_000_000u64,
            "max-open": 100, "probing": true, "send-cap": 6},
        "membership-mode": "subscribe",
        "rules": {"cold-from": 0.18, "cold-ns": 10_000_000_000u64, "drain-grace-ns": 1_000_000_000u64,
            "fall-multiple": 2.0, "fall-ns": 3_000_000_000u64, "grace-to-answer-ns": 20_000_000u64},
        "siblings": 1, "skus": ["shops"], "stats": {"fields": ["x0", "x1"], "how": "answers"},
        "tick-ns": 5_000_000u64, "weight-kind": "nominal"
    })
}

/// A folder of one test, removed with it.
pub struct TestFolder(pub PathBuf);

impl TestFolder {
    pub fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("stairshed-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("state")).expect("a folder");
        TestFolder(path)
    }
}

impl Default for TestFolder {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A courier that runs; killed when dropped.
pub struct Courier {
    pub address: SocketAddr,
    child: Child,
    log: Receiver<String>,
    /// What it said before it was ready.
    pub startup_log: Vec<String>,
}

/// The courier's program, built beside the one that runs: a test stands in `deps/` under it.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("stairshed"));
    beside.into_iter().find(|path| path.is_file()).expect("stairshed is built beside this program")
}

pub fn command(folder: &TestFolder, discovery: &Discovery, config: &Value) -> Command {
    command_of(&program(), folder, discovery, config)
}

/// The same for any courier.
pub fn command_of(program: &Path, folder: &TestFolder, discovery: &Discovery, config: &Value) -> Command {
    let path = folder.0.join("config.json");
    fs::write(&path, config.to_string()).expect("a config");
    let mut command = Command::new(program);
    command
        .env("LB_NAME", "n1")
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .env("LB_STATE", folder.0.join("state"))
        .env("LB_CONFIG", path)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    command
}

pub fn config(discovery: &Discovery, known: Value) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": known, "settings": settings()})
}

/// The operator's settings for a courier's command.
pub fn with_settings(command: &mut Command, folder: &TestFolder, text: &str) {
    let path = folder.0.join("settings.toml");
    fs::write(&path, text).expect("settings");
    command.arg("--settings").arg(path);
}

impl Courier {
    /// Starts one that knows the list as discovery has it, and waits until it is ready.
    pub fn start(folder: &TestFolder, discovery: &Discovery) -> Self {
        let known = discovery.lines.lock().expect("lines")[0].clone();
        Self::with(folder, discovery, &config(discovery, known))
    }

    pub fn with(folder: &TestFolder, discovery: &Discovery, config: &Value) -> Self {
        Self::spawn(&mut command(folder, discovery, config))
    }

    pub fn spawn(command: &mut Command) -> Self {
        let mut child = command.spawn().expect("the courier starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let (tell, lines) = channel();
        thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| {
                // Nobody may be reading any more.
                let _ = tell.send(line);
            })
        });
        let mut startup_log = Vec::new();
        let address = loop {
            let line = lines
                .recv_timeout(WAIT_TIMEOUT)
                .unwrap_or_else(|_| panic!("it never served: {startup_log:?}"));
            let address = line.split("serves ").nth(1).and_then(|l| l.split(';').next());
            if let Some(address) = address.and_then(|a| a.parse().ok()) {
                break address;
            }
            startup_log.push(line);
        };
        let courier = Courier { address, child, log: lines, startup_log };
        wait_until("ready", || courier.get("/-/ready").is_some_and(|page| page.status() == 200));
        courier
    }

    /// One that serves an operator's file, which is written into the folder.
    pub fn serve(folder: &TestFolder, file: &str) -> Self {
        Self::spawn(&mut serve_command(folder, file))
    }

    /// Its operator's pages, if it has them.
    pub fn admin(&self) -> SocketAddr {
        let line = self.startup_log.iter().find_map(|l| l.split("pages are at ").nth(1));
        line.and_then(|l| l.parse().ok())
            .unwrap_or_else(|| panic!("no operator's pages: {:?}", self.startup_log))
    }

    /// Where it serves MQTT clients, if it does.
    pub fn mqtt(&self) -> SocketAddr {
        let line = self.startup_log.iter().find_map(|l| l.split("clients are served at ").nth(1));
        line.and_then(|l| l.parse().ok()).unwrap_or_else(|| panic!("no MQTT: {:?}", self.startup_log))
    }

    /// A page of the operator's.
    pub fn page(&self, path: &str) -> Value {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        let page = exchange(self.admin(), request.as_bytes()).expect("a page");
        serde_json::from_slice(&page.body).expect("JSON")
    }

    /// Replaces its operator's file and tells it to read it again.
    pub fn replace_config_file(&self, folder: &TestFolder, file: &str) {
        fs::write(folder.0.join("next.toml"), file).expect("a file");
        fs::rename(folder.0.join("next.toml"), folder.0.join("stairshed.toml")).expect("in its place");
        self.signal("-HUP");
    }

    /// Hands a message in at a path; the answer.
    pub fn post(&self, path: &str, id: &str, heads: &str, body: &str) -> HttpMessage {
        post(self.address, path, id, heads, body).expect("an answer")
    }

    /// What the kernel lets it write to one file; nobody needs privileges to lower that of their own. It must have
    /// been started as [`limitable`].
    pub fn set_file_size_limit(&self, bytes: Option<u64>) {
        use rustix::process::{Pid, Resource, Rlimit, prlimit};
        let pid = Pid::from_raw(self.child.id() as i32);
        prlimit(pid, Resource::Fsize, Rlimit { current: bytes, maximum: None }).expect("the limit is set");
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Waits for a line of its log.
    pub fn wait_for_log(&self, words: &str) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(words) {
                return;
            }
        }
        panic!("never said: {words}");
    }

    /// What it has logged and nobody has read yet.
    pub fn unread_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Replaces its configuration and tells it to read it again.
    pub fn reload(&self, folder: &TestFolder, text: &str) {
        fs::write(folder.0.join("config.next"), text).expect("a config");
        fs::rename(folder.0.join("config.next"), folder.0.join("config.json")).expect("in its place");
        self.signal("-HUP");
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_none()
    }

    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("gone");
    }

    pub fn exit(&mut self) -> i32 {
        let mut code = None;
        wait_until("the end of the process", || {
            code = self.child.try_wait().expect("a status");
            code.is_some()
        });
        code.and_then(|c| c.code()).unwrap_or(-1)
    }

    pub fn get(&self, path: &str) -> Option<HttpMessage> {
        exchange(self.address, format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
    }

    /// Hands in a message; the answer.
    pub fn submit(&self, id: &str, class: &str, dest: u64, time_ms: u64) -> HttpMessage {
        exchange(self.address, message(id, class, dest, time_ms).as_bytes()).expect("an answer")
    }

    pub fn submit_accepted(&self, id: &str, class: &str, dest: u64, time_ms: u64) {
        assert_eq!(self.submit(id, class, dest, time_ms).status(), 202, "{id}");
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn message(id: &str, class: &str, dest: u64, time_ms: u64) -> String {
    message_with(id, class, dest, time_ms, "bo\0dy")
}

pub fn message_with(id: &str, class: &str, dest: u64, time_ms: u64, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
         Envelope: dest={dest}\r\n\r\n{body}",
        body.len()
    )
}

/// The command that serves an operator's file.
pub fn serve_command(folder: &TestFolder, file: &str) -> Command {
    serve_command_of(&program(), folder, file)
}

/// The command for a courier whose files can be limited: past the limit the kernel sends a signal that would end the
/// process; ignored, the write fails (EFBIG).
pub fn ignoring_file_size_signal(command: &Command) -> Command {
    let mut shell = Command::new("sh");
    shell
        .arg("-c")
        .arg("trap '' XFSZ; exec \"$0\" \"$@\"")
        .arg(command.get_program())
        .args(command.get_args());
    shell.envs(command.get_envs().filter_map(|(k, v)| Some((k, v?))));
    shell.stdin(Stdio::null()).stderr(Stdio::piped());
    shell
}

/// The same for any courier.
pub fn serve_command_of(program: &Path, folder: &TestFolder, file: &str) -> Command {
    let path = folder.0.join("stairshed.toml");
    fs::write(&path, file).expect("a file");
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(path).stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Hands a message in at a path of an operator's courier.
pub fn post(to: SocketAddr, path: &str, id: &str, heads: &str, body: &str) -> Option<HttpMessage> {
    exchange(to, request(path, id, heads, body).as_bytes())
}

/// The text of that.
pub fn request(path: &str, id: &str, heads: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nX-Request-ID: {id}\r\n{heads}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A connection from another address of the loopback: another client.
pub fn connect_from(source: [u8; 4], to: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((source, 0)).into()).expect("an address of the loopback");
    socket.connect(&to.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    stream
}

/// What `/-/memory` says of one purpose.
pub fn purpose(page: &Value, name: &str) -> Value {
    let all = page["purposes"].as_array().expect("purposes");
    all.iter().find(|p| p["purpose"] == name).expect("the purpose").clone()
}

/// Outcomes in an operator's courier's file: each message's, in order.
pub fn outcomes(folder: &TestFolder) -> Vec<(String, String)> {
    let text = fs::read_to_string(folder.0.join("state/outcomes.ndjson")).unwrap_or_default();
    let whole = text.rsplit_once('\n').map(|(whole, _)| whole).unwrap_or_default();
    let lines = whole.lines().map(|l| serde_json::from_str::<Value>(l).expect("a line of JSON"));
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    lines.map(|l| (text(&l["ref"]), text(&l["result"]))).collect()
}

/// Sends bytes on a connection of their own; the answer, if one comes.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}
