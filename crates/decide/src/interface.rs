//! The vocabulary of the decision module: settings, events, actions and the ids they use.
//! Plain data without behaviour of its own; every decision is in [`crate::scheduler`].

use std::time::Duration;

/// A point on the courier's monotonic clock, as the time since an arbitrary origin.
pub type Time = Duration;

/// A message, as numbered by the courier. Never reused within a life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint, as numbered by the courier in the order in which it first heard of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A destination: the party a message is meant for, reached through its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);

/// What shares one limit and its waits: a destination, or one endpoint of it where routes are separate.
pub type LimitGroupId = (DestinationId, Option<EndpointId>);

/// What a repeated delivery of a message does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: repeats are harmless.
    Repeatable,
    /// Dropped by the receivers in `scope` for `window` from the first send that may have run.
    Keyed { scope: KeyScope, window: Duration },
    /// It takes effect again, so it must never be repeated once it may have run.
    Once,
}

/// Which endpoints of a destination share the memory of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    /// Only the endpoint itself (used where the scope is none this crate knows).
    Endpoint,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Full worth is earned when delivered within this time.
    pub aim: Duration,
    /// Nothing is earned after this time.
    pub deadline: Duration,
    /// Worth of a message delivered within the aim.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    pub effect: Effect,
    /// Messages of one key go one at a time, in order of arrival.
    pub ordered: bool,
    /// The aim grows by this multiple of the message's estimated work.
    pub aim_stretch: f64,
    /// Attempts a message may have; None for [`Settings::max_attempts`].
    pub max_attempts: Option<u32>,
}

/// How worth falls between the aim and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Evenly, down to the late share.
    Linear,
    /// By half with each further aim, not under the late share.
    Halving,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// The endpoints are routes apart, each with its own limit, pace and outages.
    pub separate_routes: bool,
    /// Messages that one call carries at most.
    pub max_bundle_size: usize,
}

/// What the weight of a list entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    None,
    /// Calls a second the destination or route takes from all couriers together.
    Nominal,
    /// The same, up to half too high or too low.
    Approximate,
}

/// How long a list is acted on: what discovery has counts as told after 6 s, whether or not it arrived (protocol page),
/// and nothing may go to an endpoint that drains 1 s later. The rest is for lines that are read and calls that are
/// written late.
pub const ENDPOINT_LIST_LEASE: Duration = Duration::from_millis(6200);

/// What the courier knows when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many couriers share the destinations, this one included.
    pub courier_count: usize,
    pub classes: Vec<Class>,
    pub kinds: Vec<DestinationKind>,
    /// Number of tenants; with none, fairness is between classes.
    pub tenant_count: usize,
    /// Calls that may be out at once.
    pub max_calls_in_flight: usize,
    /// Messages that may be held, sent or not.
    pub max_messages: usize,
    /// Attempts a message may have.
    pub max_attempts: u32,
    pub worth_decay: WorthDecay,
    /// Price of a new connection, in points of the result for one a message.
    pub handshake_cost: f64,
    /// Price of a message on a separate route, by zone, in the same points.
    pub zone_fees: Vec<f64>,
    pub weight_kind: WeightKind,
    /// A connection not established within this time is a failed connect.
    pub connect_timeout: Duration,
    /// Idle connections close after this time.
    pub keepalive: Duration,
    pub probing_enabled: bool,
    pub cancellation_enabled: bool,
    /// List changes come only after [`Action::Subscribe`].
    pub subscription_required: bool,
    /// How long the list may be acted on from when it was last known to be current; None for good.
    pub membership_lease_duration: Option<Duration>,
    /// The smallest time between two calls of the module.
    pub tick: Duration,
    /// Nothing new may go to an endpoint this long after news that it drains or is gone.
    pub drain_grace: Duration,
    /// A destination back from an outage has this share of its capacity at least,
    pub slow_start_min_share: f64,
    /// and all of it after this time.
    pub slow_start_duration: Duration,
    /// A cold destination falls over when sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// for this long.
    pub overload_duration: Duration,
    /// How long a key rests after an attempt that may still be running.
    pub order_pause: Duration,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub zone: usize,
    pub kind: usize,
    pub state: EndpointState,
    pub weight: f64,
    /// Discovery lists it: it is sent to only while the list may be acted on.
    pub requires_lease: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen, perhaps with a time to wait; it never ran.
    Full {
        wait: Option<Duration>,
    },
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be had; it never ran.
    ConnectFailed,
    /// The endpoint said that it holds no more connections; it is up, and it never ran.
    Crowded,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it never ran, but counts as an attempt.
    Moot,
}

