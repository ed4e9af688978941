//! Attempts at MQTT brokers, as the owner of the decision module keeps them: each is on record with its packet id, so
//! that one whose fate is open is resumed after a restart, and is never a second one.

use super::Dispatcher;
use super::held_message::{Held, Waiting};
use crate::clock::unix_time;
use crate::events::{AfterAttempt, CallResult};
use crate::outbound::broker_connection::BrokerConnection;
use crate::outbound::endpoint_client::{Call, MAX_WRITE_AFTER_DRAIN};
use serde::{Deserialize, Serialize};
use stairshed_decide::interface::*;
use stairshed_journal::{Live, Verdict};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Notes of packet ids that are in use: `broker/ID/HOST`.
const PREFIX: &str = "broker/";
/// Notes of brokers whose session is being resumed: `resuming/HOST`.
const RESUMING: &str = "resuming/";
/// A message whose fate is open over a restart ends this long before its time is up.
const END_MARGIN: Duration = Duration::from_millis(50);

/// What is on record of a packet id.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct InUse {
    message: u64,
    /// PUBREC has come.
    released: bool,
}

/// An attempt of an earlier life whose fate is open.
struct Open {
    host: String,
    id: u16,
    released: bool,
    /// A broker has it.
    resumed: bool,
    /// When its message ends at the latest.
    until: Instant,
}

#[derive(Default)]
pub struct Brokers {
    of: HashMap<EndpointId, Rc<BrokerConnection>>,
    /// Those of which the configuration may say something else by now: looked at before the next message, where
    /// nothing is on its way.
    stale: HashSet<EndpointId>,
    /// Messages whose attempt is of an earlier life. The module does not know them.
    open: BTreeMap<u64, Open>,
    /// Packet ids of messages that have ended, by host: a broker's session may still know them.
    blocked: Vec<(String, u16)>,
}

fn key(host: &str, id: u16) -> String {
    format!("{PREFIX}{id}/{host}")
}

impl Dispatcher {
    /// Reads which attempts of an earlier life may be resumed.
    pub(super) fn resume_brokers(&mut self) {
        let now = unix_time();
        // Their sessions count as lost: see `Client::opened`.
        let lost: HashSet<String> = self.notes_under(RESUMING).into_iter().map(|(host, _)| host).collect();
        for host in &lost {
            self.erase(&format!("{RESUMING}{host}"));
        }
        for (key, value) in self.notes_under(PREFIX) {
            let of = key.split_once('/').and_then(|(id, host)| Some((id.parse().ok()?, host.to_owned())));
            let read = of.zip(serde_json::from_slice::<InUse>(&value).ok());
            let Some(((id, host), of)) = read else {
                eprintln!("mqtt: a record of a packet id cannot be read, and is dropped: {key}");
                self.erase(&format!("{PREFIX}{key}"));
                continue;
            };
            if lost.contains(&host) {
                self.erase(&self::key(&host, id));
                continue;
            }
            match self.journal.get(of.message) {
                Some(live) if live.verdict.is_none() => {
                    let left = live.letter.until.saturating_sub(now).saturating_sub(END_MARGIN);
                    let until = Instant::now() + left;
                    let open = Open { host, id, released: of.released, resumed: false, until };
                    self.brokers.open.insert(of.message, open);
                }
                // Its message has ended: nothing more is sent for it, and its id is not used while the session lasts.
                _ => self.brokers.blocked.push((host, id)),
            }
        }
    }

    /// Whether a message waits for the fate of an attempt of an earlier life. It is held, and not the module's.
    pub(super) fn waits_for_fate(&mut self, message: u64, live: &Live, class: usize) -> bool {
        if !self.brokers.open.contains_key(&message) {
            return false;
        }
        let (letter, attempts) = (live.letter.clone(), live.attempts.len() as u32);
        let out = Some((Instant::now(), None));
        self.out.held.insert(message, Held { letter, class, attempts, out });
        true
    }

    /// The broker behind an endpoint, as it is configured now.
    fn broker(&mut self, endpoint: EndpointId) -> Option<Rc<BrokerConnection>> {
        let known = self.brokers.of.get(&endpoint);
        if let Some(broker) = known.filter(|b| !self.brokers.stale.contains(&endpoint) || b.is_busy()) {
            return Some(broker.clone());
        }
        let e = self.members.endpoints.get(&endpoint)?;
        let (address, topic) = (e.address?, e.topic.clone()?);
        let installation = self.setup.installation.as_ref()?;
        let pool = installation.pools.iter().find(|p| p.destination == e.destination);
        let settings = pool.and_then(|p| p.broker.clone()).unwrap_or_default();
        self.brokers.stale.remove(&endpoint);
        if let Some(broker) = known.filter(|b| b.matches(address, &topic, &settings)) {
            return Some(broker.clone());
        }
        let courier = installation.file.name.clone().unwrap_or_else(|| "stairshed".to_owned());
        let client = settings.client.clone().unwrap_or_else(|| format!("{courier}/{}", e.host));
        let connect = installation.settings.connect_timeout;
        let broker = BrokerConnection::start(
            endpoint,
            (address, topic),
            (settings, client, connect),
            &self.setup.config_folder,
            self.news.clone(),
        );
        self.brokers.of.insert(endpoint, broker.clone());
        Some(broker)
    }

