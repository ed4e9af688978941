//! A courier under the platform's limits, hostile clients in threads of their own, and a regular client beside them.

use stairshed_rig::process_stats::{SchedulingTimes, peak_resident_mb, resident_mb};
use stairshed_rig::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Memory that the platform grants to a courier, in MB.
pub const MEMORY_MB: f64 = 192.0;
/// Descriptors that the platform grants to a courier.
pub const DESCRIPTORS: u64 = 1024;
/// How long a client waits for its answer (protocol page).
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the hostile clients go on.
pub const ATTACK_TIME: Duration = Duration::from_secs(2);
/// Pause of the regular client between two messages.
const REGULAR_PAUSE: Duration = Duration::from_millis(40);

/// Only one of these tests runs at a time: each measures how soon the courier answers.
static TURN: Mutex<()> = Mutex::new(());

/// The configuration of an operator's courier with the platform's limits.
fn operator_file(endpoint: &Endpoint, lines: &str) -> String {
    format!(
        "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nmqtt = \"127.0.0.1:0\"\n\
         [memory]\ntotal = \"192MB\"\n\
         [classes.status]\neffect = \"repeatable\"\ndeadline = \"10s\"\n\
         [classes.known]\neffect = \"once\"\ndeadline = \"10s\"\nremember = \"1h\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.status]\nprefix = \"/status\"\npool = \"p\"\nclass = \"status\"\n\
         [routes.known]\nprefix = \"/known\"\npool = \"p\"\nclass = \"known\"\n\
         [topics.state]\nfilter = \"state/#\"\npool = \"p\"\nclass = \"status\"\nidentity = {{ pointer = \"/id\" }}\n\
         [topics.known]\nfilter = \"known/#\"\npool = \"p\"\nclass = \"known\"\nidentity = {{ pointer = \"/id\" }}\n{lines}",
        endpoint.address
    )
}

/// A courier with the platform's limits on descriptors and cores, and its endpoint.
pub struct LimitedCourier {
    pub courier: Courier,
    _endpoint: Endpoint,
    /// A request of the regular client, by its id.
    regular: fn(&str) -> String,
    _discovery: Option<Discovery>,
    _folder: TestFolder,
    _turn: MutexGuard<'static, ()>,
}

/// Runs a command on one core, with the descriptors that the platform grants.
fn limited(command: &Command) -> Command {
    let mut limited = Command::new("sh");
    limited
        .arg("-c")
        .arg(format!("ulimit -n {DESCRIPTORS}; exec taskset -c 0 \"$0\" \"$@\""))
        .arg(command.get_program())
        .args(command.get_args())
        .envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))))
        .stdin(std::process::Stdio::null())
        .stderr(std::process::Stdio::piped());
    limited
}

impl LimitedCourier {
    /// A courier with an operator's file.
    pub fn operator() -> Self {
        Self::operator_with("")
    }

