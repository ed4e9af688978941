//! Compares the estimated memory usage with what the allocator handed out. The only test in its file, so that
//! nothing else allocates at the same time.

mod common;

use common::*;
use stairshed_decide::interface::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Maximum error of the estimate, as a share of the true value.
const MAX_RELATIVE_ERROR: f64 = 0.15;

fn assert_close(what: &str, estimate: u64, region: &Region<System>) {
    let change = region.change();
    let truth = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    let off = estimate as f64 / truth - 1.0;
    println!("{what}: {estimate} B estimated, {truth} B allocated: {:+.1} %", 100.0 * off);
    assert!(off.abs() < MAX_RELATIVE_ERROR, "{what}: {estimate} B estimated, {truth} B allocated");
}

#[test]
fn the_estimate_is_close_to_what_the_allocator_handed_out() {
    let settings = Settings { max_messages: 20_000, max_calls_in_flight: 64, ..settings() };
    for (endpoints, messages) in [(20_000, 0), (200, 20_000), (4000, 10_000)] {
        let region = Region::new(ALLOCATOR);
        let entries = (0..endpoints).map(|n| entry(n, u64::from(n / 4), 0, 1)).collect();
        let mut drive = Driver::new(settings.clone(), entries);
        for n in 0..messages {
            drive.feed(&[accepted(n, 0, n % u64::from(endpoints / 4), Duration::from_secs(8))]);
        }
        drive.log = Vec::new();
        assert_close(
            &format!("{endpoints} endpoints, {messages} messages"),
            drive.scheduler.memory_usage().total(),
            &region,
        );
    }
}