    /// Takes a packet id for a message, on record. None if as many are on their way as may be.
    pub(super) fn reserve(&mut self, endpoint: EndpointId, message: u64) -> Option<u16> {
        let broker = self.broker(endpoint)?;
        let id = broker.reserve_packet_id()?;
        let host = self.members.endpoints.get(&endpoint)?.host.clone();
        self.put_in_use(&host, id, InUse { message, released: false });
        Some(id)
    }

    fn put_in_use(&mut self, host: &str, id: u16, of: InUse) {
        // Whatever the journal holds: these are few, and without them what it holds could not be delivered.
        let value = serde_json::to_vec(&of).unwrap_or_default();
        self.note(&key(host, id), value.into());
    }

    /// The broker that a message is on its way to, if it is.
    pub(super) fn publishing_to(&self, message: u64) -> Option<EndpointId> {
        let of = self.brokers.of.iter().find(|(_, broker)| broker.has_message(message));
        of.map(|(endpoint, _)| *endpoint)
    }

    /// What a repeat of a held message does; of one that is not known, the strictest.
    fn effect_of(&self, message: u64) -> Effect {
        let class = self.out.held.get(&message).and_then(|m| self.setup.classes.get(m.class));
        class.map_or(Effect::Once, |c| c.effect)
    }

    /// Sends a message whose attempt is on record.
    pub(super) fn publish(&self, call: Call, id: u16) {
        if let Some(broker) = self.brokers.of.get(&call.endpoint) {
            let effect = self.effect_of(call.message);
            broker.publish(id, call, effect);
        }
    }

    /// What was not handed over after all.
    pub(super) fn unreserve(&mut self, endpoint: EndpointId, id: u16) {
        if let Some(host) = self.members.endpoints.get(&endpoint).map(|e| e.host.clone()) {
            self.erase(&key(&host, id));
        }
    }

    pub(super) fn released(&mut self, endpoint: EndpointId, id: u16, message: u64) {
        let Some(host) = self.members.endpoints.get(&endpoint).map(|e| e.host.clone()) else { return };
        self.put_in_use(&host, id, InUse { message, released: true });
        self.settle();
        self.when_kept(self.journal.last_seq(), Waiting::Recorded { endpoint, id });
    }

    /// A broker's session is about to be resumed, or what became of it is known.
    pub(super) fn resuming(&mut self, endpoint: EndpointId, pending: bool) {
        let Some(host) = self.members.endpoints.get(&endpoint).map(|e| e.host.clone()) else { return };
        let key = format!("{RESUMING}{host}");
        if !pending {
            return self.erase(&key);
        }
        self.note(&key, bytes::Bytes::new());
        self.settle();
        self.when_kept(self.journal.last_seq(), Waiting::Resuming { endpoint });
    }

    pub(super) fn may_resume(&self, endpoint: EndpointId) {
        if let Some(broker) = self.brokers.of.get(&endpoint) {
            broker.resume_recorded();
        }
    }

    pub(super) fn recorded(&self, endpoint: EndpointId, id: u16) {
        if let Some(broker) = self.brokers.of.get(&endpoint) {
            broker.release_recorded(id);
        }
    }

    pub(super) fn call_off_publish(&self, endpoint: EndpointId, message: u64) {
        if let Some(broker) = self.brokers.of.get(&endpoint) {
            broker.cancel(message);
        }
    }

    /// News of an endpoint that is a broker: what waits for it is resumed, a drain is kept.
    pub(super) fn broker_stands(&mut self, endpoint: EndpointId, ready: bool) {
        let Some(e) = self.members.endpoints.get(&endpoint).filter(|e| e.topic.is_some()) else { return };
        self.brokers.stale.insert(endpoint);
        let host = e.host.clone();
        if ready {
            if let Some(broker) = self.brokers.of.get(&endpoint) {
                broker.cancel_drain();
            }
            self.resume_at(endpoint, &host);
        } else if let Some(broker) = self.brokers.of.get(&endpoint) {
            broker.drain_after(MAX_WRITE_AFTER_DRAIN);
        }
    }

    /// Resumes what can be at the endpoints that were listed before it was read.
    pub(super) fn resume_open(&mut self) {
        let ready = self.members.endpoints.iter().filter(|(_, e)| e.ready && e.topic.is_some());
        let ready: Vec<EndpointId> = ready.map(|(id, _)| *id).collect();
        ready.into_iter().for_each(|endpoint| self.broker_stands(endpoint, true));
    }

