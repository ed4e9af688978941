//! Errors of the journal. Messages name the file concerned and what the operator can do.

use std::fmt;
use std::io;

/// A call on the directory of the journal or on one of its files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileCall {
    List,
    Lock,
    Open,
    Create,
    Size,
    Read,
    Write,
    Truncate,
    /// Allocates blocks of the file that reserves disk space.
    Allocate,
    /// Frees blocks of that file.
    Shrink,
    Sync,
    Rename,
    Remove,
}

impl fmt::Display for FileCall {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FileCall::List => "list",
            FileCall::Lock => "lock",
            FileCall::Open => "open",
            FileCall::Create => "create",
            FileCall::Size => "size",
            FileCall::Read => "read",
            FileCall::Write => "write",
            FileCall::Truncate => "truncate",
            FileCall::Allocate => "allocate",
            FileCall::Shrink => "shrink",
            FileCall::Sync => "sync",
            FileCall::Rename => "rename",
            FileCall::Remove => "remove",
        })
    }
}

/// Why the journal cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{file}: {call}: {source}")]
    Io { file: String, call: FileCall, source: io::Error },
    #[error("{folder}: another process holds the lock on this directory; stop it, or use another directory")]
    Locked { folder: String },
    #[error("{folder}: not a directory; name an existing directory that is writable")]
    NotADirectory { folder: String },
    #[error(
        "{file}: format version {found} is newer than version {known}, the newest that this program reads; \
         nothing was changed. Start the newer program on this directory"
    )]
    NewerFormat { file: String, found: u16, known: u16 },
    #[error(
        "journal: a file of the old format exists beside segments that were not migrated from it; nothing was \
         changed. Move away the one that is out of date"
    )]
    ConflictingFormats,
    #[error("journal: room = {capacity} bytes is too small; at least {required} bytes are required")]
    CapacityTooSmall { capacity: u64, required: u64 },
    #[error("{0}; nothing was changed (on_damage = \"stop\")")]
    Damaged(Damage),
    #[error(
        "journal: the device failed {failures} syncs in a row; nothing is taken on or sent until it works"
    )]
    SyncFailed { failures: u32 },
}

impl Error {
    pub(crate) fn io(file: &str, call: FileCall, source: io::Error) -> Self {
        Error::Io { file: file.to_owned(), call, source }
    }

    /// Whether the device or the quota has no room.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        matches!(self, Error::Io { source, .. }
            if matches!(source.kind(), StorageFull | QuotaExceeded | FileTooLarge))
    }
}

/// A part of the journal that had been written completely but can no longer be read, as opposed to the torn
/// tail that a crash leaves. Messages that a lost record may concern are presumed sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: byte {offset}: {why}; records {first_lost} to {last_lost} are lost")]
pub struct Damage {
    pub file: String,
    /// Byte offset in the file; 0 if the file is missing.
    pub offset: u64,
    pub why: &'static str,
    /// Sequence numbers of the first and last lost record. No record is lost if `last_lost` is below
    /// `first_lost`.
    pub first_lost: u64,
    pub last_lost: u64,
}

/// Why a new message is refused for now. Messages accepted earlier are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("the journal is full of messages that have not ended")]
    Full,
    #[error("the disk has no space for the records that the message may still need")]
    DiskFull,
    #[error("a sync failed, and the disk is not trusted until its data is rewritten")]
    DiskUnreliable,
}
