//! Fault injection for tests: loaded into a courier with `LD_PRELOAD`, it makes selected system calls fail
//! with errors that Linux documents for them, or transfer only a part, and steps the wall clock. It is never
//! part of the courier.
//!
//! The file named by `STAIRSHED_FAULTS` has one rule per line. It is read again while the process runs, so
//! that a test can start and stop a fault:
//!
//! ```text
//! recv EINTR 3        the first of every three recv fails with EINTR
//! send short 2        the first of every two send writes only a part of its input
//! recv one-byte 1      every recv reads one byte
//! sync EIO nth=2      only the second sync after the file was read fails with EIO
//! write ENOSPC 1      every write to a file under STAIRSHED_FAULTS_FOLDER fails with ENOSPC
//! clock -3600         the wall clock is one hour behind from now on
//! ```
//!
//! Calls: `recv` (for Unix sockets: `recv-local`), `read-signal` (`read` on a signal descriptor), `send` (also
//! `writev`), `connect`, `accept`, `write`, `sync`, `truncate`, `rename`, `unlink`, `open`, `bind`, `wait`
//! (`epoll_wait`).

mod calls;
mod rules;
