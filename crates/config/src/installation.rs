//! A validated configuration in the courier's own terms: references are resolved, names are replaced by
//! indexes and defaults are filled in. Built from the operator's file, with the sections of a configuration
//! version replacing the file's own.

use crate::answers::{Answers, error_path};
use crate::decode::decode;
use crate::file::{self, File, VERSIONED_SECTIONS};
use crate::problem::{Path, Problem, Problems, path, suggest};
use crate::route::{Condition, Conflict, NoRoute, Pattern, Request, Router, normalize_path};
pub use crate::topic::Topic;
use crate::topic::{self, Topics};
use crate::tree::{self, Entry, Node, Value, line_and_column};
use crate::units::{Rate, Span};
use stairshed_decide::interface as decide;
use stairshed_health::answers::AnswerProfile;
use stairshed_memory::{ByPurpose, CapError, CapSetting, Caps, ClientIdentification, Purpose};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Headers that a rewrite may neither forward nor set: those that the courier itself sets or reads, and
/// hop-by-hop headers (RFC 9110, 7.6.1).
const RESERVED_HEADERS: [&str; 17] = [
    "connection",
    "content-length",
    "envelope",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-priority-class",
    "x-request-id",
    "x-timeout",
];
/// Maximum length of a name; a longer one would not fit the space that the journal reserves for names.
const MAX_NAME_BYTES: usize = 64;
/// Maximum total size of the headers that a route sets, since they are recorded with each message.
const MAX_SET_HEADERS_BYTES: usize = 2048;
/// Maximum length of an endpoint's name together with its pool's.
const MAX_HOST_ID_BYTES: usize = 180;
/// Longest time for which message ids can be remembered.
const MAX_REMEMBER: Duration = Duration::from_secs(30 * 24 * 3600);
/// Default time for which ids of messages received over MQTT are remembered in a class with effect `once`.
const DEFAULT_REMEMBER_ONCE: Duration = Duration::from_secs(3600);
/// Estimated memory of a pool without its members, in its decoded and its validated form together, with
/// strings of typical length. `tests/memory_estimate.rs` compares this and the following estimates with the
/// allocator.
const POOL_BYTES: u64 = 2080;
/// Estimated memory of the `answers` of a pool that configures them.
const ANSWERS_BYTES: u64 = 1700;
/// Estimated memory of a pool member.
const MEMBER_BYTES: u64 = 860;
/// Estimated memory of a route.
const ROUTE_BYTES: u64 = 3050;
/// Estimated memory of a topic.
const TOPIC_BYTES: u64 = 3050;
/// Estimated memory of a class.
const CLASS_BYTES: u64 = 1500;
/// Estimated memory of a configuration without any entries.
const BASE_BYTES: u64 = 4000;
/// Maximum deadline of a class.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// A parsed configuration file, from which an installation can be built with or without the sections of a
/// version.
#[derive(Clone, Debug)]
pub struct Document {
    /// Name of the document in error messages.
    pub source: String,
    pub text: Arc<str>,
    tree: Arc<Node>,
}

/// The validated configuration of a courier.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The effective configuration, in the format of the file.
    pub file: File,
    pub http: SocketAddr,
    pub mqtt: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    /// In the same order as `settings.classes`.
    pub classes: Vec<Class>,
    pub pools: Vec<Pool>,
    pub routes: Vec<Route>,
    pub router: Router,
    pub topics: Topics,
    pub settings: decide::Settings,
    pub outcomes: Option<Url>,
    pub control: Option<Url>,
    pub discovery: Option<SocketAddr>,
    pub resolver: Option<SocketAddr>,
    /// How clients are identified for memory accounting.
    pub client_identification: ClientIdentification,
}

/// A validated message class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// Header whose value orders messages, in lower case.
    pub order_by: Option<String>,
    /// How long ids of messages received over HTTP are remembered.
    pub remember: Duration,
    /// How long ids of messages received over MQTT are remembered.
    pub remember_mqtt: Duration,
}

/// A validated pool of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    pub destination: u64,
    pub members: Vec<PoolMember>,
    pub discovery: bool,
    pub limit: Option<Rate>,
    /// Client settings for the MQTT brokers among its endpoints.
    pub broker: Option<file::Broker>,
    /// What the responses of its HTTP endpoints mean.
    pub answers: Arc<AnswerProfile>,
}

/// An entry of a pool: one endpoint, or a host name that resolves to several.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Permanent identifier: `pool/name`.
    pub host: String,
    pub address: MemberAddress,
    pub zone: String,
    pub limit: Option<Rate>,
    /// For a broker, the topic to which messages are published.
    pub topic: Option<String>,
}

/// Address of a pool member: a socket address, or a host name and a port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberAddress {
    Address(SocketAddr),
    Name(String, u16),
}

/// A validated route. `pool` and `class` are indexes into the installation's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub pool: usize,
    pub class: usize,
    /// Classes that a client may name, including the default.
    pub classes: Vec<usize>,
    pub condition: Condition,
    pub rewrite: Option<String>,
    /// Names of forwarded headers, in lower case.
    pub pass: Vec<String>,
    pub set: Vec<(String, String)>,
}

