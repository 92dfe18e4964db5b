//! Start-time fair queueing.

use crate::base::HashMap;
use crate::fair_queue::FairShare;
use std::time::Duration;

/// Order of waiting requests by start-time fair queueing: each request gets a tag when it begins to
/// wait, and the request with the smallest tag goes next. The tags of a customer's requests grow by
/// their running time divided by the customer's weight, so a customer with more requests than its
/// share has the largest tags.
///
/// The state lasts as long as requests wait; [`FairShares::clear`] is called when none is left.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Tag of the request that went last.
    virtual_time: f64,
    /// Tag of the next request by customer.
    next_tags: HashMap<u64, f64>,
}

impl FairShares {
    /// Returns the tag that a new request would get. A request without a customer does not wait for
    /// a share: it gets the current virtual time.
    pub fn next_tag(&self, share: Option<FairShare>) -> f64 {
        let next_tag = share.and_then(|share| self.next_tags.get(&share.customer).copied());
        next_tag.map_or(self.virtual_time, |tag| tag.max(self.virtual_time))
    }

    /// Adds a request of this expected running time and returns its tag.
    pub fn add(&mut self, share: Option<FairShare>, running_time: Duration) -> f64 {
        let tag = self.next_tag(share);
        if let Some(share) = share {
            let next_tag = tag + running_time.as_secs_f64() / share.weight();
            self.next_tags.insert(share.customer, next_tag);
        }
        tag
    }

    /// Records that the request with this tag goes next.
    pub fn on_served(&mut self, tag: f64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Removes a request that was added and leaves without being served, so that its customer is not
    /// charged for it.
    pub fn withdraw(&mut self, share: Option<FairShare>, running_time: Duration) {
        let Some(share) = share else { return };
        if let Some(next_tag) = self.next_tags.get_mut(&share.customer) {
            *next_tag -= running_time.as_secs_f64() / share.weight();
        }
    }

    /// Forgets all customers, because no request waits.
    pub fn clear(&mut self) {
        self.virtual_time = 0.0;
        self.next_tags.clear();
    }
}
