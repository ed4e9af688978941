//! The table of policies by operation and error number. `docs/operating-faults.md` shows it to operators.

use super::backoff::Bounds;
use super::errno::Errno;
use std::fmt;
use std::time::Duration;

/// Pauses of a server that cannot accept connections. The first is short, since clients wait.
pub const ACCEPT_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(5), most: Duration::from_millis(250) };
/// Pauses at startup. The first is short, since a restart may find the previous process still ending.
pub const START_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(10), most: Duration::from_millis(500) };
/// Pauses between attempts to connect to an endpoint, within the connect time-out.
pub const CONNECT_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(5), most: Duration::from_millis(100) };
/// Pauses between reads or writes of a connection for which the system has no memory.
pub const SOCKET_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(5), most: Duration::from_millis(100) };
/// Pauses between attempts to store a configuration version.
pub const STORE_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(50), most: Duration::from_millis(400) };
/// Pause between attempts to write the journal.
pub const JOURNAL_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(200), most: Duration::from_millis(200) };
/// Pause between attempts to append outcomes to a file.
pub const OUTCOMES_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(500), most: Duration::from_millis(500) };

/// Pause before a signal descriptor is read again.
pub const SIGNAL_PAUSES: Bounds =
    Bounds { least: Duration::from_millis(100), most: Duration::from_millis(100) };

/// What a system call was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    Accept,
    Listen,
    ConnectEndpoint,
    ConnectDiscovery,
    ConnectControl,
    ConnectOutcomes,
    ConnectBroker,
    QueryDns,
    SocketRead,
    SocketWrite,
    Wait,
    ReadSignal,
    /// Any call on the state folder and the journal at startup.
    StateFolder,
    JournalOpen,
    JournalRead,
    JournalWrite,
    JournalTruncate,
    JournalSync,
    JournalRename,
    JournalRemove,
    VersionStore,
    ListAge,
    OutcomesFile,
    /// Writing a line of the log.
    Log,
}

impl Operation {
    /// Name on the admin page, in the log and in the documentation.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Accept => "accept",
            Operation::Listen => "listen",
            Operation::ConnectEndpoint => "connect endpoint",
            Operation::ConnectDiscovery => "connect discovery",
            Operation::ConnectControl => "connect control",
            Operation::ConnectOutcomes => "connect outcomes",
            Operation::ConnectBroker => "connect broker",
            Operation::QueryDns => "query dns",
            Operation::SocketRead => "read",
            Operation::SocketWrite => "write",
            Operation::Wait => "wait",
            Operation::ReadSignal => "read signal",
            Operation::StateFolder => "state folder",
            Operation::JournalOpen => "journal open",
            Operation::JournalRead => "journal read",
            Operation::JournalWrite => "journal write",
            Operation::JournalTruncate => "journal truncate",
            Operation::JournalSync => "journal sync",
            Operation::JournalRename => "journal rename",
            Operation::JournalRemove => "journal remove",
            Operation::VersionStore => "version store",
            Operation::ListAge => "list age",
            Operation::OutcomesFile => "outcomes file",
            Operation::Log => "log",
        }
    }
}

/// What is done after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Repeats the call at once.
    RetryNow,
    /// Repeats the call after a pause.
    BackOff(Bounds),
    /// Closes an idle connection to free its descriptor and memory, and repeats the call after a pause.
    Shed(Bounds),
    /// Closes the connection.
    CloseConnection,
    /// Counts the destination as not reached; the caller's rules for that apply.
    FailAttempt,
    /// Refuses new messages, keeps what is accepted, and repeats the call after a pause.
    RefuseNewWork(Bounds),
    /// Goes on with what there is; the next change makes the next attempt.
    Continue,
    /// Goes on without the line of the log.
    DropLine,
    /// Ends the program with an error.
    EndProgram,
}

impl Policy {
    /// The bounds of the pause before the call is repeated; `None` if it is not repeated here.
    pub fn pauses(self) -> Option<Bounds> {
        match self {
            Policy::BackOff(pauses) | Policy::Shed(pauses) | Policy::RefuseNewWork(pauses) => Some(pauses),
            Policy::RetryNow
            | Policy::CloseConnection
            | Policy::FailAttempt
            | Policy::Continue
            | Policy::DropLine
            | Policy::EndProgram => None,
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Policy::RetryNow => f.write_str("tries again at once"),
            Policy::BackOff(pauses) => write!(f, "tries again after {pauses}"),
            Policy::Shed(pauses) => write!(f, "closes an idle connection, tries again after {pauses}"),
            Policy::CloseConnection => f.write_str("closes the connection"),
            Policy::FailAttempt => f.write_str("counts as not reached"),
            Policy::RefuseNewWork(pauses) => write!(f, "refuses new messages, tries again after {pauses}"),
            Policy::Continue => f.write_str("goes on, tries again at the next change"),
            Policy::DropLine => f.write_str("drops the line, goes on"),
            Policy::EndProgram => f.write_str("ends with an error"),
        }
    }
}

/// A row of the table.
pub struct Rule {
    pub operations: &'static [Operation],
    /// Error numbers that the row applies to; empty for all others.
    pub errnos: &'static [i32],
    pub policy: Policy,
}

