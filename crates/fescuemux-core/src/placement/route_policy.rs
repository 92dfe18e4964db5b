//! Rules for handling the requests of one route.

use crate::base::{RouteId, ServiceId};
use std::time::Duration;

/// How often the requests of a route may run, and the size of their bodies.
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

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that takes the share.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Objective of a route as a multiple of the running time of its requests, from the users'
/// requirements.
const OBJECTIVE_RATIO: u32 = 4;

/// Rules for the requests of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Name in the configuration.
    pub id: RouteId,
    /// How often a request may run, and the size of its body.
    pub class: RequestClass,
    /// Time within which an answer has its full value for the caller.
    pub objective: Duration,
    /// Priority; the smallest value goes first.
    pub priority: u8,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Maximum number of times that one request is sent to a backend server.
    pub max_attempts: u32,
    /// Services that share the requests, at least one.
    pub services: Vec<WeightedService>,
    /// Whether requests need no key where the configuration names customers.
    pub public: bool,
}

impl RoutePolicy {
    /// Returns the running time assumed before any request of the route has ended.
    pub fn default_running_time(&self) -> Duration {
        self.objective / OBJECTIVE_RATIO
    }
}
