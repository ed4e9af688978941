//! Identifies the client behind a connection, a request or an MQTT session, for per-client shares.

use crate::ledger::Client;
use ipnet::IpNet;
use std::net::IpAddr;

/// Maximum length of a client name in a header: it is stored for as long as the client holds memory.
const MAX_NAME_BYTES: usize = 128;

/// Rules that identify clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientIdentification {
    /// Networks of trusted proxies, each of which forwards requests of many clients.
    pub proxies: Vec<IpNet>,
    /// Name of the header, in lower case, in which a trusted proxy names the client of a request.
    pub header: Option<String>,
    /// Counts MQTT clients by their verified user instead of their address.
    pub by_user: bool,
}

impl ClientIdentification {
    /// Whether the address belongs to a trusted proxy, whose client header is believed.
    pub fn is_trusted_proxy(&self, from: IpAddr) -> bool {
        let from = from.to_canonical();
        self.proxies.iter().any(|net| net.contains(&from))
    }

    /// The client that a connection counts for. None for a trusted proxy: its connections count against the
    /// cap but against no client's share.
    pub fn for_connection(&self, from: IpAddr) -> Option<Client> {
        (!self.is_trusted_proxy(from)).then(|| Client::at(from))
    }

    /// The client that a request counts for, from the values of its [`ClientIdentification::header`] field. A
    /// trusted proxy that does not send exactly one valid name counts as the client itself; other senders
    /// cannot name a client.
    pub fn for_request<'a>(&self, from: IpAddr, mut named: impl Iterator<Item = &'a [u8]>) -> Client {
        let value = named.next().filter(|_| self.header.is_some() && self.is_trusted_proxy(from));
        let name = value.filter(|_| named.next().is_none()).and_then(|name| std::str::from_utf8(name).ok());
        let is_valid = |name: &&str| {
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
        };
        match name.map(str::trim).filter(is_valid) {
            Some(name) => Client::Name(format!("client {name}").into()),
            None => Client::at(from),
        }
    }

    /// The client that an MQTT session counts for: with `by_user` the user, if its password was checked, else the
    /// address. Client ids and other users are names that a client can change at will. None as in
    /// [`ClientIdentification::for_connection`].
    pub fn for_session(&self, from: IpAddr, verified_user: Option<&str>) -> Option<Client> {
        match verified_user.filter(|_| self.by_user) {
            Some(user) => Some(Client::Name(format!("user {user}").into())),
            None => self.for_connection(from),
        }
    }
}

#[cfg(test)]
#[path = "client_identification_test.rs"]
mod tests;
