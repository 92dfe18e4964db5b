//! Bayesian estimate of the probability that a backend server is faulty, usable with only a few
//! requests a second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Log-odds of a fault without evidence: at any time about one server in seven fails some of its
/// requests.
const PRIOR_LOG_ODDS: f64 = -1.7;

/// Share of requests that a faulty server still answers.
const FAULTY_SUCCESS_RATE: f64 = 0.3;

/// Log-odds that a success adds: a healthy server answers nearly all requests, a faulty one
/// [`FAULTY_SUCCESS_RATE`] of them.
const SUCCESS_LOG_ODDS: f64 = -1.2;

/// Log-odds that a failure adds: a faulty server fails most requests, a healthy one 2%.
const FAILURE_LOG_ODDS: f64 = 3.4;

/// Lower bound of the probability that a healthy server still works on a request. About one request
/// in a hundred takes many times the usual time, so an even longer run is no further evidence.
const MIN_SURVIVAL: f64 = 0.012;

/// Bounds of the log-odds, so that many successes do not hide a new fault, and a long fault is
/// forgotten within a few requests after its end.
const MIN_LOG_ODDS: f64 = -4.0;
const MAX_LOG_ODDS: f64 = 4.0;

/// Time in which the log-odds decay halfway to the prior. Faults last a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Multiple of the expected running time after which most requests on a healthy server have ended,
/// and the evidence of a request starts to decay.
const DECAY_START_RATIO: u32 = 2;

/// Multiple of the expected running time from which a request in flight is overdue: its whole
/// elapsed time counts as evidence, not only the time since the last success. On a healthy server
/// one request in twenty runs that long.
const OVERDUE_RATIO: f64 = 3.0;

/// Factor applied to the evidence of an overdue request for each success since that request had run
/// for [`DECAY_START_RATIO`] times its expected running time. A server whose fault has ended
/// answers requests while those sent during the fault still hang.
const SUCCESS_DISCOUNT: f64 = 0.5;

/// Maximum number of remembered successes. After that many, almost no evidence of an overdue
/// request remains.
const MAX_SUCCESSES: usize = 8;

/// Outcome of one request, as evidence for or against a fault of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The server answered without an error.
    Success,
    /// The server answered with an error of its own or with an invalid answer, or closed the
    /// connection.
    Failure,
    /// The request was canceled after this multiple of its expected running time.
    Unanswered(f64),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// Time since the request started.
    pub elapsed: Duration,
    /// Expected running time, not zero.
    pub expected_running_time: Duration,
}

/// Estimates the probability that a server is faulty from its ended requests and its requests in
/// flight.
///
/// A hanging request fails only at its deadline, so requests in flight count as their time passes:
/// the probability of running that long on a healthy server is compared with that on a faulty one.
/// A server that answers a request was healthy until then, so a request that is not overdue counts
/// only for the time since the last answer. Otherwise a fully used server would look faulty because
/// many requests are in flight.
#[derive(Clone, Debug)]
pub struct FaultEstimator {
    log_odds: f64,
    updated_at: Instant,
    /// Times of the last successes; at first, only the time at which the estimator was created.
    success_times: VecDeque<Instant>,
}

impl FaultEstimator {
    /// Returns an estimator without evidence.
    pub fn new(now: Instant) -> FaultEstimator {
        FaultEstimator {
            log_odds: PRIOR_LOG_ODDS,
            updated_at: now,
            success_times: VecDeque::from([now]),
        }
    }

    /// Adds the outcome of a request.
    pub fn add(&mut self, now: Instant, evidence: Evidence) {
        let evidence = match evidence {
            Evidence::Success => {
                self.success_times.push_back(now);
                if self.success_times.len() > MAX_SUCCESSES {
                    self.success_times.pop_front();
                }
                SUCCESS_LOG_ODDS
            }
            Evidence::Failure => FAILURE_LOG_ODDS,
            Evidence::Unanswered(ratio) => in_flight_log_odds(ratio),
        };
        self.log_odds = (self.decayed_log_odds(now) + evidence).clamp(MIN_LOG_ODDS, MAX_LOG_ODDS);
        self.updated_at = now;
    }

    /// Returns the probability of a fault, given the requests in flight. A hang that began long ago
    /// says little about the current state, so the evidence of a request decays from the time by
    /// which most requests of its route would have ended.
    pub fn probability(
        &self,
        now: Instant,
        in_flight: impl Iterator<Item = InFlightRequest>,
    ) -> f64 {
        let last_success = self.success_times.back().copied().unwrap_or(now);
        let since_success = now.saturating_duration_since(last_success);
        let in_flight_evidence: f64 = in_flight
            .map(|request| {
                let to_ratio = |elapsed: Duration| {
                    elapsed.as_secs_f64() / request.expected_running_time.as_secs_f64()
                };
                let decay_age = request
                    .elapsed
                    .saturating_sub(request.expected_running_time * DECAY_START_RATIO);
                let evidence = match in_flight_log_odds(to_ratio(request.elapsed)) {
                    evidence if to_ratio(request.elapsed) >= OVERDUE_RATIO => {
                        evidence * SUCCESS_DISCOUNT.powi(self.successes_within(now, decay_age))
                    }
                    evidence => {
                        evidence
                            - in_flight_log_odds(to_ratio(
                                request.elapsed.saturating_sub(since_success),
                            ))
                    }
                };
                evidence * decay(decay_age)
            })
            .sum();
        let log_odds =
            (self.decayed_log_odds(now) + in_flight_evidence).clamp(MIN_LOG_ODDS, MAX_LOG_ODDS);
        1.0 / (1.0 + (-log_odds).exp())
    }

    fn successes_within(&self, now: Instant, age: Duration) -> i32 {
        let success_ages =
            self.success_times.iter().map(|success| now.saturating_duration_since(*success));
        success_ages.filter(|success_age| *success_age < age).count() as i32
    }

    fn decayed_log_odds(&self, now: Instant) -> f64 {
        PRIOR_LOG_ODDS
            + (self.log_odds - PRIOR_LOG_ODDS)
                * decay(now.saturating_duration_since(self.updated_at))
    }
}

/// Returns the share of evidence that remains after `age`.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns the log-odds added by a request that has run unanswered for `ratio` times its expected
/// running time.
fn in_flight_log_odds(ratio: f64) -> f64 {
    let survival = survival(ratio).max(MIN_SURVIVAL);
    ((1.0 - FAULTY_SUCCESS_RATE + FAULTY_SUCCESS_RATE * survival) / survival).ln()
}

/// Returns the probability that a request on a healthy server runs longer than `ratio` times the
/// mean. The distribution is log-logistic, close to a log-normal distribution with a standard
/// deviation of 0.8 (of the logarithm), the widest of the users' routes.
pub(crate) fn survival(ratio: f64) -> f64 {
    const SCALE: f64 = 1.97;
    const SHAPE: f64 = 2.13;
    1.0 / (1.0 + SCALE * ratio.max(0.0).powf(SHAPE))
}
