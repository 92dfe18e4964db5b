//! Fleet-wide bound of repeats at a service, kept by each guard for its own part.
//!
//! A service has fewer guards than the fleet has ingresses and its work is even among them, so
//! a refused repeat finds room at another guard and little of the bound stays unused.

use std::time::{Duration, Instant};

/// Bound of arrivals beyond the first of each request, over the fleet and any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats of the whole fleet that are allowed besides.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Parts into which the window is divided; one more is counted, so that the sum covers any
/// window that ends now.
const BUCKETS: usize = 10;

/// Share of the allowance that is used. The rest covers guards that know fewer servers of
/// their service, and repeats that are counted a moment apart here and by the users.
const USED: f64 = 0.8;

/// Share that requests without a waiting parent use; their callers can come back themselves.
const USED_BY_OTHERS: f64 = 0.6;

/// Repeats and requests at one guard.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    buckets: [(u32, u32); BUCKETS + 1],
    current: usize,
    bucket_start: Instant,
}

impl ServiceRetryBudget {
    /// Returns a budget without a record.
    pub fn new(now: Instant, limits: RetryLimits) -> ServiceRetryBudget {
        ServiceRetryBudget { limits, buckets: [(0, 0); BUCKETS + 1], current: 0, bucket_start: now }
    }

    /// Counts a request that was not sent before.
    pub fn on_first_attempt(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].0 += 1;
    }

    /// Returns whether a repeat is allowed. `guards` is the number among which the fleet's slack
    /// is divided. A nested request may use the whole budget, as the work of its parent is lost
    /// with it; others leave a part of it.
    pub fn allows_retry(&mut self, now: Instant, guards: usize, nested: bool) -> bool {
        self.advance(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.0).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.1).sum();
        let share = self.limits.slack / guards.max(1) as f64;
        let used = if nested { USED } else { USED_BY_OTHERS };
        let allowed = used * (self.limits.ratio * f64::from(requests) + share);
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Counts a repeat that is sent.
    pub fn on_retry(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].1 += 1;
    }

    fn advance(&mut self, now: Instant) {
        let width = self.limits.window / BUCKETS as u32;
        for _ in 0..=BUCKETS {
            if now.saturating_duration_since(self.bucket_start) < width {
                return;
            }
            self.bucket_start += width;
            self.current = (self.current + 1) % self.buckets.len();
            self.buckets[self.current] = (0, 0);
        }
        self.bucket_start = now;
    }
}
