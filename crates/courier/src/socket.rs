//! Reads and writes of a TCP socket. A call that a signal interrupts is made again. A read or a write of a part is no sign
//! that the socket is empty or full: tokio's own take it for one, and wait for an event that never comes.

use std::io;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a call is to be made again: the socket was not ready, or a signal came first.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads what is there.
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

/// Writes as much as the socket takes, by `write`; how many bytes that were.
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
