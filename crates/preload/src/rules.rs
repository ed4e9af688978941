//! The rules of the control file, and which of them applies to a call.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

/// Interval between reads of the control file.
const REFRESH_INTERVAL_NS: i64 = 5_000_000;
/// Maximum size of the control file.
const MAX_FILE_BYTES: usize = 4096;

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Recv,
    /// `recv` on a Unix socket, such as a socket pair within one program.
    RecvLocal,
    /// `read` on a signal descriptor (`signalfd`).
    ReadSignal,
    Send,
    Connect,
    Accept,
    Write,
    Sync,
    Rename,
    Open,
    Truncate,
    Unlink,
    Bind,
    Wait,
}

impl Call {
    fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "recv" => Call::Recv,
            "recv-local" => Call::RecvLocal,
            "read-signal" => Call::ReadSignal,
            "send" => Call::Send,
            "connect" => Call::Connect,
            "accept" => Call::Accept,
            "write" => Call::Write,
            "sync" => Call::Sync,
            "rename" => Call::Rename,
            "open" => Call::Open,
            "truncate" => Call::Truncate,
            "unlink" => Call::Unlink,
            "bind" => Call::Bind,
            "wait" => Call::Wait,
            _ => return None,
        })
    }
}

/// The fault injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this `errno`.
    Errno(i32),
    /// The call transfers only a part of the data.
    Short,
    /// The call transfers one byte.
    OneByte,
}

impl Fault {
    fn from_name(name: &str) -> Option<Self> {
        Some(Fault::Errno(match name {
            "short" => return Some(Fault::Short),
            "one-byte" => return Some(Fault::OneByte),
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
            "EADDRINUSE" => libc::EADDRINUSE,
            "EACCES" => libc::EACCES,
            "EPROTO" => libc::EPROTO,
            "EROFS" => libc::EROFS,
            _ => return None,
        }))
    }
}

/// Which calls a rule applies to, by the number of calls before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// The first of every so many calls.
    Every(u64),
    /// One call only, counted from 1.
    Nth(u64),
}

impl Choice {
    fn from_word(word: &str) -> Option<Self> {
        let number = |text: &str| text.parse().ok().filter(|n| *n > 0);
        match word.strip_prefix("nth=") {
            Some(nth) => number(nth).map(Choice::Nth),
            None => number(word).map(Choice::Every),
        }
    }

    fn applies(self, calls_before: u64) -> bool {
        match self {
            Choice::Every(every) => calls_before.is_multiple_of(every),
            Choice::Nth(nth) => calls_before + 1 == nth,
        }
    }
}

struct Rule {
    call: Call,
    fault: Fault,
    choice: Choice,
    /// Calls seen so far.
    calls: u64,
}

/// Offset added to the wall clock, in seconds.
static CLOCK_OFFSET: AtomicI64 = AtomicI64::new(0);
static RULES: Mutex<Vec<Rule>> = Mutex::new(Vec::new());
static LAST_READ: AtomicI64 = AtomicI64::new(i64::MIN);
static LAST_TEXT: Mutex<String> = Mutex::new(String::new());
/// Number of injected faults.
static INJECTED: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// Whether this thread is inside this library; calls that the library itself makes are not intercepted.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// Runs `work`, unless this thread is already inside this library; then returns None.
pub fn without_reentry<T>(work: impl FnOnce() -> T) -> Option<T> {
    INSIDE.try_with(|inside| inside.replace(true)).ok().filter(|inside| !inside)?;
    let result = work();
    INSIDE.with(|inside| inside.set(false));
    Some(result)
}

/// The fault to inject into this call, if any. Counts the call for its rules.
pub fn fault(call: Call) -> Option<Fault> {
    without_reentry(|| {
        refresh();
        let mut rules = RULES.lock().ok()?;
        let mut found = None;
        for rule in rules.iter_mut().filter(|rule| rule.call == call) {
            if rule.choice.applies(rule.calls) {
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

/// Offset to add to the wall clock, in seconds.
pub fn clock_offset() -> i64 {
    without_reentry(refresh);
    CLOCK_OFFSET.load(Ordering::Relaxed)
}

/// The folder whose files are subject to faults, from `STAIRSHED_FAULTS_FOLDER`, without a trailing slash.
pub fn folder() -> Option<&'static str> {
    static FOLDER: OnceLock<Option<String>> = OnceLock::new();
    FOLDER.get_or_init(|| std::env::var("STAIRSHED_FAULTS_FOLDER").ok()).as_deref()
}

fn control_path() -> Option<&'static CString> {
    static PATH: OnceLock<Option<CString>> = OnceLock::new();
    PATH.get_or_init(|| CString::new(std::env::var("STAIRSHED_FAULTS").ok()?).ok()).as_ref()
}

/// Reads the control file again when the interval has passed, and applies its rules if it has changed.
fn refresh() {
    let now = monotonic_ns();
    let last = LAST_READ.load(Ordering::Relaxed);
    let due = now.saturating_sub(last) >= REFRESH_INTERVAL_NS;
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
            [call, fault, choice] => {
                if let (Some(call), Some(fault), Some(choice)) =
                    (Call::from_name(call), Fault::from_name(fault), Choice::from_word(choice))
                {
                    rules.push(Rule { call, fault, choice, calls: 0 });
                }
            }
            _ => {}
        }
    }
    if let Ok(mut current) = RULES.lock() {
        *current = rules;
    }
}

/// Reads a short file with direct system calls, since the functions of the C library are intercepted by this
/// library.
fn read_file(path: &'static CString) -> Option<String> {
    let mut bytes = vec![0u8; MAX_FILE_BYTES];
    // SAFETY: the path is NUL-terminated, and the buffer has the length that is passed.
    let read = unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let read = libc::syscall(libc::SYS_read, file, bytes.as_mut_ptr(), MAX_FILE_BYTES);
        libc::syscall(libc::SYS_close, file);
        read
    };
    bytes.truncate(usize::try_from(read).ok()?);
    String::from_utf8(bytes).ok()
}

fn monotonic_ns() -> i64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec * 1_000_000_000 + time.tv_nsec
}
