//! Replacements for C library functions that inject the faults of the rules and then call the real function.

use crate::call::{Call, Fault, SLOW_CALL};
use crate::rules::{bytes_before_kill, clock_offset_ns, fault, folder, possible_fault};
use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, epoll_event, iovec, mode_t, size_t, sockaddr, socklen_t,
    ssize_t, timespec,
};
use std::ffi::CStr;
use std::sync::OnceLock;

/// The next definition of a function after this library's (`RTLD_NEXT`). Expands to unsafe code; the type
/// must be the one that the C library declares.
macro_rules! real_function {
    ($name:literal as $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let find = || libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) as usize;
        std::mem::transmute::<usize, $type>(*ADDRESS.get_or_init(find))
    }};
}

fn fail_with(errno: c_int) -> ssize_t {
    // SAFETY: points to the `errno` of this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Half of a length, but at least one byte unless it is zero.
fn partial_length(length: size_t) -> size_t {
    (length / 2).max(length.min(1))
}

/// What is left of a call with this length.
enum Transfer {
    /// The call fails with this `errno`.
    Fail(c_int),
    /// The call transfers at most this length.
    AtMost(size_t),
}

impl Transfer {
    fn new(fault: Option<Fault>, length: size_t) -> Self {
        match fault {
            Some(Fault::Errno(errno)) => Transfer::Fail(errno),
            Some(Fault::Short) => Transfer::AtMost(partial_length(length)),
            Some(Fault::OneByte) => Transfer::AtMost(length.min(1)),
            Some(Fault::Slow) | None => Transfer::AtMost(length),
        }
    }

    /// Like `new`, for calls on files: those outside the folder have no faults.
    fn of_file(call: Call, descriptor: c_int, length: size_t) -> Self {
        let injected = if in_folder(descriptor) { fault(call) } else { None };
        Transfer::new(injected, length)
    }
}

/// Ends this process at once, as a kill from outside does.
fn kill_process() {
    // SAFETY: signals this process only.
    unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
}

/// Whether a call on an inet socket of this domain is subject to faults.
fn is_inet(domain: c_int) -> bool {
    matches!(domain, libc::AF_INET | libc::AF_INET6)
}

/// Maximum length of the target of a descriptor's link, bytes; longer ones are cut off.
const MAX_LINK_BYTES: usize = 512;

/// Whether what a descriptor refers to, as its link in `/proc` names it, starts with `prefix`.
fn refers_to(descriptor: c_int, prefix: &str) -> bool {
    let link = format!("/proc/self/fd/{descriptor}\0");
    let mut target = [0u8; MAX_LINK_BYTES];
    // SAFETY: the link is NUL-terminated, and the buffer has the length that is passed.
    let length = unsafe {
        libc::syscall(libc::SYS_readlinkat, libc::AT_FDCWD, link.as_ptr(), target.as_mut_ptr(), target.len())
    };
    usize::try_from(length).is_ok_and(|length| target[..length].starts_with(prefix.as_bytes()))
}

/// Whether a descriptor refers to a file in the folder whose files are subject to faults.
fn in_folder(descriptor: c_int) -> bool {
    folder().is_some_and(|folder| refers_to(descriptor, folder))
}

/// Whether a descriptor is a signal descriptor.
fn is_signal(descriptor: c_int) -> bool {
    refers_to(descriptor, "anon_inode:[signalfd]")
}

/// Whether a descriptor is a Unix socket.
fn is_unix(socket: c_int) -> bool {
    let (mut domain, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: `domain` is valid for writes and has the length that is passed.
    let result = unsafe {
        libc::getsockopt(socket, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    result == 0 && domain == libc::AF_UNIX
}

/// Whether a path is in the folder whose files are subject to faults.
///
/// # Safety
/// `path` must point to a NUL-terminated string.
unsafe fn is_below_folder(path: *const c_char) -> bool {
    // SAFETY: guaranteed by the caller.
    let path = unsafe { CStr::from_ptr(path) };
    folder().is_some_and(|folder| path.to_bytes().starts_with(folder.as_bytes()))
}

type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let call = if is_unix(socket) { Call::RecvLocal } else { Call::Recv };
    // A short read has always been one of a single byte.
    let injected = fault(call).map(|fault| if fault == Fault::Short { Fault::OneByte } else { fault });
    let length = match Transfer::new(injected, length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("recv" as Recv)(socket, buffer, length, flags) }
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match Transfer::new(fault(Call::Send), length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("send" as Send)(socket, buffer, length, flags) }
}

type Writev = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let count = match fault(Call::Send) {
        Some(Fault::Errno(errno)) => return fail_with(errno),
        Some(Fault::OneByte) => {
            // SAFETY: the caller passes `count` buffers.
            return unsafe { write_one_byte(descriptor, buffers, count) };
        }
        Some(Fault::Short) => count.min(1),
        Some(Fault::Slow) | None => count,
    };
    // SAFETY: the caller's arguments, or fewer of its buffers.
    unsafe { real_function!("writev" as Writev)(descriptor, buffers, count) }
}

/// Writes the first byte of the buffers.
///
/// # Safety
/// `buffers` must point to `count` valid buffers.
unsafe fn write_one_byte(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: guaranteed by the caller.
    let all = unsafe { std::slice::from_raw_parts(buffers, usize::try_from(count).unwrap_or(0)) };
    let first = all.iter().find(|buffer| buffer.iov_len > 0);
    let Some(first) = first.map(|buffer| iovec { iov_len: 1, ..*buffer }) else { return 0 };
    // SAFETY: a part of one of the caller's buffers.
    unsafe { real_function!("writev" as Writev)(descriptor, &raw const first, 1) }
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if is_inet(domain)
        && let Some(Fault::Errno(errno)) = fault(Call::Socket)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("socket" as Socket)(domain, kind, protocol) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if !is_unix(socket)
        && let Some(Fault::Errno(errno)) = fault(Call::Bind)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("bind" as Connect)(socket, address, length) }
}

type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    count: c_int,
    timeout_ms: c_int,
) -> c_int {
    if timeout_ms != 0
        && let Some(Fault::Errno(errno)) = fault(Call::Wait)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("epoll_wait" as EpollWait)(descriptor, events, count, timeout_ms) }
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Connect) {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("connect" as Connect)(socket, address, length) }
}

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Accept) {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("accept4" as Accept)(socket, address, length, flags) }
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let length = match Transfer::of_file(Call::Write, descriptor, length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    if in_folder(descriptor)
        && let Some(before) = bytes_before_kill(length)
    {
        // SAFETY: the caller's arguments with a shorter length.
        unsafe { real_function!("write" as Write)(descriptor, buffer, before) };
        kill_process();
    }
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("write" as Write)(descriptor, buffer, length) }
}

