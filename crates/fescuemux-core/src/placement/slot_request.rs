//! A request at a guard, and what the guard says to it.

use crate::placement::Precedence;
use std::time::{Duration, Instant};

/// Multiple of the mean running time that is set aside when a wait is allowed. Running times
/// spread by about half their mean, so most requests end within twice the mean.
const RUNNING_MARGIN: f64 = 2.0;

/// Share of its time for which a call waits for a slot. The request that makes it holds a slot
/// of its own meanwhile; on the users' sheets the objective of calls is the same share.
const CALL_WAIT: f64 = 0.3;

/// Whether a request is a repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptKind {
    /// No server saw it before.
    #[default]
    First,
    /// It is a call of a request that is a repeat itself. It counts, and is never refused for
    /// that: its parent's work would be lost.
    NestedInRetry,
    /// A server saw it before.
    Retry,
}

/// A request that asks a guard for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Rank of the route; zero is the most urgent.
    pub priority: u8,
    /// Whether the request may run again elsewhere.
    pub idempotent: bool,
    /// Whether a request that runs elsewhere waits for this one.
    pub nested: bool,
    /// Lot of that request.
    pub random_priority: u16,
    /// Whether it counts against the budget of repeats.
    pub attempt: AttemptKind,
    /// Hash of the route, for its running times.
    pub route: u64,
    /// Time at which the caller gets its final answer.
    pub deadline: Instant,
    /// Time at which an answer loses part of its value.
    pub objective: Instant,
    /// Running time that the ingress expects, for servers without a record.
    pub expected_running_time: Duration,
    /// Whether the request waits when no slot is free.
    pub may_queue: bool,
}

impl SlotRequest {
    /// Returns what decides about its place among waiting requests.
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.nested, self.priority, self.random_priority)
    }

    /// Returns the longest wait after which the request is still worth its slot, if it runs for
    /// `running`. New work must be able to meet its objective: a longer queue would delay all of
    /// it and serve no more. A call that waits keeps the slot of its parent busy, so under
    /// overload it has to fail soon.
    pub(super) fn longest_wait(&self, now: Instant, running: Duration) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        if self.nested {
            return left.mul_f64(CALL_WAIT);
        }
        let objective = self.objective.saturating_duration_since(now).min(left);
        objective.saturating_sub(running.mul_f64(RUNNING_MARGIN)).max(objective / 4)
    }

    /// Time at which a caller's request stops waiting. It gives up at its objective: under a load
    /// that keeps it waiting so long, its slot serves another caller in time, and its own can
    /// return.
    pub(super) fn last_start(&self) -> Instant {
        let rest = self.deadline.saturating_duration_since(self.objective);
        self.objective.min(self.deadline) + rest / 3
    }
}

/// Answer to a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The slot is held for a moment; the request may be sent.
    Granted,
    /// The request waits; the time is an estimate.
    Queued(Duration),
    /// The request does not run here.
    Refused(Refusal),
}

/// Why a request does not run at a guard. It has not run there and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which a slot is expected.
    pub retry_in: Duration,
}

/// Reason of a [`Refusal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No server has announced itself, or it has left.
    NoServer,
    /// The server leaves.
    Draining,
    /// The daemon stops.
    Stopping,
    /// No slot is free and the request does not wait.
    Full,
    /// No slot is free and the server probably fails.
    LikelyFaulty,
    /// The service has had as many repeats as it may.
    RetryBudget,
    /// The wait would leave too little time for an answer that is still of use.
    TooLate,
}

impl RefusalReason {
    /// Returns the spelling used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoServer => "no_server",
            RefusalReason::Draining => "draining",
            RefusalReason::Stopping => "stopping",
            RefusalReason::Full => "full",
            RefusalReason::LikelyFaulty => "doubted",
            RefusalReason::RetryBudget => "repeat_budget",
            RefusalReason::TooLate => "too_late",
        }
    }
}

/// How the work of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered as asked.
    Answered,
    /// The server answered with an error of its own, broke off or answered wrongly.
    Failed,
    /// The server answered with an error because a call that it made failed elsewhere.
    CallFailed,
    /// The server refused the request without running it.
    Shed,
    /// The caller left, or its time was over.
    Abandoned,
    /// The server could not be reached.
    Unreachable,
}
