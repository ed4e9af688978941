//! Memory use of this process as the system and the allocator report it, and release of free memory.

use rustix::process::{Resource, getrlimit};
use serde::Serialize;
use std::fs;

/// Allocator statistics, bytes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AllocatorStats {
    /// Allocated to the program.
    pub allocated: u64,
    /// Free but not returned to the system, such as fragmentation.
    pub free: u64,
}

/// Address space that a process uses beside its memory, bytes: mappings of the program, mostly untouched
/// stacks, and the allocator's arenas. A courier with its threads uses 270 MB, and each thread's arena maps
/// 64 MB at once.
pub const MAPPINGS_BYTES: u64 = 320_000_000;

/// Resident memory, bytes; None if the system does not report it.
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Memory that the limit on the address space leaves, bytes; None without a limit or if it leaves nothing.
pub fn address_space_limit() -> Option<u64> {
    getrlimit(Resource::As).current?.checked_sub(MAPPINGS_BYTES)
}

/// Allocator statistics; None if the allocator does not report any.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn allocator_stats() -> Option<AllocatorStats> {
    // SAFETY: mallinfo2 takes no arguments and only reads the allocator's statistics, under its locks.
    let info = unsafe { libc::mallinfo2() };
    let allocated = info.uordblks as u64 + info.hblkhd as u64;
    Some(AllocatorStats { allocated, free: info.fordblks as u64 })
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn allocator_stats() -> Option<AllocatorStats> {
    None
}

/// Returns free memory to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn release_free() {
    // SAFETY: malloc_trim takes a number and only touches free memory, under the allocator's locks.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_free() {}
