//! A blocking MQTT client that publishes to a courier, packet by packet or as raw bytes.

use crate::WAIT_TIMEOUT;
use bytes::Bytes;
use stairshed_mqtt::packet::{Ack, Connack, Connect, Packet, Publish, Qos, Subscribe, Version};
use stairshed_mqtt::{Reader, encode};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A connection to the courier's MQTT listener.
pub struct MqttClient {
    stream: TcpStream,
    reader: Reader,
    version: Version,
}

/// Returns a CONNECT for a session that outlives its connection, for 600 s.
pub fn persistent_session(version: Version, client: &str) -> Connect {
    Connect { clean: false, expiry: 600, ..Connect::new(version, client) }
}

impl MqttClient {
    /// Opens a connection and sends nothing.
    pub fn open(to: SocketAddr, version: Version) -> MqttClient {
        let stream = TcpStream::connect(to).expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        MqttClient { stream, reader: Reader::client(version, 1 << 20), version }
    }

    /// Sends CONNECT and returns the client with the CONNACK. Panics if another packet or none comes.
    pub fn connect(to: SocketAddr, connect: Connect) -> (MqttClient, Connack) {
        let mut client = MqttClient::open(to, connect.version);
        client.send(Packet::Connect(Box::new(connect)));
        match client.receive() {
            Some(Packet::Connack(connack)) => (client, *connack),
            other => panic!("no CONNACK: {other:?}"),
        }
    }

    /// Sends a packet; the courier may have closed the connection.
    pub fn send(&mut self, packet: Packet) {
        let bytes = encode(self.version, packet, None).expect("written");
        self.send_bytes(&bytes);
    }

    /// Sends raw bytes; the courier may have closed the connection.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Returns the next packet, or None once the connection is closed. Panics after [`WAIT_TIMEOUT`].
    pub fn receive(&mut self) -> Option<Packet> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(packet) = self.reader.packet().expect("valid packets from the courier") {
                return Some(packet);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.reader.push(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    panic!("timed out waiting for a packet from the courier")
                }
                Err(_) => return None,
            }
        }
    }

    /// Whether nothing is received for this time.
    pub fn receives_nothing_for(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).expect("a limit");
        let read = self.stream.read(&mut [0]);
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a PUBLISH with user properties, without waiting for its acknowledgement.
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

    /// Returns the next packet that is not an outcome; outcomes before it are acknowledged and skipped.
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

    /// Publishes at QoS 1 and returns the reason code of the PUBACK, or None if the connection was closed.
    pub fn submit(&mut self, topic: &str, id: u16, body: &str, properties: &[(&str, &str)]) -> Option<u8> {
        self.publish(topic, Qos::AtLeastOnce, Some(id), body, properties);
        match self.next_ack()? {
            Packet::Puback(ack) if ack.id == id => Some(ack.code),
            other => panic!("no PUBACK: {other:?}"),
        }
    }

    /// Subscribes to the outcomes of this client's messages.
    pub fn read_outcomes(&mut self, client: &str) {
        let filters = vec![(format!("$stairshed/outcomes/{client}"), Qos::AtLeastOnce)];
        self.send(Packet::Subscribe(Subscribe { id: 60_000, has_subscription_id: false, filters }));
        match self.next_ack() {
            Some(Packet::Suback { codes, .. }) => assert_eq!(codes, [1]),
            other => panic!("no SUBACK: {other:?}"),
        }
    }

    /// Waits for the next outcome, acknowledges it and returns the message id and the result.
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

    /// Closes the connection without a DISCONNECT.
    pub fn cut(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
