//! Two partners, two pools. A new configuration exchanges the numbers (`destination`) of the two pools, under
//! traffic. Each payment has to reach the partner of the pool that its route names.

#[path = "common.rs"]
mod common;
use common::*;
use std::time::{Duration, Instant};

/// A payment that was handed in: its id, the partner of its route, and when.
struct Sent {
    id: String,
    partner: &'static str,
    at: Instant,
}

fn main() {
    let case = Case::new();
    let (fuel_ran, toll_ran) = (Ran::default(), Ran::default());
    let fuel = endpoint("the fuel partner", &case.record, &fuel_ran);
    let toll = endpoint("the toll partner", &case.record, &toll_ran);
    let at = free_address();
    let config = |fuel_number: u32, toll_number: u32| {
        format!(
            r#"
[listen]
http = "{at}"

[classes.payment]
effect = "once"
deadline = "10s"
remember = "1h"

[pools.fuel]
destination = {fuel_number}
endpoints = [{{ address = "{fuel}" }}]

[pools.toll]
destination = {toll_number}
endpoints = [{{ address = "{toll}" }}]

[routes.fuel]
prefix = "/fuel"
pool = "fuel"
class = "payment"

[routes.toll]
prefix = "/toll"
pool = "toll"
class = "payment"
"#
        )
    };
    let file = case.file("courier.toml", &config(1, 2));
    let mut courier = case.serve(&file);
    case.wait_ready(&mut courier, at);

    let mut sent: Vec<Sent> = Vec::new();
    let pay = |number: usize, sent: &mut Vec<Sent>| {
        for partner in ["fuel", "toll"] {
            let id = format!("{partner}-{number}");
            let headers = [("X-Request-ID", id.as_str())];
            let path = format!("/{partner}/station-4/pay");
            let answer = request(at, "POST", &path, &headers, b"42 EUR", Duration::from_secs(2));
            let status = answer.map_or(0, |a| a.status);
            case.record.line(format!("{id} is handed in for the {partner} partner: {status}"));
            if status == 202 {
                sent.push(Sent { id, partner, at: Instant::now() });
            }
        }
        std::thread::sleep(25 * MS);
    };
    for number in 0..40 {
        pay(number, &mut sent);
    }
    let mut in_effect = Instant::now();
    if case.trouble {
        case.file("courier.toml", &config(2, 1));
        signal(courier.pid(), "HUP");
        case.record.line("the file has the numbers exchanged, and the courier gets SIGHUP");
        if !courier.wait_log("the file is read again and in effect", 0, Duration::from_secs(5)) {
            verdict(&case, 2, &format!("the file was not read again: {}", courier.log_tail()));
        }
        in_effect = Instant::now();
        case.record.line("the courier says that the file is in effect");
    }
    for number in 40..160 {
        pay(number, &mut sent);
    }
    std::thread::sleep(Duration::from_secs(3));

    // Payments taken on within 1.5 s of the change are left out: 1 s of grace, and a margin.
    let judged: Vec<&Sent> = sent
        .iter()
        .filter(|s| s.at < in_effect || s.at.duration_since(in_effect) > Duration::from_millis(1500))
        .collect();
    let wrong: Vec<&str> = judged
        .iter()
        .filter(|s| if s.partner == "fuel" { toll_ran.count(&s.id) > 0 } else { fuel_ran.count(&s.id) > 0 })
        .map(|s| s.id.as_str())
        .collect();
    if judged.len() < 100 {
        verdict(&case, 2, &format!("only {} payments were taken on", judged.len()));
    }
    let why = format!(
        "{} of {} payments were run by the partner of the other pool: {:?}",
        wrong.len(),
        judged.len(),
        &wrong[..wrong.len().min(6)]
    );
    verdict(&case, i32::from(!wrong.is_empty()), &why)
}