/// The table. For an operation and error number the first matching row applies; the last row of each
/// operation has no error numbers.
pub const RULES: &[Rule] = &[
    // The connection was gone, or its network failed, before it was accepted (accept(2)).
    Rule {
        operations: &[Operation::Accept],
        errnos: &[
            libc::EINTR,
            libc::ECONNABORTED,
            libc::EPROTO,
            libc::EPERM,
            libc::ENETDOWN,
            libc::ENETUNREACH,
            libc::EHOSTDOWN,
            libc::EHOSTUNREACH,
            libc::ENONET,
            libc::ENOPROTOOPT,
            libc::EOPNOTSUPP,
            libc::ETIMEDOUT,
        ],
        policy: Policy::RetryNow,
    },
    Rule {
        operations: &[Operation::Accept],
        errnos: &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM],
        policy: Policy::Shed(ACCEPT_PAUSES),
    },
    Rule { operations: &[Operation::Accept], errnos: &[], policy: Policy::BackOff(ACCEPT_PAUSES) },
    Rule {
        operations: &[Operation::Listen],
        errnos: &[
            libc::EINTR,
            libc::EADDRINUSE,
            libc::EADDRNOTAVAIL,
            libc::EMFILE,
            libc::ENFILE,
            libc::ENOBUFS,
            libc::ENOMEM,
        ],
        policy: Policy::BackOff(START_PAUSES),
    },
    Rule { operations: &[Operation::Listen], errnos: &[], policy: Policy::EndProgram },
    // The cause is this machine, so the endpoint must not count as failed.
    Rule {
        operations: &[Operation::ConnectEndpoint],
        errnos: &[libc::EINTR, libc::EAGAIN, libc::EADDRINUSE, libc::EADDRNOTAVAIL],
        policy: Policy::BackOff(CONNECT_PAUSES),
    },
    Rule {
        operations: &[Operation::ConnectEndpoint],
        errnos: &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM],
        policy: Policy::Shed(CONNECT_PAUSES),
    },
    Rule {
        operations: &[
            Operation::ConnectEndpoint,
            Operation::ConnectDiscovery,
            Operation::ConnectControl,
            Operation::ConnectOutcomes,
            Operation::ConnectBroker,
        ],
        errnos: &[],
        policy: Policy::FailAttempt,
    },
    Rule {
        operations: &[
            Operation::QueryDns,
            Operation::SocketRead,
            Operation::SocketWrite,
            Operation::Wait,
            Operation::ReadSignal,
        ],
        errnos: &[libc::EINTR, libc::EAGAIN],
        policy: Policy::RetryNow,
    },
    Rule { operations: &[Operation::QueryDns], errnos: &[], policy: Policy::FailAttempt },
    // The cause is this machine: the connection itself is intact.
    Rule {
        operations: &[Operation::SocketRead, Operation::SocketWrite],
        errnos: &[libc::ENOBUFS, libc::ENOMEM],
        policy: Policy::BackOff(SOCKET_PAUSES),
    },
    Rule {
        operations: &[Operation::SocketRead, Operation::SocketWrite],
        errnos: &[],
        policy: Policy::CloseConnection,
    },
    Rule { operations: &[Operation::Wait], errnos: &[], policy: Policy::EndProgram },
    Rule { operations: &[Operation::ReadSignal], errnos: &[], policy: Policy::BackOff(SIGNAL_PAUSES) },
    Rule {
        operations: &[Operation::StateFolder],
        errnos: &[
            libc::EINTR,
            libc::EAGAIN,
            libc::EBUSY,
            libc::EDQUOT,
            libc::EIO,
            libc::EMFILE,
            libc::ENFILE,
            libc::ENOMEM,
            libc::ENOSPC,
            libc::EROFS,
            libc::ESTALE,
            libc::ETIMEDOUT,
        ],
        policy: Policy::BackOff(START_PAUSES),
    },
    Rule { operations: &[Operation::StateFolder], errnos: &[], policy: Policy::EndProgram },
    Rule { operations: &[Operation::JournalWrite], errnos: &[libc::EINTR], policy: Policy::RetryNow },
    Rule {
        operations: &[
            Operation::JournalOpen,
            Operation::JournalRead,
            Operation::JournalWrite,
            Operation::JournalTruncate,
            Operation::JournalSync,
            Operation::JournalRename,
            Operation::JournalRemove,
        ],
        errnos: &[],
        policy: Policy::RefuseNewWork(JOURNAL_PAUSES),
    },
    Rule { operations: &[Operation::VersionStore], errnos: &[], policy: Policy::BackOff(STORE_PAUSES) },
    Rule { operations: &[Operation::ListAge], errnos: &[], policy: Policy::Continue },
    Rule { operations: &[Operation::OutcomesFile], errnos: &[], policy: Policy::BackOff(OUTCOMES_PAUSES) },
    Rule { operations: &[Operation::Log], errnos: &[libc::EINTR], policy: Policy::RetryNow },
    Rule { operations: &[Operation::Log], errnos: &[], policy: Policy::DropLine },
];

/// Error numbers that show that a host cannot be reached, as opposed to a failure of this machine.
const UNREACHABLE_PEER: &[i32] =
    &[libc::ECONNREFUSED, libc::ECONNRESET, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::ETIMEDOUT];

/// The policy for an operation that failed with this error number.
pub fn policy(operation: Operation, errno: Errno) -> Policy {
    let applies = |rule: &&Rule| {
        rule.operations.contains(&operation) && (rule.errnos.is_empty() || rule.errnos.contains(&errno.0))
    };
    // Each operation has a row for all error numbers (tested), so the default is never used.
    RULES.iter().find(applies).map_or(Policy::FailAttempt, |rule| rule.policy)
}

/// Whether a failed connection shows that the host cannot be reached.
pub fn shows_unreachable_peer(errno: Errno) -> bool {
    UNREACHABLE_PEER.contains(&errno.0)
}
