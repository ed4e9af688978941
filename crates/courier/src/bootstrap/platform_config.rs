//! Configuration by the platform: the environment and the file that `LB_CONFIG` names, at startup and on
//! reload.

use crate::discovery::list_age::ListAgeFile;
use crate::dispatcher::setup::Setup;
use crate::events::EndpointList;
use crate::memory_budget::MemoryBudget;
use crate::startup_error::StartupError;
use serde::Deserialize;
use stairshed_clock::ClockStart;
use stairshed_config::classes::ClassTable;
use stairshed_decide::interface::Settings;
use stairshed_decide::settings::SettingsDocument;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Resources that the platform grants to a courier.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// Default of `memory_mb`: the most memory that the platform grants.
fn default_memory_mb() -> f64 {
    192.0
}

/// Content of the file.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    seed: String,
    discovery: Option<String>,
    limits: Limits,
    known: Option<EndpointList>,
    settings: SettingsDocument,
}

/// Complete configuration by the platform.
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
    /// Converts it to the setup of the dispatcher.
    pub fn setup(self, memory_budget: MemoryBudget, clock_start: ClockStart) -> Setup {
        let classes = self.classes.into_iter().zip(self.settings.classes.iter().cloned());
        Setup {
            classes: ClassTable::new(classes),
            settings: self.settings,
            zones: self.zones,
            endpoint_kinds: self.kinds,
            seed: self.seed,
            clock_start,
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

fn variable(name: &'static str) -> Result<String, StartupError> {
    match env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        Err(env::VarError::NotUnicode(_)) => Err(StartupError::Invalid(name, "is not UTF-8".to_owned())),
        _ => Err(StartupError::MissingVariable(name)),
    }
}

fn address_variable(name: &'static str) -> Result<SocketAddr, StartupError> {
    parse_address(&variable(name)?).map_err(|why| StartupError::Invalid(name, why))
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is not an IP address with a port"))
}

/// Parses a hexadecimal seed. Any other text is hashed to a seed.
fn seed(text: &str) -> u64 {
    let hash =
        || text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash())
}

impl ConfigFile {
    /// Reads and validates the file.
    fn read(path: &Path) -> Result<(Self, Settings, Option<SocketAddr>), StartupError> {
        let invalid = |why: String| StartupError::Invalid("LB_CONFIG", format!("{}: {why}", path.display()));
        let file_config = fs::read(path).map_err(|e| invalid(e.to_string()))?;
        let file_config: ConfigFile =
            serde_json::from_slice(&file_config).map_err(|e| invalid(e.to_string()))?;
        let settings = file_config.settings.settings().map_err(|e| invalid(format!("settings: {e}")))?;
        if file_config.limits.sockets < 64 || file_config.limits.disk_mb <= 0.0 {
            return Err(invalid("limits: sockets is below 64 or disk_mb is not above 0".to_owned()));
        }
        let discovery = file_config.discovery.as_deref().map(parse_address).transpose();
        let discovery = discovery.map_err(|why| invalid(format!("discovery: {why}")))?;
        Ok((file_config, settings, discovery))
    }
}

/// Reads the file again and returns the address of discovery that it names, if any.
pub fn reread_discovery(path: &Path) -> Result<Option<SocketAddr>, StartupError> {
    ConfigFile::read(path).map(|(_, _, discovery)| discovery)
}

impl PlatformConfig {
    /// Reads the environment and the file.
    ///
    /// # Errors
    /// A variable is missing or invalid, or the file is.
    pub fn read() -> Result<Self, StartupError> {
        let (name, listen) = (variable("LB_NAME")?, address_variable("LB_LISTEN")?);
        let state = PathBuf::from(variable("LB_STATE")?);
        if !state.is_dir() {
            return Err(StartupError::Invalid("LB_STATE", format!("{} is not a folder", state.display())));
        }
        let file = PathBuf::from(variable("LB_CONFIG")?);
        let (file_config, settings, file_discovery) = ConfigFile::read(&file)?;
        // The address in the file overrides the environment, which may be older than the file: a courier that
        // restarts after a reload must not fall back to the previous address.
        let discovery = match file_discovery {
            Some(discovery) => discovery,
            None => address_variable("LB_DISCOVERY")?,
        };
        Ok(PlatformConfig {
            name,
            listen,
            file,
            discovery,
            state,
            seed: seed(&file_config.seed),
            limits: file_config.limits,
            known: file_config.known,
            settings,
            classes: file_config.settings.class_names().map(str::to_owned).collect(),
            zones: file_config.settings.zone_names().to_vec(),
            kinds: file_config.settings.kind_names().to_vec(),
        })
    }
}
