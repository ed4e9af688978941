//! Test harness: runs the courier binary against fake clients, endpoints, discovery and platform services on
//! loopback sockets, each on an ephemeral port. Tests poll for conditions with a timeout that only a fault
//! reaches.

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

/// Longest time that a test waits for a condition or a response.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);

/// Returns an address with a free port. The loopback host is derived from the process id: on 127.0.0.1, a
/// connection of another process could take the port before it is used.
pub fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = SocketAddr::from(([127, 77, high, low.max(1)], 0));
    TcpListener::bind(own).and_then(|listener| listener.local_addr()).expect("an address")
}

/// Reads a number from the environment, such as a seed or a round count, or returns the default.
pub fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Polls every 5 ms until the condition holds. Panics with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(5 * MS);
    }
}

/// An HTTP request or response as received.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of the first header field with this name, compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one message, its body by `Content-Length`. Returns None if the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut message = HttpMessage { start_line: read_whole_line(from)?, ..HttpMessage::default() };
        loop {
            let line = read_whole_line(from)?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// Reads a line, without its end. Returns None if the connection ends within it: a head that is cut off is no message.
fn read_whole_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end().to_owned())
}

/// How a fake endpoint handles a call.
pub enum EndpointAction {
    Respond(&'static str),
    RespondAndClose(&'static str),
    /// Sends the response and resets the connection immediately after it.
    RespondAndReset(&'static str),
    /// Sends the response after the delay.
    RespondAfter(Duration, &'static str),
    /// Sends a 200 response with a unique body after the delay.
    RespondDistinct(Duration),
    /// Never responds, and keeps the connection open until the courier writes or closes.
    Hang,
    /// Closes the connection without a response.
    CloseConnection,
}

/// An empty 200 response.
pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A call that a fake endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub id: String,
    pub page: HttpMessage,
    pub at: Instant,
    pub connection: usize,
    /// Whether its connection was within the endpoint's connection limit, see [`Endpoint::holding`].
    pub admitted: bool,
}

/// A fake endpoint that serves each connection in a thread of its own.
pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<ReceivedCall>>>,
    pub closed: Arc<AtomicUsize>,
}

impl Endpoint {
    /// Calls `act` with the index of the call, from 0.
    pub fn new(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::with(move |call, _| act(call))
    }

    /// Calls `act` with the index of the connection, from 0.
    pub fn by_connection(act: impl Fn(usize) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::with(move |_, connection| act(connection))
    }

    /// Calls `act` with the call.
    pub fn by_call(act: impl Fn(&ReceivedCall) -> EndpointAction + Send + Sync + 'static) -> Self {
        Self::open(usize::MAX, move |_, seen| act(seen))
    }

    /// Admits at most `connections` at once; calls on other connections have `admitted` false.
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
        connection_limit: usize,
        act: impl Fn(usize, &ReceivedCall) -> EndpointAction + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let closed: Arc<AtomicUsize> = Arc::default();
        let (act, all, connections) = (Arc::new(act), seen.clone(), AtomicUsize::new(0));
        let closed_count = closed.clone();
        let free_slots = Arc::new(AtomicUsize::new(connection_limit));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (act, all) = (act.clone(), all.clone());
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                let (closed_count, free_slots) = (closed_count.clone(), free_slots.clone());
                thread::spawn(move || {
                    let take_slot = |free: usize| free.checked_sub(1);
                    let admitted =
                        free_slots.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_slot).is_ok();
                    serve(stream, (connection, admitted), &*act, &all);
                    free_slots.fetch_add(usize::from(admitted), Ordering::SeqCst);
                    closed_count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Endpoint { address, seen, closed }
    }

    /// Returns the number of closed connections. All responses on them have been written.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns all received calls in order.
    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.seen.lock().expect("calls").clone()
    }

    /// Returns the `X-Request-ID` of all received calls in order.
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
                // Closing with a linger time of zero sends a reset.
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

/// How the fake discovery service handles a request for a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// Streams the endpoint list, its changes and heartbeats.
    Serve,
    /// Responds 503 after this delay: at once like an overloaded service, late like one that is down or has a
    /// long queue.
    RefuseAfter(Duration),
    /// Sends the response head and then a space every 200 ms, without ever completing a line.
    NeverCompleteLine,
}

/// How a fake platform or control service handles one POST.
#[derive(Clone, Copy, Debug)]
pub struct PostScript {
    /// Status of the response; 204 accepts the POST.
    pub status: u16,
    pub delay: Duration,
    /// Sends a second copy of the response after this delay.
    pub copy_after: Option<Duration>,
}

impl PostScript {
    /// Accepts the first POST at once and sends a second copy of that response while the next POST is in
    /// flight; the next POST is refused after that.
    pub const DUPLICATED_THEN_REFUSED: [PostScript; 2] = [
        PostScript { status: 204, delay: Duration::ZERO, copy_after: Some(Duration::from_millis(400)) },
        PostScript { status: 503, delay: Duration::from_millis(900), copy_after: None },
    ];

