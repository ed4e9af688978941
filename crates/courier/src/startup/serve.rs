//! A courier configured by an operator's file, with configuration versions from a control service applied
//! over it.

use super::{EVENT_QUEUE_LENGTH, RESERVED_SOCKETS, lock, log_recovery, signal_stream};
use crate::discovery::config_file;
use crate::discovery::configured_hosts::endpoint_kinds;
use crate::discovery::control::{ConfigStatus, ConfigUpdater, VersionStore};
use crate::discovery::dns;
use crate::front::admin::{self, Pages};
use crate::front::effective::Effective;
use crate::front::farewell::Farewells;
use crate::front::intake::{BODY_MOST, Front, Intake, Standing};
use crate::front::listener::listen;
use crate::front::mqtt::{self, Hub};
use crate::front::users::Users;
use crate::news::News;
use crate::out::calls::Calls;
use crate::out::outcomes::Outcomes;
use crate::owner::Courier;
use crate::owner::setup::Setup;
use crate::room::{self, Room};
use crate::startup_error::StartupError;
use stairshed_config::Installation;
use stairshed_config::classes::ClassTable;
use stairshed_config::file::Wills;
use stairshed_config::installation::Document;
use stairshed_config::version::{Version, Versions};
use stairshed_decide::brain::Brain;
use stairshed_decide::interface::Settings;
use stairshed_journal::{Durability, Journal};
use stairshed_mqtt::server::Limits;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;

/// Default size limit of the journal, bytes.
const DEFAULT_JOURNAL_BYTES: u64 = 1_000_000_000;
/// Minimum room reserved in each attempt record for the names of an endpoint, its pool and its zone, bytes.
const MIN_NAMES_BYTES: u64 = 256;

/// Time after SIGTERM in which the wills of MQTT clients are accepted.
const WILL_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Bytes by which an MQTT packet may exceed its payload, for the topic and properties.
const MAX_PACKET_OVERHEAD_BYTES: usize = 16 * 1024;
/// Time in which an MQTT client must send CONNECT before its connection is closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Creates the MQTT server side, with the sessions stored by an earlier run.
fn new_hub(
    installation: &Installation,
    folder: &Path,
    effective: &Effective,
    news: &mpsc::Sender<News>,
    (courier, room, farewells): (&Courier, &Room, &Rc<Farewells>),
) -> Result<Rc<Hub>, StartupError> {
    let m = &installation.file.mqtt;
    // The range is checked when the file is read.
    let seconds = |span: Duration| u32::try_from(span.as_secs()).unwrap_or(u32::MAX - 1);
    let limits = Limits {
        sessions: m.sessions,
        packet_most: BODY_MOST + MAX_PACKET_OVERHEAD_BYTES,
        payload_most: BODY_MOST,
        receive_maximum: m.receive_maximum,
        aliases: m.topic_aliases,
        expiry_most: seconds(m.session_expiry.0),
        keep_alive_most: u16::try_from(seconds(m.keep_alive.0)).unwrap_or(u16::MAX),
        connect_time: CONNECT_TIMEOUT,
        outcomes_most: m.outcomes,
        wills: m.wills == Wills::Deliver,
    };
    let users = m.users.as_ref().map(|f| Users::read(&folder.join(f))).transpose();
    let users = users.map_err(|e| invalid("mqtt.users", e))?;
    let records = courier.on_record(mqtt::PREFIX);
    let bounds = (m.connections, room.clone(), farewells.clone());
    Ok(Hub::new(limits, bounds, (effective.clone(), users), news.clone(), records))
}

fn invalid(what: &'static str, why: impl ToString) -> StartupError {
    StartupError::Invalid(what, why.to_string())
}

