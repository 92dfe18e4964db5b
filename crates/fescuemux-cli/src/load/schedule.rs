//! Schedules of intended send times.

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::iter::Peekable;
use std::time::Duration;

/// Distribution of the intended send times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ArrivalProcess {
    /// Poisson process, as the arrivals from many independent callers.
    Poisson,
    /// Equal intervals.
    Constant,
}

/// Intended send times of one target, as offsets from the start.
#[derive(Debug)]
pub(crate) struct Schedule {
    process: ArrivalProcess,
    rng: ChaCha8Rng,
    /// Requests per second.
    rate: f64,
    /// Intended send time of the next request, in units of the mean interval. Constant
    /// intervals are steps of 1, because sums of small integers have no rounding error, unlike
    /// sums of seconds.
    next_arrival: f64,
    /// End of the schedule, in seconds.
    end: f64,
}

impl Schedule {
    /// Returns the schedule of target number `index` of `target_count`. Constant schedules of
    /// several targets are offset from each other, so that their requests alternate.
    pub(crate) fn new(
        process: ArrivalProcess,
        rate: f64,
        duration: Duration,
        seed: u64,
        (index, target_count): (usize, usize),
    ) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(index as u64);
        let next_arrival = match process {
            ArrivalProcess::Poisson => exponential(&mut rng),
            ArrivalProcess::Constant => index as f64 / target_count as f64,
        };
        Schedule { process, rng, rate, next_arrival, end: duration.as_secs_f64() }
    }
}

impl Iterator for Schedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let time = self.next_arrival / self.rate;
        if time >= self.end {
            return None;
        }
        self.next_arrival += match self.process {
            ArrivalProcess::Poisson => exponential(&mut self.rng),
            ArrivalProcess::Constant => 1.0,
        };
        Some(Duration::from_secs_f64(time))
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Schedules of all targets, merged in order of time. Yields the index of the target with each
/// send time.
#[derive(Debug)]
pub(crate) struct MergedSchedule {
    schedules: Vec<Peekable<Schedule>>,
}

impl MergedSchedule {
    pub(crate) fn new(schedules: Vec<Schedule>) -> MergedSchedule {
        MergedSchedule { schedules: schedules.into_iter().map(Iterator::peekable).collect() }
    }
}

impl Iterator for MergedSchedule {
    type Item = (usize, Duration);

    fn next(&mut self) -> Option<(usize, Duration)> {
        let indexed_schedules = self.schedules.iter_mut().enumerate();
        let (_, index) = indexed_schedules
            .filter_map(|(index, schedule)| schedule.peek().map(|time| (*time, index)))
            .min()?;
        self.schedules[index].next().map(|time| (index, time))
    }
}
