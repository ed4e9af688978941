//! The operator's configuration file as written: each key with its type, unit, default and meaning. The doc
//! comments on fields become the descriptions of the JSON schema. Values are not validated here; see
//! [`crate::installation`].

use crate::answers::Answers;
use crate::units::{Portion, Rate, Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stairshed_journal::{Durability, OnDamage, Options};
use stairshed_memory::{ByPurpose, Purpose};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The configuration of a stairshed installation.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// Name of this courier in its log and in requests to the control service.
    pub name: Option<String>,
    /// Folder for persistent state: journal, last good configuration version, outcomes. Relative to the
    /// folder of this file.
    pub state: Option<PathBuf>,
    pub listen: Listen,
    /// Message classes, by name.
    pub classes: BTreeMap<String, Class>,
    /// Destinations with their endpoints, by name.
    pub pools: BTreeMap<String, Pool>,
    /// Routes of HTTP requests to pools, by name. Their order in the file has no effect.
    pub routes: BTreeMap<String, Route>,
    /// Routes of MQTT topics to pools, by name. Their order in the file has no effect.
    pub topics: BTreeMap<String, Topic>,
    pub limits: Limits,
    pub memory: Memory,
    pub outcomes: Outcomes,
    pub journal: Journal,
    /// Receives numbered configuration versions from a control service.
    pub control: Option<Control>,
    /// Receives the endpoints of pools with `discovery = true` from a discovery service.
    pub discovery: Option<Discovery>,
    pub dns: Dns,
    pub mqtt: Mqtt,
}

/// Sections that a configuration version may contain. All others are set in the file only and need a restart.
pub const VERSIONED_SECTIONS: [&str; 7] =
    ["listen", "classes", "pools", "routes", "topics", "limits", "memory"];

/// `[listen]`: addresses on which the courier listens.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address on which HTTP clients are served.
    pub http: String,
    /// Address on which MQTT clients are served; disabled unless set. A change needs a restart.
    pub mqtt: Option<String>,
    /// Address of the admin pages (`/-/config`); disabled unless set. Must be a loopback address.
    pub admin: Option<String>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen { http: "127.0.0.1:8700".to_owned(), mqtt: None, admin: None }
    }
}

/// Effect of delivering a message more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A repeated delivery is harmless.
    Repeatable,
    /// Receivers that share a record of keys drop a repeated delivery within the key window.
    Keyed,
    /// A repeated delivery takes effect again, so a message is never sent again after an attempt that may
    /// have run.
    #[default]
    Once,
}

/// Which endpoints of a pool share their record of keys: all of them, those of one zone, or none (each
/// endpoint has its own).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KeyScope {
    Pool,
    Zone,
    #[default]
    Endpoint,
}

/// A message class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Effect of a repeated delivery. `keyed` requires `key_window`.
    pub effect: Effect,
    /// For `keyed`: which endpoints share their record of keys (`Idempotency-Key`).
    pub key_scope: KeyScope,
    /// For `keyed`: how long receivers remember a key, counted from the first attempt that may have run.
    pub key_window: Option<Span>,
    /// A message delivered within this time earns its full worth.
    pub aim: Span,
    /// Time limit for delivery: the default where the client sets none, and the maximum that a client may
    /// request.
    pub deadline: Span,
    /// Worth of a message delivered within `aim`. Under overload, classes share the capacity in proportion to
    /// it.
    pub worth: f64,
    /// Fraction of the worth that remains at the deadline.
    pub late_share: f64,
    /// Maximum number of delivery attempts for a message. Default: `limits.attempts`.
    pub attempts: Option<u32>,
    /// Header that defines the order of messages: those with the same value are delivered one at a time, in
    /// order of arrival.
    pub order_by: Option<String>,
    /// How long a message's id is remembered after the message was accepted, even after it has ended. A
    /// repeat within this time is acknowledged but not accepted again, unless the message bounced. Default
    /// for messages received over MQTT: `key_window` for a keyed class, one hour for `once`, otherwise 0.
    /// Default for all others: 0.
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
    /// Endpoints to which messages of this pool may be delivered.
    pub endpoints: Vec<Endpoint>,
    /// Also uses the endpoints from `[discovery]` whose block equals `destination`.
    pub discovery: bool,
    /// Number that identifies the pool in discovery and in the journal. Default: a hash of its name.
    pub destination: Option<u64>,
    /// Rate of calls that the pool accepts from all couriers together, if known. An initial estimate,
    /// corrected by what endpoints report or refuse.
    pub limit: Option<Rate>,
    /// Settings for endpoints that are MQTT brokers.
    pub mqtt: Option<Broker>,
    /// What the statuses of responses of HTTP endpoints mean. Without effect on MQTT brokers.
    pub answers: Answers,
}

