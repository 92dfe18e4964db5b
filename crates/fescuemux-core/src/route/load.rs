//! Estimate of a backend server's load from the answers this ingress saw.

use std::time::{Duration, Instant};

/// Estimates the load of one backend server from its last observation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Number of requests of other ingresses per slot, and the time of the observation.
    observation: Option<(f64, Instant)>,
}

impl LoadEstimate {
    /// Records `other_load`, the number of requests of other ingresses per slot.
    pub(super) fn observe(&mut self, now: Instant, other_load: f64) {
        self.observation = Some((other_load, now));
    }

    /// Estimates the number of requests of other ingresses per slot. The estimate approaches `mean`
    /// as the observation ages.
    pub(super) fn at(&self, now: Instant, half_life: Duration, mean: f64) -> f64 {
        let Some((other_load, time)) = self.observation else {
            return mean;
        };
        let age = now.saturating_duration_since(time).as_secs_f64();
        let half_life = half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        mean + (other_load - mean) * half_life / (half_life + age)
    }
}
