//! Whether the search for a slot continues after its first rounds.

use crate::placement::{Refusal, SlotRefusalReason};
use std::time::Duration;

/// Multiple of the expected running time that must remain for the search to continue; most requests
/// end within it.
const RUNNING_TIME_FACTOR: u32 = 2;

/// A request that got no slot in the first rounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct UnplacedRequest {
    /// Whether a running request waits for this one.
    pub nested: bool,
    /// Whether an idempotent request was already sent to a server, and this search is for its retry
    /// and not for a hedge.
    pub idempotent_retry: bool,
    /// Whether the process has just started, so that servers may not have registered yet.
    pub starting: bool,
    /// Whether the process is shutting down.
    pub stopping: bool,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Time until the objective.
    pub time_to_objective: Duration,
    /// Expected running time.
    pub expected_running_time: Duration,
}

impl UnplacedRequest {
    /// Returns whether the search continues after `refusal`. It continues in the following cases as
    /// long as enough time is left.
    ///
    /// - A refused nested request wastes the work of its parent, so its search continues, except
    ///   when servers are full, the wait would be too long or the retry budget is exhausted: none
    ///   of these changes in time, and the parent would hold its slot in vain.
    /// - After a start, for example after all processes were killed, servers register within a
    ///   heartbeat; a request that can still meet its objective waits for the first server.
    /// - While the process shuts down, the search continues for the retry of an idempotent request
    ///   that was already sent to a server, for example a request that just lost its slot to
    ///   another request.
    pub fn should_keep_searching(&self, refusal: &Refusal) -> bool {
        let must_answer = self.idempotent_retry && self.stopping;
        let may_succeed = match refusal.reason {
            SlotRefusalReason::NoServer
            | SlotRefusalReason::Draining
            | SlotRefusalReason::Stopping
            | SlotRefusalReason::LikelyFaulty => self.nested,
            SlotRefusalReason::Full
            | SlotRefusalReason::Limited
            | SlotRefusalReason::TooLate
            | SlotRefusalReason::RetryBudget => false,
        };
        let needed = self.expected_running_time * RUNNING_TIME_FACTOR;
        let is_startup = self.starting && refusal.reason == SlotRefusalReason::NoServer;
        (is_startup && self.time_to_objective > needed)
            || ((must_answer || may_succeed) && self.time_left > needed)
    }
}

impl Refusal {
    /// Returns whether `retry_in` estimates the wait for a slot, because all slots of the server
    /// are in use or its limit is reached.
    pub fn estimates_wait(&self) -> bool {
        matches!(
            self.reason,
            SlotRefusalReason::Full | SlotRefusalReason::Limited | SlotRefusalReason::TooLate
        )
    }
}
