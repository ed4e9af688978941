//! Calls to endpoints and probes, and the connections kept for them. One call a connection at a time; what
//! may have run is told apart from what never did.

use crate::events::{CallResult, CourierEvent};
use crate::memory_budget::MemoryBudget;
use crate::outbound::attempt_outcome::{ended, restrained, unanswered};
use crate::outbound::connection_pool::{ConnectionPool, PooledConnection};
use crate::outbound::connection_status::ConnectionStatus;
use crate::outbound::exchange::Exchange;
use crate::outbound::exchange_monitor::{ExchangeMonitor, watched};
use crate::outbound::http_connection::{HttpResponse, RequestError, ResponseProgress};
use crate::outbound::response_identity::ResponseIdentity;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use stairshed_decide::interface::{EndpointId, LimitGroupId, Outcome};
use stairshed_journal::Letter;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Share of a call's time that must be left for its answer when it is written.
const ANSWER_SHARE: f64 = 0.25;
/// Nothing new goes to an endpoint this long after news that it drains or is gone; a rule says 1 s. The news may be read,
/// and the request written, up to 0.15 s late each.
pub const MAX_WRITE_AFTER_DRAIN: Duration = Duration::from_millis(700);

/// An attempt that was decided on a valid list may be written so much later; with the list's term it stays within the
/// grace that the rule on drains gives.
const LATE_WRITE: Duration = Duration::from_millis(400);

/// What an attempt needs to know.
pub struct Call {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    /// Who shares its limit: a wait that is told holds for all of it.
    pub pool: LimitGroupId,
    pub target: CallTarget,
    pub letter: Rc<Letter>,
    /// Nothing of it is written from then on: reckoned from when it was decided, so that neither a slow disk nor a
    /// wait for a connection adds to what the module allowed.
    pub deadline: Instant,
    /// It must not be sent again if it may have run.
    pub once: bool,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub enum CallTarget {
    Http(SocketAddr),
    /// A broker, under this packet id.
    Broker(u16),
}

#[derive(Clone)]
pub struct EndpointClient {
    pool: Rc<ConnectionPool>,
    /// Endpoints to which nothing new goes, since when.
    parted: Rc<RefCell<HashMap<EndpointId, Instant>>>,
    /// Until when nothing may be written to a pool, as it has told.
    waits: Rc<RefCell<HashMap<LimitGroupId, Instant>>>,
    /// Until when the list of endpoints may be acted on; None for good. Endpoints that it does not bind.
    list_valid_until: Rc<Cell<Option<Instant>>>,
    unleased: Rc<RefCell<HashSet<EndpointId>>>,
}

impl EndpointClient {
    /// `keepalive` is when endpoints close an idle connection; none is kept for as long here.
    pub fn new(connect: Duration, keepalive: Duration, sockets: usize, room: MemoryBudget) -> Self {
        let pool = ConnectionPool::start(connect, keepalive, sockets, room);
        let (parted, waits) = (Rc::default(), Rc::default());
        let (list_valid_until, unleased) = (Rc::default(), Rc::default());
        EndpointClient { pool, parted, waits, list_valid_until, unleased }
    }

    /// How long connections are kept here: the module reckons with that.
    pub fn idle_timeout(&self) -> Duration {
        self.pool.idle_timeout()
    }

    /// Other times from now on; how long connections are kept.
    pub fn set_timeouts(&self, connect: Duration, keepalive: Duration) -> Duration {
        self.pool.set_timeouts(connect, keepalive)
    }

    /// Counters of the connections, for the operator's pages.
    pub fn connection_status(&self) -> Rc<ConnectionStatus> {
        self.pool.status()
    }

    /// Whether anything new may go to an endpoint.
    pub fn set_available(&self, endpoint: EndpointId, ready: bool) {
        let mut parted = self.parted.borrow_mut();
        match ready {
            true => drop(parted.remove(&endpoint)),
            false => drop(parted.entry(endpoint).or_insert_with(Instant::now)),
        }
    }

