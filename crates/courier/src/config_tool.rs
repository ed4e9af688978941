//! `stairshed check` and `stairshed config`: validate, explain, compare and show configurations.

use serde_json::Value;
use stairshed_config::installation::Pool;
use stairshed_config::route::{self, NoRoute, normalize_path};
use stairshed_config::topic;
use stairshed_config::{Installation, Problems, load, report};
use stairshed_courier::admin_client;
use stairshed_courier::host_name;
use stairshed_health::answers::{Meaning, WaitScope};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Problems(#[from] Problems),
    #[error("{}: {why}", file.display())]
    Unread { file: PathBuf, why: io::Error },
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    #[error("{address}: {why}")]
    Courier { address: SocketAddr, why: io::Error },
    #[error("{0}")]
    Request(String),
    #[error("there is no pools.{0}")]
    NoPool(String),
    #[error("no route matches the request")]
    NoRoute,
    /// The differences have already been printed.
    #[error("they differ")]
    Differ,
}

fn read_installation(file: &Path) -> Result<Installation, Error> {
    let text = std::fs::read_to_string(file).map_err(|why| Error::Unread { file: file.to_owned(), why })?;
    Ok(load(&file.display().to_string(), &text)?)
}

/// Validates a file, shows how the given requests would be routed, and what answers mean for the given pools.
pub fn check(file: &Path, explain: &[String], answers: &[String], out: &mut impl Write) -> Result<(), Error> {
    let installation = read_installation(file)?;
    let (classes, pools, routes) =
        (installation.classes.len(), installation.pools.len(), installation.routes.len());
    let endpoints: usize = installation.pools.iter().map(|p| p.members.len()).sum();
    writeln!(out, "{}: valid", file.display())?;
    writeln!(out, "  {classes} classes, {pools} pools with {endpoints} endpoints, {routes} routes")?;
    for pool in installation.pools.iter().filter(|p| p.members.is_empty() && !p.discovery) {
        writeln!(
            out,
            "  note: pools.{} has no endpoints: its messages wait until their deadline",
            pool.name
        )?;
    }
    let has_route = |n: usize| installation.routes.iter().any(|r| r.pool == n);
    for (n, pool) in installation.pools.iter().enumerate().filter(|(n, _)| !has_route(*n)) {
        let _ = n;
        writeln!(out, "  note: no route uses pools.{}", pool.name)?;
    }
    for name in answers {
        let pool = installation.pools.iter().find(|pool| pool.name == *name);
        print_answers(pool.ok_or_else(|| Error::NoPool(name.clone()))?, out)?;
    }
    let mut all_routed = true;
    for request in explain {
        all_routed &= explain_request(&installation, request, out)?;
    }
    if all_routed { Ok(()) } else { Err(Error::NoRoute) }
}

/// Prints the statuses of a pool's answers by their meaning.
fn print_answers(pool: &Pool, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "  pools.{}, answers:", pool.name)?;
    for (label, meaning, others) in [
        ("delivered", Meaning::Delivered, ""),
        ("rejected", Meaning::Rejected, ""),
        ("may have run", Meaning::MayHaveRun, ", and any other"),
        ("refused", Meaning::Refused, ""),
    ] {
        let patterns = pool.answers.meanings().filter(|(_, of)| *of == meaning);
        let patterns: Vec<String> = patterns.map(|(pattern, _)| pattern.to_string()).collect();
        writeln!(out, "    {label:<14}{}{others}", patterns.join(" "))?;
    }
    let scope = match pool.answers.wait_scope() {
        WaitScope::Pool => "whole pool",
        WaitScope::Endpoint => "endpoint",
    };
    writeln!(out, "    a told wait holds for the {scope}")?;
    Ok(())
}

/// A request given as `METHOD /path [Header: value, ...]`; its host is the `Host` header.
struct RequestView {
    method: String,
    host: String,
    path: String,
    headers: Vec<(String, String)>,
}

impl route::Request for RequestView {
    fn method(&self) -> &str {
        &self.method
    }

    fn host(&self) -> &str {
        &self.host
    }

