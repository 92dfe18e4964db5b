//! Inputs and outputs of retry decisions.

use crate::base::Verdict;
use std::time::Duration;

/// A failed or slow attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Verdict of this attempt.
    pub verdict: Verdict,
    /// Strongest verdict of the attempts before this attempt, `NotRun` if there were none.
    pub previous_verdict: Verdict,
    /// Whether the route is marked idempotent.
    pub idempotent: bool,
    /// Whether the whole body is buffered, or no byte of it was read from the caller.
    pub body_replayable: bool,
    /// Time until the caller's deadline.
    pub time_to_deadline: Duration,
    /// Expected latency of another attempt.
    pub expected_latency: Duration,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Wait requested by the instance that refused the attempt.
    pub retry_after: Option<Duration>,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request ran or may have run, and its route is not idempotent.
    MayHaveRun,
    /// Part of the body was passed on and is no longer available.
    BodyConsumed,
    /// Another attempt would not finish before the deadline.
    DeadlineTooClose,
    /// The request has used all of its attempts.
    MaxAttemptsReached,
    /// The retry budget of the service is exhausted.
    BudgetExhausted,
}

/// Decision about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again.
    Retry {
        /// Wait before the next attempt.
        after: Duration,
    },
    /// Answer the caller with an error.
    GiveUp {
        /// Strongest verdict of all attempts, to be reported to the caller.
        verdict: Verdict,
        /// Why the request is not sent again.
        reason: GiveUpReason,
    },
}
