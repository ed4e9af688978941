//! State that the HTTP server shares with its connections, the admin pages and the dispatcher.

use crate::ingress::client_connection::ClientConnection;
use crate::ingress::connection_counters::{CloseCause, ConnectionCounters, OpenConnections};
use crate::ingress::unfinished_request::UnfinishedRequests;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::iter;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// State of the server that its connections, the admin pages and the courier share.
#[derive(Default)]
pub struct ServerState {
    /// Answer of the readiness check.
    pub ready: Cell<bool>,
    /// Shutdown has begun: each answer closes its connection.
    pub stopping: Cell<bool>,
    /// Open connections by id; each is notified at shutdown.
    pub connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    pub next_id: Cell<u64>,
    /// Answers connections that are closed within a request.
    pub unfinished_requests: UnfinishedRequests,
    /// Counts closed connections.
    pub counters: ConnectionCounters,
    /// The task that accepts connections; replaced when the listening address changes.
    accept_task: RefCell<Option<AbortHandle>>,
}

impl ServerState {
    /// Numbers of open connections.
    pub fn open_connections(&self) -> OpenConnections {
        self.connections.borrow().values().map(|connection| connection.state.get()).collect()
    }

    /// Replaces the task that accepts connections.
    pub fn set_accept_task(&self, task: AbortHandle) {
        *self.accept_task.borrow_mut() = Some(task);
    }

    /// Stops accepting connections.
    pub fn close_listener(&self) {
        if let Some(task) = self.accept_task.borrow_mut().take() {
            task.abort();
        }
    }

    /// Turns readiness off and closes idle connections; the others close after their answer.
    pub fn begin_shutdown(&self) {
        self.ready.set(false);
        self.stopping.set(true);
        self.connections.borrow().values().for_each(|connection| connection.graceful_close.notify_one());
    }

    /// Ends all connections, since the process ends soon: each closes, after an answer if part of a request was
    /// read.
    pub fn end_connections(&self) {
        self.connections.borrow().values().for_each(|connection| connection.end.notify_one());
    }

    /// Whether all connections are closed, and all their answers written.
    pub fn is_drained(&self) -> bool {
        self.connections.borrow().is_empty() && self.unfinished_requests.is_empty()
    }

    /// Evicts the connection with the lowest rank. Returns false if none may be evicted.
    pub fn evict(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        // If more than a quarter cannot be evicted yet, waits: in a flood of new connections the silent ones
        // become evictable within `MIN_EVICTION_AGE`, and go before connections that have served requests.
        if connections.values().filter(|connection| connection.eviction_rank().is_none()).count() * 4
            > connections.len()
        {
            return false;
        }
        let ranked = connections.iter().filter_map(|(id, connection)| {
            Some(Reverse((connection.eviction_rank()?, connection.since.get(), *id)))
        });
        let mut lowest_first = BinaryHeap::from_iter(ranked);
        let mut ids = iter::from_fn(|| lowest_first.pop().map(|Reverse((_, _, id))| id));
        // Rarely is more than the first one looked at.
        let evictable = ids.find(|id| connections.get(id).is_some_and(|found| found.can_be_evicted()));
        let connection = evictable.and_then(|id| connections.remove(&id));
        let evicted = connection.inspect(|connection| {
            connection.abort.notify_one();
            connection.memory.take();
        });
        evicted.is_some()
    }

    /// Closes the connection that has been idle longest, if it may be, to free its descriptor.
    pub fn shed_idle(&self) {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.iter().filter(|(_, connection)| connection.can_be_shed());
        let oldest = idle.min_by_key(|(_, connection)| connection.since.get()).map(|(id, _)| *id);
        if let Some(connection) = oldest.and_then(|id| connections.remove(&id)) {
            connection.abort_cause.set(CloseCause::Shed);
            connection.abort.notify_one();
        }
    }
}
