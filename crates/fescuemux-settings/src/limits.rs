//! Limits of the data path.

use std::time::Duration;

/// Limits of the data path.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request or answer head, in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers in a head.
    pub max_headers: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to the end of a request head.
    pub head_timeout: Duration,
    /// Longest time without a byte of a body.
    pub idle_timeout: Duration,
    /// Largest body that is buffered so that it can be sent again, in bytes.
    pub max_replay_bytes: usize,
    /// Largest number of open connections of callers.
    pub max_caller_connections: usize,
    /// Largest number of requests that wait for a slot, for each backend server.
    pub max_queue_len: usize,
    /// Largest number of caller requests in progress.
    pub max_in_flight: usize,
}
