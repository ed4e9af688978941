//! A reload makes a class `once` while a message of it waits for the broker's acknowledgement.

use crate::common::*;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

/// What is granted behind the line of the log that says that the new file is in effect.
const SLACK: Duration = Duration::from_millis(500);

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let broker = Broker::new(&record, Behaviour { ack_delay: 30 * MS, ..Behaviour::default() });
    let http = free_address();
    let config = |effect: &str| {
        format!(
            "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
             [classes.order]\neffect = \"{effect}\"\naim = \"2s\"\ndeadline = \"28s\"\nremember = \"1h\"\n\
             [pools.pumps]\nendpoints = [{{ name = \"east\", address = \"mqtt://{}/fuel/in\" }}]\n\
             [routes.order]\nprefix = \"/order\"\npool = \"pumps\"\nclass = \"order\"\n",
            broker.address
        )
    };
    let file = folder.file("stairshed.toml");
    fs::write(&file, config("repeatable")).unwrap_or_else(|e| no_run(&e.to_string()));
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    let submit = |id: &str| record.line(&format!("client: {id} answered {:?}", post(http, "/order/1", id, "", id)));
    for n in 1..=3 {
        submit(&format!("early-{n}"));
        thread::sleep(100 * MS);
    }
    broker.change(|b| {
        b.late.insert("slow".to_owned());
        b.late_delay = 4 * SECOND;
    });
    submit("slow");
    if !wait_until(5 * SECOND, || broker.effects().contains_key("slow")) {
        no_run("the message did not come to the broker");
    }
    thread::sleep(100 * MS);
    let mut strict_since = None;
    if trouble() {
        fs::write(&file, config("once")).unwrap_or_else(|e| no_run(&e.to_string()));
        courier.hang_up();
        if !courier.wait_for_log("the file is read again and in effect") {
            no_run("the file was not read again");
        }
        strict_since = Some(Instant::now());
        record.line("operator: SIGHUP; messages of the class run once from now on");
    }
    thread::sleep(Duration::from_secs(10));
    courier.log_into(&record);
    let outcomes = fs::read_to_string(folder.file("state/outcomes.ndjson")).unwrap_or_default();
    outcomes.lines().for_each(|line| record.line(&format!("outcome: {line}")));
    let mut broken = Vec::new();
    for (n, passed) in broker.passed().iter().filter(|p| p.body == "slow").enumerate() {
        if n > 0 && strict_since.is_some_and(|since| passed.at > since + SLACK) {
            broken.push(format!("slow, of a class that runs once, was published again and passed on time {}", n + 1));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
