//! The connections to endpoints that stand idle between two exchanges, and the sockets and the memory for new ones.

use crate::memory_budget::MemoryBudget;
use crate::outbound::break_rate::BreakRates;
use crate::outbound::connection_status::{CloseReason, ConnectionStatus};
use crate::outbound::http_connection::{HttpConnection, HttpResponse};
use crate::outbound::response_identity::{Expectation, ResponseHistories};
use stairshed_decide::interface::EndpointId;
use stairshed_memory::{Charge, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};

/// Memory of a connection with the call on it: hyper's buffers, the driver, the task.
const CONNECTION_BYTES: u64 = 28_000;
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the endpoints' limit for which a connection may stand idle here.
const KEEP_SHARE: f64 = 0.75;
/// Largest rate of breaks, beyond that on new connections, at which a kept one is used: for a message that may be sent
/// again, and for one that may not, since what breaks is lost then.
const MAX_BREAK_RATE: f64 = 0.1;
const MAX_BREAK_RATE_ONCE: f64 = 0.03;

/// Exchanges that one connection carries: it remembers each answer.
const MAX_EXCHANGES: usize = 256;

struct Idle {
    link: HttpConnection,
    since: Instant,
    /// Whether the next answer on it will differ is not known of this endpoint.
    presumed: bool,
}

/// Kept connections are held by endpoint, not by address: a new endpoint at the address of one that is gone must not
/// inherit connections to that one.
pub struct ConnectionPool {
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
    sockets: Arc<Semaphore>,
    idle: RefCell<HashMap<EndpointId, Vec<Idle>>>,
    break_rates: RefCell<BreakRates>,
    histories: RefCell<ResponseHistories>,
    status: Rc<ConnectionStatus>,
    room: MemoryBudget,
}

/// A connection for one exchange.
pub struct PooledConnection {
    pub link: HttpConnection,
    /// How long it stood idle; None for a new one.
    pub idle: Option<Duration>,
}

impl ConnectionPool {
    /// A pool that closes what has stood idle for too long, as long as anybody holds it. `keepalive` is when endpoints
    /// close an idle connection.
    pub fn start(
        connect_timeout: Duration,
        keepalive: Duration,
        sockets: usize,
        room: MemoryBudget,
    ) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(keepalive.mul_f64(KEEP_SHARE)),
            sockets: Arc::new(Semaphore::new(sockets)),
            idle: RefCell::default(),
            break_rates: RefCell::default(),
            histories: RefCell::default(),
            status: Rc::default(),
            room,
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

