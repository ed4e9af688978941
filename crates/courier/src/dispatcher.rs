//! The only owner of the decision module. Feeds it what happened, no oftener than once a tick, and carries
//! out what it asks for. It decides nothing about a message itself. Here are the module and the turn; each room
//! below has a part of the state and what is done with it:
//!
//! ```text
//!   taking    offers, ids, replies          members   endpoints, zones, changes, drains
//!   out       messages held, their calls    records   what waits on the journal, a failing disk
//!   notices   verdicts to be acknowledged   stopping  the end after SIGTERM
//!   memory    what each message holds, measuring, giving back
//!   lease     until when the list of endpoints may be acted on
//!   ended     what stays of ended messages  brokers   attempts at MQTT brokers      notes  state by key
//! ```

mod acceptance;
mod attempts;
mod brokers;
mod ended_messages;
mod held_message;
mod lease;
mod members;
mod memory;
mod notices;
mod records;
pub mod setup;
mod shutdown;
mod stored_state;

use crate::clock::unix_time;
use crate::discovery::configured_hosts::changed_hosts;
use crate::events::{CourierEvent, EndpointList, Frontend};
use crate::ingress::http::ServerState;
use crate::outbound::endpoint_client::EndpointClient;
use crate::outbound::outcomes::OutcomeNotifier;
use acceptance::Taking;
use attempts::{Out, aged};
use members::Members;
use memory::Memory;
use notices::Notices;
use records::{COMPACT_PAUSE, DISK_RETRY, Records};
use setup::Setup;
use shutdown::{STOP_LOOK, Stopping};
use stairshed_config::change::changes;
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use stairshed_journal::{Journal, Verdict};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{Instant, sleep_until};

pub struct Dispatcher {
    setup: Setup,
    scheduler: Scheduler,
    journal: Journal,
    server_state: Rc<ServerState>,
    news: Sender<CourierEvent>,
    origin: Instant,
    /// What the module has not heard of yet.
    events: Vec<Event>,
    /// The module's one wake-up; a later request for one takes its place.
    wake: Option<(Instant, u64)>,
    taking: Taking,
    out: Out,
    members: Members,
    records: Records,
    notices: Notices,
    stopping: Stopping,
    memory: Memory,
    /// Whose clients are told how their messages end.
    front: Option<Rc<dyn Frontend>>,
    ended: ended_messages::Ended,
    brokers: brokers::Brokers,
    /// Numbers of the journal's notes, by key.
    notes: HashMap<String, u64>,
}

impl Dispatcher {
    pub fn new(
        setup: Setup,
        scheduler: Scheduler,
        journal: Journal,
        calls: EndpointClient,
        outcomes: OutcomeNotifier,
        server_state: Rc<ServerState>,
        news: Sender<CourierEvent>,
    ) -> Self {
        let taking = Taking::after(journal.last());
        let memory = Memory::new(setup.memory_budget.clone());
        let mut courier = Dispatcher {
            setup,
            scheduler,
            journal,
            server_state,
            news,
            origin: lease::clock_origin(),
            events: Vec::new(),
            wake: None,
            taking,
            out: Out::new(calls),
            members: Members::default(),
            records: Records::default(),
            notices: Notices::new(outcomes),
            stopping: Stopping::default(),
            memory,
            front: None,
            ended: ended_messages::Ended::default(),
            brokers: brokers::Brokers::default(),
            notes: HashMap::new(),
        };
        courier.resume_notes();
        courier.resume_brokers();
        let known = courier.setup.initial_list.clone().unwrap_or_default();
        courier.list(EndpointList { whole: true, ..known });
        if let Some(installation) = courier.setup.installation.clone() {
            courier.memory.configured(installation.weigh());
            courier.members.listed = true;
            courier.members.destinations.extend(installation.pools.iter().map(|p| p.destination));
            let (hosts, limits) = changed_hosts(&changes(None, &installation));
            courier.change_members(hosts, limits);
            courier.members.slice = usize::MAX;
            courier.change();
        }
        courier.resume_lease();
        courier.resume();
        courier.lose_open();
        courier.resume_open();
        courier
    }

    /// Tells the clients of this front how their messages end.
    pub fn set_frontend(&mut self, front: Rc<dyn Frontend>) {
        self.front = Some(front);
    }

    /// What is on record under keys with this prefix.
    pub fn stored_state(&self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        self.notes_under(prefix)
    }

    fn reconfigure(&mut self) {
        if let Err(why) = self.scheduler.reconfigure(self.setup.settings.clone()) {
            // Checked before; the module goes on with what it had.
            eprintln!("configuration: {why}");
        }
    }

