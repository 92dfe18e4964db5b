//! Window over the newest finished requests of one backend server, and the test of their scores.

use super::observation::Outcome;
use std::collections::VecDeque;

/// Maximum number of finished requests kept. Each assessment scores all of them again against the
/// current reference, so the window size bounds the work of an assessment.
pub(super) const WINDOW_SIZE: usize = 64;

/// One finished request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) outcome: Outcome,
    /// Binary logarithm of the latency in seconds.
    pub(super) log2_latency: f64,
}

/// Bounded queue of samples, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    samples: VecDeque<Sample>,
}

/// State of a cumulative sum (CUSUM) test at the newest sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cusum {
    pub(super) score: f64,
    /// Number of samples since the sum was last zero.
    pub(super) samples: usize,
    /// Number of samples with a positive score since the sum was last zero.
    pub(super) positive: usize,
}

impl Window {
    /// Adds a sample. Returns the oldest sample if it had to be removed.
    pub(super) fn push(&mut self, sample: Sample) -> Option<Sample> {
        let oldest =
            if self.samples.len() == WINDOW_SIZE { self.samples.pop_front() } else { None };
        self.samples.push_back(sample);
        oldest
    }

    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Sums the scores of the samples, oldest first, and starts again from zero whenever the sum is
    /// not positive.
    pub(super) fn cusum(&self, score: impl Fn(&Sample) -> f64) -> Cusum {
        let mut sum = Cusum::default();
        for sample in &self.samples {
            let step = score(sample);
            sum.score += step;
            sum.samples += 1;
            sum.positive += usize::from(step > 0.0);
            if sum.score <= 0.0 {
                sum = Cusum::default();
            }
        }
        sum
    }

    /// Returns the binary logarithm of the median latency in seconds of the newest `count`
    /// successful samples.
    pub(super) fn median(&self, count: usize) -> Option<f64> {
        let mut values = [0.0; WINDOW_SIZE];
        let mut len = 0;
        let ok = self.samples.iter().rev().filter(|sample| sample.outcome == Outcome::Ok);
        for sample in ok.take(count.min(WINDOW_SIZE)) {
            values[len] = sample.log2_latency;
            len += 1;
        }
        if len == 0 {
            return None;
        }
        let (_, median, _) = values[..len].select_nth_unstable_by((len - 1) / 2, f64::total_cmp);
        Some(*median)
    }
}
