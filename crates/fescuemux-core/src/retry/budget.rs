//! Retry budget of one service at one ingress, a token bucket.

use crate::base::{Cx, Verdict};
use crate::retry::{Attempt, GiveUpReason, RetryDecision};
use rand::Rng;
use std::time::{Duration, Instant};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Limit of retries and hedges as a share of requests; zero allows none at all.
    pub ratio: f64,
    /// Minimum refill rate of the budget, in retries per second, for a service with few requests.
    pub min_rate: f64,
    /// Minimum capacity of the budget, in retries; for a busy service the capacity is the refill of
    /// one second.
    pub min_burst: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Mean wait before the second attempt; doubles with each further attempt.
    pub backoff: Duration,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            ratio: 0.1,
            min_rate: 0.02,
            min_burst: 1.0,
            max_attempts: 3,
            backoff: Duration::from_millis(5),
        }
    }
}

/// Share of the ratio that each request adds to the budget. The rest covers the initial burst: with
/// 540 ingresses of 1.2 requests/s each, a burst of one retry at each ingress is 1.4% of a minute's
/// requests.
const EARNED_SHARE: f64 = 0.8;

/// Window in which the minimum rate is compared with the tokens that requests have added.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(10);

/// Minimum balance for a retry; lower than one by more than the rounding errors of many additions.
const MIN_TOKENS: f64 = 1.0 - 1e-6;

/// Limits the retries and hedges of a service to a share of its requests.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    tokens: f64,
    capacity: f64,
    window_start: Instant,
    requests_in_window: u32,
    tokens_in_window: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(mut cfg: RetryConfig, now: Instant) -> RetryBudget {
        if cfg.ratio <= 0.0 {
            (cfg.min_burst, cfg.min_rate) = (0.0, 0.0);
        }
        RetryBudget {
            tokens: cfg.min_burst,
            capacity: cfg.min_burst,
            cfg,
            window_start: now,
            requests_in_window: 0,
            tokens_in_window: 0.0,
        }
    }

    /// Counts a new request of a caller; retries must not be counted.
    pub fn on_request(&mut self, cx: &mut Cx) {
        self.refill(cx.now);
        // Tokens that a full bucket cannot take must not count, or a service that uses its burst
        // after a quiet time would not get the minimum rate in that window.
        self.tokens_in_window += self.add_tokens(self.cfg.ratio * EARNED_SHARE);
        self.requests_in_window += 1;
    }

    /// Decides about a failed attempt; a retry takes a token from the budget.
    pub fn decide(&mut self, cx: &mut Cx, attempt: &Attempt) -> RetryDecision {
        let after = self.backoff(cx, attempt);
        let verdict = attempt.verdict.max(attempt.previous_verdict);
        if let Some(reason) = self.give_up_reason(attempt, after) {
            return RetryDecision::GiveUp { verdict, reason };
        }
        if !self.take_token(cx) {
            return RetryDecision::GiveUp { verdict, reason: GiveUpReason::BudgetExhausted };
        }
        RetryDecision::Retry { after }
    }

    /// Decides whether a slow attempt of an idempotent request is hedged with a second, parallel
    /// attempt; a hedge takes a token from the budget.
    pub fn try_hedge(&mut self, cx: &mut Cx, attempt: &Attempt) -> bool {
        if !attempt.idempotent {
            return false;
        }
        if self.give_up_reason(attempt, Duration::ZERO).is_some() {
            return false;
        }
        self.take_token(cx)
    }

    /// Returns the number of retries left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn give_up_reason(&self, attempt: &Attempt, after: Duration) -> Option<GiveUpReason> {
        let verdict = attempt.verdict.max(attempt.previous_verdict);
        if !attempt.idempotent && verdict != Verdict::NotRun {
            return Some(GiveUpReason::MayHaveRun);
        }
        if !attempt.body_replayable {
            return Some(GiveUpReason::BodyConsumed);
        }
        if after + attempt.expected_latency > attempt.time_to_deadline {
            return Some(GiveUpReason::DeadlineTooClose);
        }
        (attempt.attempts >= self.cfg.max_attempts).then_some(GiveUpReason::MaxAttemptsReached)
    }

    fn backoff(&self, cx: &mut Cx, attempt: &Attempt) -> Duration {
        const MAX_DOUBLINGS: u32 = 10;
        let doublings = attempt.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let jitter = cx.rng.random_range(0.5..1.5);
        let backoff = (self.cfg.backoff * (1 << doublings)).mul_f64(jitter);
        backoff.max(attempt.retry_after.unwrap_or_default())
    }

    fn take_token(&mut self, cx: &mut Cx) -> bool {
        self.refill(cx.now);
        if self.tokens < MIN_TOKENS {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < MIN_RATE_WINDOW {
            return;
        }
        // If several windows have passed, requests came only in the first: each request calls
        // `refill`.
        let min_rate_tokens = self.cfg.min_rate * MIN_RATE_WINDOW.as_secs_f64();
        let missing_tokens = (min_rate_tokens - self.tokens_in_window).max(0.0);
        let later_tokens = self.cfg.min_rate * (elapsed - MIN_RATE_WINDOW).as_secs_f64();
        let request_rate = f64::from(self.requests_in_window) / elapsed.as_secs_f64();
        self.capacity = self.cfg.min_burst.max(request_rate * self.cfg.ratio * EARNED_SHARE);
        self.window_start = now;
        self.requests_in_window = 0;
        self.tokens_in_window = 0.0;
        self.add_tokens(missing_tokens + later_tokens);
    }

    /// Adds tokens up to the capacity and returns how many were added.
    fn add_tokens(&mut self, amount: f64) -> f64 {
        let tokens_before = self.tokens;
        self.tokens = (tokens_before + amount).min(self.capacity.max(tokens_before));
        self.tokens - tokens_before
    }
}
