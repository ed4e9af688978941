//! The scheduler's interface: settings, events, actions and ids, as plain data. Every decision is in
//! [`crate::scheduler`].

use std::time::Duration;

/// A time on the courier's monotonic clock, counted from an arbitrary origin.
pub type Time = Duration;

/// A message, as numbered by the courier. Not reused while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint, as numbered by the courier in order of first appearance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A destination: the receiver of a message, reached through its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);

/// Identifies what shares one limit and its waits: a destination, or one of its endpoints if routes are
/// separate.
pub type LimitGroupId = (DestinationId, Option<EndpointId>);

/// Effect of delivering a message again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// None: repeats are harmless.
    Repeatable,
    /// Receivers in `scope` drop repeats for `window` from the first attempt that may have run.
    Keyed { scope: KeyScope, window: Duration },
    /// A repeat takes effect again: the message must never be sent again once it may have run.
    Once,
}

/// Which endpoints of a destination recognise each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    /// Only the endpoint itself; also used for scopes that are unknown to this crate.
    Endpoint,
}

/// Settings of a message class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Target time: a delivery within it has full worth.
    pub aim: Duration,
    /// A delivery after this time has no worth.
    pub deadline: Duration,
    /// Worth of a delivery within the aim.
    pub worth: f64,
    /// Share of the worth that remains at the deadline.
    pub late_share: f64,
    pub effect: Effect,
    /// Messages with the same key are sent one at a time, in order of arrival.
    pub ordered: bool,
    /// The aim is extended by this multiple of the message's estimated work.
    pub aim_stretch: f64,
    /// Maximum attempts for a message; None for [`Settings::max_attempts`].
    pub max_attempts: Option<u32>,
    /// Refuses a keyed message only if it never ran, in any scope of its key: a client may submit it again
    /// after the window. If not set, one of scope [`KeyScope::All`] is refused even if it may have run.
    pub refuse_keyed_only_unrun: bool,
}

/// How the worth of a delivery decreases between the aim and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Linearly, down to the late share.
    Linear,
    /// Halved with each further aim, but not below the late share.
    Halving,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Each endpoint is a route of its own, with its own limit, rate and outages.
    pub separate_routes: bool,
    /// Maximum number of messages in one call.
    pub max_bundle_size: usize,
}

/// Meaning of the weight of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    None,
    /// Calls per second that the destination or route accepts from all couriers together.
    Nominal,
    /// The same, with an error of up to one half either way.
    Approximate,
}

/// Duration of the lease on the endpoint list. By the discovery protocol, a change counts as announced after
/// 6 s, whether or not it arrived, and nothing may be sent to a draining endpoint from 1 s later. The
/// remaining 0.8 s allow for lines that are read late and calls that are written late.
pub const ENDPOINT_LIST_LEASE: Duration = Duration::from_millis(6200);

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of couriers that share the destinations, including this one.
    pub courier_count: usize,
    pub classes: Vec<Class>,
    pub kinds: Vec<DestinationKind>,
    /// Number of tenants; if 0, fairness applies between classes.
    pub tenant_count: usize,
    /// Maximum number of concurrent calls.
    pub max_calls_in_flight: usize,
    /// Maximum number of messages without a final answer.
    pub max_messages: usize,
    /// Maximum attempts for a message; refused ones don't count.
    pub max_attempts: u32,
    pub worth_decay: WorthDecay,
    /// Cost of one new connection per message, in points of the overall result.
    pub handshake_cost: f64,
    /// Cost of a message on a separate route, by zone, in the same unit.
    pub zone_fees: Vec<f64>,
    pub weight_kind: WeightKind,
    /// A connect fails if it is not established within this time.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub keepalive: Duration,
    pub probing_enabled: bool,
    pub cancellation_enabled: bool,
    /// List changes arrive only after [`Action::Subscribe`].
    pub subscription_required: bool,
    /// How long the list may be used after it was last known to be current; None for no limit.
    pub membership_lease_duration: Option<Duration>,
    /// Minimum time between two calls of the scheduler.
    pub tick: Duration,
    /// From this long after an endpoint was listed as draining or gone, nothing may be sent to it.
    pub drain_grace: Duration,
    /// Initial share of its capacity that a destination has after an outage.
    pub slow_start_min_share: f64,
    /// Time after an outage at which it has all of its capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its present capacity above which a destination in slow start fails again.
    pub overload_multiple: f64,
    /// How long that multiple must be exceeded for it to fail.
    pub overload_duration: Duration,
    /// Pause before a key's next message, after an attempt that may still be running.
    pub order_pause: Duration,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// One line of the endpoint list. The destination of an endpoint never changes: one that is listed for another