/// A URL of the form `http://address:port/path`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    pub address: SocketAddr,
    pub path: String,
}

/// The route and the pool that a request matched.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,
    pub pool: &'a Pool,
    /// Path of the request to the endpoint.
    pub path: String,
}

impl Installation {
    /// Estimated memory of this installation and its parsed document, in bytes, from the number of its
    /// entries. The text of the document is not included.
    pub fn estimated_bytes(&self) -> u64 {
        let members: usize = self.pools.iter().map(|p| p.members.len()).sum();
        let pools_with_answers = self.file.pools.values().filter(|p| !p.answers.is_default()).count();
        let all = [
            (self.pools.len(), POOL_BYTES),
            (pools_with_answers, ANSWERS_BYTES),
            (members, MEMBER_BYTES),
            (self.routes.len(), ROUTE_BYTES),
            (self.file.topics.len(), TOPIC_BYTES),
            (self.classes.len(), CLASS_BYTES),
        ];
        BASE_BYTES + all.into_iter().map(|(n, bytes)| n as u64 * bytes).sum::<u64>()
    }
}

impl Route {
    /// Path of the request to the endpoint, for the path of the client's request.
    pub fn path(&self, path: &str) -> String {
        let Some(rewrite) = &self.rewrite else { return path.to_owned() };
        let mut out = rewrite.clone();
        for (name, value) in self.condition.path.captures(path) {
            out = out.replace(&format!("{{{name}}}"), value);
        }
        out
    }
}

/// Parses and validates an operator's file.
///
/// # Errors
/// All problems found in the file.
pub fn load(source: &str, text: &str) -> Result<Installation, Problems> {
    Document::read(source, text)?.installation(None)
}

/// Default destination number of a pool: the FNV-1a hash of its name. It is stored in journals and must not
/// change.
pub fn default_destination(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

impl Document {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    /// All syntax errors found in the text.
    pub fn read(source: &str, text: &str) -> Result<Document, Problems> {
        let (tree, all) = tree::from_toml(text);
        let document = Document { source: source.to_owned(), text: text.into(), tree: Arc::new(tree) };
        if all.is_empty() { Ok(document) } else { Err(Problems { source: source.to_owned(), all }) }
    }

    /// Validates the file, with the sections of a version, if any, replacing its own.
    ///
    /// # Errors
    /// All problems found.
    pub fn installation(&self, version: Option<&serde_json::Value>) -> Result<Installation, Problems> {
        let mut tree = Node::clone(&self.tree);
        let mut all = Vec::new();
        if let Some(version) = version {
            overlay(&mut tree, tree::from_json(version), &mut all);
        }
        let (file, decode_problems) = decode::<File>(&tree);
        let undecoded: Vec<Path> = decode_problems.iter().map(|p| p.path.clone()).collect();
        all.extend(decode_problems);
        let mut validator = Validator { tree: &tree, problems: Vec::new() };
        let installation = validator.installation(file);
        // A value that could not be decoded is reported only once: problems at, above or below it are left
        // out.
        let is_hidden = |p: &Problem| undecoded.iter().any(|h| p.path.is_within(h) || h.is_within(&p.path));
        all.extend(validator.problems.into_iter().filter(|p| !is_hidden(p)));
        match installation.filter(|_| all.is_empty()) {
            Some(installation) => Ok(installation),
            None => {
                for problem in &mut all {
                    problem.position =
                        tree.offset_of(&problem.path).map(|at| line_and_column(&self.text, at));
                }
                all.sort_by_key(|p| p.position);
                Err(Problems { source: self.source.clone(), all })
            }
        }
    }

    /// Index for looking up the lines of many values.
    pub fn lines(&self) -> LineIndex<'_> {
        LineIndex { tree: &self.tree, line_feeds: self.text.match_indices('\n').map(|(at, _)| at).collect() }
    }
}

/// Finds the line of each value of a document.
pub struct LineIndex<'a> {
    tree: &'a Node,
    /// Byte offset of each line feed.
    line_feeds: Vec<usize>,
}

impl LineIndex<'_> {
    /// The line of a value, counted from 1, or None if the file does not contain the value.
    pub fn line(&self, path: &Path) -> Option<usize> {
        self.tree.at(path)?;
        self.tree.offset_of(path).map(|at| self.line_feeds.partition_point(|end| *end < at) + 1)
    }
}

/// The memory caps that a file configures. `default_total` is the total, in bytes, if the file sets none.
///
/// # Errors
/// All inconsistencies among the caps.
pub fn memory_caps(file: &File, default_total: Option<u64>) -> Result<Caps, Vec<CapError>> {
    let total = file.memory.total.map(|size| size.0).or(default_total);
    let configured = file.memory.portions_by_purpose();
    let bodies = file.limits.bodies.0;
    let fallback = |purpose| {
        (purpose == Purpose::BodiesRead).then(|| {
            let share = Caps::new(total, &ByPurpose::default()).map(|caps| caps.of[Purpose::BodiesRead]);
            CapSetting::Size(share.map_or(bodies, |share| share.min(bodies)))
        })
    };
    Caps::new(
        total,
        &ByPurpose::new(|purpose| configured[purpose].map(|p| p.0).or_else(|| fallback(purpose))),
    )
}

