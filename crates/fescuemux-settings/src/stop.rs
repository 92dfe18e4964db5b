//! How the daemon stops.

use std::time::Duration;

/// How the daemon stops.
#[derive(Clone, Debug, PartialEq)]
pub struct StopSettings {
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub grace_period: Duration,
}
