//! Unix signals as a stream of the runtime. They are read from a signal descriptor (`signalfd`), for which
//! they are blocked: they run no handler and interrupt no system call.

use crate::socket::is_transient;
use crate::system_errors::Operation;
use crate::system_errors::policy::SIGNAL_PAUSES;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::os::fd::{FromRawFd, OwnedFd};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::time::sleep;

/// Size of the kernel's record of one signal, bytes.
const RECORD_BYTES: usize = size_of::<libc::signalfd_siginfo>();

/// A signal that the courier handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: read the configuration again.
    Hangup,
    /// SIGINT: stop, from the terminal.
    Interrupt,
    /// SIGTERM: stop.
    Terminate,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Signal::Hangup => libc::SIGHUP,
            Signal::Interrupt => libc::SIGINT,
            Signal::Terminate => libc::SIGTERM,
        }
    }
}

/// Receives signals of some kinds that are sent to this process.
#[derive(Debug)]
pub struct SignalStream {
    descriptor: AsyncFd<File>,
}

impl SignalStream {
    /// Replaces the default action of these signals, and receives them from now on. They stay blocked when
    /// the stream is dropped.
    ///
    /// Must be called in the runtime that receives them, before the process has other threads: threads and
    /// programs started later inherit the block, and a thread without it would still take the default action.
    ///
    /// # Errors
    /// The system has no descriptor to spare.
    pub fn open(signals: &[Signal]) -> io::Result<Self> {
        let signals = signal_set(signals);
        block(&signals)?;
        let descriptor = File::from(signal_descriptor(&signals)?);
        // SAFETY: the file owns its descriptor, and nothing replaces or closes it while it is registered.
        let descriptor = unsafe { AsyncFd::register_with_interest(descriptor, Interest::READABLE)? };
        Ok(SignalStream { descriptor })
    }

    /// Waits for a signal. Signals of one kind that arrive before it is received count as one; one that
    /// arrives later is received by the next call. A call that is cancelled loses none.
    pub async fn recv(&mut self) {
        while let Err(error) = self.read_record().await {
            log_line!("signals: cannot be read, tried again: {error}");
            sleep(SIGNAL_PAUSES.most).await;
        }
    }

    /// Reads the record of one signal; waits for it if there is none.
    async fn read_record(&self) -> io::Result<()> {
        let mut record = [0; RECORD_BYTES];
        loop {
            let read = |mut descriptor: &File| descriptor.read(&mut record);
            match self.descriptor.async_io(Interest::READABLE, read).await {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                // The kernel removes the signal with the first byte, and the content is not used.
                Ok(_) => return Ok(()),
                Err(error) if is_transient(Operation::ReadSignal, &error) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

fn signal_set(signals: &[Signal]) -> libc::sigset_t {
    let mut set = MaybeUninit::uninit();
    // SAFETY: sigemptyset initialises the set and cannot fail.
    let mut set = unsafe {
        libc::sigemptyset(set.as_mut_ptr());
        set.assume_init()
    };
    for signal in signals {
        // SAFETY: the set is initialised. The call fails only for numbers that are not signals.
        unsafe { libc::sigaddset(&raw mut set, signal.number()) };
    }
    set
}

/// Blocks the signals in this thread, in addition to those already blocked.
fn block(signals: &libc::sigset_t) -> io::Result<()> {
    // SAFETY: the set is initialised, and the previous one is not asked for.
    let error = unsafe { libc::pthread_sigmask(libc::SIG_BLOCK, signals, std::ptr::null_mut()) };
    if error == 0 { Ok(()) } else { Err(io::Error::from_raw_os_error(error)) }
}

fn signal_descriptor(signals: &libc::sigset_t) -> io::Result<OwnedFd> {
    const NEW_DESCRIPTOR: libc::c_int = -1;
    // SAFETY: the set is initialised.
    let descriptor =
        unsafe { libc::signalfd(NEW_DESCRIPTOR, signals, libc::SFD_NONBLOCK | libc::SFD_CLOEXEC) };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened and belongs to nothing else.
    Ok(unsafe { OwnedFd::from_raw_fd(descriptor) })
}

#[cfg(test)]
#[path = "signals_test.rs"]
mod tests;