    /// The same with these lines in its file.
    pub fn operator_with(lines: &str) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
        let folder = TestFolder::new();
        let courier = Courier::spawn(&mut limited(&serve_command(&folder, &operator_file(&endpoint, lines))));
        let regular = |id: &str| request("/status", id, "", "running");
        LimitedCourier {
            courier,
            _endpoint: endpoint,
            regular,
            _discovery: None,
            _folder: folder,
            _turn: turn,
        }
    }

    /// The platform's courier.
    pub fn platform() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let folder = TestFolder::new();
        let mut config = config(&discovery, known);
        config["limits"]["sockets"] = serde_json::json!(DESCRIPTORS);
        config["settings"]["limits"]["max-open"] = serde_json::json!(352);
        let courier = Courier::spawn(&mut limited(&command(&folder, &discovery, &config)));
        let regular = |id: &str| message(id, "status", 7, 8000);
        LimitedCourier {
            courier,
            _endpoint: endpoint,
            regular,
            _discovery: Some(discovery),
            _folder: folder,
            _turn: turn,
        }
    }

    /// Lets the hostile clients go on for [`ATTACK_TIME`] beside a regular client. Each is called again and again,
    /// until the time is up.
    pub fn attack(
        &mut self,
        clients: usize,
        act: impl Fn(&dyn Fn() -> bool) + Send + Sync + 'static,
    ) -> Report {
        let before = resident_mb(self.courier.id());
        let stop = Arc::new(AtomicBool::new(false));
        let (act, rounds) = (Arc::new(act), Arc::new(AtomicUsize::new(0)));
        let hostile: Vec<JoinHandle<()>> = (0..clients)
            .map(|_| {
                let (act, stop, rounds) = (act.clone(), stop.clone(), rounds.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        act(&|| !stop.load(Ordering::SeqCst));
                        rounds.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        let end = Instant::now() + ATTACK_TIME;
        let mut answers = Vec::new();
        while Instant::now() < end {
            let id = format!("regular-{}", answers.len());
            let before = SchedulingTimes::read(self.courier.id());
            let (status, time) = timed_exchange(self.courier.address, &(self.regular)(&id));
            let scheduling = SchedulingTimes::read(self.courier.id()).since(&before);
            answers.push(Answer { status, time, scheduling });
            thread::sleep(REGULAR_PAUSE);
        }
        let during = resident_mb(self.courier.id());
        stop.store(true, Ordering::SeqCst);
        hostile.into_iter().for_each(|client| client.join().expect("a hostile client"));
        let report = Report {
            is_running: self.courier.is_running(),
            before_mb: before,
            during_mb: during,
            peak_mb: peak_resident_mb(self.courier.id()),
            rounds: rounds.load(Ordering::SeqCst),
            answers,
        };
        println!("{report}");
        report
    }
}

/// Sends a request from another address of the loopback than the hostile clients', and measures the time to its
/// answer.
fn timed_exchange(to: SocketAddr, request: &str) -> (Option<u16>, Duration) {
    let start = Instant::now();
    let mut stream = connect_from([127, 0, 0, 2], to);
    stream.set_read_timeout(Some(5 * ANSWER_TIMEOUT)).expect("a limit");
    let _ = stream.write_all(request.as_bytes());
    let answer = HttpMessage::read(&mut BufReader::new(stream));
    (answer.map(|answer| answer.status()), start.elapsed())
}

/// The answer to a request of the regular client.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// None if the connection was closed without an answer.
    pub status: Option<u16>,
    pub time: Duration,
    /// What the courier spent meanwhile: a slow answer is its own doing only as far as it was running.
    pub scheduling: SchedulingTimes,
}

/// What was seen of the courier and of the regular client's requests.
pub struct Report {
    pub is_running: bool,
    pub before_mb: f64,
    pub during_mb: f64,
    pub peak_mb: f64,
    /// How often a hostile client has acted.
    pub rounds: usize,
    /// The answer to each request of the regular client, in order.
    pub answers: Vec<Answer>,
}

impl Report {
    /// The longest time to an answer.
    pub fn slowest(&self) -> Duration {
        self.answers.iter().map(|answer| answer.time).max().unwrap_or_default()
    }

    /// Number of regular requests that were not accepted within the time that a client waits.
    pub fn failed(&self) -> usize {
        let served = |answer: &Answer| answer.status == Some(202) && answer.time <= ANSWER_TIMEOUT;
        self.answers.iter().filter(|answer| !served(answer)).count()
    }

    /// Asserts that the courier kept to its limits and served the regular client.
    pub fn assert_served(&self) {
        assert!(self.is_running, "the courier ended: {self}");
        assert!(self.peak_mb < MEMORY_MB, "over its memory: {self}");
        assert!(self.answers.len() > 10, "too few regular requests to tell: {self}");
        assert_eq!(self.failed(), 0, "{self}");
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let refused: Vec<_> =
            self.answers.iter().filter(|answer| answer.status != Some(202)).take(5).collect();
        let slowest = self.answers.iter().enumerate().max_by_key(|(_, answer)| answer.time);
        let (number, scheduling) =
            slowest.map(|(number, answer)| (number, answer.scheduling)).unwrap_or_default();
        write!(
            f,
            "running {}, {:.0} MB before, {:.0} at the end, {:.0} at most; {} rounds; {} regular requests, {} failed, \
             the slowest (number {number}) after {:?}, in which the courier was running {:?} and waiting for its core \
             {:?}; {refused:?}",
            self.is_running,
            self.before_mb,
            self.during_mb,
            self.peak_mb,
            self.rounds,
            self.answers.len(),
            self.failed(),
            self.slowest(),
            scheduling.running,
            scheduling.waiting
        )
    }
}

/// A connection whose reads and writes are given up after a while. None if the courier takes none.
pub fn open(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Reads and forgets what the courier sends, in a thread of its own, until the connection ends.
pub fn discard_input(stream: &TcpStream) {
    let mut stream = stream.try_clone().expect("a handle");
    thread::spawn(move || {
        let _ = stream.set_read_timeout(None);
        let mut buffer = [0; 65_536];
        while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {}
    });
}

/// Writes bytes again and again until the connection fails or the time is up.
pub fn flood(mut stream: &TcpStream, bytes: &[u8], goes_on: &dyn Fn() -> bool) {
    while goes_on() && stream.write_all(bytes).is_ok() {}
}
