//! Fleet-wide limit of retries to one service; each instance of the service enforces a part of the
//! limit.
//!
//! A service has fewer instances than the fleet has ingresses, and its requests are spread evenly
//! over them. So little of the limit stays unused: a retry that one instance refuses is usually
//! accepted by another.

use std::time::{Duration, Instant};

/// Limit of retries over the whole fleet, in any window. Every arrival of a request at an instance
/// after the first arrival counts as a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Additional retries allowed for the whole fleet in each window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Number of buckets in a window. The budget sums the counts of `BUCKETS + 1` buckets: the current
/// bucket is not over, and the sum must cover a whole window.
const BUCKETS: usize = 10;

/// Share of the limit that nested requests may use. The rest is a reserve for instances that know
/// too few instances of their service and so take too large a part, and for retries that the users
/// count in a slightly different window.
const NESTED_BUDGET_SHARE: f64 = 0.8;

/// Share of the limit that top-level requests may use; their callers can retry themselves.
const TOP_LEVEL_BUDGET_SHARE: f64 = 0.6;

/// Sliding-window counts of first attempts and retries at one instance.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    /// First attempts and retries by bucket.
    buckets: [(u32, u32); BUCKETS + 1],
    current_bucket: usize,
    bucket_start: Instant,
}

impl ServiceRetryBudget {
    /// Returns a budget without any counts.
    pub fn new(now: Instant, limits: RetryLimits) -> ServiceRetryBudget {
        ServiceRetryBudget {
            limits,
            buckets: [(0, 0); BUCKETS + 1],
            current_bucket: 0,
            bucket_start: now,
        }
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current_bucket].0 += 1;
    }

    /// Returns whether a retry is allowed. The fleet's slack is divided by `instance_count`. Nested
    /// requests may use a larger share, because a refusal also loses the work of their parent.
    pub fn allows_retry(&mut self, now: Instant, instance_count: usize, nested: bool) -> bool {
        self.advance(now);
        let first_attempts: u32 = self.buckets.iter().map(|bucket| bucket.0).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.1).sum();
        let slack_share = self.limits.slack / instance_count.max(1) as f64;
        let usable_share = if nested { NESTED_BUDGET_SHARE } else { TOP_LEVEL_BUDGET_SHARE };
        let allowed = usable_share * (self.limits.ratio * f64::from(first_attempts) + slack_share);
        f64::from(retries) + 1.0 <= allowed
    }

    /// Counts a retry.
    pub fn on_retry(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current_bucket].1 += 1;
    }

    fn advance(&mut self, now: Instant) {
        let width = self.limits.window / BUCKETS as u32;
        for _ in 0..=BUCKETS {
            if now.saturating_duration_since(self.bucket_start) < width {
                return;
            }
            self.bucket_start += width;
            self.current_bucket = (self.current_bucket + 1) % self.buckets.len();
            self.buckets[self.current_bucket] = (0, 0);
        }
        self.bucket_start = now;
    }
}
