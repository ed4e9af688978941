//! What waits on records: nothing goes out, and nobody is told, before the journal has kept what must be kept.
//! Owns that queue and the standing of the disk; takes over what an earlier life has left.

use super::Dispatcher;
use super::held_message::{Held, NOWHERE, Waiting};
use crate::clock::unix_time;
use crate::events::CourierEvent;
use crate::message_trace;
use crate::outbound::outcomes::Notice;
use stairshed_decide::interface::*;
use stairshed_journal::{Live, Synced, Verdict};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that a step of compaction copies: some 50 us. And the pause before the next when nothing else is on.
const COMPACT_STEP: u64 = 64 * 1024;
pub(super) const COMPACT_PAUSE: Duration = Duration::from_millis(1);
/// When a disk that failed is tried again.
pub(super) const DISK_RETRY: Duration = Duration::from_millis(200);

#[derive(Default)]
pub(super) struct Records {
    /// What waits for a sync, in the order of the records that it needs.
    pub(super) waiting: VecDeque<(u64, Waiting)>,
    pub(super) disk_failed: Option<Instant>,
    /// When a sync failed last; until all is kept again.
    pub(super) sync_failed: Option<Instant>,
}

/// Says what an earlier life has left, if it has left anything.
fn report_resumed(live: &[(u64, Live)]) {
    if live.is_empty() {
        return;
    }
    let ended = live.iter().filter(|(_, m)| m.verdict.is_some()).count();
    let open = || live.iter().filter(|(_, m)| m.verdict.is_none());
    let may_have_run = open().filter(|(_, m)| m.attempts.iter().any(|a| a.may_have_run)).count();
    let untried = open().filter(|(_, m)| m.attempts.is_empty()).count();
    let past = open().filter(|(_, m)| m.letter.until <= unix_time()).count();
    eprintln!(
        "resumed {} messages: {ended} ended, their notices not acknowledged; {untried} never called; \
         {may_have_run} may have run; {past} out of time",
        live.len()
    );
}

impl Dispatcher {
    /// Hands back what the journal holds, with what is known of its attempts.
    pub(super) fn resume(&mut self) {
        let live: Vec<(u64, Live)> = self.journal.live().map(|(n, m)| (n, m.clone())).collect();
        report_resumed(&live);
        for (message, m) in live {
            let letter = m.letter.clone();
            self.taking.ids.insert(letter.id.clone(), message);
            self.memory.resume(message, &letter);
            let class = self.class(&letter);
            // A message with its end decided only waits to have it acknowledged: sending it again would
            // deliver what a client was told to hand in again.
            let verdict = m.verdict.or(class.is_none().then_some(Verdict::Dead));
            if let Some(verdict) = verdict {
                if m.verdict.is_none() {
                    self.journal.judge(message, verdict);
                }
                let seq = self.journal.last_seq();
                self.memory.notice(message);
                self.notices.queue.push_back((seq, Notice { message, id: letter.id.clone(), verdict }));
                continue;
            }
            // One whose pool a configuration has removed meanwhile waits as if that were removed now.
            if self.setup.installation.is_some() && !self.members.destinations.contains(&letter.destination) {
                let until = Instant::now() + self.setup.pool_wait;
                self.members.removed.entry(letter.destination).or_insert(until);
            }
            self.members.destinations.insert(letter.destination);
            if self.waits_for_fate(message, &m, class.unwrap_or_default()) {
                continue;
            }
            let taken = self.taken_before(message, &m, class.unwrap_or_default());
            message_trace::log_step(
                &letter.id,
                format_args!("resumed number={message} class={} past={:?}", letter.class, taken.history),
            );
            self.events.push(Event::Accepted(taken));
            let (class, attempts) = (class.unwrap_or_default(), m.attempts.len() as u32);
            self.out.held.insert(message, Held { letter, class, attempts, out: None });
        }
        self.reclassify();
    }

