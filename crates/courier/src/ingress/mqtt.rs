//! MQTT clients' side: sockets around the state machine of `stairshed-mqtt`, which holds all connections and
//! sessions. What a PUBLISH means is asked of the routes in effect, what becomes of it of the courier.

use crate::clock::unix_time;
use crate::events::{
    CourierEvent, DEFAULT_RETRY_AFTER, Frontend, Reply, ReplyTo, StateUpdate, Submission, refusal_reason,
};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::rejection::{ConnectionRejecter, Speaks, Why};
use crate::ingress::users::Users;
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::outbound::outcomes;
use crate::socket::is_transient;
use bytes::BytesMut;
use stairshed_journal::{Refusal, Verdict};
use stairshed_memory::{Charge, Purpose};
use stairshed_mqtt::packet::code;
use stairshed_mqtt::server::{self, Answer, Effect, Limits, Outcome, Server};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Notes of sessions in the journal: `session/USER/CLIENT`.
pub const SESSION_KEY_PREFIX: &str = "session/";
/// Bytes that are read at once, into a buffer that all connections share.
const READ: usize = 16 * 1024;
/// A client that lets so many bytes pile up unread is left.
const OUT_MOST: usize = 256 * 1024;
/// How long a connection that is being closed may take to read the rest.
const LINGER: Duration = Duration::from_secs(2);
/// Passwords that are checked at once.
const CHECKS: usize = 2;
/// What a connection takes beside its part of the state machine: its task and its line.
const LINE_BYTES: u64 = 1_500;
/// A newcomer's CONNECT is mostly there already and read by then.
const FRESH: Duration = Duration::from_millis(10);

/// A connection's way out.
struct Line {
    out: RefCell<VecDeque<BytesMut>>,
    held: Cell<usize>,
    /// To be closed once all is written.
    closing: Cell<bool>,
    wake: Notify,
}

pub struct MqttServer {
    machine: RefCell<Server>,
    origin: Instant,
    lines: RefCell<HashMap<u64, Rc<Line>>>,
    /// By token, offers that are being judged: whether their client has left.
    judged: RefCell<HashMap<u64, Rc<Cell<bool>>>>,
    room: MemoryBudget,
    /// What sessions take, as last measured.
    sessions: RefCell<Charge>,
    buffer: RefCell<Vec<u8>>,
    wake: Notify,
    active_config: ActiveConfig,
    users: Option<Arc<Users>>,
    checks: Arc<Semaphore>,
    news: Sender<CourierEvent>,
    connections: usize,
    /// Tells those that there is no room for.
    rejecter: Rc<ConnectionRejecter>,
}

impl Frontend for MqttServer {
    fn on_reply(&self, token: u64, reply: Reply) {
        self.judged_no_more(token);
        let refused = |code, why: &str, wait| Answer::Refused { code, why: why.to_owned(), wait };
        let later = Some(DEFAULT_RETRY_AFTER);
        let answer = match reply {
            Reply::Accepted => Answer::Taken,
            Reply::Refused { wait } => {
                refused(code::QUOTA_EXCEEDED, "refused: come again later", wait.or(later))
            }
            Reply::Unavailable => refused(code::QUOTA_EXCEEDED, "not now", later),
            Reply::OutOfMemory(MemoryRefusal { refused: no, wait }) => {
                refused(code::QUOTA_EXCEEDED, &no.to_string(), Some(wait))
            }
            Reply::TooManyRemembered => refused(
                code::QUOTA_EXCEEDED,
                "as many messages that have ended are remembered as may be",
                later,
            ),
            Reply::JournalRefused(why @ Refusal::DiskFails) => {
                refused(code::IMPLEMENTATION_SPECIFIC, refusal_reason(why), later)
            }
            Reply::JournalRefused(why) => refused(code::QUOTA_EXCEEDED, refusal_reason(why), later),
            Reply::UnknownDestination => {
                refused(code::TOPIC_NAME_INVALID, "the topic's pool has no endpoints", None)
            }
            Reply::Failed => refused(code::UNSPECIFIED_ERROR, "failed", None),
        };
        self.with(|machine, now| machine.replied(token, answer, now));
    }

