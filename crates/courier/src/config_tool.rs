//! `stairshed check` and `stairshed config`: what a configuration says, before and while it is in effect.

use serde_json::Value;
use stairshed_config::installation::Pool;
use stairshed_config::route::{self, NoRoute, normal_path};
use stairshed_config::topic;
use stairshed_config::{Installation, Problems, load, report};
use stairshed_courier::admin_client;
use stairshed_courier::host_name;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a tool did not do its work.
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
    #[error("the request takes no route")]
    NoRoute,
    /// Told in full already.
    #[error("they differ")]
    Differ,
}

fn read(file: &Path) -> Result<Installation, Error> {
    let text = std::fs::read_to_string(file).map_err(|why| Error::Unread { file: file.to_owned(), why })?;
    Ok(load(&file.display().to_string(), &text)?)
}

/// Checks a file, and explains what becomes of requests.
pub fn check(file: &Path, explain: &[String], out: &mut impl Write) -> Result<(), Error> {
    let installation = read(file)?;
    let (classes, pools, routes) =
        (installation.classes.len(), installation.pools.len(), installation.routes.len());
    let endpoints: usize = installation.pools.iter().map(|p| p.members.len()).sum();
    writeln!(out, "{}: sound", file.display())?;
    writeln!(out, "  {classes} classes, {pools} pools with {endpoints} endpoints, {routes} routes")?;
    for pool in installation.pools.iter().filter(|p| p.members.is_empty() && !p.discovery) {
        writeln!(
            out,
            "  note: pools.{} has no endpoints: its messages wait until their time is up",
            pool.name
        )?;
    }
    let used = |n: usize| installation.routes.iter().any(|r| r.pool == n);
    for (n, pool) in installation.pools.iter().enumerate().filter(|(n, _)| !used(*n)) {
        let _ = n;
        writeln!(out, "  note: no route leads to pools.{}", pool.name)?;
    }
    let mut all = true;
    for request in explain {
        all &= explain_one(&installation, request, out)?;
    }
    if all { Ok(()) } else { Err(Error::NoRoute) }
}

/// `POST /path [host=NAME] [Header: value, ...]`
struct Asked {
    method: String,
    host: String,
    path: String,
    headers: Vec<(String, String)>,
}

impl route::Request for Asked {
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

fn asked(text: &str) -> Result<Asked, Error> {
    let wrong =
        || Error::Request(format!("{text:?}: write \"POST /path\", then \"Header: value\" by \", \""));
    let mut parts = text.trim().splitn(3, ' ');
    let (method, path) = (parts.next().unwrap_or_default(), parts.next().ok_or_else(wrong)?);
    let path = path.split('?').next().unwrap_or_default();
    let path = normal_path(path).ok_or_else(|| Error::Request(format!("{path:?} is no plain path")))?;
    let (mut headers, mut host) = (Vec::new(), String::new());
    for header in parts.next().into_iter().flat_map(|h| h.split(", ")) {
        let (name, value) = header.split_once(':').ok_or_else(wrong)?;
        let (name, value) = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
        if name == "host" {
            host = host_name(&value);
        }
        headers.push((name, value));
    }
    Ok(Asked { method: method.to_ascii_uppercase(), host, path, headers })
}

/// What becomes of `PUBLISH topic`.
fn explain_topic(installation: &Installation, name: &str, out: &mut impl Write) -> Result<bool, Error> {
    writeln!(out, "PUBLISH {name}")?;
    let topic = if topic::is_name(name) { installation.topics.choose(name) } else { None };
    let Some(topic) = topic else {
        writeln!(out, "  0x90: no entry of [topics] takes this topic")?;
        return Ok(false);
    };
    writeln!(out, "  topics.{}", topic.name)?;
    writeln!(out, "  class {}", installation.classes[topic.class].name)?;
    members(&installation.pools[topic.pool], out)?;
    match topic.path(name) {
        Some(path) => writeln!(out, "  sent as POST {path}, or as PUBLISH where an endpoint is a broker")?,
        None => writeln!(out, "  0x90: the topic makes no plain path")?,
    }
    for (name, value) in &topic.set {
        writeln!(out, "  with {name}: {value}")?;
    }
    Ok(topic.path(name).is_some())
}

fn members(pool: &Pool, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "  pools.{}, {} endpoints:", pool.name, pool.members.len())?;
    for member in pool.members.iter().take(10) {
        writeln!(out, "    {}", member.host)?;
    }
    if pool.members.len() > 10 {
        writeln!(out, "    and {} more", pool.members.len() - 10)?;
    }
    Ok(())
}

fn explain_one(installation: &Installation, text: &str, out: &mut impl Write) -> Result<bool, Error> {
    if let Some(topic) = text.strip_prefix("PUBLISH ") {
        return explain_topic(installation, topic.trim(), out);
    }
    let asked = asked(text)?;
    writeln!(out, "{} {}", asked.method, asked.path)?;
    let chosen = match installation.choose(&asked) {
        Ok(chosen) => chosen,
        Err(none) => {
            match none {
                NoRoute::Path => writeln!(out, "  404: no route has this host and path")?,
                NoRoute::Headers => writeln!(out, "  404: routes of this path ask for other headers")?,
                NoRoute::Method(known) => {
                    writeln!(out, "  405: the routes of this path take {}", known.join(", "))?;
                }
            }
            return Ok(false);
        }
    };
    let classes = &installation.classes;
    writeln!(out, "  routes.{}", chosen.route.name)?;
    let class = &classes[chosen.route.class];
    let named = asked.headers.iter().find(|(n, _)| n == "x-priority-class").map(|(_, v)| v);
    match named {
        None => writeln!(out, "  class {} (the route's)", class.name)?,
        Some(name) if chosen.route.classes.iter().any(|c| classes[*c].name == *name) => {
            writeln!(out, "  class {name} (the client's)")?;
        }
        Some(name) => {
            writeln!(out, "  400: the route does not take class {name}")?;
            return Ok(false);
        }
    }
    members(chosen.pool, out)?;
    writeln!(out, "  sent as {} {}", asked.method, chosen.path)?;
    for (name, value) in &chosen.route.set {
        writeln!(out, "  with {name}: {value}")?;
    }
    Ok(true)
}

/// The effective configuration of a running courier.
pub fn show(admin: SocketAddr, json: bool, out: &mut impl Write) -> Result<(), Error> {
    let page = |path| admin_client::get(admin, path).map_err(|why| Error::Courier { address: admin, why });
    let (status, values) = (page("/-/config")?, page("/-/config/values")?);
    if json {
        writeln!(out, "{}", values.trim_end())?;
        return Ok(());
    }
    let parse = |text: &str| serde_json::from_str::<Value>(text).map_err(|e| Error::Request(e.to_string()));
    let (status, values) = (parse(&status)?, parse(&values)?);
    let version = status["version"].as_u64().map_or("none: the file's own".to_owned(), |v| v.to_string());
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

/// What differs between two files. [`Error::Differ`] if anything does.
pub fn diff(before: &Path, after: &Path, out: &mut impl Write) -> Result<(), Error> {
    let all = report::diff(&read(before)?.file, &read(after)?.file);
    for difference in &all {
        writeln!(out, "{difference}")?;
    }
    if all.is_empty() { Ok(()) } else { Err(Error::Differ) }
}

/// The JSON schema of the operator's file.
pub fn schema(out: &mut impl Write) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(&report::schema()).unwrap_or_default();
    Ok(writeln!(out, "{text}")?)
}
