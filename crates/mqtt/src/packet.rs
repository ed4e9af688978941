//! One vocabulary for the packets of both versions. What 3.1.1 has not stands empty there.

use bytes::Bytes;

pub use rmqtt_codec::types::QoS as Qos;

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Version {
    /// 3.1.1, protocol level 4.
    V311,
    /// 5.0, protocol level 5.
    V5,
}

/// Reason codes of version 5 (section 2.4). The reason, where it is not the name, is in `docs/mqtt.md`.
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
    /// A SUBACK's only failure in 3.1.1.
    pub const SUBACK_FAILURE: u8 = 0x80;
}

/// Names and values in the order in which they came; a name may come twice.
pub type Properties = Vec<(String, String)>;

/// The value of a user property, if it is there once: two would be read differently by different readers.
pub fn property<'a>(properties: &'a Properties, name: &str) -> Option<&'a str> {
    let mut of = properties.iter().filter(|(n, _)| n == name).map(|(_, value)| value.as_str());
    of.next().filter(|_| of.next().is_none())
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connect {
    pub version: Version,
    pub client: String,
    /// Clean Start, or Clean Session.
    pub clean: bool,
    /// Seconds; 0 for none.
    pub keep_alive: u16,
    /// Seconds for which the session outlives its connection; `u32::MAX` for good. In 3.1.1: 0 for a clean
    /// session, else for good.
    pub expiry: u32,
    pub user: Option<String>,
    pub password: Option<Bytes>,
    pub will: Option<Will>,
    pub receive_maximum: u16,
    pub max_packet_size: Option<u32>,
    /// The authentication method, where the client wants an exchange of AUTH packets.
    pub auth_method: Option<String>,
    /// Reason strings and user properties may be sent to it in any packet.
    pub request_problem_info: bool,
}

impl Connect {
    /// One without anything special.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Will {
    pub topic: String,
    pub payload: Bytes,
    pub qos: Qos,
    pub retain: bool,
    /// Seconds between the end of the connection and the will.
    pub delay: u32,
    /// Message Expiry Interval, seconds.
    pub expiry: Option<u32>,
    /// The payload says that it is UTF-8.
    pub utf8: bool,
    pub properties: Properties,
}

impl Will {
    /// One without anything special.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connack {
    pub session_present: bool,
    /// In 3.1.1 its return code, 0 to 5.
    pub code: u8,
    /// The id that the server gave a client without one.
    pub client: Option<String>,
    /// What the server takes for Session Expiry Interval, where it differs.
    pub expiry: Option<u32>,
    pub receive_maximum: u16,
    pub max_qos: Qos,
    pub max_packet_size: Option<u32>,
    pub topic_alias_max: u16,
    pub keep_alive: Option<u16>,
    /// Of Retain, wildcard subscriptions, subscription identifiers and shared subscriptions: all, or none.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publish {
    pub dup: bool,
    pub qos: Qos,
    pub retain: bool,
    /// Empty where an alias stands for it.
    pub topic: String,
    /// None at QoS 0.
    pub id: Option<u16>,
    pub payload: Bytes,
    /// Message Expiry Interval, seconds.
    pub expiry: Option<u32>,
    pub alias: Option<u16>,
    /// The payload says that it is UTF-8.
    pub utf8: bool,
    pub properties: Properties,
}

impl Publish {
    /// One without anything special.
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
    /// Success in 3.1.1.
    pub code: u8,
    pub reason: Option<String>,
    pub properties: Properties,
}

impl Ack {
    pub fn new(id: u16, code: u8) -> Self {
        Ack { id, code, reason: None, properties: Properties::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    pub id: u16,
    /// It has a subscription identifier.
    pub has_subscription_id: bool,
    pub filters: Vec<(String, Qos)>,
}

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
