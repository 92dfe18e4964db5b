//! Limits of HTTP connections and messages.

use std::time::Duration;

/// Limits on the number of connections and on the size and the speed of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpLimits {
    /// Maximum size of a request head in bytes.
    pub(crate) max_head_bytes: usize,
    /// Maximum number of headers.
    pub(crate) max_headers: usize,
    /// Maximum size of a body in bytes.
    pub(crate) max_body_bytes: u64,
    /// Maximum time to receive a complete head, including the idle time before it.
    pub(crate) head_timeout: Duration,
    /// Maximum time without progress on a body, in either direction.
    pub(crate) idle_timeout: Duration,
    /// Maximum size in bytes of a body that is held in memory, so that it can be sent again.
    pub(crate) max_replay_bytes: u64,
    /// Maximum number of open connections of one listener.
    pub(crate) max_connections: usize,
}
