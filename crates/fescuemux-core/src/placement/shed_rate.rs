//! Share of recent requests that a backend server refused although its guard had granted them.

use std::time::{Duration, Instant};

/// Weight of a new outcome; about the last four requests count.
const OUTCOME_WEIGHT: f64 = 0.25;

/// Time in which the share halves without requests, so that a server that gets none for its
/// shedding is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Exponentially weighted share of refused requests.
///
/// A refused request has not run, so a server that sheds is not faulty in the sense of
/// [`FaultEstimator`](crate::placement::FaultEstimator). But each refusal is an arrival that counts
/// in the service's retry budget, which the fleet shares.
#[derive(Clone, Copy, Debug)]
pub struct ShedRate {
    share: f64,
    updated_at: Instant,
}

impl ShedRate {
    /// Returns a rate without refusals.
    pub fn new(now: Instant) -> ShedRate {
        ShedRate { share: 0.0, updated_at: now }
    }

    /// Records whether the server refused a request.
    pub fn record(&mut self, now: Instant, is_shed: bool) {
        let share = self.probability(now);
        self.share = share + OUTCOME_WEIGHT * (f64::from(u8::from(is_shed)) - share);
        self.updated_at = now;
    }

    /// Returns the probability that the server refuses the next request.
    pub fn probability(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.share * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