    fn on_stored(&self, token: u64, kept: Result<(), Refusal>) {
        let kept = kept.map_err(|why| refusal_reason(why).to_owned());
        self.with(|machine, now| machine.stored(token, kept, now));
    }

    fn accepts_outcomes(&self, owner: &str) -> bool {
        self.machine.borrow().hears(owner)
    }

    fn measure_memory(&self) {
        let bytes = self.machine.borrow().weigh();
        self.sessions.borrow_mut().set(bytes);
    }

    fn send_outcome(&self, owner: &str, message: u64, id: &str, verdict: Option<Verdict>) {
        let line = outcomes::outcome_line(id, verdict);
        self.with(|machine, _| machine.outcome(owner, Outcome { message, line }));
    }
}

impl MqttServer {
    /// `records` are the sessions of an earlier life.
    pub fn new(
        limits: Limits,
        (connections, room, rejecter): (usize, MemoryBudget, Rc<ConnectionRejecter>),
        (active_config, users): (ActiveConfig, Option<Users>),
        news: Sender<CourierEvent>,
        records: Vec<(String, bytes::Bytes)>,
    ) -> Rc<MqttServer> {
        let mut machine = Server::new(limits, unix_time(), rand::random());
        for (owner, record) in records {
            let text = std::str::from_utf8(&record).unwrap_or_default();
            if !machine.restore(&owner, text, Duration::ZERO) {
                eprintln!("mqtt: the session of {owner} cannot be read, and is given up");
            }
        }
        Rc::new(MqttServer {
            machine: RefCell::new(machine),
            origin: Instant::now(),
            lines: RefCell::default(),
            judged: RefCell::default(),
            sessions: RefCell::new(room.ledger.force(Purpose::Sessions, 0)),
            room,
            buffer: RefCell::new(vec![0; READ]),
            wake: Notify::new(),
            active_config,
            users: users.map(Arc::new),
            checks: Arc::new(Semaphore::new(CHECKS)),
            news,
            connections,
            rejecter,
        })
    }

    fn with<T>(&self, act: impl FnOnce(&mut Server, Duration) -> T) -> T {
        let done = act(&mut self.machine.borrow_mut(), self.origin.elapsed());
        self.wake.notify_one();
        done
    }

    fn judged_no_more(&self, token: u64) -> Option<Rc<Cell<bool>>> {
        self.judged.borrow_mut().remove(&token)
    }

    /// Tells all clients that the courier stops; wills of theirs are handed in.
    pub fn shutdown(&self) {
        self.with(|machine, now| machine.shutdown(now));
    }

