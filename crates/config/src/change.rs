//! What a new configuration changes among the endpoints: so that one that stays is not touched, and one that
//! returns is the same.

use crate::installation::{Installation, Member, Pool};
use std::collections::HashMap;

/// A member of a pool that is new, other than before, or gone.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    pub destination: u64,
    pub member: Member,
    /// Calls a second, its own or the pool's; None where none is stated.
    pub limit: Option<f64>,
    pub gone: bool,
}

fn changed(pool: &Pool, member: &Member, gone: bool) -> Changed {
    let limit = member.limit.or(pool.limit).map(|l| l.0);
    Changed { destination: pool.destination, member: member.clone(), limit, gone }
}

/// What differs from `before` (nothing, at the start) to `after`: what is gone first.
pub fn changes(before: Option<&Installation>, after: &Installation) -> Vec<Changed> {
    let all = |i: &Installation| -> HashMap<String, Changed> {
        let pools = i.pools.iter().flat_map(|p| p.members.iter().map(move |m| changed(p, m, false)));
        pools.map(|c| (c.member.host.clone(), c)).collect()
    };
    let (mut old, new) = (before.map(all).unwrap_or_default(), all(after));
    let mut changes = Vec::new();
    for (host, now) in new {
        if old.remove(&host).as_ref() != Some(&now) {
            changes.push(now);
        }
    }
    let gone = old.into_values().map(|c| Changed { gone: true, ..c });
    let mut all: Vec<Changed> = gone.chain(changes).collect();
    all.sort_by(|a, b| (b.gone, &a.member.host).cmp(&(a.gone, &b.member.host)));
    all
}

/// Destinations that are there no more, and those that are.
pub fn destinations(before: Option<&Installation>, after: &Installation) -> (Vec<u64>, Vec<u64>) {
    let now: Vec<u64> = after.pools.iter().map(|p| p.destination).collect();
    let old = before.into_iter().flat_map(|b| &b.pools).map(|p| p.destination);
    (old.filter(|d| !now.contains(d)).collect(), now)
}

#[cfg(test)]
#[path = "change_test.rs"]
mod tests;
