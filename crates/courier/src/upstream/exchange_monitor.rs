//! Monitors a response while it is being received, and reports a requested wait before the response is
//! complete.

use crate::events::DispatcherEvent;
use crate::upstream::http_connection::{ProgressHandle, ResponseProgress};
use stairshed_decide::interface::{EndpointId, Outcome};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::ops::ControlFlow;
use std::pin::pin;
use std::task::Poll;
use tokio::sync::mpsc::Sender;

/// Monitors one exchange once it has a connection. A wait that the response requests is reported before the
/// rest of the response has arrived, which may take longer than the courier may ignore a wait.
pub struct ExchangeMonitor {
    endpoint: EndpointId,
    events: Sender<DispatcherEvent>,
    handle: RefCell<Option<ProgressHandle>>,
    /// Whether the wait has been reported to the dispatcher.
    wait_reported: Cell<bool>,
}

impl ExchangeMonitor {
    /// A monitor for an exchange with this endpoint. Reports go to the dispatcher through `events`.
    pub fn new(endpoint: EndpointId, events: Sender<DispatcherEvent>) -> Self {
        ExchangeMonitor { endpoint, events, handle: RefCell::default(), wait_reported: Cell::default() }
    }

    /// Starts monitoring the connection of the exchange.
    pub fn attach(&self, handle: ProgressHandle) {
        self.handle.replace(Some(handle));
    }

    /// What has been received so far; empty before there is a connection.
    pub fn progress(&self) -> ResponseProgress {
        self.handle.borrow().as_ref().map(ProgressHandle::progress).unwrap_or_default()
    }

    /// The requested wait, if it has not been reported yet.
    fn unreported_wait(&self) -> Option<DispatcherEvent> {
        let until = self.progress().blocked_until.filter(|_| !self.wait_reported.get())?;
        Some(DispatcherEvent::BackoffRequested { endpoint: self.endpoint, until })
    }

    /// Reports a requested wait if the channel has room.
    pub fn try_report_wait(&self) {
        if let Some(wait) = self.unreported_wait() {
            self.wait_reported.set(self.events.try_send(wait).is_ok());
        }
    }

    /// Reports how the exchange ended, preceded by an unreported wait unless `outcome` includes it.
    pub async fn finish(self, event: DispatcherEvent, outcome: Outcome) {
        let reports_wait =
            matches!(outcome, Outcome::Full { wait: Some(_) } | Outcome::Refused { wait: Some(_) });
        if let Some(wait) = self.unreported_wait().filter(|_| !reports_wait) {
            // The receiver is gone once the courier has stopped.
            let _ = self.events.send(wait).await;
        }
        let _ = self.events.send(event).await;
    }
}

/// Number of polls after which all received data has been processed: hyper yields one body chunk per poll,
/// and a body has few chunks.
const MAX_FINAL_POLLS: usize = 16;

/// Polls `work` to completion and calls `watch` after each poll that leaves it pending. Returns None if
/// `watch` breaks and `work` cannot complete with the data that has already arrived.
pub async fn run_monitored<F: Future>(work: F, watch: impl Fn() -> ControlFlow<()>) -> Option<F::Output> {
    let mut work = pin!(work);
    poll_fn(|cx| {
        let mut poll = work.as_mut().poll(cx);
        if poll.is_ready() || watch().is_continue() {
            return poll.map(Some);
        }
        // The whole response may have arrived: hyper yields one body chunk per poll.
        for _ in 0..MAX_FINAL_POLLS {
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
