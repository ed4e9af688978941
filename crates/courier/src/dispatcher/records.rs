//! Journal records: nothing is sent and no client is answered before the records that this needs are durable.
//! Owns the queue of deferred actions and the state of the disk, and resumes the messages of the previous
//! process.

use super::Dispatcher;
use super::held_message::{DeferredAction, HeldMessage, UNKNOWN_ZONE};
use crate::events::DispatcherEvent;
use crate::message_trace;
use crate::system_errors::policy::JOURNAL_PAUSES;
use crate::system_errors::{Operation, report, report_journal_error};
use crate::upstream::outcomes::Notice;
use stairshed_clock::StableTime;
use stairshed_decide::interface::*;
use stairshed_journal::{LiveMessage, SyncOutcome, Verdict};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that one compaction step copies, which takes about 50 us.
const COMPACTION_STEP_BYTES: u64 = 64 * 1024;
/// Pause between compaction steps while the dispatcher is idle.
pub(super) const COMPACTION_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between retries of a failed disk.
pub(super) const DISK_RETRY_INTERVAL: Duration = JOURNAL_PAUSES.most;

/// Actions that wait for the journal, and the state of the disk.
#[derive(Default)]
pub(super) struct Records {
    /// Actions that wait for a sync, in the order of the sequence numbers that they need.
    pub(super) waiting: VecDeque<(u64, DeferredAction)>,
    /// When a write failed last; None once writes succeed again.
    pub(super) disk_failed: Option<Instant>,
    /// When a sync failed last; None once everything is durable again.
    pub(super) sync_failed: Option<Instant>,
}

/// Logs how many messages the previous process left, if any.
fn log_resumed(live: &[(u64, LiveMessage)], now: StableTime) {
    if live.is_empty() {
        return;
    }
    let ended = live.iter().filter(|(_, m)| m.verdict.is_some()).count();
    let open = || live.iter().filter(|(_, m)| m.verdict.is_none());
    let may_have_run = open().filter(|(_, m)| m.attempts.iter().any(|a| a.may_have_run)).count();
    let untried = open().filter(|(_, m)| m.attempts.is_empty()).count();
    let past = open().filter(|(_, m)| m.accepted.deadline <= now).count();
    log_line!(
        "resumed {} messages: {ended} ended, their notices not acknowledged; {untried} never called; \
         {may_have_run} may have run; {past} out of time",
        live.len()
    );
}

impl Dispatcher {
    /// Resumes the messages in the journal, with what is known of their attempts.
    pub(super) fn resume_messages(&mut self) {
        let live: Vec<(u64, LiveMessage)> = self.journal.live().map(|(n, m)| (n, m.clone())).collect();
        log_resumed(&live, self.clock.now());
        for (message, m) in live {
            let accepted = m.accepted.clone();
            self.acceptance.ids.insert(accepted.id.clone(), message);
            self.memory.resume_message(message, &accepted);
            let class = self.classify(&accepted);
            // A message with a verdict only waits for its notice to be acknowledged: sending it again could
            // deliver a message that its client was told to submit again.
            let verdict = m.verdict.or(class.is_none().then_some(Verdict::Dead));
            if let Some(verdict) = verdict {
                if m.verdict.is_none() {
                    self.journal.record_verdict(message, verdict);
                }
                let seq = self.journal.last_seq();
                self.memory.add_notice(message);
                let notice = Notice { message, id: accepted.id.clone(), verdict, attempts: None };
                self.notices.queue.push_back((seq, notice));
                continue;
            }
            // A message whose pool the configuration no longer has is held as if the pool were removed now.
            if self.setup.installation.is_some() && !self.members.destinations.contains(&accepted.destination)
            {
                let until = Instant::now() + self.setup.pool_wait;
                self.members.removed_destinations.entry(accepted.destination).or_insert(until);
            }
            self.members.destinations.insert(accepted.destination);
            if self.hold_open_attempt(message, &m, class.unwrap_or_default()) {
                continue;
            }
            let taken = self.resumed_message(message, &m, class.unwrap_or_default());
            message_trace::log_step(
                &accepted.id,
                format_args!("resumed number={message} class={} past={:?}", accepted.class, taken.history),
            );
            self.events.push(Event::Accepted(taken));
            let (class, attempts) = (class.unwrap_or_default(), m.attempts.len() as u32);
            self.attempts.held.insert(message, HeldMessage { accepted, class, attempts, in_flight: None });
        }
        self.update_classes();
    }

