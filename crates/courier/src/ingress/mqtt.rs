//! MQTT server for clients: the sockets of the state machine in `stairshed-mqtt`, which holds all connections
//! and sessions. The active configuration routes each PUBLISH, and the courier accepts or refuses its
//! message.

use crate::events::{
    ClientOutcome, DEFAULT_RETRY_AFTER, DispatcherEvent, Ingress, Reply, ReplyTo, StateUpdate, Submission,
    refusal_reason,
};
use crate::ingress::active_config::ActiveConfig;
use crate::ingress::listener::Acceptor;
use crate::ingress::rejection::{ConnectionRejecter, Protocol, ReceivedInput, Rejection};
use crate::ingress::session_memory::SessionMemory;
use crate::ingress::session_shares::SessionShares;
use crate::ingress::users::Users;
use crate::memory_budget::{MemoryBudget, MemoryRefusal};
use crate::socket::{PeerWatch, is_transient};
use crate::system_errors::{Operation, RetryPause};
use crate::upstream::outcomes;
use bytes::BytesMut;
use stairshed_clock::{StableClock, StableTime};
use stairshed_journal::Refusal;
use stairshed_memory::{Charge, Client, Purpose};
use stairshed_mqtt::packet::code;
use stairshed_mqtt::server::{self, Answer, Effect, Limits, Outcome, Server};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Prefix of session keys in the journal: `session/USER/CLIENT`.
pub const SESSION_KEY_PREFIX: &str = "session/";
/// Size of the read buffer, which all connections share. It bounds the work between two turns of the other tasks:
/// the smallest packet has two bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Input of a connection from which the input of all connections is checked against its limit.
const LARGE_INPUT_BYTES: usize = 4 * 1024;
/// Limit of the buffered input of all connections together, where memory has no cap.
const MAX_BUFFERED_INPUT_BYTES: u64 = 16 * 1024 * 1024;
/// Share of the memory of clients' connections that buffered input may take; the rest is for connections.
const MAX_INPUT_SHARE: f64 = 0.5;
/// A connection is closed if a packet of its has begun and no more of it arrives for this time.
const PACKET_STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// While more output than this is unread, no input of the connection is read.
const MAX_UNREAD_OUTPUT_BYTES: usize = 8 * 1024;
/// Packets are queued in blocks of up to this size.
const WRITE_BLOCK_BYTES: usize = 4 * 1024;
/// Effects that are applied before other tasks have a turn.
const EFFECTS_PER_TURN: usize = 64;
/// Limit of queued output; the connection to a client that lets more pile up unread is dropped.
const MAX_WRITE_QUEUE_BYTES: usize = 256 * 1024;
/// Time in which a client may read the remaining output while its connection is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of concurrent password checks.
const MAX_PASSWORD_CHECKS: usize = 2;
/// Memory accounted for a connection without its input: its task, its output queue and its part of the state
/// machine.
const CONNECTION_BYTES: u64 = 1_500 + server::CONNECTION_BYTES;
/// A connection without a CONNECT is not evicted before this age: its CONNECT has usually arrived and been
/// read by then.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(10);
/// Age from which a connection without a CONNECT may be closed to free its descriptor.
const MIN_SHED_AGE: Duration = Duration::from_secs(1);

/// What a connection is evicted for.
#[derive(Clone, Copy, PartialEq)]
enum Shortage {
    /// The limit on connections, or memory.
    Room,
    /// The process has no descriptors left.
    Descriptors,
}

impl Shortage {
    /// Age from which a connection without a CONNECT may be evicted.
    fn least_age(self) -> Duration {
        match self {
            Shortage::Room => MIN_EVICTION_AGE,
            Shortage::Descriptors => MIN_SHED_AGE,
        }
    }
}

/// Output of one connection.
struct ConnectionOutput {
    /// The client's address.
    from: IpAddr,
    client: PeerWatch,
    write_queue: RefCell<VecDeque<BytesMut>>,
    queued_bytes: Cell<usize>,
    /// Close once all output is written.
    closing: Cell<bool>,
    /// Set once the connection is evicted: what was read of its CONNECT.
    evicted: RefCell<Option<ReceivedInput>>,
    /// Released at once when the connection is evicted.
    memory: RefCell<Option<Charge>>,
    wake: Notify,
}

