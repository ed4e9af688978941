//! Applies configuration versions from the control service and reloads of the operator's file, one at a time.
//!
//! Each version is validated off the serving thread, stored on disk, applied by the courier, and only then
//! acknowledged to the control service.

use crate::discovery::config_file;
use crate::discovery::configured_hosts::changed_hosts;
use crate::discovery::dns::ResolverHandle;
use crate::events::{ConfigurationUpdate, DispatcherEvent, MembershipChanges};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::http::HttpServer;
use crate::ingress::listener::{listen, listen_at_start};
use crate::memory_budget::{self, MemoryBudget};
use crate::signals::SignalStream;
use crate::startup_error::StartupError;
use crate::system_errors::{Operation, report, retry};
use crate::upstream::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde_json::{Value, json};
use stairshed_clock::TimeOfDay;
use stairshed_config::Installation;
use stairshed_config::change::{member_changes, removed_and_current_destinations};
use stairshed_config::installation::{Document, Url};
use stairshed_config::lines::LineBuffer;
use stairshed_config::version::{Refusal, Version, VersionAction, VersionTracker};
use stairshed_memory::Purpose;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

/// Timeout for connecting to the control service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a response of the control service.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which a started line must be complete. It keeps a version that is sent byte by byte without an end
/// from blocking the stream forever.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the first retry of a connection or an answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay, which doubles with each failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long reading or storing a version is tried. Meanwhile the configuration in effect stays.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory that a parsed version takes, as a multiple of the size of its text.
const MEMORY_PER_TEXT_BYTE: u64 = 40;
/// Stream events that may be queued. Reading from the stream pauses while the queue is full.
const MAX_QUEUED_EVENTS: usize = 64;
/// Answers that may be queued while the control service does not accept them; further ones are dropped.
const MAX_QUEUED_ANSWERS: usize = 4096;

/// File that stores the last valid version.
#[derive(Clone)]
pub struct VersionStore(PathBuf);

impl VersionStore {
    /// Uses the file at `path`.
    pub fn new(path: PathBuf) -> Self {
        VersionStore(path)
    }

    /// Returns the stored version, or None if there is no file. Tries again for [`STORE_TIMEOUT`].
    ///
    /// # Errors
    /// The file cannot be read, or was not written by [`VersionStore::save`].
    pub async fn load(&self) -> Result<Option<Version>, String> {
        let path = self.0.display();
        let bytes = self.retry("reads", async || match fs::read(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            read => read.map(Some),
        });
        let bytes = bytes.await.map_err(|e| format!("{path}: {e}"))?;
        let version = bytes.map(|bytes| serde_json::from_slice(&bytes)).transpose();
        version.map_err(|e| format!("{path}: {e}"))
    }

    /// Stores a version. Tries again for [`STORE_TIMEOUT`].
    async fn store(&self, version: &Version) -> io::Result<()> {
        let save = async || {
            let (store, version) = (self.clone(), version.clone());
            let saved = tokio::task::spawn_blocking(move || store.save(&version)).await;
            saved.unwrap_or_else(|e| Err(io::Error::other(e)))
        };
        self.retry("stores", save).await
    }

    async fn retry<T>(&self, verb: &str, attempt: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
        let what = format!("configuration: {verb} {}", self.0.display());
        let policy = |e: &io::Error| report(Operation::VersionStore, e);
        retry(&what, STORE_TIMEOUT, policy, attempt).await
    }

    /// Writes a temporary file, syncs it and renames it over the old one, so that a crash leaves a complete
    /// file.
    fn save(&self, version: &Version) -> io::Result<()> {
        let next = self.0.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&serde_json::to_vec(version)?)?;
        file.sync_all()?;
        fs::rename(&next, &self.0)?;
        File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all()
    }
}

/// Status of configuration versions, shown on the admin page `/-/config`.
pub struct ConfigStatus {
    file: PathBuf,
    inner: RefCell<Inner>,
}

struct Inner {
    /// Version in effect; None while the configuration comes from the file alone.
    version: Option<u64>,
    since: TimeOfDay,
    refusal: Option<Value>,
    acknowledged: u64,
    refused: u64,
    /// Whether the stream is open; None if no control service is configured.
    connected: Option<bool>,
}

