//! The calls that can be made to fail, and the faults that Linux documents for each of them.

use std::time::Duration;

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    Recv,
    /// `recv` on a Unix socket, such as a socket pair within one program.
    RecvLocal,
    /// `read` on a signal descriptor (`signalfd`).
    ReadSignal,
    Send,
    Socket,
    Bind,
    Connect,
    Accept,
    /// `epoll_wait` with a time-out other than zero, which alone can be interrupted.
    Wait,
    Open,
    /// `read` and `pread` of a file. Those of an eventfd are left alone: a non-blocking one is never interrupted.
    Read,
    Write,
    Sync,
    Truncate,
    Rename,
    Unlink,
}

const CALL_NAMES: [(&str, Call); 16] = [
    ("recv", Call::Recv),
    ("recv-local", Call::RecvLocal),
    ("read-signal", Call::ReadSignal),
    ("send", Call::Send),
    ("socket", Call::Socket),
    ("bind", Call::Bind),
    ("connect", Call::Connect),
    ("accept", Call::Accept),
    ("wait", Call::Wait),
    ("open", Call::Open),
    ("read", Call::Read),
    ("write", Call::Write),
    ("sync", Call::Sync),
    ("truncate", Call::Truncate),
    ("rename", Call::Rename),
    ("unlink", Call::Unlink),
];

const ERROR_NAMES: [(&str, i32); 20] = [
    ("EACCES", libc::EACCES),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EDQUOT", libc::EDQUOT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("EROFS", libc::EROFS),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

impl Call {
    /// The call with this name in the control file.
    pub fn from_name(name: &str) -> Option<Self> {
        CALL_NAMES.iter().find(|(other, _)| *other == name).map(|(_, call)| *call)
    }

    /// Its name in the control file.
    pub fn name(self) -> &'static str {
        CALL_NAMES.iter().find(|(_, call)| *call == self).map_or("?", |(name, _)| name)
    }

    /// Whether Linux can answer this call with this fault.
    pub fn can_have(self, fault: Fault) -> bool {
        match fault {
            Fault::Short | Fault::OneByte => {
                matches!(self, Call::Recv | Call::RecvLocal | Call::Send | Call::Read | Call::Write)
            }
            Fault::Slow => self == Call::Sync,
            Fault::Errno(errno) => self.errors().contains(&errno),
        }
    }

    fn errors(self) -> &'static [i32] {
        use libc::*;
        match self {
            Call::Recv | Call::RecvLocal | Call::Send => {
                &[EINTR, ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOBUFS, ENOMEM]
            }
            Call::Socket => &[EMFILE, ENFILE, ENOBUFS, ENOMEM, EACCES],
            Call::Bind => &[EADDRINUSE, EADDRNOTAVAIL, EACCES, ENOBUFS, ENOMEM],
            Call::Connect => &[
                EINTR,
                ETIMEDOUT,
                ECONNREFUSED,
                ECONNRESET,
                EHOSTUNREACH,
                ENETUNREACH,
                EADDRNOTAVAIL,
                EADDRINUSE,
                EACCES,
                ENOBUFS,
                ENOMEM,
            ],
            Call::Accept => &[
                EINTR,
                ECONNABORTED,
                EMFILE,
                ENFILE,
                ENOBUFS,
                ENOMEM,
                EPROTO,
                EHOSTUNREACH,
                ENETUNREACH,
                ETIMEDOUT,
            ],
            Call::Wait => &[EINTR],
            Call::Open => &[EIO, ENOSPC, EDQUOT, EROFS, EACCES, EMFILE, ENFILE, ENOMEM],
            Call::ReadSignal => &[EINTR, EIO, ENOMEM],
            Call::Read => &[EIO, ENOMEM],
            Call::Write | Call::Sync | Call::Truncate => &[EIO, ENOSPC, EDQUOT, EROFS, ENOMEM],
            Call::Rename | Call::Unlink => &[EIO, ENOSPC, EDQUOT, EROFS, EACCES, ENOMEM],
        }
    }
}

/// The fault injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The call fails with this `errno`.
    Errno(i32),
    /// The call transfers only a part of the data.
    Short,
    /// The call transfers one byte.
    OneByte,
    /// The call takes [`SLOW_CALL`] longer.
    Slow,
}

/// How much longer a slow call takes.
pub const SLOW_CALL: Duration = Duration::from_millis(200);

impl Fault {
    /// The fault with this name in the control file.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "short" => Some(Fault::Short),
            "one-byte" => Some(Fault::OneByte),
            "slow" => Some(Fault::Slow),
            _ => ERROR_NAMES.iter().find(|(other, _)| *other == name).map(|(_, errno)| Fault::Errno(*errno)),
        }
    }

    /// Its name in the control file.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Short => "short",
            Fault::OneByte => "one-byte",
            Fault::Slow => "slow",
            Fault::Errno(errno) => {
                ERROR_NAMES.iter().find(|(_, other)| *other == errno).map_or("?", |(name, _)| name)
            }
        }
    }
}
