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
mod tests {
    use super::*;
    use crate::installation::load;

    fn installation(endpoints: &str) -> Installation {
        load("test", &format!("[pools.p]\nendpoints = [{endpoints}]\n")).expect("sound")
    }

    #[test]
    fn only_what_differs_is_told() {
        let a = "{ address = \"127.0.0.1:1\" }";
        let before = installation(&format!("{a}, {{ address = \"127.0.0.1:2\" }}"));
        let after = installation(&format!("{{ address = \"127.0.0.1:3\" }}, {a}"));
        let told: Vec<_> =
            changes(Some(&before), &after).into_iter().map(|c| (c.member.host, c.gone)).collect();
        assert_eq!(told, [("p/127.0.0.1:2".to_owned(), true), ("p/127.0.0.1:3".to_owned(), false)]);
        assert_eq!(changes(Some(&after), &after), []);
        assert_eq!(changes(None, &after).len(), 2);
    }

    #[test]
    fn another_limit_or_address_under_the_same_name_is_a_change() {
        let before = installation("{ name = \"a\", address = \"127.0.0.1:1\" }");
        for after in [
            "{ name = \"a\", address = \"127.0.0.1:2\" }",
            "{ name = \"a\", address = \"127.0.0.1:1\", limit = \"5/s\" }",
        ] {
            let told = changes(Some(&before), &installation(after));
            assert_eq!(told.len(), 1);
            assert!(!told[0].gone);
        }
    }
}
