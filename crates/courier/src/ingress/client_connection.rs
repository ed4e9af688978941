//! The state of one client's HTTP connection, and what follows from it: when its read times out, and whether it
//! may be closed for another one.

use crate::ingress::connection_counters::CloseCause;
use crate::ingress::request_framing::RequestFraming;
use crate::socket::PeerWatch;
use stairshed_memory::Charge;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest time from the connection's start to its first byte. Common clients open connections ahead of use
/// and send a second or two later; closing earlier would fail their request. A client must get an answer or a
/// close within 3 s of connecting.
pub const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time after which a connection may be closed to free its descriptor. A request that its client sent
/// right after connecting or after an answer has arrived by then.
const MIN_SHED_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time in which input that has arrived is read: a few turns of the runtime.
const READ_TIME: Duration = Duration::from_millis(10);
/// Longest time from the first byte of a head to its end.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a client that does not take its answer may lose its connection to another one.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection between requests is preferred for closing when connections or memory
/// run out.
const MIN_EVICTION_IDLE_TIME: Duration = Duration::from_secs(2);
/// A connection is not evicted for lack of a request before this age: the request has usually arrived and
/// been read by then.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(10);

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No byte has arrived yet.
    AwaitingFirstByte,
    /// Part of a request head has arrived.
    ReadingHead,
    /// A request's body is being read or its answer is pending.
    Processing,
    /// The answer is decided, and not written whole yet. `next_has_begun` if part of another request has arrived.
    WritingAnswer { last_request_ok: bool, next_has_begun: bool },
    /// Between requests. `last_request_ok` is false if the last answer was a client error.
    Idle { last_request_ok: bool },
}

/// Shared state of one client's connection.
pub struct ClientConnection {
    /// Its number in this process.
    pub id: u64,
    pub state: Cell<ConnectionState>,
    /// Tells whether the client has closed the connection.
    pub client: PeerWatch,
    /// Time of the last change of state.
    pub since: Cell<Instant>,
    pub framing: RefCell<RequestFraming>,
    /// Requests a graceful close, after the answer in progress.
    pub graceful_close: Notify,
    /// Ends the connection because the process ends: a request that was not read whole is answered now.
    pub end: Notify,
    /// Ends the reading of a body, for the same reason.
    pub end_of_body: Notify,
    /// Closes the connection at once, even within a request.
    pub abort: Notify,
    /// Why it is closed through `abort`. A client whose connection is evicted is told so.
    pub abort_cause: Cell<CloseCause>,
    /// The connection's memory; released as soon as it is evicted, so that the next one can have it.
    pub memory: RefCell<Option<Charge>>,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(id: u64, client: PeerWatch, memory: Charge) -> Self {
        ClientConnection {
            id,
            client,
            state: Cell::new(ConnectionState::AwaitingFirstByte),
            since: Cell::new(Instant::now()),
            framing: RefCell::default(),
            graceful_close: Notify::new(),
            end: Notify::new(),
            end_of_body: Notify::new(),
            abort: Notify::new(),
            abort_cause: Cell::new(CloseCause::Evicted),
            memory: RefCell::new(Some(memory)),
        }
    }

    /// Notes a change of state, and its time.
    pub fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    /// Notes bytes that were read. The rest of a body whose request is answered changes nothing.
    pub fn bytes_received(&self, bytes: &[u8]) {
        if !self.framing.borrow_mut().feed(bytes) {
            return;
        }
        match self.state.get() {
            ConnectionState::AwaitingFirstByte | ConnectionState::Idle { .. } => {
                self.set_state(ConnectionState::ReadingHead);
            }
            ConnectionState::WritingAnswer { last_request_ok, .. } => {
                self.state.set(ConnectionState::WritingAnswer { last_request_ok, next_has_begun: true });
            }
            ConnectionState::ReadingHead | ConnectionState::Processing => {}
        }
    }

    /// Notes that the answer to a request with a body of this length is decided.
    pub fn answer_decided(&self, body_length: u64, request_ok: bool) {
        let mut framing = self.framing.borrow_mut();
        let next_has_begun = framing.bytes_after_head as u64 > body_length;
        *framing = framing.next(body_length);
        self.set_state(ConnectionState::WritingAnswer { last_request_ok: request_ok, next_has_begun });
    }

    /// Notes that all that was to be written is written.
    pub fn all_written(&self) {
        if let ConnectionState::WritingAnswer { last_request_ok, next_has_begun } = self.state.get() {
            self.set_state(match next_has_begun {
                true => ConnectionState::ReadingHead,
                false => ConnectionState::Idle { last_request_ok },
            });
        }
    }

    /// Whether no request is on the connection, neither one that was read nor one that has arrived. What has arrived is
    /// asked of the socket: a process that was held up has not read it.
    pub fn is_at_rest(&self) -> bool {
        self.is_idle() && !self.client.has_unread_input()
    }

    /// Whether nothing was read of a request that is not answered.
    fn is_idle(&self) -> bool {
        matches!(self.state.get(), ConnectionState::AwaitingFirstByte | ConnectionState::Idle { .. })
    }

    /// When the connection is closed unless more of a request arrives; `None` while no head is awaited. A first byte
    /// that has arrived by then is read first.
    pub fn read_deadline(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::AwaitingFirstByte
                if self.since.get().elapsed() >= FIRST_BYTE_TIMEOUT && self.client.has_unread_input() =>
            {
                Some(Instant::now() + READ_TIME)
            }
            ConnectionState::AwaitingFirstByte => Some(self.since.get() + FIRST_BYTE_TIMEOUT),
            ConnectionState::ReadingHead => Some(self.since.get() + HEAD_TIMEOUT),
            ConnectionState::Processing
            | ConnectionState::WritingAnswer { .. }
            | ConnectionState::Idle { .. } => None,
        }
    }

    /// Why it is closed when its read deadline has passed.
    pub fn timeout_cause(&self) -> CloseCause {
        match self.state.get() {
            ConnectionState::AwaitingFirstByte => CloseCause::FirstByteTimeout,
            _ => CloseCause::HeadTimeout,
        }
    }

    /// Whether it has been idle for long enough to be closed for its descriptor.
    pub fn can_be_shed(&self) -> bool {
        self.since.get().elapsed() > MIN_SHED_IDLE_TIME && self.is_at_rest()
    }

    /// Whether it may be evicted by its rank: not between requests while one has arrived that will be read at once.
    pub fn can_be_evicted(&self) -> bool {
        !self.is_idle() || self.is_at_rest()
    }

    /// Order of eviction when connections or memory run out: lowest first, `None` never. A connection that
    /// has sent nothing goes before one that has served a valid request.
    pub fn eviction_rank(&self) -> Option<u8> {
        let age = self.since.get().elapsed();
        match self.state.get() {
            ConnectionState::AwaitingFirstByte if age > MIN_EVICTION_AGE => Some(0),
            ConnectionState::Idle { last_request_ok: false } => Some(1),
            ConnectionState::Idle { .. } if age > MIN_EVICTION_IDLE_TIME => Some(2),
            ConnectionState::ReadingHead if age > MIN_EVICTION_AGE => Some(3),
            ConnectionState::WritingAnswer { .. } if age > WRITE_TIMEOUT => Some(3),
            // Without this, clients that send one request and keep the connection would lock out all
            // newcomers until `MIN_EVICTION_IDLE_TIME` has passed.
            ConnectionState::Idle { .. } => Some(4),
            _ => None,
        }
    }
}
