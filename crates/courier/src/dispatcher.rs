//! The dispatcher: the only owner of the scheduler. It passes events to the scheduler in batches, at most
//! one per tick, and carries out the actions that the scheduler returns. It makes no decision about a message
//! itself. This file has the event loop; each submodule has a part of the state and the operations on it:
//!
//! ```text
//!   acceptance      submissions, ids, replies      attempts   messages held and their calls
//!   members         endpoints, zones, drains       lease      until when the endpoint list may be used
//!   records         what waits on the journal, disk failures
//!   notices         verdicts until their notices are acknowledged
//!   ended_messages  records of ended messages      brokers    sessions on MQTT brokers, publishing
//!   open_attempts   attempts at brokers by the previous process
//!   memory          memory of each message, measuring, releasing
//!   stored_state    state of other parts by key    shutdown   the end after SIGTERM
//!   clock_record    the clocks, for the next process
//! ```

mod acceptance;
mod attempts;
mod broker_config;
mod brokers;
mod clock_record;
mod ended_messages;
mod held_message;
mod lease;
mod members;
mod memory;
mod notices;
mod open_attempts;
pub mod planted_settings;
mod records;
pub mod setup;
mod shutdown;
mod stored_state;

use crate::discovery::configured_hosts::changed_hosts;
use crate::events::{DispatcherEvent, EndpointList, Ingress};
use crate::ingress::server_state::ServerState;
use crate::upstream::endpoint_client::EndpointClient;
use crate::upstream::outcomes::OutcomeNotifier;
use acceptance::Acceptance;
use attempts::{Attempts, less_elapsed};
use clock_record::ClockRecorder;
use members::Members;
use memory::Memory;
use notices::Notices;
use planted_settings::scheduler_settings;
use records::{COMPACTION_INTERVAL, DISK_RETRY_INTERVAL, Records};
use setup::Setup;
use shutdown::{SHUTDOWN_CHECK_INTERVAL, Shutdown};
use stairshed_clock::{StableClock, StableTime};
use stairshed_config::change::member_changes;
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use stairshed_journal::{Journal, Verdict};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Events that are handled before other tasks have a turn.
const MAX_EVENTS_PER_TURN: usize = 64;

/// The dispatcher of one courier.
pub struct Dispatcher {
    setup: Setup,
    scheduler: Scheduler,
    journal: Journal,
    server_state: Rc<ServerState>,
    event_tx: Sender<DispatcherEvent>,
    clock_origin: Instant,
    clock: StableClock,
    clock_recorder: ClockRecorder,
    /// Events for the scheduler's next batch.
    events: Vec<Event>,
    /// The scheduler's timer and its token; a later request replaces it.
    wake: Option<(Instant, u64)>,
    acceptance: Acceptance,
    attempts: Attempts,
    members: Members,
    records: Records,
    notices: Notices,
    shutdown: Shutdown,
    memory: Memory,
    /// The ingress whose clients are notified of the outcomes of their messages.
    ingress: Option<Rc<dyn Ingress>>,
    ended_messages: ended_messages::EndedMessages,
    brokers: brokers::Brokers,
    /// Record numbers of stored state in the journal, by key.
    state_numbers: HashMap<String, u64>,
}

impl Dispatcher {
    /// Resumes what the journal holds from the previous process.
    pub fn new(
        setup: Setup,
        scheduler: Scheduler,
        journal: Journal,
        calls: EndpointClient,
        outcomes: OutcomeNotifier,
        server_state: Rc<ServerState>,
        event_tx: Sender<DispatcherEvent>,
    ) -> Self {
        let acceptance = Acceptance::after(journal.last_number());
        let memory = Memory::new(setup.memory_budget.clone());
        let clock = setup.clock_start.clock;
        let mut dispatcher = Dispatcher {
            setup,
            scheduler,
            journal,
            server_state,
            event_tx,
            clock_origin: lease::clock_origin(),
            clock,
            clock_recorder: ClockRecorder::new(),
            events: Vec::new(),
            wake: None,
            acceptance,
            attempts: Attempts::new(calls),
            members: Members::default(),
            records: Records::default(),
            notices: Notices::new(outcomes),
            shutdown: Shutdown::default(),
            memory,
            ingress: None,
            ended_messages: ended_messages::EndedMessages::default(),
            brokers: brokers::Brokers::default(),
            state_numbers: HashMap::new(),
        };
        dispatcher.load_state_numbers();
        dispatcher.resume_clock_record();
        dispatcher.load_open_attempts();
        let known = dispatcher.setup.initial_list.clone().unwrap_or_default();
        dispatcher.apply_endpoint_list(EndpointList { whole: true, ..known });
        if let Some(installation) = dispatcher.setup.installation.clone() {
            dispatcher.memory.set_configuration_bytes(installation.estimated_bytes());
            dispatcher.members.discovery_answered = true;
            dispatcher.attempts.calls.answer_profiles().set_pools(&installation.pools);
            dispatcher.members.destinations.extend(installation.pools.iter().map(|p| p.destination));
            let (hosts, limits) = changed_hosts(&member_changes(None, &installation));
            dispatcher.queue_membership_changes(hosts, limits);
            dispatcher.members.batch_size = usize::MAX;
            dispatcher.apply_pending_changes();
        }
        dispatcher.resume_lease();
        dispatcher.resume_messages();
        dispatcher.drop_lost_sessions();
        dispatcher.resume_open_attempts();
        dispatcher
    }

