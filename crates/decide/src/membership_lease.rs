//! The lease on the list of endpoints: until when it may be acted on without another word from discovery.
//!
//! A courier that has lost touch with discovery cannot tell an endpoint that still serves from one that drains. The
//! lease runs from the latest moment at which the list is known to have been current, and only such a moment renews
//! it. While it has run out, messages are held and no attempt begins.

use crate::time::{NEVER, Ns, ns};
use std::time::Duration;

/// The state of the lease. Without a term it never runs out: the list is the configuration's own.
pub(crate) struct MembershipLease {
    term: Option<Ns>,
    expires_at: Ns,
}

impl MembershipLease {
    /// One that has run out already, if there is a term: nothing is known of the list's age yet.
    pub(crate) fn new(term: Option<Duration>) -> Self {
        MembershipLease { term: term.map(ns), expires_at: Ns::MIN }
    }

    /// Another term from now on; what was granted stays granted.
    pub(crate) fn set_term(&mut self, term: Option<Duration>) {
        self.term = term.map(ns);
    }

    /// The list was current at `as_of`. An older moment than the latest changes nothing.
    pub(crate) fn renew(&mut self, as_of: Ns) {
        if let Some(term) = self.term {
            self.expires_at = self.expires_at.max(as_of.saturating_add(term));
        }
    }

    /// It ends at `latest`, whatever was granted, until it is renewed.
    pub(crate) fn limit(&mut self, latest: Ns) {
        self.expires_at = self.expires_at.min(latest);
    }

    pub(crate) fn is_valid(&self, now: Ns) -> bool {
        now < self.expires_at()
    }

    /// [`NEVER`] without a term.
    pub(crate) fn expires_at(&self) -> Ns {
        if self.term.is_some() { self.expires_at } else { NEVER }
    }
}
