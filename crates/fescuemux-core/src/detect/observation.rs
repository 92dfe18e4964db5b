//! Inputs of the detector.

use crate::base::RequestId;
use std::time::Duration;

/// How a request ended, as its guard saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A whole answer that is not a server error.
    Ok,
    /// A whole answer that states a server error.
    ServerError,
    /// No whole answer within the request's deadline.
    DeadlineMissed,
    /// The connection ended in the middle of the answer.
    Cut,
    /// The answer breaks the protocol or its own length or checksum.
    WrongAnswer,
    /// The caller or ingress gave up. It says only that the request took at least so long.
    Canceled,
    /// The loopback connection could not be opened.
    ConnectFailed,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Id that [`Detector::on_start`](super::Detector::on_start) was called with.
    pub id: RequestId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time between sending it to the backend server and its end.
    pub latency: Duration,
}

/// Result of one probe of the health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The endpoint states health.
    Healthy,
    /// The endpoint states sickness.
    Unhealthy,
    /// The endpoint did not answer in time.
    TimedOut,
}

/// How a trial request of a returning backend server went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrialOutcome {
    /// Answered as a healthy server answers.
    Good,
    /// Failed, or far slower than the reference.
    Bad,
    /// Says nothing about the server, for example because the caller gave up.
    Unknown,
}
