//! When couriers could not write their state folders.

use std::time::{Duration, Instant};

/// A courier whose folder failed tries again after this time (`docs/operating-faults.md`). Until then it has written
/// nothing, though the folder works again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time for that try itself.
const RETRY_TIME: Duration = Duration::from_millis(100);

/// Faults of state folders, as they begin and end.
#[derive(Default)]
pub struct FolderOutages(Vec<FolderOutage>);

struct FolderOutage {
    fault: usize,
    couriers: Vec<usize>,
    since: Instant,
    until: Option<Instant>,
}

impl FolderOutages {
    /// Notes that this fault of the plan begins to fail the writes of these couriers.
    pub fn begin(&mut self, fault: usize, couriers: Vec<usize>, at: Instant) {
        self.0.push(FolderOutage { fault, couriers, since: at, until: None });
    }

    /// Notes the end of a fault, if it is one of a folder.
    pub fn end(&mut self, fault: usize, at: Instant) {
        let active = self.0.iter_mut().filter(|outage| outage.fault == fault && outage.until.is_none());
        active.for_each(|outage| outage.until = Some(at));
    }

    /// Since when a courier may have written nothing, at this time; None if it could write.
    pub fn failed_since(&self, courier: usize, at: Instant) -> Option<Instant> {
        let of_courier = self.0.iter().filter(|outage| outage.couriers.contains(&courier));
        of_courier.filter(|outage| outage.may_last_at(at)).map(|outage| outage.since).min()
    }
}

impl FolderOutage {
    fn may_last_at(&self, at: Instant) -> bool {
        self.until.is_none_or(|until| at < until + RETRY_PAUSE + RETRY_TIME)
    }
}

#[cfg(test)]
#[path = "folder_outages_test.rs"]
mod tests;
