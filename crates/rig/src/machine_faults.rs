//! Faults of the machine for one courier: the library `stairshed-preload` in its process, and the file that tells it which
//! calls fail.

use crate::TestFolder;
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// The library reads its file at most every 5 ms; by then a change is in effect.
const TAKES_EFFECT: Duration = Duration::from_millis(10);

/// What is wrong with the machine of one courier.
pub struct MachineFaults {
    path: PathBuf,
}

impl MachineFaults {
    /// Loads the library into the courier of this command. `rules` hold from its start.
    pub fn load(command: &mut Command, folder: &TestFolder, rules: &str) -> Self {
        let faults = MachineFaults { path: folder.0.join("faults") };
        faults.write(rules);
        command
            .env("LD_PRELOAD", library())
            .env("STAIRSHED_FAULTS", &faults.path)
            .env("STAIRSHED_FAULTS_FOLDER", folder.0.join("state"));
        faults
    }

    /// From when this returns, these rules hold in place of those before.
    pub fn set(&self, rules: &str) {
        self.write(rules);
        thread::sleep(TAKES_EFFECT);
    }

    fn write(&self, rules: &str) {
        let next = self.path.with_extension("next");
        fs::write(&next, rules).expect("the rules");
        fs::rename(next, &self.path).expect("in their place");
    }
}

/// The library, built beside the program that runs: a test stands in `deps/` under it.
fn library() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let folders = own.ancestors().skip(1).take(2);
    let mut names = folders.flat_map(|folder| {
        [folder.join("libstairshed_preload.so"), folder.join("deps/libstairshed_preload.so")]
    });
    names.find(|path| path.is_file()).expect("stairshed-preload is built beside this program")
}
