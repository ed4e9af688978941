//! Repeats are recognised: a message that was taken on is not taken on again within its class's `remember`, unless it
//! has bounced. Clients repeat within that time only. On the platform, whose notices end an id for good, it is not
//! taken on again after it bounced either.

use super::{Judgement, NOTE_TIME};
use crate::record::{ACCEPTED, LogLine, Record, Submission, is_step};
use crate::scenario::StartMode;
use std::time::Instant;

/// First word of the log line on an answer that is decided.
const ANSWERED: &str = "answered";
/// Words in the log line on a message that never ran, whose id is free from then on.
const BOUNCED: &str = "verdict=Bounced";

/// No repeat is taken for a new message, and none of a message that is taken on is refused.
pub fn repeats_recognised(record: &Record) -> Judgement {
    let repeats: Vec<_> = record.submissions.iter().filter(|message| message.is_repeat).collect();
    if repeats.is_empty() {
        return Judgement::not_judged("no client submitted a message again");
    }
    if let Some(message) = repeats.iter().find(|message| was_taken_again(record, &message.id)) {
        return Judgement::broken(&message.id, format!("{} was taken on again", message.id));
    }
    repeats.iter().find(|repeat| was_refused(record, repeat)).map_or(Judgement::Held, |repeat| {
        let status = repeat.answer.map_or(0, |(_, status)| status);
        Judgement::broken(&repeat.id, format!("{} was taken on, and its repeat answered {status}", repeat.id))
    })
}

fn was_taken_again(record: &Record, id: &str) -> bool {
    let times: Vec<_> = record.times_taken(id).collect();
    let is_free = |from, until| match record.scenario.start {
        StartMode::File => bounced(record, id, from, until),
        StartMode::Platform => false,
    };
    times.windows(2).any(|pair| !is_free(pair[0], pair[1]) && was_accepted(record, id, pair[1]))
}

/// Whether the courier logged between two times that the message bounces.
fn bounced(record: &Record, id: &str, from: Instant, until: Instant) -> bool {
    let within = |line: &&LogLine| (from..=until).contains(&line.at);
    let ends = |line: &LogLine| is_step(&line.text, id, "ends") && line.text.contains(BOUNCED);
    record.log.iter().filter(within).any(ends)
}

/// Whether a client had heard before this time that the message is taken on. Until then its record may be lost.
fn was_accepted(record: &Record, id: &str, before: Instant) -> bool {
    record.accepted().any(|(message, at)| message.id == id && at < before)
}

/// Whether a repeat of a message that was taken on and has never bounced was refused.
fn was_refused(record: &Record, repeat: &Submission) -> bool {
    let refused = repeat.answer.filter(|(_, status)| *status != ACCEPTED);
    refused.is_some_and(|(at, status)| {
        was_accepted(record, &repeat.id, repeat.sent)
            && !bounced(record, &repeat.id, record.begun, at)
            && !bounced_before_answer(record, repeat, at, status)
    })
}

/// Whether the courier logged that the message bounces before it logged this answer to a repeat. The runner may read both
/// lines only after the client has the answer.
fn bounced_before_answer(record: &Record, repeat: &Submission, at: Instant, status: u16) -> bool {
    let of_courier = record.log.iter().filter(|line| line.courier == repeat.courier);
    let lines = of_courier.filter(|line| line.at <= at + NOTE_TIME);
    let mut from_bounce =
        lines.skip_while(|line| !(is_step(&line.text, &repeat.id, "ends") && line.text.contains(BOUNCED)));
    let answer = format!("status={status}");
    from_bounce.any(|line| is_step(&line.text, &repeat.id, ANSWERED) && line.text.ends_with(&answer))
}
