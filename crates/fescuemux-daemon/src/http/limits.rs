//! Limits that every HTTP server of the daemon enforces.

use std::time::Duration;

/// Limits on what a peer may send and how slowly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpLimits {
    /// Largest request head in bytes.
    pub(crate) max_head_bytes: usize,
    /// Largest number of headers.
    pub(crate) max_headers: usize,
    /// Largest body in bytes.
    pub(crate) max_body_bytes: u64,
    /// Longest time to receive a whole head, also on an idle connection.
    pub(crate) head_timeout: Duration,
    /// Longest time without progress on a body, in either direction.
    pub(crate) idle_timeout: Duration,
    /// Largest body in bytes that is held in memory, so that it can be sent again.
    pub(crate) max_replay_bytes: u64,
    /// Largest number of open connections of one listener.
    pub(crate) max_connections: usize,
}
