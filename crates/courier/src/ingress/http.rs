//! The clients' side: takes messages in over HTTP, and tells whether the courier is ready.

use crate::clock::unix_time;
use crate::events::{CourierEvent, DEFAULT_RETRY_AFTER, Reply, ReplyTo, Submission, refusal_reason};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::message_headers::{Named, Unfit};
use crate::ingress::rejection::{ConnectionRejecter, Speaks, Why};
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use stairshed_journal::Letter;
use stairshed_memory::{Charge, Guest, Purpose, Telling};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// A longer body is read no further and costs its connection.
const BODY_DRAINED: usize = 1024 * 1024;
/// A client is owed an answer or a close within 3 s of connecting: so long it may stay silent, a head may
/// take from its first byte, and a body from the end of its head. Usual clients connect ahead, too, and send
/// a second or two later: a close before that fails their request.
const SILENT_TIME: Duration = Duration::from_millis(2500);
const HEAD_TIME: Duration = Duration::from_millis(700);
const BODY_TIME: Duration = Duration::from_millis(700);
/// A connection without an open request may be closed after this time, where room is needed.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// A new connection's request is mostly there already and read by then.
const FRESH_TIME: Duration = Duration::from_millis(10);
const HEAD_MOST: usize = 16 * 1024;
/// What a client's connection takes: its task, buffers of hyper's, what is made of a head. Measured with
/// 300 connections that each had served a request; tests/memory.rs holds it against the allocator.
const LINE_BYTES: u64 = 21_000;
/// Well under the time for which a client waits.
const PATIENCE: Duration = Duration::from_millis(300);

/// Standing of the program, as clients may know it.
#[derive(Default)]
pub struct ServerState {
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Told to all connections when the courier stops.
    pub connections: RefCell<BTreeMap<u64, Rc<Line>>>,
    next: Cell<u64>,
    /// The task that takes clients in; it changes with the address.
    accepting: RefCell<Option<AbortHandle>>,
}

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has come on it yet.
    Silent,
    /// Part of a head has come.
    Head,
    /// A request is being read or judged.
    Busy,
    /// Between requests; `well` if the last one was not at fault.
    Idle { well: bool },
}

/// One client's connection.
pub struct Line {
    stage: Cell<Stage>,
    /// Since when it stands there.
    since: Cell<Instant>,
    framing: RefCell<Framing>,
    close: Notify,
    /// Closes it whatever has come on it.
    drop: Notify,
    /// The memory of the connection, free for the next as soon as this one is to be closed.
    room: RefCell<Option<Charge>>,
}

impl Line {
    fn new(room: Charge) -> Self {
        Line {
            stage: Cell::new(Stage::Silent),
            since: Cell::new(Instant::now()),
            framing: RefCell::default(),
            close: Notify::new(),
            drop: Notify::new(),
            room: RefCell::new(Some(room)),
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    fn heard(&self, bytes: &[u8]) {
        self.framing.borrow_mut().hear(bytes);
        if matches!(self.stage.get(), Stage::Silent | Stage::Idle { .. }) {
            self.enter(Stage::Head);
        }
    }

    /// When it is closed for want of a request.
    fn due(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Silent => Some(self.since.get() + SILENT_TIME),
            Stage::Head => Some(self.since.get() + HEAD_TIME),
            Stage::Busy | Stage::Idle { .. } => None,
        }
    }

    /// How readily it is closed to make room: low first, None not at all. What has never handed in anything
    /// goes before a usual client's connection.
    fn use_of(&self) -> Option<u8> {
        let age = self.since.get().elapsed();
        match self.stage.get() {
            Stage::Silent if age > FRESH_TIME => Some(0),
            Stage::Idle { well: false } => Some(1),
            Stage::Idle { .. } if age > IDLE_TIME => Some(2),
            Stage::Head if age > FRESH_TIME => Some(3),
            // Clients that ask once and keep their connection would shut out all that come within that time.
            Stage::Idle { .. } => Some(4),
            _ => None,
        }
    }
}

/// What can be seen of a request's frame only in its raw bytes: hyper drops a length beside a transfer
/// coding, or a second equal one, without a word, and keeps what follows a body for the next request.
#[derive(Default)]
struct Framing {
    line: Vec<u8>,
    begun: bool,
    /// The head has ended.
    ended: bool,
    lengths: usize,
    /// Bytes since the head's end.
    behind: usize,
}

const LENGTH: &[u8] = b"content-length";

impl Framing {
    fn hear(&mut self, bytes: &[u8]) {
        for (n, byte) in bytes.iter().enumerate() {
            if self.ended {
                self.behind += bytes.len() - n;
                return;
            }
            match byte {
                b'\n' if self.line.is_empty() => self.ended = self.begun,
                b'\n' => {
                    let name = self.line.get(..LENGTH.len());
                    self.lengths += usize::from(name.is_some_and(|l| l.eq_ignore_ascii_case(LENGTH)));
                    self.line.clear();
                }
                b'\r' => {}
                _ => {
                    self.begun = true;
                    self.line.extend((self.line.len() < LENGTH.len()).then_some(*byte));
                }
            }
        }
    }

