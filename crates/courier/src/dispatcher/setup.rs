//! The dispatcher's initial settings, from the platform or from an operator's file.

use crate::discovery::list_age::ListAgeFile;
use crate::discovery::watch_status::WatchStatus;
use crate::events::EndpointList;
use crate::ingress::active_config::ActiveConfig;
use crate::memory_budget::MemoryBudget;
use stairshed_clock::ClockStart;
use stairshed_config::Installation;
use stairshed_config::classes::ClassTable;
use stairshed_decide::interface::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The dispatcher's initial settings; it keeps them up to date as configurations change.
pub struct Setup {
    /// Settings of the scheduler; their classes are those of `classes`.
    pub settings: Settings,
    pub classes: ClassTable,
    pub zones: Vec<String>,
    pub endpoint_kinds: Vec<String>,
    pub seed: u64,
    pub clock_start: ClockStart,
    /// The endpoint list at the time when the configuration was written.
    pub initial_list: Option<EndpointList>,
    pub discovery: Option<SocketAddr>,
    pub watch_status: Rc<WatchStatus>,
    /// The file that keeps the time of discovery's last line; None where lists do not expire.
    pub list_age: Option<ListAgeFile>,
    /// For an operator's courier: the configuration in effect.
    pub installation: Option<Arc<Installation>>,
    /// The handle through which the ingress modules read it.
    pub active_config: Option<ActiveConfig>,
    /// How long messages of a removed pool are held in case the pool returns.
    pub pool_wait: Duration,
    /// Limit on ended messages of which a record is kept.
    pub max_remembered: usize,
    pub memory_budget: MemoryBudget,
    /// The folder against which paths in an installation are resolved.
    pub config_folder: PathBuf,
}
