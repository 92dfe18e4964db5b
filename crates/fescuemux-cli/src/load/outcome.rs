//! Outcome of one request.

use std::time::Duration;

/// Outcome of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Index of the target.
    pub(crate) target: usize,
    /// Intended send time as an offset from the start.
    pub(crate) intended_offset: Duration,
    /// Time from the intended send time until the request had a connection, or to the failure if it
    /// never had a connection; zero for [`Failure::Unsent`].
    pub(crate) send_delay: Duration,
    /// Time from the intended send time to the end of the response, or to the failure; zero for
    /// [`Failure::Unsent`].
    pub(crate) latency: Duration,
    /// The response, or the reason why there is none.
    pub(crate) result: Result<CompleteResponse, Failure>,
}

/// A response that arrived completely.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) verdict: &'static str,
    pub(crate) check: CheckResult,
}

/// Result of checking a response against its request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CheckResult {
    Passed,
    /// The response is an error or does not come from a stand-in server.
    NotCheckable,
    Failed(String),
}

/// Reason why there is no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Failure {
    /// No connection could be opened, or the request could not be built.
    Connect,
    /// The connection closed before the response head.
    ClosedBeforeHead,
    /// The connection closed within the response body.
    ClosedInBody,
    /// The response was not complete in time.
    Timeout,
    /// Not sent, because too many requests were outstanding.
    Unsent,
}

impl Failure {
    /// Returns the spelling used in reports.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Connect => "connect",
            Failure::ClosedBeforeHead => "closed",
            Failure::ClosedInBody => "cut",
            Failure::Timeout => "timeout",
            Failure::Unsent => "unsent",
        }
    }
}
