//! Thresholds of the detector, derived from the operator's choice between the detection errors.

use crate::base::DetectionPreference;
use std::time::Duration;

/// Thresholds of one [`Detector`](super::Detector). Scores are in nats.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectorConfig {
    /// Score at which the server becomes [`Level::Suspect`](super::Level::Suspect) and requests are
    /// steered to other servers.
    pub suspect_score: f64,
    /// Score at which the server becomes [`Level::Bad`](super::Level::Bad) and its ejection is
    /// requested, after `confirmation_time`.
    pub bad_score: f64,
    /// Minimum time between reaching `suspect_score` and [`Level::Bad`](super::Level::Bad); grows
    /// with the current latency. The baseline needs about a second to follow a slowdown of the
    /// whole service, and evidence against an outdated baseline must not eject.
    pub confirmation_time: Duration,
    /// Age from which a request in flight counts as evidence while no reference latency is known.
    pub age_limit_without_reference: Duration,
}

impl DetectorConfig {
    /// Returns the thresholds for a service with this detection preference.
    pub fn new(preference: DetectionPreference) -> DetectorConfig {
        match preference {
            DetectionPreference::FastDetection => DetectorConfig {
                suspect_score: 11.0,
                bad_score: 14.0,
                confirmation_time: Duration::from_millis(1_000),
                age_limit_without_reference: Duration::from_secs(5),
            },
            DetectionPreference::FewFalseEjections => DetectorConfig {
                suspect_score: 14.0,
                bad_score: 17.0,
                confirmation_time: Duration::from_millis(2_000),
                age_limit_without_reference: Duration::from_secs(10),
            },
        }
    }
}

impl From<DetectionPreference> for DetectorConfig {
    fn from(preference: DetectionPreference) -> DetectorConfig {
        DetectorConfig::new(preference)
    }
}
