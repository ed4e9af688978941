//! Session of a publishing client, and the part of it that is stored across restarts.

use crate::packet::{Properties, Qos, Version, Will};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stairshed_clock::StableTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Estimated memory of a session without its contents: its map entries and strings of typical length, in
/// bytes.
const SESSION_BYTES: u64 = 700;
/// Estimated memory of a will beside its topic, payload and properties, in bytes.
const WILL_BYTES: usize = 200;
/// Estimated memory of a user property beside its text, in bytes.
const PROPERTY_BYTES: usize = 100;
/// Bytes of an entry in [`Session::releases`].
const RELEASE_ENTRY_BYTES: u64 = 2;
/// Bytes of an entry in [`Session::pending`].
const PENDING_ENTRY_BYTES: u64 = 10;
/// Entries for which a B-tree node has room.
const NODE_ENTRIES: u64 = 11;

/// Estimated memory in bytes of the session of a client when it begins.
pub(crate) fn new_session_bytes(client: &str, will: Option<&Will>) -> u64 {
    SESSION_BYTES + (client.len() + will.map_or(0, will_bytes)) as u64
}

fn will_bytes(will: &Will) -> usize {
    let property = |(name, value): &(String, String)| name.len() + value.len() + PROPERTY_BYTES;
    let properties: usize = will.properties.iter().map(property).sum();
    will.payload.len() + will.topic.len() + properties + WILL_BYTES
}

/// Estimated memory in bytes of a B-tree with packet ids as keys: its entries and its first node.
fn id_table_bytes(entries: usize, entry_bytes: u64) -> u64 {
    match entries {
        0 => 0,
        _ => NODE_ENTRIES * entry_bytes + entries as u64 * entry_bytes * 2,
    }
}

/// Result of a message that the client published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Message number in the courier, returned once the client has received the outcome.
    pub message: u64,
    /// Payload sent to the client.
    pub line: String,
}

/// State of one session.
#[derive(Debug)]
pub struct Session {
    pub client: String,
    pub version: Version,
    /// Session Expiry Interval in seconds; `u32::MAX` means that the session does not expire.
    pub expiry: u32,
    pub connection: Option<u64>,
    /// When the connection ended.
    pub gone: Option<StableTime>,
    /// Packet ids of accepted QoS 2 messages that wait for their PUBREL.
    pub releases: BTreeSet<u16>,
    /// Packet ids of PUBLISHes that wait for a decision, with the token of the offer.
    pub pending: BTreeMap<u16, u64>,
    pub subscribed: Option<Qos>,
    pub outcomes: VecDeque<Outcome>,
    /// Outcomes sent and not yet acknowledged, by packet id.
    pub unacknowledged: BTreeMap<u16, Outcome>,
    pub next_id: u16,
    pub will: Option<Will>,
    /// Whether a record of the session is stored.
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

    /// Whether the session must be stored. This includes sessions with a will, because the will is due when
    /// the process ends.
    pub fn is_persistent(&self) -> bool {
        self.expiry > 0 || self.will.is_some()
    }

    /// Allocates a packet id for an outcome. Ids are reused as late as possible, so that a late
    /// acknowledgement of an earlier outcome is not attributed to this one.
    pub fn allocate_packet_id(&mut self) -> u16 {
        loop {
            let id = self.next_id;
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.unacknowledged.contains_key(&id) {
                return id;
            }
        }
    }

    /// Estimated memory in bytes, computed from the contents, without the entries of pending PUBLISHes.
    pub fn estimated_bytes(&self) -> u64 {
        let outcome = |o: &Outcome| (size_of::<Outcome>() + o.line.len() + 16) as u64;
        let outcomes: u64 = self.outcomes.iter().chain(self.unacknowledged.values()).map(outcome).sum();
        let releases = id_table_bytes(self.releases.len(), RELEASE_ENTRY_BYTES);
        new_session_bytes(&self.client, self.will.as_ref()) + outcomes + releases
    }

    /// Estimated memory in bytes of the entries of pending PUBLISHes.
    pub fn estimated_pending_bytes(&self) -> u64 {
        id_table_bytes(self.pending.len(), PENDING_ENTRY_BYTES)
    }

    /// Encodes the stored part of the session as JSON.
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
            gone: self.gone.map(|at| at.since_epoch().as_secs()),
            releases: self.releases.clone(),
            subscribed: self.subscribed.map(|qos| qos.value()),
            will,
        };
        // Serialisation of these types cannot fail.
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Decodes a stored record; `None` if it is invalid.
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
            gone: stored.gone.map(|seconds| StableTime::from_epoch(Duration::from_secs(seconds))),
            releases: stored.releases,
            subscribed: stored.subscribed.and_then(qos),
            will,
            recorded: true,
            ..Session::new(&stored.client, stored.version)
        })
    }
}

/// Stored form of a session.
#[derive(Serialize, Deserialize)]
struct Stored {
    client: String,
    version: Version,
    expiry: u32,
    /// Seconds on the stable clock; `None` if the client was connected.
    gone: Option<u64>,
    releases: BTreeSet<u16>,
    subscribed: Option<u8>,
    will: Option<StoredWill>,
}

/// Stored form of a will.
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
