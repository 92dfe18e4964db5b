//! Histogram of recent latencies, for the delay before an idempotent request is hedged.

use std::time::Duration;

/// Number of buckets for each doubling of the latency; the error of a quantile is below 10%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
const MIN_MICROS: f64 = 100.0;
const BUCKETS: usize = 160;

/// Total count at which all buckets are halved, so that old latencies lose weight.
const MAX_TOTAL: u32 = 2_000;

/// Histogram of recent latencies from 100 µs to 100 s, with exponential buckets.
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
        let bucket = ((micros / MIN_MICROS).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= MAX_TOTAL {
            self.halve();
        }
    }

    /// Returns the latency that the share `quantile` of answers did not exceed, or `None` with too
    /// few recorded answers.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        const MIN_COUNT: u32 = 20;
        if self.total < MIN_COUNT {
            return None;
        }
        let target = f64::from(self.total) * quantile;
        let mut cumulative = 0.0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            cumulative += f64::from(*count);
            if cumulative >= target {
                let micros = MIN_MICROS * ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
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
