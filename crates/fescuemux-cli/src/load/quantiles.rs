//! Latency distribution and its quantiles.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest time a histogram holds, in µs: 25 hours, more than the longest run.
const MAX_US: u64 = 25 * 3600 * 1_000_000;

/// Distribution of times.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

/// Quantiles of a distribution, in µs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) count: u64,
    pub(crate) mean_us: f64,
    pub(crate) p50_us: u64,
    pub(crate) p90_us: u64,
    pub(crate) p99_us: u64,
    pub(crate) p999_us: u64,
    pub(crate) max_us: u64,
}

impl Times {
    /// Returns an empty distribution that keeps `digits` significant digits.
    ///
    /// # Panics
    ///
    /// Panics when `digits` is above 5.
    pub(crate) fn new(digits: u8) -> Times {
        let mut histogram =
            Histogram::new_with_max(MAX_US, digits).expect("the bounds of the histogram are valid");
        histogram.auto(true);
        Times { histogram }
    }

    pub(crate) fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
        self.histogram.saturating_record(micros.min(MAX_US));
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the time at a quantile between 0 and 1, in µs.
    pub(crate) fn at(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        Quantiles {
            count: self.count(),
            mean_us: self.histogram.mean(),
            p50_us: self.at(0.5),
            p90_us: self.at(0.9),
            p99_us: self.at(0.99),
            p999_us: self.at(0.999),
            max_us: self.histogram.max(),
        }
    }

    /// Returns pairs of 1/(1-q) and the time at q in µs, in equal logarithmic steps of the
    /// first, up to the quantile that one sample decides.
    pub(crate) fn curve(&self) -> Vec<(f64, u64)> {
        const STEPS_PER_DECADE: f64 = 20.0;
        let last = (self.count().max(1) as f64).log10() * STEPS_PER_DECADE;
        (0..=last.floor() as u32)
            .map(|step| 10_f64.powf(f64::from(step) / STEPS_PER_DECADE))
            .map(|inverse| (inverse, self.at(1.0 - 1.0 / inverse)))
            .collect()
    }
}
