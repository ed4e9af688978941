//! Storage backends for segments: real files ([`files`]), memory ([`memory`]), and memory with injected
//! faults ([`faulty`]).

pub mod faulty;
pub mod files;
pub mod memory;

use std::io;
use std::sync::Arc;

/// A directory of files. Names contain no path separators.
pub trait Storage: Send + Sync {
    /// Names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file. Fails if the name exists, because segments are never overwritten. After a power
    /// failure the file may be missing unless [`Storage::sync_names`] has returned.
    fn create(&self, name: &str) -> io::Result<Arc<dyn StoredFile>>;

    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Arc<dyn StoredFile>>;

    /// Removes a file. After a power failure it may exist again unless [`Storage::sync_names`] has returned.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Renames a file atomically, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// When this returns, all earlier creations, removals and renames survive a power failure.
    fn sync_names(&self) -> io::Result<()>;

    /// Makes a file `bytes` long with its blocks allocated, or shrinks it. Fails if there is not enough
    /// space; the file may then have any size between the old and the new one.
    fn preallocate(&self, name: &str, bytes: u64) -> io::Result<()>;
}

/// A file. It can be used from another thread, so that a sync does not block the others.
pub trait StoredFile: Send + Sync {
    fn size(&self) -> io::Result<u64>;

    /// Fills `to` from offset `at`. Reaching the end of the file first is an error of kind `UnexpectedEof`.
    fn read_at(&self, at: u64, to: &mut [u8]) -> io::Result<()>;

    /// Writes at least one byte of `bytes` at offset `at` and returns the number written. Written bytes
    /// survive a crash of the process, but not a power failure. After an error any part of `bytes` may have
    /// been written.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates the file, or extends it with zeros.
    fn set_size(&self, size: u64) -> io::Result<()>;

    /// When this returns, all earlier writes survive a power failure. After an error nothing that was not
    /// synced before can be assumed to be on the device, even if a later call succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// Reads a whole file into a reused buffer: allocating new memory costs as much as reading.
pub(crate) fn read_into(file: &dyn StoredFile, bytes: &mut Vec<u8>) -> io::Result<()> {
    let size = usize::try_from(file.size()?).map_err(|_| io::ErrorKind::FileTooLarge)?;
    bytes.resize(size, 0);
    file.read_at(0, bytes)
}
