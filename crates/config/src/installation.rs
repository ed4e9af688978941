//! An installation, checked as a whole and in the terms of the courier: references are resolved, names are
//! numbers, defaults are filled in. Made of the operator's file, and of a version's sections in their place.

use crate::decode::decode;
use crate::file::{self, File, VERSIONED_SECTIONS};
use crate::problem::{Path, Problem, Problems, path, suggest};
use crate::route::{Condition, Conflict, NoRoute, Pattern, Request, Router, normalize_path};
pub use crate::topic::Topic;
use crate::topic::{self, Topics};
use crate::tree::{self, Entry, Node, Value, line_and_column};
use crate::units::{Rate, Span};
use stairshed_decide::interface as decide;
use stairshed_memory::{ByPurpose, CapError, CapSetting, Caps, ClientIdentification, Purpose};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Headers that a rewrite neither passes on nor sets: the courier's own, and those of one hop (RFC 9110, 7.6.1).
const RESERVED: [&str; 17] = [
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
/// A longer name would not fit the room that the journal keeps for names.
const NAME_MOST: usize = 64;
/// Bytes of headers that a route may set: they are on record with each message.
const SET_MOST: usize = 2048;
/// Longest name of an endpoint with its pool's.
const HOST_MOST: usize = 180;
/// Longest time for which ids are remembered, and the usual one for what must not be repeated.
const REMEMBER_MOST: Duration = Duration::from_secs(30 * 24 * 3600);
const REMEMBER_USUAL: Duration = Duration::from_secs(3600);
/// Bytes that an entry takes as it was read and as it was checked, with strings of usual length. Measured: see
/// `tests/weigh.rs`. And what there is without any.
const POOL: u64 = 1950;
const MEMBER: u64 = 860;
const ROUTE: u64 = 3050;
const TOPIC: u64 = 3050;
const CLASS: u64 = 1500;
const EMPTY: u64 = 4000;
/// No message lives longer.
const DEADLINE_MOST: Duration = Duration::from_secs(24 * 3600);

/// A document that was read, and can be read again with a version's sections in it.
#[derive(Clone, Debug)]
pub struct Document {
    /// What it is called in errors.
    pub source: String,
    pub text: Arc<str>,
    tree: Arc<Node>,
}

/// All that a courier must know.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The effective file.
    pub file: File,
    pub http: SocketAddr,
    pub mqtt: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    /// In the order of `settings.classes`.
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
    /// How clients are told apart.
    pub client_identification: ClientIdentification,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// In lower case.
    pub order_by: Option<String>,
    /// How long ids are remembered: of messages that come over HTTP, and over MQTT.
    pub remember: Duration,
    pub remember_mqtt: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    pub destination: u64,
    pub members: Vec<PoolMember>,
    pub discovery: bool,
    pub limit: Option<Rate>,
    /// How brokers among its endpoints are spoken to.
    pub broker: Option<file::Broker>,
}

/// An endpoint, or several under one name that is looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// What it is known by, for good: pool and name.
    pub host: String,
    pub address: MemberAddress,
    pub zone: String,
    pub limit: Option<Rate>,
    /// For a broker: the topic that is published to.
    pub topic: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberAddress {
    Address(SocketAddr),
    Name(String, u16),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub pool: usize,
    pub class: usize,
    /// What a client may name, the default among them.
    pub classes: Vec<usize>,
    pub condition: Condition,
    pub rewrite: Option<String>,
    /// In lower case.
    pub pass: Vec<String>,
    pub set: Vec<(String, String)>,
}

/// `http://address:port/path`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    pub address: SocketAddr,
    pub path: String,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,
    pub pool: &'a Pool,
    /// The path towards the endpoint.
    pub path: String,
}

impl Installation {
    /// Bytes that it takes with the document that it is of, estimated from what is in it.
    pub fn estimated_bytes(&self) -> u64 {
        let members: usize = self.pools.iter().map(|p| p.members.len()).sum();
        let all = [
            (self.pools.len(), POOL),
            (members, MEMBER),
            (self.routes.len(), ROUTE),
            (self.file.topics.len(), TOPIC),
            (self.classes.len(), CLASS),
        ];
        EMPTY + all.into_iter().map(|(n, bytes)| n as u64 * bytes).sum::<u64>()
    }
}

