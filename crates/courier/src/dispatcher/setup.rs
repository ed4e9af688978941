//! What the owner of the decision module is told at its start: by the platform, or by an operator's file.

use crate::discovery::list_age::ListAgeFile;
use crate::discovery::watch_status::WatchStatus;
use crate::events::EndpointList;
use crate::ingress::active_config::ActiveConfig;
use crate::memory_budget::MemoryBudget;
use stairshed_config::Installation;
use stairshed_config::classes::ClassTable;
use stairshed_decide::interface::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub struct Setup {
    /// Its classes are those of `classes`.
    pub settings: Settings,
    pub classes: ClassTable,
    pub zones: Vec<String>,
    pub endpoint_kinds: Vec<String>,
    pub seed: u64,
    /// The list as it was when the configuration was written.
    pub initial_list: Option<EndpointList>,
    pub discovery: Option<SocketAddr>,
    pub watch_status: Rc<WatchStatus>,
    /// Where the moment of discovery's last word is kept; None where lists have no term.
    pub list_age: Option<ListAgeFile>,
    /// For an operator's courier: what is in effect.
    pub installation: Option<Arc<Installation>>,
    /// And where the fronts look for it.
    pub active_config: Option<ActiveConfig>,
    /// How long messages of a pool that is gone wait for it to come back.
    pub pool_wait: Duration,
    /// Messages that have ended of which something may stay.
    pub max_remembered: usize,
    pub memory_budget: MemoryBudget,
    /// Where files stand that an installation names.
    pub config_folder: PathBuf,
}
