//! The control service's versions and the operator's file, put into effect one after the other: checked off
//! the serving thread, stored, told to the courier, and only then acknowledged.

use crate::discovery::config_file;
use crate::discovery::configured_hosts::changed_hosts;
use crate::discovery::dns::ResolverHandle;
use crate::events::{ConfigurationUpdate, CourierEvent, MembershipChanges};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::http::HttpServer;
use crate::ingress::listener::listen;
use crate::memory_budget::{self, MemoryBudget};
use crate::outbound::http_connection::HttpConnection;
use crate::startup_error::StartupError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde_json::{Value, json};
use stairshed_config::Installation;
use stairshed_config::change::{changes, destinations};
use stairshed_config::installation::{Document, Url};
use stairshed_config::lines::Lines;
use stairshed_config::version::{Refusal, Step, Version, Versions};
use stairshed_memory::Purpose;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

const CONNECT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_secs(3);
/// A version that is sent byte by byte without an end must not hold the stream for good.
const LINE_TIME: Duration = Duration::from_secs(30);
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
const BACKOFF_MOST: Duration = Duration::from_secs(5);
/// What is made of a version takes this many times the memory that its text takes.
const MADE_OF_TEXT: u64 = 40;
/// Lines that may wait. A full queue stops the reading of the stream.
const QUEUE: usize = 64;
/// Answers that may wait for a service that does not take them.
const ANSWERS: usize = 4096;

/// The last good version on the disk.
#[derive(Clone)]
pub struct VersionStore(PathBuf);

impl VersionStore {
    pub fn new(path: PathBuf) -> Self {
        VersionStore(path)
    }

    /// # Errors
    /// The file cannot be read, or is none that [`VersionStore::save`] wrote.
    pub fn load(&self) -> Result<Option<Version>, String> {
        match fs::read(&self.0) {
            Ok(bytes) => {
                serde_json::from_slice(&bytes).map(Some).map_err(|e| format!("{}: {e}", self.0.display()))
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(format!("{}: {e}", self.0.display())),
        }
    }

    /// Writes beside the old one, syncs, and puts it in its place: whichever a crash leaves is whole.
    fn save(&self, version: &Version) -> io::Result<()> {
        let next = self.0.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&serde_json::to_vec(version)?)?;
        file.sync_all()?;
        fs::rename(&next, &self.0)?;
        File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all()
    }
}

/// What the operator's pages tell of versions.
pub struct ConfigStatus {
    file: PathBuf,
    inner: RefCell<Inner>,
}

struct Inner {
    /// None while the file's own is in effect.
    version: Option<u64>,
    since: SystemTime,
    refusal: Option<Value>,
    acknowledged: u64,
    refused: u64,
    /// Whether the stream is open; None without a control service.
    connected: Option<bool>,
}

fn unix(at: SystemTime) -> f64 {
    (at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as f64) / 1000.0
}

impl ConfigStatus {
    pub fn new(file: PathBuf, version: Option<u64>) -> Self {
        let (since, refusal, connected) = (SystemTime::now(), None, None);
        ConfigStatus {
            file,
            inner: RefCell::new(Inner { version, since, refusal, acknowledged: 0, refused: 0, connected }),
        }
    }

    pub fn to_json(&self) -> Value {
        let inner = self.inner.borrow();
        json!({
            "version": inner.version,
            "source": if inner.version.is_some() { "control" } else { "file" },
            "file": self.file.display().to_string(),
            "since": unix(inner.since),
            "connected": inner.connected,
            "acknowledged": inner.acknowledged,
            "refused": inner.refused,
            "last_refusal": inner.refusal,
        })
    }

    fn refused(&self, version: Option<u64>, reasons: Vec<String>) {
        let mut inner = self.inner.borrow_mut();
        inner.refused += 1;
        inner.refusal = Some(json!({"version": version, "reasons": reasons, "at": unix(SystemTime::now())}));
    }

    fn in_effect(&self, version: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        (inner.version, inner.since) = (version, SystemTime::now());
    }
}

/// For the operator's pages.
#[derive(Clone)]
pub struct ConfigView {
    pub status: Rc<ConfigStatus>,
    pub active_config: ActiveConfig,
    /// The file and the version over it, as they are in effect.
    pub document: Rc<RefCell<(Document, Option<Version>)>>,
}

