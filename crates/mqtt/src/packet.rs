//! Packet types shared by both versions. Fields that 3.1.1 does not have are empty there.

use bytes::Bytes;

pub use rmqtt_codec::types::QoS as Qos;

/// Protocol version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Version {
    /// 3.1.1, protocol level 4.
    V311,
    /// 5.0, protocol level 5.
    V5,
}

/// Reason codes of MQTT 5.0 (section 2.4). `docs/mqtt.md` explains when each one is used if its name does
/// not.
pub mod code {
    pub const SUCCESS: u8 = 0x00;
    pub const DISCONNECT_WITH_WILL: u8 = 0x04;
    pub const NO_SUBSCRIPTION_EXISTED: u8 = 0x11;
    pub const UNSPECIFIED_ERROR: u8 = 0x80;
    pub const MALFORMED_PACKET: u8 = 0x81;
    pub const PROTOCOL_ERROR: u8 = 0x82;
    pub const IMPLEMENTATION_SPECIFIC: u8 = 0x83;
    pub const UNSUPPORTED_VERSION: u8 = 0x84;
    pub const CLIENT_ID_NOT_VALID: u8 = 0x85;
    pub const BAD_USER_OR_PASSWORD: u8 = 0x86;
    pub const NOT_AUTHORIZED: u8 = 0x87;
    pub const SERVER_UNAVAILABLE: u8 = 0x88;
    pub const SERVER_BUSY: u8 = 0x89;
    pub const SERVER_SHUTTING_DOWN: u8 = 0x8B;
    pub const BAD_AUTHENTICATION_METHOD: u8 = 0x8C;
    pub const KEEP_ALIVE_TIMEOUT: u8 = 0x8D;
    pub const SESSION_TAKEN_OVER: u8 = 0x8E;
    pub const TOPIC_FILTER_INVALID: u8 = 0x8F;
    pub const TOPIC_NAME_INVALID: u8 = 0x90;
    pub const PACKET_ID_IN_USE: u8 = 0x91;
    pub const PACKET_ID_NOT_FOUND: u8 = 0x92;
    pub const RECEIVE_MAXIMUM_EXCEEDED: u8 = 0x93;
    pub const TOPIC_ALIAS_INVALID: u8 = 0x94;
    pub const PACKET_TOO_LARGE: u8 = 0x95;
    pub const QUOTA_EXCEEDED: u8 = 0x97;
    pub const PAYLOAD_FORMAT_INVALID: u8 = 0x99;
    pub const RETAIN_NOT_SUPPORTED: u8 = 0x9A;
    pub const USE_ANOTHER_SERVER: u8 = 0x9C;
    pub const SERVER_MOVED: u8 = 0x9D;
    pub const SHARED_NOT_SUPPORTED: u8 = 0x9E;
    pub const SUBSCRIPTION_IDS_NOT_SUPPORTED: u8 = 0xA1;
    pub const WILDCARDS_NOT_SUPPORTED: u8 = 0xA2;
    /// The only failure code of a SUBACK in 3.1.1.
    pub const SUBACK_FAILURE: u8 = 0x80;
}

/// User properties in the order received; a name may occur more than once.
pub type Properties = Vec<(String, String)>;

/// Value of a user property that occurs exactly once. Duplicates are ignored, because receivers would
/// disagree about which one counts.
pub fn property<'a>(properties: &'a Properties, name: &str) -> Option<&'a str> {
    let mut of = properties.iter().filter(|(n, _)| n == name).map(|(_, value)| value.as_str());
    of.next().filter(|_| of.next().is_none())
}

/// CONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connect {
    pub version: Version,
    pub client: String,
    /// Clean Start in 5.0, Clean Session in 3.1.1.
    pub clean: bool,
    /// Keep alive in seconds; 0 disables it.
    pub keep_alive: u16,
    /// Session Expiry Interval in seconds; `u32::MAX` means that the session does not expire. In 3.1.1: 0 for
    /// a clean session, else `u32::MAX`.
    pub expiry: u32,
    pub user: Option<String>,
    pub password: Option<Bytes>,
    pub will: Option<Will>,
    pub receive_maximum: u16,
    pub max_packet_size: Option<u32>,
    /// Authentication method, if the client requests an exchange of AUTH packets.
    pub auth_method: Option<String>,
    /// Request Problem Information: reason strings and user properties may be sent in any packet.
    pub request_problem_info: bool,
}

impl Connect {
    /// Creates a CONNECT with default options.
    pub fn new(version: Version, client: &str) -> Self {
        Connect {
            version,
            client: client.to_owned(),
            clean: true,
            keep_alive: 0,
            expiry: 0,
            user: None,
            password: None,
            will: None,
            receive_maximum: u16::MAX,
            max_packet_size: None,
            auth_method: None,
            request_problem_info: true,
        }
    }
}

