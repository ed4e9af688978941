//! Connection to one MQTT broker: the socket I/O for the protocol state machine of `stairshed-mqtt`.

use crate::events::{AfterAttempt, CallResult, DispatcherEvent};
use crate::socket::is_transient;
use crate::system_errors::{Operation, RetryPause, report};
use crate::upstream::endpoint_client::Call;
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
use std::io;
use std::net::SocketAddr;
use std::path::Path;
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
/// Longer than this process runs.
const NEVER: Duration = Duration::from_secs(1 << 32);

/// The connection to one broker, served by a task of its own.
pub struct BrokerConnection {
    endpoint: EndpointId,
    address: SocketAddr,
    topic: String,
    settings: file::Broker,
    origin: Instant,
    clock: StableClock,
    mqtt_client: RefCell<Client>,
    /// Messages in flight, with the number of the attempt.
    attempts: RefCell<HashMap<u64, u32>>,
    wake: Notify,
    stopped: Cell<bool>,
}

/// Reads the password from the first line of a file.
fn password(folder: &Path, file: &Path) -> io::Result<Bytes> {
    let text = std::fs::read_to_string(folder.join(file))?;
    Ok(Bytes::from(text.lines().next().unwrap_or_default().to_owned()))
}

impl BrokerConnection {
    /// Creates the connection and starts its task. Without a readable password file it connects without a
    /// password.
    pub fn start(
        endpoint: EndpointId,
        (address, topic): (SocketAddr, String),
        (settings, client, connect_timeout): (file::Broker, String, Duration),
        folder: &Path,
        clock: StableClock,
        events: Sender<DispatcherEvent>,
    ) -> Rc<BrokerConnection> {
        let password = settings.password_file.as_ref().and_then(|f| match password(folder, f) {
            Ok(password) => Some(password),
            Err(e) => {
                log_line!(
                    "mqtt: {address}: its password cannot be read, and none is sent: {}: {e}",
                    f.display()
                );
                None
            }
        });
        let options = Options {
            version: match settings.version {
                MqttVersion::V311 => Version::V311,
                MqttVersion::V5 => Version::V5,
            },
            client,
            user: settings.user.clone(),
            password,
            topic: topic.clone(),
            // The configuration check ensures that these values fit.
            keep_alive: u16::try_from(settings.keep_alive.0.as_secs()).unwrap_or(u16::MAX),
            expiry: u32::try_from(settings.session_expiry.0.as_secs()).unwrap_or(u32::MAX - 1),
            connect_timeout,
            in_flight: settings.in_flight,
        };
        let broker = Rc::new(BrokerConnection {
            endpoint,
            address,
            topic,
            settings,
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

    /// Whether the connection has this configuration.
    pub fn matches(&self, address: SocketAddr, topic: &str, settings: &file::Broker) -> bool {
        self.address == address && self.topic == topic && self.settings == *settings
    }

    /// Whether any message is in flight to the broker.
    pub fn is_busy(&self) -> bool {
        !self.attempts.borrow().is_empty()
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
    pub fn publish(&self, id: u16, call: Call, effect: Effect) {
        self.attempts.borrow_mut().insert(call.message, call.attempt);
        let response_timeout = call.deadline.saturating_duration_since(Instant::now());
        let message = self.message(call.message, &call.accepted, response_timeout, effect, None);
        self.with_client(|mqtt_client, now| mqtt_client.publish(id, message, now));
    }

    /// Restores an attempt from before a restart. `sent` is its time; `released` is whether its PUBREC had
    /// arrived.
    pub fn resume(
        &self,
        id: u16,
        (number, attempt, accepted): (u64, u32, Rc<AcceptedMessage>),
        effect: Effect,
        (sent, released): (StableTime, bool),
    ) {
        self.attempts.borrow_mut().insert(number, attempt);
        let response_timeout = accepted.deadline.saturating_duration_since(self.clock.now());
        let message = self.message(number, &accepted, response_timeout, effect, Some(sent));
        self.with_client(|mqtt_client, now| mqtt_client.resume(id, message, released, now));
    }

    /// The MQTT message for a delivery. `sent` is the time of the attempt; None for a new one.
    fn message(
        &self,
        number: u64,
        accepted: &AcceptedMessage,
        response_timeout: Duration,
        effect: Effect,
        sent: Option<StableTime>,
    ) -> Message {
        let (stable_now, now) = (self.clock.now(), self.origin.elapsed());
        let left = accepted.deadline.saturating_duration_since(stable_now);
        // At QoS 1 a broker treats a retransmission as a new message, so messages that must not run twice use
        // QoS 2.
        let qos = if effect == Effect::Once || self.settings.qos == 2 {
            Qos::ExactlyOnce
        } else {
            Qos::AtLeastOnce
        };
        let retransmit_until = match effect {
            Effect::Keyed { window, .. } => {
                // A window that is not provably open counts as closed.
                let elapsed =
                    sent.map_or(Some(Duration::ZERO), |at| self.clock.proven_duration(at, stable_now));
                now + elapsed.map_or(Duration::ZERO, |elapsed| window.saturating_sub(elapsed))
            }
            Effect::Repeatable | Effect::Once => NEVER,
        };
        let mut properties = vec![("X-Request-ID".to_owned(), accepted.id.clone())];
        properties.extend(accepted.key.iter().map(|key| ("Idempotency-Key".to_owned(), key.clone())));
        properties.extend(accepted.routed.iter().flat_map(|r| r.headers.iter().cloned()));
        let seconds = left.as_secs() + u64::from(left.subsec_nanos() > 0);
        let publish = Publish {
            expiry: Some(u32::try_from(seconds.max(1)).unwrap_or(u32::MAX)),
            properties,
            ..Publish::new("", qos, None, accepted.body.clone())
        };
        Message { number, publish, response_timeout, until: now + left, retransmit_until }
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

    /// Stops sending new messages after `grace`. Messages in flight are completed.
    pub fn drain_after(&self, grace: Duration) {
        self.with_client(|mqtt_client, now| mqtt_client.drain_from(now + grace, now));
    }

    /// Resumes sending new messages.
    pub fn cancel_drain(&self) {
        self.with_client(|mqtt_client, _| mqtt_client.cancel_drain());
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
                        connecting = Some(Box::pin(TcpStream::connect(self.address)));
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
                        socket = None;
                        self.update_client(|mqtt_client, now| mqtt_client.connection_lost(now));
                    }
                }
            }
        }
    }

    /// Reports an effect of the state machine to the dispatcher, or logs it.
    async fn report(&self, effect: client::Effect, events: &Sender<DispatcherEvent>) {
        let endpoint = self.endpoint;
        let event = match effect {
            client::Effect::RecordPubrec { id, message } => {
                DispatcherEvent::PubrecReceived { endpoint, id, message }
            }
            client::Effect::RecordResuming => DispatcherEvent::SessionResuming { endpoint, pending: true },
            client::Effect::ClearResuming => DispatcherEvent::SessionResuming { endpoint, pending: false },
            client::Effect::FreePacketId { id, .. } => DispatcherEvent::PacketIdFreed { endpoint, id },
            client::Effect::Ended { message, end, .. } => {
                let Some(attempt) = self.attempts.borrow_mut().remove(&message) else { return };
                DispatcherEvent::CallEnded { message, attempt, endpoint, end: call_end_of(end) }
            }
            client::Effect::Log(text) => {
                log_line!("mqtt: {}: {text}", self.address);
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
