//! HTTP client for endpoints: calls and probes over pooled connections, one exchange per connection at a
//! time. It distinguishes a request that may have run from one that was never sent.

use crate::events::{CallResult, DispatcherEvent};
use crate::memory_budget::MemoryBudget;
use crate::upstream::answer_profiles::AnswerProfiles;
use crate::upstream::attempt_outcome::{apply_gone, classify, without_response};
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::connection_pool::{ConnectionPool, PooledConnection};
use crate::upstream::connection_status::ConnectionStatus;
use crate::upstream::exchange::Exchange;
use crate::upstream::exchange_monitor::{ExchangeMonitor, run_checked, run_monitored};
use crate::upstream::http_connection::{HttpResponse, RequestError, ResponseProgress};
use crate::upstream::response_identity::ResponseIdentity;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use stairshed_decide::interface::{EndpointId, LimitGroupId, Outcome};
use stairshed_health::answers::{AnswerProfile, WaitScope};
use stairshed_journal::AcceptedMessage;
use stairshed_mqtt::Qos;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Minimum share of a call's time that must remain for the response when the request is written.
const MIN_RESPONSE_TIME_SHARE: f64 = 0.25;
/// No request is written to an endpoint later than this after the report that it drains or is gone. The
/// rule for drains allows 1 s; reading the report and writing the request may each be up to 0.15 s late.
pub const MAX_WRITE_AFTER_DRAIN: Duration = Duration::from_millis(700);

/// An attempt that was decided on while the endpoint list was valid may be written this long after the list
/// has expired. Together with the validity period of the list this stays within the grace period of a drain.
const MAX_WRITE_AFTER_LIST_EXPIRY: Duration = Duration::from_millis(400);

/// One attempt to deliver a message.
pub struct Call {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    /// The endpoints that share a limit: a wait requested by one of them applies to the whole pool.
    pub pool: LimitGroupId,
    pub target: CallTarget,
    pub accepted: Rc<AcceptedMessage>,
    /// Nothing is written after this time. It counts from the decision to send, so neither a slow disk nor a
    /// wait for a connection extends the time that the scheduler allowed.
    pub deadline: Instant,
    /// The message must not be sent again if it may have run.
    pub once: bool,
}

/// Where a call is sent.
#[derive(Clone, Debug)]
pub enum CallTarget {
    Http(SocketAddr),
    Broker(BrokerTarget),
}

/// Where and how a message is published.
#[derive(Clone, Debug)]
pub struct BrokerTarget {
    pub session: Rc<BrokerSession>,
    /// Its packet id in this session.
    pub id: u16,
    pub topic: String,
    pub qos: Qos,
}

/// Sends calls and probes to endpoints. Clones share all state.
#[derive(Clone)]
pub struct EndpointClient {
    pool: Rc<ConnectionPool>,
    /// Endpoints that take no new requests, and since when.
    draining: Rc<RefCell<HashMap<EndpointId, Instant>>>,
    /// Where each endpoint is; None for one that is gone.
    addresses: Rc<RefCell<HashMap<EndpointId, Option<SocketAddr>>>>,
    /// Pools that requested a wait, and until when nothing may be written to them.
    blocked_pools: Rc<RefCell<HashMap<LimitGroupId, Instant>>>,
    /// Endpoints that requested a wait for themselves only, and until when nothing may be written to them.
    blocked_endpoints: Rc<RefCell<HashMap<EndpointId, Instant>>>,
    /// What responses mean, by destination.
    answer_profiles: Rc<AnswerProfiles>,
    /// Until when the endpoint list is valid; None if it does not expire.
    list_valid_until: Rc<Cell<Option<Instant>>>,
    /// Endpoints that may be used even when the list has expired.
    unleased: Rc<RefCell<HashSet<EndpointId>>>,
}

impl EndpointClient {
    /// `connect` is the connect time-out, `sockets` the maximum number of connections. `keepalive` is the
    /// time after which endpoints close an idle connection; connections are closed here before that.
    pub fn new(connect: Duration, keepalive: Duration, sockets: usize, memory_budget: MemoryBudget) -> Self {
        let pool = ConnectionPool::start(connect, keepalive, sockets, memory_budget);
        EndpointClient {
            pool,
            draining: Rc::default(),
            addresses: Rc::default(),
            blocked_pools: Rc::default(),
            blocked_endpoints: Rc::default(),
            answer_profiles: Rc::new(AnswerProfiles::platform()),
            list_valid_until: Rc::default(),
            unleased: Rc::default(),
        }
    }

