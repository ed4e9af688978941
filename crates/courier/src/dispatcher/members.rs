//! Membership: the endpoints that the module knows, their zones and numbers, what configuration, discovery and
//! look-ups change among them, and the destinations that are gone.

use super::Dispatcher;
use super::held_message::Held;
use crate::discovery::watch::DiscoveryWatch;
use crate::events::{
    ConfigurationUpdate, EndpointList, Health, ListedEndpoint, MembershipChanges, diff_endpoints,
};
use stairshed_decide::interface::{self, *};
use stairshed_journal::Verdict;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Endpoints of a changed configuration that the module hears of in one turn, and turns that all take at most:
/// with turns 5 ms apart an endpoint that is gone gets nothing new after a fifth of a second.
const SLICE: usize = 250;
const SLICES_MOST: usize = 40;

/// Between two lines of the log on the same fault.
const REPORT_PAUSE: Duration = Duration::from_secs(60);

pub(super) struct Endpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) zone: usize,
    /// As the list has it: elsewhere no connection to it is kept.
    pub(super) ready: bool,
    /// Discovery lists it.
    leased: bool,
    pub(super) destination: u64,
    /// For an MQTT broker: the topic that is published to.
    pub(super) topic: Option<String>,
}

#[derive(Default)]
pub(super) struct Members {
    /// Those that the module knows; it says when one is forgotten. Numbers are never used again.
    pub(super) endpoints: HashMap<EndpointId, Endpoint>,
    numbered: u32,
    pub(super) numbers: HashMap<String, EndpointId>,
    pub(super) destinations: BTreeSet<u64>,
    /// Discovery has answered since the start.
    pub(super) listed: bool,
    watch: Option<AbortHandle>,
    /// Since when messages are held because the list may be out of date.
    pub(super) list_stale_since: Option<Instant>,
    /// Nothing says how old the list of the start is, nor which discovery gave it.
    pub(super) list_unknown: bool,
    list_age_reported: Option<Instant>,
    /// What a configuration changes among the endpoints and the module has not heard of yet, and how many of
    /// them it hears of in a turn; who is told once it has.
    pub(super) changes: VecDeque<ListedEndpoint>,
    pub(super) slice: usize,
    pub(super) in_effect: Option<oneshot::Sender<()>>,
    /// For an operator's courier: what discovery lists, and what of it the module was told.
    discovered: BTreeMap<String, ListedEndpoint>,
    told: BTreeMap<String, ListedEndpoint>,
    /// Destinations that a configuration has removed, and when what is held for them ends.
    pub(super) removed: BTreeMap<u64, Instant>,
}

impl Members {
    /// Whether discovery has listed any endpoint.
    pub(super) fn has_listed(&self) -> bool {
        self.endpoints.values().any(|e| e.leased)
    }

    /// Says once in a while that the age of the list cannot be kept.
    pub(super) fn report_list_age_error(&mut self, error: &io::Error) {
        let now = Instant::now();
        if self.list_age_reported.is_none_or(|at| now - at >= REPORT_PAUSE) {
            self.list_age_reported = Some(now);
            eprintln!(
                "discovery: the age of the list cannot be kept: {error}; a restart may hold messages longer"
            );
        }
    }
}

impl Dispatcher {
    /// Puts a configuration into effect: whole, between two turns.
    pub(super) fn configured(&mut self, configured: ConfigurationUpdate) {
        let ConfigurationUpdate { version, installation, caps, changes, done } = configured;
        let MembershipChanges { hosts, limits, removed_destinations, present_destinations } = changes;
        let held = self.out.held.values().map(|m| m.class);
        let in_use: BTreeSet<usize> = held.chain(self.taking.offers.values().map(|o| o.class)).collect();
        let classes = installation.classes.iter().map(|c| c.name.clone());
        let classes = classes.zip(installation.settings.classes.iter().cloned());
        self.setup.classes.change(classes, &in_use);
        self.setup.settings =
            Settings { classes: self.setup.classes.classes(), ..installation.settings.clone() };
        self.setup.settings.keepalive = self
            .out
            .calls
            .set_timeouts(installation.settings.connect_timeout, installation.settings.keepalive);
        self.reconfigure();
        let wait = Instant::now() + installation.file.limits.pool_wait.0;
        self.setup.pool_wait = installation.file.limits.pool_wait.0;
        self.setup.max_remembered = installation.file.limits.remembered;
        for destination in present_destinations {
            self.members.removed.remove(&destination);
            self.members.destinations.insert(destination);
        }
        for destination in removed_destinations {
            self.members.removed.entry(destination).or_insert(wait);
        }
        if let Some(active_config) = &self.setup.active_config {
            active_config.set(version, installation.clone());
        }
        self.memory.configured(installation.weigh());
        self.memory.room.set_caps(&caps, installation.file.memory.client_share);
        self.setup.installation = Some(installation);
        self.change_members(hosts, limits);
        self.tell_discovered();
        self.brokers_configured();
        self.members.in_effect = Some(done);
    }

