//! Counts of the injected faults, kept in a file beside the control file so that they outlast a kill.

use std::collections::BTreeMap;
use std::ffi::{CString, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::sync::Mutex;

/// The counts of this process and the file they are kept in, opened at the first fault.
struct Counts {
    by_fault: BTreeMap<(&'static str, &'static str), u64>,
    file: Option<libc::c_long>,
}

static COUNTS: Mutex<Counts> = Mutex::new(Counts { by_fault: BTreeMap::new(), file: None });

/// Counts a fault, and writes all counts to `CONTROL-FILE.counts.PID`: a line `CALL FAULT NUMBER` for each kind.
pub fn count(call: &'static str, fault: &'static str, control_path: &CString) {
    let Ok(mut counts) = COUNTS.lock() else { return };
    *counts.by_fault.entry((call, fault)).or_default() += 1;
    let file = match counts.file {
        Some(file) => file,
        None => *counts.file.insert(create(control_path)),
    };
    let lines = counts.by_fault.iter().map(|((call, fault), number)| format!("{call} {fault} {number}\n"));
    let text: String = lines.collect();
    // Numbers only grow, so that a newer text covers an older one whole.
    // SAFETY: the buffer has the length that is passed; a bad descriptor makes the call fail.
    unsafe { libc::syscall(libc::SYS_pwrite64, file, text.as_ptr(), text.len(), 0) };
}

fn create(control_path: &CString) -> libc::c_long {
    let own =
        format!("{}.counts.{}", OsStr::from_bytes(control_path.as_bytes()).display(), std::process::id());
    let Ok(path) = CString::new(own) else { return -1 };
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_TRUNC | libc::O_CLOEXEC;
    // SAFETY: the path is NUL-terminated.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644) }
}