/// What comes from the stream.
enum Heard {
    Opened,
    Line(Vec<u8>),
    Lost(Option<Refusal>),
}

/// What is being worked on.
enum Task {
    Version(Version),
    Reload,
}

/// What the work came to.
struct Done {
    task: Task,
    document: Option<Document>,
    result: Result<Prepared, Vec<String>>,
}

struct Prepared {
    installation: Arc<Installation>,
    listener: Option<TcpListener>,
}

pub struct ConfigUpdater {
    file: PathBuf,
    store: VersionStore,
    versions: Versions,
    installation: Arc<Installation>,
    active_config: ActiveConfig,
    news: Sender<CourierEvent>,
    http_server: Rc<HttpServer>,
    accepting: Option<AbortHandle>,
    listening: Option<SocketAddr>,
    status: Rc<ConfigStatus>,
    document: Rc<RefCell<(Document, Option<Version>)>>,
    lookups: ResolverHandle,
    heard: Receiver<Heard>,
    answers: Option<Sender<Value>>,
    work: Option<tokio::task::JoinHandle<Done>>,
    next: Option<Version>,
    reload: bool,
}

impl ConfigUpdater {
    pub fn new(
        (file, document, store): (PathBuf, Document, VersionStore),
        (versions, installation): (Versions, Arc<Installation>),
        (active_config, news, http_server): (ActiveConfig, Sender<CourierEvent>, Rc<HttpServer>),
        status: Rc<ConfigStatus>,
        lookups: ResolverHandle,
    ) -> Self {
        let (hear, heard) = mpsc::channel(QUEUE);
        let held = versions.held().cloned();
        let answers = installation.control.as_ref().map(|url| {
            let (answer, queue) = mpsc::channel(ANSWERS);
            let control = installation.file.control.clone().unwrap_or_default();
            let node = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
            let stream = Stream {
                url: url.clone(),
                node: node.clone(),
                held: Rc::new(RefCell::new(held.as_ref().map(|v| v.version))),
                most: control.version_most.0,
                room: http_server.room.clone(),
                silence: control.heartbeat.0 * 2,
            };
            status.inner.borrow_mut().connected = Some(false);
            tokio::task::spawn_local(answering(url.clone(), node, queue, stream.held.clone()));
            tokio::task::spawn_local(stream.run(hear));
            answer
        });
        ConfigUpdater {
            file,
            store,
            versions,
            installation,
            active_config,
            news,
            http_server,
            accepting: None,
            listening: None,
            status,
            document: Rc::new(RefCell::new((document, held))),
            lookups,
            heard,
            answers,
            work: None,
            next: None,
            reload: false,
        }
    }

    pub fn view(&self) -> ConfigView {
        let (status, active_config) = (self.status.clone(), self.active_config.clone());
        ConfigView { status, active_config, document: self.document.clone() }
    }

    /// Where clients are taken in: begins to, if no version has made it begin yet.
    ///
    /// # Errors
    /// Why it cannot listen there.
    pub fn listen(&mut self) -> io::Result<SocketAddr> {
        if let Some(at) = self.listening {
            return Ok(at);
        }
        let listener = listen(self.installation.http)?;
        let at = listener.local_addr()?;
        self.accept(listener);
        Ok(at)
    }

    /// Takes clients from this listener, and from no other any more.
    fn accept(&mut self, listener: TcpListener) {
        self.listening = listener.local_addr().ok();
        let task = tokio::task::spawn_local(self.http_server.clone().run(listener)).abort_handle();
        self.http_server.server_state.set_accept_task(task.clone());
        if let Some(old) = self.accepting.replace(task) {
            old.abort();
        }
    }

    /// Waits for a first version. False if none has come in time.
    pub async fn wait_for_first_version(&mut self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while self.versions.held().is_none() {
            let Ok(more) = tokio::time::timeout_at(until, self.step(None)).await else { return false };
            if !more {
                return false;
            }
        }
        true
    }

    /// Works for good.
    pub async fn run(mut self, mut hangup: Signal) {
        while self.step(Some(&mut hangup)).await {}
    }