    /// The scheduler's event for a message with earlier attempts: one of a previous process, or one that the
    /// scheduler does not know yet.
    pub(super) fn resumed_message(&mut self, message: u64, live: &LiveMessage, class: usize) -> Accepted {
        let now = self.clock.now();
        let accepted = &live.accepted;
        let ran = live.attempts.iter().find(|a| a.may_have_run).map(|a| Ran {
            endpoint: self.endpoint_id(&a.host),
            // An operator's endpoints may have no zone, and this attempt's zone is not known: a keyed repeat
            // must not rely on the key memory of endpoints that may not have seen the key.
            zone: self.zone_index(if a.host.is_empty() { UNKNOWN_ZONE } else { &a.zone }),
            ago: self.clock.proven_duration(a.sent_at, now).unwrap_or(Duration::MAX),
        });
        let most = self.setup.classes.get(class).map(|c| c.deadline);
        Accepted {
            message: MessageId(message),
            class,
            tenant: 0,
            destination: DestinationId(accepted.destination),
            key: accepted.routed.as_ref().and_then(|r| r.order_key.clone()),
            // A program without a stable clock may have recorded the deadline after a step of its clock.
            time_left: accepted.deadline.saturating_duration_since(now).min(most.unwrap_or(Duration::MAX)),
            estimated_work: None,
            history: Past { attempts: live.attempts.len() as u32, ran },
        }
    }

    /// Runs one compaction step, short enough not to delay other events.
    pub(super) fn compact(&mut self) {
        if self.records.disk_failed.is_none() && self.journal.wants_compaction() {
            self.journal.compact(COMPACTION_STEP_BYTES);
            self.flush_journal();
        }
    }

    /// Starts the sync that is due, on a thread of its own so that it does not block the dispatcher.
    pub(super) fn start_sync(&mut self) {
        if let Some(failed) = &mut self.records.sync_failed {
            if failed.elapsed() < DISK_RETRY_INTERVAL {
                return;
            }
            *failed = Instant::now();
        }
        if let Some(job) = self.journal.begin_sync() {
            let event_tx = self.event_tx.clone();
            tokio::task::spawn_local(async move {
                if let Ok(done) = tokio::task::spawn_blocking(|| job.run()).await {
                    // The receiver is gone once the courier has stopped.
                    let _ = event_tx.send(DispatcherEvent::JournalSynced(done)).await;
                }
            });
        }
    }

    /// Handles the result of a sync.
    pub(super) fn sync_finished(&mut self, done: SyncOutcome) {
        if let Some(e) = done.error() {
            report(Operation::JournalSync, e);
        }
        if let Err(e) = self.journal.finish_sync(done) {
            log_line!("journal: {e}");
        }
        if self.journal.is_disk_trusted() {
            if self.records.sync_failed.take().is_some() {
                log_line!("journal: syncs work again, and all that lives is written anew");
            }
        } else if !self.journal.wants_compaction() {
            self.records.sync_failed = Some(Instant::now());
        }
        self.flush_journal();
        // These records are durable even if later writes fail.
        self.run_durable_actions();
    }

    /// Runs the deferred actions whose records are durable now.
    pub(super) fn run_durable_actions(&mut self) {
        let durable = self.journal.durable();
        while let Some((_, action)) = self.records.waiting.pop_front_if(|(seq, _)| *seq <= durable) {
            self.run_deferred(action);
        }
    }

    /// Runs an action once the records up to `seq` are durable: at once if they are already.
    pub(super) fn run_when_durable(&mut self, seq: u64, action: DeferredAction) {
        match self.journal.durable() >= seq {
            true => self.run_deferred(action),
            false => self.records.waiting.push_back((seq, action)),
        }
    }

    /// Runs an action whose records are durable.
    pub(super) fn run_deferred(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::ConfirmAcceptance { message } => self.confirm_acceptance(message),
            DeferredAction::StartCall { call, cancelled } => self.start_call(call, cancelled),
            DeferredAction::ConfirmBounce { message, reply } => self.confirm_bounce(reply, message),
            DeferredAction::ConfirmState { token } => {
                if let Some(ingress) = &self.ingress {
                    ingress.on_stored(token, Ok(()));
                }
            }
            DeferredAction::ConfirmPubrec { session, id } => self.pubrec_recorded(&session, id),
            DeferredAction::ResumeSession { session } => self.resume_session(&session),
        }
    }

    /// Writes the buffered records to the file, and returns whether that worked. After an error nothing more
    /// is accepted until a write succeeds.
    pub(super) fn flush_journal(&mut self) -> bool {
        match self.journal.flush() {
            Ok(()) => {
                if self.records.disk_failed.take().is_some() {
                    log_line!("journal: works again");
                }
            }
            Err(e) => {
                report_journal_error(&e);
                if self.records.disk_failed.replace(Instant::now()).is_none() {
                    log_line!("journal: cannot write: {e}");
                }
            }
        }
        self.journal.take_tolerated_errors().iter().for_each(report_journal_error);
        if !self.journal.is_disk_trusted() && self.records.sync_failed.is_none() {
            self.records.sync_failed = Some(Instant::now());
        }
        let disk_works = self.records.disk_failed.is_none();
        if disk_works {
            self.start_sync();
            // Runs what waited out a disk failure; otherwise only a sync makes records durable.
            self.run_durable_actions();
        }
        self.server_state.ready.set(disk_works && self.shutdown.since.is_none());
        disk_works
    }

    /// Ends a message for which nothing remains to be done.
    pub(super) fn end_message(&mut self, message: u64) {
        if let Some(m) = self.journal.get(message) {
            let id = m.accepted.id.clone();
            self.free_id(message, &id);
            self.memory.release(message);
            self.journal.record_end(message);
        }
    }
}
