//! One connection to another machine, driven by whoever holds it. There is no task behind it: dropping a
//! link closes its socket at once, and what became of a request is known.

use crate::outbound::connection_status::CloseReason;
use crate::outbound::response_head::ResponseHead;
use crate::outbound::response_identity::ResponseIdentity;
use crate::socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stairshed_memory::Charge;
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

/// How long a head may take from its first byte: one without an end must not hold a slot till the time-out.
const HEAD_TIME: Duration = Duration::from_millis(400);
/// How long the rest of an answer may take once its head is here.
const BODY_TIME: Duration = Duration::from_millis(200);
const BODY_MOST: usize = 64 * 1024;
/// Bytes that are read of an answer once its connection has failed.
const MAX_LATE_HEAD: usize = 4096;

impl ResponseProgress {
    /// The answer says that its message is over.
    pub fn is_over(self) -> bool {
        self.status == Some(StatusCode::GONE.as_u16())
    }
}

/// The socket, how much has been written to it, and what has come.
struct Wire {
    stream: TcpStream,
    written: Cell<u64>,
    progress: Rc<ReceiveState>,
}

/// What the answer of the latest exchange began with, and the last error.
#[derive(Default)]
struct ReceiveState {
    head: RefCell<ResponseHead>,
    failure: Cell<Option<SocketFailure>>,
}

/// A read or a write that the system has failed.
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

/// Tells what an exchange has shown, also to those who do not drive its connection. It does not keep that open.
pub struct ProgressHandle(Rc<ReceiveState>);

impl ProgressHandle {
    /// So far.
    pub fn heard(&self) -> ResponseProgress {
        let head = self.0.head.borrow();
        ResponseProgress {
            status: head.status().or_else(|| head.unended_status()),
            blocked_until: head.blocked_until(),
            failure: self.0.failure.get(),
        }
    }
}

/// What an exchange has shown so far, whether or not its answer could be read to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The status in the first line of the answer.
    pub status: Option<u16>,
    /// Until when the answer forbids to send more.
    pub blocked_until: Option<Instant>,
    pub failure: Option<SocketFailure>,
}

#[derive(Clone)]
struct Tap(Rc<Wire>);

impl AsyncRead for Tap {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match ready!(socket::poll_read(&self.0.stream, cx, buf)) {
            Ok(()) => self.0.progress.head.borrow_mut().hear(&buf.filled()[before..]),
            Err(e) => return self.0.failed(SocketFailure::Read(e.kind()), e),
        }
        Poll::Ready(Ok(()))
    }
}

impl Wire {
    fn failed<T>(&self, failure: SocketFailure, error: io::Error) -> Poll<io::Result<T>> {
        self.progress.failure.set(Some(failure));
        self.hear_rest();
        Poll::Ready(Err(error))
    }

