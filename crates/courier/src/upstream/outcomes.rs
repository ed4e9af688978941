//! Notices of accepted messages that were not delivered, sent to the platform or to the operator's HTTP URL,
//! file, or both. They are retried until they are acknowledged, without a time limit.

use crate::events::DispatcherEvent;
use crate::message_trace;
use crate::system_errors::policy::OUTCOMES_PAUSES;
use crate::system_errors::{Backoff, Operation, report};
use crate::upstream::http_connection::HttpConnection;
use crate::upstream::notice_holds::NoticeHolds;
use crate::upstream::response_timeout::ResponseTimeout;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde::Serialize;
use stairshed_config::installation::Url;
use stairshed_journal::{LiveMessage, Verdict};
use std::cell::Cell;
use std::fmt::Display;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout};

/// Time-out for connecting to the receiver of notices.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out for the response to a batch of notices, until the receiver has shown that it takes longer.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Minimum interval between log lines on a receiver that does not answer in time.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay between retries.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Posts of one batch in flight at once, where further ones begin before the first is answered.
const MAX_CONCURRENT_POSTS: u32 = 4;

/// How a receiver is posted to.
#[derive(Clone, Copy, Debug)]
struct PostPolicy {
    /// The longest that the receiver may take for its response.
    max_response_timeout: Duration,
    /// Maximum delay between retries.
    max_backoff: Duration,
    /// Time without a response after which the batch is posted once more, beside the posts in flight; None to wait for
    /// each response. The receiver must be one to which a second copy does no harm.
    repost_interval: Option<Duration>,
}

impl PostPolicy {
    /// The platform's receiver answers at once, and expects a notice within 300 ms: one that was posted into an outage
    /// must not wait for its time-out when that is over.
    const PLATFORM: PostPolicy = PostPolicy {
        max_response_timeout: MIN_RESPONSE_TIMEOUT,
        max_backoff: Duration::from_millis(100),
        repost_interval: Some(Duration::from_millis(150)),
    };
    /// An operator's receiver may be slow, and takes each copy for one more.
    const OPERATOR: PostPolicy = PostPolicy {
        max_response_timeout: Duration::from_secs(30),
        max_backoff: MAX_BACKOFF,
        repost_interval: None,
    };
}

/// Reports one message that ended undelivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub message: u64,
    pub id: String,
    pub verdict: Verdict,
    /// What its attempts were, if the verdict tells of them; set when it is posted.
    pub attempts: Option<Box<AttemptSummary>>,
}

/// The attempts of a message that an endpoint rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSummary {
    /// The endpoint of the last one, which rejected it; None if its record was lost.
    pub endpoint: Option<String>,
    pub count: usize,
}

impl AttemptSummary {
    /// The attempts of a message that ended with this verdict; None unless the verdict tells of them.
    pub fn of(live: &LiveMessage, verdict: Verdict) -> Option<AttemptSummary> {
        let Verdict::Rejected { .. } = verdict else { return None };
        let last = live.attempts.last();
        let endpoint = last.map(|a| a.host.clone()).filter(|host| !host.is_empty());
        Some(AttemptSummary { endpoint, count: live.attempts.len() })
    }
}

/// The verdict on a message that an endpoint rejected for good in its attempt number `attempt`. If an earlier
/// attempt may have run, it is not known whether the message took effect, so it does not count as rejected.
pub fn rejection_verdict(live: &LiveMessage, attempt: u32, status: Option<u16>) -> Verdict {
    let mut earlier = live.attempts.iter().take(attempt as usize);
    if earlier.any(|a| a.may_have_run) { Verdict::Dead } else { Verdict::Rejected { status } }
}

/// A notice as it is written out.
#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempts: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
}

/// The reason of a rejection without a status that has one.
const REJECTED_REASON: &str = "rejected by the endpoint";

/// The reason phrase of the status with which an endpoint rejected a message.
fn rejection_reason(status: Option<u16>) -> &'static str {
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    status.and_then(|status| status.canonical_reason()).unwrap_or(REJECTED_REASON)
}

