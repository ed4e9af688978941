//! What the platform tells a courier: environment and `LB_CONFIG`, at its start and when it is told to read
//! the file again.

use crate::discovery::list_age::ListAgeFile;
use crate::dispatcher::setup::Setup;
use crate::events::EndpointList;
use crate::memory_budget::MemoryBudget;
use crate::startup_error::StartupError;
use serde::Deserialize;
use stairshed_config::classes::ClassTable;
use stairshed_decide::interface::Settings;
use stairshed_decide::settings::SettingsDocument;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
    #[serde(default = "memory")]
    pub memory_mb: f64,
}

/// Where the file tells none: the most that a courier gets.
fn memory() -> f64 {
    192.0
}

#[derive(Deserialize)]
struct Page {
    #[serde(default)]
    seed: String,
    discovery: Option<String>,
    limits: Limits,
    known: Option<EndpointList>,
    settings: SettingsDocument,
}

/// All that a courier is told.
pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The file that `LB_CONFIG` names.
    pub file: PathBuf,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub known: Option<EndpointList>,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl PlatformConfig {
    /// What the owner of the decision module needs of it.
    pub fn setup(self, memory_budget: MemoryBudget) -> Setup {
        let classes = self.classes.into_iter().zip(self.settings.classes.iter().cloned());
        Setup {
            classes: ClassTable::new(classes),
            settings: self.settings,
            zones: self.zones,
            endpoint_kinds: self.kinds,
            seed: self.seed,
            initial_list: self.known,
            discovery: Some(self.discovery),
            watch_status: Rc::default(),
            list_age: Some(ListAgeFile::new(&self.state)),
            installation: None,
            active_config: None,
            memory_budget,
            pool_wait: Duration::ZERO,
            max_remembered: 0,
            config_folder: PathBuf::new(),
        }
    }
}

fn text(name: &'static str) -> Result<String, StartupError> {
    match env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        Err(env::VarError::NotUnicode(_)) => Err(StartupError::Invalid(name, "is not text".to_owned())),
        _ => Err(StartupError::MissingVariable(name)),
    }
}

fn address(name: &'static str) -> Result<SocketAddr, StartupError> {
    place(&text(name)?).map_err(|why| StartupError::Invalid(name, why))
}

fn place(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is no address with a port"))
}

/// The seed is hexadecimal; any other text still gives one.
fn seed(text: &str) -> u64 {
    let mixed =
        || text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    u64::from_str_radix(text, 16).unwrap_or_else(|_| mixed())
}

impl Page {
    /// Reads the whole file, or tells what is wrong with it.
    fn read(path: &Path) -> Result<(Self, Settings, Option<SocketAddr>), StartupError> {
        let bad = |why: String| StartupError::Invalid("LB_CONFIG", format!("{}: {why}", path.display()));
        let page = fs::read(path).map_err(|e| bad(e.to_string()))?;
        let page: Page = serde_json::from_slice(&page).map_err(|e| bad(e.to_string()))?;
        let settings = page.settings.settings().map_err(|e| bad(format!("settings: {e}")))?;
        if page.limits.sockets < 64 || page.limits.disk_mb <= 0.0 {
            return Err(bad("limits: too few sockets or no disk".to_owned()));
        }
        let discovery = page.discovery.as_deref().map(place).transpose();
        let discovery = discovery.map_err(|why| bad(format!("discovery: {why}")))?;
        Ok((page, settings, discovery))
    }
}

/// Where the file says that discovery is, as it stands now. An error changes nothing.
pub fn reread_discovery(path: &Path) -> Result<Option<SocketAddr>, StartupError> {
    Page::read(path).map(|(_, _, discovery)| discovery)
}

impl PlatformConfig {
    pub fn read() -> Result<Self, StartupError> {
        let (name, listen) = (text("LB_NAME")?, address("LB_LISTEN")?);
        let state = PathBuf::from(text("LB_STATE")?);
        if !state.is_dir() {
            return Err(StartupError::Invalid("LB_STATE", format!("{} is no folder", state.display())));
        }
        let file = PathBuf::from(text("LB_CONFIG")?);
        let (page, settings, named) = Page::read(&file)?;
        // The file may have been replaced since the environment was set, so it holds where it names one: a
        // courier that restarts after a reload must not fall back to the address before.
        let discovery = match named {
            Some(discovery) => discovery,
            None => address("LB_DISCOVERY")?,
        };
        Ok(PlatformConfig {
            name,
            listen,
            file,
            discovery,
            state,
            seed: seed(&page.seed),
            limits: page.limits,
            known: page.known,
            settings,
            classes: page.settings.class_names().map(str::to_owned).collect(),
            zones: page.settings.zone_names().to_vec(),
            kinds: page.settings.kind_names().to_vec(),
        })
    }
}
