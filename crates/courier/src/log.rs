//! The log: whole lines on standard error. A line that cannot be written is dropped and counted under
//! [`Operation::Log`]; it neither ends a task, as `eprintln!` would, nor holds one up for longer than
//! [`MAX_WAIT_PER_SECOND`].

use crate::system_errors::{Operation, Policy, count_unlogged, policy_of};
use std::fmt::Arguments;
use std::io::{self, ErrorKind};
use std::os::fd::RawFd;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest time in a second for which the log waits for the reader of a full pipe. Messages wait meanwhile.
const MAX_WAIT_PER_SECOND: Duration = Duration::from_millis(20);
/// A pipe that is ready takes this many bytes at once (pipe(7)).
const MAX_BYTES_PER_WRITE: usize = libc::PIPE_BUF;

/// Writes a line to the log. Takes the arguments of `format!`.
macro_rules! log_line {
    ($($arguments:tt)*) => { $crate::log::write_line(format_args!($($arguments)*)) };
}

/// Writes a line to standard error, or counts it as dropped.
pub fn write_line(text: Arguments) {
    static LOG: Mutex<LineWriter> = Mutex::new(LineWriter::new(libc::STDERR_FILENO));
    let line = format!("{text}\n");
    let written = LOG.lock().unwrap_or_else(PoisonError::into_inner).write(line.as_bytes());
    if let Err(error) = written {
        count_unlogged(Operation::Log, &error);
    }
}

/// Writes lines to a descriptor that other processes may share, so its flags are left as they are.
struct LineWriter {
    descriptor: RawFd,
    /// The last line was cut off.
    is_cut: bool,
    waits: WaitBudget,
}

impl LineWriter {
    const fn new(descriptor: RawFd) -> Self {
        LineWriter { descriptor, is_cut: false, waits: WaitBudget::new() }
    }

    /// Writes a line, with a single call unless it is long or the system takes a part of it.
    ///
    /// # Errors
    /// The line was not written, or was cut off.
    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        if self.is_cut {
            self.write_part(b"\n")?;
            self.is_cut = false;
        }
        let mut rest = line;
        while !rest.is_empty() {
            let part = &rest[..rest.len().min(MAX_BYTES_PER_WRITE)];
            match self.write_part(part) {
                Ok(written) => rest = &rest[written..],
                Err(error) => {
                    self.is_cut = rest.len() < line.len();
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Writes at least one byte of this part. Returns how many were written.
    fn write_part(&mut self, part: &[u8]) -> io::Result<usize> {
        loop {
            let result = self.wait_until_ready().and_then(|()| self.write_once(part));
            match result {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Err(error) if policy_of(Operation::Log, &error) == Policy::RetryNow => {}
                result => return result,
            }
        }
    }

    /// Waits until a write returns at once, be it with an error.
    ///
    /// # Errors
    /// EAGAIN if the budget of waits is used up.
    fn wait_until_ready(&mut self) -> io::Result<()> {
        if is_ready(self.descriptor, Duration::ZERO)? {
            return Ok(());
        }
        let started = Instant::now();
        let left = self.waits.left(started);
        let ready = !left.is_zero() && is_ready(self.descriptor, left)?;
        self.waits.used += started.elapsed();
        if ready { Ok(()) } else { Err(io::Error::from_raw_os_error(libc::EAGAIN)) }
    }

    fn write_once(&self, bytes: &[u8]) -> io::Result<usize> {
        // SAFETY: the pointer and length are those of a slice.
        let written = unsafe { libc::write(self.descriptor, bytes.as_ptr().cast(), bytes.len()) };
        usize::try_from(written).map_err(|_| io::Error::last_os_error())
    }
}

/// The waits of the current second.
struct WaitBudget {
    second_started: Option<Instant>,
    used: Duration,
}

impl WaitBudget {
    const fn new() -> Self {
        WaitBudget { second_started: None, used: Duration::ZERO }
    }

    /// The time for which the log may still wait in the current second.
    fn left(&mut self, now: Instant) -> Duration {
        const SECOND: Duration = Duration::from_secs(1);
        if self.second_started.is_none_or(|started| now.duration_since(started) >= SECOND) {
            *self = WaitBudget { second_started: Some(now), used: Duration::ZERO };
        }
        MAX_WAIT_PER_SECOND.saturating_sub(self.used)
    }
}

/// Whether a write to the descriptor returns at once, now or within this time.
fn is_ready(descriptor: RawFd, timeout: Duration) -> io::Result<bool> {
    let mut polled = libc::pollfd { fd: descriptor, events: libc::POLLOUT, revents: 0 };
    let timeout_ms = timeout.as_millis() as libc::c_int;
    // SAFETY: the pointer is to one initialised element.
    let ready = unsafe { libc::poll(&raw mut polled, 1, timeout_ms) };
    if ready < 0 { Err(io::Error::last_os_error()) } else { Ok(ready > 0) }
}

#[cfg(test)]
#[path = "log_test.rs"]
mod tests;