impl Route {
    /// The path towards the endpoint for a client's path.
    pub fn path(&self, path: &str) -> String {
        let Some(rewrite) = &self.rewrite else { return path.to_owned() };
        let mut out = rewrite.clone();
        for (name, value) in self.condition.path.captures(path) {
            out = out.replace(&format!("{{{name}}}"), value);
        }
        out
    }
}

/// Reads and checks an operator's file.
///
/// # Errors
/// All that is wrong with it.
pub fn load(source: &str, text: &str) -> Result<Installation, Problems> {
    Document::read(source, text)?.installation(None)
}

/// The number of a pool that is given none. FNV-1a: it is on record, and must stay what it is.
pub fn default_destination(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

impl Document {
    /// # Errors
    /// What is wrong with its syntax.
    pub fn read(source: &str, text: &str) -> Result<Document, Problems> {
        let (tree, all) = tree::from_toml(text);
        let document = Document { source: source.to_owned(), text: text.into(), tree: Arc::new(tree) };
        if all.is_empty() { Ok(document) } else { Err(Problems { source: source.to_owned(), all }) }
    }

    /// Checks the file, with a version's sections in the place of its own.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn installation(&self, version: Option<&serde_json::Value>) -> Result<Installation, Problems> {
        let mut tree = Node::clone(&self.tree);
        let mut all = Vec::new();
        if let Some(version) = version {
            overlay(&mut tree, tree::from_json(version), &mut all);
        }
        let (file, cut) = decode::<File>(&tree);
        let hidden: Vec<Path> = cut.iter().map(|p| p.path.clone()).collect();
        all.extend(cut);
        let mut check = Check { tree: &tree, problems: Vec::new() };
        let made = check.installation(file);
        // Nothing is said of what could not be read but that.
        let hides = |p: &Problem| hidden.iter().any(|h| p.path.is_within(h) || h.is_within(&p.path));
        all.extend(check.problems.into_iter().filter(|p| !hides(p)));
        match made.filter(|_| all.is_empty()) {
            Some(made) => Ok(made),
            None => {
                for problem in &mut all {
                    problem.position = tree.start(&problem.path).map(|at| line_and_column(&self.text, at));
                }
                all.sort_by_key(|p| p.position);
                Err(Problems { source: self.source.clone(), all })
            }
        }
    }

    /// For looking up many lines.
    pub fn lines(&self) -> LineIndex<'_> {
        LineIndex { tree: &self.tree, ends: self.text.match_indices('\n').map(|(at, _)| at).collect() }
    }
}

/// The lines of a document's values.
pub struct LineIndex<'a> {
    tree: &'a Node,
    /// Where each line ends.
    ends: Vec<usize>,
}

impl LineIndex<'_> {
    /// Where a value stands, if it stands in the file: its line, from 1.
    pub fn line(&self, path: &Path) -> Option<usize> {
        self.tree.at(path)?;
        self.tree.start(path).map(|at| self.ends.partition_point(|end| *end < at) + 1)
    }
}

/// The caps of a file. `otherwise` is the total where the file tells none.
///
/// # Errors
/// All that is wrong with them.
pub fn memory_caps(file: &File, otherwise: Option<u64>) -> Result<Caps, Vec<CapError>> {
    let total = file.memory.total.map(|size| size.0).or(otherwise);
    let stated = file.memory.portions_by_purpose();
    let bodies = file.limits.bodies.0;
    let usual = |purpose| {
        (purpose == Purpose::BodiesRead).then(|| {
            let share = Caps::new(total, &ByPurpose::default()).map(|caps| caps.of[Purpose::BodiesRead]);
            CapSetting::Size(share.map_or(bodies, |share| share.min(bodies)))
        })
    };
    Caps::new(total, &ByPurpose::new(|purpose| stated[purpose].map(|p| p.0).or_else(|| usual(purpose))))
}