/// Protocol version of MQTT.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
pub enum MqttVersion {
    #[serde(rename = "3.1.1")]
    V311,
    #[default]
    #[serde(rename = "5.0")]
    V5,
}

/// Client settings for the MQTT brokers among the endpoints of a pool.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Broker {
    /// Protocol version used with the brokers.
    pub version: MqttVersion,
    /// QoS, 1 or 2. Messages of a class with effect `once` are always sent at QoS 2.
    pub qos: u8,
    /// Client id. Default: derived from the names of the courier and the endpoint. Must be unique for each
    /// courier.
    pub client: Option<String>,
    /// User name sent to the brokers.
    pub user: Option<String>,
    /// File with the password on its first line. Relative to the folder of this file.
    pub password_file: Option<PathBuf>,
    /// Keep alive, in whole seconds: after this time without sending, a PINGREQ is sent.
    pub keep_alive: Span,
    /// Session expiry interval requested from the broker. An attempt whose acknowledgement was lost can be
    /// resumed only within this time.
    pub session_expiry: Span,
    /// Maximum number of messages in flight, even if the broker allows more.
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
    /// `address:port`, or `name:port`, which is resolved by DNS with one endpoint for each of its addresses.
    /// For an MQTT broker `mqtt://address:port/topic`.
    pub address: Option<String>,
    /// Name of the endpoint in the journal and the log; identifies it across changes. Default: its address.
    pub name: Option<String>,
    /// Zone of the endpoint. With `key_scope = "zone"`, endpoints of one zone share their record of keys.
    pub zone: String,
    /// Rate of calls that this endpoint accepts from all couriers together, separate from the pool's limit.
    pub limit: Option<Rate>,
}

/// Conditions on HTTP requests, and the pool and class that matching requests go to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Request methods. Default: POST.
    pub methods: Vec<String>,
    /// Host name, such as `stations.example`, or `*.example` for all of its subdomains. Default: any host.
    pub host: Option<String>,
    /// Exact path. A segment `{name}` matches any single non-empty segment.
    pub path: Option<String>,
    /// Path prefix, by whole segments: `/fuel` matches `/fuel` and `/fuel/x`, but not `/fuels`.
    pub prefix: Option<String>,
    /// Headers that must be present with exactly these values.
    pub headers: BTreeMap<String, String>,
    /// The pool that the message is for.
    pub pool: Option<String>,
    /// Class of the message unless the client names one (`X-Priority-Class`).
    pub class: Option<String>,
    /// Further classes that a client may name.
    pub classes: Vec<String>,
    pub rewrite: Rewrite,
}

/// Changes made to the client's request before it is sent to the endpoint.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rewrite {
    /// Path of the request to the endpoint. `{name}` is replaced by the segment that it matched, `{rest}` by
    /// what follows the prefix. Default: the path of the client's request.
    pub path: Option<String>,
    /// Headers of the client's request that are forwarded.
    pub pass: Vec<String>,
    /// Headers that are added, with their values.
    pub set: BTreeMap<String, String>,
}

impl Default for Rewrite {
    fn default() -> Self {
        Rewrite { path: None, pass: vec!["Content-Type".to_owned()], set: BTreeMap::new() }
    }
}

/// An MQTT topic filter, and the pool and class that matching messages go to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Topic {
    /// Topic filter, such as `fuel/+/pay` or `fuel/#`.
    pub filter: Option<String>,
    /// The pool that the message is for.
    pub pool: Option<String>,
    /// Class of the message.
    pub class: Option<String>,
    /// Value that identifies a message and is the same in each repeat. Required unless the class is
    /// `repeatable`.
    pub identity: Option<Pick>,
    /// Whether the identity is unique for each client or for all clients.
    pub identity_scope: IdentityScope,
    /// Key sent to the receivers (`Idempotency-Key`). Default: the identity.
    pub key: Option<Pick>,
    /// Time limit for delivery, in milliseconds. The shortest of this value, the message expiry interval and
    /// the deadline of the class applies.
    pub time_out: Option<Pick>,
    /// How the message becomes a request. The path is the topic unless set; in it, `{1}` is replaced by what
    /// the first `+` matched and `{rest}` by what `#` matched. Names in `pass` and `set` are also names of
    /// user properties.
    pub rewrite: Rewrite,
}

