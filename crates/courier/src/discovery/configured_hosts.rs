//! Converts the endpoints of a configuration to entries of the endpoint list.

use crate::events::{Health, ListedEndpoint};
use stairshed_config::change::MemberChange;
use stairshed_config::installation::{MemberAddress, OWN_LIMIT_KIND, SHARED_LIMIT_KIND};

/// Names of the endpoint kinds, indexed by kind.
pub fn endpoint_kinds() -> Vec<String> {
    let mut kinds = vec![String::new(); 2];
    kinds[SHARED_LIMIT_KIND] = "shared".to_owned();
    kinds[OWN_LIMIT_KIND] = "own".to_owned();
    kinds
}

/// Returns the list entries that a configuration changes, and its limits by host. Endpoints given by a DNS
/// name are left out: the resolver reports them.
pub fn changed_hosts(changes: &[MemberChange]) -> (Vec<ListedEndpoint>, Vec<(String, f64)>) {
    let (kinds, mut hosts, mut limits) = (endpoint_kinds(), Vec::new(), Vec::new());
    for change in changes {
        let MemberAddress::Address(address) = change.member.address else { continue };
        hosts.push(ListedEndpoint {
            host: change.member.host.clone(),
            dial: address.to_string(),
            site: change.member.zone.clone(),
            class: kinds[if change.member.limit.is_some() { OWN_LIMIT_KIND } else { SHARED_LIMIT_KIND }]
                .clone(),
            block: change.destination,
            health: if change.removed { Health::Gone } else { Health::Ready },
            share: change.limit.unwrap_or_default(),
            topic: change.member.topic.clone(),
            leased: false,
        });
        limits.extend(change.limit.filter(|_| !change.removed).map(|l| (change.member.host.clone(), l)));
    }
    (hosts, limits)
}
