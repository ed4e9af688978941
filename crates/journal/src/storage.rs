//! Where segments are kept: a few calls, behind which stand real files ([`files`]), memory ([`memory`]) and
//! memory with faults ([`faulty`]).

pub mod faulty;
pub mod files;
pub mod memory;

use std::io;
use std::sync::Arc;

/// A folder of files. Names are plain, without separators.
pub trait Storage: Send + Sync {
    /// The names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Makes an empty file. Fails if there is one of this name: a segment is never written over. After a
    /// power cut it may be missing until [`Storage::sync_names`] has returned.
    fn create(&self, name: &str) -> io::Result<Arc<dyn StoredFile>>;

    /// Opens a file that exists, to read and write.
    fn open(&self, name: &str) -> io::Result<Arc<dyn StoredFile>>;

    /// Removes a file. After a power cut it may be there again until [`Storage::sync_names`] has returned.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of what had that name, in one step that a crash does not divide.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// When it returns, creations, removals and renames up to here outlast a power cut.
    fn sync_names(&self) -> io::Result<()>;

    /// Makes a file `bytes` long whose blocks are on the disk already, so that room is set aside; shrinks it
    /// if it is longer. Fails, with the file as it was or anywhere between, if there is no such room.
    fn preallocate(&self, name: &str, bytes: u64) -> io::Result<()>;
}

/// One file. Can be used from another thread, so that a sync stops nobody.
pub trait StoredFile: Send + Sync {
    fn size(&self) -> io::Result<u64>;

    /// Fills `to` from `at`; an end before that is an error of kind `UnexpectedEof`.
    fn read_at(&self, at: u64, to: &mut [u8]) -> io::Result<()>;

    /// Writes some of `bytes` at `at`, at least one, and says how many. When it returns they outlast the
    /// process, not a power cut. After an error any part of them may be there.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Cuts the file off, or lengthens it with zeros.
    fn set_size(&self, size: u64) -> io::Result<()>;

    /// When it returns, all that was written before the call outlasts a power cut. After an error nothing
    /// that was not synced before may be believed to, even if a later call succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// All of a file's bytes, in a buffer that is used again: fresh memory costs as much as reading.
pub(crate) fn read_into(file: &dyn StoredFile, bytes: &mut Vec<u8>) -> io::Result<()> {
    let size = usize::try_from(file.size()?).map_err(|_| io::ErrorKind::FileTooLarge)?;
    bytes.resize(size, 0);
    file.read_at(0, bytes)
}
