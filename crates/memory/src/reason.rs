//! Machine-readable reasons for rejecting new work for lack of memory or connections.

use crate::purpose::Purpose;
use std::fmt;

/// The value of the `X-Reason` header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// `memory-PURPOSE`: the purpose is at its cap.
    Memory(Purpose),
    /// `share-PURPOSE`: the purpose is tight, and this client has used up its share.
    Share(Purpose),
    /// `memory-total`: the process has reached its memory limit.
    Total,
    /// `connections`: the maximum number of client connections is open.
    Connections,
}

impl Reason {
    /// All reasons, in the order of the operator's documentation.
    pub fn all() -> impl Iterator<Item = Reason> {
        let by_purpose = |make: fn(Purpose) -> Reason| Purpose::ALL.into_iter().map(make);
        by_purpose(Reason::Memory)
            .chain(by_purpose(Reason::Share))
            .chain([Reason::Total, Reason::Connections])
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