    /// Sets the ingress whose clients are notified of the outcomes of their messages.
    pub fn set_ingress(&mut self, ingress: Rc<dyn Ingress>) {
        self.ingress = Some(ingress);
    }

    /// Stored state under keys with this prefix: keys without the prefix, and values.
    pub fn stored_state(&self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        self.states_with_prefix(prefix)
    }

    fn reconfigure(&mut self) {
        if let Err(why) = self.scheduler.reconfigure(scheduler_settings(self.setup.settings.clone())) {
            // The settings were checked before; on an error the scheduler keeps the previous ones.
            log_line!("configuration: {why}");
        }
    }

    /// Runs until the courier has stopped.
    pub async fn run(mut self, mut inbox: Receiver<DispatcherEvent>) {
        let tick = self.setup.settings.tick;
        let mut last_batch: Option<Instant> = None;
        // Queued events that are handled before the next batch: it must not give up a message whose result is among
        // them.
        let mut backlog = 0;
        self.resume_ended();
        self.post_notices();
        loop {
            let module_due = self.wake.map(|(at, _)| at);
            let idle = self.events.is_empty()
                && self.members.pending_changes.is_empty()
                && self.members.applied.is_none();
            let module_due = if idle { module_due } else { Some(Instant::now()) };
            let module_due = module_due.map(|at| last_batch.map_or(at, |t| at.max(t + tick)));
            let disk_retry =
                self.records.disk_failed.or(self.records.sync_failed).map(|t| t + DISK_RETRY_INTERVAL);
            let compaction = self.journal.wants_compaction() && self.records.disk_failed.is_none();
            let compaction = compaction.then(|| Instant::now() + COMPACTION_INTERVAL);
            let shutdown_check = self.shutdown.since.map(|_| Instant::now() + SHUTDOWN_CHECK_INTERVAL);
            let destination_removal =
                self.members.removed_destinations.values().copied().filter(|at| *at > Instant::now()).min();
            let until_id_expiry = |at: StableTime| at.saturating_duration_since(self.clock.now());
            let id_expiry = self.ended_messages.next_expiry().map(|at| Instant::now() + until_id_expiry(at));
            let attempt_expiry = self.next_open_expiry();
            let memory_check = self.memory.due();
            let wake_at = [
                module_due,
                disk_retry,
                shutdown_check,
                compaction,
                destination_removal,
                id_expiry,
                attempt_expiry,
                memory_check,
            ]
            .into_iter()
            .flatten()
            .min();
            let timer = async {
                match wake_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let mut traffic = false;
            tokio::select! {
                biased;
                event = inbox.recv() => {
                    let Some(event) = event else { return };
                    traffic = true;
                    backlog = if backlog == 0 { inbox.len() } else { backlog - 1 };
                    self.handle_event(event);
                    backlog = self.handle_queued_events(&mut inbox, backlog);
                    self.flush_journal();
                    self.post_notices();
                }
                () = timer => {}
            }
            let now = Instant::now();
            if disk_retry.is_some_and(|at| at <= now) {
                self.flush_journal();
            }
            if module_due.is_some_and(|at| at <= now) && backlog == 0 {
                (last_batch, traffic) = (Some(now), true);
                self.run_batch(now);
                self.post_notices();
            }
            if backlog > 0 {
                yield_now().await;
            }
            self.end_messages_of_removed_pools();
            self.end_expired_open_attempts();
            self.forget_expired();
            self.compact();
            self.check_memory(traffic);
            self.end_requests_when_due();
            if self.is_shutdown_complete() {
                return;
            }
        }
    }

    /// Handles `count` queued events, up to [`MAX_EVENTS_PER_TURN`]. Returns how many of them are left.
    fn handle_queued_events(&mut self, inbox: &mut Receiver<DispatcherEvent>, count: usize) -> usize {
        let this_turn = count.min(MAX_EVENTS_PER_TURN);
        for _ in 0..this_turn {
            let Ok(event) = inbox.try_recv() else { return 0 };
            self.handle_event(event);
        }
        count - this_turn
    }

    fn handle_event(&mut self, event: DispatcherEvent) {
        match event {
            DispatcherEvent::Submitted(submission) => self.submit(submission),
            DispatcherEvent::CallEnded { message, attempt, endpoint, end } => {
                self.call_ended(message, attempt, endpoint, end)
            }
            DispatcherEvent::ProbeEnded { endpoint, sent, end } => {
                let elapsed = end.at.saturating_duration_since(sent);
                let outcome = less_elapsed(end.outcome, end.at);
                self.events.push(Event::ProbeEnded { endpoint, outcome, elapsed, report: end.report });
            }
            DispatcherEvent::BackoffRequested { endpoint, until, scope } => {
                self.back_off_endpoint(endpoint, until, scope);
            }
            DispatcherEvent::EndpointsListed(list) => {
                self.members.discovery_answered = true;
                match self.setup.installation.is_some() {
                    true => self.apply_discovered_list(list),
                    false => self.apply_endpoint_list(list),
                }
            }
            DispatcherEvent::DiscoveryLineRead { discovery, at } => self.discovery_line_read(discovery, at),
            DispatcherEvent::WatchEnded { discovery } => self.watch_ended(discovery),
            DispatcherEvent::DiscoveryUnreachable { discovery, since } => {
                self.discovery_unreachable(discovery, since)
            }
            DispatcherEvent::NoticesAcknowledged(messages) => {
                self.notices.posts_in_flight -= 1;
                for message in messages {
                    self.notice_acknowledged(message);
                }
            }
            DispatcherEvent::DiscoveryAddressChanged(discovery) => self.change_discovery_address(discovery),
            DispatcherEvent::ConfigurationChanged(update) => self.apply_configuration(*update),
            DispatcherEvent::NamesResolved(list) => self.apply_endpoint_list(list),
            DispatcherEvent::StartWatch => self.start_watch(),
            DispatcherEvent::QueryAccepted { id, reply } => self.query_accepted(&id, reply),
            DispatcherEvent::JournalSynced(done) => self.sync_finished(done),
            DispatcherEvent::StoreState(update) => self.store_state(update),
            DispatcherEvent::OutcomeNotified { message } => self.owner_notified(message),
            DispatcherEvent::PubrecReceived { session, id, message } => {
                self.pubrec_received(session, id, message)
            }
            DispatcherEvent::SessionResuming { session, pending } => self.session_resuming(session, pending),
            DispatcherEvent::PacketIdFreed { session, id } => self.free_packet_id(&session, id),
            DispatcherEvent::Stop => self.begin_shutdown(),
        }
    }

    /// Runs one batch: passes the pending events to the scheduler and carries out its actions.
    fn run_batch(&mut self, now: Instant) {
        self.update_clock_record(now);
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= now) {
            self.events.push(Event::TimerFired { token });
        }
        self.drop_abandoned_submissions();
        if is_planted(PlantedFault::DeadlineByWallClock) {
            self.end_overdue_by_wall_clock();
        }
        self.apply_pending_changes();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.scheduler.handle(now.duration_since(self.clock_origin), &events, &mut actions);
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
                    self.attempts.calls.close_idle(endpoint);
                    self.close_broker(endpoint);
                }
                Action::Subscribe { active: true } | Action::FetchEndpointList => self.start_watch(),
                Action::Subscribe { active: false } | Action::SendNote { .. } => {}
                Action::SetTimer { token, after } => self.wake = Some((now + after, token)),
                Action::ForgetEndpoint { endpoint } => {
                    self.attempts.calls.remove_endpoint(endpoint);
                    self.forget_broker(endpoint);
                    self.forget_endpoint(endpoint);
                }
                Action::Log { text } => log_line!("note: {text}"),
            }
        }
        self.accept_submissions(&mut refused);
        for (message, verdict) in refused {
            self.record_verdict(message, verdict);
        }
        self.start_calls(sends, now);
        for (message, session) in cancels {
            let in_flight = self.attempts.held.get_mut(&message).and_then(|m| m.in_flight.as_mut());
            match in_flight.and_then(|(_, cancel)| cancel.take()) {
                Some(cancel) => drop(cancel.send(())),
                // A PUBLISH that has begun cannot be cancelled, and must not be reported as cancelled.
                None => session.into_iter().for_each(|session| self.cancel_publish(&session, message)),
            }
        }
    }
}