    /// Does what the state machine asks for, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            loop {
                let Some(effect) = self.machine.borrow_mut().poll() else { break };
                self.clone().obey(effect).await;
            }
            let due = self.machine.borrow().timeout();
            let nap = async {
                match due {
                    Some(at) => sleep_until(self.origin + at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = nap => self.with(|machine, now| machine.elapsed(now)),
            }
        }
    }

    async fn obey(self: Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { connection, bytes } => {
                let Some(line) = self.lines.borrow().get(&connection).cloned() else { return };
                line.held.set(line.held.get() + bytes.len());
                line.out.borrow_mut().push_back(bytes);
                line.wake.notify_one();
            }
            Effect::Close { connection } => {
                let Some(line) = self.lines.borrow_mut().remove(&connection) else { return };
                line.closing.set(true);
                line.wake.notify_one();
            }
            Effect::Ready { connection } => {
                if let Some(line) = self.lines.borrow().get(&connection) {
                    line.wake.notify_one();
                }
            }
            Effect::Admit { connection, user, password, owner, will } => {
                let fit = will.as_ref().map_or(Ok(()), |will| {
                    let publish = server::will_message(will);
                    self.active_config.publish(&publish, &owner).map(|_| ())
                });
                let fit = fit.map_err(|unfit| (unfit.code, format!("its will: {}", unfit.why)));
                let fit = fit.and_then(|()| self.has_room(&owner));
                if fit.is_err() {
                    return self.with(|machine, now| machine.admitted(connection, fit, now));
                }
                self.check(connection, user, password);
            }
            Effect::Offer(offer) => self.offer(*offer).await,
            Effect::Desert { token } => {
                if let Some(left) = self.judged_no_more(token) {
                    left.set(true);
                }
            }
            Effect::Store { token, owner, record } => {
                let key = format!("{SESSION_KEY_PREFIX}{owner}");
                let store = StateUpdate { token, key, value: record.map(bytes::Bytes::from) };
                let _ = self.news.send(CourierEvent::StoreState(store)).await;
            }
            Effect::Told { message } | Effect::Untold { message } => {
                let _ = self.news.send(CourierEvent::OutcomeNotified { message }).await;
            }
            Effect::Log(text) => eprintln!("mqtt: {text}"),
        }
    }

    /// Whether there is memory for a client's session. One that has its session already is let in.
    fn has_room(&self, owner: &str) -> Result<(), (u8, String)> {
        if self.machine.borrow().has_session(owner) {
            return Ok(());
        }
        // It counts at once, and as what it is when sessions are measured next.
        let fits = self.sessions.borrow_mut().grow(server::SESSION);
        fits.map_err(|refused| (code::QUOTA_EXCEEDED, refused.to_string()))
    }

    /// Checks a password off the serving thread.
    fn check(self: Rc<Self>, connection: u64, user: Option<String>, password: Option<bytes::Bytes>) {
        let Some(users) = self.users.clone() else {
            return self.with(|machine, now| machine.admitted(connection, Ok(()), now));
        };
        tokio::task::spawn_local(async move {
            let good = match (user, password, self.checks.clone().acquire_owned().await) {
                (Some(user), Some(password), Ok(_permit)) => {
                    let checked = tokio::task::spawn_blocking(move || users.admit(&user, &password));
                    checked.await.unwrap_or(false)
                }
                _ => false,
            };
            let why = (code::BAD_USER_OR_PASSWORD, "no such user, or another password".to_owned());
            let verdict = if good { Ok(()) } else { Err(why) };
            self.with(|machine, now| machine.admitted(connection, verdict, now));
        });
    }

    async fn offer(self: Rc<Self>, offer: server::Offer) {
        let server::Offer { token, owner, publish, bounce, .. } = offer;
        let (letter, time_left) = match self.active_config.publish(&publish, &owner) {
            Ok(read) => read,
            Err(unfit) => {
                let answer = Answer::Refused { code: unfit.code, why: unfit.why, wait: None };
                return self.with(|machine, now| machine.replied(token, answer, now));
            }
        };
        let guest = Some(self.room.ledger.guest(self.active_config.get().1.telling.session(&owner)));
        // Many large payloads at once must not take the memory: together they have a fixed room.
        let size = publish.payload.len() as u64;
        let body_charge = match self.room.ledger.take(Purpose::BodiesRead, size, guest.as_ref()) {
            Ok(charge) => charge,
            // What repeats a message that is taken on is acknowledged, whatever memory there is.
            Err(_) if self.knows(&letter.id).await => return self.on_reply(token, Reply::Accepted),
            Err(refused) => return self.on_reply(token, Reply::OutOfMemory(self.room.refusal(refused))),
        };
        let abandoned = Rc::new(Cell::new(false));
        self.judged.borrow_mut().insert(token, abandoned.clone());
        let reply = ReplyTo::Frontend { frontend: self.clone(), token, abandoned };
        let offer = Submission {
            letter: Rc::new(letter),
            time_left,
            at: Instant::now(),
            reply,
            bounce,
            body_charge,
            guest,
        };
        let _ = self.news.send(CourierEvent::Submitted(offer)).await;
    }

    /// Whether a message of this id is taken on.
    async fn knows(&self, id: &str) -> bool {
        let (reply, known) = oneshot::channel();
        let asked = self.news.send(CourierEvent::QueryAccepted { id: id.to_owned(), reply }).await;
        asked.is_ok() && known.await.unwrap_or(false)
    }

    /// Accepts clients until the task is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut next = 0;
        loop {
            let full = self.lines.borrow().len() >= self.connections
                || self.room.ledger.room(Purpose::Clients) < LINE_BYTES;
            if full && !self.shed() {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            match listener.accept().await {
                Ok((socket, from)) => {
                    let client = self.active_config.get().1.telling.connection(from.ip());
                    let guest = client.map(|client| self.room.ledger.guest(client));
                    let room = self.room.ledger.take(Purpose::Clients, LINE_BYTES, guest.as_ref());
                    // One address with its share of the connections is turned away, and others get in.
                    match room {
                        Ok(room) => {
                            next += 1;
                            tokio::task::spawn_local(self.clone().serve(next, socket, room));
                        }
                        Err(refused) => {
                            let why = Why::from(self.room.refusal(refused));
                            self.rejecter.turn_away(socket, Speaks::Mqtt, why, false);
                        }
                    }
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    eprintln!("mqtt: cannot accept: {e}");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Makes room: the connection that has been without a CONNECT for longest goes, if there is one.
    fn shed(&self) -> bool {
        let silent = self.machine.borrow().silent();
        let old = silent.filter(|(_, since)| self.origin.elapsed() > *since + FRESH);
        if let Some((connection, _)) = old {
            self.with(|machine, now| machine.shed(connection, now));
            // Its place is free at once: the effect only closes the socket.
            if let Some(line) = self.lines.borrow_mut().remove(&connection) {
                line.closing.set(true);
                line.wake.notify_one();
            }
        }
        old.is_some()
    }

    async fn serve(self: Rc<Self>, connection: u64, socket: TcpStream, room: Charge) {
        let _ = socket.set_nodelay(true);
        let line = Rc::new(Line {
            out: RefCell::default(),
            held: Cell::new(0),
            closing: Cell::new(false),
            wake: Notify::new(),
        });
        self.lines.borrow_mut().insert(connection, line.clone());
        self.with(|machine, now| machine.accepted(connection, now));
        let done = self.converse(connection, &socket, &line).await;
        if done.is_err() {
            self.lines.borrow_mut().remove(&connection);
            self.with(|machine, now| machine.lost(connection, now));
        }
        drop(room);
        // What was to be said last is said, if the client takes it in time.
        let _ = timeout(LINGER, async {
            while !line.out.borrow().is_empty() {
                socket.writable().await?;
                write(&socket, &line)?;
            }
            Ok::<_, io::Error>(())
        })
        .await;
    }

    /// Reads and writes until the connection ends, or is to be closed.
    async fn converse(&self, connection: u64, socket: &TcpStream, line: &Line) -> io::Result<()> {
        while !line.closing.get() {
            if line.held.get() > OUT_MOST {
                eprintln!("mqtt: a client that does not read is left");
                return Err(io::ErrorKind::WriteZero.into());
            }
            let reads = self.machine.borrow_mut().reads(connection);
            let writes = !line.out.borrow().is_empty();
            let wanted = match (reads, writes) {
                (true, true) => Interest::READABLE | Interest::WRITABLE,
                (true, false) => Interest::READABLE,
                (false, true) => Interest::WRITABLE,
                (false, false) => {
                    // Judged, or waiting for answers: they wake it.
                    line.wake.notified().await;
                    continue;
                }
            };
            tokio::select! {
                () = line.wake.notified() => {}
                ready = socket.ready(wanted) => {
                    let ready = ready?;
                    if ready.is_writable() {
                        write(socket, line)?;
                    }
                    if reads && (ready.is_readable() || ready.is_read_closed()) {
                        let mut buffer = self.buffer.borrow_mut();
                        match socket.try_read(&mut buffer) {
                            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                            Ok(n) => self.with(|machine, now| machine.received(connection, &buffer[..n], now)),
                            Err(e) if is_transient(&e) => {}
                            Err(e) => return Err(e),
                        }
                    }
                }
            }
        }
        Ok(())
    }
}

/// Writes what waits, as far as the socket takes it.
fn write(socket: &TcpStream, line: &Line) -> io::Result<()> {
    let mut out = line.out.borrow_mut();
    let slices: Vec<io::IoSlice> = out.iter().take(64).map(|b| io::IoSlice::new(b)).collect();
    if slices.is_empty() {
        return Ok(());
    }
    let mut written = match socket.try_write_vectored(&slices) {
        Ok(n) => n,
        Err(e) if is_transient(&e) => return Ok(()),
        Err(e) => return Err(e),
    };
    line.held.set(line.held.get() - written);
    while let Some(first) = out.front_mut() {
        let part = written.min(first.len());
        bytes::Buf::advance(first, part);
        written -= part;
        if !first.is_empty() {
            break;
        }
        out.pop_front();
    }
    Ok(())
}
