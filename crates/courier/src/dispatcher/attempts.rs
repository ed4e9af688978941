//! The messages held, the attempts to deliver them, and how each attempt ended.

use super::Dispatcher;
use super::held_message::{DeferredAction, HeldMessage};
use super::shutdown::ATTEMPT_CUTOFF;
use crate::events::{AfterAttempt, CallResult};
use crate::message_trace;
use crate::upstream::attempt_outcome::outcome_of;
use crate::upstream::endpoint_client::{Call, CallTarget, EndpointClient};
use crate::upstream::exchange::ExchangeLog;
use stairshed_decide::interface::*;
use stairshed_health::answers::WaitScope;
use stairshed_journal::{Attempt, Verdict};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::Instant;

/// Why a call is given up before its first byte is written.
#[derive(Clone, Copy, Debug)]
enum DropCause {
    /// Its message has ended or was withdrawn, or the call was cancelled.
    NotWanted,
    /// The journal cannot write its attempt.
    NotRecorded,
    /// Its endpoint has left the session on the broker, which is closed.
    SessionClosed,
}

impl fmt::Display for DropCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            DropCause::NotWanted => "no longer wanted",
            DropCause::NotRecorded => "its record cannot be written",
            DropCause::SessionClosed => "its endpoint has left the session",
        })
    }
}

/// Messages held, by number, and the calls to endpoints.
pub(super) struct Attempts {
    pub(super) held: BTreeMap<u64, HeldMessage>,
    pub(super) calls: EndpointClient,
}

impl Attempts {
    pub(super) fn new(calls: EndpointClient) -> Self {
        Attempts { held: BTreeMap::new(), calls }
    }
}

impl Dispatcher {
    /// Passes a requested wait to the scheduler as the result of a probe, since it concerns the endpoint, or
    /// its destination, and no message.
    pub(super) fn back_off_endpoint(&mut self, endpoint: EndpointId, until: Instant, scope: WaitScope) {
        let outcome = outcome_of(scope.refusal(Some(until.saturating_duration_since(Instant::now()))));
        self.events.push(Event::ProbeEnded { endpoint, outcome, elapsed: Duration::ZERO, report: None });
    }

