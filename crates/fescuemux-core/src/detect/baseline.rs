//! Service-wide reference values for latency and errors.

use std::time::Duration;

/// Typical behavior of the backend servers of one service, as one ingress sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// Median latency of successful answers.
    pub median: Duration,
    /// Share of answers that are server errors, from 0 to 1.
    pub error_ratio: f64,
}
