//! Breaker of the path from this ingress to one instance.
//!
//! Path failures are charged here and never to the backend server, whose health only its guard
//! judges.

use crate::base::Cx;
use rand::Rng;
use std::time::{Duration, Instant};

/// Settings of a breaker.
#[derive(Clone, Debug)]
pub struct BreakerConfig {
    /// Failure score that opens the breaker. A failure adds one, a success halves the score.
    pub failure_threshold: f64,
    /// Time that the breaker stays open the first time.
    pub min_open: Duration,
    /// Longest time that the breaker stays open; the time doubles with each failed trial.
    pub max_open: Duration,
    /// Shortest time between two probes of the ingress. When regions lose each other, hundreds
    /// of paths are open at once and their probes must stay within the control bandwidth.
    pub probe_interval: Duration,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig {
            failure_threshold: 2.0,
            min_open: Duration::from_millis(500),
            max_open: Duration::from_secs(1),
            probe_interval: Duration::from_millis(100),
        }
    }
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Lets every request through.
    Closed,
    /// Lets nothing through until the time given.
    Open(Instant),
    /// Waits since the time given for a request to try the path with.
    HalfOpen(Instant),
    /// One trial is under way and counts as lost at the time given.
    TrialInFlight(Instant),
}

#[derive(Debug)]
pub(super) struct Breaker {
    state: BreakerState,
    score: f64,
    open_for: Duration,
}

impl Breaker {
    pub(super) fn new(cfg: &BreakerConfig) -> Breaker {
        Breaker { state: BreakerState::Closed, score: 0.0, open_for: cfg.min_open }
    }

    pub(super) fn state(&self) -> BreakerState {
        self.state
    }

    /// Closes the breaker after any proof that the path works in both directions.
    pub(super) fn on_success(&mut self, cfg: &BreakerConfig) {
        self.score /= 2.0;
        if self.state == BreakerState::Closed {
            return;
        }
        self.score = 0.0;
        self.open_for = cfg.min_open;
        self.state = BreakerState::Closed;
    }

    pub(super) fn on_failure(&mut self, cx: &mut Cx, cfg: &BreakerConfig) {
        match self.state {
            BreakerState::Closed => {
                self.score += 1.0;
                if self.score < cfg.failure_threshold {
                    return;
                }
                self.open(cx);
            }
            // Requests sent before the breaker opened say nothing new.
            BreakerState::Open(_) => {}
            BreakerState::HalfOpen(_) | BreakerState::TrialInFlight(_) => {
                self.open_for = (self.open_for * 2).min(cfg.max_open);
                self.open(cx);
            }
        }
    }

    /// Returns to half-open when a trial ended without telling anything about the path.
    pub(super) fn on_trial_void(&mut self, now: Instant) {
        if let BreakerState::TrialInFlight(_) = self.state {
            self.state = BreakerState::HalfOpen(now);
        }
    }

    pub(super) fn start_trial(&mut self, now: Instant, timeout: Duration) {
        self.state = BreakerState::TrialInFlight(now + timeout);
    }

    /// Moves on when the time of the present state is over. Returns the time to call again.
    pub(super) fn tick(&mut self, now: Instant) -> Option<Instant> {
        match self.state {
            BreakerState::Open(until) | BreakerState::TrialInFlight(until) if until <= now => {
                self.state = BreakerState::HalfOpen(now);
                None
            }
            BreakerState::Open(until) | BreakerState::TrialInFlight(until) => Some(until),
            BreakerState::Closed | BreakerState::HalfOpen(_) => None,
        }
    }

    fn open(&mut self, cx: &mut Cx) {
        // Spreads the trials of many ingresses that saw the same fault at the same time.
        let jitter = cx.rng.random_range(0.75..1.25);
        self.state = BreakerState::Open(cx.now + self.open_for.mul_f64(jitter));
    }
}
