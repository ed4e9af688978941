//! The connection of one session on an MQTT broker: the socket I/O for the protocol state machine of
//! `stairshed-mqtt`. Any number of endpoints may use it.

use crate::events::{AfterAttempt, CallResult, DispatcherEvent};
use crate::socket::is_transient;
use crate::system_errors::{Operation, RetryPause, report};
use crate::upstream::broker_session::BrokerSession;
use crate::upstream::endpoint_client::BrokerTarget;
use bytes::Bytes;
use stairshed_clock::{StableClock, StableTime};
use stairshed_config::file::{self, MqttVersion};
use stairshed_decide::interface::{Effect, EndpointId, Outcome};
use stairshed_journal::AcceptedMessage;
use stairshed_mqtt::client::{self, AttemptResult, Client, Message, Options};
use stairshed_mqtt::packet::Publish;
use stairshed_mqtt::{Qos, Version};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep_until};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads from a connection that is broken.
const MAX_FINAL_READS: usize = 16;
/// Longer than this process runs.
const NEVER: Duration = Duration::from_secs(1 << 32);

/// Settings of a connection; which messages are published, and how, does not depend on them.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    pub broker: file::Broker,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Folder that the path of the password file is relative to.
    pub folder: PathBuf,
}

/// A message in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// Number of the attempt.
    attempt: u32,
    endpoint: EndpointId,
}

/// An attempt to deliver a message through a broker, by this process or a previous one.
pub struct BrokerAttempt<'a> {
    pub message: u64,
    /// Number of the attempt.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub accepted: &'a AcceptedMessage,
    pub target: &'a BrokerTarget,
    pub effect: Effect,
    /// When the first attempt that may have run was sent: receivers remember a key from then.
    pub first_sent_at: StableTime,
}

/// The connection of one session, served by a task of its own.
pub struct BrokerConnection {
    session: Rc<BrokerSession>,
    settings: RefCell<ConnectionSettings>,
    origin: Instant,
    clock: StableClock,
    mqtt_client: RefCell<Client>,
    /// Messages in flight.
    attempts: RefCell<HashMap<u64, InFlight>>,
    wake: Notify,
    stopped: Cell<bool>,
}

/// Reads the password from the first line of a file.
fn password(folder: &Path, file: &Path) -> io::Result<Bytes> {
    let text = std::fs::read_to_string(folder.join(file))?;
    Ok(Bytes::from(text.lines().next().unwrap_or_default().to_owned()))
}

/// Options of the protocol state machine. Without a readable password file there is no password.
fn client_options(session: &BrokerSession, settings: &ConnectionSettings) -> Options {
    let broker = &settings.broker;
    let password = broker.password_file.as_ref().and_then(|file| {
        let read = password(&settings.folder, file);
        read.inspect_err(|e| {
            let (address, file) = (session.address, file.display());
            log_line!("mqtt: {address}: its password cannot be read, and none is sent: {file}: {e}");
        })
        .ok()
    });
    Options {
        version: match broker.version {
            MqttVersion::V311 => Version::V311,
            MqttVersion::V5 => Version::V5,
        },
        client: session.client.clone(),
        user: broker.user.clone(),
        password,
        // The configuration check ensures that these values fit.
        keep_alive: u16::try_from(broker.keep_alive.0.as_secs()).unwrap_or(u16::MAX),
        expiry: u32::try_from(broker.session_expiry.0.as_secs()).unwrap_or(u32::MAX - 1),
        connect_timeout: settings.connect_timeout,
        in_flight: broker.in_flight,
    }
}

impl BrokerConnection {
    /// Creates the connection of a session and starts its task.
    pub fn start(
        session: Rc<BrokerSession>,
        settings: ConnectionSettings,
        clock: StableClock,
        events: Sender<DispatcherEvent>,
    ) -> Rc<BrokerConnection> {
        let options = client_options(&session, &settings);
        let broker = Rc::new(BrokerConnection {
            session,
            settings: RefCell::new(settings),
            origin: Instant::now(),
            clock,
            mqtt_client: RefCell::new(Client::new(options)),
            attempts: RefCell::default(),
            wake: Notify::new(),
            stopped: Cell::new(false),
        });
        tokio::task::spawn_local(broker.clone().run(events));
        broker
    }

    /// Uses these settings from the next connection on. Returns whether that was possible: not while a message
    /// is in flight.
    pub fn reconfigure(&self, settings: &ConnectionSettings) -> bool {
        if *self.settings.borrow() == *settings {
            return true;
        }
        // Looked at first: building the options reads the password file.
        if self.is_busy() {
            return false;
        }
        let options = client_options(&self.session, settings);
        let changed = self.mqtt_client.borrow_mut().reconfigure(options);
        if changed {
            *self.settings.borrow_mut() = settings.clone();
            self.wake.notify_one();
        }
        changed
    }

