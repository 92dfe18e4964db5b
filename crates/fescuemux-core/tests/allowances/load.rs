//! Replayed loads: customers, their requests and the ingresses that get them.

use fescuemux_core::allowances::Allowance;
use fescuemux_core::base::Rng;
use rand::{Rng as _, SeedableRng};
use std::time::Duration;

/// How the requests of a customer are distributed over the ingresses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Spread {
    /// The same at each ingress.
    Even,
    /// Half at one ingress, half of the rest at the next one, and so on.
    Uneven,
    /// Two ingresses at a time, others every three seconds.
    Shifting,
}

/// Customer of a replayed load.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    pub(crate) allowance: Allowance,
    /// Requests per second, by the time from which they are sent.
    pub(crate) rates: Vec<(Duration, f64)>,
    pub(crate) spread: Spread,
}

impl Customer {
    /// Returns a customer that sends `factor` times its allowance all the time.
    pub(crate) fn new(rate: f64, burst: f64, factor: f64, spread: Spread) -> Customer {
        let allowance = Allowance { rate, burst };
        Customer { allowance, rates: vec![(Duration::ZERO, rate * factor)], spread }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        self.rates.iter().rev().find(|(from, _)| *from <= at).map_or(0.0, |(_, rate)| *rate)
    }
}

/// Returns the arrivals of a load in their order: time, customer and ingress.
pub(crate) fn arrivals(
    customers: &[Customer],
    instances: usize,
    duration: Duration,
    seed: u64,
) -> Vec<(Duration, usize, usize)> {
    let mut rng = Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, customer) in customers.iter().enumerate() {
        let highest = customer.rates.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / highest.max(1e-9);
            if at >= duration.as_secs_f64() {
                break;
            }
            let time = Duration::from_secs_f64(at);
            if rng.random::<f64>() * highest >= customer.rate_at(time) {
                continue;
            }
            let ingress = match customer.spread {
                Spread::Even => rng.random_range(0..instances),
                Spread::Uneven => {
                    let halvings = (rng.random::<u64>() | 1 << 40).trailing_zeros() as usize;
                    (index * 7 + halvings) % instances
                }
                Spread::Shifting => {
                    (index * 7 + time.as_secs() as usize / 3 * 5 + rng.random_range(0..2))
                        % instances
                }
            };
            arrivals.push((time, index, ingress));
        }
    }
    arrivals.sort_unstable();
    arrivals
}
