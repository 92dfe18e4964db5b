//! Limits on requests, bodies and connections.

use std::time::Duration;

/// Limits on requests, bodies and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request or response head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request or response.
    pub max_headers: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a whole request head.
    pub head_timeout: Duration,
    /// Maximum time until the next part of a body is received, and until it is passed on.
    pub idle_timeout: Duration,
    /// Maximum size of a body that is buffered for retries, in bytes.
    pub max_replay_bytes: usize,
    /// Maximum number of open connections of callers.
    pub max_caller_connections: usize,
    /// Maximum number of requests that wait for a slot, per backend server.
    pub max_queue_len: usize,
    /// Maximum number of caller requests in progress.
    pub max_in_flight: usize,
}
