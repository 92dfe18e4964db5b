//! Settings of a router.

use crate::base::{DomainId, InstanceId};
use crate::route::BreakerConfig;
use std::time::Duration;

/// Settings of a [`Router`](crate::route::Router).
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Instance of the ingress that routes.
    pub instance: InstanceId,
    /// Failure domain of the ingress.
    pub domain: DomainId,
    /// Region of the ingress.
    pub region: DomainId,
    /// Most backend servers of one service and one failure domain that the ingress uses at a
    /// time. Fewer servers mean fewer connections and fresher load observations.
    pub subset_size: usize,
    /// Age at which a load observation counts half against the mean load of its service.
    pub load_half_life: Duration,
    /// Load, as a share of the slots after adding the request, up to which a server has room.
    pub max_load: f64,
    /// Time over which a cold or returned server grows from no share to its full share.
    pub slow_start: Duration,
    /// Time without an idempotent trial after which a request that is not idempotent may be
    /// the trial.
    pub non_idempotent_trial_delay: Duration,
    /// Time after which a trial without a result no longer blocks the next one.
    pub trial_timeout: Duration,
    /// Settings of the breakers, one for each instance.
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
