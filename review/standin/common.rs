//! What the cases share: a courier as a separate process, small HTTP servers and clients on loopback, and the
//! record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);

/// What a case is started with: the folders, and whether the disruption takes place.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub record: Record,
    courier: Mutex<Option<u32>>,
}

/// The lines of `record.txt`, each with its time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }
}

/// Ends the case: the rule was broken (1), held (0), or the case could not run (2).
pub fn verdict(case: &Case, code: i32, why: &str) -> ! {
    let text = match code {
        0 => "HELD",
        1 => "BROKEN",
        _ => "COULD NOT RUN",
    };
    case.record.line(format!("verdict: {text}: {why}"));
    println!("{text}: {why}");
    if let Some(pid) = case.courier.lock().unwrap().take() {
        signal(pid, "KILL");
        let _ = fs::remove_file(case.temp.join("courier.pid"));
    }
    thread::sleep(50 * MS);
    std::process::exit(code)
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .stderr(Stdio::null())
        .status();
}

impl Case {
    /// Reads the environment that `run.sh` sets. A watchdog ends a case that hangs.
    pub fn new() -> Arc<Case> {
        let folder = |name| PathBuf::from(std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set")));
        let record = File::create(folder("REVIEW_RECORD")).expect("the record");
        let case = Arc::new(Case {
            root: folder("REVIEW_ROOT"),
            temp: folder("REVIEW_TEMP"),
            trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
            record: Record { file: Arc::new(Mutex::new(record)), start: Instant::now() },
            courier: Mutex::new(None),
        });
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(110));
            verdict(&watched, 2, "the case did not end in time");
        });
        let on_panic = case.clone();
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            usual(info);
            verdict(&on_panic, 2, &format!("the stand-ins failed: {info}"));
        }));
        case.record.line(format!("disruption: {}", if case.trouble { "on" } else { "off (TROUBLE=0)" }));
        case
    }

    /// Writes a file into the temporary folder.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.temp.join(name);
        fs::write(&path, text).expect("a file of the case");
        path
    }

    /// The command of the deploy file that runs a courier.
    fn run_command(&self) -> String {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("run in the deploy file");
        line.split('"').nth(1).expect("the command").to_owned()
    }

    /// Starts a courier by an operator's file.
    pub fn serve(&self, config: &Path) -> Courier {
        let command = format!("{} serve --config '{}'", self.run_command(), config.display());
        self.start(&command, &[])
    }

    /// Starts a courier by the platform's environment.
    pub fn platform(&self, arguments: &str, env: &[(&str, String)]) -> Courier {
        self.start(&format!("{} {arguments}", self.run_command()), env)
    }

    fn start(&self, command: &str, env: &[(&str, String)]) -> Courier {
        let log = self.temp.join("courier.log");
        let out = fs::OpenOptions::new().create(true).append(true).open(&log).expect("the courier's log");
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&self.root)
            .envs(env.iter().map(|(k, v)| (*k, v.clone())))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()
            .expect("a courier");
        *self.courier.lock().unwrap() = Some(child.id());
        // For run.sh, should this process be ended from outside.
        let _ = fs::write(self.temp.join("courier.pid"), child.id().to_string());
        self.record.line("the courier is started");
        Courier { child, log }
    }

    /// Waits until the courier answers that it is ready.
    pub fn wait_ready(&self, courier: &mut Courier, at: SocketAddr) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Some(status) = courier.ended() {
                verdict(self, 2, &format!("the courier did not start: {status}; {}", courier.log_tail()));
            }
            if let Ok(answer) = request(at, "GET", "/-/ready", &[], b"", Duration::from_secs(1)) {
                if answer.status == 200 {
                    self.record.line("the courier is ready");
                    return;
                }
            }
            thread::sleep(20 * MS);
        }
        verdict(self, 2, "the courier was not ready in 20 s")
    }
}

pub struct Courier {
    pub child: Child,
    log: PathBuf,
}

impl Courier {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }

    pub fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(6)..].join(" | ")
    }

    /// Waits until the log has this text beyond the first `from` occurrences.
    pub fn wait_log(&mut self, text: &str, from: usize, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.log().matches(text).count() > from {
                return true;
            }
            thread::sleep(10 * MS);
        }
        false
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Http {
    pub first: String,
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn read(from: &mut impl BufRead) -> io::Result<Http> {
        let mut line = String::new();
        let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
        if from.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(broken());
        }
        let first = line.trim_end().to_owned();
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut http = Http { first, status, ..Http::default() };
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 || !line.ends_with('\n') {
                return Err(broken());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            http.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        http.body = vec![0; http.header("content-length").parse().unwrap_or(0)];
        from.read_exact(&mut http.body)?;
        Ok(http)
    }
}

/// What a server does with a request.
pub enum Act {
    /// A status, further header lines (each ended by CRLF), and a body.
    Answer(u16, String, String),
    /// The same after a while.
    AnswerAfter(Duration, u16, String, String),
    /// The connection stays open and silent.
    Hang,
    /// The connection is closed.
    Close,
}

/// Serves HTTP on a free loopback port; each connection has a thread.
pub fn server(act: impl Fn(&Http) -> Act + Send + Sync + 'static) -> SocketAddr {
    server_at("127.0.0.1:0".parse().unwrap(), act)
}

