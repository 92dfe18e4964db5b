//! Router state of each backend server and of each path.

use crate::base::{InstanceId, Phase, ServerId, mix};
use crate::route::breaker::Breaker;
use crate::route::load::LoadEstimate;
use crate::route::{BreakerState, Endpoint, ServerHealth};
use std::time::{Duration, Instant};

/// Index of an entry in the router's table.
pub(super) type Index = u32;

/// Candidate list that an entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    Ready,
    Steered,
    Probation,
    /// The breaker of the path is half-open.
    HalfOpen,
    /// The breaker of the path is open or its trial is in flight.
    Blocked,
    /// Takes no requests; in no list.
    Unavailable,
}

/// Distance class of a failure domain from the ingress, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    OwnDomain,
    OwnRegion,
    OtherRegion,
}

impl Tier {
    pub(super) const ALL: [Tier; 3] = [Tier::OwnDomain, Tier::OwnRegion, Tier::OtherRegion];
}

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) endpoint: Endpoint,
    pub(super) service: usize,
    pub(super) path: usize,
    pub(super) tier: Tier,
    /// Rendezvous rank. The servers of lowest rank in a failure domain form the subset of this
    /// ingress.
    pub(super) rank: u64,
    pub(super) health: ServerHealth,
    pub(super) class: Class,
    pub(super) load: LoadEstimate,
    pub(super) in_flight: u32,
    pub(super) slow_start_since: Option<Instant>,
    pub(super) no_trial_before: Option<Instant>,
    pub(super) last_trial_at: Instant,
}

impl Entry {
    /// Returns the list that the entry belongs to while the breaker of its path is in `state`.
    pub(super) fn classify(&self, state: BreakerState) -> Class {
        if self.endpoint.phase == Phase::Draining {
            return Class::Unavailable;
        }
        if self.health == ServerHealth::Ejected {
            return Class::Unavailable;
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
            ServerHealth::Ejected => Class::Unavailable,
        }
    }

    /// Returns the share of requests that slow start allows: above zero, at most one.
    pub(super) fn slow_start_weight(&self, now: Instant, slow_start: Duration) -> f64 {
        const MIN_WEIGHT: f64 = 0.05;
        let Some(start) = self.slow_start_since else {
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
    /// Due time of the breaker's pending timer.
    pub(super) timer_at: Option<Instant>,
}

/// Returns the rendezvous rank of `server` for the ingress of `instance`.
pub(super) fn rank(instance: &str, server: &ServerId) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    instance.hash(&mut hasher);
    server.hash(&mut hasher);
    // FxHasher leaves the upper bits of similar names alike; mix() spreads them.
    mix(hasher.finish())
}