/// Builds the setup of the owner of the decision module.
fn setup(installation: &Arc<Installation>, effective: &Effective, room: &Room, folder: &Path) -> Setup {
    let names = installation.classes.iter().map(|c| c.name.clone());
    let classes = match installation.classes.is_empty() {
        // The decision module needs at least one class, even before the first version arrives.
        true => ClassTable::none(),
        false => ClassTable::new(names.zip(installation.settings.classes.iter().cloned())),
    };
    Setup {
        settings: Settings { classes: classes.classes(), ..installation.settings.clone() },
        classes,
        zones: Vec::new(),
        kinds: endpoint_kinds(),
        seed: rand::random(),
        known: None,
        discovery: installation.discovery,
        watch_status: Rc::default(),
        list_age: None,
        installation: Some(installation.clone()),
        effective: Some(effective.clone()),
        room: room.clone(),
        pool_wait: installation.file.limits.pool_wait.0,
        remembered: installation.file.limits.remembered,
        folder: folder.to_owned(),
    }
}

/// State folder of an operator's file; a relative path is relative to the file.
pub fn state_folder(file: &Path, installation: &Installation) -> PathBuf {
    let base_dir = file.parent().unwrap_or(Path::new("."));
    base_dir.join(installation.file.state.as_deref().unwrap_or(Path::new("state")))
}

/// Returns the configuration to start with: the stored version applied over the file, or the file alone.
fn initial_configuration(
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
        Err(why) => eprintln!("configuration: cannot read the stored version: {why}"),
    }
    (None, Arc::new(own))
}

