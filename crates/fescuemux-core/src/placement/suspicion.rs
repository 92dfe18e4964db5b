//! Evidence that a backend server fails, at a few requests a second.

use std::time::{Duration, Instant};

/// Score from which a server is suspect. Two failures among three requests reach it from the
/// best record; one failure in about a hundred is ordinary and does not.
const SUSPECT_AT: f64 = 3.0;

/// Score at which a suspect server is trusted again.
const TRUSTED_AT: f64 = 0.5;

/// Logarithm of the odds that a failure comes from a server that fails 60% of its requests, and
/// not from a sound one that fails 2%.
const FAILURE: f64 = 3.4;

/// The same odds for a success.
const SUCCESS: f64 = -0.9;

/// Odds of a request that has run far longer than its like. Weaker than a failure, because a
/// few requests are long in the ordinary course.
const OVERDUE: f64 = 2.2;

/// Bounds of the score, so that a long good record does not hide a fault and a long fault does
/// not outlive its end by more than a few trials.
const BEST: f64 = -1.8;
const WORST: f64 = 5.0;

/// Time in which a score loses half its distance from zero; faults and evidence age alike.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// What one request says about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The server answered as asked.
    Success,
    /// The server answered with an error of its own, broke off, or answered wrongly.
    Failure,
    /// The request runs far longer than others of its route.
    Overdue,
}

/// Sequential test (CUSUM) between a sound and a failing server, with hysteresis.
#[derive(Clone, Debug)]
pub struct Suspicion {
    score: f64,
    at: Instant,
    suspect: bool,
}

impl Suspicion {
    /// Returns the state of a server without a record.
    pub fn new(now: Instant) -> Suspicion {
        Suspicion { score: 0.0, at: now, suspect: false }
    }

    /// Adds what a request showed and returns whether the server became suspect or trusted.
    pub fn add(&mut self, now: Instant, evidence: Evidence) -> bool {
        self.fade(now);
        let odds = match evidence {
            Evidence::Success => SUCCESS,
            Evidence::Failure => FAILURE,
            Evidence::Overdue => OVERDUE,
        };
        self.score = (self.score + odds).clamp(BEST, WORST);
        self.settle()
    }

    /// Returns whether the server is suspect.
    pub fn is_suspect(&mut self, now: Instant) -> bool {
        self.fade(now);
        self.settle();
        self.suspect
    }

    /// Returns the score; logs show it beside a decision.
    pub fn score(&self) -> f64 {
        self.score
    }

    fn fade(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.score *= (-passed / HALF_LIFE.as_secs_f64()).exp2();
        self.at = now;
    }

    fn settle(&mut self) -> bool {
        let was = self.suspect;
        self.suspect = self.score >= if was { TRUSTED_AT } else { SUSPECT_AT };
        was != self.suspect
    }
}
