//! Membership: the endpoints that the scheduler knows, their zones and ids, the changes from configurations,
//! discovery and DNS lookups, and removed destinations.

use super::Dispatcher;
use super::held_message::HeldMessage;
use crate::discovery::watch::DiscoveryWatch;
use crate::events::{
    ConfigurationUpdate, EndpointList, Health, ListedEndpoint, MembershipChanges, diff_endpoints,
};
use stairshed_decide::interface::{self, *};
use stairshed_journal::Verdict;
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Changed endpoints of a configuration that are passed to the scheduler per batch, at least.
const MIN_ENDPOINTS_PER_BATCH: usize = 250;
/// Batches over which the changes of a configuration are spread, at most: with batches 5 ms apart, a removed
/// endpoint gets nothing new after 0.2 s.
const MAX_BATCHES_PER_CONFIGURATION: usize = 40;

/// Minimum interval between log lines on the same fault.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// An endpoint that the scheduler knows.
pub(super) struct Endpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) zone: usize,
    /// Whether the list has it as ready; no idle connection is kept to an endpoint that is not.
    pub(super) ready: bool,
    /// Whether it is listed by discovery, so that it is used only while the lease on the list is valid.
    leased: bool,
    /// None until it is listed: an attempt of a previous process may be all that is known of it.
    pub(super) destination: Option<u64>,
    /// For an MQTT broker: the topic that is published to.
    pub(super) topic: Option<String>,
}

/// Endpoints and destinations, and the changes to them.
#[derive(Default)]
pub(super) struct Members {
    /// Endpoints that the scheduler knows, until it forgets them. Ids are never reused.
    pub(super) endpoints: HashMap<EndpointId, Endpoint>,
    next_id: u32,
    pub(super) ids_by_host: HashMap<String, EndpointId>,
    pub(super) destinations: BTreeSet<u64>,
    /// Whether discovery has answered since the start.
    pub(super) discovery_answered: bool,
    watch: Option<AbortHandle>,
    /// When messages began to be held because the list may be out of date; None while it is current.
    pub(super) list_stale_since: Option<Instant>,
    /// Whether the age of the initial list, and the discovery that it came from, are unknown.
    pub(super) list_age_unknown: bool,
    list_age_reported: Option<Instant>,
    /// Changed endpoints of a configuration that have not been passed to the scheduler yet.
    pub(super) pending_changes: VecDeque<ListedEndpoint>,
    /// How many of them are passed on per batch.
    pub(super) batch_size: usize,
    /// Signalled once all of them have been passed on.
    pub(super) applied: Option<oneshot::Sender<()>>,
    /// For an operator's courier: the endpoints that discovery lists.
    discovered: BTreeMap<String, ListedEndpoint>,
    /// Those of them that were passed to the scheduler.
    reported: BTreeMap<String, ListedEndpoint>,
    /// Destinations that a configuration has removed, and when the messages held for them end.
    pub(super) removed_destinations: BTreeMap<u64, Instant>,
}

impl Members {
    /// Whether any endpoint comes from discovery.
    pub(super) fn has_listed(&self) -> bool {
        self.endpoints.values().any(|e| e.leased)
    }

    /// Logs, at most once per [`REPORT_INTERVAL`], that the age of the list cannot be saved.
    pub(super) fn report_list_age_error(&mut self, error: &io::Error) {
        let now = Instant::now();
        if self.list_age_reported.is_none_or(|at| now - at >= REPORT_INTERVAL) {
            self.list_age_reported = Some(now);
            log_line!(
                "discovery: the age of the list cannot be kept: {error}; a restart may hold messages longer"
            );
        }
    }
}

