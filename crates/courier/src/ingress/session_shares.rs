//! How many MQTT sessions each client has created, so that one client with ever new client ids does not use up the
//! sessions of all. A client id is a name that anybody can choose, so a client is known by its address, or by its
//! verified user.

use stairshed_memory::{CLIENT_SHARE_THRESHOLD, Client};
use std::collections::HashMap;

/// The clients that sessions belong to.
#[derive(Default)]
pub struct SessionShares {
    /// By owner, the client that connected to the session last. Owners whose session has ended are removed once
    /// shares are checked.
    clients: HashMap<String, Client>,
}

impl SessionShares {
    /// Records that a client has connected to the session of an owner; None for a client that is not told apart.
    pub fn connected(&mut self, owner: &str, client: Option<Client>) {
        match client {
            Some(client) => drop(self.clients.insert(owner.to_owned(), client)),
            None => drop(self.clients.remove(owner)),
        }
    }

    /// The client of the session of an owner.
    pub fn client(&self, owner: &str) -> Option<Client> {
        self.clients.get(owner).cloned()
    }

    /// Whether a client may create one more session. `in_use` sessions are the share `used` of those that there may
    /// be, and one client may have `client_share` of them while they are scarce.
    pub fn may_create(&self, client: &Client, in_use: usize, used: f64, client_share: f64) -> bool {
        if used <= CLIENT_SHARE_THRESHOLD {
            return true;
        }
        let own = self.clients.values().filter(|other| *other == client).count();
        (own as f64) < in_use as f64 / used * client_share
    }

    /// Removes the owners that have no session any more.
    pub fn retain(&mut self, has_session: impl Fn(&str) -> bool) {
        self.clients.retain(|owner, _| has_session(owner));
        self.clients.shrink_to(2 * self.clients.len());
    }

    /// Number of owners that are known, some of whose sessions may have ended.
    pub fn len(&self) -> usize {
        self.clients.len()
    }
}

#[cfg(test)]
#[path = "session_shares_test.rs"]
mod tests;
