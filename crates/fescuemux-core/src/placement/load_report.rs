//! Load of an instance, as the instance reports it to an ingress.

use std::time::Duration;

/// Failure probability from which free slots no longer attract requests that wait elsewhere.
const MAX_FAILURE_PROBABILITY: f64 = 0.35;

/// Whether an instance accepts requests for its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts any request.
    Open,
    /// Accepts any request, but has had none for so long that the server's health is unknown.
    Idle,
    /// Accepts no requests: it has no server, the server is draining, or the instance is shutting
    /// down.
    Closed,
}

/// Load and expected times at one instance when the report was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Whether requests are accepted.
    pub readiness: Readiness,
    /// Slots of the server.
    pub slots: u32,
    /// Slots in use.
    pub used_slots: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Expected wait for a slot.
    pub expected_wait: Duration,
    /// Expected running time of the request on this server.
    pub expected_running_time: Duration,
    /// Probability that the server fails the request.
    pub failure_probability: f64,
    /// Probability that the server refuses the request although the guard grants a slot.
    pub shed_probability: f64,
}

impl LoadReport {
    /// Returns whether a request that waits elsewhere should move here. Free slots of a server that
    /// probably fails are no reason to leave the queue of a healthy one.
    pub fn is_better_than_queueing(&self) -> bool {
        self.has_free_slot() && self.failure_probability < MAX_FAILURE_PROBABILITY
    }

    /// Returns whether a slot is free immediately.
    pub fn has_free_slot(&self) -> bool {
        self.used_slots < self.slots && self.queued == 0
    }
}
