//! A courier configured by an operator's file, with configuration versions from a control service applied
//! over it.

use super::{
    EVENT_QUEUE_LENGTH, RESERVED_SOCKETS, endpoint_client, lock_state, open_journal, signal_stream,
    unless_stopped,
};
use crate::clock::start_clock;
use crate::discovery::config_file;
use crate::discovery::configured_hosts::endpoint_kinds;
use crate::discovery::control::{ConfigStatus, ConfigUpdater, VersionStore};
use crate::discovery::dns;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::planted_settings::scheduler_settings;
use crate::dispatcher::setup::Setup;
use crate::events::DispatcherEvent;
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::admin::{self, AdminPages};
use crate::ingress::http::{HttpServer, MAX_BODY_BYTES, Routing};
use crate::ingress::listener::listen_at_start;
use crate::ingress::mqtt::{self, MqttServer};
use crate::ingress::rejection::ConnectionRejecter;
use crate::ingress::server_state::ServerState;
use crate::ingress::users::Users;
use crate::memory_budget::{self, MemoryBudget};
use crate::signals::{Signal, SignalStream};
use crate::startup_error::StartupError;
use crate::upstream::outcomes::OutcomeNotifier;
use stairshed_clock::{ClockStart, StableClock};
use stairshed_config::Installation;
use stairshed_config::classes::ClassTable;
use stairshed_config::file::Wills;
use stairshed_config::installation::Document;
use stairshed_config::version::{Version, VersionTracker};
use stairshed_decide::interface::Settings;
use stairshed_decide::scheduler::Scheduler;
use stairshed_journal::Durability;
use stairshed_mqtt::server::Limits;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Default size limit of the journal, bytes.
const DEFAULT_JOURNAL_BYTES: u64 = 1_000_000_000;
/// Minimum space reserved in each attempt record for the names of an endpoint, its pool and its zone, bytes.
const MIN_NAMES_BYTES: u64 = 256;

/// Time after SIGTERM in which the wills of MQTT clients are accepted.
const WILL_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Bytes by which an MQTT packet may exceed its payload, for the topic and properties.
const MAX_PACKET_OVERHEAD_BYTES: usize = 16 * 1024;
/// Time in which an MQTT client must send CONNECT before its connection is closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Creates the MQTT server side, with the sessions stored by an earlier run.
fn new_mqtt_server(
    installation: &Installation,
    folder: &Path,
    active_config: &ActiveConfig,
    events: &mpsc::Sender<DispatcherEvent>,
    (dispatcher, memory_budget, rejecter): (&Dispatcher, &MemoryBudget, &Rc<ConnectionRejecter>),
    clock: StableClock,
) -> Result<Rc<MqttServer>, StartupError> {
    let m = &installation.file.mqtt;
    // The range is checked when the file is read.
    let seconds = |span: Duration| u32::try_from(span.as_secs()).unwrap_or(u32::MAX - 1);
    let limits = Limits {
        sessions: m.sessions,
        max_packet_size: MAX_BODY_BYTES + MAX_PACKET_OVERHEAD_BYTES,
        max_payload_bytes: MAX_BODY_BYTES,
        receive_maximum: m.receive_maximum,
        topic_alias_max: m.topic_aliases,
        max_session_expiry_seconds: seconds(m.session_expiry.0),
        max_keep_alive_seconds: u16::try_from(seconds(m.keep_alive.0)).unwrap_or(u16::MAX),
        connect_timeout: CONNECT_TIMEOUT,
        max_outcomes: m.outcomes,
        wills: m.wills == Wills::Deliver,
    };
    let users = m.users.as_ref().map(|f| Users::read(&folder.join(f))).transpose();
    let users = users.map_err(|e| invalid("mqtt.users", e))?;
    let records = dispatcher.stored_state(mqtt::SESSION_KEY_PREFIX);
    let bounds = (m.connections, memory_budget.clone(), rejecter.clone());
    Ok(MqttServer::new(limits, bounds, (active_config.clone(), users), events.clone(), records, clock))
}

fn invalid(what: &'static str, why: impl ToString) -> StartupError {
    StartupError::Invalid(what, why.to_string())
}

/// Builds the setup of the dispatcher.
fn setup(
    installation: &Arc<Installation>,
    active_config: &ActiveConfig,
    memory_budget: &MemoryBudget,
    folder: &Path,
    clock_start: ClockStart,
) -> Setup {
    let names = installation.classes.iter().map(|c| c.name.clone());
    let classes = match installation.classes.is_empty() {
        // The scheduler needs at least one class, even before the first version arrives.
        true => ClassTable::placeholder(),
        false => ClassTable::new(names.zip(installation.settings.classes.iter().cloned())),
    };
    Setup {
        settings: Settings { classes: classes.classes(), ..installation.settings.clone() },
        classes,
        zones: Vec::new(),
        endpoint_kinds: endpoint_kinds(),
        seed: rand::random(),
        clock_start,
        initial_list: None,
        discovery: installation.discovery,
        watch_status: Rc::default(),
        list_age: None,
        installation: Some(installation.clone()),
        active_config: Some(active_config.clone()),
        memory_budget: memory_budget.clone(),
        pool_wait: installation.file.limits.pool_wait.0,
        max_remembered: installation.file.limits.remembered,
        config_folder: folder.to_owned(),
    }
}

