//! Group commit: one sync for all that waits, run on another thread, and how far the disk is trusted.

use crate::storage::{Storage, StoredFile};
use std::io;
use std::sync::Arc;

/// A sync that is due. Run it where it may take its time, and hand what comes back to
/// [`crate::Journal::finish_sync`].
pub struct SyncJob {
    pub(crate) storage: Arc<dyn Storage>,
    pub(crate) files: Vec<Arc<dyn StoredFile>>,
    pub(crate) names: bool,
    pub(crate) upto: u64,
}

/// What became of a [`SyncJob`].
#[derive(Debug)]
pub struct SyncOutcome {
    pub(crate) upto: u64,
    pub(crate) result: io::Result<()>,
}

impl SyncJob {
    /// Syncs, and blocks until the device has answered.
    pub fn run(self) -> SyncOutcome {
        let files = self.files.iter().try_for_each(|file| file.sync());
        let result = files.and_then(|()| if self.names { self.storage.sync_names() } else { Ok(()) });
        SyncOutcome { upto: self.upto, result }
    }
}

/// What a sync that failed leaves to be done. A second sync of the same file may succeed without having
/// written what the first one lost, so none is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskTrust {
    Trusted,
    /// A fresh file, made for it and removed again, shows whether the device works.
    Probing,
    /// It does: all that lives is written anew behind the segments from before.
    Rewriting,
    /// All of it is written up to this record; once that is on the device all is well.
    Rewritten(u64),
}
