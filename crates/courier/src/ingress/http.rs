//! HTTP server for clients: accepts messages and answers the readiness check.

use crate::events::{DEFAULT_RETRY_AFTER, DispatcherEvent, Reply, ReplyTo, Submission, refusal_reason};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::client_connection::{
    ClientConnection, ConnectionState, FIRST_BYTE_TIMEOUT, HEAD_TIMEOUT,
};
use crate::ingress::connection_counters::CloseCause;
use crate::ingress::listener::Acceptor;
use crate::ingress::message_headers::{MessageHeaders, RequestError};
use crate::ingress::rejection::{ConnectionRejecter, Protocol, ReceivedInput, Rejection};
use crate::ingress::server_state::ServerState;
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::message_trace;
use crate::socket::{self, PeerWatch, Socket};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use stairshed_clock::StableClock;
use stairshed_journal::AcceptedMessage;
use stairshed_memory::{Charge, ClientAccount, ClientIdentification, Purpose};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::borrow::Cow;
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
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// Longest body of a message that is accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest body that is read and discarded; past this length the connection is closed instead.
const MAX_DISCARDED_BODY_BYTES: usize = 1024 * 1024;
/// Longest time from the end of a head to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_millis(700);
/// Size of the read buffer, which bounds the head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Memory accounted for one client connection: its task, hyper's buffers and the parsed head. Measured with
/// 300 connections that each had served a request; tests/memory.rs compares it with the allocator's figures.
const CONNECTION_BYTES: u64 = 21_000;
/// Time limit for handing a request to the courier's queue, well below the time that a client waits.
const ENQUEUE_TIMEOUT: Duration = Duration::from_millis(300);

/// Planted fault: reads available bytes, and fails if a signal interrupts the read.
fn poll_interruptible_read(
    stream: &TcpStream,
    cx: &mut Context,
    buffer: &mut ReadBuf,
) -> Poll<io::Result<()>> {
    socket::poll_read_repeating(stream, cx, buffer, |e| e.kind() == io::ErrorKind::WouldBlock)
}

