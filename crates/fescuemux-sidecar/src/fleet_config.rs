//! The operator's configuration in force.

use bytes::Bytes;
use fescuemux_core::base::{Generation, HashSet, ServiceId};
use fescuemux_core::placement::RouteMap;
use std::time::Duration;

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// A decoded configuration, with the bytes it came from for other instances.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Version; a later one has a larger number.
    pub version: Generation,
    /// Routes.
    pub routes: RouteMap,
    /// Services that are configured.
    pub services: HashSet<ServiceId>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// The bytes as stored.
    pub raw: Bytes,
}
