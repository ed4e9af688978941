//! The rules of the control file, and which of them applies to a call.

use crate::call::{Call, Fault};
use crate::counts::count;
use crate::rule::{KillRule, Line, Rule, parse_line};
use std::cell::Cell;
use std::ffi::CString;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Mutex, OnceLock};

/// Interval between reads of the control file.
const REFRESH_INTERVAL_NS: i64 = 5_000_000;
/// Maximum size of the control file.
const MAX_FILE_BYTES: usize = 16 * 1024;

/// The rules that were read last.
struct Rules {
    text: String,
    /// Each rule with its line. One whose line stays as it is goes on counting when the file changes.
    calls: Vec<(String, Rule)>,
    kills: Vec<(String, KillRule)>,
}

/// Offset added to the wall clock, in nanoseconds.
static CLOCK_OFFSET: AtomicI64 = AtomicI64::new(0);
/// Whether the wall clock has not been read yet since its offset changed.
static CLOCK_STEP_UNSEEN: AtomicBool = AtomicBool::new(false);
static RULES: Mutex<Rules> = Mutex::new(Rules { text: String::new(), calls: Vec::new(), kills: Vec::new() });
static LAST_READ: AtomicI64 = AtomicI64::new(i64::MIN);

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
    possible_fault(call, |_| true)
}

/// Like [`fault`], for a call that can have only some of the faults; it does not count for rules with others.
pub fn possible_fault(call: Call, is_possible: impl Fn(Fault) -> bool) -> Option<Fault> {
    without_reentry(|| {
        refresh();
        let now = monotonic_ns();
        let mut rules = RULES.lock().ok()?;
        let mut found = None;
        for (_, rule) in &mut rules.calls {
            if rule.call == call && is_possible(rule.fault) && rule.applies(now) {
                found = found.or(Some(rule.fault));
            }
        }
        if let Some(fault) = found {
            count(call.name(), fault.name(), control_path()?);
        }
        found
    })
    .flatten()
}

/// How much of a write of this length to do before the process kills itself, if a rule says so.
pub fn bytes_before_kill(length: usize) -> Option<usize> {
    without_reentry(|| {
        refresh();
        let mut rules = RULES.lock().ok()?;
        let bytes = rules.kills.iter_mut().filter_map(|(_, rule)| rule.bytes_before_kill(length)).min()?;
        count(Call::Write.name(), "kill", control_path()?);
        Some(bytes)
    })
    .flatten()
}

/// Offset to add to the wall clock, in nanoseconds.
pub fn clock_offset_ns() -> i64 {
    without_reentry(|| {
        refresh();
        if CLOCK_STEP_UNSEEN.swap(false, Ordering::Relaxed)
            && let Some(path) = control_path()
        {
            count("clock", "step", path);
        }
    });
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
    let Ok(mut rules) = RULES.lock() else { return };
    if rules.text != text {
        apply(&mut rules, text, now);
    }
}

fn apply(rules: &mut Rules, text: String, now_ns: i64) {
    let earlier_calls = std::mem::take(&mut rules.calls);
    let earlier_kills = std::mem::take(&mut rules.kills);
    let mut clock_offset_ns = 0;
    for (index, line) in text.lines().enumerate() {
        match parse_line(line) {
            Ok(None) => {}
            Ok(Some(Line::Clock(offset_ns))) => clock_offset_ns = offset_ns,
            Ok(Some(Line::Rule(rule))) => {
                let kept = earlier_calls.iter().find(|(earlier, _)| earlier == line);
                let rule = kept.map_or(rule.read_at(now_ns), |(_, kept)| kept.clone());
                rules.calls.push((line.to_owned(), rule));
            }
            Ok(Some(Line::Kill(rule))) => {
                let kept = earlier_kills.iter().find(|(earlier, _)| earlier == line);
                rules.kills.push((line.to_owned(), kept.map_or(rule, |(_, kept)| kept.clone())));
            }
            Err(why) => report(&format!("stairshed-preload: line {}: {why}: {line}\n", index + 1)),
        }
    }
    if CLOCK_OFFSET.swap(clock_offset_ns, Ordering::Relaxed) != clock_offset_ns {
        CLOCK_STEP_UNSEEN.store(true, Ordering::Relaxed);
    }
    rules.text = text;
}

/// Writes to standard error with a direct system call.
fn report(text: &str) {
    // SAFETY: the buffer has the length that is passed.
    unsafe { libc::syscall(libc::SYS_write, libc::STDERR_FILENO, text.as_ptr(), text.len()) };
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
