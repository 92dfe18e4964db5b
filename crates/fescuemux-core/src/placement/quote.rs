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
pub struct Quote {
    /// Whether work is taken.
    pub readiness: Readiness,
    /// Slots of the server.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Mean running time of the request's route at this server.
    pub running: Duration,
    /// Probability that the server fails the request.
    pub doubt: f64,
}

impl Quote {
    /// Returns whether a request that waits elsewhere does better here. The free slots of a
    /// server that fails are no reason to leave the queue of a sound one.
    pub fn is_better_than_waiting(&self) -> bool {
        self.has_room() && self.doubt < DOUBTED
    }

    /// Returns whether a slot is free at once.
    pub fn has_room(&self) -> bool {
        self.busy < self.slots && self.queued == 0
    }
}
