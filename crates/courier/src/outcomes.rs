//! Notices to the platform: what was taken on and is not delivered ends by one. Sent until it is
//! acknowledged, however long that takes.

use crate::link::Link;
use crate::news::News;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use serde::Serialize;
use stairshed_journal::Verdict;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

const CONNECT: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_millis(1000);
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(500);
/// A kept connection is used again within this time only.
const KEEP: Duration = Duration::from_secs(2);

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

impl Notice {
    fn line(&self) -> String {
        let (result, wait) = match self.verdict {
            Verdict::Dead => ("dead", None),
            Verdict::Bounced { wait } => ("bounced", wait),
        };
        let line = Line { id: &self.id, result, wait_ms: wait.map(|w| w.as_millis() as u64) };
        serde_json::to_string(&line).unwrap_or_default() + "\n"
    }
}

#[derive(Clone)]
pub struct Platform {
    /// Shared by all batches on their way: it moves at a reload.
    address: Rc<Cell<SocketAddr>>,
    /// A connection that stands idle, if there is one.
    kept: Rc<RefCell<Option<(Link, Instant)>>>,
}

impl Platform {
    pub fn new(address: SocketAddr) -> Self {
        Platform { address: Rc::new(Cell::new(address)), kept: Rc::default() }
    }

    /// From now on notices go to another address, those that are tried again among them.
    pub fn move_to(&self, address: SocketAddr) {
        self.address.set(address);
        self.kept.borrow_mut().take();
    }

    /// Posts a batch until it is acknowledged, then reports it.
    pub async fn post(self, mut batch: Vec<Notice>, news: Sender<News>) {
        let mut backoff = BACKOFF_FIRST;
        let (mut told, mut most) = (Vec::new(), batch.len());
        while !batch.is_empty() {
            let part = most.min(batch.len());
            match self.once(&batch[..part]).await {
                Some(StatusCode::NO_CONTENT | StatusCode::OK) => {
                    told.extend(batch.drain(..part).map(|n| n.message));
                }
                // One line that cannot be read must not hold back the others: each by itself.
                Some(StatusCode::BAD_REQUEST) if part > 1 => most = 1,
                Some(StatusCode::BAD_REQUEST) => {
                    eprintln!("outcomes: the platform cannot read the notice for {:?}", batch[0].id);
                    told.extend(batch.drain(..part).map(|n| n.message));
                }
                _ => {
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_MOST);
                }
            }
        }
        let _ = news.send(News::Told(told)).await;
    }

    async fn once(&self, batch: &[Notice]) -> Option<StatusCode> {
        let to = self.address.get();
        let kept = self.kept.borrow_mut().take().filter(|(_, at)| at.elapsed() < KEEP);
        let mut link = match kept.and_then(|(mut link, _)| link.sound().then_some(link)) {
            Some(link) => link,
            None => Link::open(to, CONNECT, None).await?,
        };
        let text: String = batch.iter().map(Notice::line).collect();
        let request = Request::post("/v1/outcomes")
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let answer = link.ask(request, Instant::now() + ANSWER).await.ok()?;
        // After a reload the next batch would go to the old address on it.
        if answer.reusable && to == self.address.get() {
            *self.kept.borrow_mut() = Some((link, Instant::now()));
        }
        Some(answer.status)
    }
}
