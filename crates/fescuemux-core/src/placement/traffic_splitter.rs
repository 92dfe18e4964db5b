//! Weighted traffic split of a route among services.

use crate::base::{Cx, HashMap, RouteId, ServiceId};
use crate::placement::RoutePolicy;
use rand::Rng;

/// Step between the positions of consecutive requests. A golden-ratio sequence spreads any number
/// of requests evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Chooses the service of each request. Each ingress starts at a random position, so that the sum
/// over many ingresses with few requests each follows the weights.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    /// Position of the latest request of each route, as a share of the sum of the weights.
    positions: HashMap<RouteId, f64>,
}

impl TrafficSplitter {
    /// Returns the service for the next request of `policy`. A service with weight zero gets none.
    pub fn choose_service<'a>(
        &mut self,
        cx: &mut Cx,
        policy: &'a RoutePolicy,
    ) -> Option<&'a ServiceId> {
        let [only] = policy.services.as_slice() else {
            return self.choose_weighted(cx, policy);
        };
        Some(&only.service)
    }

    /// Returns the number of routes with a position.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no route has a position.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Removes the positions of routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&RouteId) -> bool) {
        self.positions.retain(|route, _| keep(route));
    }

    fn choose_weighted<'a>(
        &mut self,
        cx: &mut Cx,
        policy: &'a RoutePolicy,
    ) -> Option<&'a ServiceId> {
        let rng = &mut cx.rng;
        let position =
            self.positions.entry(policy.id.clone()).or_insert_with(|| rng.random_range(0.0..1.0));
        *position = (*position + GOLDEN_RATIO_FRACTION).fract();
        let total: u64 = policy.services.iter().map(|candidate| u64::from(candidate.weight)).sum();
        let mut remaining = *position * total as f64;
        for candidate in policy.services.iter().filter(|candidate| candidate.weight > 0) {
            remaining -= f64::from(candidate.weight);
            if remaining < 0.0 {
                return Some(&candidate.service);
            }
        }
        policy
            .services
            .iter()
            .rev()
            .find(|candidate| candidate.weight > 0)
            .map(|candidate| &candidate.service)
    }
}
