//! An operator's courier: started from a file, with versions of a control service over it.

use super::{INBOX, SPARE_SOCKETS, lock, on, tell};
use crate::discovery::config_file;
use crate::discovery::configured_hosts::endpoint_kinds;
use crate::discovery::control::{ConfigStatus, ConfigUpdater, VersionStore};
use crate::discovery::dns;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::setup::Setup;
use crate::events::CourierEvent;
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::admin::{self, AdminPages};
use crate::ingress::http::{HttpServer, MAX_BODY_BYTES, Routing, ServerState};
use crate::ingress::listener::listen;
use crate::ingress::mqtt::{self, MqttServer};
use crate::ingress::rejection::ConnectionRejecter;
use crate::ingress::users::Users;
use crate::memory_budget::{self, MemoryBudget};
use crate::outbound::endpoint_client::EndpointClient;
use crate::outbound::outcomes::OutcomeNotifier;
use crate::startup_error::StartupError;
use stairshed_config::Installation;
use stairshed_config::classes::ClassTable;
use stairshed_config::file::Wills;
use stairshed_config::installation::Document;
use stairshed_config::version::{Version, Versions};
use stairshed_decide::interface::Settings;
use stairshed_decide::scheduler::Scheduler;
use stairshed_journal::{Durability, Journal};
use stairshed_mqtt::server::Limits;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;

/// Room of a journal where the file tells none.
const ROOM: u64 = 1_000_000_000;
/// Longest name of an endpoint with its pool and its zone: room is kept for it in each attempt.
const NAMES: u64 = 256;

/// After SIGTERM wills of MQTT clients have so long to be taken on.
const WILL_TIME: Duration = Duration::from_millis(50);
/// A packet may be longer than its payload by its topic and properties, bytes.
const PACKET_HEAD: usize = 16 * 1024;
/// A connection without a CONNECT is closed after this time.
const CONNECT_TIME: Duration = Duration::from_millis(2500);

/// MQTT clients' side, with the sessions of an earlier life.
fn mqtt_server(
    installation: &Installation,
    folder: &Path,
    active_config: &ActiveConfig,
    news: &mpsc::Sender<CourierEvent>,
    (courier, room, rejecter): (&Dispatcher, &MemoryBudget, &Rc<ConnectionRejecter>),
) -> Result<Rc<MqttServer>, StartupError> {
    let m = &installation.file.mqtt;
    // Checked when the file was read.
    let seconds = |span: Duration| u32::try_from(span.as_secs()).unwrap_or(u32::MAX - 1);
    let limits = Limits {
        sessions: m.sessions,
        packet_most: MAX_BODY_BYTES + PACKET_HEAD,
        payload_most: MAX_BODY_BYTES,
        receive_maximum: m.receive_maximum,
        aliases: m.topic_aliases,
        expiry_most: seconds(m.session_expiry.0),
        keep_alive_most: u16::try_from(seconds(m.keep_alive.0)).unwrap_or(u16::MAX),
        connect_time: CONNECT_TIME,
        outcomes_most: m.outcomes,
        wills: m.wills == Wills::Deliver,
    };
    let users = m.users.as_ref().map(|f| Users::read(&folder.join(f))).transpose();
    let users = users.map_err(|e| bad("mqtt.users", e))?;
    let records = courier.stored_state(mqtt::SESSION_KEY_PREFIX);
    let bounds = (m.connections, room.clone(), rejecter.clone());
    Ok(MqttServer::new(limits, bounds, (active_config.clone(), users), news.clone(), records))
}

fn bad(what: &'static str, why: impl ToString) -> StartupError {
    StartupError::Invalid(what, why.to_string())
}

/// What the owner of the decision module is told at the start.
fn setup(
    installation: &Arc<Installation>,
    active_config: &ActiveConfig,
    room: &MemoryBudget,
    folder: &Path,
) -> Setup {
    let names = installation.classes.iter().map(|c| c.name.clone());
    let classes = match installation.classes.is_empty() {
        // The module has to have a class, also while no version has come.
        true => ClassTable::none(),
        false => ClassTable::new(names.zip(installation.settings.classes.iter().cloned())),
    };
    Setup {
        settings: Settings { classes: classes.classes(), ..installation.settings.clone() },
        classes,
        zones: Vec::new(),
        endpoint_kinds: endpoint_kinds(),
        seed: rand::random(),
        initial_list: None,
        discovery: installation.discovery,
        watch_status: Rc::default(),
        list_age: None,
        installation: Some(installation.clone()),
        active_config: Some(active_config.clone()),
        memory_budget: room.clone(),
        pool_wait: installation.file.limits.pool_wait.0,
        max_remembered: installation.file.limits.remembered,
        config_folder: folder.to_owned(),
    }
}

