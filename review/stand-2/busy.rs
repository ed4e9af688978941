//! A reload moves an endpoint from one broker to another under steady traffic, and gives its old address to another pool.

use crate::common::*;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

/// The grace of the rule on drains, and as much again.
const GRACE: Duration = Duration::from_secs(2);

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let sound = || Behaviour { ack_delay: 200 * MS, ..Behaviour::default() };
    let (old, new) = (Broker::named(&record, "old", sound()), Broker::named(&record, "new", sound()));
    let http = free_address();
    let config = |fuel: &Broker, toll: &Broker| {
        format!(
            "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
             [classes.payment]\neffect = \"once\"\naim = \"2s\"\ndeadline = \"28s\"\nremember = \"1h\"\n\
             [pools.pumps]\nendpoints = [{{ name = \"east\", address = \"mqtt://{}/fuel/in\" }}]\n\
             [pools.toll]\nendpoints = [{{ name = \"west\", address = \"mqtt://{}/toll/in\" }}]\n\
             [routes.pay]\nprefix = \"/pay\"\npool = \"pumps\"\nclass = \"payment\"\n\
             [routes.toll]\nprefix = \"/toll\"\npool = \"toll\"\nclass = \"payment\"\n",
            fuel.address, toll.address
        )
    };
    let file = folder.file("stairshed.toml");
    fs::write(&file, config(&old, &new)).unwrap_or_else(|e| no_run(&e.to_string()));
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    let mut moved = None;
    let start = Instant::now();
    for n in 1..=200 {
        let id = format!("payment-{n}");
        record.line(&format!("client: {id} answered {:?}", post(http, "/pay/1", &id, "", &id)));
        thread::sleep(100 * MS);
        if trouble() && moved.is_none() && start.elapsed() > 3 * SECOND {
            fs::write(&file, config(&new, &old)).unwrap_or_else(|e| no_run(&e.to_string()));
            courier.hang_up();
            if !courier.wait_for_log("the file is read again and in effect") {
                no_run("the file was not read again");
            }
            moved = Some(Instant::now());
            record.line("operator: SIGHUP; the fuel partner is at the new broker, and the toll partner has the old one");
        }
    }
    thread::sleep(3 * SECOND);
    courier.log_into(&record);
    let mut broken = Vec::new();
    if let Some(moved) = moved {
        let late = old.passed().iter().filter(|p| p.topic == "fuel/in" && p.at > moved + GRACE).count();
        record.line(&format!("later than 2 s after the move: {late} to the old broker, {} to the new", new.passed().len()));
        if late > 0 {
            broken.push(format!("{late} fuel payments went to the toll partner's broker later than 2 s after the reload"));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
