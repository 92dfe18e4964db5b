//! The clock interface that a process's edges implement.

use std::time::{Instant, SystemTime};

/// Source of time. Decision parts receive the time as a value and never call a clock.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns monotonic time.
    fn now(&self) -> Instant;
    /// Returns wall-clock time, used only for timestamps that people or other processes read.
    fn wall(&self) -> SystemTime;
}