impl Dispatcher {
    /// Puts a configuration into effect as a whole, between two batches.
    pub(super) fn apply_configuration(&mut self, update: ConfigurationUpdate) {
        let ConfigurationUpdate { version, installation, caps, changes, done } = update;
        let MembershipChanges { hosts, limits, removed_destinations, present_destinations } = changes;
        let held = self.attempts.held.values().map(|m| m.class);
        let in_use: BTreeSet<usize> = held.chain(self.acceptance.pending.values().map(|o| o.class)).collect();
        let classes = installation.classes.iter().map(|c| c.name.clone());
        let classes = classes.zip(installation.settings.classes.iter().cloned());
        self.setup.classes.update(classes, &in_use);
        self.setup.settings =
            Settings { classes: self.setup.classes.classes(), ..installation.settings.clone() };
        self.setup.settings.keepalive = self
            .attempts
            .calls
            .set_timeouts(installation.settings.connect_timeout, installation.settings.keepalive);
        self.attempts.calls.answer_profiles().set_pools(&installation.pools);
        self.reconfigure();
        let removal_due = Instant::now() + installation.file.limits.pool_wait.0;
        self.setup.pool_wait = installation.file.limits.pool_wait.0;
        self.setup.max_remembered = installation.file.limits.remembered;
        for destination in present_destinations {
            self.members.removed_destinations.remove(&destination);
            self.members.destinations.insert(destination);
        }
        for destination in removed_destinations {
            self.members.removed_destinations.entry(destination).or_insert(removal_due);
        }
        if let Some(active_config) = &self.setup.active_config {
            active_config.set(version, installation.clone());
        }
        self.memory.set_configuration_bytes(installation.estimated_bytes());
        self.memory.budget.set_caps(&caps, installation.file.memory.client_share);
        self.setup.installation = Some(installation);
        self.queue_membership_changes(hosts, limits);
        self.update_discovered_endpoints();
        self.mark_brokers_stale();
        self.members.applied = Some(done);
    }

    /// Applies a list from discovery to the discovered endpoints. Even a whole list does not affect the
    /// endpoints that the configuration names.
    pub(super) fn apply_discovered_list(&mut self, list: EndpointList) {
        if list.whole {
            self.members.discovered.clear();
        }
        for host in list.hosts {
            match host.health {
                Health::Gone => drop(self.members.discovered.remove(&host.host)),
                _ => drop(self.members.discovered.insert(host.host.clone(), host)),
            }
        }
        self.update_discovered_endpoints();
    }

    /// Passes changes among the discovered endpoints to the scheduler, for pools that use discovery.
    pub(super) fn update_discovered_endpoints(&mut self) {
        let Some(installation) = &self.setup.installation else { return };
        let destinations: BTreeSet<u64> =
            installation.pools.iter().filter(|p| p.discovery).map(|p| p.destination).collect();
        let of = self.members.discovered.iter().filter(|(_, host)| destinations.contains(&host.block));
        let now: BTreeMap<String, ListedEndpoint> =
            of.map(|(name, host)| (name.clone(), host.clone())).collect();
        let hosts = diff_endpoints(&self.members.reported, &now);
        self.members.reported = now;
        if !hosts.is_empty() {
            self.apply_endpoint_list(EndpointList { seq: 0, whole: false, hosts });
        }
    }

    /// Passes the next changed endpoints to the scheduler. The changes are spread over batches, since
    /// thousands at once would delay everything else.
    pub(super) fn apply_pending_changes(&mut self) {
        if !self.members.pending_changes.is_empty() {
            let hosts = self
                .members
                .pending_changes
                .drain(..self.members.batch_size.min(self.members.pending_changes.len()))
                .collect();
            self.apply_endpoint_list(EndpointList { seq: 0, whole: false, hosts });
        }
        if self.members.pending_changes.is_empty()
            && let Some(done) = self.members.applied.take()
        {
            // The receiver may be gone, which changes nothing.
            let _ = done.send(());
        }
    }

    /// Queues the endpoint changes of a configuration and applies changed limits at once.
    pub(super) fn queue_membership_changes(
        &mut self,
        hosts: Vec<ListedEndpoint>,
        limits: Vec<(String, f64)>,
    ) {
        for (host, limit) in limits {
            // A new endpoint gets its limit from its list entry.
            if let Some(endpoint) = self.members.ids_by_host.get(&host) {
                self.scheduler.set_limit(*endpoint, limit);
            }
        }
        self.members.batch_size =
            MIN_ENDPOINTS_PER_BATCH.max(hosts.len().div_ceil(MAX_BATCHES_PER_CONFIGURATION));
        self.members.pending_changes.extend(hosts);
    }

