//! What the configuration says about the requests of one route.

use crate::base::{RouteId, ServiceId};
use std::time::Duration;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Runs at most once and has a large body.
    Upload,
}

impl RequestClass {
    /// Returns whether a request of this class may run again.
    pub fn is_idempotent(self) -> bool {
        self == RequestClass::Idempotent
    }
}

/// One of the services among which a route divides its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that takes this part.
    pub service: ServiceId,
    /// Share, relative to the weights of the other parts.
    pub weight: u32,
}

/// Objective of a route as a multiple of its running time, on the users' sheets.
const OBJECTIVE_RATIO: u32 = 4;

/// Rules for the requests of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Name in the configuration.
    pub id: RouteId,
    /// What may be repeated.
    pub class: RequestClass,
    /// Time within which an answer has its full value for the caller.
    pub objective: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Most backend servers to which one request is sent.
    pub attempts: u32,
    /// Services, at least one.
    pub services: Vec<WeightedService>,
}

impl RoutePolicy {
    /// Returns the running time that is assumed before one was seen.
    pub fn default_running_time(&self) -> Duration {
        self.objective / OBJECTIVE_RATIO
    }
}
