//! Retry budget of one service at one ingress.

use crate::base::{Cx, Verdict};
use crate::retry::{Attempt, GiveUpReason, RetryDecision};
use rand::Rng;
use std::time::{Duration, Instant};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Bound of retries and hedges, as a share of requests; zero permits none at all.
    pub ratio: f64,
    /// Retries a second that a quiet service earns at least.
    pub min_rate: f64,
    /// Retries that can be saved up at least; a busy service saves up those of one second.
    pub min_burst: f64,
    /// Most attempts of one request.
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

/// Share of the ratio that each request earns. The rest pays for the burst: with 540
/// ingresses of 1.2 requests/s each, a reserve of one retry is 1.4% of a minute's requests.
const EARNED: f64 = 0.8;

/// Window over which the floor rate is compared with the retries earned by requests.
const WINDOW: Duration = Duration::from_secs(10);

/// Balance that allows a retry; below one by more than the rounding errors of many additions.
const ONE_RETRY: f64 = 1.0 - 1e-6;

/// Budget that limits retries and hedges of a service to a share of its requests.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    tokens: f64,
    capacity: f64,
    window_start: Instant,
    requests_in_window: u32,
    earned_in_window: f64,
}

impl RetryBudget {
    /// Returns a budget with its reserve full.
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
            earned_in_window: 0.0,
        }
    }

    /// Counts a request of a caller, not its retries.
    pub fn on_request(&mut self, cx: &mut Cx) {
        self.top_up(cx.now);
        // What the full reserve cuts off must not count, or a quiet service that spends its
        // reserve gets no floor for a window.
        self.earned_in_window += self.earn(self.cfg.ratio * EARNED);
        self.requests_in_window += 1;
    }

    /// Decides about a failed attempt and takes from the budget when it is repeated.
    pub fn decide(&mut self, cx: &mut Cx, attempt: &Attempt) -> RetryDecision {
        let after = self.wait(cx, attempt);
        let verdict = attempt.verdict.max(attempt.previous_verdict);
        if let Some(reason) = self.refusal(attempt, after) {
            return RetryDecision::GiveUp { verdict, reason };
        }
        if !self.spend(cx) {
            return RetryDecision::GiveUp { verdict, reason: GiveUpReason::BudgetExhausted };
        }
        RetryDecision::Retry { after }
    }

    /// Decides whether a slow attempt of an idempotent request gets a second one beside it,
    /// and takes from the budget when it does.
    pub fn try_hedge(&mut self, cx: &mut Cx, attempt: &Attempt) -> bool {
        if !attempt.idempotent {
            return false;
        }
        if self.refusal(attempt, Duration::ZERO).is_some() {
            return false;
        }
        self.spend(cx)
    }

    /// Returns the retries left, in requests.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refusal(&self, attempt: &Attempt, after: Duration) -> Option<GiveUpReason> {
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

    fn wait(&self, cx: &mut Cx, attempt: &Attempt) -> Duration {
        const MAX_DOUBLINGS: u32 = 10;
        let doublings = attempt.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let jitter = cx.rng.random_range(0.5..1.5);
        let backoff = (self.cfg.backoff * (1 << doublings)).mul_f64(jitter);
        backoff.max(attempt.retry_after.unwrap_or_default())
    }

    fn spend(&mut self, cx: &mut Cx) -> bool {
        self.top_up(cx.now);
        if self.tokens < ONE_RETRY {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn top_up(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.window_start);
        if passed < WINDOW {
            return;
        }
        // Only the first window held requests, or this call would have come earlier.
        let in_window = self.cfg.min_rate * WINDOW.as_secs_f64();
        let missing = (in_window - self.earned_in_window).max(0.0);
        let since = self.cfg.min_rate * (passed - WINDOW).as_secs_f64();
        let rate = f64::from(self.requests_in_window) / passed.as_secs_f64();
        self.capacity = self.cfg.min_burst.max(rate * self.cfg.ratio * EARNED);
        self.window_start = now;
        self.requests_in_window = 0;
        self.earned_in_window = 0.0;
        self.earn(missing + since);
    }

    /// Adds to the balance up to the reserve and returns what was added.
    fn earn(&mut self, amount: f64) -> f64 {
        let before = self.tokens;
        self.tokens = (before + amount).min(self.capacity.max(before));
        self.tokens - before
    }
}
