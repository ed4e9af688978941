//! The watch on the list of endpoints. It lasts until its connection ends or falls silent; then it is
//! asked for again, with backoff.

use super::outage_detector::{CallFailure, OutageDetector};
use super::watch_status::WatchStatus;
use crate::events::{CourierEvent, EndpointList};
use crate::outbound::http_connection::{ConnectError, HttpConnection, RequestError, StreamEnd};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stairshed_config::lines::Lines;
use stairshed_decide::scheduler::list_retry_delay;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Discovery works through calls in turn and gives one up after its own time-out.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// While nothing changes an empty line comes every 2 s. A machine that vanished leaves the connection open
/// and silent; a change counts as told 6 s later, so silence must be found out before that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4300);
/// A line has to be whole within this time of its first byte: bytes that never become one are no word of discovery.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF_S: f64 = 0.15;
const MAX_BACKOFF_S: f64 = 2.0;
/// Longest pause after a call that could not reach discovery: the next one ends before the list runs out of date that
/// this one has shown to be current. Couriers that find discovery back and crowded are turned away at once, and spread
/// over the fleet's time then.
const MAX_OUTAGE_PAUSE: Duration = Duration::from_millis(2000);
/// No line is longer; guards memory against one without an end.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Why a watch could not be opened, or ended.
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
    EndlessLine,
    #[error("a line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("a line that cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("the courier is ending")]
    Closing,
}

impl WatchEnd {
    /// What a call that ended so says of discovery.
    fn failure(&self) -> CallFailure {
        match self {
            WatchEnd::Connect(ConnectError::TimedOut(_)) => CallFailure::NoConnection,
            WatchEnd::Connect(ConnectError::Io(e)) => match e.kind() {
                ErrorKind::ConnectionRefused
                | ErrorKind::ConnectionReset
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::TimedOut => CallFailure::NoConnection,
                _ => CallFailure::Other,
            },
            WatchEnd::NoAnswer(_) | WatchEnd::Refused(_) => CallFailure::NotServed,
            _ => CallFailure::Other,
        }
    }

    /// The name that it is counted under.
    fn kind(&self) -> &'static str {
        match self {
            WatchEnd::Connect(_) => "connect",
            WatchEnd::NoAnswer(_) => "no_answer",
            WatchEnd::Refused(_) => "refused",
            WatchEnd::Stream(StreamEnd::IdleTimeout(_)) => "silent",
            WatchEnd::Stream(_) => "lost",
            WatchEnd::EndlessLine | WatchEnd::LineTooLong | WatchEnd::Unreadable(_) => "malformed",
            WatchEnd::Closing => "closing",
        }
    }
}

/// A watch on discovery, opened again whenever it ends.
pub struct DiscoveryWatch {
    pub address: SocketAddr,
    pub seed: u64,
    /// The version that the courier has.
    pub version: u64,
    /// Ask for the whole list: the version is not known to be one of discovery's.
    pub request_whole: bool,
    /// Time over which the fleet's calls are spread once a watch has ended or was turned away: all may have lost
    /// theirs in the same moment.
    pub reconnect_spread: Duration,
    pub status: Rc<WatchStatus>,
}

impl DiscoveryWatch {
    /// Watches for good. Ends only when nobody listens any more.
    pub async fn run(mut self, news: Sender<CourierEvent>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut backoff = INITIAL_BACKOFF_S;
        let mut outage = OutageDetector::default();
        while !news.is_closed() {
            let since = Instant::now();
            let mut lines_read = 0;
            let Err(end) = self.watch_once(&news, &mut lines_read).await;
            if lines_read > 0 && since.elapsed() > SILENCE_TIMEOUT {
                backoff = INITIAL_BACKOFF_S;
            }
            let mut pause = list_retry_delay(backoff, self.reconnect_spread, &mut rng);
            if lines_read > 0 {
                outage.answered();
                if news.send(CourierEvent::WatchEnded { discovery: self.address }).await.is_err() {
                    return;
                }
            } else if outage.call_failed(end.failure(), since) {
                pause = pause.min(MAX_OUTAGE_PAUSE.mul_f64(rng.random_range(0.25..1.0)));
                let unreachable = CourierEvent::DiscoveryUnreachable { discovery: self.address, since };
                if news.send(unreachable).await.is_err() {
                    return;
                }
            }
            self.report_end(&end, since.elapsed(), lines_read, pause);
            sleep(pause).await;
            backoff = (backoff * 2.0).min(MAX_BACKOFF_S);
        }
    }

