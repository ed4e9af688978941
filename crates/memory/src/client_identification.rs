//! Whose share something counts against: which client is behind a connection, a request or an MQTT session.

use crate::ledger::Client;
use ipnet::IpNet;
use std::net::IpAddr;

/// A name in a header is no longer than this, bytes: it is kept for as long as the client holds something.
const MAX_NAME_BYTES: usize = 128;

/// How clients are told apart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientIdentification {
    /// Networks of proxies, each of which carries many clients.
    pub proxies: Vec<IpNet>,
    /// The header, in lower case, in which a proxy names the client of a request.
    pub header: Option<String>,
    /// MQTT clients count by their user alone, not each with its client id.
    pub by_user: bool,
}

impl ClientIdentification {
    /// Whether an address is a proxy's, whose word is taken for whom it carries.
    pub fn is_trusted_proxy(&self, from: IpAddr) -> bool {
        let from = from.to_canonical();
        self.proxies.iter().any(|net| net.contains(&from))
    }

    /// Who a connection counts for; None for a proxy's, which is nobody's share but keeps to the cap.
    pub fn for_connection(&self, from: IpAddr) -> Option<Client> {
        (!self.is_trusted_proxy(from)).then(|| Client::at(from))
    }

    /// Who a request counts for, by the values of [`Telling::header`] in it. A proxy that names nobody, or several,
    /// or in words that are no name, counts for itself; whoever is no proxy cannot name another.
    pub fn for_request<'a>(&self, from: IpAddr, mut named: impl Iterator<Item = &'a [u8]>) -> Client {
        let one = named.next().filter(|_| self.header.is_some() && self.is_trusted_proxy(from));
        let name = one.filter(|_| named.next().is_none()).and_then(|name| std::str::from_utf8(name).ok());
        let fit = |name: &&str| {
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
        };
        match name.map(str::trim).filter(fit) {
            Some(name) => Client::Name(format!("client {name}").into()),
            None => Client::at(from),
        }
    }

    /// Who an MQTT session counts for: `owner` is its USER/CLIENT. Users count by their names up to a slash.
    pub fn for_session(&self, owner: &str) -> Client {
        match owner.split_once('/').filter(|_| self.by_user) {
            Some((user, _)) => Client::Name(format!("user {user}").into()),
            None => Client::Name(owner.into()),
        }
    }
}

#[cfg(test)]
#[path = "client_identification_test.rs"]
mod tests;
