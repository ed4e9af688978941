//! Rejects connections for which there is no capacity. Each gets the reason and a retry delay in its own
//! protocol and a lingering close, so that no TCP reset destroys the answer. One task serves them all.
//! [`stairshed_memory::RejectedConnections`] decides which connections are answered, which are displaced and for how long; this module
//! owns their sockets.

use crate::events::DEFAULT_RETRY_AFTER;
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::socket;
use crate::system_errors::{Operation, RetryPause};
use futures_util::stream::{FuturesUnordered, StreamExt};
use stairshed_memory::rejected_connections::{
    LINGER_TIMEOUT, MAX_CONCURRENT, MAX_DISCARDED_BYTES, REQUEST_TIMEOUT, RejectionOutcome,
};
use stairshed_memory::{Purpose, Reason, Reserve};
use stairshed_mqtt::frame::encode;
use stairshed_mqtt::packet::{Packet, Version, code};
use stairshed_mqtt::server::{refusal, wait_property};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

/// Memory of one rejection: its future and its entries in the queue and in the bookkeeping. Reserved for all
/// at the start, so that rejecting a connection needs no further memory.
const REJECTION_BYTES: u64 = 500;
/// Size of one read of input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;
/// Bytes needed to recognise the client's protocol: an MQTT CONNECT up to its protocol level.
const PREFIX_BYTES: usize = 16;

/// Protocol of the listening port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Http,
    Mqtt,
}

/// What was read from a connection before it is rejected.
pub enum ReceivedInput {
    Nothing,
    /// Part of an HTTP request.
    HttpRequest,
    /// The beginning of an MQTT CONNECT.
    Connect {
        prefix: [u8; PREFIX_BYTES],
        len: usize,
    },
}

impl ReceivedInput {
    /// The received part of a CONNECT. Only its first bytes are kept, which show the client's protocol.
    pub fn part_of_connect(bytes: &[u8]) -> ReceivedInput {
        if bytes.is_empty() {
            return ReceivedInput::Nothing;
        }
        let mut prefix = [0; PREFIX_BYTES];
        let len = bytes.len().min(PREFIX_BYTES);
        prefix[..len].copy_from_slice(&bytes[..len]);
        ReceivedInput::Connect { prefix, len }
    }

    /// Whether this is part of a request, so that the connection is owed an answer.
    fn is_request_started(&self) -> bool {
        !matches!(self, ReceivedInput::Nothing)
    }
}

/// Why a connection is rejected, and when its client may retry.
#[derive(Clone, Debug)]
pub struct Rejection {
    reason: Reason,
    message: String,
    wait: Duration,
}

impl From<MemoryRefusal> for Rejection {
    fn from(MemoryRefusal { refused, wait }: MemoryRefusal) -> Self {
        Rejection { reason: refused.reason(), message: refused.to_string(), wait }
    }
}

impl Rejection {
    /// The connection limit is reached, and this connection ranked lowest.
    pub fn connections() -> Self {
        let message = "as many clients are connected as may be".to_owned();
        Rejection { reason: Reason::Connections, message, wait: DEFAULT_RETRY_AFTER }
    }
}

/// A connection that is being rejected.
struct RejectedConnection {
    id: u64,
    stream: TcpStream,
    protocol: Protocol,
    rejection: Rejection,
    received: ReceivedInput,
    /// Notified when another rejection takes its slot; it is then closed at once.
    displaced: Rc<Notify>,
}

/// Rejects connections for which there is no capacity.
pub struct ConnectionRejecter {
    memory_budget: MemoryBudget,
    queue: Sender<RejectedConnection>,
    /// By id, notifies a connection that it lost its slot.
    displaced: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Shared buffer for input that is discarded.
    discard_buffer: RefCell<Vec<u8>>,
    _reserve: Reserve,
}

impl ConnectionRejecter {
    /// Starts the task that serves all rejections.
    pub fn start(memory_budget: &MemoryBudget) -> Rc<ConnectionRejecter> {
        // The queue may also hold as many connections again that have already lost their slot.
        let (queue, receiver) = channel(2 * MAX_CONCURRENT);
        let reserve = memory_budget.ledger.force_reserve(
            Purpose::Clients,
            REJECTION_BYTES * MAX_CONCURRENT as u64 + DISCARD_BUFFER_BYTES as u64,
        );
        let this = Rc::new(ConnectionRejecter {
            memory_budget: memory_budget.clone(),
            queue,
            displaced: RefCell::default(),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
            _reserve: reserve,
        });
        tokio::task::spawn_local(this.clone().run(receiver));
        this
    }

    /// Takes over a connection and tells its client why it is rejected. `received` is what was already read
    /// from it. At the limit of concurrent rejections the connection is closed without an answer.
    pub fn reject(
        &self,
        stream: TcpStream,
        protocol: Protocol,
        rejection: Rejection,
        received: ReceivedInput,
    ) {
        let mut rejected_connections = self.memory_budget.rejected_connections.borrow_mut();
        let Some(slot) = rejected_connections.admit(received.is_request_started()) else {
            return rejected_connections.closed(None, rejection.reason, RejectionOutcome::Untold);
        };
        let mut open = self.displaced.borrow_mut();
        if let Some(displaced) = slot.evicted.and_then(|id| open.remove(&id)) {
            displaced.notify_one();
        }
        let (id, reason, displaced) = (slot.id, rejection.reason, Rc::new(Notify::new()));
        match self.queue.try_send(RejectedConnection {
            id,
            stream,
            protocol,
            rejection,
            received,
            displaced: displaced.clone(),
        }) {
            Ok(()) => drop(open.insert(id, displaced)),
            Err(_) => rejected_connections.closed(Some(id), reason, RejectionOutcome::Untold),
        }
    }

