//! What the configuration says about the servers of a service.

use fescuemux_core::base::DetectionPreference;

/// Policy of one service at its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServicePolicy {
    /// Which detection error weighs more.
    pub(crate) favor: DetectionPreference,
    /// Most requests that wait at one server.
    pub(crate) queue_limit: usize,
}
