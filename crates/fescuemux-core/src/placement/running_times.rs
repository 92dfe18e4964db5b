//! Running times of requests by route.

use crate::base::HashMap;
use crate::retry::LatencyQuantile;
use std::time::Duration;

/// Weight of a new time in the mean; about the last ten requests count.
const WEIGHT: f64 = 0.1;

/// Routes whose times are kept; past it the mean of all routes serves.
const MAX_ROUTES: usize = 64;

/// Running time that is assumed before the first request ended.
const UNKNOWN: Duration = Duration::from_millis(300);

#[derive(Clone, Debug, Default)]
struct RouteTimes {
    mean_s: f64,
    quantiles: LatencyQuantile,
}

/// Recent running times at one backend server, or of one service as an ingress sees it.
#[derive(Clone, Debug, Default)]
pub struct RunningTimes {
    all: Option<f64>,
    routes: HashMap<u64, RouteTimes>,
}

impl RunningTimes {
    /// Records the running time of a request of the route with the hash `route`.
    /// A route's mean begins with the time that was `expected`.
    pub fn record(&mut self, route: u64, took: Duration, expected: Duration) {
        let s = took.as_secs_f64();
        self.all = Some(self.all.map_or(s, |mean| mean + WEIGHT * (s - mean)));
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let times = self.routes.entry(route).or_insert_with(|| RouteTimes {
            mean_s: expected.as_secs_f64(),
            quantiles: LatencyQuantile::default(),
        });
        times.mean_s += WEIGHT * (s - times.mean_s);
        times.quantiles.record(took);
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
        self.routes.get(&route).map(|times| Duration::from_secs_f64(times.mean_s))
    }

    /// Returns the quantile of a route's times, or `None` with too few of them.
    pub fn quantile(&self, route: u64, quantile: f64) -> Option<Duration> {
        self.routes.get(&route)?.quantiles.get(quantile)
    }
}
