//! Requests are answered: no courier closes a connection with a request on it that it has read.

use super::{Judgement, NOTE_TIME};
use crate::record::{Record, Submission, is_step};
use crate::scenario::{FaultKind, Link};
use std::time::{Duration, Instant};

/// First word of the log line on a request that a courier has read.
const RECEIVED: &str = "received";
/// First word of the log line on an answer that is decided.
const ANSWERED: &str = "answered";
/// Begins the log line at the end of a process that stops.
const STOPPED: &str = "stopped after";
/// Words of that line on requests that were read and are not answered.
const OPEN_REQUESTS: [&str; 2] = ["reading a head", "unanswered"];
/// From SIGTERM on, how long a courier may close connections between requests: it ends by then.
const STOP_TIME: Duration = Duration::from_secs(4);

/// Each request that was read is answered, or its client has waited in vain. Where no process ends, and no crowd takes
/// connections, also each that was not read.
pub fn requests_answered(record: &Record) -> Judgement {
    if record.plan.faults.iter().any(|fault| fails_connections(&fault.kind)) {
        return Judgement::not_judged("a fault ends connections of clients");
    }
    let stopped = record.log.iter().filter(|line| line.text.starts_with(STOPPED));
    let mut unfinished = stopped.filter(|line| OPEN_REQUESTS.iter().any(|words| line.text.contains(words)));
    if let Some(line) = unfinished.next() {
        let what = format!("courier {} ended within requests: {}", line.courier, line.text);
        return Judgement::broken_by_none(what);
    }
    let mut closed = record.submissions.iter().filter_map(|message| Some((message, closed_at(message)?)));
    match closed.find(|(message, at)| is_owed(record, message, *at)) {
        None => Judgement::Held,
        Some((message, _)) => {
            let after = message.closed_after.unwrap_or_default();
            let what = format!("{} was sent, and its connection was closed after {after:.3?}", message.id);
            Judgement::broken(&message.id, what)
        }
    }
}

fn closed_at(message: &Submission) -> Option<Instant> {
    message.closed_after.map(|after| message.sent + after)
}

/// Whether a request whose connection was closed at this time was owed an answer.
fn is_owed(record: &Record, message: &Submission, closed_at: Instant) -> bool {
    let until = closed_at + NOTE_TIME;
    if link_may_end(record, message.sent, until) {
        return false;
    }
    let ends = record.kills.iter().filter(|end| end.courier == message.courier);
    let mut ends = ends.filter(|end| (message.sent..=until).contains(&end.kill.at));
    if ends.any(|end| end.was_killed) {
        return false;
    }
    let logged = |step: &str| {
        let of_courier = record.log.iter().filter(|line| line.courier == message.courier);
        let mut lines = of_courier.filter(|line| (message.sent..=until).contains(&line.at));
        lines.any(|line| is_step(&line.text, &message.id, step))
    };
    // An answer that was decided and did not arrive was cut off.
    let is_read = logged(RECEIVED) || logged(ANSWERED);
    is_read || !may_close_unread(record, message, until)
}

/// Whether the courier may have closed the connection without having read anything: it was stopping or down, or a crowd
/// took its place.
fn may_close_unread(record: &Record, message: &Submission, until: Instant) -> bool {
    if record.scenario.clients.crowd > 0 {
        return true;
    }
    let of_courier = record.stops.iter().filter(|stop| stop.courier == message.courier);
    let mut stops = of_courier.map(|stop| stop.at..stop.at + STOP_TIME);
    let is_stopping = stops.any(|span| span.start <= until && message.sent <= span.end);
    is_stopping || was_down(record, message, until)
}

/// Whether no process of the courier served at some time of the submission.
fn was_down(record: &Record, message: &Submission, until: Instant) -> bool {
    let ends = record.kills.iter().filter(|end| end.courier == message.courier);
    ends.filter(|end| end.kill.at <= until).any(|end| {
        let of_courier = record.log.iter().filter(|line| line.courier == message.courier);
        let mut next = of_courier.filter(|line| line.at > end.kill.at && is_serving(&line.text));
        next.next().is_none_or(|line| message.sent <= line.at + NOTE_TIME)
    })
}

/// Whether a line of the log says that the courier serves clients.
fn is_serving(line: &str) -> bool {
    line.contains(" serves ") && line.ends_with("messages resumed")
}

/// Whether a fault of the clients' link may have ended the connection meanwhile.
fn link_may_end(record: &Record, from: Instant, until: Instant) -> bool {
    record.plan.faults.iter().any(|fault| {
        let FaultKind::Link(link) = &fault.kind else { return false };
        let begins = record.instant(fault.begins);
        let ends = fault.ends.map(|at| record.instant(at) + NOTE_TIME);
        link.between == Link::ClientCourier && begins <= until && ends.is_none_or(|at| from <= at)
    })
}

/// Whether a fault fails calls on connections of clients.
fn fails_connections(kind: &FaultKind) -> bool {
    let FaultKind::Calls(rules) = kind else { return false };
    rules.iter().any(|rule| ends_connections(rule))
}

fn ends_connections(rule: &str) -> bool {
    let mut words = rule.split_whitespace();
    let (call, fault) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    matches!(call, "recv" | "send" | "accept" | "socket") && fault.starts_with('E') && fault != "EINTR"
}
