//! A stand-in MQTT client that publishes to a courier: a packet at a time, and any bytes.

use crate::WAIT_TIMEOUT;
use bytes::Bytes;
use stairshed_mqtt::packet::{Ack, Connack, Connect, Packet, Publish, Qos, Subscribe, Version};
use stairshed_mqtt::{Reader, encode};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

pub struct MqttClient {
    stream: TcpStream,
    reader: Reader,
    version: Version,
}

/// A CONNECT whose session lasts.
pub fn persistent_session(version: Version, client: &str) -> Connect {
    Connect { clean: false, expiry: 600, ..Connect::new(version, client) }
}

impl MqttClient {
    /// Opens a connection and says nothing.
    pub fn open(to: SocketAddr, version: Version) -> MqttClient {
        let stream = TcpStream::connect(to).expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        MqttClient { stream, reader: Reader::client(version, 1 << 20), version }
    }

    /// Connects; the answer.
    pub fn connect(to: SocketAddr, connect: Connect) -> (MqttClient, Connack) {
        let mut publisher = MqttClient::open(to, connect.version);
        publisher.send(Packet::Connect(Box::new(connect)));
        match publisher.receive() {
            Some(Packet::Connack(connack)) => (publisher, *connack),
            other => panic!("no CONNACK: {other:?}"),
        }
    }

    pub fn send(&mut self, packet: Packet) {
        let bytes = encode(self.version, packet, None).expect("written");
        self.send_bytes(&bytes);
    }

    /// Sends bytes; the courier may have closed the connection.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// The next packet; None once the connection is closed.
    pub fn receive(&mut self) -> Option<Packet> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(packet) = self.reader.packet().expect("the courier sends sound packets") {
                return Some(packet);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.reader.push(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => panic!("the courier says nothing"),
                Err(_) => return None,
            }
        }
    }

    /// Whether nothing comes for so long.
    pub fn receives_nothing_for(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).expect("a limit");
        let read = self.stream.read(&mut [0]);
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    pub fn publish(
        &mut self,
        topic: &str,
        qos: Qos,
        id: Option<u16>,
        body: &str,
        properties: &[(&str, &str)],
    ) {
        let of = |(n, v): &(&str, &str)| ((*n).to_owned(), (*v).to_owned());
        let properties = properties.iter().map(of).collect();
        let publish = Publish::new(topic, qos, id, Bytes::from(body.to_owned()));
        self.send(Packet::Publish(Box::new(Publish { properties, ..publish })));
    }

    /// The acknowledgement that comes next, past outcomes, which it acknowledges.
    pub fn next_ack(&mut self) -> Option<Packet> {
        loop {
            match self.receive()? {
                Packet::Publish(publish) => self.ack(&publish),
                packet => return Some(packet),
            }
        }
    }

    fn ack(&mut self, publish: &Publish) {
        if let Some(id) = publish.id {
            self.send(Packet::Puback(Ack::new(id, 0)));
        }
    }

    /// Publishes at QoS 1 until it is acknowledged; its reason code, or None if the connection was closed.
    pub fn submit(&mut self, topic: &str, id: u16, body: &str, properties: &[(&str, &str)]) -> Option<u8> {
        self.publish(topic, Qos::AtLeastOnce, Some(id), body, properties);
        match self.next_ack()? {
            Packet::Puback(ack) if ack.id == id => Some(ack.code),
            other => panic!("no PUBACK: {other:?}"),
        }
    }

    /// Subscribes to its outcomes.
    pub fn read_outcomes(&mut self, client: &str) {
        let filters = vec![(format!("$stairshed/outcomes/{client}"), Qos::AtLeastOnce)];
        self.send(Packet::Subscribe(Subscribe { id: 60_000, has_subscription_id: false, filters }));
        match self.next_ack() {
            Some(Packet::Suback { codes, .. }) => assert_eq!(codes, [1]),
            other => panic!("no SUBACK: {other:?}"),
        }
    }

    /// The next outcome: id and result. It is acknowledged.
    pub fn outcome(&mut self) -> (String, String) {
        match self.receive().expect("an outcome") {
            Packet::Publish(publish) => {
                self.ack(&publish);
                let line: serde_json::Value = serde_json::from_slice(&publish.payload).expect("JSON");
                let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
                (text("ref"), text("result"))
            }
            other => panic!("no outcome: {other:?}"),
        }
    }

    /// Breaks the connection without a DISCONNECT.
    pub fn cut(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
