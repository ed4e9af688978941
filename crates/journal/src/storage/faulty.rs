//! In-memory files with injected faults: failing calls, short writes, a full disk, and the images that a
//! killed process or a power failure leaves. Every modifying call is recorded as a [`Step`], so that a test
//! can inspect the directory after any step, down to a single byte.

use super::memory::{MemoryStorage, put};
use super::{Storage, StoredFile};
use rand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A call that modifies the directory or makes changes durable. Files are identified by a number, so that a
/// handle stays with its file after a rename.
#[derive(Clone, Debug)]
pub enum Step {
    Create { name: String, file: usize },
    Write { file: usize, at: u64, bytes: Vec<u8> },
    SetSize { file: usize, size: u64 },
    Sync { file: usize },
    Remove { name: String },
    Rename { from: String, to: String },
    SyncNames,
}

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails without effect.
    Fails(io::ErrorKind),
    /// A creation, removal or rename takes effect, and yet reports a failure.
    FailsAfterEffect(io::ErrorKind),
    /// A write succeeds for this many bytes only.
    Short(usize),
    /// A write fails after writing this many bytes.
    Torn(usize, io::ErrorKind),
}

type Script = Box<dyn FnMut(usize, &Step) -> Option<Fault> + Send>;

#[derive(Default)]
struct Inner {
    steps: Vec<Step>,
    calls: usize,
    script: Option<Script>,
    files: usize,
    names: BTreeMap<String, usize>,
    sizes: BTreeMap<usize, u64>,
    capacity: Option<u64>,
}

/// An in-memory directory whose calls may fail. Clones share it.
#[derive(Clone, Default)]
pub struct FaultyStorage {
    content: MemoryStorage,
    inner: Arc<Mutex<Inner>>,
}

