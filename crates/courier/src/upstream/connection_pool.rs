//! Pool of idle connections to endpoints, with the socket and memory limits for new ones.

use crate::memory_budget::MemoryBudget;
use crate::system_errors::{Backoff, Operation, Policy};
use crate::upstream::connection_status::{CloseReason, ConnectionStatus};
use crate::upstream::failure_rate::FailureRates;
use crate::upstream::http_connection::{HttpConnection, HttpResponse, connect_stream};
use crate::upstream::response_identity::{Expectation, ResponseHistories};
use stairshed_decide::interface::EndpointId;
use stairshed_memory::{Charge, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};

/// Memory accounted for a connection and the call on it: hyper's buffers, the driver, the task.
const CONNECTION_BYTES: u64 = 28_000;
/// Interval between checks of the idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long a connection may be idle here, as a share of the endpoints' keep-alive time-out.
const MAX_IDLE_SHARE: f64 = 0.75;
/// Maximum excess failure rate over new connections at which an idle connection is reused.
const MAX_FAILURE_RATE: f64 = 0.1;
/// The same for a message that must not be sent again if it may have run: a failure loses it.
const MAX_FAILURE_RATE_ONCE: f64 = 0.03;

/// Maximum number of exchanges on a connection, which bounds the responses that it remembers.
const MAX_EXCHANGES: usize = 256;

/// A connection that waits for its next exchange.
struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
    /// That the next response will differ is only presumed, from the responses of other endpoints.
    presumed_distinct: bool,
}

/// Connection pool. Idle connections are keyed by endpoint, not by address: a new endpoint at the address of
/// a removed one must not inherit its connections.
pub struct ConnectionPool {
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
    sockets: Arc<Semaphore>,
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    failure_rates: RefCell<FailureRates>,
    histories: RefCell<ResponseHistories>,
    status: Rc<ConnectionStatus>,
    memory_budget: MemoryBudget,
}

/// A connection for one exchange.
pub struct PooledConnection {
    pub connection: HttpConnection,
    /// How long it was idle; None for a new connection.
    pub idle: Option<Duration>,
}