    /// Whether the POST is accepted.
    pub fn accepts(&self) -> bool {
        self.status == 204
    }

    /// Sends the scripted response. Returns false once the connection is closed.
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

/// A fake service that is both discovery and the platform that takes outcome notices.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// Lines that each watch receives, in order; the first is the complete list.
    pub lines: Arc<Mutex<Vec<Value>>>,
    pub notices: Arc<Mutex<Vec<Value>>>,
    pub watches: Arc<AtomicUsize>,
    /// Request lines of all watches.
    pub asked: Arc<Mutex<Vec<String>>>,
    /// Watches with a lower index are closed.
    pub cut: Arc<AtomicUsize>,
    /// Number of next POSTs that are answered with 503.
    pub refuse_posts: Arc<AtomicUsize>,
    pub posts: Arc<AtomicUsize>,
    /// Scripts for the next POSTs, one each.
    pub post_scripts: Arc<Mutex<VecDeque<PostScript>>>,
    /// Whether POSTs with more than one notice are answered with 400.
    pub picky: Arc<AtomicBool>,
    /// Watches with a lower index stay open and send nothing more after their first line.
    pub mute: Arc<AtomicUsize>,
    /// Applies to watch requests from now on.
    pub watch_answer: Arc<Mutex<WatchAnswer>>,
}

impl Discovery {
    /// Starts a service that knows this endpoint list.
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
                    WatchAnswer::NeverCompleteLine => return never_complete_line(&mut out),
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
                if script.accepts() {
                    self.record_notices(&page);
                }
                if !script.answer(&out) {
                    return;
                }
                continue;
            }
            let accepts = self
                .refuse_posts
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_err();
            self.posts.fetch_add(1, Ordering::SeqCst);
            if accepts && self.picky.load(Ordering::SeqCst) && page.body.split(|b| *b == b'\n').count() > 2 {
                let _ = write!(out, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if accepts {
                self.record_notices(&page);
            }
            let status = if accepts { "204 No Content" } else { "503 Service Unavailable" };
            let _ = write!(out, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /// Records the notices of a POST.
    fn record_notices(&self, page: &HttpMessage) {
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

    /// Sets how watch requests are handled from now on.
    pub fn answer_watches(&self, answer: WatchAnswer) {
        *self.watch_answer.lock().expect("an answer") = answer;
    }

    /// Closes all open watches.
    pub fn close_watches(&self) {
        self.cut.store(self.watches.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Keeps all open watches open but sends nothing more on them.
    pub fn silence_watches(&self) {
        self.mute.store(self.watches.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Sends a line to all watches.
    pub fn tell(&self, line: Value) {
        self.lines.lock().expect("lines").push(line);
    }

    /// Returns the results that notices reported for a message.
    pub fn results(&self, id: &str) -> Vec<String> {
        let notices = self.notices.lock().expect("notices");
        let of = notices.iter().filter(|n| n["ref"] == id);
        of.map(|n| n["result"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

fn never_complete_line(out: &mut TcpStream) {
    let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while out.write_all(b"1\r\n \r\n").is_ok() {
        thread::sleep(200 * MS);
    }
}

/// Returns an entry of an endpoint list in discovery's format.
pub fn host(name: &str, endpoint: &Endpoint, block: u64, health: &str) -> Value {
    json!({"host": name, "dial": endpoint.address.to_string(), "site": "a", "class": "shops", "block": block,
        "health": health, "share": 50.0, "born_ms": 0})
}

/// Returns a line of the watch stream; `whole` marks a complete list.
pub fn list(seq: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// Returns the settings of the platform's configuration, with one class per effect.
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

/// A temporary folder of one test, removed when dropped.
pub struct TestFolder(pub PathBuf);

impl TestFolder {
    /// Creates the folder with an empty `state` folder in it.
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

/// A running courier process, killed when dropped.
pub struct Courier {
    pub address: SocketAddr,
    child: Child,
    log: Receiver<String>,
    /// Lines it logged before it was ready.
    pub startup_log: Vec<String>,
}

/// The environment variable that names another courier binary.
pub const PROGRAM_VARIABLE: &str = "STAIRSHED_PROGRAM";

/// Path of the courier binary: the one that [`PROGRAM_VARIABLE`] names, or the one that is built in the folder of the
/// running program, or its parent for tests, which run from `deps/`.
pub fn program() -> PathBuf {
    if let Some(path) = std::env::var_os(PROGRAM_VARIABLE) {
        return path.into();
    }
    let own = std::env::current_exe().expect("a path");
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("stairshed"));
    beside.into_iter().find(|path| path.is_file()).expect("stairshed is built beside this program")
}

/// Returns the command that starts the courier with a platform configuration.
pub fn command(folder: &TestFolder, discovery: &Discovery, config: &Value) -> Command {
    command_of(&program(), folder, discovery, config)
}

/// Like [`command`], for any courier binary.
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

/// Returns a platform configuration with this known endpoint list.
pub fn config(discovery: &Discovery, known: Value) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": known, "settings": settings()})
}

/// Adds an operator settings file to a courier's command.
pub fn with_settings(command: &mut Command, folder: &TestFolder, text: &str) {
    let path = folder.0.join("settings.toml");
    fs::write(&path, text).expect("settings");
    command.arg("--settings").arg(path);
}

impl Courier {
    /// Starts a courier that knows the list of this discovery service, and waits until it is ready.
    pub fn start(folder: &TestFolder, discovery: &Discovery) -> Self {
        let known = discovery.lines.lock().expect("lines")[0].clone();
        Self::with(folder, discovery, &config(discovery, known))
    }

    /// Starts a courier with a platform configuration, and waits until it is ready.
    pub fn with(folder: &TestFolder, discovery: &Discovery, config: &Value) -> Self {
        Self::spawn(&mut command(folder, discovery, config))
    }

    /// Starts a courier, waits until it is ready and collects its log. Panics after [`WAIT_TIMEOUT`].
    pub fn spawn(command: &mut Command) -> Self {
        let mut child = command.spawn().expect("the courier starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let (sender, lines) = channel();
        thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| {
                // The receiver may have been dropped.
                let _ = sender.send(line);
            })
        });
        let mut startup_log = Vec::new();
        let address = loop {
            let line = lines
                .recv_timeout(WAIT_TIMEOUT)
                .unwrap_or_else(|_| panic!("the courier did not start serving: {startup_log:?}"));
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

    /// Starts a courier that listens at this address, and waits until it is ready. Its log is left to the
    /// caller of the command.
    pub fn spawn_without_log(mut command: Command, address: SocketAddr) -> Self {
        let child = command.spawn().expect("the courier starts");
        let (_, log) = channel();
        let courier = Courier { address, child, log, startup_log: Vec::new() };
        wait_until("ready", || courier.get("/-/ready").is_some_and(|page| page.status() == 200));
        courier
    }

    /// Starts a courier with an operator's configuration file, which is written into the folder.
    pub fn serve(folder: &TestFolder, file: &str) -> Self {
        Self::spawn(&mut serve_command(folder, file))
    }

    /// Returns the address of its admin pages. Panics if it has none.
    pub fn admin(&self) -> SocketAddr {
        let line = self.startup_log.iter().find_map(|l| l.split("pages are at ").nth(1));
        line.and_then(|l| l.parse().ok()).unwrap_or_else(|| panic!("no admin pages: {:?}", self.startup_log))
    }

    /// Returns the address where it serves MQTT clients. Panics if it has none.
    pub fn mqtt(&self) -> SocketAddr {
        let line = self.startup_log.iter().find_map(|l| l.split("clients are served at ").nth(1));
        line.and_then(|l| l.parse().ok())
            .unwrap_or_else(|| panic!("no MQTT listener: {:?}", self.startup_log))
    }

    /// Fetches an admin page as JSON.
    pub fn page(&self, path: &str) -> Value {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        let page = exchange(self.admin(), request.as_bytes()).expect("a page");
        serde_json::from_slice(&page.body).expect("JSON")
    }

    /// Replaces the operator's configuration file and sends SIGHUP.
    pub fn replace_config_file(&self, folder: &TestFolder, file: &str) {
        fs::write(folder.0.join("next.toml"), file).expect("a file");
        fs::rename(folder.0.join("next.toml"), folder.0.join("stairshed.toml")).expect("in its place");
        self.signal("-HUP");
    }

    /// Submits a message at a path and returns the response.
    pub fn post(&self, path: &str, id: &str, heads: &str, body: &str) -> HttpMessage {
        post(self.address, path, id, heads, body).expect("an answer")
    }

    /// Limits the size in bytes of each file that the courier may write (RLIMIT_FSIZE); lowering the limit of
    /// an own process needs no privileges. The courier must have been started by
    /// [`ignoring_file_size_signal`].
    pub fn set_file_size_limit(&self, bytes: Option<u64>) {
        use rustix::process::{Pid, Resource, Rlimit, prlimit};
        let pid = Pid::from_raw(self.child.id() as i32);
        prlimit(pid, Resource::Fsize, Rlimit { current: bytes, maximum: None }).expect("the limit is set");
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, written as an option of kill such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Waits for a log line that contains `words`. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_log(&self, words: &str) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(words) {
                return;
            }
        }
        panic!("no log line contains: {words}");
    }

    /// Returns the log lines that were not read yet.
    pub fn unread_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Replaces the platform configuration and sends SIGHUP.
    pub fn reload(&self, folder: &TestFolder, text: &str) {
        fs::write(folder.0.join("config.next"), text).expect("a config");
        fs::rename(folder.0.join("config.next"), folder.0.join("config.json")).expect("in its place");
        self.signal("-HUP");
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_none()
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("gone");
    }

    /// Waits for the process to end and returns its exit code, or -1 if a signal ended it.
    pub fn exit(&mut self) -> i32 {
        let mut code = None;
        wait_until("the end of the process", || {
            code = self.child.try_wait().expect("a status");
            code.is_some()
        });
        code.and_then(|c| c.code()).unwrap_or(-1)
    }

    /// Sends a GET request to the message listener.
    pub fn get(&self, path: &str) -> Option<HttpMessage> {
        exchange(self.address, format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
    }

    /// Submits a message and returns the response.
    pub fn submit(&self, id: &str, class: &str, dest: u64, time_ms: u64) -> HttpMessage {
        exchange(self.address, message(id, class, dest, time_ms).as_bytes()).expect("an answer")
    }

    /// Submits a message and panics unless it is accepted.
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

/// Returns a request that submits a message with a short body.
pub fn message(id: &str, class: &str, dest: u64, time_ms: u64) -> String {
    message_with(id, class, dest, time_ms, "bo\0dy")
}

/// Returns a request that submits a message with this body.
pub fn message_with(id: &str, class: &str, dest: u64, time_ms: u64, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
         Envelope: dest={dest}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the command that starts the courier with an operator's configuration file.
pub fn serve_command(folder: &TestFolder, file: &str) -> Command {
    serve_command_of(&program(), folder, file)
}

/// Returns an operator's file for payments to one endpoint: over HTTP at `/pay`, and over MQTT at `pay`, where the payload
/// is JSON with an `id`. `lines` are added to it.
pub fn payments_file(endpoint: SocketAddr, lines: &str) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\nremember = \"1h\"\n\
         [pools.p]\nendpoints = [{{ address = \"{endpoint}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n\
         [topics.pay]\nfilter = \"pay\"\npool = \"p\"\nclass = \"payment\"\n\
         identity = {{ pointer = \"/id\" }}\nidentity_scope = \"all\"\n{lines}"
    )
}

/// Wraps a courier's command so that it ignores SIGXFSZ. Beyond the file size limit the kernel sends that
/// signal, which would end the process; when it is ignored, the write fails with EFBIG.
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

/// Like [`serve_command`], for any courier binary.
pub fn serve_command_of(program: &Path, folder: &TestFolder, file: &str) -> Command {
    let path = folder.0.join("stairshed.toml");
    fs::write(&path, file).expect("a file");
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(path).stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Submits a message at a path and returns the response, if one comes.
pub fn post(to: SocketAddr, path: &str, id: &str, heads: &str, body: &str) -> Option<HttpMessage> {
    exchange(to, request(path, id, heads, body).as_bytes())
}

/// Returns the request that [`post`] sends.
pub fn request(path: &str, id: &str, heads: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nX-Request-ID: {id}\r\n{heads}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Connects from another loopback address, which the courier takes for another client.
pub fn connect_from(source: [u8; 4], to: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((source, 0)).into()).expect("an address of the loopback");
    socket.connect(&to.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    stream
}

/// Returns the entry of one purpose on the page `/-/memory`.
pub fn purpose(page: &Value, name: &str) -> Value {
    let all = page["purposes"].as_array().expect("purposes");
    all.iter().find(|p| p["purpose"] == name).expect("the purpose").clone()
}

/// Reads the outcomes file: id and result of each message, in order.
pub fn outcomes(folder: &TestFolder) -> Vec<(String, String)> {
    let text = fs::read_to_string(folder.0.join("state/outcomes.ndjson")).unwrap_or_default();
    let whole = text.rsplit_once('\n').map(|(whole, _)| whole).unwrap_or_default();
    let lines = whole.lines().map(|l| serde_json::from_str::<Value>(l).expect("a line of JSON"));
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    lines.map(|l| (text(&l["ref"]), text(&l["result"]))).collect()
}

/// Sends bytes on a new connection and returns the response, if one comes.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}
