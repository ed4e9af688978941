//! What crosses between the courier's parts: the news that its owner of the decision module hears, and
//! what they carry. It stands below all of them, so that no part imports the owner.

use serde::Deserialize;
use stairshed_decide::interface::{EndpointId, Outcome, Report};
use stairshed_journal::{Letter, Refusal, Synced};
use std::net::SocketAddr;
use std::rc::Rc;
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
    /// What became of the journal's sync.
    Synced(Synced),
    Stop,
}

/// A message that is offered, and where its answer goes.
pub struct Offer {
    pub letter: Rc<Letter>,
    pub class: usize,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: oneshot::Sender<Reply>,
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

#[derive(Clone, Debug, Deserialize)]
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