    /// What responses mean, by destination.
    pub fn answer_profiles(&self) -> &AnswerProfiles {
        &self.answer_profiles
    }

    /// A monitor of an exchange with an endpoint of this limit group; None for a probe.
    fn monitor(
        &self,
        endpoint: EndpointId,
        pool: Option<LimitGroupId>,
        events: Sender<DispatcherEvent>,
    ) -> ExchangeMonitor {
        let destination = pool.map(|(destination, _)| destination);
        ExchangeMonitor::new(endpoint, destination, self.answer_profiles.clone(), events)
    }

    /// How long idle connections are kept; the scheduler takes this into account.
    pub fn idle_timeout(&self) -> Duration {
        self.pool.idle_timeout()
    }

    /// Changes the time-outs, see [`EndpointClient::new`]. Returns how long idle connections are kept now.
    pub fn set_timeouts(&self, connect: Duration, keepalive: Duration) -> Duration {
        self.pool.set_timeouts(connect, keepalive)
    }

    /// Connection counters for the admin pages.
    pub fn connection_status(&self) -> Rc<ConnectionStatus> {
        self.pool.status()
    }

    /// Sets whether new requests may be sent to an endpoint.
    pub fn set_available(&self, endpoint: EndpointId, ready: bool) {
        let mut draining = self.draining.borrow_mut();
        match ready {
            true => drop(draining.remove(&endpoint)),
            false => drop(draining.entry(endpoint).or_insert_with(Instant::now)),
        }
    }

    /// Sets where an endpoint is; None once it is gone. Nothing is written to its earlier address any more, where
    /// another endpoint may be by now, and no connection to that is kept.
    pub fn set_address(&self, endpoint: EndpointId, address: Option<SocketAddr>) {
        let before = self.addresses.borrow_mut().insert(endpoint, address);
        if before.is_some_and(|before| before != address) {
            self.close_idle(endpoint);
        }
    }

    /// Whether an endpoint is known to be elsewhere than at this address.
    fn has_left(&self, endpoint: EndpointId, address: SocketAddr) -> bool {
        self.addresses.borrow().get(&endpoint).is_some_and(|now| *now != Some(address))
    }

    /// Sets until when the endpoint list is valid; None if it does not expire.
    pub fn set_list_valid_until(&self, until: Option<Instant>) {
        self.list_valid_until.set(until);
    }

    /// Sets whether requests to an endpoint require a valid list.
    pub fn set_leased(&self, endpoint: EndpointId, leased: bool) {
        let mut unleased = self.unleased.borrow_mut();
        match leased {
            true => unleased.remove(&endpoint),
            false => unleased.insert(endpoint),
        };
    }

    /// Whether the endpoint requires a valid list and the list expired more than
    /// [`MAX_WRITE_AFTER_LIST_EXPIRY`] ago.
    fn is_out_of_date(&self, endpoint: EndpointId) -> bool {
        let expired = self
            .list_valid_until
            .get()
            .is_some_and(|until| Instant::now() > until + MAX_WRITE_AFTER_LIST_EXPIRY);
        expired && !self.unleased.borrow().contains(&endpoint)
    }

