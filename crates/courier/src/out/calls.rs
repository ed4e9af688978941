//! Calls to endpoints and probes, and the connections kept for them. One call a connection at a time; what
//! may have run is told apart from what never did.

use crate::news::{CallEnd, News};
use crate::out::link::{Answer, Link, Lost};
use crate::room::Room;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use stairshed_decide::interface::{EndpointId, Outcome, PoolId, Report};
use stairshed_journal::Letter;
use stairshed_memory::{Charge, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, sleep};

/// What a connection to an endpoint takes, with the call on it: hyper's buffers, the driver, the task. Measured with
/// 40 that were kept.
const LINK_BYTES: u64 = 28_000;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// Share of the endpoints' limit for which a connection may stand idle here.
const KEEP_SHARE: f64 = 0.75;
/// Share of a call's time that must be left for its answer when it is written.
const ANSWER_SHARE: f64 = 0.25;
/// Nothing new goes to an endpoint this long after news that it drains or is gone; a rule says 1 s. The news may be read,
/// and the request written, up to 0.15 s late each.
pub const DRAIN_TIME: Duration = Duration::from_millis(700);

/// An attempt that was decided on a valid list may be written so much later; with the list's term it stays within the
/// grace that the rule on drains gives.
const LATE_WRITE: Duration = Duration::from_millis(400);

/// What an attempt needs to know.
pub struct Call {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    /// Who shares its limit: a wait that is told holds for all of it.
    pub pool: PoolId,
    pub to: To,
    pub letter: Rc<Letter>,
    /// Nothing of it is written from then on: reckoned from when it was decided, so that neither a slow disk nor a
    /// wait for a connection adds to what the module allowed.
    pub until: Instant,
    /// It must not be sent again if it may have run.
    pub once: bool,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub enum To {
    Http(SocketAddr),
    /// A broker, under this packet id.
    Broker(u16),
}

/// How calls fared on connections by the time for which these had stood idle: some endpoints, or what lies
/// between, drop them long before the limit and say so only to the next request, which then may have run.
#[derive(Default)]
struct Fates {
    fresh: Fate,
    idle: [Fate; 8],
}

/// The share of calls that broke, smoothed, as it was when last noted.
#[derive(Clone, Copy, Default)]
struct Fate {
    share: f64,
    at: Option<Instant>,
}

const FATE_GAIN: f64 = 0.05;
/// An old share loses half its weight in this time, s: what is shunned is tried again.
const FATE_HALVES: f64 = 10.0;
/// More breaks than on fresh connections that a message bears which may be sent again, and one that may not:
/// what breaks is lost then, which weighs many times a new connection.
const BREAKS_MOST: f64 = 0.1;
const BREAKS_ONCE: f64 = 0.03;

impl Fate {
    fn now(&self) -> f64 {
        let age = self.at.map_or(0.0, |at| at.elapsed().as_secs_f64());
        self.share * 0.5f64.powf(age / FATE_HALVES)
    }

    fn note(&mut self, broke: bool) {
        let share = self.now();
        let seen = if broke { 1.0 } else { 0.0 };
        *self = Fate { share: share + FATE_GAIN * (seen - share), at: Some(Instant::now()) };
    }
}

impl Fates {
    /// Rows double in span, from 50 ms.
    fn row(idle: Duration) -> usize {
        (idle.as_millis() as u64 / 25).max(1).ilog2().min(7) as usize
    }

    fn note(&mut self, idle: Option<Duration>, broke: bool) {
        match idle {
            Some(idle) => self.idle[Self::row(idle)].note(broke),
            None => self.fresh.note(broke),
        }
    }

