//! The connection to one MQTT broker: a socket around the state machine of `stairshed-mqtt`. It decides nothing.

use crate::clock::unix_time;
use crate::events::{AfterAttempt, CallResult, CourierEvent};
use crate::outbound::endpoint_client::Call;
use crate::socket::is_transient;
use bytes::Bytes;
use stairshed_config::file::{self, MqttVersion};
use stairshed_decide::interface::{Effect, EndpointId, Outcome};
use stairshed_journal::Letter;
use stairshed_mqtt::client::{self, Client, End, Message, Options};
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

/// Bytes that are read at once.
const READ: usize = 16 * 1024;
/// A time that never comes, as long as this program runs.
const NEVER: Duration = Duration::from_secs(1 << 32);

pub struct BrokerConnection {
    endpoint: EndpointId,
    address: SocketAddr,
    topic: String,
    settings: file::Broker,
    origin: Instant,
    machine: RefCell<Client>,
    /// Messages that are on their way, with the number of the attempt.
    attempts: RefCell<HashMap<u64, u32>>,
    wake: Notify,
    stopped: Cell<bool>,
}

/// The password in the first line of a file.
fn password(folder: &Path, file: &Path) -> io::Result<Bytes> {
    let text = std::fs::read_to_string(folder.join(file))?;
    Ok(Bytes::from(text.lines().next().unwrap_or_default().to_owned()))
}

