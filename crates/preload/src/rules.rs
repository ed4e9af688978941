//! The rules of the control file, and whether one of them applies to a call.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

/// How often the control file is read again, in ns.
const REFRESH_NS: i64 = 5_000_000;
/// Longest control file, in bytes.
const MAX_FILE: usize = 4096;

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Recv,
    /// `recv` of a Unix socket: what a program says to itself.
    RecvLocal,
    Send,
    Connect,
    Accept,
    Write,
    Sync,
    Rename,
    Open,
}

impl Call {
    fn named(name: &str) -> Option<Self> {
        Some(match name {
            "recv" => Call::Recv,
            "recv-local" => Call::RecvLocal,
            "send" => Call::Send,
            "connect" => Call::Connect,
            "accept" => Call::Accept,
            "write" => Call::Write,
            "sync" => Call::Sync,
            "rename" => Call::Rename,
            "open" => Call::Open,
            _ => return None,
        })
    }
}

/// What happens in place of the whole call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this `errno`.
    Errno(i32),
    /// It does a part of what it was asked for.
    Short,
}

impl Fault {
    fn named(name: &str) -> Option<Self> {
        Some(Fault::Errno(match name {
            "short" => return Some(Fault::Short),
            "EINTR" => libc::EINTR,
            "EIO" => libc::EIO,
            "ENOSPC" => libc::ENOSPC,
            "EMFILE" => libc::EMFILE,
            "ENOBUFS" => libc::ENOBUFS,
            "ENOMEM" => libc::ENOMEM,
            "ECONNABORTED" => libc::ECONNABORTED,
            "ECONNRESET" => libc::ECONNRESET,
            "EPIPE" => libc::EPIPE,
            "ETIMEDOUT" => libc::ETIMEDOUT,
            "EHOSTUNREACH" => libc::EHOSTUNREACH,
            "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
            _ => return None,
        }))
    }
}

struct Rule {
    call: Call,
    fault: Fault,
    /// It applies to the first of every so many calls.
    every: u64,
    calls: u64,
}

/// Seconds by which the wall clock is off.
static CLOCK_OFFSET: AtomicI64 = AtomicI64::new(0);
static RULES: Mutex<Vec<Rule>> = Mutex::new(Vec::new());
static LAST_READ: AtomicI64 = AtomicI64::new(i64::MIN);
static LAST_TEXT: Mutex<String> = Mutex::new(String::new());
/// Faults that were injected.
static INJECTED: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// This thread is in this library: its own calls are left alone.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// Runs `work`, unless this thread is in this library already.
pub fn guarded<T>(work: impl FnOnce() -> T) -> Option<T> {
    INSIDE.try_with(|inside| inside.replace(true)).ok().filter(|inside| !inside)?;
    let result = work();
    INSIDE.with(|inside| inside.set(false));
    Some(result)
}

/// What happens to this call, if anything.
pub fn fault(call: Call) -> Option<Fault> {
    guarded(|| {
        refresh();
        let mut rules = RULES.lock().ok()?;
        let mut found = None;
        for rule in rules.iter_mut().filter(|rule| rule.call == call) {
            if rule.calls.is_multiple_of(rule.every) {
                found = found.or(Some(rule.fault));
            }
            rule.calls += 1;
        }
        if found.is_some() {
            INJECTED.fetch_add(1, Ordering::Relaxed);
        }
        found
    })
    .flatten()
}

/// Seconds by which the wall clock is off.
pub fn clock_offset() -> i64 {
    guarded(refresh);
    CLOCK_OFFSET.load(Ordering::Relaxed)
}

/// The folder whose files may fail, without a slash at its end.
pub fn folder() -> Option<&'static str> {
    static FOLDER: OnceLock<Option<String>> = OnceLock::new();
    FOLDER.get_or_init(|| std::env::var("STAIRSHED_FAULTS_FOLDER").ok()).as_deref()
}

fn control_path() -> Option<&'static CString> {
    static PATH: OnceLock<Option<CString>> = OnceLock::new();
    PATH.get_or_init(|| CString::new(std::env::var("STAIRSHED_FAULTS").ok()?).ok()).as_ref()
}

/// Reads the control file again if it is time, and puts what has changed into effect.
fn refresh() {
    let now = monotonic_ns();
    let last = LAST_READ.load(Ordering::Relaxed);
    let due = now.saturating_sub(last) >= REFRESH_NS;
    if !due || LAST_READ.compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed).is_err() {
        return;
    }
    let Some(text) = control_path().and_then(read_file) else { return };
    let Ok(mut before) = LAST_TEXT.lock() else { return };
    if *before != text {
        apply(&text);
        *before = text;
    }
}

fn apply(text: &str) {
    let mut rules = Vec::new();
    CLOCK_OFFSET.store(0, Ordering::Relaxed);
    for line in text.lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["clock", offset] => CLOCK_OFFSET.store(offset.parse().unwrap_or(0), Ordering::Relaxed),
            [call, fault, every] => {
                let every = every.parse().ok().filter(|n| *n > 0);
                if let (Some(call), Some(fault), Some(every)) =
                    (Call::named(call), Fault::named(fault), every)
                {
                    rules.push(Rule { call, fault, every, calls: 0 });
                }
            }
            _ => {}
        }
    }
    if let Ok(mut current) = RULES.lock() {
        *current = rules;
    }
}

/// Reads a short file by system calls of its own: those of the C library lead back here.
fn read_file(path: &'static CString) -> Option<String> {
    let mut bytes = vec![0u8; MAX_FILE];
    // SAFETY: the path ends with a zero byte, and the buffer is as long as the call is told.
    let read = unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let read = libc::syscall(libc::SYS_read, file, bytes.as_mut_ptr(), MAX_FILE);
        libc::syscall(libc::SYS_close, file);
        read
    };
    bytes.truncate(usize::try_from(read).ok()?);
    String::from_utf8(bytes).ok()
}

fn monotonic_ns() -> i64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a place for the result.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec * 1_000_000_000 + time.tv_nsec
}
