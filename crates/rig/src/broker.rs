//! A fake MQTT broker on a loopback socket with fault injection: it drops connections at any byte,
//! acknowledges late, twice, out of order or never, loses sessions or claims ones that it does not have,
//! sends malformed packets and redirects its clients. It counts how often each message took effect.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_mqtt::packet::{Ack, Connack, Disconnect, Packet, Publish, Qos, Version, code, property};
use stairshed_mqtt::{Reader, encode};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the broker acknowledges a PUBLISH.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Acks {
    #[default]
    AtOnce,
    Late(Duration),
    Twice,
    /// Two at a time in reverse order.
    Swapped,
    Never,
}

/// Faults that the broker injects; they can change at any time.
#[derive(Clone, Debug, Default)]
pub struct BrokerFaults {
    /// Seed, and the range from which each connection draws the number of bytes, in both directions together,
    /// after which it is dropped.
    pub drop_after: Option<(u64, std::ops::Range<usize>)>,
    /// Loses all sessions at every n-th connection.
    pub lose_sessions_every: Option<u32>,
    /// Sets Session Present in CONNACK even if there is no session.
    pub claim_session_present: bool,
    pub acks: Acks,
    pub receive_maximum: Option<u16>,
    /// Reason codes for the next PUBLISHes, each with an optional `retry-after` in seconds.
    pub refuse: VecDeque<(u8, Option<f64>)>,
    /// Reason code with which each CONNECT is refused.
    pub connack_refusal: Option<u8>,
    /// Answers the next PUBLISH with bytes that are not a valid packet.
    pub send_garbage: bool,
    /// Reason code, and optional `retry-after` in seconds, of a DISCONNECT that answers the next PUBLISH,
    /// which is not accepted.
    pub disconnect_with: Option<(u8, Option<f64>)>,
}

/// A PUBLISH that the broker received.
#[derive(Clone, Debug)]
pub struct ReceivedPublish {
    pub id: String,
    pub publish: Publish,
    pub at: Instant,
    /// Whether the message took effect by this PUBLISH, rather than an earlier one.
    pub took_effect: bool,
}

#[derive(Default)]
struct State {
    faults: BrokerFaults,
    rng: Option<SmallRng>,
    /// Packet ids at QoS 2 that wait for their PUBREL, by client id.
    sessions: HashMap<String, BTreeSet<u16>>,
    /// The open connection of each client id, with its number.
    open: HashMap<String, (u32, Version, TcpStream)>,
    received: Vec<ReceivedPublish>,
    connections: u32,
    takeovers: u32,
    drops: u32,
}

/// The fake broker. Clones share its state.
#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Broker {
    /// Starts a broker with these faults.
    pub fn new(faults: BrokerFaults) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let broker = Broker { address, state: Arc::default(), open: Arc::default() };
        broker.change(|v| *v = faults);
        let own = broker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        broker
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().expect("the broker's state"))
    }

    /// Changes the injected faults.
    pub fn change(&self, act: impl FnOnce(&mut BrokerFaults)) {
        self.with(|s| {
            act(&mut s.faults);
            s.rng = s.faults.drop_after.as_ref().map(|(seed, _)| SmallRng::seed_from_u64(*seed));
        });
    }

    /// Returns each PUBLISH that was received, in order.
    pub fn received(&self) -> Vec<ReceivedPublish> {
        self.with(|s| s.received.clone())
    }

    /// Returns how often each message took effect, by id.
    pub fn effects(&self) -> BTreeMap<String, u32> {
        let mut effects = BTreeMap::new();
        for got in self.with(|s| s.received.clone()) {
            *effects.entry(got.id).or_default() += u32::from(got.took_effect);
        }
        effects
    }

    /// Returns the number of connections that were dropped at their byte limit.
    pub fn drops(&self) -> u32 {
        self.with(|s| s.drops)
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> u32 {
        self.with(|s| s.connections)
    }

    /// Returns the number of clients that have a connection open.
    pub fn open_connections(&self) -> usize {
        self.with(|s| s.open.len())
    }

    /// Returns the number of connections that ended because their client id connected again.
    pub fn takeovers(&self) -> u32 {
        self.with(|s| s.takeovers)
    }

    /// Discards all sessions.
    pub fn forget(&self) {
        self.with(|s| s.sessions.clear());
    }

    /// Closes all connections.
    pub fn cut(&self) {
        for stream in self.open.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Ok(handle) = stream.try_clone() {
            self.open.lock().expect("connections").push(handle);
        }
        let (number, left) = self.with(|s| {
            s.connections += 1;
            if s.faults.lose_sessions_every.is_some_and(|n| s.connections % n == 0) {
                s.sessions.clear();
            }
            let range = s.faults.drop_after.as_ref().map(|(_, range)| range.clone());
            let left = range.and_then(|range| s.rng.as_mut().map(|rng| rng.random_range(range)));
            (s.connections, left)
        });
        let connection = BrokerConnection {
            broker: self,
            number,
            stream,
            left,
            reader: Reader::server(1 << 20),
            version: Version::V5,
            client: String::new(),
            swapped: None,
        };
        let dropped = connection.run().is_none();
        self.with(|s| s.drops += u32::from(dropped && left.is_some()));
    }
}