impl ConnectionOutput {
    fn new(from: IpAddr, client: PeerWatch, memory: Charge) -> Self {
        ConnectionOutput {
            from,
            client,
            write_queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            closing: Cell::new(false),
            evicted: RefCell::default(),
            memory: RefCell::new(Some(memory)),
            wake: Notify::new(),
        }
    }

    /// Queues bytes to be written.
    fn push(&self, bytes: BytesMut) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        let mut write_queue = self.write_queue.borrow_mut();
        match write_queue.back_mut().filter(|last| last.len() + bytes.len() <= WRITE_BLOCK_BYTES) {
            Some(last) => last.extend_from_slice(&bytes),
            None => write_queue.push_back(bytes),
        }
        self.wake.notify_one();
    }
}

/// Whether a client may connect; if not, the reason code of 5.0 and the reason string for it.
type AuthorizationVerdict = Result<(), (u8, String)>;

/// A connection between its CONNECT and its admission or refusal.
struct Admission {
    connection: u64,
    owner: String,
    /// The client whose share of the sessions it uses; None for one that is not told apart.
    client: Option<Client>,
    /// Memory that a new session of its client takes.
    session_bytes: u64,
}

/// Serves MQTT clients and hands their messages to the courier.
pub struct MqttServer {
    machine: RefCell<Server>,
    clock: StableClock,
    /// When the time of the state machine is zero.
    origin: StableTime,
    outputs: RefCell<HashMap<u64, Rc<ConnectionOutput>>>,
    /// By token, offers that await the courier's reply, with a flag that is set when their client has left.
    pending_offers: RefCell<HashMap<u64, Rc<Cell<bool>>>>,
    memory_budget: MemoryBudget,
    session_memory: RefCell<SessionMemory>,
    session_shares: RefCell<SessionShares>,
    /// Memory of input that is not processed yet, as last measured.
    input_memory: RefCell<Charge>,
    buffer: RefCell<Vec<u8>>,
    /// The turn to read input. One connection has it at a time, for one read, and all other tasks have a turn
    /// before the next: neither a client that sends without end nor many clients at once hold up the others.
    input_turn: Semaphore,
    wake: Notify,
    active_config: ActiveConfig,
    users: Option<Arc<Users>>,
    password_checks: Arc<Semaphore>,
    events: Sender<DispatcherEvent>,
    max_connections: usize,
    /// Answers connections for which there is no capacity.
    rejecter: Rc<ConnectionRejecter>,
}

impl Ingress for MqttServer {
    fn on_reply(&self, token: u64, reply: Reply) {
        self.remove_pending_offer(token);
        let refused = |code, why: &str, wait| Answer::Refused { code, reason: why.to_owned(), wait };
        let default_wait = Some(DEFAULT_RETRY_AFTER);
        let answer = match reply {
            Reply::Accepted => Answer::Accepted,
            Reply::Refused { wait } => {
                refused(code::QUOTA_EXCEEDED, "refused: come again later", wait.or(default_wait))
            }
            Reply::Unavailable => refused(code::QUOTA_EXCEEDED, "not now", default_wait),
            Reply::OutOfMemory(MemoryRefusal { refused: refusal, wait }) => {
                refused(code::QUOTA_EXCEEDED, &refusal.to_string(), Some(wait))
            }
            Reply::TooManyRemembered => refused(
                code::QUOTA_EXCEEDED,
                "as many messages that have ended are remembered as may be",
                default_wait,
            ),
            Reply::JournalRefused(why @ Refusal::DiskUnreliable) => {
                refused(code::IMPLEMENTATION_SPECIFIC, refusal_reason(why), default_wait)
            }
            Reply::JournalRefused(why) => refused(code::QUOTA_EXCEEDED, refusal_reason(why), default_wait),
            Reply::UnknownDestination => {
                refused(code::TOPIC_NAME_INVALID, "the topic's pool has no endpoints", None)
            }
            Reply::Failed => refused(code::UNSPECIFIED_ERROR, "failed", None),
        };
        self.with_machine(|machine, now| machine.offer_answered(token, answer, now));
    }

