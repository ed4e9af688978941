//! The memory ledger with the courier's clock: all parts reserve memory here, and learn when to retry if
//! there is none.

use crate::process_memory;
use serde::Serialize;
use serde_json::{Value, json};
use stairshed_config::Installation;
use stairshed_config::installation;
use stairshed_memory::caps::Bytes;
use stairshed_memory::rejected_connections::Counts;
use stairshed_memory::{Caps, Ledger, Level, Purpose, PurposeUsage, Refused, RejectedConnections};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The memory budget that all parts of one courier share.
#[derive(Clone)]
pub struct MemoryBudget {
    pub ledger: Ledger,
    /// Connections that were refused and wait to be notified.
    pub rejected_connections: Rc<RefCell<RejectedConnections>>,
    origin: Instant,
}

/// A refused reservation, and how long to wait before retrying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryRefusal {
    pub refused: Refused,
    pub wait: Duration,
}

/// The page `/-/memory`, described in `docs/operating-memory.md`.
#[derive(Debug, Serialize)]
struct Page {
    level: Level,
    total: Option<u64>,
    /// Bytes in use for all purposes.
    accounted: u64,
    clients: usize,
    /// Connections refused since the start, by reason.
    turned_away: BTreeMap<String, Counts>,
    #[serde(flatten)]
    process: Option<Process>,
    purposes: Vec<PurposeUsage>,
}

#[derive(Debug, Serialize)]
struct Process {
    resident: u64,
    /// Bytes allocated that no purpose accounts for; negative where estimates are too high.
    unaccounted: i64,
    #[serde(flatten)]
    allocator: process_memory::AllocatorStats,
}

/// The memory caps of a configuration. Where it states no total, the process's memory limit applies.
///
/// # Errors
/// Returns all faults in the caps, or that the configuration itself exceeds its cap.
pub fn caps(installation: &Installation) -> Result<Caps, Vec<String>> {
    let caps = installation::memory_caps(&installation.file, process_memory::address_space_limit());
    let caps = caps.map_err(|faults| faults.iter().map(|f| format!("memory: {f}")).collect::<Vec<_>>())?;
    let (takes, may) = (installation.estimated_bytes(), caps.of[Purpose::Configuration]);
    match takes <= may {
        true => Ok(caps),
        false => Err(vec![format!(
            "memory.configuration: this configuration takes {}, and may take {}",
            Bytes(takes),
            Bytes(may)
        )]),
    }
}

impl MemoryBudget {
    pub fn new(caps: &Caps, share: f64) -> MemoryBudget {
        MemoryBudget {
            ledger: Ledger::new(caps, share),
            rejected_connections: Rc::default(),
            origin: Instant::now(),
        }
    }

    /// Replaces the caps.
    pub fn set_caps(&self, caps: &Caps, share: f64) {
        self.ledger.set_caps(caps, share);
    }

    /// The ledger's clock: time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Adds the time to wait to a refusal.
    pub fn refusal(&self, refused: Refused) -> MemoryRefusal {
        MemoryRefusal { refused, wait: self.ledger.retry_after(&refused, self.now()) }
    }

    /// The content of `/-/memory`.
    pub fn page(&self) -> Value {
        let accounted = self.ledger.in_use();
        let process = process_memory::resident_bytes().zip(process_memory::allocator_stats()).map(
            |(resident, allocator)| Process {
                resident,
                unaccounted: allocator.allocated as i64 - accounted as i64,
                allocator,
            },
        );
        json!(Page {
            level: self.ledger.max_level(),
            total: self.ledger.total(),
            accounted,
            clients: self.ledger.clients(),
            turned_away: self.rejected_connections.borrow().counts(),
            process,
            purposes: self.ledger.usage(),
        })
    }
}