    /// Takes in what discovery lists beside the endpoints of the configuration: a whole list says nothing of
    /// those.
    pub(super) fn discovered(&mut self, list: EndpointList) {
        if list.whole {
            self.members.discovered.clear();
        }
        for host in list.hosts {
            match host.health {
                Health::Gone => drop(self.members.discovered.remove(&host.host)),
                _ => drop(self.members.discovered.insert(host.host.clone(), host)),
            }
        }
        self.tell_discovered();
    }

    /// Tells the module of what is discovered for pools that take their endpoints from there.
    pub(super) fn tell_discovered(&mut self) {
        let Some(installation) = &self.setup.installation else { return };
        let takes: BTreeSet<u64> =
            installation.pools.iter().filter(|p| p.discovery).map(|p| p.destination).collect();
        let of = self.members.discovered.iter().filter(|(_, host)| takes.contains(&host.block));
        let now: BTreeMap<String, ListedEndpoint> =
            of.map(|(name, host)| (name.clone(), host.clone())).collect();
        let hosts = diff_endpoints(&self.members.told, &now);
        self.members.told = now;
        if !hosts.is_empty() {
            self.list(EndpointList { seq: 0, whole: false, hosts });
        }
    }

    /// The next slice of changed endpoints, one a turn: thousands at once would hold everybody up.
    pub(super) fn change(&mut self) {
        if !self.members.changes.is_empty() {
            let hosts =
                self.members.changes.drain(..self.members.slice.min(self.members.changes.len())).collect();
            self.list(EndpointList { seq: 0, whole: false, hosts });
        }
        if self.members.changes.is_empty()
            && let Some(done) = self.members.in_effect.take()
        {
            // Its sender may be gone, which changes nothing.
            let _ = done.send(());
        }
    }

    /// Takes in what a configuration changes among the endpoints.
    pub(super) fn change_members(&mut self, hosts: Vec<ListedEndpoint>, limits: Vec<(String, f64)>) {
        for (host, limit) in limits {
            // One that is new takes it from the list.
            if let Some(endpoint) = self.members.numbers.get(&host) {
                self.scheduler.set_limit(*endpoint, limit);
            }
        }
        self.members.slice = SLICE.max(hosts.len().div_ceil(SLICES_MOST));
        self.members.changes.extend(hosts);
    }

    /// Ends what is still held for destinations that have been gone for long enough: nothing can deliver it
    /// any more. What never ran, or harms nobody twice, may be handed in again; of the rest it is not known
    /// whether it took effect.
    pub(super) fn end_removed(&mut self) {
        let now = Instant::now();
        let due: Vec<u64> =
            self.members.removed.iter().filter(|(_, at)| **at <= now).map(|(d, _)| *d).collect();
        if due.is_empty() {
            return;
        }
        let of = |m: &Held| due.contains(&m.letter.destination);
        let mut ended = Vec::new();
        for (message, m) in self.out.held.iter().filter(|(_, m)| of(m) && m.out.is_none()) {
            let Some(live) = self.journal.get(*message).filter(|live| live.verdict.is_none()) else {
                continue;
            };
            let ran = live.attempts.iter().any(|a| a.may_have_run);
            let harmless = self.setup.classes.get(m.class).is_some_and(|c| c.effect == Effect::Repeatable);
            let bounced = Verdict::Bounced { wait: None };
            ended.push((*message, if ran && !harmless { Verdict::Dead } else { bounced }));
        }
        for (message, verdict) in &ended {
            self.events.push(Event::Withdrawn { message: MessageId(*message) });
            self.judge(*message, *verdict);
        }
        for destination in due {
            // Others may have calls out: they end with those.
            if !self.out.held.values().any(|m| m.letter.destination == destination) {
                self.members.removed.remove(&destination);
                self.members.destinations.remove(&destination);
            }
        }
        if !ended.is_empty() {
            eprintln!("configuration: {} messages of pools that are gone have ended", ended.len());
            self.settle();
            self.post();
        }
    }