    /// Breaks beyond those on fresh connections. What has been dropped after a time is not there after a
    /// longer one either; only a close right behind an answer, the first row, says nothing of later.
    fn excess(&self, idle: Duration) -> f64 {
        let row = Self::row(idle);
        let rows = self.idle[row.min(1)..=row].iter();
        rows.map(Fate::now).fold(0.0, f64::max) - self.fresh.now()
    }
}

struct Kept {
    link: Link,
    since: Instant,
}

#[derive(Clone)]
pub struct Calls {
    connect: Rc<Cell<Duration>>,
    keep: Rc<Cell<Duration>>,
    /// Endpoints to which nothing new goes, since when.
    parted: Rc<RefCell<HashMap<EndpointId, Instant>>>,
    /// Until when nothing may be written to a pool, as it has told.
    waits: Rc<RefCell<HashMap<PoolId, Instant>>>,
    /// Until when the list of endpoints may be acted on; None for good. Endpoints that it does not bind.
    list_valid_until: Rc<Cell<Option<Instant>>>,
    unleased: Rc<RefCell<HashSet<EndpointId>>>,
    sockets: Arc<Semaphore>,
    /// By endpoint, not by address: a new endpoint at the address of one that is gone must not inherit links
    /// to that one.
    idle: Rc<RefCell<HashMap<EndpointId, Vec<Kept>>>>,
    fates: Rc<RefCell<Fates>>,
    room: Room,
}

impl Calls {
    /// `keepalive` is when endpoints close an idle connection; none is kept for as long here.
    pub fn new(connect: Duration, keepalive: Duration, sockets: usize, room: Room) -> Self {
        let keep = Rc::new(Cell::new(keepalive.mul_f64(KEEP_SHARE)));
        let sweep = keep.clone();
        let idle = Rc::new(RefCell::new(HashMap::<EndpointId, Vec<Kept>>::new()));
        let swept = Rc::downgrade(&idle);
        tokio::task::spawn_local(async move {
            while let Some(idle) = swept.upgrade() {
                idle.borrow_mut().retain(|_, kept| {
                    kept.retain_mut(|k| k.since.elapsed() < sweep.get() && k.link.sound());
                    !kept.is_empty()
                });
                drop(idle);
                sleep(SWEEP).await;
            }
        });
        let (connect, sockets) = (Rc::new(Cell::new(connect)), Arc::new(Semaphore::new(sockets)));
        let (parted, waits, fates) = (Rc::default(), Rc::default(), Rc::default());
        let (list_valid_until, unleased) = (Rc::default(), Rc::default());
        Calls { connect, keep, parted, waits, list_valid_until, unleased, sockets, idle, fates, room }
    }

    /// How long connections are kept here: the module reckons with that.
    pub fn keep_time(&self) -> Duration {
        self.keep.get()
    }

    /// Other times from now on; how long connections are kept.
    pub fn retime(&self, connect: Duration, keepalive: Duration) -> Duration {
        self.connect.set(connect);
        self.keep.set(keepalive.mul_f64(KEEP_SHARE));
        self.keep.get()
    }

    /// Whether anything new may go to an endpoint.
    pub fn admit(&self, endpoint: EndpointId, ready: bool) {
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
    pub fn forget(&self, endpoint: EndpointId) {
        self.unleased.borrow_mut().remove(&endpoint);
        self.close(endpoint);
        self.parted.borrow_mut().remove(&endpoint);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// A kept connection and how long it stood idle.
    fn take(&self, endpoint: EndpointId, once: bool) -> Option<(Link, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&endpoint)?;
        while let Some(mut k) = kept.pop() {
            // A request on a connection that the peer has closed, or is about to, would end as a reset and
            // count as one that may have run.
            let age = k.since.elapsed();
            if age >= self.keep.get() || !k.link.sound() {
                continue;
            }
            // So would one on a connection that has stood for as long as those that broke of late.
            let excess = self.fates.borrow().excess(age);
            if excess <= if once { BREAKS_ONCE } else { BREAKS_MOST } {
                return Some((k.link, age));
            }
            if excess <= BREAKS_MOST {
                kept.push(k);
                return None;
            }
        }
        None
    }

    fn keep(&self, endpoint: EndpointId, link: Link) {
        self.idle.borrow_mut().entry(endpoint).or_default().push(Kept { link, since: Instant::now() });
    }

    /// Memory for one more connection. Kept ones give way to it; a call on behalf of an accepted message is made all the
    /// same where none can, since what is accepted is not failed for memory. Calls are few: slots bound them.
    fn room_for_link(&self) -> Charge {
        let ledger = &self.room.ledger;
        while ledger.room(Purpose::Endpoints) < LINK_BYTES && self.close_oldest() {}
        ledger.force(Purpose::Endpoints, LINK_BYTES)
    }

    /// Closes the connection that has been idle for longest. False if there is none.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(a, k)| Some((k.first()?.since, *a))).min();
        let Some((_, endpoint)) = oldest else { return false };
        let Some(kept) = idle.get_mut(&endpoint) else { return false };
        kept.remove(0);
        if kept.is_empty() {
            idle.remove(&endpoint);
        }
        true
    }