    /// How long connections are kept.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout.get()
    }

    /// Other times from now on; how long connections are kept.
    pub fn set_timeouts(&self, connect_timeout: Duration, keepalive: Duration) -> Duration {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(keepalive.mul_f64(KEEP_SHARE));
        self.idle_timeout.get()
    }

    /// Its counters.
    pub fn status(&self) -> Rc<ConnectionStatus> {
        self.status.clone()
    }

    /// Connections to an endpoint that stand idle.
    #[cfg(test)]
    pub fn idle_count(&self, endpoint: EndpointId) -> usize {
        self.idle.borrow().get(&endpoint).map_or(0, Vec::len)
    }

    /// Closes what can be used no more.
    fn sweep(&self) {
        self.idle.borrow_mut().retain(|endpoint, idle| {
            idle.retain_mut(|connection| self.is_usable(*endpoint, connection));
            !idle.is_empty()
        });
    }

    /// Whether a kept connection can carry another exchange; if not, the reason is counted.
    fn is_usable(&self, endpoint: EndpointId, connection: &mut Idle) -> bool {
        let age = connection.since.elapsed();
        let usable = connection.link.check().and_then(|()| match age < self.idle_timeout.get() {
            true => Ok(()),
            false => Err(CloseReason::IdleLimit),
        });
        usable.inspect_err(|reason| self.note_close(endpoint, &connection.link, age, *reason)).is_ok()
    }

    /// Counts a connection that is closed `idle` after its last answer.
    fn note_close(&self, endpoint: EndpointId, link: &HttpConnection, idle: Duration, reason: CloseReason) {
        match reason {
            CloseReason::UnsolicitedBytes => self.status.unsolicited(endpoint, link.number(), idle),
            reason => self.status.closed(reason, 1),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint);
        self.status.closed(CloseReason::EndpointLeft, closed.map_or(0, |idle| idle.len()));
    }

    /// Closes every second idle connection, the older ones of each endpoint: memory is tight.
    pub fn close_half_of_idle(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            let closed = idle.drain(..idle.len().div_ceil(2)).count();
            self.status.closed(CloseReason::Pressure, closed);
            !idle.is_empty()
        });
    }

    /// Closes the connection that has been idle for longest. False if there is none.
    fn close_oldest(&self) -> bool {
        let mut all = self.idle.borrow_mut();
        let oldest = all.iter().filter_map(|(endpoint, idle)| Some((idle.first()?.since, *endpoint))).min();
        let Some((_, endpoint)) = oldest else { return false };
        let Some(idle) = all.get_mut(&endpoint) else { return false };
        idle.remove(0);
        if idle.is_empty() {
            all.remove(&endpoint);
        }
        self.status.closed(CloseReason::Pressure, 1);
        true
    }

    /// A kept connection and how long it stood idle. `once`: what it is for must not be sent again if it may have run.
    fn take(&self, endpoint: EndpointId, once: bool) -> Option<(HttpConnection, Duration)> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&endpoint)?;
        while let Some(mut connection) = idle.pop() {
            // A request on a connection that the peer has closed, or is about to, would end as a reset and count as one
            // that may have run.
            if !self.is_usable(endpoint, &mut connection) {
                continue;
            }
            // An answer like the one before would leave it open whether the message has run.
            // Closed, not left: the endpoint may hold no other beside it.
            if once && connection.presumed {
                self.status.closed(CloseReason::AnswersAlike, 1);
                continue;
            }
            // A request on a connection that has stood for as long as those that broke of late would end as a reset, too.
            let age = connection.since.elapsed();
            let excess = self.break_rates.borrow().excess(age);
            if excess <= if once { MAX_BREAK_RATE_ONCE } else { MAX_BREAK_RATE } {
                return Some((connection.link, age));
            }
            if excess <= MAX_BREAK_RATE {
                idle.push(connection);
                return None;
            }
            self.status.closed(CloseReason::BreakRisk, 1);
        }
        None
    }

    /// Memory for one more connection. Kept ones give way to it; a call on behalf of an accepted message is made all the
    /// same where none can, since what is accepted is not failed for memory. Calls are few: slots bound them.
    fn reserve_memory(&self) -> Charge {
        let ledger = &self.room.ledger;
        while ledger.room(Purpose::Endpoints) < CONNECTION_BYTES && self.close_oldest() {}
        ledger.force(Purpose::Endpoints, CONNECTION_BYTES)
    }

    /// Room for one more socket; an idle connection elsewhere gives way to it.
    pub async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_oldest();
        timeout(self.connect_timeout.get(), self.sockets.clone().acquire_owned()).await.ok()?.ok()
    }

    /// A connection for one exchange: a kept one, or a new one within the connect time. `once`: what it is for must not
    /// be sent again if it may have run.
    pub async fn acquire(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        once: bool,
    ) -> Option<PooledConnection> {
        if let Some((link, idle)) = self.take(endpoint, once) {
            self.status.reused();
            return Some(PooledConnection { link, idle: Some(idle) });
        }
        let permit = self.permit().await?;
        let memory = self.reserve_memory();
        let link = HttpConnection::connect(address, self.connect_timeout.get(), Some((permit, memory)))
            .await
            .ok()?;
        self.status.opened();
        Some(PooledConnection { link, idle: None })
    }

    /// Notes how the exchange on a connection went that had stood idle for so long.
    pub fn note_exchange(&self, idle: Option<Duration>, broke: bool) {
        self.break_rates.borrow_mut().note(idle, broke);
    }

    /// Counts a connection whose exchange did not end with an answer, or had no time left; dropping it closes it.
    pub fn discard(&self) -> CloseReason {
        self.status.closed(CloseReason::AttemptFailed, 1);
        CloseReason::AttemptFailed
    }

    /// Takes a connection back whose exchange has ended with this answer; why it is closed, if it cannot carry another.
    pub fn release(
        &self,
        endpoint: EndpointId,
        link: HttpConnection,
        answer: &HttpResponse,
    ) -> Result<(), CloseReason> {
        let presumed = self
            .expect_other_answer(endpoint, &link, answer)
            .inspect_err(|reason| self.note_close(endpoint, &link, Duration::ZERO, *reason))?;
        let connection = Idle { link, since: Instant::now(), presumed };
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
        Ok(())
    }

    /// Whether a connection can carry another exchange after this answer, and if that is only presumed.
    fn expect_other_answer(
        &self,
        endpoint: EndpointId,
        link: &HttpConnection,
        answer: &HttpResponse,
    ) -> Result<bool, CloseReason> {
        let expectation = match answer.identity {
            Some(identity) => self.histories.borrow_mut().add(endpoint, identity),
            None => Expectation::Alike,
        };
        answer.reusable?;
        if link.answered() >= MAX_EXCHANGES {
            return Err(CloseReason::ExchangeLimit);
        }
        match expectation {
            Expectation::Differs => Ok(false),
            Expectation::Presumed => Ok(true),
            Expectation::Alike => Err(CloseReason::AnswersAlike),
        }
    }

    /// Nothing goes to this endpoint any more.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.close_idle(endpoint);
        self.histories.borrow_mut().forget(endpoint);
    }
}
