//! The ledger of memory with the courier's clock: where all parts ask for room, and learn when to come back.

use crate::process_memory;
use serde::Serialize;
use serde_json::{Value, json};
use stairshed_config::Installation;
use stairshed_config::installation;
use stairshed_memory::caps::Bytes;
use stairshed_memory::partings::Counts;
use stairshed_memory::{Caps, Ledger, Level, Partings, Purpose, Refused, State};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Shared by all parts of one courier.
#[derive(Clone)]
pub struct MemoryBudget {
    pub ledger: Ledger,
    /// Connections that are turned away.
    pub partings: Rc<RefCell<Partings>>,
    origin: Instant,
}

/// There is no room for something new, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryRefusal {
    pub refused: Refused,
    pub wait: Duration,
}

/// `/-/memory`: see `docs/operating-memory.md`.
#[derive(Debug, Serialize)]
struct Page {
    level: Level,
    total: Option<u64>,
    /// Bytes in use for all purposes.
    accounted: u64,
    clients: usize,
    /// Connections that were turned away since the start, by reason.
    turned_away: BTreeMap<String, Counts>,
    #[serde(flatten)]
    process: Option<Process>,
    purposes: Vec<State>,
}

#[derive(Debug, Serialize)]
struct Process {
    resident: u64,
    /// What the allocator has given out and no purpose has on its books; below zero where estimates are too high.
    unaccounted: i64,
    #[serde(flatten)]
    allocator: process_memory::AllocatorStats,
}

/// The caps of a configuration, with what the process was started with where it states no total.
///
/// # Errors
/// All that is wrong with them, or the configuration itself takes more than it may.
pub fn caps(installation: &Installation) -> Result<Caps, Vec<String>> {
    let caps = installation::caps(&installation.file, process_memory::address_space_limit());
    let caps = caps.map_err(|faults| faults.iter().map(|f| format!("memory: {f}")).collect::<Vec<_>>())?;
    let (takes, may) = (installation.weigh(), caps.of[Purpose::Configuration]);
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
        MemoryBudget { ledger: Ledger::new(caps, share), partings: Rc::default(), origin: Instant::now() }
    }

    /// Other caps from now on.
    pub fn set_caps(&self, caps: &Caps, share: f64) {
        self.ledger.set_caps(caps, share);
    }

    /// The ledger's time.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// What somebody who was refused is told.
    pub fn refusal(&self, refused: Refused) -> MemoryRefusal {
        MemoryRefusal { refused, wait: self.ledger.wait(&refused, self.now()) }
    }

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
            level: self.ledger.worst(),
            total: self.ledger.total(),
            accounted,
            clients: self.ledger.clients(),
            turned_away: self.partings.borrow().counts(),
            process,
            purposes: self.ledger.states(),
        })
    }
}
