//! Result of a stop.

/// What a graceful stop could not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were cut.
    pub aborted_requests: u32,
}
