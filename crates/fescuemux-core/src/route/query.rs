//! Inputs and outputs of routing decisions.

use crate::base::{InstanceId, RequestKind, ServerId, ServiceId, Verdict};
use crate::route::ServerHealth;
use std::time::Duration;

/// Parameters of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service of the request's route.
    pub service: &'a ServiceId,
    /// Whether the route is marked idempotent.
    pub idempotent: bool,
    /// Backend servers that earlier attempts of this request used.
    pub excluded_servers: &'a [ServerId],
    /// Instances whose network path failed in earlier attempts of this request.
    pub excluded_instances: &'a [InstanceId],
}

impl<'a> RouteQuery<'a> {
    /// Returns the query for the first attempt of a request.
    pub fn first_attempt(service: &'a ServiceId, idempotent: bool) -> RouteQuery<'a> {
        RouteQuery { service, idempotent, excluded_servers: &[], excluded_instances: &[] }
    }
}

/// Backend server chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Chosen backend server.
    pub server: ServerId,
    /// Instance of its guard.
    pub instance: InstanceId,
    /// Kind of the attempt, to send to the guard.
    pub kind: RequestKind,
    /// Whether the attempt is the trial of a half-open network path. A path trial is no trial of
    /// the server and leaves `kind` unchanged.
    pub path_trial: bool,
}

/// Load of a backend server that its guard reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Slots in use.
    pub busy: u32,
    /// Slots in total.
    pub slots: u32,
    /// Requests queued at the guard.
    pub queued: u32,
}

/// Answer of a guard to an attempt, with any HTTP status.
#[derive(Clone, Copy, Debug)]
pub struct AttemptAnswer {
    /// Verdict of the attempt.
    pub verdict: Verdict,
    /// Time from sending the request until the head of the answer. The router compares servers by
    /// load and ignores their latency, which the guard assesses because it sees all requests of its
    /// server.
    pub latency: Duration,
    /// Load reported with the answer.
    pub load: Option<ServerLoad>,
    /// Health reported with the answer.
    pub health: Option<ServerHealth>,
}
