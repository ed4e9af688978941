//! The rows of the table are formed from made-up records.

use super::*;
use crate::trial::tests::{quiet_record, with_call, with_message};

const WRITE_ERROR: CallFault = CallFault { call: "write", fault: "EIO", every: 1 };

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn answers_are_counted_by_status_and_reason() {
    let mut record = quiet_record(ms(1000), ms(1000));
    record.injected.insert("write EIO".to_owned(), 7);
    record.injected.insert("write short".to_owned(), 2);
    with_message(&mut record, "status-1", ms(0), Some(202));
    with_call(&mut record, "status-1", ms(5), Some(200));
    with_message(&mut record, "status-2", ms(10), Some(503)).answer.as_mut().expect("an answer").reason =
        Some("disk".to_owned());
    with_message(&mut record, "status-3", ms(20), None);
    with_message(&mut record, "status-4", ms(1100), Some(202));
    record.noticed.insert("status-4".to_owned());
    let cost = FolderCost::new(&record, WRITE_ERROR);
    assert_eq!(cost.misses(), Vec::<&str>::new());
    let cells = cost.row("write EIO 1");
    assert_eq!(cells[..3], ["write EIO 1", "7", "202: 1; 503 disk: 1; no answer: 1"]);
    assert_eq!(cells[3..], ["0", "0", "0", "0.100 s", "no", ""]);
}

#[test]
fn each_missed_target_is_told() {
    let mut record = quiet_record(ms(1000), ms(3000));
    with_message(&mut record, "payment-1", ms(0), Some(202));
    with_call(&mut record, "payment-1", ms(5), None);
    with_call(&mut record, "payment-1", ms(50), None);
    with_message(&mut record, "status-2", ms(0), Some(503));
    with_call(&mut record, "status-2", ms(5), Some(200));
    record.exit = Some("exit status: 1".to_owned());
    let cost = FolderCost::new(&record, WRITE_ERROR);
    let expected = ["not reached", "without an end", "doubled", "refused ran", "202 again", "ended"];
    assert_eq!(cost.misses(), expected);
}

#[test]
fn calls_that_would_not_come_are_provoked() {
    let truncate = FolderFault::new(TRUNCATE, "EIO");
    assert_eq!(truncate.name(), "truncate EIO 1, write short 2, write EIO 3");
    assert_eq!(FolderFault::new(RENAME, "EIO").start, StartMode::Platform);
    assert_eq!(FolderFault::new("open", "EIO").name(), "open EIO 1");
}