/// The outcome of a message as JSON without a line feed. A `verdict` of None means delivered.
pub fn outcome_line(id: &str, verdict: Option<Verdict>, attempts: Option<&AttemptSummary>) -> String {
    let empty = Line {
        id,
        result: "delivered",
        wait_ms: None,
        status: None,
        endpoint: attempts.and_then(|a| a.endpoint.as_deref()),
        attempts: attempts.map(|a| a.count),
        reason: None,
    };
    let line = match verdict {
        None => empty,
        Some(Verdict::Dead) => Line { result: "dead", ..empty },
        Some(Verdict::Bounced { wait }) => {
            Line { result: "bounced", wait_ms: wait.map(|w| w.as_millis() as u64), ..empty }
        }
        Some(Verdict::Rejected { status }) => {
            Line { result: "rejected", status, reason: Some(rejection_reason(status)), ..empty }
        }
    };
    serde_json::to_string(&line).unwrap_or_default()
}

impl Notice {
    fn line(&self) -> String {
        outcome_line(&self.id, Some(self.verdict), self.attempts.as_deref()) + "\n"
    }
}

/// Delivers notices to their receivers.
#[derive(Clone)]
pub struct OutcomeNotifier {
    http: Option<HttpTarget>,
    file: Option<Arc<Mutex<NoticeFile>>>,
    /// File for notices that the receiver rejects as unreadable.
    rejected: Option<Arc<Mutex<NoticeFile>>>,
    /// Which notices may be posted.
    pub holds: Rc<NoticeHolds>,
}

/// The HTTP receiver of notices.
#[derive(Clone)]
struct HttpTarget {
    /// Shared with batches in flight, since a reload may change it.
    address: Rc<Cell<SocketAddr>>,
    path: Rc<str>,
    policy: PostPolicy,
    response_timeout: Rc<Cell<ResponseTimeout>>,
    /// When it was last logged that the receiver does not answer in time.
    reported: Rc<Cell<Option<Instant>>>,
}

impl HttpTarget {
    fn new(address: SocketAddr, path: &str, policy: PostPolicy) -> Self {
        let response_timeout = ResponseTimeout::new(MIN_RESPONSE_TIMEOUT, policy.max_response_timeout);
        HttpTarget {
            address: Rc::new(Cell::new(address)),
            path: path.into(),
            policy,
            response_timeout: Rc::new(Cell::new(response_timeout)),
            reported: Rc::default(),
        }
    }
}

/// A file that lines are appended to.
struct NoticeFile {
    path: PathBuf,
    /// Whether lines are synced to the device before their messages count as ended.
    sync: bool,
}

impl NoticeFile {
    /// Appends all of the text or, as far as possible, nothing.
    ///
    /// # Errors
    /// The file could not be opened, written or synced.
    fn append(&self, text: &str) -> std::io::Result<()> {
        let mut file = OpenOptions::new().create(true).append(true).open(&self.path)?;
        let before = file.metadata()?.len();
        let result =
            file.write_all(text.as_bytes()).and_then(|()| if self.sync { file.sync_data() } else { Ok(()) });
        if result.is_err() {
            // Removes a partial line, which nobody could read. If this fails, too, the partial line stays.
            let _ = file.set_len(before);
        }
        result
    }
}

/// Appends on a blocking thread and retries until it succeeds.
async fn append(notice_file: &Arc<Mutex<NoticeFile>>, text: String) {
    let (mut logged, mut backoff) = (false, Backoff::default());
    loop {
        let (notice_file, text) = (notice_file.clone(), text.clone());
        let result = tokio::task::spawn_blocking(move || {
            let notice_file = notice_file.lock().unwrap_or_else(PoisonError::into_inner);
            let result = notice_file.append(&text);
            result.map_err(|e| (report(Operation::OutcomesFile, &e), notice_file.path.clone(), e))
        });
        let mut pauses = OUTCOMES_PAUSES;
        match result.await {
            Ok(Ok(())) => return,
            Ok(Err((policy, path, e))) => {
                pauses = policy.pauses().unwrap_or(pauses);
                if !logged {
                    log_line!("outcomes: cannot append, trying on: {}: {e}", path.display());
                    logged = true;
                }
            }
            // The append is not expected to panic; it is repeated if it does.
            Err(_) => {}
        }
        sleep(backoff.next_pause(pauses)).await;
    }
}

