//! Reads and writes on a TCP socket. Calls interrupted by a signal are repeated, and calls for which the system
//! has no memory are repeated after a pause. Unlike tokio's own methods,
//! these do not treat a short read or write as a sign that the socket is empty or full; tokio's then wait for
//! an event that never comes.

use crate::system_errors::{Operation, Policy, RetryPause, report};
use futures_util::FutureExt;
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Whether a call must be repeated: the socket was not ready, or a signal interrupted it. Reports the error.
pub fn is_transient(operation: Operation, error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || report(operation, error) == Policy::RetryNow
}

/// Reads available bytes into the buffer. `pause` is that of the connection's reads.
///
/// # Errors
/// The socket failed.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context,
    buffer: &mut ReadBuf,
    pause: &mut RetryPause,
) -> Poll<io::Result<()>> {
    let repeats = |error: &io::Error| is_transient(Operation::SocketRead, error);
    loop {
        ready!(pause.poll_end(cx));
        match ready!(poll_read_repeating(stream, cx, buffer, repeats)) {
            Ok(()) => {
                pause.reset();
                return Poll::Ready(Ok(()));
            }
            Err(e) if pause.start_after(Operation::SocketRead, &e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Reads available bytes into the buffer. Calls that fail with an error for which `repeats` holds are repeated.
///
/// # Errors
/// The socket failed with another error.
pub fn poll_read_repeating(
    stream: &TcpStream,
    cx: &mut Context,
    buffer: &mut ReadBuf,
    repeats: impl Fn(&io::Error) -> bool,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(number) => {
                buffer.advance(number);
                return Poll::Ready(Ok(()));
            }
            Err(e) if repeats(&e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Writes as much as the socket accepts, using `write`, and returns the number of bytes. `pause` is that of the
/// connection's writes.
///
/// # Errors
/// The socket failed.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
    pause: &mut RetryPause,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(pause.poll_end(cx));
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Ok(number) => {
                pause.reset();
                return Poll::Ready(Ok(number));
            }
            Err(e) if is_transient(Operation::SocketWrite, &e) => {}
            Err(e) if pause.start_after(Operation::SocketWrite, &e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Time since the kernel received the latest data on a connection, to a few milliseconds. None if the kernel
/// does not tell.
pub fn last_data_age(stream: &TcpStream) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, and `info` has the length that is passed.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    // SAFETY: `tcp_info` consists of integers, for which zero is valid where the kernel wrote nothing.
    let info = unsafe { info.assume_init() };
    (result == 0).then(|| Duration::from_millis(info.tcpi_last_data_recv.into()))
}

/// Whether input has arrived on a connection that was not read. Asks the kernel, since the runtime may not have heard
/// of it yet, and reads nothing.
pub fn has_unread_input(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        match SockRef::from(stream).peek(&mut byte) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked.is_ok_and(|number| number > 0),
        }
    }
}

/// Reads available bytes and returns their number, 0 at the end of the input.
///
/// # Errors
/// The socket failed.
pub async fn read(stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
    let (mut buffer, mut pause) = (ReadBuf::new(into), RetryPause::default());
    poll_fn(|cx| poll_read(stream, cx, &mut buffer, &mut pause)).await?;
    Ok(buffer.filled().len())
}

/// Reads until the buffer is full.
///
/// # Errors
/// The socket failed, or the input ended before.
pub async fn read_exact(stream: &TcpStream, into: &mut [u8]) -> io::Result<()> {
    let mut done = 0;
    while done < into.len() {
        match read(stream, &mut into[done..]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            number => done += number,
        }
    }
    Ok(())
}

/// Writes all bytes.
///
/// # Errors
/// The socket failed.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    let mut pause = RetryPause::default();
    while !bytes.is_empty() {
        let write = |stream: &TcpStream| stream.try_write(bytes);
        let number = poll_fn(|cx| poll_write(stream, cx, write, &mut pause)).await?;
        bytes = &bytes[number..];
    }
    Ok(())
}

/// A TCP stream with these reads and writes, for code that takes tokio's traits.
pub struct Socket {
    /// The stream itself, shared with [`PeerWatch`] only.
    pub stream: Rc<TcpStream>,
    read_pause: RetryPause,
    write_pause: RetryPause,
}

impl Socket {
    /// Takes over a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        let stream = Rc::new(stream);
        Socket { stream, read_pause: RetryPause::default(), write_pause: RetryPause::default() }
    }
}

/// Tells whether the other side of a connection has closed it. Reading would tell only after all input that came
/// before, which may be much.
#[derive(Clone, Default)]
pub struct PeerWatch(Weak<TcpStream>);

impl PeerWatch {
    /// Watches a connection, without keeping it open.
    pub fn new(stream: &Rc<TcpStream>) -> Self {
        PeerWatch(Rc::downgrade(stream))
    }

    /// See [`has_unread_input`]; false once this side has dropped the connection.
    pub fn has_unread_input(&self) -> bool {
        self.0.upgrade().is_some_and(|stream| has_unread_input(&stream))
    }

    /// Whether the other side has closed the connection or its sending, or this side has dropped it.
    pub fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        let ready = stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let Socket { stream, read_pause, .. } = self.get_mut();
        poll_read(stream, cx, buffer, read_pause)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Socket { stream, write_pause, .. } = self.get_mut();
        poll_write(stream, cx, |stream| stream.try_write(bytes), write_pause)
    }

    /// Nothing is buffered here.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
#[path = "socket_test.rs"]
mod tests;
