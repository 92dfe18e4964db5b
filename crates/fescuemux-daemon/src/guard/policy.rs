//! Settings that the guards of a service take from its configuration.

use fescuemux_core::base::DetectionPreference;

/// Settings of one service that its guards apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServicePolicy {
    /// Which detection error weighs more: a late detection or a false ejection.
    pub(crate) favor: DetectionPreference,
    /// Maximum number of requests queued for one server.
    pub(crate) queue_limit: usize,
}
