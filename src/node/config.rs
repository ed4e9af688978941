//! What the platform tells a courier at its start: environment and `LB_CONFIG`.

use super::discovery::List;
use crate::interface::Settings;
use crate::settings::Conf;
use serde::Deserialize;
use std::env;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a start cannot go on.
#[derive(Debug)]
pub enum Fault {
    Missing(&'static str),
    Bad(&'static str, String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Missing(name) => write!(f, "{name} is not set"),
            Fault::Bad(name, why) => write!(f, "{name}: {}", why.replace('\n', " ")),
        }
    }
}

impl std::error::Error for Fault {}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
}

#[derive(Deserialize)]
struct Page {
    #[serde(default)]
    seed: String,
    limits: Limits,
    known: Option<List>,
    settings: Conf,
}

/// All that a courier is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub known: Option<List>,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

fn text(name: &'static str) -> Result<String, Fault> {
    match env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        Err(env::VarError::NotUnicode(_)) => Err(Fault::Bad(name, "is not text".to_owned())),
        _ => Err(Fault::Missing(name)),
    }
}

fn address(name: &'static str) -> Result<SocketAddr, Fault> {
    let value = text(name)?;
    value.parse().map_err(|_| Fault::Bad(name, format!("{value:?} is no address with a port")))
}

/// The seed is hexadecimal; any other text still gives one.
fn seed(text: &str) -> u64 {
    let mixed =
        || text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    u64::from_str_radix(text, 16).unwrap_or_else(|_| mixed())
}

impl Config {
    pub fn read() -> Result<Self, Fault> {
        let (name, listen, discovery) = (text("LB_NAME")?, address("LB_LISTEN")?, address("LB_DISCOVERY")?);
        let state = PathBuf::from(text("LB_STATE")?);
        if !state.is_dir() {
            return Err(Fault::Bad("LB_STATE", format!("{} is no folder", state.display())));
        }
        let path = text("LB_CONFIG")?;
        let bad = |why: String| Fault::Bad("LB_CONFIG", format!("{path}: {why}"));
        let page = fs::read(&path).map_err(|e| bad(e.to_string()))?;
        let page: Page = serde_json::from_slice(&page).map_err(|e| bad(e.to_string()))?;
        let settings = page.settings.settings().map_err(|e| bad(format!("settings: {e}")))?;
        if page.limits.sockets < 64 || page.limits.disk_mb <= 0.0 {
            return Err(bad("limits: too few sockets or no disk".to_owned()));
        }
        Ok(Config {
            name,
            listen,
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
