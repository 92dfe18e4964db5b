//! What an ingress does with an attempt that its guard has evicted from its slot.

use super::slot_holder::MIN_EXPECTED_RUNNING_TIME;
use std::time::Duration;

/// Multiple of the expected running time after which an evicted attempt is presumed lost.
const PRESUMED_LOST_RATIO: u32 = 9;

/// An evicted attempt, which still runs, and the other attempts of its request.
#[derive(Clone, Copy, Debug)]
pub struct EvictedAttempt {
    /// Whether a planned stop of the instance is under way or may just be over.
    pub near_planned_stop: bool,
    /// Whether the attempt has run for longer than any request of its route; see
    /// [`EvictedAttempt::presumed_lost_after`].
    pub presumed_lost: bool,
    /// Whether another attempt holds a slot from which it was not evicted.
    pub other_has_slot: bool,
    /// Whether another attempt is looking for a slot.
    pub other_is_searching: bool,
    /// Whether another attempt may be started.
    pub may_replace: bool,
}

/// Response to an eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionResponse {
    /// The attempt goes on. The decision is due again when another attempt gets a slot or ends.
    Keep,
    /// The attempt goes on, and another one is started in its place.
    Replace,
    /// The attempt is broken off.
    BreakOff,
}

impl EvictedAttempt {
    /// Returns what to do with the attempt. Unless its answer is presumed lost, it is broken off only
    /// when another attempt has a slot: if the process was told to stop while the request ran
    /// nowhere, the caller would get a failure in place of the answer of a server that was working on
    /// it.
    pub fn response(&self) -> EvictionResponse {
        if self.near_planned_stop {
            EvictionResponse::Keep
        } else if self.other_has_slot || self.presumed_lost {
            EvictionResponse::BreakOff
        } else if self.may_replace && !self.other_is_searching {
            EvictionResponse::Replace
        } else {
            EvictionResponse::Keep
        }
    }

    /// Returns the time after which an attempt without an answer is presumed lost. The longest
    /// requests of the users' routes take about six times the mean, and the mean of a route is an
    /// estimate from its last requests.
    pub fn presumed_lost_after(expected_running_time: Duration) -> Duration {
        expected_running_time.max(MIN_EXPECTED_RUNNING_TIME) * PRESUMED_LOST_RATIO
    }
}
