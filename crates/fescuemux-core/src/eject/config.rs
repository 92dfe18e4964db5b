//! Parameters of the ejection of a backend server and its return.

use crate::base::DetectionPreference;
use std::time::Duration;

/// Parameters of one [`HealthTracker`](super::HealthTracker).
#[derive(Clone, Debug, PartialEq)]
pub struct HealthConfig {
    /// Time that a server stays steered or ejected before its probation. Doubles with each hold, up
    /// to `max_hold_time`.
    pub base_hold_time: Duration,
    /// Upper bound of the hold time.
    pub max_hold_time: Duration,
    /// Uninterrupted time in the serving state after which the hold time halves.
    pub hold_halving_time: Duration,
    /// Minimum time between two requests for a permit, and between two releases.
    pub permit_retry_interval: Duration,
    /// Number of good trial requests, sent one at a time, before normal requests are admitted.
    pub required_trials: u32,
    /// Number of good trials after which trial requests that are not idempotent are admitted too.
    /// They are also admitted from 10 s after the first refusal of such a request, because a
    /// service may have no idempotent route.
    pub required_idempotent_trials: u32,
    /// Minimum time between two trial requests in the probation after the first hold. Doubles with
    /// each further hold, up to a limit, so that the trials of a flapping server do not all fall
    /// into one period in which the server works.
    pub min_trial_interval: Duration,
    /// Share of normal requests admitted in each stage that follows the trials, from 0 to 1.
    pub stage_shares: &'static [f64],
    /// Length of each stage that follows the trials.
    pub stage_duration: Duration,
    /// Maximum number of trial requests while a server is steered. Their results tell a short stall
    /// from a fault before an ejection is requested.
    pub max_steered_trials: u32,
    /// Score at which a server in probation relapses: it is ejected or steered again. Lower than
    /// the score that steers a serving server, because a server in probation was suspect shortly
    /// before.
    pub relapse_score: f64,
}

impl HealthConfig {
    /// Returns the parameters for a service with this detection preference.
    pub fn new(preference: DetectionPreference) -> HealthConfig {
        let relapse_score = match preference {
            DetectionPreference::FastDetection => 5.0,
            DetectionPreference::FewFalseEjections => 7.0,
        };
        HealthConfig {
            base_hold_time: Duration::from_secs(5),
            max_hold_time: Duration::from_secs(300),
            hold_halving_time: Duration::from_secs(600),
            permit_retry_interval: Duration::from_secs(5),
            required_trials: 5,
            required_idempotent_trials: 3,
            min_trial_interval: Duration::from_millis(100),
            stage_shares: &[0.1, 0.25, 0.5],
            stage_duration: Duration::from_secs(2),
            max_steered_trials: 8,
            relapse_score,
        }
    }
}

impl From<DetectionPreference> for HealthConfig {
    fn from(preference: DetectionPreference) -> HealthConfig {
        HealthConfig::new(preference)
    }
}
