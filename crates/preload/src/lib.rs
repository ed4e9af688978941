//! Fault injection for tests: loaded into a courier with `LD_PRELOAD`, it makes named system calls fail as Linux documents
//! it, or do less than they were asked for, and steps the wall clock. Never part of the courier itself.
//!
//! The file named by `STAIRSHED_FAULTS` says what happens, a rule a line; it is read again while the process runs, so that
//! a test can begin and end a fault:
//!
//! ```text
//! recv EINTR 3        the first of every three recv fails with EINTR
//! send short 2        the first of every two send writes a part of what it was given
//! write ENOSPC 1      every write to a file under STAIRSHED_FAULTS_FOLDER fails with ENOSPC
//! clock -3600         the wall clock is an hour slow from now on
//! ```
//!
//! Calls: `recv` (of Unix sockets: `recv-local`), `send` (also vectored), `connect`, `accept`, `write`, `sync`, `rename`, `open`.

mod calls;
mod rules;
