//! What is out: the messages that are held, their calls, and how each call ended.

use super::Dispatcher;
use super::held_message::{Held, Waiting};
use super::shutdown::STOP_SENDING;
use crate::clock::unix_time;
use crate::events::{AfterAttempt, CallResult};
use crate::message_trace;
use crate::outbound::endpoint_client::{Call, CallTarget, EndpointClient};
use crate::outbound::exchange::ExchangeLog;
use stairshed_decide::interface::*;
use stairshed_journal::{Attempt, Verdict};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub(super) struct Out {
    pub(super) held: BTreeMap<u64, Held>,
    pub(super) calls: EndpointClient,
}

impl Out {
    pub(super) fn new(calls: EndpointClient) -> Self {
        Out { held: BTreeMap::new(), calls }
    }
}

impl Dispatcher {
    /// As from a check: it concerns the endpoint, not a message.
    pub(super) fn told_to_wait(&mut self, endpoint: EndpointId, until: Instant) {
        let outcome = Outcome::Full { wait: Some(until.saturating_duration_since(Instant::now())) };
        self.events.push(Event::ProbeEnded { endpoint, outcome, elapsed: Duration::ZERO, report: None });
    }

    pub(super) fn called(&mut self, message: u64, attempt: u32, endpoint: EndpointId, end: CallResult) {
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
                self.finish(message, verdict);
            }
            AfterAttempt::FailWithoutRetry => self.judge(message, Verdict::Dead),
        }
        if self.resumed(message, &end) {
            return;
        }
        if let Some(m) = self.out.held.get(&message) {
            let ran = if never {
                "never"
            } else if end.outcome == Outcome::Delivered {
                "yes"
            } else {
                "maybe"
            };
            message_trace::log_step(
                &m.letter.id,
                format_args!(
                    "attempt={attempt} ended outcome={:?} ran={ran} over={} proof={:?} {}",
                    end.outcome,
                    end.after != AfterAttempt::RetryAllowed,
                    end.proof,
                    ExchangeLog(end.exchange)
                ),
            );
        }
        // It may have gone while the call was out, and its connection was kept after that.
        self.part(endpoint);
        let Some(m) = self.out.held.get_mut(&message) else { return };
        let Some((sent, _)) = m.out.take() else { return };
        self.events.push(Event::AttemptEnded(AttemptEnded {
            message: MessageId(message),
            endpoint,
            outcome: aged(end.outcome, end.at),
            elapsed: end.at.saturating_duration_since(sent),
            is_final: end.after != AfterAttempt::RetryAllowed,
            report: end.report,
        }));
        // The module drops a message with its last outcome, and so does the courier.
        if self.journal.get(message).is_none_or(|m| m.verdict.is_some()) {
            self.out.held.remove(&message);
        }
    }

    pub(super) fn send(&mut self, sends: Vec<(u64, EndpointId, Duration)>, now: Instant) {
        let late = self.stopping.since.is_some_and(|t| now >= t + STOP_SENDING);
        let mut ready = Vec::new();
        for (message, endpoint, timeout) in sends {
            let e = self.members.endpoints.get(&endpoint);
            let to = e.and_then(|e| Some((e, e.address?)));
            let Some((m, (e, address))) = self.out.held.get_mut(&message).zip(to) else {
                // Its client left in this very batch: the module hears that nothing was sent.
                self.events.push(never_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            let zone = self.setup.zones.get(e.zone).cloned().unwrap_or_default();
            let attempt = Attempt { host: e.host.clone(), zone, sent: unix_time(), may_have_run: true };
            let broker = e.topic.is_some();
            m.out = Some((now, None));
            if late {
                // This process ends before an answer could come: it is left to the next, as never sent.
                continue;
            }
            let target = match broker {
                false => Some(CallTarget::Http(address)),
                true => self.reserve(endpoint, message).map(CallTarget::Broker),
            };
            let Some(m) = self.out.held.get_mut(&message) else { continue };
            let Some(target) = target else {
                // As many are on their way to the broker as may be.
                m.out = None;
                self.events.push(never_sent(message, endpoint, Outcome::Full { wait: None }));
                continue;
            };
            let Ok(number) = self.journal.attempt(message, attempt) else {
                // Names so long that no room was kept for them, and there is no other.
                m.out = None;
                self.take_back(&target, endpoint);
                self.events.push(never_sent(message, endpoint, Outcome::Moot));
                continue;
            };
            m.attempts += 1;
            let list = &self.setup.watch_status;
            let host = self.members.endpoints.get(&endpoint).map(|e| e.host.as_str());
            message_trace::log_step(
                &m.letter.id,
                format_args!(
                    "attempt={number} decided endpoint={} host={} address={address} for={timeout:?} list={} list_age={:?}",
                    endpoint.0,
                    host.unwrap_or_default(),
                    list.version(),
                    list.last_line_age()
                ),
            );
            let letter = m.letter.clone();
            let once = self.setup.classes.get(m.class).is_some_and(|c| c.effect == Effect::Once);
            let (deadline, pool) = (now + timeout, self.scheduler.limit_group_id(endpoint));
            ready.push(Call { message, attempt: number, endpoint, pool, target, letter, deadline, once });
        }
        let seq = self.journal.last_seq();
        // The attempts are on record before their first byte goes out; the verdicts before their notice.
        if !self.settle() {
            for call in ready {
                self.journal.never_ran(call.message, call.attempt);
                self.take_back(&call.target, call.endpoint);
                if let Some(m) = self.out.held.get_mut(&call.message) {
                    m.out = None;
                }
                self.events.push(never_sent(call.message, call.endpoint, Outcome::Moot));
            }
            return;
        }
        for call in ready {
            let (cancel, cancelled) = oneshot::channel();
            if let Some(m) = self.out.held.get_mut(&call.message) {
                m.out = Some((now, matches!(call.target, CallTarget::Http(_)).then_some(cancel)));
            }
            self.when_kept(seq, Waiting::Call { call, cancelled });
        }
    }

    /// Nothing was sent there after all.
    pub(super) fn take_back(&mut self, target: &CallTarget, endpoint: EndpointId) {
        if let CallTarget::Broker(id) = target {
            self.unreserve(endpoint, *id);
        }
    }

    pub(super) fn call(&self, call: Call, cancelled: oneshot::Receiver<()>) {
        match call.target {
            CallTarget::Broker(id) => self.publish(call, id),
            CallTarget::Http(address) => {
                let call = self.out.calls.clone().call(call, address, cancelled, self.news.clone());
                tokio::task::spawn_local(call);
            }
        }
    }

    pub(super) fn probe(&mut self, endpoint: EndpointId) {
        if let Some(address) = self.members.endpoints.get(&endpoint).and_then(|e| e.address) {
            let timeout = self.setup.settings.connect_timeout * 2;
            tokio::task::spawn_local(self.out.calls.clone().probe(
                endpoint,
                address,
                timeout,
                self.news.clone(),
            ));
        }
    }
}

/// A wait runs from when its answer arrived: the age of the batch is not added to it.
pub(super) fn aged(outcome: Outcome, at: Instant) -> Outcome {
    match outcome {
        Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: Some(wait.saturating_sub(at.elapsed())) },
        other => other,
    }
}

fn never_sent(message: u64, endpoint: EndpointId, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        message: MessageId(message),
        endpoint,
        outcome,
        elapsed: Duration::ZERO,
        is_final: false,
        report: None,
    })
}