/// State folder of an operator's file; a relative path is relative to the file.
pub fn state_folder(file: &Path, installation: &Installation) -> PathBuf {
    let base_dir = file.parent().unwrap_or(Path::new("."));
    base_dir.join(installation.file.state.as_deref().unwrap_or(Path::new("state")))
}

/// Returns the configuration to start with: the stored version applied over the file, or the file alone.
async fn initial_configuration(
    document: &Document,
    file_installation: Installation,
    store: &VersionStore,
) -> (Option<Version>, Arc<Installation>) {
    if file_installation.control.is_none() {
        return (None, Arc::new(file_installation));
    }
    match store.load().await {
        Ok(Some(version)) => match document.installation(Some(&version.config)) {
            Ok(installation) => {
                log_line!("configuration: the last good version, {}", version.version);
                return (Some(version), Arc::new(installation));
            }
            Err(problems) => {
                let number = version.version;
                log_line!("configuration: stored version {number} does not go with the file any more:");
                log_line!("{problems}");
            }
        },
        Ok(None) => {}
        Err(why) => log_line!("configuration: cannot read the stored version: {why}"),
    }
    (None, Arc::new(file_installation))
}

/// Binds the listening socket that `key` sets, if it does, and returns its address.
///
/// # Errors
/// Those of [`listen_at_start`], and [`StartupError::Stopped`].
async fn bind_at_start(
    key: &'static str,
    address: Option<SocketAddr>,
    stop: &mut SignalStream,
) -> Result<Option<(TcpListener, SocketAddr)>, StartupError> {
    let Some(address) = address else { return Ok(None) };
    let listener = unless_stopped(stop, listen_at_start(key, address)).await?;
    let at = listener.local_addr().map_err(|e| invalid(key, e))?;
    Ok(Some((listener, at)))
}

