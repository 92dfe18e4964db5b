//! Backpressure from services that requests call to the requests themselves.

use crate::base::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new call in the share of refused calls; about the last twelve calls count.
const WEIGHT: f64 = 0.08;

/// Time in which the share loses half of its value without calls.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Requests refused for each refused call, as shares. With three, the calls of the rest fit with
/// about one in twenty refused: enough to see the pressure, little work lost to it.
const GAIN: f64 = 3.0;

/// Most requests that are refused; the rest shows when the pressure is over.
const MOST: f64 = 0.8;

/// Routes that are kept.
const MAX_ROUTES: usize = 64;

/// Share of calls without a slot, by the route of the requests that make them.
///
/// A request that fails with its call has used its own slot in vain, and the slots of its other
/// calls. Refusing some requests at once serves as many of them and delays none.
#[derive(Clone, Debug, Default)]
pub struct CallPressure {
    routes: HashMap<u64, (f64, Instant)>,
}

impl CallPressure {
    /// Notes a call of a request of `route`, and whether it found no slot.
    pub fn add(&mut self, now: Instant, route: u64, refused: bool) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let (share, at) = self.routes.entry(route).or_insert((0.0, now));
        let faded = fade(*share, now.saturating_duration_since(*at));
        *share = faded + WEIGHT * (f64::from(u8::from(refused)) - faded);
        *at = now;
    }

    /// Returns the share of requests of `route` to refuse.
    pub fn shed(&self, now: Instant, route: u64) -> f64 {
        let Some((share, at)) = self.routes.get(&route) else { return 0.0 };
        (GAIN * fade(*share, now.saturating_duration_since(*at))).min(MOST)
    }
}

fn fade(share: f64, passed: Duration) -> f64 {
    share * (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
