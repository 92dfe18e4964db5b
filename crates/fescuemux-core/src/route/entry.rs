//! Router state of each backend server and of the network path to each instance.

use crate::base::{InstanceId, Phase, ServerId, mix};
use crate::route::breaker::Breaker;
use crate::route::load::LoadEstimate;
use crate::route::{BreakerState, Endpoint, ServerHealth};
use std::time::{Duration, Instant};

/// Index of a [`ServerEntry`] in the router's table of backend servers.
pub(super) type Index = u32;

/// Candidate list of a service that an entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateList {
    /// Serving servers behind a closed breaker.
    Serving,
    /// Steered servers behind a closed breaker.
    Steered,
    /// Servers in probation behind a closed breaker.
    Probation,
    /// Servers behind a half-open breaker, unless draining or ejected.
    HalfOpen,
    /// Servers behind a breaker that is open or whose trial is in flight, unless draining or
    /// ejected.
    Blocked,
    /// No list: draining and ejected servers take no requests.
    Unavailable,
}

/// Distance of a failure domain from the ingress, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    OwnDomain,
    OwnRegion,
    OtherRegion,
}

impl Distance {
    pub(super) const ALL: [Distance; 3] =
        [Distance::OwnDomain, Distance::OwnRegion, Distance::OtherRegion];
}

/// State of one backend server.
#[derive(Debug)]
pub(super) struct ServerEntry {
    pub(super) endpoint: Endpoint,
    pub(super) service_index: usize,
    pub(super) path_index: usize,
    pub(super) distance: Distance,
    /// Rank from rendezvous hashing. This ingress uses the servers of lowest rank in each failure
    /// domain.
    pub(super) rank: u64,
    pub(super) health: ServerHealth,
    /// List of the service that the entry is in.
    pub(super) list: CandidateList,
    pub(super) load: LoadEstimate,
    /// Requests of this ingress in flight at the server.
    pub(super) in_flight: u32,
    pub(super) slow_start_since: Option<Instant>,
    /// Time until which an earlier trial keeps the server from getting another trial.
    pub(super) no_trial_before: Option<Instant>,
    /// Latest of three times: the last trial was sent to the server, its probation began, or the
    /// router learned of the server.
    pub(super) last_trial_at: Instant,
}

impl ServerEntry {
    /// Returns the list that the entry belongs to while the breaker of its path is in
    /// `breaker_state`.
    pub(super) fn list_for(&self, breaker_state: BreakerState) -> CandidateList {
        if self.endpoint.phase == Phase::Draining {
            return CandidateList::Unavailable;
        }
        if self.health == ServerHealth::Ejected {
            return CandidateList::Unavailable;
        }
        match breaker_state {
            BreakerState::Open(_) | BreakerState::TrialInFlight(_) => {
                return CandidateList::Blocked;
            }
            BreakerState::HalfOpen(_) => return CandidateList::HalfOpen,
            BreakerState::Closed => {}
        }
        match self.health {
            ServerHealth::Serving => CandidateList::Serving,
            ServerHealth::Steered => CandidateList::Steered,
            ServerHealth::Probation => CandidateList::Probation,
            ServerHealth::Ejected => CandidateList::Unavailable,
        }
    }

    /// Returns the probability with which slow start accepts the server for a request: above zero,
    /// at most one.
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

/// Network path from the ingress to an instance, with its circuit breaker.
#[derive(Debug)]
pub(super) struct NetworkPath {
    pub(super) instance: InstanceId,
    pub(super) breaker: Breaker,
    /// Servers of the instance.
    pub(super) entries: Vec<Index>,
    /// Due time of the breaker's pending timer.
    pub(super) timer_at: Option<Instant>,
}

/// Returns the rank of `server` by rendezvous hashing for the ingress of `instance`.
pub(super) fn rank(instance: &str, server: &ServerId) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    instance.hash(&mut hasher);
    server.hash(&mut hasher);
    // FxHasher gives similar names similar upper bits; mix() makes them differ.
    mix(hasher.finish())
}
