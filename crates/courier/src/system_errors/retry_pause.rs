//! The pause before a call on a socket is repeated, for code that is polled.

use super::backoff::Backoff;
use super::policy::Operation;
use super::record::policy_of;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::time::{Sleep, sleep};

/// The pauses between calls in one direction of a connection.
#[derive(Debug, Default)]
pub struct RetryPause {
    backoff: Backoff,
    timer: Option<Pin<Box<Sleep>>>,
}

impl RetryPause {
    /// Starts a pause if the policy of this error is to repeat the call after one. Returns whether it is.
    pub fn start_after(&mut self, operation: Operation, error: &io::Error) -> bool {
        let pauses = policy_of(operation, error).pauses();
        if let Some(bounds) = pauses {
            self.timer = Some(Box::pin(sleep(self.backoff.next_pause(bounds))));
        }
        pauses.is_some()
    }

    /// Starts again at the shortest pause, after a success.
    pub fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Ready if there is no pause or it has ended.
    pub fn poll_end(&mut self, cx: &mut Context) -> Poll<()> {
        if let Some(timer) = &mut self.timer {
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
        Poll::Ready(())
    }

    /// Waits until there is no pause. A call that is cancelled shortens none.
    pub async fn ended(&mut self) {
        poll_fn(|cx| self.poll_end(cx)).await;
    }
}
