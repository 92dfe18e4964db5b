//! Quantile of recent latencies, after which a read is hedged.

use std::time::Duration;

/// Buckets for each doubling of latency; the error of a quantile is below 10%.
const PER_DOUBLING: f64 = 8.0;
const MIN_MICROS: f64 = 100.0;
const BUCKETS: usize = 160;

/// Counts at which all buckets are halved, so that old latencies fade.
const HALVE_AT: u32 = 2_000;

/// Histogram of recent latencies with buckets of growing width, from 100 µs to 100 s.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    buckets: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { buckets: vec![0; BUCKETS], total: 0 }
    }
}

impl LatencyHistogram {
    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        let micros = (latency.as_secs_f64() * 1e6).max(MIN_MICROS);
        let at = ((micros / MIN_MICROS).log2() * PER_DOUBLING) as usize;
        self.buckets[at.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.halve();
        }
    }

    /// Returns the latency below which the share `quantile` of answers came. Returns `None`
    /// before enough answers came to tell.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        const MIN_COUNT: u32 = 20;
        if self.total < MIN_COUNT {
            return None;
        }
        let wanted = f64::from(self.total) * quantile;
        let mut seen = 0.0;
        for (at, count) in self.buckets.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                let micros = MIN_MICROS * ((at + 1) as f64 / PER_DOUBLING).exp2();
                return Some(Duration::from_secs_f64(micros / 1e6));
            }
        }
        None
    }

    fn halve(&mut self) {
        self.buckets.iter_mut().for_each(|count| *count /= 2);
        self.total = self.buckets.iter().sum();
    }
}