    /// One thing that happens. False if nothing can any more.
    async fn step(&mut self, hangup: Option<&mut Signal>) -> bool {
        let hup = async {
            match hangup {
                Some(signal) => signal.recv().await,
                None => std::future::pending().await,
            }
        };
        let work = async {
            match &mut self.work {
                Some(work) => work.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = work => {
                self.work = None;
                match done {
                    Ok(done) => self.done(done).await,
                    Err(e) => {
                        eprintln!("configuration: the check of a version broke off: {e}");
                        self.machine(|v| v.done(Err(vec!["its check broke off".to_owned()]))).await;
                    }
                }
            }
            heard = self.heard.recv(), if self.answers.is_some() => match heard {
                Some(Heard::Line(line)) => {
                    self.machine(move |v| v.offer(&line)).await;
                }
                Some(Heard::Opened) => {
                    eprintln!("control: the stream is open");
                    self.status.inner.borrow_mut().connected = Some(true);
                }
                Some(Heard::Lost(why)) => {
                    self.versions.disconnected();
                    if self.status.inner.borrow_mut().connected.replace(false) == Some(true) {
                        eprintln!("control: the stream is lost; what is in effect stays");
                    }
                    if let Some(why) = why {
                        self.steps(vec![Step::Refuse { version: None, why }]);
                    }
                }
                None => return false,
            },
            signal = hup => {
                if signal.is_none() {
                    return false;
                }
                self.reload = true;
            }
        }
        self.begin();
        true
    }

    /// Lets the state machine have something, off the serving thread: to read, compare or free a large version
    /// takes milliseconds.
    async fn machine(&mut self, with: impl FnOnce(&mut Versions) -> Vec<Step> + Send + 'static) {
        let mut versions = std::mem::take(&mut self.versions);
        let worked = tokio::task::spawn_blocking(move || {
            let steps = with(&mut versions);
            (versions, steps)
        });
        match worked.await {
            Ok((versions, steps)) => {
                self.versions = versions;
                self.steps(steps);
            }
            // Nothing in it panics; if it does, what is in effect stays, and the next start finds it stored.
            Err(e) => eprintln!("control: versions are taken no more: {e}"),
        }
    }

    /// Begins what is due, one at a time.
    fn begin(&mut self) {
        if self.work.is_some() {
            return;
        }
        let task = match (self.next.take(), self.reload) {
            (Some(version), _) => Task::Version(version),
            (None, true) => Task::Reload,
            (None, false) => return,
        };
        if matches!(task, Task::Reload) {
            self.reload = false;
        }
        let work = Work {
            file: self.file.clone(),
            document: self.document.borrow().clone(),
            before: self.installation.clone(),
            store: self.store.clone(),
            news: self.news.clone(),
        };
        self.work = Some(tokio::task::spawn_local(work.run(task)));
    }

    fn steps(&mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Work(version) => self.next = Some(version),
                Step::Acknowledge { version } => {
                    self.status.inner.borrow_mut().acknowledged += 1;
                    self.answer(json!({"version": version, "accepted": true}));
                }
                Step::Refuse { version, why } => {
                    let reasons = match &why {
                        Refusal::Faults(all) => all.clone(),
                        other => vec![other.to_string()],
                    };
                    // Nothing is wrong where a newer one came before its turn.
                    if !matches!(why, Refusal::Superseded { .. }) {
                        let number = version.map_or("without a number".to_owned(), |v| v.to_string());
                        eprintln!("control: version {number} is refused: {}", reasons.join("; "));
                        self.status.refused(version, reasons.clone());
                    }
                    self.answer(json!({"version": version, "accepted": false, "reasons": reasons}));
                }
            }
        }
    }

    /// Never waits: a service that takes no answers must not hold up a reload.
    fn answer(&self, answer: Value) {
        if let Some(Err(_)) = self.answers.as_ref().map(|to| to.try_send(answer)) {
            eprintln!("control: the service takes no answers; one is dropped");
        }
    }

    async fn done(&mut self, done: Done) {
        let Done { task, document, result } = done;
        let prepared = match result {
            Ok(prepared) => prepared,
            Err(reasons) => {
                match task {
                    Task::Version(_) => {
                        self.machine(|v| v.done(Err(reasons))).await;
                    }
                    Task::Reload => {
                        eprintln!("configuration not read again, the old one stays:");
                        reasons.iter().for_each(|r| eprintln!("{r}"));
                        self.status.refused(None, reasons);
                    }
                }
                return;
            }
        };
        if let Some(listener) = prepared.listener {
            eprintln!("listen.http: clients are taken at {} now", prepared.installation.http);
            self.accept(listener);
        }
        self.lookups.set(&prepared.installation);
        let old = std::mem::replace(&mut self.installation, prepared.installation);
        let before = document.map(|new| std::mem::replace(&mut self.document.borrow_mut().0, new));
        let mut held = None;
        if let Task::Version(version) = &task {
            held = self.document.borrow_mut().1.replace(version.clone());
        }
        // Large ones take a while to be freed, which the serving thread has not.
        tokio::task::spawn_blocking(move || drop((old, before, held)));
        match task {
            Task::Version(version) => {
                let number = version.version;
                eprintln!("configuration: version {number} is in effect");
                self.status.in_effect(Some(number));
                self.machine(|v| v.done(Ok(()))).await;
            }
            Task::Reload => {
                eprintln!("configuration: the file is read again and in effect");
                self.status.in_effect(self.versions.held().map(|v| v.version));
            }
        }
    }
}

