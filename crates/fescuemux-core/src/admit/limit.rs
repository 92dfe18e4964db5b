//! Concurrency limit that follows a backend server whose capacity shrinks.

use crate::base::Cx;
use std::time::{Duration, Instant};

/// Settings of an [`AdaptiveLimit`].
#[derive(Clone, Debug)]
pub struct AdaptiveLimitConfig {
    /// Lowest limit.
    pub min: u32,
    /// Highest limit, the number of slots.
    pub max: u32,
    /// Latency, as a multiple of the baseline, above which a request counts as slow.
    pub tolerance: f64,
    /// Share of slow requests from which the limit is lowered. With exponential service times
    /// a quarter of a healthy server's requests take twice the median.
    pub lower_above: f64,
    /// Share of slow requests up to which the limit is raised.
    pub raise_below: f64,
    /// Growth of the limit with each request that ran while the limit was reached.
    pub increase: f64,
    /// Factor applied to the limit on overload.
    pub decrease: f64,
    /// Shortest time between two decreases, so that one slow period is counted once.
    pub decrease_interval: Duration,
}

impl AdaptiveLimitConfig {
    /// Returns default settings for a server with `slots` slots.
    pub fn new(slots: u32) -> AdaptiveLimitConfig {
        AdaptiveLimitConfig {
            min: 1,
            max: slots,
            tolerance: 2.0,
            lower_above: 0.5,
            raise_below: 0.35,
            increase: 0.02,
            decrease: 0.75,
            decrease_interval: Duration::from_millis(500),
        }
    }
}

/// One finished request.
#[derive(Clone, Copy, Debug)]
pub struct LimitSample {
    /// Time that it ran.
    pub latency: Duration,
    /// Median latency of the service over all its servers.
    pub baseline: Duration,
    /// Requests that ran on the server when it finished, itself included.
    pub in_flight: u32,
    /// True when the server refused it for overload or missed its deadline.
    pub overloaded: bool,
}

/// Limit with additive increase and multiplicative decrease.
#[derive(Debug)]
pub struct AdaptiveLimit {
    cfg: AdaptiveLimitConfig,
    limit: f64,
    /// Moving share of slow requests.
    slow: f64,
    last_decrease: Option<Instant>,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at its maximum.
    pub fn new(cfg: AdaptiveLimitConfig) -> AdaptiveLimit {
        AdaptiveLimit { limit: f64::from(cfg.max), cfg, slow: 0.0, last_decrease: None }
    }

    /// Returns the number of requests that may run at a time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(self.cfg.min, self.cfg.max)
    }

    /// Learns from a finished request.
    pub fn on_sample(&mut self, cx: &mut Cx, sample: &LimitSample) {
        const GAIN: f64 = 0.05;
        let slow = sample.latency > sample.baseline.mul_f64(self.cfg.tolerance);
        let slow = f64::from(u8::from(slow || sample.overloaded));
        self.slow += GAIN * (slow - self.slow);
        if self.slow > self.cfg.lower_above {
            self.decrease(cx.now);
            return;
        }
        // An idle server proves nothing about a higher limit.
        if self.slow < self.cfg.raise_below && sample.in_flight >= self.limit() {
            self.limit = (self.limit + self.cfg.increase).min(f64::from(self.cfg.max));
        }
    }

    fn decrease(&mut self, now: Instant) {
        let wait = self.cfg.decrease_interval;
        if self.last_decrease.is_some_and(|t| now.saturating_duration_since(t) < wait) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * self.cfg.decrease).max(f64::from(self.cfg.min));
    }
}
