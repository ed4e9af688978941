//! The operator's file as it is written: every key with its type, unit, default and meaning. These comments
//! are the schema's descriptions. What stands here is not checked yet: see [`crate::installation`].

use crate::units::{Portion, Rate, Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stairshed_journal::{Durability, OnDamage, Options};
use stairshed_memory::{ByPurpose, Purpose};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// An installation of stairshed.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// This courier's name, in its log and towards the control service.
    pub name: Option<String>,
    /// The folder that lasts: journal, last good version, outcomes. Relative to the file's own folder.
    pub state: Option<PathBuf>,
    pub listen: Listen,
    /// What kinds of message there are, by name.
    pub classes: BTreeMap<String, Class>,
    /// Destinations, each with its endpoints, by name.
    pub pools: BTreeMap<String, Pool>,
    /// Which requests are taken, and where to, by name. Their order in the file means nothing.
    pub routes: BTreeMap<String, Route>,
    /// Which MQTT topics are taken, and where to, by name. Their order in the file means nothing.
    pub topics: BTreeMap<String, Topic>,
    pub limits: Limits,
    pub memory: Memory,
    pub outcomes: Outcomes,
    pub journal: Journal,
    /// Takes configuration in versions from a control service.
    pub control: Option<Control>,
    /// Takes endpoints of pools with `discovery = true` from a discovery service.
    pub discovery: Option<Discovery>,
    pub dns: Dns,
    pub mqtt: Mqtt,
}

/// Sections that a version may hold; the others stand in the file and need a restart.
pub const VERSIONED_SECTIONS: [&str; 7] =
    ["listen", "classes", "pools", "routes", "topics", "limits", "memory"];

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address for clients.
    pub http: String,
    /// Address for MQTT clients; off unless it is set. Changed by a restart only.
    pub mqtt: Option<String>,
    /// Address of the operator's own pages (`/-/config`); off unless it is set, and loopback only.
    pub admin: Option<String>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen { http: "127.0.0.1:8700".to_owned(), mqtt: None, admin: None }
    }
}

/// What a repeated delivery of a message does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing: repeats are harmless.
    Repeatable,
    /// Dropped by receivers that share a memory of keys, within a window.
    Keyed,
    /// It takes effect again, so it is never repeated once it may have run.
    #[default]
    Once,
}

/// Which endpoints of a pool share the memory of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KeyScope {
    Pool,
    Zone,
    #[default]
    Endpoint,
}

/// A class of message.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// What a repeat does. `keyed` needs `key_window`.
    pub effect: Effect,
    /// For `keyed`: who shares the memory of a key (`Idempotency-Key`).
    pub key_scope: KeyScope,
    /// For `keyed`: how long a key is remembered from the first send that may have run.
    pub key_window: Option<Span>,
    /// Full worth is earned when delivered within this time.
    pub aim: Span,
    /// How long a message may be delivered where its client tells none, and the most that a client may ask for.
    pub deadline: Span,
    /// Worth of a message delivered within the aim; where not all can be served the classes share by it.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_share: f64,
    /// Attempts that a message may have; without it `limits.attempts`.
    pub attempts: Option<u32>,
    /// The header whose value orders messages: those of one value go one at a time, in order of arrival.
    pub order_by: Option<String>,
    /// How long a message's id is remembered from when it was taken on, also once it has ended: a repeat within that
    /// time is acknowledged and not taken on again, unless it had bounced. Without it, for messages that come over
    /// MQTT, `key_window` of a keyed class and an hour for `once`; for others not at all.
    pub remember: Option<Span>,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            effect: Effect::default(),
            key_scope: KeyScope::default(),
            key_window: None,
            aim: Span::secs(2),
            deadline: Span::secs(30),
            worth: 1.0,
            late_share: 0.3,
            attempts: None,
            order_by: None,
            remember: None,
        }
    }
}

/// A destination.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Its endpoints: where its messages may be delivered.
    pub endpoints: Vec<Endpoint>,
    /// Takes its endpoints from `[discovery]`, too: those whose block is `destination`.
    pub discovery: bool,
    /// The number under which discovery and the journal know it; without it one is made of its name.
    pub destination: Option<u64>,
    /// Calls that the pool takes from all couriers together, where that is known. A first estimate: what
    /// endpoints report or refuse corrects it.
    pub limit: Option<Rate>,
    /// For endpoints that are MQTT brokers.
    pub mqtt: Option<Broker>,
}

/// A version of MQTT.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
pub enum MqttVersion {
    #[serde(rename = "3.1.1")]
    V311,
    #[default]
    #[serde(rename = "5.0")]
    V5,
}

