//! Result of a graceful stop.

/// Requests that a graceful stop could not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests that were aborted.
    pub aborted_requests: u32,
}
