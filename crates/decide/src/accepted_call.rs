//! What follows a call that an endpoint processed.

use crate::interface::*;
use crate::scheduler::ALLOWANCE_GROW_ABOVE;
use crate::state::Scheduler;

impl Scheduler {
    /// Records that an endpoint accepted a call, whether it delivered or rejected the message: its limit group
    /// may take more, and the endpoint works.
    pub(crate) fn record_accepted_call(&mut self, id: EndpointId, report: Option<LimitReport>) {
        let left = report.map_or(ALLOWANCE_GROW_ABOVE, |r| r.remaining_share);
        let (now, group_id) = (self.now, self.limit_group_id(id));
        let group = self.limit_groups.get_mut(&group_id).expect("each endpoint has a limit group");
        group.record_accepted(now, &self.settings, left);
        self.record_success(id);
        self.space_next_call(id);
    }
}
