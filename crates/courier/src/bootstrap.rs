//! Startup from the platform's environment or from an operator's file, and what both share.

mod dev;
mod platform;
mod platform_config;
mod serve;
pub mod settings;

use crate::memory_budget::MemoryBudget;
use crate::signals::{Signal, SignalStream};
use crate::startup_error::StartupError;
use crate::system_errors::{self, report_startup_error, retry};
use crate::upstream::endpoint_client::EndpointClient;
use platform_config::PlatformConfig;
use settings::OperatorSettings;
use stairshed_decide::interface::Settings;
use stairshed_journal::{Error as JournalError, FileCall, FileStorage, Journal, Options, RecoveryReport};
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Capacity of the queue of events to the courier.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// File descriptors reserved for uses other than connections of clients and to endpoints.
const RESERVED_SOCKETS: usize = 32;
/// How long startup waits for a state folder that is in use.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to lock the state folder.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long startup tries to use the state folder, which may be read-only or fail for ten seconds.
const STATE_FOLDER_TIMEOUT: Duration = Duration::from_secs(15);
/// How long shutdown waits for a disk sync in progress.
const SHUTDOWN_SYNC_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a courier configured by the platform's environment until it is told to stop.
///
/// # Errors
/// The reason why the courier cannot start.
pub fn run_platform(settings: Option<&Path>) -> Result<(), StartupError> {
    let config = PlatformConfig::read()?;
    let settings =
        OperatorSettings::read(settings).map_err(|e| StartupError::Invalid("--settings", e.to_string()))?;
    block_on(platform::platform(config, settings))
}

/// Runs a courier from an operator's file until it is told to stop.
///
/// # Errors
/// The reason why the courier cannot start.
pub fn serve(file: PathBuf) -> Result<(), StartupError> {
    block_on(serve::serve(file))
}

/// Runs a sample installation with a stand-in endpoint.
///
/// # Errors
/// The reason why the courier cannot start.
pub fn dev(listen: SocketAddr) -> Result<(), StartupError> {
    block_on(dev::dev(listen))
}

fn block_on(work: impl Future<Output = Result<(), StartupError>>) -> Result<(), StartupError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| StartupError::Invalid("runtime", e.to_string()))?;
    let tasks = LocalSet::new();
    tasks.spawn_local(system_errors::log_folded());
    let done = tasks.block_on(&runtime, work);
    // A sync that hangs in the device must not delay shutdown: nothing that depends on it has been reported.
    runtime.shutdown_timeout(SHUTDOWN_SYNC_TIMEOUT);
    match done {
        Err(StartupError::Stopped) => Ok(()),
        done => done,
    }
}

/// Runs a part of the startup, unless one of these signals arrives.
///
/// # Errors
/// Those of the work, and [`StartupError::Stopped`].
async fn unless_stopped<T>(
    stop: &mut SignalStream,
    work: impl Future<Output = Result<T, StartupError>>,
) -> Result<T, StartupError> {
    tokio::select! {
        biased;
        done = work => done,
        () = stop.recv() => {
            log_line!("stopping");
            Err(StartupError::Stopped)
        }
    }
}

/// Creates the state folder if it does not exist, and locks it. Tries again for [`STATE_FOLDER_TIMEOUT`].
/// `key` names the setting.
///
/// # Errors
/// The last error, or one that attempts cannot pass.
async fn lock_state(key: &'static str, folder: &Path) -> Result<Arc<FileStorage>, StartupError> {
    let attempt = async || {
        fs::create_dir_all(folder).map_err(|source| JournalError::Io {
            file: folder.display().to_string(),
            call: FileCall::Create,
            source,
        })?;
        lock(folder).await
    };
    let locked = retry(key, STATE_FOLDER_TIMEOUT, report_startup_error, attempt).await;
    locked.map(Arc::new).map_err(|e| StartupError::Invalid(key, e.to_string()))
}

/// Opens the journal in a locked folder. Tries again for [`STATE_FOLDER_TIMEOUT`]. `key` names the setting.
///
/// # Errors
/// The last error, or one that attempts cannot pass.
async fn open_journal(
    key: &'static str,
    files: &Arc<FileStorage>,
    options: &Options,
) -> Result<Journal, StartupError> {
    let attempt = async || Journal::open(files.clone(), options.clone());
    let opened = retry(key, STATE_FOLDER_TIMEOUT, report_startup_error, attempt).await;
    let (journal, report) = opened.map_err(|e| StartupError::Invalid(key, e.to_string()))?;
    log_recovery(&report);
    Ok(journal)
}

/// Creates the client of the endpoints, with at most `sockets` connections. The scheduler must know how long
/// connections are kept idle here, so the settings take that over.
fn endpoint_client(settings: &mut Settings, sockets: usize, memory_budget: &MemoryBudget) -> EndpointClient {
    let client =
        EndpointClient::new(settings.connect_timeout, settings.keepalive, sockets, memory_budget.clone());
    settings.keepalive = client.idle_timeout();
    client
}

fn signal_stream(signals: &[Signal]) -> Result<SignalStream, StartupError> {
    SignalStream::open(signals).map_err(|e| StartupError::Invalid("signals", e.to_string()))
}

/// Locks the state folder. Retries for a while, since a tool may hold the lock briefly.
async fn lock(folder: &Path) -> Result<FileStorage, stairshed_journal::Error> {
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match FileStorage::lock(folder) {
            Err(stairshed_journal::Error::Locked { .. }) if Instant::now() < deadline => {
                tokio::time::sleep(LOCK_RETRY_INTERVAL).await;
            }
            done => return done,
        }
    }
}

/// Logs what the recovery of the journal found.
fn log_recovery(report: &RecoveryReport) {
    if let Some(messages) = report.migrated {
        log_line!("journal: {messages} messages taken over from the old format");
    }
    if report.truncated_bytes > 0 {
        log_line!(
            "journal: a torn tail of {} bytes was cut off, as a crash leaves it",
            report.truncated_bytes
        );
    }
    for damage in &report.damages {
        log_line!("journal: DAMAGED: {damage}");
    }
    for message in &report.lost_messages {
        log_line!("journal: LOST: message {message} was accepted, and its id and body cannot be read");
    }
    if !report.presumed_sent.is_empty() {
        let n = report.presumed_sent.len();
        log_line!("journal: {n} messages count as sent, since a lost record may say so");
    }
}
