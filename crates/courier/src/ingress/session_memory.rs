//! Memory of MQTT sessions: that of the sessions as last measured, and reservations for the sessions of
//! connections that are being admitted. A measurement leaves the reservations as they are, so that both
//! together stay within the cap while a password is checked.

use stairshed_memory::{Charge, Ledger, Purpose, Refused, Reserve};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval between measurements that an admission asks for, since each visits all sessions.
pub const MIN_MEASUREMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Reservation for a session that does not exist yet.
struct PendingSession {
    reserve: Reserve,
    /// Connections of the owner that are being admitted; only one of them creates the session.
    connections: BTreeSet<u64>,
}

/// Accounts for the memory of sessions.
pub struct SessionMemory {
    ledger: Ledger,
    /// The sessions as last measured, plus those created since.
    sessions: Charge,
    measured_at: Instant,
    /// By owner.
    pending_sessions: HashMap<String, PendingSession>,
    /// By connection, the owner in `pending_sessions`.
    owners: HashMap<u64, String>,
}

impl SessionMemory {
    /// `restored_bytes` is the memory of sessions that exist already, whatever the cap.
    pub fn new(ledger: &Ledger, restored_bytes: u64) -> SessionMemory {
        SessionMemory {
            ledger: ledger.clone(),
            sessions: ledger.force_charge(Purpose::Sessions, restored_bytes),
            measured_at: Instant::now(),
            pending_sessions: HashMap::new(),
            owners: HashMap::new(),
        }
    }

    /// Sets the measured size of all sessions.
    pub fn set_measured(&mut self, bytes: u64) {
        self.sessions.resize(bytes);
        self.measured_at = Instant::now();
    }

    /// Whether a new measurement should precede a reservation of `bytes`: they do not fit, and sessions may
    /// have ended since the last measurement.
    pub fn should_measure(&self, bytes: u64) -> bool {
        let is_old = self.measured_at.elapsed() >= MIN_MEASUREMENT_INTERVAL;
        is_old && self.ledger.room(Purpose::Sessions) < bytes
    }

    /// Reserves `bytes` for the session of a connection. Connections of one owner share the largest of their
    /// reservations.
    ///
    /// # Errors
    /// The memory is refused; nothing is reserved.
    pub fn reserve(&mut self, connection: u64, owner: &str, bytes: u64) -> Result<(), Refused> {
        if let Some(pending) = self.pending_sessions.get_mut(owner) {
            let missing = bytes.saturating_sub(pending.reserve.bytes());
            if missing > 0 {
                pending.reserve.grow(missing)?;
            }
            pending.connections.insert(connection);
        } else {
            let reserve = self.ledger.reserve(Purpose::Sessions, bytes)?;
            let pending = PendingSession { reserve, connections: BTreeSet::from([connection]) };
            self.pending_sessions.insert(owner.to_owned(), pending);
        }
        self.owners.insert(connection, owner.to_owned());
        Ok(())
    }

    /// The session of an owner was created: its reservation counts as used from now on.
    pub fn session_created(&mut self, owner: &str) {
        let Some(pending) = self.pending_sessions.remove(owner) else { return };
        for connection in &pending.connections {
            self.owners.remove(connection);
        }
        let bytes = pending.reserve.bytes();
        drop(pending);
        self.sessions.resize(self.sessions.bytes() + bytes);
    }

    /// The admission of a connection has ended without a session. The reservation is released with the last
    /// connection of its owner.
    pub fn release(&mut self, connection: u64) {
        let Some(owner) = self.owners.remove(&connection) else { return };
        let Some(pending) = self.pending_sessions.get_mut(&owner) else { return };
        pending.connections.remove(&connection);
        if pending.connections.is_empty() {
            self.pending_sessions.remove(&owner);
        }
    }
}

#[cfg(test)]
#[path = "session_memory_test.rs"]
mod tests;
