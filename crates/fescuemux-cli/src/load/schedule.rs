//! Intended send times.

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::iter::Peekable;
use std::time::Duration;

/// Distribution of the intended send times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Shape {
    /// Independent arrivals, as many independent callers make them.
    Poisson,
    /// Equal distances.
    Constant,
}

/// Intended send times of one target, as offsets from the start.
#[derive(Debug)]
pub(crate) struct Schedule {
    shape: Shape,
    rng: ChaCha8Rng,
    rate: f64,
    /// Time of the next request, in units of the mean distance. Small whole steps add up
    /// without the rounding error that sums of seconds have.
    next: f64,
    end: f64,
}

impl Schedule {
    /// Returns the times of target number `index` of `targets`. Constant schedules of several
    /// targets are shifted against each other, so that their requests alternate.
    pub(crate) fn new(
        shape: Shape,
        rate: f64,
        length: Duration,
        seed: u64,
        (index, targets): (usize, usize),
    ) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(index as u64);
        let next = match shape {
            Shape::Poisson => exponential(&mut rng),
            Shape::Constant => index as f64 / targets as f64,
        };
        Schedule { shape, rng, rate, next, end: length.as_secs_f64() }
    }
}

impl Iterator for Schedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let time = self.next / self.rate;
        if time >= self.end {
            return None;
        }
        self.next += match self.shape {
            Shape::Poisson => exponential(&mut self.rng),
            Shape::Constant => 1.0,
        };
        Some(Duration::from_secs_f64(time))
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// The schedules of all targets, merged in time order.
#[derive(Debug)]
pub(crate) struct Merged {
    schedules: Vec<Peekable<Schedule>>,
}

impl Merged {
    pub(crate) fn new(schedules: Vec<Schedule>) -> Merged {
        Merged { schedules: schedules.into_iter().map(Iterator::peekable).collect() }
    }
}

impl Iterator for Merged {
    type Item = (usize, Duration);

    fn next(&mut self) -> Option<(usize, Duration)> {
        let heads = self.schedules.iter_mut().enumerate();
        let (_, index) = heads
            .filter_map(|(index, schedule)| schedule.peek().map(|time| (*time, index)))
            .min()?;
        self.schedules[index].next().map(|time| (index, time))
    }
}
