//! An HTTP/1.1 client connection that is polled by its owner instead of a background task. Dropping it closes
//! the socket at once, and whether any byte of a request was written is always known.

use crate::socket;
use crate::system_errors::{Errno, Operation, Policy, RetryPause, report};
use crate::upstream::connection_status::CloseReason;
use crate::upstream::response_head::ResponseHead;
use crate::upstream::response_identity::ResponseIdentity;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stairshed_health::answers::AnswerProfile;
use stairshed_memory::Charge;
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::future::{Future, poll_fn};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum time from the first byte of a response head to its end. Without it, a head that never ends would
/// occupy a slot of the endpoint until the call's deadline.
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time to read the body of a response after its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of a response body, and of hyper's buffer.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of response bytes read from a connection after it has failed.
const MAX_LATE_HEAD_BYTES: usize = 4096;

impl ResponseProgress {
    /// Whether the endpoint reports by its status that the message is over and must not be sent again.
    pub fn is_gone(self, profile: &AnswerProfile) -> bool {
        self.status.is_some_and(|status| profile.is_gone(status))
    }

    /// Until when the response forbids sending more.
    pub fn blocked_until(self, profile: &AnswerProfile) -> Option<Instant> {
        let heeded = self.status.is_some_and(|status| profile.heeds_retry_after(status));
        self.wait_until.max(self.retry_after.filter(|_| heeded))
    }
}

/// The socket, the number of bytes written to it, and what has been received.
struct Transport {
    stream: TcpStream,
    written: Cell<u64>,
    received: Rc<ReceiveState>,
    read_pause: RefCell<RetryPause>,
    write_pause: RefCell<RetryPause>,
}

/// The response head of the latest exchange, and the latest socket error.
#[derive(Default)]
struct ReceiveState {
    /// Whether a byte of the request of the latest exchange has been written.
    request_started: Cell<bool>,
    head: RefCell<ResponseHead>,
    failure: Cell<Option<SocketFailure>>,
}

/// A read or write on a socket that failed with a system error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SocketFailure {
    Read(io::ErrorKind),
    Write(io::ErrorKind),
}

impl fmt::Display for SocketFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SocketFailure::Read(kind) => write!(f, "read: {kind}"),
            SocketFailure::Write(kind) => write!(f, "write: {kind}"),
        }
    }
}

/// Reports the progress of an exchange to code that does not own the connection. It does not keep the
/// connection open.
pub struct ProgressHandle(Rc<ReceiveState>);

impl ProgressHandle {
    /// Whether a byte of the request has been written.
    pub fn is_request_started(&self) -> bool {
        self.0.request_started.get()
    }

    /// What has been received so far.
    pub fn progress(&self) -> ResponseProgress {
        let head = self.0.head.borrow();
        ResponseProgress {
            status: head.status().or_else(|| head.provisional_status()),
            wait_until: head.blocked_until().filter(|_| !is_planted(PlantedFault::ToldWaitIgnored)),
            retry_after: head.retry_after().filter(|_| !is_planted(PlantedFault::ToldWaitIgnored)),
            failure: self.0.failure.get(),
        }
    }
}

/// What has been received of a response so far, whether or not it could be read to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The status code in the status line.
    pub status: Option<u16>,
    /// Until when `Wait-Ms` forbids sending more.
    pub wait_until: Option<Instant>,
    /// Until when `Retry-After` forbids sending more, if the profile of the pool heeds it.
    pub retry_after: Option<Instant>,
    /// The latest socket error.
    pub failure: Option<SocketFailure>,
}

/// Adapts [`Transport`] to tokio's I/O traits and records what is read and written.
#[derive(Clone)]
struct TransportIo(Rc<Transport>);

impl AsyncRead for TransportIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match ready!(socket::poll_read(&self.0.stream, cx, buf, &mut self.0.read_pause.borrow_mut())) {
            Ok(()) => self.0.received.head.borrow_mut().feed(&buf.filled()[before..]),
            Err(e) => return self.0.failed(SocketFailure::Read(e.kind()), e),
        }
        // hyper parses informational responses as long as they come, without yielding in between.
        if self.0.received.head.borrow().is_endless() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "too many informational responses");
            return self.0.failed(SocketFailure::Read(error.kind()), error);
        }
        Poll::Ready(Ok(()))
    }
}

/// Whether a call on a socket that does not wait must be repeated. Reports the error.
fn is_interrupted(error: &io::Error) -> bool {
    error.kind() != io::ErrorKind::WouldBlock && socket::is_transient(Operation::SocketRead, error)
}

impl Transport {
    /// Records a socket error, after reading what the peer sent before it.
    fn failed<T>(&self, failure: SocketFailure, error: io::Error) -> Poll<io::Result<T>> {
        self.received.failure.set(Some(failure));
        self.read_remaining_head();
        Poll::Ready(Err(error))
    }