    /// Closes every second idle connection, the older ones of each endpoint: memory is tight.
    pub fn close_half(&self) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.drain(..kept.len().div_ceil(2));
            !kept.is_empty()
        });
    }

    /// Room for one more socket; an idle connection elsewhere gives way to it.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_oldest();
        tokio::time::timeout(self.connect.get(), self.sockets.clone().acquire_owned()).await.ok()?.ok()
    }

    async fn link(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        once: bool,
    ) -> Option<(Link, Option<Duration>)> {
        if let Some((link, idle)) = self.take(endpoint, once) {
            return Some((link, Some(idle)));
        }
        let permit = self.permit().await?;
        let room = self.room_for_link();
        Link::open(address, self.connect.get(), Some((permit, room))).await.ok().map(|link| (link, None))
    }

    async fn ask(
        &self,
        (endpoint, pool): (EndpointId, Option<PoolId>),
        (to, once): (SocketAddr, bool),
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Answer, Lost> {
        let latest = until - until.saturating_duration_since(Instant::now()).mul_f64(ANSWER_SHARE);
        // A call whose time is up while it still has no connection was never sent.
        let link = tokio::time::timeout_at(until, self.link(endpoint, to, once)).await.ok().flatten();
        let (mut link, idle) = link.ok_or(Lost::Unsent)?;
        // One that came only now leaves no time for an answer: written all the same, the call would have run, or
        // may have, for nothing. Unwritten it never ran.
        if Instant::now() >= latest {
            return Err(Lost::Unsent);
        }
        // Whoever waited long for a connection must not come in after a drain's grace.
        if self.parted.borrow().get(&endpoint).is_some_and(|since| since.elapsed() > DRAIN_TIME) {
            return Err(Lost::Withheld("the endpoint drains or is gone"));
        }
        // Nor on a list that ran out of date while it waited.
        if self.is_out_of_date(endpoint) {
            return Err(Lost::Withheld("the list of endpoints may be out of date"));
        }
        // Nor may it break a wait that was told to another call meanwhile: the module knew of none when it let this
        // one go, and a connection may be a second in coming.
        if pool.is_some_and(|p| self.waits.borrow().get(&p).is_some_and(|until| Instant::now() < *until)) {
            return Err(Lost::Withheld("another call was told to wait"));
        }
        let answer = link.ask(request, until).await;
        self.fates.borrow_mut().note(idle, matches!(answer, Err(Lost::Broken)));
        let answer = answer?;
        if let Some((pool, wait)) = pool.zip(told_wait(&answer)) {
            let mut waits = self.waits.borrow_mut();
            waits.retain(|_, until| *until > answer.at);
            let until = waits.entry(pool).or_insert(answer.at);
            *until = (*until).max(answer.at + wait);
        }
        if answer.reusable {
            self.keep(endpoint, link);
        }
        Ok(answer)
    }

    /// Makes one attempt and reports its end. The connection is closed before a time-out or a cancel is
    /// told: else the next call would find this one's slot still taken.
    pub async fn call(
        self,
        call: Call,
        address: SocketAddr,
        cancel: oneshot::Receiver<()>,
        news: Sender<News>,
    ) {
        let Call { message, attempt, endpoint, pool, letter, until, once, .. } = call;
        let timeout = until.saturating_duration_since(Instant::now());
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
        let end = match request.body(Full::new(letter.body.clone())) {
            Ok(request) => tokio::select! {
                biased;
                answer = self.ask((endpoint, Some(pool)), (address, once), request, until) => ended(answer),
                _ = cancel => CallEnd { outcome: Outcome::Cancelled, over: false, report: None, at: Instant::now(), proof: "called off" },
            },
            Err(_) => CallEnd {
                outcome: Outcome::Moot,
                over: false,
                report: None,
                at: Instant::now(),
                proof: "no request can be made of it",
            },
        };
        let _ = news.send(News::Called { message, attempt, endpoint, end }).await;
    }

    /// Sends a check and reports its end.
    pub async fn probe(
        self,
        endpoint: EndpointId,
        address: SocketAddr,
        timeout: Duration,
        news: Sender<News>,
    ) {
        let sent = Instant::now();
        let request = Request::get("/-/load").header(HOST, address.to_string()).body(Full::default());
        let answer = match request {
            Ok(request) => self.ask((endpoint, None), (address, false), request, sent + timeout).await,
            Err(_) => Err(Lost::Unsent),
        };
        let _ = news.send(News::Probed { endpoint, sent, end: ended(answer) }).await;
    }
}

