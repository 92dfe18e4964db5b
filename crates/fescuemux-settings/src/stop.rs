//! Settings of a graceful shutdown.

use std::time::Duration;

/// Settings of a graceful shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct StopSettings {
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub grace_period: Duration,
}
