//! Admission of requests by the state of a backend server.

use std::fmt;

/// Answer to "may this request go to the backend server?". A refusal is "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go.
    Admit,
    /// The request must not go, for this reason.
    Refuse(RefuseReason),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The server is steered; only last-resort requests may go.
    Steered,
    /// The server is ejected.
    Ejected,
    /// The server is in probation and this request is beyond its share.
    ProbationShare,
    /// A trial request is in flight, or the last one is too recent.
    TrialInFlight,
    /// The first trial requests must be idempotent.
    TrialNotIdempotent,
    /// The server does not take trial requests now.
    NoTrialWanted,
}

impl RefuseReason {
    /// Returns the spelling used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefuseReason::Steered => "steered",
            RefuseReason::Ejected => "ejected",
            RefuseReason::ProbationShare => "probation-share",
            RefuseReason::TrialInFlight => "trial-in-flight",
            RefuseReason::TrialNotIdempotent => "trial-not-idempotent",
            RefuseReason::NoTrialWanted => "no-trial-wanted",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
