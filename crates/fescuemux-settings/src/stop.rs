//! How the daemon stops.

use std::time::Duration;

/// How the daemon stops.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub grace: Duration,
}
