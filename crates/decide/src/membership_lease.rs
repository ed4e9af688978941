//! The lease on the endpoint list: until when the list may be used without further contact with discovery.
//!
//! A courier that has lost contact with discovery cannot distinguish a serving endpoint from a draining one.
//! The lease runs from the latest time at which the list is known to have been current, and only a later such
//! time renews it. While it has expired, messages are held and no attempt begins.

use crate::time::{NEVER, Ns, ns};
use std::time::Duration;

/// The lease. Without a duration it never expires: the list then comes from the configuration.
pub(crate) struct MembershipLease {
    duration: Option<Ns>,
    expires_at: Ns,
}

impl MembershipLease {
    /// An expired lease, or without a duration a permanent one: the list's age is not known yet.
    pub(crate) fn new(duration: Option<Duration>) -> Self {
        MembershipLease { duration: duration.map(ns), expires_at: Ns::MIN }
    }

    /// Sets the duration of later renewals; the current expiry stays.
    pub(crate) fn set_duration(&mut self, duration: Option<Duration>) {
        self.duration = duration.map(ns);
    }

    /// Renews the lease from `as_of`, when the list was current. Never shortens it.
    pub(crate) fn renew(&mut self, as_of: Ns) {
        if let Some(duration) = self.duration {
            self.expires_at = self.expires_at.max(as_of.saturating_add(duration));
        }
    }

    /// Brings the expiry forward to `latest`; a renewal may extend it again.
    pub(crate) fn shorten_to(&mut self, latest: Ns) {
        self.expires_at = self.expires_at.min(latest);
    }

    pub(crate) fn is_valid(&self, now: Ns) -> bool {
        now < self.expires_at()
    }

    /// When it expires; [`NEVER`] without a duration.
    pub(crate) fn expires_at(&self) -> Ns {
        if self.duration.is_some() { self.expires_at } else { NEVER }
    }
}
