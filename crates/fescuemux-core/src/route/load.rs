//! Estimate of a backend server's load from the answers this ingress saw.

use std::time::{Duration, Instant};

/// Last load observation of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Requests of other ingresses per slot, and the time of the observation.
    seen: Option<(f64, Instant)>,
}

impl LoadEstimate {
    /// Records `others`, the requests of other ingresses per slot.
    pub(super) fn observe(&mut self, now: Instant, others: f64) {
        self.seen = Some((others, now));
    }

    /// Returns the requests of other ingresses per slot. The older the observation, the closer
    /// the result is to `mean`.
    pub(super) fn at(&self, now: Instant, half_life: Duration, mean: f64) -> f64 {
        let Some((others, time)) = self.seen else {
            return mean;
        };
        let age = now.saturating_duration_since(time).as_secs_f64();
        let half_life = half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        mean + (others - mean) * half_life / (half_life + age)
    }
}