/// Runs the courier until it is told to stop.
///
/// # Errors
/// The reason why the courier cannot start.
pub async fn serve(file: PathBuf) -> Result<(), StartupError> {
    let mut terminate = signal_stream(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = signal_stream(SignalKind::interrupt(), "SIGINT")?;
    let hangup = signal_stream(SignalKind::hangup(), "SIGHUP")?;
    let document =
        config_file::read_document(&file).map_err(|e| StartupError::Problems(vec![e.to_string()]))?;
    let own = document.installation(None);
    let own = own.map_err(|e| StartupError::Problems(e.to_string().lines().map(str::to_owned).collect()))?;
    let state = state_folder(&file, &own);
    let folder = state.join("journal");
    std::fs::create_dir_all(&folder).map_err(|e| invalid("state", format!("{}: {e}", folder.display())))?;
    let files = lock(&folder).await.map_err(|e| invalid("state", e))?;
    let store = VersionStore::new(state.join("version.json"));
    let (version, installation) = initial_configuration(&document, own, &store);
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
    options.names = options.names.max(MIN_NAMES_BYTES);
    let machine = options.durability == Durability::Machine;
    let (journal, report) = Journal::open(Arc::new(files), options).map_err(|e| invalid("journal", e))?;
    log_recovery(&report);
    let name = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
    let limits = &installation.file.limits;
    let upstream_sockets = (limits.connections / 3).max(4);
    let client_sockets = limits.connections.saturating_sub(upstream_sockets + RESERVED_SOCKETS).max(4);
    let base_dir = file.parent().unwrap_or(Path::new(".")).to_owned();
    let effective = Effective::new(version.as_ref().map_or(0, |v| v.version), installation.clone());
    let caps = room::caps(&installation).map_err(StartupError::Problems)?;
    let room = Room::new(&caps, installation.file.memory.client_share);
    let mut setup = setup(&installation, &effective, &room, &base_dir);
    let calls =
        Calls::new(setup.settings.connect_timeout, setup.settings.keepalive, upstream_sockets, room.clone());
    setup.settings.keepalive = calls.keep_time();
    let connections = calls.connection_status();
    let brain = Brain::new(setup.settings.clone(), setup.seed).map_err(|e| invalid("configuration", e))?;
    let (news, inbox) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let standing = Rc::new(Standing::default());
    let farewells = Farewells::start(&room);
    let intake = Rc::new(Intake {
        front: Front::Routes(effective.clone()),
        standing: standing.clone(),
        news: news.clone(),
        sockets: client_sockets,
        room: room.clone(),
        farewells: Some(farewells.clone()),
    });
    let outcomes = &installation.file.outcomes;
    let unread = state.join("outcomes.ndjson");
    let to = outcomes.file.as_ref().map(|f| state.join(f));
    let to = if installation.outcomes.is_none() { to.or(Some(unread.clone())) } else { to };
    let outcomes = Outcomes::operator(installation.outcomes.as_ref(), to, unread, machine);
    let (lookups, resolver) = dns::spawn_resolver(&installation, news.clone());
    let status = Rc::new(ConfigStatus::new(file.clone(), version.as_ref().map(|v| v.version)));
    let waits_for_version = version.is_none() && has_no_inputs;
    let first_wait = installation.file.control.as_ref().map(|c| c.first_wait.0).filter(|_| waits_for_version);
    let (admin, installation_mqtt) = (installation.admin, installation.mqtt);
    let topics = !installation.topics.is_empty();
    let kept = journal.len();
    let discovery = installation.discovery.is_some();
    let watch_status = setup.watch_status.clone();
    let mut courier = Courier::new(setup, brain, journal, calls, outcomes, standing.clone(), news.clone());
    let hub = match installation.mqtt {
        Some(_) => Some(new_hub(&installation, &base_dir, &effective, &news, (&courier, &room, &farewells))?),
        None => None,
    };
    if let Some(hub) = &hub {
        courier.tells(hub.clone());
        tokio::task::spawn_local(hub.clone().run());
    }
    let running = tokio::task::spawn_local(courier.run(inbox));
    let mut config_updater = ConfigUpdater::new(
        (file, document, store),
        (Versions::new(version), installation),
        (effective.clone(), news.clone(), intake),
        status.clone(),
        lookups,
    );
    if let Some(wait) = first_wait {
        eprintln!("configuration: no version yet and no routes in the file; waits for one");
        if !config_updater.wait_for_first_version(wait).await {
            return Err(invalid(
                "control",
                "no version came, none is stored, and the file has no routes of its own",
            ));
        }
    }
    let at = config_updater.listen().map_err(|e| invalid("listen.http", e))?;
    if let Some(admin) = admin {
        let listener = listen(admin).map_err(|e| invalid("listen.admin", format!("{admin}: {e}")))?;
        let at = listener.local_addr().map_err(|e| invalid("listen.admin", e))?;
        eprintln!("the operator's pages are at {at}");
        let (view, standing, room) = (config_updater.view(), standing.clone(), room.clone());
        let pages = Pages { view, standing, room, watch: watch_status, connections };
        tokio::task::spawn_local(admin::run(listener, pages));
    }
    if installation_mqtt.is_none() && topics {
        eprintln!("configuration: [topics] are ignored, since listen.mqtt is not set");
    }
    let mut accepting = None;
    if let Some((hub, address)) = hub.clone().zip(installation_mqtt) {
        let listener = listen(address).map_err(|e| invalid("listen.mqtt", format!("{address}: {e}")))?;
        let at = listener.local_addr().map_err(|e| invalid("listen.mqtt", e))?;
        eprintln!("MQTT clients are served at {at}");
        accepting = Some(tokio::task::spawn_local(hub.accept(listener)).abort_handle());
    }
    if discovery {
        let _ = news.send(News::Watch).await;
    }
    standing.ready.set(true);
    let configuring = tokio::task::spawn_local(config_updater.run(hangup));
    let stopper = standing.clone();
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
        if let Some(hub) = &hub {
            hub.shutdown();
            // Wills must be handed over before the courier stops accepting messages.
            tokio::time::sleep(WILL_GRACE_PERIOD).await;
        }
        let _ = news.send(News::Stop).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        stopper.close_listener();
    });
    eprintln!("{name} serves {at}; {kept} messages resumed");
    running.await.map_err(|e| invalid("courier", e))?;
    drop(resolver);
    Ok(())
}
