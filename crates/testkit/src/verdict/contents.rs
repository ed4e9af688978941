//! Messages are sent as submitted: a call has the body that its client sent.

use super::Judgement;
use crate::clients::body_of;
use crate::record::Record;

/// Each call has its message's body.
pub fn sent_as_submitted(record: &Record) -> Judgement {
    let length = record.scenario.clients.body;
    let other = record.calls.iter().find(|call| call.body != body_of(&call.id, length).as_bytes());
    other.map_or(Judgement::Held, |call| {
        let what = format!("{} came to {} with another body than its own", call.id, call.endpoint);
        Judgement::broken(&call.id, what)
    })
}
