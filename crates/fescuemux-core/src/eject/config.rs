//! Times and shares of the return of a backend server.

use crate::base::DetectionPreference;
use std::time::Duration;

/// Parameters of one [`HealthTracker`](super::HealthTracker).
#[derive(Clone, Debug, PartialEq)]
pub struct HealthConfig {
    /// Time before the first probation.
    pub base_hold_time: Duration,
    /// Longest time before a probation.
    pub max_hold_time: Duration,
    /// Time of uninterrupted service that halves the hold time.
    pub hold_halving_time: Duration,
    /// Time between two requests for a permit.
    pub permit_retry_interval: Duration,
    /// Good trial requests, one at a time, before normal requests are admitted.
    pub required_trials: u32,
    /// Of these, the first ones that must be idempotent.
    pub required_idempotent_trials: u32,
    /// Least time between two trial requests after the first relapse. Doubles with each further
    /// one, so that the trials of a flapping server do not all fall into one good phase.
    pub min_trial_interval: Duration,
    /// Share of normal requests admitted in each stage after the trials.
    pub stage_shares: &'static [f64],
    /// Length of each stage.
    pub stage_duration: Duration,
    /// Trial requests to a server that was just steered. They show whether the evidence was a
    /// passing stall before an ejection is asked for.
    pub max_steered_trials: u32,
    /// Score that ends a probation. Lower than the score that steers a serving server, because
    /// the server was sick a moment ago.
    pub relapse_score: f64,
}

impl HealthConfig {
    /// Returns the parameters for a service whose operator states `favor`.
    pub fn new(favor: DetectionPreference) -> HealthConfig {
        let relapse_score = match favor {
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
    fn from(favor: DetectionPreference) -> HealthConfig {
        HealthConfig::new(favor)
    }
}
