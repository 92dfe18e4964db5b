//! A request for a slot, the decision about it, and its outcome.

use crate::fair_queue::FairShare;
use crate::placement::Precedence;
use std::time::{Duration, Instant};

/// Multiple of the mean running time that is reserved when the maximum wait is computed. The
/// standard deviation of running times is about half their mean, so most requests end within twice
/// the mean.
const RUNNING_TIME_FACTOR: f64 = 2.0;

/// Share of the time to its deadline for which a nested request waits for a slot at most, because
/// its parent holds another slot meanwhile. In the users' requirements, the objectives of nested
/// requests are the same share of their deadlines.
const NESTED_WAIT_SHARE: f64 = 0.3;

/// How a request counts in the retry budget of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptKind {
    /// No server has received the request before, and it is not nested in a retry.
    #[default]
    First,
    /// First attempt of a request nested in a retry. It counts as a retry, but may use more of the
    /// budget than a retry, because a refusal wastes the work of its parent.
    NestedInRetry,
    /// A server has received the request before.
    Retry,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Priority of the route; the smallest value goes first.
    pub priority: u8,
    /// Whether the request may run again on another server.
    pub idempotent: bool,
    /// Whether a request that runs on another server waits for this one.
    pub nested: bool,
    /// Tie breaker of the parent; see [`Precedence::tie_breaker`].
    pub tie_breaker: u16,
    /// Share of the request's customer among waiting requests of its priority; `None` without one.
    pub share: Option<FairShare>,
    /// How the request counts in the retry budget.
    pub attempt: AttemptKind,
    /// Hash of the route id, the key of the route's running times.
    pub route_hash: u64,
    /// Time by which the caller gets its final answer.
    pub deadline: Instant,
    /// Latency objective: time after which an answer is worth less to the caller.
    pub objective: Instant,
    /// Running time that the ingress expects, used until this server has answered a request of the
    /// route.
    pub expected_running_time: Duration,
    /// Whether the request waits when no slot is free.
    pub may_queue: bool,
}

impl SlotRequest {
    /// Returns the request's precedence among waiting requests.
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.nested, self.priority, self.tie_breaker)
    }

    /// Returns the longest wait after which a request that runs for `running_time` is still worth
    /// its slot. The wait of a top-level request must leave time to meet the objective, because a
    /// longer queue would delay all requests and serve no more of them; but a quarter of the time
    /// to the objective is always allowed. A nested request keeps its parent's slot in use while it
    /// waits, so under overload it must fail soon.
    pub(super) fn max_wait(&self, now: Instant, running_time: Duration) -> Duration {
        let time_left = self.deadline.saturating_duration_since(now);
        if self.nested {
            return time_left.mul_f64(NESTED_WAIT_SHARE);
        }
        let time_to_objective = self.objective.saturating_duration_since(now).min(time_left);
        time_to_objective
            .saturating_sub(running_time.mul_f64(RUNNING_TIME_FACTOR))
            .max(time_to_objective / 4)
    }

    /// Returns the time at which a top-level request stops waiting, a third of the way from its
    /// objective to its deadline. Under a load that makes it wait that long, the slot can serve
    /// another request in time, and the caller of this request can retry.
    pub(super) fn queue_deadline(&self) -> Instant {
        let time_after_objective = self.deadline.saturating_duration_since(self.objective);
        self.objective.min(self.deadline) + time_after_objective / 3
    }
}

/// Decision about a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The slot is reserved for a short time; the request may be sent.
    Granted,
    /// The request waits, for about this time.
    Queued(Duration),
    /// The request does not run on this server.
    Refused(Refusal),
}

/// Why an instance does not run a request. The request has not run there and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: SlotRefusalReason,
    /// Estimated time until a slot is free, if [`Refusal::estimates_wait`] returns true; otherwise
    /// a default wait before the next attempt.
    pub retry_in: Duration,
}

/// Reason of a [`Refusal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusalReason {
    /// No server of the service has registered, or the server has left.
    NoServer,
    /// The server is draining.
    Draining,
    /// The instance is shutting down.
    Stopping,
    /// No slot is free, and the request may not wait or the queue is full.
    Full,
    /// A slot is free, but the server takes no more requests now by the limit that it names, and the
    /// request may not wait or the queue is full.
    Limited,
    /// No slot is free and the server probably has a fault.
    LikelyFaulty,
    /// The retry budget of the service is exhausted.
    RetryBudget,
    /// The expected wait is too long for a useful answer, or the request has waited too long.
    TooLate,
}

impl SlotRefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SlotRefusalReason::NoServer => "no_server",
            SlotRefusalReason::Draining => "draining",
            SlotRefusalReason::Stopping => "stopping",
            SlotRefusalReason::Full => "full",
            SlotRefusalReason::Limited => "limited",
            SlotRefusalReason::LikelyFaulty => "doubted",
            SlotRefusalReason::RetryBudget => "repeat_budget",
            SlotRefusalReason::TooLate => "too_late",
        }
    }
}

/// Outcome of a request that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered without an error.
    Answered,
    /// The server answered with an error of its own or with an invalid answer, or closed the
    /// connection.
    Failed,
    /// The server answered with an error because a nested request of its own failed elsewhere.
    CallFailed,
    /// The server refused the request without running it.
    Shed,
    /// The request was canceled, for example because the caller disconnected or the deadline
    /// passed.
    Abandoned,
    /// The server could not be reached.
    Unreachable,
}
