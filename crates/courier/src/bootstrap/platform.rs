//! A courier configured by the platform, through its environment and `LB_CONFIG`.

use super::platform_config::{self, PlatformConfig};
use super::settings::OperatorSettings;
use super::{
    EVENT_QUEUE_LENGTH, RESERVED_SOCKETS, endpoint_client, lock_state, open_journal, signal_stream,
    unless_stopped,
};
use crate::clock::start_clock;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::planted_settings::scheduler_settings;
use crate::events::DispatcherEvent;
use crate::ingress::http::{HttpServer, Routing};
use crate::ingress::listener::listen_at_start;
use crate::ingress::server_state::ServerState;
use crate::memory_budget::MemoryBudget;
use crate::signals::{Signal, SignalStream};
use crate::startup_error::StartupError;
use crate::upstream::outcomes::OutcomeNotifier;
use stairshed_decide::interface::ENDPOINT_LIST_LEASE;
use stairshed_decide::scheduler::Scheduler;
use stairshed_memory::{ByPurpose, Caps, Purpose};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Reads the file again on each SIGHUP. An invalid file changes nothing.
async fn reload(mut hangup: SignalStream, file: PathBuf, events: mpsc::Sender<DispatcherEvent>) {
    loop {
        hangup.recv().await;
        match platform_config::reread_discovery(&file) {
            Ok(Some(discovery)) => {
                log_line!("configuration read again: discovery is at {discovery}");
                let _ = events.send(DispatcherEvent::DiscoveryAddressChanged(discovery)).await;
            }
            Ok(None) => log_line!("configuration read again: it has no address of discovery"),
            Err(error) => log_line!("configuration not read again, the previous one stays: {error}"),
        }
    }
}

/// Memory limits from the platform's `memory_mb`, which is the total. Connections have no cap, since
/// `sockets` limits them and closing an idle connection has a cost. If the total is too low for a courier,
/// only bodies being read are capped, at an eighth of it. No client is limited to a share, since all clients
/// connect from one address.
fn memory_budget(config: &PlatformConfig) -> MemoryBudget {
    let total = (config.limits.memory_mb * 1e6) as u64;
    let mut caps = Caps::new(Some(total), &ByPurpose::default()).unwrap_or_else(|_| {
        let mut caps = Caps::none();
        caps.of[Purpose::BodiesRead] = total / 8;
        caps
    });
    caps.of[Purpose::Clients] = u64::MAX;
    caps.of[Purpose::Endpoints] = u64::MAX;
    MemoryBudget::new(&caps, 1.0)
}

/// Runs the courier until it is told to stop.
///
/// # Errors
/// The reason why the courier cannot start.
pub async fn platform(mut config: PlatformConfig, settings: OperatorSettings) -> Result<(), StartupError> {
    // Opened first: without its stream, either signal ends the process at once.
    let mut terminate = signal_stream(&[Signal::Terminate])?;
    let hangup = signal_stream(&[Signal::Hangup])?;
    let disk_bytes = (config.limits.disk_mb * 1e6) as u64;
    let options = settings.journal.options(disk_bytes, u64::from(config.settings.max_attempts));
    let files = unless_stopped(&mut terminate, lock_state("LB_STATE", &config.state)).await?;
    let journal = open_journal("LB_STATE", &files, &options);
    let journal = unless_stopped(&mut terminate, journal).await?;
    let clock_start = start_clock(&journal);
    let upstream_sockets = (config.limits.sockets / 3).max(16);
    let client_sockets = config.limits.sockets.saturating_sub(upstream_sockets + RESERVED_SOCKETS).max(8);
    let memory_budget = memory_budget(&config);
    let endpoint_client = endpoint_client(&mut config.settings, upstream_sockets, &memory_budget);
    config.settings.membership_lease_duration = Some(ENDPOINT_LIST_LEASE);
    let lists_are_pushed = !config.settings.subscription_required;
    let scheduler = Scheduler::new(scheduler_settings(config.settings.clone()), config.seed);
    let scheduler = scheduler.map_err(|e| StartupError::Invalid("LB_CONFIG", e))?;
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
    if lists_are_pushed {
        // Pushed lists are never requested by the scheduler, so the watch opens at startup.
        let _ = events.send(DispatcherEvent::StartWatch).await;
    }
    let server_state = Rc::new(ServerState::default());
    let listener = listen_at_start("LB_LISTEN", config.listen);
    let listener = unless_stopped(&mut terminate, listener).await?;
    let at = listener.local_addr().map_err(|e| StartupError::Invalid("LB_LISTEN", e.to_string()))?;
    let (name, kept) = (config.name.clone(), journal.len());
    let http_server = Rc::new(HttpServer {
        routing: Routing::Platform { classes: config.classes.clone(), clock: clock_start.clock },
        server_state: server_state.clone(),
        events: events.clone(),
        max_connections: client_sockets,
        memory_budget: memory_budget.clone(),
        rejecter: None,
    });
    tokio::task::spawn_local(reload(hangup, config.file.clone(), events.clone()));
    let outcomes = OutcomeNotifier::platform(config.discovery);
    let setup = config.setup(memory_budget, clock_start);
    let dispatcher = Dispatcher::new(
        setup,
        scheduler,
        journal,
        endpoint_client,
        outcomes,
        server_state.clone(),
        events.clone(),
    );
    server_state.ready.set(true);
    let accepting = tokio::task::spawn_local(http_server.run(listener));
    tokio::task::spawn_local(async move {
        terminate.recv().await;
        log_line!("stopping");
        let _ = events.send(DispatcherEvent::Stop).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        accepting.abort();
    });
    log_line!("{name} serves {at}; {kept} messages resumed");
    dispatcher.run(event_queue).await;
    Ok(())
}