    fn on_stored(&self, token: u64, kept: Result<(), Refusal>) {
        let kept = kept.map_err(|why| refusal_reason(why).to_owned());
        self.with_machine(|machine, now| machine.record_stored(token, kept, now));
    }

    fn accepts_outcomes(&self, owner: &str) -> bool {
        self.machine.borrow().accepts_outcomes(owner)
    }

    fn measure_memory(&self) {
        let machine = self.machine.borrow();
        self.session_memory.borrow_mut().set_measured(machine.estimated_session_bytes());
        self.input_memory.borrow_mut().resize(machine.estimated_input_bytes());
    }

    fn send_outcome(&self, owner: &str, message: u64, outcome: &ClientOutcome) {
        let line = outcomes::outcome_line(outcome.id, outcome.verdict, outcome.attempts.as_ref());
        self.with_machine(|machine, _| machine.queue_outcome(owner, Outcome { message, line }));
    }
}

impl MqttServer {
    /// `records` are the sessions that a previous run stored in the journal.
    pub fn new(
        limits: Limits,
        (max_connections, memory_budget, rejecter): (usize, MemoryBudget, Rc<ConnectionRejecter>),
        (active_config, users): (ActiveConfig, Option<Users>),
        events: Sender<DispatcherEvent>,
        records: Vec<(String, bytes::Bytes)>,
        clock: StableClock,
    ) -> Rc<MqttServer> {
        let origin = clock.now();
        let mut machine = Server::new(limits, origin, rand::random());
        for (owner, record) in records {
            let text = std::str::from_utf8(&record).unwrap_or_default();
            if !machine.restore(&owner, text, Duration::ZERO) {
                log_line!("mqtt: the session of {owner} cannot be read, and is given up");
            }
        }
        let session_memory = SessionMemory::new(&memory_budget.ledger, machine.estimated_session_bytes());
        Rc::new(MqttServer {
            machine: RefCell::new(machine),
            clock,
            origin,
            outputs: RefCell::default(),
            pending_offers: RefCell::default(),
            session_memory: RefCell::new(session_memory),
            session_shares: RefCell::default(),
            input_memory: RefCell::new(memory_budget.ledger.force_charge(Purpose::Clients, 0)),
            memory_budget,
            buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            input_turn: Semaphore::new(1),
            wake: Notify::new(),
            active_config,
            users: users.map(Arc::new),
            password_checks: Arc::new(Semaphore::new(MAX_PASSWORD_CHECKS)),
            events,
            max_connections,
            rejecter,
        })
    }

    fn with_machine<T>(&self, act: impl FnOnce(&mut Server, Duration) -> T) -> T {
        let result = act(&mut self.machine.borrow_mut(), self.now());
        self.wake.notify_one();
        result
    }

    /// The time of the state machine.
    fn now(&self) -> stairshed_mqtt::Time {
        self.clock.now().saturating_duration_since(self.origin)
    }

    fn remove_pending_offer(&self, token: u64) -> Option<Rc<Cell<bool>>> {
        self.pending_offers.borrow_mut().remove(&token)
    }

    /// Disconnects all clients because the courier stops; their wills are submitted.
    pub fn shutdown(&self) {
        self.with_machine(|machine, now| machine.shutdown(now));
    }

    /// Applies the effects of the state machine until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let mut applied = 0;
            loop {
                let Some(effect) = self.machine.borrow_mut().poll() else { break };
                self.clone().apply_effect(effect).await;
                applied += 1;
                if applied % EFFECTS_PER_TURN == 0 {
                    yield_now().await;
                }
            }
            let due = self.machine.borrow().timeout();
            let timer = async {
                match due {
                    Some(at) => sleep(at.saturating_sub(self.now())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = timer => self.handle_timeouts(),
            }
        }
    }

    /// Ends connections and sessions whose time is up. A client whose input has arrived is not silent, though a process
    /// that was held up has not read it.
    fn handle_timeouts(&self) {
        let outputs = self.outputs.borrow();
        self.with_machine(|machine, now| {
            for connection in machine.due_connections(now) {
                if outputs.get(&connection).is_some_and(|output| output.client.has_unread_input()) {
                    machine.input_arrived(connection, now);
                }
            }
            machine.handle_timeout(now);
        });
    }

