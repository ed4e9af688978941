//! The estimate of what the module holds, beside what the allocator gave out for it. Alone in its file: nothing else
//! may allocate meanwhile.

mod common;

use common::*;
use stairshed_decide::interface::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What the estimate may be off by, as a share of the truth.
const OFF: f64 = 0.15;

fn near(what: &str, estimate: u64, region: &Region<System>) {
    let change = region.change();
    let truth = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    let off = estimate as f64 / truth - 1.0;
    println!("{what}: {estimate} B estimated, {truth} B given out: {:+.1} %", 100.0 * off);
    assert!(off.abs() < OFF, "{what}: {estimate} B estimated, {truth} B given out");
}

#[test]
fn the_estimate_is_near_what_the_allocator_gave_out() {
    let settings = Settings { max_messages: 20_000, max_calls_in_flight: 64, ..settings() };
    for (endpoints, messages) in [(20_000, 0), (200, 20_000), (4000, 10_000)] {
        let region = Region::new(ALLOCATOR);
        let entries = (0..endpoints).map(|n| entry(n, u64::from(n / 4), 0, 1)).collect();
        let mut drive = Drive::new(settings.clone(), entries);
        for n in 0..messages {
            drive.feed(&[taken(n, 0, n % u64::from(endpoints / 4), Duration::from_secs(8))]);
        }
        drive.log = Vec::new();
        near(
            &format!("{endpoints} endpoints, {messages} messages"),
            drive.scheduler.memory_usage().total(),
            &region,
        );
    }
}