impl ConnectionPool {
    /// Creates a pool and a task that closes expired connections for as long as the pool exists. `keepalive`
    /// is the time after which endpoints close an idle connection.
    pub fn start(
        connect_timeout: Duration,
        keepalive: Duration,
        sockets: usize,
        memory_budget: MemoryBudget,
    ) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(keepalive.mul_f64(MAX_IDLE_SHARE)),
            sockets: Arc::new(Semaphore::new(sockets)),
            idle: RefCell::default(),
            failure_rates: RefCell::default(),
            histories: RefCell::default(),
            status: Rc::default(),
            memory_budget,
        });
        let swept = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            while let Some(pool) = swept.upgrade() {
                pool.sweep();
                drop(pool);
                sleep(SWEEP_INTERVAL).await;
            }
        });
        pool
    }

    /// How long idle connections are kept.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout.get()
    }

    /// Changes the time-outs. Returns how long idle connections are kept now.
    pub fn set_timeouts(&self, connect_timeout: Duration, keepalive: Duration) -> Duration {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(keepalive.mul_f64(MAX_IDLE_SHARE));
        self.idle_timeout.get()
    }

    /// Counters of the pool.
    pub fn status(&self) -> Rc<ConnectionStatus> {
        self.status.clone()
    }

    /// Number of idle connections to an endpoint.
    #[cfg(test)]
    pub fn idle_count(&self, endpoint: EndpointId) -> usize {
        self.idle.borrow().get(&endpoint).map_or(0, Vec::len)
    }

    /// Closes idle connections that can no longer be used.
    fn sweep(&self) {
        self.idle.borrow_mut().retain(|endpoint, idle| {
            idle.retain_mut(|entry| self.is_usable(*endpoint, entry));
            !idle.is_empty()
        });
    }

    /// Whether an idle connection can carry another exchange. If not, the reason is counted.
    fn is_usable(&self, endpoint: EndpointId, entry: &mut IdleConnection) -> bool {
        let age = entry.since.elapsed();
        let usable = entry.connection.check().and_then(|()| match age < self.idle_timeout.get() {
            true => Ok(()),
            false => Err(CloseReason::IdleLimit),
        });
        usable.inspect_err(|reason| self.record_close(endpoint, &entry.connection, age, *reason)).is_ok()
    }

    /// Counts a connection that is closed after it was idle for `idle`.
    fn record_close(
        &self,
        endpoint: EndpointId,
        connection: &HttpConnection,
        idle: Duration,
        reason: CloseReason,
    ) {
        match reason {
            CloseReason::UnsolicitedBytes => self.status.unsolicited(endpoint, connection.number(), idle),
            reason => self.status.closed(reason, 1),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint);
        self.status.closed(CloseReason::EndpointRemoved, closed.map_or(0, |idle| idle.len()));
    }

    /// Closes the older half of each endpoint's idle connections, to free memory.
    pub fn close_half_of_idle(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            let closed = idle.drain(..idle.len().div_ceil(2)).count();
            self.status.closed(CloseReason::ResourcePressure, closed);
            !idle.is_empty()
        });
    }

    /// Closes the connection that has been idle longest. Returns false if there is none.
    fn close_oldest(&self) -> bool {
        let mut all = self.idle.borrow_mut();
        let oldest = all.iter().filter_map(|(endpoint, idle)| Some((idle.first()?.since, *endpoint))).min();
        let Some((_, endpoint)) = oldest else { return false };
        let Some(idle) = all.get_mut(&endpoint) else { return false };
        idle.remove(0);
        if idle.is_empty() {
            all.remove(&endpoint);
        }
        self.status.closed(CloseReason::ResourcePressure, 1);
        true
    }

    /// Takes an idle connection and returns it with its idle time. `once`: the message must not be sent again
    /// if it may have run.
    fn take_idle(&self, endpoint: EndpointId, once: bool) -> Option<(HttpConnection, Duration)> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&endpoint)?;
        while let Some(mut entry) = idle.pop() {
            // A request on a connection that the peer has closed, or is about to close, would end as a reset
            // and count as one that may have run.
            if !self.is_usable(endpoint, &mut entry) {
                continue;
            }
            // If the response equalled an earlier one, it would be unknown whether the message has run. The
            // connection is closed rather than left idle, since the endpoint may accept no other connection
            // beside it.
            if once && entry.presumed_distinct {
                self.status.closed(CloseReason::IdenticalResponses, 1);
                continue;
            }
            // Connections that were idle for as long have failed recently; a request on this one may end as a
            // reset, too.
            let age = entry.since.elapsed();
            let excess = self.failure_rates.borrow().excess(age);
            if excess <= if once { MAX_FAILURE_RATE_ONCE } else { MAX_FAILURE_RATE } {
                return Some((entry.connection, age));
            }
            if excess <= MAX_FAILURE_RATE {
                idle.push(entry);
                return None;
            }
            self.status.closed(CloseReason::FailureRisk, 1);
        }
        None
    }

    /// Reserves memory for a new connection, closing idle ones if needed. If that does not free enough, the
    /// reservation exceeds the cap: an accepted message must not fail for lack of memory, and endpoint slots
    /// bound the number of calls.
    fn reserve_memory(&self) -> Charge {
        let ledger = &self.memory_budget.ledger;
        while ledger.room(Purpose::Endpoints) < CONNECTION_BYTES && self.close_oldest() {}
        ledger.force_charge(Purpose::Endpoints, CONNECTION_BYTES)
    }

    /// Acquires a permit for one more socket. If none is left, closes the oldest idle connection and waits
    /// for at most the connect time-out.
    pub async fn acquire_socket(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_oldest();
        timeout(self.connect_timeout.get(), self.sockets.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Returns an idle connection, or a new one within the connect time-out. `once`: the message must not be
    /// sent again if it may have run.
    pub async fn acquire(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        once: bool,
    ) -> Option<PooledConnection> {
        if let Some((connection, idle)) = self.take_idle(endpoint, once) {
            self.status.reused();
            return Some(PooledConnection { connection, idle: Some(idle) });
        }
        let permit = self.acquire_socket().await?;
        let memory = self.reserve_memory();
        let stream = self.connect(address).await?;
        let connection = HttpConnection::on_stream(stream, Some((permit, memory))).await.ok()?;
        self.status.opened();
        Some(PooledConnection { connection, idle: None })
    }

    /// Connects within the connect time-out. Failures of this machine are passed over while there is time
    /// left; they do not count against the endpoint.
    async fn connect(&self, address: SocketAddr) -> Option<TcpStream> {
        let (until, mut backoff) = (Instant::now() + self.connect_timeout.get(), Backoff::default());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let policy = match connect_stream(address, left).await {
                Ok(stream) => return Some(stream),
                Err(error) => error.report(Operation::ConnectEndpoint),
            };
            if matches!(policy, Policy::Shed(_)) {
                self.close_oldest();
            }
            let pause = backoff.next_pause(policy.pauses()?);
            if Instant::now() + pause >= until {
                return None;
            }
            sleep(pause).await;
        }
    }

    /// Records whether an exchange failed on a connection that was idle for `idle` before; None for a new
    /// connection.
    pub fn record_exchange(&self, idle: Option<Duration>, failed: bool) {
        self.failure_rates.borrow_mut().record(idle, failed);
    }

    /// Counts a connection to the earlier address of an endpoint. The caller drops the connection, which closes it.
    pub fn discard_to_removed(&self) -> CloseReason {
        self.status.closed(CloseReason::EndpointRemoved, 1);
        CloseReason::EndpointRemoved
    }

    /// Counts a connection whose exchange ended without a response or had no time left. The caller drops the
    /// connection, which closes it.
    pub fn discard(&self) -> CloseReason {
        self.status.closed(CloseReason::AttemptFailed, 1);
        CloseReason::AttemptFailed
    }

    /// Returns a connection to the pool after an exchange with this response.
    ///
    /// # Errors
    /// Why the connection is closed instead.
    pub fn release(
        &self,
        endpoint: EndpointId,
        connection: HttpConnection,
        response: &HttpResponse,
    ) -> Result<(), CloseReason> {
        let presumed_distinct = self
            .expect_distinct_response(endpoint, &connection, response)
            .inspect_err(|reason| self.record_close(endpoint, &connection, Duration::ZERO, *reason))?;
        let entry = IdleConnection { connection, since: Instant::now(), presumed_distinct };
        self.idle.borrow_mut().entry(endpoint).or_default().push(entry);
        Ok(())
    }

    /// Whether the next response on a connection can be expected to differ from this one; true if that is
    /// only presumed.
    ///
    /// # Errors
    /// Why the connection cannot carry another exchange.
    fn expect_distinct_response(
        &self,
        endpoint: EndpointId,
        connection: &HttpConnection,
        response: &HttpResponse,
    ) -> Result<bool, CloseReason> {
        let expectation = match response.identity {
            Some(identity) => self.histories.borrow_mut().add(endpoint, identity),
            None => Expectation::Identical,
        };
        response.reusable?;
        if connection.response_count() >= MAX_EXCHANGES {
            return Err(CloseReason::ExchangeLimit);
        }
        match expectation {
            Expectation::Distinct => Ok(false),
            Expectation::PresumedDistinct => Ok(true),
            Expectation::Identical => Err(CloseReason::IdenticalResponses),
        }
    }

    /// Closes the idle connections to an endpoint and drops its response history.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.close_idle(endpoint);
        self.histories.borrow_mut().forget(endpoint);
    }
}