    /// Records the result of a call and passes it to the scheduler.
    pub(super) fn call_ended(&mut self, message: u64, attempt: u32, endpoint: EndpointId, end: CallResult) {
        if is_planted(PlantedFault::AttemptRecordedLate) {
            self.record_ended_attempt(message, endpoint);
        }
        // These outcomes prove that the message never ran; after any other it may have run.
        let never = matches!(
            end.outcome,
            Outcome::Full { .. }
                | Outcome::Refused { .. }
                | Outcome::ConnectFailed
                | Outcome::Crowded
                | Outcome::Moot
        );
        if never {
            self.journal.record_never_ran(message, attempt);
        }
        match end.after {
            AfterAttempt::RetryAllowed => {}
            AfterAttempt::Settled => {
                // The endpoint said that it has ended without a delivery: it never ran, and may be submitted
                // again.
                let verdict = (end.outcome != Outcome::Delivered).then_some(Verdict::Bounced { wait: None });
                self.finish_message(message, verdict);
            }
            AfterAttempt::FailWithoutRetry => self.record_verdict(message, Verdict::Dead),
            AfterAttempt::Rejected => self.record_rejection(message, attempt, end.status),
        }
        self.drop_left_sessions();
        if self.open_attempt_ended(message, &end) {
            return;
        }
        if let Some(m) = self.attempts.held.get(&message) {
            let ran = if never {
                "never"
            } else if end.outcome == Outcome::Delivered {
                "yes"
            } else if end.outcome == Outcome::Rejected {
                "rejected"
            } else {
                "maybe"
            };
            message_trace::log_step(
                &m.accepted.id,
                format_args!(
                    "attempt={attempt} ended outcome={:?} status={} ran={ran} over={} proof={:?} {}",
                    end.outcome,
                    end.status.map_or("-".to_owned(), |status| status.to_string()),
                    end.after != AfterAttempt::RetryAllowed,
                    end.proof,
                    ExchangeLog(end.exchange)
                ),
            );
        }
        // The endpoint may have been removed during the call, and the connection kept open after that.
        self.close_unless_ready(endpoint);
        let Some(m) = self.attempts.held.get_mut(&message) else { return };
        let Some((sent, _)) = m.in_flight.take() else { return };
        self.events.push(Event::AttemptEnded(AttemptEnded {
            message: MessageId(message),
            endpoint,
            outcome: less_elapsed(end.outcome, end.at),
            elapsed: end.at.saturating_duration_since(sent),
            is_final: end.after != AfterAttempt::RetryAllowed,
            report: end.report,
        }));
        // The scheduler drops a message with its last outcome, and so does the dispatcher.
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            self.attempts.held.remove(&message);
        }
    }

    /// Planted fault: records an attempt that has ended.
    fn record_ended_attempt(&mut self, message: u64, endpoint: EndpointId) {
        let Some(ended) = self.members.endpoints.get(&endpoint) else { return };
        let zone = self.setup.zones.get(ended.zone).cloned().unwrap_or_default();
        let attempt =
            Attempt { host: ended.host.clone(), zone, sent_at: self.clock.now(), may_have_run: true };
        // Without room the message goes on without the record.
        let _ = self.journal.record_attempt(message, attempt);
    }

    /// Starts the calls that the scheduler asked for, once their attempts are in the journal.
    pub(super) fn start_calls(&mut self, sends: Vec<(u64, EndpointId, Duration)>, now: Instant) {
        let late = self.shutdown.since.is_some_and(|t| now >= t + ATTEMPT_CUTOFF);
        let mut ready = Vec::new();
        for (message, endpoint, timeout) in sends {
            let e = self.members.endpoints.get(&endpoint);
            let to = e.and_then(|e| Some((e, e.address?)));
            let Some((m, (e, address))) = self.attempts.held.get_mut(&message).zip(to) else {
                // The message was withdrawn in this batch: the scheduler is notified that nothing was sent.
                self.events.push(not_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            let zone = self.setup.zones.get(e.zone).cloned().unwrap_or_default();
            let attempt =
                Attempt { host: e.host.clone(), zone, sent_at: self.clock.now(), may_have_run: true };
            let broker = e.topic.is_some();
            m.in_flight = Some((now, None));
            if late {
                // The process ends before a response could arrive: the next process sends it, since no
                // attempt is recorded.
                continue;
            }
            let target = match broker {
                false => Some(CallTarget::Http(address)),
                true => self.reserve_packet_id(endpoint, message).map(CallTarget::Broker),
            };
            let Some(m) = self.attempts.held.get_mut(&message) else { continue };
            let Some(target) = target else {
                // The limit on messages in flight to the broker is reached.
                m.in_flight = None;
                self.events.push(not_sent(message, endpoint, Outcome::Full { wait: None }));
                continue;
            };
            let recorded = if is_planted(PlantedFault::AttemptRecordedLate) {
                Ok(self.journal.get(message).map_or(0, |live| live.attempts.len() as u32))
            } else {
                self.journal.record_attempt(message, attempt)
            };
            let Ok(number) = recorded else {
                // The attempt's names are longer than the space reserved for them, and the journal has no
                // more.
                m.in_flight = None;
                self.release_packet_id(&target);
                self.events.push(not_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            m.attempts += 1;
            let list = &self.setup.watch_status;
            let host = self.members.endpoints.get(&endpoint).map(|e| e.host.as_str());
            message_trace::log_step(
                &m.accepted.id,
                format_args!(
                    "attempt={number} decided endpoint={} host={} address={address} \
                     for={timeout:?} list={} list_age={:?}",
                    endpoint.0,
                    host.unwrap_or_default(),
                    list.version(),
                    list.last_line_age()
                ),
            );
            let accepted = m.accepted.clone();
            let once = self.setup.classes.get(m.class).is_some_and(|c| c.effect == Effect::Once);
            let (deadline, pool) = (now + timeout, self.scheduler.limit_group_id(endpoint));
            ready.push(Call { message, attempt: number, endpoint, pool, target, accepted, deadline, once });
        }
        let seq = self.journal.last_seq();
        // Attempts must be in the journal before their first byte is sent, and verdicts before their notice.
        if !self.flush_journal() {
            return ready.iter().for_each(|call| self.drop_call(call, DropCause::NotRecorded));
        }
        for call in ready {
            let (cancel, cancelled) = oneshot::channel();
            if let Some(m) = self.attempts.held.get_mut(&call.message) {
                m.in_flight = Some((now, matches!(call.target, CallTarget::Http(_)).then_some(cancel)));
            }
            self.run_when_durable(seq, DeferredAction::StartCall { call, cancelled });
        }
    }

    /// Frees the packet id of a message that was not sent after all.
    pub(super) fn release_packet_id(&mut self, target: &CallTarget) {
        if let CallTarget::Broker(target) = target {
            self.free_packet_id(&target.session, target.id);
        }
    }

    /// Starts one call in a task of its own, or publishes the message to its broker, unless the call is not
    /// wanted any more.
    pub(super) fn start_call(&mut self, call: Call, mut cancelled: oneshot::Receiver<()>) {
        if !self.is_call_wanted(&call, &mut cancelled) {
            return self.drop_call(&call, DropCause::NotWanted);
        }
        match &call.target {
            CallTarget::Broker(target) => {
                if !self.publish(&call, target) {
                    self.drop_call(&call, DropCause::SessionClosed);
                }
            }
            CallTarget::Http(address) => {
                let address = *address;
                let call = self.attempts.calls.clone().call(call, address, cancelled, self.event_tx.clone());
                tokio::task::spawn_local(call);
            }
        }
    }

    /// Whether a call that waited for the journal is still to be made. Meanwhile its message may have been
    /// withdrawn, because its client disconnected before the reply, or may have ended, and the call may have been
    /// cancelled.
    fn is_call_wanted(&self, call: &Call, cancelled: &mut oneshot::Receiver<()>) -> bool {
        let is_held = self.attempts.held.get(&call.message).is_some_and(|m| m.in_flight.is_some());
        let has_ended = self.journal.get(call.message).is_none_or(|live| live.verdict.is_some());
        // Only a call over HTTP can be cancelled before it starts.
        let is_cancelled = matches!(call.target, CallTarget::Http(_))
            && !matches!(cancelled.try_recv(), Err(TryRecvError::Empty));
        is_held && !has_ended && !is_cancelled
    }

    /// Gives up a call before its first byte is written: its attempt never ran, and its call slot and packet id
    /// are free again.
    fn drop_call(&mut self, call: &Call, cause: DropCause) {
        self.journal.record_never_ran(call.message, call.attempt);
        self.release_packet_id(&call.target);
        if let Some(m) = self.attempts.held.get_mut(&call.message) {
            m.in_flight = None;
            message_trace::log_step(
                &m.accepted.id,
                format_args!("attempt={} not started: {cause}", call.attempt),
            );
        }
        if self.journal.get(call.message).is_none_or(|live| live.verdict.is_some()) {
            self.attempts.held.remove(&call.message);
        }
        self.events.push(not_sent(call.message, call.endpoint, Outcome::Moot));
    }

    /// Probes an endpoint, for at most twice the connect timeout.
    pub(super) fn probe(&mut self, endpoint: EndpointId) {
        if let Some(address) = self.members.endpoints.get(&endpoint).and_then(|e| e.address) {
            let timeout = self.setup.settings.connect_timeout * 2;
            tokio::task::spawn_local(self.attempts.calls.clone().probe(
                endpoint,
                address,
                timeout,
                self.event_tx.clone(),
            ));
        }
    }
}

/// Subtracts the time since `at` from a requested wait: a wait starts when its response arrives, not when the
/// batch runs.
pub(super) fn less_elapsed(outcome: Outcome, at: Instant) -> Outcome {
    let less = |wait: Duration| Some(wait.saturating_sub(at.elapsed()));
    match outcome {
        Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: less(wait) },
        Outcome::Refused { wait: Some(wait) } => Outcome::Refused { wait: less(wait) },
        other => other,
    }
}

/// The event for a call that was not started.
fn not_sent(message: u64, endpoint: EndpointId, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        message: MessageId(message),
        endpoint,
        outcome,
        elapsed: Duration::ZERO,
        is_final: false,
        report: None,
    })
}