/// The state folder of an operator's file.
pub fn state_folder(file: &Path, installation: &Installation) -> PathBuf {
    let beside = file.parent().unwrap_or(Path::new("."));
    beside.join(installation.file.state.as_deref().unwrap_or(Path::new("state")))
}

/// What a start comes up on: the last good version over the file, or the file's own.
fn start(
    document: &Document,
    own: Installation,
    store: &VersionStore,
) -> (Option<Version>, Arc<Installation>) {
    if own.control.is_none() {
        return (None, Arc::new(own));
    }
    match store.load() {
        Ok(Some(version)) => match document.installation(Some(&version.config)) {
            Ok(installation) => {
                eprintln!("configuration: the last good version, {}", version.version);
                return (Some(version), Arc::new(installation));
            }
            Err(problems) => {
                let number = version.version;
                eprintln!("configuration: stored version {number} does not go with the file any more:");
                eprintln!("{problems}");
            }
        },
        Ok(None) => {}
        Err(why) => eprintln!("configuration: the stored version cannot be read: {why}"),
    }
    (None, Arc::new(own))
}

/// Runs an operator's courier until it is told to stop.
pub async fn serve(file: PathBuf) -> Result<(), StartupError> {
    let mut terminate = on(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = on(SignalKind::interrupt(), "SIGINT")?;
    let hangup = on(SignalKind::hangup(), "SIGHUP")?;
    let document =
        config_file::read_document(&file).map_err(|e| StartupError::Problems(vec![e.to_string()]))?;
    let own = document.installation(None);
    let own = own.map_err(|problems| {
        StartupError::Problems(problems.to_string().lines().map(str::to_owned).collect())
    })?;
    let state = state_folder(&file, &own);
    let folder = state.join("journal");
    std::fs::create_dir_all(&folder).map_err(|e| bad("state", format!("{}: {e}", folder.display())))?;
    let files = lock(&folder).await.map_err(|e| bad("state", e))?;
    let store = VersionStore::new(state.join("version.json"));
    let (version, installation) = start(&document, own, &store);
    let takes_nothing = installation.routes.is_empty() && installation.topics.is_empty();
    if takes_nothing && installation.control.is_none() {
        return Err(bad(
            "configuration",
            format!("{}: it has no routes and no topics, so nothing can be taken", file.display()),
        ));
    }
    let journal = &installation.file.journal;
    let attempts = installation.file.classes.values().filter_map(|c| c.attempts).max().unwrap_or_default();
    let mut options = journal.options(ROOM, u64::from(attempts.max(installation.file.limits.attempts)));
    options.names = options.names.max(NAMES);
    let machine = options.durability == Durability::Machine;
    let (journal, report) = Journal::open(Arc::new(files), options).map_err(|e| bad("journal", e))?;
    tell(&report);
    let name = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
    let limits = &installation.file.limits;
    let for_calls = (limits.connections / 3).max(4);
    let for_clients = limits.connections.saturating_sub(for_calls + SPARE_SOCKETS).max(4);
    let beside = file.parent().unwrap_or(Path::new(".")).to_owned();
    let active_config = ActiveConfig::new(version.as_ref().map_or(0, |v| v.version), installation.clone());
    let caps = memory_budget::caps(&installation).map_err(StartupError::Problems)?;
    let room = MemoryBudget::new(&caps, installation.file.memory.client_share);
    let mut setup = setup(&installation, &active_config, &room, &beside);
    let calls = EndpointClient::new(
        setup.settings.connect_timeout,
        setup.settings.keepalive,
        for_calls,
        room.clone(),
    );
    setup.settings.keepalive = calls.idle_timeout();
    let connections = calls.connection_status();
    let scheduler =
        Scheduler::new(setup.settings.clone(), setup.seed).map_err(|e| bad("configuration", e))?;
    let (news, inbox) = mpsc::channel(INBOX);
    let server_state = Rc::new(ServerState::default());
    let rejecter = ConnectionRejecter::start(&room);
    let http_server = Rc::new(HttpServer {
        routing: Routing::Routes(active_config.clone()),
        server_state: server_state.clone(),
        news: news.clone(),
        max_connections: for_clients,
        room: room.clone(),
        rejecter: Some(rejecter.clone()),
    });
    let outcomes = &installation.file.outcomes;
    let unread = state.join("outcomes.ndjson");
    let to = outcomes.file.as_ref().map(|f| state.join(f));
    let to = if installation.outcomes.is_none() { to.or(Some(unread.clone())) } else { to };
    let outcomes = OutcomeNotifier::operator(installation.outcomes.as_ref(), to, unread, machine);
    let (lookups, resolver) = dns::spawn_resolver(&installation, news.clone());
    let status = Rc::new(ConfigStatus::new(file.clone(), version.as_ref().map(|v| v.version)));
    let waits = version.is_none() && takes_nothing;
    let first_wait = installation.file.control.as_ref().map(|c| c.first_wait.0).filter(|_| waits);
    let (admin, installation_mqtt) = (installation.admin, installation.mqtt);
    let topics = !installation.topics.is_empty();
    let kept = journal.len();
    let discovery = installation.discovery.is_some();
    let watch_status = setup.watch_status.clone();
    let mut courier =
        Dispatcher::new(setup, scheduler, journal, calls, outcomes, server_state.clone(), news.clone());
    let mqtt_server = match installation.mqtt {
        Some(_) => {
            Some(mqtt_server(&installation, &beside, &active_config, &news, (&courier, &room, &rejecter))?)
        }
        None => None,
    };
    if let Some(mqtt_server) = &mqtt_server {
        courier.set_frontend(mqtt_server.clone());
        tokio::task::spawn_local(mqtt_server.clone().run());
    }
    let running = tokio::task::spawn_local(courier.run(inbox));
    let mut config_updater = ConfigUpdater::new(
        (file, document, store),
        (Versions::new(version), installation),
        (active_config.clone(), news.clone(), http_server),
        status.clone(),
        lookups,
    );
    if let Some(wait) = first_wait {
        eprintln!("configuration: no version yet and no routes in the file; waits for one");
        if !config_updater.wait_for_first_version(wait).await {
            return Err(bad(
                "control",
                "no version came, none is stored, and the file has no routes of its own",
            ));
        }
    }
    let at = config_updater.listen().map_err(|e| bad("listen.http", e))?;
    if let Some(admin) = admin {
        let listener = listen(admin).map_err(|e| bad("listen.admin", format!("{admin}: {e}")))?;
        let at = listener.local_addr().map_err(|e| bad("listen.admin", e))?;
        eprintln!("the operator's pages are at {at}");
        let (view, server_state, room) = (config_updater.view(), server_state.clone(), room.clone());
        let pages = AdminPages { view, server_state, room, watch: watch_status, connections };
        tokio::task::spawn_local(admin::run(listener, pages));
    }
    if installation_mqtt.is_none() && topics {
        eprintln!("configuration: there are [topics], and listen.mqtt is not set: none is taken");
    }
    let mut accepting = None;
    if let Some((mqtt_server, address)) = mqtt_server.clone().zip(installation_mqtt) {
        let listener = listen(address).map_err(|e| bad("listen.mqtt", format!("{address}: {e}")))?;
        let at = listener.local_addr().map_err(|e| bad("listen.mqtt", e))?;
        eprintln!("MQTT clients are served at {at}");
        accepting = Some(tokio::task::spawn_local(mqtt_server.accept(listener)).abort_handle());
    }
    if discovery {
        let _ = news.send(CourierEvent::StartWatch).await;
    }
    server_state.ready.set(true);
    let configuring = tokio::task::spawn_local(config_updater.run(hangup));
    let stopper = server_state.clone();
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        eprintln!("stopping");
        configuring.abort();
        if let Some(accepting) = accepting {
            accepting.abort();
        }
        if let Some(mqtt_server) = &mqtt_server {
            mqtt_server.shutdown();
            // Wills are handed in before nothing more is taken.
            tokio::time::sleep(WILL_TIME).await;
        }
        let _ = news.send(CourierEvent::Stop).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        stopper.close_listener();
    });
    eprintln!("{name} serves {at}; {kept} messages resumed");
    running.await.map_err(|e| bad("courier", e))?;
    drop(resolver);
    Ok(())
}
