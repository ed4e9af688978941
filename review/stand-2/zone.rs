//! A reload puts an endpoint into another zone; keyed messages that may have run in its old zone come to it.

use crate::common::*;
use crate::endpoint::*;
use std::collections::BTreeMap;
use std::fs;
use std::thread;
use std::time::Duration;

const NOTICES: usize = 60;

pub fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    // The endpoint in building a runs what comes; the answer to every other call is lost with its connection.
    // The other one refuses a call in three.
    let answer = || Reaction::Runs { status: 200, after: 30 * MS };
    let in_a = Endpoint::new(&record, "in building a", false, move |_, number| match number % 2 {
        0 => answer(),
        _ => Reaction::RunsAndCloses,
    });
    let in_b = Endpoint::new(&record, "in building b", false, move |_, number| match number % 3 {
        0 => Reaction::Refuses { status: 503 },
        _ => answer(),
    });
    let http = free_address();
    let config = |zone: &str| {
        format!(
            "name = \"depot-1\"\nstate = \"state\"\n[listen]\nhttp = \"{http}\"\n\
             [classes.notice]\neffect = \"keyed\"\nkey_scope = \"zone\"\nkey_window = \"12s\"\naim = \"2s\"\ndeadline = \"28s\"\n\
             [pools.stops]\nendpoints = [\n  {{ name = \"one\", address = \"{}\", zone = \"a\" }},\n  \
             {{ name = \"two\", address = \"{}\", zone = \"{zone}\" }},\n]\n\
             [routes.stop]\nprefix = \"/stop\"\npool = \"stops\"\nclass = \"notice\"\n",
            in_a.address, in_b.address
        )
    };
    let file = folder.file("stairshed.toml");
    let write = |zone: &str| fs::write(&file, config(zone)).unwrap_or_else(|e| no_run(&e.to_string()));
    write(if trouble() { "a" } else { "b" });
    let courier = Courier::serve(&record, &folder, &file, http, "courier.log");
    if trouble() {
        thread::sleep(2 * SECOND);
        write("b");
        courier.hang_up();
        if !courier.wait_for_log("the file is read again and in effect") {
            no_run("the file was not read again");
        }
        record.line("operator: SIGHUP; endpoint two stands in zone b now, where it is");
    }
    thread::sleep(2 * SECOND);
    for n in 1..=NOTICES {
        let id = format!("notice-{n}");
        let key = format!("Idempotency-Key: key-{n}\r\n");
        record.line(&format!("client: {id} answered {:?}", post(http, "/stop/1", &id, &key, &id)));
        thread::sleep(300 * MS);
    }
    thread::sleep(Duration::from_secs(30));
    courier.log_into(&record);
    let outcomes = fs::read_to_string(folder.file("state/outcomes.ndjson")).unwrap_or_default();
    outcomes.lines().for_each(|line| record.line(&format!("outcome: {line}")));
    // Endpoints of one building drop a repeat: a notice takes effect once in each building that it comes to.
    let mut buildings: BTreeMap<String, usize> = BTreeMap::new();
    for endpoint in [&in_a, &in_b] {
        endpoint.effects().into_keys().for_each(|body| *buildings.entry(body).or_default() += 1);
    }
    let mut broken = Vec::new();
    for (body, count) in buildings {
        if count > 1 {
            broken.push(format!("{body} took effect in both buildings; they do not know each other's keys"));
        }
    }
    drop(courier);
    verdict(&record, &broken)
}
