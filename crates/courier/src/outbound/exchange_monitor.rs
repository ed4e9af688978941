//! What is heard of an answer while its exchange goes on, and what of it is passed on at once.

use crate::events::CourierEvent;
use crate::outbound::http_connection::{ProgressHandle, ResponseProgress};
use stairshed_decide::interface::{EndpointId, Outcome};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::ops::ControlFlow;
use std::pin::pin;
use std::task::Poll;
use tokio::sync::mpsc::Sender;

/// What is heard on the connection of one exchange, once it has one. A wait that its answer tells is passed on before the
/// rest of that has come, which may take longer than a wait may be ignored.
pub struct ExchangeMonitor {
    endpoint: EndpointId,
    news: Sender<CourierEvent>,
    listener: RefCell<Option<ProgressHandle>>,
    /// The dispatcher has been told of the wait.
    wait_told: Cell<bool>,
}

impl ExchangeMonitor {
    /// For an exchange with this endpoint; `news` reaches the dispatcher.
    pub fn new(endpoint: EndpointId, news: Sender<CourierEvent>) -> Self {
        ExchangeMonitor { endpoint, news, listener: RefCell::default(), wait_told: Cell::default() }
    }

    /// The exchange has its connection.
    pub fn to(&self, listener: ProgressHandle) {
        self.listener.replace(Some(listener));
    }

    /// What it has shown so far.
    pub fn heard(&self) -> ResponseProgress {
        self.listener.borrow().as_ref().map(ProgressHandle::heard).unwrap_or_default()
    }

    /// The wait that nobody has been told of yet.
    fn untold_wait(&self) -> Option<CourierEvent> {
        let until = self.heard().blocked_until.filter(|_| !self.wait_told.get())?;
        Some(CourierEvent::BackoffRequested { endpoint: self.endpoint, until })
    }

    /// Passes a wait on if that can be done at once.
    pub fn try_tell_wait(&self) {
        if let Some(wait) = self.untold_wait() {
            self.wait_told.set(self.news.try_send(wait).is_ok());
        }
    }

    /// Tells how the exchange has ended, and a wait before it that this does not tell.
    pub async fn end(self, news: CourierEvent, outcome: Outcome) {
        let tells = matches!(outcome, Outcome::Full { wait: Some(_) });
        if let Some(wait) = self.untold_wait().filter(|_| !tells) {
            // Nobody is left to hear it once the courier has stopped.
            let _ = self.news.send(wait).await;
        }
        let _ = self.news.send(news).await;
    }
}

/// Polls after which nothing of what has been read is left to be passed on: a few pieces of a body.
const MAX_LAST_POLLS: usize = 16;

/// Runs `work` to its end, and `watch` each time that it has gone on but not ended. None once `watch` says that the end
/// need not be awaited.
pub async fn watched<F: Future>(work: F, watch: impl Fn() -> ControlFlow<()>) -> Option<F::Output> {
    let mut work = pin!(work);
    poll_fn(|cx| {
        let mut poll = work.as_mut().poll(cx);
        if poll.is_ready() || watch().is_continue() {
            return poll.map(Some);
        }
        // All of it may be here: the library passes on a piece of a body with each poll.
        for _ in 0..MAX_LAST_POLLS {
            if poll.is_ready() {
                break;
            }
            poll = work.as_mut().poll(cx);
        }
        match poll {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending => Poll::Ready(None),
        }
    })
    .await
}
