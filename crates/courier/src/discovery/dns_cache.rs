//! Cache of DNS lookups and schedule of the next ones, without sockets or a clock. A failed lookup keeps the
//! last addresses, which are never dropped while the name is in use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// Pause after the first failed lookup; it doubles with each further failure.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Upper bound of the pause after failed lookups.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// Addresses by name, and when to look each up again. Times are relative to an origin that the caller
/// chooses.
#[derive(Debug)]
pub struct DnsCache {
    min_refresh: Duration,
    max_refresh: Duration,
    names: BTreeMap<String, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// When the next lookup is due; None while one is in flight.
    due: Option<Duration>,
    addresses: BTreeSet<IpAddr>,
    last_answer: Option<Duration>,
    failures: u32,
}

/// Addresses of a name that were added and removed.
#[derive(Debug, PartialEq, Eq)]
pub struct AddressChange {
    pub name: String,
    pub added: Vec<IpAddr>,
    pub removed: Vec<IpAddr>,
}

/// A failed lookup. The first of consecutive failures is logged.
#[derive(Debug, PartialEq, Eq)]
pub struct LookupFailure {
    pub first: bool,
    /// Age of the addresses that stay in use; None if no lookup has succeeded yet.
    pub age: Option<Duration>,
}

impl DnsCache {
    /// Creates an empty cache. Names are looked up again after their time to live, limited to `min_refresh`
    /// to `max_refresh`.
    pub fn new(min_refresh: Duration, max_refresh: Duration) -> Self {
        DnsCache { min_refresh, max_refresh, names: BTreeMap::new() }
    }

    /// Sets the names in use. Other names are dropped, and their addresses returned as removed.
    pub fn set_names(&mut self, names: &BTreeSet<String>, now: Duration) -> Vec<AddressChange> {
        let mut dropped = Vec::new();
        self.names.retain(|name, entry| {
            let kept = names.contains(name);
            if !kept {
                let removed = entry.addresses.iter().copied().collect();
                dropped.push(AddressChange { name: name.clone(), added: Vec::new(), removed });
            }
            kept
        });
        for name in names {
            self.names.entry(name.clone()).or_insert_with(|| Entry { due: Some(now), ..Entry::default() });
        }
        dropped
    }

    /// Returns the names to look up now. Each is in flight until `answered` or `failed` is called for it.
    pub fn take_due(&mut self, now: Duration) -> Vec<String> {
        let due = self.names.iter_mut().filter(|(_, e)| e.due.is_some_and(|at| at <= now));
        due.map(|(name, entry)| {
            entry.due = None;
            name.clone()
        })
        .collect()
    }

    /// When the next lookup is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.names.values().filter_map(|e| e.due).min()
    }

    /// Addresses of a name; empty if unknown.
    pub fn addresses(&self, name: &str) -> Vec<IpAddr> {
        self.names.get(name).map(|e| e.addresses.iter().copied().collect()).unwrap_or_default()
    }

    /// Stores the addresses of a successful lookup. Returns what changed, or None if nothing did.
    pub fn answered(
        &mut self,
        name: &str,
        addresses: &[IpAddr],
        ttl: Duration,
        now: Duration,
    ) -> Option<AddressChange> {
        let entry = self.names.get_mut(name)?;
        entry.due = Some(now + ttl.clamp(self.min_refresh, self.max_refresh));
        (entry.last_answer, entry.failures) = (Some(now), 0);
        let new: BTreeSet<IpAddr> = addresses.iter().copied().collect();
        let added: Vec<IpAddr> = new.difference(&entry.addresses).copied().collect();
        let removed: Vec<IpAddr> = entry.addresses.difference(&new).copied().collect();
        entry.addresses = new;
        let changed = !added.is_empty() || !removed.is_empty();
        changed.then(|| AddressChange { name: name.to_owned(), added, removed })
    }

    /// Records a failed lookup and schedules the retry. Returns None if the name is no longer in use.
    pub fn failed(&mut self, name: &str, now: Duration) -> Option<LookupFailure> {
        let entry = self.names.get_mut(name)?;
        entry.due = Some(now + (INITIAL_RETRY_PAUSE * (1 << entry.failures.min(10))).min(MAX_RETRY_PAUSE));
        entry.failures += 1;
        let age = entry.last_answer.map(|at| now.saturating_sub(at));
        Some(LookupFailure { first: entry.failures == 1, age })
    }
}

#[cfg(test)]
#[path = "dns_cache_test.rs"]
mod tests;
