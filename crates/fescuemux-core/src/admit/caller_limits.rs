//! Rate limits of callers: one token bucket for each caller, in a bounded table, and one shared
//! by all callers without a bucket of their own.

use crate::admit::CallerDemand;
use crate::base::{CallerId, Cx, HashMap};
use std::time::{Duration, Instant};

/// Fleet-wide rate limit of one caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerRateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Maximum number of requests admitted at once after a pause.
    pub burst: f64,
}

/// Settings of a [`CallerRateLimiter`].
#[derive(Clone, Debug)]
pub struct CallerRateLimiterConfig {
    /// Maximum number of callers with a bucket of their own.
    pub max_callers: usize,
    /// Limit that all callers without a bucket of their own share.
    pub shared_limit: CallerRateLimit,
    /// Share of a caller's limit that this daemon grants before the fleet-wide demand is known.
    pub initial_share: f64,
    /// Minimum capacity of a bucket in tokens, so that a small share still admits a request.
    pub min_burst: f64,
}

impl Default for CallerRateLimiterConfig {
    fn default() -> CallerRateLimiterConfig {
        CallerRateLimiterConfig {
            max_callers: 16_384,
            shared_limit: CallerRateLimit { rate: 10.0, burst: 20.0 },
            initial_share: 1.0,
            min_burst: 2.0,
        }
    }
}

/// Decision about one request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerDecision {
    /// The request is within the limit.
    Admitted,
    /// The request exceeds the limit.
    Limited {
        /// Time until the next token.
        retry_after: Duration,
    },
}

/// Token bucket of one caller, or the one shared by all callers without their own.
#[derive(Debug)]
struct Bucket {
    limit: CallerRateLimit,
    /// Share of `limit` that this daemon grants.
    share: f64,
    tokens: f64,
    refilled_at: Instant,
    /// Requests, admitted or not, since the last update of `demand`.
    new_requests: u32,
    /// Moving average of the requests per second, admitted or not.
    demand: f64,
}

/// Token buckets of all callers at one daemon.
#[derive(Debug)]
pub struct CallerRateLimiter {
    cfg: CallerRateLimiterConfig,
    buckets: HashMap<CallerId, Bucket>,
    /// Bucket that all callers without a bucket of their own share.
    shared_bucket: Bucket,
    /// Callers with demand above zero, or with requests since the last update of the demand.
    active: Vec<CallerId>,
    demands_updated_at: Instant,
}

impl CallerRateLimiter {
    /// Returns a rate limiter that knows no caller.
    pub fn new(cfg: CallerRateLimiterConfig, now: Instant) -> CallerRateLimiter {
        let mut shared_bucket = Bucket::new(cfg.shared_limit, cfg.initial_share, now);
        shared_bucket.tokens = shared_bucket.capacity(cfg.min_burst);
        let buckets = HashMap::default();
        CallerRateLimiter { cfg, buckets, shared_bucket, active: vec![], demands_updated_at: now }
    }

