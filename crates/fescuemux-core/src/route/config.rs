//! Settings of a router.

use crate::base::{DomainId, InstanceId};
use crate::route::BreakerConfig;
use std::time::Duration;

/// Settings of a [`Router`](crate::route::Router).
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Instance of the ingress.
    pub instance: InstanceId,
    /// Failure domain of the ingress.
    pub domain: DomainId,
    /// Region of the ingress.
    pub region: DomainId,
    /// Maximum number of backend servers that the ingress uses for each service in each failure
    /// domain. Fewer servers mean fewer connections and fresher load observations.
    pub subset_size: usize,
    /// Age at which a load observation of a server and the mean load of its service have equal
    /// weight.
    pub load_half_life: Duration,
    /// Highest load, in requests per slot including the new request, at which a server is
    /// preferred over farther servers and over steered servers. Requests are steered away from
    /// servers with the health [`ServerHealth::Steered`](crate::base::ServerHealth::Steered).
    pub max_load: f64,
    /// Time in which the share of requests of a cold or recovered server grows to that of others.
    pub slow_start: Duration,
    /// Time that a server in probation, or a half-open path, waits for a trial before a request
    /// that is not idempotent may be the trial.
    pub non_idempotent_trial_delay: Duration,
    /// Time after which a trial without a result no longer delays the next trial of the same
    /// server or path.
    pub trial_timeout: Duration,
    /// Settings of the circuit breakers. Each network path to an instance has its own breaker.
    pub breaker: BreakerConfig,
}

impl RouterConfig {
    /// Returns default settings for the ingress of `instance`.
    pub fn new(instance: InstanceId, domain: DomainId, region: DomainId) -> RouterConfig {
        RouterConfig {
            instance,
            domain,
            region,
            subset_size: 16,
            load_half_life: Duration::from_millis(100),
            max_load: 1.0,
            slow_start: Duration::from_secs(10),
            non_idempotent_trial_delay: Duration::from_secs(10),
            trial_timeout: Duration::from_secs(30),
            breaker: BreakerConfig::default(),
        }
    }
}