/// What it takes to put one configuration into effect.
struct Work {
    file: PathBuf,
    document: (Document, Option<Version>),
    before: Arc<Installation>,
    store: VersionStore,
    news: Sender<CourierEvent>,
}

impl Work {
    async fn run(self, task: Task) -> Done {
        let (number, config) = match &task {
            Task::Version(version) => (version.version, Some(version.config.clone())),
            Task::Reload => {
                let held = self.document.1.as_ref();
                (held.map_or(0, |v| v.version), held.map(|v| v.config.clone()))
            }
        };
        let (file, document, before) = (self.file.clone(), self.document.0.clone(), self.before.clone());
        let reload = matches!(task, Task::Reload);
        let checked = tokio::task::spawn_blocking(move || {
            let document = match reload {
                true => config_file::read_document(&file).map_err(|e| vec![e.to_string()])?,
                false => document,
            };
            let installation = document.installation(config.as_deref());
            // A version has no lines that its sender could look at.
            let lines = |p: stairshed_config::Problems| {
                if reload { p.to_string().lines().map(str::to_owned).collect() } else { p.lines() }
            };
            let installation = installation.map_err(lines)?;
            let changes = changes(Some(&before), &installation);
            let (removed_destinations, present_destinations) = destinations(Some(&before), &installation);
            let (hosts, limits) = changed_hosts(&changes);
            Ok((
                document,
                Arc::new(installation),
                MembershipChanges { hosts, limits, removed_destinations, present_destinations },
            ))
        });
        let checked = checked.await.unwrap_or_else(|e| Err(vec![format!("its check broke off: {e}")]));
        let (document, installation, changes) = match checked {
            Ok(checked) => checked,
            Err(reasons) => return Done { task, document: None, result: Err(reasons) },
        };
        let result = self.effect(&task, number, installation, changes).await;
        Done { task, document: reload.then_some(document).filter(|_| result.is_ok()), result }
    }

    /// Binds, stores, tells the courier: what fails first leaves all as it was.
    async fn effect(
        &self,
        task: &Task,
        number: u64,
        installation: Arc<Installation>,
        changes: MembershipChanges,
    ) -> Result<Prepared, Vec<String>> {
        let caps = memory_budget::caps(&installation)?;
        let listener = match installation.http == self.before.http {
            true => None,
            false => {
                let failed = |e| vec![format!("listen.http: cannot listen on {}: {e}", installation.http)];
                Some(listen(installation.http).map_err(failed)?)
            }
        };
        if let Task::Version(version) = task {
            let (store, version) = (self.store.clone(), version.clone());
            let stored = tokio::task::spawn_blocking(move || store.save(&version)).await;
            let stored = stored.map_err(|e| e.to_string()).and_then(|done| done.map_err(|e| e.to_string()));
            stored.map_err(|why| {
                vec![format!("it cannot be stored, so it would not outlast a restart: {why}")]
            })?;
        }
        let (done, in_effect) = oneshot::channel();
        let configured =
            ConfigurationUpdate { version: number, installation: installation.clone(), caps, changes, done };
        let stopping = || vec!["the courier is stopping".to_owned()];
        self.news
            .send(CourierEvent::ConfigurationChanged(Box::new(configured)))
            .await
            .map_err(|_| stopping())?;
        in_effect.await.map_err(|_| stopping())?;
        Ok(Prepared { installation, listener })
    }
}

