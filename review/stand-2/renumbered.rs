//! A pool's `destination` is set by a reload while a payment waits for the broker's acknowledgement.

use crate::common::*;
use std::fs;
use std::thread;
use std::time::Duration;

/// Before the reload, and after it.
const EARLY: usize = 3;
const LATER: usize = 40;

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let broker = Broker::new(&record, Behaviour { ack_delay: 30 * MS, ..Behaviour::default() });
    let http = free_address();
    let config = |destination: &str| {
        format!(
            "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
             [classes.payment]\neffect = \"once\"\naim = \"2s\"\ndeadline = \"28s\"\nremember = \"1h\"\n\
             [pools.pumps]\n{destination}endpoints = [{{ name = \"east\", address = \"mqtt://{}/fuel/in\" }}]\n\
             [routes.pay]\nprefix = \"/pay\"\npool = \"pumps\"\nclass = \"payment\"\n",
            broker.address
        )
    };
    let file = folder.file("stairshed.toml");
    fs::write(&file, config("")).unwrap_or_else(|e| no_run(&e.to_string()));
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    let mut accepted = Vec::new();
    let mut pay = |id: &str| {
        let status = post(http, "/pay/1", id, "", id);
        record.line(&format!("client: {id} answered {status:?}"));
        accepted.extend((status == Some(202)).then(|| id.to_owned()));
    };
    for n in 1..=EARLY {
        pay(&format!("early-{n}"));
        thread::sleep(300 * MS);
    }
    // The broker takes this one, and acknowledges it late.
    broker.change(|b| {
        b.late.insert("slow".to_owned());
        b.late_delay = 4 * SECOND;
    });
    pay("slow");
    if !wait_until(5 * SECOND, || broker.effects().contains_key("slow")) {
        no_run("the payment did not come to the broker");
    }
    thread::sleep(500 * MS);
    if trouble() {
        fs::write(&file, config("destination = 7\n")).unwrap_or_else(|e| no_run(&e.to_string()));
        courier.hang_up();
        if !courier.wait_for_log("the file is read again and in effect") {
            no_run("the file was not read again");
        }
        record.line("operator: SIGHUP; the pool has `destination = 7` now, and is otherwise as before");
    }
    for n in 1..=LATER {
        pay(&format!("later-{n}"));
        thread::sleep(20 * MS);
    }
    // Until the time of the last one is up, and some more.
    thread::sleep(Duration::from_secs(31));
    courier.log_into(&record);
    let outcomes = fs::read_to_string(folder.file("state/outcomes.ndjson")).unwrap_or_default();
    outcomes.lines().for_each(|line| record.line(&format!("outcome: {line}")));
    let mut broken = Vec::new();
    for (body, count) in broker.effects() {
        record.line(&format!("effects: {body}: {count}"));
        if count > 1 {
            broken.push(format!("payment {body} of a class that runs once was passed on {count} times"));
        }
    }
    for body in accepted.iter().filter(|body| !broker.effects().contains_key(*body) && !outcomes.contains(&format!("\"{body}\""))) {
        broken.push(format!("payment {body} was accepted, and neither passed on nor told of"));
    }
    drop(courier);
    verdict(&record, &broken)
}
