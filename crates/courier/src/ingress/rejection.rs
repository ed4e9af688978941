//! Sees off connections that there is no room for: each is told why and when to come back, whatever it speaks, and is
//! closed so that no reset overtakes the answer. One task has them all. Who is seen off, who gives way and for how
//! long is decided by [`Partings`]; this owns the sockets meanwhile.

use crate::events::DEFAULT_RETRY_AFTER;
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::socket::is_transient;
use futures_util::stream::{FuturesUnordered, StreamExt};
use stairshed_memory::partings::{DRAINED, How, LINGER, LISTEN, MOST};
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

/// What one that is seen off takes: its future, its place in the queue and in the book. Set aside for all at the
/// start, so that saying no needs no room of its own.
const PLACE_BYTES: u64 = 500;
/// Bytes that are read at once of what is not wanted.
const SCRATCH: usize = 8 * 1024;
/// Bytes from which can be told what a client speaks: of MQTT's CONNECT up to its version.
const FIRST: usize = 16;

/// What is spoken on the port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    Http,
    Mqtt,
}

/// Why a connection is turned away.
#[derive(Clone, Debug)]
pub struct Why {
    reason: Reason,
    words: String,
    wait: Duration,
}

impl From<MemoryRefusal> for Why {
    fn from(MemoryRefusal { refused, wait }: MemoryRefusal) -> Self {
        Why { reason: refused.reason(), words: refused.to_string(), wait }
    }
}

impl Why {
    /// As many are connected as may be, and this one was of the least use.
    pub fn connections() -> Self {
        let words = "as many clients are connected as may be".to_owned();
        Why { reason: Reason::Connections, words, wait: DEFAULT_RETRY_AFTER }
    }
}

/// A connection on its way out.
struct Leaving {
    id: u64,
    stream: TcpStream,
    speaks: Speaks,
    why: Why,
    /// Part of a request has been read already.
    heard: bool,
    /// Another has its place.
    gone: Rc<Notify>,
}

/// Where connections are handed to that there is no room for.
pub struct ConnectionRejecter {
    room: MemoryBudget,
    queue: Sender<Leaving>,
    /// By id, how to tell one that its place is another's.
    gone: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// What is read from all of them goes here, and is forgotten.
    scratch: RefCell<Vec<u8>>,
    _reserve: Reserve,
}

impl ConnectionRejecter {
    /// Starts the one task that sees them off.
    pub fn start(room: &MemoryBudget) -> Rc<ConnectionRejecter> {
        // As many again may stand in the queue whose place is another's by now.
        let (queue, leaving) = channel(2 * MOST);
        let reserve = room.ledger.force_reserve(Purpose::Clients, PLACE_BYTES * MOST as u64 + SCRATCH as u64);
        let this = Rc::new(ConnectionRejecter {
            room: room.clone(),
            queue,
            gone: RefCell::default(),
            scratch: RefCell::new(vec![0; SCRATCH]),
            _reserve: reserve,
        });
        tokio::task::spawn_local(this.clone().run(leaving));
        this
    }

    /// Takes a connection over, to tell its client why there is no room for it. `heard` says that part of a request
    /// was read from it.
    pub fn turn_away(&self, stream: TcpStream, speaks: Speaks, why: Why, heard: bool) {
        let mut book = self.room.partings.borrow_mut();
        let Some(place) = book.admit(heard) else { return book.ended(None, why.reason, How::Untold) };
        let mut all = self.gone.borrow_mut();
        if let Some(gone) = place.instead_of.and_then(|id| all.remove(&id)) {
            gone.notify_one();
        }
        let (id, reason, gone) = (place.id, why.reason, Rc::new(Notify::new()));
        match self.queue.try_send(Leaving { id, stream, speaks, why, heard, gone: gone.clone() }) {
            Ok(()) => drop(all.insert(id, gone)),
            Err(_) => book.ended(Some(id), reason, How::Untold),
        }
    }

    async fn run(self: Rc<Self>, mut queue: Receiver<Leaving>) {
        let mut open = FuturesUnordered::new();
        loop {
            let now = self.room.now();
            let (line, due) = {
                let mut book = self.room.partings.borrow_mut();
                (book.line(now), book.log_due())
            };
            if let Some(line) = line {
                eprintln!("{line}");
            }
            let pause = due.map(|due| due.saturating_sub(now).max(Duration::from_millis(1)));
            tokio::select! {
                next = queue.recv() => match next {
                    Some(leaving) => open.push(self.see_off(leaving)),
                    None => return,
                },
                Some(()) = open.next() => {}
                () = sleep(pause.unwrap_or_default()), if pause.is_some() => {}
            }
        }
    }