    fn path(&self) -> &str {
        &self.path
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

fn parse_request(text: &str) -> Result<RequestView, Error> {
    let syntax_error =
        || Error::Request(format!("{text:?}: expected \"POST /path Header: value, Header: value\""));
    let mut parts = text.trim().splitn(3, ' ');
    let (method, path) = (parts.next().unwrap_or_default(), parts.next().ok_or_else(syntax_error)?);
    let path = path.split('?').next().unwrap_or_default();
    let path = normalize_path(path).ok_or_else(|| Error::Request(format!("{path:?} is not a plain path")))?;
    let (mut headers, mut host) = (Vec::new(), String::new());
    for header in parts.next().into_iter().flat_map(|h| h.split(", ")) {
        let (name, value) = header.split_once(':').ok_or_else(syntax_error)?;
        let (name, value) = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
        if name == "host" {
            host = host_name(&value);
        }
        headers.push((name, value));
    }
    Ok(RequestView { method: method.to_ascii_uppercase(), host, path, headers })
}

/// Prints how `PUBLISH topic` would be routed. Returns false if it would be rejected.
fn explain_topic(installation: &Installation, name: &str, out: &mut impl Write) -> Result<bool, Error> {
    writeln!(out, "PUBLISH {name}")?;
    let topic = if topic::is_topic_name(name) { installation.topics.match_topic(name) } else { None };
    let Some(topic) = topic else {
        writeln!(out, "  0x90: no entry in [topics] matches this topic")?;
        return Ok(false);
    };
    writeln!(out, "  topics.{}", topic.name)?;
    writeln!(out, "  class {}", installation.classes[topic.class].name)?;
    print_endpoints(&installation.pools[topic.pool], out)?;
    match topic.path(name) {
        Some(path) => writeln!(out, "  sent as POST {path}, or as PUBLISH where an endpoint is a broker")?,
        None => writeln!(out, "  0x90: the topic does not map to a plain path")?,
    }
    for (name, value) in &topic.set {
        writeln!(out, "  with {name}: {value}")?;
    }
    Ok(topic.path(name).is_some())
}

fn print_endpoints(pool: &Pool, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "  pools.{}, {} endpoints:", pool.name, pool.members.len())?;
    for member in pool.members.iter().take(10) {
        writeln!(out, "    {}", member.host)?;
    }
    if pool.members.len() > 10 {
        writeln!(out, "    and {} more", pool.members.len() - 10)?;
    }
    Ok(())
}

/// Prints how a request would be routed. Returns false if it would be rejected.
fn explain_request(installation: &Installation, text: &str, out: &mut impl Write) -> Result<bool, Error> {
    if let Some(topic) = text.strip_prefix("PUBLISH ") {
        return explain_topic(installation, topic.trim(), out);
    }
    let request = parse_request(text)?;
    writeln!(out, "{} {}", request.method, request.path)?;
    let matched = match installation.match_request(&request) {
        Ok(matched) => matched,
        Err(no_route) => {
            match no_route {
                NoRoute::Path => writeln!(out, "  404: no route matches this host and path")?,
                NoRoute::Headers => writeln!(out, "  404: routes for this path require other header fields")?,
                NoRoute::Method(known) => {
                    writeln!(out, "  405: the routes for this path accept {}", known.join(", "))?;
                }
            }
            return Ok(false);
        }
    };
    let classes = &installation.classes;
    writeln!(out, "  routes.{}", matched.route.name)?;
    let class = &classes[matched.route.class];
    let client_class = request.headers.iter().find(|(n, _)| n == "x-priority-class").map(|(_, v)| v);
    match client_class {
        None => writeln!(out, "  class {} (the route's)", class.name)?,
        Some(name) if matched.route.classes.iter().any(|c| classes[*c].name == *name) => {
            writeln!(out, "  class {name} (the client's)")?;
        }
        Some(name) => {
            writeln!(out, "  400: the route does not accept class {name}")?;
            return Ok(false);
        }
    }
    print_endpoints(matched.pool, out)?;
    writeln!(out, "  sent as {} {}", request.method, matched.path)?;
    for (name, value) in &matched.route.set {
        writeln!(out, "  with {name}: {value}")?;
    }
    Ok(true)
}

/// Prints the effective configuration of a running courier.
pub fn show(admin: SocketAddr, json: bool, out: &mut impl Write) -> Result<(), Error> {
    let page = |path| admin_client::get(admin, path).map_err(|why| Error::Courier { address: admin, why });
    let (status, values) = (page("/-/config")?, page("/-/config/values")?);
    if json {
        writeln!(out, "{}", values.trim_end())?;
        return Ok(());
    }
    let parse = |text: &str| serde_json::from_str::<Value>(text).map_err(|e| Error::Request(e.to_string()));
    let (status, values) = (parse(&status)?, parse(&values)?);
    let version = status["version"].as_u64().map_or("none, only the file".to_owned(), |v| v.to_string());
    writeln!(out, "version {version}")?;
    writeln!(out, "file {}", status["file"].as_str().unwrap_or("-"))?;
    if let Some(refusal) = status["last_refusal"].as_object() {
        writeln!(out, "last refusal: version {}: {}", refusal["version"], refusal["reasons"])?;
    }
    writeln!(out)?;
    for value in values["values"].as_array().into_iter().flatten() {
        let (key, source) = (value["key"].as_str().unwrap_or("-"), value["source"].as_str().unwrap_or("-"));
        writeln!(out, "{key} = {}  # {source}", value["value"])?;
    }
    Ok(())
}

/// Prints the differences between two files.
///
/// # Errors
/// [`Error::Differ`] if there are any.
pub fn diff(before: &Path, after: &Path, out: &mut impl Write) -> Result<(), Error> {
    let differences = report::diff(&read_installation(before)?.file, &read_installation(after)?.file);
    for difference in &differences {
        writeln!(out, "{difference}")?;
    }
    if differences.is_empty() { Ok(()) } else { Err(Error::Differ) }
}

/// Prints the JSON schema of the configuration file.
pub fn schema(out: &mut impl Write) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(&report::schema()).unwrap_or_default();
    Ok(writeln!(out, "{text}")?)
}
