//! Mean running times of requests by route.

use crate::base::HashMap;
use std::time::Duration;

/// Minimum weight of a new value in the mean; about the last ten requests count.
const MIN_WEIGHT: f64 = 0.1;

/// Maximum number of routes with a mean of their own; other routes count only in the mean of all.
const MAX_ROUTES: usize = 64;

/// Running time assumed before the first request has ended.
const DEFAULT_RUNNING_TIME: Duration = Duration::from_millis(300);

/// Exponential moving mean whose first values weigh more. With a constant weight, a process that
/// has just started would consider every request late, and every server faulty, until it has seen
/// twenty requests.
#[derive(Clone, Copy, Debug)]
struct Mean {
    seconds: f64,
    count: u32,
}

impl Mean {
    fn new(seconds: f64) -> Mean {
        Mean { seconds, count: 1 }
    }

    fn add(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (seconds - self.seconds);
    }

    fn duration(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

/// Mean running times of the requests on one backend server, or of all requests that were answered
/// to one ingress.
#[derive(Clone, Debug, Default)]
pub struct RunningTimes {
    all: Option<Mean>,
    routes: HashMap<u64, Mean>,
}

impl RunningTimes {
    /// Records the running time of a request of the route with hash `route_hash`. The mean of a new
    /// route starts with `expected_running_time` as its first value.
    pub fn record(&mut self, route_hash: u64, elapsed: Duration, expected_running_time: Duration) {
        let seconds = elapsed.as_secs_f64();
        match &mut self.all {
            Some(all) => all.add(seconds),
            None => self.all = Some(Mean::new(seconds)),
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route_hash) {
            return;
        }
        let mean =
            self.routes.entry(route_hash).or_insert(Mean::new(expected_running_time.as_secs_f64()));
        mean.add(seconds);
    }

    /// Returns the mean over all routes.
    pub fn mean(&self) -> Duration {
        self.all.map_or(DEFAULT_RUNNING_TIME, Mean::duration)
    }

    /// Returns the mean of a route, or `None` if none of its requests was recorded.
    pub fn route_mean(&self, route_hash: u64) -> Option<Duration> {
        self.routes.get(&route_hash).copied().map(Mean::duration)
    }
}
