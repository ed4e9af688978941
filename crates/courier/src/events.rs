//! The events that the courier's parts send to the dispatcher, and the types they carry. All parts depend on
//! this module, so that none of them depends on the dispatcher.

use crate::memory_budget::MemoryRefusal;
use crate::socket::PeerWatch;
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::exchange::Exchange;
use crate::upstream::outcomes::AttemptSummary;
use serde::Deserialize;
use stairshed_config::Installation;
use stairshed_decide::interface::{EndpointId, LimitReport, Outcome};
use stairshed_health::answers::WaitScope;
use stairshed_journal::{AcceptedMessage, Refusal, SyncOutcome, Verdict};
use stairshed_memory::{Caps, Charge, ClientAccount};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An event that a part of the courier sends to the dispatcher.
pub enum DispatcherEvent {
    /// A client submits a message.
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
    /// An endpoint asked for a wait in a response that is incomplete or proves nothing else.
    BackoffRequested {
        endpoint: EndpointId,
        until: Instant,
        /// For whom the wait holds.
        scope: WaitScope,
    },
    /// Discovery has sent a list of endpoints, or changes to one.
    EndpointsListed(EndpointList),
    /// Discovery at this address has written a complete line: the courier's list is current as of `at`.
    DiscoveryLineRead {
        discovery: SocketAddr,
        at: Instant,
    },
    /// The open watch on discovery at this address has ended.
    WatchEnded {
        discovery: SocketAddr,
    },
    /// A call to discovery at this address that began at `since` could not reach it, so that discovery could
    /// not have reported a change.
    DiscoveryUnreachable {
        discovery: SocketAddr,
        since: Instant,
    },
    /// The platform has acknowledged the notices for these messages.
    NoticesAcknowledged(Vec<u64>),
    /// The configuration was reloaded and discovery has this address now.
    DiscoveryAddressChanged(SocketAddr),
    /// A checked configuration that is to take effect.
    ConfigurationChanged(Box<ConfigurationUpdate>),
    /// DNS lookups of endpoint names: the entries that changed.
    NamesResolved(EndpointList),
    /// Start watching discovery.
    StartWatch,
    /// Asks whether a message with this id is accepted. The reply comes once that is decided, and is dropped if the
    /// courier stops before.
    QueryAccepted {
        id: String,
        reply: oneshot::Sender<bool>,
    },
    /// A journal sync has finished or failed.
    JournalSynced(SyncOutcome),
    /// State of an ingress that is to be written to the journal.
    StoreState(StateUpdate),
    /// The outcome of a message has been delivered to its client, or can no longer be.
    OutcomeNotified {
        message: u64,
    },
    /// A broker has sent PUBREC for this packet id; it must be in the journal before PUBREL is sent.
    PubrecReceived {
        session: Rc<BrokerSession>,
        id: u16,
        message: u64,
    },
    /// A broker's session with unresolved attempts is about to be resumed (`pending`), which must be in the
    /// journal first; or it is known whether the session was resumed (not `pending`).
    SessionResuming {
        session: Rc<BrokerSession>,
        pending: bool,
    },
    /// The packet id may be reused.
    PacketIdFreed {
        session: Rc<BrokerSession>,
        id: u16,
    },
    /// The courier is to stop.
    Stop,
}

/// State of an ingress, written to the journal under a key. A `value` of None deletes it.
pub struct StateUpdate {
    pub token: u64,
    pub key: String,
    pub value: Option<bytes::Bytes>,
}

/// An ingress whose clients are notified of the outcomes of their messages, as the dispatcher uses it. Its
/// methods neither block nor call back into the dispatcher.
pub trait Ingress {
    /// The reply to a [`Submission`].
    fn on_reply(&self, token: u64, reply: Reply);
    /// The result of a [`StateUpdate`].
    fn on_stored(&self, token: u64, kept: Result<(), Refusal>);
    /// Whether this client subscribes to outcomes and has room for one more.
    fn accepts_outcomes(&self, owner: &str) -> bool;
    /// Measures the memory it uses and updates the ledger.
    fn measure_memory(&self);
    /// Sends the outcome of a message to its client. [`DispatcherEvent::OutcomeNotified`] follows.
    fn send_outcome(&self, owner: &str, message: u64, outcome: &ClientOutcome);
}

/// How a message ended, as its client is told.
pub struct ClientOutcome<'a> {
    pub id: &'a str,
    /// None means delivered.
    pub verdict: Option<Verdict>,
    /// What its attempts were, if the verdict tells of them and they are still known.
    pub attempts: Option<AttemptSummary>,
}

/// Where the reply to a submission goes.
pub enum ReplyTo {
    /// One client, on a connection of its own.
    Single { reply: oneshot::Sender<Reply>, client: PeerWatch },
    /// An ingress with many submissions pending. `abandoned` is set once nobody waits for this one any more.
    Ingress { ingress: Rc<dyn Ingress>, token: u64, abandoned: Rc<Cell<bool>> },
}