    /// Until when the list of endpoints may be acted on; None for good.
    pub fn set_list_valid_until(&self, until: Option<Instant>) {
        self.list_valid_until.set(until);
    }

    /// Whether an endpoint is written to only while the list may be acted on.
    pub fn set_leased(&self, endpoint: EndpointId, leased: bool) {
        let mut unleased = self.unleased.borrow_mut();
        match leased {
            true => unleased.remove(&endpoint),
            false => unleased.insert(endpoint),
        };
    }

    /// Whether the list that an endpoint is known by is out of date, later than a call may be written on it.
    fn is_out_of_date(&self, endpoint: EndpointId) -> bool {
        let expired = self.list_valid_until.get().is_some_and(|until| Instant::now() > until + LATE_WRITE);
        expired && !self.unleased.borrow().contains(&endpoint)
    }

    /// The endpoint is known no more.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.unleased.borrow_mut().remove(&endpoint);
        self.pool.remove_endpoint(endpoint);
        self.parted.borrow_mut().remove(&endpoint);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
    }

    /// Closes every second idle connection, the older ones of each endpoint: memory is tight.
    pub fn close_half_of_idle(&self) {
        self.pool.close_half_of_idle();
    }

    /// One exchange on a connection to an endpoint, and what the log says of it. `listening` tells of the answer before
    /// this ends.
    async fn ask(
        &self,
        (endpoint, pool): (EndpointId, Option<LimitGroupId>),
        (to, once): (SocketAddr, bool),
        request: Request<Full<Bytes>>,
        until: Instant,
        listening: &ExchangeMonitor,
    ) -> (Result<HttpResponse, RequestError>, Option<Exchange>) {
        let latest = until - until.saturating_duration_since(Instant::now()).mul_f64(ANSWER_SHARE);
        // A call whose time is up while it still has no connection was never sent.
        let acquired = tokio::time::timeout_at(until, self.pool.acquire(endpoint, to, once)).await;
        let Some(PooledConnection { mut link, idle }) = acquired.ok().flatten() else {
            return (Err(RequestError::NotSent), None);
        };
        if let Err(lost) = self.may_be_written(endpoint, pool, latest) {
            self.pool.discard();
            return (Err(lost), None);
        }
        let (connection, sequence, started) = (link.number(), link.answered() + 1, Instant::now());
        listening.to(link.listener());
        let answer = watched(link.send_request(request, until), || {
            let heard = listening.heard();
            self.note_wait(pool, heard);
            listening.try_tell_wait();
            // Put on record at once: the process may be killed while the rest comes.
            if heard.is_over() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        })
        .await
        .unwrap_or(Err(RequestError::ConnectionBroken));
        let (took, heard) = (started.elapsed(), listening.heard());
        self.note_wait(pool, heard);
        let digest = answer.as_ref().ok().and_then(|a| a.identity).map(ResponseIdentity::hash);
        let broke = answer
            .as_ref()
            .map_or_else(|lost| *lost == RequestError::ConnectionBroken, HttpResponse::repeats);
        self.pool.note_exchange(idle, broke);
        if broke || answer.as_ref().is_ok_and(|a| !a.whole) {
            self.pool.status().disbelieved(heard);
        }
        let kept = match &answer {
            Ok(answer) => self.pool.release(endpoint, link, answer),
            Err(_) => Err(self.pool.discard()),
        };
        let idle = idle.unwrap_or_default();
        let exchange = Exchange { connection, sequence, idle, took, heard, digest, closed: kept.err() };
        (answer, Some(exchange))
    }

