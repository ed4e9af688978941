//! Differences between the endpoints of two configurations, so that unchanged endpoints keep their state and
//! an endpoint that returns keeps its identity.

use crate::installation::{Installation, Pool, PoolMember};
use std::collections::HashMap;

/// A pool member that was added, changed or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    pub destination: u64,
    pub member: PoolMember,
    /// Limit in calls per second, of the member or else of its pool; None if neither is set.
    pub limit: Option<f64>,
    pub removed: bool,
}

fn changed(pool: &Pool, member: &PoolMember, removed: bool) -> MemberChange {
    let limit = member.limit.or(pool.limit).map(|l| l.0);
    MemberChange { destination: pool.destination, member: member.clone(), limit, removed }
}

/// Changes from `before` (None at startup) to `after`; removed members come first.
pub fn member_changes(before: Option<&Installation>, after: &Installation) -> Vec<MemberChange> {
    let all = |i: &Installation| -> HashMap<String, MemberChange> {
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
    let removed = old.into_values().map(|c| MemberChange { removed: true, ..c });
    let mut all: Vec<MemberChange> = removed.chain(changes).collect();
    all.sort_by(|a, b| (b.removed, &a.member.host).cmp(&(a.removed, &b.member.host)));
    all
}

/// The destinations that were removed, and all current destinations.
pub fn removed_and_current_destinations(
    before: Option<&Installation>,
    after: &Installation,
) -> (Vec<u64>, Vec<u64>) {
    let now: Vec<u64> = after.pools.iter().map(|p| p.destination).collect();
    let old = before.into_iter().flat_map(|b| &b.pools).map(|p| p.destination);
    (old.filter(|d| !now.contains(d)).collect(), now)
}

#[cfg(test)]
#[path = "change_test.rs"]
mod tests;
