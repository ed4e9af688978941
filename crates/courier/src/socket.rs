//! Reads and writes on a TCP socket. Calls interrupted by a signal are repeated. Unlike tokio's own methods,
//! these do not treat a short read or write as a sign that the socket is empty or full; tokio's then wait for
//! an event that never comes.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::task::{Context, Poll, ready};
use std::time::Duration;
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

#[cfg(test)]
#[path = "socket_test.rs"]
mod tests;
