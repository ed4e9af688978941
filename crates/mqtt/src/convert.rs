//! Conversion between this crate's packets and those of `rmqtt-codec`, which has separate types for each
//! version.

use crate::error::ConnectionError;
use crate::packet::{
    Ack, Connack, Connect, Disconnect, Packet, Properties, Publish, Qos, Subscribe, Version, Will, code,
};
use bytes::Bytes;
use bytestring::ByteString;
use rmqtt_codec::error::DecodeError;
use rmqtt_codec::types::Publish as CodecPublish;
use rmqtt_codec::{v3, v5};
use std::num::{NonZeroU16, NonZeroU32};

type PacketResult = Result<Packet, ConnectionError>;

/// Maps a decoding error to the reason code and reason string sent to the peer.
pub fn decode_error(e: &DecodeError) -> ConnectionError {
    let code = match e {
        DecodeError::InvalidClientId => code::CLIENT_ID_NOT_VALID,
        DecodeError::UnsupportedProtocolLevel => code::UNSUPPORTED_VERSION,
        _ => code::MALFORMED_PACKET,
    };
    let reason = match e {
        DecodeError::InvalidClientId => "no client id, and no clean session",
        DecodeError::Utf8Error => "a string that is no UTF-8",
        DecodeError::InvalidTopicName => "an empty topic",
        DecodeError::InvalidTopicFilter => "no topic filter",
        _ => "a packet that cannot be read",
    };
    ConnectionError { code, reason }
}

/// Copies a string; fails if it contains U+0000, which no string may contain [MQTT-1.5.4-2].
fn checked_string(text: &ByteString) -> Result<String, ConnectionError> {
    match text.contains('\0') {
        true => Err(ConnectionError::malformed("a string with U+0000")),
        false => Ok(text.to_string()),
    }
}

fn optional_string(of: Option<&ByteString>) -> Result<Option<String>, ConnectionError> {
    of.map(checked_string).transpose()
}

fn properties(of: &v5::UserProperties) -> Result<Properties, ConnectionError> {
    of.iter().map(|(name, value)| Ok((checked_string(name)?, checked_string(value)?))).collect()
}

fn to_properties(of: Properties) -> v5::UserProperties {
    of.into_iter().map(|(name, value)| (name.into(), value.into())).collect()
}

