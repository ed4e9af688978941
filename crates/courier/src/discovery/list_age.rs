//! Age of the list of endpoints across restarts. The time of the last line from discovery is stored in the
//! state folder, on the machine's boot time clock, which also runs while the courier does not and is not
//! stepped with the time of day.

use crate::system_errors::{Operation, report};
use stairshed_clock::{BootId, boot_time};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// File in the state folder.
const FILE_NAME: &str = "list-age";
/// Temporary file that is renamed over the other.
const NEXT_FILE_NAME: &str = "list-age.next";

/// What is known at startup about the age of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// Time since the last line from discovery.
    Known(Duration),
    /// No earlier run has stored a time.
    Unrecorded,
    /// The stored time cannot be used: damaged, from another discovery address, or from before the last
    /// reboot.
    Unknown,
}

/// File that stores the time of the last line from discovery.
pub struct ListAgeFile {
    path: PathBuf,
    next_path: PathBuf,
    /// Id of the current boot. The boot time clock restarts with the machine, so that a stored time is valid
    /// only within a boot.
    boot_id: Option<String>,
}

impl ListAgeFile {
    /// Uses the file in the state folder `folder`.
    pub fn new(folder: &Path) -> Self {
        let boot_id = BootId::read().map(|id| id.to_string());
        ListAgeFile { path: folder.join(FILE_NAME), next_path: folder.join(NEXT_FILE_NAME), boot_id }
    }

    /// Returns the time since the last line from the discovery at this address.
    pub fn load(&self, discovery: SocketAddr) -> ListAge {
        match fs::read_to_string(&self.path) {
            Ok(text) => self.age(&text, discovery, boot_time()).map_or(ListAge::Unknown, ListAge::Known),
            Err(e) if e.kind() == io::ErrorKind::NotFound => ListAge::Unrecorded,
            Err(e) => {
                report(Operation::ListAge, &e);
                ListAge::Unknown
            }
        }
    }

    fn age(&self, text: &str, discovery: SocketAddr, now: Duration) -> Option<Duration> {
        let (boot_id, rest) = text.strip_suffix('\n')?.split_once(' ')?;
        let (nanoseconds, stored_discovery) = rest.split_once(' ')?;
        let applies = self.boot_id.as_deref() == Some(boot_id) && stored_discovery.parse() == Ok(discovery);
        let last_line = Duration::from_nanos(nanoseconds.parse().ok().filter(|_| applies)?);
        now.checked_sub(last_line)
    }

    /// Stores that the last line from the discovery at this address arrived `age` ago. Writes a temporary file
    /// and renames it, so that a crash leaves a complete file.
    ///
    /// # Errors
    /// The file cannot be written; the older stored time is kept.
    pub fn save(&self, discovery: SocketAddr, age: Duration) -> io::Result<()> {
        let Some(boot_id) = &self.boot_id else { return Ok(()) };
        let arrived = boot_time().saturating_sub(age);
        fs::write(&self.next_path, format!("{boot_id} {} {discovery}\n", arrived.as_nanos()))?;
        fs::rename(&self.next_path, &self.path)
    }
}

#[cfg(test)]
#[path = "list_age_test.rs"]
mod tests;
