//! The rows of the table are formed from made-up records.

use super::*;
use crate::trial::tests::{quiet_record, with_delivery, with_message};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A record of 1 s of fault and 1 s after it, with a delivery every 25 ms, but none from one time to another.
fn record(none_from: u64, none_until: u64) -> TrialRecord {
    let mut record = quiet_record(ms(1000), ms(1000));
    for at in (0..2000).step_by(25).filter(|at| !(none_from..none_until).contains(at)) {
        with_delivery(&mut record, ms(at));
    }
    record.cpu_seconds = 0.5;
    record.injected.insert("accept EMFILE".to_owned(), 3);
    record
}

fn cost(record: &TrialRecord) -> FaultCost {
    FaultCost::new(record, Baseline::new(&record_without_fault()))
}

fn record_without_fault() -> TrialRecord {
    record(0, 0)
}

#[test]
fn a_fault_that_costs_nothing_misses_no_target() {
    let mut record = record_without_fault();
    with_message(&mut record, "status-1", ms(10), Some(202));
    with_message(&mut record, "status-2", ms(20), None);
    let cost = cost(&record);
    assert_eq!(cost.misses(), Vec::<&str>::new());
    let cells = cost.row("accept EMFILE 2");
    assert_eq!(cells[..4], ["accept EMFILE 2", "3", "50.0 %", "2000.0 %"]);
    assert_eq!(cells[4..], ["0.25 s", "0.50 s", "1.00", "no", ""]);
}

#[test]
fn deliveries_are_back_at_the_end_of_the_first_full_window() {
    assert_eq!(cost(&record(300, 1600)).recovery, Some(ms(1000)));
    assert_eq!(cost(&record(300, 1000)).recovery, Some(ms(250)));
    assert_eq!(cost(&record(300, 2000)).recovery, None);
}

#[test]
fn deliveries_that_stop_again_are_not_back() {
    assert_eq!(cost(&record(1250, 2000)).recovery, None);
}

#[test]
fn each_missed_target_is_told() {
    let mut record = record(0, 2000);
    record.cpu_seconds = 1.1;
    record.injected.clear();
    record.exit = Some("exit status: 1".to_owned());
    let cost = cost(&record);
    assert_eq!(cost.misses(), ["not reached", "back", "CPU", "ended"]);
    assert_eq!(cost.row("wait EINTR 2")[4], "not in 4 s");
    assert_eq!(cost.row("wait EINTR 2")[7..], ["exit status: 1", "not reached, back, CPU, ended"]);
}
