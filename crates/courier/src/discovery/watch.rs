//! Watch on discovery's list of endpoints: a streaming HTTP response that is requested again, with backoff,
//! whenever its connection ends or falls silent.

use super::outage_detector::{CallFailure, OutageDetector, measure_wait};
use super::watch_status::WatchStatus;
use crate::events::{DispatcherEvent, EndpointList};
use crate::system_errors::Operation;
use crate::system_errors::policy::shows_unreachable_peer;
use crate::upstream::http_connection::{ConnectError, HttpConnection, RequestError, StreamEnd};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_config::lines::LineBuffer;
use stairshed_decide::scheduler::list_retry_delay;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

/// Timeout for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for the response head. Discovery handles requests one after another and drops a request after a
/// timeout of its own.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Silence after which the connection counts as lost. Discovery sends an empty line every 2 s while nothing
/// changes, and a machine that vanished leaves the connection open without data. Discovery counts a change as
/// announced after 6 s, so silence must be detected earlier.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4300);
/// Time in which a started line must be complete, so that a stream of bytes without a line end does not count
/// as a sign of life.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before the first retry.
const INITIAL_BACKOFF_SECONDS: f64 = 0.15;
/// Upper bound of the pause between retries; the pause doubles with each call.
const MAX_BACKOFF_SECONDS: f64 = 2.0;
/// Longest pause after a call that could not reach discovery. A call that fails in an outage shows that the
/// list is still current, and the next call must end before that lease on the list expires. Couriers that
/// find discovery back but overloaded are refused at once and then spread their calls over
/// `reconnect_spread`.
const MAX_OUTAGE_PAUSE: Duration = Duration::from_millis(2000);
/// Longest accepted line; bounds the memory that an endless line can take.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Why a watch could not be opened, or why it ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchEnd {
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    #[error("no answer: {0}")]
    NoAnswer(#[from] RequestError),
    #[error("answered {0}")]
    Refused(StatusCode),
    #[error("{0}")]
    Stream(#[from] StreamEnd),
    #[error("a line without an end for {LINE_TIMEOUT:?}")]
    IncompleteLine,
    #[error("a line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("a line that cannot be read: {0}")]
    InvalidLine(#[from] serde_json::Error),
    #[error("the courier is ending")]
    Closing,
}

impl WatchEnd {
    /// Classifies the failure for the outage detector.
    fn failure(&self) -> CallFailure {
        match self {
            WatchEnd::Connect(ConnectError::TimedOut(_)) => CallFailure::ConnectTimedOut,
            WatchEnd::Connect(e) if e.errno().is_some_and(shows_unreachable_peer) => {
                CallFailure::NoConnection
            }
            WatchEnd::NoAnswer(_) | WatchEnd::Refused(_) => CallFailure::NotServed,
            _ => CallFailure::Other,
        }
    }

    /// Name under which it is counted on the page `/-/discovery`.
    fn kind(&self) -> &'static str {
        match self {
            WatchEnd::Connect(_) => "connect",
            WatchEnd::NoAnswer(_) => "no_answer",
            WatchEnd::Refused(_) => "refused",
            WatchEnd::Stream(StreamEnd::IdleTimeout(_)) => "silent",
            WatchEnd::Stream(_) => "lost",
            WatchEnd::IncompleteLine | WatchEnd::LineTooLong | WatchEnd::InvalidLine(_) => "malformed",
            WatchEnd::Closing => "closing",
        }
    }
}

/// How far a watch has got.
#[derive(Default)]
struct WatchProgress {
    lines_read: u64,
    /// Time spent waiting for the response head.
    waited: Duration,
}

/// A watch on discovery that is reopened whenever it ends.
pub struct DiscoveryWatch {
    pub address: SocketAddr,
    pub seed: u64,
    /// Version of the list that the courier has.
    pub version: u64,
    /// Request the whole list instead of changes since `version`, which may not be a version of this
    /// discovery.
    pub request_whole: bool,
    /// Time over which the couriers of the fleet spread their calls after a watch has ended or was refused,
    /// since all of them may have lost it at the same moment.
    pub reconnect_spread: Duration,
    pub status: Rc<WatchStatus>,
}

impl DiscoveryWatch {
    /// Keeps a watch open. Returns only when the receiver of `events` is gone.
    pub async fn run(mut self, events: Sender<DispatcherEvent>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut backoff = INITIAL_BACKOFF_SECONDS;
        let mut outage = OutageDetector::default();
        while !events.is_closed() {
            let since = Instant::now();
            let mut progress = WatchProgress::default();
            let Err(end) = self.watch_once(&events, &mut progress).await;
            let lines_read = progress.lines_read;
            if lines_read > 0 && since.elapsed() > SILENCE_TIMEOUT {
                backoff = INITIAL_BACKOFF_SECONDS;
            }
            let mut pause = list_retry_delay(backoff, self.reconnect_spread, &mut rng);
            if lines_read > 0 {
                outage.answered();
                if events.send(DispatcherEvent::WatchEnded { discovery: self.address }).await.is_err() {
                    return;
                }
            } else if outage.call_failed(end.failure(), progress.waited) {
                pause = pause.min(MAX_OUTAGE_PAUSE.mul_f64(rng.random_range(0.25..1.0)));
                let unreachable = DispatcherEvent::DiscoveryUnreachable { discovery: self.address, since };
                if events.send(unreachable).await.is_err() {
                    return;
                }
            }
            outage.paused(pause);
            self.report_end(&end, since.elapsed(), lines_read, pause);
            sleep(pause).await;
            backoff = (backoff * 2.0).min(MAX_BACKOFF_SECONDS);
        }
    }

    fn report_end(&self, end: &WatchEnd, after: Duration, lines_read: u64, pause: Duration) {
        self.status.call_ended(end.kind(), &end.to_string());
        let what = if lines_read > 0 { "the watch is lost" } else { "no watch" };
        let (after, pause) = (after.as_secs_f64(), pause.as_secs_f64());
        log_line!(
            "discovery: {what} after {after:.2} s, {lines_read} lines: {end}; calls again in {pause:.2} s"
        );
    }

    /// Opens one watch and reads it until it ends; the result is the reason why.
    async fn watch_once(
        &mut self,
        events: &Sender<DispatcherEvent>,
        progress: &mut WatchProgress,
    ) -> Result<Infallible, WatchEnd> {
        let started = Instant::now();
        let (opened, waited) = measure_wait(self.open()).await;
        progress.waited = waited;
        let (mut connection, response) = opened?;
        let (mut body, mut lines) = (response.into_body(), LineBuffer::new(MAX_LINE_BYTES));
        let mut line_started: Option<Instant> = None;
        loop {
            let line_time_left =
                line_started.map_or(LINE_TIMEOUT, |started| LINE_TIMEOUT.saturating_sub(started.elapsed()));
            if line_time_left.is_zero() {
                return Err(WatchEnd::IncompleteLine);
            }
            let chunk = connection.next_chunk(&mut body, SILENCE_TIMEOUT.min(line_time_left)).await?;
            if lines.push(&chunk).is_err() || lines.buffered_bytes() > MAX_LINE_BYTES {
                return Err(WatchEnd::LineTooLong);
            }
            for line in lines.by_ref() {
                let list = self.parse_line(&line, progress.lines_read == 0)?;
                self.status.line_read(self.version);
                progress.lines_read += 1;
                line_started = None;
                if progress.lines_read == 1 {
                    let after = started.elapsed().as_secs_f64();
                    log_line!(
                        "discovery: the watch is open at version {}, {after:.2} s after its call",
                        self.version
                    );
                }
                if let Some(list) = list {
                    events
                        .send(DispatcherEvent::EndpointsListed(list))
                        .await
                        .map_err(|_| WatchEnd::Closing)?;
                }
                // A line that was read late, because the process did not run, tells of the time when it arrived.
                let at = connection.last_data_received();
                let heard = DispatcherEvent::DiscoveryLineRead { discovery: self.address, at };
                events.send(heard).await.map_err(|_| WatchEnd::Closing)?;
            }
            line_started = lines.has_buffered_bytes().then(|| line_started.unwrap_or_else(Instant::now));
        }
    }

    /// Connects and sends the request. A status other than 200 is an error.
    async fn open(&self) -> Result<(HttpConnection, Response<Incoming>), WatchEnd> {
        self.status.call_started();
        let path = match self.request_whole {
            true => "/api/targets?stream=1".to_owned(),
            false => format!("/api/targets?stream=1&index={}", self.version),
        };
        log_line!("discovery: calls {} for {path}", self.address);
        let connected = HttpConnection::connect(self.address, CONNECT_TIMEOUT, Operation::ConnectDiscovery);
        let mut connection = connected.await?;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(|_| WatchEnd::NoAnswer(RequestError::NotSent))?;
        let response = connection.open_stream(request, HEAD_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok((connection, response)),
            status => Err(WatchEnd::Refused(status)),
        }
    }

    /// Parses a line and returns its changes, or None if it has none. The first line is always returned,
    /// since even an empty one tells that the list is unchanged.
    fn parse_line(&mut self, line: &[u8], is_first: bool) -> Result<Option<EndpointList>, WatchEnd> {
        let list = match line.iter().all(u8::is_ascii_whitespace) {
            true => EndpointList { seq: self.version, ..EndpointList::default() },
            false => serde_json::from_slice::<EndpointList>(line).inspect_err(|_| {
                // The changes in this line are lost, so the next call requests the whole list.
                self.request_whole = true;
            })?,
        };
        if !list.hosts.is_empty() || list.whole {
            (self.version, self.request_whole) = (list.seq, false);
            return Ok(Some(list));
        }
        self.version = self.version.max(list.seq);
        Ok(is_first.then_some(list))
    }
}

#[cfg(test)]
#[path = "watch_test.rs"]
mod tests;
