//! Inputs of the detector.

use crate::base::RequestId;
use std::time::Duration;

/// Outcome of a request as observed by the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A complete answer that is not a server error.
    Ok,
    /// A complete answer with a server error.
    ServerError,
    /// No complete answer arrived before the request's deadline.
    DeadlineMissed,
    /// The connection ended in the middle of the answer.
    Cut,
    /// The answer violates the protocol, its stated length or its checksum.
    WrongAnswer,
    /// The caller or ingress gave up, so the latency is only a lower bound of what the server
    /// needed.
    Canceled,
    /// The loopback connection could not be opened.
    ConnectFailed,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Id of the request, as in [`Detector::on_start`](super::Detector::on_start).
    pub id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from sending the request to the backend server until its end.
    pub latency: Duration,
}

/// Result of one probe of the health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The endpoint reports the server healthy.
    Healthy,
    /// The endpoint reports the server unhealthy.
    Unhealthy,
    /// The endpoint did not answer in time.
    TimedOut,
}

/// Result of a trial request to a backend server that is steered or in probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrialOutcome {
    /// The request succeeded, and not far slower than the reference.
    Good,
    /// The request failed or took far longer than the reference.
    Bad,
    /// The request says nothing about the server, for example because the caller gave up.
    Unknown,
}
