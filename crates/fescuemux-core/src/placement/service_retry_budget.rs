//! Fleet-wide limit of retries to one service; each instance of the service enforces a part of the
//! limit.
//!
//! A service has fewer instances than the fleet has ingresses, and its requests are spread evenly
//! over them. So little of the limit stays unused: a retry that one instance refuses is usually
//! accepted by another.

use crate::placement::AttemptKind;
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

/// Share of the limit that retries of nested requests may use. The rest is a reserve for first
/// attempts of requests nested in retries, and for retries that the users count in a slightly
/// different window.
const NESTED_BUDGET_SHARE: f64 = 0.8;

/// Share of the limit that retries of top-level requests may use; their callers can retry
/// themselves.
const TOP_LEVEL_BUDGET_SHARE: f64 = 0.6;

/// Share of the limit that requests nested in retries may use. To refuse one wastes the work of its
/// parent, so they may use most of the reserve.
const NESTED_IN_RETRY_BUDGET_SHARE: f64 = 0.95;

/// Share of its part of the slack that a new process may use at the end of its first window; it grows
/// from zero. An earlier process of the instance may have used the whole part just before, but all
/// instances seldom restart right after that.
const FIRST_WINDOW_SLACK_SHARE: f64 = 0.6;

/// Time for which the highest number of known instances divides the slack after the number fell.
/// Instances that are only cut off from this one still use their parts.
const INSTANCE_COUNT_MEMORY: Duration = Duration::from_secs(60);

/// Sliding-window counts of first attempts and retries at one instance.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    /// First attempts and retries by bucket.
    buckets: [(u32, u32); BUCKETS + 1],
    current_bucket: usize,
    bucket_start: Instant,
    /// Time from which the instance may use its whole part of the slack.
    slack_from: Instant,
    /// Highest recent number of instances, and the time at which it was last known. Without it, no
    /// slack is used.
    instance_count: Option<(usize, Instant)>,
}

impl ServiceRetryBudget {
    /// Returns a budget without any counts. An earlier process of the instance may have used its
    /// part of the slack just before, so the new process uses less during its first window, unless
    /// [`ServiceRetryBudget::allow_slack`] is called.
    pub fn new(now: Instant, limits: RetryLimits) -> ServiceRetryBudget {
        ServiceRetryBudget {
            limits,
            buckets: [(0, 0); BUCKETS + 1],
            current_bucket: 0,
            bucket_start: now,
            slack_from: now + limits.window,
            instance_count: None,
        }
    }

    /// Allows the use of the slack from now on, as no earlier process can have used any.
    pub fn allow_slack(&mut self, now: Instant) {
        self.slack_from = now;
    }

    /// Sets the number of known instances of the service, between which the slack is divided. It must
    /// not be called before the instances have been listed.
    pub fn set_instance_count(&mut self, now: Instant, instance_count: usize) {
        let keeps_highest = self.instance_count.is_some_and(|(highest, known_at)| {
            let age = now.saturating_duration_since(known_at);
            instance_count < highest && age <= INSTANCE_COUNT_MEMORY
        });
        if !keeps_highest {
            self.instance_count = Some((instance_count.max(1), now));
        }
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current_bucket].0 += 1;
    }

    /// Returns whether an attempt is allowed that counts as a retry. `pending` is the number of
    /// such attempts that were allowed before and may still start. Nested requests may use a larger
    /// share, because a refusal also loses the work of their parent.
    pub fn allows(
        &mut self,
        now: Instant,
        attempt: AttemptKind,
        nested: bool,
        pending: usize,
    ) -> bool {
        let usable_share = match attempt {
            AttemptKind::First => return true,
            AttemptKind::NestedInRetry => NESTED_IN_RETRY_BUDGET_SHARE,
            AttemptKind::Retry if nested => NESTED_BUDGET_SHARE,
            AttemptKind::Retry => TOP_LEVEL_BUDGET_SHARE,
        };
        self.advance(now);
        let first_attempts: u32 = self.buckets.iter().map(|bucket| bucket.0).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.1).sum();
        let usable_slack = match self.slack_from.checked_duration_since(now) {
            Some(left) if !left.is_zero() => {
                let elapsed_share = 1.0 - left.as_secs_f64() / self.limits.window.as_secs_f64();
                FIRST_WINDOW_SLACK_SHARE * elapsed_share.max(0.0)
            }
            _ => 1.0,
        };
        let slack_part = self
            .instance_count
            .map_or(0.0, |(count, _)| usable_slack * self.limits.slack / count as f64);
        let allowed = usable_share * (self.limits.ratio * f64::from(first_attempts) + slack_part);
        f64::from(retries) + pending as f64 + 1.0 <= allowed
    }

    /// Counts an attempt that counts as a retry.
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
