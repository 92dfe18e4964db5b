//! Settings of a service in the configuration that its guards apply.

use fescuemux_core::base::DetectionPreference;

/// Policy of one service at its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServicePolicy {
    /// Which detection error weighs more: a late detection or a false ejection.
    pub(crate) favor: DetectionPreference,
    /// Maximum number of requests queued for one server.
    pub(crate) queue_limit: usize,
}