/// The stream of versions, opened again whenever it is lost.
struct Stream {
    url: Url,
    node: String,
    held: Rc<RefCell<Option<u64>>>,
    most: u64,
    room: MemoryBudget,
    silence: Duration,
}

impl Stream {
    async fn run(self, hear: Sender<Heard>) {
        let mut backoff = BACKOFF_FIRST;
        while !hear.is_closed() {
            let mut heard = false;
            let why = self.once(&hear, &mut heard).await;
            if hear.send(Heard::Lost(why)).await.is_err() {
                return;
            }
            if heard {
                backoff = BACKOFF_FIRST;
            }
            // Many couriers that lost one service must not come back to it at once.
            sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
            backoff = (backoff * 2).min(BACKOFF_MOST);
        }
    }

    /// One connection, to its end, and whether a line came on it; a refusal if it is the sender's fault.
    async fn once(&self, hear: &Sender<Heard>, heard: &mut bool) -> Option<Refusal> {
        let mut connection = HttpConnection::connect(self.url.address, CONNECT, None).await.ok()?;
        let held = self.held.borrow().map_or(String::new(), |v| format!("&version={v}"));
        let request = Request::get(format!("{}?node={}{held}", self.url.path, self.node))
            .header(header::HOST, self.url.address.to_string())
            .body(Full::<Bytes>::default())
            .ok()?;
        let answer = connection.open_stream(request, ANSWER).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        hear.send(Heard::Opened).await.ok()?;
        let fits = self.room.ledger.cap(Purpose::Configuration) / MADE_OF_TEXT;
        let (most, key) = (self.most, "control.version_most").min((fits, "as memory.configuration allows"));
        let (mut body, mut lines) = (answer.into_body(), Lines::new(most as usize));
        let mut begun: Option<Instant> = None;
        while let Ok(piece) = connection.next_chunk(&mut body, self.silence).await {
            if lines.push(&piece).is_err() {
                let why = format!("longer than {most} bytes ({key})");
                return Some(Refusal::Unreadable(why));
            }
            for line in lines.by_ref() {
                (begun, *heard) = (None, true);
                if !line.iter().all(u8::is_ascii_whitespace) {
                    hear.send(Heard::Line(line)).await.ok()?;
                }
            }
            let open = lines.is_open().then(|| *begun.get_or_insert_with(Instant::now));
            if open.is_some_and(|since| since.elapsed() > LINE_TIME) {
                return Some(Refusal::Unreadable("its line has no end".to_owned()));
            }
        }
        None
    }
}

/// Posts answers in order until each is taken.
async fn answering(url: Url, node: String, mut queue: Receiver<Value>, held: Rc<RefCell<Option<u64>>>) {
    while let Some(mut answer) = queue.recv().await {
        if answer["accepted"] == true {
            *held.borrow_mut() = answer["version"].as_u64();
        }
        answer["node"] = json!(node);
        answer["in_effect"] = json!(*held.borrow());
        let mut backoff = BACKOFF_FIRST;
        // What it does not want it will not want the next time either.
        while !post_answer(&url, &answer).await.is_some_and(|s| s.is_success() || s.is_client_error()) {
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MOST);
        }
    }
}

/// Posts one answer to a version, on a connection of its own: on a used one a second copy of the acknowledgement before
/// could be taken for its own.
async fn post_answer(url: &Url, answer: &Value) -> Option<StatusCode> {
    let mut connection = HttpConnection::connect(url.address, CONNECT, None).await.ok()?;
    let request = Request::post(format!("{}/answers", url.path.trim_end_matches('/')))
        .header(header::HOST, url.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(answer.to_string())))
        .ok()?;
    Some(connection.send_request(request, Instant::now() + ANSWER).await.ok()?.status)
}

impl From<io::Error> for StartupError {
    fn from(e: io::Error) -> Self {
        StartupError::Invalid("configuration", e.to_string())
    }
}