/// Puts a version's sections in the place of the file's.
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
        let own = entries.iter_mut().find(|e| e.key == section.key);
        match (own, &section.node.value) {
            // The operator's pages and the address for MQTT stay where the operator put them.
            (Some(own), Value::Table(fields)) if section.key == "listen" => {
                let Value::Table(listen) = &mut own.node.value else { continue };
                let stays = |key: &str| matches!(key, "admin" | "mqtt");
                listen.retain(|e| stays(&e.key));
                listen.extend(fields.iter().filter(|f| !stays(&f.key)).cloned());
            }
            (Some(own), _) => *own = section,
            (None, _) => entries.push(Entry { key_span: None, ..section }),
        }
    }
}

struct Check<'a> {
    tree: &'a Node,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn wrong(&mut self, path: Path, reason: impl Into<String>) {
        self.problems.push(Problem::new(path, reason));
    }

    fn must(&mut self, holds: bool, path: Path, reason: &str) {
        if !holds {
            self.wrong(path, reason);
        }
    }

    fn address(&mut self, at: Path, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.wrong(at, format!("{text:?} is no address with a port, such as \"127.0.0.1:8700\""));
        }
        address
    }

    fn url(&mut self, at: Path, text: &str) -> Option<Url> {
        let rest = text.strip_prefix("http://");
        let (address, path) = rest.map(|r| r.split_at(r.find('/').unwrap_or(r.len()))).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let url = address.parse().ok().filter(|_| normalize_path(path).as_deref() == Some(path));
        if url.is_none() {
            self.wrong(at, format!("{text:?} is no URL such as \"http://127.0.0.1:9000/path\""));
        }
        url.map(|address| Url { address, path: path.to_owned() })
    }

    /// The names of a section, also of what could not be read: a reference to that is no second fault.
    fn names(&self, section: &str) -> Vec<String> {
        self.tree.keys(&path(&[section])).into_iter().map(str::to_owned).collect()
    }

    fn name(&mut self, at: Path, name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let good = !name.is_empty() && name.len() <= NAME_MOST && name.chars().all(plain);
        self.must(good, at, "a name has 1 to 64 letters, digits, - _ or .");
    }

    fn header(&mut self, at: Path, name: &str) -> String {
        let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        self.must(!name.is_empty() && name.chars().all(token), at, "no name of a header");
        name.to_ascii_lowercase()
    }

    fn installation(&mut self, file: File) -> Option<Installation> {
        if let Some(name) = &file.name {
            self.name(path(&["name"]), name);
        }
        let listen = path(&["listen"]);
        let http = self.address(listen.key("http"), &file.listen.http);
        let admin = file.listen.admin.as_ref().and_then(|a| self.address(listen.key("admin"), a));
        let local = admin.is_none_or(|a| a.ip().is_loopback());
        self.must(local, listen.key("admin"), "the operator's pages are on a loopback address only");
        let apart = admin.is_none() || admin != http || admin.is_some_and(|a| a.port() == 0);
        self.must(apart, listen.key("admin"), "the same address as listen.http");
        let mqtt = file.listen.mqtt.as_ref().and_then(|a| self.address(listen.key("mqtt"), a));
        let apart = |a: SocketAddr| a.port() == 0 || (Some(a) != http && Some(a) != admin);
        self.must(mqtt.is_none_or(apart), listen.key("mqtt"), "the same address as another listener's");
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
                self.wrong(path(&["discovery"]), "address: the discovery service's is missing");
                None
            }
        });
        let resolver = file.dns.resolver.as_ref().and_then(|a| self.address(path(&["dns", "resolver"]), a));
        let dns = &file.dns;
        let bounds = dns.refresh_least.0 > Duration::ZERO && dns.refresh_least <= dns.refresh_most;
        self.must(bounds, path(&["dns", "refresh_least"]), "above 0 and no more than refresh_most");
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
        self.must(window || !keyed, at.key("key_window"), "a keyed class needs how long a key is remembered");
        self.must(keyed || c.key_window.is_none(), at.key("key_window"), "only for effect = \"keyed\"");
        let scope = c.key_scope == file::KeyScope::default();
        self.must(keyed || scope, at.key("key_scope"), "only for effect = \"keyed\"");
        self.must(c.aim > Span::default(), at.key("aim"), "above 0");
        self.must(c.deadline > Span::default(), at.key("deadline"), "above 0");
        self.must(c.aim <= c.deadline || c.deadline.0.is_zero(), at.key("aim"), "no more than the deadline");
        self.must(c.deadline.0 <= DEADLINE_MOST, at.key("deadline"), "24 hours at most");
        self.must(c.worth > 0.0 && c.worth.is_finite(), at.key("worth"), "above 0");
        self.must((0.0..=1.0).contains(&c.late_share), at.key("late_share"), "from 0 to 1");
        self.must(c.attempts.is_none_or(|a| (1..=100).contains(&a)), at.key("attempts"), "from 1 to 100");
        let order_by = c.order_by.as_ref().map(|h| self.header(at.key("order_by"), h));
        let long = c.remember.is_none_or(|r| r.0 <= REMEMBER_MOST);
        self.must(long, at.key("remember"), "30 days at most");
        let usual = match c.effect {
            file::Effect::Repeatable => Duration::ZERO,
            file::Effect::Keyed => c.key_window.unwrap_or_default().0.min(REMEMBER_MOST),
            file::Effect::Once => REMEMBER_USUAL,
        };
        let remember = c.remember.map_or(Duration::ZERO, |r| r.0);
        let remember_mqtt = c.remember.map_or(usual, |r| r.0);
        Class { name: name.to_owned(), order_by, remember, remember_mqtt }
    }

    fn pools(&mut self, file: &File) -> (Vec<Pool>, Vec<String>) {
        let (mut pools, mut zones) = (Vec::new(), Vec::new());
        let mut numbers: HashMap<u64, String> = HashMap::new();
        for (name, pool) in &file.pools {
            let at = path(&["pools", name]);
            self.name(at.clone(), name);
            let number = pool.destination.unwrap_or_else(|| default_destination(name));
            if let Some(other) = numbers.insert(number, name.clone()) {
                let reason = format!("{number} is the destination of pools.{other}, too");
                self.wrong(at.key("destination"), reason);
            }
            let found = !pool.discovery || file.discovery.is_some();
            self.must(found, at.key("discovery"), "there is no [discovery] to take endpoints from");
            let mut members: Vec<PoolMember> = Vec::new();
            let mut taken: HashMap<String, usize> = HashMap::new();
            for (n, endpoint) in pool.endpoints.iter().enumerate() {
                let at = at.key("endpoints").item(n);
                let Some(member) = self.member(&at, name, endpoint) else { continue };
                if let Some(other) = taken.insert(member.host.clone(), n) {
                    let key = if endpoint.name.is_some() { "name" } else { "address" };
                    self.wrong(at.key(key), format!("the same endpoint as endpoints[{other}]"));
                }
                if !zones.contains(&member.zone) {
                    zones.push(member.zone.clone());
                }
                members.push(member);
            }
            if let Some(broker) = &pool.mqtt {
                self.broker(&at.key("mqtt"), broker);
            }
            let (name, discovery, limit) = (name.clone(), pool.discovery, pool.limit);
            pools.push(Pool {
                name,
                destination: number,
                members,
                discovery,
                limit,
                broker: pool.mqtt.clone(),
            });
        }
        (pools, zones)
    }

    fn member(&mut self, at: &Path, pool: &str, endpoint: &file::Endpoint) -> Option<PoolMember> {
        let Some(text) = &endpoint.address else {
            self.wrong(at.clone(), "address: it is missing");
            return None;
        };
        let (text, topic) = match text.strip_prefix("mqtt://").map(|rest| rest.split_once('/')) {
            None => (text.as_str(), None),
            Some(Some((place, topic))) if topic::is_topic_name(topic) && !topic.starts_with('$') => {
                (place, Some(topic.to_owned()))
            }
            Some(_) => {
                let reason = format!("{text:?} names no topic: mqtt://address:port/topic, without wildcards");
                self.wrong(at.key("address"), reason);
                return None;
            }
        };
        let place = text.parse::<SocketAddr>().ok().map(MemberAddress::Address).or_else(|| {
            let (name, port) = text.rsplit_once(':')?;
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let good = !name.is_empty() && name.len() <= 253 && name.chars().all(plain);
            // Numbers and dots alone are a broken address and no name.
            let named = name.chars().any(|c| c.is_ascii_alphabetic());
            Some(MemberAddress::Name(name.to_ascii_lowercase(), port.parse().ok()?)).filter(|_| good && named)
        });
        let zero = match &place {
            Some(MemberAddress::Address(a)) => a.port() == 0,
            Some(MemberAddress::Name(_, port)) => *port == 0,
            None => true,
        };
        if zero {
            let reason = format!("{text:?} is neither address:port nor name:port");
            self.wrong(at.key("address"), reason);
        }
        let long = endpoint.name.as_ref().is_none_or(|n| !n.is_empty() && n.len() <= NAME_MOST);
        self.must(long, at.key("name"), "a name has 1 to 64 bytes");
        self.must(endpoint.zone.len() <= NAME_MOST, at.key("zone"), "a name has 64 bytes at most");
        let own = endpoint.name.as_deref().or(endpoint.address.as_deref()).unwrap_or_default();
        let host = format!("{pool}/{own}");
        let short = host.len() <= HOST_MOST;
        self.must(
            short,
            at.key("address"),
            "an endpoint's name with its pool's has 180 bytes at most: set name",
        );
        Some(PoolMember { host, address: place?, zone: endpoint.zone.clone(), limit: endpoint.limit, topic })
    }

    fn broker(&mut self, at: &Path, b: &file::Broker) {
        self.must(matches!(b.qos, 1 | 2), at.key("qos"), "1 or 2: at 0 no delivery could be told");
        let seconds = |span: Span| (1..=u64::from(u16::MAX)).contains(&span.0.as_secs());
        self.must(seconds(b.keep_alive), at.key("keep_alive"), "from 1s to 18h");
        let expiry = (1..u64::from(u32::MAX)).contains(&b.session_expiry.0.as_secs());
        self.must(expiry, at.key("session_expiry"), "1s at least, and 136 years at most");
        let in_flight = (1..=usize::from(u16::MAX)).contains(&b.in_flight);
        self.must(in_flight, at.key("in_flight"), "from 1 to 65535");
        let client = b.client.as_ref().is_none_or(|c| !c.is_empty() && c.len() <= 128);
        self.must(client, at.key("client"), "a client id has 1 to 128 bytes");
        let user = b.password_file.is_none() || b.user.is_some();
        self.must(user, at.key("password_file"), "without a user");
    }

    fn mqtt(&mut self, m: &file::Mqtt) {
        let at = path(&["mqtt"]);
        for (good, key, reason) in [
            ((1..=1_000_000).contains(&m.connections), "connections", "from 1 to 1000000"),
            ((1..=10_000_000).contains(&m.sessions), "sessions", "from 1 to 10000000"),
            (m.session_expiry.0.as_secs() < u64::from(u32::MAX), "session_expiry", "136 years at most"),
            ((1..=u64::from(u16::MAX)).contains(&m.keep_alive.0.as_secs()), "keep_alive", "from 1s to 18h"),
            (m.receive_maximum > 0, "receive_maximum", "1 at least"),
            ((1..=1_000_000).contains(&m.outcomes), "outcomes", "from 1 to 1000000"),
        ] {
            self.must(good, at.key(key), reason);
        }
    }

    fn topic(&mut self, name: &str, t: &file::Topic, file: &File) -> Option<Topic> {
        let at = path(&["topics", name]);
        self.name(at.clone(), name);
        let pattern = match &t.filter {
            Some(filter) => {
                topic::parse_filter(filter).map_err(|reason| self.wrong(at.key("filter"), reason)).ok()
            }
            None => {
                self.wrong(at.clone(), "filter: it is missing");
                None
            }
        };
        let pool = self.referred(&at, "pool", "pools", t.pool.as_ref(), &file.pools);
        let class = self.referred(&at, "class", "classes", t.class.as_ref(), &file.classes);
        for (key, pick) in [("identity", &t.identity), ("key", &t.key), ("time_out", &t.time_out)] {
            let Some(pick) = pick else { continue };
            let named = [pick.property.is_some(), pick.level.is_some(), pick.pointer.is_some()];
            let one = named.iter().filter(|n| **n).count() == 1;
            self.must(one, at.key(key), "one of property, level and pointer");
            let level = pick.level.is_none_or(|l| (1..=crate::route::MAX_SEGMENTS).contains(&l));
            self.must(level, at.key(key).key("level"), "levels are counted from 1, to 64");
            let pointer = pick.pointer.as_ref().is_none_or(|p| p.is_empty() || p.starts_with('/'));
            self.must(pointer, at.key(key).key("pointer"), "a JSON pointer begins with /");
        }
        let harmless = t.class.as_ref().and_then(|c| file.classes.get(c)).map(|c| c.effect);
        let needs = harmless.is_some_and(|e| e != file::Effect::Repeatable) && t.identity.is_none();
        let reason = "identity: messages of this class must be told apart, since a repeat is not harmless";
        self.must(!needs, at.clone(), reason);
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

    /// The number of the pool or class that is named, or what is wrong with the name.
    fn referred<T>(
        &mut self,
        at: &Path,
        key: &str,
        section: &str,
        name: Option<&String>,
        of: &BTreeMap<String, T>,
    ) -> Option<usize> {
        let Some(name) = name else {
            self.wrong(at.clone(), format!("{key}: it is missing"));
            return None;
        };
        let number = of.keys().position(|k| k == name);
        self.reference(at.key(key), section, name, number)
    }

    fn topics(&mut self, file: &File, topics: Vec<Option<Topic>>) -> Option<Topics> {
        let known: Vec<Topic> = topics.into_iter().flatten().collect();
        let whole = known.len() == file.topics.len();
        match Topics::new(known) {
            Ok(topics) => Some(topics).filter(|_| whole),
            Err(conflicts) => {
                for (a, b) in conflicts {
                    for (name, other) in [(&a, &b), (&b, &a)] {
                        let reason = format!("the same filter as topics.{other}");
                        self.wrong(path(&["topics", name]), reason);
                    }
                }
                None
            }
        }
    }

    /// The number of a name in a section that is sorted by name.
    fn reference(&mut self, at: Path, section: &str, name: &str, of: Option<usize>) -> Option<usize> {
        if of.is_none() {
            let names = self.names(section);
            if !names.iter().any(|n| n == name) {
                let near = suggest(name, names.iter().map(String::as_str));
                self.wrong(at, format!("no such entry of [{section}]: {name:?}{near}"));
            }
        }
        of
    }

    fn route(&mut self, name: &str, r: &file::Route, file: &File) -> Option<Route> {
        let at = path(&["routes", name]);
        self.name(at.clone(), name);
        let host = r.host.as_ref().map(|host| {
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let bare = host.strip_prefix("*.").unwrap_or(host);
            let good = !bare.is_empty() && bare.chars().all(plain) && !bare.starts_with('.');
            self.must(good, at.key("host"), "a host's name without a port, or *. and one");
            host.to_ascii_lowercase()
        });
        let (key, text, prefix) = match (&r.path, &r.prefix) {
            (Some(path), None) => ("path", path.as_str(), false),
            (None, Some(prefix)) => ("prefix", prefix.as_str(), true),
            (Some(_), Some(_)) => {
                self.wrong(at.key("prefix"), "beside a path: a route has one of them");
                ("path", "/", true)
            }
            (None, None) => {
                self.wrong(at.clone(), "path: a route has a path or a prefix");
                ("path", "/", true)
            }
        };
        let pattern = Pattern::read(text, prefix).map_err(|reason| self.wrong(at.key(key), reason)).ok();
        let mut methods = Vec::new();
        for (n, method) in r.methods.iter().enumerate() {
            let good = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
            self.must(good, at.key("methods").item(n), "a method in capitals, such as \"POST\"");
            let read = ["GET", "HEAD", "OPTIONS", "TRACE", "CONNECT"].contains(&method.as_str());
            self.must(!read, at.key("methods").item(n), "no method that hands in a message");
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
                self.wrong(at.key("headers").key(name), "comes twice, in other letters");
            }
        }
        let pool = self.referred(&at, "pool", "pools", r.pool.as_ref(), &file.pools);
        let class = self.referred(&at, "class", "classes", r.class.as_ref(), &file.classes);
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
                    let near = suggest(name, known.iter().copied());
                    self.wrong(at.key("path"), format!("the route's path has no {{{name}}}{near}"));
                }
                plain.push_str(before);
                plain.push('x');
                rest = after;
            }
            plain.push_str(rest);
            let good = normalize_path(&plain).is_some() && !plain.contains(['{', '}', '?', '#']);
            self.must(good, at.key("path"), "no plain path with {names}");
        }
        let mut pass = Vec::new();
        for (n, name) in r.pass.iter().enumerate() {
            let at = at.key("pass").item(n);
            let name = self.header(at.clone(), name);
            self.must(!RESERVED.contains(&name.as_str()), at, "a header of the courier's own, or of one hop");
            pass.push(name);
        }
        let mut set = Vec::new();
        for (name, value) in &r.set {
            let at = at.key("set").key(name);
            let lower = self.header(at.clone(), name);
            let free = !RESERVED.contains(&lower.as_str());
            self.must(free, at.clone(), "a header of the courier's own, or of one hop");
            let text = value.bytes().all(|b| (32..127).contains(&b));
            self.must(text, at, "a value of printable ASCII");
            set.push((lower, value.trim().to_owned()));
        }
        let bytes: usize = set.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.must(
            bytes <= SET_MOST,
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
        self.wrong(path(&["routes", name]), reason);
    }

    fn limits(&mut self, l: &file::Limits) {
        let at = path(&["limits"]);
        for (good, key, reason) in [
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
            self.must(good, at.key(key), reason);
        }
    }

    fn memory(&mut self, file: &File) -> ClientIdentification {
        let at = path(&["memory"]);
        let share = file.memory.client_share;
        self.must(share > 0.0 && share <= 1.0, at.key("client_share"), "above 0 and 1 at most");
        for fault in memory_caps(file, None).err().into_iter().flatten() {
            let key = fault.purpose().map_or("total", Purpose::name);
            self.wrong(at.key(key), fault.to_string());
        }
        let m = &file.memory;
        let mut proxies = Vec::new();
        for (n, net) in m.proxies.iter().flatten().enumerate() {
            match net.parse() {
                Ok(net) => proxies.push(net),
                Err(_) => self.wrong(at.key("proxies").item(n), "a network, like \"10.2.0.0/16\""),
            }
        }
        let header = m.client_header.as_ref().map(|name| self.header(at.key("client_header"), name));
        // Without a proxy to believe it would be a key that does nothing.
        let of_use = header.is_none() || m.proxies.as_ref().is_some_and(|of| !of.is_empty());
        self.must(
            of_use,
            at.key("client_header"),
            "is believed from proxies only: name them in memory.proxies",
        );
        ClientIdentification { proxies, header, by_user: m.by_user }
    }

    fn control(&mut self, c: &file::Control) -> Option<Url> {
        let at = path(&["control"]);
        self.must(c.version_most.0 >= 1024, at.key("version_most"), "1KiB at least");
        self.must(c.version_most.0 <= 1 << 30, at.key("version_most"), "1GiB at most");
        self.must(!c.heartbeat.0.is_zero(), at.key("heartbeat"), "above 0");
        match &c.url {
            Some(url) => self.url(at.key("url"), url),
            None => {
                self.wrong(at, "url: the control service's is missing");
                None
            }
        }
    }

    fn journal(&mut self, j: &file::Journal) {
        let at = path(&["journal"]);
        let share = j.live_share > 0.0 && j.live_share <= 0.9;
        self.must(share, at.key("live_share"), "above 0 and 0.9 at most");
        self.must(j.names <= 1024, at.key("names"), "1024 at most");
    }
}

/// Endpoints of a kind share the pool's limit, or each has its own.
pub const SHARED_LIMIT_KIND: usize = 0;
pub const OWN_LIMIT_KIND: usize = 1;

/// What the decision module is told.
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
        overload_duration: FALL_SPAN,
        order_pause: l.order_pause.0,
    }
}

/// Price of a new connection in the points of `worth`, as the platform has it.
const HANDSHAKE_COST: f64 = 0.04;
/// Turns of the decision module are no closer than this.
const TICK: Duration = Duration::from_millis(5);
const FALL_SPAN: Duration = Duration::from_secs(3);

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
    /// The route of a request, the pool it leads to and the path towards the endpoint.
    ///
    /// # Errors
    /// Why it has none.
    pub fn match_request(&self, request: &impl Request) -> Result<RouteMatch<'_>, NoRoute> {
        let route = &self.routes[self.router.route(request)?];
        let path = route.path(request.path());
        Ok(RouteMatch { route, pool: &self.pools[route.pool], path })
    }
}