    async fn see_off(&self, mut leaving: Leaving) {
        let (id, reason, gone) = (leaving.id, leaving.why.reason, leaving.gone.clone());
        let how = tokio::select! {
            biased;
            () = gone.notified() => How::Silent,
            how = self.tell(&mut leaving) => how,
        };
        drop(leaving);
        self.gone.borrow_mut().remove(&id);
        self.room.partings.borrow_mut().ended(Some(id), reason, how);
    }

    /// Waits until the client has asked for something, and answers. An answer to nothing would be taken for one to
    /// whatever it sends next, or for a fault.
    async fn tell(&self, leaving: &mut Leaving) -> How {
        let Leaving { stream, speaks, why, .. } = leaving;
        let (mut first, mut seen) = ([0; FIRST], 0);
        let goodbye = loop {
            if leaving.heard || seen > 0 {
                match goodbye(*speaks, &first[..seen], why) {
                    Some(text) if text.is_empty() => return How::Silent,
                    Some(text) => break text,
                    None => {}
                }
            }
            match timeout(LISTEN, read(stream, &mut first[seen..])).await {
                Ok(Ok(n)) if n > 0 => seen += n,
                _ => return How::Silent,
            }
        };
        self.room.partings.borrow_mut().heard(leaving.id);
        let told = timeout(LINGER, async {
            stream.write_all(&goodbye).await?;
            stream.shutdown().await
        });
        if !matches!(told.await, Ok(Ok(()))) {
            return How::Untold;
        }
        // A close with bytes unread is a reset, which destroys the answer where it has not been read yet.
        let _ = timeout(LINGER, self.drain(stream)).await;
        How::Told
    }
}

impl ConnectionRejecter {
    /// Reads what still comes, up to a bound, and forgets it.
    async fn drain(&self, stream: &TcpStream) -> io::Result<()> {
        let mut all = 0;
        while all < DRAINED {
            stream.readable().await?;
            match stream.try_read(&mut self.scratch.borrow_mut()) {
                Ok(0) => break,
                Ok(n) => all += n as u64,
                Err(e) if is_transient(&e) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Reads what is there; 0 at the end.
async fn read(stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(into) {
            Err(e) if is_transient(&e) => {}
            done => return done,
        }
    }
}

/// What a client is told, once `first` shows what it speaks; None until it does, nothing where it is something else.
fn goodbye(speaks: Speaks, first: &[u8], why: &Why) -> Option<Vec<u8>> {
    if speaks == Speaks::Mqtt {
        return connack(first, why);
    }
    let (reason, words, wait) = (why.reason, &why.words, why.wait.as_secs_f64());
    let body = format!("not taken on: {words}\n");
    let head = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: text/plain";
    let length = body.len();
    let text = format!(
        "{head}\r\nretry-after: {wait:.3}\r\nx-reason: {reason}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    Some(text.into())
}

/// CONNACK in the version of a CONNECT, of which `first` is the beginning.
fn connack(first: &[u8], why: &Why) -> Option<Vec<u8>> {
    if first.first().is_some_and(|kind| *kind != 0x10) {
        return Some(Vec::new());
    }
    // The remaining length has one to four bytes; then come the protocol's name, with its length, and its level.
    let length = first.iter().skip(1).position(|byte| byte & 0x80 == 0)? + 1;
    if length > 4 {
        return Some(Vec::new());
    }
    let name = first.get(1 + length..)?;
    let level = *name.get(6)?;
    if !name.starts_with(b"\0\x04MQTT") {
        return Some(Vec::new());
    }
    let version = match level {
        5 => Version::V5,
        4 => Version::V311,
        _ => return Some(Vec::new()),
    };
    let mut properties = wait_property(Some(why.wait));
    properties.push(("x-reason".to_owned(), why.reason.to_string()));
    let connack = refusal(version, code::QUOTA_EXCEEDED, &why.words, properties);
    let written = connack.map(|connack| encode(version, Packet::Connack(Box::new(connack)), None));
    Some(written.and_then(Result::ok).map(|bytes| bytes.to_vec()).unwrap_or_default())
}
