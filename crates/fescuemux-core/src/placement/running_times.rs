//! Running times of requests by route.

use crate::base::HashMap;
use std::time::Duration;

/// Least weight of a new time in the mean; about the last ten requests count.
const WEIGHT: f64 = 0.1;

/// Routes whose times are kept; past it the mean of all routes serves.
const MAX_ROUTES: usize = 64;

/// Running time that is assumed before the first request ended.
const UNKNOWN: Duration = Duration::from_millis(300);

/// Mean of the last times. The first ones weigh more: a process that has just started would
/// otherwise take every request for late, and every server for faulty, until it has seen twenty.
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
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (seconds - self.seconds);
    }

    fn duration(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

/// Mean running times at one backend server, or of all answers that an ingress saw.
#[derive(Clone, Debug, Default)]
pub struct RunningTimes {
    all: Option<Mean>,
    routes: HashMap<u64, Mean>,
}

impl RunningTimes {
    /// Records the running time of a request of the route with the hash `route`. The mean of a
    /// route begins with the time that was `expected`, as if it had been seen once.
    pub fn record(&mut self, route: u64, elapsed: Duration, expected_running_time: Duration) {
        let s = elapsed.as_secs_f64();
        match &mut self.all {
            Some(all) => all.add(s),
            None => self.all = Some(Mean::new(s)),
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let mean =
            self.routes.entry(route).or_insert(Mean::new(expected_running_time.as_secs_f64()));
        mean.add(s);
    }

    /// Returns the mean over all routes.
    pub fn mean(&self) -> Duration {
        self.all.map_or(UNKNOWN, Mean::duration)
    }

    /// Returns the mean of a route, or `None` without a record of it.
    pub fn route_mean(&self, route: u64) -> Option<Duration> {
        self.routes.get(&route).copied().map(Mean::duration)
    }
}