/// The wait that an answer tells, if it can be relied on.
fn told_wait(answer: &Answer) -> Option<Duration> {
    let told = answer.whole && answer.status == StatusCode::TOO_MANY_REQUESTS;
    let ms = answer.headers.get("Wait-Ms").filter(|_| told)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    (ms > 0.0 && ms < 1e9).then(|| Duration::from_secs_f64(ms / 1000.0))
}

/// What PROTOCOL says of an answer. Only what it calls 'never' counts as not run.
fn ended(answer: Result<Answer, Lost>) -> CallEnd {
    let answer = match answer {
        Ok(answer) => answer,
        Err(lost) => {
            let (outcome, proof) = match lost {
                Lost::Unsent => (Outcome::ConnectFailed, "no connection, nothing written"),
                // It says nothing of the endpoint, which has not been asked.
                Lost::Withheld(why) => (Outcome::Moot, why),
                Lost::Broken => (Outcome::Reset, "connection broke under it"),
                Lost::Silent => (Outcome::TimedOut, "no answer in time"),
            };
            return CallEnd { outcome, over: false, report: None, at: Instant::now(), proof };
        }
    };
    // A spoilt answer proves nothing but a first line with 200: the request has run, or may have.
    if !answer.whole && answer.status != StatusCode::OK {
        let (outcome, at, proof) = (Outcome::Reset, answer.at, "spoilt answer");
        return CallEnd { outcome, over: false, report: None, at, proof };
    }
    let head = |name| answer.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let outcome = match answer.status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Full { wait: told_wait(&answer) },
        StatusCode::SERVICE_UNAVAILABLE if head("Slots-Taken") == Some("1") => Outcome::Moot,
        // It is the connection that is turned away, not the call: the endpoint holds as many as it will, and
        // those that are kept serve on. Taken for a limit of the destination it would stop these too. Covers
        // an endpoint that is shutting down as well. Hurts where a destination at its limit closes whatever
        // it turns away: then new connections alone are held back, and its limit is found on kept ones.
        StatusCode::SERVICE_UNAVAILABLE if closes(&answer.headers) => Outcome::Crowded,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full { wait: None },
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::Moot,
        _ => Outcome::Error,
    };
    let over = matches!(answer.status, StatusCode::OK | StatusCode::GONE);
    let proof = match outcome {
        Outcome::Crowded => "503 and close",
        _ => answer.status.canonical_reason().unwrap_or("an answer"),
    };
    CallEnd { outcome, over, report: report(&answer.headers), at: answer.at, proof }
}

/// Whether the connection ends with this answer.
fn closes(headers: &HeaderMap) -> bool {
    let all = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    all.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Reads `X-Server-Load: TEXT x0=0.4, x1=25`.
fn report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let field = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value.trim()).next()?;
        value.parse::<f64>().ok().filter(|v| v.is_finite())
    };
    Some(Report { left: field("x0")?, limit: field("x1")? })
}

#[cfg(test)]
#[path = "calls_test.rs"]
mod tests;
