//! Inputs and outputs of retry decisions.

use crate::base::Verdict;
use std::time::Duration;

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Verdict of the last attempt.
    pub verdict: Verdict,
    /// Strongest verdict of the attempts before it, `NotRun` when there were none.
    pub previous_verdict: Verdict,
    /// States whether the route is marked idempotent.
    pub idempotent: bool,
    /// True when the whole body is buffered, or no byte of it was taken from the caller.
    pub body_replayable: bool,
    /// Time until the caller's deadline.
    pub time_to_deadline: Duration,
    /// Time that an attempt is expected to take.
    pub expected_latency: Duration,
    /// Attempts made so far, at least one.
    pub attempts: u32,
    /// Wait that the refusing guard asked for.
    pub retry_after: Option<Duration>,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have run and its route is not idempotent.
    MayHaveRun,
    /// The body was passed on and is no longer here.
    BodyConsumed,
    /// Another attempt would not finish before the deadline.
    DeadlineTooClose,
    /// The attempts of this request are used up.
    MaxAttemptsReached,
    /// The retry budget of the service is used up.
    BudgetExhausted,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again after the time given.
    Retry {
        /// Wait before the next attempt.
        after: Duration,
    },
    /// Answer the caller with an error.
    GiveUp {
        /// Verdict over all attempts, to be reported to the caller.
        verdict: Verdict,
        /// Why the request is not sent again.
        reason: GiveUpReason,
    },
}
