//! The platform's courier: told by its environment and `LB_CONFIG`.

use super::platform_config::{self, PlatformConfig};
use super::settings::OperatorSettings;
use super::{INBOX, SPARE_SOCKETS, lock, on, tell};
use crate::dispatcher::Dispatcher;
use crate::events::CourierEvent;
use crate::ingress::http::{HttpServer, Routing, ServerState};
use crate::ingress::listener::listen;
use crate::memory_budget::MemoryBudget;
use crate::outbound::endpoint_client::EndpointClient;
use crate::outbound::outcomes::OutcomeNotifier;
use crate::startup_error::StartupError;
use stairshed_decide::interface::ENDPOINT_LIST_LEASE;
use stairshed_decide::scheduler::Scheduler;
use stairshed_journal::Journal;
use stairshed_memory::{ByPurpose, Caps, Purpose};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::sync::mpsc;

/// Reads the configuration again at each SIGHUP. A file that cannot be read changes nothing.
async fn reload(mut hangup: Signal, file: PathBuf, news: mpsc::Sender<CourierEvent>) {
    while hangup.recv().await.is_some() {
        match platform_config::reread_discovery(&file) {
            Ok(Some(discovery)) => {
                eprintln!("configuration read again: discovery at {discovery}");
                let _ = news.send(CourierEvent::DiscoveryAddressChanged(discovery)).await;
            }
            Ok(None) => eprintln!("configuration read again: it names no discovery"),
            Err(fault) => eprintln!("configuration not read again, the old one stays: {fault}"),
        }
    }
}

/// The platform's `memory_mb` is the total. Connections have no cap there: its `sockets` bound them, and to close one
/// that is kept costs. With a total that no courier could live by only bodies that are read are bounded, by an eighth
/// of it. All clients come by one address, so none has a share.
fn room(config: &PlatformConfig) -> MemoryBudget {
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

/// Serves until it is told to stop.
///
/// # Errors
/// What kept it from its start.
pub async fn platform(mut config: PlatformConfig, settings: OperatorSettings) -> Result<(), StartupError> {
    // First of all: without a handler either signal ends the process at once.
    let mut terminate = on(SignalKind::terminate(), "SIGTERM")?;
    let hangup = on(SignalKind::hangup(), "SIGHUP")?;
    let disk = (config.limits.disk_mb * 1e6) as u64;
    let options = settings.journal.options(disk, u64::from(config.settings.max_attempts));
    let opened = lock(&config.state).await.and_then(|files| Journal::open(Arc::new(files), options));
    let (journal, report) = opened.map_err(|e| StartupError::Invalid("LB_STATE", e.to_string()))?;
    tell(&report);
    let for_calls = (config.limits.sockets / 3).max(16);
    let for_clients = config.limits.sockets.saturating_sub(for_calls + SPARE_SOCKETS).max(8);
    let room = room(&config);
    let calls = EndpointClient::new(
        config.settings.connect_timeout,
        config.settings.keepalive,
        for_calls,
        room.clone(),
    );
    // The module reckons with the connections that are kept here.
    config.settings.keepalive = calls.idle_timeout();
    config.settings.membership_lease_duration = Some(ENDPOINT_LIST_LEASE);
    let pushed = !config.settings.subscription_required;
    let scheduler = Scheduler::new(config.settings.clone(), config.seed);
    let scheduler = scheduler.map_err(|e| StartupError::Invalid("LB_CONFIG", e))?;
    let (news, inbox) = mpsc::channel(INBOX);
    if pushed {
        // Nobody asks for lists that are pushed: the watch is open from the start.
        let _ = news.send(CourierEvent::StartWatch).await;
    }
    let server_state = Rc::new(ServerState::default());
    let listener = listen(config.listen).map_err(|e| StartupError::Invalid("LB_LISTEN", e.to_string()))?;
    let at = listener.local_addr().map_err(|e| StartupError::Invalid("LB_LISTEN", e.to_string()))?;
    let (name, kept) = (config.name.clone(), journal.len());
    let http_server = Rc::new(HttpServer {
        routing: Routing::Platform { classes: config.classes.clone() },
        server_state: server_state.clone(),
        news: news.clone(),
        max_connections: for_clients,
        room: room.clone(),
        rejecter: None,
    });
    tokio::task::spawn_local(reload(hangup, config.file.clone(), news.clone()));
    let outcomes = OutcomeNotifier::platform(config.discovery);
    let setup = config.setup(room);
    let courier =
        Dispatcher::new(setup, scheduler, journal, calls, outcomes, server_state.clone(), news.clone());
    server_state.ready.set(true);
    let accepting = tokio::task::spawn_local(http_server.run(listener));
    tokio::task::spawn_local(async move {
        if terminate.recv().await.is_some() {
            eprintln!("stopping");
            let _ = news.send(CourierEvent::Stop).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
            accepting.abort();
        }
    });
    eprintln!("{name} serves {at}; {kept} messages resumed");
    courier.run(inbox).await;
    Ok(())
}