    /// Drops all state of an endpoint and closes its idle connections.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.unleased.borrow_mut().remove(&endpoint);
        self.pool.remove_endpoint(endpoint);
        self.draining.borrow_mut().remove(&endpoint);
        self.addresses.borrow_mut().remove(&endpoint);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
    }

    /// Closes the older half of each endpoint's idle connections, to free memory.
    pub fn close_half_of_idle(&self) {
        self.pool.close_half_of_idle();
    }

    /// Runs one exchange with an endpoint; returns the response and the record of the exchange for the log.
    /// `monitor` reports on the response while the exchange runs.
    async fn run_exchange(
        &self,
        (endpoint, pool): (EndpointId, Option<LimitGroupId>),
        (to, once): (SocketAddr, bool),
        request: Request<Full<Bytes>>,
        until: Instant,
        monitor: &ExchangeMonitor,
    ) -> (Result<HttpResponse, RequestError>, Option<Exchange>) {
        let write_deadline =
            until - until.saturating_duration_since(Instant::now()).mul_f64(MIN_RESPONSE_TIME_SHARE);
        // If the deadline passes before there is a connection, the request was never sent.
        let acquired = tokio::time::timeout_at(until, self.pool.acquire(endpoint, to, once)).await;
        let Some(PooledConnection { mut connection, idle }) = acquired.ok().flatten() else {
            return (Err(RequestError::NotSent), None);
        };
        if let Err(error) = self.check_writable((endpoint, to), pool, write_deadline) {
            self.pool.discard();
            return (Err(error), None);
        }
        let (connection_number, sequence, started) =
            (connection.number(), connection.response_count() + 1, Instant::now());
        monitor.attach(connection.progress_handle());
        let proves_delivery = |status| monitor.profile().is_delivered(status);
        let response = connection.send_request(request, until, proves_delivery);
        // A write for which the system has no memory is repeated later; until its first byte is written, it may
        // come to be forbidden.
        let sent = run_checked(response, || match monitor.is_request_started() {
            true => Ok(()),
            false => self.check_writable((endpoint, to), pool, write_deadline),
        });
        let response = run_monitored(sent, || {
            let (progress, profile) = (monitor.progress(), monitor.profile());
            self.record_wait(endpoint, pool, progress, &profile);
            monitor.try_report_wait();
            // A 410 ends the exchange at once, so that it is recorded before the process can be killed.
            if progress.is_gone(&profile) { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        })
        .await
        .unwrap_or(Err(RequestError::ConnectionBroken));
        let (duration, progress) = (started.elapsed(), monitor.progress());
        self.record_wait(endpoint, pool, progress, &monitor.profile());
        let digest = response.as_ref().ok().and_then(|r| r.identity).map(ResponseIdentity::hash);
        let failed = response
            .as_ref()
            .map_or_else(|error| *error == RequestError::ConnectionBroken, HttpResponse::is_repeat);
        self.pool.record_exchange(idle, failed);
        if failed || response.as_ref().is_ok_and(|r| !r.complete) {
            self.pool.status().rejected_response(progress);
        }
        let released = match &response {
            Ok(_) if self.has_left(endpoint, to) => Err(self.pool.discard_to_removed()),
            Ok(response) => self.pool.release(endpoint, connection, response),
            Err(_) => Err(self.pool.discard()),
        };
        let idle = idle.unwrap_or_default();
        let exchange = Exchange {
            connection_number,
            sequence,
            idle,
            duration,
            progress,
            digest,
            close_reason: released.err(),
        };
        (response, Some(exchange))
    }

    /// Whether a request may still be written, now that its connection is there.
    fn check_writable(
        &self,
        (endpoint, to): (EndpointId, SocketAddr),
        pool: Option<LimitGroupId>,
        write_deadline: Instant,
    ) -> Result<(), RequestError> {
        // The connection came too late to leave time for a response. Written now, the request may run with no
        // response read in time; not written, it never ran.
        if Instant::now() >= write_deadline {
            return Err(RequestError::NotSent);
        }
        // During the wait for a connection the endpoint may have moved, and another may be at its address.
        if self.has_left(endpoint, to) {
            return Err(RequestError::Withheld("the endpoint has another address or is gone"));
        }
        // After a long wait for a connection, the grace period of a drain may be over.
        if self.draining.borrow().get(&endpoint).is_some_and(|since| since.elapsed() > MAX_WRITE_AFTER_DRAIN)
        {
            return Err(RequestError::Withheld("the endpoint drains or is gone"));
        }
        // The endpoint list may have expired during the wait.
        if self.is_out_of_date(endpoint) {
            return Err(RequestError::Withheld("the list of endpoints may be out of date"));
        }
        // The pool may have asked another call to wait. The scheduler did not know that when it
        // released this call, and getting a connection may take a second.
        let now = Instant::now();
        let is_ahead = |until: &Instant| now < *until;
        let pool_blocked =
            pool.is_some_and(|pool| self.blocked_pools.borrow().get(&pool).is_some_and(is_ahead));
        if pool_blocked || self.blocked_endpoints.borrow().get(&endpoint).is_some_and(is_ahead) {
            return Err(RequestError::Withheld("another call was told to wait"));
        }
        Ok(())
    }

    /// Records the wait that a response requests, for calls that still wait for a connection.
    fn record_wait(
        &self,
        endpoint: EndpointId,
        pool: Option<LimitGroupId>,
        progress: ResponseProgress,
        profile: &AnswerProfile,
    ) {
        let Some((pool, until)) = pool.zip(progress.blocked_until(profile)) else { return };
        match profile.wait_scope() {
            WaitScope::Pool => block(&self.blocked_pools, pool, until),
            WaitScope::Endpoint => block(&self.blocked_endpoints, endpoint, until),
        }
    }

    /// Makes one attempt and reports how it ended. On a time-out or a cancellation the connection is closed
    /// before the report; otherwise the next call could find the slot of this one still occupied.
    pub async fn call(
        self,
        call: Call,
        address: SocketAddr,
        cancel: oneshot::Receiver<()>,
        events: Sender<DispatcherEvent>,
    ) {
        let Call { message, attempt, endpoint, pool, accepted, deadline, once, .. } = call;
        let timeout = deadline.saturating_duration_since(Instant::now());
        let path = accepted.routed.as_ref().map_or("/inbox", |r| &r.path);
        let mut request = Request::post(path)
            .header(HOST, address.to_string())
            .header("X-Request-ID", &accepted.id)
            .header("X-Timeout", format!("{}m", timeout.as_millis().max(1)));
        if let Some(key) = &accepted.key {
            request = request.header("Idempotency-Key", key);
        }
        if let Some(routed) = &accepted.routed {
            request = request.method(routed.method.as_str());
            for (name, value) in &routed.headers {
                request = request.header(name, value);
            }
        }
        let monitor = self.monitor(endpoint, Some(pool), events);
        let end = match request.body(Full::new(accepted.body.clone())) {
            Ok(request) => tokio::select! {
                biased;
                (response, exchange) =
                    self.run_exchange((endpoint, Some(pool)), (address, once), request, deadline, &monitor) =>
                {
                    CallResult { exchange, ..classify(response, monitor.progress(), &monitor.profile()) }
                }
                _ = cancel => {
                    let end = without_response(Outcome::Cancelled, "called off");
                    apply_gone(end, monitor.progress(), &monitor.profile())
                }
            },
            Err(_) => without_response(Outcome::Moot, "no request can be made of it"),
        };
        let outcome = end.outcome;
        monitor.finish(DispatcherEvent::CallEnded { message, attempt, endpoint, end }, outcome).await;
    }

    /// Sends a probe (`GET /-/load`) and reports how it ended.
    pub async fn probe(
        self,
        endpoint: EndpointId,
        address: SocketAddr,
        timeout: Duration,
        events: Sender<DispatcherEvent>,
    ) {
        let sent = Instant::now();
        let request = Request::get("/-/load").header(HOST, address.to_string()).body(Full::default());
        let monitor = self.monitor(endpoint, None, events);
        let (response, exchange) = match request {
            Ok(request) => {
                self.run_exchange((endpoint, None), (address, false), request, sent + timeout, &monitor).await
            }
            Err(_) => (Err(RequestError::NotSent), None),
        };
        let end = CallResult { exchange, ..classify(response, monitor.progress(), &monitor.profile()) };
        let outcome = end.outcome;
        monitor.finish(DispatcherEvent::ProbeEnded { endpoint, sent, end }, outcome).await;
    }
}

/// Extends the time until which nothing may be written to a pool or an endpoint. Drops those that are over.
fn block<Target: Eq + Hash>(blocked: &RefCell<HashMap<Target, Instant>>, target: Target, until: Instant) {
    let now = Instant::now();
    let mut blocked = blocked.borrow_mut();
    blocked.retain(|_, until| *until > now);
    let blocked_until = blocked.entry(target).or_insert(until);
    *blocked_until = (*blocked_until).max(until);
}

#[cfg(test)]
#[path = "endpoint_client_test.rs"]
mod tests;