    /// Whether a request may still be written, now that its connection is there.
    fn may_be_written(
        &self,
        endpoint: EndpointId,
        pool: Option<LimitGroupId>,
        latest: Instant,
    ) -> Result<(), RequestError> {
        // One that came only now leaves no time for an answer: written all the same, the call would have run, or
        // may have, for nothing. Unwritten it never ran.
        if Instant::now() >= latest {
            return Err(RequestError::NotSent);
        }
        // Whoever waited long for a connection must not come in after a drain's grace.
        if self.parted.borrow().get(&endpoint).is_some_and(|since| since.elapsed() > MAX_WRITE_AFTER_DRAIN) {
            return Err(RequestError::Withheld("the endpoint drains or is gone"));
        }
        // Nor on a list that ran out of date while it waited.
        if self.is_out_of_date(endpoint) {
            return Err(RequestError::Withheld("the list of endpoints may be out of date"));
        }
        // Nor may it break a wait that was told to another call meanwhile: the module knew of none when it let this
        // one go, and a connection may be a second in coming.
        if pool.is_some_and(|p| self.waits.borrow().get(&p).is_some_and(|until| Instant::now() < *until)) {
            return Err(RequestError::Withheld("another call was told to wait"));
        }
        Ok(())
    }

    /// Keeps the wait that an answer tells, for calls that still have no connection.
    fn note_wait(&self, pool: Option<LimitGroupId>, heard: ResponseProgress) {
        if let Some((pool, until)) = pool.zip(heard.blocked_until) {
            let mut waits = self.waits.borrow_mut();
            let now = Instant::now();
            waits.retain(|_, until| *until > now);
            let kept = waits.entry(pool).or_insert(until);
            *kept = (*kept).max(until);
        }
    }

    /// Makes one attempt and reports its end. The connection is closed before a time-out or a cancel is
    /// told: else the next call would find this one's slot still taken.
    pub async fn call(
        self,
        call: Call,
        address: SocketAddr,
        cancel: oneshot::Receiver<()>,
        news: Sender<CourierEvent>,
    ) {
        let Call { message, attempt, endpoint, pool, letter, deadline, once, .. } = call;
        let timeout = deadline.saturating_duration_since(Instant::now());
        let path = letter.routed.as_ref().map_or("/inbox", |r| &r.path);
        let mut request = Request::post(path)
            .header(HOST, address.to_string())
            .header("X-Request-ID", &letter.id)
            .header("X-Timeout", format!("{}m", timeout.as_millis().max(1)));
        if let Some(key) = &letter.key {
            request = request.header("Idempotency-Key", key);
        }
        if let Some(routed) = &letter.routed {
            request = request.method(routed.method.as_str());
            for (name, value) in &routed.headers {
                request = request.header(name, value);
            }
        }
        let listening = ExchangeMonitor::new(endpoint, news);
        let end = match request.body(Full::new(letter.body.clone())) {
            Ok(request) => tokio::select! {
                biased;
                (answer, exchange) =
                    self.ask((endpoint, Some(pool)), (address, once), request, deadline, &listening) =>
                {
                    CallResult { exchange, ..ended(answer, listening.heard()) }
                }
                _ = cancel => {
                    restrained(unanswered(Outcome::Cancelled, "called off"), listening.heard())
                }
            },
            Err(_) => unanswered(Outcome::Moot, "no request can be made of it"),
        };
        let outcome = end.outcome;
        listening.end(CourierEvent::CallEnded { message, attempt, endpoint, end }, outcome).await;
    }

    /// Sends a check and reports its end.
    pub async fn probe(
        self,
        endpoint: EndpointId,
        address: SocketAddr,
        timeout: Duration,
        news: Sender<CourierEvent>,
    ) {
        let sent = Instant::now();
        let request = Request::get("/-/load").header(HOST, address.to_string()).body(Full::default());
        let listening = ExchangeMonitor::new(endpoint, news);
        let (answer, exchange) = match request {
            Ok(request) => {
                self.ask((endpoint, None), (address, false), request, sent + timeout, &listening).await
            }
            Err(_) => (Err(RequestError::NotSent), None),
        };
        let end = CallResult { exchange, ..ended(answer, listening.heard()) };
        let outcome = end.outcome;
        listening.end(CourierEvent::ProbeEnded { endpoint, sent, end }, outcome).await;
    }
}

#[cfg(test)]
#[path = "endpoint_client_test.rs"]
mod tests;