/// What an endpoint tells of its limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub remaining_share: f64,
    /// The limit in calls a second; 0 where there is none.
    pub limit: f64,
}

/// A message handed to the courier.
#[derive(Clone, Debug)]
pub struct Accepted {
    pub message: MessageId,
    pub class: usize,
    pub tenant: usize,
    pub destination: DestinationId,
    pub key: Option<String>,
    /// How long it may still be delivered.
    pub time_left: Duration,
    /// A guess of the work it makes, if there is one.
    pub estimated_work: Option<Duration>,
    /// What it went through before this courier restarted; nothing for a new one.
    pub history: Past,
}

/// What is on record of a message that was taken before the courier restarted.
#[derive(Clone, Debug, Default)]
pub struct Past {
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
}

/// An attempt that may have run: where it went, and how long ago.
#[derive(Clone, Copy, Debug)]
pub struct Ran {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub ago: Duration,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub elapsed: Duration,
    /// The message has its final answer.
    pub is_final: bool,
    pub report: Option<LimitReport>,
}

/// News for the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changed entries, or with `complete` the complete list.
    EndpointList { complete: bool, entries: Vec<EndpointEntry> },
    /// A request for the list failed, or the subscription broke.
    EndpointListFailed,
    /// The list was current at this moment: discovery has written since, or could not have told of a change.
    MembershipCurrent { as_of: Time },
    /// Discovery may tell of changes that do not reach this courier: the list may be acted on until then without a
    /// new word.
    MembershipLimited { until: Time },
    /// A message was taken and is owed one final answer.
    Accepted(Accepted),
    /// A streamed answer has begun.
    ResponseStarted { message: MessageId },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// Nobody wants the message any more.
    Withdrawn { message: MessageId },
    /// A wake-up asked for with [`Action::SetTimer`].
    TimerFired { token: u64 },
    /// A probe ended.
    ProbeEnded { endpoint: EndpointId, outcome: Outcome, elapsed: Duration, report: Option<LimitReport> },
    /// A note from another courier.
    NoteReceived { from: u64, note: Vec<u8> },
}

/// What the module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        message: MessageId,
        endpoint: EndpointId,
        timeout: Duration,
    },
    /// End the message undelivered; trying again is harmless.
    /// `wait` advises the client how long to stay away.
    Refuse {
        message: MessageId,
        wait: Option<Duration>,
    },
    /// End the message; whether it took effect is not known.
    Fail {
        message: MessageId,
    },
    Probe {
        endpoint: EndpointId,
    },
    Cancel {
        message: MessageId,
        attempt: u32,
    },
    /// Ask for list changes from now on, or no longer.
    Subscribe {
        active: bool,
    },
    /// Ask for the whole list once.
    FetchEndpointList,
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        endpoint: EndpointId,
    },
    /// An endpoint that is long gone is known no more: nothing refers to it.
    ForgetEndpoint {
        endpoint: EndpointId,
    },
    /// A note of 256 bytes at most to one courier, or to all.
    SendNote {
        to: Option<u64>,
        note: Vec<u8>,
    },
    SetTimer {
        token: u64,
        after: Duration,
    },
    /// A line for the operators' log.
    Log {
        text: String,
    },
}
