//! What became of one request.

use std::time::Duration;

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Number of the target.
    pub(crate) target: usize,
    /// Intended send time as an offset from the start.
    pub(crate) intended: Duration,
    /// Time from the intended send time until the request had a connection.
    pub(crate) delay: Duration,
    /// Time from the intended send time to the end of the answer, or to the failure.
    pub(crate) latency: Duration,
    /// The answer, or why there is none.
    pub(crate) result: Result<Answered, Failure>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answered {
    pub(crate) status: u16,
    pub(crate) verdict: &'static str,
    pub(crate) check: Check,
}

/// Result of comparing an answer with its request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Check {
    Passed,
    /// The answer does not say that it comes from a stand-in server, or is an error.
    Impossible,
    Failed(String),
}

/// Why there is no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Failure {
    /// No connection could be opened.
    Connect,
    /// The connection closed before the answer's head.
    Closed,
    /// The connection closed within the answer's body.
    Cut,
    /// The answer was not complete in time.
    Timeout,
    /// Not sent, because too many requests were outstanding.
    Unsent,
}

impl Failure {
    /// Returns the spelling used in reports.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Connect => "connect",
            Failure::Closed => "closed",
            Failure::Cut => "cut",
            Failure::Timeout => "timeout",
            Failure::Unsent => "unsent",
        }
    }
}
