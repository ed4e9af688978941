//! One courier over all of its lives: its folder, its address, its faults, its log.

use crate::courier_file::CourierFile;
use crate::record::LogLine;
use rustix::process::{Pid, Signal, kill_process};
use stairshed_rig::machine_faults::MachineFaults;
use stairshed_rig::{TestFolder, exchange, free_address, program};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ExitStatus};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a courier may take until it serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks whether a courier serves.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Log lines of all couriers of a run.
pub type CourierLog = Arc<Mutex<Vec<LogLine>>>;

/// One courier. Its process is killed when it is dropped.
pub struct CourierProcess {
    index: usize,
    /// Address for clients, the same in each life.
    pub address: SocketAddr,
    /// What is run, as a rule the courier beside this program.
    pub program: PathBuf,
    folder: TestFolder,
    file: CourierFile,
    /// Fault rules in effect, also for the next life.
    rules: String,
    faults: Option<MachineFaults>,
    child: Option<Child>,
    started: Option<Instant>,
    log: CourierLog,
}

/// Returns an address that was not returned before: couriers keep theirs while they are down.
pub fn reserved_address() -> SocketAddr {
    static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let address = free_address();
        if RESERVED.lock().expect("the addresses").insert(address) {
            return address;
        }
    }
}

impl CourierProcess {
    /// A courier that is not started yet.
    pub fn new(index: usize, address: SocketAddr, file: CourierFile, log: CourierLog) -> Self {
        let folder = TestFolder::new();
        CourierProcess {
            index,
            address,
            program: program(),
            folder,
            file,
            rules: String::new(),
            faults: None,
            child: None,
            started: None,
            log,
        }
    }

    /// Starts a process.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let mut command = self.file.command(&self.program, &self.folder)?;
        command.args(["--follow", "1/1"]);
        self.faults = Some(MachineFaults::load(&mut command, &self.folder, &self.rules));
        let mut child = command.spawn()?;
        if let Some(lines) = child.stderr.take() {
            self.collect(lines);
        }
        self.child = Some(child);
        self.started = Some(Instant::now());
        Ok(())
    }

    fn collect(&self, lines: ChildStderr) {
        let (courier, log) = (self.index, self.log.clone());
        thread::spawn(move || {
            for text in BufReader::new(lines).lines().map_while(Result::ok) {
                let line = LogLine { at: Instant::now(), courier, text };
                log.lock().expect("the log").push(line);
            }
        });
    }

    /// Waits until the courier is ready to accept messages. Returns false if it ends or takes too long.
    pub fn wait_until_serving(&mut self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while !is_serving(self.address) {
            if self.take_exit().is_some() || Instant::now() > end {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Id of the process, if one runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Replaces the fault rules, of this life and the next.
    pub fn set_rules(&mut self, rules: String) {
        self.rules = rules;
        if let Some(faults) = &self.faults {
            faults.set(&self.rules);
        }
    }

    /// Returns how many faults were injected into all of its lives, by call and fault.
    pub fn injected(&self) -> BTreeMap<String, u64> {
        self.faults.as_ref().map(MachineFaults::injected).unwrap_or_default()
    }

    /// Whether the process has run for this time.
    pub fn has_run_for(&self, time: Duration) -> bool {
        self.started.is_some_and(|started| started.elapsed() >= time)
    }

    /// Sends a signal. Returns false if no process runs.
    pub fn signal(&self, signal: Signal) -> bool {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }

    /// Kills the process. Returns false if none runs.
    pub fn kill(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return false };
        let _ = child.kill();
        child.wait().is_ok()
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns how the process ended, if it has ended by itself.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
}

/// Whether a courier is ready to accept messages.
fn is_serving(address: SocketAddr) -> bool {
    if TcpStream::connect(address).is_err() {
        return false;
    }
    let page = exchange(address, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    page.is_some_and(|page| page.status() == 200)
}

/// Whether SIGKILL ended the process, such as its own one in the middle of a write.
pub fn was_killed(status: ExitStatus) -> bool {
    status.signal() == Some(Signal::KILL.as_raw())
}

impl Drop for CourierProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
