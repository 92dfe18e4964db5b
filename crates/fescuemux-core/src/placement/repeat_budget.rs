//! Fleet-wide bound of repeats at a service, kept by each ingress for its own part.

use std::time::{Duration, Instant};

/// Bound of arrivals beyond the first of each request, over the fleet and any window.
#[derive(Clone, Copy, Debug)]
pub struct RepeatLimits {
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

/// Share of the allowance that is used. The rest covers the calls that a repeat makes at other
/// services and ingresses that believe in a smaller fleet.
const USED: f64 = 0.7;

/// Repeats and requests of one service at one ingress.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    buckets: [(u32, u32); BUCKETS + 1],
    current: usize,
    bucket_start: Instant,
}

impl RepeatBudget {
    /// Returns a budget without a record.
    pub fn new(now: Instant, limits: RepeatLimits) -> RepeatBudget {
        RepeatBudget { limits, buckets: [(0, 0); BUCKETS + 1], current: 0, bucket_start: now }
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].0 += 1;
    }

    /// Takes one repeat from the budget and returns whether it is allowed. `ingresses` is the
    /// number among which the fleet's slack is divided.
    pub fn try_repeat(&mut self, now: Instant, ingresses: usize) -> bool {
        self.advance(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.0).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.1).sum();
        let share = self.limits.slack / ingresses.max(1) as f64;
        let allowed = USED * (self.limits.ratio * f64::from(requests) + share);
        if f64::from(repeats) + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.buckets[self.current].1 += 1;
        true
    }

    /// Returns a repeat that did not take place.
    pub fn give_back(&mut self) {
        let repeats = &mut self.buckets[self.current].1;
        *repeats = repeats.saturating_sub(1);
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