    fn resume_at(&mut self, endpoint: EndpointId, host: &str) {
        let due: Vec<u64> =
            self.brokers.open.iter().filter(|(_, o)| o.host == host && !o.resumed).map(|(m, _)| *m).collect();
        let blocked: Vec<u16> =
            self.brokers.blocked.extract_if(.., |(h, _)| h == host).map(|(_, id)| id).collect();
        if due.is_empty() && blocked.is_empty() {
            return;
        }
        let Some(broker) = self.broker(endpoint) else { return };
        blocked.into_iter().for_each(|id| broker.block_packet_id(id));
        for message in due {
            let Some(live) = self.journal.get(message) else { continue };
            let attempt = live.attempts.len().saturating_sub(1) as u32;
            let sent = live.attempts.last().map_or(Duration::ZERO, |a| a.sent);
            let letter = live.letter.clone();
            let effect = self.effect_of(message);
            let Some(open) = self.brokers.open.get_mut(&message) else { continue };
            open.resumed = true;
            broker.resume(open.id, (message, attempt, letter), effect, (sent, open.released));
        }
    }

    /// An attempt of an earlier life has come to its end. Unless the message has, too, the module has it from here.
    pub(super) fn resumed(&mut self, message: u64, end: &CallResult) -> bool {
        if self.brokers.open.remove(&message).is_none() {
            return false;
        }
        if end.after == AfterAttempt::Settled || self.journal.get(message).is_none_or(|m| m.verdict.is_some())
        {
            self.out.held.remove(&message);
            return true;
        }
        self.hand_over(message);
        true
    }

    /// Gives a message to the module with what it went through.
    fn hand_over(&mut self, message: u64) {
        let Some(live) = self.journal.get(message).cloned() else { return };
        let Some(held) = self.out.held.get_mut(&message) else { return };
        held.out = None;
        let class = held.class;
        let taken = self.taken_before(message, &live, class);
        self.events.push(Event::Accepted(taken));
    }

    /// When the next message whose fate is open over a restart ends.
    pub(super) fn next_open(&self) -> Option<Instant> {
        self.brokers.open.values().map(|o| o.until).min()
    }

    /// Ends those whose time is up: whether it took effect is not known.
    pub(super) fn end_open(&mut self) {
        let now = Instant::now();
        let due: Vec<u64> =
            self.brokers.open.iter().filter(|(_, o)| o.until <= now).map(|(m, _)| *m).collect();
        for message in due {
            let Some(open) = self.brokers.open.remove(&message) else { continue };
            let harmless = self.effect_of(message) == Effect::Repeatable;
            if let Some(held) = self.out.held.get_mut(&message) {
                held.out = None;
            }
            if !open.resumed {
                self.brokers.blocked.push((open.host, open.id));
            }
            self.judge(message, if harmless { Verdict::Bounced { wait: None } } else { Verdict::Dead });
            self.settle();
            self.post();
        }
    }

    /// Another configuration is in effect.
    pub(super) fn brokers_configured(&mut self) {
        self.brokers.stale.extend(self.brokers.of.keys());
        self.lose_open();
    }

    /// What waits for an endpoint that the configuration has no more has lost its session: the module decides.
    pub(super) fn lose_open(&mut self) {
        let Some(installation) = self.setup.installation.clone() else { return };
        if self.brokers.open.is_empty() && self.brokers.blocked.is_empty() {
            return;
        }
        // Of a name that is looked up each address is an endpoint, `NAME@ADDRESS`.
        let brokers = installation.pools.iter().flat_map(|p| &p.members).filter(|m| m.topic.is_some());
        let there: HashSet<&str> = brokers.map(|m| m.host.as_str()).collect();
        let known = |host: &str| {
            there.contains(host) || host.rsplit_once('@').is_some_and(|(name, _)| there.contains(name))
        };
        let open = self.brokers.open.iter().filter(|(_, o)| !o.resumed && !known(&o.host));
        let gone: Vec<u64> = open.map(|(m, _)| *m).collect();
        for message in gone {
            if let Some(open) = self.brokers.open.remove(&message) {
                self.erase(&key(&open.host, open.id));
                self.hand_over(message);
            }
        }
        for (host, id) in self.brokers.blocked.extract_if(.., |(host, _)| !known(host)).collect::<Vec<_>>() {
            self.erase(&key(&host, id));
        }
    }

    pub(super) fn hang_up(&self, endpoint: EndpointId) {
        if let Some(broker) = self.brokers.of.get(&endpoint) {
            broker.disconnect_if_idle();
        }
    }

    pub(super) fn forget_broker(&mut self, endpoint: EndpointId) {
        self.brokers.stale.remove(&endpoint);
        if let Some(broker) = self.brokers.of.remove(&endpoint) {
            broker.stop();
        }
    }
}