    /// Ends the messages held for destinations whose removal is final, since they can no longer be delivered.
    /// Messages that never ran, or are repeatable, bounce and may be submitted again; for the others it is
    /// not known whether they took effect.
    pub(super) fn end_messages_of_removed_pools(&mut self) {
        let now = Instant::now();
        let due: Vec<u64> =
            self.members.removed_destinations.iter().filter(|(_, at)| **at <= now).map(|(d, _)| *d).collect();
        if due.is_empty() {
            return;
        }
        let of = |m: &HeldMessage| due.contains(&m.accepted.destination);
        let mut ended = Vec::new();
        for (message, m) in self.attempts.held.iter().filter(|(_, m)| of(m) && m.in_flight.is_none()) {
            let Some(live) = self.journal.get(*message).filter(|live| live.verdict.is_none()) else {
                continue;
            };
            let ran = live.attempts.iter().any(|a| a.may_have_run);
            let repeatable = self.setup.classes.get(m.class).is_some_and(|c| c.effect == Effect::Repeatable);
            let bounced = Verdict::Bounced { wait: None };
            ended.push((*message, if ran && !repeatable { Verdict::Dead } else { bounced }));
        }
        for (message, verdict) in &ended {
            self.events.push(Event::Withdrawn { message: MessageId(*message) });
            self.record_verdict(*message, *verdict);
        }
        for destination in due {
            // Messages with a call in flight end with that call.
            if !self.attempts.held.values().any(|m| m.accepted.destination == destination) {
                self.members.removed_destinations.remove(&destination);
                self.members.destinations.remove(&destination);
                self.attempts.calls.answer_profiles().remove(DestinationId(destination));
            }
        }
        if !ended.is_empty() {
            log_line!("configuration: {} messages of pools that are gone have ended", ended.len());
            self.flush_journal();
            self.post_notices();
        }
    }

