//! Service-wide values that a backend server is compared with.

use std::time::Duration;

/// Typical behavior of the backend servers of one service, as one ingress sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// Median latency of successful answers.
    pub median: Duration,
    /// Share of answers that are errors, from 0 to 1.
    pub error_ratio: f64,
}