/// Source of a value in a message: exactly one of these keys.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pick {
    /// Name of a user property (MQTT 5.0 only).
    pub property: Option<String>,
    /// Level of the topic, counted from 1.
    pub level: Option<usize>,
    /// JSON Pointer (RFC 6901) to a field of a JSON payload, such as `/payment/id`.
    pub pointer: Option<String>,
}

/// Scope in which an identity is unique.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum IdentityScope {
    /// One client: the same identity from another client is another message.
    #[default]
    Client,
    /// All MQTT clients, and HTTP clients, whose identity is `X-Request-ID`.
    All,
}

/// Handling of clients' will messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Wills {
    /// Accepts and delivers will messages like any other message.
    #[default]
    Deliver,
    /// Refuses a CONNECT that contains a will message.
    Refuse,
}

/// `[mqtt]`: limits for MQTT clients. A change needs a restart.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Mqtt {
    /// File with a line `user:hash` for each user, as written by `stairshed mqtt-password`. Relative to the
    /// folder of this file. Without it, clients connect without authentication.
    pub users: Option<PathBuf>,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of sessions, connected or not.
    pub sessions: usize,
    /// Maximum session expiry interval.
    pub session_expiry: Span,
    /// Maximum keep alive. For MQTT 5.0 clients it also applies if they request none.
    pub keep_alive: Span,
    /// Receive maximum: number of unacknowledged PUBLISH packets of one client.
    pub receive_maximum: u16,
    /// Maximum number of topic aliases for each connection.
    pub topic_aliases: u16,
    /// Maximum number of outcomes queued for one client. Any beyond it are not sent to the client.
    pub outcomes: usize,
    /// Whether clients' will messages are delivered or refused.
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

/// `[limits]`: limits on messages, calls and connections, and timing of pools and endpoints.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of messages held, in flight or waiting.
    pub held: usize,
    /// Maximum number of calls in flight.
    pub calls: usize,
    /// Maximum number of delivery attempts for a message.
    pub attempts: u32,
    /// Maximum number of connections, from clients and to endpoints together.
    pub connections: usize,
    /// Maximum total size of bodies that are being read or checked for acceptance, for all clients together.
    pub bodies: Size,
    /// Number of couriers that share the pools' limits, including this one.
    pub couriers: usize,
    /// Time limit for establishing a connection to an endpoint.
    pub connect_timeout: Span,
    /// Time after which endpoints close idle connections; the courier keeps none idle for longer.
    pub keepalive: Span,
    /// Slow start after an outage: minimum share of its capacity that a pool has, rising to all of it after
    /// `cold_span`.
    pub cold_from: f64,
    /// Duration of slow start after an outage.
    pub cold_span: Span,
    /// A pool in slow start fails if it is sent more than this multiple of its current capacity.
    pub fall_multiple: f64,
    /// How long messages of one order value (`order_by`) wait after an attempt that may still be running.
    pub order_pause: Span,
    /// How long messages of a pool that a configuration version removed wait for the pool to return.
    pub pool_wait: Span,
    /// Maximum number of ended messages that are remembered or whose outcome a client has not yet received.
    /// At this limit, new messages that would have to be remembered are refused.
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

