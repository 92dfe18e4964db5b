//! Result of weighing the evidence about one backend server.

use std::fmt;
use std::time::Duration;

/// Strength of the evidence against a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// The score is below every threshold.
    Healthy,
    /// The evidence suffices to steer requests to other servers, which removes no capacity.
    Suspect,
    /// The evidence suffices to eject, and the suspicion lasted longer than the baseline needs to
    /// follow a slowdown of the whole service.
    Bad,
}

/// One part of the evidence, with its score in nats.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// Finished requests took longer than the reference latency.
    Latency {
        /// Log-likelihood ratio of the recent latencies.
        score: f64,
        /// Median latency of the newest successful answers.
        median: Duration,
        /// Latency expected of a healthy server.
        reference: Duration,
    },
    /// Requests in flight are older than expected at a healthy server.
    InFlightAge {
        /// Sum of the scores of the requests in flight.
        score: f64,
        /// Number of requests in flight with a positive score.
        requests: usize,
        /// Age of the oldest request in flight.
        oldest: Duration,
    },
    /// Requests failed more often than expected of a healthy server.
    Failures {
        /// Log-likelihood ratio of the recent outcomes.
        score: f64,
        /// Failures since the score was last zero.
        failures: usize,
        /// Finished requests since the score was last zero.
        requests: usize,
        /// Error ratio that a healthy server is expected to have.
        expected: f64,
    },
    /// Probes of the health endpoint failed.
    Probes {
        /// Score of the failed probes. Its upper bound is far below every threshold.
        score: f64,
        /// Number of consecutive failed probes.
        failures: u32,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Latency { score, median, reference } => {
                write!(f, "latency {median:.1?} against {reference:.1?} (score {score:.1})")
            }
            Reason::InFlightAge { score, requests, oldest } => {
                write!(f, "{requests} in flight, oldest {oldest:.1?} (score {score:.1})")
            }
            Reason::Failures { score, failures, requests, expected } => {
                let percent = expected * 100.0;
                write!(
                    f,
                    "{failures} of {requests} failed, {percent:.1}% expected (score {score:.1})"
                )
            }
            Reason::Probes { score, failures } => {
                write!(f, "{failures} probes failed in a row (score {score:.1})")
            }
        }
    }
}

/// Assessment of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Assessment {
    /// Strength of the evidence.
    pub level: Level,
    /// Log-likelihood ratio of "faulty" to "healthy", in nats; never negative.
    pub score: f64,
    /// Parts of the evidence whose scores a healthy server rarely reaches by chance, and any failed
    /// probes.
    pub reasons: Vec<Reason>,
}
