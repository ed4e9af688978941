//! The start: by the platform's environment, or by an operator's file; and what both need for it.

mod dev;
mod platform;
mod platform_config;
mod serve;
pub mod settings;

use crate::startup_error::StartupError;
use platform_config::PlatformConfig;
use settings::OperatorSettings;
use stairshed_journal::{Files, Report};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// News that may wait for the courier.
const INBOX: usize = 1024;
/// Sockets and files that are neither a client's nor an endpoint's.
const SPARE_SOCKETS: usize = 32;
/// How long a start waits for a folder that is in use, and how often it looks.
const LOCK_TIME: Duration = Duration::from_secs(1);
const LOCK_PAUSE: Duration = Duration::from_millis(50);
/// How long the end waits for a sync that is under way.
const END_TIME: Duration = Duration::from_millis(200);
/// Reads the configuration, then serves until it is told to stop.
pub fn run_platform(settings: Option<&Path>) -> Result<(), StartupError> {
    let config = PlatformConfig::read()?;
    let settings =
        OperatorSettings::read(settings).map_err(|e| StartupError::Invalid("--settings", e.to_string()))?;
    block_on(platform::platform(config, settings))
}

/// Runs an operator's courier until it is told to stop.
///
/// # Errors
/// What kept it from its start.
pub fn serve(file: PathBuf) -> Result<(), StartupError> {
    block_on(serve::serve(file))
}

/// Runs a sample installation with a stand-in endpoint.
///
/// # Errors
/// What kept it from its start.
pub fn dev(listen: SocketAddr) -> Result<(), StartupError> {
    block_on(dev::dev(listen))
}

fn block_on(work: impl Future<Output = Result<(), StartupError>>) -> Result<(), StartupError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| StartupError::Invalid("runtime", e.to_string()))?;
    let done = LocalSet::new().block_on(&runtime, work);
    // A sync that hangs in the device must not hold up the end: nothing that depends on it was told.
    runtime.shutdown_timeout(END_TIME);
    done
}

fn on(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|e| StartupError::Invalid(name, e.to_string()))
}

/// Takes the state folder, which a tool may be looking at for a moment.
async fn lock(folder: &Path) -> Result<Files, stairshed_journal::Error> {
    let until = Instant::now() + LOCK_TIME;
    loop {
        match Files::lock(folder) {
            Err(stairshed_journal::Error::InUse { .. }) if Instant::now() < until => {
                tokio::time::sleep(LOCK_PAUSE).await;
            }
            done => return done,
        }
    }
}

/// What the start found in the journal, for whoever reads the log.
fn tell(report: &Report) {
    if let Some(messages) = report.taken_over {
        eprintln!("journal: {messages} messages taken over from the old format");
    }
    if report.cut_bytes > 0 {
        eprintln!("journal: a torn tail of {} bytes was cut off, as a crash leaves it", report.cut_bytes);
    }
    for damage in &report.damages {
        eprintln!("journal: DAMAGED: {damage}");
    }
    for message in &report.lost {
        eprintln!("journal: LOST: message {message} was accepted, and its id and body cannot be read");
    }
    if !report.suspected.is_empty() {
        let n = report.suspected.len();
        eprintln!("journal: {n} messages count as sent, since a lost record may say so");
    }
}
