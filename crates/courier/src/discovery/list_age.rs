//! How old the list of endpoints is, across restarts: the moment of discovery's last word is kept in the state folder,
//! on the clock of the machine, which runs on while no process does and is not stepped with the time of day.

use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const FILE_NAME: &str = "list-age";
const NEXT_FILE_NAME: &str = "list-age.next";
/// The clock of the file starts anew with the machine: its name tells one run of the machine from another.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// What a start knows of the age of the list that it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// Discovery's last word came so long ago.
    Known(Duration),
    /// No earlier life has left a word of it.
    Unrecorded,
    /// What an earlier life left cannot be used: damaged, of another discovery, or from before the machine's last start.
    Unknown,
}

/// The file that holds the moment of discovery's last word.
pub struct ListAgeFile {
    path: PathBuf,
    next: PathBuf,
    boot_id: Option<String>,
}

impl ListAgeFile {
    pub fn new(folder: &Path) -> Self {
        let boot_id = fs::read_to_string(BOOT_ID).ok().map(|id| id.trim().to_owned());
        ListAgeFile { path: folder.join(FILE_NAME), next: folder.join(NEXT_FILE_NAME), boot_id }
    }

    /// How long ago the last word of this discovery came.
    pub fn load(&self, discovery: SocketAddr) -> ListAge {
        match fs::read_to_string(&self.path) {
            Ok(text) => self.age(&text, discovery, machine_time()).map_or(ListAge::Unknown, ListAge::Known),
            Err(e) if e.kind() == io::ErrorKind::NotFound => ListAge::Unrecorded,
            Err(_) => ListAge::Unknown,
        }
    }

    fn age(&self, text: &str, discovery: SocketAddr, now: Duration) -> Option<Duration> {
        let (boot_id, rest) = text.strip_suffix('\n')?.split_once(' ')?;
        let (nanoseconds, of) = rest.split_once(' ')?;
        let applies = self.boot_id.as_deref() == Some(boot_id) && of.parse() == Ok(discovery);
        let at = Duration::from_nanos(nanoseconds.parse().ok().filter(|_| applies)?);
        now.checked_sub(at)
    }

    /// Notes that a word of this discovery came just now. Beside the old one, then in its place: a crash leaves either whole.
    ///
    /// # Errors
    /// It cannot be written; what stands there stays, and is older.
    pub fn save(&self, discovery: SocketAddr) -> io::Result<()> {
        let Some(boot_id) = &self.boot_id else { return Ok(()) };
        fs::write(&self.next, format!("{boot_id} {} {discovery}\n", machine_time().as_nanos()))?;
        fs::rename(&self.next, &self.path)
    }
}

/// Time since the machine started, time asleep included.
fn machine_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

#[cfg(test)]
#[path = "list_age_test.rs"]
mod tests;