type Pwrite = unsafe extern "C" fn(c_int, *const c_void, size_t, i64) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: i64,
) -> ssize_t {
    let length = match Transfer::of_file(Call::Write, descriptor, length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    if in_folder(descriptor)
        && let Some(before) = bytes_before_kill(length)
    {
        // SAFETY: the caller's arguments with a shorter length.
        unsafe { real_function!("pwrite64" as Pwrite)(descriptor, buffer, before, offset) };
        kill_process();
    }
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("pwrite64" as Pwrite)(descriptor, buffer, length, offset) }
}

type Sync = unsafe extern "C" fn(c_int) -> c_int;

/// Applies the fault of a sync of a file, if it has one. The error is the `errno` that it fails with.
fn apply_sync_fault(descriptor: c_int) -> Result<(), c_int> {
    if !in_folder(descriptor) {
        return Ok(());
    }
    match fault(Call::Sync) {
        Some(Fault::Errno(errno)) => Err(errno),
        Some(Fault::Slow) => {
            std::thread::sleep(SLOW_CALL);
            Ok(())
        }
        Some(Fault::Short | Fault::OneByte) | None => Ok(()),
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Err(errno) = apply_sync_fault(descriptor) {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's argument.
    unsafe { real_function!("fsync" as Sync)(descriptor) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Err(errno) = apply_sync_fault(descriptor) {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's argument.
    unsafe { real_function!("fdatasync" as Sync)(descriptor) }
}

type Ftruncate = unsafe extern "C" fn(c_int, i64) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(descriptor: c_int, length: i64) -> c_int {
    if in_folder(descriptor)
        && let Some(Fault::Errno(errno)) = fault(Call::Truncate)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("ftruncate64" as Ftruncate)(descriptor, length) }
}

type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if is_signal(descriptor)
        && let Some(Fault::Errno(errno)) = fault(Call::ReadSignal)
    {
        return fail_with(errno);
    }
    let length = match Transfer::of_file(Call::Read, descriptor, length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("read" as Read)(descriptor, buffer, length) }
}

type Pread = unsafe extern "C" fn(c_int, *mut c_void, size_t, i64) -> ssize_t;

#[unsafe(no_mangle)]
unsafe extern "C" fn pread64(descriptor: c_int, buffer: *mut c_void, length: size_t, offset: i64) -> ssize_t {
    let length = match Transfer::of_file(Call::Read, descriptor, length) {
        Transfer::Fail(errno) => return fail_with(errno),
        Transfer::AtMost(length) => length,
    };
    // SAFETY: the caller's arguments, or a shorter length for its buffer.
    unsafe { real_function!("pread64" as Pread)(descriptor, buffer, length, offset) }
}

type Unlink = unsafe extern "C" fn(*const c_char) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    // SAFETY: the caller passes a NUL-terminated path.
    if unsafe { is_below_folder(path) }
        && let Some(Fault::Errno(errno)) = fault(Call::Unlink)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's argument.
    unsafe { real_function!("unlink" as Unlink)(path) }
}

type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller passes a NUL-terminated path.
    if unsafe { is_below_folder(to) }
        && let Some(Fault::Errno(errno)) = fault(Call::Rename)
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("rename" as Rename)(from, to) }
}

/// Whether `open` with these flags can have a fault: a read-only file system refuses writers only, and a full one
/// only new files.
fn open_can_have(flags: c_int, fault: Fault) -> bool {
    let writes = flags & libc::O_ACCMODE != libc::O_RDONLY;
    let creates = flags & libc::O_CREAT != 0;
    match fault {
        Fault::Errno(libc::EROFS) => writes || creates,
        Fault::Errno(libc::ENOSPC | libc::EDQUOT) => creates,
        _ => true,
    }
}

type Open = unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int;

/// The mode is used only with `O_CREAT`; without it an unspecified value is passed on, which the real
/// function ignores.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller passes a NUL-terminated path.
    if unsafe { is_below_folder(path) }
        && let Some(Fault::Errno(errno)) = possible_fault(Call::Open, |fault| open_can_have(flags, fault))
    {
        return fail_with(errno) as c_int;
    }
    // SAFETY: the caller's arguments.
    unsafe { real_function!("open64" as Open)(path, flags, mode) }
}

const NS_PER_SECOND: i64 = 1_000_000_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments.
    let result = unsafe { real_function!("clock_gettime" as ClockGettime)(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the successful call has initialised `time`.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + clock_offset_ns();
        time.tv_sec += nanoseconds.div_euclid(NS_PER_SECOND);
        time.tv_nsec = nanoseconds.rem_euclid(NS_PER_SECOND);
    }
    result
}