fn unix_seconds(at: TimeOfDay) -> f64 {
    (at.as_unix().as_millis() as f64) / 1000.0
}

impl ConfigStatus {
    /// Status at startup: `version` is in effect over `file`.
    pub fn new(file: PathBuf, version: Option<u64>) -> Self {
        let (since, refusal, connected) = (TimeOfDay::now(), None, None);
        ConfigStatus {
            file,
            inner: RefCell::new(Inner { version, since, refusal, acknowledged: 0, refused: 0, connected }),
        }
    }

    /// Content of the page `/-/config`.
    pub fn to_json(&self) -> Value {
        let inner = self.inner.borrow();
        json!({
            "version": inner.version,
            "source": if inner.version.is_some() { "control" } else { "file" },
            "file": self.file.display().to_string(),
            "since": unix_seconds(inner.since),
            "connected": inner.connected,
            "acknowledged": inner.acknowledged,
            "refused": inner.refused,
            "last_refusal": inner.refusal,
        })
    }

    fn refused(&self, version: Option<u64>, reasons: Vec<String>) {
        let mut inner = self.inner.borrow_mut();
        inner.refused += 1;
        inner.refusal =
            Some(json!({"version": version, "reasons": reasons, "at": unix_seconds(TimeOfDay::now())}));
    }

    fn in_effect(&self, version: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        (inner.version, inner.since) = (version, TimeOfDay::now());
    }
}

/// Read access to the configuration for the admin pages.
#[derive(Clone)]
pub struct ConfigView {
    pub status: Rc<ConfigStatus>,
    pub active_config: ActiveConfig,
    /// The file and the version applied over it, as they are in effect.
    pub document: Rc<RefCell<(Document, Option<Version>)>>,
}

/// Event on the stream of versions.
enum StreamEvent {
    Opened,
    Line(Vec<u8>),
    /// The stream has ended, with a refusal if the service broke a limit.
    Closed(Option<Refusal>),
}

/// A configuration change to apply.
enum Change {
    /// A version from the control service.
    Version(Version),
    /// The file is read again.
    Reload,
}

/// Outcome of a change: the applied configuration, or the reasons why it was rejected.
struct FinishedChange {
    change: Change,
    document: Option<Document>,
    result: Result<AppliedChange, Vec<String>>,
}

/// An applied configuration, and the listener to switch to if the address changed.
struct AppliedChange {
    installation: Arc<Installation>,
    listener: Option<TcpListener>,
}

/// Applies configuration versions and file reloads, and answers the control service.
pub struct ConfigUpdater {
    file: PathBuf,
    store: VersionStore,
    versions: VersionTracker,
    installation: Arc<Installation>,
    active_config: ActiveConfig,
    events: Sender<DispatcherEvent>,
    http_server: Rc<HttpServer>,
    accept_task: Option<AbortHandle>,
    /// Whether the start is done, so that clients are accepted.
    accepts_clients: bool,
    /// The listener whose clients wait until then.
    waiting_listener: Option<TcpListener>,
    listen_address: Option<SocketAddr>,
    status: Rc<ConfigStatus>,
    document: Rc<RefCell<(Document, Option<Version>)>>,
    resolver: ResolverHandle,
    stream_events: Receiver<StreamEvent>,
    answer_queue: Option<Sender<Value>>,
    running: Option<tokio::task::JoinHandle<FinishedChange>>,
    pending_version: Option<Version>,
    reload_pending: bool,
}

