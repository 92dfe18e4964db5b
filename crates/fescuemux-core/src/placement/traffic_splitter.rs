//! Division of a route's requests among services by weight.

use crate::base::{Cx, HashMap, RouteId, ServiceId};
use crate::placement::RoutePolicy;
use rand::Rng;

/// Step of the sequence below; the golden ratio's fraction spreads any number of draws evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Draws parts of routes. Each ingress starts at a random point, so that many ingresses with
/// few requests each still meet the weights together.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    points: HashMap<RouteId, f64>,
}

impl TrafficSplitter {
    /// Returns the service for the next request of `policy`. A part with weight zero gets none.
    pub fn choose_service<'a>(
        &mut self,
        cx: &mut Cx,
        policy: &'a RoutePolicy,
    ) -> Option<&'a ServiceId> {
        let [only] = policy.services.as_slice() else {
            return self.draw(cx, policy);
        };
        Some(&only.service)
    }

    /// Returns the number of routes that are remembered.
    pub fn len(&self) -> usize {
        self.points.len()
    }

    /// Returns whether no route is remembered.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Forgets routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&RouteId) -> bool) {
        self.points.retain(|route, _| keep(route));
    }

    fn draw<'a>(&mut self, cx: &mut Cx, policy: &'a RoutePolicy) -> Option<&'a ServiceId> {
        let rng = &mut cx.rng;
        let point =
            self.points.entry(policy.id.clone()).or_insert_with(|| rng.random_range(0.0..1.0));
        *point = (*point + STEP).fract();
        let total: u64 = policy.services.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = *point * total as f64;
        for part in policy.services.iter().filter(|part| part.weight > 0) {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        policy.services.iter().rev().find(|part| part.weight > 0).map(|part| &part.service)
    }
}
