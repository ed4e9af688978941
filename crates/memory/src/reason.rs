//! Why something new is not taken for want of room, as one word: the list of all that a client can be told.

use crate::purpose::Purpose;
use std::fmt;

/// What `X-Reason` says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// `memory-PURPOSE`: the purpose is at its cap.
    Memory(Purpose),
    /// `share-PURPOSE`: the purpose is tight, and this client has its share of it.
    Share(Purpose),
    /// `memory-total`: the process holds as much as it may.
    Total,
    /// `connections`: as many clients are connected as may be.
    Connections,
}

impl Reason {
    /// All of them, in the order of the operator's page.
    pub fn all() -> impl Iterator<Item = Reason> {
        let of = |make: fn(Purpose) -> Reason| Purpose::ALL.into_iter().map(make);
        of(Reason::Memory).chain(of(Reason::Share)).chain([Reason::Total, Reason::Connections])
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reason::Memory(purpose) => write!(f, "memory-{purpose}"),
            Reason::Share(purpose) => write!(f, "share-{purpose}"),
            Reason::Total => f.write_str("memory-total"),
            Reason::Connections => f.write_str("connections"),
        }
    }
}