    /// A message of an earlier life, or one that the module has not heard of yet, with what it went through.
    pub(super) fn taken_before(&mut self, message: u64, live: &Live, class: usize) -> Accepted {
        // A clock that has jumped back since must not give what is held more time than it had: neither than was
        // left when last a time was recorded, nor than its class has.
        let now = unix_time().max(self.journal.latest());
        let letter = &live.letter;
        let ran = live.attempts.iter().find(|a| a.may_have_run).map(|a| Ran {
            endpoint: self.number(&a.host),
            // An operator's endpoints may be without a zone, and where this one was is not known: their
            // memory of keys must not be taken for the one that has seen it.
            zone: self.zone(if a.host.is_empty() { NOWHERE } else { &a.zone }),
            ago: now.saturating_sub(a.sent),
        });
        let most = self.setup.classes.get(class).map(|c| c.deadline);
        Accepted {
            message: MessageId(message),
            class,
            tenant: 0,
            destination: DestinationId(letter.destination),
            key: letter.routed.as_ref().and_then(|r| r.order.clone()),
            time_left: letter.until.saturating_sub(now).min(most.unwrap_or(Duration::MAX)),
            estimated_work: None,
            history: Past { attempts: live.attempts.len() as u32, ran },
        }
    }

    /// A step of compaction, so short that nobody notices it.
    pub(super) fn compact(&mut self) {
        if self.records.disk_failed.is_none() && self.journal.wants_compaction() {
            self.journal.compact(COMPACT_STEP);
            self.settle();
        }
    }

    /// Begins the sync that is due. It runs on a thread of its own, so that nobody waits who need not.
    pub(super) fn sync(&mut self) {
        if let Some(failed) = &mut self.records.sync_failed {
            if failed.elapsed() < DISK_RETRY {
                return;
            }
            *failed = Instant::now();
        }
        if let Some(job) = self.journal.begin_sync() {
            let news = self.news.clone();
            tokio::task::spawn_local(async move {
                if let Ok(done) = tokio::task::spawn_blocking(|| job.run()).await {
                    // Nobody is left to hear it once the courier has stopped.
                    let _ = news.send(CourierEvent::JournalSynced(done)).await;
                }
            });
        }
    }

    pub(super) fn synced(&mut self, done: Synced) {
        if let Err(e) = self.journal.finish_sync(done) {
            eprintln!("journal: {e}");
        }
        if self.journal.is_trusted() {
            if self.records.sync_failed.take().is_some() {
                eprintln!("journal: syncs work again, and all that lives is written anew");
            }
        } else if !self.journal.wants_compaction() {
            self.records.sync_failed = Some(Instant::now());
        }
        self.settle();
        // A disk that fails to take more has kept this all the same.
        self.release();
    }

    /// Does what has waited for records that are kept now.
    pub(super) fn release(&mut self) {
        let durable = self.journal.durable();
        while let Some((_, waiting)) = self.records.waiting.pop_front_if(|(seq, _)| *seq <= durable) {
            self.go_on(waiting);
        }
    }

    /// Does what needs the records up to `seq`: at once if they are kept, else when they are.
    pub(super) fn when_kept(&mut self, seq: u64, waiting: Waiting) {
        match self.journal.durable() >= seq {
            true => self.go_on(waiting),
            false => self.records.waiting.push_back((seq, waiting)),
        }
    }

    pub(super) fn go_on(&mut self, waiting: Waiting) {
        match waiting {
            Waiting::Reply { message, reply } => self.taken(message, reply),
            Waiting::Call { call, cancelled } => self.call(call, cancelled),
            Waiting::Bounced { message, reply } => self.bounced(reply, message),
            Waiting::Stored { token } => {
                if let Some(front) = &self.front {
                    front.on_stored(token, Ok(()));
                }
            }
            Waiting::Recorded { endpoint, id } => self.recorded(endpoint, id),
            Waiting::Resuming { endpoint } => self.may_resume(endpoint),
        }
    }

    /// Brings the records into the file; after an error nothing more is taken on until it works again.
    pub(super) fn settle(&mut self) -> bool {
        match self.journal.flush() {
            Ok(()) => {
                if self.records.disk_failed.take().is_some() {
                    eprintln!("journal: works again");
                }
            }
            Err(e) => {
                if self.records.disk_failed.replace(Instant::now()).is_none() {
                    eprintln!("journal: cannot write: {e}");
                }
            }
        }
        let well = self.records.disk_failed.is_none();
        if well {
            self.sync();
            // What a failing disk has kept waiting; else only a sync lets anything go on.
            self.release();
        }
        self.server_state.ready.set(well && self.stopping.since.is_none());
        well
    }

    /// Nothing more is owed for the message.
    pub(super) fn end(&mut self, message: u64) {
        if let Some(m) = self.journal.get(message) {
            let id = m.letter.id.clone();
            self.taking.ids.remove(&id);
            self.memory.ended(message);
            self.journal.end(message);
        }
    }
}
