//! The identity of a session on an MQTT broker.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A session on a broker. A broker keeps one session for each client identifier, with the packet ids that are in
/// use in it, and has one connection for it at most [MQTT-3.1.4-3]. So this process has one connection for each,
/// whichever and however many endpoints use it, and a packet id means something only together with its session.
///
/// As text it is `ADDRESS/CLIENT`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BrokerSession {
    pub address: SocketAddr,
    /// Client identifier.
    pub client: String,
}

impl fmt::Display for BrokerSession {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.client)
    }
}

/// The text does not name a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidBrokerSession;

impl FromStr for BrokerSession {
    type Err = InvalidBrokerSession;

    fn from_str(text: &str) -> Result<Self, InvalidBrokerSession> {
        let (address, client) = text.split_once('/').ok_or(InvalidBrokerSession)?;
        let address = address.parse().map_err(|_| InvalidBrokerSession)?;
        Ok(BrokerSession { address, client: client.to_owned() })
    }
}

#[cfg(test)]
#[path = "broker_session_test.rs"]
mod tests;