/// Copies the payload, because the buffer it was read into may be much longer.
fn copy_payload(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

fn packet_id(id: u16) -> Result<NonZeroU16, ConnectionError> {
    NonZeroU16::new(id).ok_or(ConnectionError::protocol("packet id 0"))
}

fn publish(p: &CodecPublish) -> PacketResult {
    let of = p.properties.as_ref();
    let properties = of.map(|o| properties(&o.user_properties)).transpose()?.unwrap_or_default();
    if of.is_some_and(|o| !o.subscription_ids.is_empty()) {
        return Err(ConnectionError::protocol("a subscription identifier in a PUBLISH to a server"));
    }
    Ok(Packet::Publish(Box::new(Publish {
        dup: p.dup,
        qos: p.qos,
        retain: p.retain,
        topic: checked_string(&p.topic)?,
        id: p.packet_id.map(NonZeroU16::get),
        payload: copy_payload(&p.payload),
        expiry: of.and_then(|o| o.message_expiry_interval).map(NonZeroU32::get),
        alias: of.and_then(|o| o.topic_alias).map(NonZeroU16::get),
        utf8: of.is_some_and(|o| o.is_utf8_payload),
        properties,
    })))
}

pub fn from_v3(packet: v3::Packet) -> PacketResult {
    let ack = |id: NonZeroU16| Ack::new(id.get(), code::SUCCESS);
    Ok(match packet {
        v3::Packet::Connect(c) => {
            let will = c.last_will.as_ref().map(|w| {
                Ok(Will {
                    topic: checked_string(&w.topic)?,
                    payload: copy_payload(&w.message),
                    qos: w.qos,
                    retain: w.retain,
                    delay: 0,
                    expiry: None,
                    utf8: false,
                    properties: Properties::new(),
                })
            });
            Packet::Connect(Box::new(Connect {
                version: Version::V311,
                client: checked_string(&c.client_id)?,
                clean: c.clean_session,
                keep_alive: c.keep_alive,
                expiry: if c.clean_session { 0 } else { u32::MAX },
                user: optional_string(c.username.as_ref())?,
                password: c.password.as_ref().map(copy_payload),
                will: will.transpose()?,
                receive_maximum: u16::MAX,
                max_packet_size: None,
                auth_method: None,
                request_problem_info: false,
            }))
        }
        v3::Packet::ConnectAck(c) => {
            let session_present = c.session_present;
            Packet::Connack(Box::new(Connack { session_present, ..Connack::new(c.return_code.into()) }))
        }
        v3::Packet::Publish(p) => publish(&p)?,
        v3::Packet::PublishAck { packet_id } => Packet::Puback(ack(packet_id)),
        v3::Packet::PublishReceived { packet_id } => Packet::Pubrec(ack(packet_id)),
        v3::Packet::PublishRelease { packet_id } => Packet::Pubrel(ack(packet_id)),
        v3::Packet::PublishComplete { packet_id } => Packet::Pubcomp(ack(packet_id)),
        v3::Packet::Subscribe { packet_id, topic_filters } => Packet::Subscribe(Subscribe {
            id: packet_id.get(),
            has_subscription_id: false,
            filters: topic_filters
                .iter()
                .map(|(f, q)| Ok((checked_string(f)?, *q)))
                .collect::<Result<_, _>>()?,
        }),
        v3::Packet::SubscribeAck { packet_id, status } => {
            let of = |s: &v3::SubscribeReturnCode| match s {
                v3::SubscribeReturnCode::Success(qos) => qos.value(),
                v3::SubscribeReturnCode::Failure => code::SUBACK_FAILURE,
            };
            Packet::Suback { id: packet_id.get(), codes: status.iter().map(of).collect(), reason: None }
        }
        v3::Packet::Unsubscribe { packet_id, topic_filters } => {
            let filters = topic_filters.iter().map(checked_string).collect::<Result<_, _>>()?;
            Packet::Unsubscribe { id: packet_id.get(), filters }
        }
        v3::Packet::UnsubscribeAck { packet_id } => {
            Packet::Unsuback { id: packet_id.get(), codes: Vec::new() }
        }
        v3::Packet::PingRequest => Packet::Pingreq,
        v3::Packet::PingResponse => Packet::Pingresp,
        v3::Packet::Disconnect => Packet::Disconnect(Disconnect::new(code::SUCCESS)),
    })
}

/// Conversion functions in both directions for an acknowledgement type. The codec has one type for PUBACK and
/// PUBREC and another for PUBREL and PUBCOMP; they differ in the reason codes they may carry.
macro_rules! acknowledgement {
    ($of:ident, $to:ident, $type:ident) => {
        fn $of(p: &v5::$type) -> Result<Ack, ConnectionError> {
            Ok(Ack {
                id: p.packet_id.get(),
                code: p.reason_code.into(),
                reason: optional_string(p.reason_string.as_ref())?,
                properties: properties(&p.properties)?,
            })
        }

        fn $to(a: Ack) -> Result<v5::$type, ConnectionError> {
            Ok(v5::$type {
                packet_id: packet_id(a.id)?,
                reason_code: reason_code(a.code)?,
                properties: to_properties(a.properties),
                reason_string: a.reason.map(Into::into),
            })
        }
    };
}

acknowledgement!(ack_of, to_ack, PublishAck);
acknowledgement!(ack2_of, to_ack2, PublishAck2);

fn connect(c: &v5::Connect) -> Result<Connect, ConnectionError> {
    let will = c.last_will.as_ref().map(|w| {
        Ok(Will {
            topic: checked_string(&w.topic)?,
            payload: copy_payload(&w.message),
            qos: w.qos,
            retain: w.retain,
            delay: w.will_delay_interval_sec.unwrap_or_default(),
            expiry: w.message_expiry_interval.map(NonZeroU32::get),
            utf8: w.is_utf8_payload.unwrap_or_default(),
            properties: properties(&w.user_properties)?,
        })
    });
    Ok(Connect {
        version: Version::V5,
        client: checked_string(&c.client_id)?,
        clean: c.clean_start,
        keep_alive: c.keep_alive,
        expiry: c.session_expiry_interval_secs,
        user: optional_string(c.username.as_ref())?,
        password: c.password.as_ref().map(copy_payload),
        will: will.transpose()?,
        receive_maximum: c.receive_max.map_or(u16::MAX, NonZeroU16::get),
        max_packet_size: c.max_packet_size.map(NonZeroU32::get),
        auth_method: optional_string(c.auth_method.as_ref())?,
        request_problem_info: c.request_problem_info,
    })
}

pub fn from_v5(packet: v5::Packet) -> PacketResult {
    Ok(match packet {
        v5::Packet::Connect(c) => Packet::Connect(Box::new(connect(&c)?)),
        v5::Packet::ConnectAck(c) => Packet::Connack(Box::new(Connack {
            session_present: c.session_present,
            code: c.reason_code.into(),
            client: optional_string(c.assigned_client_id.as_ref())?,
            expiry: c.session_expiry_interval_secs,
            receive_maximum: c.receive_max.get(),
            max_qos: c.max_qos,
            max_packet_size: c.max_packet_size,
            topic_alias_max: c.topic_alias_max,
            keep_alive: c.server_keepalive_sec,
            optional_features: c.retain_available,
            reference: optional_string(c.server_reference.as_ref())?,
            reason: optional_string(c.reason_string.as_ref())?,
            properties: properties(&c.user_properties)?,
        })),
        v5::Packet::Publish(p) => publish(&p)?,
        v5::Packet::PublishAck(p) => Packet::Puback(ack_of(&p)?),
        v5::Packet::PublishReceived(p) => Packet::Pubrec(ack_of(&p)?),
        v5::Packet::PublishRelease(p) => Packet::Pubrel(ack2_of(&p)?),
        v5::Packet::PublishComplete(p) => Packet::Pubcomp(ack2_of(&p)?),
        v5::Packet::Subscribe(s) => Packet::Subscribe(Subscribe {
            id: s.packet_id.get(),
            has_subscription_id: s.id.is_some(),
            filters: s
                .topic_filters
                .iter()
                .map(|(f, o)| Ok((checked_string(f)?, o.qos)))
                .collect::<Result<_, _>>()?,
        }),
        v5::Packet::SubscribeAck(s) => Packet::Suback {
            id: s.packet_id.get(),
            codes: s.status.iter().map(|c| u8::from(*c)).collect(),
            reason: optional_string(s.reason_string.as_ref())?,
        },
        v5::Packet::Unsubscribe(u) => {
            let filters = u.topic_filters.iter().map(checked_string).collect::<Result<_, _>>()?;
            Packet::Unsubscribe { id: u.packet_id.get(), filters }
        }
        v5::Packet::UnsubscribeAck(u) => {
            let codes = u.status.iter().map(|c| u8::from(*c)).collect();
            Packet::Unsuback { id: u.packet_id.get(), codes }
        }
        v5::Packet::PingRequest => Packet::Pingreq,
        v5::Packet::PingResponse => Packet::Pingresp,
        v5::Packet::Disconnect(d) => Packet::Disconnect(Disconnect {
            code: d.reason_code.into(),
            expiry: d.session_expiry_interval_secs,
            reference: optional_string(d.server_reference.as_ref())?,
            reason: optional_string(d.reason_string.as_ref())?,
            properties: properties(&d.user_properties)?,
        }),
        v5::Packet::Auth(_) => Packet::Auth,
    })
}

/// Removes the reason string and the user properties, which are optional.
pub fn without_optional_properties(packet: Packet) -> Packet {
    let ack = |a: Ack| Ack { reason: None, properties: Properties::new(), ..a };
    match packet {
        Packet::Puback(a) => Packet::Puback(ack(a)),
        Packet::Pubrec(a) => Packet::Pubrec(ack(a)),
        Packet::Pubrel(a) => Packet::Pubrel(ack(a)),
        Packet::Pubcomp(a) => Packet::Pubcomp(ack(a)),
        Packet::Connack(c) => {
            Packet::Connack(Box::new(Connack { reason: None, properties: Properties::new(), ..*c }))
        }
        Packet::Suback { id, codes, .. } => Packet::Suback { id, codes, reason: None },
        Packet::Disconnect(d) => {
            Packet::Disconnect(Disconnect { reason: None, properties: Properties::new(), ..d })
        }
        other => other,
    }
}

fn to_publish(p: Publish, version: Version) -> Result<Box<CodecPublish>, ConnectionError> {
    let of = v5::PublishProperties {
        topic_alias: p.alias.and_then(NonZeroU16::new),
        message_expiry_interval: p.expiry.and_then(NonZeroU32::new),
        user_properties: to_properties(p.properties),
        is_utf8_payload: p.utf8,
        ..v5::PublishProperties::default()
    };
    Ok(Box::new(CodecPublish {
        dup: p.dup,
        retain: p.retain,
        qos: p.qos,
        topic: p.topic.into(),
        packet_id: p.id.map(packet_id).transpose()?,
        payload: p.payload,
        properties: (version == Version::V5).then_some(of),
    }))
}

pub fn to_v3(packet: Packet) -> Result<v3::Packet, ConnectionError> {
    Ok(match packet {
        Packet::Connect(c) => {
            let will = c.will.map(|w| v3::LastWill {
                qos: w.qos,
                retain: w.retain,
                topic: w.topic.into(),
                message: w.payload,
            });
            v3::Packet::Connect(Box::new(v3::Connect {
                clean_session: c.clean,
                keep_alive: c.keep_alive,
                last_will: will,
                client_id: c.client.into(),
                username: c.user.map(Into::into),
                password: c.password,
                ..v3::Connect::default()
            }))
        }
        Packet::Connack(c) => {
            let code = v3::ConnectAckReason::try_from(c.code);
            let return_code = code.map_err(|_| ConnectionError::protocol("no return code of 3.1.1"))?;
            v3::Packet::ConnectAck(v3::ConnectAck { return_code, session_present: c.session_present })
        }
        Packet::Publish(p) => v3::Packet::Publish(to_publish(*p, Version::V311)?),
        Packet::Puback(a) => v3::Packet::PublishAck { packet_id: packet_id(a.id)? },
        Packet::Pubrec(a) => v3::Packet::PublishReceived { packet_id: packet_id(a.id)? },
        Packet::Pubrel(a) => v3::Packet::PublishRelease { packet_id: packet_id(a.id)? },
        Packet::Pubcomp(a) => v3::Packet::PublishComplete { packet_id: packet_id(a.id)? },
        Packet::Subscribe(s) => v3::Packet::Subscribe {
            packet_id: packet_id(s.id)?,
            topic_filters: s.filters.into_iter().map(|(f, q)| (f.into(), q)).collect(),
        },
        Packet::Suback { id: of, codes, .. } => {
            let status = |code: u8| match Qos::try_from(code) {
                Ok(qos) => v3::SubscribeReturnCode::Success(qos),
                Err(_) => v3::SubscribeReturnCode::Failure,
            };
            let status = codes.into_iter().map(status).collect();
            v3::Packet::SubscribeAck { packet_id: packet_id(of)?, status }
        }
        Packet::Unsubscribe { id: of, filters } => v3::Packet::Unsubscribe {
            packet_id: packet_id(of)?,
            topic_filters: filters.into_iter().map(Into::into).collect(),
        },
        Packet::Unsuback { id: of, .. } => v3::Packet::UnsubscribeAck { packet_id: packet_id(of)? },
        Packet::Pingreq => v3::Packet::PingRequest,
        Packet::Pingresp => v3::Packet::PingResponse,
        Packet::Disconnect(_) => v3::Packet::Disconnect,
        Packet::Auth => return Err(ConnectionError::protocol("AUTH in 3.1.1")),
    })
}

/// Converts a reason code; fails if this packet type may not carry it.
fn reason_code<T: TryFrom<u8>>(code: u8) -> Result<T, ConnectionError> {
    T::try_from(code).map_err(|_| ConnectionError::protocol("no reason code of this packet"))
}

pub fn to_v5(packet: Packet) -> Result<v5::Packet, ConnectionError> {
    Ok(match packet {
        Packet::Connect(c) => {
            let will = c.will.map(|w| v5::LastWill {
                qos: w.qos,
                retain: w.retain,
                topic: w.topic.into(),
                message: w.payload,
                will_delay_interval_sec: (w.delay > 0).then_some(w.delay),
                correlation_data: None,
                message_expiry_interval: w.expiry.and_then(NonZeroU32::new),
                content_type: None,
                user_properties: to_properties(w.properties),
                is_utf8_payload: w.utf8.then_some(true),
                response_topic: None,
            });
            v5::Packet::Connect(Box::new(v5::Connect {
                clean_start: c.clean,
                keep_alive: c.keep_alive,
                session_expiry_interval_secs: c.expiry,
                auth_method: c.auth_method.map(Into::into),
                request_problem_info: c.request_problem_info,
                receive_max: NonZeroU16::new(c.receive_maximum).filter(|m| m.get() < u16::MAX),
                max_packet_size: c.max_packet_size.and_then(NonZeroU32::new),
                last_will: will,
                client_id: c.client.into(),
                username: c.user.map(Into::into),
                password: c.password,
                ..v5::Connect::default()
            }))
        }
        Packet::Connack(c) => v5::Packet::ConnectAck(Box::new(v5::ConnectAck {
            session_present: c.session_present,
            reason_code: reason_code(c.code)?,
            session_expiry_interval_secs: c.expiry,
            receive_max: NonZeroU16::new(c.receive_maximum).unwrap_or(NonZeroU16::MAX),
            max_qos: c.max_qos,
            max_packet_size: c.max_packet_size,
            assigned_client_id: c.client.map(Into::into),
            topic_alias_max: c.topic_alias_max,
            retain_available: c.optional_features,
            wildcard_subscription_available: c.optional_features,
            subscription_identifiers_available: c.optional_features,
            shared_subscription_available: c.optional_features,
            server_keepalive_sec: c.keep_alive,
            server_reference: c.reference.map(Into::into),
            reason_string: c.reason.map(Into::into),
            user_properties: to_properties(c.properties),
            ..v5::ConnectAck::default()
        })),
        Packet::Publish(p) => v5::Packet::Publish(to_publish(*p, Version::V5)?),
        Packet::Puback(a) => v5::Packet::PublishAck(to_ack(a)?),
        Packet::Pubrec(a) => v5::Packet::PublishReceived(to_ack(a)?),
        Packet::Pubrel(a) => v5::Packet::PublishRelease(to_ack2(a)?),
        Packet::Pubcomp(a) => v5::Packet::PublishComplete(to_ack2(a)?),
        Packet::Subscribe(s) => {
            let of = |qos| v5::SubscriptionOptions { qos, ..v5::SubscriptionOptions::default() };
            v5::Packet::Subscribe(v5::Subscribe {
                packet_id: packet_id(s.id)?,
                id: NonZeroU32::new(u32::from(s.has_subscription_id)),
                user_properties: Vec::new(),
                topic_filters: s.filters.into_iter().map(|(f, q)| (f.into(), of(q))).collect(),
            })
        }
        Packet::Suback { id: of, codes, reason } => v5::Packet::SubscribeAck(v5::SubscribeAck {
            packet_id: packet_id(of)?,
            properties: Vec::new(),
            reason_string: reason.map(Into::into),
            status: codes.into_iter().map(reason_code).collect::<Result<_, _>>()?,
        }),
        Packet::Unsubscribe { id: of, filters } => v5::Packet::Unsubscribe(v5::Unsubscribe {
            packet_id: packet_id(of)?,
            user_properties: Vec::new(),
            topic_filters: filters.into_iter().map(Into::into).collect(),
        }),
        Packet::Unsuback { id: of, codes } => v5::Packet::UnsubscribeAck(v5::UnsubscribeAck {
            packet_id: packet_id(of)?,
            properties: Vec::new(),
            reason_string: None,
            status: codes.into_iter().map(reason_code).collect::<Result<_, _>>()?,
        }),
        Packet::Pingreq => v5::Packet::PingRequest,
        Packet::Pingresp => v5::Packet::PingResponse,
        Packet::Disconnect(d) => v5::Packet::Disconnect(v5::Disconnect {
            reason_code: reason_code(d.code)?,
            session_expiry_interval_secs: d.expiry,
            server_reference: d.reference.map(Into::into),
            reason_string: d.reason.map(Into::into),
            user_properties: to_properties(d.properties),
        }),
        Packet::Auth => {
            return Err(ConnectionError {
                code: code::BAD_AUTHENTICATION_METHOD,
                reason: "no AUTH is ever sent",
            });
        }
    })
}
