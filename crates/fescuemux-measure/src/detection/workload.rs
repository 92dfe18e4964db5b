//! Seeded generator of request arrivals and server responses.

use super::trace::{ServerBehavior, Trace};
use fescuemux_core::base::Rng;
use fescuemux_core::detect::Outcome;
use rand::{Rng as _, SeedableRng};
use std::time::Duration;

/// Requests/s per backend server.
const REQUESTS_PER_SEC: f64 = 20.0;
/// Standard deviation of the logarithm of the latency of a healthy server.
const LATENCY_SIGMA: f64 = 0.5;
/// Long tail of latencies: share of requests whose latency is multiplied, minimum factor, maximum
/// factor and Pareto exponent of the factor.
const LONG_TAIL: (f64, f64, f64, f64) = (0.02, 4.0, 60.0, 1.2);
/// Mean time between two stalls of a whole server in the long-tail trace.
const MEAN_STALL_INTERVAL_SECS: f64 = 20.0;
/// Shortest and longest duration of a stall.
const STALL_SECS: (f64, f64) = (0.05, 0.2);

/// Workload generator of one run.
pub(super) struct Workload {
    rng: Rng,
    pool_size: usize,
    median_secs: f64,
    long_tail: bool,
    /// Start and length in seconds of the stalls of each server, ordered by start.
    stalls: Vec<Vec<(f64, f64)>>,
}

impl Workload {
    pub(super) fn new(
        seed: u64,
        trace: Trace,
        pool_size: usize,
        median_latency: Duration,
    ) -> Workload {
        let mut workload = Workload {
            rng: Rng::seed_from_u64(seed),
            pool_size,
            median_secs: median_latency.as_secs_f64(),
            long_tail: trace == Trace::LongTail,
            stalls: vec![Vec::new(); pool_size],
        };
        if workload.long_tail {
            workload.schedule_stalls(trace.length_secs());
        }
        workload
    }

    /// Returns a uniformly distributed number between 0 and 1.
    pub(super) fn random_unit(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns the time until the next request of the service.
    pub(super) fn arrival_gap(&mut self) -> Duration {
        let mean = 1.0 / (REQUESTS_PER_SEC * self.pool_size as f64);
        Duration::from_secs_f64(self.exponential(mean))
    }

    /// Returns a random ingress. There is one ingress for each backend server.
    pub(super) fn random_ingress(&mut self) -> usize {
        self.rng.random_range(0..self.pool_size)
    }

    /// Returns the outcome and the latency of a request that a server starts at `at_secs`.
    pub(super) fn draw_response(
        &mut self,
        server: usize,
        at_secs: f64,
        behavior: ServerBehavior,
    ) -> (Outcome, Duration) {
        let mut seconds =
            self.median_secs * (LATENCY_SIGMA * self.normal()).exp() * behavior.slowdown;
        if self.long_tail && self.random_unit() < LONG_TAIL.0 {
            seconds *= self.pareto();
        }
        seconds += self.stall_time(server, at_secs, seconds);
        let sample = self.random_unit();
        let outcome = if sample < behavior.error_ratio {
            Outcome::ServerError
        } else if sample < behavior.error_ratio + behavior.wrong_ratio {
            Outcome::WrongAnswer
        } else {
            Outcome::Ok
        };
        (outcome, Duration::from_secs_f64(seconds))
    }

    fn schedule_stalls(&mut self, length_secs: f64) {
        for server in 0..self.pool_size {
            let mut at_secs = self.exponential(MEAN_STALL_INTERVAL_SECS);
            while at_secs < length_secs {
                let stall = STALL_SECS.0 + (STALL_SECS.1 - STALL_SECS.0) * self.random_unit();
                self.stalls[server].push((at_secs, stall));
                at_secs += stall + self.exponential(MEAN_STALL_INTERVAL_SECS);
            }
        }
    }

    /// Returns the stall time of a server that overlaps a request of `seconds` without stalls.
    fn stall_time(&self, server: usize, at_secs: f64, seconds: f64) -> f64 {
        let overlap = |(from, length_secs): &(f64, f64)| {
            let overlaps = *from < at_secs + seconds && at_secs < from + length_secs;
            if overlaps { from + length_secs - from.max(at_secs) } else { 0.0 }
        };
        self.stalls[server].iter().map(overlap).sum()
    }

    fn pareto(&mut self) -> f64 {
        let (_, min_factor, max_factor, exponent) = LONG_TAIL;
        (min_factor * (1.0 - self.random_unit()).powf(-1.0 / exponent)).min(max_factor)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random_unit()).ln()
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random_unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.random_unit()).cos()
    }
}
