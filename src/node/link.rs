//! One connection to another machine, driven by whoever holds it. There is no task behind it: dropping a
//! link closes its socket at once, and what became of a request is known.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout, timeout_at};

/// How long the rest of an answer may take once its head is here.
const BODY_TIME: Duration = Duration::from_millis(150);
const BODY_MOST: usize = 64 * 1024;

/// The socket, and how much has been written to it.
struct Wire {
    stream: TcpStream,
    written: Cell<u64>,
}

#[derive(Clone)]
struct Tap(Rc<Wire>);

impl AsyncRead for Tap {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
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
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match f(&self.0.stream) {
                Ok(n) => {
                    self.0.written.set(self.0.written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
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

type Driver = Pin<Box<http1::Connection<TokioIo<Tap>, Full<Bytes>>>>;

pub struct Link {
    wire: Rc<Wire>,
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// No byte of the request left.
    Unsent,
    /// The connection broke with the request out, or part of it.
    Broken,
    /// Time was up with the request out.
    Silent,
}

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// When its head arrived.
    pub at: Instant,
    /// Whether the link can carry another request.
    pub reusable: bool,
}

/// Polls a future together with the connection it needs.
async fn drive<F: Future>(driver: &mut Option<Driver>, work: F) -> F::Output {
    let mut work = pin!(work);
    poll_fn(|cx| {
        if let Some(d) = driver
            && d.as_mut().poll(cx).is_ready()
        {
            *driver = None;
        }
        work.as_mut().poll(cx)
    })
    .await
}

impl Link {
    /// Connects within the time given. No permit means that the socket is counted elsewhere.
    pub async fn open(
        to: SocketAddr,
        within: Duration,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Option<Self> {
        let stream = timeout(within, TcpStream::connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let wire = Rc::new(Wire { stream, written: Cell::new(0) });
        let io = TokioIo::new(Tap(wire.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(BODY_MOST).handshake(io).await.ok()?;
        Some(Link { wire, sender, driver: Some(Box::pin(driver)), _permit: permit })
    }

    /// Whether the peer has left it open and said nothing out of turn. Asks the kernel: the runtime may not
    /// have heard of a close yet, and a request written then would count as one that may have run.
    pub fn sound(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.wire.stream).peek(&mut byte);
        let quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        quiet && self.driver.is_some() && !self.sender.is_closed()
    }

    async fn start(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Lost> {
        let before = self.wire.written.get();
        if drive(&mut self.driver, self.sender.ready()).await.is_err() {
            return Err(Lost::Unsent);
        }
        let answer = self.sender.try_send_request(request);
        drive(&mut self.driver, answer).await.map_err(|e| {
            let unsent = e.message().is_some() || self.wire.written.get() == before;
            if unsent { Lost::Unsent } else { Lost::Broken }
        })
    }

    /// Sends a request and waits for the answer until then. After an error the link is of no more use.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>, until: Instant) -> Result<Answer, Lost> {
        let before = self.wire.written.get();
        let Ok(started) = timeout_at(until, self.start(request)).await else {
            let unsent = self.wire.written.get() == before;
            return Err(if unsent { Lost::Unsent } else { Lost::Silent });
        };
        let (parts, body) = started?.into_parts();
        let at = Instant::now();
        // The head tells the outcome; a body that does not follow only costs the connection.
        let body = http_body_util::Limited::new(body, BODY_MOST).collect();
        let body = timeout(BODY_TIME, drive(&mut self.driver, body)).await;
        let reusable = body.is_ok_and(|b| b.is_ok()) && {
            let ready = drive(&mut self.driver, self.sender.ready());
            timeout(BODY_TIME, ready).await.is_ok_and(|r| r.is_ok()) && self.driver.is_some()
        };
        Ok(Answer { status: parts.status, headers: parts.headers, at, reusable })
    }

    /// Sends a request whose answer has no end; its pieces come from [`Link::piece`].
    pub async fn watch(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Option<Response<Incoming>> {
        timeout(within, self.start(request)).await.ok()?.ok()
    }

    /// The next piece of a body; None when it ends, breaks or stays silent for so long.
    pub async fn piece(&mut self, body: &mut Incoming, within: Duration) -> Option<Bytes> {
        loop {
            let frame = timeout(within, drive(&mut self.driver, body.frame())).await.ok()??.ok()?;
            if let Ok(data) = frame.into_data() {
                return Some(data);
            }
        }
    }
}
