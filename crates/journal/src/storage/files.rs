//! Real files in a locked directory. Without the lock, two processes would take each other's records for
//! damage.

use super::{Storage, StoredFile};
use crate::error::{Error, FileCall};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name of the lock file; its content is not used.
pub(crate) const LOCK: &str = "lock";

/// A directory of files. The lock is held until this value is dropped.
pub struct FileStorage {
    folder: PathBuf,
    /// Opened to inspect the directory, possibly by a user without permission to write.
    read_only: bool,
    _lock: Option<File>,
}

impl FileStorage {
    /// Locks the directory exclusively.
    ///
    /// # Errors
    /// [`Error::Locked`] if another process holds the lock, [`Error::NotADirectory`] if there is no such
    /// directory.
    pub fn lock(folder: &Path) -> Result<Self, Error> {
        Self::check(folder)?;
        let shown = folder.join(LOCK).display().to_string();
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(folder.join(LOCK));
        let lock = lock.map_err(|e| Error::io(&shown, FileCall::Open, e))?;
        Self::hold(lock.try_lock(), folder)?;
        Ok(FileStorage { folder: folder.to_owned(), read_only: false, _lock: Some(lock) })
    }

    /// Opens the directory for reading if no process has locked it. Creates nothing, not even a lock file.
    ///
    /// # Errors
    /// As [`FileStorage::lock`].
    pub fn read_only(folder: &Path) -> Result<Self, Error> {
        Self::check(folder)?;
        let lock = match File::open(folder.join(LOCK)) {
            Ok(lock) => {
                // Several processes may read at the same time.
                Self::hold(lock.try_lock_shared(), folder)?;
                Some(lock)
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(Error::io(&folder.join(LOCK).display().to_string(), FileCall::Open, e)),
        };
        Ok(FileStorage { folder: folder.to_owned(), read_only: true, _lock: lock })
    }

    fn check(folder: &Path) -> Result<(), Error> {
        let shown = folder.display().to_string();
        match fs::metadata(folder) {
            Ok(found) if found.is_dir() => Ok(()),
            Ok(_) => Err(Error::NotADirectory { folder: shown }),
            Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::NotADirectory) => {
                Err(Error::NotADirectory { folder: shown })
            }
            Err(e) => Err(Error::io(&shown, FileCall::Open, e)),
        }
    }

    fn hold(tried: Result<(), TryLockError>, folder: &Path) -> Result<(), Error> {
        tried.map_err(|e| match e {
            TryLockError::WouldBlock => Error::Locked { folder: folder.display().to_string() },
            TryLockError::Error(e) => Error::io(&folder.join(LOCK).display().to_string(), FileCall::Lock, e),
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Storage for FileStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if let (true, Ok(name)) = (entry.file_type()?.is_file(), entry.file_name().into_string()) {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(self.path(name))?;
        Ok(Arc::new(file))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        let file = OpenOptions::new().read(true).write(!self.read_only).open(self.path(name))?;
        Ok(Arc::new(file))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn preallocate(&self, name: &str, bytes: u64) -> io::Result<()> {
        use rustix::fs::{FallocateFlags, fallocate};
        use rustix::io::retry_on_intr;
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(self.path(name))?;
        let before = file.metadata()?.len();
        if bytes > before {
            retry_on_intr(|| fallocate(&file, FallocateFlags::empty(), before, bytes - before))?;
        } else {
            file.set_len(bytes)?;
        }
        Ok(())
    }
}

impl StoredFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, at: u64, to: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(to, at)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        match FileExt::write_at(self, bytes, at)? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            n => Ok(n),
        }
    }

    fn set_size(&self, size: u64) -> io::Result<()> {
        self.set_len(size)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