    /// Whether any message is in flight to the broker.
    pub fn is_busy(&self) -> bool {
        self.in_flight() > 0
    }

    /// Number of messages in flight to the broker.
    pub fn in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Whether this message is in flight to the broker.
    pub fn has_message(&self, message: u64) -> bool {
        self.attempts.borrow().contains_key(&message)
    }

    /// Updates the state machine and wakes the task to handle its effects.
    fn with_client(&self, update: impl FnOnce(&mut Client, Duration)) {
        self.update_client(update);
        self.wake.notify_one();
    }

    /// Updates the state machine without a wake-up, for the task itself, which would otherwise wake itself
    /// endlessly.
    fn update_client(&self, update: impl FnOnce(&mut Client, Duration)) {
        update(&mut self.mqtt_client.borrow_mut(), self.origin.elapsed());
    }

    /// Reserves a packet id; None if the in-flight limit is reached.
    pub fn reserve_packet_id(&self) -> Option<u16> {
        self.mqtt_client.borrow_mut().reserve()
    }

    /// Publishes a message with a reserved packet id.
    pub fn publish(&self, attempt: &BrokerAttempt, response_timeout: Duration) {
        let message = self.begin(attempt, response_timeout);
        self.with_client(|mqtt_client, now| mqtt_client.publish(attempt.target.id, message, now));
    }

    /// Restores an attempt of a previous process. `released` if its PUBREC had arrived.
    pub fn resume(&self, attempt: &BrokerAttempt, released: bool) {
        let response_timeout = attempt.accepted.deadline.saturating_duration_since(self.clock.now());
        let message = self.begin(attempt, response_timeout);
        self.with_client(|mqtt_client, now| mqtt_client.resume(attempt.target.id, message, released, now));
    }

    /// Notes an attempt as in flight, and returns its message for the state machine.
    fn begin(&self, attempt: &BrokerAttempt, response_timeout: Duration) -> Message {
        let BrokerAttempt { accepted, target, effect, first_sent_at, .. } = *attempt;
        let in_flight = InFlight { attempt: attempt.attempt, endpoint: attempt.endpoint };
        self.attempts.borrow_mut().insert(attempt.message, in_flight);
        Message {
            number: attempt.message,
            group: u64::from(attempt.endpoint.0),
            publish: self.packet(accepted, target),
            response_timeout,
            until: self.deadline(accepted),
            retransmit_until: self.retransmit_until(target.qos, effect, first_sent_at),
        }
    }

    /// The deadline of a message on the clock of this connection.
    fn deadline(&self, accepted: &AcceptedMessage) -> Duration {
        self.origin.elapsed() + accepted.deadline.saturating_duration_since(self.clock.now())
    }

    /// Until when a message may be retransmitted at QoS 1, where the broker may treat a retransmission as a new
    /// message. `first_sent_at` is the time of the first attempt that may have run: receivers remember a key from
    /// then.
    fn retransmit_until(&self, qos: Qos, effect: Effect, first_sent_at: StableTime) -> Duration {
        let now = self.origin.elapsed();
        match effect {
            Effect::Keyed { window, .. } => {
                // A window that is not provably open counts as closed.
                let elapsed = self.clock.proven_duration(first_sent_at, self.clock.now());
                now + elapsed.map_or(Duration::ZERO, |elapsed| window.saturating_sub(elapsed))
            }
            Effect::Once if qos == Qos::AtLeastOnce => now,
            Effect::Repeatable | Effect::Once => NEVER,
        }
    }

    /// The PUBLISH of a message.
    fn packet(&self, accepted: &AcceptedMessage, target: &BrokerTarget) -> Publish {
        let left = accepted.deadline.saturating_duration_since(self.clock.now());
        let mut properties = vec![("X-Request-ID".to_owned(), accepted.id.clone())];
        properties.extend(accepted.key.iter().map(|key| ("Idempotency-Key".to_owned(), key.clone())));
        properties.extend(accepted.routed.iter().flat_map(|r| r.headers.iter().cloned()));
        let seconds = left.as_secs() + u64::from(left.subsec_nanos() > 0);
        Publish {
            expiry: Some(u32::try_from(seconds.max(1)).unwrap_or(u32::MAX)),
            properties,
            ..Publish::new(&target.topic, target.qos, None, accepted.body.clone())
        }
    }