    /// Runs until the courier has stopped.
    pub async fn run(mut self, mut inbox: Receiver<CourierEvent>) {
        let tick = self.setup.settings.tick;
        let mut last: Option<Instant> = None;
        self.resume_ended();
        self.post();
        loop {
            let due = self.wake.map(|(at, _)| at);
            let idle =
                self.events.is_empty() && self.members.changes.is_empty() && self.members.in_effect.is_none();
            let due = if idle { due } else { Some(Instant::now()) };
            let due = due.map(|at| last.map_or(at, |t| at.max(t + tick)));
            let retry = self.records.disk_failed.or(self.records.sync_failed).map(|t| t + DISK_RETRY);
            let compact = self.journal.wants_compaction() && self.records.disk_failed.is_none();
            let compact = compact.then(|| Instant::now() + COMPACT_PAUSE);
            let stop = self.stopping.since.map(|_| Instant::now() + STOP_LOOK);
            let removed = self.members.removed.values().copied().filter(|at| *at > Instant::now()).min();
            let forget = self.ended.next().map(|at| Instant::now() + at.saturating_sub(unix_time()));
            let open = self.next_open();
            let memory = self.memory.due();
            let at = [due, retry, stop, compact, removed, forget, open, memory].into_iter().flatten().min();
            let nap = async {
                match at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let mut traffic = false;
            tokio::select! {
                biased;
                news = inbox.recv() => {
                    let Some(news) = news else { return };
                    traffic = true;
                    self.hear(news);
                    while let Ok(news) = inbox.try_recv() {
                        self.hear(news);
                    }
                    self.settle();
                    self.post();
                }
                () = nap => {
                    let now = Instant::now();
                    if retry.is_some_and(|at| at <= now) {
                        self.settle();
                    }
                    if due.is_some_and(|at| at <= now) {
                        (last, traffic) = (Some(now), true);
                        self.turn(now);
                        self.post();
                    }
                }
            }
            self.end_removed();
            self.end_open();
            self.forget_due();
            self.compact();
            self.look_at_memory(traffic);
            if self.stopped() {
                return;
            }
        }
    }

    fn hear(&mut self, news: CourierEvent) {
        match news {
            CourierEvent::Submitted(offer) => self.offered(offer),
            CourierEvent::CallEnded { message, attempt, endpoint, end } => {
                self.called(message, attempt, endpoint, end)
            }
            CourierEvent::ProbeEnded { endpoint, sent, end } => {
                let elapsed = end.at.saturating_duration_since(sent);
                let outcome = aged(end.outcome, end.at);
                self.events.push(Event::ProbeEnded { endpoint, outcome, elapsed, report: end.report });
            }
            CourierEvent::BackoffRequested { endpoint, until } => self.told_to_wait(endpoint, until),
            CourierEvent::EndpointsListed(list) => {
                self.members.listed = true;
                match self.setup.installation.is_some() {
                    true => self.discovered(list),
                    false => self.list(list),
                }
            }
            CourierEvent::DiscoveryLineRead { discovery, at } => self.discovery_heard(discovery, at),
            CourierEvent::WatchEnded { discovery } => self.watch_lost(discovery),
            CourierEvent::DiscoveryUnreachable { discovery, since } => {
                self.discovery_unreachable(discovery, since)
            }
            CourierEvent::NoticesAcknowledged(messages) => {
                self.notices.posts -= 1;
                for message in messages {
                    let verdict = self.journal.get(message).and_then(|m| m.verdict);
                    self.finish(message, verdict);
                }
            }
            CourierEvent::DiscoveryAddressChanged(discovery) => self.moved(discovery),
            CourierEvent::ConfigurationChanged(configured) => self.configured(*configured),
            CourierEvent::NamesResolved(list) => self.list(list),
            CourierEvent::StartWatch => self.watch(),
            CourierEvent::QueryAccepted { id, reply } => {
                // Who asked may be gone.
                let _ = reply.send(self.knows(&id));
            }
            CourierEvent::JournalSynced(done) => self.synced(done),
            CourierEvent::StoreState(store) => self.store(store),
            CourierEvent::OutcomeNotified { message } => self.owner_told(message),
            CourierEvent::PubrecReceived { endpoint, id, message } => self.released(endpoint, id, message),
            CourierEvent::SessionResuming { endpoint, pending } => self.resuming(endpoint, pending),
            CourierEvent::PacketIdFreed { endpoint, id } => self.unreserve(endpoint, id),
            CourierEvent::Stop => self.stop(),
        }
    }

    /// One batch: what happened goes in, and what the module asks for is carried out.
    fn turn(&mut self, now: Instant) {
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= now) {
            self.events.push(Event::TimerFired { token });
        }
        self.drop_deserted();
        self.change();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.scheduler.handle(now.duration_since(self.origin), &events, &mut actions);
        self.apply_lease(now);
        let (mut sends, mut refused, mut cancels) = (Vec::new(), HashMap::new(), Vec::new());
        for action in actions {
            match action {
                Action::Send { message, endpoint, timeout } => sends.push((message.0, endpoint, timeout)),
                Action::Refuse { message, wait } => {
                    refused.insert(message.0, Verdict::Bounced { wait });
                }
                Action::Fail { message } => {
                    refused.insert(message.0, Verdict::Dead);
                }
                Action::Cancel { message, .. } => cancels.push((message.0, self.publishing_to(message.0))),
                Action::Probe { endpoint } => self.probe(endpoint),
                Action::CloseIdleConnections { endpoint } => {
                    self.out.calls.close_idle(endpoint);
                    self.hang_up(endpoint);
                }
                Action::Subscribe { active: true } | Action::FetchEndpointList => self.watch(),
                Action::Subscribe { active: false } | Action::SendNote { .. } => {}
                Action::SetTimer { token, after } => self.wake = Some((now + after, token)),
                Action::ForgetEndpoint { endpoint } => {
                    self.out.calls.remove_endpoint(endpoint);
                    self.forget_broker(endpoint);
                    if let Some(e) = self.members.endpoints.remove(&endpoint) {
                        self.members.numbers.remove(&e.host);
                    }
                }
                Action::Log { text } => eprintln!("note: {text}"),
            }
        }
        self.take_on(&mut refused);
        for (message, verdict) in refused {
            self.judge(message, verdict);
        }
        self.send(sends, now);
        for (message, endpoint) in cancels {
            let out = self.out.held.get_mut(&message).and_then(|m| m.out.as_mut());
            match out.and_then(|(_, cancel)| cancel.take()) {
                Some(cancel) => drop(cancel.send(())),
                // A PUBLISH that has begun cannot be called off, and does not end as if it were.
                None => endpoint.into_iter().for_each(|e| self.call_off_publish(e, message)),
            }
        }
    }
}
