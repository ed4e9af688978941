//! The configuration file of the couriers of a run.

use crate::scenario::{CLASSES, Scenario};
use std::fmt::Write;
use std::net::SocketAddr;

/// Header by which messages are ordered.
pub const ORDER_HEADER: &str = "X-Order";
/// Room of the journal: small, so that segments are changed and compacted during a run.
const JOURNAL_ROOM: &str = "3MB";

/// Returns the file of one courier.
pub fn courier_file(
    scenario: &Scenario,
    courier: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> String {
    let endpoints = &scenario.endpoints;
    let mut text = format!(
        "name = \"n{courier}\"\nstate = \"state\"\n[listen]\nhttp = \"{listen}\"\n\
         [discovery]\naddress = \"{discovery}\"\n[outcomes]\nurl = \"http://{discovery}/outcomes\"\n\
         [limits]\ncouriers = {}\ncalls = {}\n[journal]\nroom = \"{JOURNAL_ROOM}\"\ndurability = \"{}\"\n",
        scenario.couriers,
        endpoints.calls,
        scenario.durability.name(),
    );
    for class in CLASSES {
        text += &class_section(scenario, class);
    }
    for pool in 0..endpoints.pools {
        let _ = write!(text, "[pools.p{pool}]\ndestination = {pool}\ndiscovery = true\n");
        if let Some(limit) = endpoints.limit {
            let _ = writeln!(text, "limit = \"{limit}/s\"");
        }
        for class in CLASSES {
            let _ = write!(
                text,
                "[routes.{class}-{pool}]\npath = \"/{class}/{pool}\"\npool = \"p{pool}\"\nclass = \"{class}\"\n\
                 rewrite.set = {{ X-Courier = \"{courier}\" }}\n"
            );
        }
    }
    text
}

fn class_section(scenario: &Scenario, class: &str) -> String {
    let effect = match class {
        "payment" => "effect = \"once\"\n".to_owned(),
        "notice" => {
            let window = scenario.endpoints.key_window.0.as_millis();
            format!("effect = \"keyed\"\nkey_scope = \"zone\"\nkey_window = \"{window}ms\"\n")
        }
        _ => "effect = \"repeatable\"\n".to_owned(),
    };
    let deadline = scenario.clients.deadline.0.as_millis();
    let is_ordered = scenario.clients.ordered.iter().any(|ordered| ordered == class);
    let order = if is_ordered { format!("order_by = \"{ORDER_HEADER}\"\n") } else { String::new() };
    format!(
        "[classes.{class}]\n{effect}deadline = \"{deadline}ms\"\naim = \"{}ms\"\n{order}",
        deadline.min(2000)
    )
}