impl FaultyStorage {
    /// A directory with this content.
    pub fn from_image(image: BTreeMap<String, Vec<u8>>) -> Self {
        let mut inner = Inner::default();
        for (name, bytes) in &image {
            inner.names.insert(name.clone(), inner.files);
            inner.sizes.insert(inner.files, bytes.len() as u64);
            inner.files += 1;
        }
        FaultyStorage { content: MemoryStorage::with(image), inner: Arc::new(Mutex::new(inner)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on each modifying call is passed to `script` with its index before it is executed.
    pub fn set_fault_script(&self, script: impl FnMut(usize, &Step) -> Option<Fault> + Send + 'static) {
        self.inner().script = Some(Box::new(script));
    }

    /// Stops injecting faults; calls can still fail for lack of space.
    pub fn clear_faults(&self) {
        self.inner().script = None;
    }

    /// Sets the size of the disk in bytes, each file rounded up to 512; `None` for no limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.inner().capacity = bytes;
    }

    /// Bytes of all files, each rounded up to 512.
    pub fn used(&self) -> u64 {
        self.content.used()
    }

    /// All modifying calls so far.
    pub fn steps(&self) -> Vec<Step> {
        self.inner().steps.clone()
    }

    /// A copy of all files.
    pub fn image(&self) -> BTreeMap<String, Vec<u8>> {
        self.content.image()
    }

    /// The fault for a call, if the script returns one.
    fn fault(inner: &mut Inner, step: &Step) -> Option<Fault> {
        let n = inner.calls;
        inner.calls += 1;
        inner.script.as_mut().and_then(|script| script(n, step))
    }

    /// Executes a call that has its full effect or fails without any, and records it in the first case.
    fn call(&self, step: Step) -> io::Result<()> {
        self.call_with(step, || Ok(()))
    }

    /// The same for a call that has this effect on the content.
    fn call_with<T>(&self, step: Step, effect: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let mut inner = self.inner();
        let fault = Self::fault(&mut inner, &step);
        if let Some(Fault::Fails(kind)) = fault {
            return Err(kind.into());
        }
        let result = effect()?;
        inner.note(step);
        match fault {
            Some(Fault::FailsAfterEffect(kind)) => Err(kind.into()),
            _ => Ok(result),
        }
    }

    /// How many bytes of a write are written, and its result.
    fn write(&self, file: usize, at: u64, bytes: &[u8]) -> (usize, io::Result<()>) {
        let mut inner = self.inner();
        let step = Step::Write { file, at, bytes: bytes.to_vec() };
        let (most, outcome) = match Self::fault(&mut inner, &step) {
            None => (bytes.len(), Ok(())),
            Some(Fault::Fails(kind) | Fault::FailsAfterEffect(kind)) => (0, Err(kind)),
            Some(Fault::Short(n)) => (n.clamp(1, bytes.len()), Ok(())),
            Some(Fault::Torn(n, kind)) => (n.min(bytes.len()), Err(kind)),
        };
        let room = inner.room(file, at);
        let (most, outcome) = match room < most as u64 {
            true if room == 0 => (0, Err(io::ErrorKind::StorageFull)),
            true => (room as usize, outcome),
            false => (most, outcome),
        };
        if most > 0 {
            inner.note(Step::Write { file, at, bytes: bytes[..most].to_vec() });
        }
        (most, outcome.map_err(io::Error::from))
    }
}

impl Inner {
    fn note(&mut self, step: Step) {
        match &step {
            Step::Create { name, file } => {
                self.names.insert(name.clone(), *file);
                self.sizes.insert(*file, 0);
            }
            Step::Write { file, at, bytes } => {
                let size = self.sizes.entry(*file).or_default();
                *size = (*size).max(at + bytes.len() as u64);
            }
            Step::SetSize { file, size } => {
                self.sizes.insert(*file, *size);
            }
            Step::Remove { name } => {
                if let Some(file) = self.names.remove(name) {
                    self.sizes.remove(&file);
                }
            }
            Step::Rename { from, to } => {
                if let Some(file) = self.names.remove(from)
                    && let Some(over) = self.names.insert(to.clone(), file)
                {
                    self.sizes.remove(&over);
                }
            }
            Step::Sync { .. } | Step::SyncNames => {}
        }
        self.steps.push(step);
    }

    /// Number of bytes that can be written to a file from offset `at`.
    fn room(&self, file: usize, at: u64) -> u64 {
        let Some(capacity) = self.capacity else { return u64::MAX };
        let others = self.sizes.iter().filter(|(f, _)| **f != file);
        let others: u64 = others.map(|(_, size)| size.next_multiple_of(512)).sum();
        // Existing bytes can be overwritten.
        let own = self.sizes.get(&file).copied().unwrap_or_default().next_multiple_of(512);
        (capacity.saturating_sub(others) / 512 * 512).max(own).saturating_sub(at)
    }
}

/// An open file.
struct Handle {
    folder: FaultyStorage,
    file: usize,
    content: Arc<dyn StoredFile>,
}

impl Storage for FaultyStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        self.content.list()
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        let file = {
            let mut inner = self.inner();
            inner.files += 1;
            inner.files - 1
        };
        let step = Step::Create { name: name.to_owned(), file };
        let content = self.call_with(step, || self.content.create(name))?;
        Ok(Arc::new(Handle { folder: self.clone(), file, content }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn StoredFile>> {
        let file = self.inner().names.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(Arc::new(Handle { folder: self.clone(), file, content: self.content.open(name)? }))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.call_with(Step::Remove { name: name.to_owned() }, || self.content.remove(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let step = Step::Rename { from: from.to_owned(), to: to.to_owned() };
        self.call_with(step, || self.content.rename(from, to))
    }

    fn sync_names(&self) -> io::Result<()> {
        self.call(Step::SyncNames)
    }

    fn preallocate(&self, name: &str, bytes: u64) -> io::Result<()> {
        let handle = match self.open(name) {
            Ok(handle) => handle,
            Err(_) => self.create(name)?,
        };
        handle.set_size(bytes)
    }
}

impl StoredFile for Handle {
    fn size(&self) -> io::Result<u64> {
        self.content.size()
    }

    fn read_at(&self, at: u64, to: &mut [u8]) -> io::Result<()> {
        self.content.read_at(at, to)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        let (n, outcome) = self.folder.write(self.file, at, bytes);
        if n > 0 {
            self.content.write_at(at, &bytes[..n])?;
        }
        outcome.map(|()| n)
    }

    fn set_size(&self, size: u64) -> io::Result<()> {
        if size > self.size()? && self.folder.inner().room(self.file, 0) < size {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.folder.call(Step::SetSize { file: self.file, size })?;
        self.content.set_size(size)
    }

    fn sync(&self) -> io::Result<()> {
        self.folder.call(Step::Sync { file: self.file })
    }
}

/// Replays steps one by one and computes what a crash after any of them would leave.
#[derive(Clone, Default)]
pub struct Replay {
    /// The state that the running system sees.
    names: BTreeMap<String, usize>,
    files: BTreeMap<usize, Vec<u8>>,
    /// The state that survives a power failure, and the later steps, which may or may not.
    synced_names: BTreeMap<String, usize>,
    synced_files: BTreeMap<usize, Vec<u8>>,
    name_steps: Vec<Step>,
    file_steps: BTreeMap<usize, Vec<Step>>,
}

impl Replay {
    /// Starts from a directory that is completely on the device.
    pub fn from_image(image: &BTreeMap<String, Vec<u8>>) -> Self {
        let mut replay = Replay::default();
        for (file, (name, bytes)) in image.iter().enumerate() {
            replay.names.insert(name.clone(), file);
            replay.files.insert(file, bytes.clone());
        }
        (replay.synced_names, replay.synced_files) = (replay.names.clone(), replay.files.clone());
        replay
    }

    pub fn apply(&mut self, step: &Step) {
        apply_names(&mut self.names, step);
        match step {
            Step::Create { file, .. } => {
                self.files.insert(*file, Vec::new());
                self.name_steps.push(step.clone());
            }
            Step::Remove { .. } | Step::Rename { .. } => self.name_steps.push(step.clone()),
            Step::SyncNames => {
                self.synced_names = self.names.clone();
                self.name_steps.clear();
            }
            Step::Write { file, .. } | Step::SetSize { file, .. } => {
                apply_file(self.files.entry(*file).or_default(), step);
                self.file_steps.entry(*file).or_default().push(step.clone());
            }
            Step::Sync { file } => {
                self.synced_files.insert(*file, self.files.get(file).cloned().unwrap_or_default());
                self.file_steps.remove(file);
            }
        }
        self.files.retain(|file, _| self.names.values().chain(self.synced_names.values()).any(|f| f == file));
    }

    /// The directory that the next process finds if this one is killed now.
    pub fn after_kill(&self) -> BTreeMap<String, Vec<u8>> {
        let bytes = |file: &usize| self.files.get(file).cloned().unwrap_or_default();
        self.names.iter().map(|(name, file)| (name.clone(), bytes(file))).collect()
    }

    /// The directory after a power failure now: any part of what was not synced may be there, in any order.
    pub fn after_power_cut(&self, rng: &mut impl Rng) -> BTreeMap<String, Vec<u8>> {
        let mut names = self.synced_names.clone();
        for step in &self.name_steps {
            if rng.random_bool(0.5) {
                apply_names(&mut names, step);
            }
        }
        let bytes = |file: &usize, rng: &mut dyn rand::RngCore| {
            let mut bytes = self.synced_files.get(file).cloned().unwrap_or_default();
            for step in self.file_steps.get(file).into_iter().flatten() {
                match (rng.random_range(0..4), step) {
                    (0, _) => {}
                    (1, Step::Write { file, at, bytes: piece }) => {
                        let piece = piece[..rng.random_range(0..=piece.len())].to_vec();
                        apply_file(&mut bytes, &Step::Write { file: *file, at: *at, bytes: piece });
                    }
                    _ => apply_file(&mut bytes, step),
                }
            }
            bytes
        };
        names.into_iter().map(|(name, file)| (name, bytes(&file, rng))).collect()
    }
}

fn apply_names(names: &mut BTreeMap<String, usize>, step: &Step) {
    match step {
        Step::Create { name, file } => {
            names.insert(name.clone(), *file);
        }
        Step::Remove { name } => {
            names.remove(name);
        }
        Step::Rename { from, to } => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        _ => {}
    }
}

fn apply_file(file: &mut Vec<u8>, step: &Step) {
    match step {
        Step::Write { at, bytes, .. } => put(file, *at, bytes),
        Step::SetSize { size, .. } => file.resize(*size as usize, 0),
        _ => {}
    }
}