/// How brokers among the endpoints of a pool are spoken to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Broker {
    pub version: MqttVersion,
    /// 1 or 2. Messages of a class with `once` always go at QoS 2.
    pub qos: u8,
    /// The client id; without it one is made of the courier's name and the endpoint's. Two couriers must not have
    /// the same.
    pub client: Option<String>,
    pub user: Option<String>,
    /// A file with the password in its first line. Relative to the operator's file.
    pub password_file: Option<PathBuf>,
    /// Whole seconds; a connection on which nothing is sent for so long is pinged.
    pub keep_alive: Span,
    /// How long the broker is asked to keep the session. An attempt whose acknowledgement is lost can be resumed
    /// within that time only.
    pub session_expiry: Span,
    /// Messages on their way at once, whatever the broker allows.
    pub in_flight: usize,
}

impl Default for Broker {
    fn default() -> Self {
        Broker {
            version: MqttVersion::default(),
            qos: 1,
            client: None,
            user: None,
            password_file: None,
            keep_alive: Span::secs(30),
            session_expiry: Span::secs(3600),
            in_flight: 1000,
        }
    }
}

/// An endpoint of a pool.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Endpoint {
    /// `address:port`, or `name:port`, which is looked up: each of its addresses is an endpoint. For an MQTT broker
    /// `mqtt://address:port/topic`.
    pub address: Option<String>,
    /// Its name in journal and log; without it the address. What has the same name is the same endpoint.
    pub name: Option<String>,
    /// Where it stands: endpoints of one zone share what `key_scope = "zone"` means.
    pub zone: String,
    /// Calls that this endpoint takes from all couriers together, apart from the pool's others.
    pub limit: Option<Rate>,
}

/// Which requests are taken, and where to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Methods; without any: POST.
    pub methods: Vec<String>,
    /// `stations.example`, or `*.example` for all names under it; without it every host.
    pub host: Option<String>,
    /// The whole path. A segment `{name}` stands for any one segment.
    pub path: Option<String>,
    /// The path and all under it: `/fuel` takes `/fuel` and `/fuel/x`, not `/fuels`.
    pub prefix: Option<String>,
    /// Headers that must be there with exactly this value.
    pub headers: BTreeMap<String, String>,
    /// The pool that the message is for.
    pub pool: Option<String>,
    /// Its class where the client names none (`X-Priority-Class`).
    pub class: Option<String>,
    /// Other classes that a client may name.
    pub classes: Vec<String>,
    pub rewrite: Rewrite,
}

/// How the request to the endpoint differs from the client's.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rewrite {
    /// The path towards the endpoint; `{name}` is what matched there, `{rest}` what came behind a prefix.
    /// Without it the client's path.
    pub path: Option<String>,
    /// The client's headers that are passed on.
    pub pass: Vec<String>,
    /// Headers that are set.
    pub set: BTreeMap<String, String>,
}

impl Default for Rewrite {
    fn default() -> Self {
        Rewrite { path: None, pass: vec!["Content-Type".to_owned()], set: BTreeMap::new() }
    }
}

/// Which MQTT topics are taken, and where to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Topic {
    /// A topic filter: `fuel/+/pay`, `fuel/#`.
    pub filter: Option<String>,
    /// The pool that the message is for.
    pub pool: Option<String>,
    /// Its class.
    pub class: Option<String>,
    /// What tells one message from another, the same at each repeat. Needed unless a repeat is harmless.
    pub identity: Option<Pick>,
    /// Whose messages the identity tells apart.
    pub identity_scope: IdentityScope,
    /// The key for the receivers (`Idempotency-Key`); without it the identity.
    pub key: Option<Pick>,
    /// How long the message may be delivered, in milliseconds. It, the message's expiry interval and the class's
    /// deadline: the shortest holds.
    pub time_out: Option<Pick>,
    /// How the request differs from the message. The path is the topic unless it is set; `{1}` is what the first `+`
    /// matched, `{rest}` what `#` did. Of `pass` and `set` names are also those of user properties.
    pub rewrite: Rewrite,
}

/// Where a value stands in a message: one of these.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pick {
    /// A user property by its name (5.0 only).
    pub property: Option<String>,
    /// A level of the topic, from 1.
    pub level: Option<usize>,
    /// A field of the payload, which is JSON, by a JSON pointer (RFC 6901): `/payment/id`.
    pub pointer: Option<String>,
}

/// Whose messages an identity tells apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum IdentityScope {
    /// Those of one client: another client's message with the same identity is another.
    #[default]
    Client,
    /// Those of all clients and of HTTP, where it is `X-Request-ID`.
    All,
}

/// What becomes of clients' wills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Wills {
    /// They are messages as any other.
    #[default]
    Deliver,
    /// A CONNECT with one is refused.
    Refuse,
}