/// Runs the courier until it is told to stop.
///
/// # Errors
/// The reason why the courier cannot start.
pub async fn serve(file: PathBuf) -> Result<(), StartupError> {
    let mut stop = signal_stream(&[Signal::Terminate, Signal::Interrupt])?;
    let hangup = signal_stream(&[Signal::Hangup])?;
    let document =
        config_file::read_document(&file).map_err(|e| StartupError::Problems(vec![e.to_string()]))?;
    let file_installation = document.installation(None);
    let file_installation = file_installation
        .map_err(|e| StartupError::Problems(e.to_string().lines().map(str::to_owned).collect()))?;
    let state = state_folder(&file, &file_installation);
    let folder = state.join("journal");
    let files = unless_stopped(&mut stop, lock_state("state", &folder)).await?;
    let store = VersionStore::new(state.join("version.json"));
    let (version, installation) = initial_configuration(&document, file_installation, &store).await;
    let has_no_inputs = installation.routes.is_empty() && installation.topics.is_empty();
    if has_no_inputs && installation.control.is_none() {
        return Err(invalid(
            "configuration",
            format!(
                "{}: no routes and no topics are configured, so no message can be accepted",
                file.display()
            ),
        ));
    }
    let journal = &installation.file.journal;
    let attempts = installation.file.classes.values().filter_map(|c| c.attempts).max().unwrap_or_default();
    let mut options =
        journal.options(DEFAULT_JOURNAL_BYTES, u64::from(attempts.max(installation.file.limits.attempts)));
    options.reserved_name_bytes = options.reserved_name_bytes.max(MIN_NAMES_BYTES);
    let syncs_to_device = options.durability == Durability::Machine;
    let journal = open_journal("journal", &files, &options);
    let journal = unless_stopped(&mut stop, journal).await?;
    let clock_start = start_clock(&journal);
    let name = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
    let limits = &installation.file.limits;
    let upstream_sockets = (limits.connections / 3).max(4);
    let client_sockets = limits.connections.saturating_sub(upstream_sockets + RESERVED_SOCKETS).max(4);
    let base_dir = file.parent().unwrap_or(Path::new(".")).to_owned();
    let active_config =
        ActiveConfig::new(version.as_ref().map_or(0, |v| v.version), installation.clone(), clock_start.clock);
    let caps = memory_budget::caps(&installation).map_err(StartupError::Problems)?;
    let memory_budget = MemoryBudget::new(&caps, installation.file.memory.client_share);
    let mut setup = setup(&installation, &active_config, &memory_budget, &base_dir, clock_start);
    let endpoint_client = endpoint_client(&mut setup.settings, upstream_sockets, &memory_budget);
    let connections = endpoint_client.connection_status();
    let scheduler = Scheduler::new(scheduler_settings(setup.settings.clone()), setup.seed)
        .map_err(|e| invalid("configuration", e))?;
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let server_state = Rc::new(ServerState::default());
    let rejecter = ConnectionRejecter::start(&memory_budget);
    let http_server = Rc::new(HttpServer {
        routing: Routing::Routes(active_config.clone()),
        server_state: server_state.clone(),
        events: events.clone(),
        max_connections: client_sockets,
        memory_budget: memory_budget.clone(),
        rejecter: Some(rejecter.clone()),
    });
    let outcomes = &installation.file.outcomes;
    let unread = state.join("outcomes.ndjson");
    let to = outcomes.file.as_ref().map(|f| state.join(f));
    let to = if installation.outcomes.is_none() { to.or(Some(unread.clone())) } else { to };
    let outcomes = OutcomeNotifier::operator(installation.outcomes.as_ref(), to, unread, syncs_to_device);
    let (resolver_handle, resolver) = dns::spawn_resolver(&installation, events.clone());
    let status = Rc::new(ConfigStatus::new(file.clone(), version.as_ref().map(|v| v.version)));
    let waits_for_version = version.is_none() && has_no_inputs;
    let first_wait = installation.file.control.as_ref().map(|c| c.first_wait.0).filter(|_| waits_for_version);
    let (admin, installation_mqtt) = (installation.admin, installation.mqtt);
    let topics = !installation.topics.is_empty();
    let kept = journal.len();
    let discovery = installation.discovery.is_some();
    let watch_status = setup.watch_status.clone();
    let mut dispatcher = Dispatcher::new(
        setup,
        scheduler,
        journal,
        endpoint_client,
        outcomes,
        server_state.clone(),
        events.clone(),
    );
    let mqtt_server = match installation.mqtt {
        Some(_) => Some(new_mqtt_server(
            &installation,
            &base_dir,
            &active_config,
            &events,
            (&dispatcher, &memory_budget, &rejecter),
            clock_start.clock,
        )?),
        None => None,
    };
    if let Some(mqtt_server) = &mqtt_server {
        dispatcher.set_ingress(mqtt_server.clone());
        tokio::task::spawn_local(mqtt_server.clone().run());
    }
    let running = tokio::task::spawn_local(dispatcher.run(event_queue));
    let mut config_updater = ConfigUpdater::new(
        (file, document, store),
        (VersionTracker::new(version), installation),
        (active_config.clone(), events.clone(), http_server),
        status.clone(),
        resolver_handle,
    );
    if let Some(wait) = first_wait {
        log_line!("configuration: no version yet and no routes in the file; waits for one");
        if !config_updater.wait_for_first_version(wait).await {
            return Err(invalid(
                "control",
                "no version came, none is stored, and the file has no routes of its own",
            ));
        }
    }
    let at = unless_stopped(&mut stop, config_updater.listen()).await?;
    let admin_listener = bind_at_start("listen.admin", admin, &mut stop).await?;
    let mqtt_listener = bind_at_start("listen.mqtt", installation_mqtt, &mut stop).await?;
    config_updater.accept_clients();
    if let Some((listener, at)) = admin_listener {
        log_line!("the operator's pages are at {at}");
        let (view, server_state, memory_budget) =
            (config_updater.view(), server_state.clone(), memory_budget.clone());
        let pages = AdminPages { view, server_state, memory_budget, watch: watch_status, connections };
        tokio::task::spawn_local(admin::run(listener, pages));
    }
    if installation_mqtt.is_none() && topics {
        log_line!("configuration: there are [topics], and listen.mqtt is not set: none is taken");
    }
    let mut accepting = None;
    if let Some((mqtt_server, (listener, at))) = mqtt_server.clone().zip(mqtt_listener) {
        log_line!("MQTT clients are served at {at}");
        accepting = Some(tokio::task::spawn_local(mqtt_server.accept(listener)).abort_handle());
    }
    if discovery {
        let _ = events.send(DispatcherEvent::StartWatch).await;
    }
    server_state.ready.set(true);
    let configuring = tokio::task::spawn_local(config_updater.run(hangup));
    let stopper = server_state.clone();
    tokio::task::spawn_local(async move {
        stop.recv().await;
        log_line!("stopping");
        configuring.abort();
        if let Some(accepting) = accepting {
            accepting.abort();
        }
        if let Some(mqtt_server) = &mqtt_server {
            mqtt_server.shutdown();
            // Wills must be handed over before the courier stops accepting messages.
            tokio::time::sleep(WILL_GRACE_PERIOD).await;
        }
        let _ = events.send(DispatcherEvent::Stop).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        stopper.close_listener();
    });
    log_line!("{name} serves {at}; {kept} messages resumed");
    running.await.map_err(|e| invalid("courier", e))?;
    drop(resolver);
    Ok(())
}
