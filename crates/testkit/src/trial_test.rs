//! Made-up records for the tests of the tables.

use super::*;
use crate::steady_load::LoadAnswer;

/// A record without a message, of a fault that began now and of the load's time after it.
pub fn quiet_record(lasting: Duration, after: Duration) -> TrialRecord {
    let fault_began = Instant::now();
    TrialRecord {
        fault_began,
        fault_ended: fault_began + lasting,
        load_ended: fault_began + lasting + after,
        messages: Vec::new(),
        calls: Vec::new(),
        noticed: BTreeSet::new(),
        cpu_seconds: 0.0,
        injected: FaultCounts::new(),
        exit: None,
    }
}

/// Adds a message that is submitted at this time after the fault's beginning, and answered at once or not at all.
pub fn with_message<'a>(
    record: &'a mut TrialRecord,
    id: &str,
    at: Duration,
    status: Option<u16>,
) -> &'a mut LoadMessage {
    let sent = record.fault_began + at;
    let answer = status.map(|status| LoadAnswer { at: sent, status, reason: None });
    record.messages.push(LoadMessage { id: id.to_owned(), sent, answer });
    record.messages.last_mut().expect("the message")
}

/// Adds a call that ends at once.
pub fn with_call(record: &mut TrialRecord, id: &str, at: Duration, status: Option<u16>) {
    let mut call = ServedCall::arrived_at(id, "p0-a", "a", record.fault_began + at);
    call.ended = Some(call.arrived);
    call.status = status;
    record.calls.push(call);
}

/// Adds a confirmed call of some message.
pub fn with_delivery(record: &mut TrialRecord, at: Duration) {
    with_call(record, "status-0", at, Some(200));
}
