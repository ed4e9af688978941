//! Tests of the times in which couriers could not write.

use super::FolderOutages;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_courier_may_have_written_nothing_until_its_first_try_after_the_fault() {
    let start = Instant::now();
    let at = |ms: u32| start + ms * MS;
    let mut outages = FolderOutages::default();
    assert_eq!(outages.failed_since(0, start), None);
    outages.begin(4, vec![0, 2], at(100));
    outages.end(3, at(150));
    for (courier, expected) in [(0, Some(at(100))), (1, None), (2, Some(at(100)))] {
        assert_eq!(outages.failed_since(courier, at(5_000)), expected, "{courier}");
    }
    outages.end(4, at(1_000));
    for (ms, expected) in [(1_200, Some(at(100))), (1_299, Some(at(100))), (1_300, None)] {
        assert_eq!(outages.failed_since(0, at(ms)), expected, "{ms}");
    }
}

#[test]
fn each_outage_counts_from_its_own_beginning() {
    let start = Instant::now();
    let at = |ms: u32| start + ms * MS;
    let mut outages = FolderOutages::default();
    outages.begin(1, vec![0], at(0));
    outages.end(1, at(100));
    outages.begin(1, vec![0], at(1_000));
    assert_eq!(outages.failed_since(0, at(1_100)), Some(at(1_000)));
    outages.begin(2, vec![0], at(1_200));
    outages.end(1, at(1_300));
    assert_eq!(outages.failed_since(0, at(1_400)), Some(at(1_000)));
    assert_eq!(outages.failed_since(0, at(1_700)), Some(at(1_200)));
}
