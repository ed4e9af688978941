//! A stand-in MQTT broker on a loopback socket, with the vices that couriers meet: it drops connections at any byte,
//! acknowledges late, twice, out of order or never, forgets sessions or lies about them, sends what cannot be read,
//! sends its clients elsewhere. It counts what took effect.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stairshed_mqtt::packet::{Ack, Connack, Disconnect, Packet, Publish, Qos, Version, property};
use stairshed_mqtt::{Reader, encode};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How it acknowledges a PUBLISH.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Acks {
    #[default]
    AtOnce,
    Late(Duration),
    Twice,
    /// Two at a time, the later first.
    Swapped,
    Never,
}

/// What it does; changed at any time.
#[derive(Clone, Debug, Default)]
pub struct BrokerFaults {
    /// Connections are dropped after so many bytes of both ways together, drawn from this range; and the seed.
    pub drop_after: Option<(u64, std::ops::Range<usize>)>,
    /// Sessions are forgotten at one in so many connections.
    pub lose_sessions_every: Option<u32>,
    /// Says that a session is there when there is none.
    pub claim_session_present: bool,
    pub acks: Acks,
    pub receive_maximum: Option<u16>,
    /// The next PUBLISHes are refused with these codes, and a wait.
    pub refuse: VecDeque<(u8, Option<f64>)>,
    /// CONNECTs are turned away with this code.
    pub connack_refusal: Option<u8>,
    /// Answers the next PUBLISH with bytes that are no packet.
    pub send_garbage: bool,
    /// Ends the connection with this reason at the next PUBLISH, which it does not take.
    pub disconnect_with: Option<(u8, Option<f64>)>,
}

/// A PUBLISH as it came.
#[derive(Clone, Debug)]
pub struct ReceivedPublish {
    pub id: String,
    pub publish: Publish,
    pub at: Instant,
    /// It took effect with this one.
    pub took_effect: bool,
}

#[derive(Default)]
struct State {
    vices: BrokerFaults,
    rng: Option<SmallRng>,
    /// By client id: packet ids at QoS 2 that wait for their PUBREL.
    sessions: HashMap<String, BTreeSet<u16>>,
    got: Vec<ReceivedPublish>,
    connections: u32,
    drops: u32,
}

#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Broker {
    pub fn new(vices: BrokerFaults) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let broker = Broker { address, state: Arc::default(), open: Arc::default() };
        broker.change(|v| *v = vices);
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

    pub fn change(&self, act: impl FnOnce(&mut BrokerFaults)) {
        self.with(|s| {
            act(&mut s.vices);
            s.rng = s.vices.drop_after.as_ref().map(|(seed, _)| SmallRng::seed_from_u64(*seed));
        });
    }

    /// Every PUBLISH, in order.
    pub fn received(&self) -> Vec<ReceivedPublish> {
        self.with(|s| s.got.clone())
    }

    /// How often each message took effect, by its id.
    pub fn effects(&self) -> BTreeMap<String, u32> {
        let mut effects = BTreeMap::new();
        for got in self.with(|s| s.got.clone()) {
            *effects.entry(got.id).or_default() += u32::from(got.took_effect);
        }
        effects
    }

    /// Connections that were dropped for their byte.
    pub fn drops(&self) -> u32 {
        self.with(|s| s.drops)
    }

    pub fn connections(&self) -> u32 {
        self.with(|s| s.connections)
    }

    /// Loses all sessions.
    pub fn forget(&self) {
        self.with(|s| s.sessions.clear());
    }

    /// Drops all connections.
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
        let left = self.with(|s| {
            s.connections += 1;
            if s.vices.lose_sessions_every.is_some_and(|n| s.connections % n == 0) {
                s.sessions.clear();
            }
            let range = s.vices.drop_after.as_ref().map(|(_, range)| range.clone());
            range.and_then(|range| s.rng.as_mut().map(|rng| rng.random_range(range)))
        });
        let conversation = Conversation {
            broker: self,
            stream,
            left,
            reader: Reader::server(1 << 20),
            version: Version::V5,
            client: String::new(),
            swapped: None,
        };
        let dropped = conversation.run().is_none();
        self.with(|s| s.drops += u32::from(dropped && left.is_some()));
    }
}

struct Conversation<'a> {
    broker: &'a Broker,
    stream: TcpStream,
    /// Bytes until the connection is dropped.
    left: Option<usize>,
    reader: Reader,
    version: Version,
    client: String,
    /// An acknowledgement that waits for the next one.
    swapped: Option<Packet>,
}