/// `[mqtt]`: what MQTT clients may do. Needs a restart.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Mqtt {
    /// A file with a line `user:hash` for each user (`stairshed mqtt-password` makes them). Relative to the
    /// operator's file. Without it everybody may connect.
    pub users: Option<PathBuf>,
    /// Connections of clients.
    pub connections: usize,
    /// Sessions, connected or not.
    pub sessions: usize,
    /// Longest time that a session outlives its connection.
    pub session_expiry: Span,
    /// Longest keep alive; for clients of 5.0 also where they ask for none.
    pub keep_alive: Span,
    /// PUBLISHes of one client that wait for their acknowledgement.
    pub receive_maximum: u16,
    /// Topic aliases of one connection.
    pub topic_aliases: u16,
    /// Outcomes that wait for one client. More are not told to it.
    pub outcomes: usize,
    pub wills: Wills,
}

impl Default for Mqtt {
    fn default() -> Self {
        Mqtt {
            users: None,
            connections: 1024,
            sessions: 10_000,
            session_expiry: Span::secs(3600),
            keep_alive: Span::secs(300),
            receive_maximum: 64,
            topic_aliases: 16,
            outcomes: 1000,
            wills: Wills::default(),
        }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Messages that may be held, sent or not.
    pub held: usize,
    /// Calls that may be out at once.
    pub calls: usize,
    /// Attempts that a message may have.
    pub attempts: u32,
    /// Connections of clients and to endpoints together.
    pub connections: usize,
    /// Bytes of bodies that are being read or judged, all clients together.
    pub bodies: Size,
    /// Couriers that share the pools' limits, this one included.
    pub couriers: usize,
    /// A connection to an endpoint not established within this time has failed.
    pub connect_timeout: Span,
    /// Endpoints close idle connections after this time: none is kept for longer.
    pub keepalive: Span,
    /// A pool back from an outage has this share of its capacity at least, and all of it after `cold_span`.
    pub cold_from: f64,
    pub cold_span: Span,
    /// A cold pool falls over when sent more than this multiple of its present capacity.
    pub fall_multiple: f64,
    /// How long an order rests after an attempt that may still be running.
    pub order_pause: Span,
    /// How long messages of a pool that a version has removed wait for it to come back.
    pub pool_wait: Span,
    /// Messages that have ended and are remembered, or whose end a client is still to be told. With more, new messages
    /// that would have to be remembered are refused.
    pub remembered: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            held: 1000,
            calls: 64,
            attempts: 6,
            connections: 1024,
            bodies: Size(16 << 20),
            couriers: 1,
            connect_timeout: Span::secs(1),
            keepalive: Span::secs(10),
            cold_from: 0.2,
            cold_span: Span::secs(10),
            fall_multiple: 2.0,
            order_pause: Span::secs(2),
            pool_wait: Span::secs(5),
            remembered: 100_000,
        }
    }
}

/// `[memory]`: what the courier may hold, all in all and for each purpose. Caps that are stated must go with the total
/// and with each other; what is not stated has its usual share of the total, or no cap without one.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// What the process may hold. Without it: the limit that the process was started with (RLIMIT_AS), if there is
    /// one, less what the program's own mappings take; else there is no bound.
    pub total: Option<Size>,
    /// What one client (an address, or an MQTT client) may have of a purpose while that is tight. Alone it may have
    /// what nobody else asks for, up to there.
    pub client_share: f64,
    /// Networks of proxies that carry many clients each, like `["10.2.0.0/16"]`. Their connections keep to the cap, and
    /// have no share.
    pub proxies: Option<Vec<String>>,
    /// The header in which a proxy names the client of a request. From elsewhere it means nothing.
    pub client_header: Option<String>,
    /// MQTT clients count by their user alone, not each with its client id.
    pub by_user: bool,
    /// Bodies that are being read or judged. Without it `limits.bodies`, and no more than 12.5 % of the total.
    pub bodies_read: Option<Portion>,
    /// Bodies of accepted messages, until they have ended. 28 % unless it is set.
    pub bodies_held: Option<Portion>,
    /// Heads, ids and rows of accepted messages. 15 % unless it is set.
    pub messages: Option<Portion>,
    /// Connections of clients. 10 % unless it is set.
    pub clients: Option<Portion>,
    /// Connections to endpoints. 8 % unless it is set.
    pub endpoints: Option<Portion>,
    /// MQTT sessions, and outcomes that their clients have not read. 8 % unless it is set.
    pub sessions: Option<Portion>,
    /// Ids of messages that have ended. 4.5 % unless it is set.
    pub remembered: Option<Portion>,
    /// The journal's buffers. 4 % unless it is set.
    pub journal: Option<Portion>,
    /// The decision module's records of endpoints and destinations. 3.5 % unless it is set.
    pub module: Option<Portion>,
    /// Names and configuration. 4 % unless it is set.
    pub configuration: Option<Portion>,
    /// Notices of outcomes that wait for their receiver. 2.5 % unless it is set.
    pub notices: Option<Portion>,
}