/// A client's socket that reports the bytes read to its [`ClientConnection`].
struct ObservedStream {
    socket: Socket,
    connection: Rc<ClientConnection>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if is_planted(PlantedFault::InterruptedReadCloses) {
            ready!(poll_interruptible_read(&self.socket.stream, cx, buf))?;
        } else {
            ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        }
        if buf.filled().len() > before {
            self.connection.bytes_received(&buf.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    /// The HTTP library flushes once its buffer is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.connection.all_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// How a connection ended, and why.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// The HTTP library has closed it, after the answer in progress.
    Finished(CloseCause),
    /// It is to be closed here.
    Closed(CloseCause),
}

/// How a request is mapped to a message.
pub enum Routing {
    /// The platform protocol: the path names the class, the `Envelope` field the destination.
    Platform { classes: Vec<String>, clock: StableClock },
    /// By the routes of the active configuration.
    Routes(ActiveConfig),
}

/// Accepts HTTP clients and hands their messages to the courier.
pub struct HttpServer {
    pub routing: Routing,
    pub server_state: Rc<ServerState>,
    pub events: Sender<DispatcherEvent>,
    /// Limit of open client connections.
    pub max_connections: usize,
    pub memory_budget: MemoryBudget,
    /// Answers connections that are refused or evicted. `None` where clients are not told apart and have no
    /// memory shares; such connections are then closed without an answer.
    pub rejecter: Option<Rc<ConnectionRejecter>>,
}

impl HttpServer {
    /// Accepts connections until the task is dropped.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let this = self;
        let mut acceptor = Acceptor::new(listener);
        loop {
            // At the limit of sockets or memory, the lowest-ranked connection is evicted; if none can be, new
            // ones wait in the listen backlog. Each eviction admits one connection at once, so hundreds of
            // silent connections starve nobody.
            let full = this.server_state.connections.borrow().len() >= this.max_connections
                || this.memory_budget.ledger.room(Purpose::Clients) < CONNECTION_BYTES;
            if full && !this.server_state.evict() {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let (stream, from) = acceptor.accept(|| this.server_state.shed_idle()).await;
            this.clone().admit(stream, from.ip());
            // Lets the new connection's request be read before the next connection may evict it.
            tokio::task::yield_now().await;
        }
    }

    /// Serves a new connection. A client that has used up its share is rejected; others are still admitted.
    fn admit(self: Rc<Self>, stream: TcpStream, from: IpAddr) {
        let client = self.rejecter.as_ref().and_then(|_| {
            self.with_client_rules(|client_identification| client_identification.for_connection(from))
        });
        let client_account = client.map(|client| self.memory_budget.ledger.client_account(client));
        let ledger = &self.memory_budget.ledger;
        match ledger.try_charge(Purpose::Clients, CONNECTION_BYTES, client_account.as_ref()) {
            Ok(memory) => {
                tokio::task::spawn_local(self.serve(stream, from, client_account, memory));
            }
            Err(refused) => {
                if let Some(rejecter) = &self.rejecter {
                    let rejection = Rejection::from(self.memory_budget.refusal(refused));
                    rejecter.reject(stream, Protocol::Http, rejection, ReceivedInput::Nothing);
                }
            }
        }
    }

    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        from: IpAddr,
        client_account: Option<ClientAccount>,
        memory: Charge,
    ) {
        let _ = stream.set_nodelay(true);
        let socket = Socket::new(stream);
        let id = self.server_state.next_id.get();
        self.server_state.next_id.set(id + 1);
        let connection = Rc::new(ClientConnection::new(id, PeerWatch::new(&socket.stream), memory));
        self.server_state.connections.borrow_mut().insert(id, connection.clone());
        let (this, shared) = (self.clone(), connection.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (this, connection, client_account) = (this.clone(), shared.clone(), client_account.clone());
            async move {
                connection.set_state(ConnectionState::Processing);
                let body_length = request.body().size_hint().exact().unwrap_or_default();
                let answer = this.handle(request, &connection, (from, client_account)).await;
                connection.answer_decided(body_length, !answer.status().is_client_error());
                Ok::<_, Infallible>(answer)
            }
        });
        let mut http_conn = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            // A client that closes its sending may still wait for the answer.
            .half_close(true)
            .keep_alive(!self.server_state.stopping.get())
            .serve_connection(
                TokioIo::new(ObservedStream { socket, connection: connection.clone() }),
                service,
            );
        let mut read_timer = pin!(sleep(FIRST_BYTE_TIMEOUT));
        let mut finish_cause = CloseCause::Finished;
        let end = loop {
            tokio::select! {
                biased;
                () = connection.abort.notified() => break ConnectionEnd::Closed(connection.abort_cause.get()),
                _ = &mut http_conn => break ConnectionEnd::Finished(finish_cause),
                () = connection.end.notified() => match connection.state.get() {
                    ConnectionState::Processing => connection.end_of_body.notify_one(),
                    // It closes behind the answer.
                    ConnectionState::WritingAnswer { .. } => {}
                    _ => break ConnectionEnd::Closed(CloseCause::Stopping),
                },
                () = connection.graceful_close.notified() => {
                    finish_cause = CloseCause::Stopping;
                    // The HTTP library closes a connection on which it has read no whole head. The answer to a
                    // request that has begun, or arrived, closes it.
                    let is_busy = matches!(
                        connection.state.get(),
                        ConnectionState::Processing | ConnectionState::WritingAnswer { .. }
                    );
                    if is_busy || connection.is_at_rest() {
                        Pin::new(&mut http_conn).graceful_shutdown();
                    }
                }
                () = read_timer.as_mut() => match connection.read_deadline() {
                    // An incomplete head, or no data at all, must not hold a socket.
                    Some(deadline) if deadline <= Instant::now() => {
                        break ConnectionEnd::Closed(connection.timeout_cause());
                    }
                    deadline => read_timer
                        .as_mut()
                        .reset(deadline.unwrap_or_else(|| Instant::now() + HEAD_TIMEOUT)),
                },
            }
        };
        self.server_state.connections.borrow_mut().remove(&id);
        let (ConnectionEnd::Finished(cause) | ConnectionEnd::Closed(cause)) = end;
        self.server_state.counters.closed(cause, connection.state.get());
        if matches!(end, ConnectionEnd::Finished(_)) {
            return;
        }
        let Some(stream) = Rc::into_inner(http_conn.into_parts().io.into_inner().socket.stream) else {
            return;
        };
        let mut is_request_started = connection.state.get() == ConnectionState::ReadingHead;
        if !is_request_started && socket::has_unread_input(&stream) {
            self.server_state.counters.closed_unread(cause);
            log_line!("clients: a request came as connection {id} was closed: {}", cause.name());
            is_request_started = true;
        }
        match &self.rejecter {
            Some(rejecter) if cause == CloseCause::Evicted => {
                // Its next request may already be on its way or partly read.
                let received =
                    if is_request_started { ReceivedInput::HttpRequest } else { ReceivedInput::Nothing };
                rejecter.reject(stream, Protocol::Http, Rejection::connections(), received);
            }
            _ if is_request_started => self.server_state.unfinished_requests.answer(stream, cause).await,
            _ => {}
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        (from, client_account): (IpAddr, Option<ClientAccount>),
    ) -> Response<Full<Bytes>> {
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => match self.server_state.ready.get() {
                true => static_response(StatusCode::OK, "ready\n"),
                false => static_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, _) => self.accept_message(request, connection, (from, client_account)).await,
            (&Method::GET | &Method::HEAD, _) => static_response(StatusCode::NOT_FOUND, "no such page\n"),
            _ if matches!(self.routing, Routing::Routes(_)) => {
                self.accept_message(request, connection, (from, client_account)).await
            }
            _ => static_response(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if self.server_state.stopping.get() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn accept_message(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        (from, client_account): (IpAddr, Option<ClientAccount>),
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let client_account = self.proxied_client_account(from, &parts.headers).or(client_account);
        let length = body.size_hint().exact();
        if let Some((status, why)) = connection.framing.borrow().error(length) {
            return closing_response(status, why);
        }
        let length = length.unwrap_or_default();
        if length > MAX_DISCARDED_BODY_BYTES as u64 {
            return closing_response(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n");
        }
        // Concurrent large bodies must not exhaust the memory: together they have a fixed budget.
        let kept = if length > MAX_BODY_BYTES as u64 { 0 } else { length as usize };
        let body_charge = match self.memory_budget.ledger.try_charge(
            Purpose::BodiesRead,
            kept as u64,
            client_account.as_ref(),
        ) {
            Ok(charge) => charge,
            Err(refused) => {
                let refusal = self.memory_budget.refusal(refused);
                return match self.reply_without_memory(&parts.headers, refusal).await {
                    // The body of a repeated message is discarded, so it is answered even without memory.
                    Reply::Accepted => tokio::select! {
                        biased;
                        read = timeout(BODY_TIMEOUT, read_body(body, 0)) => match read {
                            Ok(Err(BodyError::TooLarge) | Ok(_)) => reply_response(Reply::Accepted),
                            _ => closing_response(StatusCode::BAD_REQUEST, "the body broke off\n"),
                        },
                        () = connection.end_of_body.notified() => reply_response(Reply::Accepted),
                    },
                    reply => reply_response(reply),
                };
            }
        };
        // The body is read before the header fields are checked, so that the connection stays usable after an
        // error.
        let read = tokio::select! {
            biased;
            read = timeout(BODY_TIMEOUT, read_body(body, kept)) => read,
            () = connection.end_of_body.notified() => return reply_response(Reply::Unavailable),
        };
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => {
                return static_response(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n");
            }
            Ok(Err(BodyError::Incomplete)) => {
                return closing_response(StatusCode::BAD_REQUEST, "the body broke off\n");
            }
            Err(_) => {
                return closing_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n");
            }
        };
        // Checked again: bytes past the body may have arrived with it.
        if let Some((status, why)) = connection.framing.borrow().error(Some(length)) {
            return closing_response(status, why);
        }
        let at = Instant::now();
        let parsed = match &self.routing {
            Routing::Platform { classes, clock } => {
                platform_message(classes, parts.uri.path(), &parts.headers, body, *clock)
            }
            Routing::Routes(active_config) => active_config.message_from_request(&parts, body),
        };
        let (message, time_left) = match parsed {
            Ok(parsed) => parsed,
            Err(error) => return text_response(error.status, error.why),
        };
        if connection.client.has_left() {
            return closing_response(StatusCode::BAD_REQUEST, "the client has closed the connection\n");
        }
        message_trace::log_step(
            &message.id,
            format_args!(
                "received connection={} stopping={}",
                connection.id,
                self.server_state.stopping.get()
            ),
        );
        let traced_id = message.id.clone();
        let (reply, answered) = oneshot::channel();
        let id = message.routed.is_some().then(|| message.id.clone());
        let reply = ReplyTo::Single { reply, client: connection.client.clone() };
        let submission = Submission {
            accepted: Rc::new(message),
            time_left,
            at,
            reply,
            bounce: false,
            body_charge,
            client_account,
        };
        let reply =
            match timeout(ENQUEUE_TIMEOUT, self.events.send(DispatcherEvent::Submitted(submission))).await {
                Ok(Ok(())) if is_planted(PlantedFault::AcceptedBeforeRecord) => {
                    // Keeps the receiver: without it the submission counts as abandoned.
                    tokio::task::spawn_local(answered);
                    Reply::Accepted
                }
                // Without a reply it is not known whether the message is on record.
                Ok(Ok(())) => answered.await.unwrap_or(Reply::Failed),
                _ => Reply::Unavailable,
            };
        let mut answer = reply_response(reply);
        message_trace::log_step(&traced_id, format_args!("answered status={}", answer.status().as_u16()));
        // The courier generates an id where the client sent none, so it is always returned.
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(&id).ok()) {
            answer.headers_mut().insert("X-Request-ID", id);
        }
        answer
    }
}

impl HttpServer {
    /// Calls `ask` with the rules that tell clients apart; `None` where clients are not told apart.
    fn with_client_rules<T>(&self, ask: impl FnOnce(&ClientIdentification) -> Option<T>) -> Option<T> {
        match &self.routing {
            Routing::Platform { .. } => None,
            Routing::Routes(active_config) => ask(&active_config.get().1.client_identification),
        }
    }

    /// The client to account a proxied request to; `None` if the peer is not a trusted proxy.
    fn proxied_client_account(&self, from: IpAddr, headers: &HeaderMap) -> Option<ClientAccount> {
        let client = self.with_client_rules(|client_identification| {
            let header = client_identification
                .header
                .as_deref()
                .filter(|_| client_identification.is_trusted_proxy(from))?;
            Some(
                client_identification
                    .for_request(from, headers.get_all(header).iter().map(HeaderValue::as_bytes)),
            )
        })?;
        Some(self.memory_budget.ledger.client_account(client))
    }

    /// The reply to a request for whose body there is no memory: a repeat of an accepted message is accepted all the
    /// same.
    async fn reply_without_memory(&self, headers: &HeaderMap, refusal: MemoryRefusal) -> Reply {
        let Some(id) = MessageHeaders::read(headers).ok().and_then(|h| h.id) else {
            return Reply::OutOfMemory(refusal);
        };
        let (reply, known) = oneshot::channel();
        let asked = self.events.send(DispatcherEvent::QueryAccepted { id: id.to_owned(), reply });
        if !matches!(timeout(ENQUEUE_TIMEOUT, asked).await, Ok(Ok(()))) {
            // It is not known whether a message with this id is accepted.
            return Reply::Failed;
        }
        match known.await {
            Ok(true) => Reply::Accepted,
            Ok(false) => Reply::OutOfMemory(refusal),
            Err(_) => Reply::Failed,
        }
    }
}

/// Builds a message from a request in the platform protocol. The error is the answer to the client.
fn platform_message(
    classes: &[String],
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
    clock: StableClock,
) -> Result<(AcceptedMessage, Duration), RequestError> {
    let fields = MessageHeaders::read(headers)?;
    let id = fields.id.ok_or("no X-Request-ID\n")?;
    let path_class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let name = fields.class.unwrap_or(path_class);
    if !classes.iter().any(|c| c == name) {
        return Err("no such class\n".into());
    }
    if path_class != name {
        return Err("the path names another class\n".into());
    }
    let time_left = fields.time_left.ok_or("no X-Timeout\n")?;
    let text = headers.get("Envelope").ok_or("no Envelope\n")?;
    let text = text.to_str().map_err(|_| "Envelope is no text\n")?;
    let destination = envelope_destination(text.trim()).ok_or("Envelope names no destination\n")?;
    let (id, class, key, accepted_at) = (id.to_owned(), name.to_owned(), fields.key, clock.now());
    let deadline = accepted_at + time_left;
    Ok((
        AcceptedMessage { id, class, destination, key, accepted_at, deadline, body, routed: None },
        time_left,
    ))
}

/// Why a body was not read whole.
enum BodyError {
    /// Longer than [`MAX_BODY_BYTES`].
    TooLarge,
    /// The connection failed or ended within the body.
    Incomplete,
}

/// Reads a body. `capacity` is its length, for which memory is reserved, or 0 if the body is only to be
/// discarded.
async fn read_body(mut body: Incoming, capacity: usize) -> Result<Bytes, BodyError> {
    // Allocated at once: a buffer that grows would take up to twice the reserved memory.
    let (mut kept, mut seen) = (Vec::with_capacity(capacity), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
        seen += data.len();
        if seen > MAX_DISCARDED_BODY_BYTES {
            break;
        }
        if seen <= MAX_BODY_BYTES && seen <= capacity {
            kept.extend_from_slice(&data);
        } else {
            kept = Vec::new();
        }
    }
    if seen > MAX_BODY_BYTES { Err(BodyError::TooLarge) } else { Ok(kept.into()) }
}

/// Reads the destination from an `Envelope` value: `dest=7`, possibly among other fields.
fn envelope_destination(text: &str) -> Option<u64> {
    let fields = text.split([',', ';', '&', ' ']).filter_map(|f| f.trim().split_once('='));
    let mut dests = fields.filter(|(name, _)| *name == "dest").map(|(_, value)| value);
    dests.next()?.parse().ok()
}

fn static_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

fn text_response(status: StatusCode, text: Cow<'static, str>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(match text {
        Cow::Borrowed(text) => Full::from(text),
        Cow::Owned(text) => Full::from(text),
    });
    *answer.status_mut() = status;
    answer
}

/// An answer that closes the connection, since the rest of its input cannot be trusted or will not be read.
fn closing_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = static_response(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn reply_response(reply: Reply) -> Response<Full<Bytes>> {
    let retry_later = |status, why: Cow<'static, str>, wait: Option<Duration>| {
        let mut answer = text_response(status, why);
        let wait = format!("{:.3}", wait.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&wait) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    };
    match reply {
        Reply::Accepted => static_response(StatusCode::ACCEPTED, ""),
        Reply::Refused { wait } => retry_later(StatusCode::TOO_MANY_REQUESTS, "refused\n".into(), wait),
        Reply::Unavailable => retry_later(StatusCode::SERVICE_UNAVAILABLE, "not now\n".into(), None),
        // Names the reason, since the client can do nothing but wait.
        Reply::JournalRefused(why) => {
            let why = format!("not taken on: {}\n", refusal_reason(why));
            retry_later(StatusCode::SERVICE_UNAVAILABLE, why.into(), None)
        }
        Reply::OutOfMemory(MemoryRefusal { refused, wait }) => {
            let mut answer = retry_later(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not taken on: {refused}\n").into(),
                Some(wait),
            );
            if let Ok(reason) = HeaderValue::from_str(&refused.reason().to_string()) {
                answer.headers_mut().insert("X-Reason", reason);
            }
            answer
        }
        Reply::TooManyRemembered => retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            "not taken on: as many messages that have ended are remembered as may be\n".into(),
            None,
        ),
        Reply::UnknownDestination => static_response(StatusCode::NOT_FOUND, "no such destination\n"),
        Reply::Failed => static_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

#[cfg(test)]
#[path = "http_test.rs"]
mod tests;
