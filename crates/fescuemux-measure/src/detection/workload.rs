//! Seeded arrivals and answers.

use super::trace::{Condition, Trace};
use fescuemux_core::base::Rng;
use fescuemux_core::detect::Outcome;
use rand::{Rng as _, SeedableRng};
use std::time::Duration;

/// Requests a second for each backend server.
const RATE: f64 = 20.0;
/// Standard deviation of the logarithm of a healthy latency.
const SIGMA: f64 = 0.5;
/// Share of requests in the long tail, its least factor, largest factor and Pareto exponent.
const TAIL: (f64, f64, f64, f64) = (0.02, 4.0, 60.0, 1.2);
/// Mean seconds between two stalls of a whole server in the long-tail trace, and their bounds.
const STALL_EVERY: f64 = 20.0;
const STALL: (f64, f64) = (0.05, 0.2);

/// Generator of one run.
pub(super) struct Workload {
    rng: Rng,
    pool: usize,
    median: f64,
    tail: bool,
    /// Start and length of the stalls of each server, in order.
    stalls: Vec<Vec<(f64, f64)>>,
}

impl Workload {
    pub(super) fn new(seed: u64, trace: Trace, pool: usize, median: Duration) -> Workload {
        let mut workload = Workload {
            rng: Rng::seed_from_u64(seed),
            pool,
            median: median.as_secs_f64(),
            tail: trace == Trace::LongTail,
            stalls: vec![Vec::new(); pool],
        };
        if workload.tail {
            workload.plan_stalls(trace.length());
        }
        workload
    }

    /// Returns a number from 0 to 1.
    pub(super) fn unit(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns the time to the next request of the service.
    pub(super) fn gap(&mut self) -> Duration {
        let mean = 1.0 / (RATE * self.pool as f64);
        Duration::from_secs_f64(self.exponential(mean))
    }

    /// Returns the ingress of a request; there is one beside each backend server.
    pub(super) fn ingress(&mut self) -> usize {
        self.rng.random_range(0..self.pool)
    }

    /// Returns how and after what time a server answers a request that begins at `at` seconds.
    pub(super) fn answer(
        &mut self,
        server: usize,
        at: f64,
        condition: Condition,
    ) -> (Outcome, Duration) {
        let mut seconds = self.median * (SIGMA * self.normal()).exp() * condition.slow;
        if self.tail && self.unit() < TAIL.0 {
            seconds *= self.pareto();
        }
        seconds += self.stalled(server, at, seconds);
        let draw = self.unit();
        let outcome = if draw < condition.error {
            Outcome::ServerError
        } else if draw < condition.error + condition.wrong {
            Outcome::WrongAnswer
        } else {
            Outcome::Ok
        };
        (outcome, Duration::from_secs_f64(seconds))
    }

    fn plan_stalls(&mut self, length: f64) {
        for server in 0..self.pool {
            let mut at = self.exponential(STALL_EVERY);
            while at < length {
                let stall = STALL.0 + (STALL.1 - STALL.0) * self.unit();
                self.stalls[server].push((at, stall));
                at += stall + self.exponential(STALL_EVERY);
            }
        }
    }

    fn stalled(&self, server: usize, at: f64, seconds: f64) -> f64 {
        let overlap = |(from, length): &(f64, f64)| {
            let within = *from < at + seconds && at < from + length;
            if within { from + length - from.max(at) } else { 0.0 }
        };
        self.stalls[server].iter().map(overlap).sum()
    }

    fn pareto(&mut self) -> f64 {
        let (_, least, most, exponent) = TAIL;
        (least * (1.0 - self.unit()).powf(-1.0 / exponent)).min(most)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }
}
