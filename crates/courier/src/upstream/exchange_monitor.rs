//! Monitors a response while it is being received, and reports a requested wait before the response is
//! complete.

use crate::events::DispatcherEvent;
use crate::upstream::answer_profiles::AnswerProfiles;
use crate::upstream::http_connection::{ProgressHandle, ResponseProgress};
use stairshed_decide::interface::{DestinationId, EndpointId, Outcome};
use stairshed_health::answers::AnswerProfile;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::ops::ControlFlow;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use tokio::sync::mpsc::Sender;

/// Monitors one exchange once it has a connection. A wait that the response requests is reported before the
/// rest of the response has arrived, which may take longer than the courier may ignore a wait.
pub struct ExchangeMonitor {
    endpoint: EndpointId,
    /// The destination of the message; None for a probe.
    destination: Option<DestinationId>,
    answer_profiles: Rc<AnswerProfiles>,
    events: Sender<DispatcherEvent>,
    handle: RefCell<Option<ProgressHandle>>,
    /// Whether the wait has been reported to the dispatcher.
    wait_reported: Cell<bool>,
}

impl ExchangeMonitor {
    /// A monitor for an exchange with this endpoint of a destination; the destination is None for a probe.
    /// Reports go to the dispatcher through `events`.
    pub fn new(
        endpoint: EndpointId,
        destination: Option<DestinationId>,
        answer_profiles: Rc<AnswerProfiles>,
        events: Sender<DispatcherEvent>,
    ) -> Self {
        let (handle, wait_reported) = (RefCell::default(), Cell::default());
        ExchangeMonitor { endpoint, destination, answer_profiles, events, handle, wait_reported }
    }

    /// The profile that holds now for the response.
    pub fn profile(&self) -> Arc<AnswerProfile> {
        self.answer_profiles.current(self.destination)
    }

    /// Starts monitoring the connection of the exchange.
    pub fn attach(&self, handle: ProgressHandle) {
        self.handle.replace(Some(handle));
    }

    /// What has been received so far; empty before there is a connection.
    pub fn progress(&self) -> ResponseProgress {
        self.handle.borrow().as_ref().map(ProgressHandle::progress).unwrap_or_default()
    }

    /// Whether a byte of the request has been written.
    pub fn is_request_started(&self) -> bool {
        self.handle.borrow().as_ref().is_some_and(ProgressHandle::is_request_started)
    }

    /// The requested wait, if it has not been reported yet.
    fn unreported_wait(&self) -> Option<DispatcherEvent> {
        if self.wait_reported.get() {
            return None;
        }
        let profile = self.profile();
        let until = self.progress().blocked_until(&profile)?;
        let scope = profile.wait_scope();
        Some(DispatcherEvent::BackoffRequested { endpoint: self.endpoint, until, scope })
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

/// Polls `work` to completion, and calls `check` before each poll.
///
/// # Errors
/// That of `work`, or the first one of `check`, after which `work` is not polled any more.
pub async fn run_checked<T, E>(
    work: impl Future<Output = Result<T, E>>,
    check: impl Fn() -> Result<(), E>,
) -> Result<T, E> {
    let mut work = pin!(work);
    poll_fn(|cx| {
        if let Err(error) = check() {
            return Poll::Ready(Err(error));
        }
        work.as_mut().poll(cx)
    })
    .await
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