impl ConfigUpdater {
    /// Creates the updater and, if a control service is configured, starts the tasks for its stream and
    /// answers.
    pub fn new(
        (file, document, store): (PathBuf, Document, VersionStore),
        (versions, installation): (VersionTracker, Arc<Installation>),
        (active_config, events, http_server): (ActiveConfig, Sender<DispatcherEvent>, Rc<HttpServer>),
        status: Rc<ConfigStatus>,
        resolver: ResolverHandle,
    ) -> Self {
        let (event_sender, stream_events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let current = versions.in_effect().cloned();
        let answer_queue = installation.control.as_ref().map(|url| {
            let (answer, queue) = mpsc::channel(MAX_QUEUED_ANSWERS);
            let control = installation.file.control.clone().unwrap_or_default();
            let node = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
            let stream = VersionStream {
                url: url.clone(),
                node: node.clone(),
                current: Rc::new(RefCell::new(current.as_ref().map(|v| v.version))),
                max_bytes: control.version_most.0,
                memory_budget: http_server.memory_budget.clone(),
                idle_timeout: control.heartbeat.0 * 2,
            };
            status.inner.borrow_mut().connected = Some(false);
            tokio::task::spawn_local(post_answers(url.clone(), node, queue, stream.current.clone()));
            tokio::task::spawn_local(stream.run(event_sender));
            answer
        });
        ConfigUpdater {
            file,
            store,
            versions,
            installation,
            active_config,
            events,
            http_server,
            accept_task: None,
            accepts_clients: false,
            waiting_listener: None,
            listen_address: None,
            status,
            document: Rc::new(RefCell::new((document, current))),
            resolver,
            stream_events,
            answer_queue,
            running: None,
            pending_version: None,
            reload_pending: false,
        }
    }

    /// Access to the configuration for the admin pages.
    pub fn view(&self) -> ConfigView {
        let (status, active_config) = (self.status.clone(), self.active_config.clone());
        ConfigView { status, active_config, document: self.document.clone() }
    }

    /// Returns the address on which clients are accepted, after [`Self::accept_clients`]. Starts listening if no
    /// version has done so yet.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn listen(&mut self) -> Result<SocketAddr, StartupError> {
        if let Some(at) = self.listen_address {
            return Ok(at);
        }
        let listener = listen_at_start("listen.http", self.installation.http).await?;
        let at = listener.local_addr()?;
        self.accept(listener);
        Ok(at)
    }

    /// Accepts clients from now on. Until then their connections wait unread, since a start that is broken off
    /// drops them.
    pub fn accept_clients(&mut self) {
        self.accepts_clients = true;
        if let Some(listener) = self.waiting_listener.take() {
            self.accept(listener);
        }
    }

    /// Accepts clients on this listener, once the start is done, and stops accepting on the previous one.
    fn accept(&mut self, listener: TcpListener) {
        self.listen_address = listener.local_addr().ok();
        if !self.accepts_clients {
            self.waiting_listener = Some(listener);
            return;
        }
        let task = tokio::task::spawn_local(self.http_server.clone().run(listener)).abort_handle();
        self.http_server.server_state.set_accept_task(task.clone());
        if let Some(old) = self.accept_task.replace(task) {
            old.abort();
        }
    }

    /// Waits for the first version. Returns false if none arrives in time.
    pub async fn wait_for_first_version(&mut self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while self.versions.in_effect().is_none() {
            let Ok(more) = tokio::time::timeout_at(until, self.handle_one(None)).await else { return false };
            if !more {
                return false;
            }
        }
        true
    }

    /// Handles events until no more can arrive; a SIGHUP reloads the file.
    pub async fn run(mut self, mut hangup: SignalStream) {
        while self.handle_one(Some(&mut hangup)).await {}
    }

