//! Whether a request without a slot looks for one beyond the first rounds of questions.

use crate::placement::{Refusal, RefusalReason};
use std::time::Duration;

/// Multiple of the running time that must be left; most requests end within it.
const RUNNING_MARGIN: u32 = 2;

/// A request that found no slot in the first rounds.
#[derive(Clone, Copy, Debug)]
pub struct UnplacedRequest {
    /// Whether a running request waits for this one.
    pub nested: bool,
    /// Whether a server has worked on it, and it may be repeated.
    pub attempted: bool,
    /// Whether the process has just started, so that servers have still to announce themselves.
    pub starting: bool,
    /// Whether the process stops.
    pub stopping: bool,
    /// Time left for an answer.
    pub time_left: Duration,
    /// Time left until an answer loses part of its value.
    pub time_to_objective: Duration,
    /// Expected running time.
    pub expected_running_time: Duration,
}

impl UnplacedRequest {
    /// Returns whether the request looks on, given what the guards said.
    ///
    /// The work of a parent is lost with its call, so a call looks on unless there is no room, or
    /// it is a repeat beyond the budget: neither changes within its time, and its parent would
    /// hold a slot for nothing. After a start, as after the loss of all processes, servers are
    /// known within a heartbeat; a request that can still meet its objective waits for the first.
    /// A stopping process owes answers to requests that
    /// servers have worked on; a request that lost its slot to others just before looks on.
    pub fn should_keep_searching(&self, refusal: &Refusal) -> bool {
        let is_owed = self.attempted && self.stopping;
        let may_find = match refusal.reason {
            RefusalReason::NoServer
            | RefusalReason::Draining
            | RefusalReason::Stopping
            | RefusalReason::LikelyFaulty => self.nested,
            RefusalReason::Full | RefusalReason::TooLate | RefusalReason::RetryBudget => false,
        };
        let needed = self.expected_running_time * RUNNING_MARGIN;
        let is_early = self.starting && refusal.reason == RefusalReason::NoServer;
        (is_early && self.time_to_objective > needed)
            || ((is_owed || may_find) && self.time_left > needed)
    }
}

impl Refusal {
    /// Returns whether the guard has a sound server without room, so that its time of return
    /// means something.
    pub fn estimates_wait(&self) -> bool {
        matches!(self.reason, RefusalReason::Full | RefusalReason::TooLate)
    }
}
