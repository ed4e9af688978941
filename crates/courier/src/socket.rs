//! Reads and writes on a TCP socket. Calls interrupted by a signal are repeated. Unlike tokio's own methods,
//! these do not treat a short read or write as a sign that the socket is empty or full; tokio's then wait for
//! an event that never comes.

use std::io;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a call must be repeated: the socket was not ready, or a signal interrupted it.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads available bytes into the buffer.
///
/// # Errors
/// The socket failed.
pub fn poll_read(stream: &TcpStream, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(number) => {
                buffer.advance(number);
                return Poll::Ready(Ok(()));
            }
            Err(e) if is_transient(&e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Writes as much as the socket accepts, using `write`, and returns the number of bytes.
///
/// # Errors
/// The socket failed.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if is_transient(&e) => {}
            result => return Poll::Ready(result),
        }
    }
}