/// Will message of a CONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Will {
    pub topic: String,
    pub payload: Bytes,
    pub qos: Qos,
    pub retain: bool,
    /// Will Delay Interval in seconds.
    pub delay: u32,
    /// Message Expiry Interval in seconds.
    pub expiry: Option<u32>,
    /// Payload Format Indicator: the payload is UTF-8.
    pub utf8: bool,
    pub properties: Properties,
}

impl Will {
    /// Creates a will with default options.
    pub fn new(topic: &str, payload: Bytes) -> Self {
        Will {
            topic: topic.to_owned(),
            payload,
            qos: Qos::AtMostOnce,
            retain: false,
            delay: 0,
            expiry: None,
            utf8: false,
            properties: Properties::new(),
        }
    }
}

/// CONNACK.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connack {
    pub session_present: bool,
    /// Reason code; in 3.1.1 the return code, 0 to 5.
    pub code: u8,
    /// Assigned Client Identifier, if the client sent none.
    pub client: Option<String>,
    /// Session Expiry Interval that the server uses, if it differs from the requested one.
    pub expiry: Option<u32>,
    pub receive_maximum: u16,
    pub max_qos: Qos,
    pub max_packet_size: Option<u32>,
    pub topic_alias_max: u16,
    pub keep_alive: Option<u16>,
    /// Whether retained messages, wildcard subscriptions, subscription identifiers and shared subscriptions
    /// are available: either all of them or none.
    pub optional_features: bool,
    pub reference: Option<String>,
    pub reason: Option<String>,
    pub properties: Properties,
}

impl Connack {
    pub fn new(code: u8) -> Self {
        Connack {
            session_present: false,
            code,
            client: None,
            expiry: None,
            receive_maximum: u16::MAX,
            max_qos: Qos::ExactlyOnce,
            max_packet_size: None,
            topic_alias_max: 0,
            keep_alive: None,
            optional_features: true,
            reference: None,
            reason: None,
            properties: Properties::new(),
        }
    }
}

/// PUBLISH.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publish {
    pub dup: bool,
    pub qos: Qos,
    pub retain: bool,
    /// Empty if a topic alias is used instead.
    pub topic: String,
    /// Packet identifier; `None` at QoS 0.
    pub id: Option<u16>,
    pub payload: Bytes,
    /// Message Expiry Interval in seconds.
    pub expiry: Option<u32>,
    pub alias: Option<u16>,
    /// Payload Format Indicator: the payload is UTF-8.
    pub utf8: bool,
    pub properties: Properties,
}

impl Publish {
    /// Creates a PUBLISH with default options.
    pub fn new(topic: &str, qos: Qos, id: Option<u16>, payload: Bytes) -> Self {
        Publish {
            dup: false,
            qos,
            retain: false,
            topic: topic.to_owned(),
            id,
            payload,
            expiry: None,
            alias: None,
            utf8: false,
            properties: Properties::new(),
        }
    }
}

/// PUBACK, PUBREC, PUBREL or PUBCOMP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    pub id: u16,
    /// Reason code; always `SUCCESS` in 3.1.1.
    pub code: u8,
    pub reason: Option<String>,
    pub properties: Properties,
}

impl Ack {
    pub fn new(id: u16, code: u8) -> Self {
        Ack { id, code, reason: None, properties: Properties::new() }
    }
}

/// SUBSCRIBE.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    pub id: u16,
    /// Whether the packet carries a subscription identifier.
    pub has_subscription_id: bool,
    pub filters: Vec<(String, Qos)>,
}

/// DISCONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect {
    pub code: u8,
    pub expiry: Option<u32>,
    pub reference: Option<String>,
    pub reason: Option<String>,
    pub properties: Properties,
}

impl Disconnect {
    pub fn new(code: u8) -> Self {
        Disconnect { code, expiry: None, reference: None, reason: None, properties: Properties::new() }
    }
}

/// Control packet of either version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    Connect(Box<Connect>),
    Connack(Box<Connack>),
    Publish(Box<Publish>),
    Puback(Ack),
    Pubrec(Ack),
    Pubrel(Ack),
    Pubcomp(Ack),
    Subscribe(Subscribe),
    Suback { id: u16, codes: Vec<u8>, reason: Option<String> },
    Unsubscribe { id: u16, filters: Vec<String> },
    Unsuback { id: u16, codes: Vec<u8> },
    Pingreq,
    Pingresp,
    Disconnect(Disconnect),
    Auth,
}
