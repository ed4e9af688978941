//! A keyed message is published again after the receivers have forgotten its key.

use crate::common::*;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

/// How long receivers remember a key, as `key_window` says.
const WINDOW: Duration = Duration::from_secs(12);
/// What is granted beyond it.
const SLACK: Duration = Duration::from_millis(500);

/// For how long the broker answers nothing.
const SILENCE: Duration = Duration::from_millis(16_500);
/// Longer than the run.
const NO_ANSWER: Duration = Duration::from_secs(600);

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let broker = Broker::new(&record, Behaviour { ack_delay: 30 * MS, ..Behaviour::default() });
    let http = free_address();
    let config = format!(
        "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
         [classes.notice]\neffect = \"keyed\"\nkey_scope = \"pool\"\nkey_window = \"12s\"\naim = \"2s\"\ndeadline = \"28s\"\n\
         [pools.stops]\nendpoints = [{{ name = \"east\", address = \"mqtt://{}/stops/in\" }}]\n\
         [routes.stop]\nprefix = \"/stop\"\npool = \"stops\"\nclass = \"notice\"\n",
        broker.address
    );
    let file = folder.file("stairshed.toml");
    fs::write(&file, config).unwrap_or_else(|e| no_run(&e.to_string()));
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    for n in 1..=3 {
        let id = format!("early-{n}");
        let key = format!("Idempotency-Key: {id}\r\n");
        record.line(&format!("client: {id} answered {:?}", post(http, "/stop/1", &id, &key, &id)));
        thread::sleep(100 * MS);
    }
    if trouble() {
        // The broker takes messages and answers none for 16.5 s.
        broker.change(|b| b.ack_delay = NO_ANSWER);
        record.line("broker: takes messages and answers none from now on");
    }
    let key = "Idempotency-Key: notice\r\n";
    record.line(&format!("client: notice answered {:?}", post(http, "/stop/1", "notice", key, "notice")));
    if !wait_until(5 * SECOND, || broker.effects().contains_key("notice")) {
        no_run("the notice did not come to the broker");
    }
    let first = broker.passed().iter().find(|p| p.body == "notice").map_or_else(Instant::now, |p| p.at);
    if trouble() {
        thread::sleep(6 * SECOND);
        broker.restart();
        thread::sleep((first + SILENCE).saturating_duration_since(Instant::now()));
        broker.change(|b| b.ack_delay = 30 * MS);
        record.line("broker: answers at once again");
    }
    thread::sleep((first + Duration::from_secs(30)).saturating_duration_since(Instant::now()));
    courier.log_into(&record);
    let outcomes = fs::read_to_string(folder.file("state/outcomes.ndjson")).unwrap_or_default();
    outcomes.lines().for_each(|line| record.line(&format!("outcome: {line}")));
    let mut broken = Vec::new();
    for passed in broker.passed().iter().filter(|p| p.body == "notice") {
        let after = passed.at - first;
        if after > WINDOW + SLACK {
            broken.push(format!(
                "notice was published {:.1} s after its first send, and the key is remembered for 12 s",
                after.as_secs_f64()
            ));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