    fn report_end(&self, end: &WatchEnd, after: Duration, lines_read: u64, pause: Duration) {
        self.status.call_ended(end.kind(), &end.to_string());
        let what = if lines_read > 0 { "the watch is lost" } else { "no watch" };
        let (after, pause) = (after.as_secs_f64(), pause.as_secs_f64());
        eprintln!(
            "discovery: {what} after {after:.2} s, {lines_read} lines: {end}; calls again in {pause:.2} s"
        );
    }

    /// One watch, from its connection to its end, which is its only result.
    async fn watch_once(
        &mut self,
        news: &Sender<CourierEvent>,
        lines_read: &mut u64,
    ) -> Result<Infallible, WatchEnd> {
        let begun = Instant::now();
        let (mut connection, answer) = self.call().await?;
        let (mut body, mut lines) = (answer.into_body(), Lines::new(MAX_LINE_BYTES));
        let mut line_begun: Option<Instant> = None;
        loop {
            let line_time_left =
                line_begun.map_or(LINE_TIMEOUT, |begun| LINE_TIMEOUT.saturating_sub(begun.elapsed()));
            if line_time_left.is_zero() {
                return Err(WatchEnd::EndlessLine);
            }
            let piece = connection.next_chunk(&mut body, SILENCE_TIMEOUT.min(line_time_left)).await?;
            if lines.push(&piece).is_err() || lines.buffered() > MAX_LINE_BYTES {
                return Err(WatchEnd::LineTooLong);
            }
            for line in lines.by_ref() {
                let list = self.read_line(&line, *lines_read == 0)?;
                self.status.line_read(self.version);
                *lines_read += 1;
                line_begun = None;
                if *lines_read == 1 {
                    let after = begun.elapsed().as_secs_f64();
                    eprintln!(
                        "discovery: the watch is open at version {}, {after:.2} s after its call",
                        self.version
                    );
                }
                if let Some(list) = list {
                    news.send(CourierEvent::EndpointsListed(list)).await.map_err(|_| WatchEnd::Closing)?;
                }
                let heard = CourierEvent::DiscoveryLineRead { discovery: self.address, at: Instant::now() };
                news.send(heard).await.map_err(|_| WatchEnd::Closing)?;
            }
            line_begun = lines.is_open().then(|| line_begun.unwrap_or_else(Instant::now));
        }
    }

    /// Connects and asks; an answer with a status other than 200 is none.
    async fn call(&self) -> Result<(HttpConnection, Response<Incoming>), WatchEnd> {
        self.status.call_started();
        let path = match self.request_whole {
            true => "/api/targets?stream=1".to_owned(),
            false => format!("/api/targets?stream=1&index={}", self.version),
        };
        eprintln!("discovery: calls {} for {path}", self.address);
        let mut connection = HttpConnection::connect(self.address, CONNECT_TIMEOUT, None).await?;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(|_| WatchEnd::NoAnswer(RequestError::NotSent))?;
        let answer = connection.open_stream(request, HEAD_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => Ok((connection, answer)),
            status => Err(WatchEnd::Refused(status)),
        }
    }

    /// What a line changes; None if nothing. The first line is passed on also if it is empty: it says that all is as
    /// it was, which is an answer too.
    fn read_line(&mut self, line: &[u8], is_first: bool) -> Result<Option<EndpointList>, WatchEnd> {
        let list = match line.iter().all(u8::is_ascii_whitespace) {
            true => EndpointList { seq: self.version, ..EndpointList::default() },
            false => serde_json::from_slice::<EndpointList>(line).inspect_err(|_| {
                // What it would have told is asked for again, as a whole list.
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
