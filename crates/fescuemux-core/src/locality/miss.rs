//! Probability that a request misses its objective at a server.

use crate::base::{DomainId, ServiceId};
use crate::placement::{LoadReport, survival};
use std::time::Duration;

/// Share of the time to its deadline for which a guard lets a nested request wait.
const NESTED_WAIT_SHARE: f64 = 0.3;

/// Multiple of the expected running time that passes before a failed idempotent request is sent
/// again; requests are hedged after that time.
const RETRY_DELAY_RATIO: f64 = 2.0;

/// Least loss of an idempotent request that a server fails, relative to a lost request: the retry
/// takes a second slot and a part of the retry budget. The same relation as between the two costs in
/// [`PlacementCost`](crate::placement::PlacementCost).
const RETRY_LOSS: f64 = 0.5;

/// Loss of a request that a server refuses without running it, relative to a lost request. The same
/// relation as between the two costs in [`PlacementCost`](crate::placement::PlacementCost).
const SHED_LOSS: f64 = 0.25;

/// Probability of missing the objective without a wait from which the objective counts as lost, and
/// the deadline takes its place.
const LOST_OBJECTIVE: f64 = 0.5;

/// Shortest running time used in a quotient.
const MIN_RUNNING_TIME: Duration = Duration::from_millis(1);

/// Request for which a server is selected.
#[derive(Clone, Debug)]
pub struct PlacedRequest {
    /// Failure domain of the ingress.
    pub home: DomainId,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a running request waits for this one.
    pub nested: bool,
    /// Expected size of the request and its answer.
    pub kilobytes: f64,
    /// Expected running time.
    pub running_time: Duration,
    /// Time until the objective.
    pub time_to_objective: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Whether all instances of the home domain that were tried before refused the request or did
    /// not reply.
    pub refused_at_home: bool,
}

impl PlacedRequest {
    /// Returns the probability that the request is answered too late if it starts after `delay`.
    pub(super) fn late_probability(&self, delay: Duration) -> f64 {
        let running = self.running_time.max(MIN_RUNNING_TIME).as_secs_f64();
        let slack = self.slack().as_secs_f64() - delay.as_secs_f64();
        survival(slack / running)
    }

    /// Returns the probability that the request is lost or late at a server, where it arrives after
    /// `path_delay`, and `domain_excess` is the additional failure probability of the server's
    /// domain.
    pub(super) fn miss_probability(
        &self,
        report: &LoadReport,
        path_delay: Duration,
        domain_excess: f64,
    ) -> f64 {
        // A server that is slower than others delays the answer by the difference.
        let slowdown = report.expected_running_time.saturating_sub(self.running_time);
        let delay = report.expected_wait + path_delay + slowdown;
        let late = self.late_probability(delay);
        let failure = 1.0 - (1.0 - report.failure_probability) * (1.0 - domain_excess);
        let late_if_failed = match self.idempotent {
            true => {
                let retry_delay = self.running_time.mul_f64(RETRY_DELAY_RATIO);
                self.late_probability(delay + retry_delay).max(RETRY_LOSS)
            }
            false => 1.0,
        };
        let miss = late + failure * (late_if_failed - late) + report.shed_probability * SHED_LOSS;
        if miss.is_nan() { 1.0 } else { miss.clamp(0.0, 1.0) }
    }

    /// Returns the time within which an answer is worth most of what it still can be.
    fn slack(&self) -> Duration {
        let running = self.running_time.max(MIN_RUNNING_TIME);
        let objective = self.time_to_objective.min(self.time_left);
        let ratio = objective.as_secs_f64() / running.as_secs_f64();
        let slack = match survival(ratio) > LOST_OBJECTIVE {
            true => self.time_left,
            false => objective,
        };
        match self.nested {
            true => slack.min(self.time_left.mul_f64(NESTED_WAIT_SHARE) + running),
            false => slack,
        }
    }
}