/// Replaces sections of the file with those of a version.
fn overlay(tree: &mut Node, version: Node, problems: &mut Vec<Problem>) {
    let Value::Table(sections) = version.value else {
        return problems.push(Problem::new(Path::default(), "a version's configuration is an object"));
    };
    let Value::Table(entries) = &mut tree.value else { return };
    for section in sections {
        if !VERSIONED_SECTIONS.contains(&section.key.as_str()) {
            let reason = format!("no section of a version{}", suggest(&section.key, VERSIONED_SECTIONS));
            problems.push(Problem::new(path(&[&section.key]), reason));
            continue;
        }
        let existing = entries.iter_mut().find(|e| e.key == section.key);
        match (existing, &section.node.value) {
            // A version cannot change the addresses of the admin pages and of the MQTT listener.
            (Some(existing), Value::Table(fields)) if section.key == "listen" => {
                let Value::Table(listen) = &mut existing.node.value else { continue };
                let is_fixed = |key: &str| matches!(key, "admin" | "mqtt");
                listen.retain(|e| is_fixed(&e.key));
                listen.extend(fields.iter().filter(|f| !is_fixed(&f.key)).cloned());
            }
            (Some(existing), _) => *existing = section,
            (None, _) => entries.push(Entry { key_span: None, ..section }),
        }
    }
}

