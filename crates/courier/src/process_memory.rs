//! What the system and the allocator tell of this process, and how memory goes back to them.

use rustix::process::{Resource, getrlimit};
use serde::Serialize;
use std::fs;

/// How the allocator stands, bytes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AllocatorStats {
    /// Given out.
    pub allocated: u64,
    /// Not given out, and still the process's: what fragmentation costs.
    pub free: u64,
}

/// What a process's address space has beside its memory, bytes: mappings of the program, stacks that are mostly never
/// touched, the allocator's arenas. Measured: 270 MB for a courier with its threads, of which each thread's arena
/// maps 64 MB at once.
pub const MAPPINGS_BYTES: u64 = 320_000_000;

/// Resident memory, bytes; None where the system does not tell.
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// What the process may hold by the limit on its address space; None without one, or with one so low that nothing
/// is left.
pub fn address_space_limit() -> Option<u64> {
    getrlimit(Resource::As).current?.checked_sub(MAPPINGS_BYTES)
}

/// None with an allocator that does not tell.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn allocator_stats() -> Option<AllocatorStats> {
    // SAFETY: it takes no arguments and only reads the allocator's own books, under its locks.
    let info = unsafe { libc::mallinfo2() };
    let allocated = info.uordblks as u64 + info.hblkhd as u64;
    Some(AllocatorStats { allocated, free: info.fordblks as u64 })
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn allocator_stats() -> Option<AllocatorStats> {
    None
}

/// Gives what is free back to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn release_free() {
    // SAFETY: it takes a number and only touches memory that nobody has, under the allocator's locks.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_free() {}