    /// Why a request with a body of this length must not be taken: its end is in doubt, and another may be
    /// hidden behind it. Clients send one at a time.
    fn fault(&self, length: Option<u64>) -> Option<(StatusCode, &'static str)> {
        match length {
            None => {
                Some((StatusCode::LENGTH_REQUIRED, "a Content-Length, and nothing else, tells the length\n"))
            }
            _ if self.lengths > 1 => Some((StatusCode::BAD_REQUEST, "more than one length\n")),
            Some(length) if self.behind as u64 > length => {
                Some((StatusCode::BAD_REQUEST, "more than the length says\n"))
            }
            Some(_) => None,
        }
    }
}

/// A client's socket, with its connection told what comes.
struct Ear {
    stream: TcpStream,
    line: Rc<Line>,
}

impl AsyncRead for Ear {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(socket::poll_read(&self.stream, cx, buf))?;
        if buf.filled().len() > before {
            self.line.heard(&buf.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Ear {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        socket::poll_write(&self.stream, cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ServerState {
    /// The task that takes clients in is another.
    pub fn set_accept_task(&self, task: AbortHandle) {
        *self.accepting.borrow_mut() = Some(task);
    }

    /// Takes no more clients in.
    pub fn close_listener(&self) {
        if let Some(task) = self.accepting.borrow_mut().take() {
            task.abort();
        }
    }

    /// Readiness off; idle connections close, the others after their answer.
    pub fn begin_shutdown(&self) {
        self.ready.set(false);
        self.stopping.set(true);
        self.connections.borrow().values().for_each(|line| line.close.notify_one());
    }

    /// Closes the connection that is of least use, if one can go.
    fn shed(&self) -> bool {
        let mut open = self.connections.borrow_mut();
        // In a flood of newcomers the silent ones show in a moment, and go before what has served.
        if open.values().filter(|line| line.use_of().is_none()).count() * 4 > open.len() {
            return false;
        }
        let least = open.iter().filter_map(|(id, line)| Some((line.use_of()?, line.since.get(), *id))).min();
        let line = least.and_then(|(_, _, id)| open.remove(&id));
        let gone = line.inspect(|line| {
            line.drop.notify_one();
            line.room.take();
        });
        gone.is_some()
    }
}

/// Who says what a request means.
pub enum Routing {
    /// PROTOCOL: the path names a class, `Envelope` the destination.
    Platform { classes: Vec<String> },
    /// The routes of what is in effect.
    Routes(ActiveConfig),
}

pub struct HttpServer {
    pub routing: Routing,
    pub server_state: Rc<ServerState>,
    pub news: Sender<CourierEvent>,
    /// Clients' connections at most.
    pub max_connections: usize,
    pub room: MemoryBudget,
    /// Where clients are told apart, each with its share of the memory: who tells those that there is no room for.
    pub rejecter: Option<Rc<ConnectionRejecter>>,
}

impl HttpServer {
    /// Accepts clients until the task is dropped.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let this = self;
        loop {
            // Out of sockets or of memory for them is backpressure: the one of least use makes room, else the
            // newcomer waits outside. Each closed one lets one in at once, so that hundreds that say nothing
            // starve nobody.
            let full = this.server_state.connections.borrow().len() >= this.max_connections
                || this.room.ledger.room(Purpose::Clients) < LINE_BYTES;
            if full && !this.server_state.shed() {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, from)) => {
                    let apart = this.rejecter.as_ref();
                    let from = from.ip();
                    let client = apart.and_then(|_| this.telling(|telling| telling.connection(from)));
                    let guest = client.map(|client| this.room.ledger.guest(client));
                    // One client with its share of the connections is turned away, and others get in.
                    match this.room.ledger.take(Purpose::Clients, LINE_BYTES, guest.as_ref()) {
                        Ok(room) => {
                            drop(tokio::task::spawn_local(this.clone().serve(stream, from, guest, room)))
                        }
                        Err(refused) => {
                            if let Some(rejecter) = apart {
                                let why = Why::from(this.room.refusal(refused));
                                rejecter.turn_away(stream, Speaks::Http, why, false);
                            }
                        }
                    }
                    // A newcomer's request is read before the next may push it out.
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    eprintln!("intake: cannot accept: {e}");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, from: IpAddr, guest: Option<Guest>, room: Charge) {
        let _ = stream.set_nodelay(true);
        let line = Rc::new(Line::new(room));
        let id = self.server_state.next.get();
        self.server_state.next.set(id + 1);
        self.server_state.connections.borrow_mut().insert(id, line.clone());
        let (this, of) = (self.clone(), line.clone());
        let service = service_fn(move |request| {
            let (this, line, guest) = (this.clone(), of.clone(), guest.clone());
            async move {
                line.enter(Stage::Busy);
                let answer = this.handle(request, &line, (from, guest)).await;
                *line.framing.borrow_mut() = Framing::default();
                line.enter(Stage::Idle { well: !answer.status().is_client_error() });
                Ok::<_, Infallible>(answer)
            }
        });
        let mut conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .keep_alive(!self.server_state.stopping.get())
            .serve_connection(TokioIo::new(Ear { stream, line: line.clone() }), service);
        let mut late = pin!(sleep(SILENT_TIME));
        let shed = loop {
            tokio::select! {
                biased;
                () = line.drop.notified() => break true,
                _ = &mut conn => break false,
                () = line.close.notified() => Pin::new(&mut conn).graceful_shutdown(),
                () = late.as_mut() => match line.due() {
                    // A head without an end, or nothing at all, must not hold a socket.
                    Some(due) if due <= Instant::now() => break false,
                    due => late.as_mut().reset(due.unwrap_or_else(|| Instant::now() + HEAD_TIME)),
                },
            }
        };
        self.server_state.connections.borrow_mut().remove(&id);
        if let Some(rejecter) = self.rejecter.as_ref().filter(|_| shed) {
            // Its next request may be on its way already, or half read.
            let heard = line.stage.get() == Stage::Head;
            let stream = conn.into_parts().io.into_inner().stream;
            rejecter.turn_away(stream, Speaks::Http, Why::connections(), heard);
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        line: &Line,
        (from, guest): (IpAddr, Option<Guest>),
    ) -> Response<Full<Bytes>> {
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => match self.server_state.ready.get() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, _) => self.take(request, line, (from, guest)).await,
            (&Method::GET | &Method::HEAD, _) => plain(StatusCode::NOT_FOUND, "no such page\n"),
            _ if matches!(self.routing, Routing::Routes(_)) => self.take(request, line, (from, guest)).await,
            _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if self.server_state.stopping.get() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn take(
        &self,
        request: Request<Incoming>,
        line: &Line,
        (from, guest): (IpAddr, Option<Guest>),
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let guest = self.guest(from, &parts.headers).or(guest);
        let length = body.size_hint().exact();
        if let Some((status, why)) = line.framing.borrow().fault(length) {
            return closing(status, why);
        }
        let length = length.unwrap_or_default();
        if length > BODY_DRAINED as u64 {
            return closing(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n");
        }
        // Many large bodies at once must not take the memory: together they have a fixed room.
        let kept = if length > MAX_BODY_BYTES as u64 { 0 } else { length as usize };
        let body_charge = match self.room.ledger.take(Purpose::BodiesRead, kept as u64, guest.as_ref()) {
            Ok(charge) => charge,
            Err(_) if self.knows(&parts.headers).await => {
                // Of a repeat nothing is kept: it is answered, whatever memory there is.
                return match timeout(BODY_TIME, read(body, 0)).await {
                    Ok(Err(Unread::Large) | Ok(_)) => respond(Reply::Accepted),
                    _ => closing(StatusCode::BAD_REQUEST, "the body broke off\n"),
                };
            }
            Err(refused) => return respond(Reply::OutOfMemory(self.room.refusal(refused))),
        };
        // Read even if the head is at fault, so that the connection can go on.
        let body = match timeout(BODY_TIME, read(body, kept)).await {
            Ok(Ok(body)) => body,
            Ok(Err(Unread::Large)) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n"),
            Ok(Err(Unread::Broken)) => return closing(StatusCode::BAD_REQUEST, "the body broke off\n"),
            Err(_) => return closing(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        };
        // Once more: what is behind the body may have come with it.
        if let Some((status, why)) = line.framing.borrow().fault(Some(length)) {
            return closing(status, why);
        }
        let at = Instant::now();
        let read = match &self.routing {
            Routing::Platform { classes } => letter(classes, parts.uri.path(), &parts.headers, body),
            Routing::Routes(active_config) => active_config.letter(&parts, body),
        };
        let (letter, time_left) = match read {
            Ok(read) => read,
            Err(unfit) => return text(unfit.status, unfit.why),
        };
        let (reply, answered) = oneshot::channel();
        let id = letter.routed.is_some().then(|| letter.id.clone());
        let reply = ReplyTo::Single(reply);
        let offer =
            Submission { letter: Rc::new(letter), time_left, at, reply, bounce: false, body_charge, guest };
        let reply = match timeout(PATIENCE, self.news.send(CourierEvent::Submitted(offer))).await {
            Ok(Ok(())) => answered.await.unwrap_or(Reply::Unavailable),
            _ => Reply::Unavailable,
        };
        let mut answer = respond(reply);
        // The client may have named none.
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(&id).ok()) {
            answer.headers_mut().insert("X-Request-ID", id);
        }
        answer
    }
}

impl HttpServer {
    /// Asks how clients are told apart; None where they are not.
    fn telling<T>(&self, ask: impl FnOnce(&Telling) -> Option<T>) -> Option<T> {
        match &self.routing {
            Routing::Platform { .. } => None,
            Routing::Routes(active_config) => ask(&active_config.get().1.telling),
        }
    }

    /// Who a request that a proxy carries counts for.
    fn guest(&self, from: IpAddr, headers: &HeaderMap) -> Option<Guest> {
        let client = self.telling(|telling| {
            let header = telling.header.as_deref().filter(|_| telling.trusts(from))?;
            Some(telling.request(from, headers.get_all(header).iter().map(HeaderValue::as_bytes)))
        })?;
        Some(self.room.ledger.guest(client))
    }

    /// Whether a request repeats a message that is taken on.
    async fn knows(&self, headers: &HeaderMap) -> bool {
        let Some(id) = Named::read(headers).ok().and_then(|named| named.id) else { return false };
        let (reply, known) = oneshot::channel();
        let asked = self.news.send(CourierEvent::QueryAccepted { id: id.to_owned(), reply });
        matches!(timeout(PATIENCE, asked).await, Ok(Ok(()))) && known.await.unwrap_or(false)
    }
}

/// Reads a message of the platform's from its head. An error is told to the client.
fn letter(
    classes: &[String],
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Letter, Duration), Unfit> {
    let named = Named::read(headers)?;
    let id = named.id.ok_or("no X-Request-ID\n")?;
    let place = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let name = named.class.unwrap_or(place);
    if !classes.iter().any(|c| c == name) {
        return Err("no such class\n".into());
    }
    if place != name {
        return Err("the path names another class\n".into());
    }
    let time_left = named.time_left.ok_or("no X-Timeout\n")?;
    let text = headers.get("Envelope").ok_or("no Envelope\n")?;
    let text = text.to_str().map_err(|_| "Envelope is no text\n")?;
    let destination = envelope(text.trim()).ok_or("Envelope names no destination\n")?;
    let (id, class, key, taken) = (id.to_owned(), name.to_owned(), named.key, unix_time());
    let until = taken + time_left;
    Ok((Letter { id, class, destination, key, taken, until, body, routed: None }, time_left))
}

enum Unread {
    Large,
    Broken,
}

/// Reads a body. `room` is what there is memory for: its length, unless that is too long to be kept.
async fn read(mut body: Incoming, room: usize) -> Result<Bytes, Unread> {
    // At once: one that grows piece by piece would take up to twice the memory that was asked for.
    let (mut kept, mut seen) = (Vec::with_capacity(room), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
        seen += data.len();
        if seen > BODY_DRAINED {
            break;
        }
        if seen <= MAX_BODY_BYTES && seen <= room {
            kept.extend_from_slice(&data);
        } else {
            kept = Vec::new();
        }
    }
    if seen > MAX_BODY_BYTES { Err(Unread::Large) } else { Ok(kept.into()) }
}

/// `dest=7`, perhaps among other fields.
fn envelope(text: &str) -> Option<u64> {
    let fields = text.split([',', ';', '&', ' ']).filter_map(|f| f.trim().split_once('='));
    let mut dests = fields.filter(|(name, _)| *name == "dest").map(|(_, value)| value);
    dests.next()?.parse().ok()
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

fn text(status: StatusCode, text: Cow<'static, str>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(match text {
        Cow::Borrowed(text) => Full::from(text),
        Cow::Owned(text) => Full::from(text),
    });
    *answer.status_mut() = status;
    answer
}

/// An answer after which the connection is of no more use.
fn closing(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    let again = |status, why: Cow<'static, str>, wait: Option<Duration>| {
        let mut answer = text(status, why);
        let wait = format!("{:.3}", wait.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&wait) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    };
    match reply {
        Reply::Accepted => plain(StatusCode::ACCEPTED, ""),
        Reply::Refused { wait } => again(StatusCode::TOO_MANY_REQUESTS, "refused\n".into(), wait),
        Reply::Unavailable => again(StatusCode::SERVICE_UNAVAILABLE, "not now\n".into(), None),
        // The client is owed the reason, since waiting is all that it can do about it.
        Reply::JournalRefused(why) => {
            let why = format!("not taken on: {}\n", refusal_reason(why));
            again(StatusCode::SERVICE_UNAVAILABLE, why.into(), None)
        }
        Reply::OutOfMemory(MemoryRefusal { refused, wait }) => {
            let mut answer = again(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not taken on: {refused}\n").into(),
                Some(wait),
            );
            if let Ok(reason) = HeaderValue::from_str(&refused.reason().to_string()) {
                answer.headers_mut().insert("X-Reason", reason);
            }
            answer
        }
        Reply::TooManyRemembered => again(
            StatusCode::SERVICE_UNAVAILABLE,
            "not taken on: as many messages that have ended are remembered as may be\n".into(),
            None,
        ),
        Reply::UnknownDestination => plain(StatusCode::NOT_FOUND, "no such destination\n"),
        Reply::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

#[cfg(test)]
#[path = "http_test.rs"]
mod tests;