impl Conversation<'_> {
    /// None if the connection was dropped for its byte.
    fn run(mut self) -> Option<()> {
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
                        if !self.hear(packet)? {
                            return Some(());
                        }
                    }
                    Err(fault) => panic!("the courier sends {fault}"),
                }
            }
        }
    }

    /// Sends as much as the connection has left.
    fn tell(&mut self, packet: Packet) -> Option<()> {
        let bytes = encode(self.version, packet, None).expect("written");
        self.send(&bytes)
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        let most = self.left.map_or(bytes.len(), |left| left.min(bytes.len()));
        // The courier may have gone.
        let _ = self.stream.write_all(&bytes[..most]);
        self.left = self.left.map(|left| left - most);
        if most < bytes.len() {
            let _ = self.stream.shutdown(Shutdown::Both);
            return None;
        }
        Some(())
    }

    /// False once the connection is at its end.
    fn hear(&mut self, packet: Packet) -> Option<bool> {
        match packet {
            Packet::Connect(connect) => {
                self.version = connect.version;
                self.client = connect.client.clone();
                let (turned, present, maximum) = self.broker.with(|s| {
                    if connect.clean {
                        s.sessions.remove(&connect.client);
                    }
                    let there = s.sessions.contains_key(&connect.client);
                    if !(connect.clean && connect.version == Version::V311) {
                        s.sessions.entry(connect.client.clone()).or_default();
                    }
                    let present = there || (s.vices.claim_session_present && !connect.clean);
                    (s.vices.connack_refusal, present, s.vices.receive_maximum)
                });
                if let Some(code) = turned {
                    let reference = (self.version == Version::V5).then(|| "127.0.0.2:1883".to_owned());
                    self.tell(Packet::Connack(Box::new(Connack { reference, ..Connack::new(code) })))?;
                    return Some(false);
                }
                let receive_maximum = maximum.unwrap_or(u16::MAX);
                let connack = Connack { session_present: present, receive_maximum, ..Connack::new(0) };
                self.tell(Packet::Connack(Box::new(connack)))?;
            }
            Packet::Publish(publish) => return self.publish(*publish),
            Packet::Pubrel(ack) => {
                let known = self.session(|received| received.remove(&ack.id));
                let code = if known || self.version == Version::V311 { 0 } else { 0x92 };
                if self.broker.with(|s| s.vices.acks) != Acks::Never {
                    self.tell(Packet::Pubcomp(Ack::new(ack.id, code)))?;
                }
            }
            Packet::Pingreq => self.tell(Packet::Pingresp)?,
            Packet::Disconnect(_) => return Some(false),
            other => panic!("the courier sends {other:?}"),
        }
        Some(true)
    }

    fn session<T: Default>(&self, act: impl FnOnce(&mut BTreeSet<u16>) -> T) -> T {
        self.broker.with(|s| s.sessions.get_mut(&self.client).map(act)).unwrap_or_default()
    }

    fn publish(&mut self, publish: Publish) -> Option<bool> {
        let id = publish.id.expect("a packet id");
        let wait =
            |wait: Option<f64>| wait.map(|w| ("retry-after".to_owned(), w.to_string())).into_iter().collect();
        let (refuse, acks, send_garbage, ends) = self.broker.with(|s| {
            let v = &mut s.vices;
            (v.refuse.pop_front(), v.acks, std::mem::take(&mut v.send_garbage), v.disconnect_with.take())
        });
        if send_garbage {
            self.send(b"\xff\xff\xff\xff\xff\xff")?;
            return Some(true);
        }
        if let Some((code, told)) = ends {
            self.tell(Packet::Disconnect(Disconnect { properties: wait(told), ..Disconnect::new(code) }))?;
            return Some(false);
        }
        let exactly = publish.qos == Qos::ExactlyOnce;
        let made = |ack| if exactly { Packet::Pubrec(ack) } else { Packet::Puback(ack) };
        if let Some((code, told)) = refuse {
            self.tell(made(Ack { properties: wait(told), ..Ack::new(id, code) }))?;
            return Some(true);
        }
        let took_effect = !exactly || self.session(|received| received.insert(id));
        let name = property(&publish.properties, "X-Request-ID").map(str::to_owned);
        let name = name.unwrap_or_else(|| String::from_utf8_lossy(&publish.payload).into_owned());
        self.broker
            .with(|s| s.got.push(ReceivedPublish { id: name, publish, at: Instant::now(), took_effect }));
        let ack = made(Ack::new(id, 0));
        match acks {
            Acks::AtOnce => self.tell(ack)?,
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
                self.tell(ack.clone())?;
                self.tell(ack)?;
            }
            Acks::Swapped => match self.swapped.take() {
                None => self.swapped = Some(ack),
                Some(first) => {
                    self.tell(ack)?;
                    self.tell(first)?;
                }
            },
            Acks::Never => {}
        }
        Some(true)
    }
}
