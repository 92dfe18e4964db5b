//! Circuit breaker for the network path from this ingress to one instance.
//!
//! A path failure counts against the path only. The health of the backend server is decided by
//! its guard.

use crate::base::Cx;
use rand::Rng;
use std::time::{Duration, Instant};

/// Settings of a circuit breaker.
#[derive(Clone, Debug)]
pub struct BreakerConfig {
    /// Failure score that opens the breaker. A failure adds one, a success halves the score.
    pub failure_threshold: f64,
    /// Open time, before jitter, when a closed breaker opens.
    pub min_open_time: Duration,
    /// Upper bound of the open time, before jitter. The open time doubles with each failure in the
    /// half-open state or during a trial.
    pub max_open_time: Duration,
    /// Minimum time between two path probes of the ingress. A partition between regions opens
    /// hundreds of paths at once, and probes of all of them must stay within the bandwidth for
    /// control messages.
    pub probe_interval: Duration,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig {
            failure_threshold: 2.0,
            min_open_time: Duration::from_millis(500),
            max_open_time: Duration::from_secs(1),
            probe_interval: Duration::from_millis(100),
        }
    }
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Lets every request through.
    Closed,
    /// Blocks requests until this time, unless the service has no serving or steered server.
    Open(Instant),
    /// Allows one trial. Holds the time at which the breaker became half-open.
    HalfOpen(Instant),
    /// A trial is in progress. Without a result by this time, another trial is allowed.
    TrialInFlight(Instant),
}

#[derive(Debug)]
pub(super) struct Breaker {
    state: BreakerState,
    failure_score: f64,
    /// Length of the current open state, or else of the next one, before jitter.
    open_time: Duration,
}

impl Breaker {
    pub(super) fn new(cfg: &BreakerConfig) -> Breaker {
        Breaker { state: BreakerState::Closed, failure_score: 0.0, open_time: cfg.min_open_time }
    }

    pub(super) fn state(&self) -> BreakerState {
        self.state
    }

    /// Records that the path works in both directions, and closes the breaker.
    pub(super) fn on_success(&mut self, cfg: &BreakerConfig) {
        self.failure_score /= 2.0;
        if self.state == BreakerState::Closed {
            return;
        }
        self.failure_score = 0.0;
        self.open_time = cfg.min_open_time;
        self.state = BreakerState::Closed;
    }

    pub(super) fn on_failure(&mut self, cx: &mut Cx, cfg: &BreakerConfig) {
        match self.state {
            BreakerState::Closed => {
                self.failure_score += 1.0;
                if self.failure_score < cfg.failure_threshold {
                    return;
                }
                self.open(cx);
            }
            // Failures of requests sent before the breaker opened are not counted again.
            BreakerState::Open(_) => {}
            BreakerState::HalfOpen(_) | BreakerState::TrialInFlight(_) => {
                self.open_time = (self.open_time * 2).min(cfg.max_open_time);
                self.open(cx);
            }
        }
    }

    /// Returns to half-open after a trial that neither confirmed nor refuted the path.
    pub(super) fn on_trial_inconclusive(&mut self, now: Instant) {
        if let BreakerState::TrialInFlight(_) = self.state {
            self.state = BreakerState::HalfOpen(now);
        }
    }

    pub(super) fn start_trial(&mut self, now: Instant, timeout: Duration) {
        self.state = BreakerState::TrialInFlight(now + timeout);
    }

    /// Changes an open or trial state whose time is over to half-open. Returns the time at which
    /// the next such change is due.
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
        // Jitter spreads the trials of ingresses that saw the same fault at the same time.
        let jitter = cx.rng.random_range(0.75..1.25);
        self.state = BreakerState::Open(cx.now + self.open_time.mul_f64(jitter));
    }
}
