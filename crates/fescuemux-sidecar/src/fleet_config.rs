//! Decoded configuration of the fleet.

use bytes::Bytes;
use fescuemux_core::base::{Generation, HashSet, ServiceId};
use fescuemux_core::caller_keys::CallerKeys;
use fescuemux_core::placement::RouteMap;
use std::fmt;
use std::time::Duration;

/// Limits on requests and connections from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes. Limits below 8 KiB are raised to 8 KiB.
    pub head_bytes: usize,
    /// Maximum `Content-Length` of a request, in bytes. Chunked bodies are not limited.
    pub body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head, counted from the turn of a
    /// pipelined request.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// Decoded configuration, with its encoded form, which is sent to other instances. `Debug` does not
/// show the encoded form, which contains the keys of customers.
#[derive(Clone)]
pub struct FleetConfig {
    /// Version, which grows with each change.
    pub version: Generation,
    /// Routes.
    pub routes: RouteMap,
    /// Configured services.
    pub services: HashSet<ServiceId>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Keys of the customers, or `None` if the configuration names no customers and requests need no
    /// key.
    pub caller_keys: Option<CallerKeys>,
    /// Encoded configuration as stored.
    pub raw: Bytes,
}

impl fmt::Debug for FleetConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetConfig")
            .field("version", &self.version)
            .field("routes", &self.routes)
            .field("services", &self.services)
            .field("limits", &self.limits)
            .field("caller_keys", &self.caller_keys)
            .field("raw_bytes", &self.raw.len())
            .finish()
    }
}
