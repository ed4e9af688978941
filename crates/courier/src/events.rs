//! What crosses between the courier's parts: the news that its owner of the decision module hears, and
//! what they carry. It stands below all of them, so that no part imports the owner.

use crate::memory_budget::MemoryRefusal;
use crate::outbound::exchange::Exchange;
use serde::Deserialize;
use stairshed_config::Installation;
use stairshed_decide::interface::{EndpointId, LimitReport, Outcome};
use stairshed_journal::{Letter, Refusal, Synced, Verdict};
use stairshed_memory::{Caps, Charge, Guest};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What reaches the courier from its other parts.
pub enum CourierEvent {
    Submitted(Submission),
    CallEnded {
        message: u64,
        attempt: u32,
        endpoint: EndpointId,
        end: CallResult,
    },
    ProbeEnded {
        endpoint: EndpointId,
        sent: Instant,
        end: CallResult,
    },
    /// An endpoint has told to wait, in an answer that has not ended or proves nothing else.
    BackoffRequested {
        endpoint: EndpointId,
        until: Instant,
    },
    EndpointsListed(EndpointList),
    /// Discovery at this address has written a whole line: the courier has all that it had told by then.
    DiscoveryLineRead {
        discovery: SocketAddr,
        at: Instant,
    },
    /// The open watch at this address has ended.
    WatchEnded {
        discovery: SocketAddr,
    },
    /// Discovery at this address could not be reached by a call that began then: it could not have told of a change.
    DiscoveryUnreachable {
        discovery: SocketAddr,
        since: Instant,
    },
    /// The platform has acknowledged the notices for these.
    NoticesAcknowledged(Vec<u64>),
    /// The configuration was read again: where discovery is now.
    DiscoveryAddressChanged(SocketAddr),
    /// A configuration is to take effect now.
    ConfigurationChanged(Box<ConfigurationUpdate>),
    /// What names of endpoints stand for now: entries that changed.
    NamesResolved(EndpointList),
    /// Discovery is to be watched from now on.
    StartWatch,
    /// Whether a message of this id is taken on already.
    QueryAccepted {
        id: String,
        reply: oneshot::Sender<bool>,
    },
    /// What became of the journal's sync.
    JournalSynced(Synced),
    /// A front's state is to be put on record.
    StoreState(StateUpdate),
    /// A client has been told how its message ended, or never will be.
    OutcomeNotified {
        message: u64,
    },
    /// A broker has the message under this packet id and waits for its release: on record first.
    PubrecReceived {
        endpoint: EndpointId,
        id: u16,
        message: u64,
    },
    /// A session with open fates is about to be resumed: on record first; or what became of it is known.
    SessionResuming {
        endpoint: EndpointId,
        pending: bool,
    },
    /// The packet id is free.
    PacketIdFreed {
        endpoint: EndpointId,
        id: u16,
    },
    Stop,
}

/// State that a front puts on record under a key; None to take it off.
pub struct StateUpdate {
    pub token: u64,
    pub key: String,
    pub value: Option<bytes::Bytes>,
}

/// A front whose clients are told how their messages ended, as the owner of the decision module sees it. Nothing here
/// waits or calls back.
pub trait Frontend {
    /// What became of an offer.
    fn on_reply(&self, token: u64, reply: Reply);
    /// What became of a [`StateUpdate`].
    fn on_stored(&self, token: u64, kept: Result<(), Refusal>);
    /// Whether this client reads how its messages end, and has room for one more.
    fn accepts_outcomes(&self, owner: &str) -> bool;
    /// Measures what it holds, for the ledger.
    fn measure_memory(&self);
    /// Tells a client how its message ended: None if it was delivered. [`CourierEvent::OutcomeNotified`] follows.
    fn send_outcome(&self, owner: &str, message: u64, id: &str, verdict: Option<Verdict>);
}

/// Where an answer goes.
pub enum ReplyTo {
    Single(oneshot::Sender<Reply>),
    /// A front that waits for many. `abandoned` is set once nobody waits for this one any more.
    Frontend {
        frontend: Rc<dyn Frontend>,
        token: u64,
        abandoned: Rc<Cell<bool>>,
    },
}

