//! Why a request left its failure domain.

/// Reason for which a request was sent to a server in another failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// No instance of the home domain offers anything.
    NoHomeOffer,
    /// The wait at home would miss the objective too often.
    Wait,
    /// The servers at home that have a free slot probably fail the request.
    Failure,
    /// Every instance of the home domain that was tried refused the request or did not reply.
    Refused,
    /// The expected times and costs of [`rank`](crate::placement::rank) favored the other domain;
    /// only without a locality policy.
    Cost,
}

impl LeaveReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LeaveReason::NoHomeOffer => "no_home_offer",
            LeaveReason::Wait => "wait",
            LeaveReason::Failure => "failure",
            LeaveReason::Refused => "refused",
            LeaveReason::Cost => "cost",
        }
    }
}