    /// Reads the head of an answer that came before the connection failed. Its exchange stays a failed one, but what it
    /// forbids counts.
    fn hear_rest(&self) {
        let mut bytes = [0; MAX_LATE_HEAD];
        let mut left = MAX_LATE_HEAD;
        while left > 0 {
            match (&*SockRef::from(&self.stream)).read(&mut bytes[..left]) {
                Ok(number @ 1..) => {
                    self.progress.head.borrow_mut().hear(&bytes[..number]);
                    left -= number;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// How many bytes can be read at least, one at most; none if the peer has closed its side.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        loop {
            match SockRef::from(&self.stream).peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

impl Tap {
    fn write(
        &self,
        cx: &mut Context,
        f: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        match ready!(socket::poll_write(&self.0.stream, cx, f)) {
            Ok(number) => {
                self.0.written.set(self.0.written.get() + number as u64);
                Poll::Ready(Ok(number))
            }
            Err(e) => self.0.failed(SocketFailure::Write(e.kind()), e),
        }
    }
}

impl AsyncWrite for Tap {
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

type Connection = Pin<Box<http1::Connection<TokioIo<Tap>, Full<Bytes>>>>;

/// What reads and writes the connection while its holder waits for something on it.
enum Driver {
    Running(Connection),
    Ended(CloseReason),
}

impl Driver {
    fn poll(&mut self, cx: &mut Context) {
        if let Driver::Running(connection) = self
            && let Poll::Ready(end) = connection.as_mut().poll(cx)
        {
            *self = Driver::Ended(end_of(&end));
        }
    }
}

/// Why a connection ended: hyper names no source for bytes that come out of turn.
fn end_of(end: &Result<(), hyper::Error>) -> CloseReason {
    match end {
        Err(e) if e.source().is_none() && !e.is_closed() && !e.is_incomplete_message() => {
            CloseReason::UnsolicitedBytes
        }
        _ => CloseReason::ClosedByPeer,
    }
}

/// Numbers the connections of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

pub struct HttpConnection {
    wire: Rc<Wire>,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    number: u64,
    /// The answers that were read on it.
    answers: Vec<ResponseIdentity>,
    _room: Option<(OwnedSemaphorePermit, Charge)>,
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    #[error("it did not come up within {0:?}")]
    TimedOut(Duration),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No byte of the request left.
    #[error("no byte of the request was written")]
    NotSent,
    /// Its connection came, and it must not be written any more: why.
    #[error("{0}")]
    Withheld(&'static str),
    /// The connection broke with the request out, or part of it.
    #[error("the connection broke with the request out")]
    ConnectionBroken,
    /// Time was up with the request out.
    #[error("no answer in time")]
    TimedOut,
}

/// Why a body without an end has no next piece.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    #[error("silent for {0:?}")]
    IdleTimeout(Duration),
    #[error("ended by the other side")]
    Ended,
    #[error("broken: {0}")]
    Broken(hyper::Error),
}

pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// When its head arrived.
    pub at: Instant,
    /// All of it came as its head says. One that did not is spoilt, whatever its status.
    pub whole: bool,
    /// Whether the link can carry another request, or why not.
    pub reusable: Result<(), CloseReason>,
    /// What tells it from other answers; None where not all of it came.
    pub identity: Option<ResponseIdentity>,
}

impl HttpResponse {
    /// It equals an earlier one on its connection, and may be a second copy of that: it proves nothing of its request.
    pub fn repeats(&self) -> bool {
        self.reusable == Err(CloseReason::AnswerRepeated)
    }

    /// Its first line says 200, and the rest cannot be read.
    fn spoilt(at: Instant) -> Self {
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        let reusable = Err(CloseReason::AttemptFailed);
        HttpResponse { status, headers, at, whole: false, reusable, identity: None }
    }
}

/// Waits for the head of an answer: till `until`, or a short while from its first byte.
async fn in_time<F: Future>(wire: &Wire, until: Instant, work: F) -> Option<F::Output> {
    let (mut work, mut end) = (pin!(work), pin!(sleep_until(until)));
    poll_fn(|cx| {
        if let Poll::Ready(out) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(out));
        }
        let at = wire.progress.head.borrow().begun().map_or(until, |at| until.min(at + HEAD_TIME));
        if end.deadline() != at {
            end.as_mut().reset(at);
        }
        end.as_mut().poll(cx).map(|()| None)
    })
    .await
}

/// Polls a future together with the connection it needs.
async fn drive<F: Future>(driver: &mut Driver, work: F) -> F::Output {
    let mut work = pin!(work);
    poll_fn(|cx| {
        driver.poll(cx);
        work.as_mut().poll(cx)
    })
    .await
}

impl HttpConnection {
    /// Connects within the time given. `room` is its socket and its memory; None where they are counted elsewhere.
    pub async fn connect(
        to: SocketAddr,
        within: Duration,
        room: Option<(OwnedSemaphorePermit, Charge)>,
    ) -> Result<Self, ConnectError> {
        let connected = timeout(within, TcpStream::connect(to)).await;
        let stream = connected.map_err(|_| ConnectError::TimedOut(within))??;
        stream.set_nodelay(true)?;
        let wire = Rc::new(Wire { stream, written: Cell::new(0), progress: Rc::default() });
        let io = TokioIo::new(Tap(wire.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(BODY_MOST).handshake(io).await?;
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Ok(HttpConnection {
            wire,
            sender,
            driver: Driver::Running(Box::pin(driver)),
            number,
            answers: Vec::new(),
            _room: room,
        })
    }

    /// Its number in this process, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Answers that were read whole on it.
    pub fn answered(&self) -> usize {
        self.answers.len()
    }

    /// What the latest exchange has shown; it can be asked while that goes on.
    pub fn listener(&self) -> ProgressHandle {
        ProgressHandle(self.wire.progress.clone())
    }

    /// Whether the peer has left it open and said nothing out of turn. Asks the kernel: the runtime may not
    /// have heard of a close yet, and a request written then would count as one that may have run. The driver
    /// is asked too: it ends if bytes are left that it has read already, a second copy of an answer, say,
    /// which the next call would take for its own.
    ///
    /// # Errors
    /// Why it cannot be used.
    pub fn check(&mut self) -> Result<(), CloseReason> {
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        if let Driver::Ended(reason) = self.driver {
            return Err(reason);
        }
        match self.wire.peek() {
            Ok(1..) => Err(CloseReason::UnsolicitedBytes),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && !self.sender.is_closed() => Ok(()),
            _ => Err(CloseReason::ClosedByPeer),
        }
    }

    async fn start(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, RequestError> {
        let before = self.wire.written.get();
        if drive(&mut self.driver, self.sender.ready()).await.is_err() {
            return Err(RequestError::NotSent);
        }
        let answer = self.sender.try_send_request(request);
        drive(&mut self.driver, answer).await.map_err(|e| {
            let unsent = e.message().is_some() || self.wire.written.get() == before;
            if unsent { RequestError::NotSent } else { RequestError::ConnectionBroken }
        })
    }

    /// Sends a request and waits for the answer until then. After an error the link is of no more use.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<HttpResponse, RequestError> {
        let (before, wire) = (self.wire.written.get(), self.wire.clone());
        *wire.progress.head.borrow_mut() = ResponseHead::default();
        let started = in_time(&wire, until, self.start(request)).await;
        let at = Instant::now();
        let (parts, body) = match started {
            // Another protocol: nobody asked for it, and nothing more is read as an answer.
            Some(Ok(answer)) if !answer.status().is_informational() => answer.into_parts(),
            lost => {
                let head = wire.progress.head.borrow();
                // What cannot be read further has still delivered if it began so: taken for a reset, a
                // message that must not run twice would be reported dead.
                return match lost {
                    Some(Err(RequestError::NotSent)) => Err(RequestError::NotSent),
                    // On a used connection it may be what is left of a second copy of an earlier answer.
                    _ if head.status() == Some(200) && self.answers.is_empty() => {
                        Ok(HttpResponse::spoilt(at))
                    }
                    Some(Err(lost)) => Err(lost),
                    None if wire.written.get() == before => Err(RequestError::NotSent),
                    None if head.begun().is_none() => Err(RequestError::TimedOut),
                    _ => Err(RequestError::ConnectionBroken),
                };
            }
        };
        // Of a body that does not end, or not as its head says, no more than this is read.
        let body = http_body_util::Limited::new(body, BODY_MOST).collect();
        let body = timeout(BODY_TIME, drive(&mut self.driver, body)).await;
        let body = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
        let (status, headers) = (parts.status, parts.headers);
        let Some(body) = body else {
            let reusable = Err(CloseReason::AttemptFailed);
            // On a used connection it may be what is left of a second copy, too.
            if !self.answers.is_empty() {
                return Err(RequestError::ConnectionBroken);
            }
            return Ok(HttpResponse { status, headers, at, whole: false, reusable, identity: None });
        };
        let identity = ResponseIdentity::of(status, &headers, &body);
        let reusable = match self.answers.contains(&identity) {
            true => Err(CloseReason::AnswerRepeated),
            false if status == StatusCode::GONE => Err(CloseReason::MessageOver),
            false => self.settle().await,
        };
        self.answers.push(identity);
        Ok(HttpResponse { status, headers, at, whole: true, reusable, identity: Some(identity) })
    }

    /// Whether the link can carry another request, once an answer has been read whole.
    async fn settle(&mut self) -> Result<(), CloseReason> {
        let ready = drive(&mut self.driver, self.sender.ready());
        // The check names the reason where the wait ended with an error.
        timeout(BODY_TIME, ready).await.map_err(|_| CloseReason::AttemptFailed)?.ok();
        self.check()
    }

    /// Sends a request whose answer has no end; its pieces come from [`HttpConnection::next_chunk`].
    pub async fn open_stream(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, RequestError> {
        timeout(within, self.start(request)).await.unwrap_or(Err(RequestError::TimedOut))
    }

    /// The next piece of a body.
    ///
    /// # Errors
    /// It ended, broke, or nothing came `within` this time.
    pub async fn next_chunk(&mut self, body: &mut Incoming, within: Duration) -> Result<Bytes, StreamEnd> {
        loop {
            let frame = timeout(within, drive(&mut self.driver, body.frame())).await;
            let frame = frame.map_err(|_| StreamEnd::IdleTimeout(within))?.ok_or(StreamEnd::Ended)?;
            if let Ok(data) = frame.map_err(StreamEnd::Broken)?.into_data() {
                return Ok(data);
            }
        }
    }
}
