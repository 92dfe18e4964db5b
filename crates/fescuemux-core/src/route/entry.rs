//! Router state of one backend server and of one path.

use crate::base::{InstanceId, Phase, ServerId, mix};
use crate::route::breaker::Breaker;
use crate::route::load::LoadEstimate;
use crate::route::{BreakerState, Endpoint, ServerHealth};
use std::time::{Duration, Instant};

/// Index of an entry in the router's table.
pub(super) type Index = u32;

/// List of a service's table that an entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    Ready,
    Steered,
    Probation,
    /// Its path waits for a trial.
    HalfOpen,
    /// Its path is open.
    Blocked,
    /// Takes no requests.
    Off,
}

/// Distance of a failure domain from the ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    OwnDomain,
    OwnRegion,
    OtherRegion,
}

impl Tier {
    pub(super) const ALL: [Tier; 3] = [Tier::OwnDomain, Tier::OwnRegion, Tier::OtherRegion];
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) endpoint: Endpoint,
    pub(super) service: usize,
    pub(super) path: usize,
    pub(super) tier: Tier,
    /// Subset rank: the servers of lowest rank form this ingress's subset.
    pub(super) rank: u64,
    pub(super) health: ServerHealth,
    pub(super) class: Class,
    pub(super) load: LoadEstimate,
    pub(super) in_flight: u32,
    pub(super) ramp_start: Option<Instant>,
    pub(super) trial_until: Option<Instant>,
    pub(super) last_trial: Instant,
}

impl Entry {
    /// Returns the list that the entry belongs to when its path is in `state`.
    pub(super) fn classify(&self, state: BreakerState) -> Class {
        if self.endpoint.phase == Phase::Draining {
            return Class::Off;
        }
        if self.health == ServerHealth::Ejected {
            return Class::Off;
        }
        match state {
            BreakerState::Open(_) | BreakerState::TrialInFlight(_) => return Class::Blocked,
            BreakerState::HalfOpen(_) => return Class::HalfOpen,
            BreakerState::Closed => {}
        }
        match self.health {
            ServerHealth::Serving => Class::Ready,
            ServerHealth::Steered => Class::Steered,
            ServerHealth::Probation => Class::Probation,
            ServerHealth::Ejected => Class::Off,
        }
    }

    /// Returns the share of work that slow start allows, from above zero to one.
    pub(super) fn weight(&self, now: Instant, slow_start: Duration) -> f64 {
        const MIN_WEIGHT: f64 = 0.05;
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start).as_secs_f64();
        if age >= slow_start.as_secs_f64() {
            return 1.0;
        }
        (age / slow_start.as_secs_f64()).max(MIN_WEIGHT)
    }
}

/// Path from the ingress to an instance.
#[derive(Debug)]
pub(super) struct Path {
    pub(super) instance: InstanceId,
    pub(super) breaker: Breaker,
    pub(super) entries: Vec<Index>,
    /// Time of the breaker's pending timer.
    pub(super) scheduled: Option<Instant>,
}

/// Returns the rendezvous rank of `server` for the ingress of `instance`.
pub(super) fn rank(instance: &str, server: &ServerId) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    instance.hash(&mut hasher);
    server.hash(&mut hasher);
    // FxHasher leaves the upper bits of similar names alike, so they are mixed once more.
    mix(hasher.finish())
}