    /// Limits the retransmission of a message to what its class allows now. `first_sent_at` is the time of its
    /// first attempt that may have run.
    pub fn limit_retransmission(&self, message: u64, effect: Effect, first_sent_at: StableTime) {
        // At QoS 2 a retransmission cannot run again, and the limit is not used.
        let until = self.retransmit_until(Qos::AtLeastOnce, effect, first_sent_at);
        self.mqtt_client.borrow_mut().limit_retransmission(message, until);
    }

    /// Numbers of the messages in flight.
    pub fn messages(&self) -> Vec<u64> {
        self.attempts.borrow().keys().copied().collect()
    }

    /// Excludes a packet id from use while the session lasts.
    pub fn block_packet_id(&self, id: u16) {
        self.with_client(|mqtt_client, now| mqtt_client.block_packet_id(id, now));
    }

    /// Confirms that the PUBREC of a packet id is in the journal, so that PUBREL may be sent.
    pub fn release_recorded(&self, id: u16) {
        self.with_client(|mqtt_client, now| mqtt_client.pubrec_recorded(id, now));
    }

    /// Confirms that the resumption of the session is in the journal.
    pub fn resume_recorded(&self) {
        self.with_client(|mqtt_client, now| mqtt_client.resuming_recorded(now));
    }

    /// Cancels a message if nothing of it has been written; otherwise its delivery goes on.
    pub fn cancel(&self, message: u64) {
        self.with_client(|mqtt_client, _| mqtt_client.cancel(message));
    }

    /// Stops sending new messages of an endpoint after `grace`. Messages in flight are completed.
    pub fn drain_after(&self, endpoint: EndpointId, grace: Duration) {
        self.with_client(|mqtt_client, now| {
            mqtt_client.drain_group(u64::from(endpoint.0), now + grace, now);
        });
    }

    /// Resumes sending new messages of an endpoint.
    pub fn cancel_drain(&self, endpoint: EndpointId) {
        self.with_client(|mqtt_client, _| mqtt_client.cancel_drain(u64::from(endpoint.0)));
    }

    /// Sets whether any endpoint uses the session. Otherwise its connection is closed once nothing is in flight.
    pub fn set_in_use(&self, in_use: bool) {
        self.with_client(|mqtt_client, now| mqtt_client.set_close_when_idle(!in_use, now));
    }

    /// Disconnects if nothing is in flight. The broker keeps the session as configured.
    pub fn disconnect_if_idle(&self) {
        self.with_client(|mqtt_client, _| mqtt_client.close_if_idle());
    }

