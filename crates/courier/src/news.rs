//! What crosses between the courier's parts: the news that its owner of the decision module hears, and
//! what they carry. It stands below all of them, so that no part imports the owner.

use crate::effective::Effective;
use serde::Deserialize;
use stairshed_config::Installation;
use stairshed_decide::interface::{EndpointId, Outcome, Report};
use stairshed_journal::{Letter, Refusal, Synced};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What reaches the courier from its other parts.
pub enum News {
    Offered(Offer),
    Called {
        message: u64,
        attempt: u32,
        endpoint: EndpointId,
        end: CallEnd,
    },
    Probed {
        endpoint: EndpointId,
        sent: Instant,
        end: CallEnd,
    },
    Listed(List),
    /// The platform has acknowledged the notices for these.
    Told(Vec<u64>),
    /// The configuration was read again: where discovery is now.
    Moved(SocketAddr),
    /// A configuration is to take effect now.
    Configured(Box<Configured>),
    /// What names of endpoints stand for now: entries that changed.
    Resolved(List),
    /// Discovery is to be watched from now on.
    Watch,
    /// What became of the journal's sync.
    Synced(Synced),
    Stop,
}

/// A message that is offered, and where its answer goes.
pub struct Offer {
    pub letter: Rc<Letter>,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: oneshot::Sender<Reply>,
}

/// What a configuration changes.
pub struct Changes {
    /// Endpoints that are new, other than before, or gone; and their limits, where stated.
    pub hosts: Vec<Host>,
    pub limits: Vec<(String, f64)>,
    /// Destinations that are there no more, and those that are.
    pub gone: Vec<u64>,
    pub there: Vec<u64>,
}

/// A configuration with what it changes, both made ready elsewhere.
pub struct Configured {
    /// 0 for the operator's file.
    pub version: u64,
    pub installation: Arc<Installation>,
    /// Where the fronts look.
    pub effective: Effective,
    pub changes: Changes,
    /// Told once it is in effect.
    pub done: oneshot::Sender<()>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot take anything just now.
    Unavailable,
    /// It cannot be put on record.
    NoRecord(Refusal),
    NoDestination,
    Failed,
}

/// How a call ended.
#[derive(Debug)]
pub struct CallEnd {
    pub outcome: Outcome,
    /// The message is over, whatever else is tried.
    pub over: bool,
    pub report: Option<Report>,
    pub at: Instant,
}

/// A list, or its changes, as discovery writes it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Host {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    pub block: u64,
    pub health: Health,
    #[serde(default)]
    pub share: f64,
}

/// What differs from `before` to `now`, both by name: what is gone first.
pub fn differences(before: &BTreeMap<String, Host>, now: &BTreeMap<String, Host>) -> Vec<Host> {
    let gone = before.iter().filter(|(name, _)| !now.contains_key(*name));
    let gone = gone.map(|(_, host)| Host { health: Health::Gone, ..host.clone() });
    let new = now.iter().filter(|(name, host)| before.get(*name) != Some(host));
    gone.chain(new.map(|(_, host)| host.clone())).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Ready,
    Draining,
    Gone,
    /// A word that is not known here: nothing new is sent there.
    #[serde(other)]
    Unknown,
}
