//! What the courier does when a system call fails. One table gives the policy for each operation and error
//! number; the code that makes a call reports its failure here and follows the policy. Failures are counted
//! for the admin page `/-/machine` and logged once per interval.

pub mod backoff;
pub mod errno;
pub mod policy;
pub mod record;
pub mod retry_pause;

pub use backoff::{Backoff, retry};
pub use errno::Errno;
pub use policy::{Operation, Policy};
pub use record::{count_unlogged, log_folded, page, policy_of, report};
pub use retry_pause::RetryPause;

use stairshed_journal::{Error as JournalError, FileCall};

/// The operation of a call on the journal's files while the courier runs.
pub fn journal_operation(call: FileCall) -> Operation {
    match call {
        FileCall::List | FileCall::Lock | FileCall::Open | FileCall::Create => Operation::JournalOpen,
        FileCall::Size | FileCall::Read => Operation::JournalRead,
        FileCall::Write => Operation::JournalWrite,
        FileCall::Truncate | FileCall::Allocate | FileCall::Shrink => Operation::JournalTruncate,
        FileCall::Sync => Operation::JournalSync,
        FileCall::Rename => Operation::JournalRename,
        FileCall::Remove => Operation::JournalRemove,
    }
}

/// Reports an error of the journal while the courier runs.
pub fn report_journal_error(error: &JournalError) {
    if let JournalError::Io { call, source, .. } = error {
        report(journal_operation(*call), source);
    }
}

/// Reports an error of the journal at startup, and returns its policy.
pub fn report_startup_error(error: &JournalError) -> Policy {
    match error {
        JournalError::Io { source, .. } => report(Operation::StateFolder, source),
        _ => Policy::EndProgram,
    }
}

#[cfg(test)]
#[path = "system_errors_test.rs"]
mod tests;