impl BrokerConnection {
    pub fn start(
        endpoint: EndpointId,
        (address, topic): (SocketAddr, String),
        (settings, client, connect_time): (file::Broker, String, Duration),
        folder: &Path,
        news: Sender<CourierEvent>,
    ) -> Rc<BrokerConnection> {
        let password = settings.password_file.as_ref().and_then(|f| match password(folder, f) {
            Ok(password) => Some(password),
            Err(e) => {
                eprintln!(
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
            // Checked when the configuration was read.
            keep_alive: u16::try_from(settings.keep_alive.0.as_secs()).unwrap_or(u16::MAX),
            expiry: u32::try_from(settings.session_expiry.0.as_secs()).unwrap_or(u32::MAX - 1),
            connect_time,
            in_flight: settings.in_flight,
        };
        let broker = Rc::new(BrokerConnection {
            endpoint,
            address,
            topic,
            settings,
            origin: Instant::now(),
            machine: RefCell::new(Client::new(options)),
            attempts: RefCell::default(),
            wake: Notify::new(),
            stopped: Cell::new(false),
        });
        tokio::task::spawn_local(broker.clone().run(news));
        broker
    }

    /// Whether it is the one that is configured so.
    pub fn matches(&self, address: SocketAddr, topic: &str, settings: &file::Broker) -> bool {
        self.address == address && self.topic == topic && self.settings == *settings
    }

    /// Whether anything is on its way to it.
    pub fn is_busy(&self) -> bool {
        !self.attempts.borrow().is_empty()
    }

    /// Whether a message is on its way to it.
    pub fn has_message(&self, message: u64) -> bool {
        self.attempts.borrow().contains_key(&message)
    }

    /// Lets the machine have something, and its task see to what comes of it.
    fn with(&self, act: impl FnOnce(&mut Client, Duration)) {
        self.step(act);
        self.wake.notify_one();
    }

    /// The same from its task itself, which would wake itself without an end.
    fn step(&self, act: impl FnOnce(&mut Client, Duration)) {
        act(&mut self.machine.borrow_mut(), self.origin.elapsed());
    }

    pub fn reserve_packet_id(&self) -> Option<u16> {
        self.machine.borrow_mut().reserve()
    }

    /// Sends a message under a reserved id.
    pub fn publish(&self, id: u16, call: Call, effect: Effect) {
        self.attempts.borrow_mut().insert(call.message, call.attempt);
        let patience = call.deadline.saturating_duration_since(Instant::now());
        let message = self.message(call.message, &call.letter, patience, effect, None);
        self.with(|machine, now| machine.publish(id, message, now));
    }

    /// Takes in an attempt of an earlier life: `sent` by Unix time, and whether its PUBREC had come.
    pub fn resume(
        &self,
        id: u16,
        (number, attempt, letter): (u64, u32, Rc<Letter>),
        effect: Effect,
        (sent, released): (Duration, bool),
    ) {
        self.attempts.borrow_mut().insert(number, attempt);
        let patience = letter.until.saturating_sub(unix_time());
        let message = self.message(number, &letter, patience, effect, Some(sent));
        self.with(|machine, now| machine.resume(id, message, released, now));
    }

    fn message(
        &self,
        number: u64,
        letter: &Letter,
        patience: Duration,
        effect: Effect,
        sent: Option<Duration>,
    ) -> Message {
        let (unix, now) = (unix_time(), self.origin.elapsed());
        let left = letter.until.saturating_sub(unix);
        // At QoS 1 a broker takes what goes again for another message: what must not run twice goes at QoS 2.
        let qos = if effect == Effect::Once || self.settings.qos == 2 {
            Qos::ExactlyOnce
        } else {
            Qos::AtLeastOnce
        };
        let repeat_until = match effect {
            Effect::Keyed { window, .. } => now + (sent.unwrap_or(unix) + window).saturating_sub(unix),
            Effect::Repeatable | Effect::Once => NEVER,
        };
        let mut properties = vec![("X-Request-ID".to_owned(), letter.id.clone())];
        properties.extend(letter.key.iter().map(|key| ("Idempotency-Key".to_owned(), key.clone())));
        properties.extend(letter.routed.iter().flat_map(|r| r.headers.iter().cloned()));
        let seconds = left.as_secs() + u64::from(left.subsec_nanos() > 0);
        let publish = Publish {
            expiry: Some(u32::try_from(seconds.max(1)).unwrap_or(u32::MAX)),
            properties,
            ..Publish::new("", qos, None, letter.body.clone())
        };
        Message { number, publish, patience, until: now + left, repeat_until }
    }

    pub fn block_packet_id(&self, id: u16) {
        self.with(|machine, now| machine.block(id, now));
    }

    pub fn release_recorded(&self, id: u16) {
        self.with(|machine, now| machine.recorded(id, now));
    }

    /// That its session is being resumed is on record.
    pub fn resume_recorded(&self) {
        self.with(|machine, now| machine.resuming(now));
    }

    pub fn cancel(&self, message: u64) {
        self.with(|machine, _| machine.cancel(message));
    }

    /// Nothing new goes there after `grace`.
    pub fn drain_after(&self, grace: Duration) {
        self.with(|machine, now| machine.part(now + grace, now));
    }

    pub fn cancel_drain(&self) {
        self.with(|machine, _| machine.join());
    }

    /// Ends its connection if nothing is on its way.
    pub fn disconnect_if_idle(&self) {
        self.with(|machine, _| machine.hang_up());
    }

    /// Its endpoint is known no more.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify_one();
    }

    async fn run(self: Rc<Self>, news: Sender<CourierEvent>) {
        let mut socket: Option<TcpStream> = None;
        let mut opening: Option<Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>> = None;
        let mut bytes = vec![0; READ];
        loop {
            loop {
                let Some(effect) = self.machine.borrow_mut().poll() else { break };
                match effect {
                    client::Effect::Open => {
                        socket = None;
                        opening = Some(Box::pin(TcpStream::connect(self.address)));
                    }
                    client::Effect::Close { farewell } => {
                        if let Some(socket) = socket.take() {
                            // If it cannot be had at once the broker sees a connection that broke.
                            let _ = socket.try_write(&farewell);
                        }
                        opening = None;
                    }
                    other => self.tell(other, &news).await,
                }
            }
            if self.stopped.get() && !self.is_busy() {
                return;
            }
            let due = self.machine.borrow().timeout();
            let nap = async {
                match due {
                    Some(at) => sleep_until(self.origin + at).await,
                    None => std::future::pending().await,
                }
            };
            let wanted = match self.machine.borrow().has_output() {
                true => Interest::READABLE | Interest::WRITABLE,
                false => Interest::READABLE,
            };
            let ready = async {
                match &socket {
                    Some(socket) => socket.ready(wanted).await,
                    None => std::future::pending().await,
                }
            };
            let opened = async {
                match &mut opening {
                    Some(opening) => opening.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.wake.notified() => self.step(|machine, now| machine.elapsed(now)),
                () = nap => self.step(|machine, now| machine.elapsed(now)),
                done = opened => {
                    opening = None;
                    match done {
                        Ok(stream) => {
                            let _ = stream.set_nodelay(true);
                            socket = Some(stream);
                            self.step(|machine, now| machine.opened(now));
                        }
                        Err(_) => self.step(|machine, now| machine.lost(now)),
                    }
                }
                ready = ready => {
                    let done = match (&socket, ready) {
                        (Some(socket), Ok(ready)) => {
                            let read = if ready.is_readable() { self.read(socket, &mut bytes) } else { Ok(()) };
                            read.and_then(|()| if ready.is_writable() { self.write(socket) } else { Ok(()) })
                        }
                        (_, Err(e)) => Err(e),
                        (None, _) => Ok(()),
                    };
                    if done.is_err() {
                        socket = None;
                        self.step(|machine, now| machine.lost(now));
                    }
                }
            }
        }
    }

    async fn tell(&self, effect: client::Effect, news: &Sender<CourierEvent>) {
        let endpoint = self.endpoint;
        let told = match effect {
            client::Effect::Record { id, message } => CourierEvent::PubrecReceived { endpoint, id, message },
            client::Effect::Resuming => CourierEvent::SessionResuming { endpoint, pending: true },
            client::Effect::Resumed => CourierEvent::SessionResuming { endpoint, pending: false },
            client::Effect::Free { id, .. } => CourierEvent::PacketIdFreed { endpoint, id },
            client::Effect::Ended { message, end, .. } => {
                let Some(attempt) = self.attempts.borrow_mut().remove(&message) else { return };
                CourierEvent::CallEnded { message, attempt, endpoint, end: ended(end) }
            }
            client::Effect::Log(text) => {
                eprintln!("mqtt: {}: {text}", self.address);
                return;
            }
            client::Effect::Open | client::Effect::Close { .. } => return,
        };
        // The courier outlives its brokers.
        let _ = news.send(told).await;
    }

    fn write(&self, socket: &TcpStream) -> io::Result<()> {
        let written = {
            let machine = self.machine.borrow();
            let mut slices = Vec::new();
            machine.output(&mut slices);
            if slices.is_empty() {
                return Ok(());
            }
            socket.try_write_vectored(&slices)
        };
        match written {
            Ok(n) => {
                self.machine.borrow_mut().wrote(n, self.origin.elapsed());
                Ok(())
            }
            Err(e) if is_transient(&e) => Ok(()),
            Err(e) => Err(e),
        }
    }

    fn read(&self, socket: &TcpStream, bytes: &mut [u8]) -> io::Result<()> {
        match socket.try_read(bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                self.machine.borrow_mut().received(&bytes[..n], self.origin.elapsed());
                Ok(())
            }
            Err(e) if is_transient(&e) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// What an attempt's end means to the decision module: the table of docs/mqtt.md.
fn ended(end: End) -> CallResult {
    let outcome = match end {
        End::Delivered => Outcome::Delivered,
        End::Error => Outcome::Error,
        End::Never => Outcome::Moot,
        End::Full { wait } => Outcome::Full { wait },
        End::Unsent => Outcome::ConnectFailed,
        End::Lost => Outcome::Reset,
        End::TimedOut => Outcome::TimedOut,
    };
    CallResult {
        outcome,
        after: if end == End::Delivered { AfterAttempt::Settled } else { AfterAttempt::RetryAllowed },
        report: None,
        at: Instant::now(),
        proof: "the broker's word",
        exchange: None,
    }
}
