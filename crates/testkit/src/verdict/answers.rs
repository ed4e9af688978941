//! Requests are answered: no courier closes a connection with a request on it that it has read.

use super::{Judgement, NOTE_TIME};
use crate::record::{Record, Submission, is_step};
use crate::scenario::{FaultKind, Link};
use std::ops::RangeInclusive;
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
/// For how long a courier waits for the first byte on a connection (docs/fault-scenarios.md). It may close the connection
/// then, and a client whose request crosses that close sends it once more (protocol page).
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2500);

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
            let age = message.first_on_connection_of.map(|opened| message.sent - opened);
            let first = age.map(|age| format!(", the first on one of {age:.3?}")).unwrap_or_default();
            let what =
                format!("{} was sent, and its connection was closed after {after:.3?}{first}", message.id);
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
    if is_excused(record, message, until) {
        return false;
    }
    // An answer that was decided and did not arrive was cut off.
    let is_read = [RECEIVED, ANSWERED]
        .into_iter()
        .any(|step| has_own_step(record, message, message.sent..=until, step));
    is_read || !(crosses_first_byte_timeout(message, closed_at) || may_close_unread(record, message, until))
}

/// Whether a request that was closed at this time was the first on a connection that was closed for lack of a first byte,
/// and was sent just then. A courier that has had time to look at its socket answers. A client that sends a request in
/// two pieces notices the close late.
fn crosses_first_byte_timeout(message: &Submission, closed_at: Instant) -> bool {
    let Some(opened) = message.first_on_connection_of else { return false };
    let due = opened + FIRST_BYTE_TIMEOUT;
    closed_at >= due && (due - NOTE_TIME..=due + NOTE_TIME).contains(&message.sent)
}

/// Whether a fault of the link or a kill may have ended the connection of a submission by this time.
fn is_excused(record: &Record, message: &Submission, until: Instant) -> bool {
    let kills = record.kills.iter().filter(|end| end.courier == message.courier && end.was_killed);
    let mut kills = kills.filter(|end| (message.sent..=until).contains(&end.kill.at));
    link_may_end(record, message.sent, until) || kills.next().is_some()
}

/// Whether the log tells this step of a submission within its span. Submissions of one id have the same lines, so each
/// line is assigned to one of them: the step counts as this submission's if a line in its span is left once each of the
/// others that may have one has it.
fn has_own_step(record: &Record, message: &Submission, span: RangeInclusive<Instant>, step: &str) -> bool {
    let of_courier = record.log.iter().filter(|line| line.courier == message.courier);
    let lines = of_courier.filter(|line| is_step(&line.text, &message.id, step));
    let mut times: Vec<Instant> = lines.map(|line| line.at).collect();
    times.sort_unstable();
    let mut others = other_spans(record, message);
    times.into_iter().any(|at| {
        // The span that ends first, since the others may have later lines.
        let owners = others.iter().enumerate().filter(|(_, span)| span.contains(&at));
        let owner = owners.min_by_key(|(_, span)| *span.end()).map(|(index, _)| index);
        match owner {
            Some(index) => {
                others.swap_remove(index);
                false
            }
            None => span.contains(&at),
        }
    })
}

/// The spans of the other submissions of a message that may have been read without a breach: those that were answered
/// or given up, or that a fault ended.
fn other_spans(record: &Record, message: &Submission) -> Vec<RangeInclusive<Instant>> {
    let same = |other: &&Submission| {
        other.id == message.id && other.courier == message.courier && other.is_mqtt == message.is_mqtt
    };
    let others = record.submissions.iter().filter(same).filter(|other| !std::ptr::eq(*other, message));
    let spans = others.filter_map(|other| {
        let closed = closed_at(other).map(|at| at + NOTE_TIME);
        if closed.is_some_and(|until| !is_excused(record, other, until)) {
            return None;
        }
        let answered = other.answer.map(|(at, _)| at + NOTE_TIME);
        // One that was given up may be read late.
        let end = closed.or(answered).unwrap_or(other.sent + STOP_TIME);
        Some(other.sent..=end)
    });
    spans.collect()
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
