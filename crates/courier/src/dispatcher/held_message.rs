//! Types that the dispatcher's submodules share: a held message, an action that waits for the journal, and
//! the placeholder for an unknown zone.

use crate::events::ReplyTo;
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::endpoint_client::Call;
use stairshed_journal::AcceptedMessage;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The zone of an attempt whose record was lost to journal damage. It matches no endpoint's zone, since no
/// configuration file can contain it.
pub(super) const UNKNOWN_ZONE: &str = "\0";

/// A message that the courier holds until it ends.
pub(super) struct HeldMessage {
    pub(super) accepted: Rc<AcceptedMessage>,
    pub(super) class: usize,
    pub(super) attempts: u32,
    /// The call in flight: when it was started, and how to cancel it where that is possible.
    pub(super) in_flight: Option<(Instant, Option<oneshot::Sender<()>>)>,
}

/// An action that must wait until its record is durable.
pub(super) enum DeferredAction {
    /// Tell the clients that wait for it that their message is accepted.
    ConfirmAcceptance { message: u64 },
    /// Start a call whose attempt is in the journal.
    StartCall { call: Call, cancelled: oneshot::Receiver<()> },
    /// Confirm a message that was accepted and bounced at once.
    ConfirmBounce { message: u64, reply: ReplyTo },
    /// Tell the ingress that its state is stored.
    ConfirmState { token: u64 },
    /// Go on after a broker's PUBREC.
    ConfirmPubrec { session: Rc<BrokerSession>, id: u16 },
    /// Resume a broker's session.
    ResumeSession { session: Rc<BrokerSession> },
}
