//! The machine's boot time clock. It also runs while the machine is suspended, is never stepped, and restarts
//! with the machine.

use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::fs;
use std::time::Duration;

/// File in which the kernel shows the id of the current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Id of a boot of the machine. Boot times can be compared only within a boot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootId(String);

impl BootId {
    /// The id of the current boot; `None` if the kernel does not show it.
    pub fn read() -> Option<Self> {
        fs::read_to_string(BOOT_ID_PATH).ok().and_then(|text| Self::new(text.trim()))
    }

    /// An id from its text; `None` unless it is a single word.
    pub fn new(text: &str) -> Option<Self> {
        let is_word = !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        is_word.then(|| BootId(text.to_owned()))
    }
}

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Time since boot, including suspend.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