impl OutcomeNotifier {
    /// Notices that are posted to the platform.
    pub fn platform(address: SocketAddr) -> Self {
        let http = HttpTarget::new(address, "/v1/outcomes", PostPolicy::PLATFORM);
        OutcomeNotifier { http: Some(http), file: None, rejected: None, holds: Rc::default() }
    }

    /// Notices that are posted to the operator's `url`, appended to `file`, or both. Those that the receiver
    /// rejects as unreadable are appended to `rejected`. With `sync`, lines are synced to the device before
    /// their messages count as ended.
    pub fn operator(url: Option<&Url>, file: Option<PathBuf>, rejected: PathBuf, sync: bool) -> Self {
        let http = url.map(|u| HttpTarget::new(u.address, &u.path, PostPolicy::OPERATOR));
        let notice_file = |path| Arc::new(Mutex::new(NoticeFile { path, sync }));
        OutcomeNotifier {
            http,
            file: file.map(notice_file),
            rejected: Some(notice_file(rejected)),
            holds: Rc::default(),
        }
    }

    /// Changes the address of the receiver, also for retries of batches in flight.
    pub fn set_address(&self, address: SocketAddr) {
        if let Some(target) = &self.http {
            target.address.set(address);
        }
    }

    /// Delivers a batch, with retries until it is acknowledged, and then reports it as
    /// [`DispatcherEvent::NoticesAcknowledged`]. Withdrawn notices are left out.
    pub async fn deliver(self, mut batch: Vec<Notice>, events: Sender<DispatcherEvent>) {
        if let Some(file) = &self.file {
            batch = self.append_all(file, batch).await;
        }
        let delivered = match &self.http {
            Some(target) => target.deliver_all(batch, self.rejected.as_ref(), &self.holds).await,
            None => batch.iter().map(|n| n.message).collect(),
        };
        let _ = events.send(DispatcherEvent::NoticesAcknowledged(delivered)).await;
    }
}

impl OutcomeNotifier {
    /// Appends a batch to the file. Returns it without those that were withdrawn before.
    async fn append_all(&self, file: &Arc<Mutex<NoticeFile>>, mut batch: Vec<Notice>) -> Vec<Notice> {
        let (mut appended, mut backoff) = (Vec::new(), INITIAL_BACKOFF);
        loop {
            let count = self.holds.sort_batch(&mut batch);
            if batch.is_empty() {
                return appended;
            }
            if count == 0 {
                sleep(next_delay(&mut backoff, MAX_BACKOFF)).await;
                continue;
            }
            let now: Vec<Notice> = batch.drain(..count).collect();
            self.holds.begin(&now);
            append(file, now.iter().map(Notice::line).collect()).await;
            self.holds.end(&now);
            appended.extend(now);
        }
    }
}

/// Waits for the first response to one of these posts; None once all have failed.
async fn first_response(
    posts: &mut FuturesUnordered<impl Future<Output = Result<Option<StatusCode>, Elapsed>>>,
) -> Option<StatusCode> {
    while let Some(ended) = posts.next().await {
        if let Ok(Some(status)) = ended {
            return Some(status);
        }
    }
    None
}

/// Traces why a post of these notices was not acknowledged.
fn trace_failed_post(batch: &[Notice], error: &impl Display) {
    for notice in batch {
        message_trace::log_step(
            &notice.id,
            format_args!("notice not acknowledged number={}: {error}", notice.message),
        );
    }
}

/// The delay before the next try, which doubles with each up to `max`.
fn next_delay(backoff: &mut Duration, max: Duration) -> Duration {
    let delay = *backoff;
    *backoff = (delay * 2).min(max);
    delay
}