impl Default for Memory {
    fn default() -> Self {
        Memory {
            total: None,
            client_share: 0.5,
            proxies: None,
            client_header: None,
            by_user: false,
            bodies_read: None,
            bodies_held: None,
            messages: None,
            clients: None,
            endpoints: None,
            sessions: None,
            remembered: None,
            journal: None,
            module: None,
            configuration: None,
            notices: None,
        }
    }
}

impl Memory {
    /// What is stated for each purpose.
    pub fn portions_by_purpose(&self) -> ByPurpose<Option<Portion>> {
        ByPurpose::new(|purpose| match purpose {
            Purpose::BodiesRead => self.bodies_read,
            Purpose::BodiesHeld => self.bodies_held,
            Purpose::Messages => self.messages,
            Purpose::Clients => self.clients,
            Purpose::Endpoints => self.endpoints,
            Purpose::Sessions => self.sessions,
            Purpose::Remembered => self.remembered,
            Purpose::Journal => self.journal,
            Purpose::Module => self.module,
            Purpose::Configuration => self.configuration,
            Purpose::Notices => self.notices,
        })
    }
}

/// Where the outcomes of messages go that were taken on and not delivered. Without any key they are appended
/// to `outcomes.ndjson` in the state folder.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Outcomes {
    /// Posted there as lines of JSON until it answers 2xx: `http://address:port/path`.
    pub url: Option<String>,
    /// Appended there as lines of JSON. Relative to the state folder.
    pub file: Option<PathBuf>,
}

/// `[journal]`
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    /// When a record counts as kept: `process` or `machine`.
    #[schemars(with = "String", extend("enum" = ["process", "machine"]))]
    pub durability: Durability,
    /// What all files may take; without it 1 GB, or the platform's `disk_mb`.
    pub room: Option<Size>,
    /// A segment; without it a share of the room.
    pub segment: Option<Size>,
    /// Sets room aside on the disk for what accepted messages may still need.
    pub set_aside: bool,
    /// Bytes of an endpoint's and its zone's name for which room is kept in each attempt.
    pub names: u64,
    /// Share of the room that live messages may take with all that they may still need, above 0, 0.9 at most.
    pub live_share: f64,
    /// What a start does with a journal of which a part cannot be read: `salvage` or `stop`.
    #[schemars(with = "String", extend("enum" = ["salvage", "stop"]))]
    pub on_damage: OnDamage,
}

impl Default for Journal {
    fn default() -> Self {
        let usual = Options::new(0);
        Journal {
            durability: usual.durability,
            room: None,
            segment: None,
            set_aside: usual.preallocate,
            names: usual.reserved_name_bytes,
            live_share: usual.max_live_fraction,
            on_damage: usual.on_damage,
        }
    }
}

impl Journal {
    /// The journal's options, with `room` bytes where the file tells none.
    pub fn options(&self, room: u64, attempts: u64) -> Options {
        let room = self.room.map_or(room, |room| room.0);
        Options {
            segment_bytes: self.segment.map(|segment| segment.0),
            durability: self.durability,
            preallocate: self.set_aside,
            reserved_attempts: attempts,
            reserved_name_bytes: self.names,
            max_live_fraction: self.live_share,
            on_damage: self.on_damage,
            ..Options::new(room)
        }
    }
}

/// `[control]`
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// The control service: `http://address:port/path`.
    pub url: Option<String>,
    /// The longest version that is read.
    pub version_most: Size,
    /// How long a start without a last good version, and without pools in its file, waits for a first one.
    pub first_wait: Span,
    /// The service sends an empty line at least this often; silence for twice as long ends the connection.
    pub heartbeat: Span,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            url: None,
            version_most: Size(16 << 20),
            first_wait: Span::secs(10),
            heartbeat: Span::secs(5),
        }
    }
}

/// `[discovery]`
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// `address:port` of the discovery service.
    pub address: Option<String>,
}

/// `[dns]`: how names of endpoints are looked up.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Dns {
    /// `address:port` of the resolver; without it the first of /etc/resolv.conf.
    pub resolver: Option<String>,
    /// An answer is asked for again after its time to live, within these bounds.
    pub refresh_least: Span,
    pub refresh_most: Span,
}

impl Default for Dns {
    fn default() -> Self {
        Dns { resolver: None, refresh_least: Span::secs(1), refresh_most: Span::secs(300) }
    }
}