impl ReplyTo {
    /// Whether nobody waits for the reply any more.
    pub fn is_closed(&self) -> bool {
        match self {
            ReplyTo::Single { reply, client } => reply.is_closed() || client.has_left(),
            ReplyTo::Ingress { abandoned, .. } => abandoned.get(),
        }
    }

    /// Sends the reply.
    ///
    /// # Errors
    /// Returns the reply if nobody waits for it any more.
    pub fn send(self, reply: Reply) -> Result<(), Reply> {
        match self {
            ReplyTo::Single { client, .. } if client.has_left() => Err(reply),
            ReplyTo::Single { reply: to, .. } => to.send(reply),
            ReplyTo::Ingress { abandoned, .. } if abandoned.get() => Err(reply),
            ReplyTo::Ingress { ingress, token, .. } => {
                ingress.on_reply(token, reply);
                Ok(())
            }
        }
    }
}

/// A message that a client submits, and where the reply goes.
pub struct Submission {
    pub accepted: Rc<AcceptedMessage>,
    /// Time until its deadline, as of `at`.
    pub time_left: Duration,
    /// When it arrived.
    pub at: Instant,
    pub reply: ReplyTo,
    /// A refused message is accepted and bounced at once, in the journal, because its protocol has no
    /// refusal.
    pub bounce: bool,
    /// The memory charged for its body until it is accepted or refused.
    pub body_charge: Charge,
    /// The client whose share of memory it uses.
    pub client_account: Option<ClientAccount>,
}

/// What a configuration changes among endpoints and destinations.
pub struct MembershipChanges {
    /// Endpoints that are new, changed or gone.
    pub hosts: Vec<ListedEndpoint>,
    /// Limits of endpoints, by host, where the configuration states them.
    pub limits: Vec<(String, f64)>,
    pub removed_destinations: Vec<u64>,
    pub present_destinations: Vec<u64>,
}

/// A checked configuration with its changes, both prepared off the dispatcher.
pub struct ConfigurationUpdate {
    /// Its version; 0 for the operator's file.
    pub version: u64,
    pub installation: Arc<Installation>,
    /// The memory caps from then on.
    pub caps: Caps,
    pub changes: MembershipChanges,
    /// Signalled once it is in effect.
    pub done: oneshot::Sender<()>,
}

/// The reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Accepted,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot accept anything at the moment.
    Unavailable,
    /// The journal cannot record it.
    JournalRefused(Refusal),
    /// There is not enough memory for it.
    OutOfMemory(MemoryRefusal),
    /// The limit on remembered messages is reached.
    TooManyRemembered,
    UnknownDestination,
    Failed,
}

/// The retry delay sent to clients where the scheduler gives none.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why the journal cannot record something, in words for clients.
pub fn refusal_reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Full => "the journal is full of messages that have not ended",
        Refusal::DiskFull => "the disk is full",
        Refusal::DiskUnreliable => "the disk cannot be written",
    }
}

/// The result of a call or a probe.
#[derive(Debug)]
pub struct CallResult {
    pub outcome: Outcome,
    pub after: AfterAttempt,
    pub report: Option<LimitReport>,
    pub at: Instant,
    /// Status of the response, if one came.
    pub status: Option<u16>,
    /// The evidence for the outcome, for the message trace (`--follow`).
    pub proof: &'static str,
    /// The exchange on a connection, if there was one.
    pub exchange: Option<Exchange>,
}

/// What remains to be done for a message after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The message has not ended, and may be retried.
    RetryAllowed,
    /// Nothing: it is delivered, or the endpoint's response proves that it has ended.
    Settled,
    /// A notice of its end, but no retry: the endpoint said that it has ended, in a response that proves
    /// nothing.
    FailWithoutRetry,
    /// A notice of its end, but no retry: the endpoint rejected it for good.
    Rejected,
}

/// A list of endpoints, or changes to one, in discovery's format.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<ListedEndpoint>,
}

/// An endpoint in discovery's format: `host` is its name, `dial` its address, `site` its zone, `class` its
/// kind, `block` its destination and `share` its weight.
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
    /// Whether messages are sent to it only while the lease on the list is valid, as for endpoints from
    /// discovery.
    #[serde(skip, default = "from_discovery")]
    pub leased: bool,
}

fn from_discovery() -> bool {
    true
}

/// The changes from `before` to `now`, both by name. Endpoints that are gone come first.
pub fn diff_endpoints(
    before: &BTreeMap<String, ListedEndpoint>,
    now: &BTreeMap<String, ListedEndpoint>,
) -> Vec<ListedEndpoint> {
    let gone = before.iter().filter(|(name, _)| !now.contains_key(*name));
    let gone = gone.map(|(_, host)| ListedEndpoint { health: Health::Gone, ..host.clone() });
    let new = now.iter().filter(|(name, host)| before.get(*name) != Some(host));
    gone.chain(new.map(|(_, host)| host.clone())).collect()
}

/// The state of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Ready,
    Draining,
    Gone,
    /// Any other value: nothing new is sent there.
    #[serde(other)]
    Unknown,
}