    /// Handles one event. Returns false if no more can arrive.
    async fn handle_one(&mut self, hangup: Option<&mut SignalStream>) -> bool {
        let next_hangup = async {
            match hangup {
                Some(hangup) => hangup.recv().await,
                None => std::future::pending().await,
            }
        };
        let work = async {
            match &mut self.running {
                Some(work) => work.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = work => {
                self.running = None;
                match done {
                    Ok(done) => self.finish_change(done).await,
                    Err(e) => {
                        log_line!("configuration: the validation of a version did not complete: {e}");
                        self.update_versions(|v| v.finish(Err(vec!["its check broke off".to_owned()])))
                            .await;
                    }
                }
            }
            event = self.stream_events.recv(), if self.answer_queue.is_some() => match event {
                Some(StreamEvent::Line(line)) => {
                    self.update_versions(move |v| v.receive_line(&line)).await;
                }
                Some(StreamEvent::Opened) => {
                    log_line!("control: the stream is open");
                    self.status.inner.borrow_mut().connected = Some(true);
                }
                Some(StreamEvent::Closed(reason)) => {
                    self.versions.discard_waiting();
                    if self.status.inner.borrow_mut().connected.replace(false) == Some(true) {
                        log_line!("control: the stream is closed; the current configuration stays in effect");
                    }
                    if let Some(reason) = reason {
                        self.perform(vec![VersionAction::Refuse { version: None, reason }]);
                    }
                }
                None => return false,
            },
            () = next_hangup => self.reload_pending = true,
        }
        self.start_next_change();
        true
    }

    /// Runs a transition of the version state machine off the serving thread, since parsing, comparing or
    /// freeing a large version takes milliseconds.
    async fn update_versions(
        &mut self,
        run: impl FnOnce(&mut VersionTracker) -> Vec<VersionAction> + Send + 'static,
    ) {
        let mut versions = std::mem::take(&mut self.versions);
        let finished = tokio::task::spawn_blocking(move || {
            let steps = run(&mut versions);
            (versions, steps)
        });
        match finished.await {
            Ok((versions, steps)) => {
                self.versions = versions;
                self.perform(steps);
            }
            // The transition is not expected to panic. If it does, the configuration in effect stays, and the
            // next start loads it from disk.
            Err(e) => log_line!("control: no more versions are applied: {e}"),
        }
    }

    /// Starts the next pending change unless one is in progress. Versions go before reloads.
    fn start_next_change(&mut self) {
        if self.running.is_some() {
            return;
        }
        let change = match (self.pending_version.take(), self.reload_pending) {
            (Some(version), _) => Change::Version(version),
            (None, true) => Change::Reload,
            (None, false) => return,
        };
        if matches!(change, Change::Reload) {
            self.reload_pending = false;
        }
        let work = ChangeJob {
            file: self.file.clone(),
            document: self.document.borrow().clone(),
            before: self.installation.clone(),
            store: self.store.clone(),
            events: self.events.clone(),
        };
        self.running = Some(tokio::task::spawn_local(work.run(change)));
    }

    fn perform(&mut self, steps: Vec<VersionAction>) {
        for step in steps {
            match step {
                VersionAction::Apply(version) => self.pending_version = Some(version),
                VersionAction::Acknowledge { version } => {
                    self.status.inner.borrow_mut().acknowledged += 1;
                    self.queue_answer(json!({"version": version, "accepted": true}));
                }
                VersionAction::Refuse { version, reason } => {
                    let reasons = match &reason {
                        Refusal::Faults(all) => all.clone(),
                        other => vec![other.to_string()],
                    };
                    // A superseded version is not an error.
                    if !matches!(reason, Refusal::Superseded { .. }) {
                        let number = version.map_or("without a number".to_owned(), |v| v.to_string());
                        log_line!("control: version {number} is refused: {}", reasons.join("; "));
                        self.status.refused(version, reasons.clone());
                    }
                    self.queue_answer(json!({"version": version, "accepted": false, "reasons": reasons}));
                }
            }
        }
    }

    /// Queues an answer without waiting, since a control service that accepts no answers must not block a
    /// reload.
    fn queue_answer(&self, answer: Value) {
        if let Some(Err(_)) = self.answer_queue.as_ref().map(|to| to.try_send(answer)) {
            log_line!("control: an answer is dropped, since the queue of answers is full or closed");
        }
    }

    async fn finish_change(&mut self, done: FinishedChange) {
        let FinishedChange { change, document, result } = done;
        let applied = match result {
            Ok(applied) => applied,
            Err(reasons) => {
                match change {
                    Change::Version(_) => {
                        self.update_versions(|v| v.finish(Err(reasons))).await;
                    }
                    Change::Reload => {
                        log_line!("configuration not read again, the previous one stays:");
                        reasons.iter().for_each(|r| log_line!("{r}"));
                        self.status.refused(None, reasons);
                    }
                }
                return;
            }
        };
        if let Some(listener) = applied.listener {
            log_line!("listen.http: clients are taken at {} now", applied.installation.http);
            self.accept(listener);
        }
        self.resolver.set(&applied.installation);
        let old = std::mem::replace(&mut self.installation, applied.installation);
        let before = document.map(|new| std::mem::replace(&mut self.document.borrow_mut().0, new));
        let mut current = None;
        if let Change::Version(version) = &change {
            current = self.document.borrow_mut().1.replace(version.clone());
        }
        // Freeing a large configuration takes long enough to stall the serving thread.
        tokio::task::spawn_blocking(move || drop((old, before, current)));
        match change {
            Change::Version(version) => {
                let number = version.version;
                log_line!("configuration: version {number} is in effect");
                self.status.in_effect(Some(number));
                self.update_versions(|v| v.finish(Ok(()))).await;
            }
            Change::Reload => {
                log_line!("configuration: the file is read again and in effect");
                self.status.in_effect(self.versions.in_effect().map(|v| v.version));
            }
        }
    }
}

/// Inputs for validating and applying one configuration.
struct ChangeJob {
    file: PathBuf,
    document: (Document, Option<Version>),
    before: Arc<Installation>,
    store: VersionStore,
    events: Sender<DispatcherEvent>,
}

impl ChangeJob {
    async fn run(self, change: Change) -> FinishedChange {
        let (number, config) = match &change {
            Change::Version(version) => (version.version, Some(version.config.clone())),
            Change::Reload => {
                let current = self.document.1.as_ref();
                (current.map_or(0, |v| v.version), current.map(|v| v.config.clone()))
            }
        };
        let (file, document, before) = (self.file.clone(), self.document.0.clone(), self.before.clone());
        let reload = matches!(change, Change::Reload);
        let checked = tokio::task::spawn_blocking(move || {
            let document = match reload {
                true => config_file::read_document(&file).map_err(|e| vec![e.to_string()])?,
                false => document,
            };
            let installation = document.installation(config.as_deref());
            // Line numbers are meaningful only for the file; a version is reported by key.
            let lines = |p: stairshed_config::Problems| {
                if reload { p.to_string().lines().map(str::to_owned).collect() } else { p.lines() }
            };
            let installation = installation.map_err(lines)?;
            let changes = member_changes(Some(&before), &installation);
            let (removed_destinations, present_destinations) =
                removed_and_current_destinations(Some(&before), &installation);
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
            Err(reasons) => return FinishedChange { change, document: None, result: Err(reasons) },
        };
        let result = self.apply(&change, number, installation, changes).await;
        FinishedChange { change, document: reload.then_some(document).filter(|_| result.is_ok()), result }
    }

    /// Binds the listener, stores the version and passes the configuration to the courier. The first failure
    /// leaves the configuration in effect unchanged.
    async fn apply(
        &self,
        change: &Change,
        number: u64,
        installation: Arc<Installation>,
        changes: MembershipChanges,
    ) -> Result<AppliedChange, Vec<String>> {
        let caps = memory_budget::caps(&installation)?;
        let listener = match installation.http == self.before.http {
            true => None,
            false => {
                let failed = |e| {
                    report(Operation::Listen, &e);
                    vec![format!("listen.http: cannot listen on {}: {e}", installation.http)]
                };
                Some(listen(installation.http).map_err(failed)?)
            }
        };
        if let Change::Version(version) = change {
            self.store.store(version).await.map_err(|why| {
                vec![format!("it cannot be stored, so it would not outlast a restart: {why}")]
            })?;
        }
        let (done, in_effect) = oneshot::channel();
        let configured =
            ConfigurationUpdate { version: number, installation: installation.clone(), caps, changes, done };
        let stopping = || vec!["the courier is stopping".to_owned()];
        self.events
            .send(DispatcherEvent::ConfigurationChanged(Box::new(configured)))
            .await
            .map_err(|_| stopping())?;
        in_effect.await.map_err(|_| stopping())?;
        Ok(AppliedChange { installation, listener })
    }
}

/// Stream of versions from the control service, reopened with backoff whenever it ends.
struct VersionStream {
    url: Url,
    node: String,
    current: Rc<RefCell<Option<u64>>>,
    max_bytes: u64,
    memory_budget: MemoryBudget,
    idle_timeout: Duration,
}

impl VersionStream {
    async fn run(self, event_sender: Sender<StreamEvent>) {
        let mut backoff = INITIAL_BACKOFF;
        while !event_sender.is_closed() {
            let mut line_received = false;
            let why = self.run_connection(&event_sender, &mut line_received).await;
            if event_sender.send(StreamEvent::Closed(why)).await.is_err() {
                return;
            }
            if line_received {
                backoff = INITIAL_BACKOFF;
            }
            // Jitter keeps couriers that lost the same service from reconnecting at the same moment.
            sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads one connection until it ends and sets `line_received` once a line has arrived. Returns a refusal
    /// if the service broke a limit.
    async fn run_connection(
        &self,
        event_sender: &Sender<StreamEvent>,
        line_received: &mut bool,
    ) -> Option<Refusal> {
        let mut connection = connect(&self.url).await?;
        let current = self.current.borrow().map_or(String::new(), |v| format!("&version={v}"));
        let request = Request::get(format!("{}?node={}{current}", self.url.path, self.node))
            .header(header::HOST, self.url.address.to_string())
            .body(Full::<Bytes>::default())
            .ok()?;
        let answer = connection.open_stream(request, RESPONSE_TIMEOUT).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        event_sender.send(StreamEvent::Opened).await.ok()?;
        let memory_max_bytes = self.memory_budget.ledger.cap(Purpose::Configuration) / MEMORY_PER_TEXT_BYTE;
        let (max_bytes, key) = (self.max_bytes, "control.version_most")
            .min((memory_max_bytes, "as memory.configuration allows"));
        let (mut body, mut lines) = (answer.into_body(), LineBuffer::new(max_bytes as usize));
        let mut line_started: Option<Instant> = None;
        while let Ok(piece) = connection.next_chunk(&mut body, self.idle_timeout).await {
            if lines.push(&piece).is_err() {
                let why = format!("longer than {max_bytes} bytes ({key})");
                return Some(Refusal::Unreadable(why));
            }
            for line in lines.by_ref() {
                (line_started, *line_received) = (None, true);
                if !line.iter().all(u8::is_ascii_whitespace) {
                    event_sender.send(StreamEvent::Line(line)).await.ok()?;
                }
            }
            let open = lines.has_buffered_bytes().then(|| *line_started.get_or_insert_with(Instant::now));
            if open.is_some_and(|since| since.elapsed() > LINE_TIMEOUT) {
                return Some(Refusal::Unreadable("its line has no end".to_owned()));
            }
        }
        None
    }
}

/// Connects to the control service; `None` if that fails.
async fn connect(url: &Url) -> Option<HttpConnection> {
    HttpConnection::connect(url.address, CONNECT_TIMEOUT, Operation::ConnectControl).await.ok()
}

/// Posts answers in order, retrying each until the control service accepts or rejects it.
async fn post_answers(url: Url, node: String, mut queue: Receiver<Value>, current: Rc<RefCell<Option<u64>>>) {
    while let Some(mut answer) = queue.recv().await {
        if answer["accepted"] == true {
            *current.borrow_mut() = answer["version"].as_u64();
        }
        answer["node"] = json!(node);
        answer["in_effect"] = json!(*current.borrow());
        let mut backoff = INITIAL_BACKOFF;
        // A 4xx status ends the retries, since the same answer would be rejected again.
        while !post_answer(&url, &answer).await.is_some_and(|s| s.is_success() || s.is_client_error()) {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Posts one answer on a new connection. On a reused one, a duplicated response to the previous answer could
/// be taken for the response to this one.
async fn post_answer(url: &Url, answer: &Value) -> Option<StatusCode> {
    let mut connection = connect(url).await?;
    let request = Request::post(format!("{}/answers", url.path.trim_end_matches('/')))
        .header(header::HOST, url.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(answer.to_string())))
        .ok()?;
    Some(
        connection
            .send_request(request, Instant::now() + RESPONSE_TIMEOUT, |status| StatusCode::OK == status)
            .await
            .ok()?
            .status,
    )
}

impl From<io::Error> for StartupError {
    fn from(e: io::Error) -> Self {
        StartupError::Invalid("configuration", e.to_string())
    }
}
