//! The Fair-EDF occupancy chart: whether the held messages of a destination can all meet their deadlines.

use crate::interface::MessageId;
use crate::time::Ns;
use std::collections::BTreeSet;

/// The occupancy chart of one destination: the held messages by deadline, and the busy segments that they
/// form when each starts as late as possible.
#[derive(Default)]
pub(crate) struct OccupancyChart {
    pub(crate) held: BTreeSet<(Ns, MessageId)>,
    pub(crate) segments: Vec<(Ns, Ns)>,
    pub(crate) service_time: Ns,
    /// The segments don't match the held messages and are rebuilt on next use.
    pub(crate) stale: bool,
}

impl OccupancyChart {
    pub(crate) fn add(&mut self, due: Ns, id: MessageId) {
        self.held.insert((due, id));
        if !self.stale {
            self.place(due);
        }
    }

    /// Adds an interval for `due`: between segments [due - service_time, due], merged with the one before
    /// where they touch; inside a segment, its start moves earlier by service_time. Merges cascade.
    fn place(&mut self, due: Ns) {
        let service_time = self.service_time;
        let mut at = self.segments.partition_point(|s| s.1 < due);
        match self.segments.get_mut(at) {
            Some(s) if s.0 <= due => s.0 -= service_time,
            _ => self.segments.insert(at, (due - service_time, due)),
        }
        while at > 0 && self.segments[at - 1].1 >= self.segments[at].0 {
            let (left, right) = self.segments.remove(at);
            at -= 1;
            let before = &mut self.segments[at];
            *before = (before.0 - (before.1 - left), right);
        }
    }

    /// Removes a message; earlier ones of its segment then start later. Returns whether it was on the chart.
    pub(crate) fn remove(&mut self, due: Ns, id: MessageId) -> bool {
        let held = self.held.remove(&(due, id));
        self.stale |= held;
        held
    }

    pub(crate) fn resize(&mut self, service_time: Ns) {
        self.stale |= std::mem::replace(&mut self.service_time, service_time) != service_time;
    }

    /// Start of the first segment. Rebuilds the segments if they are stale.
    pub(crate) fn start(&mut self) -> Option<Ns> {
        if std::mem::take(&mut self.stale) {
            self.segments.clear();
            let held = std::mem::take(&mut self.held);
            held.iter().for_each(|(due, _)| self.place(*due));
            self.held = held;
        }
        self.segments.first().map(|s| s.0)
    }

    /// If the first segment starts before `now`: its messages up to the first whose deadline cannot be met.
    pub(crate) fn overdue(&mut self, now: Ns) -> Option<Vec<MessageId>> {
        self.start().filter(|start| *start < now)?;
        let unmet = |(n, h): (usize, &(Ns, _))| now + self.service_time * (n as Ns + 1) > h.0;
        let n = self.held.iter().enumerate().position(unmet)?;
        Some(self.held.iter().take(n + 1).map(|h| h.1).collect())
    }
}
