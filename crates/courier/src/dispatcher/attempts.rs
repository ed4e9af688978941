//! What is out: the messages that are held, their calls, and how each call ended.

use super::Dispatcher;
use super::held_message::{DeferredAction, HeldMessage};
use super::shutdown::ATTEMPT_CUTOFF;
use crate::clock::unix_time;
use crate::events::{AfterAttempt, CallResult};
use crate::follow;
use crate::out::calls::{Call, Calls, To};
use crate::out::exchange::Logged;
use stairshed_decide::interface::*;
use stairshed_journal::{Attempt, Verdict};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub(super) struct Attempts {
    pub(super) held: BTreeMap<u64, HeldMessage>,
    pub(super) calls: Calls,
}

impl Attempts {
    pub(super) fn new(calls: Calls) -> Self {
        Attempts { held: BTreeMap::new(), calls }
    }
}

impl Dispatcher {
    /// As from a check: it concerns the endpoint, not a message.
    pub(super) fn back_off_endpoint(&mut self, endpoint: EndpointId, until: Instant) {
        let outcome = Outcome::Full { wait: Some(until.saturating_duration_since(Instant::now())) };
        self.events.push(Event::Probed { endpoint, outcome, took: Duration::ZERO, report: None });
    }

    pub(super) fn call_ended(&mut self, message: u64, attempt: u32, endpoint: EndpointId, end: CallResult) {
        // What proves that it never ran; all else may have.
        let never = matches!(
            end.outcome,
            Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::Crowded | Outcome::Moot
        );
        if never {
            self.journal.never_ran(message, attempt);
        }
        match end.after {
            AfterAttempt::RetryAllowed => {}
            AfterAttempt::Settled => {
                // Told to be over without a delivery: it never ran, and may be handed in again.
                let verdict = (end.outcome != Outcome::Delivered).then_some(Verdict::Bounced { wait: None });
                self.finish_message(message, verdict);
            }
            AfterAttempt::FailWithoutRetry => self.record_verdict(message, Verdict::Dead),
        }
        if self.open_attempt_ended(message, &end) {
            return;
        }
        if let Some(m) = self.attempts.held.get(&message) {
            let ran = if never {
                "never"
            } else if end.outcome == Outcome::Delivered {
                "yes"
            } else {
                "maybe"
            };
            follow::step(
                &m.letter.id,
                format_args!(
                    "attempt={attempt} ended outcome={:?} ran={ran} over={} proof={:?} {}",
                    end.outcome,
                    end.after != AfterAttempt::RetryAllowed,
                    end.proof,
                    Logged(end.exchange)
                ),
            );
        }
        // It may have gone while the call was out, and its connection was kept after that.
        self.close_unless_ready(endpoint);
        let Some(m) = self.attempts.held.get_mut(&message) else { return };
        let Some((sent, _)) = m.in_flight.take() else { return };
        self.events.push(Event::Ended(Ended {
            message: MessageId(message),
            endpoint,
            outcome: less_elapsed(end.outcome, end.at),
            took: end.at.saturating_duration_since(sent),
            over: end.after != AfterAttempt::RetryAllowed,
            report: end.report,
        }));
        // The module drops a message with its last outcome, and so does the courier.
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            self.attempts.held.remove(&message);
        }
    }

    pub(super) fn start_calls(&mut self, sends: Vec<(u64, EndpointId, Duration)>, now: Instant) {
        let late = self.shutdown.since.is_some_and(|t| now >= t + ATTEMPT_CUTOFF);
        let mut ready = Vec::new();
        for (message, endpoint, timeout) in sends {
            let e = self.members.endpoints.get(&endpoint);
            let to = e.and_then(|e| Some((e, e.address?)));
            let Some((m, (e, address))) = self.attempts.held.get_mut(&message).zip(to) else {
                // Its client left in this very batch: the module hears that nothing was sent.
                self.events.push(not_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            let zone = self.setup.zones.get(e.zone).cloned().unwrap_or_default();
            let attempt = Attempt { host: e.host.clone(), zone, sent: unix_time(), may_have_run: true };
            let broker = e.topic.is_some();
            m.in_flight = Some((now, None));
            if late {
                // This process ends before an answer could come: it is left to the next, as never sent.
                continue;
            }
            let to = match broker {
                false => Some(To::Http(address)),
                true => self.reserve_packet_id(endpoint, message).map(To::Broker),
            };
            let Some(m) = self.attempts.held.get_mut(&message) else { continue };
            let Some(to) = to else {
                // As many are on their way to the broker as may be.
                m.in_flight = None;
                self.events.push(not_sent(message, endpoint, Outcome::Full { wait: None }));
                continue;
            };
            let Ok(number) = self.journal.attempt(message, attempt) else {
                // Names so long that no room was kept for them, and there is no other.
                m.in_flight = None;
                self.release_packet_id(&to, endpoint);
                self.events.push(not_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            m.attempts += 1;
            let list = &self.setup.watch_status;
            let host = self.members.endpoints.get(&endpoint).map(|e| e.host.as_str());
            follow::step(
                &m.letter.id,
                format_args!(
                    "attempt={number} decided endpoint={} host={} address={address} for={timeout:?} list={} list_age={:?}",
                    endpoint.0,
                    host.unwrap_or_default(),
                    list.version(),
                    list.silence()
                ),
            );
            let letter = m.letter.clone();
            let once = self.setup.classes.get(m.class).is_some_and(|c| c.effect == Effect::Once);
            let (until, pool) = (now + timeout, self.brain.pool_id(endpoint));
            ready.push(Call { message, attempt: number, endpoint, pool, to, letter, until, once });
        }
        let seq = self.journal.last_seq();
        // The attempts are on record before their first byte goes out; the verdicts before their notice.
        if !self.flush_journal() {
            for call in ready {
                self.journal.never_ran(call.message, call.attempt);
                self.release_packet_id(&call.to, call.endpoint);
                if let Some(m) = self.attempts.held.get_mut(&call.message) {
                    m.in_flight = None;
                }
                self.events.push(not_sent(call.message, call.endpoint, Outcome::Moot));
            }
            return;
        }
        for call in ready {
            let (cancel, cancelled) = oneshot::channel();
            if let Some(m) = self.attempts.held.get_mut(&call.message) {
                m.in_flight = Some((now, matches!(call.to, To::Http(_)).then_some(cancel)));
            }
            self.run_when_durable(seq, DeferredAction::StartCall { call, cancelled });
        }
    }

    /// Nothing was sent there after all.
    pub(super) fn release_packet_id(&mut self, to: &To, endpoint: EndpointId) {
        if let To::Broker(id) = to {
            self.free_packet_id(endpoint, *id);
        }
    }

    pub(super) fn start_call(&self, call: Call, cancelled: oneshot::Receiver<()>) {
        match call.to {
            To::Broker(id) => self.publish(call, id),
            To::Http(address) => {
                let call = self.attempts.calls.clone().call(call, address, cancelled, self.event_tx.clone());
                tokio::task::spawn_local(call);
            }
        }
    }

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

/// A wait runs from when its answer arrived: the age of the batch is not added to it.
pub(super) fn less_elapsed(outcome: Outcome, at: Instant) -> Outcome {
    match outcome {
        Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: Some(wait.saturating_sub(at.elapsed())) },
        other => other,
    }
}

fn not_sent(message: u64, endpoint: EndpointId, outcome: Outcome) -> Event {
    Event::Ended(Ended {
        message: MessageId(message),
        endpoint,
        outcome,
        took: Duration::ZERO,
        over: false,
        report: None,
    })
}
