//! Admission of requests by the health state of a backend server.

use std::fmt;

/// Whether a request may be sent to the backend server. A refused request gets the verdict
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
    /// The server is steered, and the request is a normal one, or a trial after the maximum number
    /// of trials.
    Steered,
    /// The server is ejected.
    Ejected,
    /// The server is in probation, and the request is not in the share that is admitted.
    ProbationShare,
    /// The request is a trial, and another trial is in flight or started too recently.
    TrialInFlight,
    /// The request is a trial that is not idempotent. All trials of a steered server and the first
    /// trials of a probation must be idempotent.
    TrialNotIdempotent,
    /// The request is a trial, but the server has passed its trials and is still in probation.
    NoTrialWanted,
}

impl RefuseReason {
    /// Returns the name used in headers, logs and metrics.
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
