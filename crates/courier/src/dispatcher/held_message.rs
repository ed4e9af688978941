//! What the parts of the owner hand each other: a message that is held, what waits for its record, and the zone of
//! which nothing is known. Below all of them, and owns nothing itself.

use crate::events::ReplyTo;
use crate::outbound::endpoint_client::Call;
use stairshed_decide::interface::EndpointId;
use stairshed_journal::Letter;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The zone of an attempt of which only damage of the journal speaks. No endpoint's: it is no text of a file.
pub(super) const NOWHERE: &str = "\0";

pub(super) struct Held {
    pub(super) letter: Rc<Letter>,
    pub(super) class: usize,
    pub(super) attempts: u32,
    /// The call that is out: when it left, and how to call it off.
    pub(super) out: Option<(Instant, Option<oneshot::Sender<()>>)>,
}

/// What must not be done before a record is kept.
pub(super) enum Waiting {
    Reply {
        message: u64,
        reply: ReplyTo,
    },
    Call {
        call: Call,
        cancelled: oneshot::Receiver<()>,
    },
    /// A message that was taken on and bounced at once.
    Bounced {
        message: u64,
        reply: ReplyTo,
    },
    /// A front's state.
    Stored {
        token: u64,
    },
    /// A broker's receipt.
    Recorded {
        endpoint: EndpointId,
        id: u16,
    },
    /// That a broker's session is being resumed.
    Resuming {
        endpoint: EndpointId,
    },
}