impl HttpTarget {
    /// Posts all notices with retries and returns the numbers of their messages.
    async fn deliver_all(
        &self,
        mut batch: Vec<Notice>,
        rejected: Option<&Arc<Mutex<NoticeFile>>>,
        holds: &NoticeHolds,
    ) -> Vec<u64> {
        let mut backoff = INITIAL_BACKOFF;
        let (mut delivered, mut batch_limit) = (Vec::new(), batch.len());
        loop {
            let count = holds.sort_batch(&mut batch).min(batch_limit);
            if batch.is_empty() {
                return delivered;
            }
            if count == 0 {
                sleep(next_delay(&mut backoff, self.policy.max_backoff)).await;
                continue;
            }
            holds.begin(&batch[..count]);
            let status = self.post(&batch[..count]).await;
            holds.end(&batch[..count]);
            match status {
                Some(status) if status.is_success() => {
                    delivered.extend(batch.drain(..count).map(|n| n.message));
                }
                // One unreadable line must not hold back the others, so each is sent by itself from now on.
                Some(StatusCode::BAD_REQUEST) if count > 1 => batch_limit = 1,
                Some(StatusCode::BAD_REQUEST) => {
                    log_line!("outcomes: the other side cannot read the notice for {:?}", batch[0].id);
                    if let Some(rejected) = rejected {
                        append(rejected, batch[0].line()).await;
                    }
                    delivered.extend(batch.drain(..count).map(|n| n.message));
                }
                _ => sleep(next_delay(&mut backoff, self.policy.max_backoff)).await,
            }
        }
    }

    /// Posts a batch, and posts it again while there is no response, where the policy says so. Returns the first
    /// response; None once all posts have failed.
    async fn post(&self, batch: &[Notice]) -> Option<StatusCode> {
        let Some(interval) = self.policy.repost_interval else { return self.post_once(batch).await };
        let mut posts = FuturesUnordered::new();
        loop {
            posts.push(timeout(interval * MAX_CONCURRENT_POSTS, self.post_once(batch)));
            tokio::select! {
                biased;
                status = first_response(&mut posts) => return status,
                () = sleep(interval) => {}
            }
        }
    }

    /// Posts a batch once on a new connection. A response does not identify its request, and on a reused
    /// connection it could be a second copy of the previous one.
    async fn post_once(&self, batch: &[Notice]) -> Option<StatusCode> {
        let to = self.address.get();
        let connected = HttpConnection::connect(to, CONNECT_TIMEOUT, Operation::ConnectOutcomes);
        let connected = connected.await.inspect_err(|error| trace_failed_post(batch, error));
        let mut connection = connected.ok()?;
        let text: String = batch.iter().map(Notice::line).collect();
        let request = Request::post(&*self.path)
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let (sent_at, timeout) = (Instant::now(), self.response_timeout.get().current());
        let response =
            connection.send_request(request, sent_at + timeout, |status| StatusCode::OK == status).await;
        let response = response.inspect_err(|error| trace_failed_post(batch, error)).ok();
        let elapsed = sent_at.elapsed();
        match &response {
            Some(_) => self.update_timeout(|current| current.answered(elapsed)),
            None if elapsed >= timeout => {
                self.report_late_response(to, timeout);
                self.update_timeout(|current| current.expired(timeout));
            }
            // The connection ended.
            None => {}
        }
        Some(response?.status)
    }

    fn update_timeout(&self, update: impl FnOnce(&mut ResponseTimeout)) {
        let mut response_timeout = self.response_timeout.get();
        update(&mut response_timeout);
        self.response_timeout.set(response_timeout);
    }

    /// Logs, at most once per [`REPORT_INTERVAL`], that a response did not come in time.
    fn report_late_response(&self, to: SocketAddr, timeout: Duration) {
        let now = Instant::now();
        if self.reported.get().is_none_or(|at| now - at >= REPORT_INTERVAL) {
            self.reported.set(Some(now));
            log_line!(
                "outcomes: {to} has not answered a post within {} s; it is posted again",
                timeout.as_secs()
            );
        }
    }
}

#[cfg(test)]
#[path = "outcomes_test.rs"]
mod tests;
