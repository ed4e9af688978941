//! Which notices may be posted. A notice names the id of its message alone, so that of a message that bounced must
//! not arrive once the message was submitted again and accepted under the same id: it would end the new one.

use crate::upstream::outcomes::Notice;
use std::cell::RefCell;
use std::collections::HashSet;

/// The notices that are being posted, and those that must not be. Shared by the dispatcher and the posts.
#[derive(Default)]
pub struct NoticeHolds {
    sets: RefCell<Sets>,
}

/// Numbers of messages.
#[derive(Default)]
struct Sets {
    /// Their notices are being written, and may have arrived.
    in_flight: HashSet<u64>,
    /// They were submitted again, and it is not decided yet whether they are accepted.
    held: HashSet<u64>,
    /// They were accepted again.
    withdrawn: HashSet<u64>,
}

impl NoticeHolds {
    /// Holds the notice of a message back. Returns false if it is being posted.
    pub fn hold(&self, message: u64) -> bool {
        let mut sets = self.sets.borrow_mut();
        !sets.in_flight.contains(&message) && sets.held.insert(message)
    }

    /// Lets a notice that was held back be posted after all.
    pub fn release(&self, message: u64) {
        self.sets.borrow_mut().held.remove(&message);
    }

    /// Takes a notice back that was held back. One in a batch is left out of it with its next try.
    pub fn withdraw(&self, message: u64, is_in_batch: bool) {
        let mut sets = self.sets.borrow_mut();
        sets.held.remove(&message);
        if is_in_batch {
            sets.withdrawn.insert(message);
        }
    }

    /// Forgets a message whose notice was acknowledged.
    pub fn forget(&self, message: u64) {
        let mut sets = self.sets.borrow_mut();
        sets.held.remove(&message);
        sets.withdrawn.remove(&message);
    }

    /// Removes withdrawn notices from a batch, and puts those that are held back at its end. Returns the number of
    /// those before them.
    pub fn sort_batch(&self, batch: &mut Vec<Notice>) -> usize {
        let mut sets = self.sets.borrow_mut();
        batch.retain(|notice| !sets.withdrawn.remove(&notice.message));
        batch.sort_by_key(|notice| sets.held.contains(&notice.message));
        batch.partition_point(|notice| !sets.held.contains(&notice.message))
    }

    /// Notes that these notices are being posted.
    pub fn begin(&self, notices: &[Notice]) {
        self.sets.borrow_mut().in_flight.extend(notices.iter().map(|notice| notice.message));
    }

    /// Notes that this is over, whether or not they have arrived.
    pub fn end(&self, notices: &[Notice]) {
        let mut sets = self.sets.borrow_mut();
        for notice in notices {
            sets.in_flight.remove(&notice.message);
        }
    }
}

#[cfg(test)]
#[path = "notice_holds_test.rs"]
mod tests;
