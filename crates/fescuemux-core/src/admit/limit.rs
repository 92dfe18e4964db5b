//! Concurrency limit that adapts to a backend server whose capacity changes.

use crate::base::Cx;
use std::time::{Duration, Instant};

/// Settings of an [`AdaptiveLimit`].
#[derive(Clone, Debug)]
pub struct AdaptiveLimitConfig {
    /// Minimum limit.
    pub min: u32,
    /// Maximum limit, the number of slots.
    pub max: u32,
    /// Latency, as a multiple of the baseline, above which a request counts as slow.
    pub slow_ratio: f64,
    /// Share of slow requests above which the limit is decreased. With exponential service times, a
    /// quarter of the requests on a healthy server take more than twice the median.
    pub decrease_above: f64,
    /// Share of slow requests below which the limit is increased.
    pub increase_below: f64,
    /// Amount added to the limit for each request that finishes while the limit is fully used and
    /// few requests are slow.
    pub increase: f64,
    /// Factor applied to the limit when too many requests are slow.
    pub decrease: f64,
    /// Minimum time between two decreases, so that one slow period counts once.
    pub decrease_interval: Duration,
}

impl AdaptiveLimitConfig {
    /// Returns default settings for a server with `slots` slots.
    pub fn new(slots: u32) -> AdaptiveLimitConfig {
        AdaptiveLimitConfig {
            min: 1,
            max: slots,
            slow_ratio: 2.0,
            decrease_above: 0.5,
            increase_below: 0.35,
            increase: 0.02,
            decrease: 0.75,
            decrease_interval: Duration::from_millis(500),
        }
    }
}

/// Measurement of one finished request.
#[derive(Clone, Copy, Debug)]
pub struct LimitSample {
    /// Time for which the request ran.
    pub latency: Duration,
    /// Median latency of the service over all its servers.
    pub baseline: Duration,
    /// Requests in flight on the server when the request finished, including this one.
    pub in_flight: u32,
    /// Whether the server refused the request for overload, or the request missed its deadline.
    pub overloaded: bool,
}

/// Concurrency limit with additive increase and multiplicative decrease (AIMD).
#[derive(Debug)]
pub struct AdaptiveLimit {
    cfg: AdaptiveLimitConfig,
    limit: f64,
    /// Moving average of the share of slow or overloaded requests.
    slow_share: f64,
    last_decrease: Option<Instant>,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at its maximum.
    pub fn new(cfg: AdaptiveLimitConfig) -> AdaptiveLimit {
        AdaptiveLimit { limit: f64::from(cfg.max), cfg, slow_share: 0.0, last_decrease: None }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(self.cfg.min, self.cfg.max)
    }

    /// Updates the limit with a finished request.
    pub fn on_sample(&mut self, cx: &mut Cx, sample: &LimitSample) {
        const SAMPLE_WEIGHT: f64 = 0.05;
        let slow = sample.latency > sample.baseline.mul_f64(self.cfg.slow_ratio);
        let slow = f64::from(u8::from(slow || sample.overloaded));
        self.slow_share += SAMPLE_WEIGHT * (slow - self.slow_share);
        if self.slow_share > self.cfg.decrease_above {
            self.decrease(cx.now);
            return;
        }
        // A server below its limit is no evidence for a higher limit.
        if self.slow_share < self.cfg.increase_below && sample.in_flight >= self.limit() {
            self.limit = (self.limit + self.cfg.increase).min(f64::from(self.cfg.max));
        }
    }

    fn decrease(&mut self, now: Instant) {
        let interval = self.cfg.decrease_interval;
        if self.last_decrease.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * self.cfg.decrease).max(f64::from(self.cfg.min));
    }
}
