//! Running times of requests by route.

use crate::base::HashMap;
use std::time::Duration;

/// Weight of a new time in the mean; about the last ten requests count.
const WEIGHT: f64 = 0.1;

/// Routes whose times are kept; past it the mean of all routes serves.
const MAX_ROUTES: usize = 64;

/// Running time that is assumed before the first request ended.
const UNKNOWN: Duration = Duration::from_millis(300);

/// Mean running times at one backend server, or of all answers that an ingress saw.
#[derive(Clone, Debug, Default)]
pub struct RunningTimes {
    all: Option<f64>,
    routes: HashMap<u64, f64>,
}

impl RunningTimes {
    /// Records the running time of a request of the route with the hash `route`. The mean of a
    /// route begins with the time that was `expected`.
    pub fn record(&mut self, route: u64, took: Duration, expected: Duration) {
        let s = took.as_secs_f64();
        self.all = Some(self.all.map_or(s, |mean| mean + WEIGHT * (s - mean)));
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let mean = self.routes.entry(route).or_insert(expected.as_secs_f64());
        *mean += WEIGHT * (s - *mean);
    }

    /// Returns the mean over all routes.
    pub fn mean(&self) -> Duration {
        self.all.map_or(UNKNOWN, Duration::from_secs_f64)
    }

    /// Returns the mean of a route, or of all routes when the route has no record.
    pub fn mean_of(&self, route: u64) -> Duration {
        self.known_mean(route).unwrap_or_else(|| self.mean())
    }

    /// Returns the mean of a route, or `None` without a record of it.
    pub fn known_mean(&self, route: u64) -> Option<Duration> {
        self.routes.get(&route).copied().map(Duration::from_secs_f64)
    }
}
