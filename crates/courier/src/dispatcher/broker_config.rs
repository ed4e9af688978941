//! What a configuration says of an endpoint that is a broker: the session that it uses, and the settings of the
//! connection. Pure functions.

use crate::upstream::broker_connection::ConnectionSettings;
use crate::upstream::broker_session::BrokerSession;
use stairshed_config::Installation;
use stairshed_config::installation::{MemberAddress, Pool, PoolMember};
use stairshed_mqtt::Qos;
use std::net::SocketAddr;
use std::path::Path;

/// Name of a courier that the configuration gives none.
const DEFAULT_COURIER_NAME: &str = "stairshed";

/// How an endpoint that is a broker is used.
pub(super) struct BrokerSettings {
    pub(super) session: BrokerSession,
    pub(super) connection: ConnectionSettings,
    /// QoS of messages that may run again.
    pub(super) qos: Qos,
}

/// The pool of an endpoint, by the endpoint's permanent identifier `pool/name`.
fn pool_of<'a>(installation: &'a Installation, host: &str) -> Option<&'a Pool> {
    let (name, _) = host.split_once('/')?;
    installation.pools.iter().find(|pool| pool.name == name)
}

/// The client identifier with which an endpoint of a pool is connected to.
fn client_id(installation: &Installation, pool: &Pool, host: &str) -> String {
    let configured = pool.broker.as_ref().and_then(|broker| broker.client.clone());
    configured.unwrap_or_else(|| {
        let courier = installation.file.name.as_deref().unwrap_or(DEFAULT_COURIER_NAME);
        format!("{courier}/{host}")
    })
}

/// How the endpoint with this permanent identifier is used at this address. None if the configuration has no such
/// pool.
pub(super) fn broker_settings(
    installation: &Installation,
    config_folder: &Path,
    host: &str,
    address: SocketAddr,
) -> Option<BrokerSettings> {
    let pool = pool_of(installation, host)?;
    let session = BrokerSession { address, client: client_id(installation, pool, host) };
    let broker = pool.broker.clone().unwrap_or_default();
    let qos = if broker.qos == 2 { Qos::ExactlyOnce } else { Qos::AtLeastOnce };
    let connect_timeout = installation.settings.connect_timeout;
    let connection = ConnectionSettings { broker, connect_timeout, folder: config_folder.to_owned() };
    Some(BrokerSettings { session, connection, qos })
}

/// Whether an endpoint of the configuration uses this session, or could once its name is resolved.
pub(super) fn is_configured(installation: &Installation, session: &BrokerSession) -> bool {
    let members = installation.pools.iter().flat_map(|pool| pool.members.iter().map(move |m| (pool, m)));
    let mut brokers = members.filter(|(_, member)| member.topic.is_some());
    brokers.any(|(pool, member)| uses(installation, pool, member, session))
}

fn uses(installation: &Installation, pool: &Pool, member: &PoolMember, session: &BrokerSession) -> bool {
    let (host, is_at_address) = match &member.address {
        MemberAddress::Address(address) => (member.host.clone(), *address == session.address),
        // Each address of a name is an endpoint of its own.
        MemberAddress::Name(_, port) => {
            (format!("{}@{}", member.host, session.address.ip()), *port == session.address.port())
        }
    };
    is_at_address && client_id(installation, pool, &host) == session.client
}