struct BrokerConnection<'a> {
    broker: &'a Broker,
    number: u32,
    stream: TcpStream,
    /// Bytes left until the connection is dropped; None for no limit.
    left: Option<usize>,
    reader: Reader,
    version: Version,
    client: String,
    /// A delayed acknowledgement that is sent after the next one.
    swapped: Option<Packet>,
}

impl BrokerConnection<'_> {
    /// Serves the connection. Returns None if it was dropped at its byte limit.
    fn run(mut self) -> Option<()> {
        let result = self.serve();
        self.closed();
        result
    }

    fn serve(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        loop {
            let most = self.left.map_or(bytes.len(), |left| left.min(bytes.len()));
            if most == 0 {
                let _ = self.stream.shutdown(Shutdown::Both);
                return None;
            }
            let n = self.stream.read(&mut bytes[..most]).ok().filter(|n| *n > 0);
            let Some(n) = n else { return Some(()) };
            self.left = self.left.map(|left| left - n);
            self.reader.push(&bytes[..n]);
            loop {
                match self.reader.packet() {
                    Ok(None) => break,
                    Ok(Some(packet)) => {
                        if !self.handle(packet)? {
                            return Some(());
                        }
                    }
                    Err(fault) => panic!("the courier sent an invalid packet: {fault}"),
                }
            }
        }
    }

    /// Sends a packet, cut at the connection's byte limit.
    fn send_packet(&mut self, packet: Packet) -> Option<()> {
        let bytes = encode(self.version, packet, None).expect("written");
        self.send(&bytes)
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        let most = self.left.map_or(bytes.len(), |left| left.min(bytes.len()));
        // The courier may have closed the connection.
        let _ = self.stream.write_all(&bytes[..most]);
        self.left = self.left.map(|left| left - most);
        if most < bytes.len() {
            let _ = self.stream.shutdown(Shutdown::Both);
            return None;
        }
        Some(())
    }

    /// Handles a packet. Returns false once the connection has ended.
    fn handle(&mut self, packet: Packet) -> Option<bool> {
        match packet {
            Packet::Connect(connect) => {
                self.version = connect.version;
                self.client = connect.client.clone();
                self.take_over();
                let (refusal, present, maximum) = self.broker.with(|s| {
                    if connect.clean {
                        s.sessions.remove(&connect.client);
                    }
                    let there = s.sessions.contains_key(&connect.client);
                    if !(connect.clean && connect.version == Version::V311) {
                        s.sessions.entry(connect.client.clone()).or_default();
                    }
                    let present = there || (s.faults.claim_session_present && !connect.clean);
                    (s.faults.connack_refusal, present, s.faults.receive_maximum)
                });
                if let Some(code) = refusal {
                    let reference = (self.version == Version::V5).then(|| "127.0.0.2:1883".to_owned());
                    self.send_packet(Packet::Connack(Box::new(Connack { reference, ..Connack::new(code) })))?;
                    return Some(false);
                }
                let receive_maximum = maximum.unwrap_or(u16::MAX);
                let connack = Connack { session_present: present, receive_maximum, ..Connack::new(0) };
                self.send_packet(Packet::Connack(Box::new(connack)))?;
            }
            Packet::Publish(publish) => return self.publish(*publish),
            Packet::Pubrel(ack) => {
                let known = self.session(|received| received.remove(&ack.id));
                let code = if known || self.version == Version::V311 { 0 } else { 0x92 };
                if self.broker.with(|s| s.faults.acks) != Acks::Never {
                    self.send_packet(Packet::Pubcomp(Ack::new(ack.id, code)))?;
                }
            }
            Packet::Pingreq => self.send_packet(Packet::Pingresp)?,
            Packet::Disconnect(_) => return Some(false),
            other => panic!("unexpected packet from the courier: {other:?}"),
        }
        Some(true)
    }

    /// Ends the earlier connection with the same client id [MQTT-3.1.4-3].
    fn take_over(&self) {
        let Ok(stream) = self.stream.try_clone() else { return };
        self.broker.with(|s| {
            let earlier = s.open.insert(self.client.clone(), (self.number, self.version, stream));
            let Some((_, version, mut earlier)) = earlier.filter(|(number, ..)| *number != self.number)
            else {
                return;
            };
            s.takeovers += 1;
            if version == Version::V5 {
                let packet = Packet::Disconnect(Disconnect::new(code::SESSION_TAKEN_OVER));
                // The courier may have closed the connection.
                let _ = earlier.write_all(&encode(version, packet, None).expect("written"));
            }
            let _ = earlier.shutdown(Shutdown::Both);
        });
    }

    /// Notes that this connection has ended, unless its client has connected again.
    fn closed(&self) {
        self.broker.with(|s| {
            if s.open.get(&self.client).is_some_and(|(number, ..)| *number == self.number) {
                s.open.remove(&self.client);
            }
        });
    }

    fn session<T: Default>(&self, act: impl FnOnce(&mut BTreeSet<u16>) -> T) -> T {
        self.broker.with(|s| s.sessions.get_mut(&self.client).map(act)).unwrap_or_default()
    }

    fn publish(&mut self, publish: Publish) -> Option<bool> {
        let id = publish.id.expect("a packet id");
        let wait =
            |wait: Option<f64>| wait.map(|w| ("retry-after".to_owned(), w.to_string())).into_iter().collect();
        let (refuse, acks, send_garbage, ends) = self.broker.with(|s| {
            let v = &mut s.faults;
            (v.refuse.pop_front(), v.acks, std::mem::take(&mut v.send_garbage), v.disconnect_with.take())
        });
        if send_garbage {
            self.send(b"\xff\xff\xff\xff\xff\xff")?;
            return Some(true);
        }
        if let Some((code, told)) = ends {
            self.send_packet(Packet::Disconnect(Disconnect {
                properties: wait(told),
                ..Disconnect::new(code)
            }))?;
            return Some(false);
        }
        let exactly = publish.qos == Qos::ExactlyOnce;
        let made = |ack| if exactly { Packet::Pubrec(ack) } else { Packet::Puback(ack) };
        if let Some((code, told)) = refuse {
            self.send_packet(made(Ack { properties: wait(told), ..Ack::new(id, code) }))?;
            return Some(true);
        }
        let took_effect = !exactly || self.session(|received| received.insert(id));
        let name = property(&publish.properties, "X-Request-ID").map(str::to_owned);
        let name = name.unwrap_or_else(|| String::from_utf8_lossy(&publish.payload).into_owned());
        self.broker.with(|s| {
            s.received.push(ReceivedPublish { id: name, publish, at: Instant::now(), took_effect })
        });
        let ack = made(Ack::new(id, 0));
        match acks {
            Acks::AtOnce => self.send_packet(ack)?,
            Acks::Late(time) => {
                let (stream, version) = (self.stream.try_clone(), self.version);
                thread::spawn(move || {
                    thread::sleep(time);
                    let bytes = encode(version, ack, None).expect("written");
                    // The connection may have ended.
                    let _ = stream.and_then(|mut s| s.write_all(&bytes));
                });
            }
            Acks::Twice => {
                self.send_packet(ack.clone())?;
                self.send_packet(ack)?;
            }
            Acks::Swapped => match self.swapped.take() {
                None => self.swapped = Some(ack),
                Some(first) => {
                    self.send_packet(ack)?;
                    self.send_packet(first)?;
                }
            },
            Acks::Never => {}
        }
        Some(true)
    }
}
