//! What crosses between the courier's parts: the news that its owner of the decision module hears, and
//! what they carry. It stands below all of them, so that no part imports the owner.

use crate::outbound::exchange::Exchange;
use crate::room::NoRoom;
use serde::Deserialize;
use stairshed_config::Installation;
use stairshed_decide::interface::{EndpointId, Outcome, Report};
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
    /// An endpoint has told to wait, in an answer that has not ended or proves nothing else.
    ToldToWait {
        endpoint: EndpointId,
        until: Instant,
    },
    Listed(List),
    /// Discovery at this address has written a whole line: the courier has all that it had told by then.
    DiscoveryHeard {
        discovery: SocketAddr,
        at: Instant,
    },
    /// The open watch at this address has ended.
    WatchLost {
        discovery: SocketAddr,
    },
    /// Discovery at this address could not be reached by a call that began then: it could not have told of a change.
    DiscoveryUnreachable {
        discovery: SocketAddr,
        since: Instant,
    },
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
    /// Whether a message of this id is taken on already.
    Known {
        id: String,
        reply: oneshot::Sender<bool>,
    },
    /// What became of the journal's sync.
    Synced(Synced),
    /// A front's state is to be put on record.
    Store(Store),
    /// A client has been told how its message ended, or never will be.
    OwnerTold {
        message: u64,
    },
    /// A broker has the message under this packet id and waits for its release: on record first.
    Released {
        endpoint: EndpointId,
        id: u16,
        message: u64,
    },
    /// A session with open fates is about to be resumed: on record first; or what became of it is known.
    Resuming {
        endpoint: EndpointId,
        begins: bool,
    },
    /// The packet id is free.
    Freed {
        endpoint: EndpointId,
        id: u16,
    },
    Stop,
}

/// State that a front puts on record under a key; None to take it off.
pub struct Store {
    pub token: u64,
    pub key: String,
    pub value: Option<bytes::Bytes>,
}

/// A front whose clients are told how their messages ended, as the owner of the decision module sees it. Nothing here
/// waits or calls back.
pub trait Front {
    /// What became of an offer.
    fn replied(&self, token: u64, reply: Reply);
    /// What became of a [`Store`].
    fn stored(&self, token: u64, kept: Result<(), Refusal>);
    /// Whether this client reads how its messages end, and has room for one more.
    fn hears(&self, owner: &str) -> bool;
    /// Measures what it holds, for the ledger.
    fn weigh(&self);
    /// Tells a client how its message ended: None if it was delivered. [`News::OwnerTold`] follows.
    fn outcome(&self, owner: &str, message: u64, id: &str, verdict: Option<Verdict>);
}

/// Where an answer goes.
pub enum ReplyTo {
    One(oneshot::Sender<Reply>),
    /// A front that waits for many. `left` is set once nobody waits for this one any more.
    Front {
        front: Rc<dyn Front>,
        token: u64,
        left: Rc<Cell<bool>>,
    },
}

impl ReplyTo {
    /// Nobody waits for it any more.
    pub fn is_closed(&self) -> bool {
        match self {
            ReplyTo::One(to) => to.is_closed(),
            ReplyTo::Front { left, .. } => left.get(),
        }
    }

    /// # Errors
    /// Nobody has heard it.
    pub fn send(self, reply: Reply) -> Result<(), Reply> {
        match self {
            ReplyTo::One(to) => to.send(reply),
            ReplyTo::Front { left, .. } if left.get() => Err(reply),
            ReplyTo::Front { front, token, .. } => {
                front.replied(token, reply);
                Ok(())
            }
        }
    }
}

/// A message that is offered, and where its answer goes.
pub struct Offer {
    pub letter: Rc<Letter>,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: ReplyTo,
    /// If it is refused it is taken on and bounced at once, on record: its front has no refusal.
    pub bounce: bool,
    /// The memory that its body has, as long as it is judged, and whose it is.
    pub room: Charge,
    pub guest: Option<Guest>,
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
    /// What memory there is from then on.
    pub caps: Caps,
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
    /// There is no memory for it.
    NoRoom(NoRoom),
    /// As many that have ended are remembered as may be.
    Crowded,
    NoDestination,
    Failed,
}

/// When to come again, where the module has not said it.
pub const COME_AGAIN: Duration = Duration::from_millis(500);

/// Why something cannot be put on record, as clients are told.
pub fn reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Full => "the journal is full of messages that have not ended",
        Refusal::DiskFull => "the disk is full",
        Refusal::DiskFails => "the disk cannot be written",
    }
}

/// How a call ended.
#[derive(Debug)]
pub struct CallEnd {
    pub outcome: Outcome,
    pub after: AfterAttempt,
    pub report: Option<Report>,
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
    Open,
    /// Nothing: it is delivered, or its endpoint's answer proves that it is over.
    Settled,
    /// Word of its end, and no attempt: its endpoint has said that it is over, in an answer that proves nothing.
    EndOwed,
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
