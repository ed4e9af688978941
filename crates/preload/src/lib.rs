//! Fault injection for tests: loaded into a courier with `LD_PRELOAD`, it makes selected system calls fail
//! with errors that Linux documents for them, or transfer only a part, and steps the wall clock. It is never
//! part of the courier.
//!
//! The file named by `STAIRSHED_FAULTS` has one rule per line. It is read again while the process runs, so
//! that a test can start and stop a fault:
//!
//! ```text
//! recv EINTR 3                   the first of every three recv fails with EINTR
//! send short 2                   the first of every two send writes only a part of its input
//! recv one-byte 1                every recv reads one byte
//! sync EIO nth=2                 only the second sync fails
//! sync slow 1                    every sync takes 200 ms longer
//! connect ETIMEDOUT rate=0.1 seed=7
//!                                each connect fails with this probability, drawn from a seeded generator
//! write ENOSPC 1 for=500         every write to a file under STAIRSHED_FAULTS_FOLDER fails with ENOSPC, for
//!                                500 ms after the rule is read
//! write kill-after=4000          writes 4,000 bytes to files in that folder; then the process kills itself
//!                                with SIGKILL in the middle of a write
//! clock -3600                    the wall clock is one hour behind (seconds, also with a fraction) from now on
//! # a comment
//! ```
//!
//! A line without a meaning, or with a fault that its call never has, is reported on standard error. A rule whose
//! line stays in the file goes on counting when the file changes.
//!
//! Calls: `recv` (for Unix sockets: `recv-local`), `read-signal` (`read` on a signal descriptor), `send` (also
//! `writev`), `socket`, `bind`, `connect`, `accept`, `wait` (`epoll_wait`); of files in the folder `open`, `read`, `write`, `sync`, `truncate`, `rename`, `unlink`.
//!
//! Each process counts its faults in the file `CONTROL-FILE.counts.PID`, with a line `CALL FAULT NUMBER` for each
//! kind. A wall clock that was stepped counts as `clock step` once it has been read, a kill as `write kill`.

mod call;
mod calls;
mod counts;
mod rule;
mod rules;