/// Validates a decoded file and collects all of its problems.
struct Validator<'a> {
    tree: &'a Node,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn report(&mut self, path: Path, reason: impl Into<String>) {
        self.problems.push(Problem::new(path, reason));
    }

    fn require(&mut self, condition: bool, path: Path, reason: &str) {
        if !condition {
            self.report(path, reason);
        }
    }

    fn address(&mut self, at: Path, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.report(at, format!("{text:?} is no address with a port, such as \"127.0.0.1:8700\""));
        }
        address
    }

    fn url(&mut self, at: Path, text: &str) -> Option<Url> {
        let rest = text.strip_prefix("http://");
        let (address, path) = rest.map(|r| r.split_at(r.find('/').unwrap_or(r.len()))).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let url = address.parse().ok().filter(|_| normalize_path(path).as_deref() == Some(path));
        if url.is_none() {
            self.report(at, format!("{text:?} is no URL such as \"http://127.0.0.1:9000/path\""));
        }
        url.map(|address| Url { address, path: path.to_owned() })
    }

    /// The names of a section, including entries that could not be decoded, so that a reference to such an
    /// entry is not reported as a second problem.
    fn names(&self, section: &str) -> Vec<String> {
        self.tree.keys(&path(&[section])).into_iter().map(str::to_owned).collect()
    }

    fn name(&mut self, at: Path, name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain);
        self.require(valid, at, "a name has 1 to 64 letters, digits, - _ or .");
    }

    fn header(&mut self, at: Path, name: &str) -> String {
        let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        self.require(!name.is_empty() && name.chars().all(token), at, "no name of a header");
        name.to_ascii_lowercase()
    }

    fn installation(&mut self, file: File) -> Option<Installation> {
        if let Some(name) = &file.name {
            self.name(path(&["name"]), name);
        }
        let listen = path(&["listen"]);
        let http = self.address(listen.key("http"), &file.listen.http);
        let admin = file.listen.admin.as_ref().and_then(|a| self.address(listen.key("admin"), a));
        let is_loopback = admin.is_none_or(|a| a.ip().is_loopback());
        self.require(is_loopback, listen.key("admin"), "the operator's pages are on a loopback address only");
        let distinct = admin.is_none() || admin != http || admin.is_some_and(|a| a.port() == 0);
        self.require(distinct, listen.key("admin"), "the same address as listen.http");
        let mqtt = file.listen.mqtt.as_ref().and_then(|a| self.address(listen.key("mqtt"), a));
        let distinct = |a: SocketAddr| a.port() == 0 || (Some(a) != http && Some(a) != admin);
        self.require(mqtt.is_none_or(distinct), listen.key("mqtt"), "the same address as another listener's");
        self.mqtt(&file.mqtt);
        let names: Vec<String> = file.classes.keys().cloned().collect();
        let classes: Vec<Class> = file.classes.iter().map(|(n, c)| self.class(n, c)).collect();
        let (pools, zones) = self.pools(&file);
        let routes: Vec<Option<Route>> = file.routes.iter().map(|(n, r)| self.route(n, r, &file)).collect();
        let router = self.router(&file, &routes);
        let topics: Vec<Option<Topic>> = file.topics.iter().map(|(n, t)| self.topic(n, t, &file)).collect();
        let topics = self.topics(&file, topics);
        self.limits(&file.limits);
        let client_identification = self.memory(&file);
        let outcomes = file.outcomes.url.as_ref().and_then(|u| self.url(path(&["outcomes", "url"]), u));
        let control = file.control.as_ref().map(|c| self.control(c));
        let discovery = file.discovery.as_ref().and_then(|d| match &d.address {
            Some(address) => self.address(path(&["discovery", "address"]), address),
            None => {
                self.report(path(&["discovery"]), "address: the discovery service's is missing");
                None
            }
        });
        let resolver = file.dns.resolver.as_ref().and_then(|a| self.address(path(&["dns", "resolver"]), a));
        let dns = &file.dns;
        let bounds = dns.refresh_least.0 > Duration::ZERO && dns.refresh_least <= dns.refresh_most;
        self.require(bounds, path(&["dns", "refresh_least"]), "above 0 and no more than refresh_most");
        self.journal(&file.journal);
        let settings = settings(&file, &zones);
        debug_assert_eq!(names.len(), settings.classes.len());
        Some(Installation {
            http: http?,
            mqtt,
            admin,
            classes,
            pools,
            routes: routes.into_iter().collect::<Option<_>>()?,
            router: router?,
            topics: topics?,
            settings,
            outcomes,
            control: control.flatten(),
            discovery,
            resolver,
            client_identification,
            file,
        })
    }

    fn class(&mut self, name: &str, c: &file::Class) -> Class {
        let at = path(&["classes", name]);
        self.name(at.clone(), name);
        let keyed = c.effect == file::Effect::Keyed;
        let window = c.key_window.is_some_and(|w| w > Span::default());
        self.require(
            window || !keyed,
            at.key("key_window"),
            "a keyed class needs how long a key is remembered",
        );
        self.require(keyed || c.key_window.is_none(), at.key("key_window"), "only for effect = \"keyed\"");
        let scope = c.key_scope == file::KeyScope::default();
        self.require(keyed || scope, at.key("key_scope"), "only for effect = \"keyed\"");
        self.require(c.aim > Span::default(), at.key("aim"), "above 0");
        self.require(c.deadline > Span::default(), at.key("deadline"), "above 0");
        self.require(
            c.aim <= c.deadline || c.deadline.0.is_zero(),
            at.key("aim"),
            "no more than the deadline",
        );
        self.require(c.deadline.0 <= MAX_DEADLINE, at.key("deadline"), "24 hours at most");
        self.require(c.worth > 0.0 && c.worth.is_finite(), at.key("worth"), "above 0");
        self.require((0.0..=1.0).contains(&c.late_share), at.key("late_share"), "from 0 to 1");
        self.require(c.attempts.is_none_or(|a| (1..=100).contains(&a)), at.key("attempts"), "from 1 to 100");
        let order_by = c.order_by.as_ref().map(|h| self.header(at.key("order_by"), h));
        let within_limit = c.remember.is_none_or(|r| r.0 <= MAX_REMEMBER);
        self.require(within_limit, at.key("remember"), "30 days at most");
        let fallback = match c.effect {
            file::Effect::Repeatable => Duration::ZERO,
            file::Effect::Keyed => c.key_window.unwrap_or_default().0.min(MAX_REMEMBER),
            file::Effect::Once => DEFAULT_REMEMBER_ONCE,
        };
        let remember = c.remember.map_or(Duration::ZERO, |r| r.0);
        let remember_mqtt = c.remember.map_or(fallback, |r| r.0);
        Class { name: name.to_owned(), order_by, remember, remember_mqtt }
    }

    fn pools(&mut self, file: &File) -> (Vec<Pool>, Vec<String>) {
        let (mut pools, mut zones) = (Vec::new(), Vec::new());
        let mut pool_by_number: HashMap<u64, String> = HashMap::new();
        let default_answers = Arc::new(AnswerProfile::default());
        for (name, pool) in &file.pools {
            let at = path(&["pools", name]);
            self.name(at.clone(), name);
            let number = pool.destination.unwrap_or_else(|| default_destination(name));
            if let Some(other) = pool_by_number.insert(number, name.clone()) {
                let reason = format!("{number} is the destination of pools.{other}, too");
                self.report(at.key("destination"), reason);
            }
            let found = !pool.discovery || file.discovery.is_some();
            self.require(found, at.key("discovery"), "there is no [discovery] to take endpoints from");
            let mut members: Vec<PoolMember> = Vec::new();
            let mut member_by_host: HashMap<String, usize> = HashMap::new();
            for (n, endpoint) in pool.endpoints.iter().enumerate() {
                let at = at.key("endpoints").item(n);
                let Some(member) = self.member(&at, name, endpoint) else { continue };
                if let Some(other) = member_by_host.insert(member.host.clone(), n) {
                    let key = if endpoint.name.is_some() { "name" } else { "address" };
                    self.report(at.key(key), format!("the same endpoint as endpoints[{other}]"));
                }
                if !zones.contains(&member.zone) {
                    zones.push(member.zone.clone());
                }
                members.push(member);
            }
            if let Some(broker) = &pool.mqtt {
                self.broker(&at.key("mqtt"), broker);
            }
            let answers = match pool.answers.is_default() {
                true => default_answers.clone(),
                false => self.answers(&at.key("answers"), &pool.answers).into(),
            };
            let (name, discovery, limit) = (name.clone(), pool.discovery, pool.limit);
            pools.push(Pool {
                name,
                destination: number,
                members,
                discovery,
                limit,
                broker: pool.mqtt.clone(),
                answers,
            });
        }
        (pools, zones)
    }

    fn answers(&mut self, at: &Path, answers: &Answers) -> AnswerProfile {
        match AnswerProfile::new(&answers.lists()) {
            Ok(profile) => profile,
            Err(errors) => {
                for error in errors {
                    self.report(error_path(at, error), error.to_string());
                }
                AnswerProfile::default()
            }
        }
    }

    fn member(&mut self, at: &Path, pool: &str, endpoint: &file::Endpoint) -> Option<PoolMember> {
        let Some(text) = &endpoint.address else {
            self.report(at.clone(), "address: it is missing");
            return None;
        };
        let (text, topic) = match text.strip_prefix("mqtt://").map(|rest| rest.split_once('/')) {
            None => (text.as_str(), None),
            Some(Some((address, topic))) if topic::is_topic_name(topic) && !topic.starts_with('$') => {
                (address, Some(topic.to_owned()))
            }
            Some(_) => {
                let reason = format!("{text:?} names no topic: mqtt://address:port/topic, without wildcards");
                self.report(at.key("address"), reason);
                return None;
            }
        };
        let address = text.parse::<SocketAddr>().ok().map(MemberAddress::Address).or_else(|| {
            let (name, port) = text.rsplit_once(':')?;
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let valid = !name.is_empty() && name.len() <= 253 && name.chars().all(plain);
            // Only digits and dots: a malformed address, not a host name.
            let named = name.chars().any(|c| c.is_ascii_alphabetic());
            Some(MemberAddress::Name(name.to_ascii_lowercase(), port.parse().ok()?))
                .filter(|_| valid && named)
        });
        let invalid = match &address {
            Some(MemberAddress::Address(a)) => a.port() == 0,
            Some(MemberAddress::Name(_, port)) => *port == 0,
            None => true,
        };
        if invalid {
            let reason = format!("{text:?} is neither address:port nor name:port");
            self.report(at.key("address"), reason);
        }
        let within_limit = endpoint.name.as_ref().is_none_or(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES);
        self.require(within_limit, at.key("name"), "a name has 1 to 64 bytes");
        self.require(endpoint.zone.len() <= MAX_NAME_BYTES, at.key("zone"), "a name has 64 bytes at most");
        let name = endpoint.name.as_deref().or(endpoint.address.as_deref()).unwrap_or_default();
        let host = format!("{pool}/{name}");
        let within_limit = host.len() <= MAX_HOST_ID_BYTES;
        self.require(
            within_limit,
            at.key("address"),
            "an endpoint's name with its pool's has 180 bytes at most: set name",
        );
        Some(PoolMember {
            host,
            address: address?,
            zone: endpoint.zone.clone(),
            limit: endpoint.limit,
            topic,
        })
    }

    fn broker(&mut self, at: &Path, b: &file::Broker) {
        self.require(matches!(b.qos, 1 | 2), at.key("qos"), "1 or 2: at 0 no delivery could be told");
        let seconds = |span: Span| (1..=u64::from(u16::MAX)).contains(&span.0.as_secs());
        self.require(seconds(b.keep_alive), at.key("keep_alive"), "from 1s to 18h");
        let expiry = (1..u64::from(u32::MAX)).contains(&b.session_expiry.0.as_secs());
        self.require(expiry, at.key("session_expiry"), "1s at least, and 136 years at most");
        let in_flight = (1..=usize::from(u16::MAX)).contains(&b.in_flight);
        self.require(in_flight, at.key("in_flight"), "from 1 to 65535");
        let client = b.client.as_ref().is_none_or(|c| !c.is_empty() && c.len() <= 128);
        self.require(client, at.key("client"), "a client id has 1 to 128 bytes");
        let user = b.password_file.is_none() || b.user.is_some();
        self.require(user, at.key("password_file"), "without a user");
    }

    fn mqtt(&mut self, m: &file::Mqtt) {
        let at = path(&["mqtt"]);
        for (valid, key, reason) in [
            ((1..=1_000_000).contains(&m.connections), "connections", "from 1 to 1000000"),
            ((1..=10_000_000).contains(&m.sessions), "sessions", "from 1 to 10000000"),
            (m.session_expiry.0.as_secs() < u64::from(u32::MAX), "session_expiry", "136 years at most"),
            ((1..=u64::from(u16::MAX)).contains(&m.keep_alive.0.as_secs()), "keep_alive", "from 1s to 18h"),
            (m.receive_maximum > 0, "receive_maximum", "1 at least"),
            ((1..=1_000_000).contains(&m.outcomes), "outcomes", "from 1 to 1000000"),
        ] {
            self.require(valid, at.key(key), reason);
        }
    }

    fn topic(&mut self, name: &str, t: &file::Topic, file: &File) -> Option<Topic> {
        let at = path(&["topics", name]);
        self.name(at.clone(), name);
        let pattern = match &t.filter {
            Some(filter) => {
                topic::parse_filter(filter).map_err(|reason| self.report(at.key("filter"), reason)).ok()
            }
            None => {
                self.report(at.clone(), "filter: it is missing");
                None
            }
        };
        let pool = self.resolve_reference(&at, "pool", "pools", t.pool.as_ref(), &file.pools);
        let class = self.resolve_reference(&at, "class", "classes", t.class.as_ref(), &file.classes);
        for (key, pick) in [("identity", &t.identity), ("key", &t.key), ("time_out", &t.time_out)] {
            let Some(pick) = pick else { continue };
            let named = [pick.property.is_some(), pick.level.is_some(), pick.pointer.is_some()];
            let one = named.iter().filter(|n| **n).count() == 1;
            self.require(one, at.key(key), "one of property, level and pointer");
            let level = pick.level.is_none_or(|l| (1..=crate::route::MAX_SEGMENTS).contains(&l));
            self.require(level, at.key(key).key("level"), "levels are counted from 1, to 64");
            let pointer = pick.pointer.as_ref().is_none_or(|p| p.is_empty() || p.starts_with('/'));
            self.require(pointer, at.key(key).key("pointer"), "a JSON pointer begins with /");
        }
        let effect = t.class.as_ref().and_then(|c| file.classes.get(c)).map(|c| c.effect);
        let needs_identity = effect.is_some_and(|e| e != file::Effect::Repeatable) && t.identity.is_none();
        let reason = "identity: messages of this class must be told apart, since a repeat is not harmless";
        self.require(!needs_identity, at.clone(), reason);
        let (pass, set) = self.rewrite(&at.key("rewrite"), &t.rewrite, pattern.as_ref());
        Some(Topic {
            name: name.to_owned(),
            pool: pool?,
            class: class?,
            pattern: pattern?,
            identity: t.identity.clone(),
            identity_scope: t.identity_scope,
            key: t.key.clone(),
            time_out: t.time_out.clone(),
            rewrite: t.rewrite.path.clone(),
            pass,
            set,
        })
    }

    /// The index of the referenced pool or class. Reports a missing or unknown name.
    fn resolve_reference<T>(
        &mut self,
        at: &Path,
        key: &str,
        section: &str,
        name: Option<&String>,
        entries: &BTreeMap<String, T>,
    ) -> Option<usize> {
        let Some(name) = name else {
            self.report(at.clone(), format!("{key}: it is missing"));
            return None;
        };
        let index = entries.keys().position(|k| k == name);
        self.reference(at.key(key), section, name, index)
    }

    fn topics(&mut self, file: &File, topics: Vec<Option<Topic>>) -> Option<Topics> {
        let known: Vec<Topic> = topics.into_iter().flatten().collect();
        let complete = known.len() == file.topics.len();
        match Topics::new(known) {
            Ok(topics) => Some(topics).filter(|_| complete),
            Err(conflicts) => {
                for (a, b) in conflicts {
                    for (name, other) in [(&a, &b), (&b, &a)] {
                        let reason = format!("the same filter as topics.{other}");
                        self.report(path(&["topics", name]), reason);
                    }
                }
                None
            }
        }
    }

    /// Returns `index` of a referenced name, and reports the name as unknown if the section does not contain
    /// it.
    fn reference(&mut self, at: Path, section: &str, name: &str, index: Option<usize>) -> Option<usize> {
        if index.is_none() {
            let names = self.names(section);
            if !names.iter().any(|n| n == name) {
                let suggestion = suggest(name, names.iter().map(String::as_str));
                self.report(at, format!("no such entry of [{section}]: {name:?}{suggestion}"));
            }
        }
        index
    }

    fn route(&mut self, name: &str, r: &file::Route, file: &File) -> Option<Route> {
        let at = path(&["routes", name]);
        self.name(at.clone(), name);
        let host = r.host.as_ref().map(|host| {
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let bare = host.strip_prefix("*.").unwrap_or(host);
            let valid = !bare.is_empty() && bare.chars().all(plain) && !bare.starts_with('.');
            self.require(valid, at.key("host"), "a host's name without a port, or *. and one");
            host.to_ascii_lowercase()
        });
        let (key, text, prefix) = match (&r.path, &r.prefix) {
            (Some(path), None) => ("path", path.as_str(), false),
            (None, Some(prefix)) => ("prefix", prefix.as_str(), true),
            (Some(_), Some(_)) => {
                self.report(at.key("prefix"), "beside a path: a route has one of them");
                ("path", "/", true)
            }
            (None, None) => {
                self.report(at.clone(), "path: a route has a path or a prefix");
                ("path", "/", true)
            }
        };
        let pattern = Pattern::read(text, prefix).map_err(|reason| self.report(at.key(key), reason)).ok();
        let mut methods = Vec::new();
        for (n, method) in r.methods.iter().enumerate() {
            let valid = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
            self.require(valid, at.key("methods").item(n), "a method in capitals, such as \"POST\"");
            let read = ["GET", "HEAD", "OPTIONS", "TRACE", "CONNECT"].contains(&method.as_str());
            self.require(!read, at.key("methods").item(n), "no method that hands in a message");
            methods.push(method.clone());
        }
        if methods.is_empty() {
            methods.push("POST".to_owned());
        }
        methods.sort();
        methods.dedup();
        let mut headers = BTreeMap::new();
        for (name, value) in &r.headers {
            let lower = self.header(at.key("headers").key(name), name);
            if headers.insert(lower, value.trim().to_owned()).is_some() {
                self.report(at.key("headers").key(name), "comes twice, in other letters");
            }
        }
        let pool = self.resolve_reference(&at, "pool", "pools", r.pool.as_ref(), &file.pools);
        let class = self.resolve_reference(&at, "class", "classes", r.class.as_ref(), &file.classes);
        let mut classes: Vec<usize> = class.into_iter().collect();
        for (n, name) in r.classes.iter().enumerate() {
            let of = file.classes.keys().position(|k| k == name);
            classes.extend(self.reference(at.key("classes").item(n), "classes", name, of));
        }
        let (pass, set) = self.rewrite(&at.key("rewrite"), &r.rewrite, pattern.as_ref());
        let condition = Condition { host, path: pattern?, methods, headers };
        let rewrite = r.rewrite.path.clone();
        Some(Route {
            name: name.to_owned(),
            pool: pool?,
            class: class?,
            classes,
            condition,
            rewrite,
            pass,
            set,
        })
    }

    fn rewrite(
        &mut self,
        at: &Path,
        r: &file::Rewrite,
        pattern: Option<&Pattern>,
    ) -> (Vec<String>, Vec<(String, String)>) {
        if let Some(text) = &r.path {
            let known = pattern.map(Pattern::names);
            let mut plain = String::new();
            let mut rest = text.as_str();
            while let Some((before, behind)) = rest.split_once('{') {
                let Some((name, after)) = behind.split_once('}') else { break };
                if let Some(known) = known.as_ref().filter(|k| !k.contains(&name)) {
                    let suggestion = suggest(name, known.iter().copied());
                    self.report(at.key("path"), format!("the route's path has no {{{name}}}{suggestion}"));
                }
                plain.push_str(before);
                plain.push('x');
                rest = after;
            }
            plain.push_str(rest);
            let valid = normalize_path(&plain).is_some() && !plain.contains(['{', '}', '?', '#']);
            self.require(valid, at.key("path"), "no plain path with {names}");
        }
        let mut pass = Vec::new();
        for (n, name) in r.pass.iter().enumerate() {
            let at = at.key("pass").item(n);
            let name = self.header(at.clone(), name);
            self.require(
                !RESERVED_HEADERS.contains(&name.as_str()),
                at,
                "a header of the courier's own, or of one hop",
            );
            pass.push(name);
        }
        let mut set = Vec::new();
        for (name, value) in &r.set {
            let at = at.key("set").key(name);
            let lower = self.header(at.clone(), name);
            let allowed = !RESERVED_HEADERS.contains(&lower.as_str());
            self.require(allowed, at.clone(), "a header of the courier's own, or of one hop");
            let text = value.bytes().all(|b| (32..127).contains(&b));
            self.require(text, at, "a value of printable ASCII");
            set.push((lower, value.trim().to_owned()));
        }
        let bytes: usize = set.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.require(
            bytes <= MAX_SET_HEADERS_BYTES,
            at.key("set"),
            "2 KiB at most, since they are on record with each message",
        );
        (pass, set)
    }

    fn router(&mut self, file: &File, routes: &[Option<Route>]) -> Option<Router> {
        let known: Vec<&Route> = routes.iter().flatten().collect();
        let conditions: Vec<Condition> = known.iter().map(|r| r.condition.clone()).collect();
        match Router::new(&conditions) {
            Ok(router) => Some(router).filter(|_| known.len() == file.routes.len()),
            Err(conflicts) => {
                for Conflict(a, b) in conflicts {
                    let (a, b) = (&known[a].name, &known[b].name);
                    self.conflict(a, b);
                    self.conflict(b, a);
                }
                None
            }
        }
    }

    fn conflict(&mut self, name: &str, other: &str) {
        let reason = format!("one request could match routes.{other}, too, and neither comes first");
        self.report(path(&["routes", name]), reason);
    }

    fn limits(&mut self, l: &file::Limits) {
        let at = path(&["limits"]);
        for (valid, key, reason) in [
            ((1..=1_000_000).contains(&l.held), "held", "from 1 to 1000000"),
            ((1..=100_000).contains(&l.calls), "calls", "from 1 to 100000"),
            ((1..=100).contains(&l.attempts), "attempts", "from 1 to 100"),
            ((16..=1_000_000).contains(&l.connections), "connections", "from 16 to 1000000"),
            (l.bodies.0 >= 64 * 1024, "bodies", "64KiB at least, the longest body"),
            ((1..=100_000).contains(&l.couriers), "couriers", "from 1 to 100000"),
            (!l.connect_timeout.0.is_zero(), "connect_timeout", "above 0"),
            (!l.keepalive.0.is_zero(), "keepalive", "above 0"),
            (l.cold_from > 0.0 && l.cold_from <= 1.0, "cold_from", "above 0 and 1 at most"),
            (l.fall_multiple > 0.0 && l.fall_multiple <= 100.0, "fall_multiple", "above 0 and 100 at most"),
        ] {
            self.require(valid, at.key(key), reason);
        }
    }

    fn memory(&mut self, file: &File) -> ClientIdentification {
        let at = path(&["memory"]);
        let share = file.memory.client_share;
        self.require(share > 0.0 && share <= 1.0, at.key("client_share"), "above 0 and 1 at most");
        for fault in memory_caps(file, None).err().into_iter().flatten() {
            let key = fault.purpose().map_or("total", Purpose::name);
            self.report(at.key(key), fault.to_string());
        }
        let m = &file.memory;
        let mut proxies = Vec::new();
        for (n, net) in m.proxies.iter().flatten().enumerate() {
            match net.parse() {
                Ok(net) => proxies.push(net),
                Err(_) => self.report(at.key("proxies").item(n), "a network, like \"10.2.0.0/16\""),
            }
        }
        let header = m.client_header.as_ref().map(|name| self.header(at.key("client_header"), name));
        // The header is accepted only from proxies, so without any the key would have no effect.
        let has_effect = header.is_none() || m.proxies.as_ref().is_some_and(|of| !of.is_empty());
        self.require(
            has_effect,
            at.key("client_header"),
            "is believed from proxies only: name them in memory.proxies",
        );
        ClientIdentification { proxies, header, by_user: m.by_user }
    }

    fn control(&mut self, c: &file::Control) -> Option<Url> {
        let at = path(&["control"]);
        self.require(c.version_most.0 >= 1024, at.key("version_most"), "1KiB at least");
        self.require(c.version_most.0 <= 1 << 30, at.key("version_most"), "1GiB at most");
        self.require(!c.heartbeat.0.is_zero(), at.key("heartbeat"), "above 0");
        match &c.url {
            Some(url) => self.url(at.key("url"), url),
            None => {
                self.report(at, "url: the control service's is missing");
                None
            }
        }
    }

    fn journal(&mut self, j: &file::Journal) {
        let at = path(&["journal"]);
        let share = j.live_share > 0.0 && j.live_share <= 0.9;
        self.require(share, at.key("live_share"), "above 0 and 0.9 at most");
        self.require(j.names <= 1024, at.key("names"), "1024 at most");
    }
}

