//! Refused messages are not sent: a refusal says that handing the message in again is harmless.

use super::Judgement;
use crate::record::{Record, Submission};
use std::time::Instant;

/// Statuses by which a courier says that it has not taken a message on, and never will under this submission.
const REFUSALS: [u16; 2] = [429, 503];

/// No message is called of which each submission until then was refused.
pub fn refused_not_sent(record: &Record) -> Judgement {
    let mut refused = record.submissions.iter().filter(|message| is_refused(message));
    match refused.find(|message| was_sent(record, &message.id)) {
        None => Judgement::Held,
        Some(message) => {
            let status = message.answer.map_or(0, |(_, status)| status);
            Judgement::broken(&message.id, format!("{} was refused ({status}) and sent", message.id))
        }
    }
}

fn is_refused(message: &Submission) -> bool {
    message.answer.is_some_and(|(_, status)| REFUSALS.contains(&status))
}

/// Whether a message was called before any submission of it that was not refused.
fn was_sent(record: &Record, id: &str) -> bool {
    let others = record.submissions.iter().filter(|message| message.id == id && !is_refused(message));
    let first_other: Option<Instant> = others.map(|message| message.sent).min();
    let mut calls = record.calls.iter().filter(|call| call.id == id);
    calls.any(|call| first_other.is_none_or(|sent| call.arrived < sent))
}
