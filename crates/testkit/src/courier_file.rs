//! The configuration of the couriers of a run, as an operator or the platform gives it.

use crate::endpoints::SHARED_LIMIT;
use crate::mqtt_clients::ID_PROPERTY;
use crate::scenario::{CLASSES, Scenario, StartMode};
use serde_json::{Value, json};
use stairshed_rig::{TestFolder, serve_command_of, settings};
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Header by which messages are ordered.
pub const ORDER_HEADER: &str = "X-Order";
/// Room of the journal: small, so that segments are changed and compacted during a run.
const JOURNAL_ROOM: &str = "3MB";

/// What a courier is started with.
pub enum CourierFile {
    Operator(String),
    Platform { listen: SocketAddr, discovery: SocketAddr, config: Value },
}

impl CourierFile {
    /// The configuration of one courier of a scenario. `known` is the list of endpoints at the start.
    pub fn new(
        scenario: &Scenario,
        courier: usize,
        listen: SocketAddr,
        mqtt: Option<SocketAddr>,
        discovery: SocketAddr,
        known: Value,
    ) -> Self {
        match scenario.start {
            StartMode::File => {
                CourierFile::Operator(operator_file(scenario, courier, listen, mqtt, discovery))
            }
            StartMode::Platform => {
                let config = platform_config(scenario, courier, listen, discovery, known);
                CourierFile::Platform { listen, discovery, config }
            }
        }
    }

    /// Writes the file into the folder and returns the command that starts this program with it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn command(&self, program: &Path, folder: &TestFolder) -> io::Result<Command> {
        let (listen, discovery, config) = match self {
            CourierFile::Operator(file) => return Ok(serve_command_of(program, folder, file)),
            CourierFile::Platform { listen, discovery, config } => (listen, discovery, config),
        };
        let path = folder.0.join("config.json");
        fs::write(&path, config.to_string())?;
        let mut command = Command::new(program);
        command
            .env("LB_NAME", "courier")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_STATE", folder.0.join("state"))
            .env("LB_CONFIG", path)
            .stdin(Stdio::null())
            .stderr(Stdio::piped());
        Ok(command)
    }
}

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn platform_config(
    scenario: &Scenario,
    courier: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Value,
) -> Value {
    let mut settings = settings();
    settings["siblings"] = json!(scenario.couriers);
    settings["dcs"] = json!(scenario.endpoints.zones);
    settings["skus"] = json!([SHARED_LIMIT]);
    settings["family-info"]["separate-routes"] = json!([false]);
    settings["family-info"]["slots"] = json!(scenario.endpoints.calls);
    settings["family-info"]["fee-by-zone"] = json!(vec![0.0; scenario.endpoints.zones.len()]);
    // Probes would stand among the calls at the endpoints.
    settings["limits"]["probing"] = json!(false);
    for lane in settings["lanes"].as_array_mut().into_iter().flatten() {
        lane["deadline-ns"] = json!(nanoseconds(scenario.clients.deadline.0));
        lane["key-ttl-ns"] = json!(nanoseconds(scenario.endpoints.key_window.0));
    }
    json!({"name": format!("n{courier}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", courier + 1), "known": known, "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}})
}

/// Returns the operator's file of one courier.
fn operator_file(
    scenario: &Scenario,
    courier: usize,
    listen: SocketAddr,
    mqtt: Option<SocketAddr>,
    discovery: SocketAddr,
) -> String {
    let mqtt_listen = mqtt.map(|address| format!("mqtt = \"{address}\"\n")).unwrap_or_default();
    let endpoints = &scenario.endpoints;
    let mut text = format!(
        "name = \"n{courier}\"\nstate = \"state\"\n[listen]\nhttp = \"{listen}\"\n{mqtt_listen}\
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
            if mqtt.is_some() {
                let _ = write!(
                    text,
                    "[topics.{class}-{pool}]\nfilter = \"{class}/{pool}\"\npool = \"p{pool}\"\nclass = \"{class}\"\n\
                     identity = {{ property = \"{ID_PROPERTY}\" }}\nidentity_scope = \"all\"\n\
                     rewrite.set = {{ X-Courier = \"{courier}\" }}\n"
                );
            }
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
    let attempts =
        scenario.clients.attempts.map(|number| format!("attempts = {number}\n")).unwrap_or_default();
    let remember = scenario.clients.remember.map(|span| span.0.as_millis());
    let remember = remember.map(|span| format!("remember = \"{span}ms\"\n")).unwrap_or_default();
    format!(
        "[classes.{class}]\n{effect}deadline = \"{deadline}ms\"\naim = \"{}ms\"\n{order}{attempts}{remember}",
        deadline.min(2000)
    )
}