    /// Reads the response head that arrived before the connection failed. The exchange still counts as
    /// failed, but restrictions in the head (a wait, a 410) apply.
    fn read_remaining_head(&self) {
        let mut bytes = [0; MAX_LATE_HEAD_BYTES];
        let mut left = MAX_LATE_HEAD_BYTES;
        while left > 0 {
            match (&*SockRef::from(&self.stream)).read(&mut bytes[..left]) {
                Ok(number @ 1..) => {
                    self.received.head.borrow_mut().feed(&bytes[..number]);
                    left -= number;
                }
                Err(e) if is_interrupted(&e) => {}
                _ => return,
            }
        }
    }

    /// Peeks at one byte without blocking: 1 if there is data, 0 if the peer has closed its side.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        loop {
            match SockRef::from(&self.stream).peek(&mut byte) {
                Err(e) if is_interrupted(&e) => {}
                result => return result,
            }
        }
    }
}

impl TransportIo {
    fn write(
        &self,
        cx: &mut Context,
        f: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        match ready!(socket::poll_write(&self.0.stream, cx, f, &mut self.0.write_pause.borrow_mut())) {
            Ok(number) => {
                self.0.received.request_started.set(true);
                self.0.written.set(self.0.written.get() + number as u64);
                Poll::Ready(Ok(number))
            }
            Err(e) => self.0.failed(SocketFailure::Write(e.kind()), e),
        }
    }
}

impl AsyncWrite for TransportIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |s| s.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

type Connection = Pin<Box<http1::Connection<TokioIo<TransportIo>, Full<Bytes>>>>;

/// hyper's connection future, which does the I/O while the owner waits for a request or a body.
enum ConnectionDriver {
    Running(Connection),
    Ended(CloseReason),
}

impl ConnectionDriver {
    fn poll(&mut self, cx: &mut Context) {
        if let ConnectionDriver::Running(io) = self
            && let Poll::Ready(end) = io.as_mut().poll(cx)
        {
            *self = ConnectionDriver::Ended(close_reason_of(&end));
        }
    }
}

/// Why a connection ended. hyper reports unsolicited bytes as an error without a source.
fn close_reason_of(end: &Result<(), hyper::Error>) -> CloseReason {
    match end {
        Err(e) if e.source().is_none() && !e.is_closed() && !e.is_incomplete_message() => {
            CloseReason::UnsolicitedBytes
        }
        _ => CloseReason::ClosedByPeer,
    }
}

/// The number of the next connection of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A client connection that carries one exchange at a time.
pub struct HttpConnection {
    transport: Rc<Transport>,
    sender: SendRequest<Full<Bytes>>,
    driver: ConnectionDriver,
    number: u64,
    /// The complete responses read on this connection, to detect a second copy of one.
    responses: Vec<ResponseIdentity>,
    _reservation: Option<(OwnedSemaphorePermit, Charge)>,
}

/// Why a connection could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    #[error("it did not come up within {0:?}")]
    TimedOut(Duration),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Reports the system's error, and returns its policy.
    pub fn report(&self, operation: Operation) -> Policy {
        match self {
            ConnectError::Io(e) => report(operation, e),
            ConnectError::TimedOut(_) | ConnectError::Http(_) => Policy::FailAttempt,
        }
    }

    /// The system's error number, if it has one.
    pub fn errno(&self) -> Option<Errno> {
        match self {
            ConnectError::Io(e) => Some(Errno::of(e)),
            ConnectError::TimedOut(_) | ConnectError::Http(_) => None,
        }
    }
}

/// Connects, with `within` as the time-out.
///
/// # Errors
/// The connection was not established in time, or the system reported an error.
pub async fn connect_stream(to: SocketAddr, within: Duration) -> Result<TcpStream, ConnectError> {
    let connected = timeout(within, TcpStream::connect(to)).await;
    let stream = connected.map_err(|_| ConnectError::TimedOut(within))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No byte of the request was written.
    #[error("no byte of the request was written")]
    NotSent,
    /// A connection was available, but the request may no longer be written, for this reason.
    #[error("{0}")]
    Withheld(&'static str),
    /// The connection failed after all or part of the request was written.
    #[error("the connection broke with the request out")]
    ConnectionBroken,
    /// The deadline passed after all or part of the request was written.
    #[error("no answer in time")]
    TimedOut,
}

/// Why a streamed response body has ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    #[error("silent for {0:?}")]
    IdleTimeout(Duration),
    #[error("ended by the other side")]
    Ended,
    #[error("broken: {0}")]
    Broken(hyper::Error),
}

