//! Endpoints of a configuration, as a list tells them.

use crate::events::{Health, ListedEndpoint};
use stairshed_config::change::Changed;
use stairshed_config::installation::{At, OWN, SHARED};

/// Names of the kinds of endpoint, in the order of their numbers.
pub fn endpoint_kinds() -> Vec<String> {
    let mut kinds = vec![String::new(); 2];
    kinds[SHARED] = "shared".to_owned();
    kinds[OWN] = "own".to_owned();
    kinds
}

/// What a configuration changes, as a list tells it, and the limits that it states. Names come from look-ups.
pub fn changed_hosts(changes: &[Changed]) -> (Vec<ListedEndpoint>, Vec<(String, f64)>) {
    let (kinds, mut hosts, mut limits) = (endpoint_kinds(), Vec::new(), Vec::new());
    for change in changes {
        let At::Address(address) = change.member.at else { continue };
        hosts.push(ListedEndpoint {
            host: change.member.host.clone(),
            dial: address.to_string(),
            site: change.member.zone.clone(),
            class: kinds[if change.member.limit.is_some() { OWN } else { SHARED }].clone(),
            block: change.destination,
            health: if change.gone { Health::Gone } else { Health::Ready },
            share: change.limit.unwrap_or_default(),
            topic: change.member.topic.clone(),
            leased: false,
        });
        limits.extend(change.limit.filter(|_| !change.gone).map(|l| (change.member.host.clone(), l)));
    }
    (hosts, limits)
}
