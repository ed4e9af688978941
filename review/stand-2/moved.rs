//! An endpoint goes from one broker to its standby and back, and the courier is restarted for the way back while a
//! payment waits for the standby's acknowledgement.

use crate::common::*;
use std::fs;
use std::thread;
use std::time::Duration;

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let soon = || Behaviour { ack_delay: 30 * MS, ..Behaviour::default() };
    let (first, standby) = (Broker::named(&record, "first", soon()), Broker::named(&record, "standby", soon()));
    let http = free_address();
    let config = |broker: &Broker| {
        format!(
            "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
             [classes.payment]\neffect = \"once\"\naim = \"2s\"\ndeadline = \"28s\"\nremember = \"1h\"\n\
             [pools.pumps]\nendpoints = [{{ name = \"east\", address = \"mqtt://{}/fuel/in\" }}]\n\
             [routes.pay]\nprefix = \"/pay\"\npool = \"pumps\"\nclass = \"payment\"\n",
            broker.address
        )
    };
    let file = folder.file("stairshed.toml");
    let write = |broker: &Broker| fs::write(&file, config(broker)).unwrap_or_else(|e| no_run(&e.to_string()));
    let pay = |id: &str| record.line(&format!("client: {id} answered {:?}", post(http, "/pay/1", id, "", id)));
    write(&first);
    let mut courier = Courier::serve(&record, &folder, &file, http, "courier-1.log");
    for n in 1..=3 {
        pay(&format!("first-{n}"));
        thread::sleep(200 * MS);
    }
    write(&standby);
    courier.hang_up();
    if !courier.wait_for_log("the file is read again and in effect") {
        no_run("the file was not read again");
    }
    record.line("operator: SIGHUP; the endpoint is at the standby broker");
    for n in 1..=2 {
        pay(&format!("standby-{n}"));
        thread::sleep(200 * MS);
    }
    standby.change(|b| {
        b.late.insert("slow".to_owned());
        b.late_delay = 8 * SECOND;
    });
    pay("slow");
    if !wait_until(5 * SECOND, || standby.effects().contains_key("slow")) {
        no_run("the payment did not come to the standby broker");
    }
    if trouble() {
        thread::sleep(500 * MS);
        write(&first);
        record.line("operator: the endpoint is at the first broker again; SIGTERM and a start");
        courier.stop();
        courier.log_into(&record);
        courier = Courier::serve(&record, &folder, &file, http, "courier-2.log");
    }
    for n in 4..=5 {
        pay(&format!("first-{n}"));
        thread::sleep(200 * MS);
    }
    thread::sleep(Duration::from_secs(12));
    courier.log_into(&record);
    let outcomes = fs::read_to_string(folder.file("state/outcomes.ndjson")).unwrap_or_default();
    outcomes.lines().for_each(|line| record.line(&format!("outcome: {line}")));
    let mut effects = first.effects();
    standby.effects().into_iter().for_each(|(body, count)| *effects.entry(body).or_default() += count);
    let mut broken = Vec::new();
    for (body, count) in effects {
        record.line(&format!("effects: {body}: {count}"));
        if count > 1 {
            broken.push(format!("payment {body} of a class that runs once was passed on {count} times"));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