/// A response, possibly one that could not be read to its end.
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// When the head was complete.
    pub received_at: Instant,
    /// Whether head and body are well-formed and complete. An incomplete response is invalid, whatever its
    /// status.
    pub complete: bool,
    /// Whether the connection can carry another request, or why not.
    pub reusable: Result<(), CloseReason>,
    /// Distinguishes it from other responses; None if it is incomplete.
    pub identity: Option<ResponseIdentity>,
}

impl HttpResponse {
    /// Whether it equals an earlier response on its connection. It may be a second copy of that one, so it
    /// proves nothing about its own request.
    pub fn is_repeat(&self) -> bool {
        self.reusable == Err(CloseReason::RepeatedResponse)
    }

    /// A response whose remainder after the status line cannot be read.
    fn unreadable(status: StatusCode, received_at: Instant) -> Self {
        let headers = HeaderMap::new();
        let reusable = Err(CloseReason::AttemptFailed);
        HttpResponse { status, headers, received_at, complete: false, reusable, identity: None }
    }
}

/// Waits for a response head until `until`, or until [`HEAD_TIMEOUT`] after its first byte if that is
/// earlier. None on a time-out.
async fn head_within<F: Future>(transport: &Transport, until: Instant, work: F) -> Option<F::Output> {
    let (mut work, mut end) = (pin!(work), pin!(sleep_until(until)));
    poll_fn(|cx| {
        if let Poll::Ready(out) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(out));
        }
        let end_at =
            transport.received.head.borrow().started_at().map_or(until, |at| until.min(at + HEAD_TIMEOUT));
        if end.deadline() != end_at {
            end.as_mut().reset(end_at);
        }
        end.as_mut().poll(cx).map(|()| None)
    })
    .await
}

/// Polls a future together with the connection that it depends on.
async fn drive_connection<F: Future>(driver: &mut ConnectionDriver, work: F) -> F::Output {
    let mut work = pin!(work);
    poll_fn(|cx| {
        driver.poll(cx);
        work.as_mut().poll(cx)
    })
    .await
}

impl HttpConnection {
    /// Connects, with `within` as the time-out. An error of the system is reported for this operation.
    ///
    /// # Errors
    /// The connection was not established in time, or the system or hyper reported an error.
    pub async fn connect(
        to: SocketAddr,
        within: Duration,
        operation: Operation,
    ) -> Result<Self, ConnectError> {
        let stream = connect_stream(to, within).await.inspect_err(|error| {
            error.report(operation);
        })?;
        Self::on_stream(stream, None).await
    }