    async fn apply_effect(self: Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { connection, bytes } => {
                let Some(output) = self.outputs.borrow().get(&connection).cloned() else { return };
                output.push(bytes);
            }
            Effect::Close { connection } => {
                let Some(output) = self.outputs.borrow_mut().remove(&connection) else { return };
                output.closing.set(true);
                output.wake.notify_one();
            }
            Effect::ResumeReading { connection } => {
                if let Some(output) = self.outputs.borrow().get(&connection) {
                    output.wake.notify_one();
                }
            }
            Effect::Authorize { connection, user, password, owner, will } => {
                let admissible = will.as_ref().map_or(Ok(()), |will| {
                    let publish = server::will_message(will);
                    self.active_config.message_from_publish(&publish, &owner).map(|_| ())
                });
                let admissible = admissible.map_err(|error| (error.code, format!("its will: {}", error.why)));
                let admission = Admission {
                    connection,
                    client: self.client(connection, user.as_deref()),
                    session_bytes: server::session_bytes(&owner, will.as_ref()),
                    owner,
                };
                let admissible = admissible.and_then(|()| self.reserve_session_memory(&admission));
                if admissible.is_err() {
                    return self.finish_admission(&admission, admissible);
                }
                self.check_password(admission, user, password);
            }
            Effect::Offer(offer) => self.submit_offer(*offer).await,
            Effect::AbandonOffer { token } => {
                if let Some(left) = self.remove_pending_offer(token) {
                    left.set(true);
                }
            }
            Effect::StoreSession { token, owner, record } => {
                let key = format!("{SESSION_KEY_PREFIX}{owner}");
                let store = StateUpdate { token, key, value: record.map(bytes::Bytes::from) };
                let _ = self.events.send(DispatcherEvent::StoreState(store)).await;
            }
            Effect::OutcomeDelivered { message } | Effect::OutcomeDropped { message } => {
                let _ = self.events.send(DispatcherEvent::OutcomeNotified { message }).await;
            }
            Effect::Log(text) => log_line!("mqtt: {text}"),
        }
    }

    /// Reserves memory for a client's session. A client that already has a session needs none.
    fn reserve_session_memory(&self, admission: &Admission) -> AuthorizationVerdict {
        let Admission { connection, owner, client, session_bytes } = admission;
        if self.machine.borrow().has_session(owner) {
            return Ok(());
        }
        if self.session_memory.borrow().should_measure(*session_bytes) {
            self.measure_memory();
        }
        if let Some(client) = client
            && !self.may_create_session(client)
        {
            let why = "this client has its share of the sessions".to_owned();
            return Err((code::QUOTA_EXCEEDED, why));
        }
        let reserved = self.session_memory.borrow_mut().reserve(*connection, owner, *session_bytes);
        reserved.map_err(|refused| (code::QUOTA_EXCEEDED, refused.to_string()))
    }

    /// The client that a connection's session and messages count for.
    fn client(&self, connection: u64, user: Option<&str>) -> Option<Client> {
        let from = self.outputs.borrow().get(&connection).map(|output| output.from)?;
        let verified_user = user.filter(|_| self.users.is_some());
        self.active_config.get().1.client_identification.for_session(from, verified_user)
    }

    /// Whether a client may create one more session, by its share of the sessions that there may be and of their
    /// memory.
    fn may_create_session(&self, client: &Client) -> bool {
        let (machine, ledger) = (self.machine.borrow(), &self.memory_budget.ledger);
        let (in_use, _) = machine.counts();
        let of_memory = ledger.held(Purpose::Sessions) as f64 / ledger.cap(Purpose::Sessions) as f64;
        let used = of_memory.max(in_use as f64 / machine.max_sessions() as f64);
        let mut shares = self.session_shares.borrow_mut();
        if shares.len() > in_use {
            shares.retain(|owner| machine.has_session(owner));
        }
        shares.may_create(client, in_use, used, ledger.client_share())
    }

    /// Admits or refuses a connection. Its reservation becomes the memory of its session, or is released.
    fn finish_admission(&self, admission: &Admission, verdict: AuthorizationVerdict) {
        // The session that the client had at its CONNECT may have ended since, and nothing was reserved then.
        let verdict = verdict.and_then(|()| self.reserve_session_memory(admission));
        let verdict_is_ok = verdict.is_ok();
        self.with_machine(|machine, now| machine.authorized(admission.connection, verdict, now));
        let created = self.machine.borrow().has_session(&admission.owner);
        let mut session_memory = self.session_memory.borrow_mut();
        if created {
            session_memory.session_created(&admission.owner);
        }
        if verdict_is_ok && created {
            self.session_shares.borrow_mut().connected(&admission.owner, admission.client.clone());
        }
        session_memory.release(admission.connection);
    }

    /// Checks a password off the serving thread, then admits or refuses the connection.
    fn check_password(
        self: Rc<Self>,
        admission: Admission,
        user: Option<String>,
        password: Option<bytes::Bytes>,
    ) {
        let Some(users) = self.users.clone() else {
            return self.finish_admission(&admission, Ok(()));
        };
        tokio::task::spawn_local(async move {
            let verified = match (user, password, self.password_checks.clone().acquire_owned().await) {
                (Some(user), Some(password), Ok(_permit)) => {
                    let checked = tokio::task::spawn_blocking(move || users.verify(&user, &password));
                    checked.await.unwrap_or(false)
                }
                _ => false,
            };
            let why = (code::BAD_USER_OR_PASSWORD, "no such user, or another password".to_owned());
            let verdict = if verified { Ok(()) } else { Err(why) };
            self.finish_admission(&admission, verdict);
        });
    }

    async fn submit_offer(self: Rc<Self>, offer: server::Offer) {
        let server::Offer { token, owner, publish, bounce, .. } = offer;
        let (message, time_left) = match self.active_config.message_from_publish(&publish, &owner) {
            Ok(read) => read,
            Err(error) => {
                let answer = Answer::Refused { code: error.code, reason: error.why, wait: None };
                return self.with_machine(|machine, now| machine.offer_answered(token, answer, now));
            }
        };
        let client = self.session_shares.borrow().client(&owner);
        let client_account = client.map(|client| self.memory_budget.ledger.client_account(client));
        // Concurrent large payloads must not exhaust the memory: together they have a fixed budget.
        let size = publish.payload.len() as u64;
        let body_charge =
            match self.memory_budget.ledger.try_charge(Purpose::BodiesRead, size, client_account.as_ref()) {
                Ok(charge) => charge,
                Err(refused) => {
                    let refusal = self.memory_budget.refusal(refused);
                    // Other offers do not wait until it is decided on.
                    tokio::task::spawn_local(async move {
                        let reply = self.reply_without_memory(&message.id, refusal).await;
                        self.on_reply(token, reply);
                    });
                    return;
                }
            };
        let abandoned = Rc::new(Cell::new(false));
        self.pending_offers.borrow_mut().insert(token, abandoned.clone());
        let reply = ReplyTo::Ingress { ingress: self.clone(), token, abandoned };
        let submission = Submission {
            accepted: Rc::new(message),
            time_left,
            at: Instant::now(),
            reply,
            bounce,
            body_charge,
            client_account,
        };
        let _ = self.events.send(DispatcherEvent::Submitted(submission)).await;
    }

    /// The reply to an offer for which there is no memory: a duplicate of an accepted message is acknowledged all the
    /// same.
    async fn reply_without_memory(&self, id: &str, refusal: MemoryRefusal) -> Reply {
        let (reply, known) = oneshot::channel();
        // The dispatcher is gone once the courier has stopped.
        let _ = self.events.send(DispatcherEvent::QueryAccepted { id: id.to_owned(), reply }).await;
        match known.await {
            Ok(true) => Reply::Accepted,
            Ok(false) => Reply::OutOfMemory(refusal),
            Err(_) => Reply::Failed,
        }
    }

    /// Accepts connections until the task is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut next = 0;
        let mut acceptor = Acceptor::new(listener);
        loop {
            if self.is_full() && !self.evict(Shortage::Room) {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let (socket, from) = acceptor
                .accept(|| {
                    self.evict(Shortage::Descriptors);
                })
                .await;
            // Memory may have been taken while none connected.
            if self.is_full() {
                self.evict(Shortage::Room);
            }
            let client = self.active_config.get().1.client_identification.for_connection(from.ip());
            let client_account = client.map(|client| self.memory_budget.ledger.client_account(client));
            let ledger = &self.memory_budget.ledger;
            // An address that has used up its share is rejected; others are still admitted.
            match ledger.try_charge(Purpose::Clients, CONNECTION_BYTES, client_account.as_ref()) {
                Ok(memory) => {
                    next += 1;
                    tokio::task::spawn_local(self.clone().serve(next, socket, from.ip(), memory));
                }
                Err(refused) => {
                    let rejection = Rejection::from(self.memory_budget.refusal(refused));
                    self.rejecter.reject(socket, Protocol::Mqtt, rejection, ReceivedInput::Nothing);
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Whether a connection must be evicted before the next one can be admitted.
    fn is_full(&self) -> bool {
        self.outputs.borrow().len() >= self.max_connections
            || self.memory_budget.ledger.room(Purpose::Clients) < CONNECTION_BYTES
    }

    /// Evicts the connection that has waited longest without a CONNECT, if it is old enough. Returns false if
    /// there is none.
    fn evict(&self, shortage: Shortage) -> bool {
        let silent = self.machine.borrow().oldest_without_connect();
        let old = silent.filter(|(_, since)| self.now() > *since + shortage.least_age());
        if let Some((connection, _)) = old {
            let received = self.with_machine(|machine, now| machine.shed(connection, now));
            // Frees its slot at once; the state machine's close effect then finds no output and does nothing.
            if let Some(output) = self.outputs.borrow_mut().remove(&connection) {
                output.memory.take();
                // A client that is told keeps its descriptor for a while.
                if shortage == Shortage::Room {
                    output.evicted.replace(Some(ReceivedInput::part_of_connect(&received)));
                }
                output.closing.set(true);
                output.wake.notify_one();
            }
        }
        old.is_some()
    }

    async fn serve(self: Rc<Self>, connection: u64, socket: TcpStream, from: IpAddr, memory: Charge) {
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        let output = Rc::new(ConnectionOutput::new(from, PeerWatch::new(&socket), memory));
        self.outputs.borrow_mut().insert(connection, output.clone());
        self.with_machine(|machine, now| machine.connection_accepted(connection, now));
        let _ = self.run_io(connection, &socket, &output).await;
        self.connection_ended(connection);
        output.memory.take();
        if let Some(received) = output.evicted.take() {
            // Its CONNECT may already be on its way or partly read.
            let Some(socket) = Rc::into_inner(socket) else { return };
            return self.rejecter.reject(socket, Protocol::Mqtt, Rejection::connections(), received);
        }
        // Writes the remaining output, if the client reads it in time.
        let _ = timeout(CLOSE_TIMEOUT, async {
            let mut pause = RetryPause::default();
            while !output.write_queue.borrow().is_empty() {
                pause.ended().await;
                socket.writable().await?;
                flush_output(&socket, &output, &mut pause)?;
            }
            Ok::<_, io::Error>(())
        })
        .await;
    }

    /// Removes what is left of a connection, whichever side closed it.
    fn connection_ended(&self, connection: u64) {
        self.outputs.borrow_mut().remove(&connection);
        self.with_machine(|machine, now| machine.connection_lost(connection, now));
        self.session_memory.borrow_mut().release(connection);
    }

    /// Reads and writes until the connection fails or is to be closed.
    async fn run_io(&self, connection: u64, socket: &TcpStream, output: &ConnectionOutput) -> io::Result<()> {
        let mut pause = RetryPause::default();
        let mut last_read = Instant::now();
        while !output.closing.get() {
            if output.queued_bytes.get() > MAX_WRITE_QUEUE_BYTES {
                log_line!("mqtt: a client that does not read is left");
                return Err(io::ErrorKind::WriteZero.into());
            }
            let wants_input = self.machine.borrow_mut().wants_input(connection);
            let reads = wants_input && output.queued_bytes.get() <= MAX_UNREAD_OUTPUT_BYTES;
            if !reads {
                last_read = Instant::now();
            }
            let writes = !output.write_queue.borrow().is_empty();
            let is_partial = reads && self.machine.borrow().buffered_input_bytes(connection) > 0;
            let wanted = match (reads, writes) {
                (true, true) => Interest::READABLE | Interest::WRITABLE,
                (true, false) => Interest::READABLE,
                (false, true) => Interest::WRITABLE,
                (false, false) => {
                    // Waits for a password check or for replies to offers, which notify it.
                    output.wake.notified().await;
                    continue;
                }
            };
            let ready = async {
                pause.ended().await;
                socket.ready(wanted).await
            };
            tokio::select! {
                () = output.wake.notified() => {}
                () = sleep_until(last_read + PACKET_STALL_TIMEOUT), if is_partial => {
                    if !output.client.has_unread_input() {
                        self.with_machine(|machine, now| machine.input_stalled(connection, now));
                    }
                    last_read = Instant::now();
                }
                ready = ready => {
                    let ready = ready?;
                    if ready.is_writable() {
                        flush_output(socket, output, &mut pause)?;
                    }
                    if reads && (ready.is_readable() || ready.is_read_closed()) {
                        let Ok(_turn) = self.input_turn.acquire().await else { return Ok(()) };
                        // What an evicted connection sends is read by the rejecter.
                        if output.closing.get() {
                            continue;
                        }
                        if self.read_input(connection, socket, &mut pause)? {
                            last_read = Instant::now();
                        }
                        self.finish_turn().await;
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads once from a connection and processes what was read. Returns false if nothing was.
    fn read_input(&self, connection: u64, socket: &TcpStream, pause: &mut RetryPause) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        match socket.try_read(&mut buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                pause.reset();
                self.with_machine(|machine, now| {
                    machine.received(connection, &buffer[..n], now);
                    if machine.buffered_input_bytes(connection) > LARGE_INPUT_BYTES {
                        machine.limit_buffered_input(self.max_buffered_input(), now);
                    }
                });
                return Ok(true);
            }
            Err(e) if is_transient(Operation::SocketRead, &e) => {}
            Err(e) if pause.start_after(Operation::SocketRead, &e) => {}
            Err(e) => return Err(e),
        }
        Ok(false)
    }

    /// Lets all other tasks have a turn, until the effects of the last read are applied.
    async fn finish_turn(&self) {
        yield_now().await;
        while self.machine.borrow().has_effects() {
            yield_now().await;
        }
    }

    /// Limit of the buffered input of all connections together, in bytes.
    fn max_buffered_input(&self) -> u64 {
        let cap = self.memory_budget.ledger.cap(Purpose::Clients);
        MAX_BUFFERED_INPUT_BYTES.min((cap as f64 * MAX_INPUT_SHARE) as u64)
    }
}

/// Writes queued output without blocking, as far as the socket accepts it. Starts a pause if the system has no
/// memory for it.
fn flush_output(socket: &TcpStream, output: &ConnectionOutput, pause: &mut RetryPause) -> io::Result<()> {
    let mut write_queue = output.write_queue.borrow_mut();
    let slices: Vec<io::IoSlice> = write_queue.iter().take(64).map(|b| io::IoSlice::new(b)).collect();
    if slices.is_empty() {
        return Ok(());
    }
    let mut written = match socket.try_write_vectored(&slices) {
        Ok(n) => n,
        Err(e) if is_transient(Operation::SocketWrite, &e) => return Ok(()),
        Err(e) if pause.start_after(Operation::SocketWrite, &e) => return Ok(()),
        Err(e) => return Err(e),
    };
    pause.reset();
    output.queued_bytes.set(output.queued_bytes.get() - written);
    while let Some(first) = write_queue.front_mut() {
        let part = written.min(first.len());
        bytes::Buf::advance(first, part);
        written -= part;
        if !first.is_empty() {
            break;
        }
        write_queue.pop_front();
    }
    Ok(())
}

#[cfg(test)]
#[path = "mqtt_test.rs"]
mod tests;
