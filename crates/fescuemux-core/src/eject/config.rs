//! Times and shares of the return of a backend server.

use crate::base::DetectionPreference;
use std::time::Duration;

/// Parameters of one [`Health`](super::Health).
#[derive(Clone, Debug, PartialEq)]
pub struct HealthConfig {
    /// Time before the first probation.
    pub base_hold: Duration,
    /// Longest time before a probation.
    pub longest_hold: Duration,
    /// Time of uninterrupted service that halves the hold time.
    pub good_time: Duration,
    /// Time between two requests for a permit.
    pub permit_retry: Duration,
    /// Good trial requests, one at a time, before normal requests are admitted.
    pub trials: u32,
    /// Of these, the first ones that must be idempotent.
    pub idempotent_trials: u32,
    /// Least time between two trial requests after the first relapse. Doubles with each further
    /// one, so that the trials of a flapping server do not all fall into one good phase.
    pub trial_gap: Duration,
    /// Share of normal requests admitted in each stage after the trials.
    pub shares: &'static [f64],
    /// Length of each stage.
    pub stage: Duration,
    /// Trial requests to a server that was just steered. They show whether the evidence was a
    /// passing stall before an ejection is asked for.
    pub checks: u32,
    /// Score that ends a probation. Lower than the score that steers a serving server, because
    /// the server was sick a moment ago.
    pub probation_score: f64,
}

impl HealthConfig {
    /// Returns the parameters for a service whose operator states `favor`.
    pub fn new(favor: DetectionPreference) -> HealthConfig {
        let probation_score = match favor {
            DetectionPreference::FastDetection => 5.0,
            DetectionPreference::FewFalseEjections => 7.0,
        };
        HealthConfig {
            base_hold: Duration::from_secs(5),
            longest_hold: Duration::from_secs(300),
            good_time: Duration::from_secs(600),
            permit_retry: Duration::from_secs(5),
            trials: 5,
            idempotent_trials: 3,
            trial_gap: Duration::from_millis(100),
            shares: &[0.1, 0.25, 0.5],
            stage: Duration::from_secs(2),
            checks: 8,
            probation_score,
        }
    }
}

impl From<DetectionPreference> for HealthConfig {
    fn from(favor: DetectionPreference) -> HealthConfig {
        HealthConfig::new(favor)
    }
}