    /// Sets the limit of a caller from the configuration. Returns false when the table is full; the
    /// caller then uses the shared bucket.
    pub fn set(&mut self, cx: &mut Cx, caller: &CallerId, limit: CallerRateLimit) -> bool {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.refill(cx.now, self.cfg.min_burst);
            bucket.limit = limit;
            return true;
        }
        if self.buckets.len() >= self.cfg.max_callers {
            return false;
        }
        let mut bucket = Bucket::new(limit, self.cfg.initial_share, cx.now);
        bucket.tokens = bucket.capacity(self.cfg.min_burst);
        self.buckets.insert(caller.clone(), bucket);
        true
    }

    /// Removes a caller that is no longer in the configuration.
    pub fn remove(&mut self, caller: &CallerId) {
        self.buckets.remove(caller);
    }

    /// Sets the share of a caller's limit that this daemon grants, from zero to one.
    pub fn set_share(&mut self, cx: &mut Cx, caller: &CallerId, share: f64) {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.refill(cx.now, self.cfg.min_burst);
            bucket.share = share.clamp(0.0, 1.0);
        }
    }

    /// Decides about one request; an admitted request takes a token.
    pub fn admit(&mut self, cx: &mut Cx, caller: &CallerId) -> CallerDecision {
        let min_burst = self.cfg.min_burst;
        let Some(bucket) = self.buckets.get_mut(caller) else {
            self.shared_bucket.refill(cx.now, min_burst);
            return self.shared_bucket.take_token();
        };
        if bucket.new_requests == 0 && bucket.demand == 0.0 {
            self.active.push(caller.clone());
        }
        bucket.new_requests += 1;
        bucket.refill(cx.now, min_burst);
        bucket.take_token()
    }

    /// Updates the demand of active callers and returns what to report to the daemons that
    /// aggregate it. To be called about once a second.
    ///
    /// Demand below a quarter of an equal share of the caller's limit is omitted. This lets a
    /// caller exceed its limit by at most a quarter, and most callers cost no message.
    pub fn demand_reports(&mut self, cx: &mut Cx, live_daemons: usize) -> Vec<CallerDemand> {
        const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);
        const MIN_REPORTED_SHARE: f64 = 0.25;
        let elapsed = cx.now.saturating_duration_since(self.demands_updated_at).as_secs_f64();
        if elapsed == 0.0 {
            return vec![];
        }
        self.demands_updated_at = cx.now;
        let sample_weight = 1.0 - (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let mut reports = vec![];
        let buckets = &mut self.buckets;
        self.active.retain(|caller| {
            let Some(bucket) = buckets.get_mut(caller) else {
                return false;
            };
            let rate = bucket.update_demand(elapsed, sample_weight);
            if rate > bucket.limit.rate * MIN_REPORTED_SHARE / live_daemons.max(1) as f64 {
                reports.push(CallerDemand { caller: caller.clone(), rate });
            }
            rate > 0.0
        });
        reports
    }

    /// Applies a caller's demand over all daemons. While it is within the limit, this daemon grants
    /// the whole limit; otherwise it grants the share that its own demand has of the total.
    pub fn set_fleet_demand(&mut self, cx: &mut Cx, caller: &CallerId, fleet_rate: f64) {
        let Some(bucket) = self.buckets.get(caller) else {
            return;
        };
        // A limit that is not exceeded is not divided, because small shares would cut off short
        // bursts.
        let within_limit = fleet_rate <= bucket.limit.rate;
        let share = if within_limit { 1.0 } else { bucket.demand / fleet_rate.max(bucket.demand) };
        self.set_share(cx, caller, share);
    }

    /// Returns the number of callers with a bucket of their own.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no caller has a bucket of its own.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

impl Bucket {
    fn new(limit: CallerRateLimit, share: f64, now: Instant) -> Bucket {
        Bucket { limit, share, tokens: 0.0, refilled_at: now, new_requests: 0, demand: 0.0 }
    }

    fn capacity(&self, min_burst: f64) -> f64 {
        // A rate of zero refuses the caller.
        if self.limit.rate <= 0.0 {
            return 0.0;
        }
        (self.limit.burst * self.share).max(min_burst)
    }

    fn refill(&mut self, now: Instant, min_burst: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let new_tokens = elapsed * self.limit.rate * self.share;
        self.tokens = (self.tokens + new_tokens).min(self.capacity(min_burst));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Updates and returns the demand. The rate of the last `elapsed` seconds enters the moving
    /// average with the weight `sample_weight`.
    fn update_demand(&mut self, elapsed: f64, sample_weight: f64) -> f64 {
        const MIN_DEMAND: f64 = 1e-3;
        self.demand += sample_weight * (f64::from(self.new_requests) / elapsed - self.demand);
        self.new_requests = 0;
        if self.demand < MIN_DEMAND {
            self.demand = 0.0;
        }
        self.demand
    }

    fn take_token(&mut self) -> CallerDecision {
        const MAX_RETRY_AFTER_SECS: f64 = 60.0;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return CallerDecision::Admitted;
        }
        let rate = self.limit.rate * self.share;
        if rate <= 0.0 {
            return CallerDecision::Limited {
                retry_after: Duration::from_secs_f64(MAX_RETRY_AFTER_SECS),
            };
        }
        let wait = ((1.0 - self.tokens) / rate).min(MAX_RETRY_AFTER_SECS);
        CallerDecision::Limited { retry_after: Duration::from_secs_f64(wait) }
    }
}