pub fn server_at(at: SocketAddr, act: impl Fn(&Http) -> Act + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(at).expect("a port");
    let at = listener.local_addr().unwrap();
    let act = Arc::new(act);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let act = act.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut from = BufReader::new(stream);
                while let Ok(request) = Http::read(&mut from) {
                    let (status, head, body) = match act(&request) {
                        Act::Answer(status, head, body) => (status, head, body),
                        Act::AnswerAfter(wait, status, head, body) => {
                            thread::sleep(wait);
                            (status, head, body)
                        }
                        Act::Hang => {
                            let _ = from.read(&mut [0; 1]);
                            return;
                        }
                        Act::Close => return,
                    };
                    let text =
                        format!("HTTP/1.1 {status} Answer\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len());
                    if out.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: courier\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Http> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    Http::read(&mut BufReader::new(stream))
}

/// The value of a key in a flat JSON object on one line.
pub fn json_field(line: &str, key: &str) -> String {
    let Some((_, rest)) = line.split_once(&format!("\"{key}\":")) else { return String::new() };
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or_default().to_owned(),
        None => rest.split([',', '}']).next().unwrap_or_default().trim().to_owned(),
    }
}

/// A small generator of numbers, the same for the same seed on every machine.
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64) -> Numbers {
        Numbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1))
    }

    /// The next number below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % most
    }
}

/// What an endpoint that runs every call at once has run, by `X-Request-ID`, and in which order.
#[derive(Clone, Default)]
pub struct Ran(pub Arc<Mutex<Vec<String>>>);

impl Ran {
    pub fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|ran| *ran == id).count()
    }

    /// How often each id has run.
    pub fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for id in self.0.lock().unwrap().iter() {
            *counts.entry(id.clone()).or_default() += 1;
        }
        counts
    }
}

/// Starts an endpoint that runs every call and answers 200 with the id of the call.
pub fn endpoint(name: &'static str, record: &Record, ran: &Ran) -> SocketAddr {
    let (record, ran) = (record.clone(), ran.clone());
    server(move |call| {
        let id = call.header("x-request-id").to_owned();
        record.line(format!("{name} runs {id} ({})", call.first));
        ran.0.lock().unwrap().push(id.clone());
        Act::Answer(200, format!("X-Request-ID: {id}\r\n"), String::new())
    })
}

/// The notices that a receiver of outcomes has heard, one JSON object each.
#[derive(Clone, Default)]
pub struct Notices(pub Arc<Mutex<Vec<String>>>);

impl Notices {
    pub fn has(&self, id: &str) -> bool {
        self.0.lock().unwrap().iter().any(|line| json_field(line, "ref") == id)
    }

    /// The latest result told of an id.
    pub fn result(&self, id: &str) -> String {
        let lines = self.0.lock().unwrap();
        lines.iter().rfind(|line| json_field(line, "ref") == id).map(|line| json_field(line, "result")).unwrap_or_default()
    }
}

/// Starts a receiver of outcomes that answers 204 at once.
pub fn outcomes(record: &Record, notices: &Notices) -> SocketAddr {
    let (record, notices) = (record.clone(), notices.clone());
    server(move |post| {
        for line in post.text().lines() {
            record.line(format!("outcomes hears {line}"));
            notices.0.lock().unwrap().push(line.to_owned());
        }
        Act::Answer(204, String::new(), String::new())
    })
}

/// The network between clients and a courier: each connection is passed on, and those that `cut` chooses are
/// closed on both sides this long after the last byte of their first request was passed on.
pub fn network(to: SocketAddr, cut: impl Fn(u64) -> Option<Duration> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().unwrap();
    let cut = Arc::new(cut);
    thread::spawn(move || {
        for (number, client) in listener.incoming().flatten().enumerate() {
            let cut = cut(number as u64);
            thread::spawn(move || pass_on(client, to, cut));
        }
    });
    at
}

fn pass_on(client: TcpStream, to: SocketAddr, cut: Option<Duration>) -> Option<()> {
    let courier = TcpStream::connect(to).ok()?;
    let _ = (client.set_nodelay(true), courier.set_nodelay(true));
    let (mut back_from, mut back_to) = (courier.try_clone().ok()?, client.try_clone().ok()?);
    thread::spawn(move || {
        let _ = io::copy(&mut back_from, &mut back_to);
        let _ = back_to.shutdown(std::net::Shutdown::Both);
    });
    let mut courier_side = courier.try_clone().ok()?;
    if let Some(after) = cut {
        let request = Http::read_raw(&mut BufReader::new(client.try_clone().ok()?)).ok()?;
        courier_side.write_all(&request).ok()?;
        thread::sleep(after);
    } else {
        let _ = io::copy(&mut client.try_clone().ok()?, &mut courier_side);
    }
    let _ = courier.shutdown(std::net::Shutdown::Both);
    let _ = client.shutdown(std::net::Shutdown::Both);
    Some(())
}

impl Http {
    /// The bytes of one request, its body by `Content-Length`.
    fn read_raw(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let (mut bytes, mut length) = (Vec::new(), 0);
        loop {
            let start = bytes.len();
            if from.read_until(b'\n', &mut bytes)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = String::from_utf8_lossy(&bytes[start..]).trim_end().to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            if line.is_empty() {
                break;
            }
        }
        let start = bytes.len();
        bytes.resize(start + length, 0);
        from.read_exact(&mut bytes[start..])?;
        Ok(bytes)
    }
}