    /// The number of a zone. Those that the settings do not tell are numbered as they are heard of, also those that
    /// only the journal names: with one number for two zones a keyed repeat would go where its key is not known.
    pub(super) fn zone(&mut self, name: &str) -> usize {
        let zones = &mut self.setup.zones;
        zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_owned());
            zones.len() - 1
        })
    }

    pub(super) fn number(&mut self, host: &str) -> EndpointId {
        if let Some(id) = self.members.numbers.get(host) {
            return *id;
        }
        let id = EndpointId(self.members.numbered);
        self.members.numbered += 1;
        let (host, name) = (host.to_owned(), host.to_owned());
        let fresh = Endpoint {
            host,
            address: None,
            zone: 0,
            ready: false,
            leased: false,
            destination: 0,
            topic: None,
        };
        self.members.endpoints.insert(id, fresh);
        self.members.numbers.insert(name, id);
        id
    }

    pub(super) fn list(&mut self, list: EndpointList) {
        let mut entries = Vec::new();
        // Only those that the list names can change by one that is not whole.
        let named = list.hosts.iter().filter_map(|h| self.members.numbers.get(&h.host).copied());
        let before: Vec<EndpointId> = match list.whole {
            true => self.members.endpoints.keys().copied().collect(),
            false => named.collect(),
        };
        let before: Vec<_> = before.into_iter().filter(|id| self.members.endpoints[id].ready).collect();
        if list.whole {
            self.members.endpoints.values_mut().for_each(|e| e.ready = false);
        }
        for host in list.hosts {
            let (endpoint, zone) = (self.number(&host.host), self.zone(&host.site));
            let kinds = &self.setup.endpoint_kinds;
            let kind = kinds.iter().position(|k| *k == host.class).unwrap_or(kinds.len());
            let Some(e) = self.members.endpoints.get_mut(&endpoint) else { continue };
            (e.zone, e.destination, e.topic) = (zone, host.block, host.topic.clone());
            e.leased = host.leased;
            let requires_lease = host.leased;
            let address = host.dial.parse().ok().or(e.address);
            if std::mem::replace(&mut e.address, address) != address {
                self.out.calls.close_idle(endpoint);
            }
            // An address that cannot be read leaves nowhere to send to.
            let state = match host.health {
                Health::Ready if e.address.is_some() => interface::EndpointState::Ready,
                Health::Gone => interface::EndpointState::Gone,
                _ => interface::EndpointState::Draining,
            };
            e.ready = state == interface::EndpointState::Ready;
            let ready = e.ready;
            self.out.calls.set_available(endpoint, ready);
            self.out.calls.set_leased(endpoint, host.leased);
            self.broker_stands(endpoint, ready);
            self.members.destinations.insert(host.block);
            let (destination, weight) = (DestinationId(host.block), host.share);
            entries.push(EndpointEntry { endpoint, destination, zone, kind, state, weight, requires_lease });
        }
        self.events.push(Event::EndpointList { complete: list.whole, entries });
        for endpoint in before {
            self.part(endpoint);
        }
    }

    /// Nothing new goes to an endpoint that is not ready: connections kept for it would only take room, and
    /// whatever comes to its address next is another.
    pub(super) fn part(&self, endpoint: EndpointId) {
        if !self.members.endpoints.get(&endpoint).is_some_and(|e| e.ready) {
            self.out.calls.close_idle(endpoint);
        }
    }

    /// One watch lasts for good and asks again by itself.
    pub(super) fn watch(&mut self) {
        if self.members.watch.is_none() {
            // A version means something only to the discovery that gave it.
            let known = self.setup.initial_list.as_ref().filter(|_| !self.members.list_unknown);
            self.watch_from(known.map_or(0, |l| l.seq), known.is_none());
        }
    }

    pub(super) fn watch_from(&mut self, version: u64, request_whole: bool) {
        let Some(address) = self.setup.discovery else { return };
        // An agent that pushes serves its own courier; a service that is asked serves the fleet.
        let reconnect_spread =
            if self.lists_are_pushed() { Duration::ZERO } else { self.setup.settings.list_retry_spread() };
        let status = self.setup.watch_status.clone();
        let watch = DiscoveryWatch {
            address,
            seed: self.setup.seed,
            version,
            request_whole,
            reconnect_spread,
            status,
        };
        let task = tokio::task::spawn_local(watch.run(self.news.clone()));
        self.members.watch = Some(task.abort_handle());
    }

    /// Discovery has another address. A watch that went on at the old one would hear of drains only once
    /// that has closed it; and the new one's versions need not continue the old one's, so all is asked for.
    pub(super) fn moved(&mut self, discovery: SocketAddr) {
        if self.setup.discovery.replace(discovery) == Some(discovery) {
            return;
        }
        self.notices.outcomes.set_address(discovery);
        self.discovery_moved();
        if let Some(watch) = self.members.watch.take() {
            watch.abort();
            self.watch_from(0, true);
        }
    }
}
