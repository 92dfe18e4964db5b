//! Admission of requests by the health state of a backend server.

use std::fmt;

/// Whether a request may be sent to the backend server. A refused request has the verdict
/// "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admit,
    /// The request must not be sent.
    Refuse(RefuseReason),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The server is steered and takes only last-resort requests.
    Steered,
    /// The server is ejected.
    Ejected,
    /// The server is in probation and the request exceeds its share of normal requests.
    ProbationShare,
    /// A trial request is in flight, or the last one is too recent.
    TrialInFlight,
    /// The first trial requests must be idempotent, and this one is not.
    TrialNotIdempotent,
    /// The server currently takes no trial requests.
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
