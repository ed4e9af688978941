//! The profiles of answers by destination, kept up to date as configurations change. A response is judged by
//! the profile that holds when it is classified.

use stairshed_config::installation::Pool;
use stairshed_decide::interface::DestinationId;
use stairshed_health::answers::AnswerProfile;
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

/// The profiles of an installation's pools; the platform's profile for any other destination until pools are
/// set, then the default profile.
pub struct AnswerProfiles {
    by_destination: RefCell<HashMap<DestinationId, Arc<AnswerProfile>>>,
    other: RefCell<Arc<AnswerProfile>>,
}

impl AnswerProfiles {
    /// The platform's profile for every destination.
    pub fn platform() -> Self {
        let other = RefCell::new(Arc::new(AnswerProfile::platform()));
        AnswerProfiles { by_destination: RefCell::default(), other }
    }

    /// Sets the profiles of these pools. A destination that is not among them keeps its profile for calls
    /// that are in flight, until [`AnswerProfiles::remove`].
    pub fn set_pools(&self, pools: &[Pool]) {
        let profiles = pools.iter().map(|pool| (DestinationId(pool.destination), pool.answers.clone()));
        self.by_destination.borrow_mut().extend(profiles);
        self.other.replace(Arc::new(AnswerProfile::default()));
    }

    /// Drops the profile of a destination that is gone.
    pub fn remove(&self, destination: DestinationId) {
        self.by_destination.borrow_mut().remove(&destination);
    }

    /// The profile that holds now for responses of a destination; None stands for a probe, which is for no
    /// destination.
    pub fn current(&self, destination: Option<DestinationId>) -> Arc<AnswerProfile> {
        let by_destination = self.by_destination.borrow();
        let own = destination.and_then(|destination| by_destination.get(&destination));
        own.cloned().unwrap_or_else(|| self.other.borrow().clone())
    }
}
