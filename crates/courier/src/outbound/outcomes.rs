//! Notices of what was taken on and is not delivered: to the platform, or where an operator wants them, by
//! post, in a file, or both. Sent until they are acknowledged, however long that takes.

use crate::events::CourierEvent;
use crate::outbound::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde::Serialize;
use stairshed_config::installation::Url;
use stairshed_journal::Verdict;
use std::cell::Cell;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

const CONNECT: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_millis(1000);
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(500);

/// One message that has ended undelivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub message: u64,
    pub id: String,
    pub verdict: Verdict,
}

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// How a message ended, as a line of JSON without its end: None for one that was delivered.
pub fn outcome_line(id: &str, verdict: Option<Verdict>) -> String {
    let (result, wait) = match verdict {
        None => ("delivered", None),
        Some(Verdict::Dead) => ("dead", None),
        Some(Verdict::Bounced { wait }) => ("bounced", wait),
    };
    let line = Line { id, result, wait_ms: wait.map(|w| w.as_millis() as u64) };
    serde_json::to_string(&line).unwrap_or_default()
}

impl Notice {
    fn line(&self) -> String {
        outcome_line(&self.id, Some(self.verdict)) + "\n"
    }
}

#[derive(Clone)]
pub struct OutcomeNotifier {
    post: Option<Post>,
    file: Option<Arc<Mutex<Sink>>>,
    /// Where notices go that the other side cannot read.
    unread: Option<Arc<Mutex<Sink>>>,
}

/// Where notices are posted.
#[derive(Clone)]
struct Post {
    /// Shared by all batches on their way: it moves at a reload.
    address: Rc<Cell<SocketAddr>>,
    path: Rc<str>,
}

/// A file that lines are appended to.
struct Sink {
    path: PathBuf,
    /// Kept on the device before the message counts as ended.
    sync: bool,
}

impl Sink {
    /// All or nothing, as far as it can be told: a line that was cut short is ended by the next try.
    fn append(&self, text: &str) -> std::io::Result<()> {
        let mut file = OpenOptions::new().create(true).append(true).open(&self.path)?;
        let before = file.metadata()?.len();
        let done =
            file.write_all(text.as_bytes()).and_then(|()| if self.sync { file.sync_data() } else { Ok(()) });
        if done.is_err() {
            // What is half there would be a line that nobody can read. If this fails, too, it stays.
            let _ = file.set_len(before);
        }
        done
    }
}

/// Appends off the serving thread, again and again until it works.
async fn append(sink: &Arc<Mutex<Sink>>, text: String) {
    let mut told = false;
    loop {
        let (sink, text) = (sink.clone(), text.clone());
        let done = tokio::task::spawn_blocking(move || {
            let sink = sink.lock().unwrap_or_else(PoisonError::into_inner);
            sink.append(&text).map_err(|e| format!("{}: {e}", sink.path.display()))
        });
        match done.await {
            Ok(Ok(())) => return,
            Ok(Err(why)) if !told => {
                eprintln!("outcomes: cannot append, trying on: {why}");
                told = true;
            }
            _ => {}
        }
        sleep(BACKOFF_MOST).await;
    }
}

impl OutcomeNotifier {
    /// The platform's.
    pub fn platform(address: SocketAddr) -> Self {
        let post = Post { address: Rc::new(Cell::new(address)), path: "/v1/outcomes".into() };
        OutcomeNotifier { post: Some(post), file: None, unread: None }
    }

    /// An operator's: posted to `url`, appended to `file`, or both. What the other side cannot read is appended
    /// to `unread`. With `sync` lines are on the device before their messages count as ended.
    pub fn operator(url: Option<&Url>, file: Option<PathBuf>, unread: PathBuf, sync: bool) -> Self {
        let post = url.map(|u| Post { address: Rc::new(Cell::new(u.address)), path: u.path.as_str().into() });
        let sink = |path| Arc::new(Mutex::new(Sink { path, sync }));
        OutcomeNotifier { post, file: file.map(sink), unread: Some(sink(unread)) }
    }

    /// From now on notices go to another address, those that are tried again among them.
    pub fn set_address(&self, address: SocketAddr) {
        if let Some(post) = &self.post {
            post.address.set(address);
        }
    }

    /// Delivers a batch until it is acknowledged, then reports it.
    pub async fn deliver(self, batch: Vec<Notice>, news: Sender<CourierEvent>) {
        if let Some(file) = &self.file {
            append(file, batch.iter().map(Notice::line).collect()).await;
        }
        let told = match &self.post {
            Some(post) => post.all(batch, self.unread.as_ref()).await,
            None => batch.iter().map(|n| n.message).collect(),
        };
        let _ = news.send(CourierEvent::NoticesAcknowledged(told)).await;
    }
}

impl Post {
    /// Posts all; their messages' numbers.
    async fn all(&self, mut batch: Vec<Notice>, unread: Option<&Arc<Mutex<Sink>>>) -> Vec<u64> {
        let mut backoff = BACKOFF_FIRST;
        let (mut told, mut most) = (Vec::new(), batch.len());
        while !batch.is_empty() {
            let part = most.min(batch.len());
            match self.once(&batch[..part]).await {
                Some(status) if status.is_success() => {
                    told.extend(batch.drain(..part).map(|n| n.message));
                }
                // One line that cannot be read must not hold back the others: each by itself.
                Some(StatusCode::BAD_REQUEST) if part > 1 => most = 1,
                Some(StatusCode::BAD_REQUEST) => {
                    eprintln!("outcomes: the other side cannot read the notice for {:?}", batch[0].id);
                    if let Some(unread) = unread {
                        append(unread, batch[0].line()).await;
                    }
                    told.extend(batch.drain(..part).map(|n| n.message));
                }
                _ => {
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_MOST);
                }
            }
        }
        told
    }

    /// Posts once, on a connection of its own: an answer names no request, and on a used connection it could be a second
    /// copy of the one before.
    async fn once(&self, batch: &[Notice]) -> Option<StatusCode> {
        let to = self.address.get();
        let mut link = HttpConnection::connect(to, CONNECT, None).await.ok()?;
        let text: String = batch.iter().map(Notice::line).collect();
        let request = Request::post(&*self.path)
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let answer = link.send_request(request, Instant::now() + ANSWER).await.ok()?;
        Some(answer.status)
    }
}