    /// Ends the task once nothing is in flight; the endpoint has been removed.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify_one();
    }

    /// Serves the connection until it is stopped.
    async fn run(self: Rc<Self>, events: Sender<DispatcherEvent>) {
        let mut socket: Option<TcpStream> = None;
        let mut connecting: Option<Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>> = None;
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        let mut pause = RetryPause::default();
        loop {
            loop {
                let Some(effect) = self.mqtt_client.borrow_mut().poll() else { break };
                match effect {
                    client::Effect::Open => {
                        socket = None;
                        connecting = Some(Box::pin(TcpStream::connect(self.session.address)));
                    }
                    client::Effect::Close { final_bytes } => {
                        if let Some(socket) = socket.take() {
                            // If the socket cannot take it at once, the broker sees an unclean disconnect.
                            let _ = socket.try_write(&final_bytes);
                        }
                        connecting = None;
                    }
                    other => self.report(other, &events).await,
                }
            }
            if self.stopped.get() && !self.is_busy() {
                return;
            }
            let next_timeout = self.mqtt_client.borrow().timeout();
            let timer = async {
                match next_timeout {
                    Some(at) => sleep_until(self.origin + at).await,
                    None => std::future::pending().await,
                }
            };
            let interest = match self.mqtt_client.borrow().has_output() {
                true => Interest::READABLE | Interest::WRITABLE,
                false => Interest::READABLE,
            };
            let ready = async {
                pause.ended().await;
                match &socket {
                    Some(socket) => socket.ready(interest).await,
                    None => std::future::pending().await,
                }
            };
            let connected = async {
                match &mut connecting {
                    Some(connecting) => connecting.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.wake.notified() => self.update_client(|mqtt_client, now| mqtt_client.handle_timeout(now)),
                () = timer => self.update_client(|mqtt_client, now| mqtt_client.handle_timeout(now)),
                result = connected => {
                    connecting = None;
                    match result {
                        Ok(stream) => {
                            let _ = stream.set_nodelay(true);
                            socket = Some(stream);
                            pause = RetryPause::default();
                            self.update_client(|mqtt_client, now| mqtt_client.connection_opened(now));
                        }
                        Err(e) => {
                            report(Operation::ConnectBroker, &e);
                            self.update_client(|mqtt_client, now| mqtt_client.connection_lost(now));
                        }
                    }
                }
                ready = ready => {
                    let result = match (&socket, ready) {
                        (Some(socket), Ok(ready)) => {
                            let readable = ready.is_readable();
                            let read = if readable { self.read(socket, &mut bytes, &mut pause) } else { Ok(()) };
                            let writable = ready.is_writable();
                            read.and_then(|()| if writable { self.write(socket, &mut pause) } else { Ok(()) })
                        }
                        (_, Err(e)) => Err(e),
                        (None, _) => Ok(()),
                    };
                    if result.is_err() {
                        if let Some(socket) = socket.take() {
                            self.read_rest(socket, &mut bytes);
                        }
                        self.update_client(|mqtt_client, now| mqtt_client.connection_lost(now));
                    }
                }
            }
        }
    }

    /// Reports an effect of the state machine to the dispatcher, or logs it.
    async fn report(&self, effect: client::Effect, events: &Sender<DispatcherEvent>) {
        let session = self.session.clone();
        let event = match effect {
            client::Effect::RecordPubrec { id, message } => {
                DispatcherEvent::PubrecReceived { session, id, message }
            }
            client::Effect::RecordResuming => DispatcherEvent::SessionResuming { session, pending: true },
            client::Effect::ClearResuming => DispatcherEvent::SessionResuming { session, pending: false },
            client::Effect::FreePacketId { id, .. } => DispatcherEvent::PacketIdFreed { session, id },
            client::Effect::Ended { message, end, .. } => {
                let Some(in_flight) = self.attempts.borrow_mut().remove(&message) else { return };
                let InFlight { attempt, endpoint } = in_flight;
                DispatcherEvent::CallEnded { message, attempt, endpoint, end: call_end_of(end) }
            }
            client::Effect::Log(text) => {
                log_line!("mqtt: {}: {text}", self.session.address);
                return;
            }
            client::Effect::Open | client::Effect::Close { .. } => return,
        };
        // The receiver outlives the broker connections.
        let _ = events.send(event).await;
    }

    /// Writes pending output.
    fn write(&self, socket: &TcpStream, pause: &mut RetryPause) -> io::Result<()> {
        let written = {
            let mqtt_client = self.mqtt_client.borrow();
            let mut slices = Vec::new();
            mqtt_client.output(&mut slices);
            if slices.is_empty() {
                return Ok(());
            }
            socket.try_write_vectored(&slices)
        };
        match written {
            Ok(n) => {
                pause.reset();
                self.mqtt_client.borrow_mut().bytes_written(n, self.origin.elapsed());
                Ok(())
            }
            Err(e) if is_transient(Operation::SocketWrite, &e) => Ok(()),
            Err(e) if pause.start_after(Operation::SocketWrite, &e) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Passes what a broken connection still holds to the state machine: a DISCONNECT with the reason, or
    /// acknowledgements.
    fn read_rest(&self, socket: TcpStream, bytes: &mut [u8]) {
        // It stays non-blocking.
        let Ok(mut socket) = socket.into_std() else { return };
        for _ in 0..MAX_FINAL_READS {
            match socket.read(bytes) {
                Ok(0) => return,
                Ok(n) => self.mqtt_client.borrow_mut().received(&bytes[..n], self.origin.elapsed()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Passes received bytes to the state machine.
    fn read(&self, socket: &TcpStream, bytes: &mut [u8], pause: &mut RetryPause) -> io::Result<()> {
        match socket.try_read(bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                pause.reset();
                self.mqtt_client.borrow_mut().received(&bytes[..n], self.origin.elapsed());
                Ok(())
            }
            Err(e) if is_transient(Operation::SocketRead, &e) => Ok(()),
            Err(e) if pause.start_after(Operation::SocketRead, &e) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Maps the end of an MQTT delivery to an outcome of the scheduler, by the table in docs/mqtt.md.
fn call_end_of(end: AttemptResult) -> CallResult {
    let outcome = match end {
        AttemptResult::Delivered => Outcome::Delivered,
        AttemptResult::Error => Outcome::Error,
        AttemptResult::Rejected => Outcome::Moot,
        AttemptResult::Busy { wait } => Outcome::Full { wait },
        AttemptResult::Unsent => Outcome::ConnectFailed,
        AttemptResult::Lost => Outcome::Reset,
        AttemptResult::TimedOut => Outcome::TimedOut,
    };
    CallResult {
        outcome,
        after: if end == AttemptResult::Delivered {
            AfterAttempt::Settled
        } else {
            AfterAttempt::RetryAllowed
        },
        report: None,
        at: Instant::now(),
        status: None,
        proof: "the broker's word",
        exchange: None,
    }
}