    /// Uses a stream that is connected. `reservation` holds the socket permit and the memory of the
    /// connection; None if they are accounted for elsewhere.
    ///
    /// # Errors
    /// hyper reported an error.
    pub async fn on_stream(
        stream: TcpStream,
        reservation: Option<(OwnedSemaphorePermit, Charge)>,
    ) -> Result<Self, ConnectError> {
        let transport = Rc::new(Transport {
            stream,
            written: Cell::new(0),
            received: Rc::default(),
            read_pause: RefCell::default(),
            write_pause: RefCell::default(),
        });
        let io = TokioIo::new(TransportIo(transport.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(MAX_BODY_BYTES).handshake(io).await?;
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Ok(HttpConnection {
            transport,
            sender,
            driver: ConnectionDriver::Running(Box::pin(driver)),
            number,
            responses: Vec::new(),
            _reservation: reservation,
        })
    }

    /// The number of the connection in this process, counted from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of complete responses read on this connection.
    pub fn response_count(&self) -> usize {
        self.responses.len()
    }

    /// When the latest data arrived on this connection, whether or not it was read at once.
    pub fn last_data_received(&self) -> Instant {
        let now = Instant::now();
        let age = socket::last_data_age(&self.transport.stream).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
    }

    /// A handle on the progress of the latest exchange, usable while the exchange runs.
    pub fn progress_handle(&self) -> ProgressHandle {
        ProgressHandle(self.transport.received.clone())
    }

    /// Checks that the peer has neither closed the connection nor sent unsolicited bytes. It asks the kernel,
    /// since the runtime may not have seen a close yet, and a request written then would count as one that
    /// may have run. It also polls the driver, which ends if it has already read surplus bytes, such as a
    /// second copy of a response, that the next call would take for its own response.
    ///
    /// # Errors
    /// Why the connection cannot be used again.
    pub fn check(&mut self) -> Result<(), CloseReason> {
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        if let ConnectionDriver::Ended(reason) = self.driver {
            return Err(reason);
        }
        match self.transport.peek() {
            Ok(1..) => Err(CloseReason::UnsolicitedBytes),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && !self.sender.is_closed() => Ok(()),
            _ => Err(CloseReason::ClosedByPeer),
        }
    }

    /// Sends a request and waits for the head of its response, without a time limit.
    async fn send_and_await_head(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestError> {
        let before = self.transport.written.get();
        if drive_connection(&mut self.driver, self.sender.ready()).await.is_err() {
            return Err(RequestError::NotSent);
        }
        let response = self.sender.try_send_request(request);
        drive_connection(&mut self.driver, response).await.map_err(|e| {
            let unsent = e.message().is_some() || self.transport.written.get() == before;
            if unsent { RequestError::NotSent } else { RequestError::ConnectionBroken }
        })
    }

    /// Sends a request and waits for the complete response until `until`. `proves_delivery` is whether a
    /// response with this status proves delivery even if the rest cannot be read.
    ///
    /// # Errors
    /// There is no response. The connection must not be used again after an error.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Instant,
        proves_delivery: impl Fn(u16) -> bool,
    ) -> Result<HttpResponse, RequestError> {
        let (before, transport) = (self.transport.written.get(), self.transport.clone());
        *transport.received.head.borrow_mut() = ResponseHead::default();
        transport.received.request_started.set(false);
        let started = head_within(&transport, until, self.send_and_await_head(request)).await;
        let received_at = Instant::now();
        let (parts, body) = match started {
            // An informational status here is 101: no upgrade was requested, and what follows is not HTTP.
            Some(Ok(response)) if !response.status().is_informational() => response.into_parts(),
            failed => {
                let head = transport.received.head.borrow();
                // A response that begins with the status of a delivery proves it even if the rest cannot be
                // read. Treated as a reset, it would get a message that must not run twice reported as dead.
                // On a reused connection it may be the remainder of a second copy of an earlier response.
                let delivered = head
                    .status()
                    .filter(|status| self.responses.is_empty() && proves_delivery(*status))
                    .and_then(|status| StatusCode::from_u16(status).ok());
                return match (failed, delivered) {
                    (Some(Err(RequestError::NotSent)), _) => Err(RequestError::NotSent),
                    (_, Some(status)) => Ok(HttpResponse::unreadable(status, received_at)),
                    (Some(Err(error)), None) => Err(error),
                    (None, None) if transport.written.get() == before => Err(RequestError::NotSent),
                    (None, None) if head.started_at().is_none() => Err(RequestError::TimedOut),
                    _ => Err(RequestError::ConnectionBroken),
                };
            }
        };
        // Limits what is read of a body that does not end, or not where its head says.
        let body = http_body_util::Limited::new(body, MAX_BODY_BYTES).collect();
        let body = timeout(BODY_TIMEOUT, drive_connection(&mut self.driver, body)).await;
        let body = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
        let (status, headers) = (parts.status, parts.headers);
        let Some(body) = body else {
            let reusable = Err(CloseReason::AttemptFailed);
            // On a reused connection this, too, may be the remainder of a second copy.
            if !self.responses.is_empty() {
                return Err(RequestError::ConnectionBroken);
            }
            return Ok(HttpResponse {
                status,
                headers,
                received_at,
                complete: false,
                reusable,
                identity: None,
            });
        };
        let identity = ResponseIdentity::of(status, &headers, &body);
        let reusable = match self.responses.contains(&identity) {
            true => Err(CloseReason::RepeatedResponse),
            false if status == StatusCode::GONE => Err(CloseReason::MessageGone),
            false => self.await_reusable().await,
        };
        self.responses.push(identity);
        Ok(HttpResponse { status, headers, received_at, complete: true, reusable, identity: Some(identity) })
    }

    /// Whether the connection can carry another request after a complete response.
    async fn await_reusable(&mut self) -> Result<(), CloseReason> {
        let ready = drive_connection(&mut self.driver, self.sender.ready());
        // If the wait ended with an error, `check` returns the reason.
        timeout(BODY_TIMEOUT, ready).await.map_err(|_| CloseReason::AttemptFailed)?.ok();
        self.check()
    }

    /// Sends a request with a streamed response and waits `within` for its head. The body is read with
    /// [`HttpConnection::next_chunk`].
    ///
    /// # Errors
    /// There is no response head in time.
    pub async fn open_stream(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, RequestError> {
        timeout(within, self.send_and_await_head(request)).await.unwrap_or(Err(RequestError::TimedOut))
    }

    /// The next chunk of a body.
    ///
    /// # Errors
    /// The body ended, the connection failed, or nothing arrived `within` this time.
    pub async fn next_chunk(&mut self, body: &mut Incoming, within: Duration) -> Result<Bytes, StreamEnd> {
        loop {
            let frame = timeout(within, drive_connection(&mut self.driver, body.frame())).await;
            let frame = frame.map_err(|_| StreamEnd::IdleTimeout(within))?.ok_or(StreamEnd::Ended)?;
            if let Ok(data) = frame.map_err(StreamEnd::Broken)?.into_data() {
                return Ok(data);
            }
        }
    }
}
