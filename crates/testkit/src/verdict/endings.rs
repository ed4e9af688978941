//! Each message ends once: after its end nothing more is sent or told of it.

use super::{Judgement, NOTE_TIME};
use crate::record::{Notice, Record};
use crate::scenario::{FaultKind, Link};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Words in the log line of an attempt by which a message has ended.
const DELIVERED: &str = "outcome=Delivered";
/// Words in the log line on a message that its courier gives up, perhaps with a call out.
const GIVEN_UP: &str = " ends verdict=";
/// Time from a notice to its acknowledgement in the journal. A kill within it lets the next process tell it again.
const ACKNOWLEDGEMENT: Duration = Duration::from_millis(1500);

/// No message that its courier knows as delivered, or whose notice was acknowledged, is sent or told of again.
pub fn ends_once(record: &Record) -> Judgement {
    let mut ends = delivered(record);
    if notices_arrive(record) {
        let of_last_life = |notice: &&Notice| is_of_last_life(record, &notice.id, notice.at);
        for notice in record.notices.iter().filter(of_last_life) {
            ends.entry(&notice.id).or_insert((notice.at, ACKNOWLEDGEMENT));
        }
    }
    if ends.is_empty() {
        return Judgement::not_judged("no message ended");
    }
    let later = |id: &str, at: Instant| {
        ends.get(id).is_some_and(|(end, grace)| at > *end + *grace && !may_have_lost(record, *end, *grace))
    };
    if let Some(call) = record.calls.iter().find(|call| later(&call.id, call.arrived)) {
        return Judgement::broken(&call.id, format!("{} was sent again after its end", call.id));
    }
    let again = |notice: &&Notice| later(&notice.id, notice.at);
    record.notices.iter().find(again).map_or(Judgement::Held, |notice| {
        Judgement::broken(&notice.id, format!("{} was told as {} after its end", notice.id, notice.result))
    })
}

/// Messages whose delivery a courier has logged, each with the time in which a kill may lose its record. A message that
/// was given up before with the call out is told of by a notice in any case.
fn delivered(record: &Record) -> BTreeMap<&str, (Instant, Duration)> {
    let mut ends = BTreeMap::new();
    let mut given_up = BTreeSet::new();
    for line in &record.log {
        let Some(id) = message_of(&line.text) else { continue };
        if line.text.contains(GIVEN_UP) {
            given_up.insert(id);
        } else if line.text.contains(DELIVERED)
            && !given_up.contains(id)
            && is_of_last_life(record, id, line.at)
        {
            ends.entry(id).or_insert((line.at, NOTE_TIME));
        }
    }
    ends
}

/// Whether something that was noted of a message at this time is surely about its last life, if it was taken on again.
fn is_of_last_life(record: &Record, id: &str, at: Instant) -> bool {
    !record.has_several_lives(id) || at >= record.last_life_began(id) + NOTE_TIME
}

/// The message that a line of `--follow` is about: the word after `follow` and the time.
fn message_of(line: &str) -> Option<&str> {
    line.strip_prefix("follow ")?.split_whitespace().nth(1)
}

/// Whether notices and their acknowledgements arrive.
fn notices_arrive(record: &Record) -> bool {
    !record.plan.faults.iter().any(|fault| match &fault.kind {
        FaultKind::Link(link) => link.between == Link::CourierDiscovery,
        FaultKind::Calls(rules) => !rules.iter().all(|rule| rule.starts_with("write ")),
        FaultKind::Freeze(_) => true,
        _ => false,
    })
}

/// Whether the end of a process may have lost the record of an end.
fn may_have_lost(record: &Record, end: Instant, grace: Duration) -> bool {
    record.kills.iter().any(|life| {
        let unrecorded_from = life.kill.folder_failed_since.unwrap_or(life.kill.at);
        end <= life.kill.at && end + grace >= unrecorded_from
    })
}