    /// The index of a zone. Zones that the settings lack get the next index, even if only the journal names
    /// them: with one index for two zones, a keyed repeat could go to a zone that does not know its key.
    pub(super) fn zone_index(&mut self, name: &str) -> usize {
        let zones = &mut self.setup.zones;
        zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_owned());
            zones.len() - 1
        })
    }

    /// The id of an endpoint, which is assigned on first use.
    pub(super) fn endpoint_id(&mut self, host: &str) -> EndpointId {
        if let Some(id) = self.members.ids_by_host.get(host) {
            return *id;
        }
        let id = EndpointId(self.members.next_id);
        self.members.next_id += 1;
        let (host, name) = (host.to_owned(), host.to_owned());
        let endpoint = Endpoint {
            host,
            address: None,
            zone: 0,
            ready: false,
            leased: false,
            destination: None,
            topic: None,
        };
        self.members.endpoints.insert(id, endpoint);
        self.members.ids_by_host.insert(name, id);
        id
    }

    /// Forgets an endpoint that the scheduler has forgotten. Its name may belong to another one by now.
    pub(super) fn forget_endpoint(&mut self, endpoint: EndpointId) {
        let Some(e) = self.members.endpoints.remove(&endpoint) else { return };
        if self.members.ids_by_host.get(&e.host) == Some(&endpoint) {
            self.members.ids_by_host.remove(&e.host);
        }
    }

    /// Applies a list, or changes to it, and passes them to the scheduler.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let mut entries = Vec::new();
        // A list of changes affects only the endpoints that it names.
        let named = list.hosts.iter().filter_map(|h| self.members.ids_by_host.get(&h.host).copied());
        let before: Vec<EndpointId> = match list.whole {
            true => self.members.endpoints.keys().copied().collect(),
            false => named.collect(),
        };
        let before: Vec<_> = before.into_iter().filter(|id| self.members.endpoints[id].ready).collect();
        if list.whole {
            self.end_use_of_unlisted(&list.hosts);
        }
        for host in list.hosts {
            match self.member_elsewhere(&host) {
                // It tells of the end of the one whose name belongs to another destination by now.
                Some(_) if host.health == Health::Gone => continue,
                Some(endpoint) => entries.extend(self.end_membership(endpoint)),
                None => {}
            }
            entries.extend(self.apply_entry(&host));
        }
        self.events.push(Event::EndpointList { complete: list.whole, entries });
        for endpoint in before {
            self.close_unless_ready(endpoint);
        }
    }

    /// Applies one entry of a list. Returns it for the scheduler.
    fn apply_entry(&mut self, host: &ListedEndpoint) -> Option<EndpointEntry> {
        let (endpoint, zone) = (self.endpoint_id(&host.host), self.zone_index(&host.site));
        let kinds = &self.setup.endpoint_kinds;
        let kind = kinds.iter().position(|k| *k == host.class).unwrap_or(kinds.len());
        let e = self.members.endpoints.get_mut(&endpoint)?;
        (e.zone, e.destination, e.topic) = (zone, Some(host.block), host.topic.clone());
        e.leased = host.leased;
        e.address = host.dial.parse().ok().or(e.address);
        let address = e.address.filter(|_| host.health != Health::Gone);
        self.attempts.calls.set_address(endpoint, address);
        // Without a valid address nothing can be sent to the endpoint.
        let state = match host.health {
            Health::Ready if e.address.is_some() => interface::EndpointState::Ready,
            Health::Gone => interface::EndpointState::Gone,
            _ if is_planted(PlantedFault::DrainIgnored) => interface::EndpointState::Ready,
            _ => interface::EndpointState::Draining,
        };
        e.ready = state == interface::EndpointState::Ready;
        let ready = e.ready;
        self.attempts.calls.set_available(endpoint, ready);
        self.attempts.calls.set_leased(endpoint, host.leased);
        self.broker_state_changed(endpoint, ready);
        self.members.destinations.insert(host.block);
        let (destination, weight, requires_lease) = (DestinationId(host.block), host.share, host.leased);
        Some(EndpointEntry { endpoint, destination, zone, kind, state, weight, requires_lease })
    }

    /// The endpoint that is known by the name of an entry, if that is listed for another destination than before.
    fn member_elsewhere(&self, host: &ListedEndpoint) -> Option<EndpointId> {
        let endpoint = *self.members.ids_by_host.get(&host.host)?;
        let destination = self.members.endpoints.get(&endpoint)?.destination?;
        (destination != host.block).then_some(endpoint)
    }

    /// A name or address that is listed for another destination than before is another endpoint: ends the earlier
    /// one, so that the name is free for a new id. Returns its last entry for the scheduler.
    fn end_membership(&mut self, endpoint: EndpointId) -> Option<EndpointEntry> {
        let e = self.members.endpoints.get(&endpoint)?;
        let entry = EndpointEntry {
            endpoint,
            destination: DestinationId(e.destination?),
            zone: e.zone,
            kind: 0,
            state: interface::EndpointState::Gone,
            weight: 0.0,
            requires_lease: e.leased,
        };
        self.members.ids_by_host.remove(&e.host);
        self.end_use(endpoint);
        Some(entry)
    }

    /// Ends the use of the endpoints that a whole list leaves out. The scheduler takes them for gone, too.
    fn end_use_of_unlisted(&mut self, listed: &[ListedEndpoint]) {
        let listed = listed.iter().filter(|host| host.health != Health::Gone);
        let listed: BTreeSet<&str> = listed.map(|host| host.host.as_str()).collect();
        let is_unlisted = |e: &Endpoint| e.destination.is_some() && !listed.contains(e.host.as_str());
        let members = self.members.endpoints.iter();
        let unlisted: Vec<_> = members.filter(|(_, e)| is_unlisted(e)).map(|(id, _)| *id).collect();
        unlisted.into_iter().for_each(|endpoint| self.end_use(endpoint));
    }

    /// Ends the use of an endpoint that is gone: calls that still wait for a connection or to be written are not
    /// written to it.
    fn end_use(&mut self, endpoint: EndpointId) {
        if let Some(e) = self.members.endpoints.get_mut(&endpoint) {
            e.ready = false;
        }
        self.attempts.calls.set_available(endpoint, false);
        self.attempts.calls.set_address(endpoint, None);
        self.broker_state_changed(endpoint, false);
    }

    /// Closes the idle connections to an endpoint that is not ready: it gets no new calls, so they would only
    /// use sockets, and its address may be given to another endpoint.
    pub(super) fn close_unless_ready(&self, endpoint: EndpointId) {
        if !self.members.endpoints.get(&endpoint).is_some_and(|e| e.ready) {
            self.attempts.calls.close_idle(endpoint);
        }
    }

    /// Starts the watch on discovery, once: it reconnects by itself.
    pub(super) fn start_watch(&mut self) {
        if self.members.watch.is_none() {
            // A version is valid only for the discovery that issued it.
            let known = self.setup.initial_list.as_ref().filter(|_| !self.members.list_age_unknown);
            self.spawn_watch(known.map_or(0, |l| l.seq), known.is_none());
        }
    }

    /// Spawns a watch that continues from version `seq`.
    pub(super) fn spawn_watch(&mut self, version: u64, request_whole: bool) {
        let Some(address) = self.setup.discovery else { return };
        // An agent that pushes lists serves one courier, while a service that is asked serves the whole
        // fleet: calls to it are spread out.
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
        let task = tokio::task::spawn_local(watch.run(self.event_tx.clone()));
        self.members.watch = Some(task.abort_handle());
    }

    /// Switches to another address of discovery. A watch on the old address would miss drains until that
    /// closes it, and the new discovery's versions need not continue the old ones, so the whole list is
    /// requested.
    pub(super) fn change_discovery_address(&mut self, discovery: SocketAddr) {
        if self.setup.discovery.replace(discovery) == Some(discovery) {
            return;
        }
        self.notices.outcomes.set_address(discovery);
        self.discovery_address_changed();
        if let Some(watch) = self.members.watch.take() {
            watch.abort();
            self.spawn_watch(0, true);
        }
    }
}
