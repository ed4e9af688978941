//! Injects system call faults into one courier: loads the library `stairshed-preload` into its process and
//! writes the file that lists the calls to fail.

use crate::TestFolder;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// The library reads its file again after 5 ms at the latest, so that a change is in effect after this time.
const RELOAD_TIME: Duration = Duration::from_millis(10);

/// The fault rules of one courier.
pub struct MachineFaults {
    path: PathBuf,
}

impl MachineFaults {
    /// Adds the library to a courier's command. `rules` apply from its start.
    pub fn load(command: &mut Command, folder: &TestFolder, rules: &str) -> Self {
        let faults = MachineFaults { path: folder.0.join("faults") };
        faults.write(rules);
        command
            .env("LD_PRELOAD", library())
            .env("STAIRSHED_FAULTS", &faults.path)
            .env("STAIRSHED_FAULTS_FOLDER", folder.0.join("state"));
        faults
    }

    /// Replaces the rules. They are in effect when this returns.
    pub fn set(&self, rules: &str) {
        self.write(rules);
        thread::sleep(RELOAD_TIME);
    }

    /// Returns how many faults were injected into all couriers with this control file so far, by call and fault, such
    /// as `sync EIO`.
    pub fn injected(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for path in self.count_files() {
            let text = fs::read_to_string(path).unwrap_or_default();
            for (fault, number) in text.lines().filter_map(|line| line.rsplit_once(' ')) {
                *counts.entry(fault.to_owned()).or_default() += number.parse().unwrap_or(0);
            }
        }
        counts
    }

    /// Files with the counts of each process, see the library.
    fn count_files(&self) -> Vec<PathBuf> {
        let name = self.path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let prefix = format!("{name}.counts.");
        let folder = self.path.parent().and_then(|folder| fs::read_dir(folder).ok());
        let entries = folder.into_iter().flatten().flatten();
        let of_this = entries.filter(|entry| entry.file_name().to_string_lossy().starts_with(&prefix));
        of_this.map(|entry| entry.path()).collect()
    }

    fn write(&self, rules: &str) {
        let next = self.path.with_extension("next");
        fs::write(&next, rules).expect("the rules");
        fs::rename(next, &self.path).expect("in their place");
    }
}

/// Path of the library, which is built in the folder of the running program, or its parent for tests, which
/// run from `deps/`. Cargo leaves an old one beside the programs where only that in `deps/` is built anew, so the newest
/// is taken.
fn library() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let folders = own.ancestors().skip(1).take(2);
    let names = folders.flat_map(|folder| {
        [folder.join("libstairshed_preload.so"), folder.join("deps/libstairshed_preload.so")]
    });
    let built_at = |path: &PathBuf| fs::metadata(path).and_then(|data| data.modified()).ok();
    let built = names.filter(|path| path.is_file());
    built.max_by_key(built_at).expect("stairshed-preload is built beside this program")
}
