//! What a guard offers to a request.

use std::time::Duration;

/// Probability of a fault from which free slots do not attract waiting requests.
const DOUBTED: f64 = 0.35;

/// Whether a guard's server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes any request.
    Open,
    /// Takes any request and has had none for so long that nothing is known of it.
    Idle,
    /// Takes nothing: no server, a leaving one, or a stopping daemon.
    Closed,
}

/// Load and expected times at one guard, at the moment of the quote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Whether work is taken.
    pub readiness: Readiness,
    /// Slots of the server.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Expected wait for a slot.
    pub expected_wait: Duration,
    /// Mean running time of the request's route at this server.
    pub expected_running_time: Duration,
    /// Probability that the server fails the request.
    pub failure_probability: f64,
}

impl LoadReport {
    /// Returns whether a request that waits elsewhere does better here. The free slots of a
    /// server that fails are no reason to leave the queue of a sound one.
    pub fn is_better_than_queueing(&self) -> bool {
        self.has_room() && self.failure_probability < DOUBTED
    }

    /// Returns whether a slot is free at once.
    pub fn has_room(&self) -> bool {
        self.busy < self.slots && self.queued == 0
    }
}