/// Index of the destination kind whose endpoints share the pool's limit.
pub const SHARED_LIMIT_KIND: usize = 0;
/// Index of the destination kind whose endpoints each have their own limit.
pub const OWN_LIMIT_KIND: usize = 1;

/// The scheduler's settings for a file.
fn settings(file: &File, zones: &[String]) -> decide::Settings {
    let l = &file.limits;
    let class = |c: &file::Class| decide::Class {
        aim: c.aim.0,
        deadline: c.deadline.0,
        worth: c.worth,
        late_share: c.late_share,
        effect: effect(c),
        ordered: c.order_by.is_some(),
        aim_stretch: 0.0,
        max_attempts: c.attempts,
        refuse_keyed_only_unrun: true,
    };
    decide::Settings {
        courier_count: l.couriers,
        classes: file.classes.values().map(class).collect(),
        kinds: [false, true]
            .map(|separate_routes| decide::DestinationKind { separate_routes, max_bundle_size: 1 })
            .to_vec(),
        tenant_count: 0,
        max_calls_in_flight: l.calls,
        max_messages: l.held,
        max_attempts: l.attempts,
        worth_decay: decide::WorthDecay::Linear,
        handshake_cost: HANDSHAKE_COST,
        zone_fees: vec![0.0; zones.len()],
        weight_kind: decide::WeightKind::Nominal,
        connect_timeout: l.connect_timeout.0,
        keepalive: l.keepalive.0,
        probing_enabled: false,
        cancellation_enabled: true,
        subscription_required: false,
        membership_lease_duration: file.discovery.as_ref().map(|_| decide::ENDPOINT_LIST_LEASE),
        tick: TICK,
        drain_grace: Duration::from_secs(1),
        slow_start_min_share: l.cold_from,
        slow_start_duration: l.cold_span.0,
        overload_multiple: l.fall_multiple,
        overload_duration: OVERLOAD_DURATION,
        order_pause: l.order_pause.0,
    }
}

