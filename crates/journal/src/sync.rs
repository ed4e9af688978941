//! Group commit: one sync for all pending records, run on another thread, and whether the disk can be trusted
//! after a failed one.

use crate::storage::{Storage, StoredFile};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::io;
use std::sync::Arc;

/// A pending sync. [`SyncJob::run`] blocks, so call it on another thread and pass the outcome to
/// [`crate::Journal::finish_sync`].
pub struct SyncJob {
    pub(crate) storage: Arc<dyn Storage>,
    pub(crate) files: Vec<Arc<dyn StoredFile>>,
    pub(crate) names: bool,
    pub(crate) upto: u64,
}

/// Result of a [`SyncJob`].
#[derive(Debug)]
pub struct SyncOutcome {
    pub(crate) upto: u64,
    pub(crate) result: io::Result<()>,
}

impl SyncOutcome {
    /// Why the sync failed, if it did.
    pub fn error(&self) -> Option<&io::Error> {
        self.result.as_ref().err()
    }
}

impl SyncJob {
    /// Syncs the files and blocks until the device has answered.
    pub fn run(self) -> SyncOutcome {
        let files = self.files.iter().try_for_each(|file| file.sync());
        let result = files.and_then(|()| if self.names { self.storage.sync_names() } else { Ok(()) });
        let result = if is_planted(PlantedFault::SyncErrorIgnored) { Ok(()) } else { result };
        SyncOutcome { upto: self.upto, result }
    }
}

/// Recovery from a failed sync. A second sync of the same file may succeed without having written what the
/// first one lost, so it is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskTrust {
    Trusted,
    /// Syncing a newly created file, which is removed again, tests whether the device works.
    Probing,
    /// The device works: all live records are being rewritten to new segments.
    Rewriting,
    /// All live records are rewritten up to this sequence number; the disk is trusted once they are on the
    /// device.
    Rewritten(u64),
}
