//! The receiver of the outcomes answers each post, after 1.2 s.

use crate::common::*;
use crate::endpoint::*;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

const PAYMENTS: usize = 10;
/// How long the receiver takes for its answer.
const LATE: Duration = Duration::from_millis(1200);
/// What a message may still take to be told of when its time is up.
const SLACK: Duration = Duration::from_secs(30);
/// The deadline of the class.
const DEADLINE: Duration = Duration::from_secs(28);

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    // The partner closes its connections without an answer, so that payments end as dead.
    let partner = Endpoint::new(&record, "partner", true, |_, _| Reaction::RunsAndCloses);
    let after = if trouble() { LATE } else { 10 * MS };
    let receiver = Endpoint::new(&record, "receiver", true, move |_, _| Reaction::Runs { status: 204, after });
    record.line(&format!("receiver: takes what is posted at once, and answers 204 after {after:?}"));
    let http = free_address();
    let file = folder.file("stairshed.toml");
    let config = format!(
        "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
         [outcomes]\nurl = \"http://{}/outcomes\"\n\
         [classes.payment]\neffect = \"once\"\naim = \"2s\"\ndeadline = \"28s\"\nremember = \"1h\"\n\
         [pools.fuel]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.pay]\nprefix = \"/pay\"\npool = \"fuel\"\nclass = \"payment\"\n",
        receiver.address, partner.address
    );
    fs::write(&file, config).unwrap_or_else(|e| no_run(&e.to_string()));
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    let mut accepted = Vec::new();
    for n in 1..=PAYMENTS {
        let id = format!("payment-{n}");
        let status = post(http, "/pay/1", &id, "", &id);
        record.line(&format!("client: {id} answered {status:?}"));
        if status == Some(202) {
            accepted.push((id, Instant::now()));
        }
        thread::sleep(500 * MS);
    }
    let last = accepted.last().map_or_else(Instant::now, |(_, at)| *at);
    thread::sleep((last + DEADLINE + SLACK).saturating_duration_since(Instant::now()));
    courier.log_into(&record);
    let posts = receiver.ran.lock().unwrap().clone();
    record.line(&format!("receiver: {} posts, each answered 204", posts.len()));
    let mut broken = Vec::new();
    for (id, at) in &accepted {
        let line = format!("{{\"ref\":\"{id}\",");
        let told: Vec<_> = posts.iter().filter(|post| post.body.contains(&line)).collect();
        let first = told.first().map(|post| post.at - *at);
        record.line(&format!("outcomes: {id} was told of {} times, first {first:?} after it was handed in", told.len()));
        if first.is_none_or(|first| first > DEADLINE + SLACK) {
            broken.push(format!("{id} was accepted, and its outcome was not told 30 s after its time was up"));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