/// `[memory]`: caps on the memory of the courier, in total and for each purpose. Configured caps must be
/// consistent with the total and with each other. A purpose without a configured cap gets its default share
/// of the total, or no cap if there is no total.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Maximum memory of the process. Default: the limit that the process was started with (RLIMIT_AS), less
    /// the size of the program's own mappings; no limit if there is none.
    pub total: Option<Size>,
    /// Maximum share of a purpose's cap that one client (an address, or a user) may use while the
    /// purpose is tight. Up to this share, a client may use whatever no other client requests.
    pub client_share: f64,
    /// Networks of proxies that each forward many clients, such as `["10.2.0.0/16"]`. Their connections count
    /// towards the cap, but `client_share` does not apply to them.
    pub proxies: Option<Vec<String>>,
    /// Header in which a proxy names the client of a request. Ignored in requests that do not come from a
    /// proxy.
    pub client_header: Option<String>,
    /// Counts MQTT clients by their user, if `mqtt.users` verifies it, instead of their address.
    pub by_user: bool,
    /// Bodies being read or checked for acceptance. Default: `limits.bodies`, at most 12.5 % of the total.
    pub bodies_read: Option<Portion>,
    /// Bodies of accepted messages, until the messages have ended. Default: 28 %.
    pub bodies_held: Option<Portion>,
    /// Heads, ids and table rows of accepted messages. Default: 15 %.
    pub messages: Option<Portion>,
    /// Connections of clients. Default: 10 %.
    pub clients: Option<Portion>,
    /// Connections to endpoints. Default: 8 %.
    pub endpoints: Option<Portion>,
    /// MQTT sessions, and outcomes that their clients have not read. Default: 8 %.
    pub sessions: Option<Portion>,
    /// Ids of messages that have ended. Default: 4.5 %.
    pub remembered: Option<Portion>,
    /// Buffers of the journal. Default: 4 %.
    pub journal: Option<Portion>,
    /// Records of endpoints and destinations in the scheduler. Default: 3.5 %.
    pub module: Option<Portion>,
    /// Names and configuration. Default: 4 %.
    pub configuration: Option<Portion>,
    /// Outcome notices that wait for their receiver. Default: 2.5 %.
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
    /// The configured cap of each purpose, if any.
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

/// Destination of outcome notices for messages that were accepted but not delivered. If no key is set, they
/// are appended to `outcomes.ndjson` in the state folder.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Outcomes {
    /// URL that notices are POSTed to as newline-delimited JSON until it answers 2xx:
    /// `http://address:port/path`.
    pub url: Option<String>,
    /// File that notices are appended to as newline-delimited JSON. Relative to the state folder.
    pub file: Option<PathBuf>,
}

/// `[journal]`: size and durability of the journal of accepted messages.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    /// When a record counts as durable: once it survives the end of the process (`process`), or once it
    /// survives a power failure (`machine`).
    #[schemars(with = "String", extend("enum" = ["process", "machine"]))]
    pub durability: Durability,
    /// Maximum total size of the journal's files. Default: 1 GB, or the platform's `disk_mb`.
    pub room: Option<Size>,
    /// Size of a segment. Default: a share of `room`.
    pub segment: Option<Size>,
    /// Reserves disk space for the records that accepted messages may still need.
    pub set_aside: bool,
    /// Bytes reserved in each attempt's record for the names of the endpoint and its zone.
    pub names: u64,
    /// Maximum share of `room` for live messages and all records that they may still need: above 0, at most
    /// 0.9.
    pub live_share: f64,
    /// What to do at startup if a part of the journal cannot be read: `salvage` or `stop`.
    #[schemars(with = "String", extend("enum" = ["salvage", "stop"]))]
    pub on_damage: OnDamage,
}

impl Default for Journal {
    fn default() -> Self {
        let defaults = Options::new(0);
        Journal {
            durability: defaults.durability,
            room: None,
            segment: None,
            set_aside: defaults.preallocate,
            names: defaults.reserved_name_bytes,
            live_share: defaults.max_live_fraction,
            on_damage: defaults.on_damage,
        }
    }
}

impl Journal {
    /// The journal's options. `room`, in bytes, applies if the file sets none; `attempts` is the limit per
    /// message.
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

/// `[control]`: connection to the control service.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// URL of the control service: `http://address:port/path`.
    pub url: Option<String>,
    /// Maximum size of a configuration version.
    pub version_most: Size,
    /// How long startup waits for the first version if there is no last good version and the file has no
    /// pools.
    pub first_wait: Span,
    /// Maximum time between empty lines from the service. The connection is closed after twice this time of
    /// silence.
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

/// `[discovery]`: connection to the discovery service.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// `address:port` of the discovery service.
    pub address: Option<String>,
}

/// `[dns]`: resolution of endpoints' host names.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Dns {
    /// `address:port` of the resolver. Default: the first name server in /etc/resolv.conf.
    pub resolver: Option<String>,
    /// A name is resolved again when the TTL of its answer ends, but no sooner than this and no later than
    /// `refresh_most`.
    pub refresh_least: Span,
    /// Maximum time until a name is resolved again.
    pub refresh_most: Span,
}

impl Default for Dns {
    fn default() -> Self {
        Dns { resolver: None, refresh_least: Span::secs(1), refresh_most: Span::secs(300) }
    }
}