/// Cost of a new connection, in the unit of `worth`, as the platform defines it.
const HANDSHAKE_COST: f64 = 0.04;
/// Minimum time between two runs of the scheduler.
const TICK: Duration = Duration::from_millis(5);
/// Minimum time for which a pool fails after an overload during slow start.
const OVERLOAD_DURATION: Duration = Duration::from_secs(3);

fn effect(c: &file::Class) -> decide::Effect {
    let scope = match c.key_scope {
        file::KeyScope::Pool => decide::KeyScope::All,
        file::KeyScope::Zone => decide::KeyScope::Zone,
        file::KeyScope::Endpoint => decide::KeyScope::Endpoint,
    };
    match c.effect {
        file::Effect::Repeatable => decide::Effect::Repeatable,
        file::Effect::Keyed => decide::Effect::Keyed { scope, window: c.key_window.unwrap_or_default().0 },
        file::Effect::Once => decide::Effect::Once,
    }
}

impl Installation {
    /// The route that matches a request, with its pool and the path of the request to the endpoint.
    ///
    /// # Errors
    /// Why no route matches.
    pub fn match_request(&self, request: &impl Request) -> Result<RouteMatch<'_>, NoRoute> {
        let route = &self.routes[self.router.route(request)?];
        let path = route.path(request.path());
        Ok(RouteMatch { route, pool: &self.pools[route.pool], path })
    }
}
