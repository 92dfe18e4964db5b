//! Histogram of durations and its quantiles.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest duration that a histogram can hold, in µs: 25 hours, longer than the longest run.
const MAX_US: u64 = 25 * 3600 * 1_000_000;

/// Histogram of durations.
#[derive(Clone, Debug)]
pub(crate) struct DurationHistogram {
    histogram: Histogram<u64>,
}

/// Quantiles of a histogram, in µs.
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

impl DurationHistogram {
    /// Returns an empty histogram that keeps `digits` significant digits.
    ///
    /// # Panics
    ///
    /// Panics when `digits` is above 5.
    pub(crate) fn new(digits: u8) -> DurationHistogram {
        let mut histogram =
            Histogram::new_with_max(MAX_US, digits).expect("the bounds of the histogram are valid");
        histogram.auto(true);
        DurationHistogram { histogram }
    }

    pub(crate) fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
        self.histogram.saturating_record(micros.min(MAX_US));
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the duration at a quantile between 0 and 1, in µs.
    pub(crate) fn value_at(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        Quantiles {
            count: self.count(),
            mean_us: self.histogram.mean(),
            p50_us: self.value_at(0.5),
            p90_us: self.value_at(0.9),
            p99_us: self.value_at(0.99),
            p999_us: self.value_at(0.999),
            max_us: self.histogram.max(),
        }
    }

    /// Returns pairs of 1/(1-q) and the duration at quantile q in µs. The first value grows in equal
    /// logarithmic steps, up to the quantile that a single sample determines.
    pub(crate) fn curve(&self) -> Vec<(f64, u64)> {
        const STEPS_PER_DECADE: f64 = 20.0;
        let last_step = (self.count().max(1) as f64).log10() * STEPS_PER_DECADE;
        (0..=last_step.floor() as u32)
            .map(|step| 10_f64.powf(f64::from(step) / STEPS_PER_DECADE))
            .map(|inverse_tail| (inverse_tail, self.value_at(1.0 - 1.0 / inverse_tail)))
            .collect()
    }
}