/// is gone.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub zone: usize,
    pub kind: usize,
    pub state: EndpointState,
    pub weight: f64,
    /// Listed by discovery: nothing is sent to it unless the lease on the list is valid.
    pub requires_lease: bool,
}

/// How an attempt or a probe ended. `--follow` lines print it with these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    /// Answered with an error; the message may have run.
    Error,
    /// Rejected without processing, perhaps with a time to wait; the message never ran.
    Full {
        wait: Option<Duration>,
    },
    /// This endpoint refused the call without processing it, perhaps with a time to wait; the message never
    /// ran. Unlike [`Outcome::Full`], it says nothing about the destination's other endpoints.
    Refused {
        wait: Option<Duration>,
    },
    /// The endpoint rejected the message for good; it is not sent again. The endpoint itself works.
    Rejected,
    /// No answer in time; the message may have run or may still be running.
    TimedOut,
    /// No connection was established; the message never ran.
    ConnectFailed,
    /// The endpoint is up but answered that it accepts no more connections; the message never ran.
    Crowded,
    /// The connection broke; the message may have run.
    Reset,
    /// Cancelled; the message may have run.
    Cancelled,
    /// Not sent; the message never ran, but this counts as an attempt.
    Moot,
}

impl Outcome {
    /// Whether the call was answered and not processed.
    pub(crate) fn is_rejection(self) -> bool {
        matches!(self, Outcome::Full { .. } | Outcome::Refused { .. })
    }
}

/// An endpoint's report on its limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitReport {
    /// Remaining share of the allowance.
    pub remaining_share: f64,
    /// The limit in calls per second; 0 if there is none.
    pub limit: f64,
}

/// A message that the courier has accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    pub message: MessageId,
    pub class: usize,
    pub tenant: usize,
    pub destination: DestinationId,
    pub key: Option<String>,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Estimate of the time that it takes to process, if there is one.
    pub estimated_work: Option<Duration>,
    /// Its attempts before this courier restarted; none for a new message.
    pub history: Past,
}

/// Recorded attempts of a message that was accepted before the courier restarted. `--follow` lines print it
/// with these names.
#[derive(Clone, Debug, Default)]
pub struct Past {
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
}

/// An attempt that may have run: its endpoint, zone and age. `--follow` lines print it with these names.
#[derive(Clone, Copy, Debug)]
pub struct Ran {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub ago: Duration,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub elapsed: Duration,
    /// The message has its final answer; no further attempt follows.
    pub is_final: bool,
    pub report: Option<LimitReport>,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changed entries, or with `complete` the complete list.
    EndpointList { complete: bool, entries: Vec<EndpointEntry> },
    /// A request for the list failed, or the subscription broke.
    EndpointListFailed,
    /// The list was current at this time: discovery has sent data since, or could not have sent a change.
    MembershipCurrent { as_of: Time },
    /// Discovery may announce changes that don't reach this courier: unless renewed, the lease on the list
    /// expires at this time at the latest.
    MembershipLimited { until: Time },
    /// A message was accepted and must get exactly one final answer.
    Accepted(Accepted),
    /// A streamed response has started.
    ResponseStarted { message: MessageId },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client has withdrawn the message.
    Withdrawn { message: MessageId },
    /// A timer set with [`Action::SetTimer`] fired.
    TimerFired { token: u64 },
    /// A probe ended.
    ProbeEnded { endpoint: EndpointId, outcome: Outcome, elapsed: Duration, report: Option<LimitReport> },
    /// A note from another courier arrived.
    NoteReceived { from: u64, note: Vec<u8> },
}

/// Output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, which ends in an [`Event::AttemptEnded`].
    Send { message: MessageId, endpoint: EndpointId, timeout: Duration },
    /// End the message undelivered; sending it again is harmless. `wait` tells the client when to retry.
    Refuse { message: MessageId, wait: Option<Duration> },
    /// End the message; whether it took effect is unknown.
    Fail { message: MessageId },
    /// Check whether an endpoint answers.
    Probe { endpoint: EndpointId },
    /// Cancel an attempt; attempts of a message count from 0.
    Cancel { message: MessageId, attempt: u32 },
    /// Start or stop receiving list changes.
    Subscribe { active: bool },
    /// Request the complete list once.
    FetchEndpointList,
    /// Close all idle connections to an endpoint.
    CloseIdleConnections { endpoint: EndpointId },
    /// Forget an endpoint that left the list long ago; nothing refers to it any more.
    ForgetEndpoint { endpoint: EndpointId },
    /// Send a note of at most 256 bytes to one courier, or to all.
    SendNote { to: Option<u64>, note: Vec<u8> },
    /// Ask for an [`Event::TimerFired`].
    SetTimer { token: u64, after: Duration },
    /// Write a line to the operators' log.
    Log { text: String },
}