impl ReplyTo {
    /// Nobody waits for it any more.
    pub fn is_closed(&self) -> bool {
        match self {
            ReplyTo::Single(to) => to.is_closed(),
            ReplyTo::Frontend { abandoned, .. } => abandoned.get(),
        }
    }

    /// # Errors
    /// Nobody has heard it.
    pub fn send(self, reply: Reply) -> Result<(), Reply> {
        match self {
            ReplyTo::Single(to) => to.send(reply),
            ReplyTo::Frontend { abandoned, .. } if abandoned.get() => Err(reply),
            ReplyTo::Frontend { frontend, token, .. } => {
                frontend.on_reply(token, reply);
                Ok(())
            }
        }
    }
}

/// A message that is offered, and where its answer goes.
pub struct Submission {
    pub letter: Rc<Letter>,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: ReplyTo,
    /// If it is refused it is taken on and bounced at once, on record: its front has no refusal.
    pub bounce: bool,
    /// The memory that its body has, as long as it is judged, and whose it is.
    pub body_charge: Charge,
    pub guest: Option<Guest>,
}

/// What a configuration changes.
pub struct MembershipChanges {
    /// Endpoints that are new, other than before, or gone; and their limits, where stated.
    pub hosts: Vec<ListedEndpoint>,
    pub limits: Vec<(String, f64)>,
    /// Destinations that are there no more, and those that are.
    pub removed_destinations: Vec<u64>,
    pub present_destinations: Vec<u64>,
}

/// A configuration with what it changes, both made ready elsewhere.
pub struct ConfigurationUpdate {
    /// 0 for the operator's file.
    pub version: u64,
    pub installation: Arc<Installation>,
    /// What memory there is from then on.
    pub caps: Caps,
    pub changes: MembershipChanges,
    /// Told once it is in effect.
    pub done: oneshot::Sender<()>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Accepted,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot take anything just now.
    Unavailable,
    /// It cannot be put on record.
    JournalRefused(Refusal),
    /// There is no memory for it.
    OutOfMemory(MemoryRefusal),
    /// As many that have ended are remembered as may be.
    TooManyRemembered,
    UnknownDestination,
    Failed,
}

/// When to come again, where the module has not said it.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why something cannot be put on record, as clients are told.
pub fn refusal_reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Full => "the journal is full of messages that have not ended",
        Refusal::DiskFull => "the disk is full",
        Refusal::DiskFails => "the disk cannot be written",
    }
}

/// How a call ended.
#[derive(Debug)]
pub struct CallResult {
    pub outcome: Outcome,
    pub after: AfterAttempt,
    pub report: Option<LimitReport>,
    pub at: Instant,
    /// What the outcome rests on, for those who follow the message.
    pub proof: &'static str,
    /// The exchange on a connection; None where there was none.
    pub exchange: Option<Exchange>,
}

/// What is still owed for a message once an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// Its end: another attempt may be made.
    RetryAllowed,
    /// Nothing: it is delivered, or its endpoint's answer proves that it is over.
    Settled,
    /// Word of its end, and no attempt: its endpoint has said that it is over, in an answer that proves nothing.
    FailWithoutRetry,
}

/// A list, or its changes, as discovery writes it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<ListedEndpoint>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
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
    /// For an MQTT broker: the topic that is published to.
    #[serde(skip)]
    pub topic: Option<String>,
    /// It is sent to only while the list may be acted on, as what discovery writes is.
    #[serde(skip, default = "from_discovery")]
    pub leased: bool,
}

fn from_discovery() -> bool {
    true
}

/// What differs from `before` to `now`, both by name: what is gone first.
pub fn diff_endpoints(
    before: &BTreeMap<String, ListedEndpoint>,
    now: &BTreeMap<String, ListedEndpoint>,
) -> Vec<ListedEndpoint> {
    let gone = before.iter().filter(|(name, _)| !now.contains_key(*name));
    let gone = gone.map(|(_, host)| ListedEndpoint { health: Health::Gone, ..host.clone() });
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
