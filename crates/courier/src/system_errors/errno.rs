//! Error numbers of the system and their names.

use std::fmt;
use std::io;

/// An error number of the system; 0 for an error that did not come from the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Errno(pub i32);

/// Names of the error numbers that the policies tell apart, and of others that are common.
const NAMES: &[(i32, &str)] = &[
    (libc::EACCES, "EACCES"),
    (libc::EADDRINUSE, "EADDRINUSE"),
    (libc::EADDRNOTAVAIL, "EADDRNOTAVAIL"),
    (libc::EAGAIN, "EAGAIN"),
    (libc::EBADF, "EBADF"),
    (libc::EBUSY, "EBUSY"),
    (libc::ECONNABORTED, "ECONNABORTED"),
    (libc::ECONNREFUSED, "ECONNREFUSED"),
    (libc::ECONNRESET, "ECONNRESET"),
    (libc::EDQUOT, "EDQUOT"),
    (libc::EEXIST, "EEXIST"),
    (libc::EFBIG, "EFBIG"),
    (libc::EHOSTDOWN, "EHOSTDOWN"),
    (libc::EHOSTUNREACH, "EHOSTUNREACH"),
    (libc::EINTR, "EINTR"),
    (libc::EINVAL, "EINVAL"),
    (libc::EIO, "EIO"),
    (libc::EMFILE, "EMFILE"),
    (libc::ENETDOWN, "ENETDOWN"),
    (libc::ENETUNREACH, "ENETUNREACH"),
    (libc::ENFILE, "ENFILE"),
    (libc::ENOBUFS, "ENOBUFS"),
    (libc::ENOENT, "ENOENT"),
    (libc::ENOMEM, "ENOMEM"),
    (libc::ENONET, "ENONET"),
    (libc::ENOPROTOOPT, "ENOPROTOOPT"),
    (libc::ENOSPC, "ENOSPC"),
    (libc::ENOTCONN, "ENOTCONN"),
    (libc::EOPNOTSUPP, "EOPNOTSUPP"),
    (libc::EPERM, "EPERM"),
    (libc::EPIPE, "EPIPE"),
    (libc::EPROTO, "EPROTO"),
    (libc::EROFS, "EROFS"),
    (libc::ESTALE, "ESTALE"),
    (libc::ETIMEDOUT, "ETIMEDOUT"),
];

impl Errno {
    /// The error number of an error.
    pub fn of(error: &io::Error) -> Self {
        Errno(error.raw_os_error().unwrap_or_default())
    }
}

impl fmt::Display for Errno {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match NAMES.iter().find(|(number, _)| *number == self.0) {
            Some((_, name)) => f.write_str(name),
            None if self.0 == 0 => f.write_str("other"),
            None => write!(f, "errno {}", self.0),
        }
    }
}