    async fn run(self: Rc<Self>, mut queue: Receiver<RejectedConnection>) {
        let mut rejections = FuturesUnordered::new();
        loop {
            let now = self.memory_budget.now();
            let (log_line, next_log) = {
                let mut rejected_connections = self.memory_budget.rejected_connections.borrow_mut();
                (rejected_connections.take_log_line(now), rejected_connections.log_due())
            };
            if let Some(log_line) = log_line {
                log_line!("{log_line}");
            }
            let pause = next_log.map(|next_log| next_log.saturating_sub(now).max(Duration::from_millis(1)));
            tokio::select! {
                next = queue.recv() => match next {
                    Some(connection) => rejections.push(self.reject_one(connection)),
                    None => return,
                },
                Some(()) = rejections.next() => {}
                () = sleep(pause.unwrap_or_default()), if pause.is_some() => {}
            }
        }
    }

    async fn reject_one(&self, mut connection: RejectedConnection) {
        let (id, reason, displaced) =
            (connection.id, connection.rejection.reason, connection.displaced.clone());
        let outcome = tokio::select! {
            biased;
            () = displaced.notified() => RejectionOutcome::Silent,
            outcome = self.send_rejection(&mut connection) => outcome,
        };
        drop(connection);
        self.displaced.borrow_mut().remove(&id);
        self.memory_budget.rejected_connections.borrow_mut().closed(Some(id), reason, outcome);
    }

    /// Waits until the client has sent part of a request, then answers. An answer sent before any request
    /// would be taken for the answer to the next request, or for a protocol error.
    async fn send_rejection(&self, connection: &mut RejectedConnection) -> RejectionOutcome {
        let RejectedConnection { stream, protocol, rejection, .. } = connection;
        let request_started = connection.received.is_request_started();
        let (mut prefix, mut prefix_len) = match connection.received {
            ReceivedInput::Connect { prefix, len } => (prefix, len),
            ReceivedInput::Nothing | ReceivedInput::HttpRequest => ([0; PREFIX_BYTES], 0),
        };
        let answer = loop {
            if request_started || prefix_len > 0 {
                match rejection_bytes(*protocol, &prefix[..prefix_len], rejection) {
                    Some(text) if text.is_empty() => return RejectionOutcome::Silent,
                    Some(text) => break text,
                    None => {}
                }
            }
            match timeout(REQUEST_TIMEOUT, socket::read(stream, &mut prefix[prefix_len..])).await {
                Ok(Ok(n)) if n > 0 => prefix_len += n,
                _ => return RejectionOutcome::Silent,
            }
        };
        self.memory_budget.rejected_connections.borrow_mut().request_started(connection.id);
        let sent = timeout(LINGER_TIMEOUT, async {
            socket::write_all(stream, &answer).await?;
            stream.shutdown().await
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            return RejectionOutcome::Untold;
        }
        // Closing with unread input makes TCP send a reset, which destroys an answer that is not read yet.
        let _ = timeout(LINGER_TIMEOUT, self.drain(stream)).await;
        RejectionOutcome::Told
    }
}

impl ConnectionRejecter {
    /// Reads and discards further input, up to `DRAINED` bytes.
    async fn drain(&self, stream: &TcpStream) -> io::Result<()> {
        let (mut total, mut pause) = (0, RetryPause::default());
        while total < MAX_DISCARDED_BYTES {
            pause.ended().await;
            stream.readable().await?;
            match stream.try_read(&mut self.discard_buffer.borrow_mut()) {
                Ok(0) => break,
                Ok(n) => total += n as u64,
                Err(e) if socket::is_transient(Operation::SocketRead, &e) => {}
                Err(e) if pause.start_after(Operation::SocketRead, &e) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// The encoded answer, once `prefix` shows which protocol the client uses: `None` until then, empty for
/// another protocol.
fn rejection_bytes(protocol: Protocol, prefix: &[u8], rejection: &Rejection) -> Option<Vec<u8>> {
    if protocol == Protocol::Mqtt {
        return connack(prefix, rejection);
    }
    let (reason, message, wait) = (rejection.reason, &rejection.message, rejection.wait.as_secs_f64());
    let body = format!("not taken on: {message}\n");
    let head = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: text/plain";
    let length = body.len();
    let text = format!(
        "{head}\r\nretry-after: {wait:.3}\r\nx-reason: {reason}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    Some(text.into())
}

/// CONNACK in the version of the CONNECT that begins with `prefix`. `None` and empty as in
/// [`rejection_bytes`].
fn connack(prefix: &[u8], rejection: &Rejection) -> Option<Vec<u8>> {
    if prefix.first().is_some_and(|kind| *kind != 0x10) {
        return Some(Vec::new());
    }
    // The remaining length takes one to four bytes; the protocol name, with its length, and its level follow.
    let length = prefix.iter().skip(1).position(|byte| byte & 0x80 == 0)? + 1;
    if length > 4 {
        return Some(Vec::new());
    }
    let name = prefix.get(1 + length..)?;
    let level = *name.get(6)?;
    if !name.starts_with(b"\0\x04MQTT") {
        return Some(Vec::new());
    }
    let version = match level {
        5 => Version::V5,
        4 => Version::V311,
        _ => return Some(Vec::new()),
    };
    let mut properties = wait_property(Some(rejection.wait));
    properties.push(("x-reason".to_owned(), rejection.reason.to_string()));
    let connack = refusal(version, code::QUOTA_EXCEEDED, &rejection.message, properties);
    let written = connack.map(|connack| encode(version, Packet::Connack(Box::new(connack)), None));
    Some(written.and_then(Result::ok).map(|bytes| bytes.to_vec()).unwrap_or_default())
}
