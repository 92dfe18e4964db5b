//! Clock interface, implemented outside of the decision logic.

use std::time::{Instant, SystemTime};

/// Source of time. Decision modules receive the time as a value and never call a clock.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns monotonic time. Leases, grants and ages are sound over a suspension of the machine only
    /// if the clock counts it.
    fn now(&self) -> Instant;
    /// Returns wall-clock time. Used only for timestamps that people or other processes read.
    fn wall(&self) -> SystemTime;
}
