//! Compares the memory estimate of a configuration with the bytes that the allocator counted. The test is
//! alone in its file, since no other test may allocate at the same time.

use stairshed_config::installation::Document;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Maximum error of the estimate, relative to the allocated bytes.
const MAX_RELATIVE_ERROR: f64 = 0.25;

/// What a pool may say about the answers of its endpoints.
const ANSWERS: &str = "answers.delivered = [\"2xx\", 409]\nanswers.rejected = [\"3xx\", \"4xx\"]\n\
    answers.may_have_run = [408, \"5xx\"]\nanswers.refused = [421, 425, 429, 503]\n\
    answers.wait_scope = \"endpoint\"\n";

fn file(pools: usize, endpoints: usize, routes: usize, answers: &str) -> String {
    let mut text = "[classes.payment]\n[classes.notice]\neffect = \"repeatable\"\n".to_owned();
    for pool in 0..pools {
        let all: Vec<String> = (0..endpoints)
            .map(|e| format!("{{ address = \"10.{}.{}.{}:80\" }}", pool / 250, pool % 250, e))
            .collect();
        text += &format!("[pools.partner-{pool}]\nendpoints = [{}]\n{answers}", all.join(", "));
        for route in 0..routes {
            text += &format!(
                "[routes.fuel-{pool}-{route}]\nprefix = \"/fuel/{pool}/{route}\"\npool = \"partner-{pool}\"\n\
                 class = \"payment\"\n"
            );
        }
    }
    text
}

#[test]
fn the_estimate_is_near_the_allocated_memory() {
    for (pools, endpoints, routes, answers) in
        [(1000, 1, 1, ""), (10, 200, 1, ""), (100, 5, 30, ""), (2000, 1, 0, ""), (2000, 1, 0, ANSWERS)]
    {
        let text = file(pools, endpoints, routes, answers);
        let region = Region::new(ALLOCATOR);
        let document = Document::read("file", &text).expect("valid");
        let installation = document.installation(None).expect("valid");
        let change = region.change();
        drop(document);
        let allocated = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        let estimate = installation.estimated_bytes() + text.len() as u64;
        let relative_error = estimate as f64 / allocated - 1.0;
        let label =
            format!("{pools} pools of {endpoints} endpoints and {routes} routes, {} B of text", text.len());
        println!(
            "{label}: {estimate} B estimated, {allocated} B allocated: {:+.1} %",
            100.0 * relative_error
        );
        assert!(
            relative_error.abs() < MAX_RELATIVE_ERROR,
            "{label}: {estimate} B estimated, {allocated} B allocated"
        );
    }
}
