//! Which names of endpoints are to be looked up, and what they stand for. A state machine without a socket or
//! a clock: a failed look-up keeps the last good answer, which is never thrown away while the name is used.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// After a failure: the first pause, doubled up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(500);
const RETRY_MOST: Duration = Duration::from_secs(30);

/// Times are since an origin of the caller's.
#[derive(Debug)]
pub struct DnsCache {
    least: Duration,
    most: Duration,
    names: BTreeMap<String, Name>,
}

#[derive(Debug, Default)]
struct Name {
    /// When it is asked for next; None while it is.
    due: Option<Duration>,
    addresses: BTreeSet<IpAddr>,
    answered: Option<Duration>,
    failures: u32,
}

/// What a look-up changed.
#[derive(Debug, PartialEq, Eq)]
pub struct AddressChange {
    pub name: String,
    pub added: Vec<IpAddr>,
    pub removed: Vec<IpAddr>,
}

/// A look-up that failed: the first time in a row it is worth a line in the log.
#[derive(Debug, PartialEq, Eq)]
pub struct LookupFailure {
    pub first: bool,
    /// Age of the answer that still holds; None if there never was one.
    pub age: Option<Duration>,
}

impl DnsCache {
    /// Answers are asked for again after their time to live, no sooner than `least` and no later than `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        DnsCache { least, most, names: BTreeMap::new() }
    }

    /// The names that are used from now on. What is known of the others is dropped; theirs is returned.
    pub fn set(&mut self, names: &BTreeSet<String>, now: Duration) -> Vec<AddressChange> {
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
            self.names.entry(name.clone()).or_insert_with(|| Name { due: Some(now), ..Name::default() });
        }
        dropped
    }

    /// DnsCache to be asked for now. Each is out until it is answered or has failed.
    pub fn due(&mut self, now: Duration) -> Vec<String> {
        let due = self.names.iter_mut().filter(|(_, e)| e.due.is_some_and(|at| at <= now));
        due.map(|(name, entry)| {
            entry.due = None;
            name.clone()
        })
        .collect()
    }

    /// When one is due next.
    pub fn next(&self) -> Option<Duration> {
        self.names.values().filter_map(|e| e.due).min()
    }

    /// What a name stands for, as far as it is known.
    pub fn addresses(&self, name: &str) -> Vec<IpAddr> {
        self.names.get(name).map(|e| e.addresses.iter().copied().collect()).unwrap_or_default()
    }

    /// An answer came.
    pub fn answered(
        &mut self,
        name: &str,
        addresses: &[IpAddr],
        ttl: Duration,
        now: Duration,
    ) -> Option<AddressChange> {
        let entry = self.names.get_mut(name)?;
        entry.due = Some(now + ttl.clamp(self.least, self.most));
        (entry.answered, entry.failures) = (Some(now), 0);
        let new: BTreeSet<IpAddr> = addresses.iter().copied().collect();
        let added: Vec<IpAddr> = new.difference(&entry.addresses).copied().collect();
        let removed: Vec<IpAddr> = entry.addresses.difference(&new).copied().collect();
        entry.addresses = new;
        let changed = !added.is_empty() || !removed.is_empty();
        changed.then(|| AddressChange { name: name.to_owned(), added, removed })
    }

    /// No answer came, or one that tells nothing.
    pub fn failed(&mut self, name: &str, now: Duration) -> Option<LookupFailure> {
        let entry = self.names.get_mut(name)?;
        entry.due = Some(now + (RETRY_FIRST * (1 << entry.failures.min(10))).min(RETRY_MOST));
        entry.failures += 1;
        let age = entry.answered.map(|at| now.saturating_sub(at));
        Some(LookupFailure { first: entry.failures == 1, age })
    }
}

#[cfg(test)]
#[path = "dns_cache_test.rs"]
mod tests;
