//! Evidence that a backend server fails, at a few requests a second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Log-odds of a fault without evidence: at any time about one server in seven fails some of
/// its requests.
const PRIOR: f64 = -1.7;

/// Share of its requests that a failing server answers all the same.
const SURVIVES: f64 = 0.3;

/// Log-odds of a success: a sound server answers nearly all, a failing one the share above.
const SUCCESS: f64 = -1.2;

/// Log-odds of a failure, between a server that fails most requests and one that fails 2%.
const FAILURE: f64 = 3.4;

/// Least probability that a sound server still works on a request. About one request in a
/// hundred takes many times the usual time, so longer waits say no more.
const MIN_SURVIVAL: f64 = 0.012;

/// Bounds of the log-odds, so that a long good record does not hide a fault and a long fault
/// does not outlive its end by more than a few requests.
const BEST: f64 = -4.0;
const WORST: f64 = 4.0;

/// Time in which the evidence loses half its distance from the prior. Faults last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Multiple of the expected time after which most requests of a sound server have ended.
const MOST_ENDED: u32 = 2;

/// Multiple of the expected time from which a running request counts whatever else the server
/// answered: one in twenty at a sound server runs so long.
const OVERDUE_RATIO: f64 = 3.0;

/// Share of the evidence of an overdue request that is left after a success. A server whose fault
/// has ended answers while requests from the time of the fault still hang.
const LEFT_BY_SUCCESS: f64 = 0.5;

/// Successes that are kept; more of them leave almost nothing of the evidence.
const MAX_SUCCESSES: usize = 8;

/// What one request says about its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The server answered as asked.
    Success,
    /// The server answered with an error of its own, broke off, or answered wrongly.
    Failure,
    /// The request was given up after this multiple of its expected time.
    Unanswered(f64),
}

/// A request that runs, with its expected time, which is not zero.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// Time for which it has run.
    pub elapsed: Duration,
    /// Expected running time.
    pub expected_running_time: Duration,
}

/// Probability that a server fails, from the requests that ended and those that still run.
///
/// Requests that hang show no failure until their deadline, so the time for which a request
/// has run counts as it passes: the probability of running for that long at a sound server is
/// compared with that at a failing one. A server that answers one request was sound until then,
/// so the others count for the time since. Otherwise a full server would be doubted for having
/// many requests that run.
#[derive(Clone, Debug)]
pub struct FaultEstimator {
    log_odds: f64,
    at: Instant,
    /// Times of the last successes, or of the start.
    successes: VecDeque<Instant>,
}

impl FaultEstimator {
    /// Returns the state of a server without a record.
    pub fn new(now: Instant) -> FaultEstimator {
        FaultEstimator { log_odds: PRIOR, at: now, successes: VecDeque::from([now]) }
    }

    /// Adds what a request showed.
    pub fn add(&mut self, now: Instant, evidence: Evidence) {
        let odds = match evidence {
            Evidence::Success => {
                self.successes.push_back(now);
                if self.successes.len() > MAX_SUCCESSES {
                    self.successes.pop_front();
                }
                SUCCESS
            }
            Evidence::Failure => FAILURE,
            Evidence::Unanswered(ratio) => still_running(ratio),
        };
        self.log_odds = (self.faded(now) + odds).clamp(BEST, WORST);
        self.at = now;
    }

    /// Returns the probability of a fault, given the requests that still run. What hung long ago
    /// says little of the server now, so the evidence of a request fades from the time at which
    /// most others of its route would have ended.
    pub fn probability(&self, now: Instant, running: impl Iterator<Item = InFlightRequest>) -> f64 {
        let last_success = self.successes.back().copied().unwrap_or(now);
        let proven = now.saturating_duration_since(last_success);
        let running: f64 = running
            .map(|request| {
                let ratio = |elapsed: Duration| {
                    elapsed.as_secs_f64() / request.expected_running_time.as_secs_f64()
                };
                let overdue =
                    request.elapsed.saturating_sub(request.expected_running_time * MOST_ENDED);
                let odds = match still_running(ratio(request.elapsed)) {
                    odds if ratio(request.elapsed) >= OVERDUE_RATIO => {
                        odds * LEFT_BY_SUCCESS.powi(self.successes_within(now, overdue))
                    }
                    odds => odds - still_running(ratio(request.elapsed.saturating_sub(proven))),
                };
                odds * fading(overdue)
            })
            .sum();
        let log_odds = (self.faded(now) + running).clamp(BEST, WORST);
        1.0 / (1.0 + (-log_odds).exp())
    }

    fn successes_within(&self, now: Instant, age: Duration) -> i32 {
        let ages = self.successes.iter().map(|at| now.saturating_duration_since(*at));
        ages.filter(|success| *success < age).count() as i32
    }

    fn faded(&self, now: Instant) -> f64 {
        PRIOR + (self.log_odds - PRIOR) * fading(now.saturating_duration_since(self.at))
    }
}

/// Share of evidence that is left after `age`.
fn fading(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Log-odds of a request that has run for `ratio` times its expected time and has not ended.
fn still_running(ratio: f64) -> f64 {
    let survival = survival(ratio).max(MIN_SURVIVAL);
    ((1.0 - SURVIVES + SURVIVES * survival) / survival).ln()
}

/// Probability that a request at a sound server runs longer than `ratio` times the mean. Log-
/// logistic, close to a log-normal distribution with a deviation of 0.8, the widest of the
/// users' routes.
fn survival(ratio: f64) -> f64 {
    const SCALE: f64 = 1.97;
    const SHAPE: f64 = 2.13;
    1.0 / (1.0 + SCALE * ratio.max(0.0).powf(SHAPE))
}
