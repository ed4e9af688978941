//! A publisher's session as the server keeps it, and what of it outlasts the process.

use crate::packet::{Properties, Qos, Version, Will};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What a session takes: its tables' entries and its strings of usual length, bytes.
pub const SESSION_BYTES: u64 = 700;

/// How a message ended that the client published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The courier's number of it, given back once the client has the outcome.
    pub message: u64,
    /// What the client is sent.
    pub line: String,
}

#[derive(Debug)]
pub struct Session {
    pub client: String,
    pub version: Version,
    /// Seconds that it outlives its connection; `u32::MAX` for good.
    pub expiry: u32,
    pub connection: Option<u64>,
    /// When its connection ended, Unix time.
    pub gone: Option<Duration>,
    /// Packet ids at QoS 2 that are taken on and wait for their PUBREL.
    pub releases: BTreeSet<u16>,
    /// Packet ids that are being judged, with their tokens.
    pub pending: BTreeMap<u16, u64>,
    pub subscribed: Option<Qos>,
    pub outcomes: VecDeque<Outcome>,
    /// Outcomes that were sent and not acknowledged, by packet id.
    pub unacknowledged: BTreeMap<u16, Outcome>,
    pub next_id: u16,
    pub will: Option<Will>,
    /// Something of it is on record.
    pub recorded: bool,
}

impl Session {
    pub fn new(client: &str, version: Version) -> Self {
        Session {
            client: client.to_owned(),
            version,
            expiry: 0,
            connection: None,
            gone: None,
            releases: BTreeSet::new(),
            pending: BTreeMap::new(),
            subscribed: None,
            outcomes: VecDeque::new(),
            unacknowledged: BTreeMap::new(),
            next_id: 1,
            will: None,
            recorded: false,
        }
    }

    /// Whether anything of it must outlast the process: also a will, which is due when the process ends.
    pub fn is_persistent(&self) -> bool {
        self.expiry > 0 || self.will.is_some()
    }

    /// A packet id for an outcome. As late as can be after its last use, so that a late acknowledgement of that
    /// is not taken for one of this.
    pub fn allocate_packet_id(&mut self) -> u16 {
        loop {
            let id = self.next_id;
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.unacknowledged.contains_key(&id) {
                return id;
            }
        }
    }

    /// Bytes that it takes, estimated from what is in it.
    pub fn estimated_bytes(&self) -> u64 {
        let outcome = |o: &Outcome| (size_of::<Outcome>() + o.line.len() + 16) as u64;
        let outcomes: u64 = self.outcomes.iter().chain(self.unacknowledged.values()).map(outcome).sum();
        let will = self.will.as_ref().map_or(0, |w| (w.payload.len() + w.topic.len() + 200) as u64);
        // Entries of sets of packet ids, and the first node of each.
        let ids = |n: usize, entry: u64| if n == 0 { 0 } else { 11 * entry + n as u64 * entry * 2 };
        let ids = ids(self.releases.len(), 2) + ids(self.pending.len(), 10);
        SESSION_BYTES + self.client.len() as u64 + outcomes + will + ids
    }

    pub fn record(&self) -> String {
        let will = self.will.as_ref().map(|w| StoredWill {
            topic: w.topic.clone(),
            payload: STANDARD.encode(&w.payload),
            qos: w.qos.value(),
            delay: w.delay,
            expiry: w.expiry,
            utf8: w.utf8,
            properties: w.properties.clone(),
        });
        let stored = Stored {
            client: self.client.clone(),
            version: self.version,
            expiry: self.expiry,
            gone: self.gone.map(|at| at.as_secs()),
            releases: self.releases.clone(),
            subscribed: self.subscribed.map(|qos| qos.value()),
            will,
        };
        // Nothing in it can fail to be written.
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Reads what was recorded; None if it cannot be read.
    pub fn restore(record: &str) -> Option<Session> {
        let stored: Stored = serde_json::from_str(record).ok()?;
        let qos = |value: u8| Qos::try_from(value).ok();
        let will = match stored.will {
            None => None,
            Some(w) => Some(Will {
                topic: w.topic,
                payload: Bytes::from(STANDARD.decode(&w.payload).ok()?),
                qos: qos(w.qos)?,
                retain: false,
                delay: w.delay,
                expiry: w.expiry,
                utf8: w.utf8,
                properties: w.properties,
            }),
        };
        Some(Session {
            expiry: stored.expiry,
            gone: stored.gone.map(Duration::from_secs),
            releases: stored.releases,
            subscribed: stored.subscribed.and_then(qos),
            will,
            recorded: true,
            ..Session::new(&stored.client, stored.version)
        })
    }
}

#[derive(Serialize, Deserialize)]
struct Stored {
    client: String,
    version: Version,
    expiry: u32,
    /// Unix time, seconds; None while it was connected.
    gone: Option<u64>,
    releases: BTreeSet<u16>,
    subscribed: Option<u8>,
    will: Option<StoredWill>,
}

#[derive(Serialize, Deserialize)]
struct StoredWill {
    topic: String,
    payload: String,
    qos: u8,
    delay: u32,
    expiry: Option<u32>,
    utf8: bool,
    properties: Properties,
}

#[cfg(test)]
#[path = "session_test.rs"]
mod tests;
