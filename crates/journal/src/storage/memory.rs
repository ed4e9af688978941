//! In-memory files without faults, for tests, and as the content behind [`super::faulty`].

use super::{Storage, StoredFile};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The content of an in-memory file.
pub type MemoryFile = Arc<Mutex<Vec<u8>>>;

/// An in-memory directory. Clones share it.
#[derive(Clone, Default)]
pub struct MemoryStorage {
    files: Arc<Mutex<BTreeMap<String, MemoryFile>>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryStorage {
    /// A directory with these files.
    pub fn with(files: impl IntoIterator<Item = (String, Vec<u8>)>) -> Self {
        let files = files.into_iter().map(|(name, bytes)| (name, Arc::new(Mutex::new(bytes))));
        MemoryStorage { files: Arc::new(Mutex::new(files.collect())) }
    }

    /// A copy of all files.
    pub fn image(&self) -> BTreeMap<String, Vec<u8>> {
        lock(&self.files).iter().map(|(name, bytes)| (name.clone(), lock(bytes).clone())).collect()
    }

    /// Bytes of all files, each rounded up to 512.
    pub fn used(&self) -> u64 {
        lock(&self.files).values().map(|b| (lock(b).len() as u64).next_multiple_of(512)).sum()
    }

    fn get(&self, name: &str) -> io::Result<MemoryFile> {
        lock(&self.files).get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(lock(&self.files).keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        let mut files = lock(&self.files);
        if files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let file = MemoryFile::default();
        files.insert(name.to_owned(), file.clone());
        Ok(Arc::new(file))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        Ok(Arc::new(self.get(name)?))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        lock(&self.files).remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = lock(&self.files);
        let file = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }

    fn preallocate(&self, name: &str, bytes: u64) -> io::Result<()> {
        let file = lock(&self.files).entry(name.to_owned()).or_default().clone();
        file.set_size(bytes)
    }
}

impl StoredFile for MemoryFile {
    fn size(&self) -> io::Result<u64> {
        Ok(lock(self).len() as u64)
    }

    fn read_at(&self, at: u64, to: &mut [u8]) -> io::Result<()> {
        let bytes = lock(self);
        let from = bytes.get(at as usize..at as usize + to.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        to.copy_from_slice(from);
        Ok(())
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        put(&mut lock(self), at, bytes);
        Ok(bytes.len())
    }

    fn set_size(&self, size: u64) -> io::Result<()> {
        lock(self).resize(size as usize, 0);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes into a file's bytes, filling a gap before them with zeros.
pub(crate) fn put(file: &mut Vec<u8>, at: u64, bytes: &[u8]) {
    let (at, end) = (at as usize, at as usize + bytes.len());
    if file.len() < end {
        file.resize(end, 0);
    }
    file[at..end].copy_from_slice(bytes);
}
