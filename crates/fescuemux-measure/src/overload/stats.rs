//! Counts and histograms of a run.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Counts over the requests that arrived within one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondCounts {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests answered in time.
    pub good: u64,
    /// Number of attempts sent for the requests.
    pub sends: u64,
}

/// Statistics of a run.
#[derive(Debug)]
pub struct Stats {
    /// Counts for each second of virtual time.
    pub seconds: Vec<SecondCounts>,
    /// Time from the arrival of the request to the start of an attempt at the backend server, for
    /// each started attempt, without network latency, in microseconds.
    pub wait: Histogram<u64>,
    /// Time from arrival at the ingress to the answer, for requests answered in time, in
    /// microseconds.
    pub latency: Histogram<u64>,
    /// Number of attempts that guards refused.
    pub refused: u64,
    /// Number of attempts that started after the caller's deadline.
    pub wasted: u64,
}

impl Default for Stats {
    fn default() -> Stats {
        // Values beyond the bounds resize the histogram, which still takes only a few kilobytes
        // with three significant digits.
        let mut wait = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| {
            unreachable!("the bounds are valid");
        });
        wait.auto(true);
        Stats { seconds: vec![], latency: wait.clone(), wait, refused: 0, wasted: 0 }
    }
}

impl Stats {
    /// Returns the counts of the second in which a request arrived.
    pub(super) fn second(&mut self, arrived: Duration) -> &mut SecondCounts {
        let index = arrived.as_secs() as usize;
        if index >= self.seconds.len() {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }

    /// Returns the sums of the counts over the seconds in `range`.
    pub fn sum(&self, range: std::ops::Range<usize>) -> SecondCounts {
        let end = range.end.min(self.seconds.len());
        let start = range.start.min(end);
        let mut sum = SecondCounts::default();
        for second in &self.seconds[start..end] {
            sum.requests += second.requests;
            sum.good += second.good;
            sum.sends += second.sends;
        }
        sum
    }
}

impl SecondCounts {
    /// Returns the share of requests answered in time.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.requests.max(1) as f64
    }

    /// Returns the mean number of attempts per request.
    pub fn amplification(&self) -> f64 {
        self.sends as f64 / self.requests.max(1) as f64
    }
}
